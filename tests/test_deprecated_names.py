"""Tests of commands under the package's old name, which run the new commands and log a deprecation."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from test_simulator_adapter import transcript

ROOT = Path(__file__).parent.parent
CORPUS = ROOT / "tests" / "corpus"
TIMEOUT_S = 30.0
RENAMED = {
    "granitepoint": "service_proxy",
    "granitepoint.sidecar": "service_proxy.sidecar",
    "granitepoint.fleet": "service_proxy.fleet",
    "granitepoint.recovery": "service_proxy.recovery",
    "granitepoint.membership.register": "service_proxy.ephemeral_nodes.register",
    "granitepoint.benchlink": "service_proxy.simulator_adapter",
}


def run(module: str, *arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=environ | {"PYTHONHASHSEED": "0"},
        timeout=TIMEOUT_S,
        check=False,
    )


def run_both(old: str, *arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
    """Run the old and the new command, check that both have the same outcome, and return the new one's."""
    new = RENAMED[old]
    done_old = run(old, *arguments, text=text)
    done_new = run(new, *arguments, text=text)
    warning = f"deprecated_module old={old} new={new}\n"
    assert done_old.stderr == warning + done_new.stderr
    assert done_old.returncode == done_new.returncode
    assert done_old.stdout == done_new.stdout
    return done_new


@pytest.mark.parametrize("old", [name for name in RENAMED if name != "granitepoint.benchlink"])
def test_an_old_command_shows_the_help_of_the_new_one(old: str) -> None:
    done = run_both(old, "--help")
    assert done.returncode == 0
    assert done.stdout.startswith(f"usage: python -m {RENAMED[old]} ")


@pytest.mark.parametrize("old", [name for name in RENAMED if name != "granitepoint.benchlink"])
def test_an_old_command_refuses_an_unknown_argument_as_the_new_one(old: str) -> None:
    done = run_both(old, "--no-such-argument")
    assert done.returncode == 2 and done.stdout == ""


def test_the_old_adapter_answers_a_batch_as_the_new_one() -> None:
    done = run_both("granitepoint.benchlink", text=transcript(0))
    lines = done.stdout.splitlines()
    assert done.returncode == 0 and done.stderr == ""
    assert [line for line in lines if line.startswith("eor")] == [f"eor seq={number}" for number in range(6)]
    assert any(line.startswith("try who=0 call=50 backend=1") for line in lines)


def test_the_old_adapter_refuses_bad_input_as_the_new_one() -> None:
    done = run_both("granitepoint.benchlink", text="tick clock=1 seq=0\nno_such_record x=1\n")
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("file", "code"), [("good/plain.toml", 0), ("broken/aim-behind-deadline.toml", 1), ("good/none.toml", 2)]
)
@pytest.mark.parametrize("form", [(), ("--json",), ("--sarif",)], ids=["text", "json", "sarif"])
def test_the_old_sidecar_tool_checks_a_description_as_the_new_one(
    file: str, code: int, form: tuple[str, ...]
) -> None:
    done = run_both("granitepoint.sidecar", "check", *form, str(CORPUS / file))
    assert done.returncode == code
    assert ("S107" in done.stdout) == (code == 1)


def test_the_old_proxy_refuses_to_start_without_a_configuration_as_the_new_one() -> None:
    done = run_both("granitepoint")
    assert done.returncode == 2 and done.stdout == ""


def test_the_old_registration_needs_its_tables_as_the_new_one(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("")
    done = run_both("granitepoint.membership.register", "--operator", str(file))
    assert done.returncode == 2 and "[membership] and [registration] are needed" in done.stderr


def test_the_old_store_tool_finds_no_store_as_the_new_one(tmp_path: Path) -> None:
    done = run_both("granitepoint.recovery", "show", str(tmp_path))
    assert done.returncode == 1 and "holds no store" in done.stderr + done.stdout


def test_the_old_view_refuses_a_bad_address_as_the_new_one() -> None:
    done = run_both("granitepoint.fleet", "view", "--of", "nowhere")
    assert done.returncode == 2 and "--of" in done.stderr
