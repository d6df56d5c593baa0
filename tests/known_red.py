"""KNOWN-RED.txt: tests that are known to fail for a real fault, which CI passes over and prints.

One line for each test, `TEST | CAUSE | ISSUE`, three at most; the file exists only while it is needed. TEST
is a node id as pytest prints it. A listed test that passes fails the run, and so does a line that can't be
used.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3  # the operators' limit


class KnownRedError(Exception):
    """The list can't be used; the message names the line and what to write."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is known to fail."""

    test: str  # node id
    cause: str
    issue: str


def parse_known_red(text: str) -> list[KnownRed]:
    """Read the list. Raises KnownRedError."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{FILE_NAME}:{number}: write TEST | CAUSE | ISSUE, not {line!r}")
        entries.append(KnownRed(*parts))
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(
            f"{FILE_NAME}: {len(entries)} tests are listed: mend until {MAX_ENTRIES} are left"
        )
    return entries


def read_known_red(root: Path) -> list[KnownRed]:
    """Read the list of a checkout; empty where there is none. Raises KnownRedError."""
    try:
        text = (root / FILE_NAME).read_text(encoding="utf-8")
    except FileNotFoundError:
        return []
    entries = parse_known_red(text)
    if not entries:
        raise KnownRedError(f"{FILE_NAME}: is empty: remove it")
    for entry in entries:
        path, _, name = entry.test.partition("::")
        source = root / path
        function = name.rpartition("::")[2].partition("[")[0]
        if not source.is_file() or f"def {function}(" not in source.read_text(encoding="utf-8"):
            raise KnownRedError(f"{FILE_NAME}: there is no test {entry.test}")
    return entries


def _entries(config: pytest.Config) -> list[KnownRed]:
    try:
        return read_known_red(config.rootpath)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run."""
    listed = {entry.test: entry for entry in _entries(config)}
    for item in items:
        entry = listed.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the list after the results."""
    entries = _entries(terminalreporter.config)
    if entries:
        terminalreporter.section("known red")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.cause} ({entry.issue})")
