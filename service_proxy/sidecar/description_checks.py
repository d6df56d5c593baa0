"""Checks of one description by itself, beyond types and ranges. Pure.

Findings have the path of the value.
"""

from __future__ import annotations

from collections.abc import Iterator

from service_proxy.deadlines.header import MAX_HOPS
from service_proxy.deadlines.request_budget import covers_call_tree
from service_proxy.net.limits import MIN_DESCRIPTORS, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.operator_file.positions import Path
from service_proxy.operator_file.schema import Budgets
from service_proxy.sidecar import rule_model
from service_proxy.sidecar.call_graph import build_call_graph, call_depth
from service_proxy.sidecar.findings import Finding
from service_proxy.sidecar.model import Description, Sidecar, Tier, find_name_problem

RULES = {1: "R201", 2: "R202", 3: "R203", 4: "R204"}


def check_description(description: Description) -> Iterator[Finding]:
    """Yield the findings of one description beyond types and ranges."""
    yield from _check_names(description)
    yield from _check_tier_references(description)
    yield from _check_class_references(description)
    for number, sidecar in enumerate(description.sidecars):
        yield from _check_sidecar(description, ("sidecar", str(number)), sidecar)
    yield from _check_classes(description)
    yield from _check_rule_two(description)
    yield from _check_tier_rules(description)
    yield from _check_key_scopes(description)
    yield from _check_tenants(description)
    yield from _check_budgets(description)


def _check_names(d: Description) -> Iterator[Finding]:
    """Check the names of classes, tiers and tenants."""
    for table, names in (("class", d.classes), ("tier", d.tiers), ("tenant", d.tenants)):
        for name in names:
            problem = find_name_problem(name)
            if problem:
                yield Finding(
                    d.file, (table, name), "S108", f"the name {name!r} {problem}", "write it in ASCII"
                )


def _check_tier_references(d: Description) -> Iterator[Finding]:
    """Check that the classes and tiers that a tier names are described."""
    for name, tier in d.tiers.items():
        for cls in tier.classes:
            if cls not in d.classes:
                yield Finding(
                    d.file,
                    ("tier", name, "classes"),
                    "F306",
                    f"no class {cls} is described",
                    f"add a table [class.{cls}], or remove it here",
                )
        for called in tier.calls:
            if called not in d.tiers:
                yield Finding(
                    d.file,
                    ("tier", name, "calls"),
                    "F306",
                    f"no tier {called} is described",
                    f"add a table [tier.{called}], or remove it here",
                )


def _check_class_references(d: Description) -> Iterator[Finding]:
    """Check that each class is served by a tier, and that each route belongs to a class."""
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
                f"add a table [class.{route}], or remove the route",
            )


def _check_sidecar(d: Description, path: Path, sidecar: Sidecar) -> Iterator[Finding]:
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
    yield from _check_zone_and_listeners(d, path, sidecar, tier)
    yield from _check_descriptors(d, path, sidecar)
    yield from _check_outbound(d, path, sidecar, tier)


def _check_zone_and_listeners(d: Description, path: Path, sidecar: Sidecar, tier: Tier) -> Iterator[Finding]:
    """Check the sidecar's zone, and that it has an outbound listener for each tier that its tier calls."""
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
                f"{sidecar.tier} calls {called}, but no outbound listener is configured for that tier",
                f'write {called} = "127.0.0.1:PORT" in its outbound',
            )


def _check_descriptors(d: Description, path: Path, sidecar: Sidecar) -> Iterator[Finding]:
    """Check that the sidecar's file descriptors suffice for its listeners and slots."""
    share = sidecar.sockets // (len(sidecar.outbound) + 1)
    if share < MIN_DESCRIPTORS:
        min_sockets = MIN_DESCRIPTORS * (len(sidecar.outbound) + 1)
        yield Finding(
            d.file,
            (*path, "sockets"),
            "S107",
            f"{sidecar.sockets} descriptors leave {share} for each listener, which needs "
            f"{MIN_DESCRIPTORS}",
            f"write sockets = {min_sockets} or more",
        )
    max_slots = int(share * UPSTREAM_DESCRIPTOR_SHARE)
    if sidecar.slots > max_slots:
        yield Finding(
            d.file,
            (*path, "slots"),
            "S107",
            f"{sidecar.slots} calls at a time need as many connections to the application, and "
            f"{sidecar.sockets} descriptors leave {max_slots}",
            f"write slots = {max_slots}, or more sockets",
        )


def _check_outbound(d: Description, path: Path, sidecar: Sidecar, tier: Tier) -> Iterator[Finding]:
    """Check that the tier of each outbound listener is called and has a discovery address."""
    for called in sidecar.outbound:
        if called in d.tiers and not d.padron(called):
            instead = f'write padron = "HOST:PORT" in [tier.{called}], or before the first table'
            yield Finding(
                d.file,
                (*path, "outbound", called),
                "S103",
                f"no discovery is configured for the nodes of {called}: padron is missing",
                instead,
            )
        if called not in tier.calls:
            yield Finding(
                d.file,
                (*path, "outbound", called),
                "S107",
                f"{sidecar.tier} never calls {called}",
                f"remove it, or name {called} in the tier's `calls`",
            )


