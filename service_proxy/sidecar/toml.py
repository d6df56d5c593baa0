"""Typed tables back into TOML: what the tool writes in the operator's and the description's formats. Pure."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from typing import Any

from service_proxy.operator_file.reader import Duration
from service_proxy.sidecar.model import FORMAT, Description


def value_of(kind: Any, value: Any) -> str:
    """One value as TOML 1.0 has it. JSON's strings are basic strings of TOML's, but for DEL."""
    if kind is Duration:
        return f'"{value:.6f}'.rstrip("0").rstrip(".") + 's"'
    if kind is tuple:
        return "[" + ", ".join(value_of(str, item) for item in value) + "]"
    if kind is float:
        return repr(float(value))
    if kind is bool:
        return "true" if value else "false"
    if kind is int:
        return str(value)
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007F")


def table(value: Any, header: str) -> Iterator[str]:
    """Yield the lines of a table and of those within it.

    Keys at their default are left out, as are tables that are off.
    """
    inner = []
    yield header
    for entry in dataclasses.fields(value):
        found = getattr(value, entry.name)
        kind = entry.metadata["kind"]
        if dataclasses.is_dataclass(kind):
            if found is not None:
                inner.append((entry.name, found))
        elif kind is dict:
            for name, item in found.items():
                yield f"{entry.name}.{name} = {value_of(str, item)}"
        elif found != entry.default or header.startswith("[route"):
            yield f"{entry.name} = {value_of(kind, found)}"
    yield ""
    for name, found in inner:
        yield from table(found, f"[{header.strip('[]')}.{name}]")


def description_text(d: Description) -> str:
    """A description that reads as this one: includes, overlays, variables and defaults are worked in."""
    lines = [f"format = {FORMAT}"]
    for entry in dataclasses.fields(d.top):
        found = getattr(d.top, entry.name)
        if entry.name not in ("format", "include", "variables") and found != entry.default:
            lines.append(f"{entry.name} = {value_of(entry.metadata['kind'], found)}")
    lines.append("")
    lines += table(d.features, "[features]")
    if d.budgets is not None:
        lines += table(d.budgets, "[budgets]")
    for name, entries in (
        ("class", d.classes),
        ("route", d.routes),
        ("tier", d.tiers),
        ("tenant", d.tenants),
    ):
        for key, value in entries.items():
            lines += table(value, f"[{name}.{key}]")
    for sidecar in d.sidecars:
        lines += table(sidecar, "[[sidecar]]")
    return "\n".join(lines)
