"""Load and capacity of endpoints, estimated from load reports and the latencies of own attempts."""

from __future__ import annotations

import math

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.timing import CONTROL_INTERVAL_S

# Field of a load report: number of requests that the endpoint is executing.
BUSY_REQUESTS_FIELD = "busy_reqs"
TYPICAL_LOAD_WEIGHT = 0.3  # Weight of a new load report in the typical load of an endpoint.
# Decay time of the typical load of an endpoint, in decay times of a load report.
TYPICAL_LOAD_DECAY_FACTOR = 10.0
# Reports over which the load of a zone is averaged: a few seconds at one request per second.
ZONE_REPORTS = 10
SAMPLE_DECAY = 0.9  # Factor that reduces the older samples of an endpoint at each new sample.
# Decay time of the samples of an endpoint; because of the decay, a slow endpoint is tried again.
SAMPLE_MEMORY_S = 30.0
MEAN_LOAD_SAMPLES = 100  # Attempts over which the load of all endpoints is averaged.
INITIAL_LATENCY_S = 0.1  # Mean latency of a request before the first measurement.
MIN_MEAN_LATENCY_S = 1e-3  # Lower bound of the mean latency, so that load reports don't decay at once.


class EndpointLoads:
    """Load estimates of the endpoints, and samples of their latency under load."""

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        # Mean load at which attempts are sent, including the attempt, in requests.
        self.mean_load = RunningMean(1.0)
        self.zone_loads: dict[str, RunningMean] = {}  # Reported requests per unit of weight, by zone.
        self.mean_latency = INITIAL_LATENCY_S  # Mean latency of a request, in seconds.

    def update_mean_latency(self, latency: float) -> None:
        """Set the mean latency of a request, in seconds."""
        self.mean_latency = max(latency, MIN_MEAN_LATENCY_S)

    def record_report(self, endpoint: TrackedEndpoint, report: dict[str, float] | None, now: float) -> None:
        """Record a load report; ignore a report without a usable number of busy requests."""
        busy = report.get(BUSY_REQUESTS_FIELD) if report else None
        if busy is None or not 0 <= busy < math.inf:
            return
        is_first = endpoint.reported_at <= 0
        endpoint.typical_load += (busy - endpoint.typical_load) * (1.0 if is_first else TYPICAL_LOAD_WEIGHT)
        endpoint.reported_load = busy
        zone = self.zone_loads.setdefault(endpoint.zone, RunningMean(0.0))
        zone.add(busy / endpoint.weight, ZONE_REPORTS)
        endpoint.reported_at = now
        endpoint.load_change = 0

    def estimate(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the estimated number of requests that an endpoint is executing.

        Without a load report, and as the last report ages, the estimate follows the load of the zone. If
        requests and therefore load reports are few, requests would otherwise concentrate on endpoints that
        look idle because no health check reached them. Cost: one busy endpoint makes the unchecked
        endpoints of its zone look busy.
        """
        decay_time = 2 * self.mean_latency + CONTROL_INTERVAL_S
        zone = self.zone_loads.get(endpoint.zone)
        typical = endpoint.typical_load
        if zone is not None:
            age = endpoint.reported_at - now
            typical = zone.value * endpoint.weight
            typical += (endpoint.typical_load - typical) * math.exp(
                age / (TYPICAL_LOAD_DECAY_FACTOR * decay_time)
            )
        load = typical + endpoint.load_change
        if endpoint.reported_load != typical:
            load += (endpoint.reported_load - typical) * math.exp((endpoint.reported_at - now) / decay_time)
        return max(load, endpoint.in_flight)

    def record_sample(self, endpoint: TrackedEndpoint, load: float, latency: float) -> None:
        """Record an attempt that was sent at this load and took `latency` mean latencies."""
        endpoint.latency_sum = endpoint.latency_sum * SAMPLE_DECAY + latency
        endpoint.load_sum = endpoint.load_sum * SAMPLE_DECAY + load + 1
        self.mean_load.add(load + 1, MEAN_LOAD_SAMPLES)

    def decay_samples(self, span: float) -> None:
        """Decay the samples of all endpoints for `span` elapsed seconds.

        An endpoint without requests gets no new samples. Without the decay, a few slow answers, whatever
        their cause, would remain its last samples and keep the endpoint without requests. Cost: a slow
        endpoint receives a request now and then.
        """
        share = math.exp(-span / SAMPLE_MEMORY_S)
        for endpoint in self.pool.members:
            endpoint.load_sum *= share
            endpoint.latency_sum *= share
