"""Check of files: descriptions, the platform's JSON and operators' files, each alone and all as one fleet."""

from __future__ import annotations

from service_proxy.operator_file import Operator
from service_proxy.operator_file.loader import load as load_operator
from service_proxy.operator_file.positions import find_place, find_positions
from service_proxy.operator_file.reader import MAX_FILE_BYTES, OperatorError, Problem, read_text
from service_proxy.operator_file.schema import TABLES as OPERATOR_TABLES
from service_proxy.sidecar.description import LayeredReader, load
from service_proxy.sidecar.fleet_checks import check_fleet
from service_proxy.sidecar.model import Description
from service_proxy.sidecar.platform import Platform
from service_proxy.sidecar.write import has_digest, was_edited

UNREADABLE_CODES = ("C001",)


def check(files: list[str], environment: str) -> list[Problem]:
    """Return the findings of each file, and of all files as one fleet."""
    problems: list[Problem] = []
    readable: list[tuple[LayeredReader, Description]] = []
    platforms: list[Platform] = []
    operators: list[Operator] = []
    for file in files:
        try:
            problems += find_edits(file)
            if file.endswith(".service"):
                continue
            if file.endswith(".json"):
                platforms.append(Platform(file))
                problems += platforms[-1].problems
                continue
            if is_operator_file(file):
                operators.append(load_operator(file))
                continue
            layers, description = load(file, environment)
        except OperatorError as error:
            problems += error.problems
            continue
        problems += layers.problems
        if description is not None:
            readable.append((layers, description))
    by_file = {description.file: layers for layers, description in readable}
    for finding in check_fleet([description for _, description in readable]):
        layers = by_file[finding.file]
        before = len(layers.problems)
        layers.add_problem(finding.path, finding.code, finding.text, finding.instead)
        problems += layers.problems[before:]
    problems += compare_fleets(operators)
    for platform in platforms:
        problems += platform.compare_with([description for _, description in readable])
    # A problem of an included file is reported once, not once per including file.
    unique = {str(problem): problem for problem in problems}
    return sorted(
        unique.values(), key=lambda problem: (problem.file, problem.line, problem.column, problem.code)
    )


def compare_fleets(operators: list[Operator]) -> list[Problem]:
    """Return the contradictions between several operators' files.

    Files that name the same fleet have to agree on its timing. Two fleets must not have the same name.
    """
    problems = []
    first_by_name: dict[str, Operator] = {}
    for operator in operators:
        fleet = operator.fleet
        if fleet is None:
            continue
        first_operator = first_by_name.setdefault(fleet.name, operator)
        other_fleet = first_operator.fleet
        if other_fleet is None or first_operator is operator:
            continue
        own_members = {*fleet.members, fleet.address or fleet.listen} - {""}
        other_members = {*other_fleet.members, other_fleet.address or other_fleet.listen} - {""}
        if fleet.members and other_fleet.members and not own_members & other_members:
            text = (
                f"the fleet {fleet.name} is named in {first_operator.file}, too, "
                "and shares no member with this one"
            )
            remedy = "give each fleet a name of its own"
            problems.append(_fleet_problem(operator.file, "name", "F311", text, remedy))
            continue
        for name in ("period", "suspicion", "memory"):
            expected = getattr(other_fleet, name)
            actual = getattr(fleet, name)
            if expected != actual:
                first_file = first_operator.file
                text = f"{name} is {actual:g} here and {expected:g} in {first_file}, of the same fleet"
                remedy = f"write {name} = {expected:g}"
                problems.append(_fleet_problem(operator.file, name, "F312", text, remedy))
    return problems


def _fleet_problem(file: str, key: str, code: str, text: str, remedy: str) -> Problem:
    place = find_place(find_positions(read_text(file)[0]), ("fleet", key))
    return Problem(file, place.line, code, text, remedy, place.column)


def find_edits(file: str) -> list[Problem]:
    """Return a problem if a written file was edited. Raises OperatorError if the file can't be read."""
    try:
        with open(file, "rb") as source:
            content = source.read(MAX_FILE_BYTES)
    except OSError as error:
        raise OperatorError(
            [Problem(file, 1, "C001", f"can't be read: {error.strerror}", "name a file that `write` made")]
        ) from None
    if not has_digest(content, file):
        if file.endswith(".service"):
            text = "is not a unit file of this tool: its first line has no digest"
            return [Problem(file, 1, "C008", text, "name a unit file that `write` made")]
        return []
    if not was_edited(content, file):
        return []
    remedy = "put the change into the description, and write the file again"
    return [Problem(file, 1, "C008", "was edited by hand since it was written", remedy)]


def is_operator_file(file: str) -> bool:
    """Return whether a TOML file is an operator's file and not a description, judging by its tables."""
    _, raw = read_text(file)
    return bool(raw.keys() & OPERATOR_TABLES.keys()) and "format" not in raw


def exit_code_of(problems: list[Problem]) -> int:
    """Return the exit code for these problems."""
    if any(problem.code in UNREADABLE_CODES for problem in problems):
        return 2
    return 1 if any(not problem.is_warning for problem in problems) else 0
