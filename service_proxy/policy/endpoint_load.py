"""Load and latency of endpoints: load reports, estimates between them, and capacity from own attempts."""

from __future__ import annotations

import math

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.timing import CONTROL_INTERVAL_S

BUSY_REQUESTS_FIELD = "busy_reqs"  # field of a load report: requests that the endpoint is executing
TYPICAL_LOAD_WEIGHT = 0.3  # of a new load report in an endpoint's typical load
TYPICAL_LOAD_FADES = 10.0  # fades of a load report after which an endpoint's typical load is half forgotten
ZONE_REPORTS = 10  # reports over which a zone's load is averaged: a few seconds at a request a second
SAMPLE_FADE = 0.9  # weight of an endpoint's older samples at each new one
SAMPLE_MEMORY_S = 30.0  # in which samples fade without new ones, so that a slow endpoint is tried again
MEAN_LOAD_SAMPLES = 100  # attempts over which the load of all endpoints is averaged
INITIAL_LATENCY_S = 0.1  # mean latency of a request before any is known
MIN_MEAN_LATENCY_S = 1e-3  # the mean latency counts as at least this, so that reports don't fade at once


class EndpointLoads:
    """What endpoints are taken to be executing, and how fast they do it."""

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.mean_load = RunningMean(1.0)  # requests
        self.zone_loads: dict[str, RunningMean] = {}  # reported requests per unit of weight
        self.mean_latency = INITIAL_LATENCY_S  # of a request, in seconds

    def update_mean_latency(self, latency: float) -> None:
        """Set the mean latency of a request, in seconds."""
        self.mean_latency = max(latency, MIN_MEAN_LATENCY_S)

    def record_report(self, endpoint: TrackedEndpoint, report: dict[str, float] | None, now: float) -> None:
        """Take in a load report; one without a usable number of busy requests changes nothing."""
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
        """Return the requests that an endpoint is taken to be executing.

        What is not known of an endpoint, or known no more, is taken from its zone. Guards against a crowd on
        endpoints that look idle because nobody checked them, where requests and so load reports are few.
        Cost: one busy endpoint makes its unchecked neighbours look busy too.
        """
        fade = 2 * self.mean_latency + CONTROL_INTERVAL_S
        zone = self.zone_loads.get(endpoint.zone)
        typical = endpoint.typical_load
        if zone is not None:
            age = endpoint.reported_at - now
            typical = zone.value * endpoint.weight
            typical += (endpoint.typical_load - typical) * math.exp(age / (TYPICAL_LOAD_FADES * fade))
        load = typical + endpoint.load_change
        if endpoint.reported_load != typical:
            load += (endpoint.reported_load - typical) * math.exp((endpoint.reported_at - now) / fade)
        return max(load, endpoint.in_flight)

    def record_sample(self, endpoint: TrackedEndpoint, load: float, latency: float) -> None:
        """Take in an attempt that was sent at this load and took `latency` mean latencies."""
        endpoint.latency_sum = endpoint.latency_sum * SAMPLE_FADE + latency
        endpoint.load_sum = endpoint.load_sum * SAMPLE_FADE + load + 1
        self.mean_load.add(load + 1, MEAN_LOAD_SAMPLES)

    def fade_samples(self, span: float) -> None:
        """Let samples fade for `span` seconds.

        What is believed of an endpoint that gets no requests must not leave it without requests. Guards
        against a few slow answers, whatever their cause, that stay an endpoint's last ones. Cost: a slow
        endpoint gets a request now and then.
        """
        share = math.exp(-span / SAMPLE_MEMORY_S)
        for endpoint in self.pool.members:
            endpoint.load_sum *= share
            endpoint.latency_sum *= share
