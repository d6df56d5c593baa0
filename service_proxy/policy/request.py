"""State of a request and of its attempts."""

from __future__ import annotations

import math

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.events import EarlierExecution
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.timing import TIME_TOLERANCE_S

STATUS_IN_FLIGHT = -1  # Status of an attempt that has not ended; all values of AttemptStatus are 0 or more.


class AttemptState:
    """One attempt of a request at an endpoint. Times are in seconds."""

    __slots__ = (
        "counts_to_limit",
        "endpoint",
        "idle_time",
        "is_late",
        "is_scope_known",
        "load",
        "number",
        "on_new_connection",
        "overdue_handled",
        "request",
        "sent_at",
        "status",
    )

    def __init__(
        self, request: RequestState, number: int, endpoint: TrackedEndpoint, sent_at: float, load: float
    ) -> None:
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.load = load  # Estimated load of the endpoint when the attempt was sent, in requests.
        self.status = STATUS_IN_FLIGHT
        self.counts_to_limit = True  # True while the attempt counts toward the concurrency limit.
        self.is_late = False  # True after the attempt was reported to the concurrency limiter as late.
        # Idle time of the connection before the attempt; 0 if the connection was in use or new.
        self.idle_time = 0.0
        self.on_new_connection = False
        # Whether it was known which endpoints drop a duplicate of what this attempt executes.
        self.is_scope_known = sent_at >= endpoint.unverified_until
        # True after the attempt was counted as overdue, or hedged or cancelled because its class allows a
        # repeat.
        self.overdue_handled = False


class RequestState:
    """A request from its arrival to the end of its last attempt. Times are in seconds."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "candidates",
        "candidates_until",
        "deadline",
        "earlier_execution",
        "earlier_forgotten_at",
        "has_ended",
        "in_flight",
        "is_queued",
        "is_streaming",
        "max_attempts",
        "queue_key",
        "request_class",
        "request_id",
        "useful_until",
        "weight",
    )

    def __init__(
        self,
        request_id: int,
        request_class: RequestClassState,
        weight: float,
        arrived_at: float,
        deadline: float,
        useful_until: float,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.weight = weight
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.useful_until = useful_until  # Time after which an answer is of no use to the client.
        self.queue_key = (-weight, arrived_at, request_id)
        self.max_attempts = request_class.max_attempts
        self.attempts: list[AttemptState] = []
        self.in_flight = 0  # Attempts in flight.
        self.has_ended = False
        self.is_streaming = False
        self.is_queued = False
        # Endpoints that get a health check for this request alone; None before the choice.
        self.candidates: list[TrackedEndpoint] | None = None
        # Time until which the request waits for the load reports of its candidates.
        self.candidates_until = 0.0
        # Execution that may have taken place before the arrival, and when the endpoints no longer drop a
        # duplicate of it.
        self.earlier_execution: EarlierExecution | None = None
        self.earlier_forgotten_at = math.inf

    def awaits_reports(self, now: float) -> bool:
        """Return whether the request may still wait for the load reports of its candidates."""
        return now < self.candidates_until - TIME_TOLERANCE_S

    def __lt__(self, other: RequestState) -> bool:
        return self.queue_key < other.queue_key
