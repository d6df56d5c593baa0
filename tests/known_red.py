"""Support for KNOWN-RED.txt, the list of tests that fail because of a known fault in the code.

CI expects the listed tests to fail and prints the list. Each line has the form
`TEST | COMMAND | SEED | SEEN | ISSUE`. The list has at most three lines, and the file exists only while it is
needed. TEST is a node ID as pytest prints it, COMMAND reproduces the failure, SEED is `-` if the test uses no
seed, and SEEN is the output of the failing run. A listed test that passes fails the run, unless the line ends
with a sixth field, `intermittent`: such a test may fail or pass. A malformed line also fails the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3  # Limit that the operators set.
INTERMITTENT = "intermittent"
FIELD_COUNT = 5  # Number of fields without the optional field.
FORM = f"TEST | COMMAND | SEED | SEEN | ISSUE, and | {INTERMITTENT} if the test fails only in some runs"


class KnownRedError(Exception):
    """Invalid list. The message names the line and the required form."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """Test that is known to fail."""

    test: str  # Node ID.
    command: str
    seed: str
    seen: str
    issue: str
    is_intermittent: bool = False  # The test fails only in some runs.

    @property
    def summary(self) -> str:
        """Return the observed failure, the command that reproduces it and the issue on one line."""
        kind = f"{INTERMITTENT}; " if self.is_intermittent else ""
        return f"{kind}{self.seen} ({self.issue}; seed {self.seed}; {self.command})"


def _parse_entry(line: str, number: int) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    is_intermittent = fields[-1] == INTERMITTENT
    if is_intermittent:
        fields.pop()
    if len(fields) != FIELD_COUNT or not all(fields):
        raise KnownRedError(f"{FILE_NAME}:{number}: write {FORM}, not {line!r}")
    test, command, seed, seen, issue = fields
    return KnownRed(test, command, seed, seen, issue, is_intermittent)


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list.

    Raises:
        KnownRedError: a line is malformed or the list is too long.
    """
    lines = enumerate(text.splitlines(), 1)
    entries = [_parse_entry(line, number) for number, line in lines if line.strip()]
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(
            f"{FILE_NAME}: {len(entries)} tests are listed; fix tests until {MAX_ENTRIES} are left"
        )
    return entries


def read_known_red(root: Path) -> list[KnownRed]:
    """Read the list of a checkout, or return an empty list if the file doesn't exist.

    Raises:
        KnownRedError: the list is malformed, too long or empty, or a listed test doesn't exist.
    """
    try:
        text = (root / FILE_NAME).read_text(encoding="utf-8")
    except FileNotFoundError:
        return []
    entries = parse_known_red(text)
    if not entries:
        raise KnownRedError(f"{FILE_NAME}: the file is empty; remove it")
    for entry in entries:
        path, _, name = entry.test.partition("::")
        source = root / path
        function = name.rpartition("::")[2].partition("[")[0]
        if not source.is_file() or f"def {function}(" not in source.read_text(encoding="utf-8"):
            raise KnownRedError(f"{FILE_NAME}: there is no test {entry.test}; correct or remove its line")
    return entries


def _entries(config: pytest.Config) -> list[KnownRed]:
    try:
        return read_known_red(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures.

    A listed test that passes fails the run, unless its entry is intermittent.
    """
    listed = {entry.test: entry for entry in _entries(config)}
    for item in items:
        entry = listed.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.summary, strict=not entry.is_intermittent))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the list after the test results."""
    entries = _entries(terminalreporter.config)
    if entries:
        terminalreporter.section("known red")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.summary}")
