"""From an older format: what was good reads as the same, comments stay, and what can't be done is said."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest
from test_description import PLAIN, ROOT, put

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.description import load
from service_proxy.sidecar.migrate import migrate

OLD = sorted((ROOT / "tests" / "corpus" / "old").glob("*.toml"))


@pytest.mark.parametrize("file", OLD, ids=lambda path: path.stem)
def test_an_old_file_becomes_the_same_as_the_new_one(file: Path, tmp_path: Path) -> None:
    with file.open(newline="") as source:
        text = source.read()
    new, problems = migrate(str(file), text)
    assert problems == []
    with (file.parent.parent / "good" / file.name).open(newline="") as source:
        assert new == source.read()  # to the byte: comments, order, ends of lines


def test_an_old_file_is_refused_with_what_to_do(tmp_path: Path) -> None:
    (problem,) = (p for p in check([str(OLD[0].with_name("plain.toml"))], "") if p.code == "C005")
    assert problem.line == 1 and problem.remedy == "run migrate"


def test_what_a_program_cant_rename_is_left_to_a_hand_and_nothing_is_changed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An array of inline tables on one line: the scan knows the line, not the column."""
    text = PLAIN.split("[[sidecar]]")[0].replace("format = 2", "format = 1")
    text = text.replace(
        'padron = "10.2.0.1:8500"',
        'padron = "10.2.0.1:8500"\nsidecar = [{host = "h-1", zone = "sala-a", tier = "nucleo", '
        'listen = "10.0.0.4:8081", application = "127.0.0.1:9000"}]',
    )
    assert migrate("odd.toml", text)[0] == text
    good = put(tmp_path, "good.toml", text.replace("sidecar = ", "# "))
    odd = put(tmp_path, "odd.toml", text)
    assert main(["migrate", good, odd, "--in-place"]) == 1
    said = capsys.readouterr().out
    assert "odd.toml:4:1: error[C005]" in said and "write inbound in place of listen" in said
    assert Path(good).read_text().startswith("format = 1") and Path(odd).read_text() == text


def test_files_change_in_place_with_their_mode_and_through_a_link(tmp_path: Path) -> None:
    old = (OLD[0].with_name("plain.toml")).read_text()
    file = Path(put(tmp_path, "real.toml", old))
    file.chmod(0o640)
    link = tmp_path / "link.toml"
    link.symlink_to(file)
    assert main(["migrate", str(link), "--in-place"]) == 0
    assert link.is_symlink() and file.stat().st_mode & 0o777 == 0o640
    assert check([str(file)], "") == [] and load(str(file))[1] is not None
    assert [path.name for path in tmp_path.iterdir() if path.name.startswith(".")] == []


def test_a_file_of_this_format_stays_as_it_is(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["migrate", put(tmp_path)]) == 0
    assert capsys.readouterr().out == PLAIN


@pytest.mark.parametrize("version", ["0", "3", '"1"', "true", "1.0"])
def test_a_format_that_nobody_knows_is_refused(
    tmp_path: Path, version: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = put(tmp_path, text=PLAIN.replace("format = 2", f"format = {version}"))
    assert main(["migrate", file, "--in-place"]) == 1
    assert ":1:1: error[C005]" in capsys.readouterr().out and Path(file).read_text().startswith(
        "format = " + version
    )


def test_an_included_file_and_an_overlay_have_no_format_and_are_migrated_too(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = '[[sidecar]]\n"listen" = "10.0.0.4:8081"  # here\nhost = "listen"\n'
    assert main(["migrate", put(tmp_path, "app.prod.toml", text)]) == 0
    assert capsys.readouterr().out == '[[sidecar]]\ninbound = "10.0.0.4:8081"  # here\nhost = "listen"\n'


def test_a_folder_that_may_not_be_written_leaves_the_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def refused(*_: object, **__: object) -> None:  # root, as which tests may run, is refused nothing
        raise PermissionError(13, "Permission denied")

    text = PLAIN.replace("format = 2", "format = 1").replace("inbound", "listen")
    file = put(tmp_path, text=text)
    monkeypatch.setattr(tempfile, "mkstemp", refused)
    assert main(["migrate", file, "--in-place"]) == 2
    assert "not written: Permission denied" in capsys.readouterr().err and Path(file).read_text() == text


def test_a_file_that_is_not_there_is_exit_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["migrate", "nowhere.toml"]) == 2
    assert "error[C001]" in capsys.readouterr().out
