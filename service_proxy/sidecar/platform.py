"""Checks of a platform's JSON (DEPLOY, EDGE_CONFIG): its structure, its settings and the four rules.

The JSON defines how requests of a class are treated, but not whether the class is idempotent. If a
description is checked along with the JSON, the description defines the effect of the class, and rule_model.py
finds whether the treatment breaks a rule.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator, Mapping
from typing import Any

from service_proxy.net.config import flatten_settings
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file.positions import Path, Place, find_place
from service_proxy.operator_file.reader import MAX_FILE_BYTES, OperatorError, Problem, suggest_name
from service_proxy.settings import read_settings
from service_proxy.sidecar import rule_model
from service_proxy.sidecar.model import ClassDescription, Description, Route

TOP_LEVEL_KEYS = frozenset(
    "name listen discovery seed limits peer_listen peers peers_all known settings written forms".split()
)
TOKEN = re.compile(r'\s*("(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+)')
RETRY_BY_EFFECT = {"repeatable": "always", "by_key": "by-key", "once": "never-ran"}
SETTING_PATTERN = re.compile(r"setting (?:class (?P<cls>\S+) )?(?P<path>[\w.]+)")


class DuplicateKeyError(ValueError):
    """Error: a JSON object contains a key twice. JSON readers use the last one without an error."""


def _to_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise DuplicateKeyError(key)
        found[key] = value
    return found


def json_positions(text: str) -> dict[Path, Place]:
    """Return the positions of keys and elements in a JSON text that the JSON parser has accepted."""
    found: dict[Path, Place] = {(): Place(1, 1)}
    stack: list[list[Any]] = []  # open containers, each as [kind, key or index, whether a key follows]
    offset = 0
    while token := TOKEN.match(text, offset):
        offset = token.end()
        value = token[1]
        start = token.start(1)
        line = text.count("\n", 0, start) + 1
        place = Place(line, start - text.rfind("\n", 0, start))
        container = stack[-1] if stack else None
        if value in "}]":
            stack.pop()
            continue
        if value == ",":
            assert container is not None
            if container[0] == "[":
                container[1] += 1
            else:
                container[2] = True
            continue
        if value == ":":
            continue
        if container is not None and container[0] == "{" and container[2]:
            container[1] = json.loads(value)
            container[2] = False
            found.setdefault(tuple(str(entry[1]) for entry in stack), place)
            continue
        path = tuple(str(entry[1]) for entry in stack)
        found.setdefault(path, place)
        if value in "{[":
            stack.append([value, "" if value == "{" else 0, value == "{"])
    return found


class Platform:
    """Platform's JSON and the problems found in it. Raises OperatorError if the file can't be read."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        remedy = "name a file that `write` made"
        try:
            with open(file, "rb") as source:
                data = source.read(MAX_FILE_BYTES + 1)
        except OSError as error:
            raise self._unreadable("C001", f"can't be read: {error.strerror}", remedy) from None
        if len(data) > MAX_FILE_BYTES:
            raise self._unreadable("C003", f"larger than {MAX_FILE_BYTES} bytes", remedy)
        try:
            text = data.decode("utf-8")
            self.raw = json.loads(text, object_pairs_hook=_to_object)
            self.places = json_positions(text)
        except DuplicateKeyError as error:
            places = [found.start() for found in re.finditer(re.escape(json.dumps(str(error))), text)]
            line = text.count("\n", 0, places[1] if len(places) > 1 else 0) + 1
            raise self._unreadable(
                "C002", f"has the key {error} twice", "remove one of the two", line
            ) from None
        except json.JSONDecodeError as error:
            message = f"is not JSON: {error.msg}"
            raise self._unreadable("C002", message, "correct this line", error.lineno, error.colno) from None
        except (UnicodeDecodeError, RecursionError):
            raise self._unreadable(
                "C004", "is not UTF-8, or is nested too deep", "save it as UTF-8"
            ) from None
        self._check()

    def _unreadable(self, code: str, text: str, remedy: str, line: int = 1, column: int = 1) -> OperatorError:
        return OperatorError([Problem(self.file, line, code, text, remedy, column)])

    def add_problem(self, path: Path, code: str, text: str, remedy: str) -> None:
        """Add a problem at the position of a path."""
        place = find_place(self.places, path)
        self.problems.append(Problem(self.file, place.line, code, text, remedy, place.column))

    @property
    def settings(self) -> Mapping[str, Any]:
        """The object `settings` of the JSON, or an empty one if it is missing."""
        found = self.raw.get("settings") if isinstance(self.raw, dict) else None
        return found if isinstance(found, dict) else {}

    def _check(self) -> None:
        if not isinstance(self.raw, dict) or not self.settings:
            self.add_problem((), "S103", "the object settings is missing", 'write {"settings": {...}, ...}')
            return
        for key in self.raw.keys() - TOP_LEVEL_KEYS:
            self.add_problem((key,), "S101", f"unknown key {key}", suggest_name(key, TOP_LEVEL_KEYS))
        for key in ("listen", "discovery"):
            if key in self.raw:
                try:
                    parse_address(self.raw[key])
                except ValueError as error:
                    self.add_problem((key,), "S105", str(error), 'write "127.0.0.1:8081"')
        try:
            read_settings(flatten_settings(self.raw["settings"]))
        except (ValueError, TypeError, AttributeError) as error:
            self.add_problem(
                self._path_of(str(error)), "S105", str(error), "write a value that the platform's page allows"
            )
        limits = self.settings.get("policy_limits", {})
        if (
            isinstance(limits, dict)
            and limits.get("may_duplicate") is True
            and limits.get("send_cap", 1) != 1
        ):
            path = ("settings", "policy_limits", "may_duplicate")
            self.add_problem(
                path, "R202", "two attempts of a request may be in flight at once", "write false"
            )
        contract = self.settings.get("contract", {})
        grace = contract.get("drain_grace", 0) if isinstance(contract, dict) else 0
        if isinstance(grace, int | float) and grace > rule_model.MAX_DRAIN_S:
            path = ("settings", "contract", "drain_grace")
            self.add_problem(
                path,
                "R203",
                f"new requests may be sent to a draining server for {grace:g} s",
                "write 2.0 or less",
            )

    def _path_of(self, text: str) -> Path:
        """Return the path of the setting that an error message of read_settings names."""
        found = SETTING_PATTERN.match(text)
        if not found:
            return ("settings",)
        parts = tuple(found["path"].split("."))
        if found["cls"]:
            for number, grade in enumerate(self.settings.get("grades", [])):
                if isinstance(grade, dict) and grade.get("name") == found["cls"]:
                    return ("settings", "grades", str(number), *parts)
        return ("settings", *parts)

    def compare_with(self, descriptions: list[Description]) -> Iterator[Problem]:
        """Yield a problem for each class whose treatment breaks rule 2 according to its description."""
        described: dict[str, tuple[ClassDescription, Description]] = {}
        for description in descriptions:
            for name, cls in description.classes.items():
                described.setdefault(name, (cls, description))
        before = len(self.problems)
        grades = self.settings.get("grades")
        limits = self.settings.get("policy_limits", {})
        for number, grade in enumerate(grades if isinstance(grades, list) else []):
            if not isinstance(grade, dict) or grade.get("name") not in described:
                continue
            cls, description = described[grade["name"]]
            route = Route(
                RETRY_BY_EFFECT.get(str(grade.get("effect")), "never-ran"),
                str(grade.get("group", "all")),
                float(grade.get("window", 0.0)),
                int(limits.get("send_cap", 1)),
            )
            example = rule_model.rule_two(grade["name"], cls, route)
            if example is not None:
                path = ("settings", "grades", str(number), "effect")
                text = (
                    f"{grade['name']} is {cls.effect} by {description.file}; with this treatment, {example}"
                )
                self.add_problem(path, "R202", text, "write the file again from its description")
        yield from self.problems[before:]
