"""Overdue attempts: detection of endpoints that hang, and hedging of the affected requests."""

from __future__ import annotations

from service_proxy.policy.actions import Action, CancelAttempt
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.outlier_detection import OutlierDetector
from service_proxy.policy.request import AttemptState
from service_proxy.policy.request_queue import RequestQueue
from service_proxy.policy.retry_budget import RetryBudget
from service_proxy.policy.retry_guard import RetryGuard
from service_proxy.policy.settings_types import Idempotency, Settings
from service_proxy.policy.settings_user import SettingsUser

OVERDUE_LATENCIES = 4.0  # Age from which an attempt is overdue, in mean latencies.
# Slow attempts without a success in between after which an endpoint counts as hanging.
MAX_CONSECUTIVE_OVERDUE = 2
HEDGE_COST = 1.0  # Tokens of the retry budget per hedge.


class OverdueAttemptMonitor(SettingsUser):
    """Monitor of the ages of attempts in flight, because attempts at a hanging endpoint don't end."""

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        in_flight: InFlightAttempts,
        guard: RetryGuard,
        queue: RequestQueue,
        budget: RetryBudget,
        limiter: ConcurrencyLimiter,
        outliers: OutlierDetector,
    ) -> None:
        super().__init__(settings)
        self.actions = actions
        self.in_flight = in_flight
        self.guard = guard
        self.queue = queue
        self.budget = budget
        self.limiter = limiter
        self.outliers = outliers

    def run(self, now: float) -> None:
        """Record the ages of all attempts in flight and handle the overdue attempts."""
        for attempt in self._observe_ages(now):
            endpoint = attempt.endpoint
            if endpoint.last_success_at < attempt.sent_at and not endpoint.ejected_until:
                attempt.overdue_handled = True
                endpoint.consecutive_slow += 1
                if endpoint.consecutive_slow >= MAX_CONSECUTIVE_OVERDUE or endpoint.on_trial:
                    self.outliers.eject(endpoint, now, is_certain=False)
            self._hedge(attempt, now)

    def _observe_ages(self, now: float) -> list[AttemptState]:
        """Report late attempts to the concurrency limiter and return the newly overdue attempts."""
        total_age = 0.0
        count = 0.0
        overdue: list[AttemptState] = []
        for attempt in self.in_flight.attempts.values():
            if attempt.request.is_streaming:
                continue  # The client and the endpoint determine the duration of a stream.
            age = now - attempt.sent_at
            request_class = attempt.request.request_class
            if attempt.counts_to_limit:
                total_age += age
                count += 1
                if not attempt.is_late and age > request_class.latency_target:
                    attempt.is_late = True
                    self.limiter.on_late_answer()
            if age > OVERDUE_LATENCIES * request_class.mean_latency.value and not attempt.overdue_handled:
                overdue.append(attempt)
        self.limiter.in_flight_age = total_age / count if count else 0.0
        return overdue

    def _hedge(self, attempt: AttemptState, now: float) -> None:
        """Hedge an overdue attempt, or cancel it, if the request's class allows a repeat."""
        request = attempt.request
        if request.has_ended or request.is_streaming or request.is_queued or request.in_flight > 1:
            return
        if not self.budget.can_spend(HEDGE_COST):
            return
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.IDEMPOTENT or not self.guard.can_retry(request):
            return
        if request.useful_until - now < request_class.mean_latency.value:
            return
        attempt.overdue_handled = True
        if self.settings.can_hedge:
            self.budget.spend(HEDGE_COST)
            self.queue.add(request)
        elif self.settings.can_cancel:
            self.actions.append(CancelAttempt(request.request_id, attempt.number))
