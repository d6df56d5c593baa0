"""Drives the one Balancer: events in, actions out. The only place that knows the module and the sockets.

It decides nothing: no retry, no pick, no queue. What it adds is the proxy's own word on each call: an answer
before the caller's deadline, whatever the module does.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from service_proxy.net.bodies import Body
from service_proxy.net.config import Config, ConfigError
from service_proxy.net.discovery import WALL_OFFSET, Discovery
from service_proxy.net.fields import HOP_BY_HOP
from service_proxy.net.filters import Filter, Ticket, Turned, ask, taken_by
from service_proxy.net.freshness import Freshness, freshness
from service_proxy.net.limits import LATE, ONE_TURN, UPSTREAM_SHARE
from service_proxy.net.listing import Listing, read_listing
from service_proxy.net.server import Page, Pages, Reply, Request
from service_proxy.net.upstream import IDLE_SHARE, STALLED, Connection, Exchange, SwitchExchange, Upstreams
from service_proxy.policy import events as api
from service_proxy.policy.balancer import Balancer

log = logging.getLogger(__name__)

LEAST_MARGIN = 0.02  # s before a caller's deadline at which its answer leaves at the latest
MOST_MARGIN = 0.15  # s
MODULE_MARGIN = 0.02  # s by which the module's deadline lies before the proxy's own
LAG_FADE = 0.995  # of the measured loop lag that is kept at each timer
MOST_PROBES = 32  # at once
MOST_CALLS = 1000  # at once, as the measure of a load where the settings name none
MOST_FIGURE = 1e6  # of a report; more is no load, and would outweigh all other reports
WRITTEN_AT_ONCE = 64 * 1024  # bytes of a body that is joined to its head; a longer one is not copied
PROBE_TIMEOUT = 0.2  # s; a report that comes later is of no use
DROPPED = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}
READY = Page(200, b"ok\n")
NOT_READY = Page(503, b"not ready\n")
REPORT_FIELDS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def read_report(text: bytes) -> dict[str, float] | None:
    """`inflight=7,queue=2` under the module's names; None where it holds nothing usable."""
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = REPORT_FIELDS.get(name.strip(), name.strip())
            figure = float(value)
            if name in report or not 0 <= figure <= MOST_FIGURE:
                return None  # what says one thing twice, or what can't be, is trusted in nothing
            report[name] = figure
    except ValueError:
        return None
    return report or None


def pace_of(settings: api.Settings) -> Freshness:
    return freshness(settings.polls_discovery, settings.drain_grace)


class FilterLimits(NamedTuple):
    """What the filters leave of a request's attempts and weight."""

    max_attempts: int = 0  # 0: as many as its class has
    weight_share: float = 1.0


NO_FILTER_LIMITS = FilterLimits()
NO_TICKETS: list[Ticket] = []  # of all calls that no filter holds


class OpenCall:
    """A taken request that is owed its answer."""

    __slots__ = (
        "attempts",
        "deadline",
        "exchange",
        "number",
        "open",
        "ran",
        "reply",
        "request",
        "tickets",
        "timer",
    )

    def __init__(self, number: int, request: Request, reply: Reply, deadline: float) -> None:
        self.number = number
        self.request = request
        self.reply = reply
        self.deadline = deadline
        self.open = True
        self.attempts = 0
        self.ran = False  # some attempt may have run
        self.exchange: Exchange | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.tickets: list[Ticket] = NO_TICKETS


