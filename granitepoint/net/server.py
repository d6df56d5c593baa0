"""The callers' side: reads requests, and writes the one answer of each."""

from __future__ import annotations

import asyncio
import logging
import re
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

from granitepoint.interface import Effect
from granitepoint.net.upstream import HOP_BY_HOP

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024  # bytes of a request
MOST_HEAD = 32 * 1024  # bytes of its target and headers
IDLE = 120.0  # s after which a connection that asks nothing, or stops midway, is closed
LINGER = 1.0  # s for which what still comes after a last answer to bad input is read and dropped
SPARE_AGE = 0.5  # s without a request after which a connection may make room for another
SWEEP = 5.0  # s between looks for those
BUDGET = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")
REPLACED = HOP_BY_HOP | {b"x-budget", b"expect", b"x-load-report"}
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 409: b"Conflict", 413: b"Content Too Large",
    429: b"Too Many Requests", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip
NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class Request:
    """A request that has come whole and well formed."""

    id: bytes
    cls: str
    budget: float  # s, from when the client sent it
    tenant: str
    subject: str
    work: float
    resent: bool
    head: bytes  # what goes on to a backend, but for the last headers
    body: bytes
    came: float  # monotonic


class Reply(Protocol):
    """Where a call's answer goes."""

    def answer(self, code: int, headers: Any, body: bytes) -> None: ...


class Handler(Protocol):
    """What the callers' side asks of the driver."""

    def opened(self, request: Request, reply: Reply) -> object: ...

    def left(self, call: Any) -> None: ...

    def ready(self) -> bool: ...


