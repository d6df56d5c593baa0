"""How long a class's requests and the way to a receiver usually take, learned from answers. Pure.

A request whose remaining time can't cover the usual latency of its class is rejected before any work: most of
what is started with less is work for nobody.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

SAMPLES = 64  # latest ones that count
MIN_SAMPLES = 20  # before which nothing is estimated
# A time in which only this share of the requests was answered fails three times of four.
QUARTILE = 0.25
# Share of the requests below it that are started all the same: else a class that became fast goes unnoticed.
EXPLORATION_SHARE = 0.02
TRANSIT_SMOOTHING = 0.1  # weight of the latest sample
MAX_TRANSIT_S = 0.5  # one way; what takes longer is queueing elsewhere


class LatencyEstimate:
    """The latest latencies of one class, s."""

    __slots__ = ("exploration_credit", "latest", "sorted")

    def __init__(self) -> None:
        self.latest: deque[float] = deque()
        self.sorted: list[float] = []
        self.exploration_credit = 0.0

    def record(self, latency: float) -> None:
        """Add a sample, and drop the oldest of more than SAMPLES."""
        if len(self.latest) == SAMPLES:
            self.sorted.remove(self.latest.popleft())
        self.latest.append(latency)
        insort(self.sorted, latency)

    @property
    def lower_quartile(self) -> float:
        """The latency of the fastest quarter of the requests, s; 0 until there are enough samples."""
        if len(self.sorted) < MIN_SAMPLES:
            return 0.0
        return self.sorted[int(QUARTILE * len(self.sorted))]

    def is_sufficient(self, remaining_time: float) -> bool:
        """Return whether a request with so much time left (s) is to be started.

        Of those that have too little a small share is started all the same, so that an estimate that is too
        high can't keep itself alive.
        """
        if remaining_time <= 0:
            return False
        if remaining_time >= self.lower_quartile:
            return True
        self.exploration_credit += EXPLORATION_SHARE
        if self.exploration_credit >= 1.0:
            self.exploration_credit -= 1.0
            return True
        return False


class TransitEstimate:
    """The time to a receiver, one way, s: half of what an exchange takes beyond the receiver's work."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = 0.0

    def record(self, elapsed: float, service_time: float) -> None:
        """Add a sample: the time of an exchange, and what the receiver says that it took, s."""
        one_way = min(MAX_TRANSIT_S, max(0.0, (elapsed - service_time) / 2))
        self.mean += TRANSIT_SMOOTHING * (one_way - self.mean)
