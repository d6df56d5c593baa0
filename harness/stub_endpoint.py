"""Stub endpoints: HTTP/1.1 servers on loopback that record the requests they receive and execute.

A stub endpoint serves each request after its service time, or answers nothing while it is `silent`. It
simulates no queues, no slow start and no scripted faults.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, cast

import httptools

from harness.event_loop import listen
from harness.recorder import EndpointStart, RecordedAttempt, Recorder

LOAD_REPORT = b"inflight=0,queue=0"
DEFAULT_BUDGET_S = 60.0  # time budget of a request without X-Budget
HEALTH_CHECKS = (b"/load", b"/healthz")


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A completely received request."""

    class_name: str
    request_id: str
    key: str
    deadline: float  # monotonic time at which the sender stops waiting
    budget: bytes = b""  # value of its Tier-Budget header


class StubEndpoint:
    """One stub endpoint."""

    def __init__(
        self,
        recorder: Recorder,
        name: str,
        zone: str = "a",
        service_time: float = 0.01,
        capacity: float = 2.0,
        handler: Callable[[IncomingRequest], Coroutine[Any, Any, bool]] | None = None,
    ) -> None:
        """Create an endpoint that does not listen yet.

        Args:
            recorder: Recorder of its attempts and starts.
            name: Name in discovery.
            zone: Zone of the endpoint.
            service_time: Seconds that a request takes.
            capacity: Core seconds per second.
            handler: Further work for a request, such as requests to the next tier; returns whether it
                succeeded.
        """
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.recorder = recorder
        self.name = name
        self.zone = zone
        self.service_time = service_time
        self.capacity = capacity
        self.silent = False
        self.paused_until = 0.0  # monotonic; requests received before this time are executed at this time
        self.connections: set[_EndpointConnection] = set()
        self.tasks: set[asyncio.Task[bool]] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.since_ms = 0
        self.request_count = 0  # excludes health checks
        self.last_request_by_proxy: dict[str, float] = {}  # first-byte time of each proxy's last request

    async def start(self, warming_up: bool = False) -> str:
        """Listen, at the previous address if there is one; return the address."""
        self.server, self.address = await listen(lambda: _EndpointConnection(self), self.address)
        if warming_up:
            self.since_ms = int(time.time() * 1000)
            self.recorder.starts.append(EndpointStart(self.name, time.monotonic(), self.capacity))
        return self.address

    def stop(self) -> None:
        """Stop like a crashed process: open connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _EndpointConnection(asyncio.Protocol):
    """One connection from a proxy."""

    def __init__(self, endpoint: StubEndpoint) -> None:
        self.endpoint = endpoint
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.first_byte_at = 0.0
        self.attempt: RecordedAttempt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint.connections.add(self)
        self.parser = httptools.HttpRequestParser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.endpoint.connections.discard(self)
        if self.attempt is not None:
            self.attempt.ended_at = min(self.attempt.ended_at, time.monotonic())

    def data_received(self, data: bytes) -> None:
        if not self.first_byte_at:
            self.first_byte_at = time.monotonic()
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers = {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        first_byte_at = self.first_byte_at
        self.first_byte_at = 0.0
        if self.target in HEALTH_CHECKS:
            self._answer_health_check()
            return
        endpoint = self.endpoint
        now = time.monotonic()
        request_id = self.headers[b"x-call-id"].decode()
        proxy = self.headers.get(b"x-via", b"").decode()
        key = self.headers.get(b"idempotency-key", b"").decode()
        endpoint.request_count += 1
        endpoint.last_request_by_proxy[proxy] = first_byte_at
        self.attempt = attempt = endpoint.recorder.attempt(
            request_id,
            endpoint.name,
            endpoint.zone,
            first_byte_at,
            last_byte_at=now,
            key=key,
            work=endpoint.service_time,
            proxy=proxy,
        )
        if endpoint.silent:
            return
        class_name = self.target[1:].split(b"/", 1)[0].decode()
        deadline = now + parse_budget(self.headers.get(b"x-budget", b""))
        budget = self.headers.get(b"tier-budget", b"")
        incoming = IncomingRequest(class_name, request_id, key, deadline, budget)
        pause = endpoint.paused_until - now
        if pause > 0:
            endpoint.loop.call_later(pause, self._on_pause_end, attempt, incoming)
        else:
            self._execute(attempt, incoming)

    def _answer_health_check(self) -> None:
        if self.endpoint.silent:
            return
        pause = self.endpoint.paused_until - time.monotonic()
        if pause > 0:
            self.endpoint.loop.call_later(pause, self._answer, LOAD_REPORT)
        else:
            self._answer(LOAD_REPORT)

    def _on_pause_end(self, attempt: RecordedAttempt, incoming: IncomingRequest) -> None:
        """Execute a request after a pause, unless its connection has ended in the meantime."""
        if self.transport is not None:
            self._execute(attempt, incoming)

    def _execute(self, attempt: RecordedAttempt, incoming: IncomingRequest) -> None:
        attempt.executed = True
        attempt.executed_at = time.monotonic()
        self.endpoint.loop.call_later(self.endpoint.service_time, self._on_service_time, attempt, incoming)

    def _on_service_time(self, attempt: RecordedAttempt, incoming: IncomingRequest) -> None:
        if self.endpoint.handler is None:
            self._finish(attempt, True)
            return
        task = self.endpoint.loop.create_task(self.endpoint.handler(incoming))
        self.endpoint.tasks.add(task)
        task.add_done_callback(self.endpoint.tasks.discard)
        task.add_done_callback(lambda task: self._finish(attempt, not task.cancelled() and task.result()))

    def _finish(self, attempt: RecordedAttempt, succeeded: bool) -> None:
        if self.transport is not None:
            attempt.ended_at = time.monotonic()
            self._answer(b"done " + attempt.request_id.encode(), 200 if succeeded else 500)

    def _answer(self, body: bytes, status_code: int = 200) -> None:
        if self.transport is not None:
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status_code, len(body))
            self.transport.write(head + body)


def parse_budget(text: bytes) -> float:
    """Return the value of X-Budget in seconds, or DEFAULT_BUDGET_S without the header."""
    if not text:
        return DEFAULT_BUDGET_S
    return float(text[:-1]) / (1e3 if text.endswith(b"m") else 1e6)