def _check_classes(d: Description) -> Iterator[Finding]:
    """Check the values of each class against one another."""
    for name, cls in d.classes.items():
        if cls.aim > cls.deadline:
            yield Finding(
                d.file,
                ("class", name, "aim"),
                "S107",
                "the aim is later than the deadline",
                f"write an aim of at most {cls.deadline:g} s",
            )
        if cls.effect == "by-key" and not cls.window:
            yield Finding(
                d.file,
                ("class", name),
                "S103",
                "repeats are dropped by key, but window, the time to drop them for, is missing",
                'write window = "6s"',
            )
        if cls.effect != "by-key" and cls.window:
            yield Finding(
                d.file,
                ("class", name, "window"),
                "S107",
                f"a class with effect {cls.effect} has no window",
                "remove it",
            )


def _check_rule_two(d: Description) -> Iterator[Finding]:
    """Check that no route allows a request to have the effect of its class twice."""
    for name, cls in d.classes.items():
        route = d.routes.get(name)
        if route is None:
            continue
        example = rule_model.rule_two(name, cls, route)
        if example is not None:
            safe = {"repeatable": "always", "once": "never-ran", "by-key": "by-key"}[cls.effect]
            key = "hedge" if "while one is in flight" in example.events[-1] else "retry"
            instead = "write hedge = false" if key == "hedge" else f'write retry = "{safe}"'
            if cls.effect == "by-key" and key == "retry":
                instead += f', retry_within = "{cls.group}" and retry_for = "{cls.window:g}s" at most'
            text = f"{name} may have its effect twice: {example}"
            if key == "hedge":
                text = f"{name} may have two attempts in flight: {example}"
            yield Finding(d.file, ("route", name, key), RULES[2], text, instead)


def _check_tier_rules(d: Description) -> Iterator[Finding]:
    """Check rules 1, 3 and 4 with the values of each tier."""
    for tier_name, tier in d.tiers.items():
        path = ("tier", tier_name)
        slowest = max(
            (name for name in tier.classes if name in d.classes),
            key=lambda name: d.classes[name].deadline,
            default=None,
        )
        if slowest is not None:
            example = rule_model.rule_one(slowest, d.classes[slowest], tier)
            if example is not None:
                yield Finding(
                    d.file,
                    (*path, "stop_after"),
                    RULES[1],
                    str(example),
                    f'write stop_after = "{d.classes[slowest].deadline:g}s" or more',
                )
        example = rule_model.rule_three(tier_name, tier)
        if example is not None:
            yield Finding(d.file, (*path, "drain"), RULES[3], str(example), 'write drain = "2s" or less')
        example = rule_model.rule_four(tier_name, tier)
        if example is not None:
            yield Finding(
                d.file, (*path, "push"), RULES[4], str(example), f"write a push below {tier.survives:g}"
            )


def _check_key_scopes(d: Description) -> Iterator[Finding]:
    """Check that no class deduplicates keys per zone in a tier with only one zone."""
    for name, tier in d.tiers.items():
        for cls_name in tier.classes:
            cls = d.classes.get(cls_name)
            if cls and cls.effect == "by-key" and cls.group == "zone" and len(tier.zones) == 1:
                yield Finding(
                    d.file,
                    ("class", cls_name, "group"),
                    "F308",
                    f"{name} has one zone, and repeats of {cls_name} are dropped per zone",
                    'write group = "all", or add the other zones',
                )


def _check_tenants(d: Description) -> Iterator[Finding]:
    """Check that the shares of the tenants add up to at most 1."""
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


def _check_budgets(d: Description) -> Iterator[Finding]:
    budgets = d.budgets
    if budgets is None:
        return
    if budgets.attempts > d.top.attempts_over_tiers:
        yield Finding(
            d.file,
            ("budgets", "attempts"),
            "S107",
            f"a tree of calls may have {budgets.attempts} attempts, but attempts_over_tiers is "
            f"{d.top.attempts_over_tiers}",
            f"write {d.top.attempts_over_tiers} or fewer",
        )
    yield from _check_attempts_of_tree(d, budgets)
    yield from _check_edge(d, budgets)


def _check_attempts_of_tree(d: Description, budgets: Budgets) -> Iterator[Finding]:
    """Check that the attempts of a call tree reach each of its calls, and its hops the deepest tier."""
    max_depth = max((call_depth(build_call_graph([d]), name) for name in d.tiers), default=1)
    max_attempts = max((route.attempts for route in d.routes.values()), default=1)
    if max_depth <= MAX_HOPS and not covers_call_tree(
        budgets.attempts, max_depth, budgets.calls_per_request, max_attempts
    ):
        sufficient = budgets.attempts
        while not covers_call_tree(sufficient, max_depth, budgets.calls_per_request, max_attempts):
            sufficient *= 2
        yield Finding(
            d.file,
            ("budgets", "attempts"),
            "S107",
            f"{budgets.attempts} attempts don't reach every call of {max_depth} tiers that make "
            f"{budgets.calls_per_request} calls each",
            f"write up to {sufficient}, or fewer calls_per_request",
        )
    if max_depth > MAX_HOPS:
        yield Finding(
            d.file,
            ("budgets",),
            "S107",
            f"calls pass {max_depth} tiers, but a budget is propagated over at most {MAX_HOPS}",
            "call fewer tiers one below another",
        )


def _check_edge(d: Description, budgets: Budgets) -> Iterator[Finding]:
    """Check that no sidecar behind an application is configured as the edge."""
    for sidecar in d.sidecars:
        if budgets.edge and sidecar.outbound:
            yield Finding(
                d.file,
                ("budgets", "edge"),
                "S107",
                f"{sidecar.tier} on {sidecar.host} is behind an application: with edge = true "
                "its calls would start new budgets",
                "remove it; edge is for the proxy before the first tier",
            )
            return
