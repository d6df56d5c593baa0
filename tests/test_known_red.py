"""The list of known failing tests is short, exact and printed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownRed, KnownRedError, parse_known_red, read_known_red

TESTS_FOLDER = Path(__file__).parent
TESTS = """
def test_red():
    assert False

def test_green():
    assert True
"""


RED = "test_it.py::test_red | pytest test_it.py | 7 | answer 500 | issue 9"
GREEN = "test_it.py::test_green | pytest test_it.py | - | answer 500 | issue 9"


def create_checkout(root: Path, listed: str | None) -> Path:
    """Create a folder with a failing test, a passing test and the list."""
    (root / "conftest.py").write_text(
        f"import sys\nsys.path.insert(0, {str(TESTS_FOLDER)!r})\n"
        "from known_red import pytest_collection_modifyitems, pytest_terminal_summary\n"
    )
    (root / "test_it.py").write_text(TESTS)
    (root / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (root / "KNOWN-RED.txt").write_text(listed)
    return root


def run_pytest(root: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:xdist", "."]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=60, check=False)


def test_a_listed_test_may_fail_and_is_printed(tmp_path: Path) -> None:
    result = run_pytest(create_checkout(tmp_path, f"{RED}\n"))
    assert result.returncode == 0, result.stdout
    assert "1 passed, 1 xfailed" in result.stdout
    assert "test_it.py::test_red: answer 500 (issue 9; seed 7; pytest test_it.py)" in result.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    result = run_pytest(create_checkout(tmp_path, f"{RED}\n{GREEN}\n"))
    assert result.returncode == 1
    assert "1 failed, 1 xfailed" in result.stdout


def test_an_intermittent_test_may_fail_or_pass_and_is_printed(tmp_path: Path) -> None:
    result = run_pytest(create_checkout(tmp_path, f"{RED} | intermittent\n{GREEN} | intermittent\n"))
    assert result.returncode == 0, result.stdout
    assert "1 xfailed, 1 xpassed" in result.stdout
    assert "test_it.py::test_red: intermittent; answer 500 (issue 9; seed 7;" in result.stdout
    assert "test_it.py::test_green: intermittent; answer 500 (issue 9; seed -;" in result.stdout


def test_an_intermittent_entry_applies_to_no_other_test(tmp_path: Path) -> None:
    result = run_pytest(create_checkout(tmp_path, f"{GREEN} | intermittent\n"))
    assert result.returncode == 1
    assert "1 failed, 1 xpassed" in result.stdout


def test_without_a_list_a_failing_test_fails_the_run(tmp_path: Path) -> None:
    assert run_pytest(create_checkout(tmp_path, None)).returncode == 1


def test_a_test_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run_pytest(create_checkout(tmp_path, f"{GREEN}\n")).returncode == 1


def test_a_list_of_four_tests_fails_the_run(tmp_path: Path) -> None:
    result = run_pytest(create_checkout(tmp_path, f"{RED}\n" * 4))
    assert result.returncode == 4
    assert "4 tests are listed" in result.stderr


@pytest.mark.parametrize(
    "line",
    [
        "test_it.py::test_red",
        "a | b | c",
        "a | b | c | d",
        "a |  | c | d | e",
        "a | b | c | d | e | f",
        "a | b | c | d | intermittent",
        "a | b | c | d | intermittent | f",
        "a | b | c | d | e | intermittent | f",
    ],
)
def test_a_malformed_line_is_refused(line: str) -> None:
    with pytest.raises(
        KnownRedError, match=r"KNOWN-RED.txt:2: write TEST \| COMMAND \| SEED \| SEEN \| ISSUE"
    ):
        parse_known_red("\n" + line)


@pytest.mark.parametrize("test", ["test_it.py::test_blue", "test_that.py::test_red", "test_it.py"])
def test_a_line_that_names_no_test_is_refused(tmp_path: Path, test: str) -> None:
    with pytest.raises(KnownRedError, match="there is no test"):
        read_known_red(create_checkout(tmp_path, f"{test} | command | 1 | seen | issue"))


def test_an_empty_list_is_refused(tmp_path: Path) -> None:
    with pytest.raises(KnownRedError, match="the file is empty; remove it"):
        read_known_red(create_checkout(tmp_path, "\n"))


def test_a_parameter_is_part_of_the_name(tmp_path: Path) -> None:
    listed = "test_it.py::test_red[1-a] | command | 1 | seen | issue"
    entries = read_known_red(create_checkout(tmp_path, listed))
    assert entries == [KnownRed("test_it.py::test_red[1-a]", "command", "1", "seen", "issue")]
