"""State of a request class: its settings and the statistics of its traffic."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.settings_types import RequestClass

# Lower bound of the latency target at the first tier, as a share of the latency objective. Most answers
# should take at most this time.
TARGET_SHARE = 0.35
# Upper bound and first value of the latency target, as a share of the latency objective.
MAX_TARGET_SHARE = 0.9
# Lower bound of the latency target in baseline latencies; normal answers from a long tail would miss a target
# at a smaller multiple.
BASELINE_RATIO = 1.75
MIN_BASELINE_SAMPLES = 20  # Answers required before the baseline latency is derived.
BASELINE_MEMORY_S = 60.0  # Time in which the baseline latency follows a lasting rise.
BUDGET_HISTORY = 64  # Number of stored time budgets from which the typical budget is computed.
BUDGET_REFRESH = BUDGET_HISTORY // 4  # Number of time budgets between two computations of the typical budget.


class RequestClassState:
    """Request class with its settings and the statistics of its traffic. Times are in seconds."""

    __slots__ = (
        "accepts_late_answers",
        "baseline_latency",
        "budgets_since_refresh",
        "deadline",
        "idempotency",
        "idempotency_scope",
        "idempotency_window",
        "latency_objective",
        "latency_target",
        "max_attempts",
        "mean_latency",
        "min_latency_target",
        "name",
        "priority_weight",
        "recent_budgets",
        "shedding_weight",
        "typical_budget",
    )

    def __init__(self, settings: RequestClass, tier_index: int, max_attempts: int) -> None:
        self.name = settings.name
        self.max_attempts = min(settings.max_attempts or max_attempts, max_attempts)
        self.priority_weight = settings.priority_weight
        self.latency_objective = settings.latency_objective
        self.deadline = settings.deadline
        self.idempotency = settings.idempotency
        self.idempotency_scope = settings.idempotency_scope
        self.idempotency_window = settings.idempotency_window
        self.accepts_late_answers = settings.late_weight_share > 0
        # At an inner tier the target is smaller, because a service makes about two requests in sequence at
        # each tier.
        self.min_latency_target = TARGET_SHARE * settings.latency_objective / 2**tier_index
        # Until the baseline latency is known, the target has its upper bound. At one request per second, a
        # baseline that was estimated too low would reduce the concurrency limit to its minimum under light
        # traffic and keep the limit there.
        self.latency_target = MAX_TARGET_SHARE * settings.latency_objective
        self.baseline_latency = math.inf  # Mean latency without congestion.
        self.mean_latency = RunningMean(self.min_latency_target / 2)
        self.recent_budgets: deque[float] = deque(maxlen=BUDGET_HISTORY)
        self.typical_budget = 0.0
        self.budgets_since_refresh = 0
        # Position in the shedding order; the class with the lowest value is shed first.
        self.shedding_weight = settings.priority_weight

    def copy_statistics(self, previous: RequestClassState) -> None:
        """Copy the statistics that were collected under the previous settings of the class."""
        self.baseline_latency = previous.baseline_latency
        self.mean_latency = previous.mean_latency
        self.recent_budgets = previous.recent_budgets
        self.typical_budget = previous.typical_budget

    def update_shedding_weight(self, classes: Iterable[RequestClassState]) -> None:
        """Set the position of the class in the shedding order.

        A class is shed before another class only if its requests weigh less both per request and per second
        in flight. If the two measures disagree, both classes have the higher weight. Otherwise a light and
        fast class could get nothing from a busy proxy, without a gain in served weight. Cost: because of a
        wrong mean latency, two classes can share the shedding that should affect only one of them.
        """
        heavier = (
            other.priority_weight
            for other in classes
            if other.priority_weight > self.priority_weight
            and self.priority_weight * other.mean_latency.value
            >= other.priority_weight * self.mean_latency.value
        )
        self.shedding_weight = max(heavier, default=self.priority_weight)

    def update_latency_target(self, span: float) -> None:
        """Update the latency target from the baseline latency over the last `span` seconds.

        A target below the latency of a request without congestion would reduce the concurrency limit to its
        minimum under light traffic.
        """
        mean = self.mean_latency
        if mean.count >= MIN_BASELINE_SAMPLES:
            baseline = self.baseline_latency
            rise = 0.0 if math.isinf(baseline) else (mean.value - baseline) * span / BASELINE_MEMORY_S
            self.baseline_latency = min(mean.value, baseline + rise)
            self.latency_target = max(
                self.min_latency_target,
                min(BASELINE_RATIO * self.baseline_latency, MAX_TARGET_SHARE * self.latency_objective),
            )

    def observe_budget(self, budget: float) -> float:
        """Record the time budget of a request and return the typical budget.

        The typical budget is the median, which is recomputed after every BUDGET_REFRESH budgets.
        """
        self.recent_budgets.append(budget)
        self.budgets_since_refresh += 1
        if self.budgets_since_refresh >= BUDGET_REFRESH or len(self.recent_budgets) < BUDGET_REFRESH:
            self.budgets_since_refresh = 0
            self.typical_budget = sorted(self.recent_budgets)[len(self.recent_budgets) // 2]
        return self.typical_budget
