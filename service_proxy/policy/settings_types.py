"""Settings of a Balancer: request classes, tenants and all other values, validated at construction."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, StrEnum


class Idempotency(Enum):
    """Effect of a second execution of a request."""

    IDEMPOTENT = "idempotent"  # A second execution is harmless at any endpoint.
    # The endpoints of one scope drop a second execution for a limited time.
    IDEMPOTENT_WITH_KEY = "idempotent with a key"
    NOT_IDEMPOTENT = "not idempotent"  # A second execution is harmful.


class IdempotencyScope(StrEnum):
    """Endpoints that recognise the idempotency key of a request that one of them executed."""

    ALL = "all"
    ZONE = "zone"  # All endpoints of the same zone.
    CELL = "cell"  # All endpoints of the same cell in the same zone.


class LoadReportSource(StrEnum):
    """Source of the load reports."""

    ANSWER = "answer"  # Answers to requests, and health checks as well.
    HEALTH_CHECK = "probe"
    NONE = "none"


class WeightMeaning(StrEnum):
    """Meaning of the weight of an endpoint in the endpoint list."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class InvalidSettingError(ValueError):
    """Error for a setting that is out of range.

    Attributes:
        owner: Object that the field belongs to: "", "class NAME" or "tenant NAME".
        field: Name of the field.
        value: Value of the field.
        remedy: Values to write instead.
    """

    def __init__(self, owner: str, field: str, value: object, remedy: str) -> None:
        name = f"{owner} {field}" if owner else field
        super().__init__(f"setting {name} is out of range: {value!r}; write {remedy}")
        self.owner = owner
        self.field = field
        self.value = value
        self.remedy = remedy


class _Checker:
    """Checker for the fields of one settings object; an invalid field raises InvalidSettingError."""

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
    """Settings of a request class. Times are in seconds."""

    name: str
    priority_weight: float  # Value of serving one request of the class.
    latency_objective: float  # An answer within this time keeps the whole weight.
    deadline: float  # Time that a client waits over all its attempts.
    late_weight_share: float = 0.0  # Share of the weight that an answer between objective and deadline keeps.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    # Used only for requests with an idempotency key.
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window: float = 0.0  # Time for which endpoints recognise an idempotency key.
    stream: bool = False
    # Multiple of the request's own work that is added to the latency objective.
    objective_stretch: float = 0.0
    # Upper bound of the attempts per request; 0 or a value above Settings.max_attempts has no effect.
    max_attempts: int = 0

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
    """Tenant of the service, with its quota."""

    name: str
    quota_per_s: float  # Requests per second over all proxies of the tier.
    share: float = 0.0  # Share of the service for this tenant; the shares of all tenants add up to at most 1.

    def __post_init__(self) -> None:
        _Checker(self, f"tenant {self.name}").not_negative("quota_per_s", "share")


@dataclass(slots=True)
class Settings:
    """Settings that a proxy receives when it starts. Times are in seconds, prices in points per unit."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    proxy_index: int = 0  # Index of this proxy among `proxy_count` proxies.
    proxy_count: int = 1
    # 0 if the proxy receives requests of clients; higher if it receives requests of services.
    tier_index: int = 0
    tier_count: int = 1
    zones: tuple[str, ...] = ()
    endpoint_types: tuple[str, ...] = ()
    quantum: float = 0.0  # Lower bound of the time between two events.
    polls_discovery: bool = False
    max_poll_interval: float = 10.0
    max_attempts: int = 1  # Upper bound of the attempts of one request.
    can_hedge: bool = False
    can_cancel: bool = False
    can_check_health: bool = False
    can_message_peers: bool = False
    max_open_requests: int = 0  # 0 means no limit.
    clients_flag_retries: bool = False
    can_send_retry_after: bool = False
    max_retry_after: float = 0.0
    # Share of the weight that requests over the quota of their tenant keep.
    over_quota_weight_share: float = 1.0
    # True if the priority weight is that of one second of work instead of one request.
    weight_by_work: bool = False
    propagates_deadline: bool = False
    # Any of busy_reqs, pending, cpu_share, svc_ms, served_ps and failed_ps.
    load_report_fields: tuple[str, ...] = ()
    load_report_source: LoadReportSource = LoadReportSource.HEALTH_CHECK
    weight_meaning: WeightMeaning = WeightMeaning.NOMINAL
    connection_idle_timeout: float = 15.0
    connect_timeout: float = 0.25
    requests_per_connection: int = 1  # Requests that one connection carries at a time.
    cpu_per_s: float = 0.0  # CPU seconds of a proxy per second; 0 means no limit.
    cpu_per_request: float = 0.0  # CPU seconds of a proxy per request.
    # Weights of the parts of the result: overall, worst window, worst class and worst tenant.
    goal_overall: float = 1.0
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    deadline_slack: float = 0.0
    drain_grace: float = 0.0
    slow_start_initial_share: float = 1.0  # Share of its capacity that a starting endpoint has.
    slow_start_window: float = 0.0  # Time after its start in which an endpoint warms up.
    overload_multiple: float = 1.0  # Multiple of its capacity from which a warming endpoint fails.
    overload_window: float = 1.0  # Time over which the load of a warming endpoint is counted.
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
        check.require(bool(self.classes), "classes", "at least one class")
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) != len(names):
            raise InvalidSettingError("", "classes", names, "each class name once")
        check.at_least_1("proxy_count")
        check.not_negative("proxy_index", "tier_index", "max_open_requests")
        check.at_least_1("max_attempts", "tier_count", "requests_per_connection")

    def _check_amounts(self, check: _Checker) -> None:
        is_share = 0 < self.slow_start_initial_share <= 1
        check.require(is_share, "slow_start_initial_share", "a share above 0, up to 1")
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
