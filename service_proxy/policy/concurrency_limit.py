"""The concurrency limit and the shed rate that follows from it.

The paper's symbols: the limit is W, the mean latency procQ, the history of weights H, the shed rate `drop`,
the shed threshold `cut`, and the throughput that the limit supports ST = W / procQ.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from service_proxy.policy.running_mean import RunningMean

RATE_MEMORY_S = 2.0  # of arrival rate and mean latency: long against a request, short against a fault
MIN_SAMPLES = 10  # requests, below which mean latency and weights say nothing and nothing is shed
WEIGHT_HISTORY = 300  # weights remembered: the shed threshold's error is then about 3 points of 100
LIMIT_SLACK = 0.8  # share of the limit up to which nothing is shed for its weight; the limit grows beyond it
LATE_SHARE = 0.2  # share of answers past their target at which the limit stands still
INITIAL_LIMIT = 4.0  # requests, before anything is known
MIN_LIMIT = 2.0  # requests; the limit does not recover well from less
MIN_LIMIT_PER_ENDPOINT = 2.0  # requests per endpoint that first-tier proxies share, if that is less
MAX_ADJUSTMENT = 0.3  # share of the limit that one answer moves it by at most
START_ADJUSTMENT = 0.5  # requests that each answer raises the limit by at the start: by half a round
CONFIDENT_STREAK = 16  # answers in time in a row that show the limit too low: 3 of 100 rows by chance
AGE_WEIGHT = 0.5  # of the mean age of attempts in flight in the mean latency: on average they are half done
UPPER_TIER_WORK = 0.5  # added to the supported rate per tier above: a rejection here loses work there
MIN_LATENCY_S = 1e-6  # the mean latency counts as at least this when the limit is divided by it
SHARE_TOLERANCE = 1e-12  # rounding of the shares of weights that are added up


class ConcurrencyLimiter:
    """How many requests may be in flight, and which arriving requests are shed when that is not enough."""

    def __init__(self, tier_index: int, random: Random) -> None:
        self.tier_index = tier_index
        self.random = random
        self.latency = RunningMean(0.0)
        self.in_flight_age = 0.0  # mean age of the attempts in flight, in seconds
        self.arrivals = 0  # requests since the last control step
        self.arrival_rate = 0.0  # requests per second
        self.rate_span = 0.0  # seconds that the arrival rate is known for
        self.weights: deque[float] = deque(maxlen=WEIGHT_HISTORY)
        self.limit = INITIAL_LIMIT
        self.min_limit = MIN_LIMIT
        self.is_starting = True  # the limit grows by half each round until the first late answer
        self.timely_streak = 0  # answers in time in a row while the limit was what limited
        self.shed_threshold = -math.inf  # weight below which requests are shed
        self.threshold_shed_share = 0.0  # share of the requests at the threshold that are shed, too

    @property
    def mean_latency(self) -> float:
        """Mean latency in seconds (procQ); an endpoint that hangs shows by the ages of what is in flight."""
        return max(self.latency.value, AGE_WEIGHT * self.in_flight_age)

    def record_arrival(self, weight: float) -> None:
        """Take in a request that arrived, with its weight."""
        self.arrivals += 1
        self.weights.append(weight)

    def update_arrival_rate(self, span: float) -> None:
        """Close a control step of `span` seconds."""
        self.rate_span = min(self.rate_span + span, RATE_MEMORY_S)
        self.arrival_rate += (self.arrivals / span - self.arrival_rate) * min(1.0, span / self.rate_span)
        self.arrivals = 0

    def observe_latency(self, latency: float) -> None:
        """Take in the latency of an attempt, in seconds."""
        self.latency.add(latency, max(MIN_SAMPLES, self.arrival_rate * RATE_MEMORY_S))

    def update_min_limit(self, endpoint_count: int, proxy_count: int) -> None:
        """Set the lowest limit for so many endpoints shared by so many proxies.

        With more proxies than endpoints, two requests of each proxy would crowd every endpoint. Inner tiers
        keep the minimum: a rejection there loses the work done above.
        """
        if self.tier_index == 0:
            self.min_limit = min(MIN_LIMIT, max(1.0, MIN_LIMIT_PER_ENDPOINT * endpoint_count / proxy_count))

    def has_slack(self, load: int) -> bool:
        """Tell whether `load` requests stay within the share of the limit that is never shed by weight."""
        return load <= LIMIT_SLACK * self.limit

    def _adjustment(self) -> float:
        return min(MAX_ADJUSTMENT * self.limit, 1 / math.sqrt(self.limit))

    def on_timely_answer(self, in_flight: float) -> None:
        """Raise the limit for an answer within its target, if the limit is what limits.

        A long row of these shows that the limit is far below where it would settle: it grows as at the start,
        until the next late answer. Guards against one late answer in the first seconds of a proxy that gets
        several times the others' requests: at under a request a round the limit would need minutes, and
        meanwhile all but the heaviest requests are shed. Cost: by chance the limit rises by some requests too
        many now and then.
        """
        if in_flight + 1 >= LIMIT_SLACK * self.limit:
            self.timely_streak += 1
            grows_fast = self.is_starting or self.timely_streak >= CONFIDENT_STREAK
            self.limit += (
                START_ADJUSTMENT if grows_fast else LATE_SHARE / (1 - LATE_SHARE) * self._adjustment()
            )

    def on_late_answer(self) -> None:
        """Lower the limit for an answer past its target or an overload error."""
        self.is_starting = False
        self.timely_streak = 0
        self.limit = max(self.min_limit, self.limit - self._adjustment())

    def rescale(self, ratio: float) -> None:
        """Scale the limit with the capacity of the endpoints in use.

        Guards against a limit that has shrunk to the few endpoints of a release and grows back by a tenth of
        a request at a time, while all but the heaviest requests are shed. Cost: an endpoint that is listed
        before it is as good as its weight says gets its part of the requests for as long as the limit takes
        to shrink.
        """
        self.limit = max(self.min_limit, self.limit * ratio)

    def shed_rate(self) -> float:
        """Return the share of arriving requests that exceeds the supported throughput (`drop`)."""
        if self.latency.count < MIN_SAMPLES or len(self.weights) < MIN_SAMPLES or self.arrival_rate <= 0:
            return 0.0
        supported = (
            self.limit / max(self.mean_latency, MIN_LATENCY_S) * (1 + UPPER_TIER_WORK * self.tier_index)
        )
        return max(0.0, 1 - supported / self.arrival_rate)

    def update_shed_threshold(self) -> None:
        """Set the weight below which requests are shed (`cut`) from the shed rate and the recent weights."""
        target = self.shed_rate()
        if target <= 0:
            self.shed_threshold = -math.inf
            self.threshold_shed_share = 0.0
            return
        count = len(self.weights)
        counts: dict[float, int] = {}
        for weight in self.weights:
            counts[weight] = counts.get(weight, 0) + 1
        share_below = 0.0
        for weight in sorted(counts):
            share = counts[weight] / count
            if share_below + share >= target - SHARE_TOLERANCE:
                # Weights have few levels: those at the threshold are shed by chance, up to the target.
                self.shed_threshold = weight
                self.threshold_shed_share = (target - share_below) / share
                return
            share_below += share

    def admits(self, weight: float) -> bool:
        """Tell whether a request of this weight is admitted while the limit is filled."""
        if weight == self.shed_threshold:
            return self.random.random() >= self.threshold_shed_share
        return weight > self.shed_threshold
