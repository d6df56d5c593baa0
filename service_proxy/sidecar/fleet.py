"""What holds within one description and over several as one fleet: findings with the path they belong to.
Pure.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from service_proxy.deadlines.header import MAX_HOPS
from service_proxy.deadlines.request_budget import covers_call_tree
from service_proxy.net.limits import MIN_DESCRIPTORS, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.operator_file.positions import Path
from service_proxy.sidecar import rulemodel
from service_proxy.sidecar.model import Description, Sidecar, is_any, name_fault

TIER_FACTS = ("zones", "nodes", "connections", "drain", "cold_from", "cold_for", "survives", "push")
RULES = {1: "R201", 2: "R202", 3: "R203", 4: "R204"}


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong at a path of a description, without its place in a file."""

    file: str
    path: Path
    code: str
    text: str
    instead: str


def check(description: Description) -> Iterator[Finding]:
    """All findings of one description that its types and ranges don't tell."""
    yield from _names(description)
    yield from _references(description)
    yield from _classes(description)
    yield from _rules(description)
    yield from _tiers(description)
    yield from _tenants(description)
    yield from _budgets(description)


def check_fleet(descriptions: list[Description]) -> Iterator[Finding]:
    """All that several descriptions contradict one another in, and ports and connections of all of them."""
    yield from _ports(descriptions)
    yield from _connections(descriptions)
    yield from _same_names(descriptions)
    yield from _same_tiers(descriptions)
    yield from _rings(descriptions)
    yield from _multiplied(descriptions)
    yield from _windows(descriptions)


def _names(d: Description) -> Iterator[Finding]:
    for table, names in (("class", d.classes), ("tier", d.tiers), ("tenant", d.tenants)):
        for name in names:
            fault = name_fault(name)
            if fault:
                yield Finding(
                    d.file, (table, name), "S108", f"the name {name!r} {fault}", "write it in ASCII"
                )


def _references(d: Description) -> Iterator[Finding]:
    for name, tier in d.tiers.items():
        for cls in tier.classes:
            if cls not in d.classes:
                yield Finding(
                    d.file,
                    ("tier", name, "classes"),
                    "F306",
                    f"no class {cls} is described",
                    f"add a table [class.{cls}], or take it out here",
                )
        for called in tier.calls:
            if called not in d.tiers:
                yield Finding(
                    d.file,
                    ("tier", name, "calls"),
                    "F306",
                    f"no tier {called} is described",
                    f"add a table [tier.{called}], or take it out here",
                )
    served = {cls for tier in d.tiers.values() for cls in tier.classes}
    for cls in d.classes:
        if d.tiers and cls not in served:
            yield Finding(
                d.file,
                ("class", cls),
                "F306",
                f"no tier serves the class {cls}",
                "name it in the `classes` of a tier",
            )
    for route in d.routes:
        if route not in d.classes:
            yield Finding(
                d.file,
                ("route", route),
                "F306",
                f"a route for {route}, which is no class",
                f"add a table [class.{route}], or take the route out",
            )
    for number, sidecar in enumerate(d.sidecars):
        yield from _sidecar(d, ("sidecar", str(number)), sidecar)


def _sidecar(d: Description, path: Path, sidecar: Sidecar) -> Iterator[Finding]:
    tier = d.tiers.get(sidecar.tier)
    if tier is None:
        yield Finding(
            d.file,
            (*path, "tier"),
            "F306",
            f"no tier {sidecar.tier} is described",
            f"add a table [tier.{sidecar.tier}]",
        )
        return
    if sidecar.zone not in tier.zones:
        yield Finding(
            d.file,
            (*path, "zone"),
            "S107",
            f"{sidecar.tier} has no servers in {sidecar.zone}",
            "write one of " + ", ".join(tier.zones),
        )
    for called in tier.calls:
        if called not in sidecar.outbound:
            yield Finding(
                d.file,
                path,
                "S103",
                f"{sidecar.tier} calls {called}, and no listener is for it",
                f'write {called} = "127.0.0.1:PORT" in its outbound',
            )
    share = sidecar.sockets // (len(sidecar.outbound) + 1)
    if share < MIN_DESCRIPTORS:
        least = MIN_DESCRIPTORS * (len(sidecar.outbound) + 1)
        yield Finding(
            d.file,
            (*path, "sockets"),
            "S107",
            f"{sidecar.sockets} descriptors leave {share} for each listener, which needs "
            f"{MIN_DESCRIPTORS}",
            f"write sockets = {least} or more",
        )
    most = int(share * UPSTREAM_DESCRIPTOR_SHARE)
    if sidecar.slots > most:
        yield Finding(
            d.file,
            (*path, "slots"),
            "S107",
            f"{sidecar.slots} calls at a time need as many connections to the application, and "
            f"{sidecar.sockets} descriptors leave {most}",
            f"write slots = {most}, or more sockets",
        )
    for called in sidecar.outbound:
        if called in d.tiers and not d.padron(called):
            instead = f'write padron = "HOST:PORT" in [tier.{called}], or before the first table'
            yield Finding(
                d.file,
                (*path, "outbound", called),
                "S103",
                f"nobody tells the nodes of {called}: there is no padron",
                instead,
            )
        if called not in tier.calls:
            yield Finding(
                d.file,
                (*path, "outbound", called),
                "S107",
                f"{sidecar.tier} never calls {called}",
                f"take it out, or name {called} in the tier's `calls`",
            )


