"""The backends' side: their connections, and the exchanges (attempts and probes) that run on these.

An answer is held until it is whole, or, where it is long and its exchange allows that, passed on as it comes
to a sink that says when it has had enough. A request's body is written whole, or as it comes.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import time
from collections.abc import Callable
from typing import Any, cast

import httptools

from service_proxy.net.endpoint_list import Address, EndpointList
from service_proxy.net.header_fields import closes_connection, parse_field
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, MAX_MESSAGE_BYTES
from service_proxy.net.protocols import ResponseSink, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody, encode_chunk
from service_proxy.net.socket_polling import has_input
from service_proxy.policy.events import AttemptStatus, EndpointState

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bytes of an answer that is held until it is whole
BUFFERING_TIMEOUT_S = 0.05  # s from its head for which an answer of unknown length is awaited whole
STALL_TIMEOUT_S = 15.0  # s for which a message that is passed on may stand still, on either side
READ_BUFFER_BYTES = 64 * 1024  # bytes that are read at once
MAX_HEAD_BYTES = 32 * 1024  # bytes of an answer's headers, with all 1xx answers ahead of it
MAX_RAW_RESPONSE_BYTES = (
    MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
)  # bytes of an answer as it comes, chunk by chunk
IDLE_TIMEOUT_SHARE = 0.9  # of the settings' idle time after which this side closes first
REUSE_DELAY_S = (
    LOOP_TURN_S  # s after an answer before its connection is used again: what else comes is seen first
)
SWEEP_INTERVAL_S = 1.0  # s between looks for idle connections
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class UpstreamAttempt:
    """One request to one backend, from the decision to send until its one end.

    `may_start` is asked right before the first byte goes out, also after a slow connect: meanwhile the call
    may have ended or the backend begun to drain. `done` is called once, with `status` set. `sent`: the last
    byte of the request has left for the backend, so it may run; before that it can't.
    """

    __slots__ = (
        "can_start",
        "connection",
        "deadline",
        "elapsed",
        "loop",
        "on_end",
        "pool",
        "request_body",
        "request_head",
        "response_body",
        "response_headers",
        "response_length",
        "response_source",
        "sent",
        "serves_request",
        "started_at",
        "status",
        "status_code",
        "timeout_timer",
    )

    def __init__(
        self,
        pool: EndpointConnectionPool,
        request_head: bytes,
        timeout: float,
        can_start: Callable[[], bool],
        on_end: Callable[[UpstreamAttempt], None],
        serves_request: bool = False,
        request_body: RequestBody | None = None,
    ) -> None:
        """`counts`: it is an attempt of a call, not a probe, and its answer may be passed on as it comes:
        then `source` is set with OK, and who is called gives it a sink. `payload`: the body behind `request`.
        """
        self.pool = pool
        self.request_head = request_head
        self.serves_request = serves_request
        self.request_body = request_body
        self.response_source: UpstreamConnection | None = None
        self.response_length: int | None = (
            None  # of the answer that `source` brings; None: it ends when it ends
        )
        self.can_start = can_start
        self.on_end = on_end
        self.loop = pool.cluster.loop
        self.started_at = time.monotonic()
        self.status: AttemptStatus | None = None
        self.elapsed = 0.0
        self.sent = False
        self.connection: UpstreamConnection | None = None
        self.status_code = 0
        self.response_headers: list[tuple[bytes, bytes]] = []
        self.response_body = b""
        self.deadline = self.started_at + timeout
        self.timeout_timer = self.loop.call_later(timeout, self._on_timeout)

    def end(self, status: AttemptStatus) -> None:
        """Any end but a whole answer gives up the connection, so that a late answer reaches nobody."""
        if self.status is not None:
            return
        self.status = status
        self.elapsed = time.monotonic() - self.started_at
        self.timeout_timer.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abort()
        try:
            self.on_end(self)
        except Exception:  # one call's fault must not end the callbacks of a connection
            log.exception("the end of an exchange failed")

    def cancel(self) -> None:
        self.end(AttemptStatus.CANCELLED if self.sent else AttemptStatus.NOT_SENT)

    def extend_deadline(self, deadline: float) -> None:
        """It may take until then."""
        self.deadline = deadline

    def _on_timeout(self) -> None:
        if time.monotonic() < self.deadline < math.inf:
            self.timeout_timer = self.loop.call_later(self.deadline - time.monotonic(), self._on_timeout)
            return
        if time.monotonic() > self.deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: the answer may have come long ago.
            self.deadline = math.inf
            self.timeout_timer = self.loop.call_later(LOOP_TURN_S, self._on_timeout)
            return
        if self.sent and self.pool.last_received_at < self.started_at:
            # The backend said nothing to anyone meanwhile. A machine that vanished leaves its connections
            # open and silent; when it is back, each would cost one more call or probe to find out.
            self.pool.close_idle(self.started_at)
        self.end(AttemptStatus.TIMEOUT if self.sent else AttemptStatus.NOT_SENT)

    def run_on(self, connection: UpstreamConnection) -> None:
        """Writes the request, unless it has ended or must not start any more."""
        if self.status is not None or not self.can_start():
            connection.pool.release(connection)
            self.end(AttemptStatus.NOT_SENT)
            return
        self.connection = connection
        connection.start_attempt(self)

    def on_request_sent(self) -> None:
        """Its last byte has left."""
        self.sent = True
        self.pool.cluster.attempts_sent += self.serves_request

    def on_response_streaming(
        self,
        status_code: int,
        headers: list[tuple[bytes, bytes]],
        source: UpstreamConnection,
        response_length: int | None,
    ) -> None:
        """It is answered, and the answer comes on."""
        self.connection = None
        self.status_code = status_code
        self.response_headers = headers
        self.response_source = source
        self.response_length = response_length
        self.end(AttemptStatus.OK)

    def on_response(self, status_code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.connection = None
        self.status_code = status_code
        self.response_headers = headers
        self.response_body = body
        if status_code == 200:
            self.end(AttemptStatus.OK)
        elif status_code in (503, 504) and any(
            name == b"x-rejected" and value == b"1" for name, value in headers
        ):
            self.end(AttemptStatus.REJECTED)
        else:
            self.end(AttemptStatus.ERROR)


class UpgradeAttempt(UpstreamAttempt):
    """An attempt to leave HTTP with a backend: a proven 101 is its success, anything else an error."""

    __slots__ = ("negotiation", "surplus", "upgraded_connection")

    def __init__(
        self,
        pool: EndpointConnectionPool,
        request_head: bytes,
        timeout: float,
        can_start: Callable[[], bool],
        on_end: Callable[[UpstreamAttempt], None],
        negotiation: UpgradeNegotiation,
    ) -> None:
        super().__init__(pool, request_head, timeout, can_start, on_end, serves_request=True)
        self.negotiation = negotiation
        self.upgraded_connection: UpstreamConnection | None = None  # with OK: no HTTP any more
        self.surplus = b""  # what came behind the 101

    def on_upgrade_response(
        self, headers: list[tuple[bytes, bytes]], connection: UpstreamConnection, surplus: bytes
    ) -> None:
        self.connection = None
        self.status_code = 101
        self.response_headers = headers
        problem = self.negotiation.verify_response(headers)
        if problem is None:
            self.upgraded_connection = connection
            self.surplus = surplus
            self.end(AttemptStatus.OK)
            return
        log.warning("%s declines an upgrade with a 101: %s", self.pool.address, problem)
        connection.abort()
        self.end(AttemptStatus.ERROR)

    def on_response(self, status_code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Declined. A 200 is no WebSocket."""
        super().on_response(502 if status_code == 200 else status_code, headers, body)

    def on_response_streaming(
        self,
        status_code: int,
        headers: list[tuple[bytes, bytes]],
        source: UpstreamConnection,
        response_length: int | None,
    ) -> None:
        self.connection = None
        self.end(AttemptStatus.ERROR)  # nobody relays it, so its connection ends


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to a backend; carries one exchange at a time."""

    __slots__ = (
        "attempt",
        "body_bytes",
        "body_parts",
        "buffering_timer",
        "closes_after_response",
        "complete_response",
        "ends_at_close",
        "head_done",
        "headers",
        "idle_since",
        "last_progress_at",
        "parser",
        "pool",
        "raw_bytes",
        "read_paused",
        "request_body",
        "response_length",
        "sink",
        "surplus",
        "transport",
        "write_blocked",
    )

    def __init__(self, pool: EndpointConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: UpstreamAttempt | None = None
        self.parser: Any = None  # one for each exchange: nothing of the last answer can reach the next
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_parts: list[bytes] = []
        # bytes of this answer as they came; of its body
        self.raw_bytes = 0
        self.body_bytes = 0
        self.head_done = False
        self.ends_at_close = False
        self.closes_after_response = False
        self.complete_response: tuple[int, bool] | None = (
            None  # whole, not handed on yet: its code, and whether to keep
        )
        self.idle_since = 0.0
        self.response_length: int | None = None  # of this answer, where it tells
        self.request_body: RequestBody | None = None  # what is left of the request
        self.write_blocked = False  # the backend does not take what is written
        self.sink: ResponseSink | None = None  # the answer is passed on to it
        self.read_paused = False  # the sink has had enough
        self.last_progress_at = 0.0  # when a message that is passed on moved last
        self.buffering_timer: asyncio.TimerHandle | None = None
        self.surplus = b""  # what came right behind a 101

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.pool.cluster.established_connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self._release_attempt()
        self.pool.connection_closed(self)
        if self.sink is not None:
            self._end_streaming().fail()
        if self.attempt is not None:
            attempt = self.attempt
            self.attempt = None
            # Once its last byte has left this process the backend may have run it: never a resend.
            attempt.end(AttemptStatus.RESET if attempt.sent else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> None:
        if self.ends_at_close and (self.attempt is not None or self.sink is not None):
            self.complete_response = self.parser.get_status_code(), False
            self._deliver_response()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.cluster.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = self.pool.cluster.read_buffer[:nbytes]
        self.pool.last_received_at = time.monotonic()
        if self.attempt is None and self.sink is None:
            self.abort()  # nothing was asked: an answer to nobody
            return
        self.raw_bytes += nbytes
        is_invalid = False
        try:
            self.parser.feed_data(data)
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.complete_response is None and self.raw_bytes > (
                MAX_RAW_RESPONSE_BYTES + 8 * self.body_bytes if self.head_done else MAX_HEAD_BYTES
            ):
                raise ValueError("the answer does not end")
        except httptools.HttpParserUpgrade as upgrade:
            self.surplus = bytes(data[upgrade.args[0] :])
        except Exception as error:  # garbage; it may still have run
            cause = error.__context__ or error
            log.warning("a backend's answer can't be used: %s: %s", self.pool.address, str(cause)[:200])
            is_invalid = True
        if self.complete_response is not None:
            if is_invalid:  # it is whole and good, but more came than belongs to it
                self.complete_response = self.complete_response[0], False
            self._deliver_response()
        elif is_invalid:
            self.fail_response()
        elif self.sink is not None:
            self.last_progress_at = self.pool.last_received_at
        elif (
            self.body_bytes
            and self.response_length is None
            and self.buffering_timer is None
            and self.attempt is not None
        ):
            if self.attempt.serves_request and self.parser.get_status_code() == 200:
                deadline = self.pool.last_received_at + BUFFERING_TIMEOUT_S
                self.buffering_timer = self.pool.cluster.loop.call_later(
                    BUFFERING_TIMEOUT_S, self._on_buffering_timeout, deadline
                )

    def _deliver_response(self) -> None:
        """The answer is whole."""
        assert self.complete_response is not None
        (status_code, keep_alive), self.complete_response = self.complete_response, None
        headers = self.headers
        self.headers = []
        body = b"".join(self.body_parts)
        self.body_parts = []
        attempt = self.attempt
        self.attempt = None
        self.parser = None
        sink = self._end_streaming() if self.sink is not None else None
        keep_alive = (
            keep_alive and self.request_body is None
        )  # else the rest of the request would be read as another
        self._release_attempt()
        if status_code == 101 and isinstance(attempt, UpgradeAttempt):
            surplus = self.surplus
            self.surplus = b""
            attempt.on_upgrade_response(headers, self, surplus)
            return
        if keep_alive:
            self.pool.release(self)
        else:
            self.abort()
        if sink is not None:
            sink.finish()
        elif attempt is not None:
            attempt.on_response(status_code, headers, body)

    # an answer that is passed on
    def _on_buffering_timeout(self, deadline: float) -> None:
        if time.monotonic() > deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: its end, or a reset that makes it an
            # attempt that failed, may have come meanwhile.
            self.buffering_timer = self.pool.cluster.loop.call_later(LOOP_TURN_S, self._start_streaming)
        else:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """What has come goes on, and so does the rest, as it comes."""
        self._cancel_buffering_timer()
        attempt = self.attempt
        if attempt is None or self.complete_response is not None:
            return
        if self.transport is None or self.transport.is_closing():
            return  # its connection is lost, and about to say so
        self.attempt = None
        headers = self.headers
        self.headers = []
        body = self.body_parts
        self.body_parts = []
        self.last_progress_at = time.monotonic()
        attempt.on_response_streaming(self.parser.get_status_code(), headers, self, self.response_length)
        if self.sink is None:
            self.abort()  # nobody waits for it any more
            return
        for part in body:
            if self.sink is not None:
                self.sink.write(part)

    def stream_to(self, sink: ResponseSink) -> None:
        self.sink = sink
        self.pool.cluster.streaming_connections.add(self)

    def _end_streaming(self) -> ResponseSink:
        sink = self.sink
        self.sink = None
        assert sink is not None
        self.pool.cluster.streaming_connections.discard(self)
        return sink

    def pause(self) -> None:
        """The sink has had enough for now."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.last_progress_at = time.monotonic()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.last_progress_at = time.monotonic()
            self.transport.resume_reading()

    def discard(self) -> None:
        """Nobody takes the rest."""
        if self.sink is not None:
            self._end_streaming()
        self.abort()

    def _cancel_buffering_timer(self) -> None:
        """A timer that outlived its answer would pass on the next one, unread, as a 200."""
        if self.buffering_timer is not None:
            self.buffering_timer.cancel()
            self.buffering_timer = None

    def _release_attempt(self) -> None:
        """What belonged to the exchange that is over."""
        self._cancel_buffering_timer()
        if self.request_body is not None:
            self.request_body.reader = None
            self.request_body = None
        if self.read_paused:
            self.resume()

    # a request's body
    def pause_writing(self) -> None:
        self.write_blocked = True

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.request_body is not None:
            self.on_body_progress()

    def on_body_progress(self) -> None:
        """bodies.Reader: writes what there is as far as the backend takes it."""
        body = self.request_body
        transport = self.transport
        attempt = self.attempt
        if body is None or transport is None or self.write_blocked:
            return
        if not body.is_replayable and body.parts:
            parts = body.take_parts()
            if body.length is None:
                parts = [piece for part in parts for piece in encode_chunk(part)]
            transport.writelines(parts)
            if attempt is not None:
                attempt.extend_deadline(time.monotonic() + STALL_TIMEOUT_S)
        if body.is_complete and not body.parts and body.length is None and not body.is_replayable:
            body.length = body.received_bytes
            transport.write(b"0\r\n\r\n")
        if self.write_blocked:  # not all has left, and the backend can't have it whole
            return
        if body.is_complete and (body.is_replayable or not body.parts):
            body.reader = None
            self.request_body = None
            if attempt is not None:
                attempt.on_request_sent()

    # parser callbacks
    def on_message_begin(self) -> None:
        if self.complete_response is not None:
            raise ValueError("more than one answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.head_done:  # a trailer is no header
            self.headers.append(parse_field(name, value))

    def on_headers_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200:
            return
        self.head_done = True
        self.closes_after_response = closes_connection(self.headers)
        if sum(len(name) + len(value) for name, value in self.headers) > MAX_HEAD_BYTES:
            raise ValueError("headers too large")
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        if codings:
            if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
                raise ValueError("no one way to tell its length")
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise ValueError("a length that can't be read")
            if len(lengths[0]) > 15 or int(lengths[0]) > MAX_MESSAGE_BYTES:
                raise ValueError("body too large")
            self.response_length = int(lengths[0])
        elif code not in (204, 304):
            # It ends with the connection, if the backend says that it will: else there is no end to wait for.
            if not closes_connection(self.headers):
                raise ValueError("no length")
            self.ends_at_close = True
        if self.response_length is not None and self.response_length > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def _on_body_beyond_buffer(self) -> None:
        """It can't be held until it is whole."""
        if self.attempt is None:
            return  # nobody waits for it any more
        if not self.attempt.serves_request:
            raise ValueError("body too large")
        code = self.parser.get_status_code()
        if code == 200:
            self._start_streaming()
        else:  # what it says is of no use, and how it ended is known
            self.complete_response = code, False

    def on_body(self, chunk: bytes) -> None:
        self.body_bytes += len(chunk)
        if self.body_bytes > MAX_MESSAGE_BYTES:
            raise ValueError("the answer does not end")
        if self.sink is not None:
            self.sink.write(chunk)
            return
        if self.complete_response is not None or self.attempt is None:
            return  # settled by its head, or nobody waits for it any more
        self.body_parts.append(chunk)
        if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def on_message_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200 and code != 101:
            self.headers = []  # an interim answer
        elif self.complete_response is None:
            keep_alive = code != 101 and not self.closes_after_response and self.parser.should_keep_alive()
            self.complete_response = code, keep_alive  # known only here

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        assert self.transport is not None
        self.attempt = attempt
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.body_parts = []
        self.raw_bytes = 0
        self.body_bytes = 0
        self.head_done = False
        self.ends_at_close = False
        self.response_length = None
        body = attempt.request_body
        if body is None:
            self.transport.write(attempt.request_head)
            attempt.on_request_sent()
            return
        self.transport.set_write_buffer_limits(high=0)  # so that it tells when all has left
        self.request_body = body
        body.reader = self
        self.transport.writelines(
            [attempt.request_head, *body.parts] if body.is_replayable else [attempt.request_head]
        )
        self.on_body_progress()

    def has_unread_input(self) -> bool:
        """Whether bytes nobody asked for, or the connection's end, lie in its socket by now."""
        return self.transport is None or self.transport.is_closing() or has_input(self.transport)

    def abort(self) -> None:
        self.attempt = None
        self._release_attempt()
        self.pool.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def fail_response(self) -> None:
        """The backend answered, with something of no use: an error that may have run. Unlike a reset it says
        nothing of whether the backend is up."""
        attempt = self.attempt
        sink = self._end_streaming() if self.sink is not None else None
        self.abort()
        if sink is not None:
            sink.fail()
        if attempt is not None:
            attempt.connection = None
            attempt.end(AttemptStatus.ERROR)


class EndpointConnectionPool:
    """One backend as discovery last listed it, with its connections."""

    __slots__ = ("address", "cluster", "connections", "idle", "last_received_at", "started_at", "state")

    def __init__(
        self, cluster: UpstreamCluster, address: Address, started_at: float, state: EndpointState
    ) -> None:
        self.cluster = cluster
        self.address = address
        self.started_at = started_at
        self.state = state
        self.connections: set[UpstreamConnection] = set()
        self.last_received_at = 0.0  # when it last sent anything
        self.idle: list[UpstreamConnection] = []

    @property
    def is_serving(self) -> bool:
        return self.state is EndpointState.SERVING

    def take_idle(self) -> UpstreamConnection | None:
        """The connection used last: the others grow old and are closed. One that was in use just now only
        where there is no other."""
        now = time.monotonic()
        oldest = now - self.cluster.idle_timeout
        settled_before = now - REUSE_DELAY_S
        while self.idle:
            index = len(self.idle) - 1
            while index and self.idle[index].idle_since > settled_before:
                index -= 1
            if self.idle[index].idle_since > settled_before:
                index = -1
            connection = self.idle.pop(index)
            if connection.transport is not None and not connection.transport.is_closing():
                if connection.idle_since > oldest:
                    return connection
                connection.abort()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        if connection not in self.connections or not self.is_serving:
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.cluster.established_connections -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abort()

    def replace_process(self) -> None:
        """The process behind the address is another one: no connection may be inherited."""
        self.close_idle()
        self.connections.clear()  # those in use end with their exchange, in keep()


class UpstreamCluster:
    """All backends, and the bound on connections to them."""

    def __init__(self, connect_timeout: float, idle_timeout: float, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * idle_timeout
        self.max_connections = max_connections
        self.established_connections = 0  # connections that are up
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # what is read goes through it at once
        self.streaming_connections: set[UpstreamConnection] = set()  # answers that are passed on
        self.attempts_sent = 0  # attempts of calls whose last byte was handed to a connection
        self.pools: dict[int, EndpointConnectionPool] = {}
        self.on_endpoint_leaving: Callable[[EndpointConnectionPool], None] | None = (
            None  # is told of each that must be left
        )
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def connection_count(self) -> int:
        """Descriptors in use or soon to be."""
        return self.established_connections + len(self._connects)

    @property
    def is_ready(self) -> bool:
        return any(upstream.is_serving for upstream in self.pools.values())

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        listed_ids = set()
        for endpoint in endpoint_list.endpoints:
            entry = endpoint.entry
            listed_ids.add(entry.endpoint_id)
            pool = self.pools.get(entry.endpoint_id)
            if pool is None:
                self.pools[entry.endpoint_id] = EndpointConnectionPool(
                    self, endpoint.address, entry.started_at, entry.state
                )
                continue
            if pool.address != endpoint.address or entry.started_at > pool.started_at:
                pool.replace_process()
                if self.on_endpoint_leaving is not None:
                    self.on_endpoint_leaving(pool)
            pool.address = endpoint.address
            pool.started_at = entry.started_at
            pool.state = entry.state
        for endpoint_id, pool in list(self.pools.items()):
            if endpoint_list.is_snapshot and endpoint_id not in listed_ids:
                pool.state = EndpointState.REMOVED
            if not pool.is_serving:
                pool.close_idle()
                if self.on_endpoint_leaving is not None:
                    self.on_endpoint_leaving(pool)
            if pool.state is EndpointState.REMOVED:
                del self.pools[endpoint_id]  # what is out on it ends by itself

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        pool = attempt.pool
        connection = pool.take_idle()
        if connection is not None:
            wait = connection.idle_since + REUSE_DELAY_S - time.monotonic()
            if wait > 0:
                self.loop.call_later(wait, self._start_on_idle, attempt, connection)
            else:
                self._start_on_idle(attempt, connection)
        elif self.connection_count >= self.max_connections and not self._evict_idle():
            attempt.end(AttemptStatus.NOT_SENT)  # this proxy's own bound: no fault of the backend's
        else:
            task = self.loop.create_task(self._connect(attempt, pool))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    def _start_on_idle(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Bytes that lie unread would be taken for the answer to what is sent now."""
        if connection in connection.pool.connections and not connection.has_unread_input():
            attempt.run_on(connection)
            return
        connection.abort()
        if attempt.status is None:
            self.start_attempt(attempt)

    async def _connect(self, attempt: UpstreamAttempt, pool: EndpointConnectionPool) -> None:
        connection = UpstreamConnection(pool)
        address = pool.address
        started_at = pool.started_at
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, *address)
            if (address, started_at) != (pool.address, pool.started_at):
                raise ConnectionError("the backend is another one by now")
            if connection.transport is None:
                raise ConnectionError("lost as soon as made")
            pool.connections.add(connection)
            attempt.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abort()
            # What this machine lacks is no fault of the backend's.
            is_local = isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS
            attempt.end(AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED)
        except Exception:
            log.exception("backend %s: an attempt failed", address)
            connection.abort()
            attempt.end(AttemptStatus.RESET)

    def _evict_idle(self) -> bool:
        """At the bound, the connection that is idle the longest makes room."""
        idle = [c for pool in self.pools.values() for c in pool.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abort()
        return True

    def _sweep(self) -> None:
        oldest = time.monotonic() - self.idle_timeout
        for pool in self.pools.values():
            pool.close_idle(oldest)
        stalled = time.monotonic() - STALL_TIMEOUT_S
        for connection in [c for c in self.streaming_connections if c.last_progress_at < stalled]:
            log.warning("an answer from %s stood still and is given up", connection.pool.address)
            connection.fail_response()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
