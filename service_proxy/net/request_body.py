"""Request body on its way from the client to an endpoint: buffered until complete, or streamed.

This module contains no socket code. The component that sends the body (`reader`) is notified of new data,
and the component that receives the body from the client is notified of free buffer space.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from service_proxy.net.block_buffer import BlockBuffer

STREAM_WINDOW_BYTES = 32 * 1024  # Buffer size of a streamed body that waits for the endpoint.


def encode_chunk(data: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the parts of a chunk (RFC 9112, 7.1); `data` must not be empty: that would end the message."""
    return b"%x\r\n" % len(data), data, b"\r\n"


class BodyReader(Protocol):
    """Component that sends the body to an endpoint."""

    def on_body_progress(self) -> None:
        """Process new data of the body, or its end."""


class RequestBody:
    """Body that may be incomplete.

    Attributes:
        length: Announced length; None if the length is known only at the end of the body.
        content: The buffered part of the body.
        received_bytes: Number of bytes received so far.
        pooled_bytes: Bytes of the server's body pool that this body uses.
        is_replayable: True if the whole body is kept until the request ends, so that a retry can send it.
        reader: Component that sends the body to an endpoint.
        on_drained: Called when the buffer has free space again.
        on_complete: Called after the last byte.
        on_rest_sent: Called while the body is not read, with the earliest time at which the client may have
            sent the last byte (monotonic, s), or None if it has not sent it.
    """

    __slots__ = (
        "content",
        "is_complete",
        "is_replayable",
        "length",
        "on_complete",
        "on_drained",
        "on_rest_sent",
        "pooled_bytes",
        "reader",
        "received_bytes",
    )

    def __init__(self, length: int | None = None) -> None:
        self.length = length
        self.content = BlockBuffer()
        self.received_bytes = 0
        self.pooled_bytes = 0
        self.is_replayable = True
        self.is_complete = False
        self.reader: BodyReader | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_complete: Callable[[], None] | None = None
        self.on_rest_sent: Callable[[float | None], None] | None = None

    @classmethod
    def of(cls, content: bytes) -> RequestBody:
        """Return a complete body with this content."""
        body = cls(len(content))
        if content:
            body.append(content)
        body.finish()
        return body

    def append(self, part: bytes) -> None:
        """Append a received part."""
        self.content.append(part)
        self.received_bytes += len(part)
        if self.reader is not None:
            self.reader.on_body_progress()

    def finish(self) -> None:
        """Record that the last byte was received."""
        self.is_complete = True
        if self.length is None and self.is_replayable:
            self.length = self.received_bytes
        if self.on_complete is not None:
            self.on_complete()
        if self.reader is not None:
            self.reader.on_body_progress()

    @property
    def is_full(self) -> bool:
        """Return True if the buffer is full, so that no more of the body may be read from the client."""
        return not self.is_replayable and self.content.size > STREAM_WINDOW_BYTES

    @property
    def parts(self) -> list[bytes]:
        """Return the buffered parts; adjoining small parts are joined."""
        return self.content.blocks

    def drop(self) -> None:
        """Free the memory of the content, because no attempt will send the body again."""
        self.content.take()

    def remove_callbacks(self) -> None:
        """Remove the callbacks, because the client's side of the request has ended.

        They refer to this body, so they would keep its memory until a garbage collection.
        """
        self.on_drained = None
        self.on_complete = None
        self.on_rest_sent = None

    def take_parts(self) -> list[bytes]:
        """Return the first parts of a streamed body, one window at most, and remove them from the buffer.

        The rest of a longer buffer stays here, where the server's body pool counts it, until the endpoint has
        accepted these parts.
        """
        parts = self.content.take_first(STREAM_WINDOW_BYTES)
        if self.on_drained is not None:
            self.on_drained()
        return parts

    def take_encoded_parts(self) -> list[bytes]:
        """Return the same as `take_parts`, in chunked transfer coding if the body has no stated length."""
        parts = self.take_parts()
        if self.length is not None:
            return parts
        return [piece for part in parts for piece in encode_chunk(part)]
