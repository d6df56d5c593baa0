"""Admin server: HTTP/1.1 at its own address, with one request per connection.

Connections are bounded: beyond MAX_CONNECTIONS the connection that has waited longest without a complete
request is closed, so that clients that keep connections open can't block other clients.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any, cast

import httptools

from service_proxy.admin.routes import AdminHandler, AdminResponse, route
from service_proxy.net.endpoint_list import Address

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
MAX_REQUEST_BYTES = 8 * 1024  # bytes of a request, including its head
REQUEST_TIMEOUT_S = 5.0  # from the accepted connection to a complete request
RESPONSE_TIMEOUT_S = 1.0  # time for the client to read the response
SWEEP_INTERVAL_S = 0.5  # interval between checks for overdue connections
LISTEN_BACKLOG = 64

REQUEST_TOO_LARGE = AdminResponse(HTTPStatus.BAD_REQUEST, "the call does not end\n")
MALFORMED_REQUEST = AdminResponse(HTTPStatus.BAD_REQUEST, "malformed HTTP\n")
INTERNAL_ERROR = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "internal error\n")


class AdminConnection(asyncio.Protocol):
    """Connection that carries one request."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.received_bytes = 0
        self.response: AdminResponse | None = None
        self.pending_response: asyncio.Task[None] | None = None  # the request is complete, the response not
        self.phase_started_at = 0.0  # monotonic, s: time of the accept, later of the response

    # asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server, which may close another connection to make room."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own transport class
        self.phase_started_at = time.monotonic()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Remove the connection from the server."""
        self.transport = None
        self.parser = None
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Parse the request, and answer it once it is complete or can no longer be completed."""
        if self.has_request:
            return  # data after the request is read, so that the response arrives, and is discarded
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.response is None:
                self.response = MALFORMED_REQUEST
        if self.pending_response is not None:
            return
        if self.response is None and self.received_bytes > MAX_REQUEST_BYTES:
            self.response = REQUEST_TOO_LARGE
        if self.response is not None:
            self._send(self.response)

    # httptools.HttpRequestParser
    def on_url(self, part: bytes) -> None:
        """Append a part of the request's target."""
        self.target += part

    def on_message_complete(self) -> None:
        """Route the request; a second request on the connection is ignored."""
        if self.has_request:
            return
        try:
            reply = route(self.server.handler, self.parser.get_method(), self.target)
        except Exception:
            log.exception("admin_request_failed target=%.200r", self.target)
            reply = INTERNAL_ERROR
        if isinstance(reply, AdminResponse):
            self.response = reply
        else:
            self.pending_response = self.server.loop.create_task(self._send_later(reply))

    async def _send_later(self, reply: Coroutine[Any, Any, AdminResponse]) -> None:
        """Send a response that takes time."""
        try:
            self.response = await reply
        except Exception:
            log.exception("admin_request_failed target=%.200r", self.target)
            self.response = INTERNAL_ERROR
        self._send(self.response)

    def _send(self, response: AdminResponse) -> None:
        if self.transport is None:
            return
        body = response.text.encode()
        head = (
            f"HTTP/1.1 {response.status.value} {response.status.phrase}\r\n"
            "content-type: text/plain; charset=utf-8\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.phase_started_at = time.monotonic()
        self.transport.close()

    @property
    def has_request(self) -> bool:
        """Whether a complete request was received."""
        return self.response is not None or self.pending_response is not None

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def is_overdue(self, now: float) -> bool:
        """Return whether the client took too long to send its request or to read the response."""
        timeout = REQUEST_TIMEOUT_S if self.response is None else RESPONSE_TIMEOUT_S
        return now - self.phase_started_at > timeout


class AdminServer:
    """Listener of the admin server, and its connections."""

    def __init__(self, handler: AdminHandler) -> None:
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.connections: dict[AdminConnection, None] = {}  # in the order in which they were accepted
        self.listener: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, at: Address) -> None:
        """Accept connections at the address `at`.

        Raises:
            OSError: the server can't listen at the address.
        """
        self.listener = await self.loop.create_server(
            lambda: AdminConnection(self), *at, backlog=LISTEN_BACKLOG
        )
        self._sweep()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.listener is not None:
            self.listener.close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort()

    def add(self, connection: AdminConnection) -> None:
        """Add a new connection; at MAX_CONNECTIONS close the oldest connection without a complete request."""
        if len(self.connections) >= MAX_CONNECTIONS:
            first = next(iter(self.connections))
            oldest = next((other for other in self.connections if not other.has_request), first)
            del self.connections[oldest]
            oldest.abort()
        self.connections[connection] = None

    def _sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self.connections):
            if connection.is_overdue(now):
                connection.abort()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
