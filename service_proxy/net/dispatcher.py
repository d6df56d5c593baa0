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

from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.downstream import LocalResponse, LocalResponses, Request, ResponseWriter
from service_proxy.net.endpoint_list import EndpointList, parse_endpoint_list
from service_proxy.net.header_fields import HOP_BY_HOP
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.poll_schedule import PollSchedule, poll_schedule
from service_proxy.net.request_body import RequestBody
from service_proxy.net.request_filters import (
    Rejection,
    RequestFilter,
    RequestFilterState,
    apply_filters,
    headers_consumed_by,
)
from service_proxy.net.upstream import (
    IDLE_TIMEOUT_SHARE,
    STALL_TIMEOUT_S,
    UpgradeAttempt,
    UpstreamAttempt,
    UpstreamCluster,
    UpstreamConnection,
)
from service_proxy.policy import events as api
from service_proxy.policy.balancer import Balancer

log = logging.getLogger(__name__)

MIN_DEADLINE_MARGIN_S = 0.02  # s before a caller's deadline at which its answer leaves at the latest
MAX_DEADLINE_MARGIN_S = 0.15  # s
POLICY_MARGIN_S = 0.02  # s by which the module's deadline lies before the proxy's own
LOOP_LAG_DECAY = 0.995  # of the measured loop lag that is kept at each timer
MAX_HEALTH_CHECKS = 32  # at once
DEFAULT_MAX_OPEN_REQUESTS = 1000  # at once, as the measure of a load where the settings name none
MAX_LOAD_VALUE = 1e6  # of a report; more is no load, and would outweigh all other reports
MAX_JOINED_BODY_BYTES = 64 * 1024  # bytes of a body that is joined to its head; a longer one is not copied
HEALTH_CHECK_TIMEOUT_S = 0.2  # s; a report that comes later is of no use
REMOVED_RESPONSE_HEADERS = HOP_BY_HOP | {b"x-load-report", b"x-rejected"}
READY = LocalResponse(200, b"ok\n")
NOT_READY = LocalResponse(503, b"not ready\n")
LOAD_REPORT_FIELDS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def parse_load_report(text: bytes) -> dict[str, float] | None:
    """`inflight=7,queue=2` under the module's names; None where it holds nothing usable."""
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = LOAD_REPORT_FIELDS.get(name.strip(), name.strip())
            number = float(value)
            if name in report or not 0 <= number <= MAX_LOAD_VALUE:
                return None  # what says one thing twice, or what can't be, is trusted in nothing
            report[name] = number
    except ValueError:
        return None
    return report or None


def poll_schedule_of(settings: api.Settings) -> PollSchedule:
    return poll_schedule(settings.polls_discovery, settings.drain_grace)


class FilterLimits(NamedTuple):
    """What the filters leave of a request's attempts and weight."""

    max_attempts: int = 0  # 0: as many as its class has
    weight_share: float = 1.0


NO_FILTER_LIMITS = FilterLimits()
NO_FILTER_STATES: list[RequestFilterState] = []  # of all calls that no filter holds


class OpenRequest:
    """A taken request that is owed its answer."""

    __slots__ = (
        "attempt",
        "attempts_started",
        "deadline",
        "deadline_timer",
        "filter_states",
        "is_open",
        "maybe_executed",
        "request",
        "request_id",
        "writer",
    )

    def __init__(self, number: int, request: Request, reply: ResponseWriter, deadline: float) -> None:
        self.request_id = number
        self.request = request
        self.writer = reply
        self.deadline = deadline
        self.is_open = True
        self.attempts_started = 0
        self.maybe_executed = False  # some attempt may have run
        self.attempt: UpstreamAttempt | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.filter_states: list[RequestFilterState] = NO_FILTER_STATES


