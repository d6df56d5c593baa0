"""Connection to one server of the ensemble, which splits the received bytes into frames."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from service_proxy.ephemeral_nodes.errors import MalformedRecordError
from service_proxy.ephemeral_nodes.jute import split_frames

log = logging.getLogger(__name__)


class FrameProtocol(asyncio.Protocol):
    """Protocol that calls `on_frame` for each complete frame, and `on_connection_lost` once at the end.

    A malformed frame ends the connection.
    """

    def __init__(self, on_frame: Callable[[bytes], None], on_connection_lost: Callable[[], None]) -> None:
        self.on_frame = on_frame
        self.on_connection_lost = on_connection_lost
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # `cast`, because uvloop's transport is a class of its own.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Call `on_frame` for each complete frame in the buffer."""
        self.buffer += data
        try:
            for frame in split_frames(self.buffer):
                self.on_frame(frame)
        except MalformedRecordError as error:
            log.warning("malformed_record_received error=%s", error)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Report the end of the connection."""
        self.transport = None
        self.on_connection_lost()

    def write(self, data: bytes) -> None:
        """Send these bytes, or discard them if the connection has ended."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
