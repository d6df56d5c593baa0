"""Selection of the endpoint with the lowest expected cost for an attempt."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from service_proxy.policy.connections import ConnectionTracker
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_load import EndpointLoads
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.events import EndpointState
from service_proxy.policy.outlier_detection import OutlierDetector
from service_proxy.policy.request import RequestState
from service_proxy.policy.retry_guard import RetryGuard
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.slow_start import SlowStart

PRIOR_SAMPLES = 8.0  # Weight of the prior capacity of an endpoint, in samples.
# Cost of an attempt in another zone at a cross-zone price of 1, in latency objectives.
CROSS_ZONE_OBJECTIVES = 3.0
# Cost, in mean latencies, of an attempt that certainly fails or that returns to an endpoint tried before.
FAILURE_COST = 8.0
TIE_BREAK_SHARE = 0.01  # Random share of the cost, so that proxies choose differently among equal endpoints.


class Selection(NamedTuple):
    """Selected endpoint, with the estimated number of requests that the endpoint is executing."""

    endpoint: TrackedEndpoint
    load: float


class EndpointSelector(SettingsUser):
    """Selector that compares the endpoints of the pool for a request.

    `select` loops over the whole pool for each attempt, so values that the loop uses are looked up
    before the loop.
    """

    def __init__(
        self,
        settings: Settings,
        pool: EndpointPool,
        loads: EndpointLoads,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        connections: ConnectionTracker,
        random: Random,
    ) -> None:
        super().__init__(settings)
        self.pool = pool
        self.loads = loads
        self.slow_start = slow_start
        self.outliers = outliers
        self.connections = connections
        self.random = random

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        super().apply_settings(settings)
        self._max_objective = max(request_class.latency_objective for request_class in settings.classes)

    def is_usable(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the endpoint may receive an attempt of any request."""
        if endpoint.state is not EndpointState.SERVING or endpoint.ejected_until:
            return False
        if now < endpoint.not_before:
            return False
        in_flight = endpoint.in_flight
        if endpoint.on_trial and in_flight:
            return False
        if in_flight >= endpoint.connection_limit and now < endpoint.connection_limit_until:
            return False
        return endpoint.slow_start_tokens >= 1 or self.slow_start.capacity_share(endpoint, now) >= 1

    def has_endpoint_for(self, request: RequestState, guard: RetryGuard, now: float) -> bool:
        """Return whether the guard allows an attempt at any endpoint, whether or not it is usable now."""
        return any(guard.can_send(request, endpoint, now) for endpoint in self.pool.members)

    def select(self, request: RequestState, guard: RetryGuard, now: float) -> Selection | None:
        """Return the usable endpoint of lowest cost (in mean latencies) that the guard allows, or None."""
        estimate_load = self.loads.estimate
        random = self.random.random
        zone = self.settings.zone
        max_reuse_idle = self.connections.max_reuse_idle
        opening_cost = self.connections.opening_cost
        cross_zone_cost = self._cross_zone_cost()
        prior_load = self._prior_load()
        tried = {attempt.endpoint.endpoint_id for attempt in request.attempts}
        class_name = request.request_class.name
        pool_failure_share = self.outliers.pool_failure_share(class_name, now)
        best: TrackedEndpoint | None = None
        best_cost = math.inf
        best_load = math.inf
        for endpoint in [e for e in self.pool.members if self.is_usable(e, now)]:
            load = estimate_load(endpoint, now)
            cost = (load + 1) * (PRIOR_SAMPLES + endpoint.latency_sum)
            cost /= prior_load * endpoint.weight + endpoint.load_sum
            if endpoint.slow_start_at > 0:
                cost /= self.slow_start.capacity_share(endpoint, now)
            if endpoint.zone != zone:
                cost += cross_zone_cost
            if not endpoint.in_flight and now - endpoint.last_used_at > max_reuse_idle:
                cost += opening_cost
            if endpoint.endpoint_id in tried:
                cost += FAILURE_COST
            if class_name in endpoint.failure_shares:
                excess = self.outliers.failure_share(endpoint, class_name, now) - pool_failure_share
                cost += FAILURE_COST * max(0.0, excess)
            cost *= 1 + TIE_BREAK_SHARE * random()
            if endpoint.awaits_first_request:
                # The operator awaits this request, and would take a delay by slow start as a failure.
                cost = 0.0
            if cost < best_cost and guard.can_send(request, endpoint, now):
                best = endpoint
                best_cost = cost
                best_load = load
        return None if best is None else Selection(best, best_load)

    def _prior_load(self) -> float:
        """Return the load sum per unit of weight that is assumed for an endpoint without samples."""
        mean_weight = self.pool.mean_weight if self.pool.members else 1.0
        return PRIOR_SAMPLES * self.loads.mean_load.value / mean_weight

    def _cross_zone_cost(self) -> float:
        """Return the additional cost of an endpoint in another zone, in mean latencies."""
        price = CROSS_ZONE_OBJECTIVES * self.settings.price_cross_zone
        return price * self._max_objective / self.loads.mean_latency
