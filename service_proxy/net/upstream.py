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

from service_proxy.net.bodies import Body, chunk_of
from service_proxy.net.fields import closes, read_field
from service_proxy.net.limits import LATE, MOST_LENGTH, ONE_TURN
from service_proxy.net.listing import Address, Listing
from service_proxy.net.polling import readable
from service_proxy.net.protocols import Sink, Switch
from service_proxy.policy.events import AttemptStatus, EndpointState

log = logging.getLogger(__name__)

MOST_BODY = 64 * 1024  # bytes of an answer that is held until it is whole
HOLD_BACK = 0.05  # s from its head for which an answer of unknown length is awaited whole
STALLED = 15.0  # s for which a message that is passed on may stand still, on either side
READ = 64 * 1024  # bytes that are read at once
MOST_HEAD = 32 * 1024  # bytes of an answer's headers, with all 1xx answers ahead of it
MOST_RAW = MOST_HEAD + 8 * MOST_BODY  # bytes of an answer as it comes, chunk by chunk
IDLE_SHARE = 0.9  # of the settings' idle time after which this side closes first
SETTLE = ONE_TURN  # s after an answer before its connection is used again: what else comes is seen first
SWEEP = 1.0  # s between looks for idle connections
OWN_FAULTS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class Exchange:
    """One request to one backend, from the decision to send until its one end.

    `may_start` is asked right before the first byte goes out, also after a slow connect: meanwhile the call
    may have ended or the backend begun to drain. `done` is called once, with `status` set. `sent`: the last
    byte of the request has left for the backend, so it may run; before that it can't.
    """

    __slots__ = (
        "body",
        "code",
        "connection",
        "counts",
        "done",
        "due",
        "elapsed",
        "headers",
        "length",
        "loop",
        "may_start",
        "payload",
        "request",
        "sent",
        "source",
        "started_at",
        "status",
        "timer",
        "upstream",
    )

    def __init__(
        self,
        upstream: Upstream,
        request: bytes,
        timeout: float,
        may_start: Callable[[], bool],
        done: Callable[[Exchange], None],
        counts: bool = False,
        payload: Body | None = None,
    ) -> None:
        """`counts`: it is an attempt of a call, not a probe, and its answer may be passed on as it comes:
        then `source` is set with OK, and who is called gives it a sink. `payload`: the body behind `request`.
        """
        self.upstream = upstream
        self.request = request
        self.counts = counts
        self.payload = payload
        self.source: Connection | None = None
        self.length: int | None = None  # of the answer that `source` brings; None: it ends when it ends
        self.may_start = may_start
        self.done = done
        self.loop = upstream.owner.loop
        self.started_at = time.monotonic()
        self.status: AttemptStatus | None = None
        self.elapsed = 0.0
        self.sent = False
        self.connection: Connection | None = None
        self.code = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.due = self.started_at + timeout
        self.timer = self.loop.call_later(timeout, self._out_of_time)

    def end(self, status: AttemptStatus) -> None:
        """Any end but a whole answer gives up the connection, so that a late answer reaches nobody."""
        if self.status is not None:
            return
        self.status = status
        self.elapsed = time.monotonic() - self.started_at
        self.timer.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abandon()
        try:
            self.done(self)
        except Exception:  # one call's fault must not end the callbacks of a connection
            log.exception("the end of an exchange failed")

    def cancel(self) -> None:
        self.end(AttemptStatus.CANCELLED if self.sent else AttemptStatus.NOT_SENT)

    def extend(self, due: float) -> None:
        """It may take until then."""
        self.due = due

    def _out_of_time(self) -> None:
        if time.monotonic() < self.due < math.inf:
            self.timer = self.loop.call_later(self.due - time.monotonic(), self._out_of_time)
            return
        if time.monotonic() > self.due + LATE:
            # This process stood still, and timers come before sockets: the answer may have come long ago.
            self.due = math.inf
            self.timer = self.loop.call_later(ONE_TURN, self._out_of_time)
            return
        if self.sent and self.upstream.heard_at < self.started_at:
            # The backend said nothing to anyone meanwhile. A machine that vanished leaves its connections
            # open and silent; when it is back, each would cost one more call or probe to find out.
            self.upstream.close_idle(self.started_at)
        self.end(AttemptStatus.TIMEOUT if self.sent else AttemptStatus.NOT_SENT)

    def run_on(self, connection: Connection) -> None:
        """Writes the request, unless it has ended or must not start any more."""
        if self.status is not None or not self.may_start():
            connection.upstream.keep(connection)
            self.end(AttemptStatus.NOT_SENT)
            return
        self.connection = connection
        connection.begin(self)

    def written(self) -> None:
        """Its last byte has left."""
        self.sent = True
        self.upstream.owner.written += self.counts

    def streamed(
        self, code: int, headers: list[tuple[bytes, bytes]], source: Connection, length: int | None
    ) -> None:
        """It is answered, and the answer comes on."""
        self.connection = None
        self.code = code
        self.headers = headers
        self.source = source
        self.length = length
        self.end(AttemptStatus.OK)

    def answered(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.connection = None
        self.code = code
        self.headers = headers
        self.body = body
        if code == 200:
            self.end(AttemptStatus.OK)
        elif code in (503, 504) and any(name == b"x-rejected" and value == b"1" for name, value in headers):
            self.end(AttemptStatus.REJECTED)
        else:
            self.end(AttemptStatus.ERROR)


class SwitchExchange(Exchange):
    """An attempt to leave HTTP with a backend: a proven 101 is its success, anything else an error."""

    __slots__ = ("rest", "switch", "taken")

    def __init__(
        self,
        upstream: Upstream,
        request: bytes,
        timeout: float,
        may_start: Callable[[], bool],
        done: Callable[[Exchange], None],
        switch: Switch,
    ) -> None:
        super().__init__(upstream, request, timeout, may_start, done, counts=True)
        self.switch = switch
        self.taken: Connection | None = None  # with OK: no HTTP any more
        self.rest = b""  # what came behind the 101

    def switched(self, headers: list[tuple[bytes, bytes]], connection: Connection, rest: bytes) -> None:
        self.connection = None
        self.code = 101
        self.headers = headers
        fault = self.switch.proven(headers)
        if fault is None:
            self.taken = connection
            self.rest = rest
            self.end(AttemptStatus.OK)
            return
        log.warning("%s declines an upgrade with a 101: %s", self.upstream.address, fault)
        connection.abandon()
        self.end(AttemptStatus.ERROR)

    def answered(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Declined. A 200 is no WebSocket."""
        super().answered(502 if code == 200 else code, headers, body)

    def streamed(
        self, code: int, headers: list[tuple[bytes, bytes]], source: Connection, length: int | None
    ) -> None:
        self.connection = None
        self.end(AttemptStatus.ERROR)  # nobody relays it, so its connection ends


class Connection(asyncio.BufferedProtocol):
    """One connection to a backend; carries one exchange at a time."""

    __slots__ = (
        "answer",
        "body",
        "exchange",
        "full",
        "head_done",
        "headers",
        "holding",
        "idle_since",
        "last",
        "length",
        "moved_at",
        "parser",
        "paused",
        "raw",
        "rest",
        "sink",
        "size",
        "transport",
        "until_close",
        "upstream",
        "writing",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser: Any = None  # one for each exchange: nothing of the last answer can reach the next
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        # bytes of this answer as they came; of its body
        self.raw = 0
        self.size = 0
        self.head_done = False
        self.until_close = False
        self.last = False
        self.answer: tuple[int, bool] | None = None  # whole, not handed on yet: its code, and whether to keep
        self.idle_since = 0.0
        self.length: int | None = None  # of this answer, where it tells
        self.writing: Body | None = None  # what is left of the request
        self.full = False  # the backend does not take what is written
        self.sink: Sink | None = None  # the answer is passed on to it
        self.paused = False  # the sink has had enough
        self.moved_at = 0.0  # when a message that is passed on moved last
        self.holding: asyncio.TimerHandle | None = None
        self.rest = b""  # what came right behind a 101

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.upstream.owner.made += 1

    def connection_lost(self, exc: Exception | None) -> None:
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self._let_go()
        self.upstream.lost(self)
        if self.sink is not None:
            self._end_relay().broken_off()
        if self.exchange is not None:
            exchange = self.exchange
            self.exchange = None
            # Once its last byte has left this process the backend may have run it: never a resend.
            exchange.end(AttemptStatus.RESET if exchange.sent else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> None:
        if self.until_close and (self.exchange is not None or self.sink is not None):
            self.answer = self.parser.get_status_code(), False
            self._hand_on()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.upstream.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = self.upstream.owner.buffer[:nbytes]
        self.upstream.heard_at = time.monotonic()
        if self.exchange is None and self.sink is None:
            self.abandon()  # nothing was asked: an answer to nobody
            return
        self.raw += nbytes
        spoilt = False
        try:
            self.parser.feed_data(data)
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.answer is None and self.raw > (MOST_RAW + 8 * self.size if self.head_done else MOST_HEAD):
                raise ValueError("the answer does not end")
        except httptools.HttpParserUpgrade as end:
            self.rest = bytes(data[end.args[0] :])
        except Exception as fault:  # garbage; it may still have run
            cause = fault.__context__ or fault
            log.warning("a backend's answer can't be used: %s: %s", self.upstream.address, str(cause)[:200])
            spoilt = True
        if self.answer is not None:
            if spoilt:  # it is whole and good, but more came than belongs to it
                self.answer = self.answer[0], False
            self._hand_on()
        elif spoilt:
            self.spoilt()
        elif self.sink is not None:
            self.moved_at = self.upstream.heard_at
        elif self.size and self.length is None and self.holding is None and self.exchange is not None:
            if self.exchange.counts and self.parser.get_status_code() == 200:
                due = self.upstream.heard_at + HOLD_BACK
                self.holding = self.upstream.owner.loop.call_later(HOLD_BACK, self._held_back, due)

    def _hand_on(self) -> None:
        """The answer is whole."""
        assert self.answer is not None
        (code, keep), self.answer = self.answer, None
        headers = self.headers
        self.headers = []
        body = b"".join(self.body)
        self.body = []
        exchange = self.exchange
        self.exchange = None
        self.parser = None
        sink = self._end_relay() if self.sink is not None else None
        keep = keep and self.writing is None  # else the rest of the request would be read as another
        self._let_go()
        if code == 101 and isinstance(exchange, SwitchExchange):
            rest = self.rest
            self.rest = b""
            exchange.switched(headers, self, rest)
            return
        if keep:
            self.upstream.keep(self)
        else:
            self.abandon()
        if sink is not None:
            sink.finish()
        elif exchange is not None:
            exchange.answered(code, headers, body)

    # an answer that is passed on
    def _held_back(self, due: float) -> None:
        if time.monotonic() > due + LATE:
            # This process stood still, and timers come before sockets: its end, or a reset that makes it an
            # attempt that failed, may have come meanwhile.
            self.holding = self.upstream.owner.loop.call_later(ONE_TURN, self._pass_on)
        else:
            self._pass_on()

    def _pass_on(self) -> None:
        """What has come goes on, and so does the rest, as it comes."""
        self._hold_no_more()
        exchange = self.exchange
        if exchange is None or self.answer is not None:
            return
        if self.transport is None or self.transport.is_closing():
            return  # its connection is lost, and about to say so
        self.exchange = None
        headers = self.headers
        self.headers = []
        body = self.body
        self.body = []
        self.moved_at = time.monotonic()
        exchange.streamed(self.parser.get_status_code(), headers, self, self.length)
        if self.sink is None:
            self.abandon()  # nobody waits for it any more
            return
        for part in body:
            if self.sink is not None:
                self.sink.feed(part)

    def relay(self, sink: Sink) -> None:
        self.sink = sink
        self.upstream.owner.relays.add(self)

    def _end_relay(self) -> Sink:
        sink = self.sink
        self.sink = None
        assert sink is not None
        self.upstream.owner.relays.discard(self)
        return sink

    def pause(self) -> None:
        """The sink has had enough for now."""
        if not self.paused and self.transport is not None:
            self.paused = True
            self.moved_at = time.monotonic()
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and self.transport is not None:
            self.paused = False
            self.moved_at = time.monotonic()
            self.transport.resume_reading()

    def drop(self) -> None:
        """Nobody takes the rest."""
        if self.sink is not None:
            self._end_relay()
        self.abandon()

    def _hold_no_more(self) -> None:
        """A timer that outlived its answer would pass on the next one, unread, as a 200."""
        if self.holding is not None:
            self.holding.cancel()
            self.holding = None

    def _let_go(self) -> None:
        """What belonged to the exchange that is over."""
        self._hold_no_more()
        if self.writing is not None:
            self.writing.reader = None
            self.writing = None
        if self.paused:
            self.resume()

    # a request's body
    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if self.writing is not None:
            self.more()

    def more(self) -> None:
        """bodies.Reader: writes what there is as far as the backend takes it."""
        body = self.writing
        transport = self.transport
        exchange = self.exchange
        if body is None or transport is None or self.full:
            return
        if not body.kept and body.parts:
            parts = body.taken()
            if body.length is None:
                parts = [piece for part in parts for piece in chunk_of(part)]
            transport.writelines(parts)
            if exchange is not None:
                exchange.extend(time.monotonic() + STALLED)
        if body.whole and not body.parts and body.length is None and not body.kept:
            body.length = body.size
            transport.write(b"0\r\n\r\n")
        if self.full:  # not all has left, and the backend can't have it whole
            return
        if body.whole and (body.kept or not body.parts):
            body.reader = None
            self.writing = None
            if exchange is not None:
                exchange.written()

    # parser callbacks
    def on_message_begin(self) -> None:
        if self.answer is not None:
            raise ValueError("more than one answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.head_done:  # a trailer is no header
            self.headers.append(read_field(name, value))

    def on_headers_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200:
            return
        self.head_done = True
        self.last = closes(self.headers)
        if sum(len(name) + len(value) for name, value in self.headers) > MOST_HEAD:
            raise ValueError("headers too large")
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        if codings:
            if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
                raise ValueError("no one way to tell its length")
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise ValueError("a length that can't be read")
            if len(lengths[0]) > 15 or int(lengths[0]) > MOST_LENGTH:
                raise ValueError("body too large")
            self.length = int(lengths[0])
        elif code not in (204, 304):
            # It ends with the connection, if the backend says that it will: else there is no end to wait for.
            if not closes(self.headers):
                raise ValueError("no length")
            self.until_close = True
        if self.length is not None and self.length > MOST_BODY:
            self._too_long()

    def _too_long(self) -> None:
        """It can't be held until it is whole."""
        if self.exchange is None:
            return  # nobody waits for it any more
        if not self.exchange.counts:
            raise ValueError("body too large")
        code = self.parser.get_status_code()
        if code == 200:
            self._pass_on()
        else:  # what it says is of no use, and how it ended is known
            self.answer = code, False

    def on_body(self, chunk: bytes) -> None:
        self.size += len(chunk)
        if self.size > MOST_LENGTH:
            raise ValueError("the answer does not end")
        if self.sink is not None:
            self.sink.feed(chunk)
            return
        if self.answer is not None or self.exchange is None:
            return  # settled by its head, or nobody waits for it any more
        self.body.append(chunk)
        if self.size > MOST_BODY:
            self._too_long()

    def on_message_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200 and code != 101:
            self.headers = []  # an interim answer
        elif self.answer is None:
            keep = code != 101 and not self.last and self.parser.should_keep_alive()
            self.answer = code, keep  # known only here

    def begin(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self.exchange = exchange
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.body = []
        self.raw = 0
        self.size = 0
        self.head_done = False
        self.until_close = False
        self.length = None
        body = exchange.payload
        if body is None:
            self.transport.write(exchange.request)
            exchange.written()
            return
        self.transport.set_write_buffer_limits(high=0)  # so that it tells when all has left
        self.writing = body
        body.reader = self
        self.transport.writelines([exchange.request, *body.parts] if body.kept else [exchange.request])
        self.more()

    def unread(self) -> bool:
        """Whether bytes nobody asked for, or the connection's end, lie in its socket by now."""
        return self.transport is None or self.transport.is_closing() or readable(self.transport)

    def abandon(self) -> None:
        self.exchange = None
        self._let_go()
        self.upstream.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def spoilt(self) -> None:
        """The backend answered, with something of no use: an error that may have run. Unlike a reset it says
        nothing of whether the backend is up."""
        exchange = self.exchange
        sink = self._end_relay() if self.sink is not None else None
        self.abandon()
        if sink is not None:
            sink.broken_off()
        if exchange is not None:
            exchange.connection = None
            exchange.end(AttemptStatus.ERROR)


class Upstream:
    """One backend as discovery last listed it, with its connections."""

    __slots__ = ("address", "connections", "heard_at", "idle", "owner", "started_at", "state")

    def __init__(self, owner: Upstreams, address: Address, started_at: float, state: EndpointState) -> None:
        self.owner = owner
        self.address = address
        self.started_at = started_at
        self.state = state
        self.connections: set[Connection] = set()
        self.heard_at = 0.0  # when it last sent anything
        self.idle: list[Connection] = []

    @property
    def serving(self) -> bool:
        return self.state is EndpointState.SERVING

    def take_idle(self) -> Connection | None:
        """The connection used last: the others grow old and are closed. One that was in use just now only
        where there is no other."""
        now = time.monotonic()
        oldest = now - self.owner.idle_for
        settled = now - SETTLE
        while self.idle:
            place = len(self.idle) - 1
            while place and self.idle[place].idle_since > settled:
                place -= 1
            if self.idle[place].idle_since > settled:
                place = -1
            connection = self.idle.pop(place)
            if connection.transport is not None and not connection.transport.is_closing():
                if connection.idle_since > oldest:
                    return connection
                connection.abandon()
        return None

    def keep(self, connection: Connection) -> None:
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def lost(self, connection: Connection) -> None:
        self.forget(connection)
        self.connections.discard(connection)
        self.owner.made -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def renew(self) -> None:
        """The process behind the address is another one: no connection may be inherited."""
        self.close_idle()
        self.connections.clear()  # those in use end with their exchange, in keep()


class Upstreams:
    """All backends, and the bound on connections to them."""

    def __init__(self, connect_timeout: float, conn_idle: float, most_open: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_for = IDLE_SHARE * conn_idle
        self.most_open = most_open
        self.made = 0  # connections that are up
        self.buffer = memoryview(bytearray(READ))  # what is read goes through it at once
        self.relays: set[Connection] = set()  # answers that are passed on
        self.written = 0  # attempts of calls whose last byte was handed to a connection
        self.by_id: dict[int, Upstream] = {}
        self.on_leaving: Callable[[Upstream], None] | None = None  # is told of each that must be left
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP, self._sweep)

    @property
    def open(self) -> int:
        """Descriptors in use or soon to be."""
        return self.made + len(self._connects)

    @property
    def ready(self) -> bool:
        return any(upstream.serving for upstream in self.by_id.values())

    def apply(self, listing: Listing) -> None:
        named = set()
        for listed in listing.backends:
            entry = listed.entry
            named.add(entry.endpoint_id)
            upstream = self.by_id.get(entry.endpoint_id)
            if upstream is None:
                self.by_id[entry.endpoint_id] = Upstream(self, listed.address, entry.started_at, entry.state)
                continue
            if upstream.address != listed.address or entry.started_at > upstream.started_at:
                upstream.renew()
                if self.on_leaving is not None:
                    self.on_leaving(upstream)
            upstream.address = listed.address
            upstream.started_at = entry.started_at
            upstream.state = entry.state
        for server, upstream in list(self.by_id.items()):
            if listing.whole and server not in named:
                upstream.state = EndpointState.REMOVED
            if not upstream.serving:
                upstream.close_idle()
                if self.on_leaving is not None:
                    self.on_leaving(upstream)
            if upstream.state is EndpointState.REMOVED:
                del self.by_id[server]  # what is out on it ends by itself

    def start(self, exchange: Exchange) -> None:
        upstream = exchange.upstream
        connection = upstream.take_idle()
        if connection is not None:
            wait = connection.idle_since + SETTLE - time.monotonic()
            if wait > 0:
                self.loop.call_later(wait, self._use, exchange, connection)
            else:
                self._use(exchange, connection)
        elif self.open >= self.most_open and not self._spare_one():
            exchange.end(AttemptStatus.NOT_SENT)  # this proxy's own bound: no fault of the backend's
        else:
            task = self.loop.create_task(self._connect(exchange, upstream))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    def _use(self, exchange: Exchange, connection: Connection) -> None:
        """Bytes that lie unread would be taken for the answer to what is sent now."""
        if connection in connection.upstream.connections and not connection.unread():
            exchange.run_on(connection)
            return
        connection.abandon()
        if exchange.status is None:
            self.start(exchange)

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        connection = Connection(upstream)
        at = upstream.address
        since = upstream.started_at
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, *at)
            if (at, since) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend is another one by now")
            if connection.transport is None:
                raise ConnectionError("lost as soon as made")
            upstream.connections.add(connection)
            exchange.run_on(connection)
        except (OSError, TimeoutError) as fault:
            connection.abandon()
            # What this machine lacks is no fault of the backend's.
            own = isinstance(fault, OSError) and fault.errno in OWN_FAULTS
            exchange.end(AttemptStatus.NOT_SENT if own else AttemptStatus.CONNECT_FAILED)
        except Exception:
            log.exception("backend %s: an attempt failed", at)
            connection.abandon()
            exchange.end(AttemptStatus.RESET)

    def _spare_one(self) -> bool:
        """At the bound, the connection that is idle the longest makes room."""
        idle = [c for upstream in self.by_id.values() for c in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        oldest = time.monotonic() - self.idle_for
        for upstream in self.by_id.values():
            upstream.close_idle(oldest)
        stalled = time.monotonic() - STALLED
        for connection in [c for c in self.relays if c.moved_at < stalled]:
            log.warning("an answer from %s stood still and is given up", connection.upstream.address)
            connection.spoilt()
        self.loop.call_later(SWEEP, self._sweep)
