"""What a description means: its schema, effective values with their origins, what a change does. Pure."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

from service_proxy.operator_file.reader import Duration
from service_proxy.operator_file.schema import Budgets
from service_proxy.sidecar import rule_model
from service_proxy.sidecar.model import NAME, TABLES, Class, Description, Features, Route, Sidecar, Tier, Top

KINDS: dict[type, dict[str, Any]] = {
    str: {"type": "string"},
    int: {"type": "integer"},
    float: {"type": "number"},
    bool: {"type": "boolean"},
    tuple: {"type": "array", "items": {"type": "string"}},
    dict: {"type": "object", "additionalProperties": {"type": "string"}},
    Duration: {"type": "string", "pattern": r"^\d+(\.\d+)?(ms|s|min)$"},
}


def table_schema(cls: type) -> dict[str, Any]:
    """JSON Schema of one table, from the same fields that the reader reads."""
    properties: dict[str, Any] = {}
    required = []
    for entry in dataclasses.fields(cls):
        inner: type = entry.metadata["kind"]
        if dataclasses.is_dataclass(inner):
            properties[entry.name] = table_schema(inner)
            continue
        kind = dict(KINDS[inner])
        if entry.metadata["text"]:
            kind["description"] = f"for example {entry.metadata['text']}"
        properties[entry.name] = kind
        if entry.default is dataclasses.MISSING and entry.default_factory is dataclasses.MISSING:
            required.append(entry.name)
    return {"type": "object", "properties": properties, "required": required, "additionalProperties": False}


def schema() -> dict[str, Any]:
    """JSON Schema (draft 2020-12) of a description without includes. Ranges are the checker's to tell."""
    whole = table_schema(Top)
    for name, cls in TABLES.items():
        entry = table_schema(cls)
        if cls is Route:
            entry["required"] = []
        whole["properties"][name] = {
            "type": "object",
            "propertyNames": {"pattern": f"^{NAME.pattern}$"},
            "additionalProperties": entry,
        }
    whole["properties"]["defaults"] = table_schema(Route)
    whole["properties"]["features"] = table_schema(Features)
    whole["properties"]["budgets"] = table_schema(Budgets)
    whole["properties"]["sidecar"] = {"type": "array", "items": table_schema(Sidecar)}
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "willowwing", **whole}


def effective(description: Description) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Each value in force, defaults among them, with its path. Times in seconds."""
    for entry in dataclasses.fields(Top):
        yield (entry.name,), getattr(description.top, entry.name)
    for entry in dataclasses.fields(Features):
        yield ("features", entry.name), getattr(description.features, entry.name)
    for name, value in (("budgets", description.budgets),):
        if value is not None:
            yield from _effective(value, (name,))
    groups: list[tuple[str, Mapping[str, Any]]] = [
        ("class", description.classes),
        ("route", description.routes),
        ("tier", description.tiers),
        ("tenant", description.tenants),
        ("sidecar", {str(number): sidecar for number, sidecar in enumerate(description.sidecars)}),
    ]
    for table, entries in groups:
        for name, value in entries.items():
            yield from _effective(value, (table, name))


def _effective(value: Any, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Any]]:
    for entry in dataclasses.fields(value):
        inner = getattr(value, entry.name)
        if dataclasses.is_dataclass(inner):
            yield from _effective(inner, (*path, entry.name))
        elif inner is not None:
            yield (*path, entry.name), inner


def behaviour(cls: Class, route: Route) -> dict[str, Any]:
    """What happens to a call of the class, by the settings alone."""
    again = route.attempts - 1
    after_break = again if route.retry in ("by-key", "always") else 0
    found: dict[str, Any] = {
        "attempts after one that never ran": again if route.retry != "never" else 0,
        "attempts after a broken connection": after_break,
        "two attempts out at once": route.hedge and route.attempts > 1,
        "answered within": f"{cls.deadline:g} s",
        "worth its full worth within": f"{cls.aim:g} s",
        "worth": f"{cls.worth:g}",
        "a second execution": {"repeatable": "does no harm", "once": "does harm"}.get(
            cls.effect, f"is dropped by its {cls.group} for {cls.window:g} s"
        ),
    }
    if after_break and route.retry == "by-key":
        found["where after a broken connection"] = f"in its {route.retry_within}, {route.retry_for:g} s long"
    elif after_break:
        found["where after a broken connection"] = "anywhere, until its deadline"
    return found


def tier_behaviour(tier: Tier) -> dict[str, Any]:
    """Return what a tier's values mean for its requests."""
    return {
        "new calls after a drain was told": f"for {tier.drain:g} s",
        "killed after SIGTERM": f"{tier.stop_after:g} s",
        "cold servers get": f"{tier.push:g} times what they can do",
        "nodes": tier.nodes,
        "zones": ", ".join(tier.zones),
        "classes": ", ".join(tier.classes),
        "calls": ", ".join(tier.calls) or "nothing",
        "nodes are told by": " and ".join(
            ["the padron", *(["ephemeral nodes"] if tier.membership is not None else [])]
        ),
    }


def differences(old: Description, new: Description) -> Iterator[str]:
    """What a change of the description does to a call of each class and to each tier, one line each."""
    for name in sorted(old.classes.keys() | new.classes.keys()):
        if name not in new.classes or name not in old.classes:
            yield f"{name}: {'no longer taken' if name in old.classes else 'new'}"
            continue
        before = behaviour(old.classes[name], old.routes[name])
        after = behaviour(new.classes[name], new.routes[name])
        yield from _changed(name, before, after)
        example = rule_model.rule_two(name, new.classes[name], new.routes[name])
        if example is not None and rule_model.rule_two(name, old.classes[name], old.routes[name]) is None:
            yield f"{name}: breaks rule 2: {example}"
    for name in sorted(old.tiers.keys() | new.tiers.keys()):
        if name not in new.tiers or name not in old.tiers:
            yield f"tier {name}: {'gone' if name in old.tiers else 'new'}"
            continue
        yield from _changed(f"tier {name}", tier_behaviour(old.tiers[name]), tier_behaviour(new.tiers[name]))
        for rule, judge in ((3, rule_model.rule_three), (4, rule_model.rule_four)):
            if judge(name, new.tiers[name]) and not judge(name, old.tiers[name]):
                yield f"tier {name}: breaks rule {rule}: {judge(name, new.tiers[name])}"


def _changed(name: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for key in {**before, **after}:
        if before.get(key) != after.get(key):
            yield f"{name}: {key}: {_word(before.get(key))} -> {_word(after.get(key))}"


def _word(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