def _classes(d: Description) -> Iterator[Finding]:
    for name, cls in d.classes.items():
        if cls.aim > cls.deadline:
            yield Finding(
                d.file,
                ("class", name, "aim"),
                "S107",
                "its aim lies behind its deadline",
                f"write an aim of at most {cls.deadline:g} s",
            )
        if cls.effect == "by-key" and not cls.window:
            yield Finding(
                d.file,
                ("class", name),
                "S103",
                "repeats are dropped by key, and not for how long",
                'write window = "6s"',
            )
        if cls.effect != "by-key" and cls.window:
            yield Finding(
                d.file, ("class", name, "window"), "S107", f"{cls.effect} has no window", "take it out"
            )


def _rules(d: Description) -> Iterator[Finding]:
    for name, cls in d.classes.items():
        route = d.routes.get(name)
        if route is None:
            continue
        example = rulemodel.rule_two(name, cls, route)
        if example is not None:
            safe = {"repeatable": "always", "once": "never-ran", "by-key": "by-key"}[cls.effect]
            key = "hedge" if "while one is out" in example.events[-1] else "retry"
            instead = "write hedge = false" if key == "hedge" else f'write retry = "{safe}"'
            if cls.effect == "by-key" and key == "retry":
                instead += f', retry_within = "{cls.group}" and retry_for = "{cls.window:g}s" at most'
            text = f"{name} may have its effect twice: {example}"
            if key == "hedge":
                text = f"{name} may have two attempts out: {example}"
            yield Finding(d.file, ("route", name, key), RULES[2], text, instead)
    for tier_name, tier in d.tiers.items():
        path = ("tier", tier_name)
        slowest = max(
            (name for name in tier.classes if name in d.classes),
            key=lambda name: d.classes[name].deadline,
            default=None,
        )
        if slowest is not None:
            example = rulemodel.rule_one(slowest, d.classes[slowest], tier)
            if example is not None:
                yield Finding(
                    d.file,
                    (*path, "stop_after"),
                    RULES[1],
                    str(example),
                    f'write stop_after = "{d.classes[slowest].deadline:g}s" or more',
                )
        example = rulemodel.rule_three(tier_name, tier)
        if example is not None:
            yield Finding(d.file, (*path, "drain"), RULES[3], str(example), 'write drain = "2s" or less')
        example = rulemodel.rule_four(tier_name, tier)
        if example is not None:
            yield Finding(
                d.file, (*path, "push"), RULES[4], str(example), f"write a push below {tier.survives:g}"
            )


def _tiers(d: Description) -> Iterator[Finding]:
    for name, tier in d.tiers.items():
        for cls_name in tier.classes:
            cls = d.classes.get(cls_name)
            if cls and cls.effect == "by-key" and cls.group == "zone" and len(tier.zones) == 1:
                yield Finding(
                    d.file,
                    ("class", cls_name, "group"),
                    "F308",
                    f"{name} has one zone, and {cls_name} is dropped by zone",
                    'write group = "all", or add the other zones',
                )


def _tenants(d: Description) -> Iterator[Finding]:
    total = sum(tenant.share for tenant in d.tenants.values())
    if total > 1.0 + 1e-9:
        last = list(d.tenants)[-1]
        yield Finding(
            d.file,
            ("tenant", last, "share"),
            "F305",
            f"the shares add up to {total:.0%}",
            f"write at most {max(0.0, 1 - total + d.tenants[last].share):.2g} here",
        )


