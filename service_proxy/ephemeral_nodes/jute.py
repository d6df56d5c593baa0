"""Jute, the serialization of the ZooKeeper protocol: encodes and decodes primitive types and frames. Pure.

Sources: the published `zookeeper.jute` and the ZooKeeper programmer's guide. All numbers are big endian. A
frame is an int with the length, then the bytes. A string or buffer is an int with the length (-1: null),
then the bytes. A vector is an int with the count, then the entries.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import TypeVar

from service_proxy.ephemeral_nodes.errors import MalformedRecordError

MAX_FRAME_BYTES = 8 << 20  # A getChildren reply with 100,000 names of 40 characters has 4.4 MB.
MAX_VECTOR_ENTRIES = 1 << 20
NULL_LENGTH = -1  # Length field of a null string or buffer.
INT32 = struct.Struct(">i")
INT64 = struct.Struct(">q")

T = TypeVar("T")


class RecordWriter:
    """Encoder of one record; each method returns the writer, so that calls can be chained."""

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def int32(self, value: int) -> RecordWriter:
        """Append an int."""
        self.parts.append(INT32.pack(value))
        return self

    def int64(self, value: int) -> RecordWriter:
        """Append a long."""
        self.parts.append(INT64.pack(value))
        return self

    def boolean(self, value: bool) -> RecordWriter:
        """Append a boolean."""
        self.parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> RecordWriter:
        """Append a buffer, or null for None."""
        if value is None:
            return self.int32(NULL_LENGTH)
        self.parts.append(INT32.pack(len(value)) + value)
        return self

    def string(self, value: str | None) -> RecordWriter:
        """Append a string, or null for None."""
        return self.buffer(None if value is None else value.encode())

    def strings(self, values: Iterable[str]) -> RecordWriter:
        """Append a vector of strings."""
        entries = list(values)
        self.int32(len(entries))
        for entry in entries:
            self.string(entry)
        return self

    def record(self, data: bytes) -> RecordWriter:
        """Append a record that is already encoded."""
        self.parts.append(data)
        return self

    def to_bytes(self) -> bytes:
        """Return the encoded record."""
        return b"".join(self.parts)

    def frame(self) -> bytes:
        """Return the record as a frame, with its length in front."""
        data = self.to_bytes()
        return INT32.pack(len(data)) + data


class RecordReader:
    """Decoder of the fields of one record.

    Each method raises MalformedRecordError if the record ends early or contains an invalid value.
    """

    __slots__ = ("data", "position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self.data = data
        self.position = position

    def take(self, size: int) -> bytes:
        """Read `size` bytes."""
        end = self.position + size
        if size < 0 or end > len(self.data):
            raise MalformedRecordError(
                f"the record ends early: {size} bytes needed at offset {self.position} of {len(self.data)}"
            )
        piece = self.data[self.position : end]
        self.position = end
        return piece

    def int32(self) -> int:
        """Read an int."""
        return int(INT32.unpack(self.take(INT32.size))[0])

    def int64(self) -> int:
        """Read a long."""
        return int(INT64.unpack(self.take(INT64.size))[0])

    def boolean(self) -> bool:
        """Read a boolean."""
        return self.take(1) != b"\x00"

    def buffer(self) -> bytes | None:
        """Read a buffer; return None for null."""
        size = self.int32()
        return None if size == NULL_LENGTH else self.take(size)

    def string(self) -> str:
        """Read a string; return an empty string for null."""
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError:
            raise MalformedRecordError(f"a string is not valid UTF-8: {data!r:.60}") from None

    def vector(self, read_entry: Callable[[], T]) -> list[T]:
        """Read a vector with `read_entry` for each entry; return an empty list for null."""
        count = self.int32()
        if not NULL_LENGTH <= count <= MAX_VECTOR_ENTRIES:
            raise MalformedRecordError(f"invalid vector length: {count} entries")
        return [read_entry() for _ in range(max(0, count))]

    @property
    def remaining(self) -> int:
        """Number of unread bytes."""
        return len(self.data) - self.position


def split_frames(buffer: bytearray) -> list[bytes]:
    """Remove the complete frames from the buffer and return them.

    Raises:
        MalformedRecordError: a frame has a negative or too large length.
    """
    frames = []
    position = 0
    while len(buffer) - position >= INT32.size:
        start = position + INT32.size
        size = int.from_bytes(buffer[position:start], "big", signed=True)
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise MalformedRecordError(f"invalid frame length: {size} bytes")
        if len(buffer) - start < size:
            break
        frames.append(bytes(buffer[start : start + size]))
        position = start + size
    del buffer[:position]
    return frames
