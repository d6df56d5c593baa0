"""Slow start: an endpoint that is warming up gets a share of the requests that grows with its age.

A token bucket per endpoint limits the attempts of one proxy to its share.
"""

from __future__ import annotations

from service_proxy.policy.concurrency_limit import RATE_MEMORY_S
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.endpoint_pool import EndpointPool
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.timing import CONTROL_INTERVAL_S

# Share of the load at which a warming endpoint fails that all proxies together may send.
OVERLOAD_SHARE = 0.5
# Decay time of the highest send rate of a proxy: long compared with a slow-start window.
PEAK_RATE_MEMORY_S = 60.0


class SlowStart(SettingsUser):
    """Capacity of warming endpoints, and token buckets that keep all proxies together below it."""

    def __init__(self, settings: Settings, pool: EndpointPool) -> None:
        super().__init__(settings)
        self.pool = pool
        # Configured number of proxies divided by the present number; a factor on the share of this proxy.
        self.allowance = 1.0
        self.sends = 0  # Attempts since the last control step.
        self.send_rate = 0.0  # Attempts per second.
        self.peak_send_rate = 0.0

    def capacity_share(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the share of its full capacity that an endpoint has at this time; 1 after the warm-up.

        The share grows linearly over the slow-start window. It is a lower bound, because endpoints warm up
        linearly or faster.
        """
        window = self.settings.slow_start_window
        age = now - endpoint.slow_start_at
        if endpoint.slow_start_at <= 0 or age >= window:
            return 1.0
        initial_share = self.settings.slow_start_initial_share
        return initial_share + (1 - initial_share) * max(0.0, age) / window

    def total_capacity(self, now: float) -> float:
        """Return the present capacity of the pool in units of weight, including ejected endpoints."""
        return sum(endpoint.weight * self.capacity_share(endpoint, now) for endpoint in self.pool.members)

    def record_send(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Count an attempt, and remove a token if the endpoint is warming up."""
        self.sends += 1
        if self.capacity_share(endpoint, now) < 1:
            endpoint.slow_start_tokens -= 1

    def update_send_rate(self, span: float) -> None:
        """Update the send rate after a control step of `span` seconds."""
        self.send_rate += (self.sends / span - self.send_rate) * min(1.0, span / RATE_MEMORY_S)
        self.sends = 0

    def refill_tokens(self, now: float, span: float) -> None:
        """Refill the token buckets of warming endpoints for the last `span` seconds.

        A warming endpoint looks idle to all proxies at once. Each proxy may send at most its fair share of
        the present capacity of the endpoint, so that the load from all proxies stays below the load at which
        the endpoint fails, in any overload window (`Settings.overload_window`).
        """
        total_weight = sum(endpoint.weight for endpoint in self.pool.members)
        share = OVERLOAD_SHARE * self.settings.overload_multiple * self.allowance
        # The peak send rate is used because the present rate is low while a fleet in a rollout warms up. A
        # low rate would allow even fewer attempts, and the fleet would not warm up.
        self.peak_send_rate = max(self.send_rate, self.peak_send_rate * (1 - span / PEAK_RATE_MEMORY_S))
        for endpoint in self.pool.members:
            capacity_share = self.capacity_share(endpoint, now)
            if capacity_share < 1:
                rate = self.peak_send_rate * endpoint.weight / total_weight * capacity_share * share
                bucket_size = 1.0 + rate * CONTROL_INTERVAL_S
                endpoint.slow_start_tokens = min(bucket_size, endpoint.slow_start_tokens + rate * span)
