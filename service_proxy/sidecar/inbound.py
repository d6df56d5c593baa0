"""The inbound side: takes calls for the application beside the sidecar; tells callers what became of them.

What is begun, waits and is refused is admission.py's to say. Here are the sockets: a probe of the
application, the calls' timers, and the answers. To its callers the sidecar is the server itself, and speaks
as the protocol has it: 503 with `X-Rejected: 1` where the application never had the call, and never else.
"""

from __future__ import annotations

import asyncio
import logging
import time

from service_proxy.net.downstream import HttpServer, LocalResponse, Request, ResponseWriter
from service_proxy.net.endpoint_list import Endpoint, EndpointList, parse_address
from service_proxy.net.header_fields import HOP_BY_HOP
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.request_filters import (
    HeaderFields,
    Rejection,
    RequestFilter,
    RequestFilterState,
    apply_filters,
    headers_consumed_by,
)
from service_proxy.net.upstream import UpstreamAttempt, UpstreamCluster
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, EndpointEntry, Idempotency
from service_proxy.sidecar.admission import TAKING, Admission, Heard, State, Verdict
from service_proxy.sidecar.model import Description, Sidecar

log = logging.getLogger(__name__)

PROBE_EVERY = 0.5  # s between probes of an application that is well
PROBE_SOON = 0.05  # s between probes of one that is not known to be
PROBE_TIMEOUT = 0.4  # s; a slow application is known within PROBE_EVERY and two of these
CONNECT_TIMEOUT = 0.25  # s
PROBES = 2  # connections beside those of calls: a probe, and the last one's while it ends
IDLE = 4.0  # s for which a connection to the application is kept without use
MARGIN = 0.01  # s before its caller gives up at which an answer leaves at the latest
REJECTED = ((b"x-rejected", b"1"),)
DROPPED = HOP_BY_HOP | {b"x-load-report"}  # the load is what this sidecar holds
EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by-key": Idempotency.IDEMPOTENT_WITH_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}
APPLICATION = 1  # its number among the upstreams, which are one


def probe_of(sidecar: Sidecar) -> bytes:
    lines = f"GET {sidecar.health} HTTP/1.1", f"Host: {sidecar.application}", "", ""
    return "\r\n".join(lines).encode()


class Held:
    """A call that was taken and is owed its answer."""

    __slots__ = ("began", "due", "exchange", "open", "reply", "request", "tickets", "timer")

    def __init__(self, request: Request, reply: ResponseWriter, due: float) -> None:
        self.request = request
        self.reply = reply
        self.due = due
        self.open = True
        self.began = 0.0
        self.exchange: UpstreamAttempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.tickets: list[RequestFilterState] = []


