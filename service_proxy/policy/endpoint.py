"""State of one endpoint: its entry in the endpoint list and the observations of this proxy."""

from __future__ import annotations

import math

from service_proxy.policy.events import EndpointEntry

MIN_WEIGHT = 1e-3  # Lower bound of a listed weight, so that loads can be divided by the weight.


class TrackedEndpoint:
    """Listed endpoint with its load, latency and health as observed by this proxy. Times are in seconds."""

    __slots__ = (
        "awaits_first_request",
        "cell",
        "connection_limit",
        "connection_limit_until",
        "consecutive_broken",
        "consecutive_slow",
        "ejected_until",
        "ejection_count",
        "endpoint_id",
        "error_share",
        "failed_connects",
        "failed_health_checks",
        "failure_shares",
        "health_check_pending",
        "health_checked_at",
        "in_flight",
        "last_response_at",
        "last_success_at",
        "last_used_at",
        "latency_sum",
        "load_change",
        "load_sum",
        "not_before",
        "on_trial",
        "reported_at",
        "reported_load",
        "sequence",
        "slow_start_at",
        "slow_start_tokens",
        "started_at",
        "state",
        "typical_load",
        "unverified_until",
        "weight",
        "zone",
    )

    def __init__(self, entry: EndpointEntry, slow_start_tokens: float, sequence: int = 0) -> None:
        """Create the state of a listed endpoint; `sequence` is its number in the order of first listing."""
        self.endpoint_id = entry.endpoint_id
        self.sequence = sequence
        self.slow_start_tokens = slow_start_tokens
        self.apply_entry(entry)
        self.in_flight = 0  # Attempts of this proxy that are in flight.
        self.ejected_until = 0.0  # Time when the ejection ends; 0 if not ejected.
        self.ejection_count = 0
        # True from a readmission to the next success or ejection; one request at a time is then sent.
        self.on_trial = False
        self.last_success_at = 0.0
        self.health_check_pending = False
        self.health_checked_at = -math.inf
        # Time until which the zone and the cell may be those of an earlier process at the address.
        self.unverified_until = 0.0
        self.reset_process_state()

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Apply an entry of the endpoint list."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.started_at = entry.started_at
        self.slow_start_at = entry.started_at
        self.awaits_first_request = entry.reinstated
        self.not_before = entry.not_before

    def reset_process_state(self) -> None:
        """Reset the observations of a new endpoint, or of an endpoint whose process was replaced."""
        # Time of the last response of any kind to a request or a health check.
        self.last_response_at = -math.inf
        self.consecutive_broken = 0  # Connections refused or reset since the last response.
        self.load_sum = 0.0  # Decaying sum of the loads at which attempts were sent, in requests.
        # Decaying sum of the latencies of attempts, in mean latencies of their classes.
        self.latency_sum = 0.0
        self.error_share = 0.0
        # By class: share of requests failed or rejected, and the time of the last update.
        self.failure_shares: dict[str, tuple[float, float]] = {}
        self.typical_load = 0.0
        self.reported_load = 0.0
        self.reported_at = -math.inf
        self.load_change = 0  # Own attempts sent minus own attempts ended since the last load report.
        self.consecutive_slow = 0  # Consecutive attempts that timed out or are overdue.
        self.last_used_at = -math.inf  # Time of the last attempt that was sent or answered.
        # Upper bound of the attempts in flight, and the time when the bound expires, after the endpoint
        # accepted no further connections.
        self.connection_limit = 0
        self.connection_limit_until = 0.0
        self.failed_connects = 0  # Failed connects since the last new connection that served a request.
        self.failed_health_checks = 0
