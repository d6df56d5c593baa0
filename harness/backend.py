"""Stand-ins for nodos: HTTP/1.1 servers on loopback that log what reaches them and what they run.

A plain one: it serves each request after its time, or says nothing while it is `silent`. Queues, warm-up and
scripted faults are the emulator's.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, cast

import httptools

from harness.kit import listen
from harness.ledger import OPEN, Attempt, Ledger, Start

LOAD = b"inflight=0,queue=0"


@dataclass(frozen=True, slots=True)
class Incoming:
    """A call as the server has it whole."""

    cls: str
    call: str
    key: str
    due: float  # monotonic: when who sent it stops waiting
    budget: bytes = b""  # its Tier-Budget


class Backend:
    def __init__(
        self,
        ledger: Ledger,
        name: str,
        zone: str = "a",
        service: float = 0.01,
        capacity: float = 2.0,
        further: Callable[[Incoming], Coroutine[Any, Any, bool]] | None = None,
    ) -> None:
        """`service`: s that a call takes; `capacity`: core seconds each second; `further`: what else it does
        for a call (calls to the next tier), and whether it succeeded."""
        self.further = further
        self.loop = asyncio.get_running_loop()
        self.ledger = ledger
        self.name = name
        self.zone = zone
        self.service = service
        self.capacity = capacity
        self.silent = False
        self.paused_until = 0.0  # monotonic: takes calls meanwhile, and works on them after
        self.connections: set[_Connection] = set()
        self.tasks: set[asyncio.Task[bool]] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.since_ms = 0
        self.seen = 0  # calls, without probes
        self.last_by: dict[str, float] = {}  # when each proxy last began one here

    async def start(self, cold: bool = False) -> str:
        """Listens where it did before, if it did."""
        self.server, self.address = await listen(lambda: _Connection(self), self.address)
        if cold:
            self.since_ms = int(time.time() * 1000)
            self.ledger.starts.append(Start(self.name, time.monotonic(), self.capacity))
        return self.address

    def stop(self) -> None:
        """As a process that dies: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _Connection(asyncio.Protocol):
    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.begun = 0.0
        self.attempt: Attempt | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)
        self.parser = httptools.HttpRequestParser(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None
        self.backend.connections.discard(self)
        if self.attempt is not None:
            self.attempt.ended = min(self.attempt.ended, time.monotonic())

    def data_received(self, data: bytes) -> None:
        if not self.begun:
            self.begun = time.monotonic()
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.target = b""
        self.headers = {}

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        begun = self.begun
        self.begun = 0.0
        backend = self.backend
        if self.target in (b"/load", b"/healthz"):
            if not backend.silent:
                wait = max(0.0, backend.paused_until - time.monotonic())
                if wait:
                    backend.loop.call_later(wait, self._answer, LOAD)
                else:
                    self._answer(LOAD)
            return
        now = time.monotonic()
        call = self.headers[b"x-call-id"].decode()
        via = self.headers.get(b"x-via", b"").decode()
        key = self.headers.get(b"idempotency-key", b"").decode()
        backend.seen += 1
        backend.last_by[via] = begun
        self.attempt = attempt = backend.ledger.attempt(
            call, backend.name, backend.zone, begun, key=key, work=backend.service, proxy=via, whole=now
        )
        if not backend.silent:
            attempt.ran = True
            attempt.ran_at = now
            cls = self.target[1:].split(b"/", 1)[0].decode()
            due = now + budget_of(self.headers.get(b"x-budget", b""))
            incoming = Incoming(cls, call, key, due, self.headers.get(b"tier-budget", b""))
            wait = max(0.0, backend.paused_until - now)
            if wait:
                attempt.ran = False
                attempt.ran_at = OPEN
                backend.loop.call_later(wait, self._resumed, attempt, incoming)
            else:
                backend.loop.call_later(backend.service, self._served, attempt, incoming)

    def _resumed(self, attempt: Attempt, incoming: Incoming) -> None:
        """After a pause: whose connection has ended meanwhile is not begun."""
        if self.transport is not None:
            attempt.ran, attempt.ran_at = True, time.monotonic()
            self.backend.loop.call_later(self.backend.service, self._served, attempt, incoming)

    def _served(self, attempt: Attempt, incoming: Incoming) -> None:
        if self.backend.further is None:
            self._end(attempt, True)
            return
        task = self.backend.loop.create_task(self.backend.further(incoming))
        self.backend.tasks.add(task)
        task.add_done_callback(self.backend.tasks.discard)
        task.add_done_callback(lambda task: self._end(attempt, not task.cancelled() and task.result()))

    def _end(self, attempt: Attempt, well: bool) -> None:
        if self.transport is not None:
            attempt.ended = time.monotonic()
            self._answer(b"done " + attempt.call.encode(), 200 if well else 500)

    def _answer(self, body: bytes, code: int = 200) -> None:
        if self.transport is not None:
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, len(body))
            self.transport.write(head + body)


def budget_of(text: bytes) -> float:
    """X-Budget in s; a minute where there is none."""
    if not text:
        return 60.0
    return float(text[:-1]) / (1e3 if text.endswith(b"m") else 1e6)
