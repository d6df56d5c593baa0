"""Reader of a TOML text into frozen dataclasses.

The reader reports wrong types, values out of range and unknown keys, each with file and line. A table is a
dataclass whose fields are made by `key()`. One reading finds all problems of a file.
"""

from __future__ import annotations

import dataclasses
import difflib
import math
import re
import tomllib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from service_proxy.operator_file.codes import CODES
from service_proxy.operator_file.positions import Path, find_place, find_positions

MAX_FILE_BYTES = 1 << 20  # a larger file is not an operator's file
TOML_ERROR_PLACE = re.compile(r"^(.*) \(at (?:line (\d+), column (\d+)|end of document)\)$")

T = TypeVar("T")
Check = Callable[[Any], str | None]  # returns the problem of a value as "must ...", or None


@dataclass(frozen=True, slots=True)
class Problem:
    """Finding with its position and its remedy."""

    file: str
    line: int
    code: str  # key of codes.CODES
    text: str  # what is wrong
    remedy: str  # what to write instead
    column: int = 1

    @property
    def is_warning(self) -> bool:
        """Whether the file is accepted despite the finding."""
        return CODES[self.code].is_warning

    def __str__(self) -> str:
        """Return the finding in the format of compiler messages."""
        severity = "warning" if self.is_warning else "error"
        first_line = f"{self.file}:{self.line}:{self.column}: {severity}[{self.code}]: {self.text}"
        return f"{first_line}\n  help: {self.remedy}"


class OperatorError(ValueError):
    """Raised for an operator's file that can't be used.

    `problems` has at least one entry; the entries are sorted by file and line.
    """

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: (problem.file, problem.line, problem.column))
        super().__init__("\n".join(map(str, self.problems)))


class Duration:
    """Kind of a time with its unit, such as "500ms", which is read as seconds."""


KIND_NAMES = {float: "a number", int: "a whole number", str: "a string", bool: "true or false"}
UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min)")


def key(kind: type, text: str, default: Any = dataclasses.MISSING, check: Check | None = None) -> Any:
    """Return the dataclass field of one key of a table.

    Args:
        kind: str, int, float, bool, tuple (of strings), Duration, or the dataclass of a nested table.
        text: an example of the value, for the remedy of a problem.
        default: the value if the key is left out; without a default the key is required.
        check: a check of the value, run after the value has its kind.
    """
    return dataclasses.field(
        **({} if default is dataclasses.MISSING else {"default": default}),
        metadata={"kind": kind, "text": text, "check": check},
    )


def between(minimum: float, maximum: float) -> Check:
    """Return a check that a number lies between `minimum` and `maximum`."""

    def check(value: float) -> str | None:
        return None if minimum <= value <= maximum else f"must lie between {minimum:g} and {maximum:g}"

    return check


class TableReader:
    """Reader of the tables of one file, which collects the file's problems."""

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.places = find_positions(text)

    def add_problem(self, path: Path, code: str, text: str, remedy: str) -> None:
        """Record a problem of the key at `path`."""
        place = find_place(self.places, path)
        self.problems.append(Problem(self.file, place.line, code, text, remedy, place.column))

    def read_table(self, cls: type[T], raw: object, path: Path) -> T | None:
        """Return `raw` as an object of `cls`, or None if it has problems."""
        name = ".".join(path)
        if not isinstance(raw, Mapping):
            self.add_problem(
                path, "S104", f"{name} is no table", f"write a line [{name}] with its keys below it"
            )
            return None
        fields = {field.name: field for field in dataclasses.fields(cls)}  # type: ignore[arg-type]
        problems_before = len(self.problems)
        for unknown in raw.keys() - fields.keys():
            text = f"unknown key {unknown} in [{name}]"
            self.add_problem((*path, unknown), "S101", text, suggest_name(unknown, fields))
        values = {}
        for field in fields.values():
            text = field.metadata["text"]
            if field.name not in raw:
                if field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
                    self.add_problem(
                        path, "S103", f"[{name}] lacks {field.name}", f"write {field.name} = {text}"
                    )
                continue
            kind = field.metadata["kind"]
            if isinstance(kind, type) and dataclasses.is_dataclass(kind):  # nested table
                values[field.name] = self.read_table(kind, raw[field.name], (*path, field.name))
                continue
            value, code, problem = _convert(kind, raw[field.name])
            check = field.metadata["check"]
            if problem is None and check is not None:
                code = "S105"
                problem = check(value)
            if problem is not None:
                field_path = (*path, field.name)
                self.add_problem(field_path, code, f"{field.name} {problem}", f"write {field.name} = {text}")
            values[field.name] = value
        return cls(**values) if len(self.problems) == problems_before else None


def suggest_name(unknown: str, known_names: Iterable[str]) -> str:
    """Return a remedy for an unknown name: the closest known name, or the list of known names."""
    names = sorted(known_names)
    closest = difflib.get_close_matches(unknown, names, 1)
    return f"write {closest[0]}" if closest else "leave it out; known are " + ", ".join(names)


def _convert(kind: type, raw: Any) -> tuple[Any, str, str | None]:
    """Return the value and the code and text of its problem; the text is None for a valid value."""
    if kind is Duration:
        return _parse_duration(raw)
    if kind is float and type(raw) in (int, float):
        return float(raw), "S105", None if math.isfinite(raw) else "is not finite"
    if kind is dict:
        return raw, "S104", None if isinstance(raw, dict) else "must be a table"
    if kind is tuple:
        is_list = isinstance(raw, list) and all(isinstance(item, str) for item in raw)
        return (tuple(raw), "S104", None) if is_list else (raw, "S104", "must be a list of strings")
    problem = None if type(raw) is kind else f"must be {KIND_NAMES[kind]}, not {raw!r:.40}"
    return raw, "S104", problem


def _parse_duration(raw: Any) -> tuple[Any, str, str | None]:
    if not isinstance(raw, str):
        code = "S106" if type(raw) in (int, float) else "S104"
        return raw, code, f'is a time and needs its unit, as in "{raw}ms" or "{raw}s"'
    found = DURATION.fullmatch(raw)
    if not found:
        return raw, "S106", f"is not a time: {raw!r:.40}; units are ms, s and min, with no space before them"
    return float(found[1]) * UNIT_SECONDS[found[2]], "", None


def read_text(file: str) -> tuple[str, dict[str, Any]]:
    """Return the file's text and its parsed TOML.

    Raises:
        OperatorError: the file can't be read, is too large, or is not valid TOML.
    """
    remedy = "name a TOML file such as deploy/operator.toml"
    try:
        with open(file, "rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise OperatorError([Problem(file, 1, "C001", f"can't be read: {reason}", remedy)]) from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError([Problem(file, 1, "C003", f"larger than {MAX_FILE_BYTES} bytes", remedy)])
    if data.startswith(b"\xef\xbb\xbf"):
        raise OperatorError(
            [Problem(file, 1, "C004", "begins with a byte order mark", "save it without one")]
        )
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise OperatorError([Problem(file, line, "C004", "is not UTF-8 here", "save it as UTF-8")]) from None
    try:
        return text, tomllib.loads(text)
    except RecursionError:
        raise OperatorError([Problem(file, 1, "C003", "nested too deep", remedy)]) from None
    except ValueError as error:
        place_match = TOML_ERROR_PLACE.match(str(error))
        line, column = text.count("\n") + 1, 1
        if place_match and place_match[2]:
            line, column = int(place_match[2]), int(place_match[3])
        reason = place_match[1] if place_match else str(error)
        problem = Problem(file, line, "C002", f"is no TOML: {reason}", "correct this line", column)
        raise OperatorError([problem]) from None
