"""Settings of a policy instance: request classes, tenants and the rest, with their checks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "repeatable"  # harmless anywhere
    IDEMPOTENT_WITH_KEY = "by_key"  # dropped by the servers of one group, for a while
    NOT_IDEMPOTENT = "once"  # harmful


def _check(ok: bool, key: str, value: object, instead: str) -> None:
    if not ok:
        raise ValueError(f"setting {key} is out of range: {value!r}; write {instead}")


def _positive(owner: object, prefix: str, **keys: str) -> None:
    """Check fields, each given with the key by which the settings name it."""
    for name, key in keys.items():
        value = getattr(owner, name)
        _check(math.isfinite(value) and value > 0, prefix + key, value, "more than 0")


def _not_negative(owner: object, prefix: str, **keys: str) -> None:
    """Check fields, each given with the key by which the settings name it."""
    for name, key in keys.items():
        value = getattr(owner, name)
        _check(math.isfinite(value) and value >= 0, prefix + key, value, "0 or more")


@dataclass(slots=True)
class RequestClass:
    """A class of requests. Times are in seconds."""

    name: str
    priority_weight: float
    latency_objective: float  # an answer within it has the full worth
    deadline: float  # how long a client waits over all its tries
    late_weight_share: float = 0.0  # share of the worth left to an answer between aim and deadline
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_scope: str = "all"  # BY_KEY: which servers drop a repeat: "all", "zone" or "cell"
    idempotency_window: float = 0.0  # BY_KEY: for how long they do
    stream: bool = False
    objective_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    max_attempts: int = 0  # of a request of the class, if fewer than of any; 0: as many

    def __post_init__(self) -> None:
        _positive(self, f"class {self.name} ", latency_objective="aim", deadline="deadline")
        _not_negative(
            self,
            f"class {self.name} ",
            priority_weight="worth",
            idempotency_window="window",
            objective_stretch="aim_stretch",
            late_weight_share="late_worth",
            max_attempts="attempts",
        )
        _check(
            self.late_weight_share <= 1,
            f"class {self.name} late_worth",
            self.late_weight_share,
            "a share from 0 to 1",
        )
        known = self.idempotency_scope in ("all", "zone", "cell")
        _check(known, f"class {self.name} group", self.idempotency_scope, "all, zone or cell")


@dataclass(slots=True)
class Tenant:
    """A tenant of the service."""

    name: str
    quota_per_s: float  # over all instances of the tier
    share: float = 0.0  # of the service

    def __post_init__(self) -> None:
        _not_negative(self, f"tenant {self.name} ", quota_per_s="quota_per_s", share="share")


@dataclass(slots=True)
class Settings:
    """What an instance is told when it starts. Times are in seconds, prices in points per unit."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    proxy_index: int = 0  # this instance's number among `balancers`
    proxy_count: int = 1
    tier_index: int = 0  # 0: takes clients' requests; more: takes calls of servers
    tier_count: int = 1  # tiers in all
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    quantum: float = 0.0  # events come no more often than this
    polls_discovery: bool = False
    max_poll_interval: float = 10.0
    max_attempts: int = 1
    can_hedge: bool = False
    can_cancel: bool = False
    can_check_health: bool = False
    can_message_peers: bool = False  # messages to other instances
    max_open_requests: int = 0  # open requests that an instance may hold; 0: no limit
    clients_mark_retries: bool = False
    can_send_retry_after: bool = False
    max_retry_after: float = 0.0
    over_quota_weight_share: float = 1.0
    weight_by_work: bool = False
    passes_deadline: bool = False
    load_report_fields: tuple[str, ...] = ()  # of busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps
    load_report_source: str = (
        "probe"  # where load reports come: "answer" (health checks, too), "probe", "none"
    )
    weight_meaning: str = "nominal"  # what a listed weight means: "none", "nominal", "rough" or "live"
    connection_idle_timeout: float = 15.0
    connect_timeout: float = 0.25
    requests_per_connection: int = 1  # at a time
    cpu_per_s: float = 0.0  # CPU seconds of an instance each second; 0: no limit
    cpu_per_request: float = 0.0  # CPU seconds
    goal_whole: float = 1.0  # weights of the parts of the result
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    deadline_slack: float = 0.0
    drain_grace: float = 0.0
    slow_start_initial_share: float = 1.0
    slow_start_window: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_handshake: float = 0.0
    price_connection: float = 0.0
    price_waste: float = 0.0
    price_late_fail: float = 0.0
    price_peer: float = 0.0
    price_discovery: float = 0.0

    def __post_init__(self) -> None:
        self._check_counts_and_choices()
        self._check_numbers()

    def _check_counts_and_choices(self) -> None:
        _check(bool(self.classes), "classes", self.classes, "one class at least")
        _check(self.proxy_count >= 1, "balancers", self.proxy_count, "1 or more")
        _check(self.proxy_index >= 0, "me", self.proxy_index, "0 or more")
        _check(self.tier_index >= 0, "stage", self.tier_index, "0 or more")
        _check(self.max_attempts >= 1, "max_attempts", self.max_attempts, "1 or more")
        _check(
            0 < self.slow_start_initial_share <= 1,
            "cold_from",
            self.slow_start_initial_share,
            "a share over 0, up to 1",
        )
        share = self.over_quota_weight_share
        _check(0 <= share <= 1, "over_share_worth", share, "a share from 0 to 1")
        _check(self.tier_count >= 1, "stages", self.tier_count, "1 or more")
        _check(self.max_open_requests >= 0, "most_held", self.max_open_requests, "0 or more")
        _check(
            self.requests_per_connection >= 1,
            "calls_per_connection",
            self.requests_per_connection,
            "1 or more",
        )
        _check(
            self.load_report_source in ("answer", "probe", "none"),
            "reports",
            self.load_report_source,
            "answer, probe or none",
        )
        known = self.weight_meaning in ("none", "nominal", "rough", "live")
        _check(known, "weights", self.weight_meaning, "none, nominal, rough or live")
        names = [cls.name for cls in self.classes]
        _check(len(set(names)) == len(names), "classes", names, "each name once")

    def _check_numbers(self) -> None:
        _positive(
            self,
            "",
            max_poll_interval="must_ask_within",
            overload_multiple="fall_multiple",
            overload_window="fall_within",
            connect_timeout="connect_timeout",
        )
        _not_negative(
            self,
            "",
            max_retry_after="max_wait_advice",
            connection_idle_timeout="conn_idle",
            deadline_slack="answer_slack",
            drain_grace="drain_grace",
            slow_start_window="cold_for",
            price_cross_zone="price_crossing",
            price_probe="price_probe",
            price_handshake="price_handshake",
            price_connection="price_connection",
            price_waste="price_waste",
            price_late_fail="price_late_fail",
            price_peer="price_peer",
            price_discovery="price_discovery",
            goal_whole="goal_whole",
            goal_window="goal_window",
            goal_class="goal_class",
            goal_tenant="goal_tenant",
            cpu_per_s="cpu_per_s",
            cpu_per_request="cpu_per_call",
            quantum="quantum",
        )
