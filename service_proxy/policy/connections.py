"""Connections to endpoints: which idle ones are reused, what a new one costs, and who takes no more."""

from __future__ import annotations

import math

from service_proxy.policy.actions import Action, CloseIdleConnections
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.request import AttemptState
from service_proxy.policy.running_mean import RunningMean
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

MIN_REUSE_IDLE_S = 0.2  # a connection used within it is not taken to be lost for lack of use
REUSE_IDLE_SHARE = 0.7  # share of the age at which an idle connection was lost up to which others are reused
REUSE_IDLE_DOUBLING_S = 15.0  # in which the age up to which they are reused doubles again
MAX_OPENING_COST = 1.5  # mean latencies that a new connection adds, above which a doubtful old one is used
MIN_OPENING_COST = 0.3  # mean latencies by which an endpoint with an open connection is preferred at least
OPENING_SAMPLES = 30  # attempts over which new and open connections are compared
MAX_FAILED_CONNECTS = 2  # failed connects, none good between, after which a live endpoint takes no more
CONNECTION_LIMIT_S = 5.0  # for which an endpoint that takes no more gets no further connection


class ConnectionTracker(SettingsUser):
    """State of the connections to all endpoints as far as the policy has to know it."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        super().__init__(settings)
        self.actions = actions
        self.max_reuse_idle = (
            settings.connection_idle_timeout
        )  # seconds without use, up to which one is reused
        self.open_latency = RunningMean(1.0)  # mean latencies of a request on an open connection
        self.new_latency = RunningMean(1.0)  # the same on a new one

    def idle_time(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Return the seconds for which the connection was not used; 0: it is in use, or there is none."""
        age = now - endpoint.last_used_at
        return 0.0 if endpoint.in_flight or age >= self.settings.connection_idle_timeout else age

    def is_open(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Tell whether a connection to the endpoint is in use or can be reused."""
        return endpoint.in_flight > 0 or now - endpoint.last_used_at <= self.max_reuse_idle

    @property
    def opening_cost(self) -> float:
        """Mean latencies that a new connection adds, as seen.

        Guards against slow handshakes, whatever their cause: requests keep to open connections. Cost: they
        crowd fewer endpoints, so it is only added to the load. Few samples err by a few tenths.
        """
        return max(MIN_OPENING_COST, self.new_latency.value - self.open_latency.value)

    def prepare(self, endpoint: TrackedEndpoint, now: float) -> float:
        """Close connections that were idle for too long; return the idle time of the one to be used."""
        idle = self.idle_time(endpoint, now)
        if idle > self.max_reuse_idle and self.opening_cost < MAX_OPENING_COST:
            self.actions.append(CloseIdleConnections(endpoint.endpoint_id))
            endpoint.last_used_at = -math.inf
            return 0.0
        return idle

    def needs_new(self, endpoint: TrackedEndpoint, now: float) -> bool:
        """Tell whether the next attempt opens a connection."""
        return endpoint.last_used_at < now - self.settings.connection_idle_timeout

    def record_latency(self, attempt: AttemptState, latency: float) -> None:
        """Take in what an attempt took, in mean latencies."""
        mean = self.new_latency if attempt.on_new_connection else self.open_latency
        mean.add(latency, OPENING_SAMPLES)

    def lost_while_idle(self, attempt: AttemptState) -> bool:
        """Tell whether an attempt failed because its connection was lost while idle; reuse others less.

        Something between here and the endpoint drops idle connections unseen: what is sent on one is reset at
        once or never answered. That is the connection's fault: the endpoint stays, and connections as old are
        closed before they are used. Cost: if the endpoint was at fault after all, it gets one more request,
        and some good connections are opened anew.
        """
        if attempt.idle_time < MIN_REUSE_IDLE_S or attempt.endpoint.last_success_at >= attempt.sent_at:
            return False
        reusable = min(self.max_reuse_idle, REUSE_IDLE_SHARE * attempt.idle_time)
        self.max_reuse_idle = max(MIN_REUSE_IDLE_S, reusable)
        return True

    def recover_reuse(self, span: float) -> None:
        """Let the age up to which connections are reused grow again for `span` seconds."""
        grown = self.max_reuse_idle * (1 + span / REUSE_IDLE_DOUBLING_S)
        self.max_reuse_idle = min(self.settings.connection_idle_timeout, grown)

    def record_failed_connect(self, endpoint: TrackedEndpoint, now: float) -> None:
        """Take in a connect that failed at an endpoint which answers other attempts.

        It takes no further connection: ejecting it would push its requests, and connections, onto the rest.
        What is open is used. One failure may be chance.
        """
        endpoint.failed_connects += 1
        if endpoint.failed_connects >= MAX_FAILED_CONNECTS:
            endpoint.connection_limit = max(1, endpoint.in_flight)
            endpoint.connection_limit_until = now + CONNECTION_LIMIT_S
