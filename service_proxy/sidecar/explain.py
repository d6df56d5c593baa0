"""Schema, effective values and comparison of descriptions. Pure."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

from service_proxy.operator_file.reader import Duration
from service_proxy.operator_file.schema import Budgets
from service_proxy.sidecar import rule_model
from service_proxy.sidecar.model import (
    NAME,
    TABLES,
    ClassDescription,
    Description,
    Features,
    Route,
    Sidecar,
    Tier,
    TopLevelKeys,
)

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
    """Return the JSON Schema of one table, generated from the fields that the reader uses."""
    properties: dict[str, Any] = {}
    required = []
    for entry in dataclasses.fields(cls):
        value_kind: type = entry.metadata["kind"]
        if dataclasses.is_dataclass(value_kind):
            properties[entry.name] = table_schema(value_kind)
            continue
        kind = dict(KINDS[value_kind])
        if entry.metadata["text"]:
            kind["description"] = f"for example {entry.metadata['text']}"
        properties[entry.name] = kind
        if entry.default is dataclasses.MISSING and entry.default_factory is dataclasses.MISSING:
            required.append(entry.name)
    return {"type": "object", "properties": properties, "required": required, "additionalProperties": False}


def schema() -> dict[str, Any]:
    """Return the JSON Schema (draft 2020-12) of a description, with types and names but without ranges."""
    document = table_schema(TopLevelKeys)
    for name, cls in TABLES.items():
        entry = table_schema(cls)
        if cls is Route:
            entry["required"] = []
        document["properties"][name] = {
            "type": "object",
            "propertyNames": {"pattern": f"^{NAME.pattern}$"},
            "additionalProperties": entry,
        }
    document["properties"]["defaults"] = table_schema(Route)
    document["properties"]["features"] = table_schema(Features)
    document["properties"]["budgets"] = table_schema(Budgets)
    document["properties"]["sidecar"] = {"type": "array", "items": table_schema(Sidecar)}
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "willowwing", **document}


def effective_values(description: Description) -> Iterator[tuple[tuple[str, ...], Any]]:
    """Yield each effective value, defaults included, with its path. Times are in seconds."""
    for entry in dataclasses.fields(TopLevelKeys):
        yield (entry.name,), getattr(description.top, entry.name)
    for entry in dataclasses.fields(Features):
        yield ("features", entry.name), getattr(description.features, entry.name)
    for name, value in (("budgets", description.budgets),):
        if value is not None:
            yield from _effective_table(value, (name,))
    groups: list[tuple[str, Mapping[str, Any]]] = [
        ("class", description.classes),
        ("route", description.routes),
        ("tier", description.tiers),
        ("tenant", description.tenants),
        ("sidecar", {str(number): sidecar for number, sidecar in enumerate(description.sidecars)}),
    ]
    for table, entries in groups:
        for name, value in entries.items():
            yield from _effective_table(value, (table, name))


def _effective_table(value: Any, path: tuple[str, ...]) -> Iterator[tuple[tuple[str, ...], Any]]:
    for entry in dataclasses.fields(value):
        field_value = getattr(value, entry.name)
        if dataclasses.is_dataclass(field_value):
            yield from _effective_table(field_value, (*path, entry.name))
        elif field_value is not None:
            yield (*path, entry.name), field_value


def behaviour(cls: ClassDescription, route: Route) -> dict[str, Any]:
    """Return the meaning of the settings for a request of a class."""
    retries = route.attempts - 1
    retries_after_break = retries if route.retry in ("by-key", "always") else 0
    found: dict[str, Any] = {
        "attempts after one that never ran": retries if route.retry != "never" else 0,
        "attempts after a broken connection": retries_after_break,
        "two attempts in flight at once": route.hedge and route.attempts > 1,
        "answered within": f"{cls.deadline:g} s",
        "has its full worth within": f"{cls.aim:g} s",
        "worth": f"{cls.worth:g}",
        "a second execution": {"repeatable": "does no harm", "once": "does harm"}.get(
            cls.effect, f"is dropped by its {cls.group} for {cls.window:g} s"
        ),
    }
    if retries_after_break and route.retry == "by-key":
        found["where to retry after a broken connection"] = (
            f"in its {route.retry_within}, for {route.retry_for:g} s"
        )
    elif retries_after_break:
        found["where to retry after a broken connection"] = "anywhere, until its deadline"
    return found


def tier_behaviour(tier: Tier) -> dict[str, Any]:
    """Return the meaning of a tier's values for its requests."""
    return {
        "new requests after a drain begins": f"for {tier.drain:g} s",
        "killed after SIGTERM": f"{tier.stop_after:g} s",
        "servers that warm up get": f"{tier.push:g} times their capacity",
        "nodes": tier.nodes,
        "zones": ", ".join(tier.zones),
        "classes": ", ".join(tier.classes),
        "calls": ", ".join(tier.calls) or "nothing",
        "nodes are discovered by": " and ".join(
            ["the padron", *(["ephemeral nodes"] if tier.membership is not None else [])]
        ),
    }


def differences(old: Description, new: Description) -> Iterator[str]:
    """Yield the effects of a change of the description on each class and tier, one line each."""
    for name in sorted(old.classes.keys() | new.classes.keys()):
        if name not in new.classes or name not in old.classes:
            yield f"{name}: {'no longer served' if name in old.classes else 'new'}"
            continue
        before = behaviour(old.classes[name], old.routes[name])
        after = behaviour(new.classes[name], new.routes[name])
        yield from _format_changes(name, before, after)
        example = rule_model.rule_two(name, new.classes[name], new.routes[name])
        if example is not None and rule_model.rule_two(name, old.classes[name], old.routes[name]) is None:
            yield f"{name}: breaks rule 2: {example}"
    for name in sorted(old.tiers.keys() | new.tiers.keys()):
        if name not in new.tiers or name not in old.tiers:
            yield f"tier {name}: {'gone' if name in old.tiers else 'new'}"
            continue
        yield from _format_changes(
            f"tier {name}", tier_behaviour(old.tiers[name]), tier_behaviour(new.tiers[name])
        )
        for rule, find_example in ((3, rule_model.rule_three), (4, rule_model.rule_four)):
            example = find_example(name, new.tiers[name])
            if example is not None and find_example(name, old.tiers[name]) is None:
                yield f"tier {name}: breaks rule {rule}: {example}"


def _format_changes(name: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for key in {**before, **after}:
        if before.get(key) != after.get(key):
            yield f"{name}: {key}: {_format_value(before.get(key))} -> {_format_value(after.get(key))}"


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)
