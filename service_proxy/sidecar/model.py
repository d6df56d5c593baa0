"""Typed description of an application: its tables, their keys, and the valid values of each key. Pure.

A class declares the effect of a second execution (`effect`), which its owner defines. A route declares what
a sidecar *may do* with requests of the class (`retry`). rule_model.py finds whether the route's permissions
break the rules for the class. Times are in seconds.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field

from service_proxy.operator_file.reader import Duration, between, key
from service_proxy.operator_file.schema import Budgets, Membership, Registration
from service_proxy.operator_file.value_checks import find_address_problem, find_optional_address_problem

FORMAT = 2
NAME = re.compile(r"[a-z][a-z0-9_-]{0,62}")
EFFECTS = ("repeatable", "by-key", "once")
GROUPS = ("zone", "cell", "all")
REPORTS = ("probe", "answer", "none")
RETRIES = ("never", "never-ran", "by-key", "always")


def one_of(choices: tuple[str, ...]) -> object:
    """Return a check that a value is one of the choices."""

    def check(value: str) -> str | None:
        return (
            None if value in choices else "must be one of " + ", ".join(f'"{choice}"' for choice in choices)
        )

    return check


def find_name_problem(value: str) -> str | None:
    """Return the problem of a name, or None if the name is valid."""
    if NAME.fullmatch(value):
        return None
    non_ascii = next((character for character in value if not character.isascii()), "")
    if non_ascii:
        return f"contains U+{ord(non_ascii):04X}, which may look like another letter"
    return "must consist of lowercase letters, digits, - and _, and start with a letter"


def _find_names_problem(value: tuple[str, ...]) -> str | None:
    problem = next((f"{name!r} {problem}" for name in value if (problem := find_name_problem(name))), None)
    return problem or ("names an entry twice" if len(set(value)) != len(value) else None)


def _find_health_path_problem(value: str) -> str | None:
    is_valid = value.startswith("/") and value.isascii() and value.isprintable() and " " not in value
    return None if is_valid else 'must be a path such as "/healthz"'


def is_unspecified_address(host: str) -> bool:
    """Return whether an address is 0.0.0.0 or [::], which stands for all addresses of a host."""
    try:
        return ipaddress.ip_address(host.strip("[]")).is_unspecified
    except ValueError:
        return False


@dataclass(frozen=True, slots=True)
class ClassDescription:
    """[class.NAME]: properties of a class of requests, as its owner defines them."""

    effect: str = key(str, '"once"', check=one_of(EFFECTS))  # type: ignore[arg-type]
    aim: float = key(Duration, '"500ms"', check=between(0.001, 3600))
    deadline: float = key(Duration, '"1.2s"', check=between(0.001, 3600))
    worth: float = key(float, "1.0", 1.0, between(0, 1e6))
    group: str = key(str, '"zone"', "all", one_of(GROUPS))  # type: ignore[arg-type]
    window: float = key(Duration, '"6s"', 0.0, between(0.001, 3600))


@dataclass(frozen=True, slots=True)
class Route:
    """[defaults] and [route.CLASS]: what a sidecar may do with requests of a class."""

    retry: str = key(str, '"never-ran"', "never-ran", one_of(RETRIES))  # type: ignore[arg-type]
    retry_within: str = key(str, '"zone"', "zone", one_of(GROUPS))  # type: ignore[arg-type]
    retry_for: float = key(Duration, '"6s"', 0.0, between(0, 3600))
    attempts: int = key(int, "3", 3, between(1, 16))
    hedge: bool = key(bool, "false", False)


@dataclass(frozen=True, slots=True)
class Tier:
    """[tier.NAME]: properties of a tier's endpoints, and their treatment by sidecars.

    The operator of the endpoints defines the values.
    """

    zones: tuple[str, ...] = key(tuple, '["zone-a", "zone-b"]', check=_find_names_problem)
    classes: tuple[str, ...] = key(tuple, '["read", "order"]', check=_find_names_problem)
    nodes: int = key(int, "16", check=between(1, 100_000))
    calls: tuple[str, ...] = key(tuple, '["core"]', (), _find_names_problem)
    connections: int = key(int, "28", 28, between(1, 1_000_000))
    drain: float = key(Duration, '"2s"', 2.0, between(0, 3600))
    stop_after: float = key(Duration, '"7s"', 30.0, between(0, 3600))
    cold_from: float = key(float, "0.16", 0.16, between(0.001, 1))
    cold_for: float = key(Duration, '"24s"', 24.0, between(0, 3600))
    survives: float = key(float, "3.0", 3.0, between(1, 1000))
    push: float = key(float, "2.0", 2.0, between(0.01, 1000))
    # Address of the discovery that lists the tier's nodes; empty: the description's `padron` is used.
    # `membership` additionally lists them as ephemeral nodes, with the keys of the operator's file.
    padron: str = key(str, '"10.2.0.1:8500"', "", find_optional_address_problem)
    membership: Membership | None = key(Membership, "", None)


@dataclass(frozen=True, slots=True)
class Tenant:
    """[tenant.NAME]: share and quota of a tenant."""

    share: float = key(float, "0.5", check=between(0, 1))
    quota_per_s: float = key(float, "100.0", 0.0, between(0, 1e9))


@dataclass(frozen=True, slots=True)
class Sidecar:
    """[[sidecar]]: one sidecar; each application has one beside it.

    `inbound` is the listener in front of the application. The sidecar checks the application's health at
    `health`, sends it at most `slots` requests at a time, and queues at most `waiting` more. `outbound` has a
    listener for each tier that the application calls.
    """

    host: str = key(str, '"h-1"', check=find_name_problem)
    zone: str = key(str, '"zone-a"', check=find_name_problem)
    tier: str = key(str, '"front"', check=find_name_problem)
    inbound: str = key(str, '"10.0.0.4:8081"', check=find_address_problem)
    application: str = key(str, '"127.0.0.1:9000"', check=find_address_problem)
    health: str = key(str, '"/healthz"', "/healthz", _find_health_path_problem)
    slots: int = key(int, "64", 64, between(1, 10_000))
    waiting: int = key(int, "128", 128, between(0, 100_000))
    per_node: int = key(int, "1", 1, between(1, 10_000))
    sockets: int = key(int, "1024", 1024, between(64, 1 << 20))
    memory_mb: int = key(int, "192", 192, between(32, 1 << 20))
    outbound: dict[str, str] = field(default_factory=dict, metadata={"kind": dict, "text": "", "check": None})
    registration: Registration | None = key(Registration, "", None)


@dataclass(frozen=True, slots=True)
class Features:
    """[features]: optional features of nodes and platform that the sidecars use."""

    probes: bool = key(bool, "true", True)
    load_reports: str = key(str, '"probe"', "probe", one_of(REPORTS))  # type: ignore[arg-type]
    cancel: bool = key(bool, "true", True)
    retry_after: bool = key(bool, "true", True)
    warm_up: bool = key(bool, "true", True)


@dataclass(frozen=True, slots=True)
class TopLevelKeys:
    """Keys before the first table."""

    format: int = key(int, str(FORMAT), check=between(1, 1000))
    application: str = key(str, '"canjes"', check=find_name_problem)
    include: tuple[str, ...] = key(tuple, '["base.toml"]', ())
    variables: tuple[str, ...] = key(tuple, '["ZONE"]', ())
    padron: str = key(str, '"10.2.0.1:8500"', "", find_optional_address_problem)
    attempts_over_tiers: int = key(int, "12", 12, between(1, 10_000))


TABLES: dict[str, type] = {"class": ClassDescription, "route": Route, "tier": Tier, "tenant": Tenant}


@dataclass(frozen=True, slots=True)
class Description:
    """Description of an application after includes, overlay and route defaults are applied."""

    file: str
    top: TopLevelKeys
    classes: dict[str, ClassDescription]
    routes: dict[str, Route]
    tiers: dict[str, Tier]
    tenants: dict[str, Tenant]
    sidecars: tuple[Sidecar, ...]
    features: Features
    budgets: Budgets | None = None

    def padron(self, tier: str) -> str:
        """Return the address of the discovery that lists a tier's nodes."""
        return self.tiers[tier].padron or self.top.padron
