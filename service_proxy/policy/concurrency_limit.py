"""Concurrency limit, and the shed rate that is derived from the limit.

The paper uses these symbols: W for the limit, procQ for the mean latency, H for the history of
weights, `drop` for the shed rate, `cut` for the shed threshold, and ST = W / procQ for the
throughput that the limit supports.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from service_proxy.policy.running_mean import RunningMean

# Averaging time of arrival rate and mean latency: long compared with a request, short compared with a fault.
RATE_MEMORY_S = 2.0
MIN_SAMPLES = 10  # Requests that are required before mean latency and weights are used and requests are shed.
# Number of stored weights; the error of the shed threshold is then about 3 percentage points.
WEIGHT_HISTORY = 300
# Share of the limit up to which no request is shed by weight; the limit grows only above this share.
LIMIT_SLACK = 0.8
LATE_SHARE = 0.2  # Share of answers past their target at which the limit stays constant.
INITIAL_LIMIT = 4.0  # Limit in requests before the first measurement.
MIN_LIMIT = 2.0  # Lowest limit in requests; the limit recovers poorly from lower values.
# Requests in flight per endpoint, for all first-tier proxies together. If the equal part of one proxy is
# less than MIN_LIMIT, this part is the lowest limit of the proxy, but at least 1.
MIN_LIMIT_PER_ENDPOINT = 2.0
MAX_ADJUSTMENT = 0.3  # Upper bound of the change by one answer, as a share of the limit.
# Requests that each answer adds to the limit in the start phase, so that the limit grows by half each round.
# A round is as many answers as the limit.
START_ADJUSTMENT = 0.5
# Consecutive timely answers that show that the limit is too low. At the right limit, 3 of 100 series of this
# length are timely by chance.
CONFIDENT_STREAK = 16
# Weight of the mean age of attempts in flight in the mean latency, because attempts are half done on average.
AGE_WEIGHT = 0.5
# Increase of the supported rate per tier above, because a rejection wastes the work of that tier.
UPPER_TIER_WORK = 0.5
MIN_LATENCY_S = 1e-6  # Lower bound of the mean latency when the limit is divided by it.
SHARE_TOLERANCE = 1e-12  # Rounding error of the sum of weight shares.


class ConcurrencyLimiter:
    """Limit of the requests in flight, and choice of the requests that are shed at the limit."""

    def __init__(self, tier_index: int, random: Random) -> None:
        self.tier_index = tier_index
        self.random = random
        self.latency = RunningMean(0.0)
        self.in_flight_age = 0.0  # Mean age of the attempts in flight, in seconds.
        self.arrivals = 0  # Requests that arrived since the last control step.
        self.arrival_rate = 0.0  # Requests per second.
        self.rate_span = 0.0  # Seconds that the arrival rate covers.
        self.weights: deque[float] = deque(maxlen=WEIGHT_HISTORY)
        self.limit = INITIAL_LIMIT
        self.min_limit = MIN_LIMIT
        # True until the first late answer; the limit grows by half each round in this phase.
        self.is_starting = True
        self.timely_streak = 0  # Consecutive timely answers while the limit was reached.
        self.shed_threshold = -math.inf  # Weight below which requests are shed.
        # Share of the requests with exactly the threshold weight that are shed.
        self.threshold_shed_share = 0.0

    @property
    def mean_latency(self) -> float:
        """Mean latency in seconds (procQ); the ages of attempts in flight reveal endpoints that hang."""
        return max(self.latency.value, AGE_WEIGHT * self.in_flight_age)

    def record_arrival(self, weight: float) -> None:
        """Record a request that arrived, with its weight."""
        self.arrivals += 1
        self.weights.append(weight)

    def update_arrival_rate(self, span: float) -> None:
        """Update the arrival rate after a control step of `span` seconds."""
        self.rate_span = min(self.rate_span + span, RATE_MEMORY_S)
        self.arrival_rate += (self.arrivals / span - self.arrival_rate) * min(1.0, span / self.rate_span)
        self.arrivals = 0

    def observe_latency(self, latency: float) -> None:
        """Record the latency of an attempt, in seconds."""
        self.latency.add(latency, max(MIN_SAMPLES, self.arrival_rate * RATE_MEMORY_S))

    def update_min_limit(self, endpoint_count: int, proxy_count: int) -> None:
        """Set the lowest limit for the given numbers of endpoints and proxies.

        With more proxies than endpoints, two requests in flight from each proxy would overload every
        endpoint. Inner tiers keep MIN_LIMIT, because a rejection there wastes the work of the tiers above.
        """
        if self.tier_index == 0:
            self.min_limit = min(MIN_LIMIT, max(1.0, MIN_LIMIT_PER_ENDPOINT * endpoint_count / proxy_count))

    def has_slack(self, load: int) -> bool:
        """Return whether `load` requests fit into the share of the limit that is never shed by weight."""
        return load <= LIMIT_SLACK * self.limit

    def _adjustment(self) -> float:
        return min(MAX_ADJUSTMENT * self.limit, 1 / math.sqrt(self.limit))

    def on_timely_answer(self, in_flight: float) -> None:
        """Raise the limit after an answer within its target, if the limit is nearly reached.

        A long streak of timely answers shows that the limit is far below its equilibrium. The limit then
        grows as in the start phase, until the next late answer. Without this rule, a proxy with several
        times the mean traffic that gets one late answer in its first seconds would need minutes to raise
        the limit, because the limit would grow by less than one request per round. Meanwhile all but the
        heaviest requests would be shed. Cost: by chance the limit occasionally rises a few requests too
        high.
        """
        if in_flight + 1 >= LIMIT_SLACK * self.limit:
            self.timely_streak += 1
            grows_fast = self.is_starting or self.timely_streak >= CONFIDENT_STREAK
            self.limit += (
                START_ADJUSTMENT if grows_fast else LATE_SHARE / (1 - LATE_SHARE) * self._adjustment()
            )

    def on_late_answer(self) -> None:
        """Lower the limit after an answer past its target or an overload error."""
        self.is_starting = False
        self.timely_streak = 0
        self.limit = max(self.min_limit, self.limit - self._adjustment())

    def rescale(self, ratio: float) -> None:
        """Scale the limit with the capacity of the endpoints in use.

        During a release the limit shrinks to the few endpoints that remain. Without this rule, the limit
        would grow back by a tenth of a request at a time, and meanwhile all but the heaviest requests
        would be shed. Cost: an endpoint that is listed before it reaches the capacity of its weight
        receives its share of requests until the limit has shrunk.
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
                # Weights have few distinct values, so requests with the threshold weight are shed at random,
                # up to the target.
                self.shed_threshold = weight
                self.threshold_shed_share = (target - share_below) / share
                return
            share_below += share

    def admits(self, weight: float) -> bool:
        """Return whether a request of this weight is admitted while the limit is reached."""
        if weight == self.shed_threshold:
            return self.random.random() >= self.threshold_shed_share
        return weight > self.shed_threshold
