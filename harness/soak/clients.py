"""Clients of a soak: usual ones that are held to the rules, and a crowd that is not."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from harness.soak.endpoint import reset
from harness.soak.plan import Behavior, Framing, Plan
from harness.soak.record import ClientRequest, Effect, End, Record

SILENCE_LIMIT_S = (
    20.0  # Time without a byte after which a client gives up; longer than each limit of the rules.
)
SLOW_READ_BYTES = 4096
SLOW_READ_INTERVAL_S = 0.05
CONNECT_PAUSE_S = 0.05  # Pause of a client whose connect failed.
MAX_REQUESTS_PER_CONNECTION = 20
UPLOAD_BYTES = 65536  # Bytes of one write of a long request.


@dataclass(frozen=True, slots=True)
class SoakClass:
    """Request class with its deadline (s)."""

    name: str
    effect: Effect
    deadline: float


CLASSES = (
    SoakClass("stock", Effect.SAFE, 0.8),
    SoakClass("reserva", Effect.KEYED, 1.5),
    SoakClass("canje", Effect.UNSAFE, 2.5),
)


def draw_plan(random: Random) -> Plan:
    """Draw what the endpoint does with a usual request."""
    framing = Framing(random.choice(tuple(Framing)))
    kind = random.random()
    if kind < 0.55:
        return Plan(work_ms=random.randrange(5, 80), size=random.randrange(20, 20_000))
    if kind < 0.65:  # Steady, for longer than most budgets.
        return Plan(size=random.randrange(100_000, 300_000), pieces=40, gap_ms=60, framing=framing)
    if kind < 0.72:  # Lumps with the longest silence that was reported.
        return Plan(size=200_000, pieces=3, gap_ms=1600, framing=framing)
    if kind < 0.77:
        return Plan(Behavior.STOP, size=200_000, pieces=6, gap_ms=50, framing=framing)
    if kind < 0.82:
        return Plan(Behavior.HANG)
    behavior = random.choice((Behavior.ERROR, Behavior.REJECT, Behavior.REJECT, Behavior.RESET))
    return Plan(behavior, work_ms=random.randrange(5, 60))


class Connection:
    """Connection of one client, with the process of the proxy that accepted it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int) -> None:
        self.reader = reader
        self.writer = writer
        self.generation = generation

    async def read_response(self, request: ClientRequest, read_slowly: bool) -> None:
        """Read a response, and record how the request ended."""
        body = b""
        try:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            request.begun_at = time.monotonic()
            request.status = int(head.split(" ")[1])
            body = await self._read_body(head, read_slowly)
            request.end = End.ANSWERED
        except TimeoutError:
            request.end = End.TIMED_OUT
        except (OSError, asyncio.IncompleteReadError):
            request.end = End.CUT if request.begun_at else End.CLOSED
        request.ended_at = time.monotonic()
        if request.end is End.ANSWERED and request.status == 200:
            request.is_body_right = body == request.plan.body(request.request_id)
        if request.end is not End.ANSWERED or "connection: close" in head:
            self.writer.close()

    async def _read_body(self, head: str, read_slowly: bool) -> bytes:
        parts = []
        if "transfer-encoding: chunked" in head:
            while size := int(await self._bounded(self.reader.readuntil(b"\r\n")), 16):
                parts.append((await self._bounded(self.reader.readexactly(size + 2)))[:-2])
            await self._bounded(self.reader.readuntil(b"\r\n"))
            return b"".join(parts)
        left = int(head.partition("content-length: ")[2].split("\r\n")[0])
        while left:
            size = min(left, SLOW_READ_BYTES if read_slowly else 65536)
            data = await self._bounded(self.reader.read(size))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            parts.append(data)
            left -= len(data)
            if read_slowly:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
        return b"".join(parts)

    @staticmethod
    async def _bounded(reading: object) -> bytes:
        async with asyncio.timeout(SILENCE_LIMIT_S):
            return await reading  # type: ignore[misc, no-any-return]


