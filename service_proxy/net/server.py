"""The callers' side: reads requests, and writes the one answer of each, whole or as it comes."""

from __future__ import annotations

import asyncio
import logging
import re
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol, cast

import httptools

from service_proxy.net.bodies import Body, chunk_of
from service_proxy.net.fields import HOP_BY_HOP, closes, read_field
from service_proxy.net.limits import LATE, ONE_TURN, UPSTREAM_SHARE
from service_proxy.net.polling import ended, readable, waiting
from service_proxy.net.protocols import Source, Switch
from service_proxy.policy.events import Idempotency

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024  # bytes of a request that is held until it is whole
MOST_KEPT = 4 << 20  # bytes of one that is held, while the pool has room, where it may be passed on
POOL_SHARE = 0.25  # of the memory beyond BASE_MEMORY, for bodies over MOST_BODY that are held
READ = 64 * 1024  # bytes that are read at once
MOST_HEAD = 32 * 1024  # bytes of its target and headers
MOST_RAW = MOST_HEAD + 8 * MOST_BODY  # bytes of a request as it comes, beyond 8 times its chunks' content
WHOLE = 2.2  # s from the connect, or a further request's first byte, to a whole head; for each STRIDE then
STRIDE = 64 * 1024  # bytes of a body
KEPT = 5.0  # s after an answer for which a connection that asks nothing more is kept
LINGER = 2.0  # s in which some of a last answer must have been taken; what still comes meanwhile is dropped
SWEEP = 0.1  # s between looks for connections whose time is up
RESERVE = 24  # descriptors for the listener, discovery, the loop and the log, at 240 and more
# Who makes room, in this order: who has asked nothing yet (fresh) or no more (kept) for so many s.
YIELDS = (("fresh", 0.3), ("kept", 2.0), ("fresh", 0.05), ("kept", 0.5))
EXTRA_SHARE = 0.12  # of the callers' connections, where a newcomer is told that there is no room
BASE_MEMORY = 20  # MB of the process before it serves
CALLER_MEMORY = 0.125  # MB that a connection may hold: a request with its copy, and an answer
UNCLEAN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # in a header's value
TARGET = re.compile(rb"/[A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]*")  # no fragment: RFC 9112 3.2.1
HOST = re.compile(rb"[A-Za-z0-9\-._~%!$&'()*+,;=:\[\]]*")  # uri-host [ ":" port ], RFC 9110 7.2
BUDGET = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")
REPLACED = HOP_BY_HOP | {b"x-budget", b"expect", b"x-load-report"}
NEEDED = frozenset(  # what a Connection header can't take away, for it says which call this is
    b"host x-call-id x-budget x-caller cookie x-again x-call-cost idempotency-key".split()
)
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    426: b"Upgrade Required",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
NO_FIELDS: frozenset[bytes] = frozenset()
NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class Request:
    """A request that has come whole and well formed, but for a long body's end."""

    id: bytes
    cls: str
    budget: float  # s, from when the client sent it
    tenant: str
    subject: str
    work: float
    resent: bool
    head: bytes  # what goes on to a backend, but for the last headers
    body: Body  # not whole yet, where it is passed on as it comes
    came: float  # monotonic; of its last byte, once it is whole
    key: bytes = b""  # Idempotency-Key
    taken: tuple[tuple[bytes, bytes], ...] = ()  # fields that a filter takes; they are not in the head
    switch: Switch | None = None  # it asks for an upgrade, and this is who wants it


class Reply(Protocol):
    """Where a call's answer goes: whole, or as it comes."""

    def answer(self, code: int, headers: Any, body: bytes) -> None: ...

    def stream(self, headers: Any, length: int | None, source: Source) -> None:
        """A 200 of this length; None: it ends when it ends."""


class Handler(Protocol):
    """What the callers' side asks of the driver."""

    def opened(self, request: Request, reply: Reply) -> object: ...

    def left(self, call: Any) -> None: ...


