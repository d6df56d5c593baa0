"""Overdue attempts: they show endpoints that hang, and their requests are hedged."""

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

OVERDUE_LATENCIES = 4.0  # mean latencies after which an attempt is overdue
MAX_CONSECUTIVE_OVERDUE = 2  # slow attempts, without success between, from which an endpoint is taken to hang
HEDGE_COST = 1.0  # tokens of the retry budget


class OverdueAttemptMonitor(SettingsUser):
    """Looks at the ages of the attempts in flight: an endpoint that hangs ends none."""

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
        """Take in the ages of all attempts in flight and act on those that are overdue."""
        for attempt in self._observe_ages(now):
            endpoint = attempt.endpoint
            if endpoint.last_success_at < attempt.sent_at and not endpoint.ejected_until:
                attempt.overdue_handled = True
                endpoint.consecutive_slow += 1
                if endpoint.consecutive_slow >= MAX_CONSECUTIVE_OVERDUE or endpoint.on_trial:
                    self.outliers.eject(endpoint, now, is_certain=False)
            self._hedge(attempt, now)

    def _observe_ages(self, now: float) -> list[AttemptState]:
        """Tell the concurrency limit what is late, and return the attempts that have become overdue."""
        total_age = 0.0
        count = 0.0
        overdue: list[AttemptState] = []
        for attempt in self.in_flight.attempts.values():
            if attempt.request.is_streaming:
                continue  # how long a stream takes is its peers' matter
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
        """Start a further attempt of a request whose attempt is overdue, where its class allows it."""
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
