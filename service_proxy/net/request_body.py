"""A request's body between its client and the endpoints: buffered until complete, or streamed.

No sockets here: who reads it is notified when there is more, who fills it when there is room.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

STREAM_WINDOW_BYTES = 64 * 1024  # of a streamed body that may wait here for the endpoint


def encode_chunk(data: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the pieces of a chunk (RFC 9112, 7.1); not for no data, which would end the message."""
    return b"%x\r\n" % len(data), data, b"\r\n"


class BodyReader(Protocol):
    """Who sends the body on."""

    def on_body_progress(self) -> None:
        """Take note that there is more of it, or that it has ended."""


class RequestBody:
    """A body that may still be coming.

    Attributes:
        length: as announced; None: it ends when it ends.
        received_bytes: of all that have come; `buffered_bytes`: of `parts`.
        is_replayable: all of it stays until the request has ended, so it can be sent again.
        reader: who sends it on.
        on_drained: called when there is room again; `on_complete`: with the last byte.
    """

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
        self.length = length
        self.parts: list[bytes] = []
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.is_replayable = True
        self.is_complete = False
        self.reader: BodyReader | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_complete: Callable[[], None] | None = None

    @classmethod
    def of(cls, content: bytes) -> RequestBody:
        """Return a complete body."""
        body = cls(len(content))
        if content:
            body.append(content)
        body.finish()
        return body

    def append(self, part: bytes) -> None:
        """Take a part that has come."""
        self.parts.append(part)
        self.received_bytes += len(part)
        self.buffered_bytes += len(part)
        if self.reader is not None:
            self.reader.on_body_progress()

    def finish(self) -> None:
        """Take note that the last byte has come."""
        self.is_complete = True
        if self.length is None and self.is_replayable:
            self.length = self.received_bytes
        if self.on_complete is not None:
            self.on_complete()
        if self.reader is not None:
            self.reader.on_body_progress()

    @property
    def is_full(self) -> bool:
        """Tell whether who fills it should wait."""
        return not self.is_replayable and self.buffered_bytes > STREAM_WINDOW_BYTES

    def take_parts(self) -> list[bytes]:
        """Return all that is buffered, and let go of it: the body is streamed."""
        parts = self.parts
        self.parts = []
        self.buffered_bytes = 0
        if self.on_drained is not None:
            self.on_drained()
        return parts
