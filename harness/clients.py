"""Clients of a proxy, which send requests of the usual classes at a steady rate and record each outcome.

The load is an open loop: send times are drawn in advance and do not depend on answers, so a slow proxy
receives requests at the same rate as a fast one.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any, cast

import httptools

from harness.recorder import Idempotency, ReceivedAnswer, Recorder, SentRequest

MAX_CONNECTIONS = 400  # connections per pool; a request beyond this limit is not sent and counts as unsent
# longest idle time of a connection that is reused; the proxy closes idle connections some seconds later
IDLE_REUSE_S = 2.0
GIVE_UP_MARGIN_S = 0.25  # time after a request's budget until a request without an answer counts as timed out
ANSWER_POLL_INTERVAL_S = 0.02  # interval between two checks for requests without an answer
NOT_SENT = -1  # stands in place of a status code


@dataclass(frozen=True, slots=True)
class ClientClass:
    """A request class as the clients' settings define it."""

    name: str
    share: float  # share of all requests
    budget: float  # time budget in s
    idempotency: Idempotency


DEFAULT_CLASSES = (
    ClientClass("stock", 0.16, 1.2, Idempotency("repeatable")),
    ClientClass("reserva", 0.52, 4.0, Idempotency("by_key", 6.0)),
    ClientClass("canje", 0.32, 6.0, Idempotency("once")),
)
IDEMPOTENCY_BY_CLASS = {cls.name: cls.idempotency for cls in DEFAULT_CLASSES}
CLASS_SETTINGS: list[dict[str, Any]] = [
    {"name": "stock", "value": 12.0, "objective": 0.5, "deadline": 1.2, "effect": "repeatable"},
    {
        "name": "reserva",
        "value": 1.0,
        "objective": 1.5,
        "deadline": 4.0,
        "effect": "by_key",
        "group": "zone",
        "window": 6.0,
    },
    {"name": "canje", "value": 1.0, "objective": 2.5, "deadline": 6.0, "effect": "once"},
]