class Driver:
    def __init__(
        self,
        config: Config,
        filters: tuple[Filter, ...] = (),
        overlay: Callable[[Listing], Listing] | None = None,
    ) -> None:
        """`filters` see each call before the module, in this order; `overlay` has the last word on lists."""
        self.overlay = overlay
        self.filters = filters
        self.takes = taken_by(filters)
        self.dropped = DROPPED | self.takes
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.settings = config.settings
        self.effects = {
            cls.name: config.forms.get(cls.name, cls.idempotency) for cls in self.settings.classes
        }
        self.deadlines = {cls.name: cls.deadline for cls in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed)
        self.upstreams = Upstreams(
            self.settings.connect_timeout,
            self.settings.connection_idle_timeout,
            most_open=int(config.sockets * UPSTREAM_SHARE),
        )
        self.calls: dict[int, OpenCall] = {}
        self.out: dict[int, Exchange] = {}  # attempts, by call: also of calls whose caller has left
        self.ids: set[bytes] = set()  # of the calls in the table, and of attempts still out
        self.calls_taken = 0
        self.calls_answered = 0
        self.witness: Callable[[int, api.AttemptStatus], None] | None = (
            None  # sees the end of attempts and probes
        )
        self.advise: Callable[[float], float] | None = None  # has the last word on the wait of a refusal
        self.probes = 0
        self.tunnels = 0  # further connections to backends that upgraded requests may hold
        self.events: list[api.Event] = []
        self.flush_at: asyncio.Handle | None = None
        self.flushed = 0.0
        self.end_by = math.inf  # when the process is to end: all is answered by then
        self.lag = 0.0  # s, how late this loop was lately
        self.on_empty: Callable[[], None] | None = None
        self.carriers: dict[type, Callable[[Any], None]] = {
            api.StartAttempt: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel,
            api.CheckHealth: self._probe,
            api.SetTimer: self._set_timer,
            api.CloseIdleConnections: self._close_idle,
            api.WatchEndpoints: lambda action: self.discovery.watch(action.enabled),
            api.FetchEndpoints: lambda action: self.discovery.fetch(),
            api.WriteLog: lambda action: log.info("module: %s", action.text),
            api.SendPeerMessage: lambda action: None,  # there is no talk between proxies
        }
        try:
            known = read_listing(config.known, WALL_OFFSET) if config.known else Listing(0, True, [])
        except ValueError as fault:
            raise ConfigError(f"bad configuration: known: {fault}") from None
        self.discovery = Discovery(
            config.discovery,
            known.version,
            pace_of(self.settings),
            config.seed,
            self.take_list,
            self.list_failed,
        )
        self.known = known
        if overlay is not None:
            known = overlay(known)
        self.upstreams.apply(known)
        self.events.append(self._server_list(known, api.ListScope.CACHED))

    def set_bounds(self, share: float) -> None:
        """On connections to backends, where this process has this share of its descriptors."""
        self.upstreams.most_open = int(self.config.sockets * share * UPSTREAM_SHARE) + self.tunnels

    def start(self) -> None:
        self._flush()
        self.discovery.start()

    def stop(self) -> None:
        self.discovery.stop()

    def end_all_by(self, end_by: float) -> None:
        """The process is to end: what is open is answered by then, too, whatever its client would wait."""
        self.end_by = end_by
        for call in self.calls.values():
            call.deadline = min(call.deadline, end_by)
            self._set_timeout(call)

    # events
    def _push(self, event: api.Event) -> None:
        """Events come to the module no more often than once a quantum."""
        self.events.append(event)
        if self.flush_at is None:
            wait = self.flushed + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_at = self.loop.call_later(wait, self._flush)
            else:
                self.flush_at = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_at = None
        now = self.flushed = time.monotonic()
        events = self.events
        self.events = []
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._recover(events)
            return
        for action in actions:
            try:
                self.carriers[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)
                number = getattr(action, "call", None)
                if number is not None:
                    self._give_up(number)

    def _recover(self, events: list[api.Event]) -> None:
        """The module failed on a batch: its calls fail, its timers come again, the rest goes on."""
        log.exception("the module failed on %d events", len(events))
        for event in events:
            if isinstance(event, api.RequestArrived | api.AttemptEnded):
                self._give_up(event.request_id)
            elif isinstance(event, api.TimerFired):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _give_up(self, number: int) -> None:
        call = self.calls.get(number)
        if call is not None:
            self._close(call, 502, (), b"internal error\n")
            self._push(api.RequestAbandoned(number))

    @staticmethod
    def _server_list(listing: Listing, kind: api.ListScope) -> api.EndpointListUpdate:
        return api.EndpointListUpdate(kind, [listed.entry for listed in listing.backends], listing.version)

    def take_list(self, listing: Listing) -> None:
        """A list in force from now on, from discovery or from what merges it with others."""
        self.in_force(listing if self.overlay is None else self.overlay(listing))

    def in_force(self, listing: Listing) -> None:
        """What the overlay has had its say on."""
        self.upstreams.apply(listing)
        kind = api.ListScope.FULL if listing.whole else api.ListScope.INCREMENTAL
        self._push(self._server_list(listing, kind))

    def retune(self, settings: api.Settings, forms: Mapping[str, api.Idempotency]) -> None:
        """These are in force from now on; calls that are open keep what they came with."""
        self.settings = settings
        self.effects.clear()  # the callers' side reads these two as they are
        self.effects.update({cls.name: forms.get(cls.name, cls.idempotency) for cls in settings.classes})
        self.deadlines = {cls.name: cls.deadline for cls in settings.classes}
        self.upstreams.connect_timeout = settings.connect_timeout
        self.upstreams.idle_for = IDLE_SHARE * settings.connection_idle_timeout
        for filter in self.filters:
            filter.retuned(settings)
        self.discovery.retune(pace_of(settings))
        self._push(api.SettingsUpdated(settings))

    def set_instances(self, count: int) -> None:
        """So many proxies stand before these servers, itself among them."""
        self._push(api.ProxyCountUpdated(count))

    @property
    def held(self) -> int:
        """Calls that are open."""
        return len(self.calls)

    @property
    def load(self) -> float:
        """Calls in flight, of what it may hold."""
        return len(self.calls) / (self.settings.max_open_requests or MOST_CALLS)

    @property
    def list_version(self) -> int:
        """Of the list that is in force, as discovery counts."""
        return self.discovery.version or 0

    @property
    def ready(self) -> bool:
        return self.upstreams.ready

    def list_failed(self) -> None:
        if self.settings.polls_discovery:  # else there is nothing that the module could do
            self._push(api.EndpointListUpdate(api.ListScope.FAILED))

    # the callers' side
    def pages(self) -> Pages:
        """Whether the proxy is ready, for who asks."""
        return {b"/healthz": lambda: READY if self.upstreams.ready else NOT_READY}

    def opened(self, request: Request, reply: Reply) -> OpenCall | None:
        if request.id in self.ids:
            # An earlier one of this name is still out, and a second copy could run beside it.
            reply.answer(409, (), b"this X-Call-Id is in use\n")
            return None
        if self.settings.max_open_requests and len(self.calls) >= self.settings.max_open_requests:
            reply.answer(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        self.calls_taken += 1
        number = self.calls_taken
        # What the budget has lost before the request was read shows only as this loop's lag.
        margin = min(MOST_MARGIN, LEAST_MARGIN + 2 * self.lag)
        # No client of a class waits longer than its deadline, whatever it says.
        stated = min(request.budget, self.deadlines[request.cls])
        deadline = min(request.came + stated - margin, self.end_by)
        call = OpenCall(number, request, reply, deadline)
        if not request.body.whole:  # its time begins with its last byte
            call.deadline = self.end_by
            request.body.on_whole = lambda: self._whole(call)
        limits = NO_FILTER_LIMITS
        if self.filters:
            found = self._filter(call)
            if isinstance(found, Turned):
                reply.answer(found.code, found.headers, found.text)
                return None
            limits = found
            deadline = min(deadline, call.deadline)
        self.calls[number] = call
        self.ids.add(request.id)
        self._set_timeout(call)
        now = time.monotonic()
        self._push(
            api.RequestArrived(
                request_id=number,
                class_name=request.cls,
                time_budget=deadline - MODULE_MARGIN - now,
                stated_budget=stated,
                tenant=request.tenant,
                expected_work=request.work,
                is_retry=request.resent,
                affinity_key=request.subject,
                max_attempts=limits.max_attempts,
                weight_share=limits.weight_share,
            )
        )
        return call

    def _set_timeout(self, call: OpenCall) -> None:
        if call.timer is not None:
            call.timer.cancel()
        if call.deadline < math.inf:
            wait = max(0.0, call.deadline - time.monotonic())
            call.timer = self.loop.call_later(wait, self._overdue, call)

    def _whole(self, call: OpenCall) -> None:
        """The last byte of a request that was handed on early has come."""
        if not call.open:
            return
        request = call.request
        budget = min(request.budget, self.deadlines.get(request.cls, request.budget))
        call.deadline = min(call.deadline, request.came + budget - LEAST_MARGIN)
        self._set_timeout(call)
        if call.exchange is not None:
            call.exchange.extend(call.deadline)

    def _filter(self, call: OpenCall) -> FilterLimits | Turned:
        """Hand a new request to all filters; what they leave of it goes to the policy."""
        found = ask(self.filters, call.request, lambda: self.give_up(call))
        if isinstance(found, Turned):
            return found
        call.tickets = found
        for ticket in found:
            call.deadline = min(call.deadline, ticket.due)
        attempts = [ticket.attempts for ticket in found if ticket.attempts]
        return FilterLimits(min(attempts, default=0), math.prod(ticket.share for ticket in found))

    def give_up(self, call: OpenCall) -> None:
        """Nobody waits for what it is part of: it ends now, and so does what is out for it."""
        if call.open:
            self._cut_off(call, b"its caller has gone\n", api.AttemptStatus.CANCELLED)

    def left(self, call: OpenCall) -> None:
        if call.open:
            exchange = call.exchange
            self._settle(call, False)
            self._push(api.RequestAbandoned(call.number))
            request = call.request
            if request.switch is not None:
                request.switch.dropped()
            stops = any(ticket.stops for ticket in call.tickets)
            if exchange is not None and (stops or not request.body.whole or request.switch):
                # What knows of budgets stops working for it; the rest will never come; nobody takes a 101.
                exchange.cancel()

    def _overdue(self, call: OpenCall, late: bool = False) -> None:
        """The module has said nothing in time: a failure, unless a refusal is provably harmless."""
        if not call.open:
            return
        if not late and time.monotonic() > call.deadline + LATE:
            # This process stood still, and timers come before sockets: the answer may have come meanwhile.
            call.timer = self.loop.call_later(ONE_TURN, self._overdue, call, True)
            return
        self._cut_off(call, b"out of time\n", api.AttemptStatus.TIMEOUT)

    def _cut_off(self, call: OpenCall, text: bytes, status: api.AttemptStatus) -> None:
        harmless = not call.ran and (call.exchange is None or not call.exchange.sent)
        exchange = call.exchange
        self._close(call, 503 if harmless else 504, (), text)
        self._push(api.RequestAbandoned(call.number))
        if exchange is not None:
            exchange.end(status if exchange.sent else api.AttemptStatus.NOT_SENT)

    def _close(self, call: OpenCall, code: int, headers: Any, body: bytes) -> None:
        """The final answer. After it the call is gone from the table, so there is no second one."""
        self._settle(call, True)
        call.reply.answer(code, headers, body)

    def _settle(self, call: OpenCall, answered: bool) -> None:
        call.open = False
        for ticket in call.tickets:
            ticket.ended(answered)
        self.calls.pop(call.number, None)
        if call.exchange is None:
            self.ids.discard(call.request.id)
        if call.timer is not None:
            call.timer.cancel()
        if not self.calls and self.on_empty is not None:
            self.on_empty()

    # actions
    def _send(self, action: api.StartAttempt) -> None:
        call = self.calls.get(action.request_id)
        if call is None:
            # It has ended since the batch was handed over; every send is owed an outcome.
            self._push(
                api.AttemptEnded(
                    action.request_id, 0, action.endpoint_id, api.AttemptStatus.NOT_SENT, 0.0, True
                )
            )
            return
        number = call.attempts
        call.attempts += 1
        upstream = self.upstreams.by_id.get(action.endpoint_id)
        if upstream is None or not upstream.serving or call.exchange is not None:
            if call.exchange is not None:
                log.error("call %d: a second attempt while one is out", call.number)
            self._push(
                api.AttemptEnded(
                    call.number, number, action.endpoint_id, api.AttemptStatus.NOT_SENT, 0.0, False
                )
            )
            return
        request = call.request
        body = call.request.body
        timeout = min(action.timeout, call.deadline - time.monotonic())
        more = b""
        for ticket in call.tickets:
            lines = ticket.sending(timeout)
            if lines is None:  # nothing is left for it
                self._push(
                    api.AttemptEnded(
                        call.number, number, action.endpoint_id, api.AttemptStatus.NOT_SENT, 0.0, False
                    )
                )
                return
            more += lines
        switch = request.switch
        if switch is not None:
            more += switch.lines()
        data = request.head + more + b"x-budget: %du\r\n\r\n" % max(1, int(timeout * 1e6))
        payload: Body | None = None
        if body.size <= WRITTEN_AT_ONCE and body.whole and body.kept:
            data = b"".join([data, *body.parts])
        else:
            payload = body
        if not body.whole:
            timeout = STALLED  # without a step forward; its own time begins later

        def may_start() -> bool:
            if not (call.open and upstream.serving):
                return False
            if not body.kept:  # what is sent of it is gone: there is no second attempt
                self._push(api.StreamStarted(call.number, number, action.endpoint_id))
            return True

        def done(exchange: Exchange) -> None:
            self._attempt_ended(call, number, action.endpoint_id, exchange)

        exchange: Exchange
        if switch is not None:
            exchange = SwitchExchange(upstream, data, max(0.0, timeout), may_start, done, switch)
        else:
            exchange = Exchange(
                upstream, data, max(0.0, timeout), may_start, done, counts=True, payload=payload
            )
        call.exchange = self.out[call.number] = exchange
        self.upstreams.start(exchange)

    def _attempt_ended(self, call: OpenCall, number: int, server: int, exchange: Exchange) -> None:
        status = exchange.status
        assert status is not None
        call.exchange = None
        self.out.pop(call.number, None)
        if self.witness is not None:
            self.witness(server, status)
        for ticket in call.tickets:
            ticket.returned(exchange, status)
        if status not in api.NEVER_EXECUTED:
            call.ran = True
        if isinstance(exchange, SwitchExchange) and exchange.taken is not None:
            self._switched(call, number, server, exchange, exchange.taken)
            return
        if not call.open:
            self.ids.discard(call.request.id)
        elif status is api.AttemptStatus.OK:
            self.calls_answered += 1
            headers = [pair for pair in exchange.headers if pair[0] not in self.dropped]
            if exchange.source is None:
                self._close(call, 200, headers, exchange.body)
            else:  # the call is over as far as it is decided on; the answer goes on by itself
                self._settle(call, True)
                call.reply.stream(headers, exchange.length, exchange.source)
        report = None
        if self.settings.load_report_source == "answer":
            reports = [value for name, value in exchange.headers if name == b"x-load-report"]
            report = read_report(reports[0]) if len(reports) == 1 else None
        self._push(
            api.AttemptEnded(call.number, number, server, status, exchange.elapsed, not call.open, report)
        )

    def _switched(
        self, call: OpenCall, number: int, server: int, exchange: SwitchExchange, connection: Connection
    ) -> None:
        """The call is over as far as it is decided on; to the module it is a stream until its end."""

        # nothing else of them is kept for so long
        begun = exchange.started_at
        call_number = call.number

        def over(status: api.AttemptStatus) -> None:
            elapsed = time.monotonic() - begun
            self._push(api.AttemptEnded(call_number, number, server, status, elapsed, True))

        self.ids.discard(call.request.id)
        if not call.open:
            connection.abandon()
            over(api.AttemptStatus.OK)
            return
        self._settle(call, True)
        self._push(api.StreamStarted(call.number, number, server, exchange.elapsed))
        exchange.switch.switched(connection, exchange.headers, exchange.rest, over)

    def _refuse(self, action: api.Reject) -> None:
        call = self.calls.get(action.request_id)
        if call is not None:
            wait = action.retry_after if self.advise is None else self.advise(action.retry_after)
            advice = ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ()
            self._close(call, 503, advice, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        call = self.calls.get(action.request_id)
        if call is not None:
            self._close(call, 502, (), b"failed\n")

    def _cancel(self, action: api.CancelAttempt) -> None:
        exchange = self.out.get(action.request_id)
        if exchange is not None:
            exchange.cancel()

    def _probe(self, action: api.CheckHealth) -> None:
        upstream = self.upstreams.by_id.get(action.endpoint_id)
        if upstream is None or not upstream.serving or self.probes >= MOST_PROBES:
            self._push(
                api.HealthCheckEnded(action.endpoint_id, api.AttemptStatus.REJECTED, 0.0)
            )  # not the backend's fault
            return
        self.probes += 1
        target = "/healthz" if self.settings.load_report_source == "none" else "/load"
        host, port = upstream.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def done(exchange: Exchange) -> None:
            self.probes -= 1
            status = exchange.status
            assert status is not None
            report = read_report(exchange.body) if status is api.AttemptStatus.OK else None
            if self.witness is not None:
                self.witness(action.endpoint_id, status)
            if status is api.AttemptStatus.NOT_SENT:
                status = api.AttemptStatus.REJECTED  # not asked, so nothing is known against it
            self._push(api.HealthCheckEnded(action.endpoint_id, status, exchange.elapsed, report))

        self.upstreams.start(Exchange(upstream, request, PROBE_TIMEOUT, lambda: upstream.serving, done))

    def probe(self, server: int) -> None:
        """One that the module did not ask for; it hears of it, and so does the witness."""
        self._probe(api.CheckHealth(server))

    def _set_timer(self, action: api.SetTimer) -> None:
        due = time.monotonic() + action.delay
        self.loop.call_later(max(0.0, action.delay), self._timer, due, action.token)

    def _timer(self, due: float, token: int) -> None:
        self.lag = max(self.lag * LAG_FADE, time.monotonic() - due)
        self._push(api.TimerFired(token))

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        upstream = self.upstreams.by_id.get(action.endpoint_id)
        if upstream is not None:
            upstream.close_idle()
