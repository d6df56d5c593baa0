"""Checks that log lines have one form, and that the on-call table lists each of them with its level."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from source_files import parse_source

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "service_proxy"
TABLE = ROOT / "docs" / "operators" / "oncall.md"
# An event, followed by fields; free text may follow in brackets.
FORM = re.compile(r"[a-z]+(_[a-z]+)*( [a-z_]+=\S.*)?", re.S)
LEVELS = {"debug", "info", "warning", "error", "exception"}
ROW = re.compile(r"^\| `([a-z_]+)` \| (info|warning|error|varies) \|", re.M)
# Templates that are built elsewhere and passed to the logger whole, by file. The functions and messages that
# build these templates are checked instead.
BUILT_ELSEWHERE = {"fleet/service.py": "line.text", "ephemeral_nodes/source.py": "'%s'"}


class LogCall(NamedTuple):
    """One call of a logger, or one line that is built for a logger."""

    place: str
    level: str
    template: str


def text_of(node: ast.expr) -> str:
    """Return a string, with %s in place of each expression of an f-string."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(text_of(part) if isinstance(part, ast.Constant) else "%s" for part in node.values)
    return ""


def calls_in(file: Path) -> Iterator[LogCall]:
    place = str(file.relative_to(PACKAGE))
    for node in ast.walk(parse_source(file)):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        if not (isinstance(node.func.value, ast.Name) and node.func.value.id == "log"):
            continue
        level = node.func.attr
        if level in LEVELS | {"log"}:
            template = node.args[1 if level == "log" else 0]
            if BUILT_ELSEWHERE.get(place) != ast.unparse(template):
                shown = {"log": "varies", "exception": "error"}.get(level, level)
                yield LogCall(f"{place}:{node.lineno}", shown, text_of(template))


def fleet_lines() -> Iterator[LogCall]:
    """Yield the lines of fleet/log_lines.py, where each function has the name of its event."""
    file = PACKAGE / "fleet" / "log_lines.py"
    for function in parse_source(file).body:
        if isinstance(function, ast.FunctionDef):
            texts = [text_of(node) for node in ast.walk(function) if isinstance(node, ast.expr)]
            template = max((text for text in texts if text.startswith(function.name)), key=len)
            (level,) = re.findall(r"logging\.([A-Z]+)", ast.unparse(function))
            yield LogCall(f"fleet/log_lines.py:{function.lineno}", level.lower(), template)


def merger_notes() -> Iterator[LogCall]:
    """Yield the lines that the merger of endpoint lists records; all of them are written at one level."""
    file = PACKAGE / "ephemeral_nodes" / "merger.py"
    for node in ast.walk(parse_source(file)):
        if isinstance(node, ast.JoinedStr) and FORM.fullmatch(text_of(node)) and "=" in text_of(node):
            yield LogCall(f"ephemeral_nodes/merger.py:{node.lineno}", "info", text_of(node))


def all_lines() -> list[LogCall]:
    plain = [call for file in sorted(PACKAGE.rglob("*.py")) for call in calls_in(file)]
    return [*plain, *fleet_lines(), *merger_notes()]


def test_each_line_is_an_event_with_fields() -> None:
    malformed = [call for call in all_lines() if not FORM.fullmatch(call.template)]
    assert malformed == []


def test_the_table_names_each_event_with_its_level() -> None:
    rows = dict(ROW.findall(TABLE.read_text(encoding="utf-8")))
    levels: dict[str, set[str]] = {}
    for call in all_lines():
        levels.setdefault(call.template.split(" ")[0], set()).add(call.level)
    expected = {event: found.pop() if len(found) == 1 else "varies" for event, found in levels.items()}
    assert rows == expected
