"""Checks of several descriptions as one fleet: contradictions, ports, connections. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from service_proxy.operator_file.positions import Path
from service_proxy.sidecar.call_graph import build_call_graph, call_depth, tiers_below
from service_proxy.sidecar.findings import Finding
from service_proxy.sidecar.model import Description, is_unspecified_address

SHARED_TIER_KEYS = ("zones", "nodes", "connections", "drain", "cold_from", "cold_for", "survives", "push")
MIN_ATTEMPTS_TO_RETRY = 2


def check_fleet(descriptions: list[Description]) -> Iterator[Finding]:
    """Yield the findings of several descriptions as one fleet."""
    yield from _check_ports(descriptions)
    yield from _check_connections(descriptions)
    yield from _check_same_classes(descriptions)
    yield from _check_same_tiers(descriptions)
    yield from _check_call_cycles(descriptions)
    yield from _check_multiplied_attempts(descriptions)
    yield from _check_key_windows(descriptions)


def _check_ports(descriptions: Iterable[Description]) -> Iterator[Finding]:
    listeners_by_port: dict[tuple[str, str], list[tuple[str, str, str]]] = defaultdict(list)
    for d in descriptions:
        for number, sidecar in enumerate(d.sidecars):
            sidecar_path: Path = ("sidecar", str(number))
            listeners = [((*sidecar_path, "inbound"), sidecar.inbound, "its inbound listener")]
            for tier, address in sidecar.outbound.items():
                listeners.append(((*sidecar_path, "outbound", tier), address, f"its listener for {tier}"))
            listeners.append(((*sidecar_path, "application"), sidecar.application, "its application"))
            for path, address, role in listeners:
                host, _, port = address.rpartition(":")
                for other_host, other_role, owner in listeners_by_port[sidecar.host, port]:
                    if (
                        other_host == host
                        or is_unspecified_address(other_host)
                        or is_unspecified_address(host)
                    ):
                        yield Finding(
                            d.file,
                            path,
                            "F301",
                            f"{role} on {sidecar.host} needs {address}, but {other_role} of {owner} uses "
                            f"{other_host}:{port}",
                            "give one of them another port",
                        )
                        break
                listeners_by_port[sidecar.host, port].append((host, role, f"{d.top.application} ({d.file})"))


def _check_connections(descriptions: list[Description]) -> Iterator[Finding]:
    """Check the connections that all sidecars together may open to a node, `per_node` for each sidecar."""
    max_connections: dict[str, int] = defaultdict(int)
    for d in descriptions:
        for sidecar in d.sidecars:
            for called in sidecar.outbound:
                max_connections[called] += sidecar.per_node
    for d in descriptions:
        for name, tier in d.tiers.items():
            if max_connections[name] > tier.connections:
                yield Finding(
                    d.file,
                    ("tier", name, "connections"),
                    "F304",
                    f"all sidecars may open {max_connections[name]} connections to a node of {name}, which "
                    f"accepts {tier.connections}",
                    "lower per_node of the callers",
                )


def _check_same_classes(descriptions: list[Description]) -> Iterator[Finding]:
    """Check that a class has the same idempotency and the same deadline in all descriptions."""
    first_description: dict[str, Description] = {}
    for d in descriptions:
        for name, cls in d.classes.items():
            other = first_description.setdefault(name, d)
            if other is d:
                continue
            other_class = other.classes[name]
            for key in ("effect", "group", "window"):
                if getattr(other_class, key) != getattr(cls, key):
                    yield Finding(
                        d.file,
                        ("class", name, key),
                        "F302",
                        f"{name}: {key} is {getattr(cls, key)!r} here and {getattr(other_class, key)!r} "
                        f"in {other.file}",
                        "describe the class once, and include it",
                    )
            if cls.deadline != other_class.deadline:
                yield Finding(
                    d.file,
                    ("class", name, "deadline"),
                    "F302",
                    f"{name} has a deadline of {cls.deadline:g} s here and {other_class.deadline:g} s in "
                    f"{other.file}",
                    "give it one deadline; budgets shorten it for inner tiers",
                )


def _check_same_tiers(descriptions: list[Description]) -> Iterator[Finding]:
    """Check that all descriptions agree on the endpoints of a tier and their limits."""
    first_description: dict[str, Description] = {}
    for d in descriptions:
        for name, tier in d.tiers.items():
            other = first_description.setdefault(name, d)
            for key in SHARED_TIER_KEYS:
                own_value = getattr(tier, key)
                other_value = getattr(other.tiers[name], key)
                if own_value != other_value:
                    yield Finding(
                        d.file,
                        ("tier", name, key),
                        "F310",
                        f"{name}: {key} is {own_value!r} here and {other_value!r} in {other.file}",
                        "describe the tier once, and include it",
                    )


def _check_key_windows(descriptions: list[Description]) -> Iterator[Finding]:
    """Check that inner tiers record keys for as long as an outer tier may retry with them.

    Each retry of the outer tier makes its application call the inner tier again with the same key.
    """
    calls = build_call_graph(descriptions)
    reported = set()
    for outer in descriptions:
        for start, tier in outer.tiers.items():
            for name in tier.classes:
                cls = outer.classes.get(name)
                route = outer.routes.get(name)
                if (
                    cls is None
                    or route is None
                    or route.retry != "by-key"
                    or route.attempts < MIN_ATTEMPTS_TO_RETRY
                ):
                    continue
                last_retry = min(route.retry_for, cls.deadline)
                for called, inner in (
                    (called, d) for called in tiers_below(calls, start) for d in descriptions
                ):
                    other_class = inner.classes.get(name) if called in inner.tiers else None
                    if inner is outer or other_class is None or name not in inner.tiers[called].classes:
                        continue  # rule 2 covers a pair of tiers within one description
                    expires_too_early = other_class.effect == "by-key" and other_class.window < last_retry
                    if expires_too_early and (inner.file, name) not in reported:
                        reported.add((inner.file, name))
                        yield Finding(
                            inner.file,
                            ("class", name, "window"),
                            "F309",
                            f"{called} drops repeats of {name} for {other_class.window:g} s, and {start} "
                            f"({outer.file}) retries them for {last_retry:g} s",
                            f'write window = "{last_retry:g}s" or more',
                        )


def _check_call_cycles(descriptions: list[Description]) -> Iterator[Finding]:
    calls = build_call_graph(descriptions)
    reported: set[frozenset[str]] = set()
    for start in calls:
        stack: list[tuple[str, tuple[str, ...], Description | None]] = [(start, (start,), None)]
        while stack:
            name, chain, _ = stack.pop()
            for called, d in calls.get(name, ()):
                if called == start and frozenset(chain) not in reported:
                    reported.add(frozenset(chain))
                    yield Finding(
                        d.file,
                        ("tier", name, "calls"),
                        "F303",
                        f"{' calls '.join((*chain, called))}",
                        f"remove {called} here",
                    )
                elif called not in chain:
                    stack.append((called, (*chain, called), d))


def _check_multiplied_attempts(descriptions: list[Description]) -> Iterator[Finding]:
    """Check the product of a class's attempts over all tiers that its requests pass."""
    calls = build_call_graph(descriptions)
    for d in descriptions:
        if d.budgets is not None:
            continue  # budgets bound the attempts of the whole call tree
        for start, tier in d.tiers.items():
            for cls in tier.classes:
                route = d.routes.get(cls)
                if route is None:
                    continue
                deepest = call_depth(calls, start)
                total = route.attempts**deepest
                if total > d.top.attempts_over_tiers:
                    yield Finding(
                        d.file,
                        ("route", cls, "attempts"),
                        "F307",
                        f"{route.attempts} attempts over {deepest} tiers from {start} are {total}, "
                        f"over the bound of {d.top.attempts_over_tiers}",
                        "write fewer attempts, or a higher attempts_over_tiers",
                    )
                    break