class Inbound:
    """net.downstream.RequestHandler for the application of one [[sidecar]]."""

    def __init__(
        self,
        description: Description,
        sidecar: Sidecar,
        sockets: int,
        memory_mb: float,
        filters: tuple[RequestFilter, ...] = (),
    ) -> None:
        self.filters = filters
        self.takes = headers_consumed_by(filters)
        self.dropped = DROPPED | self.takes
        self.loop = asyncio.get_running_loop()
        self.sidecar = sidecar
        tier = description.tiers[sidecar.tier]
        self.classes = {name: description.classes[name] for name in tier.classes}
        self.advise = description.features.retry_after
        self.admission: Admission[Held] = Admission(
            sidecar.slots, sidecar.waiting, tier.cold_from, tier.cold_for, description.features.warm_up
        )
        self.upstreams = UpstreamCluster(
            CONNECT_TIMEOUT, IDLE, int(sockets * UPSTREAM_DESCRIPTOR_SHARE) + PROBES
        )
        at = parse_address(sidecar.application)
        self.upstreams.apply_endpoint_list(
            EndpointList(0, True, [Endpoint(at, EndpointEntry(APPLICATION), "application")])
        )
        self.application = self.upstreams.pools[APPLICATION]
        self.probe_request = probe_of(sidecar)
        self.held: dict[bytes, Held] = {}  # by X-Call-Id, until the application is done with it, too
        self.owed = 0  # answers
        self.stopped = 0  # calls that nobody waits for and whose slots are held
        self.closed = False  # takes nothing any more
        self.end_by = float("inf")
        self.probing: asyncio.TimerHandle | None = None
        self.probe_out = False
        self.changed = asyncio.Event()  # the application's state has changed
        pages = {b"/healthz": self._health, b"/load": self._load}
        effects = {name: EFFECTS[cls.effect] for name, cls in self.classes.items()}
        self.server = HttpServer(effects, self, sockets, memory_mb, pages, REJECTED, self.takes)

    async def start(self) -> None:
        """Raises OSError where it can't listen."""
        self._probe()
        await self.server.listen(*parse_address(self.sidecar.inbound))

    def stop(self) -> None:
        if self.probing is not None:
            self.probing.cancel()

    # what it says of itself
    def _health(self) -> LocalResponse:
        state = self.admission.state
        if self.admission.taking:
            return LocalResponse(200, b"ok\n")
        return LocalResponse(
            503, b"draining\n" if state in TAKING else b"the application is %s\n" % state.value.encode()
        )

    def _load(self) -> LocalResponse:
        out = self.admission.out
        queue = len(self.admission.queue)
        return LocalResponse(
            200 if self.admission.taking else 503, b"inflight=%d,queue=%d\n" % (out + queue, queue)
        )

    # the application
    def _probe(self) -> None:
        self.probing = None
        if self.probe_out:
            return
        self.probe_out = True
        exchange = UpstreamAttempt(
            self.application, self.probe_request, PROBE_TIMEOUT, lambda: True, self._probed
        )
        if self.admission.state is not State.UP:
            self.application.close_idle()  # a connection that still stands says nothing of who listens now
        self.upstreams.start_attempt(exchange)

    def _probed(self, exchange: UpstreamAttempt) -> None:
        self.probe_out = False
        status = exchange.status
        if status is AttemptStatus.CONNECT_FAILED:
            self._heard(Heard.REFUSED)
        elif exchange.status_code:
            self._heard(Heard.HEALTHY if 200 <= exchange.status_code < 300 else Heard.UNHEALTHY)
        elif status is AttemptStatus.TIMEOUT:
            self._heard(Heard.SILENT)
        elif status is not AttemptStatus.NOT_SENT:  # which was never sent, and says nothing
            self._heard(Heard.BROKEN)
        self._probe_later()

    def _probe_later(self, wait: float | None = None) -> None:
        if self.probing is not None:
            self.probing.cancel()
        if wait is None:
            wait = PROBE_EVERY if self.admission.state is State.UP else PROBE_SOON
        self.probing = self.loop.call_later(wait, self._probe)

    def _heard(self, what: Heard) -> None:
        before = self.admission.state
        now = time.monotonic()
        self._told(before, self.admission.heard(what, now), now)

    def _told(self, before: State, state: State, now: float) -> None:
        if state is before:
            return
        address = self.sidecar.application
        log.warning(
            "application_state_changed address=%s before=%s after=%s", address, before.value, state.value
        )
        self.changed.set()
        for held in self.admission.dismissed():
            self._refuse(held, b"the application is %s\n" % state.value.encode())
        self._begin_more(now)

    # callers
    def start_request(self, request: Request, reply: ResponseWriter) -> Held | None:
        now = time.monotonic()
        if self.closed or request.id in self.held:
            # One of this name is with the application still: this one never was.
            text = b"draining\n" if self.closed else b"this X-Call-Id is in use\n"
            reply.respond(503, self._advice(now), text)
            return None
        cls = self.classes[request.class_name]
        due = min(request.received_at + min(request.time_budget, cls.deadline) - MARGIN, self.end_by)
        held = Held(request, reply, due)
        worth = cls.worth
        found = apply_filters(self.filters, request, lambda: None)  # who waits for it is its caller alone
        if isinstance(found, Rejection):
            reply.respond(503, self._advice(now), found.body)
            return None
        held.tickets = found
        for ticket in found:
            held.due = due = min(due, ticket.deadline)
            worth *= ticket.weight_share
        verdict, yields = self.admission.offer(held, worth, due, now)
        if verdict is Verdict.REFUSE:
            self._ended(held, True)
            state = self.admission.state
            busy = state in TAKING
            reply.respond(
                503,
                self._advice(now),
                b"busy\n" if busy else b"the application is %s\n" % state.value.encode(),
            )
            return None
        self.held[request.id] = held
        self.owed += 1
        held.timer = self.loop.call_later(max(0.0, due - now), self._overdue, held)
        if yields is not None:
            self._refuse(yields, b"others are worth more\n")
        if verdict is Verdict.BEGIN:
            self._begin(held, now)
        return held

    def client_disconnected(self, held: Held) -> None:
        """Its caller has gone. What waits is not begun; of what the application has the connection is closed,
        so that no attempt is out which its caller has given up."""
        if not held.open:
            return
        self._settle(held, False)
        if self.admission.left(held):
            del self.held[held.request.id]
        elif held.exchange is not None:
            self._stop(held, held.exchange)

    def _stop(self, held: Held, exchange: UpstreamAttempt) -> None:
        """Nobody waits for it, and its application may care to know. Its slot stays taken for as long as
        such a call
        usually takes: an application that does not look goes on."""
        if not exchange.sent:
            exchange.cancel()
            return
        left = held.began + self.admission.mean - time.monotonic()
        self.stopped += 1
        self.admission.out += 1  # in place of the one that ends now
        self.loop.call_later(max(0.0, left), self._stopped)
        exchange.cancel()

    def _stopped(self) -> None:
        self.stopped -= 1
        now = time.monotonic()
        self.admission.ended(None, now)
        self._begin_more(now)

    def _ended(self, held: Held, answered: bool) -> None:
        for ticket in held.tickets:
            ticket.on_request_end(answered)

    def _begin(self, held: Held, now: float) -> None:
        held.began = now
        request = held.request
        left = held.due - now
        more = b"".join(ticket.on_attempt_start(left) or b"" for ticket in held.tickets)
        head = b"%s%sx-budget: %du\r\n\r\n" % (request.head, more, max(1, int(left * 1e6)))
        held.exchange = UpstreamAttempt(
            self.application,
            b"".join([head, *request.body.parts]),
            max(0.0, left),
            lambda: held.open,
            lambda exchange: self._done(held, exchange),
        )
        self.upstreams.start_attempt(held.exchange)

    def _begin_more(self, now: float) -> None:
        while (held := self.admission.following(now)) is not None:
            self._begin(held, now)

    def _done(self, held: Held, exchange: UpstreamAttempt) -> None:
        """The application is done with it, or never had it."""
        now = time.monotonic()
        status = exchange.status
        assert status is not None
        del self.held[held.request.id]
        for ticket in held.tickets:
            ticket.on_attempt_end(exchange, status)
        self.admission.ended(exchange.elapsed if exchange.status_code else None, now)
        if held.open:
            self._answer_by(held, exchange, status, now)
        before = self.admission.state
        if status is AttemptStatus.RESET:
            self._told(before, self.admission.broke(len(self.application.connections), now), now)
            self._probe_later(0.0)
        elif status is AttemptStatus.CONNECT_FAILED:
            self._told(before, self.admission.heard(Heard.REFUSED, now), now)
            self._probe_later(PROBE_SOON)
        self._begin_more(now)

    def _answer_by(self, held: Held, exchange: UpstreamAttempt, status: AttemptStatus, now: float) -> None:
        if exchange.status_code >= 200:
            headers = tuple(pair for pair in exchange.response_headers if pair[0] not in self.dropped)
            self._answer(held, exchange.status_code, headers, exchange.response_body, True)
        elif status in NEVER_EXECUTED:
            self._answer(held, 503, self._advice(now), b"the application did not get it\n")
        elif status is AttemptStatus.TIMEOUT:
            self._answer(held, 504, (), b"the application did not answer in time\n")
        else:
            self._answer(held, 502, (), b"the application's answer was cut or can't be used\n")

    def _answer(self, held: Held, code: int, headers: HeaderFields, body: bytes, own: bool = False) -> None:
        """`own`: it is the application's, which is done with the call then."""
        for ticket in held.tickets:
            headers += ticket.response_headers()
        self._settle(held, own)
        held.reply.respond(code, headers, body)

    def _refuse(self, held: Held, text: bytes) -> None:
        """One that waited and was never begun."""
        del self.held[held.request.id]
        if held.open:
            self._answer(held, 503, self._advice(time.monotonic()), text)

    def _advice(self, now: float) -> tuple[tuple[bytes, bytes], ...]:
        if not self.advise:
            return REJECTED
        return (*REJECTED, (b"retry-after", b"%.3f" % self.admission.advice(now)))

    def _overdue(self, held: Held, late: bool = False) -> None:
        """Its time is up while it waits, or a moment before its exchange's own end."""
        if not held.open:
            return
        if not late and time.monotonic() > held.due + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: the answer may have come meanwhile.
            held.timer = self.loop.call_later(LOOP_TURN_S, self._overdue, held, True)
            return
        exchange = held.exchange
        if exchange is None:
            self.admission.left(held)  # unless it was passed over just now
            self._refuse(held, b"waited for as long as its caller would\n")
            return
        if exchange.sent:
            self._answer(held, 504, (), b"the application did not answer in time\n")
        else:
            self._answer(held, 503, self._advice(time.monotonic()), b"the application did not get it\n")
        exchange.end(AttemptStatus.TIMEOUT if exchange.sent else AttemptStatus.NOT_SENT)

    def _settle(self, held: Held, answered: bool) -> None:
        """`answered`: by its application; else what that still does for it is for nobody."""
        held.open = False
        self._ended(held, answered)
        self.owed -= 1
        if held.timer is not None:
            held.timer.cancel()

    def change(self, sidecar: Sidecar) -> None:
        """On SIGHUP: slots, places to wait and the path of its health."""
        self.sidecar = sidecar
        self.admission.slots = sidecar.slots
        self.admission.most_waiting = sidecar.waiting
        self.probe_request = probe_of(sidecar)
        self._begin_more(time.monotonic())

    # the end
    def drain(self, end_by: float) -> None:
        """From now on its health says that it leaves; what callers send all the same is served for now, and
        answered by `end_by` at the latest."""
        self.admission.draining = True
        self.end_by = end_by
        for held in self.held.values():
            if held.open and held.due > end_by:
                assert held.timer is not None
                held.timer.cancel()
                held.due = end_by
                held.timer = self.loop.call_later(max(0.0, end_by - time.monotonic()), self._overdue, held)

    def close(self) -> None:
        """Refuses all that is new, and takes no connections any more."""
        self.closed = True
        self.server.stop_listening()
