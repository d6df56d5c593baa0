"""Where in a TOML text a key stands: tomllib tells values, not lines.

A scan over lines, not a parser: tomllib has accepted the text before, so only headers, keys, strings and
brackets have to be told apart. A key that the scan can't place gets its table's line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
KEY = re.compile(rf"\s*({NAME}(?:\s*\.\s*{NAME})*)\s*=")
HEADER = re.compile(r"\s*(\[\[?)([^\]]+)\]")
PART = re.compile(NAME)
QUOTED = re.compile(r'"(?:[^"\\]|\\.)*"|\'[^\']*\'')

Path = tuple[str, ...]


def _parts(text: str) -> Path:
    return tuple(part.strip("\"'") for part in PART.findall(text))


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands; both count from 1, the column in letters."""

    line: int
    column: int


def find_positions(text: str) -> dict[Path, Place]:
    """The places of tables and keys. An element of an array of tables has its place in the array as a part:
    `("sidecar", "0", "host")`."""
    found: dict[Path, Place] = {(): Place(1, 1)}
    counts: dict[Path, int] = {}
    table: Path = ()
    depth = 0  # of brackets that are open behind a key
    closing = ""  # of a string over several lines
    for number, line in enumerate(text.splitlines(), 1):
        rest = line
        place = Place(number, len(line) - len(line.lstrip()) + 1)
        if closing:
            _, end, rest = rest.partition(closing)
            if not end:
                continue
            closing = ""
        elif depth == 0:
            header = HEADER.match(rest)
            if header:
                table = ()
                for part in _parts(header[2]):  # a table below an array's element belongs to its last one
                    table += (part,)
                    if table in counts and table != _parts(header[2]):
                        table += (str(counts[table] - 1),)
                    found.setdefault(table, place)
                if header[1] == "[[":
                    counts[table] = counts.get(table, 0) + 1
                    found.setdefault(table, place)
                    table += (str(counts[table] - 1),)
                found.setdefault(table, place)
                continue
            key = KEY.match(rest)
            if key:
                path = table
                for part in _parts(key[1]):
                    path += (part,)
                    found.setdefault(path, place)
                rest = rest[key.end() :]
        for quotes in ('"""', "'''"):
            if quotes in rest:
                before, _, after = rest.partition(quotes)
                rest = before
                if quotes not in after:
                    closing = quotes
        rest = QUOTED.sub("", rest).split("#", 1)[0]
        depth = max(0, depth + rest.count("[") + rest.count("{") - rest.count("]") - rest.count("}"))
    return found


def place_of(found: dict[Path, Place], path: Path) -> Place:
    """The place of the key, or of the nearest table round it."""
    while path not in found:
        path = path[:-1]
    return found[path]
