"""Positions of keys in a TOML text, because tomllib returns values without their lines.

This module scans lines and does not parse TOML: tomllib has accepted the text before, so only headers, keys,
strings and brackets have to be distinguished. A key that the scan can't locate gets its table's line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

NAME = r"""(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')"""
KEY = re.compile(rf"\s*({NAME}(?:\s*\.\s*{NAME})*)\s*=")
HEADER = re.compile(r"\s*(\[\[?)([^\]]+)\]")
PART = re.compile(NAME)
QUOTED = re.compile(r'"(?:[^"\\]|\\.)*"|\'[^\']*\'')

MULTILINE_QUOTES = ('"""', "'''")

Path = tuple[str, ...]


def _parts(text: str) -> Path:
    return tuple(part.strip("\"'") for part in PART.findall(text))


@dataclass(frozen=True, slots=True)
class Place:
    """Position in a text; both numbers count from 1, and the column counts characters."""

    line: int
    column: int


def find_positions(text: str) -> dict[Path, Place]:
    """Return the positions of tables and keys.

    The path of an element of an array of tables contains its index in the array: `("sidecar", "0", "host")`.
    """
    scanner = _Scanner()
    for number, line in enumerate(text.splitlines(), 1):
        scanner.scan_line(number, line)
    return scanner.places


class _Scanner:
    """Scanner of the lines of a text that tomllib has accepted."""

    def __init__(self) -> None:
        self.places: dict[Path, Place] = {(): Place(1, 1)}
        self.array_sizes: dict[Path, int] = {}
        self.table: Path = ()
        self.open_brackets = 0  # open brackets in the value of the last key
        self.closing_quotes = ""  # closing quotes of an unfinished multi-line string

    def scan_line(self, number: int, line: str) -> None:
        """Record the positions of the tables and keys on the line."""
        remainder = line
        place = Place(number, len(line) - len(line.lstrip()) + 1)
        if self.closing_quotes:
            _, end, remainder = remainder.partition(self.closing_quotes)
            if not end:
                return
            self.closing_quotes = ""
        elif self.open_brackets == 0:
            header = HEADER.match(remainder)
            if header:
                self._enter_table(_parts(header[2]), header[1] == "[[", place)
                return
            key = KEY.match(remainder)
            if key:
                self._add_key(_parts(key[1]), place)
                remainder = remainder[key.end() :]
        self._count_brackets(self._before_multiline_string(remainder))

    def _enter_table(self, parts: Path, is_array: bool, place: Place) -> None:
        table: Path = ()
        for part in parts:  # a table below an array of tables belongs to the array's last element
            table += (part,)
            if table in self.array_sizes and table != parts:
                table += (str(self.array_sizes[table] - 1),)
            self.places.setdefault(table, place)
        if is_array:
            self.array_sizes[table] = self.array_sizes.get(table, 0) + 1
            table += (str(self.array_sizes[table] - 1),)
        self.places.setdefault(table, place)
        self.table = table

    def _add_key(self, parts: Path, place: Place) -> None:
        path = self.table
        for part in parts:
            path += (part,)
            self.places.setdefault(path, place)

    def _before_multiline_string(self, remainder: str) -> str:
        """Return the part before a multi-line string, and record the quotes that close the string."""
        for quotes in MULTILINE_QUOTES:
            if quotes in remainder:
                remainder, _, after_quotes = remainder.partition(quotes)
                if quotes not in after_quotes:
                    self.closing_quotes = quotes
        return remainder

    def _count_brackets(self, remainder: str) -> None:
        remainder = QUOTED.sub("", remainder).split("#", 1)[0]
        opened = remainder.count("[") + remainder.count("{")
        closed = remainder.count("]") + remainder.count("}")
        self.open_brackets = max(0, self.open_brackets + opened - closed)


def find_place(found: dict[Path, Place], path: Path) -> Place:
    """Return the position of the key at `path`, or of the nearest table that encloses the key."""
    while path not in found:
        path = path[:-1]
    return found[path]
