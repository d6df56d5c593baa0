"""Settings of a Balancer: request classes, tenants and the rest, checked when they are made."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, StrEnum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"  # harmless anywhere
    IDEMPOTENT_WITH_KEY = "idempotent with a key"  # dropped by the endpoints of one scope, for a while
    NOT_IDEMPOTENT = "not idempotent"  # harmful


class IdempotencyScope(StrEnum):
    """Which endpoints recognise the idempotency key of a request that one of them executed."""

    ALL = "all"
    ZONE = "zone"  # those of its zone
    CELL = "cell"  # those of its cell in its zone


class LoadReportSource(StrEnum):
    """Where load reports come from."""

    ANSWER = "answer"  # answers to requests, and health checks, too
    HEALTH_CHECK = "probe"
    NONE = "none"


class WeightMeaning(StrEnum):
    """What the weight of an endpoint in the endpoint list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class InvalidSettingError(ValueError):
    """A setting is out of range.

    Attributes:
        owner: What the field belongs to: "", "class NAME" or "tenant NAME".
        field: The name of the field.
        value: Its value.
        remedy: What to write instead.
    """

    def __init__(self, owner: str, field: str, value: object, remedy: str) -> None:
        name = f"{owner} {field}" if owner else field
        super().__init__(f"setting {name} is out of range: {value!r}; write {remedy}")
        self.owner = owner
        self.field = field
        self.value = value
        self.remedy = remedy


class _Checker:
    """Checks the fields of one object of the settings; a bad one raises InvalidSettingError."""

    def __init__(self, checked: object, owner: str = "") -> None:
        self._checked = checked
        self._owner = owner

    def require(self, is_valid: bool, name: str, remedy: str) -> None:
        if not is_valid:
            raise InvalidSettingError(self._owner, name, getattr(self._checked, name), remedy)

    def positive(self, *names: str) -> None:
        for name in names:
            value = getattr(self._checked, name)
            self.require(math.isfinite(value) and value > 0, name, "more than 0")

    def not_negative(self, *names: str) -> None:
        for name in names:
            value = getattr(self._checked, name)
            self.require(math.isfinite(value) and value >= 0, name, "0 or more")

    def at_least_1(self, *names: str) -> None:
        for name in names:
            self.require(getattr(self._checked, name) >= 1, name, "1 or more")

    def share(self, *names: str) -> None:
        for name in names:
            self.require(0 <= getattr(self._checked, name) <= 1, name, "a share from 0 to 1")

    def member(self, name: str, choices: type[StrEnum]) -> None:
        *others, last = choices
        remedy = f"{', '.join(others)} or {last}"
        self.require(isinstance(getattr(self._checked, name), choices), name, remedy)


@dataclass(slots=True)
class RequestClass:
    """A class of requests. Times are in seconds."""

    name: str
    priority_weight: float  # what serving one of its requests is worth
    latency_objective: float  # an answer within it keeps the whole weight
    deadline: float  # how long a client waits over all its attempts
    late_weight_share: float = 0.0  # of the weight, that an answer between objective and deadline keeps
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL  # with a key
    idempotency_window: float = 0.0  # with a key: for how long endpoints recognise it
    stream: bool = False
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    max_attempts: int = 0  # of a request of the class, if fewer than of any; 0: as many

    def __post_init__(self) -> None:
        check = _Checker(self, f"class {self.name}")
        check.positive("latency_objective", "deadline")
        check.not_negative(
            "priority_weight", "idempotency_window", "objective_stretch", "late_weight_share", "max_attempts"
        )
        check.share("late_weight_share")
        check.member("idempotency_scope", IdempotencyScope)


@dataclass(slots=True)
class Tenant:
    """A tenant of the service."""

    name: str
    quota_per_s: float  # requests, over all proxies of the tier
    share: float = 0.0  # of the service

    def __post_init__(self) -> None:
        _Checker(self, f"tenant {self.name}").not_negative("quota_per_s", "share")


@dataclass(slots=True)
class Settings:
    """What a proxy is told when it starts. Times are in seconds, prices in points per unit."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    proxy_index: int = 0  # this proxy's number among `proxy_count`
    proxy_count: int = 1
    tier_index: int = 0  # 0: takes clients' requests; more: takes requests of services
    tier_count: int = 1
    zones: tuple[str, ...] = ()
    endpoint_types: tuple[str, ...] = ()  # of endpoints
    quantum: float = 0.0  # events come no more often than this
    polls_discovery: bool = False
    max_poll_interval: float = 10.0
    max_attempts: int = 1  # of one request
    can_hedge: bool = False
    can_cancel: bool = False
    can_check_health: bool = False
    can_message_peers: bool = False
    max_open_requests: int = 0  # 0: no limit
    clients_flag_retries: bool = False
    can_send_retry_after: bool = False
    max_retry_after: float = 0.0
    over_quota_weight_share: float = 1.0  # of the weight, that requests over their tenant's quota keep
    weight_by_work: bool = False  # the priority weight is that of a second of work, not of a request
    propagates_deadline: bool = False
    load_report_fields: tuple[str, ...] = ()  # of busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps
    load_report_source: LoadReportSource = LoadReportSource.HEALTH_CHECK
    weight_meaning: WeightMeaning = WeightMeaning.NOMINAL
    connection_idle_timeout: float = 15.0
    connect_timeout: float = 0.25
    requests_per_connection: int = 1  # at a time
    cpu_per_s: float = 0.0  # CPU seconds of a proxy each second; 0: no limit
    cpu_per_request: float = 0.0  # CPU seconds
    goal_overall: float = 1.0  # weights of the parts of the result
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    deadline_slack: float = 0.0
    drain_grace: float = 0.0
    slow_start_initial_share: float = 1.0  # of its capacity, that a starting endpoint has
    slow_start_window: float = 0.0  # after its start, in which an endpoint warms up
    overload_multiple: float = 1.0  # of its capacity, from which a warming endpoint fails
    overload_window: float = 1.0  # over which that is counted
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_handshake: float = 0.0
    price_connection: float = 0.0
    price_waste: float = 0.0
    price_late_fail: float = 0.0
    price_peer: float = 0.0
    price_discovery: float = 0.0

    def __post_init__(self) -> None:
        check = _Checker(self)
        self._check_counts(check)
        check.share("over_quota_weight_share")
        check.member("load_report_source", LoadReportSource)
        check.member("weight_meaning", WeightMeaning)
        self._check_amounts(check)

    def _check_counts(self, check: _Checker) -> None:
        check.require(bool(self.classes), "classes", "one class at least")
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) != len(names):
            raise InvalidSettingError("", "classes", names, "each name once")
        check.at_least_1("proxy_count")
        check.not_negative("proxy_index", "tier_index", "max_open_requests")
        check.at_least_1("max_attempts", "tier_count", "requests_per_connection")

    def _check_amounts(self, check: _Checker) -> None:
        is_share = 0 < self.slow_start_initial_share <= 1
        check.require(is_share, "slow_start_initial_share", "a share over 0, up to 1")
        check.positive("max_poll_interval", "overload_multiple", "overload_window", "connect_timeout")
        check.not_negative(
            "max_retry_after",
            "connection_idle_timeout",
            "deadline_slack",
            "drain_grace",
            "slow_start_window",
            "price_cross_zone",
            "price_probe",
            "price_handshake",
            "price_connection",
            "price_waste",
            "price_late_fail",
            "price_peer",
            "price_discovery",
            "goal_overall",
            "goal_window",
            "goal_class",
            "goal_tenant",
            "cpu_per_s",
            "cpu_per_request",
            "quantum",
        )
