"""Reader of a description: its file, its includes, the overlay of an environment, and declared variables.

Later layers override earlier ones key by key: the included files in their order, the file itself, the overlay
(`NAME.ENVIRONMENT.toml` beside `NAME.toml`). Tables are merged; a list or an array of tables is replaced.
The origin of each value is recorded, so that a finding names the file and line to change.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from pathlib import Path as FilePath
from typing import Any

from service_proxy.operator_file.contradictions import check_membership, check_registration
from service_proxy.operator_file.positions import Path, Place, find_place, find_positions
from service_proxy.operator_file.reader import OperatorError, Problem, TableReader, read_text, suggest_name
from service_proxy.operator_file.schema import Budgets
from service_proxy.operator_file.value_checks import find_address_problem
from service_proxy.sidecar.description_checks import check_description
from service_proxy.sidecar.model import (
    FORMAT,
    TABLES,
    ClassDescription,
    Description,
    Features,
    Route,
    Sidecar,
    TopLevelKeys,
)

MAX_FILES = 32  # maximum number of files of one description, with its includes
MAX_DEPTH = 32  # maximum nesting depth of tables and lists; the format needs 4
VARIABLE = re.compile(r"\$\{([^}]*)\}")
NON_DECIMAL_NUMBER = re.compile(r"=\s*(0[xob][0-9a-fA-F_]+)")


@dataclass(frozen=True, slots=True)
class Origin:
    """File and position that a value comes from."""

    file: str
    place: Place


class LayeredReader(TableReader):
    """Reader of several files, of which later ones override earlier ones."""

    def __init__(self, file: str) -> None:
        super().__init__(file, "")
        self.raw: dict[str, Any] = {}
        self.origins: dict[Path, Origin] = {(): Origin(file, Place(1, 1))}

    def add_problem(self, path: Path, code: str, text: str, remedy: str) -> None:
        """Add a problem at the origin of the path's value."""
        origin = self.origin(path)
        self.problems.append(Problem(origin.file, origin.place.line, code, text, remedy, origin.place.column))

    def origin(self, path: Path) -> Origin:
        """Return the origin of a value, or of the innermost existing table if the value is missing."""
        while path not in self.origins:
            path = path[:-1]
        return self.origins[path]

    def add_layer(self, file: str, text: str, raw: Mapping[str, Any]) -> None:
        """Add a file that overrides the earlier ones."""
        places = find_positions(text)
        self._merge(self.raw, raw, (), file, places)

    def _merge(
        self, target: dict[str, Any], raw: Mapping[str, Any], path: Path, file: str, places: dict[Path, Place]
    ) -> None:
        for name, value in raw.items():
            key_path = (*path, name)
            if isinstance(value, Mapping):
                nested = target.get(name)
                if not isinstance(nested, dict):
                    nested = target[name] = {}
                self.origins.setdefault(key_path, Origin(file, find_place(places, key_path)))
                self._merge(nested, value, key_path, file, places)
                continue
            target[name] = value
            for replaced in [replaced for replaced in self.origins if replaced[: len(key_path)] == key_path]:
                del self.origins[replaced]
            self.origins[key_path] = Origin(file, find_place(places, key_path))
            if isinstance(value, list):
                for path_of_element, place in places.items():
                    if path_of_element[: len(key_path)] == key_path:
                        self.origins[path_of_element] = Origin(file, place)


def overlay_of(file: str, environment: str) -> str:
    """Return the path of the environment's overlay."""
    path = FilePath(file)
    return str(path.with_name(f"{path.stem}.{environment}{path.suffix}"))


def load(
    file: str, environment: str = "", environ: Mapping[str, str] = os.environ
) -> tuple[LayeredReader, Description | None]:
    """Read a description with its includes, overlay and variables.

    Return the layers with all problems found, and the description, or None if it can't be built. Raises
    OperatorError if a file can't be read at all.
    """
    layers = LayeredReader(file)
    for name, (text, raw) in _read_files(layers, file).items():
        _check_depth(name, raw)
        for number, line in enumerate(text.splitlines(), 1):
            number_literal = NON_DECIMAL_NUMBER.search(line.split("#", 1)[0])
            if number_literal:
                problem = Problem(
                    name,
                    number,
                    "S110",
                    f"{number_literal[1]} is written in another base",
                    f"write {int(number_literal[1], 0)}",
                    number_literal.start(1) + 1,
                )
                layers.problems.append(problem)
        layers.add_layer(name, text, raw)
    if environment:
        name = overlay_of(file, environment)
        text, raw = read_text(name)
        _check_depth(name, raw)
        layers.add_layer(name, text, raw)
    _substitute_variables(layers, environ)
    return layers, build(layers)


