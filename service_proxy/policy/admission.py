"""Admission: each arriving request is queued or rejected."""

from __future__ import annotations

import math

from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.events import RequestArrived
from service_proxy.policy.in_flight import InFlightAttempts
from service_proxy.policy.request import RequestState
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.request_queue import RequestQueue
from service_proxy.policy.retry_budget import RetryBudget
from service_proxy.policy.retry_guard import RetryGuard
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.tenant_quotas import TenantQuotas
from service_proxy.policy.timing import CONTROL_INTERVAL_S

RETRY_AFTER_LATENCIES = 0.25  # Retry-after time of a rejected client, in mean latencies.


class RequestAdmission(SettingsUser):
    """Admission control that opens arriving requests and queues or rejects them."""

    def __init__(
        self,
        settings: Settings,
        request_classes: dict[str, RequestClassState],
        guard: RetryGuard,
        queue: RequestQueue,
        in_flight: InFlightAttempts,
        limiter: ConcurrencyLimiter,
        quotas: TenantQuotas,
        retry_budget: RetryBudget,
    ) -> None:
        super().__init__(settings)
        self.request_classes = request_classes
        self.guard = guard
        self.queue = queue
        self.in_flight = in_flight
        self.limiter = limiter
        self.quotas = quotas
        self.retry_budget = retry_budget

    def open_request(self, event: RequestArrived, now: float) -> RequestState | None:
        """Open a request; return None if its id is already known or if the request can't be served."""
        if self.guard.is_known(event.request_id):
            return None
        request_class = self.request_classes.get(event.class_name)
        if request_class is None or not 0 < event.time_budget < math.inf:
            self.guard.reject_invalid(event.request_id)
            return None
        weight = self._weight(event, request_class)
        useful_time = self.remaining_objective(
            request_class, event.stated_budget or event.time_budget, event.is_retry
        )
        useful_time = (
            event.time_budget if request_class.accepts_late_answers else min(event.time_budget, useful_time)
        )
        request = RequestState(
            event.request_id, request_class, weight, now, now + event.time_budget, now + useful_time
        )
        if event.earlier_execution is not None:
            request.earlier_execution = event.earlier_execution
            request.earlier_forgotten_at = now + event.earlier_execution.remembered_for
        if event.max_attempts:
            request.max_attempts = min(event.max_attempts, request_class.max_attempts)
        self.guard.requests[request.request_id] = request
        self.limiter.record_arrival(weight)
        self.retry_budget.on_request()
        return request

    def _weight(self, event: RequestArrived, request_class: RequestClassState) -> float:
        if self.settings.weight_by_work and event.expected_work > 0:
            weight = request_class.priority_weight * event.weight_share * event.expected_work
        else:
            weight = request_class.shedding_weight * event.weight_share
        if event.tenant in self.quotas.rates:
            weight *= self.quotas.weight_share(event.tenant)
        return weight

    def remaining_objective(self, request_class: RequestClassState, budget: float, is_retry: bool) -> float:
        """Return the seconds that remain of the latency objective.

        At an inner tier, the proxy of the tier above has reduced the time budget to the useful time, so the
        whole objective is returned and the caller bounds it by the budget. At the first tier, a budget below
        the typical budget means that the client waited during earlier attempts. The difference between the
        deadline of the class and the budget is the time that the client waited. The subtraction of this time
        prevents work on answers that arrive too late. The typical budget is the median, not the maximum,
        because a few unusually long budgets would otherwise make every first attempt look late. If clients
        mark their retries, an unmarked request has not waited, however short its budget is. Cost: if a client
        doesn't mark a retry, the proxy does work for an answer that arrives too late.
        """
        is_first = self.settings.clients_flag_retries and not is_retry
        typical = request_class.observe_budget(budget)  # First attempts also update the typical budget.
        if self.settings.tier_index or is_first or budget >= typical - CONTROL_INTERVAL_S:
            return request_class.latency_objective
        return request_class.latency_objective - (request_class.deadline - budget)

    def admit(self, request: RequestState, now: float) -> None:
        """Queue a request that was just opened, or reject it."""
        # With slack, a request is admitted whatever its weight. The limit grows only while it is nearly
        # reached, so a shed threshold that kept the requests in flight below this level would stay in force.
        has_slack = self.limiter.has_slack(self.in_flight.counted + len(self.queue.requests) + 1)
        if (has_slack or self.limiter.admits(request.weight)) and request.useful_until > now:
            self.queue.add(request)
        else:
            self.reject(request)

    def reject(self, request: RequestState) -> None:
        """Send the final answer to a request: a rejection, or a failure if a repeat could be harmful."""
        self.guard.answer(request, self._retry_after())

    def _retry_after(self) -> float:
        """Return the seconds after which a rejected client should retry.

        By then, some of the requests that fill the limit now have been answered. A client without a
        retry-after time retries sooner, while the limit is still full.
        """
        if not self.settings.can_send_retry_after:
            return 0.0
        wait = max(CONTROL_INTERVAL_S, RETRY_AFTER_LATENCIES * self.limiter.mean_latency)
        return min(self.settings.max_retry_after, wait)
