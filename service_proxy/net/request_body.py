"""A request's body between its caller and backends: held whole, or passed on as it comes.

No sockets here: who reads it is told when there is more, who fills it when there is room.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

STREAM_WINDOW_BYTES = 64 * 1024  # bytes of a body that is passed on which may wait here for the backend


def encode_chunk(data: bytes) -> tuple[bytes, bytes, bytes]:
    """As it stands in a chunked message (RFC 9112, 7.1); not for none, which would end it."""
    return b"%x\r\n" % len(data), data, b"\r\n"


class BodyReader(Protocol):
    """Who sends it on."""

    def on_body_progress(self) -> None:
        """There is more of it, or it has ended."""


class RequestBody:
    """`kept`: all of it stays until the call has ended, so it can be sent again."""

    __slots__ = (
        "buffered_bytes",
        "is_complete",
        "is_replayable",
        "length",
        "on_complete",
        "on_drained",
        "parts",
        "reader",
        "received_bytes",
    )

    def __init__(self, length: int | None = None) -> None:
        """`length`: as announced; None: it ends when it ends."""
        self.length = length
        self.parts: list[bytes] = []
        self.received_bytes = 0  # bytes that have come
        self.buffered_bytes = 0  # bytes of `parts`
        self.is_replayable = True
        self.is_complete = False
        self.reader: BodyReader | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_complete: Callable[[], None] | None = None

    @classmethod
    def of(cls, content: bytes) -> RequestBody:
        """One that is whole."""
        body = cls(len(content))
        if content:
            body.append(content)
        body.finish()
        return body

    def append(self, part: bytes) -> None:
        self.parts.append(part)
        self.received_bytes += len(part)
        self.buffered_bytes += len(part)
        if self.reader is not None:
            self.reader.on_body_progress()

    def finish(self) -> None:
        """Its last byte has come."""
        self.is_complete = True
        if self.length is None and self.is_replayable:
            self.length = self.received_bytes
        if self.on_complete is not None:
            self.on_complete()
        if self.reader is not None:
            self.reader.on_body_progress()

    @property
    def is_full(self) -> bool:
        """Whether who fills it should wait."""
        return not self.is_replayable and self.buffered_bytes > STREAM_WINDOW_BYTES

    def take_parts(self) -> list[bytes]:
        """All that waits; it is let go where the body is passed on."""
        parts = self.parts
        self.parts = []
        self.buffered_bytes = 0
        if self.on_drained is not None:
            self.on_drained()
        return parts
