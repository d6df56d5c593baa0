"""Buffer of a client's bytes that are not parsed yet, with the time of their arrival.

Requests wait as the bytes that were received, because a parsed request takes several times the memory of its
bytes. This module contains no socket code and reads no clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Bytes of a connection from which no more is read until they are parsed.
MAX_READ_AHEAD_BYTES = 16 * 1024
MAX_READ_AHEAD_READS = 16  # Reads of a connection from which no more is read until they are parsed.
MAX_SLICE_BYTES = 4096  # Bytes that are parsed at once, unless they are content of a body of known length.
MIN_SLICE_BYTES = 16  # No request is shorter; empty lines and chunks may be.
END_OF_HEAD = b"\r\n\r\n"  # Also the end of a chunked body.


class ReceivedBytes(NamedTuple):
    """Bytes of one read.

    Attributes:
        data: the bytes.
        read_at: when they were read from the socket (monotonic, s).
        arrived_at: the earliest time at which the first of them may have arrived (monotonic, s).
    """

    data: bytes
    read_at: float
    arrived_at: float


class InputBuffer:
    """Received bytes of a connection in the order of arrival.

    Attributes:
        size: number of bytes in the buffer.
        read_at: `ReceivedBytes.read_at` of the read that the last slice belongs to.
        arrived_at: `ReceivedBytes.arrived_at` of this read.
    """

    __slots__ = ("_offset", "_reads", "arrived_at", "read_at", "size")

    def __init__(self) -> None:
        self._reads: deque[ReceivedBytes] = deque()
        self._offset = 0  # Offset in the first read of the first byte that is in the buffer.
        self.size = 0
        self.read_at = 0.0
        self.arrived_at = 0.0

    @property
    def is_full(self) -> bool:
        """Return whether no more bytes should be read from the client."""
        return self.size >= MAX_READ_AHEAD_BYTES or len(self._reads) >= MAX_READ_AHEAD_READS

    def append(self, received: ReceivedBytes) -> None:
        """Append the bytes of a read, which must not be empty."""
        self._reads.append(received)
        self.size += len(received.data)

    def take_slice(self, content_bytes: int) -> bytes | memoryview:
        """Remove and return the next bytes to parse; the buffer must not be empty.

        A slice ends where a request's head or chunked body may end, so that it rarely completes more than one
        request.

        Args:
            content_bytes: number of bytes that are content of a body of known length.
        """
        data, self.read_at, self.arrived_at = self._reads[0]
        begin = self._offset
        end = min(len(data), begin + (content_bytes or self._slice_bytes(data, begin)))
        if end == len(data):
            self._reads.popleft()
            self._offset = 0
        else:
            self._offset = end
        self.size -= end - begin
        return memoryview(data)[begin:end] if end - begin < len(data) else data

    @staticmethod
    def _slice_bytes(data: bytes, begin: int) -> int:
        """Return the length of the slice that begins at an offset outside of a body of known length."""
        end_of_head = data.find(
            END_OF_HEAD, begin + MIN_SLICE_BYTES - len(END_OF_HEAD), begin + MAX_SLICE_BYTES
        )
        return MAX_SLICE_BYTES if end_of_head < 0 else end_of_head + len(END_OF_HEAD) - begin

    def clear(self) -> None:
        """Discard all bytes."""
        self._reads.clear()
        self._offset = 0
        self.size = 0
