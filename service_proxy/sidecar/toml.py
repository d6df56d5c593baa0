"""Writer of typed tables as TOML, in the operator's and the description's formats. Pure."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from typing import Any

from service_proxy.operator_file.reader import Duration
from service_proxy.sidecar.model import FORMAT, Description


def format_value(kind: Any, value: Any) -> str:
    """Return a value as TOML 1.0.

    JSON strings are valid basic strings of TOML, except for the character DEL.
    """
    if kind is Duration:
        return f'"{value:.6f}'.rstrip("0").rstrip(".") + 's"'
    if kind is tuple:
        return "[" + ", ".join(format_value(str, item) for item in value) + "]"
    if kind is float:
        return repr(float(value))
    if kind is bool:
        return "true" if value else "false"
    if kind is int:
        return str(value)
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007F")


def format_table(value: Any, header: str) -> Iterator[str]:
    """Yield the lines of a table and of its nested tables.

    Keys with their default value are omitted, and so are nested tables that are not set.
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
                yield f"{entry.name}.{name} = {format_value(str, item)}"
        elif found != entry.default or header.startswith("[route"):
            yield f"{entry.name} = {format_value(kind, found)}"
    yield ""
    for name, found in inner:
        yield from format_table(found, f"[{header.strip('[]')}.{name}]")


def description_text(d: Description) -> str:
    """Return a TOML text that is read as an equal description.

    Includes, overlays, variables and defaults are resolved in the text.
    """
    lines = [f"format = {FORMAT}"]
    for entry in dataclasses.fields(d.top):
        found = getattr(d.top, entry.name)
        if entry.name not in ("format", "include", "variables") and found != entry.default:
            lines.append(f"{entry.name} = {format_value(entry.metadata['kind'], found)}")
    lines.append("")
    lines += format_table(d.features, "[features]")
    if d.budgets is not None:
        lines += format_table(d.budgets, "[budgets]")
    for name, entries in (
        ("class", d.classes),
        ("route", d.routes),
        ("tier", d.tiers),
        ("tenant", d.tenants),
    ):
        for key, value in entries.items():
            lines += format_table(value, f"[{name}.{key}]")
    for sidecar in d.sidecars:
        lines += format_table(sidecar, "[[sidecar]]")
    return "\n".join(lines)
