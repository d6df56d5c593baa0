"""State of a request class: its settings together with what its traffic has taught."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.settings_types import RequestClass

TARGET_SHARE = 0.35  # share of the latency objective that most answers should take
MAX_TARGET_SHARE = 0.9  # share of the latency objective that the target stays within, and where it starts
BASELINE_RATIO = 1.75  # baseline latencies that the target is at least: a long tail passes less
MIN_BASELINE_SAMPLES = 20  # answers before the baseline latency is taken from them
BASELINE_MEMORY_S = 60.0  # in which the baseline latency follows a lasting rise
BUDGET_HISTORY = 64  # time budgets that are remembered to know the typical one
BUDGET_REFRESH = BUDGET_HISTORY // 4  # budgets after which the typical one is computed anew


class RequestClassState:
    """A class of requests with its settings and what was learned of it. Times are in seconds."""

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
        # At an inner tier the target is smaller: a service makes about two requests in sequence at each tier.
        self.min_latency_target = TARGET_SHARE * settings.latency_objective / 2**tier_index
        # Until the baseline is known the target is the loosest: at one request a second, a baseline that was
        # guessed too low would close the concurrency limit on a quiet day and keep it shut.
        self.latency_target = MAX_TARGET_SHARE * settings.latency_objective
        self.baseline_latency = math.inf  # mean latency without congestion
        self.mean_latency = RunningMean(self.min_latency_target / 2)
        self.recent_budgets: deque[float] = deque(maxlen=BUDGET_HISTORY)
        self.typical_budget = 0.0
        self.budgets_since_refresh = 0
        self.shedding_weight = (
            settings.priority_weight
        )  # position in the shedding order: the lowest goes first

    def inherit(self, previous: RequestClassState) -> None:
        """Take over what was learned of the class under its previous settings."""
        self.baseline_latency = previous.baseline_latency
        self.mean_latency = previous.mean_latency
        self.recent_budgets = previous.recent_budgets
        self.typical_budget = previous.typical_budget

    def update_shedding_weight(self, classes: Iterable[RequestClassState]) -> None:
        """Place the class in the shedding order.

        A class is shed before another only if its requests weigh less both by the request and by the time for
        which they occupy the concurrency limit; if the two disagree, both count as the heavier one. Guards
        against a light and quick class that gets nothing from a busy proxy, for no gain in weight served.
        Cost: a wrong mean latency makes two classes share what one of them should bear.
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
        """Follow the baseline latency over the last `span` seconds.

        A target below what a request takes without congestion would close the concurrency limit on a quiet
        day.
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
        """Take in a request's time budget and return the typical one: the median, refreshed now and then."""
        self.recent_budgets.append(budget)
        self.budgets_since_refresh += 1
        if self.budgets_since_refresh >= BUDGET_REFRESH or len(self.recent_budgets) < BUDGET_REFRESH:
            self.budgets_since_refresh = 0
            self.typical_budget = sorted(self.recent_budgets)[len(self.recent_budgets) // 2]
        return self.typical_budget
