"""What goes into and comes out of a Balancer: settings, events and actions, independent of any wire."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second execution of a request would do."""

    REPEATABLE = "repeatable"  # harmless anywhere
    BY_KEY = "by_key"  # dropped by the servers of one group, for a while
    ONCE = "once"  # harmful


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # turned away unseen: never ran
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never ran
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # never sent


NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class ServerState(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    SAVED = "saved"  # the whole list as last held, maybe out of date
    FULL = "full"
    INCREMENTAL = "incremental"
    FAILED = "failed"  # a watch or fetch failed, or the watch broke


def _check(ok: bool, key: str, value: object, instead: str) -> None:
    if not ok:
        raise ValueError(f"setting {key} is out of range: {value!r}; write {instead}")


def _positive(owner: object, prefix: str, *keys: str) -> None:
    for key in keys:
        value = getattr(owner, key)
        _check(math.isfinite(value) and value > 0, prefix + key, value, "more than 0")


def _not_negative(owner: object, prefix: str, *keys: str) -> None:
    for key in keys:
        value = getattr(owner, key)
        _check(math.isfinite(value) and value >= 0, prefix + key, value, "0 or more")


@dataclass(slots=True)
class RequestClass:
    """A class of requests. Times are in seconds."""

    name: str
    worth: float
    aim: float  # an answer within it has the full worth
    deadline: float  # how long a client waits over all its tries
    late_worth: float = 0.0  # share of the worth left to an answer between aim and deadline
    effect: Effect = Effect.REPEATABLE
    group: str = "all"  # BY_KEY: which servers drop a repeat: "all", "zone" or "cell"
    window: float = 0.0  # BY_KEY: for how long they do
    stream: bool = False
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    attempts: int = 0  # of a request of the class, if fewer than of any; 0: as many

    def __post_init__(self) -> None:
        _positive(self, f"class {self.name} ", "aim", "deadline")
        _not_negative(self, f"class {self.name} ", "worth", "window", "aim_stretch", "late_worth", "attempts")
        _check(self.late_worth <= 1, f"class {self.name} late_worth", self.late_worth, "a share from 0 to 1")
        known = self.group in ("all", "zone", "cell")
        _check(known, f"class {self.name} group", self.group, "all, zone or cell")


@dataclass(slots=True)
class Tenant:
    name: str
    quota_per_s: float  # over all instances of the tier
    share: float = 0.0  # of the service

    def __post_init__(self) -> None:
        _not_negative(self, f"tenant {self.name} ", "quota_per_s", "share")


@dataclass(slots=True)
class Settings:
    """What an instance is told when it starts. Times are in seconds, prices in points per unit."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    me: int = 0  # this instance's number among `balancers`
    balancers: int = 1
    stage: int = 0  # 0: takes clients' requests; more: takes calls of servers
    stages: int = 1  # tiers in all
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    quantum: float = 0.0  # events come no more often than this
    ask_for_list: bool = False
    must_ask_within: float = 10.0
    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False  # messages to other instances
    most_held: int = 0  # open requests that an instance may hold; 0: no limit
    clients_mark_retries: bool = False
    may_advise_wait: bool = False
    max_wait_advice: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    passes_deadline: bool = False
    report_names: tuple[str, ...] = ()  # of busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps
    reports: str = "probe"  # where load reports come: "answer" (with probes too), "probe" or "none"
    weights: str = "nominal"  # what a listed weight means: "none", "nominal", "rough" or "live"
    conn_idle: float = 15.0
    connect_timeout: float = 0.25
    calls_per_connection: int = 1  # at a time
    cpu_per_s: float = 0.0  # CPU seconds of an instance each second; 0: no limit
    cpu_per_call: float = 0.0  # CPU seconds
    goal_whole: float = 1.0  # weights of the parts of the result
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_from: float = 1.0
    cold_for: float = 0.0
    fall_multiple: float = 1.0
    fall_within: float = 1.0
    price_crossing: float = 0.0
    price_probe: float = 0.0
    price_handshake: float = 0.0
    price_connection: float = 0.0
    price_waste: float = 0.0
    price_late_fail: float = 0.0
    price_peer: float = 0.0
    price_discovery: float = 0.0

    def __post_init__(self) -> None:
        _check(bool(self.classes), "classes", self.classes, "one class at least")
        _check(self.balancers >= 1, "balancers", self.balancers, "1 or more")
        _check(self.me >= 0, "me", self.me, "0 or more")
        _check(self.stage >= 0, "stage", self.stage, "0 or more")
        _check(self.max_attempts >= 1, "max_attempts", self.max_attempts, "1 or more")
        _check(0 < self.cold_from <= 1, "cold_from", self.cold_from, "a share over 0, up to 1")
        share = self.over_share_worth
        _check(0 <= share <= 1, "over_share_worth", share, "a share from 0 to 1")
        _check(self.stages >= 1, "stages", self.stages, "1 or more")
        _check(self.most_held >= 0, "most_held", self.most_held, "0 or more")
        _check(self.calls_per_connection >= 1, "calls_per_connection", self.calls_per_connection, "1 or more")
        _check(self.reports in ("answer", "probe", "none"), "reports", self.reports, "answer, probe or none")
        known = self.weights in ("none", "nominal", "rough", "live")
        _check(known, "weights", self.weights, "none, nominal, rough or live")
        names = [cls.name for cls in self.classes]
        _check(len(set(names)) == len(names), "classes", names, "each name once")
        _positive(self, "", "must_ask_within", "fall_multiple", "fall_within", "connect_timeout")
        _not_negative(
            self,
            "",
            "max_wait_advice",
            "conn_idle",
            "answer_slack",
            "drain_grace",
            "cold_for",
            "price_crossing",
            "price_probe",
            "price_handshake",
            "price_connection",
            "price_waste",
            "price_late_fail",
            "price_peer",
            "price_discovery",
            "goal_whole",
            "goal_window",
            "goal_class",
            "goal_tenant",
            "cpu_per_s",
            "cpu_per_call",
            "quantum",
        )


# -- events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class ServerEntry:
    server: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.SERVING
    weight: float = 1.0
    started_at: float = 0.0  # 0: long ago
    wanted: bool = False  # somebody put it back by hand and waits to see it in use
    not_before: float = 0.0  # nothing is sent to it before


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class Arrival:
    call: int
    cls: str
    budget: float  # seconds until the client gives this try up
    tenant: str = ""
    work: float = 0.0  # expected work in core seconds; 0: unknown
    resent: bool = False
    write: bool = False
    key: str = ""  # the subject of the request, where it has one
    attempts: int = 0  # that it may have, if fewer than its class; 0: as many
    share: float = 1.0  # of its class's worth
    stated: float = 0.0  # seconds that the client gave it, before this instance's own margins; 0: `budget`


@dataclass(slots=True)
class Outcome:
    call: int
    attempt: int
    server: int
    status: int
    elapsed: float
    final: bool
    report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    call: int
    attempt: int
    server: int
    elapsed: float = 0.0


@dataclass(slots=True)
class Gone:
    """The client left, or its time ran out: nothing more is owed."""

    call: int


@dataclass(slots=True)
class Probed:
    server: int
    status: int
    elapsed: float
    report: dict[str, float] | None = None


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class NewSettings:
    """In force from now on. Calls that have arrived keep the class with which they came."""

    settings: Settings


@dataclass(slots=True)
class Instances:
    """How many instances stand before the same servers by what is seen of them; until told, it is
    Settings.balancers. Who tells it bounds it: all instances' shares by it, added up, stay under 1.5."""

    count: int


Event = (
    ServerList
    | Arrival
    | Outcome
    | StreamStarted
    | Gone
    | Probed
    | Timer
    | PeerMessage
    | NewSettings
    | Instances
)

# -- actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    call: int
    server: int
    timeout: float


@dataclass(slots=True)
class Refuse:
    call: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    call: int


@dataclass(slots=True)
class Cancel:
    call: int
    attempt: int


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class Watch:
    on: bool = True


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class CloseIdle:
    server: int


@dataclass(slots=True)
class Tell:
    """A message to another instance, or to all; only where Settings.may_tell."""

    data: bytes
    peer: int | None = None  # None: to all


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Watch | Fetch | SetTimer | CloseIdle | Tell | Log
