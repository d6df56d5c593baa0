"""The check of files: descriptions, the platform's JSON and operators' files, alone and as one fleet."""

from __future__ import annotations

from service_proxy.operator_file import Operator
from service_proxy.operator_file.loader import load as load_operator
from service_proxy.operator_file.positions import find_positions, place_of
from service_proxy.operator_file.reader import MAX_FILE_BYTES, OperatorError, Problem, read_text
from service_proxy.operator_file.schema import TABLES as OPERATORS
from service_proxy.sidecar.description import LayeredReader, load
from service_proxy.sidecar.fleet_checks import check_fleet
from service_proxy.sidecar.model import Description
from service_proxy.sidecar.platform import Platform
from service_proxy.sidecar.write import has_digest, was_edited

UNREADABLE = ("C001",)


def check(files: list[str], environment: str) -> list[Problem]:
    """All findings of all files, and of all of them as one fleet."""
    problems: list[Problem] = []
    read: list[tuple[LayeredReader, Description]] = []
    platforms: list[Platform] = []
    operators: list[Operator] = []
    for file in files:
        try:
            problems += altered(file)
            if file.endswith(".service"):
                continue
            if file.endswith(".json"):
                platforms.append(Platform(file))
                problems += platforms[-1].problems
                continue
            if is_operators(file):
                operators.append(load_operator(file))
                continue
            layers, description = load(file, environment)
        except OperatorError as fault:
            problems += fault.problems
            continue
        problems += layers.problems
        if description is not None:
            read.append((layers, description))
    by_file = {description.file: layers for layers, description in read}
    for finding in check_fleet([description for _, description in read]):
        layers = by_file[finding.file]
        before = len(layers.problems)
        layers.add_problem(finding.path, finding.code, finding.text, finding.instead)
        problems += layers.problems[before:]
    problems += fleets_of(operators)
    for platform in platforms:
        problems += platform.against([description for _, description in read])
    unique = {str(problem): problem for problem in problems}  # an included file's fault is one, not several
    return sorted(
        unique.values(), key=lambda problem: (problem.file, problem.line, problem.column, problem.code)
    )


def fleets_of(operators: list[Operator]) -> list[Problem]:
    """What several operators' files say of one fleet, or of two that are named alike."""
    problems = []
    first: dict[str, Operator] = {}
    for operator in operators:
        mine = operator.fleet
        if mine is None:
            continue
        other = first.setdefault(mine.name, operator)
        theirs = other.fleet
        if theirs is None or other is operator:
            continue
        here = {*mine.members, mine.address or mine.listen} - {""}
        there = {*theirs.members, theirs.address or theirs.listen} - {""}
        if mine.members and theirs.members and not here & there:
            text = f"the fleet {mine.name} is named in {other.file}, too, and shares no member with this one"
            problems.append(_at(operator.file, "name", "F311", text, "give each fleet a name of its own"))
            continue
        for name in ("period", "suspicion", "memory"):
            wanted = getattr(theirs, name)
            found = getattr(mine, name)
            if wanted != found:
                text = f"{name} is {found:g} here and {wanted:g} in {other.file}, of the same fleet"
                problems.append(_at(operator.file, name, "F312", text, f"write {name} = {wanted:g}"))
    return problems


def _at(file: str, key: str, code: str, text: str, instead: str) -> Problem:
    place = place_of(find_positions(read_text(file)[0]), ("fleet", key))
    return Problem(file, place.line, code, text, instead, place.column)


def altered(file: str) -> list[Problem]:
    """Whether a file that this tool wrote was changed since. Raises OperatorError where it can't be read."""
    try:
        with open(file, "rb") as source:
            content = source.read(MAX_FILE_BYTES)
    except OSError as fault:
        raise OperatorError(
            [
                Problem(
                    file, 1, "C001", f"can't be read: {fault.strerror}", "name a file as `write` makes them"
                )
            ]
        ) from None
    if not has_digest(content, file):
        if file.endswith(".service"):
            text = "is no unit of this tool's: it has no digest at its head"
            return [Problem(file, 1, "C008", text, "name one that `write` made")]
        return []
    if not was_edited(content, file):
        return []
    instead = "put the change into the description, and write it anew"
    return [Problem(file, 1, "C008", "was edited by hand since it was written", instead)]


def is_operators(file: str) -> bool:
    """Whether a TOML file is an operator's and no description: it has a table that only these have."""
    _, raw = read_text(file)
    return bool(raw.keys() & OPERATORS.keys()) and "format" not in raw


def code_of(problems: list[Problem]) -> int:
    """The exit code that says them."""
    if any(problem.code in UNREADABLE for problem in problems):
        return 2
    return 1 if any(not problem.is_warning for problem in problems) else 0
