"""Decision module: processes events (`policy/events.py`) and returns actions (`policy/actions.py`).

`Balancer` builds the parts of the policy and routes each event to its part; each kind of decision
has its own module. Times are in seconds. The module performs no I/O, reads no clock and has no
global state; random numbers come from a generator that the caller seeds.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from service_proxy.policy.actions import Action, SetTimer
from service_proxy.policy.admission import RequestAdmission
from service_proxy.policy.attempt_end import AttemptEndHandler
from service_proxy.policy.attempt_feedback import AttemptFeedback
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.connections import ConnectionTracker
from service_proxy.policy.endpoint_load import EndpointLoads
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.endpoint_watch import EndpointWatch
from service_proxy.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    EndpointProcessReplaced,
    Event,
    HealthCheckEnded,
    ListScope,
    ProxyCountUpdated,
    RequestAbandoned,
    RequestArrived,
    SettingsUpdated,
    StreamStarted,
    TimerFired,
)
from service_proxy.policy.health_checks import HealthChecker
from service_proxy.policy.hedging import OverdueAttemptMonitor
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.outlier_detection import OutlierDetector
from service_proxy.policy.request import RequestState
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.request_queue import RequestQueue
from service_proxy.policy.retry_budget import RetryBudget
from service_proxy.policy.retry_guard import RetryGuard
from service_proxy.policy.scheduling import AttemptScheduler
from service_proxy.policy.selection import EndpointSelector
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.slow_start import SlowStart
from service_proxy.policy.tenant_quotas import TenantQuotas
from service_proxy.policy.timing import CONTROL_INTERVAL_S, TIME_TOLERANCE_S

STALL_S = 4 * CONTROL_INTERVAL_S  # A longer time between control steps means that the proxy itself stalled.
CONTROL_TOKEN = 1  # Token of the timer that triggers the next control step.


class Balancer:
    """Load-balancing policy of one proxy.

    `handle` first processes all events of a batch, then queues or rejects the requests that arrived in
    the batch, and then sends queued requests in order of decreasing weight.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.request_classes: dict[str, RequestClassState] = {}
        self._load_request_classes()
        self.proxy_count = settings.proxy_count  # Number of proxies that share the endpoints.
        self._proxy_count_is_known = False  # True after an event replaced the count of the settings.
        # Capacity of the endpoints in use, in units of weight, at the last rescaling of the limit.
        self._capacity = 0.0
        self._last_step_at = -1.0  # Time of the last control step; negative before the first step.
        self._timer_is_set = False
        self._arrived: list[RequestState] = []  # Requests that arrived in the present batch.
        self._build_endpoint_parts()
        self._build_request_parts()
        self._build_attempt_parts()
        self._settings_users: tuple[SettingsUser, ...] = (
            self.admission,
            self.connections,
            self.endpoints,
            self.guard,
            self.health_checks,
            self.quotas,
            self.selector,
            self.slow_start,
            self.overdue_attempts,
            self.watch,
        )
        self._handlers = self._build_handlers()

    def _build_handlers(self) -> dict[type, Callable[[Any, float], None]]:
        """Return the handler of each type of event."""
        return {
            AttemptEnded: self.attempt_ends.handle,
            RequestArrived: self._on_request_arrived,
            TimerFired: self._on_timer_fired,
            HealthCheckEnded: self.health_checks.on_result,
            EndpointListUpdate: self._on_endpoint_list_update,
            EndpointProcessReplaced: self._on_endpoint_process_replaced,
            RequestAbandoned: self._on_request_abandoned,
            StreamStarted: self._on_stream_started,
            SettingsUpdated: self._on_settings_updated,
            ProxyCountUpdated: self._on_proxy_count_updated,
        }

    def _build_endpoint_parts(self) -> None:
        settings = self.settings
        self.in_flight = InFlightAttempts()
        self.limiter = ConcurrencyLimiter(settings.tier_index, self.random)
        self.endpoints = EndpointPool(settings, self.random)
        self.slow_start = SlowStart(settings, self.endpoints)
        self.loads = EndpointLoads(self.endpoints)
        self.connections = ConnectionTracker(settings, self.actions)
        self.outliers = OutlierDetector(self.endpoints, self.in_flight, self.random)
        self.watch = EndpointWatch(settings, self.actions, self.random)
        self.selector = EndpointSelector(
            settings,
            self.endpoints,
            self.loads,
            self.slow_start,
            self.outliers,
            self.connections,
            self.random,
        )
        self.health_checks = HealthChecker(
            settings,
            self.actions,
            self.random,
            self.endpoints,
            self.loads,
            self.selector,
            self.outliers,
            self.limiter,
            self.watch,
        )

    def _build_request_parts(self) -> None:
        settings = self.settings
        self.guard = RetryGuard(settings, self.actions)
        self.queue = RequestQueue()
        self.quotas = TenantQuotas(settings, self.proxy_count)
        self.retry_budget = RetryBudget()
        self.admission = RequestAdmission(
            settings,
            self.request_classes,
            self.guard,
            self.queue,
            self.in_flight,
            self.limiter,
            self.quotas,
            self.retry_budget,
        )

    def _build_attempt_parts(self) -> None:
        self.scheduler = AttemptScheduler(
            self.queue,
            self.in_flight,
            self.guard,
            self.limiter,
            self.admission,
            self.health_checks,
            self.selector,
            self.slow_start,
            self.connections,
        )
        self.feedback = AttemptFeedback(self.limiter, self.loads, self.outliers, self.connections)
        self.attempt_ends = AttemptEndHandler(
            self.in_flight,
            self.guard,
            self.queue,
            self.loads,
            self.feedback,
            self.admission,
            self.retry_budget,
        )
        self.overdue_attempts = OverdueAttemptMonitor(
            self.settings,
            self.actions,
            self.in_flight,
            self.guard,
            self.queue,
            self.retry_budget,
            self.limiter,
            self.outliers,
        )

    @property
    def ejected_endpoint_ids(self) -> list[int]:
        """Ids of endpoints that are listed as serving and get no requests because they are ejected."""
        return self.endpoints.ejected_endpoint_ids

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Process a batch of events at the time `now` and return the resulting actions in order."""
        self.feedback.is_stalled = 0 <= self._last_step_at < now - STALL_S
        self.actions.clear()
        self._arrived.clear()
        handlers = self._handlers
        for event in events:
            handler = handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        if self._last_step_at < 0:
            self._last_step_at = now
            self.watch.start(now)
        elif now - self._last_step_at >= CONTROL_INTERVAL_S - TIME_TOLERANCE_S:
            self._run_control_step(now)
        for request in self._arrived:
            if request.has_ended:  # A client can abandon a request in the batch of its arrival.
                continue
            if request.earlier_execution is None or self.selector.has_endpoint_for(request, self.guard, now):
                self.admission.admit(request, now)
            else:
                self.guard.answer(request)
        if self.queue.requests:
            self.scheduler.run(now)
            self.scheduler.reject_infeasible(now)
        if not self._timer_is_set:
            self._timer_is_set = True
            self.actions.append(SetTimer(CONTROL_INTERVAL_S, CONTROL_TOKEN))
        return list(self.actions)

    def _on_request_arrived(self, event: RequestArrived, now: float) -> None:
        request = self.admission.open_request(event, now)
        if request is not None:
            self._arrived.append(request)

    def _on_timer_fired(self, event: TimerFired, _now: float) -> None:
        if event.token == CONTROL_TOKEN:
            self._timer_is_set = False

    def _on_endpoint_list_update(self, event: EndpointListUpdate, now: float) -> None:
        self.watch.on_update(event.scope, now)
        if event.scope is not ListScope.FAILED:
            self.endpoints.apply_update(event)
            self.limiter.update_min_limit(len(self.endpoints.known), self.proxy_count)

    def _on_endpoint_process_replaced(self, event: EndpointProcessReplaced, now: float) -> None:
        self.endpoints.on_process_replaced(event.endpoint_id, now)

    def _on_request_abandoned(self, event: RequestAbandoned, _now: float) -> None:
        request = self.guard.requests.get(event.request_id)
        if request is None or request.has_ended:
            return
        self.queue.remove(request)
        self.guard.end(request)
        self.guard.cancel_attempts(request)

    def _on_stream_started(self, event: StreamStarted, _now: float) -> None:
        attempt = self.in_flight.attempts.get((event.request_id, event.attempt_number))
        if attempt is not None:
            attempt.request.is_streaming = True
            self.in_flight.release(attempt)

    def _on_settings_updated(self, event: SettingsUpdated, _now: float) -> None:
        """Apply new settings; open requests keep the class settings that they arrived with."""
        settings = event.settings
        self.settings = settings
        for part in self._settings_users:
            part.apply_settings(settings)
        if not self._proxy_count_is_known:
            self.proxy_count = settings.proxy_count
        self._load_request_classes()
        self._update_allowances()

    def _on_proxy_count_updated(self, event: ProxyCountUpdated, _now: float) -> None:
        """Set the number of proxies that share the endpoints and adapt the allowances of this proxy.

        Slow start, health checks and tenant quotas each have a total for all proxies, and an allowance is the
        part of one proxy. With fewer proxies each allowance is larger, with more proxies it is smaller.
        """
        self.proxy_count = max(1, event.count)
        self._proxy_count_is_known = True
        self._update_allowances()
        self.limiter.update_min_limit(len(self.endpoints.known), self.proxy_count)

    def _update_allowances(self) -> None:
        allowance = self.settings.proxy_count / self.proxy_count
        self.slow_start.allowance = allowance
        self.health_checks.allowance = allowance
        self.quotas.update(self.proxy_count)

    def _load_request_classes(self) -> None:
        """Rebuild the class states from the settings; classes that remain keep their statistics."""
        settings = self.settings
        previous = dict(self.request_classes)
        self.request_classes.clear()
        for class_settings in settings.classes:
            state = RequestClassState(class_settings, settings.tier_index, settings.max_attempts)
            if state.name in previous:
                state.copy_statistics(previous[state.name])
            self.request_classes[state.name] = state

    def _run_control_step(self, now: float) -> None:
        """Update all rates, limits and budgets for the time since the last control step."""
        span = now - self._last_step_at
        self._last_step_at = now
        self.limiter.update_arrival_rate(span)
        self.slow_start.update_send_rate(span)
        self.quotas.refill(span)
        for request_class in self.request_classes.values():
            request_class.update_latency_target(span)
            request_class.update_shedding_weight(self.request_classes.values())
        self.watch.run(now)
        self.overdue_attempts.run(now)
        if self.limiter.latency.count:
            self.loads.update_mean_latency(self.limiter.latency.value)
        self.slow_start.refill_tokens(now, span)
        self.loads.decay_samples(span)
        self.connections.raise_max_reuse_idle(span)
        self.health_checks.run(now, span)
        self._rescale_limit(now)
        self.limiter.update_shed_threshold()

    def _rescale_limit(self, now: float) -> None:
        """Scale the concurrency limit with the capacity of the endpoints in use."""
        capacity = self.slow_start.total_capacity(now)
        if capacity > 0:
            if self._capacity > 0:
                self.limiter.rescale(capacity / self._capacity)
            self._capacity = capacity
