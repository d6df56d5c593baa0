"""Migration of a description from an older format, line by line, preserving comments and order. Pure.

Each step migrates from one format to the next. A file without `format` (an include, an overlay) is treated as
having the oldest format.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from service_proxy.operator_file.positions import Path, Place, find_positions
from service_proxy.operator_file.reader import Problem
from service_proxy.sidecar.model import FORMAT

Lines = list[str]
Step = Callable[[str, Lines, Mapping[str, Any]], Iterator[Problem]]


def _rename_key(file: str, lines: Lines, place: Place, old: str, new: str) -> Problem | None:
    """Rename the key at a position, quoted or not; return a problem if the key can't be identified there."""
    line = lines[place.line - 1]
    before = line[: place.column - 1]
    from_key = line[place.column - 1 :]
    found = re.match(rf"""({old}|"{old}"|'{old}')(?=\s*[=.])""", from_key)
    if found is None:
        text = f"{old} is called {new} in the current format, but can't be renamed automatically here"
        return Problem(file, place.line, "C005", text, f"write {new} in place of {old}", place.column)
    lines[place.line - 1] = before + new + from_key[found.end() :]
    return None


def rename_listen(file: str, lines: Lines, raw: Mapping[str, Any]) -> Iterator[Problem]:
    """Migrate format 1 to 2: rename `listen` of [[sidecar]] to `inbound`, because `outbound` was added."""
    places = find_positions("".join(lines))
    sidecars = raw.get("sidecar", [])
    for number, sidecar in enumerate(sidecars if isinstance(sidecars, list) else []):
        if isinstance(sidecar, Mapping) and "listen" in sidecar:
            path: Path = ("sidecar", str(number), "listen")
            place = places.get(path) or places.get(path[:-1]) or places.get(path[:1], Place(1, 1))
            problem = _rename_key(file, lines, place, "listen", "inbound")
            if problem is not None:
                yield problem


STEPS: dict[int, Step] = {1: rename_listen}


def migrate(file: str, text: str) -> tuple[str, list[Problem]]:
    """Return the text in the current format.

    If problems prevent the migration, the text is returned unchanged, with the problems.

    Raises tomllib.TOMLDecodeError, a ValueError.
    """
    raw = tomllib.loads(text)
    version = raw.get("format", min(STEPS))
    if type(version) is not int or not min(STEPS) <= version <= FORMAT:
        place = find_positions(text).get(("format",), Place(1, 1))
        message = f"format {version!r} is not supported by this program"
        return text, [Problem(file, place.line, "C005", message, f"write format = {FORMAT}", place.column)]
    lines = text.splitlines(keepends=True)
    problems: list[Problem] = []
    for step in range(version, FORMAT):
        problems += STEPS[step](file, lines, raw)
    if "format" in raw and version != FORMAT:
        line = find_positions(text)["format",].line - 1
        lines[line] = re.sub(rf"=(\s*){version}\b", rf"=\g<1>{FORMAT}", lines[line], count=1)
    return (text, problems) if problems else ("".join(lines), [])
