"""check of the other files: the platform's JSON, alone and against a description, and the operator's file."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from test_description import PLAIN, put

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.platform import json_positions


def platform(tmp_path: Path) -> Path:
    assert main(["write", put(tmp_path), "-o", str(tmp_path / "out")]) == 0
    return tmp_path / "out/h-1/portal-nucleo.json"


def change(file: Path, by: Callable[[Any], object]) -> str:
    raw = json.loads(file.read_text())
    raw.pop("written", None)  # as one that was never this tool's
    by(raw)
    file.write_text(json.dumps(raw, indent=1))
    return str(file)


def line_of(file: Path, text: str) -> int:
    return next(n for n, line in enumerate(file.read_text().splitlines(), 1) if text in line)


def test_what_was_written_is_accepted_alone_and_with_its_description(tmp_path: Path) -> None:
    file = platform(tmp_path)
    assert check([str(file)], "") == [] and check([str(file), str(tmp_path / "app.toml")], "") == []


def test_a_canje_that_somebody_made_repeatable_by_hand_breaks_rule_2(tmp_path: Path) -> None:
    file = platform(tmp_path)
    change(file, lambda raw: raw["settings"]["grades"][2].update(effect="repeatable"))
    assert check([str(file)], "") == []  # alone it can't be known
    (problem,) = check([str(file), str(tmp_path / "app.toml")], "")
    assert problem.code == "R202" and "canje is once by" in problem.text
    assert (
        problem.line
        == [n for n, line in enumerate(file.read_text().splitlines(), 1) if '"effect": "repeatable"' in line][
            -1
        ]
    )


CHANGES: dict[str, tuple[str, str, Callable[[Any], object]]] = {
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


@pytest.mark.parametrize(("code", "where", "by"), CHANGES.values(), ids=CHANGES)
def test_a_broken_one_is_told_at_its_line(
    tmp_path: Path, code: str, where: str, by: Callable[[Any], object]
) -> None:
    file = platform(tmp_path)
    (problem,) = check([change(file, by)], "")
    assert problem.code == code and problem.remedy
    if (
        code != "S105" or where != '"objective": -1'
    ):  # the class's aim has another name there: its grade is told
        assert problem.line == line_of(file, where), str(problem)


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
def test_what_is_no_such_file_is_told(tmp_path: Path, text: str, line: int, code: str) -> None:
    file = put(tmp_path, "bad.json", text)
    (problem,) = check([file], "")
    assert (problem.line, problem.code) == (line, code)


def test_places_in_a_json_text() -> None:
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
    good = '[membership]\nservers = ["127.0.0.1:2181"]\npath = "/salas/portal"\n'
    assert check([put(tmp_path, "operator.toml", good)], "") == []
    (problem,) = check([put(tmp_path, "operator.toml", good + "reed = 1\n"), put(tmp_path, text=PLAIN)], "")
    assert (problem.line, problem.code) == (4, "S101")