class BadRequest(Exception):
    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def _one(found: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in found if key == name]
    if len(values) > 1:
        raise BadRequest(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def read_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    came: float,
    effects: Mapping[str, Effect],
) -> Request:
    """Raises BadRequest; the rules that need a second look stand here, not in the parser."""
    if not target.startswith(b"/"):
        raise BadRequest(400, "the target is not a path")
    cls = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    effect = effects.get(cls)
    if effect is None:
        raise BadRequest(404, "no such class")
    id, key = _one(headers, b"x-call-id"), _one(headers, b"idempotency-key")
    if not id:
        raise BadRequest(400, "X-Call-Id is missing")
    budget = BUDGET.fullmatch(_one(headers, b"x-budget"))
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or malformed")
    if method != (b"GET" if effect is Effect.REPEATABLE else b"POST"):
        raise BadRequest(400, "wrong method for the class")
    if (effect is Effect.BY_KEY) != bool(key):
        raise BadRequest(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body and method == b"GET":
        raise BadRequest(400, "a GET has no body")
    try:
        work = max(0.0, float(_one(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequest(400, "X-Call-Cost is malformed") from None
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers if name not in REPLACED]
    if method == b"POST":
        lines.append(b"content-length: %d" % len(body))
    subject = ""
    for part in _one(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            subject = value.decode("latin-1")
    return Request(
        id=id,
        cls=cls,
        budget=float(budget[1]) / (1e3 if budget[2] == b"m" else 1e6),
        tenant=_one(headers, b"x-caller").decode("latin-1"),
        subject=subject,
        work=work if work - work == 0.0 else 0.0,
        resent=_one(headers, b"x-again") == b"1",
        head=b"\r\n".join(lines) + b"\r\n",
        body=body,
        came=came,
    )


class ClientConnection(asyncio.Protocol):
    """One caller's connection: requests one after another, each with exactly one answer."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0
        self.inside = False  # a request has begun to come
        self.waiting: deque[tuple[Request | BadRequest | None, bool]] = deque()
        self.call: object | None = None
        self.answering = False  # a request is open
        self.keep_alive = True
        self.closing = False
        self.changed_at = 0.0
        self.full = False  # the peer does not read
        self.paused = False

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.changed_at = time.monotonic()
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closing = True
        self.waiting.clear()
        self.server.connections.discard(self)
        call, self.call = self.call, None
        if call is not None:
            self.server.handler.left(call)

    def pause_writing(self) -> None:
        self.full = True
        self._flow()

    def resume_writing(self) -> None:
        self.full = False
        self._flow()

    def _flow(self) -> None:
        """Nothing more is read from a peer that reads nothing or that is ahead of its answers."""
        if self.transport is not None and not self.closing:
            pause = self.full or bool(self.waiting)  # so it holds one read's worth of bodies at most
            if pause and not self.paused:
                self.transport.pause_reading()
            elif self.paused and not pause:
                self.transport.resume_reading()
            self.paused = pause

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        self.changed_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except Exception as fault:  # from the parser, or from a callback through it
            cause = fault if isinstance(fault, BadRequest) else fault.__context__
            bad = cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP")
            self.waiting.append((bad, False))
            self.closing = True  # what still comes is read, so that the answer arrives, and dropped
        self._next()

    # parser callbacks
    def on_message_begin(self) -> None:
        self.inside = True
        self.target = b""
        self.headers, self.body = [], []
        self.head_size = self.body_size = 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        self.headers.append((name.lower(), value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MOST_HEAD:
            raise BadRequest(400, "headers too large")

    def on_headers_complete(self) -> None:
        length = next((value for name, value in self.headers if name == b"content-length"), b"0")
        if length.isdigit() and int(length) > MOST_BODY:
            raise BadRequest(413, "body too large")
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.answering and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        self.body_size += len(chunk)
        if self.body_size > MOST_BODY:
            raise BadRequest(413, "body too large")
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        self.inside = False
        parser = self.parser
        keep_alive = parser.should_keep_alive()
        method = parser.get_method()
        request: Request | BadRequest | None = None  # None: asks whether the proxy is ready
        if parser.should_upgrade():
            request = BadRequest(400, "no upgrades")
            keep_alive = False
        elif self.target.split(b"?", 1)[0] != b"/healthz" or method != b"GET":
            body = b"".join(self.body)
            try:
                request = read_request(
                    method, self.target, self.headers, body, time.monotonic(), self.server.effects
                )
            except BadRequest as bad:
                request = bad
        self.headers, self.body = [], []
        self.waiting.append((request, keep_alive))

    # answers
    def _next(self) -> None:
        while self.waiting and not self.answering and self.transport is not None:
            request, self.keep_alive = self.waiting.popleft()
            self.answering = True
            if request is None:
                ready = self.server.handler.ready()
                self.answer(200 if ready else 503, NO_HEADERS, b"ok\n" if ready else b"not ready\n")
            elif isinstance(request, BadRequest):
                self.answer(request.code, NO_HEADERS, f"{request}\n".encode())
            elif self.server.crowded():
                # Never sent, so a refusal is harmless.
                self.keep_alive = False
                self.answer(503, ((b"retry-after", b"1"),), b"too many connections\n")
            else:
                try:
                    call = self.server.handler.opened(request, self)
                except Exception:
                    log.exception("a request could not be taken")
                    self.answer(500, NO_HEADERS, b"internal error\n")
                    continue
                if self.answering:
                    self.call = call
        self._flow()

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """The one answer to the open request; whoever asks for a second one gets an exception, not a byte."""
        if not self.answering:
            raise RuntimeError("a request has one answer")
        self.answering = False
        self.call = None
        transport = self.transport
        if transport is None:
            return
        last = not self.keep_alive or self.server.draining
        parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASONS.get(code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if last else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        self.changed_at = time.monotonic()
        if last and self.closing:
            # The peer may still be sending. Closing on unread bytes resets the connection, which can take
            # the answer with it: first only this side ends.
            self.waiting.clear()
            transport.write_eof()
            self.server.loop.call_later(LINGER, transport.abort)
        elif last:
            self.closing = True
            self.waiting.clear()
            transport.close()
        elif self.waiting:
            self.server.loop.call_soon(self._next)

    @property
    def idle(self) -> bool:
        return not self.answering and not self.waiting and not self.inside

    def close(self) -> None:
        if self.transport is not None:
            self.closing = True
            self.transport.close()


class Server:
    """The listener and the callers' connections."""

    def __init__(self, effects: Mapping[str, Effect], handler: Handler, most_open: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects, self.handler, self.most_open = effects, handler, most_open
        self.connections: set[ClientConnection] = set()
        self.draining = False  # each answer is the last on its connection
        self.listener: asyncio.Server | None = None

    def crowded(self) -> bool:
        return len(self.connections) > self.most_open

    def add(self, connection: ClientConnection) -> None:
        """Beyond the bound, the connection that asked nothing the longest makes room: a caller may find one
        closed between requests. Where all are busy, crowded() has the newest request refused."""
        self.connections.add(connection)
        if self.crowded():
            oldest = min(self.connections, key=lambda c: c.changed_at if c.idle else float("inf"))
            if oldest.idle and oldest.changed_at < time.monotonic() - SPARE_AGE:
                oldest.close()
                self.connections.discard(oldest)

    async def listen(self, host: str, port: int) -> int:
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024
        )
        self.loop.call_later(SWEEP, self._sweep)
        return int(self.listener.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def close_idle(self, unused_since: float = float("inf"), partial: bool = False) -> None:
        for connection in list(self.connections):
            unused = connection.idle or (partial and not connection.answering)
            if unused and not connection.closing and connection.changed_at <= unused_since:
                connection.close()

    def abort(self, unused_since: float = float("inf")) -> None:
        """Ends what a close does not: peers that never take their last answer."""
        for connection in list(self.connections):
            if connection.closing and connection.transport and connection.changed_at <= unused_since:
                connection.transport.abort()

    def _sweep(self) -> None:
        oldest = time.monotonic() - IDLE
        self.close_idle(oldest, partial=True)
        self.abort(oldest)
        self.loop.call_later(SWEEP, self._sweep)
