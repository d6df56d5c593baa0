"""Files, includes, overlays and variables of descriptions; checks of a fleet; and the output of `check`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from description_files import (
    PLAIN,
    PLAIN_WITHOUT_SIDECARS,
    ROOT,
    write_description,
    write_with_include,
)

from service_proxy.operator_file.codes import CODES
from service_proxy.operator_file.reader import MAX_FILE_BYTES, Problem
from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.description import load


def findings_of(*files: str, environment: str = "") -> list[tuple[str, int, str]]:
    """Return file name, line and code of each finding."""
    return [(Path(problem.file).name, problem.line, problem.code) for problem in check([*files], environment)]


def places_of_message(problems: list[Problem], message: str) -> list[tuple[int, str]]:
    """Return line and code of the problems whose text contains the message."""
    return [(problem.line, problem.code) for problem in problems if message in problem.text]


def test_a_finding_names_the_included_file(tmp_path: Path) -> None:
    file = write_with_include(tmp_path)
    assert check([file], "") == []
    base = tmp_path / "base.toml"
    base.write_text(base.read_text().replace('retry = "never-ran"', 'retry = "always"'))
    assert findings_of(file) == [("base.toml", 28, "R202")]


def test_a_canje_made_retryable_by_an_overlay_is_reported_at_the_overlays_line(tmp_path: Path) -> None:
    file = write_with_include(tmp_path)
    write_description(tmp_path, "app.prod.toml", '# more tries\n\n[route.canje]\nretry = "always"\n')
    assert findings_of(file) == []
    assert findings_of(file, environment="prod") == [("app.prod.toml", 4, "R202")]


def test_a_canje_made_retryable_by_a_default_is_reported_at_the_defaults_line(tmp_path: Path) -> None:
    file = write_with_include(tmp_path)
    base = tmp_path / "base.toml"
    base.write_text(base.read_text().replace('[route.canje]\nretry = "never-ran"\n', ""))
    write_description(tmp_path, "app.prod.toml", '[defaults]\nattempts = 2\nretry = "always"\n')
    assert findings_of(file) == []
    assert findings_of(file, environment="prod") == [("app.prod.toml", 3, "R202")]


def test_the_file_overrides_its_includes_and_the_overlay_overrides_both(tmp_path: Path) -> None:
    file = write_with_include(tmp_path)
    path = Path(file)
    path.write_text(path.read_text() + "[class.stock]\nworth = 3\n")
    write_description(tmp_path, "app.prod.toml", "[class.stock]\nworth = 4\n")
    for environment, expected_weight in (("", 3.0), ("prod", 4.0)):
        layers, description = load(file, environment)
        assert description is not None
        assert description.classes["stock"].worth == expected_weight
        assert description.classes["stock"].aim == 0.5  # from the included file
    assert layers.origin(("class", "stock", "worth")).file.endswith("app.prod.toml")


def test_an_overlays_list_replaces_the_files_list(tmp_path: Path) -> None:
    file = write_with_include(tmp_path)
    write_description(tmp_path, "app.prod.toml", '[tier.nucleo]\nzones = ["sala-b"]\n')
    _, description = load(file, "prod")
    assert description is not None
    assert description.tiers["nucleo"].zones == ("sala-b",)


def test_a_cycle_of_includes_is_reported(tmp_path: Path) -> None:
    write_description(tmp_path, "a.toml", 'include = ["b.toml"]\n')
    write_description(tmp_path, "b.toml", 'include = ["a.toml"]\n')
    file = write_description(tmp_path, text=PLAIN.replace("padron", 'include = ["a.toml"]\npadron'))
    assert ("b.toml", 1, "C006") in findings_of(file)


def test_a_symlink_out_of_the_folder_is_not_followed(tmp_path: Path) -> None:
    inside = tmp_path / "in"
    outside = tmp_path / "out"
    inside.mkdir()
    outside.mkdir()
    write_description(outside, "base.toml", "[class.other]\n")
    (inside / "base.toml").symlink_to(outside / "base.toml")
    file = write_description(inside, text=PLAIN.replace("padron", 'include = ["base.toml"]\npadron'))
    assert [(line, code) for _, line, code in findings_of(file)] == [(3, "C006")]


def test_variables_come_from_the_environment_where_they_are_declared(tmp_path: Path) -> None:
    text = PLAIN.replace("padron", 'variables = ["SALA"]\npadron').replace(
        'zone = "sala-a"', 'zone = "${SALA}"'
    )
    file = write_description(tmp_path, text=text)
    _, description = load(file, environ={"SALA": "sala-c"})
    assert description is not None
    assert description.sidecars[0].zone == "sala-c"
    layers, _ = load(file, environ={"SALA": "sala-z"})
    assert [problem.code for problem in layers.problems] == ["S107"]


def test_unreadable_files_are_reported(tmp_path: Path) -> None:
    large = tmp_path / "large.toml"
    large.write_bytes(b"# " + b"a" * (10 << 20))
    assert large.stat().st_size > MAX_FILE_BYTES
    assert findings_of(str(large)) == [("large.toml", 1, "C003")]
    assert findings_of(str(tmp_path)) == [(tmp_path.name, 1, "C001")]
    assert main(["check", str(tmp_path / "nowhere.toml")]) == 2


def test_a_file_without_read_permission_is_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The error is simulated, because tests may run as root, which can read every file."""
    file = write_description(tmp_path)

    def refuse(*_: object) -> None:
        raise PermissionError(13, "Permission denied")

    monkeypatch.setattr("builtins.open", refuse)
    problems = check([file], "")
    assert [(problem.code, problem.text) for problem in problems] == [
        ("C001", "can't be read: Permission denied")
    ]