def _read_files(layers: LayeredReader, file: str) -> dict[str, tuple[str, dict[str, Any]]]:
    """Return the text and TOML of the included files and then of the file itself, each read once."""
    found: dict[str, tuple[str, dict[str, Any]]] = {}
    root = FilePath(file).resolve().parent

    def read_file(name: str, including: tuple[str, ...]) -> None:
        text, raw = read_text(name)
        layers.origins[("include",)] = Origin(name, find_place(find_positions(text), ("include",)))
        included = raw.get("include", [])
        for entry in included if isinstance(included, list) else []:
            if not isinstance(entry, str):
                continue
            path = FilePath(name).parent / entry
            if not path.resolve().is_relative_to(root):
                layers.add_problem(
                    ("include",),
                    "C006",
                    f"{entry} is outside the folder {root.name}",
                    "put the file into the description's folder",
                )
            elif str(path) in (*including, name):
                layers.add_problem(("include",), "C006", f"{entry} includes itself", "remove it")
            elif len(found) >= MAX_FILES:
                layers.add_problem(
                    ("include",), "C006", f"the description has more than {MAX_FILES} files", "include fewer"
                )
                return
            elif not path.is_file():
                layers.add_problem(
                    ("include",), "C006", f"{entry} does not exist", "write the name of an existing file here"
                )
            else:
                read_file(str(path), (*including, name))
        found.setdefault(name, (text, raw))

    read_file(file, ())
    return found


def _check_depth(file: str, raw: object) -> None:
    """Raise OperatorError if tables and lists are nested too deep; the check works without recursion."""
    level: list[object] = [raw]
    for _ in range(MAX_DEPTH):
        level = [item for entry in level for item in _elements(entry)]
        if not level:
            return
    raise OperatorError(
        [Problem(file, 1, "C003", f"tables or lists are nested deeper than {MAX_DEPTH}", "flatten them")]
    )


def _elements(entry: object) -> list[object]:
    if isinstance(entry, Mapping):
        return list(entry.values())
    return list(entry) if isinstance(entry, list) else []


def _substitute_variables(layers: LayeredReader, environ: Mapping[str, str]) -> None:
    """Replace the declared variables in all strings by their values."""
    declared = layers.raw.get("variables", [])
    names = set(declared) if isinstance(declared, list) else set()

    def substitute(value: str, path: Path) -> str:
        def value_of(match: re.Match[str]) -> str:
            name = match[1]
            if name not in names:
                layers.add_problem(path, "C007", f"${{{name}}} is not declared", f'add "{name}" to variables')
            elif name not in environ:
                layers.add_problem(path, "C007", f"${{{name}}} is not set", f"set {name} in the environment")
            else:
                return environ[name]
            return match[0]

        return VARIABLE.sub(value_of, value)

    def walk(value: Any, path: Path) -> Any:
        if isinstance(value, str):
            return substitute(value, path)
        if isinstance(value, dict):
            return {key: walk(item, (*path, key)) for key, item in value.items()}
        if isinstance(value, list):
            return [walk(item, (*path, str(place))) for place, item in enumerate(value)]
        return value

    layers.raw = walk(layers.raw, ())


Tables = dict[str, dict[str, Any]]  # entries of each table of a description, by table and entry name


def build(layers: LayeredReader) -> Description | None:
    """Return the typed description, or None if problems prevent it.

    The findings of checks between values are added to the layers' problems.
    """
    raw = layers.raw
    top = _read_top(layers)
    features = layers.read_table(Features, raw.get("features", {}), ("features",))
    budgets = layers.read_table(Budgets, raw["budgets"], ("budgets",)) if "budgets" in raw else None
    defaults = raw.get("defaults", {})
    if layers.read_table(Route, defaults, ("defaults",)) is None:
        defaults = {}
    tables = _read_tables(layers, defaults)
    _add_default_routes(layers, tables, defaults)
    sidecars = list(_read_sidecars(layers, raw.get("sidecar", [])))
    _check_membership_tables(layers, tables, sidecars)
    if top is None or features is None or any(not problem.is_warning for problem in layers.problems):
        return None
    description = Description(
        layers.file,
        top,
        tables["class"],
        tables["route"],
        tables["tier"],
        tables["tenant"],
        tuple(sidecars),
        features,
        budgets,
    )
    for finding in check_description(description):
        layers.add_problem(finding.path, finding.code, finding.text, finding.instead)
    return description


