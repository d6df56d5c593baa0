"""What a Balancer takes in: events, the endpoint list and the ends of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from service_proxy.policy.settings_types import Settings


class AttemptStatus(IntEnum):
    """How an attempt or a health check ended. The numbers are those of the simulator's wire."""

    OK = 0
    ERROR = 1  # the endpoint answered with an error; it may have executed the request
    REJECTED = 2  # the endpoint rejected it unseen: never executed
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never executed
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7  # given up before it was sent


NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    SERVING = "serving"
    DRAINING = "draining"  # finishes what it has and gets nothing new
    REMOVED = "gone"


class ListScope(Enum):
    """What an endpoint list update holds."""

    CACHED = "cached"  # the whole list as last known, maybe out of date
    FULL = "full"
    INCREMENTAL = "incremental"  # only what changed
    FAILED = "failed"  # nothing: a watch or fetch failed, or the watch broke


@dataclass(slots=True)
class EndpointEntry:
    """One endpoint of the list. Times are in seconds."""

    endpoint_id: int
    zone: str = ""
    endpoint_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.SERVING
    weight: float = 1.0
    started_at: float = 0.0  # 0: long ago
    reinstated: bool = False  # an operator put it back and waits to see it in use
    not_before: float = 0.0  # nothing is sent to it before


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list, or what changed of it."""

    scope: ListScope
    entries: list[EndpointEntry] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request came in."""

    request_id: int
    class_name: str
    time_budget: float  # seconds until the client gives this attempt up
    tenant: str = ""
    expected_work: float = 0.0  # in core seconds; 0: unknown
    is_retry: bool = False
    is_write: bool = False
    affinity_key: str = ""  # the subject of the request, where it has one
    max_attempts: int = 0  # that it may have, if fewer than its class; 0: as many
    weight_share: float = 1.0  # of its class's priority weight
    stated_budget: float = 0.0  # seconds given by the client, before this proxy's margins; 0: `time_budget`


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `elapsed` in seconds since it was started."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    status: int  # of AttemptStatus
    elapsed: float
    is_final: bool  # its response went to the client
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """An attempt's response goes on as a stream: it is never repeated and takes no place in the limit."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    elapsed: float = 0.0


@dataclass(slots=True)
class RequestAbandoned:
    """The client left, or its time ran out: it gets no answer any more."""

    request_id: int


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended; `elapsed` in seconds since it was started."""

    endpoint_id: int
    status: int
    elapsed: float
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class TimerFired:
    """A timer that was set with this token is due."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another proxy."""

    sender: int
    data: bytes


@dataclass(slots=True)
class SettingsUpdated:
    """Settings in force from now on. Requests that have arrived keep the class with which they came."""

    settings: Settings


@dataclass(slots=True)
class ProxyCountUpdated:
    """How many proxies share the endpoints, as seen; until it comes, `Settings.proxy_count` holds.

    Who sends it bounds it: the allowances of all proxies by it, added up, stay under 1.5.
    """

    count: int


Event = (
    EndpointListUpdate
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestAbandoned
    | HealthCheckEnded
    | TimerFired
    | PeerMessage
    | SettingsUpdated
    | ProxyCountUpdated
)
