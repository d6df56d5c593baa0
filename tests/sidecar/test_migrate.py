"""Migration from an older format: values and comments are preserved, and unmigratable keys are reported."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest
from description_files import CORPUS, PLAIN, write_description

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.description import load
from service_proxy.sidecar.migrate import migrate

FORMAT_1 = sorted((CORPUS / "old").glob("*.toml"))
PLAIN_FORMAT_1 = CORPUS / "old" / "plain.toml"


@pytest.mark.parametrize("file", FORMAT_1, ids=lambda path: path.stem)
def test_migrating_a_file_of_format_1_gives_the_bytes_of_the_same_file_of_format_2(
    file: Path, tmp_path: Path
) -> None:
    with file.open(newline="") as source:
        text = source.read()
    migrated, problems = migrate(str(file), text)
    assert problems == []
    with (file.parent.parent / "good" / file.name).open(newline="") as source:
        assert migrated == source.read()  # equal bytes: comments, order and line endings are preserved


def test_a_file_of_format_1_is_refused_with_the_remedy() -> None:
    problems = check([str(PLAIN_FORMAT_1)], "")
    (problem,) = [problem for problem in problems if problem.code == "C005"]
    assert problem.line == 1
    assert problem.remedy == "run migrate"


def test_a_key_that_cannot_be_renamed_is_reported_and_no_file_is_changed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a partial migration: in an array of inline tables the key's column can't be found."""
    text = PLAIN.split("[[sidecar]]")[0].replace("format = 2", "format = 1")
    text = text.replace(
        'padron = "10.2.0.1:8500"',
        'padron = "10.2.0.1:8500"\nsidecar = [{host = "h-1", zone = "sala-a", tier = "nucleo", '
        'listen = "10.0.0.4:8081", application = "127.0.0.1:9000"}]',
    )
    assert migrate("odd.toml", text)[0] == text
    migratable = write_description(tmp_path, "good.toml", text.replace("sidecar = ", "# "))
    unmigratable = write_description(tmp_path, "odd.toml", text)
    assert main(["migrate", migratable, unmigratable, "--in-place"]) == 1
    output = capsys.readouterr().out
    assert "odd.toml:4:1: error[C005]" in output
    assert "write inbound in place of listen" in output
    assert Path(migratable).read_text().startswith("format = 1")
    assert Path(unmigratable).read_text() == text


def test_files_change_in_place_with_their_mode_and_through_a_link(tmp_path: Path) -> None:
    file = Path(write_description(tmp_path, "real.toml", PLAIN_FORMAT_1.read_text()))
    file.chmod(0o640)
    link = tmp_path / "link.toml"
    link.symlink_to(file)
    assert main(["migrate", str(link), "--in-place"]) == 0
    assert link.is_symlink()
    assert file.stat().st_mode & 0o777 == 0o640
    assert check([str(file)], "") == []
    assert load(str(file))[1] is not None
    assert [path.name for path in tmp_path.iterdir() if path.name.startswith(".")] == []


def test_a_file_of_this_format_stays_as_it_is(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["migrate", write_description(tmp_path)]) == 0
    assert capsys.readouterr().out == PLAIN


@pytest.mark.parametrize("version", ["0", "3", '"1"', "true", "1.0"])
def test_an_unknown_format_is_refused(
    tmp_path: Path, version: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_description(tmp_path, text=PLAIN.replace("format = 2", f"format = {version}"))
    assert main(["migrate", file, "--in-place"]) == 1
    assert ":1:1: error[C005]" in capsys.readouterr().out
    assert Path(file).read_text().startswith("format = " + version)


def test_an_included_file_and_an_overlay_have_no_format_and_are_migrated_too(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = '[[sidecar]]\n"listen" = "10.0.0.4:8081"  # here\nhost = "listen"\n'
    assert main(["migrate", write_description(tmp_path, "app.prod.toml", text)]) == 0
    assert capsys.readouterr().out == '[[sidecar]]\ninbound = "10.0.0.4:8081"  # here\nhost = "listen"\n'


def test_a_folder_without_write_permission_leaves_the_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # The error is simulated, because tests may run as root, which has all permissions.
    def refuse(*_: object, **__: object) -> None:
        raise PermissionError(13, "Permission denied")

    text = PLAIN.replace("format = 2", "format = 1").replace("inbound", "listen")
    file = write_description(tmp_path, text=text)
    monkeypatch.setattr(tempfile, "mkstemp", refuse)
    assert main(["migrate", file, "--in-place"]) == 2
    assert "not written: Permission denied" in capsys.readouterr().err
    assert Path(file).read_text() == text


def test_a_missing_file_is_exit_code_2(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["migrate", "nowhere.toml"]) == 2
    assert "error[C001]" in capsys.readouterr().out