def test_an_octal_number_is_a_warning_only(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = write_description(tmp_path, text=PLAIN.replace("nodes = 16", "nodes = 0o20"))
    assert main(["check", file]) == 0
    output = capsys.readouterr().out
    assert f"{file}:37:9: warning[S110]: 0o20 is written in another base\n  help: write 16" in output


def test_two_descriptions_on_one_host_claim_one_port(tmp_path: Path) -> None:
    first = write_description(tmp_path, "one.toml")
    second = write_description(
        tmp_path, "two.toml", PLAIN.replace("h-2", "h-3").replace("127.0.0.1:9000", "127.0.0.1:9001")
    )
    problems = check([first, second], "")
    assert [finding for finding in findings_of(first, second) if finding[2] == "F301"] == [
        ("two.toml", 57, "F301"),
        ("two.toml", 59, "F301"),
    ]
    assert "one.toml" in problems[0].text


def test_a_class_that_differs_between_two_descriptions_is_reported(tmp_path: Path) -> None:
    first = write_description(tmp_path, "one.toml", PLAIN_WITHOUT_SIDECARS)
    text = PLAIN_WITHOUT_SIDECARS
    second = write_description(
        tmp_path,
        "two.toml",
        text.replace('effect = "once"', 'effect = "repeatable"').replace(
            'deadline = "1.2s"', 'deadline = "2s"'
        ),
    )
    assert findings_of(first, second) == [
        ("two.toml", 8, "F302"),
        ("two.toml", 19, "F302"),
    ]


def test_a_tier_that_differs_between_two_descriptions_is_reported(tmp_path: Path) -> None:
    text = PLAIN_WITHOUT_SIDECARS
    first = write_description(tmp_path, "one.toml", text)
    second = write_description(tmp_path, "two.toml", text.replace("nodes = 40", "nodes = 41"))
    assert findings_of(first, second) == [("two.toml", 44, "F310")]


def test_an_inner_tier_that_drops_repeats_for_less_time_than_the_outer_tier_retries_is_reported(
    tmp_path: Path,
) -> None:
    """Guards against an inner tier that drops repeats for less time than the outer tier retries.

    Each file alone complies with rule 2: the inner tier retries for 2 s and drops repeats for 3 s.
    """
    text = PLAIN_WITHOUT_SIDECARS
    outer = write_description(tmp_path, "outer.toml", text)
    inner_text = text.replace('window = "6s"', 'window = "3s"').replace(
        'retry_for = "6s"', 'retry_for = "2s"'
    )
    inner = write_description(tmp_path, "inner.toml", inner_text.replace('calls = ["nucleo"]\n', ""))
    assert check([outer], "") == [] == check([inner], "")
    for files in ([outer, inner], [inner, outer]):
        codes = {(name, code) for name, _, code in findings_of(*files)}
        assert ("inner.toml", "F309") in codes, codes


@pytest.mark.parametrize(
    ("replaced", "replacement", "line", "code", "message"),
    [
        ('padron = "10.2.0.1:8500"\n', "", 58, "S103", "no discovery is configured for the nodes of nucleo"),
        ('tier = "portal"\n', 'tier = "portal"\nsockets = 100\n', 57, "S107", "leave 50 for each listener"),
        ('tier = "portal"\n', 'tier = "portal"\nslots = 300\n', 57, "S107", "leave 204"),
        ('tier = "portal"\n', 'tier = "portal"\nhealth = "up"\n', 57, "S105", "must be a path"),
        ("[tier.nucleo]\n", "[features]\nload_reports = 1\n\n[tier.nucleo]\n", 42, "S104", "a string"),
        ("[tier.nucleo]\n", "[features]\nprobe = true\n\n[tier.nucleo]\n", 42, "S101", "unknown key probe"),
        (
            "[tenant.app]\n",
            '[tier.nucleo.membership]\nservers = ["h:1"]\npath = "x"\n\n[tenant.app]\n',
            49,
            "S105",
            "path must be a path",
        ),
        (
            "[tenant.app]\n",
            '[tier.nucleo.membership]\nservers = ["h:1"]\npath="/x"\nconnect_timeout = 9.0\n\n[tenant.app]\n',
            50,
            "S107",
            "connect_timeout is not below",
        ),
        (
            '[[sidecar]]\nhost = "h-2"',
            '[sidecar.registration]\nname = "s-1"\naddress = "10.0.0.4:8081"\n\n[[sidecar]]\nhost = "h-2"',
            61,
            "S107",
            "no service to register with",
        ),
    ],
)
def test_an_incomplete_or_invalid_sidecar_is_reported_at_its_line(
    tmp_path: Path, replaced: str, replacement: str, line: int, code: str, message: str
) -> None:
    text = PLAIN.replace(replaced, replacement, 1)
    problems = check([write_description(tmp_path, text=text)], "")
    assert places_of_message(problems, message) == [(line, code)], problems


BUDGETS = '[budgets]\nkeys_file = "keys"\n'


@pytest.mark.parametrize(
    ("extra_key", "line", "code", "message"),
    [
        ("attempts = 3\n", 7, "S107", "3 attempts don't reach every call of 2 tiers that make 2 calls each"),
        ("attempts = 13\n", 7, "S107", "attempts_over_tiers is 12"),
        ("edge = true\n", 7, "S107", "portal on h-1 is behind an application"),
        ('mark = "Portal"\n', 7, "S105", "must be a tier's name"),
        ("passes = 0\n", 7, "S105", "must lie between 1 and 4"),
        ("attempt = 3\n", 7, "S101", "unknown key attempt"),
    ],
)
def test_invalid_budgets_are_reported_at_their_line(
    tmp_path: Path, extra_key: str, line: int, code: str, message: str
) -> None:
    valid = PLAIN.replace("[class.stock]", BUDGETS + "\n[class.stock]", 1)
    assert check([write_description(tmp_path, text=valid)], "") == []
    text = PLAIN.replace("[class.stock]", BUDGETS + extra_key + "\n[class.stock]", 1)
    problems = check([write_description(tmp_path, text=text)], "")
    assert places_of_message(problems, message) == [(line, code)], problems


def test_budgets_bound_the_attempts_over_tiers(tmp_path: Path) -> None:
    """Guards against a false F307: 4 attempts at each of 2 tiers are 16, over the bound of 12.

    With budgets the whole call tree has at most 12 attempts.
    """
    text = PLAIN.replace("[route.stock]", "[route.stock]\nattempts = 4", 1)
    assert "F307" in {problem.code for problem in check([write_description(tmp_path, text=text)], "")}
    text = text.replace("[class.stock]", BUDGETS + "\n[class.stock]", 1)
    assert check([write_description(tmp_path, text=text)], "") == []


def test_a_cycle_of_calls_over_two_descriptions_is_reported(tmp_path: Path) -> None:
    text = PLAIN_WITHOUT_SIDECARS
    first = write_description(tmp_path, "one.toml", text)
    second = write_description(
        tmp_path, "two.toml", text.replace("nodes = 40", 'nodes = 40\ncalls = ["portal"]')
    )
    assert {problem.code for problem in check([first, second], "")} == {"F303"}


def test_check_writes_text_json_and_sarif(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = write_description(tmp_path, text=PLAIN.replace('retry = "never-ran"', 'retry = "always"'))
    assert main(["check", file]) == 1
    assert (
        f"{file}:32:1: error[R202]: canje may have its effect twice: 1. canje is sent"
        in capsys.readouterr().out
    )
    assert main(["check", "--json", file]) == 1
    (entry,) = json.loads(capsys.readouterr().out)
    assert (entry["line"], entry["code"], entry["severity"]) == (32, "R202", "error")
    assert entry["help"]
    assert main(["check", "--sarif", file]) == 1
    sarif = json.loads(capsys.readouterr().out)
    (result,) = sarif["runs"][0]["results"]
    assert sarif["version"] == "2.1.0"
    assert result["ruleId"] == "R202"
    assert result["locations"][0]["physicalLocation"]["region"] == {"startLine": 32, "startColumn": 1}


def test_every_code_is_explained(capsys: pytest.CaptureFixture[str]) -> None:
    for code in CODES:
        assert main(["explain", code.lower()]) == 0
        assert capsys.readouterr().out.startswith(f"{code}: ")
    assert main(["explain", "X999"]) == 2
    assert len(CODES) == 34


def test_the_operators_page_has_every_code() -> None:
    page = (ROOT / "docs" / "operators" / "sidecar.md").read_text(encoding="utf-8")
    for code, meaning in CODES.items():
        assert f"| `{code}` | {meaning.title}" in page, code
        assert meaning.explanation in page, code


def test_check_runs_as_a_process(tmp_path: Path) -> None:
    file = write_description(tmp_path)
    command = [sys.executable, "-m", "service_proxy.sidecar", "check", file]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "", "")
