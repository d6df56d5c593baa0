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

from service_proxy.net.header_fields import HOP_BY_HOP, closes_connection, parse_field
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.protocols import ResponseSource, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody, encode_chunk
from service_proxy.net.socket_polling import ended_by_peer, has_input, is_readable
from service_proxy.policy.events import Idempotency

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bytes of a request that is held until it is whole
MAX_POOLED_BODY_BYTES = (
    4 << 20
)  # bytes of one that is held, while the pool has room, where it may be passed on
BODY_POOL_SHARE = 0.25  # of the memory beyond BASE_MEMORY, for bodies over MOST_BODY that are held
READ_BUFFER_BYTES = 64 * 1024  # bytes that are read at once
MAX_HEAD_BYTES = 32 * 1024  # bytes of its target and headers
MAX_RAW_REQUEST_BYTES = (
    MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
)  # bytes of a request as it comes, beyond 8 times its chunks' content
REQUEST_TIMEOUT_S = (
    2.2  # s from the connect, or a further request's first byte, to a whole head; for each STRIDE then
)
BODY_PROGRESS_BYTES = 64 * 1024  # bytes of a body
KEEP_ALIVE_TIMEOUT_S = 5.0  # s after an answer for which a connection that asks nothing more is kept
LINGER_TIMEOUT_S = (
    2.0  # s in which some of a last answer must have been taken; what still comes meanwhile is dropped
)
SWEEP_INTERVAL_S = 0.1  # s between looks for connections whose time is up
RESERVED_DESCRIPTORS = 24  # descriptors for the listener, discovery, the loop and the log, at 240 and more
# Who makes room, in this order: who has asked nothing yet (fresh) or no more (kept) for so many s.
EVICTION_ORDER = (("fresh", 0.3), ("kept", 2.0), ("fresh", 0.05), ("kept", 0.5))
OVERFLOW_SHARE = 0.12  # of the callers' connections, where a newcomer is told that there is no room
BASE_MEMORY_MB = 20  # MB of the process before it serves
CONNECTION_MEMORY_MB = 0.125  # MB that a connection may hold: a request with its copy, and an answer
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # in a header's value
TARGET_PATTERN = re.compile(rb"/[A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]*")  # no fragment: RFC 9112 3.2.1
HOST_PATTERN = re.compile(rb"[A-Za-z0-9\-._~%!$&'()*+,;=:\[\]]*")  # uri-host [ ":" port ], RFC 9110 7.2
TIME_BUDGET_PATTERN = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")
REMOVED_REQUEST_HEADERS = HOP_BY_HOP | {b"x-budget", b"expect", b"x-load-report"}
PROTECTED_HEADERS = frozenset(  # what a Connection header can't take away, for it says which call this is
    b"host x-call-id x-budget x-caller cookie x-again x-call-cost idempotency-key".split()
)
REASON_PHRASES = {
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
NO_HEADER_NAMES: frozenset[bytes] = frozenset()
NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class Request:
    """A request that has come whole and well formed, but for a long body's end."""

    id: bytes
    class_name: str
    time_budget: float  # s, from when the client sent it
    tenant: str
    affinity_key: str
    expected_work: float
    is_retry: bool
    head: bytes  # what goes on to a backend, but for the last headers
    body: RequestBody  # not whole yet, where it is passed on as it comes
    received_at: float  # monotonic; of its last byte, once it is whole
    idempotency_key: bytes = b""  # Idempotency-Key
    consumed: tuple[tuple[bytes, bytes], ...] = ()  # fields that a filter takes; they are not in the head
    upgrade: UpgradeNegotiation | None = None  # it asks for an upgrade, and this is who wants it


class ResponseWriter(Protocol):
    """Where a call's answer goes: whole, or as it comes."""

    def respond(self, code: int, headers: Any, body: bytes) -> None: ...

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """A 200 of this length; None: it ends when it ends."""


class RequestHandler(Protocol):
    """What the callers' side asks of the driver."""

    def start_request(self, request: Request, writer: ResponseWriter) -> object: ...

    def client_disconnected(self, open_request: Any) -> None: ...


class RequestCounter(Protocol):
    """Who counts the requests that are taken, by what they ended in."""

    def request_ended(self, cls: str, code: int) -> None: ...


class UpgradeRequest(NamedTuple):
    """A request to leave HTTP, where somebody takes these."""

    method: bytes
    target: bytes
    version: str
    headers: list[tuple[bytes, bytes]]
    has_body: bool  # it has one
    has_surplus: bool  # more came right behind it


class UpgradeHandler(Protocol):
    def start_upgrade(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        """Answers it, or takes the connection with `hand_over`, or returns the open call that decides."""


class LocalResponse(NamedTuple):
    """What the proxy says of itself at a path, to a GET."""

    status_code: int
    body: bytes


LocalResponses = Mapping[bytes, Callable[[], LocalResponse]]  # by path


class BadRequestError(Exception):
    def __init__(self, status_code: int, text: str) -> None:
        super().__init__(text)
        self.status_code = status_code


def _single_value(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise BadRequestError(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def validate_head(
    version: str, headers: list[tuple[bytes, bytes]], max_body_bytes: int = MAX_BUFFERED_BODY_BYTES
) -> None:
    """What RFC 9112 (2.3, 3.2, 6.1 to 6.3) has refused before a body is read. `headers` have lower names."""
    hosts = [value for name, value in headers if name == b"host"]
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if version != "1.1":
        if version == "2.0":
            raise BadRequestError(505, "HTTP/2.0 is not spoken on a connection that begins with HTTP/1")
        if version != "1.0":  # a line without a version reads as 0.9, which has no headers
            raise BadRequestError(400, "the request line has no HTTP version that has headers")
        if codings:
            raise BadRequestError(400, "HTTP/1.0 has no Transfer-Encoding")
    elif not hosts:
        raise BadRequestError(400, "Host is missing")
    if len(hosts) > 1 or (hosts and not HOST_PATTERN.fullmatch(hosts[0])):
        raise BadRequestError(400, "Host is given twice, or malformed")
    # Two readings of where a body ends would let a second request hide in the first.
    if len(lengths) + len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
        raise BadRequestError(400, "no one way to tell the length")
    if lengths:
        if not lengths[0].isdigit():
            raise BadRequestError(400, "Content-Length is malformed")
        if len(lengths[0]) > 15 or int(lengths[0]) > max_body_bytes:
            raise BadRequestError(413, "body too large")


def connection_options(headers: list[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """The fields that Connection names: they end at this hop (RFC 9110, 7.6.1)."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection" and value not in (b"keep-alive", b"close"):
            names.update(option.strip().lower() for option in value.split(b","))
    return frozenset(names)


def parse_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: RequestBody,
    received_at: float,
    idempotency_by_class: Mapping[str, Idempotency],
    consumed_headers: frozenset[bytes] = NO_HEADER_NAMES,
) -> Request:
    """Raises BadRequest; the rules that need a second look stand here, not in the parser."""
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequestError(400, "the target is not a path")
    if any(CONTROL_BYTES.search(value) for _, value in headers):
        raise BadRequestError(400, "a header holds what a backend might not read")
    class_name = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    idempotency = idempotency_by_class.get(class_name)
    if idempotency is None:
        raise BadRequestError(404, "no such class")
    request_id = _single_value(headers, b"x-call-id")
    idempotency_key = _single_value(headers, b"idempotency-key")
    if not request_id:
        raise BadRequestError(400, "X-Call-Id is missing")
    time_budget = TIME_BUDGET_PATTERN.fullmatch(_single_value(headers, b"x-budget"))
    if time_budget is None:
        raise BadRequestError(400, "X-Budget is missing or malformed")
    if method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError(400, "wrong method for the class")
    if (idempotency is Idempotency.IDEMPOTENT_WITH_KEY) != bool(idempotency_key):
        raise BadRequestError(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body.received_bytes and method == b"GET":
        raise BadRequestError(400, "a GET has no body")
    try:
        expected_work = max(0.0, float(_single_value(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequestError(400, "X-Call-Cost is malformed") from None
    ended_here = connection_options(headers)
    if ended_here & PROTECTED_HEADERS:
        raise BadRequestError(400, "Connection names a header that belongs to the call")
    lines = [method + b" " + target + b" HTTP/1.1"]
    removed = REMOVED_REQUEST_HEADERS | consumed_headers if consumed_headers else REMOVED_REQUEST_HEADERS
    lines += [
        name + b": " + value for name, value in headers if name not in removed and name not in ended_here
    ]
    if method == b"POST":
        coded = body.length is None
        lines.append(b"transfer-encoding: chunked" if coded else b"content-length: %d" % (body.length or 0))
    affinity_key = ""
    for part in _single_value(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            affinity_key = value.decode("latin-1")
    return Request(
        id=request_id,
        class_name=class_name,
        time_budget=float(time_budget[1]) / (1e3 if time_budget[2] == b"m" else 1e6),
        tenant=_single_value(headers, b"x-caller").decode("latin-1"),
        affinity_key=affinity_key,
        expected_work=expected_work if expected_work - expected_work == 0.0 else 0.0,
        is_retry=_single_value(headers, b"x-again") == b"1",
        head=b"\r\n".join(lines) + b"\r\n",
        body=body,
        received_at=received_at,
        idempotency_key=idempotency_key,
        consumed=tuple(pair for pair in headers if pair[0] in consumed_headers) if consumed_headers else (),
    )


class DownstreamConnection(asyncio.BufferedProtocol):
    """One caller's connection: requests one after another, each with exactly one answer."""

    __slots__ = (
        "body",
        "body_progress",
        "current_request",
        "discarding_input",
        "early_request",
        "head_done",
        "head_size",
        "headers",
        "in_message",
        "is_closing",
        "is_last_response",
        "keep_alive",
        "last_unsent_bytes",
        "open_request",
        "over_limit",
        "parser",
        "pending_requests",
        "pooled_bytes",
        "raw_bytes",
        "read_paused",
        "response_chunked",
        "response_due",
        "response_source",
        "server",
        "state_since",
        "state_table",
        "target",
        "transport",
        "upgrade_pending",
        "write_blocked",
    )

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.upgrade_pending = False  # an upgrade is being decided on
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = RequestBody()
        self.body_progress = 0  # of it that have come
        self.early_request: Request | None = None  # the one that comes now, handed on before its end
        self.pooled_bytes = 0  # bytes of the pool
        self.response_source: ResponseSource | None = None  # of an answer that comes on
        # how it is written: in chunks; as the last on this connection
        self.response_chunked = False
        self.is_last_response = False
        self.last_unsent_bytes = 0  # bytes that the peer had not taken at the last look
        self.head_size = 0
        self.raw_bytes = 0  # bytes as they came, since the last whole request
        self.in_message = False  # a request has begun to come
        self.head_done = False
        self.pending_requests: deque[
            tuple[Request | BadRequestError | LocalResponse | UpgradeRequest, bool]
        ] = deque()
        self.open_request: object | None = None
        self.response_due = False  # a request is open
        self.current_request: Request | None = None  # it, where it is one that can be taken
        self.keep_alive = True
        self.discarding_input = False  # what still comes is read, so that the answer arrives, and dropped
        self.is_closing = False  # has had its last answer
        self.over_limit = False  # came when there was no room
        self.state_table: dict[DownstreamConnection, None] | None = (
            None  # of the server's, by what it is waited for
        )
        self.state_since = 0.0
        self.write_blocked = False  # the peer does not read
        self.read_paused = False

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.parser = httptools.HttpRequestParser(self)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self.is_closing = True
        self.pending_requests.clear()
        self.server.set_state(self, None)
        self.server.connections.discard(self)
        self._release_pool()
        source = self.response_source
        self.response_source = None
        if source is not None:
            source.discard()
        open_request = self.open_request
        self.open_request = None
        if open_request is not None:
            self.server.handler.client_disconnected(open_request)

    def pause_writing(self) -> None:
        self.write_blocked = True
        if self.response_source is not None:
            self.response_source.pause()
        self._update_flow_control()

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.response_source is not None:
            self.response_source.resume()
        self._update_flow_control()

    def _update_flow_control(self) -> None:
        """Nothing more is read from a peer that reads nothing or that is ahead of its answers."""
        if self.transport is not None and not self.is_closing:
            # So it holds one read's worth of bodies at most.
            pause = self.write_blocked or bool(self.pending_requests) or self.body.is_full
            if pause and not self.read_paused:
                self.transport.pause_reading()
            elif self.read_paused and not pause:
                self.transport.resume_reading()
                if self.early_request is not None and self.state_table is not None:
                    self.server.set_state(
                        self, self.state_table
                    )  # that nothing came was not the caller's doing
            self.read_paused = pause

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.is_closing or self.discarding_input:
            return
        if self.upgrade_pending:
            self._reject_early_frames()
            return
        self.raw_bytes += nbytes
        try:
            self.parser.feed_data(self.server.read_buffer[:nbytes])
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.raw_bytes > MAX_HEAD_BYTES and not self.head_done:
                raise BadRequestError(431, "headers too large")
            if self.raw_bytes > MAX_RAW_REQUEST_BYTES + 8 * self.body.received_bytes:
                raise BadRequestError(413, "the request does not end")
        except Exception as error:  # from the parser, or from a callback through it
            if isinstance(error, httptools.HttpParserUpgrade) and self.server.upgrade_handler is not None:
                self._start_upgrade(nbytes > error.args[0])
                return
            cause = error if isinstance(error, BadRequestError) else error.__context__
            self._reject_input(
                cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed HTTP")
            )
        if self.state_table is self.server.idle and not self.pending_requests:
            self.server.set_state(self, self.server.awaiting_request)  # a further request has begun
        self._dispatch_next()

    def _start_upgrade(self, has_surplus: bool) -> None:
        """A request to leave HTTP has come; `surplus`: with something right behind it."""
        request, _ = self.pending_requests.pop()
        if isinstance(request, UpgradeRequest):
            request = request._replace(has_surplus=has_surplus)
        self.pending_requests.append((request, False))
        self.discarding_input = has_surplus  # what still comes is no request
        self._dispatch_next()

    def _reject_early_frames(self) -> None:
        """Who asked for an upgrade sent more before it was granted."""
        self.discarding_input = True
        open_request = self.open_request
        self.open_request = None
        if open_request is not None:
            self.server.handler.client_disconnected(open_request)
        if self.response_due:
            self.respond(400, NO_HEADERS, b"frames before the 101\n")

    def detach(self, head: bytes) -> asyncio.Transport:
        """Leaves HTTP, with this 101. The connection counts no longer here."""
        transport = self.transport
        assert transport is not None
        self.server.set_state(self, None)
        self.server.connections.discard(self)
        self.response_due = False
        self.upgrade_pending = False
        self.is_closing = True
        self.open_request = None
        self.transport = None
        self.parser = None
        transport.write(head)
        return transport

    @property
    def peername(self) -> Any:
        return self.transport.get_extra_info("peername") if self.transport is not None else None

    def _reject_input(self, error: BadRequestError) -> None:
        self.discarding_input = True
        early_request = self.early_request
        if early_request is None or early_request.body.is_complete:
            self.pending_requests.append((error, False))
        elif early_request is not self.current_request:  # it waits for its turn
            self.pending_requests[-1] = error, False
        elif self.response_due and self.response_source is None:
            # It is with the handler, which can't have the rest of it: nothing ran.
            open_request = self.open_request
            self.open_request = None
            if open_request is not None:
                self.server.handler.client_disconnected(open_request)
            self.respond(error.status_code, NO_HEADERS, f"{error}\n".encode())

    # parser callbacks
    def on_message_begin(self) -> None:
        self.in_message = True
        self.target = b""
        self.headers, self.body = [], RequestBody()
        self.early_request = None
        self.head_size = 0
        self.body_progress = 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        if not self.head_done:  # a trailer is no header
            self.headers.append(parse_field(name, value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")

    def on_headers_complete(self) -> None:
        self.head_done = True
        validate_head(self.parser.get_http_version(), self.headers, self.server.max_body_bytes)
        lengths = [value for name, value in self.headers if name == b"content-length"]
        self.body.length = int(lengths[0]) if lengths else None
        if self.state_table is not None:
            self.server.set_state(self, self.state_table)  # its body has its own time
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.response_due and not self.pending_requests:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        body = self.body
        server = self.server
        if body.received_bytes + len(chunk) > server.max_body_bytes:
            raise BadRequestError(413, "body too large")
        if body.is_replayable and body.received_bytes + len(chunk) > MAX_BUFFERED_BODY_BYTES:
            additional = body.received_bytes + len(chunk) - self.pooled_bytes
            if (
                body.received_bytes + len(chunk) <= MAX_POOLED_BODY_BYTES
                and server.pooled_bytes + additional <= server.pool_bytes
            ):
                server.pooled_bytes += additional
                self.pooled_bytes += additional
            else:
                self._dispatch_early()
        body.append(chunk)
        if body.received_bytes // BODY_PROGRESS_BYTES > self.body_progress:
            self.body_progress = body.received_bytes // BODY_PROGRESS_BYTES
            if self.state_table is not None:
                server.set_state(self, self.state_table)

    def _dispatch_early(self) -> None:
        """It is too long to be held: what it asks for is decided now, and the rest goes on as it comes."""
        self.body.is_replayable = False
        self._release_pool()  # what has come of it goes on at once
        self.early_request = self._parse_request()
        self.body.on_drained = self._update_flow_control
        self.pending_requests.append((self.early_request, self._can_keep_alive()))

    def _can_keep_alive(self) -> bool:
        return self.parser.should_keep_alive() and not closes_connection(self.headers)

    def _release_pool(self) -> None:
        """Gives back what it holds of the pool."""
        self.server.pooled_bytes -= self.pooled_bytes
        self.pooled_bytes = 0

    def _parse_request(self) -> Request:
        return parse_request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body,
            time.monotonic(),
            self.server.idempotency_by_class,
            self.server.consumed_headers,
        )

    def on_message_complete(self) -> None:
        self.in_message = False
        self.head_done = False
        self.raw_bytes = 0
        body = self.body
        if self.early_request is not None:
            self.early_request.received_at = time.monotonic()
            self.headers = []
            if self.state_table is not None:
                self.server.set_state(self, None if self.response_due else self.state_table)
            body.finish()
            return
        body.finish()
        parser = self.parser
        keep_alive = self._can_keep_alive()
        method = parser.get_method()
        request: Request | BadRequestError | LocalResponse | UpgradeRequest
        if parser.should_upgrade():
            if self.server.upgrade_handler is None:
                request = BadRequestError(400, "no upgrades")
            else:
                has_body = body.received_bytes > 0 or bool(body.length)
                version = parser.get_http_version()
                request = UpgradeRequest(method, self.target, version, self.headers, has_body, False)
            keep_alive = False
        elif method == b"GET" and (page := self.server.local_responses.get(self.target.split(b"?", 1)[0])):
            request = page()
        else:
            try:
                request = self._parse_request()
            except BadRequestError as bad:
                request = bad
        self.headers = []
        self.pending_requests.append((request, keep_alive))

    # answers
    def _dispatch_next(self) -> None:
        while self.pending_requests and not self.response_due and not self.is_closing:
            request, self.keep_alive = self.pending_requests.popleft()
            self.response_due = True
            self.current_request = request if isinstance(request, Request) else None
            body_incomplete = self.current_request is not None and not self.current_request.body.is_complete
            self.server.set_state(self, self.server.awaiting_request if body_incomplete else None)
            if isinstance(request, LocalResponse):
                self.respond(request.status_code, NO_HEADERS, request.body)
            elif isinstance(request, BadRequestError):
                self.respond(request.status_code, NO_HEADERS, f"{request}\n".encode())
            elif self.over_limit:
                # Never sent, so a refusal is harmless.
                self.keep_alive = False
                headers = ((b"retry-after", b"1"), *self.server.rejection_headers)
                self.respond(503, headers, b"too many connections\n")
            else:
                try:
                    if isinstance(request, UpgradeRequest):
                        assert self.server.upgrade_handler is not None
                        self.upgrade_pending = True
                        open_request = self.server.upgrade_handler.start_upgrade(self, request)
                    else:
                        open_request = self.server.handler.start_request(request, self)
                except Exception:
                    log.exception("a request could not be taken")
                    self.respond(500, NO_HEADERS, b"internal error\n")
                    continue
                if self.response_due:
                    self.open_request = open_request
        self._update_flow_control()

    def respond(self, status_code: int, headers: Any, body: bytes) -> None:
        """The one answer to the open request; whoever asks for a second one gets an exception, not a byte."""
        if not self.response_due:
            raise RuntimeError("a request has one answer")
        self.open_request = None
        self.upgrade_pending = False
        transport = self.transport
        if transport is None:
            self.response_due = False
            return
        self._decide_last_response()
        parts = [b"HTTP/1.1 %d %s\r\n" % (status_code, REASON_PHRASES.get(status_code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        if (
            status_code != 204 and status_code != 304
        ):  # these end with their headers: RFC 9110 8.6, RFC 9112 6.3
            parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if self.is_last_response else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        self._response_ended(status_code)

    def _decide_last_response(self) -> None:
        """Whether the answer that begins now is the last one here."""
        if self.current_request is not None and not self.current_request.body.is_complete:
            self.keep_alive = False  # the rest of its body would be read as the next request
            self.discarding_input = True
        self.is_last_response = not self.keep_alive or self.server.is_draining

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        if not self.response_due:
            raise RuntimeError("a request has one answer")
        self.open_request = None
        transport = self.transport
        if transport is None:
            return
        ends_at_close = (
            length is None and self.parser.get_http_version() == "1.0"
        )  # such a caller knows no chunks
        if ends_at_close:
            self.keep_alive = False
        self._decide_last_response()
        self.response_chunked = length is None and not ends_at_close
        parts = [b"HTTP/1.1 200 OK\r\n", *(name + b": " + value + b"\r\n" for name, value in headers)]
        if length is not None:
            parts.append(b"content-length: %d\r\n" % length)
        elif self.response_chunked:
            parts.append(b"transfer-encoding: chunked\r\n")
        parts.append(b"connection: close\r\n\r\n" if self.is_last_response else b"\r\n")
        self.response_source = source
        source.stream_to(self)
        if self.write_blocked:
            source.pause()
        transport.write(b"".join(parts))

    def write(self, data: bytes) -> None:
        """net.protocols.ResponseSink: the next piece of the answer that comes on."""
        if self.transport is None or not data:
            return
        if self.response_chunked:
            self.transport.writelines(encode_chunk(data))
        else:
            self.transport.write(data)

    def finish(self) -> None:
        self.response_source = None
        if self.transport is None:
            return
        if self.response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._response_ended(200)

    def fail(self) -> None:
        """The answer will never be whole, and the caller can tell by how its connection ends."""
        self.response_source = None
        self._end_request(502)
        self.abort()

    def _end_request(self, status_code: int) -> None:
        """The open request is, and what it held."""
        request = self.current_request
        self.current_request = None
        self.response_due = False
        self._release_pool()
        if request is None:
            return
        if self.body is request.body:
            self.body = RequestBody()
        if self.server.request_counter is not None:
            self.server.request_counter.request_ended(request.class_name, status_code)

    def _response_ended(self, status_code: int) -> None:
        self._end_request(status_code)
        if self.is_last_response:
            self.close()
        elif self.pending_requests:
            self.server.loop.call_soon(self._dispatch_next)
        else:
            self.server.set_state(self, self.server.awaiting_request if self.in_message else self.server.idle)

    def close(self) -> None:
        """After what has been written. Where the peer may still be sending only this side ends at first:
        closing on unread bytes resets the connection, which can take the answer with it."""
        transport = self.transport
        if transport is None or self.is_closing:
            return
        self.is_closing = True
        self.pending_requests.clear()
        self.server.set_state(self, self.server.closing)
        if not self.discarding_input:
            transport.close()
            return
        if self.read_paused:
            transport.resume_reading()
        transport.write_eof()

    @property
    def has_unread_input(self) -> bool:
        """Whether something lies in its socket: the next request perhaps, whole."""
        return self.transport is not None and not self.transport.is_closing() and has_input(self.transport)

    def close_unless_unread(self) -> None:
        """Closes it between two requests. What has come meanwhile is read first: it may be taken, and owed
        an answer."""
        if not self.has_unread_input:
            self.close()

    def on_request_timeout(self) -> None:
        """No whole request has come in time. Half of one gets an answer that says so."""
        if self.read_paused and self.early_request is not None:
            self.server.set_state(self, self.state_table)  # who takes it is slow, not who sends it
        elif self.raw_bytes:
            self._reject_input(BadRequestError(408, "the request did not end"))
            self._dispatch_next()
        else:
            self.close_unless_unread()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the peer has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def on_linger_timeout(self) -> None:
        """It has had its last answer for so long. A peer that takes it slowly is left alone."""
        unsent = self.unsent_bytes
        if unsent and unsent != self.last_unsent_bytes:
            self.last_unsent_bytes = unsent
            self.server.set_state(self, self.server.closing)
        else:
            self.abort()

    def abort(self) -> None:
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()


class HttpServer:
    """The listener and the callers' connections.

    A connection without an open request stands in one table, by what it is waited for, the longest first.
    `pages`: what it says of itself; `never_ran`: headers by which a refusal here says that nothing ran;
    `takes`: fields of requests that end here, for filters; `tally`: who counts what they end in;
    `reserved`: further descriptors that are not the callers'; `most_body`: bytes of a request's body; one
    longer than MOST_BODY may be handed on before it is whole.
    """

    def __init__(
        self,
        idempotency_by_class: Mapping[str, Idempotency],
        handler: RequestHandler,
        max_descriptors: int,
        memory_mb: float,
        local_responses: LocalResponses,
        rejection_headers: tuple[tuple[bytes, bytes], ...] = (),
        consumed_headers: frozenset[bytes] = NO_HEADER_NAMES,
        request_counter: RequestCounter | None = None,
        reserved_descriptors: int = 0,
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.idempotency_by_class = idempotency_by_class
        self.handler = handler
        self.local_responses = local_responses
        self.rejection_headers = rejection_headers
        self.consumed_headers = consumed_headers
        self.request_counter = request_counter
        self.max_body_bytes = max_body_bytes
        self.upgrade_handler: UpgradeHandler | None = (
            None  # who takes requests for these; None: they are refused
        )
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # what is read goes through it at once
        self.pooled_bytes = 0  # bytes of bodies that are held, beyond MOST_BODY each
        self.max_descriptors = max_descriptors
        self.memory_mb = memory_mb
        self.reserved_descriptors = reserved_descriptors
        self.set_resource_share(1.0)
        self.connections: set[DownstreamConnection] = set()
        self.awaiting_request: dict[DownstreamConnection, None] = {}  # owe a whole request
        self.idle: dict[DownstreamConnection, None] = {}  # answered, and asking nothing
        self.closing: dict[DownstreamConnection, None] = {}  # have had their last answer
        self.is_draining = False  # each answer is the last on its connection
        self.listener: asyncio.Server | None = None
        self.next_sweep_at = 0.0

    def set_resource_share(self, share: float) -> None:
        """On the callers' connections, where this process has this share of its descriptors and memory."""
        descriptors = int(self.max_descriptors * share)
        memory_mb = self.memory_mb * share
        other_descriptors = (
            int(descriptors * UPSTREAM_DESCRIPTOR_SHARE)
            + min(RESERVED_DESCRIPTORS, descriptors // 10)
            + self.reserved_descriptors
        )
        free_memory_mb = max(1.0, memory_mb - BASE_MEMORY_MB)
        self.pool_bytes = (
            int(free_memory_mb * BODY_POOL_SHARE * 1e6)
            if self.max_body_bytes > MAX_BUFFERED_BODY_BYTES
            else 0
        )  # bytes
        connections_by_memory = int((free_memory_mb - self.pool_bytes / 1e6) / CONNECTION_MEMORY_MB)
        self.max_connections = max(8, min(descriptors - other_descriptors, connections_by_memory))
        self.max_served_connections = self.max_connections - int(self.max_connections * OVERFLOW_SHARE)

    def set_state(
        self, connection: DownstreamConnection, state_table: dict[DownstreamConnection, None] | None
    ) -> None:
        if connection.state_table is not None:
            del connection.state_table[connection]
        connection.state_table = state_table
        if state_table is not None:
            connection.state_since = time.monotonic()
            state_table[connection] = None

    def add(self, connection: DownstreamConnection) -> None:
        """Descriptors are bounded: beyond the bound, a connection that is of no use makes room. Where all
        are, the newcomer's request is refused, and in the end the newcomer itself."""
        self.connections.add(connection)
        if len(self.connections) > self.max_served_connections and not self._evict_one():
            if len(self.connections) > self.max_connections:
                connection.abort()
                return
            connection.over_limit = True
        self.set_state(connection, self.awaiting_request)

    def _evict_one(self) -> bool:
        now = time.monotonic()
        drained = next((connection for connection in self.closing if not connection.unsent_bytes), None)
        if drained is not None:
            drained.abort()
            return True
        for state, age in EVICTION_ORDER:
            for connection in self.idle if state == "kept" else self.awaiting_request:
                if connection.state_since > now - age:
                    break
                if not connection.has_unread_input:
                    self.set_state(connection, None)
                    connection.abort()
                    return True
        return False

    @property
    def requests_in_flight(self) -> int:
        """Requests taken that have not ended."""
        return sum(
            1 for connection in self.connections if connection.response_due and connection.current_request
        )

    @property
    def fileno(self) -> int:
        """Of the listening socket."""
        assert self.listener is not None
        return self.listener.sockets[0].fileno()

    async def listen(self, host: str, port: int, reuse_port: bool = False) -> int:
        """`beside`: another process may listen there too."""
        self.listener = await self.loop.create_server(
            lambda: DownstreamConnection(self), host, port, backlog=1024, reuse_port=reuse_port or None
        )
        self._schedule_sweep()
        return int(self.listener.sockets[0].getsockname()[1])

    @property
    def has_pending_accept(self) -> bool:
        """Whether a newcomer is still to be accepted: to close on it would reset what it has sent."""
        return self.listener is not None and is_readable(self.fileno)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def close_idle(self, include_partial: bool = False) -> None:
        """All that ask nothing, and on demand those whose request has only begun to come."""
        for connection in [*self.idle, *self.awaiting_request]:
            if include_partial or not connection.raw_bytes:
                connection.close_unless_unread()

    def abort_closing(self) -> None:
        """Ends what a close does not: peers that never take their last answer."""
        for connection in list(self.closing):
            connection.abort()

    def _schedule_sweep(self) -> None:
        self.next_sweep_at = time.monotonic() + SWEEP_INTERVAL_S
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        now = time.monotonic()
        if now > self.next_sweep_at + SWEEP_INTERVAL_S + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: what is missing may have come.
            self.next_sweep_at = now
            self.loop.call_later(LOOP_TURN_S, self._sweep)
            return
        for table, timeout, on_timeout in (
            (self.awaiting_request, REQUEST_TIMEOUT_S, DownstreamConnection.on_request_timeout),
            (self.idle, KEEP_ALIVE_TIMEOUT_S, DownstreamConnection.close_unless_unread),
            (self.closing, LINGER_TIMEOUT_S, DownstreamConnection.on_linger_timeout),
        ):
            due = []
            for connection in table:
                if connection.state_since > now - timeout:
                    break
                due.append(connection)
            for connection in due:
                on_timeout(connection)
        self._abort_disconnected()
        self._schedule_sweep()

    def _abort_disconnected(self) -> None:
        """A caller that leaves while it is not read from is told by its socket alone. What it wanted is not
        sent on, and its place serves another."""
        unheard = (c for c in self.connections if c.read_paused and c.open_request is not None)
        asked = {c.transport: c for c in unheard if c.transport is not None}
        for transport in ended_by_peer(asked):
            asked[cast(asyncio.Transport, transport)].abort()