class RequestDispatcher:
    def __init__(
        self,
        config: ProxyConfig,
        filters: tuple[RequestFilter, ...] = (),
        list_override: Callable[[EndpointList], EndpointList] | None = None,
    ) -> None:
        """`filters` see each call before the module, in this order; `overlay` has the last word on lists."""
        self.list_override = list_override
        self.filters = filters
        self.consumed_headers = headers_consumed_by(filters)
        self.removed_response_headers = REMOVED_RESPONSE_HEADERS | self.consumed_headers
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.settings = config.settings
        self.idempotency_by_class = {
            cls.name: config.request_idempotency.get(cls.name, cls.idempotency)
            for cls in self.settings.classes
        }
        self.deadline_by_class = {cls.name: cls.deadline for cls in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed)
        self.cluster = UpstreamCluster(
            self.settings.connect_timeout,
            self.settings.connection_idle_timeout,
            max_connections=int(config.max_descriptors * UPSTREAM_DESCRIPTOR_SHARE),
        )
        self.open_requests: dict[int, OpenRequest] = {}
        self.attempts_in_flight: dict[
            int, UpstreamAttempt
        ] = {}  # attempts, by call: also of calls whose caller has left
        self.ids_in_use: set[bytes] = set()  # of the calls in the table, and of attempts still out
        self.requests_accepted = 0
        self.requests_succeeded = 0
        self.on_attempt_outcome: Callable[[int, api.AttemptStatus], None] | None = (
            None  # sees the end of attempts and probes
        )
        self.adjust_retry_after: Callable[[float], float] | None = (
            None  # has the last word on the wait of a refusal
        )
        self.health_checks_in_flight = 0
        self.upgraded_connection_allowance = (
            0  # further connections to backends that upgraded requests may hold
        )
        self.pending_events: list[api.Event] = []
        self.flush_handle: asyncio.Handle | None = None
        self.last_flush_at = 0.0
        self.shutdown_deadline = math.inf  # when the process is to end: all is answered by then
        self.loop_lag = 0.0  # s, how late this loop was lately
        self.on_all_requests_ended: Callable[[], None] | None = None
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            api.StartAttempt: self._start_attempt,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel_attempt,
            api.CheckHealth: self._check_health,
            api.SetTimer: self._set_timer,
            api.CloseIdleConnections: self._close_idle,
            api.WatchEndpoints: lambda action: self.discovery.watch(action.enabled),
            api.FetchEndpoints: lambda action: self.discovery.fetch(),
            api.WriteLog: lambda action: log.info("module: %s", action.text),
            api.SendPeerMessage: lambda action: None,  # there is no talk between proxies
        }
        try:
            initial_list = (
                parse_endpoint_list(config.cached_endpoints, WALL_CLOCK_OFFSET_S)
                if config.cached_endpoints
                else EndpointList(0, True, [])
            )
        except ValueError as fault:
            raise ConfigError(f"bad configuration: known: {fault}") from None
        self.discovery = DiscoveryClient(
            config.discovery,
            initial_list.version,
            poll_schedule_of(self.settings),
            config.seed,
            self.apply_endpoint_list,
            self.endpoint_list_failed,
        )
        self.initial_list = initial_list
        if list_override is not None:
            initial_list = list_override(initial_list)
        self.cluster.apply_endpoint_list(initial_list)
        self.pending_events.append(self._endpoint_list_update(initial_list, api.ListScope.CACHED))

    def set_resource_share(self, share: float) -> None:
        """On connections to backends, where this process has this share of its descriptors."""
        self.cluster.max_connections = (
            int(self.config.max_descriptors * share * UPSTREAM_DESCRIPTOR_SHARE)
            + self.upgraded_connection_allowance
        )

    def start(self) -> None:
        self._flush()
        self.discovery.start()

    def stop(self) -> None:
        self.discovery.stop()

    def set_shutdown_deadline(self, end_by: float) -> None:
        """The process is to end: what is open is answered by then, too, whatever its client would wait."""
        self.shutdown_deadline = end_by
        for open_request in self.open_requests.values():
            open_request.deadline = min(open_request.deadline, end_by)
            self._set_timeout(open_request)

    # events
    def _enqueue_event(self, event: api.Event) -> None:
        """Events come to the module no more often than once a quantum."""
        self.pending_events.append(event)
        if self.flush_handle is None:
            wait = self.last_flush_at + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_handle = self.loop.call_later(wait, self._flush)
            else:
                self.flush_handle = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_handle = None
        now = self.last_flush_at = time.monotonic()
        events = self.pending_events
        self.pending_events = []
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._recover_from_policy_failure(events)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log.exception("an action failed: %s", action)
                number = getattr(action, "call", None)
                if number is not None:
                    self._fail_internally(number)

    def _recover_from_policy_failure(self, events: list[api.Event]) -> None:
        """The module failed on a batch: its calls fail, its timers come again, the rest goes on."""
        log.exception("the module failed on %d events", len(events))
        for event in events:
            if isinstance(event, api.RequestArrived | api.AttemptEnded):
                self._fail_internally(event.request_id)
            elif isinstance(event, api.TimerFired):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _fail_internally(self, attempt_number: int) -> None:
        open_request = self.open_requests.get(attempt_number)
        if open_request is not None:
            self._respond(open_request, 502, (), b"internal error\n")
            self._enqueue_event(api.RequestAbandoned(attempt_number))

    @staticmethod
    def _endpoint_list_update(endpoint_list: EndpointList, scope: api.ListScope) -> api.EndpointListUpdate:
        return api.EndpointListUpdate(
            scope, [endpoint.entry for endpoint in endpoint_list.endpoints], endpoint_list.version
        )

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """A list in force from now on, from discovery or from what merges it with others."""
        self.apply_overridden_list(
            endpoint_list if self.list_override is None else self.list_override(endpoint_list)
        )

    def apply_overridden_list(self, endpoint_list: EndpointList) -> None:
        """What the overlay has had its say on."""
        self.cluster.apply_endpoint_list(endpoint_list)
        scope = api.ListScope.FULL if endpoint_list.is_snapshot else api.ListScope.INCREMENTAL
        self._enqueue_event(self._endpoint_list_update(endpoint_list, scope))

    def update_settings(
        self, settings: api.Settings, request_idempotency: Mapping[str, api.Idempotency]
    ) -> None:
        """These are in force from now on; calls that are open keep what they came with."""
        self.settings = settings
        self.idempotency_by_class.clear()  # the callers' side reads these two as they are
        self.idempotency_by_class.update(
            {cls.name: request_idempotency.get(cls.name, cls.idempotency) for cls in settings.classes}
        )
        self.deadline_by_class = {cls.name: cls.deadline for cls in settings.classes}
        self.cluster.connect_timeout = settings.connect_timeout
        self.cluster.idle_timeout = IDLE_TIMEOUT_SHARE * settings.connection_idle_timeout
        for request_filter in self.filters:
            request_filter.on_settings_update(settings)
        self.discovery.update_schedule(poll_schedule_of(settings))
        self._enqueue_event(api.SettingsUpdated(settings))

    def set_proxy_count(self, count: int) -> None:
        """So many proxies stand before these servers, itself among them."""
        self._enqueue_event(api.ProxyCountUpdated(count))

    @property
    def open_request_count(self) -> int:
        """Calls that are open."""
        return len(self.open_requests)

    @property
    def load(self) -> float:
        """Calls in flight, of what it may hold."""
        return len(self.open_requests) / (self.settings.max_open_requests or DEFAULT_MAX_OPEN_REQUESTS)

    @property
    def list_version(self) -> int:
        """Of the list that is in force, as discovery counts."""
        return self.discovery.version or 0

    @property
    def is_ready(self) -> bool:
        return self.cluster.is_ready

    def endpoint_list_failed(self) -> None:
        if self.settings.polls_discovery:  # else there is nothing that the module could do
            self._enqueue_event(api.EndpointListUpdate(api.ListScope.FAILED))

    # the callers' side
    def local_responses(self) -> LocalResponses:
        """Whether the proxy is ready, for who asks."""
        return {b"/healthz": lambda: READY if self.cluster.is_ready else NOT_READY}

    def start_request(self, request: Request, writer: ResponseWriter) -> OpenRequest | None:
        if request.id in self.ids_in_use:
            # An earlier one of this name is still out, and a second copy could run beside it.
            writer.respond(409, (), b"this X-Call-Id is in use\n")
            return None
        if self.settings.max_open_requests and len(self.open_requests) >= self.settings.max_open_requests:
            writer.respond(503, ((b"retry-after", b"1"),), b"too many calls\n")
            return None
        self.requests_accepted += 1
        attempt_number = self.requests_accepted
        # What the budget has lost before the request was read shows only as this loop's lag.
        margin = min(MAX_DEADLINE_MARGIN_S, MIN_DEADLINE_MARGIN_S + 2 * self.loop_lag)
        # No client of a class waits longer than its deadline, whatever it says.
        stated = min(request.time_budget, self.deadline_by_class[request.class_name])
        deadline = min(request.received_at + stated - margin, self.shutdown_deadline)
        open_request = OpenRequest(attempt_number, request, writer, deadline)
        if not request.body.is_complete:  # its time begins with its last byte
            open_request.deadline = self.shutdown_deadline
            request.body.on_complete = lambda: self._on_body_complete(open_request)
        limits = NO_FILTER_LIMITS
        if self.filters:
            filtered = self._apply_filters(open_request)
            if isinstance(filtered, Rejection):
                writer.respond(filtered.status_code, filtered.headers, filtered.body)
                return None
            limits = filtered
            deadline = min(deadline, open_request.deadline)
        self.open_requests[attempt_number] = open_request
        self.ids_in_use.add(request.id)
        self._set_timeout(open_request)
        now = time.monotonic()
        self._enqueue_event(
            api.RequestArrived(
                request_id=attempt_number,
                class_name=request.class_name,
                time_budget=deadline - POLICY_MARGIN_S - now,
                stated_budget=stated,
                tenant=request.tenant,
                expected_work=request.expected_work,
                is_retry=request.is_retry,
                affinity_key=request.affinity_key,
                max_attempts=limits.max_attempts,
                weight_share=limits.weight_share,
            )
        )
        return open_request

    def _set_timeout(self, open_request: OpenRequest) -> None:
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()
        if open_request.deadline < math.inf:
            wait = max(0.0, open_request.deadline - time.monotonic())
            open_request.deadline_timer = self.loop.call_later(wait, self._on_deadline, open_request)

    def _on_body_complete(self, open_request: OpenRequest) -> None:
        """The last byte of a request that was handed on early has come."""
        if not open_request.is_open:
            return
        request = open_request.request
        budget = min(request.time_budget, self.deadline_by_class.get(request.class_name, request.time_budget))
        open_request.deadline = min(
            open_request.deadline, request.received_at + budget - MIN_DEADLINE_MARGIN_S
        )
        self._set_timeout(open_request)
        if open_request.attempt is not None:
            open_request.attempt.extend_deadline(open_request.deadline)

    def _apply_filters(self, open_request: OpenRequest) -> FilterLimits | Rejection:
        """Hand a new request to all filters; what they leave of it goes to the policy."""
        filtered = apply_filters(
            self.filters, open_request.request, lambda: self.abandon_request(open_request)
        )
        if isinstance(filtered, Rejection):
            return filtered
        open_request.filter_states = filtered
        for state in filtered:
            open_request.deadline = min(open_request.deadline, state.deadline)
        attempts = [state.max_attempts for state in filtered if state.max_attempts]
        return FilterLimits(min(attempts, default=0), math.prod(state.weight_share for state in filtered))

    def abandon_request(self, open_request: OpenRequest) -> None:
        """Nobody waits for what it is part of: it ends now, and so does what is out for it."""
        if open_request.is_open:
            self._expire(open_request, b"its caller has gone\n", api.AttemptStatus.CANCELLED)

    def client_disconnected(self, open_request: OpenRequest) -> None:
        if open_request.is_open:
            attempt = open_request.attempt
            self._finish_request(open_request, False)
            self._enqueue_event(api.RequestAbandoned(open_request.request_id))
            request = open_request.request
            if request.upgrade is not None:
                request.upgrade.client_disconnected()
            stops = any(state.cancels_on_disconnect for state in open_request.filter_states)
            if attempt is not None and (stops or not request.body.is_complete or request.upgrade):
                # What knows of budgets stops working for it; the rest will never come; nobody takes a 101.
                attempt.cancel()

    def _on_deadline(self, open_request: OpenRequest, after_stall: bool = False) -> None:
        """The module has said nothing in time: a failure, unless a refusal is provably harmless."""
        if not open_request.is_open:
            return
        if not after_stall and time.monotonic() > open_request.deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: the answer may have come meanwhile.
            open_request.deadline_timer = self.loop.call_later(
                LOOP_TURN_S, self._on_deadline, open_request, True
            )
            return
        self._expire(open_request, b"out of time\n", api.AttemptStatus.TIMEOUT)

    def _expire(self, open_request: OpenRequest, text: bytes, status: api.AttemptStatus) -> None:
        harmless = not open_request.maybe_executed and (
            open_request.attempt is None or not open_request.attempt.sent
        )
        attempt = open_request.attempt
        self._respond(open_request, 503 if harmless else 504, (), text)
        self._enqueue_event(api.RequestAbandoned(open_request.request_id))
        if attempt is not None:
            attempt.end(status if attempt.sent else api.AttemptStatus.NOT_SENT)

    def _respond(self, open_request: OpenRequest, code: int, headers: Any, body: bytes) -> None:
        """The final answer. After it the call is gone from the table, so there is no second one."""
        self._finish_request(open_request, True)
        open_request.writer.respond(code, headers, body)

    def _finish_request(self, open_request: OpenRequest, was_answered: bool) -> None:
        open_request.is_open = False
        for state in open_request.filter_states:
            state.on_request_end(was_answered)
        self.open_requests.pop(open_request.request_id, None)
        if open_request.attempt is None:
            self.ids_in_use.discard(open_request.request.id)
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()
        if not self.open_requests and self.on_all_requests_ended is not None:
            self.on_all_requests_ended()

    # actions
    def _start_attempt(self, action: api.StartAttempt) -> None:
        open_request = self.open_requests.get(action.request_id)
        if open_request is None:
            # It has ended since the batch was handed over; every send is owed an outcome.
            self._enqueue_event(
                api.AttemptEnded(
                    action.request_id, 0, action.endpoint_id, api.AttemptStatus.NOT_SENT, 0.0, True
                )
            )
            return
        attempt_number = open_request.attempts_started
        open_request.attempts_started += 1
        pool = self.cluster.pools.get(action.endpoint_id)
        if pool is None or not pool.is_serving or open_request.attempt is not None:
            if open_request.attempt is not None:
                log.error("call %d: a second attempt while one is out", open_request.request_id)
            self._enqueue_event(
                api.AttemptEnded(
                    open_request.request_id,
                    attempt_number,
                    action.endpoint_id,
                    api.AttemptStatus.NOT_SENT,
                    0.0,
                    False,
                )
            )
            return
        request = open_request.request
        body = open_request.request.body
        timeout = min(action.timeout, open_request.deadline - time.monotonic())
        extra_headers = b""
        for state in open_request.filter_states:
            header_lines = state.on_attempt_start(timeout)
            if header_lines is None:  # nothing is left for it
                self._enqueue_event(
                    api.AttemptEnded(
                        open_request.request_id,
                        attempt_number,
                        action.endpoint_id,
                        api.AttemptStatus.NOT_SENT,
                        0.0,
                        False,
                    )
                )
                return
            extra_headers += header_lines
        upgrade = request.upgrade
        if upgrade is not None:
            extra_headers += upgrade.request_headers()
        data = request.head + extra_headers + b"x-budget: %du\r\n\r\n" % max(1, int(timeout * 1e6))
        separate_body: RequestBody | None = None
        if body.received_bytes <= MAX_JOINED_BODY_BYTES and body.is_complete and body.is_replayable:
            data = b"".join([data, *body.parts])
        else:
            separate_body = body
        if not body.is_complete:
            timeout = STALL_TIMEOUT_S  # without a step forward; its own time begins later

        def may_start() -> bool:
            if not (open_request.is_open and pool.is_serving):
                return False
            if not body.is_replayable:  # what is sent of it is gone: there is no second attempt
                self._enqueue_event(
                    api.StreamStarted(open_request.request_id, attempt_number, action.endpoint_id)
                )
            return True

        def done(attempt: UpstreamAttempt) -> None:
            self._on_attempt_end(open_request, attempt_number, action.endpoint_id, attempt)

        attempt: UpstreamAttempt
        if upgrade is not None:
            attempt = UpgradeAttempt(pool, data, max(0.0, timeout), may_start, done, upgrade)
        else:
            attempt = UpstreamAttempt(
                pool,
                data,
                max(0.0, timeout),
                may_start,
                done,
                serves_request=True,
                request_body=separate_body,
            )
        open_request.attempt = self.attempts_in_flight[open_request.request_id] = attempt
        self.cluster.start_attempt(attempt)

    def _on_attempt_end(
        self, open_request: OpenRequest, attempt_number: int, endpoint_id: int, attempt: UpstreamAttempt
    ) -> None:
        status = attempt.status
        assert status is not None
        open_request.attempt = None
        self.attempts_in_flight.pop(open_request.request_id, None)
        if self.on_attempt_outcome is not None:
            self.on_attempt_outcome(endpoint_id, status)
        for state in open_request.filter_states:
            state.on_attempt_end(attempt, status)
        if status not in api.NEVER_EXECUTED:
            open_request.maybe_executed = True
        if isinstance(attempt, UpgradeAttempt) and attempt.upgraded_connection is not None:
            self._on_upgrade(open_request, attempt_number, endpoint_id, attempt, attempt.upgraded_connection)
            return
        if not open_request.is_open:
            self.ids_in_use.discard(open_request.request.id)
        elif status is api.AttemptStatus.OK:
            self.requests_succeeded += 1
            headers = [
                pair for pair in attempt.response_headers if pair[0] not in self.removed_response_headers
            ]
            if attempt.response_source is None:
                self._respond(open_request, 200, headers, attempt.response_body)
            else:  # the call is over as far as it is decided on; the answer goes on by itself
                self._finish_request(open_request, True)
                open_request.writer.stream(headers, attempt.response_length, attempt.response_source)
        report = None
        if self.settings.load_report_source == "answer":
            reports = [value for name, value in attempt.response_headers if name == b"x-load-report"]
            report = parse_load_report(reports[0]) if len(reports) == 1 else None
        self._enqueue_event(
            api.AttemptEnded(
                open_request.request_id,
                attempt_number,
                endpoint_id,
                status,
                attempt.elapsed,
                not open_request.is_open,
                report,
            )
        )

    def _on_upgrade(
        self,
        open_request: OpenRequest,
        attempt_number: int,
        endpoint_id: int,
        attempt: UpgradeAttempt,
        connection: UpstreamConnection,
    ) -> None:
        """The call is over as far as it is decided on; to the module it is a stream until its end."""

        # nothing else of them is kept for so long
        started_at = attempt.started_at
        call_number = open_request.request_id

        def over(status: api.AttemptStatus) -> None:
            elapsed = time.monotonic() - started_at
            self._enqueue_event(
                api.AttemptEnded(call_number, attempt_number, endpoint_id, status, elapsed, True)
            )

        self.ids_in_use.discard(open_request.request.id)
        if not open_request.is_open:
            connection.abort()
            over(api.AttemptStatus.OK)
            return
        self._finish_request(open_request, True)
        self._enqueue_event(
            api.StreamStarted(open_request.request_id, attempt_number, endpoint_id, attempt.elapsed)
        )
        attempt.negotiation.upgraded(connection, attempt.response_headers, attempt.surplus, over)

    def _reject(self, action: api.Reject) -> None:
        open_request = self.open_requests.get(action.request_id)
        if open_request is not None:
            wait = (
                action.retry_after
                if self.adjust_retry_after is None
                else self.adjust_retry_after(action.retry_after)
            )
            advice = ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ()
            self._respond(open_request, 503, advice, b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        open_request = self.open_requests.get(action.request_id)
        if open_request is not None:
            self._respond(open_request, 502, (), b"failed\n")

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        attempt = self.attempts_in_flight.get(action.request_id)
        if attempt is not None:
            attempt.cancel()

    def _check_health(self, action: api.CheckHealth) -> None:
        pool = self.cluster.pools.get(action.endpoint_id)
        if pool is None or not pool.is_serving or self.health_checks_in_flight >= MAX_HEALTH_CHECKS:
            self._enqueue_event(
                api.HealthCheckEnded(action.endpoint_id, api.AttemptStatus.REJECTED, 0.0)
            )  # not the backend's fault
            return
        self.health_checks_in_flight += 1
        target = "/healthz" if self.settings.load_report_source == "none" else "/load"
        host, port = pool.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def done(attempt: UpstreamAttempt) -> None:
            self.health_checks_in_flight -= 1
            status = attempt.status
            assert status is not None
            report = parse_load_report(attempt.response_body) if status is api.AttemptStatus.OK else None
            if self.on_attempt_outcome is not None:
                self.on_attempt_outcome(action.endpoint_id, status)
            if status is api.AttemptStatus.NOT_SENT:
                status = api.AttemptStatus.REJECTED  # not asked, so nothing is known against it
            self._enqueue_event(api.HealthCheckEnded(action.endpoint_id, status, attempt.elapsed, report))

        self.cluster.start_attempt(
            UpstreamAttempt(pool, request, HEALTH_CHECK_TIMEOUT_S, lambda: pool.is_serving, done)
        )

    def check_health(self, endpoint_id: int) -> None:
        """One that the module did not ask for; it hears of it, and so does the witness."""
        self._check_health(api.CheckHealth(endpoint_id))

    def _set_timer(self, action: api.SetTimer) -> None:
        due = time.monotonic() + action.delay
        self.loop.call_later(max(0.0, action.delay), self._on_timer, due, action.token)

    def _on_timer(self, due: float, token: int) -> None:
        self.loop_lag = max(self.loop_lag * LOOP_LAG_DECAY, time.monotonic() - due)
        self._enqueue_event(api.TimerFired(token))

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        pool = self.cluster.pools.get(action.endpoint_id)
        if pool is not None:
            pool.close_idle()
