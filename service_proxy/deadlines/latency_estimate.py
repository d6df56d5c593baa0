"""Estimates of a class's usual latency and of the transit time to a receiver, from responses. Does no I/O.

A request whose remaining time can't cover the usual latency of its class is rejected before any work,
because most requests started with less time end after their deadline.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

SAMPLES = 64  # Number of latest samples that an estimate uses.
MIN_SAMPLES = 20  # Number of samples below which there is no estimate.
# Quantile used as threshold: with only this time left, three of four requests miss their deadline.
QUARTILE = 0.25
# Share of the requests below the threshold that start anyway; without it, a faster class would go undetected.
EXPLORATION_SHARE = 0.02
TRANSIT_SMOOTHING = 0.1  # Weight of the latest sample.
MAX_TRANSIT_S = 0.5  # Upper bound of a one-way sample; a longer time is caused by queueing elsewhere.


class LatencyEstimate:
    """Estimate from the latest latencies of one class, s."""

    __slots__ = ("exploration_credit", "latest", "sorted")

    def __init__(self) -> None:
        self.latest: deque[float] = deque()
        self.sorted: list[float] = []
        self.exploration_credit = 0.0

    def record(self, latency: float) -> None:
        """Add a sample, and discard the oldest sample if there are more than SAMPLES."""
        if len(self.latest) == SAMPLES:
            self.sorted.remove(self.latest.popleft())
        self.latest.append(latency)
        insort(self.sorted, latency)

    @property
    def lower_quartile(self) -> float:
        """Return the latency of the fastest quarter of the requests, s; 0 until there are enough samples."""
        if len(self.sorted) < MIN_SAMPLES:
            return 0.0
        return self.sorted[int(QUARTILE * len(self.sorted))]

    def is_sufficient(self, remaining_time: float) -> bool:
        """Return whether a request with this remaining time (s) should start.

        A small share of the requests with too little time starts anyway. Without new samples, an estimate
        that is too high would stay too high, because requests with less time would never start.
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
    """Estimate of the one-way time to a receiver, s: half of an exchange's time without the service time."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = 0.0

    def record(self, elapsed: float, service_time: float) -> None:
        """Add a sample: the time of an exchange, and the service time that the receiver reports, s."""
        transit_time = min(MAX_TRANSIT_S, max(0.0, (elapsed - service_time) / 2))
        self.mean += TRANSIT_SMOOTHING * (transit_time - self.mean)
