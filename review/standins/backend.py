"""Backend of a tier: answers requests after their service time (the operators' page PROTOCOL)."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from standins.platform import Record


class Network:
    """Delay of `one_way_s` on each way; precise, since the event loop's timers count whole milliseconds.

    Attributes:
        longest_s: the longest delay that took place, with the time that this process was late.
    """

    def __init__(self, one_way_s: float) -> None:
        self.one_way_s = one_way_s
        self.longest_s = 0.0
        self.under_way: deque[tuple[float, Callable[[], None]]] = deque()

    def pass_on(self, deliver: Callable[[], None]) -> None:
        """Call `deliver` after the delay."""
        if not self.under_way:
            asyncio.get_running_loop().call_soon(self._pump)
        self.under_way.append((time.monotonic(), deliver))

    def _pump(self) -> None:
        while self.under_way and (delay := time.monotonic() - self.under_way[0][0]) >= self.one_way_s:
            self.longest_s = max(self.longest_s, delay)
            self.under_way.popleft()[1]()
        if self.under_way:
            asyncio.get_running_loop().call_soon(self._pump)


@dataclass
class Run:
    """One request as a backend got it; `first_byte_at` is when its first byte came."""

    backend: str
    call_id: str
    class_name: str
    first_byte_at: float
    begun_at: float
    connection: int


class Backend:
    """Backend with its connections; `network` delays what comes and goes."""

    def __init__(
        self,
        record: Record,
        name: str,
        zone: str,
        service_s: Callable[[], float],
        network: Network | None = None,
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.service_s = service_s
        self.network = network
        self.address = ""
        self.held = 0  # Requests in work.
        self.runs: list[Run] = []
        self.connection_count = 0
        self.late_copy_share = 0.0  # Share of the answers of which a second copy follows.
        self.late_copy_s = (0.0, 0.0)  # Range of the time from an answer to its second copy.
        self.copies = 0
        self.random = random.Random(name)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BackendConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, status: str = "Ready") -> dict[str, Any]:
        """Return the entry of the backend in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "portal-lento",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    def body_of(self, call_id: str) -> bytes:
        """Return the body of the answer to a request, which names the request and the backend."""
        return f"answer to {call_id} by {self.name}".encode()


class BackendConnection(asyncio.Protocol):
    """Connection that carries one request at a time."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.loop = asyncio.get_running_loop()
        self.buffer = b""
        self.first_byte_at = 0.0
        self.transport: Any = None
        self.is_busy = False

    def connection_made(self, transport: Any) -> None:
        """Count the connection."""
        self.transport = transport
        self.backend.connection_count += 1
        self.number = self.backend.connection_count

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the cause is not used
        """Forget the connection; work in progress goes on."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Take bytes in once they have crossed the network."""
        now = time.monotonic()
        if self.backend.network is not None:
            self.backend.network.pass_on(partial(self._arrive, now, data))
        else:
            self._arrive(now, data)

    def _arrive(self, sent_at: float, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = sent_at
        self.buffer += data
        self._read()

    def _read(self) -> None:
        """Begin the next request whose last byte has come, unless one is in work."""
        while b"\r\n\r\n" in self.buffer and not self.is_busy:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self._begin(lines[0], headers)

    def _begin(self, line: str, headers: dict[str, str]) -> None:
        backend = self.backend
        self.is_busy = True
        target = line.split(" ")[1]
        if target in ("/load", "/healthz"):
            body = b"inflight=%d,queue=0" % backend.held if target == "/load" else b"ok"
            self._write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.is_busy = False
            return
        call_id = headers.get("x-call-id", "")
        class_name = target[1:].split("?")[0].split("/")[0]
        run = Run(backend.name, call_id, class_name, self.first_byte_at, time.monotonic(), self.number)
        backend.runs.append(run)
        backend.record.write(f"run {call_id} class={class_name} at={backend.name} conn={self.number}")
        backend.held += 1
        self.loop.call_later(backend.service_s(), self._finish, call_id)

    def _finish(self, call_id: str) -> None:
        backend = self.backend
        backend.held -= 1
        body = backend.body_of(call_id)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self._write(answer)
        self.is_busy = False
        if backend.random.random() < backend.late_copy_share:
            self.loop.call_later(backend.random.uniform(*backend.late_copy_s), self._copy, call_id, answer)
        self._read()

    def _copy(self, call_id: str, answer: bytes) -> None:
        """Send a second copy of an answer if nothing else waits on the connection."""
        if self.transport is None or self.is_busy or self.buffer:
            return
        self.backend.copies += 1
        self.backend.record.write(
            f"copy of the answer to {call_id} at={self.backend.name} conn={self.number}"
        )
        self._write(answer)

    def _write(self, data: bytes) -> None:
        if self.backend.network is not None:
            self.backend.network.pass_on(partial(self._leave, data))
        else:
            self._leave(data)

    def _leave(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)
