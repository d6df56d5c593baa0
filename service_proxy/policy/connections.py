"""Connections to endpoints: reuse, cost of opening, and endpoints that accept no further connections."""

from __future__ import annotations

import math

from service_proxy.policy.actions import Action, CloseIdleConnections
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.request import AttemptState
from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

# Idle time below which a connection is always reused and a failure is not attributed to the idle time.
MIN_REUSE_IDLE_S = 0.2
# Share of the idle time of a lost connection up to which other connections are reused.
REUSE_IDLE_SHARE = 0.7
REUSE_IDLE_DOUBLING_S = 15.0  # Time in which the longest reusable idle time doubles after a loss reduced it.
# Cost of a new connection, in mean latencies, from which an open connection is used even if its idle time
# exceeds the longest reusable idle time.
MAX_OPENING_COST = 1.5
# Lower bound of the cost of a new connection, in mean latencies. Endpoints with an open connection are
# preferred by this cost.
MIN_OPENING_COST = 0.3
OPENING_SAMPLES = 30  # Attempts over which the latencies on new and on open connections are averaged.
# Failed connects without a success in between after which a live endpoint accepts no more connections.
MAX_FAILED_CONNECTS = 2
# Time for which an endpoint that accepts no more connections gets no further connection.
CONNECTION_LIMIT_S = 5.0


class ConnectionTracker(SettingsUser):
    """Tracker of the connection state that the policy needs, for all endpoints."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        super().__init__(settings)
        self.actions = actions
        # Longest idle time of a reused connection, in seconds.
        self.max_reuse_idle = settings.connection_idle_timeout
        # Mean latency of requests on open connections, in mean latencies of their classes.
        self.open_latency = RunningMean(1.0)
        # Mean latency of requests on new connections, in mean latencies of their classes.
        self.new_latency = RunningMean(1.0)

    def idle_time(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the idle seconds of the connection to an endpoint; 0 if it is in use or missing."""
        age = now - endpoint.last_used_at
        return 0.0 if endpoint.in_flight or age >= self.settings.connection_idle_timeout else age

    def is_open(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether a connection to the endpoint is in use or can be reused."""
        return endpoint.in_flight > 0 or now - endpoint.last_used_at <= self.max_reuse_idle

    @property
    def opening_cost(self) -> float:
        """Measured latency that a new connection adds, in mean latencies.

        If handshakes are slow, whatever the cause, this cost keeps requests on open connections. Requests
        then concentrate on fewer endpoints. The cost is therefore only added to the cost that follows from
        the load of an endpoint, and excludes no endpoint. With few samples the error is a few tenths of a
        mean latency.
        """
        return max(MIN_OPENING_COST, self.new_latency.value - self.open_latency.value)

    def prepare_connection(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Close connections that were idle for too long and return the idle time of the connection to use."""
        idle = self.idle_time(endpoint, now)
        if idle > self.max_reuse_idle and self.opening_cost < MAX_OPENING_COST:
            self.actions.append(CloseIdleConnections(endpoint.endpoint_id))
            endpoint.last_used_at = -math.inf
            return 0.0
        return idle

    def needs_new_connection(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the next attempt at the endpoint opens a connection."""
        return endpoint.last_used_at < now - self.settings.connection_idle_timeout

    def record_latency(self, attempt: AttemptState, latency: float) -> None:
        """Record the latency of an attempt, in mean latencies of its class."""
        mean = self.new_latency if attempt.on_new_connection else self.open_latency
        mean.add(latency, OPENING_SAMPLES)

    def detect_idle_loss(self, attempt: AttemptState) -> bool:
        """Return whether an attempt failed because its connection was lost while idle; if so, limit reuse.

        A device between the proxy and the endpoint can drop idle connections without notice. A request on
        such a connection is reset at once or never answered. The connection is at fault, so the endpoint
        stays in use, and other connections that were idle for as long are closed before use. Cost: if the
        endpoint was at fault, it receives one more request, and some working connections are replaced.
        """
        if attempt.idle_time < MIN_REUSE_IDLE_S or attempt.endpoint.last_success_at >= attempt.sent_at:
            return False
        reusable = min(self.max_reuse_idle, REUSE_IDLE_SHARE * attempt.idle_time)
        self.max_reuse_idle = max(MIN_REUSE_IDLE_S, reusable)
        return True

    def raise_max_reuse_idle(self, span: float) -> None:
        """Raise the longest reusable idle time again for `span` elapsed seconds."""
        grown = self.max_reuse_idle * (1 + span / REUSE_IDLE_DOUBLING_S)
        self.max_reuse_idle = min(self.settings.connection_idle_timeout, grown)

    def record_failed_connect(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Record a failed connect to an endpoint that answers other attempts.

        The endpoint accepts no further connections. An ejection would move its requests and connections to
        the other endpoints, so its open connections stay in use. A single failure may be chance.
        """
        endpoint.failed_connects += 1
        if endpoint.failed_connects >= MAX_FAILED_CONNECTS:
            endpoint.connection_limit = max(1, endpoint.in_flight)
            endpoint.connection_limit_until = now + CONNECTION_LIMIT_S
