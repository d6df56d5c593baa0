"""Tests of `check` for the platform's JSON, alone and against a description, and for the operator's file."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from description_files import PLAIN, write_description

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.platform import json_positions


def write_platform_file(tmp_path: Path) -> Path:
    """Write the files of the plain description; return the path of the JSON for its one outbound tier."""
    assert main(["write", write_description(tmp_path), "-o", str(tmp_path / "out")]) == 0
    return tmp_path / "out/h-1/portal-nucleo.json"


def edit_json(file: Path, edit: Callable[[Any], object]) -> str:
    """Edit the JSON and remove the digest that the tool wrote; return the path."""
    raw = json.loads(file.read_text())
    raw.pop("written", None)
    edit(raw)
    file.write_text(json.dumps(raw, indent=1))
    return str(file)


def lines_with(file: Path, text: str) -> list[int]:
    """Return the numbers of the lines that contain the text."""
    lines = file.read_text().splitlines()
    return [number for number, line in enumerate(lines, 1) if text in line]


def test_a_written_file_is_accepted_alone_and_with_its_description(tmp_path: Path) -> None:
    file = write_platform_file(tmp_path)
    assert check([str(file)], "") == []
    assert check([str(file), str(tmp_path / "app.toml")], "") == []


def test_a_canje_made_repeatable_by_hand_breaks_rule_2(tmp_path: Path) -> None:
    file = write_platform_file(tmp_path)
    edit_json(file, lambda raw: raw["settings"]["grades"][2].update(effect="repeatable"))
    assert check([str(file)], "") == []  # the JSON alone does not define the effect of the class
    (problem,) = check([str(file), str(tmp_path / "app.toml")], "")
    assert problem.code == "R202"
    assert "canje is once by" in problem.text
    assert problem.line == lines_with(file, '"effect": "repeatable"')[-1]


EDITS: dict[str, tuple[str, str, Callable[[Any], object]]] = {
    "hedged": (
        "R202",
        "may_duplicate",
        lambda raw: raw["settings"]["policy_limits"].update(may_duplicate=True),
    ),
    "drain": ("R203", "drain_grace", lambda raw: raw["settings"]["contract"].update(drain_grace=4.0)),
    "unknown key": ("S101", "discovry", lambda raw: raw.update(discovry="x")),
    "address": ("S105", '"listen"', lambda raw: raw.update(listen="here")),
    "effect": ("S105", '"effect": "none"', lambda raw: raw["settings"]["grades"][1].update(effect="none")),
    "aim": ("S105", '"objective": -1', lambda raw: raw["settings"]["grades"][1].update(objective=-1)),
    "no settings": ("S103", "{", lambda raw: raw.pop("settings")),
}


@pytest.mark.parametrize(("code", "text_of_line", "edit"), EDITS.values(), ids=EDITS)
def test_a_broken_platform_file_is_reported_at_its_line(
    tmp_path: Path, code: str, text_of_line: str, edit: Callable[[Any], object]
) -> None:
    file = write_platform_file(tmp_path)
    (problem,) = check([edit_json(file, edit)], "")
    assert problem.code == code
    assert problem.remedy
    if text_of_line == '"objective": -1':
        return  # the settings reader names the key differently, so the line of its grade is reported
    assert problem.line == lines_with(file, text_of_line)[0], str(problem)


@pytest.mark.parametrize(
    ("text", "line", "code"),
    [
        ('{"name": "a",\n "settings": {\n', 3, "C002"),
        ('{"name": "a",\n "name": "b"}', 2, "C002"),
        ("[" * 100_000, 1, "C004"),
        ("\ufeff{}", 1, "C002"),
        ("[]", 1, "S103"),
    ],
    ids=["open", "twice", "deep", "bom", "list"],
)
def test_a_file_that_is_no_platform_json_is_reported(tmp_path: Path, text: str, line: int, code: str) -> None:
    file = write_description(tmp_path, "bad.json", text)
    (problem,) = check([file], "")
    assert (problem.line, problem.code) == (line, code)


def test_positions_in_a_json_text() -> None:
    text = '{\n "a": [1, {"b:": "}"}, []],\n "c": {"d": null}}\n'
    found = {".".join(path): (place.line, place.column) for path, place in json_positions(text).items()}
    assert found == {
        "": (1, 1),
        "a": (2, 2),
        "a.0": (2, 8),
        "a.1": (2, 11),
        "a.1.b:": (2, 12),
        "a.2": (2, 24),
        "c": (3, 2),
        "c.d": (3, 8),
    }


def test_the_operators_file_is_checked_by_its_own_schema(tmp_path: Path) -> None:
    valid = '[membership]\nservers = ["127.0.0.1:2181"]\npath = "/salas/portal"\n'
    assert check([write_description(tmp_path, "operator.toml", valid)], "") == []
    broken = write_description(tmp_path, "operator.toml", valid + "reed = 1\n")
    (problem,) = check([broken, write_description(tmp_path, text=PLAIN)], "")
    assert (problem.line, problem.code) == (4, "S101")
