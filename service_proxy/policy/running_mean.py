"""A running mean, the one statistic that most of the policy's estimates are made of."""

from __future__ import annotations


class RunningMean:
    """A running mean over about the last `memory` samples; a prior stands until the first one."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, memory: float) -> None:
        """Take in one sample; each weighs at least 1/memory."""
        self.count = min(self.count + 1, memory)
        self.value += (sample - self.value) / self.count