class SoakClients:
    """All clients of one run.

    Args:
        record: receives each request that is held to the rules.
        address: address of the proxy.
        generation: returns the number of the proxy's present process.
        random: source of all choices.
    """

    def __init__(
        self, record: Record, address: tuple[str, int], generation: Callable[[], int], random: Random
    ) -> None:
        self.record = record
        self.address = address
        self.generation = generation
        self.random = random
        self.is_over = False
        self._ids = itertools.count(1)

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return f"{self.random.getrandbits(32):08x}{next(self._ids):08x}"

    async def connect(self) -> Connection | None:
        """Connect to the proxy, or return None if it does not listen at present."""
        generation = self.generation()
        try:
            return Connection(*await asyncio.open_connection(*self.address, limit=1 << 20), generation)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
            return None

    def _head(self, request_class: SoakClass, request_id: str, plan: Plan, length: int) -> bytes:
        method = "GET" if request_class.effect is Effect.SAFE else "POST"
        lines = [
            f"{method} /{request_class.name}/1?{plan.as_query()} HTTP/1.1",
            "Host: service.internal",
            f"X-Call-Id: {request_id}",
            f"X-Budget: {request_class.deadline * 1000:.0f}m",
        ]
        if request_class.effect is Effect.KEYED:
            lines.append(f"Idempotency-Key: key-{request_id}")
        if method == "POST":
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def start(
        self, connection: Connection, request_class: SoakClass, plan: Plan, request_id: str
    ) -> ClientRequest:
        """Write a request without a body, and return its record."""
        connection.writer.write(self._head(request_class, request_id, plan, 0))
        request = ClientRequest(
            request_id,
            request_class.effect,
            plan,
            request_class.deadline,
            time.monotonic(),
            connection.generation,
        )
        self.record.requests.append(request)
        return request

    async def usual(self, pause: float) -> None:
        """Send requests one after another on kept connections until the run is over."""
        random = Random(self.random.random())
        connection: Connection | None = None
        count = 0
        while not self.is_over:
            if connection is None or connection.writer.is_closing() or count > MAX_REQUESTS_PER_CONNECTION:
                count = 0
                connection = await self.connect()
                continue
            count += 1
            request = self.start(connection, random.choice(CLASSES), draw_plan(random), self.new_id())
            await connection.read_response(request, read_slowly=random.random() < 0.05)
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)

    async def leaving(self, pause: float) -> None:
        """Leave during requests; some of them are sent again."""
        random = Random(self.random.random())
        while not self.is_over:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)
            connection = await self.connect()
            if connection is None:
                continue
            request_class = random.choice(CLASSES)
            plan = Plan(random.choice((Behavior.ANSWER, Behavior.REJECT)), work_ms=random.randrange(100, 500))
            request = self.start(connection, request_class, plan, self.new_id())
            await asyncio.sleep(random.uniform(0.01, 0.4))
            if random.random() < 0.5:
                connection.writer.close()
            else:
                reset(connection.writer)
            request.end = End.LEFT
            if random.random() < 0.5:
                self.record.left_at[request.request_id] = time.monotonic()
                continue
            await asyncio.sleep(random.uniform(0.0, 1.0))
            again = await self.connect()
            # A process that started from nothing can't know the request.
            if again is not None and again.generation == self.generation() == request.generation:
                request.repeated_at = time.monotonic()
                repeat = self.start(again, request_class, plan, request.request_id)
                await again.read_response(repeat, read_slowly=False)

    async def uploading(self, pause: float) -> None:
        """Send long requests, some to endpoints that read slowly."""
        random = Random(self.random.random())
        while not self.is_over:
            await asyncio.sleep(random.uniform(0.5, 1.5) * pause)
            connection = await self.connect()
            if connection is not None:
                plan = Plan(read_rate=random.choice((0, 300_000, 1_000_000, 4_000_000)))
                await self._upload(
                    connection, random.choice(CLASSES[1:]), plan, random.randrange(200_000, 8_000_000)
                )

    async def _upload(self, connection: Connection, request_class: SoakClass, plan: Plan, size: int) -> None:
        """Send one long request, and record it with the time of its last byte."""
        writer = connection.writer
        writer.transport.set_write_buffer_limits(high=0)  # `drain` returns when the last byte is written.
        request = ClientRequest(
            self.new_id(), request_class.effect, plan, request_class.deadline, 0.0, connection.generation
        )
        self.record.requests.append(request)

        async def send() -> None:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write(self._head(request_class, request.request_id, plan, size))
                for begin in range(0, size, UPLOAD_BYTES):
                    writer.write(bytes(min(UPLOAD_BYTES, size - begin)))
                    await writer.drain()
            request.sent_at = time.monotonic()

        sending = asyncio.ensure_future(send())
        await connection.read_response(request, read_slowly=False)
        if not sending.done():  # The answer came first; nothing was owed yet.
            request.sent_at = time.monotonic()
            sending.cancel()
        writer.close()

    async def idle(self) -> None:
        """Hold a connection without a request."""
        while not self.is_over:
            connection = await self.connect()
            if connection is not None:
                with contextlib.suppress(OSError):
                    await connection.reader.read()
                connection.writer.close()

    async def slow_head(self) -> None:
        """Send a head byte by byte, without an end."""
        while not self.is_over:
            connection = await self.connect()
            if connection is None:
                continue
            with contextlib.suppress(OSError):
                connection.writer.write(b"GET /stock/1 HTTP/1.1\r\n")
                while not (self.is_over or connection.reader.at_eof() or connection.writer.is_closing()):
                    connection.writer.write(b"x-%d: y\r\n" % next(self._ids))
                    await connection.writer.drain()
                    await asyncio.sleep(0.1)
            connection.writer.close()

    async def flood(self, requests: int) -> None:
        """Send many small requests under new names at once, and read what comes."""
        while not self.is_over:
            connection = await self.connect()
            if connection is None:
                continue
            with contextlib.suppress(OSError):
                names = (next(self._ids) for _ in range(requests))
                connection.writer.write(
                    b"".join(
                        b"GET /name-%d/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\n\r\n" % (n, n) for n in names
                    )
                )
                async with asyncio.timeout(1.0):
                    await connection.reader.read()
            connection.writer.close()
            await asyncio.sleep(0.1)
