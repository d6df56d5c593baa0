"""What a class usually takes, and what the way to a receiver takes: learned from answers. Pure.

A budget that can't cover the usual latency of its class is refused before any work: most of what is begun
with
less is work for nobody.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

SAMPLES = 64  # latest ones that count
LEAST_SAMPLES = 20  # before which nothing is called usual
QUICK_SHARE = (
    0.25  # of the samples lie below what is called usual: a budget below it fails three times of four
)
# Share of the calls below it that are begun all the same: else a class that grew quick is never seen.
TRIED = 0.02
EASE = 0.1  # weight of the newest transit
MOST_TRANSIT = 0.5  # s that the way is believed to take at the most; what is more is queueing elsewhere


class Usual:
    """Latencies of one class, s."""

    __slots__ = ("latest", "sorted", "turned")

    def __init__(self) -> None:
        self.latest: deque[float] = deque()
        self.sorted: list[float] = []
        self.turned = 0.0

    def learn(self, took: float) -> None:
        if len(self.latest) == SAMPLES:
            self.sorted.remove(self.latest.popleft())
        self.latest.append(took)
        insort(self.sorted, took)

    @property
    def quick(self) -> float:
        """What a quarter of the calls take at the most; 0 until enough are known."""
        if len(self.sorted) < LEAST_SAMPLES:
            return 0.0
        return self.sorted[int(QUICK_SHARE * len(self.sorted))]

    def covers(self, left: float) -> bool:
        """Whether a call with so much time left is worth beginning. Every fiftieth that isn't is begun, so
        that what
        is learned can't lock itself in."""
        if left <= 0:
            return False
        if left >= self.quick:
            return True
        self.turned += TRIED
        if self.turned >= 1.0:
            self.turned -= 1.0
            return True
        return False


class Transit:
    """s that the way to a receiver takes, one way: half of what an exchange takes beyond the receiver's
    work."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = 0.0

    def learn(self, elapsed: float, took: float) -> None:
        way = min(MOST_TRANSIT, max(0.0, (elapsed - took) / 2))
        self.mean += EASE * (way - self.mean)
