"""Scheduler that sends queued requests as attempts within the concurrency limit."""

from __future__ import annotations

from service_proxy.policy.admission import RequestAdmission
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.connections import ConnectionTracker
from service_proxy.policy.health_checks import HealthChecker
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.request import RequestState
from service_proxy.policy.request_queue import RequestQueue
from service_proxy.policy.retry_guard import RetryGuard
from service_proxy.policy.selection import EndpointSelector, Selection
from service_proxy.policy.slow_start import SlowStart
from service_proxy.policy.timing import CONTROL_INTERVAL_S


class AttemptScheduler:
    """Scheduler that sends queued requests by priority weight and rejects those without enough time."""

    def __init__(
        self,
        queue: RequestQueue,
        in_flight: InFlightAttempts,
        guard: RetryGuard,
        limiter: ConcurrencyLimiter,
        admission: RequestAdmission,
        health_checks: HealthChecker,
        selector: EndpointSelector,
        slow_start: SlowStart,
        connections: ConnectionTracker,
    ) -> None:
        self.queue = queue
        self.in_flight = in_flight
        self.guard = guard
        self.limiter = limiter
        self.admission = admission
        self.health_checks = health_checks
        self.selector = selector
        self.slow_start = slow_start
        self.connections = connections

    def run(self, now: float) -> None:
        """Send queued requests up to the concurrency limit, and reject those with too little time left."""
        position = 0
        requests = self.queue.requests
        while position < len(requests) and self.in_flight.counted + 1 <= self.limiter.limit:
            request = requests[position]
            if self._is_infeasible(request, now):
                self.queue.remove_at(position)
                self.admission.reject(request)
            elif self.health_checks.checks_candidates and self.health_checks.must_wait_for_reports(
                request, now
            ):
                position += 1
            else:
                selection = self.selector.select(request, self.guard, now)
                if selection is not None:
                    self.queue.remove_at(position)
                    self._start_attempt(request, selection, now)
                elif self._is_confined(request) and not self.selector.has_endpoint_for(
                    request, self.guard, now
                ):
                    self.queue.remove_at(position)
                    self.admission.reject(request)
                elif request.attempts or self._is_confined(request):
                    position += 1
                else:
                    # No endpoint is available for a first attempt, so none is available for the next requests
                    # in the queue either.
                    return

    @staticmethod
    def _is_confined(request: RequestState) -> bool:
        """Return whether a first attempt may go only to endpoints that know of an earlier execution."""
        return request.earlier_execution is not None and not request.attempts

    def _is_infeasible(self, request: RequestState, now: float) -> bool:
        """Return whether the request should be rejected, because its answer would probably arrive too late.

        A request whose earlier attempt is in flight is not rejected, because that attempt may still succeed.
        If no other attempt is in flight, the request is sent anyway, so that a mean latency that rose too
        far can fall again.
        """
        return (
            request.useful_until - now < request.request_class.mean_latency.value
            and self.in_flight.counted > 0
            and request.in_flight == 0
        )

    def _start_attempt(self, request: RequestState, selection: Selection, now: float) -> None:
        endpoint = selection.endpoint
        if request.request_class.accepts_late_answers:
            latest_end = request.deadline
        else:
            latest_end = max(request.useful_until, now + CONTROL_INTERVAL_S)
        idle_time = self.connections.prepare_connection(endpoint, now)
        on_new_connection = self.connections.needs_new_connection(endpoint, now)
        attempt = self.guard.start_attempt(request, endpoint, now, latest_end - now, selection.load)
        if attempt is None:
            return
        attempt.idle_time = idle_time
        attempt.on_new_connection = on_new_connection
        endpoint.last_used_at = now
        endpoint.in_flight += 1
        endpoint.load_change += 1
        endpoint.awaits_first_request = False
        self.slow_start.record_send(endpoint, now)
        self.in_flight.add(attempt)

    def reject_infeasible(self, now: float) -> None:
        """Reject the queued requests whose wait would exceed their remaining useful time.

        A request with an attempt in flight is removed from the queue but not rejected.
        """
        wait_per_position = self.limiter.mean_latency / self.limiter.limit
        for request in self.queue.remove_infeasible(now, wait_per_position):
            if not request.in_flight:
                self.admission.reject(request)
