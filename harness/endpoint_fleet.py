"""Stub endpoints of a large fleet, with one listener each on a loopback address of its own.

All endpoints run in one process. Each executes a few requests at a time and queues the rest. The counters
show the load that a proxy puts on its endpoints: connections, requests and health checks. A request that
waits longer than its budget is still executed, as at an endpoint that ignores the budget.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence
from typing import Any, cast

import httptools

from harness.proxy_process import free_port
from harness.stub_endpoint import HEALTH_CHECKS

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "
FIRST_NETWORK = 16  # addresses start at 127.16.0.0, because 127.0.0.1 is used by all other programs
BACKLOG = 16


def endpoint_host(number: int) -> str:
    """Return the loopback address of the endpoint with this number."""
    return f"127.{FIRST_NETWORK + (number >> 16)}.{(number >> 8) & 255}.{number & 255}"


class FleetCounters:
    """Connections, requests and health checks of all endpoints of a fleet."""

    def __init__(self) -> None:
        self.connections = 0
        self.requests = 0
        self.health_checks = 0
        self.requested_endpoints: set[str] = set()
        self.checked_endpoints: set[str] = set()


class FleetEndpoint:
    """One endpoint, which executes `slots` requests at a time for `service_time` seconds each."""

    def __init__(
        self, counters: FleetCounters, name: str, host: str, port: int, slots: int, service_time: float
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.counters = counters
        self.name = name
        self.host = host
        self.port = port
        self.slots = slots
        self.service_time = service_time
        self.executing = 0
        self.waiting: deque[_FleetConnection] = deque()
        self.connections: set[_FleetConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the endpoint's address."""
        self.server = await self.loop.create_server(
            lambda: _FleetConnection(self), self.host, self.port, reuse_address=True, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Stop like a crashed process: open connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.waiting.clear()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def execute(self, connection: _FleetConnection) -> None:
        """Execute a request, now or after a slot becomes free."""
        if self.executing >= self.slots:
            self.waiting.append(connection)
            return
        self.executing += 1
        self.loop.call_later(self.service_time, self._finish, connection)

    def _finish(self, connection: _FleetConnection) -> None:
        self.executing -= 1
        connection.answer(b"done")
        if self.waiting:
            self.execute(self.waiting.popleft())

    @property
    def load_report(self) -> bytes:
        """Return the load report, with the fields that `platform_settings` names."""
        return b"busy_reqs=%d,pending=%d" % (self.executing + len(self.waiting), len(self.waiting))


class _FleetConnection(asyncio.Protocol):
    """One connection from a proxy."""

    def __init__(self, endpoint: FleetEndpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.endpoint.connections.add(self)
        self.endpoint.counters.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.endpoint.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        counters = self.endpoint.counters
        if self.target in HEALTH_CHECKS:
            counters.health_checks += 1
            counters.checked_endpoints.add(self.endpoint.name)
            self.answer(self.endpoint.load_report)
        else:
            counters.requests += 1
            counters.requested_endpoints.add(self.endpoint.name)
            self.endpoint.execute(self)

    def answer(self, body: bytes) -> None:
        if self.transport is not None:
            self.transport.write(OK_HEAD + str(len(body)).encode() + b"\r\n\r\n" + body)


class EndpointFleet:
    """Fleet to which endpoints are added and from which they are removed; no address is ever reused."""

    def __init__(self, slots: int, service_time: float) -> None:
        self.slots = slots
        self.service_time = service_time
        self.counters = FleetCounters()
        self.endpoints: dict[str, FleetEndpoint] = {}
        self.port = free_port()
        self._next_number = 1

    async def add(self) -> FleetEndpoint:
        """Start one more endpoint and return it."""
        number = self._next_number
        self._next_number += 1
        host = endpoint_host(number)
        endpoint = FleetEndpoint(
            self.counters, f"s-{number:06x}", host, self.port, self.slots, self.service_time
        )
        await endpoint.start()
        self.endpoints[endpoint.name] = endpoint
        return endpoint

    def remove(self, name: str) -> None:
        """Stop an endpoint and remove it from the fleet."""
        self.endpoints.pop(name).stop()

    def names(self) -> Sequence[str]:
        """Return the names of all running endpoints."""
        return list(self.endpoints)

    def stop(self) -> None:
        """Stop all endpoints."""
        for endpoint in self.endpoints.values():
            endpoint.stop()
