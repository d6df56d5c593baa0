"""The second address: the staff's calls over HTTP/1.1, one a connection. Routing is a table of its own
(DAYS, "The second address"); who answers, and what, is the office's.

Bounded: beyond MOST_CONSOLE connections the one that has waited longest without a whole call makes room, so
that callers who hold connections keep nobody out.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, NamedTuple, Protocol, cast
from urllib.parse import unquote_to_bytes

import httptools

from service_proxy.admin.maintenance import MAX_NAME_BYTES
from service_proxy.net.listing import Address

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # connections at once
MAX_REQUEST_BYTES = 8 * 1024  # bytes of a call, with its head
REQUEST_TIMEOUT_S = 5.0  # s from the connect to a whole call
RESPONSE_TIMEOUT_S = 1.0  # s in which an answer must have been taken
SWEEP_INTERVAL_S = 0.5  # s between looks for connections whose time is up
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


class AdminResponse(NamedTuple):
    """An answer: 2xx is yes, 4xx and 5xx are no."""

    code: int
    text: str


class AdminHandler(Protocol):
    """Who answers the calls."""

    def health(self) -> AdminResponse: ...

    def stats(self) -> AdminResponse: ...

    def start_maintenance(self, name: str) -> AdminResponse: ...

    def end_maintenance(self, name: str) -> AdminResponse: ...


def route(office: AdminHandler, method: bytes, target: bytes) -> AdminResponse:
    """One call. What is no call of ours is owed a no."""
    path = target.partition(b"?")[0]
    parts = path.split(b"/")[1:] if path.startswith(b"/") else []
    if len(parts) == 1 and parts[0] in (b"healthcheck", b"stats"):
        if method != b"GET":
            return AdminResponse(405, "this is asked with GET\n")
        return office.health() if parts[0] == b"healthcheck" else office.stats()
    if len(parts) == 3 and parts[0] == b"backends" and parts[2] in (b"maint", b"ready"):
        if method != b"POST":
            return AdminResponse(405, "this is asked with POST\n")
        name = unquote_to_bytes(parts[1])
        if not 0 < len(name) <= MAX_NAME_BYTES:
            return AdminResponse(404, "no such backend\n")
        text = name.decode("utf-8", "replace")
        return office.start_maintenance(text) if parts[2] == b"maint" else office.end_maintenance(text)
    return AdminResponse(
        404, "no such call; there are /healthcheck, /stats, /backends/ID/maint and /backends/ID/ready\n"
    )


class AdminConnection(asyncio.Protocol):
    """One connection with one call."""

    def __init__(self, console: AdminServer) -> None:
        self.server = console
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.received_bytes = 0
        self.response: AdminResponse | None = None
        self.phase_started_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.phase_started_at = time.monotonic()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.server.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.response is not None:
            return  # what comes behind the call is read, so that the answer arrives, and dropped
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if self.response is None and self.received_bytes > MAX_REQUEST_BYTES:
                self.response = AdminResponse(400, "the call does not end\n")
        except Exception:  # of the parser
            if self.response is None:
                self.response = AdminResponse(400, "malformed HTTP\n")
        if self.response is not None:
            self._send(self.response)

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_message_complete(self) -> None:
        if self.response is not None:
            return  # a second call on the connection
        try:
            self.response = route(self.server.handler, self.parser.get_method(), self.target)
        except Exception:
            log.exception("a call of the console failed")
            self.response = AdminResponse(503, "internal error\n")

    def _send(self, word: AdminResponse) -> None:
        if self.transport is None:
            return
        body = word.text.encode()
        head = (
            f"HTTP/1.1 {word.code} {REASONS[word.code]}\r\ncontent-type: text/plain; charset=utf-8\r\n"
            f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.phase_started_at = time.monotonic()
        self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class AdminServer:
    """The listener."""

    def __init__(self, office: AdminHandler) -> None:
        self.handler = office
        self.loop = asyncio.get_running_loop()
        self.connections: dict[AdminConnection, None] = {}  # in the order in which they came
        self.listener: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, at: Address) -> None:
        """Raises OSError where it can't."""
        self.listener = await self.loop.create_server(lambda: AdminConnection(self), *at, backlog=64)
        self._sweep()

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for call in list(self.connections):
            call.abort()

    def add(self, call: AdminConnection) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(
                (other for other in self.connections if other.response is None), next(iter(self.connections))
            )
            del self.connections[oldest]
            oldest.abort()
        self.connections[call] = None

    def _sweep(self) -> None:
        now = time.monotonic()
        for call in list(self.connections):
            if now - call.phase_started_at > (
                REQUEST_TIMEOUT_S if call.response is None else RESPONSE_TIMEOUT_S
            ):
                call.abort()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