def format_request(
    cls: ClientClass, request_id: str, via: str = "", key: str = "", extra_header: str = ""
) -> bytes:
    """Return the bytes of one request in the protocol page's format; `via` names the sender."""
    is_get = cls.idempotency.kind == "repeatable"
    lines = [
        f"{'GET' if is_get else 'POST'} /{cls.name}/1 HTTP/1.1",
        "Host: service.internal",
        f"X-Call-Id: {request_id}",
        f"X-Budget: {cls.budget * 1000:.0f}m",
    ]
    if via:
        lines.append(f"X-Via: {via}")
    if cls.idempotency.kind == "by_key":
        lines.append(f"Idempotency-Key: {key or request_id}")
    if not is_get:
        lines.append("Content-Length: 0")
    if extra_header:
        lines.append(extra_header)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class ClientPool:
    """Pool of keep-alive connections of one client name, which sends requests and records the answers."""

    def __init__(
        self,
        recorder: Recorder,
        proxy: tuple[str, int],
        name: str,
        seed: int,
        classes: Sequence[ClientClass] = DEFAULT_CLASSES,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.recorder = recorder
        self.name = name
        self.classes = classes
        self.proxies = [proxy]  # new connections use these addresses in turn
        self.random = Random(f"{name} {seed}")
        self.idle: list[_ClientConnection] = []
        self.live_connections: set[_ClientConnection] = set()
        self.connection_count = 0
        self.budget_shares = (1.0, 1.0)  # range of a request's budget, as shares of its class's budget
        self.request_count = 0
        self.unsent_count = 0
        self.open_requests: set[str] = set()
        self.waiters: dict[str, asyncio.Future[int]] = {}
        self.status_codes: Counter[int] = Counter()

    async def run(self, seconds: float, rate: float, wait_and_close: bool = True) -> None:
        """Send requests for `seconds`.

        With `wait_and_close`, then wait for the open requests and close the idle connections.
        """
        started_at = self.loop.time()
        next_send_at = started_at
        while (next_send_at := next_send_at + self.random.expovariate(rate)) < started_at + seconds:
            await asyncio.sleep(max(0.0, next_send_at - self.loop.time()))
            cls = self.random.choices(self.classes, [cls.share for cls in self.classes])[0]
            self.send(replace(cls, budget=cls.budget * self.random.uniform(*self.budget_shares)))
        if not wait_and_close:
            return
        longest = max(cls.budget for cls in self.classes) + GIVE_UP_MARGIN_S
        end = self.loop.time() + longest
        while self.open_requests and self.loop.time() < end:
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)
        self.close()

    def send(self, cls: ClientClass, key: str = "", extra_header: str = "", parent_id: str = "") -> str:
        """Send one request and return its id.

        Args:
            cls: Class of the request.
            key: Idempotency key of a keyed request; the request id if empty.
            extra_header: Additional header line.
            parent_id: Id of the incoming request that causes this one, as a prefix of the new id; none if
                empty.
        """
        self.request_count += 1
        request_id = f"{parent_id or self.name}-{self.request_count:08x}"
        self.open_requests.add(request_id)
        while self.idle and self.idle[-1].idle_since < self.loop.time() - IDLE_REUSE_S:
            self.idle.pop().close()  # the proxy could close the connection while a request is on its way
        if self.idle:
            self.idle.pop().send(cls, request_id, key, extra_header)
        elif self.connection_count < MAX_CONNECTIONS:
            self.connection_count += 1
            self.loop.create_task(self._connect(cls, request_id, key, extra_header))
        else:
            self.loop.call_soon(self.on_not_sent, request_id)
        return request_id

    async def request(
        self, cls: ClientClass, key: str = "", extra_header: str = "", parent_id: str = ""
    ) -> int:
        """Send one request; return its status code, 0 without an answer, or NOT_SENT if it was never sent."""
        return await self.wait_for(self.send(cls, key, extra_header, parent_id))

    async def wait_for(self, request_id: str) -> int:
        """Return the status code of a request; call this right after `send`, before the event loop runs."""
        self.waiters[request_id] = self.loop.create_future()
        return await self.waiters[request_id]

    def _next_proxy(self) -> tuple[str, int]:
        self.proxies.append(self.proxies.pop(0))
        return self.proxies[-1]

    async def _connect(self, cls: ClientClass, request_id: str, key: str, extra_header: str) -> None:
        try:
            _, connection = await self.loop.create_connection(
                lambda: _ClientConnection(self), *self._next_proxy()
            )
        except OSError:
            self.connection_count -= 1
            self.on_not_sent(request_id)
        else:
            connection.send(cls, request_id, key, extra_header)

    def on_not_sent(self, request_id: str) -> None:
        """Count a request that could not be sent because there was no connection."""
        self.unsent_count += 1
        self._resolve(request_id, NOT_SENT)

    def on_answer(
        self, request_id: str, received_at: float, status_code: int, client_gave_up: bool = False
    ) -> None:
        """Record the outcome of a request; status code 0: its connection ended without an answer."""
        self.status_codes[NOT_SENT if client_gave_up else status_code] += 1
        self.recorder.answers.append(ReceivedAnswer(request_id, received_at, status_code, client_gave_up))
        self._resolve(request_id, status_code)

    def _resolve(self, request_id: str, status_code: int) -> None:
        self.open_requests.discard(request_id)
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(status_code)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close()


class _ClientConnection(asyncio.Protocol):
    """One client connection, which carries one request at a time."""

    def __init__(self, pool: ClientPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.request_id = ""
        self.parser: Any = None
        self.timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.live_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.pool.live_connections.discard(self)
        self.pool.connection_count -= 1
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self._finish(0)

    def send(self, cls: ClientClass, request_id: str, key: str, extra_header: str) -> None:
        pool = self.pool
        if self.transport is None:
            pool.loop.call_soon(pool.on_not_sent, request_id)
            return
        self.request_id = request_id
        self.parser = httptools.HttpResponseParser(self)
        now = time.monotonic()
        deadline = now + cls.budget
        self.timer = pool.loop.call_later(cls.budget + GIVE_UP_MARGIN_S, self._on_timeout, deadline)
        pool.recorder.requests.append(
            SentRequest(request_id, cls.name, now, deadline, key or request_id, pool.name)
        )
        self.transport.write(format_request(cls, request_id, pool.name, key, extra_header))

    def data_received(self, data: bytes) -> None:
        if not self.request_id:  # an answer without a request is recorded, so that the audit reports it
            self.pool.recorder.answers.append(
                ReceivedAnswer(f"unrequested answer to {self.pool.name}", time.monotonic(), 1)
            )
            return
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        keep_alive = self.parser.should_keep_alive()
        self._finish(self.parser.get_status_code())
        if keep_alive and self.transport is not None:
            self.idle_since = self.pool.loop.time()
            self.pool.idle.append(self)
        else:
            self.close()

    def _finish(self, status_code: int) -> None:
        request_id = self.request_id
        self.request_id = ""
        if self.timer is not None:
            self.timer.cancel()
        if request_id:
            self.pool.on_answer(request_id, time.monotonic(), status_code)

    def _on_timeout(self, deadline: float) -> None:
        request_id = self.request_id
        self.request_id = ""
        self.pool.on_answer(request_id, deadline, 0, client_gave_up=True)
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
