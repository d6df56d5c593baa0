"""Running mean, the statistic behind most estimates of the policy."""

from __future__ import annotations


class RunningMean:
    """Running mean over about the last `memory` samples, with a prior value before the first sample."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, memory: float) -> None:
        """Add a sample with a weight of at least 1/memory."""
        self.count = min(self.count + 1, memory)
        self.value += (sample - self.value) / self.count
