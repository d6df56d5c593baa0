"""Events that a Balancer processes, with the endpoint list and the results of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from service_proxy.policy.settings_types import Settings


class AttemptStatus(IntEnum):
    """Result of an attempt or a health check. The numbers are those of the simulator's protocol."""

    OK = 0
    ERROR = 1  # The endpoint answered with an error and may have executed the request.
    REJECTED = 2  # The endpoint rejected the request without executing it.
    TIMEOUT = 3
    CONNECT_FAILED = 4  # No connection was opened, so the request was never executed.
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7  # The attempt was abandoned before it was sent.


NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class EndpointState(Enum):
    """State of an endpoint in the endpoint list."""

    SERVING = "serving"
    DRAINING = "draining"  # The endpoint finishes its open requests and receives no new ones.
    REMOVED = "gone"


class ListScope(Enum):
    """Content of an endpoint list update."""

    CACHED = "cached"  # Complete list as last known, possibly out of date.
    FULL = "full"
    INCREMENTAL = "incremental"  # Only the entries that changed.
    FAILED = "failed"  # No list, because a watch or a fetch failed or the watch was interrupted.


@dataclass(slots=True)
class EndpointEntry:
    """Entry of one endpoint in the endpoint list. Times are in seconds."""

    endpoint_id: int
    zone: str = ""
    endpoint_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.SERVING
    weight: float = 1.0
    started_at: float = 0.0  # 0 means that the endpoint started long ago.
    reinstated: bool = False  # True if an operator reinstated the endpoint and waits for its first request.
    not_before: float = 0.0  # Time before which no request is sent to the endpoint.


@dataclass(slots=True)
class EndpointListUpdate:
    """Endpoint list, or the entries of the list that changed."""

    scope: ListScope
    entries: list[EndpointEntry] = field(default_factory=list)
    version: int = 0


@dataclass(frozen=True, slots=True)
class EarlierExecution:
    """Execution that may have taken place before the arrival of the request, under the same idempotency key.

    Attributes:
        zone: zone whose endpoints drop a duplicate; None: all endpoints drop one.
        remembered_for: seconds from the arrival for which these endpoints still drop a duplicate.
        cell: cell of that zone whose endpoints drop a duplicate; None: all endpoints of the zone drop one.
    """

    zone: str | None
    remembered_for: float
    cell: int | None = None


@dataclass(slots=True)
class RequestArrived:
    """Arrival of a client's request."""

    request_id: int
    class_name: str
    time_budget: float  # Seconds until the client abandons this attempt.
    tenant: str = ""
    expected_work: float = 0.0  # Expected work in core seconds; 0 means unknown.
    is_retry: bool = False
    is_write: bool = False
    affinity_key: str = ""  # Subject of the request, such as a user or an object; empty if it has none.
    # Upper bound of the attempts; 0 or a value above that of the class has no effect.
    max_attempts: int = 0
    weight_share: float = 1.0  # Share of the priority weight of the class.
    # Time budget stated by the client in seconds, before this proxy subtracts its margins; 0 means that
    # `time_budget` is used.
    stated_budget: float = 0.0
    # Set if an earlier copy of the request may have been sent, by this process or an earlier one.
    earlier_execution: EarlierExecution | None = None


@dataclass(slots=True)
class AttemptEnded:
    """End of an attempt; `elapsed` is in seconds since the start of the attempt."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    status: int  # Value of AttemptStatus.
    elapsed: float
    is_final: bool  # True if the response of the attempt went to the client.
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """Start of a streamed response: the attempt is never repeated and doesn't count toward the limit."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    elapsed: float = 0.0


@dataclass(slots=True)
class RequestAbandoned:
    """Abandonment of a request: the client left or its time budget ran out, so no answer is sent."""

    request_id: int


@dataclass(slots=True)
class HealthCheckEnded:
    """End of a health check; `elapsed` is in seconds since the start of the health check."""

    endpoint_id: int
    status: int
    elapsed: float
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class EndpointProcessReplaced:
    """Connection that shows that another process runs at the address of an endpoint.

    The endpoint list may tell of the new process later, and under another name.
    """

    endpoint_id: int


@dataclass(slots=True)
class TimerFired:
    """Expiry of a timer that was set with this token."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Message from another proxy."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SettingsUpdated:
    """New settings, which apply from now on. Open requests keep the class that they arrived with."""

    settings: Settings


@dataclass(slots=True)
class ProxyCountUpdated:
    """Observed number of proxies that share the endpoints.

    `Settings.proxy_count` applies until the first of these events. The sender bounds the count, so
    that the allowances that all proxies derive from their counts add up to less than 1.5 times the total.
    """

    count: int


Event = (
    EndpointListUpdate
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestAbandoned
    | HealthCheckEnded
    | EndpointProcessReplaced
    | TimerFired
    | PeerMessage
    | SettingsUpdated
    | ProxyCountUpdated
)
