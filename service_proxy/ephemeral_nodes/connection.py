"""One connection to a server of the ensemble: bytes in, frames out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from service_proxy.ephemeral_nodes.errors import MalformedRecordError
from service_proxy.ephemeral_nodes.jute import split_frames

log = logging.getLogger(__name__)


class FrameProtocol(asyncio.Protocol):
    """Calls `on_frame` for each complete frame, and `on_connection_lost` once at the end.

    A frame that can't be read ends the connection.
    """

    def __init__(self, on_frame: Callable[[bytes], None], on_connection_lost: Callable[[], None]) -> None:
        self.on_frame = on_frame
        self.on_connection_lost = on_connection_lost
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def data_received(self, data: bytes) -> None:
        """Hand on the frames that are complete."""
        self.buffer += data
        try:
            for frame in split_frames(self.buffer):
                self.on_frame(frame)
        except MalformedRecordError as error:
            log.warning("malformed_record_received error=%s", error)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the end."""
        self.transport = None
        self.on_connection_lost()

    def write(self, data: bytes) -> None:
        """Send these bytes; none where the connection has ended."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