def _read_top(layers: LayeredReader) -> TopLevelKeys | None:
    """Read the keys before the first table, and check the format."""
    raw = layers.raw
    top_names = {entry.name for entry in fields(TopLevelKeys)}
    known_names = top_names | set(TABLES) | {"budgets", "defaults", "features", "sidecar"}
    for name in raw.keys() - known_names:
        layers.add_problem((name,), "S102", f"unknown table or key {name}", suggest_name(name, known_names))
    top = layers.read_table(TopLevelKeys, {name: raw[name] for name in raw.keys() & top_names}, ())
    if top is not None and top.format != FORMAT:
        remedy = "run migrate" if top.format < FORMAT else f"write format = {FORMAT}"
        text = f"the file has format {top.format}, but this program reads format {FORMAT}"
        layers.add_problem(("format",), "C005", text, remedy)
    return top


def _read_tables(layers: LayeredReader, defaults: dict[str, Any]) -> Tables:
    """Read the tables with named entries; a key that a route does not set has its value from [defaults]."""
    found: Tables = {}
    for table, cls in TABLES.items():
        found[table] = {}
        entries = layers.raw.get(table, {})
        if not isinstance(entries, dict):
            layers.add_problem((table,), "S104", f"{table} is not a table", f"write a line [{table}.NAME]")
            continue
        for name, entry in entries.items():
            if table == "route" and isinstance(entry, dict):
                entry = {**defaults, **entry}
            value = layers.read_table(cls, entry, (table, name))
            if value is not None:
                found[table][name] = value
    return found


def _add_default_routes(layers: LayeredReader, tables: Tables, defaults: dict[str, Any]) -> None:
    """Add a route with the default values and their origins for each class without a route."""
    for name in tables["class"]:
        if name in tables["route"] or name in layers.raw.get("route", {}):
            continue
        value = layers.read_table(Route, defaults, ("defaults",))
        if value is None:
            continue
        tables["route"][name] = value
        layers.origins.setdefault(("route", name), layers.origin(("class", name)))
        for key in defaults:
            layers.origins.setdefault(("route", name, key), layers.origin(("defaults", key)))


def _check_membership_tables(layers: LayeredReader, tables: Tables, sidecars: list[Sidecar]) -> None:
    """Check the tables of ephemeral nodes against one another."""
    for name, tier in tables["tier"].items():
        check_membership(layers, tier.membership, ("tier", name, "membership"))
    for number, sidecar in enumerate(sidecars):
        if sidecar.registration is not None and sidecar.tier in tables["tier"]:
            membership_path = ("tier", sidecar.tier, "membership")
            membership = tables["tier"][sidecar.tier].membership
            registration_path = ("sidecar", str(number), "registration")
            check_registration(layers, membership, membership_path, registration_path)


def _read_sidecars(layers: LayeredReader, entries: Any) -> Iterator[Sidecar]:
    if not isinstance(entries, list):
        layers.add_problem(
            ("sidecar",), "S104", "sidecar is not an array of tables", "write a line [[sidecar]]"
        )
        return
    for number, entry in enumerate(entries):
        path = ("sidecar", str(number))
        outbound = entry.get("outbound", {}) if isinstance(entry, dict) else {}
        if not isinstance(outbound, dict):
            layers.add_problem(
                (*path, "outbound"), "S104", "outbound is not a table", 'write outbound.TIER = "HOST:PORT"'
            )
            continue
        is_valid = True
        for tier, address in outbound.items():
            problem = find_address_problem(address) if isinstance(address, str) else "must be a string"
            if problem:
                is_valid = False
                layers.add_problem(
                    (*path, "outbound", tier), "S105", f"{tier} {problem}", 'write "127.0.0.1:7001"'
                )
        value = layers.read_table(Sidecar, entry, path)
        if value is not None and is_valid:
            yield value


__all__ = ["ClassDescription", "LayeredReader", "Origin", "build", "load", "overlay_of"]