class Tally(Protocol):
    """Who counts the requests that are taken, by what they ended in."""

    def ended(self, cls: str, code: int) -> None: ...


class Upgrade(NamedTuple):
    """A request to leave HTTP, where somebody takes these."""

    method: bytes
    target: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    body: bool  # it has one
    surplus: bool  # more came right behind it


class Upgrades(Protocol):
    def asked(self, connection: ClientConnection, upgrade: Upgrade) -> object | None:
        """Answers it, or takes the connection with `hand_over`, or returns the open call that decides."""


class Page(NamedTuple):
    """What the proxy says of itself at a path, to a GET."""

    code: int
    body: bytes


Pages = Mapping[bytes, Callable[[], Page]]  # by path


class BadRequest(Exception):
    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


def _one(found: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in found if key == name]
    if len(values) > 1:
        raise BadRequest(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def check_head(version: str, headers: list[tuple[bytes, bytes]], most_body: int = MOST_BODY) -> None:
    """What RFC 9112 (2.3, 3.2, 6.1 to 6.3) has refused before a body is read. `headers` have lower names."""
    hosts = [value for name, value in headers if name == b"host"]
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if version != "1.1":
        if version == "2.0":
            raise BadRequest(505, "HTTP/2.0 is not spoken on a connection that begins with HTTP/1")
        if version != "1.0":  # a line without a version reads as 0.9, which has no headers
            raise BadRequest(400, "the request line has no HTTP version that has headers")
        if codings:
            raise BadRequest(400, "HTTP/1.0 has no Transfer-Encoding")
    elif not hosts:
        raise BadRequest(400, "Host is missing")
    if len(hosts) > 1 or (hosts and not HOST.fullmatch(hosts[0])):
        raise BadRequest(400, "Host is given twice, or malformed")
    # Two readings of where a body ends would let a second request hide in the first.
    if len(lengths) + len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
        raise BadRequest(400, "no one way to tell the length")
    if lengths:
        if not lengths[0].isdigit():
            raise BadRequest(400, "Content-Length is malformed")
        if len(lengths[0]) > 15 or int(lengths[0]) > most_body:
            raise BadRequest(413, "body too large")


def nominated(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """The fields that Connection names: they end at this hop (RFC 9110, 7.6.1)."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection" and value not in (b"keep-alive", b"close"):
            names.update(option.strip().lower() for option in value.split(b","))
    return frozenset(names)


def read_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: Body,
    came: float,
    effects: Mapping[str, Idempotency],
    takes: frozenset[bytes] = NO_FIELDS,
) -> Request:
    """Raises BadRequest; the rules that need a second look stand here, not in the parser."""
    if not TARGET.fullmatch(target):
        raise BadRequest(400, "the target is not a path")
    if any(UNCLEAN.search(value) for _, value in headers):
        raise BadRequest(400, "a header holds what a backend might not read")
    cls = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    effect = effects.get(cls)
    if effect is None:
        raise BadRequest(404, "no such class")
    id = _one(headers, b"x-call-id")
    key = _one(headers, b"idempotency-key")
    if not id:
        raise BadRequest(400, "X-Call-Id is missing")
    budget = BUDGET.fullmatch(_one(headers, b"x-budget"))
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or malformed")
    if method != (b"GET" if effect is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequest(400, "wrong method for the class")
    if (effect is Idempotency.IDEMPOTENT_WITH_KEY) != bool(key):
        raise BadRequest(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body.size and method == b"GET":
        raise BadRequest(400, "a GET has no body")
    try:
        work = max(0.0, float(_one(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequest(400, "X-Call-Cost is malformed") from None
    hop = nominated(headers)
    if hop & NEEDED:
        raise BadRequest(400, "Connection names a header that belongs to the call")
    lines = [method + b" " + target + b" HTTP/1.1"]
    dropped = REPLACED | takes if takes else REPLACED
    lines += [name + b": " + value for name, value in headers if name not in dropped and name not in hop]
    if method == b"POST":
        coded = body.length is None
        lines.append(b"transfer-encoding: chunked" if coded else b"content-length: %d" % (body.length or 0))
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
        key=key,
        taken=tuple(pair for pair in headers if pair[0] in takes) if takes else (),
    )


class ClientConnection(asyncio.BufferedProtocol):
    """One caller's connection: requests one after another, each with exactly one answer."""

    __slots__ = (
        "answering",
        "body",
        "broken",
        "call",
        "coded",
        "current",
        "early",
        "extra",
        "full",
        "head_done",
        "head_size",
        "headers",
        "held",
        "inside",
        "keep_alive",
        "last",
        "leaving",
        "left",
        "parser",
        "paused",
        "raw",
        "server",
        "since",
        "source",
        "strides",
        "switching",
        "table",
        "target",
        "transport",
        "waiting",
    )

    def __init__(self, server: Server) -> None:
        self.server = server
        self.switching = False  # an upgrade is being decided on
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = Body()
        self.strides = 0  # of it that have come
        self.early: Request | None = None  # the one that comes now, handed on before its end
        self.held = 0  # bytes of the pool
        self.source: Source | None = None  # of an answer that comes on
        # how it is written: in chunks; as the last on this connection
        self.coded = False
        self.last = False
        self.left = 0  # bytes that the peer had not taken at the last look
        self.head_size = 0
        self.raw = 0  # bytes as they came, since the last whole request
        self.inside = False  # a request has begun to come
        self.head_done = False
        self.waiting: deque[tuple[Request | BadRequest | Page | Upgrade, bool]] = deque()
        self.call: object | None = None
        self.answering = False  # a request is open
        self.current: Request | None = None  # it, where it is one that can be taken
        self.keep_alive = True
        self.broken = False  # what still comes is read, so that the answer arrives, and dropped
        self.leaving = False  # has had its last answer
        self.extra = False  # came when there was no room
        self.table: dict[ClientConnection, None] | None = None  # of the server's, by what it is waited for
        self.since = 0.0
        self.full = False  # the peer does not read
        self.paused = False

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.parser = httptools.HttpRequestParser(self)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self.leaving = True
        self.waiting.clear()
        self.server.place(self, None)
        self.server.connections.discard(self)
        self._free()
        source = self.source
        self.source = None
        if source is not None:
            source.drop()
        call = self.call
        self.call = None
        if call is not None:
            self.server.handler.left(call)

    def pause_writing(self) -> None:
        self.full = True
        if self.source is not None:
            self.source.pause()
        self._flow()

    def resume_writing(self) -> None:
        self.full = False
        if self.source is not None:
            self.source.resume()
        self._flow()

    def _flow(self) -> None:
        """Nothing more is read from a peer that reads nothing or that is ahead of its answers."""
        if self.transport is not None and not self.leaving:
            # So it holds one read's worth of bodies at most.
            pause = self.full or bool(self.waiting) or self.body.full
            if pause and not self.paused:
                self.transport.pause_reading()
            elif self.paused and not pause:
                self.transport.resume_reading()
                if self.early is not None and self.table is not None:
                    self.server.place(self, self.table)  # that nothing came was not the caller's doing
            self.paused = pause

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.leaving or self.broken:
            return
        if self.switching:
            self._too_soon()
            return
        self.raw += nbytes
        try:
            self.parser.feed_data(self.server.buffer[:nbytes])
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.raw > MOST_HEAD and not self.head_done:
                raise BadRequest(431, "headers too large")
            if self.raw > MOST_RAW + 8 * self.body.size:
                raise BadRequest(413, "the request does not end")
        except Exception as fault:  # from the parser, or from a callback through it
            if isinstance(fault, httptools.HttpParserUpgrade) and self.server.upgrades is not None:
                self._upgrade(nbytes > fault.args[0])
                return
            cause = fault if isinstance(fault, BadRequest) else fault.__context__
            self._break(cause if isinstance(cause, BadRequest) else BadRequest(400, "malformed HTTP"))
        if self.table is self.server.kept and not self.waiting:
            self.server.place(self, self.server.fresh)  # a further request has begun
        self._next()

    def _upgrade(self, surplus: bool) -> None:
        """A request to leave HTTP has come; `surplus`: with something right behind it."""
        asked, _ = self.waiting.pop()
        if isinstance(asked, Upgrade):
            asked = asked._replace(surplus=surplus)
        self.waiting.append((asked, False))
        self.broken = surplus  # what still comes is no request
        self._next()

    def _too_soon(self) -> None:
        """Who asked for an upgrade sent more before it was granted."""
        self.broken = True
        call = self.call
        self.call = None
        if call is not None:
            self.server.handler.left(call)
        if self.answering:
            self.answer(400, NO_HEADERS, b"frames before the 101\n")

    def hand_over(self, head: bytes) -> asyncio.Transport:
        """Leaves HTTP, with this 101. The connection counts no longer here."""
        transport = self.transport
        assert transport is not None
        self.server.place(self, None)
        self.server.connections.discard(self)
        self.answering = False
        self.switching = False
        self.leaving = True
        self.call = None
        self.transport = None
        self.parser = None
        transport.write(head)
        return transport

    @property
    def peername(self) -> Any:
        return self.transport.get_extra_info("peername") if self.transport is not None else None

    def _break(self, bad: BadRequest) -> None:
        self.broken = True
        early = self.early
        if early is None or early.body.whole:
            self.waiting.append((bad, False))
        elif early is not self.current:  # it waits for its turn
            self.waiting[-1] = bad, False
        elif self.answering and self.source is None:
            # It is with the handler, which can't have the rest of it: nothing ran.
            call = self.call
            self.call = None
            if call is not None:
                self.server.handler.left(call)
            self.answer(bad.code, NO_HEADERS, f"{bad}\n".encode())

    # parser callbacks
    def on_message_begin(self) -> None:
        self.inside = True
        self.target = b""
        self.headers, self.body = [], Body()
        self.early = None
        self.head_size = 0
        self.strides = 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        if not self.head_done:  # a trailer is no header
            self.headers.append(read_field(name, value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MOST_HEAD:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        self.head_done = True
        check_head(self.parser.get_http_version(), self.headers, self.server.most_body)
        lengths = [value for name, value in self.headers if name == b"content-length"]
        self.body.length = int(lengths[0]) if lengths else None
        if self.table is not None:
            self.server.place(self, self.table)  # its body has its own time
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.answering and not self.waiting:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        body = self.body
        server = self.server
        if body.size + len(chunk) > server.most_body:
            raise BadRequest(413, "body too large")
        if body.kept and body.size + len(chunk) > MOST_BODY:
            more = body.size + len(chunk) - self.held
            if body.size + len(chunk) <= MOST_KEPT and server.pooled + more <= server.pool:
                server.pooled += more
                self.held += more
            else:
                self._hand_on_early()
        body.add(chunk)
        if body.size // STRIDE > self.strides:
            self.strides = body.size // STRIDE
            if self.table is not None:
                server.place(self, self.table)

    def _hand_on_early(self) -> None:
        """It is too long to be held: what it asks for is decided now, and the rest goes on as it comes."""
        self.body.kept = False
        self._free()  # what has come of it goes on at once
        self.early = self._read()
        self.body.on_room = self._flow
        self.waiting.append((self.early, self._keeps()))

    def _keeps(self) -> bool:
        return self.parser.should_keep_alive() and not closes(self.headers)

    def _free(self) -> None:
        """Gives back what it holds of the pool."""
        self.server.pooled -= self.held
        self.held = 0

    def _read(self) -> Request:
        return read_request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body,
            time.monotonic(),
            self.server.effects,
            self.server.takes,
        )

    def on_message_complete(self) -> None:
        self.inside = False
        self.head_done = False
        self.raw = 0
        body = self.body
        if self.early is not None:
            self.early.came = time.monotonic()
            self.headers = []
            if self.table is not None:
                self.server.place(self, None if self.answering else self.table)
            body.finish()
            return
        body.finish()
        parser = self.parser
        keep_alive = self._keeps()
        method = parser.get_method()
        request: Request | BadRequest | Page | Upgrade
        if parser.should_upgrade():
            if self.server.upgrades is None:
                request = BadRequest(400, "no upgrades")
            else:
                has_body = body.size > 0 or bool(body.length)
                version = parser.get_http_version()
                request = Upgrade(method, self.target, version, self.headers, has_body, False)
            keep_alive = False
        elif method == b"GET" and (page := self.server.pages.get(self.target.split(b"?", 1)[0])):
            request = page()
        else:
            try:
                request = self._read()
            except BadRequest as bad:
                request = bad
        self.headers = []
        self.waiting.append((request, keep_alive))

    # answers
    def _next(self) -> None:
        while self.waiting and not self.answering and not self.leaving:
            request, self.keep_alive = self.waiting.popleft()
            self.answering = True
            self.current = request if isinstance(request, Request) else None
            comes = self.current is not None and not self.current.body.whole
            self.server.place(self, self.server.fresh if comes else None)
            if isinstance(request, Page):
                self.answer(request.code, NO_HEADERS, request.body)
            elif isinstance(request, BadRequest):
                self.answer(request.code, NO_HEADERS, f"{request}\n".encode())
            elif self.extra:
                # Never sent, so a refusal is harmless.
                self.keep_alive = False
                advice = ((b"retry-after", b"1"), *self.server.never_ran)
                self.answer(503, advice, b"too many connections\n")
            else:
                try:
                    if isinstance(request, Upgrade):
                        assert self.server.upgrades is not None
                        self.switching = True
                        call = self.server.upgrades.asked(self, request)
                    else:
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
        self.call = None
        self.switching = False
        transport = self.transport
        if transport is None:
            self.answering = False
            return
        self._set_last()
        parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASONS.get(code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        if code != 204 and code != 304:  # these end with their headers: RFC 9110 8.6, RFC 9112 6.3
            parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if self.last else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        self._answered(code)

    def _set_last(self) -> None:
        """Whether the answer that begins now is the last one here."""
        if self.current is not None and not self.current.body.whole:
            self.keep_alive = False  # the rest of its body would be read as the next request
            self.broken = True
        self.last = not self.keep_alive or self.server.draining

    def stream(self, headers: Any, length: int | None, source: Source) -> None:
        if not self.answering:
            raise RuntimeError("a request has one answer")
        self.call = None
        transport = self.transport
        if transport is None:
            return
        ends = length is None and self.parser.get_http_version() == "1.0"  # such a caller knows no chunks
        if ends:
            self.keep_alive = False
        self._set_last()
        self.coded = length is None and not ends
        parts = [b"HTTP/1.1 200 OK\r\n", *(name + b": " + value + b"\r\n" for name, value in headers)]
        if length is not None:
            parts.append(b"content-length: %d\r\n" % length)
        elif self.coded:
            parts.append(b"transfer-encoding: chunked\r\n")
        parts.append(b"connection: close\r\n\r\n" if self.last else b"\r\n")
        self.source = source
        source.relay(self)
        if self.full:
            source.pause()
        transport.write(b"".join(parts))

    def feed(self, data: bytes) -> None:
        """net.upstream.Sink: the next piece of the answer that comes on."""
        if self.transport is None or not data:
            return
        if self.coded:
            self.transport.writelines(chunk_of(data))
        else:
            self.transport.write(data)

    def finish(self) -> None:
        self.source = None
        if self.transport is None:
            return
        if self.coded:
            self.transport.write(b"0\r\n\r\n")
        self._answered(200)

    def broken_off(self) -> None:
        """The answer will never be whole, and the caller can tell by how its connection ends."""
        self.source = None
        self._over(502)
        self.abort()

    def _over(self, code: int) -> None:
        """The open request is, and what it held."""
        current = self.current
        self.current = None
        self.answering = False
        self._free()
        if current is None:
            return
        if self.body is current.body:
            self.body = Body()
        if self.server.tally is not None:
            self.server.tally.ended(current.cls, code)

    def _answered(self, code: int) -> None:
        self._over(code)
        if self.last:
            self.close()
        elif self.waiting:
            self.server.loop.call_soon(self._next)
        else:
            self.server.place(self, self.server.fresh if self.inside else self.server.kept)

    def close(self) -> None:
        """After what has been written. Where the peer may still be sending only this side ends at first:
        closing on unread bytes resets the connection, which can take the answer with it."""
        transport = self.transport
        if transport is None or self.leaving:
            return
        self.leaving = True
        self.waiting.clear()
        self.server.place(self, self.server.leaving)
        if not self.broken:
            transport.close()
            return
        if self.paused:
            transport.resume_reading()
        transport.write_eof()

    @property
    def unread(self) -> bool:
        """Whether something lies in its socket: the next request perhaps, whole."""
        return self.transport is not None and not self.transport.is_closing() and readable(self.transport)

    def dismiss(self) -> None:
        """Closes it between two requests. What has come meanwhile is read first: it may be taken, and owed
        an answer."""
        if not self.unread:
            self.close()

    def too_late(self) -> None:
        """No whole request has come in time. Half of one gets an answer that says so."""
        if self.paused and self.early is not None:
            self.server.place(self, self.table)  # who takes it is slow, not who sends it
        elif self.raw:
            self._break(BadRequest(408, "the request did not end"))
            self._next()
        else:
            self.dismiss()

    @property
    def unsent(self) -> int:
        """Bytes of answers that the peer has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def linger_over(self) -> None:
        """It has had its last answer for so long. A peer that takes it slowly is left alone."""
        left = self.unsent
        if left and left != self.left:
            self.left = left
            self.server.place(self, self.server.leaving)
        else:
            self.abort()

    def abort(self) -> None:
        self.leaving = True
        if self.transport is not None:
            self.transport.abort()


class Server:
    """The listener and the callers' connections.

    A connection without an open request stands in one table, by what it is waited for, the longest first.
    `pages`: what it says of itself; `never_ran`: headers by which a refusal here says that nothing ran;
    `takes`: fields of requests that end here, for filters; `tally`: who counts what they end in;
    `reserved`: further descriptors that are not the callers'; `most_body`: bytes of a request's body; one
    longer than MOST_BODY may be handed on before it is whole.
    """

    def __init__(
        self,
        effects: Mapping[str, Idempotency],
        handler: Handler,
        sockets: int,
        memory_mb: float,
        pages: Pages,
        never_ran: tuple[tuple[bytes, bytes], ...] = (),
        takes: frozenset[bytes] = NO_FIELDS,
        tally: Tally | None = None,
        reserved: int = 0,
        most_body: int = MOST_BODY,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects = effects
        self.handler = handler
        self.pages = pages
        self.never_ran = never_ran
        self.takes = takes
        self.tally = tally
        self.most_body = most_body
        self.upgrades: Upgrades | None = None  # who takes requests for these; None: they are refused
        self.buffer = memoryview(bytearray(READ))  # what is read goes through it at once
        self.pooled = 0  # bytes of bodies that are held, beyond MOST_BODY each
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.reserved = reserved
        self.set_bounds(1.0)
        self.connections: set[ClientConnection] = set()
        self.fresh: dict[ClientConnection, None] = {}  # owe a whole request
        self.kept: dict[ClientConnection, None] = {}  # answered, and asking nothing
        self.leaving: dict[ClientConnection, None] = {}  # have had their last answer
        self.draining = False  # each answer is the last on its connection
        self.listener: asyncio.Server | None = None
        self.sweep_due = 0.0

    def set_bounds(self, share: float) -> None:
        """On the callers' connections, where this process has this share of its descriptors and memory."""
        sockets = int(self.sockets * share)
        memory_mb = self.memory_mb * share
        others = int(sockets * UPSTREAM_SHARE) + min(RESERVE, sockets // 10) + self.reserved
        free = max(1.0, memory_mb - BASE_MEMORY)
        self.pool = int(free * POOL_SHARE * 1e6) if self.most_body > MOST_BODY else 0  # bytes
        by_memory = int((free - self.pool / 1e6) / CALLER_MEMORY)
        self.most_ever = max(8, min(sockets - others, by_memory))
        self.most_open = self.most_ever - int(self.most_ever * EXTRA_SHARE)

    def place(self, connection: ClientConnection, table: dict[ClientConnection, None] | None) -> None:
        if connection.table is not None:
            del connection.table[connection]
        connection.table = table
        if table is not None:
            connection.since = time.monotonic()
            table[connection] = None

    def add(self, connection: ClientConnection) -> None:
        """Descriptors are bounded: beyond the bound, a connection that is of no use makes room. Where all
        are, the newcomer's request is refused, and in the end the newcomer itself."""
        self.connections.add(connection)
        if len(self.connections) > self.most_open and not self._make_room():
            if len(self.connections) > self.most_ever:
                connection.abort()
                return
            connection.extra = True
        self.place(connection, self.fresh)

    def _make_room(self) -> bool:
        now = time.monotonic()
        gone = next((connection for connection in self.leaving if not connection.unsent), None)
        if gone is not None:
            gone.abort()
            return True
        for which, age in YIELDS:
            for connection in self.kept if which == "kept" else self.fresh:
                if connection.since > now - age:
                    break
                if not connection.unread:
                    self.place(connection, None)
                    connection.abort()
                    return True
        return False

    @property
    def inflight(self) -> int:
        """Requests taken that have not ended."""
        return sum(1 for connection in self.connections if connection.answering and connection.current)

    @property
    def fileno(self) -> int:
        """Of the listening socket."""
        assert self.listener is not None
        return self.listener.sockets[0].fileno()

    async def listen(self, host: str, port: int, beside: bool = False) -> int:
        """`beside`: another process may listen there too."""
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=1024, reuse_port=beside or None
        )
        self._sweep_later()
        return int(self.listener.sockets[0].getsockname()[1])

    @property
    def waited_for(self) -> bool:
        """Whether a newcomer is still to be accepted: to close on it would reset what it has sent."""
        return self.listener is not None and waiting(self.fileno)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def close_idle(self, partial: bool = False) -> None:
        """All that ask nothing, and on demand those whose request has only begun to come."""
        for connection in [*self.kept, *self.fresh]:
            if partial or not connection.raw:
                connection.dismiss()

    def abort_leaving(self) -> None:
        """Ends what a close does not: peers that never take their last answer."""
        for connection in list(self.leaving):
            connection.abort()

    def _sweep_later(self) -> None:
        self.sweep_due = time.monotonic() + SWEEP
        self.loop.call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        now = time.monotonic()
        if now > self.sweep_due + SWEEP + LATE:
            # This process stood still, and timers come before sockets: what is missing may have come.
            self.sweep_due = now
            self.loop.call_later(ONE_TURN, self._sweep)
            return
        for table, bound, end in (
            (self.fresh, WHOLE, ClientConnection.too_late),
            (self.kept, KEPT, ClientConnection.dismiss),
            (self.leaving, LINGER, ClientConnection.linger_over),
        ):
            due = []
            for connection in table:
                if connection.since > now - bound:
                    break
                due.append(connection)
            for connection in due:
                end(connection)
        self._look_for_ends()
        self._sweep_later()

    def _look_for_ends(self) -> None:
        """A caller that leaves while it is not read from is told by its socket alone. What it wanted is not
        sent on, and its place serves another."""
        unheard = (c for c in self.connections if c.paused and c.call is not None)
        asked = {c.transport: c for c in unheard if c.transport is not None}
        for transport in ended(asked):
            asked[cast(asyncio.Transport, transport)].abort()
