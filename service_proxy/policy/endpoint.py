"""State of one endpoint: what the endpoint list says of it and what this proxy has seen of it."""

from __future__ import annotations

import math

from service_proxy.policy.events import EndpointEntry

MIN_WEIGHT = 1e-3  # a listed weight counts as at least this, so that loads can be divided by it


class TrackedEndpoint:
    """An endpoint of the list with its load, latency and health as seen by this proxy. Times in seconds."""

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
        "weight",
        "zone",
    )

    def __init__(self, entry: EndpointEntry, slow_start_tokens: float, sequence: int = 0) -> None:
        """`sequence`: of the endpoints in the order in which they were listed first."""
        self.endpoint_id = entry.endpoint_id
        self.sequence = sequence
        self.slow_start_tokens = slow_start_tokens
        self.apply_entry(entry)
        self.in_flight = 0  # own attempts
        self.ejected_until = 0.0  # 0: not ejected
        self.ejection_count = 0
        self.on_trial = False  # readmitted after an ejection: one request at a time
        self.last_success_at = 0.0
        self.health_check_pending = False
        self.health_checked_at = -math.inf
        self.forget_process()

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Take over what the endpoint list says."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.state = entry.state
        self.weight = max(entry.weight, MIN_WEIGHT)
        self.started_at = entry.started_at
        self.slow_start_at = entry.started_at
        self.awaits_first_request = entry.reinstated
        self.not_before = entry.not_before

    def forget_process(self) -> None:
        """Forget what was learned: another process serves at this address."""
        self.last_response_at = -math.inf  # to a request or a health check, whatever the response was
        self.consecutive_broken = 0  # connections refused or reset since that response
        self.load_sum = 0.0  # faded sum of the loads at which attempts were sent, in requests
        self.latency_sum = 0.0  # faded sum of their latencies, in mean latencies of their classes
        self.error_share = 0.0
        self.failure_shares: dict[str, tuple[float, float]] = {}  # by class: share not served, as of when
        self.typical_load = 0.0
        self.reported_load = 0.0
        self.reported_at = -math.inf
        self.load_change = 0  # own attempts sent less own attempts ended since the load report
        self.consecutive_slow = 0  # attempts that timed out or are overdue
        self.last_used_at = -math.inf  # the last attempt sent or answered
        # While the endpoint takes no further connections:
        self.connection_limit = 0
        self.connection_limit_until = 0.0
        self.failed_connects = 0  # since a connection that served
        self.failed_health_checks = 0
