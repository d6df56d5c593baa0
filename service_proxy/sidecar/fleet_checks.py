"""What several descriptions contradict one another in, as one fleet. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from service_proxy.operator_file.positions import Path
from service_proxy.sidecar.call_graph import build_call_graph, call_depth, tiers_below
from service_proxy.sidecar.findings import Finding
from service_proxy.sidecar.model import Description, is_any

TIER_FACTS = ("zones", "nodes", "connections", "drain", "cold_from", "cold_for", "survives", "push")
MIN_ATTEMPTS_TO_RETRY = 2


def check_fleet(descriptions: list[Description]) -> Iterator[Finding]:
    """Yield all that several descriptions contradict one another in, and their ports and connections."""
    yield from _check_ports(descriptions)
    yield from _check_connections(descriptions)
    yield from _check_same_classes(descriptions)
    yield from _check_same_tiers(descriptions)
    yield from _check_rings(descriptions)
    yield from _check_multiplied_attempts(descriptions)
    yield from _check_key_windows(descriptions)


def _check_ports(descriptions: Iterable[Description]) -> Iterator[Finding]:
    claimed: dict[tuple[str, str], list[tuple[str, str, str]]] = defaultdict(list)
    for d in descriptions:
        for number, sidecar in enumerate(d.sidecars):
            here: Path = ("sidecar", str(number))
            wanted = [((*here, "inbound"), sidecar.inbound, "its inbound listener")]
            for tier, at in sidecar.outbound.items():
                wanted.append(((*here, "outbound", tier), at, f"its listener for {tier}"))
            wanted.append(((*here, "application"), sidecar.application, "its application"))
            for path, at, what in wanted:
                host, _, port = at.rpartition(":")
                for other, other_what, where in claimed[sidecar.host, port]:
                    if other == host or is_any(other) or is_any(host):
                        yield Finding(
                            d.file,
                            path,
                            "F301",
                            f"{what} on {sidecar.host} wants {at}, and {other_what} of {where} has "
                            f"{other}:{port}",
                            "give one of them another port",
                        )
                        break
                claimed[sidecar.host, port].append((host, what, f"{d.top.application} ({d.file})"))


def _check_connections(descriptions: list[Description]) -> Iterator[Finding]:
    """Each sidecar of a tier that calls another may open `per_node` connections to each of its nodes."""
    opened: dict[str, int] = defaultdict(int)
    for d in descriptions:
        for sidecar in d.sidecars:
            for called in sidecar.outbound:
                opened[called] += sidecar.per_node
    for d in descriptions:
        for name, tier in d.tiers.items():
            if opened[name] > tier.connections:
                yield Finding(
                    d.file,
                    ("tier", name, "connections"),
                    "F304",
                    f"all sidecars may open {opened[name]} connections to a node of {name}, which "
                    f"takes {tier.connections}",
                    "lower per_node of the callers",
                )


def _check_same_classes(descriptions: list[Description]) -> Iterator[Finding]:
    """Check that a class has one idempotency and one deadline everywhere."""
    first: dict[str, Description] = {}
    for d in descriptions:
        for name, cls in d.classes.items():
            other = first.setdefault(name, d)
            if other is d:
                continue
            known = other.classes[name]
            for key in ("effect", "group", "window"):
                if getattr(known, key) != getattr(cls, key):
                    yield Finding(
                        d.file,
                        ("class", name, key),
                        "F302",
                        f"{name}: {key} is {getattr(cls, key)!r} here and {getattr(known, key)!r} "
                        f"in {other.file}",
                        "describe the class once, and include it",
                    )
            if cls.deadline != known.deadline:
                yield Finding(
                    d.file,
                    ("class", name, "deadline"),
                    "F302",
                    f"{name} is given up after {cls.deadline:g} s here and {known.deadline:g} s in "
                    f"{other.file}",
                    "give it one deadline; budgets shorten it inside",
                )


def _check_same_tiers(descriptions: list[Description]) -> Iterator[Finding]:
    """A tier is one thing, whoever describes it: its servers, and what they bear."""
    first: dict[str, Description] = {}
    for d in descriptions:
        for name, tier in d.tiers.items():
            other = first.setdefault(name, d)
            for key in TIER_FACTS:
                here = getattr(tier, key)
                there = getattr(other.tiers[name], key)
                if here != there:
                    yield Finding(
                        d.file,
                        ("tier", name, key),
                        "F310",
                        f"{name}: {key} is {here!r} here and {there!r} in {other.file}",
                        "describe the tier once, and include it",
                    )


def _check_key_windows(descriptions: list[Description]) -> Iterator[Finding]:
    """Check that inner tiers remember keys for as long as an outer one may send them again.

    Each time the outer application sends its request to the inner tier with the same key.
    """
    calls = build_call_graph(descriptions)
    told = set()
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
                latest = min(route.retry_for, cls.deadline)
                for called, inner in (
                    (called, d) for called in tiers_below(calls, start) for d in descriptions
                ):
                    known = inner.classes.get(name) if called in inner.tiers else None
                    if inner is outer or known is None or name not in inner.tiers[called].classes:
                        continue  # within one description rule 2 tells it
                    if known.effect == "by-key" and known.window < latest and (inner.file, name) not in told:
                        told.add((inner.file, name))
                        yield Finding(
                            inner.file,
                            ("class", name, "window"),
                            "F309",
                            f"{called} drops repeats of {name} for {known.window:g} s, and {start} "
                            f"({outer.file}) sends it again for {latest:g} s",
                            f'write window = "{latest:g}s" or more',
                        )


def _check_rings(descriptions: list[Description]) -> Iterator[Finding]:
    calls = build_call_graph(descriptions)
    told: set[frozenset[str]] = set()
    for start in calls:
        stack: list[tuple[str, tuple[str, ...], Description | None]] = [(start, (start,), None)]
        while stack:
            name, way, _ = stack.pop()
            for called, d in calls.get(name, ()):
                if called == start and frozenset(way) not in told:
                    told.add(frozenset(way))
                    yield Finding(
                        d.file,
                        ("tier", name, "calls"),
                        "F303",
                        f"{' calls '.join((*way, called))}",
                        f"take {called} out here",
                    )
                elif called not in way:
                    stack.append((called, (*way, called), d))


def _check_multiplied_attempts(descriptions: list[Description]) -> Iterator[Finding]:
    """Attempts of a class along each way through the tiers, multiplied."""
    calls = build_call_graph(descriptions)
    for d in descriptions:
        if d.budgets is not None:
            continue  # these bound the whole tree
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
