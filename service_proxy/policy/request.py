"""State of a request and of its attempts."""

from __future__ import annotations

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.timing import TIME_TOLERANCE_S

STATUS_IN_FLIGHT = -1  # status of an attempt that has not ended; all of AttemptStatus are 0 or more


class AttemptState:
    """One attempt of a request at an endpoint. Times are in seconds."""

    __slots__ = (
        "counts_to_limit",
        "endpoint",
        "idle_time",
        "is_late",
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
        self.load = load  # of the endpoint when the attempt was sent, in requests
        self.status = STATUS_IN_FLIGHT
        self.counts_to_limit = True  # occupies the concurrency limit
        self.is_late = False  # was counted as late
        self.idle_time = 0.0  # for which its connection had not been used; 0: in use or new
        self.on_new_connection = False
        self.overdue_handled = False  # was taken for overdue, and hedged where its class allows it


class RequestState:
    """A request from its arrival to the end of its last attempt. Times are in seconds."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "candidates",
        "candidates_until",
        "deadline",
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
        self.useful_until = useful_until  # an answer after it is of no use to the client
        self.queue_key = (-weight, arrived_at, request_id)
        self.max_attempts = request_class.max_attempts
        self.attempts: list[AttemptState] = []
        self.in_flight = 0  # attempts
        self.has_ended = False
        self.is_streaming = False
        self.is_queued = False
        self.candidates: list[TrackedEndpoint] | None = None  # health-checked for this request alone
        self.candidates_until = 0.0  # until then the request waits for their load reports

    def awaits_reports(self, now: float) -> bool:
        """Tell whether there is still time for the load reports of the candidates."""
        return now < self.candidates_until - TIME_TOLERANCE_S

    def __lt__(self, other: RequestState) -> bool:
        return self.queue_key < other.queue_key
