"""Handling of an ended attempt: accounting, feedback, and then a retry, the final answer or no action."""

from __future__ import annotations

from service_proxy.policy.admission import RequestAdmission
from service_proxy.policy.attempt_feedback import AttemptFeedback
from service_proxy.policy.endpoint_load import EndpointLoads
from service_proxy.policy.events import AttemptEnded, AttemptStatus
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.request import RequestState
from service_proxy.policy.request_queue import RequestQueue
from service_proxy.policy.retry_budget import RetryBudget
from service_proxy.policy.retry_guard import RetryGuard


class AttemptEndHandler:
    """Handler of ended attempts."""

    def __init__(
        self,
        in_flight: InFlightAttempts,
        guard: RetryGuard,
        queue: RequestQueue,
        loads: EndpointLoads,
        feedback: AttemptFeedback,
        admission: RequestAdmission,
        retry_budget: RetryBudget,
    ) -> None:
        self.in_flight = in_flight
        self.guard = guard
        self.queue = queue
        self.loads = loads
        self.feedback = feedback
        self.admission = admission
        self.retry_budget = retry_budget

    def handle(self, event: AttemptEnded, now: float) -> None:
        """Process the end of an attempt."""
        counted = self.in_flight.counted
        attempt = self.in_flight.pop(event.request_id, event.attempt_number)
        if attempt is None:
            return
        request = attempt.request
        endpoint = attempt.endpoint
        endpoint.in_flight -= 1
        if event.status != AttemptStatus.NOT_SENT:
            endpoint.load_change -= 1
        if event.status == AttemptStatus.OK:
            endpoint.last_used_at = now
        had_ended = request.has_ended
        self.guard.end_attempt(attempt, event.status, event.is_final)
        self.loads.record_report(endpoint, event.load_report, now)
        self.feedback.record(attempt, event.status, event.elapsed, counted, now)
        if not request.has_ended:
            if not request.in_flight and not request.is_queued:
                self._retry_or_answer(request, event.status, now)
        elif not had_ended:
            self.queue.remove(request)
            self.guard.cancel_attempts(request)

    def _retry_or_answer(self, request: RequestState, status: int, now: float) -> None:
        useful_time = request.useful_until - now
        cost = self.retry_budget.retry_cost(status)
        is_in_time = useful_time > request.request_class.mean_latency.value
        if self.guard.can_retry(request) and is_in_time and self.retry_budget.can_spend(cost):
            self.retry_budget.spend(cost)
            self.queue.add(request)
        else:
            self.admission.reject(request)
