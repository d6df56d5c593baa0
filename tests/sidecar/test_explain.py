"""Tests of `schema`, `show` and `diff`, which are generated from the same model."""

from __future__ import annotations

import tomllib
from pathlib import Path

import jsonschema
import pytest
from description_files import CORPUS, PLAIN, good_descriptions, write_description, write_with_include

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.explain import schema

VALIDATOR = jsonschema.Draft202012Validator(schema())


@pytest.mark.parametrize("file", good_descriptions(), ids=lambda path: path.stem)
def test_good_descriptions_fit_the_schema(file: Path) -> None:
    VALIDATOR.validate(tomllib.loads(file.read_bytes().decode()))


@pytest.mark.parametrize(
    "name",
    ["unknown-key", "unknown-table", "type-number-for-string", "missing-effect", "unit-none", "name-capital"],
)
def test_the_schema_rejects_what_a_schema_can_express(name: str) -> None:
    raw = tomllib.loads((CORPUS / "broken" / f"{name}.toml").read_text())
    assert not VALIDATOR.is_valid(raw)


def test_the_schema_is_valid_and_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    jsonschema.Draft202012Validator.check_schema(schema())
    assert main(["schema"]) == 0
    assert '"title": "willowwing"' in capsys.readouterr().out


def test_show_names_each_value_and_its_origin(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = write_with_include(tmp_path)
    write_description(tmp_path, "app.prod.toml", "[class.stock]\nworth = 4\n")
    assert main(["show", file, "--environment", "prod"]) == 0
    output = capsys.readouterr().out
    assert f"class.stock.worth = 4.0  # {tmp_path}/app.prod.toml:2\n" in output
    assert f"class.stock.aim = 0.5  # {tmp_path}/base.toml:3\n" in output
    assert f"sidecar.0.inbound = 10.0.0.4:8081  # {file}:" in output
    assert "route.stock.attempts = 3  # default\n" in output


def test_diff_lists_what_changes_for_a_request_and_which_rule_breaks(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before = write_description(tmp_path, "old.toml")
    text = PLAIN.replace('retry = "never-ran"', 'retry = "always"\nattempts = 2').replace(
        "worth = 12", "worth = 6"
    )
    after = write_description(
        tmp_path, "new.toml", text.replace("nodes = 40", 'nodes = 40\ndrain = "3s"') + "# a comment\n"
    )
    assert main(["diff", before, after]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines == [
        "canje: attempts after one that never ran: 2 -> 1",
        "canje: attempts after a broken connection: 0 -> 1",
        "canje: where to retry after a broken connection: - -> anywhere, until its deadline",
        "canje: breaks rule 2: 1. canje is sent to a1 at 0 s; 2. its connection to a1 breaks before the "
        "answer; 3. canje is sent again to a1 at 0 s: it may run twice",
        "stock: worth: 12 -> 6",
        "tier nucleo: new requests after a drain begins: for 2 s -> for 3 s",
        "tier nucleo: breaks rule 3: 1. a server of nucleo begins to drain at 0 s; 2. a request is sent to "
        "it at 3 s, which `drain` allows, but the limit is 2 s",
    ]
    assert main(["diff", before, before]) == 0
    assert capsys.readouterr().out == ""


def test_show_and_diff_of_unreadable_or_invalid_files(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["show", str(tmp_path / "nowhere.toml")]) == 2
    assert "error[C001]" in capsys.readouterr().err
    invalid = write_description(tmp_path, text=PLAIN.replace("worth = 12", "worth = -1"))
    assert main(["diff", invalid, invalid]) == 1
    assert "error[S105]" in capsys.readouterr().out
