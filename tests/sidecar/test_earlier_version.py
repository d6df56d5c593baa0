"""Compatibility with a folder that an earlier version wrote under the old package name.

`fixtures/written_by_granitepoint/h-1` is the folder of one host, written by `python -m granitepoint.sidecar
write deploy/application.toml -o DIR` before the package was renamed.
"""

from __future__ import annotations

import importlib.util
import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from description_files import ROOT

from service_proxy.net.config import load_config
from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.write import find_edited_files, has_digest

FIXTURE = Path(__file__).parent / "fixtures" / "written_by_granitepoint"
FILES = ("h-1/portal-nucleo.json", "h-1/portal-nucleo.service", "h-1/portal.service")
UNITS = tuple(name for name in FILES if name.endswith(".service"))


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a copy of the fixture that a test may change."""
    copy = tmp_path / "deployed"
    shutil.copytree(FIXTURE, copy)
    return copy


def started_module(unit: Path) -> str:
    """Return the module that a unit file starts."""
    (module,) = re.findall(r"^ExecStart=\S+ -m (\S+)", unit.read_text(), re.M)
    return str(module)


def head_without_digest(file: Path) -> bytes:
    """Return the first line of a written file up to its digest."""
    return file.read_bytes().split(b"\n")[0].rpartition(b" ")[0]


def test_the_fixture_has_these_files_of_the_earlier_version() -> None:
    found = {str(path.relative_to(FIXTURE)) for path in FIXTURE.rglob("*") if path.is_file()}
    assert found == set(FILES)
    assert {started_module(FIXTURE / name) for name in UNITS} == {"granitepoint", "granitepoint.sidecar"}


def test_files_of_the_earlier_version_are_recognized_as_written_and_unedited(folder: Path) -> None:
    assert find_edited_files(folder) == []
    for name in FILES:
        assert has_digest((folder / name).read_bytes(), name)


@pytest.mark.parametrize("name", FILES)
def test_an_edit_of_a_file_of_the_earlier_version_is_found(folder: Path, name: str) -> None:
    path = folder / name
    text = path.read_text()
    edited = re.sub(r"1024|384", "512", text, count=1)
    assert edited != text
    path.write_text(edited)
    (problem,) = find_edited_files(folder)
    assert problem.file == str(path)
    assert problem.code == "C008"
    assert not problem.is_warning


def test_a_folder_of_the_earlier_version_is_replaced_unless_it_was_edited(
    folder: Path,
) -> None:
    description = str(ROOT / "deploy" / "application.toml")
    edited = folder / UNITS[0]
    edited.write_text(edited.read_text() + "# mine\n")
    assert main(["write", description, "-o", str(folder)]) == 1
    assert edited.read_text().endswith("# mine\n")
    shutil.copy(FIXTURE / UNITS[0], edited)
    assert main(["write", description, "-o", str(folder)]) == 0
    assert {started_module(folder / name) for name in UNITS} == {"service_proxy", "service_proxy.sidecar"}
    assert find_edited_files(folder) == []


def test_the_heads_of_written_files_are_those_that_the_earlier_version_reads(tmp_path: Path) -> None:
    folder = tmp_path / "deployed"
    assert main(["write", str(ROOT / "deploy" / "application.toml"), "-o", str(folder)]) == 0
    for name in UNITS:
        assert head_without_digest(folder / name) == head_without_digest(FIXTURE / name)
        assert head_without_digest(folder / name) == b"# written by granitepoint.sidecar, sha256"
    json_name = FILES[0]
    assert (folder / json_name).read_bytes() == (FIXTURE / json_name).read_bytes()


def test_a_configuration_of_the_earlier_version_is_read(folder: Path) -> None:
    config = load_config({"EDGE_CONFIG": str(folder / "h-1/portal-nucleo.json")})
    assert config.name == "h-1-portal-nucleo"
    assert config.listen == ("127.0.0.1", 7001)


@pytest.mark.parametrize("name", UNITS)
def test_a_unit_file_of_the_earlier_version_names_a_command_that_exists(name: str) -> None:
    module = started_module(FIXTURE / name)
    spec = importlib.util.find_spec(module)
    assert spec is not None
    if spec.submodule_search_locations is not None:  # `-m` runs the __main__ module of a package
        assert importlib.util.find_spec(f"{module}.__main__") is not None
    command = [sys.executable, "-m", module, *(["run"] if module.endswith(".sidecar") else []), "--help"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30, check=False)
    assert completed.returncode == 0
    assert completed.stdout.startswith("usage: ")