def _budgets(d: Description) -> Iterator[Finding]:
    budgets = d.budgets
    if budgets is None:
        return
    if budgets.attempts > d.top.attempts_over_tiers:
        yield Finding(
            d.file,
            ("budgets", "attempts"),
            "S107",
            f"a tree of calls may have {budgets.attempts} attempts, and attempts_over_tiers says "
            f"{d.top.attempts_over_tiers}",
            f"write {d.top.attempts_over_tiers} or fewer",
        )
    longest = max((_depth(_calls([d]), name, frozenset()) for name in d.tiers), default=1)
    each = max((route.attempts for route in d.routes.values()), default=1)
    if longest <= MAX_HOPS and not covers_call_tree(
        budgets.attempts, longest, budgets.calls_per_request, each
    ):
        enough = budgets.attempts
        while not covers_call_tree(enough, longest, budgets.calls_per_request, each):
            enough *= 2
        yield Finding(
            d.file,
            ("budgets", "attempts"),
            "S107",
            f"{budgets.attempts} attempts don't reach every call of {longest} tiers that make "
            f"{budgets.calls_per_request} calls each",
            f"write up to {enough}, or fewer calls_per_request",
        )
    if longest > MAX_HOPS:
        yield Finding(
            d.file,
            ("budgets",),
            "S107",
            f"{longest} tiers, and a budget passes {MAX_HOPS}",
            "call fewer tiers one below another",
        )
    for sidecar in d.sidecars:
        if budgets.edge and sidecar.outbound:
            yield Finding(
                d.file,
                ("budgets", "edge"),
                "S107",
                f"{sidecar.tier} on {sidecar.host} stands behind an application: with edge = true "
                "its calls would begin anew",
                "leave it out; it is for the proxy before the first tier",
            )
            return


def _ports(descriptions: Iterable[Description]) -> Iterator[Finding]:
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


def _connections(descriptions: list[Description]) -> Iterator[Finding]:
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


def _same_names(descriptions: list[Description]) -> Iterator[Finding]:
    """One class has one effect, group and window everywhere; an inner tier gives no more time than an
    outer.
    """
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


def _same_tiers(descriptions: list[Description]) -> Iterator[Finding]:
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


def _windows(descriptions: list[Description]) -> Iterator[Finding]:
    """An outer tier sends a keyed call again for as long as its route allows; each time its application calls
    the inner tier with the same key, whose nodes must still know it then.
    """
    calls = _calls(descriptions)
    told = set()
    for outer in descriptions:
        for start, tier in outer.tiers.items():
            for name in tier.classes:
                cls = outer.classes.get(name)
                route = outer.routes.get(name)
                if cls is None or route is None or route.retry != "by-key" or route.attempts < 2:
                    continue
                latest = min(route.retry_for, cls.deadline)
                for called, inner in ((called, d) for called in _below(calls, start) for d in descriptions):
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


def _below(calls: dict[str, list[tuple[str, Description]]], start: str) -> set[str]:
    """All tiers that a call to this one may reach."""
    found: set[str] = set()
    open_ones = [start]
    while open_ones:
        for called, _ in calls.get(open_ones.pop(), ()):
            if called not in found:
                found.add(called)
                open_ones.append(called)
    return found


def _calls(descriptions: Iterable[Description]) -> dict[str, list[tuple[str, Description]]]:
    calls: dict[str, list[tuple[str, Description]]] = defaultdict(list)
    for d in descriptions:
        for name, tier in d.tiers.items():
            calls[name] += [(called, d) for called in tier.calls]
    return calls


def _rings(descriptions: list[Description]) -> Iterator[Finding]:
    calls = _calls(descriptions)
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


def _multiplied(descriptions: list[Description]) -> Iterator[Finding]:
    """Attempts of a class along each way through the tiers, multiplied."""
    calls = _calls(descriptions)
    for d in descriptions:
        if d.budgets is not None:
            continue  # these bound the whole tree
        for start, tier in d.tiers.items():
            for cls in tier.classes:
                route = d.routes.get(cls)
                if route is None:
                    continue
                deepest = _depth(calls, start, frozenset())
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


def _depth(calls: dict[str, list[tuple[str, Description]]], name: str, seen: frozenset[str]) -> int:
    if name in seen:
        return 0
    further = [_depth(calls, called, seen | {name}) for called, _ in calls.get(name, ())]
    return 1 + max(further, default=0)
