"""Tests of the operator's file: problems are reported with file, line and remedy before a socket opens."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from harness.proxy_process import configuration
from service_proxy.operator_file import OperatorError, load
from service_proxy.operator_file.positions import find_positions

ROOT = Path(__file__).parent.parent.parent
MEMBERSHIP = '[membership]\nservers = ["127.0.0.1:2181"]\npath = "/salas/portal"\n'
FLEET = '[fleet]\nname = "portal"\n'
WEBSOCKET = '[websocket]\nmessages = ["pantalla"]\n'

# By case: the text, the line of its first problem, and a part of the message.
BROKEN: dict[str, tuple[str, int, str]] = {
    "a fleet without a name": ("[fleet]\n", 1, "lacks name"),
    "suspicion shorter than a probe round": (FLEET + "suspicion = 0.5\n", 3, "shorter than a probe round"),
    "memory shorter than ten suspicions": (FLEET + "memory = 20\n", 3, "shorter than ten suspicions"),
    "a fleet with one member": (
        FLEET + 'listen = "10.0.0.4:1"\nmembers = ["10.0.0.4:1"]\n',
        4,
        "has no other member",
    ),
    "own_network without listen": (FLEET + "own_network = true\n", 3, "without listen"),
    "a member outside the networks": (FLEET + 'members = ["8.8.8.8:1", "10.0.0.4:1"]\n', 1, "in none of"),
    "a member given by host name": (
        FLEET + 'members = ["proxy-a:1", "10.0.0.4:1"]\n',
        1,
        "is not an IPv4 address",
    ),
    "a network with host bits": (FLEET + 'networks = ["10.0.0.1/8"]\n', 3, "must hold IPv4 networks"),
    "unclosed header": ("[membership\n", 1, "is no TOML"),
    "no value": ("[membership]\nservers =\n", 2, "is no TOML"),
    "a key given twice": (MEMBERSHIP + 'path = "/b"\n', 4, "is no TOML"),
    "unknown table": ("[membershp]\n", 1, "unknown table or key membershp"),
    "key outside a table": ('path = "/a"\n' + MEMBERSHIP, 1, "unknown table or key path"),
    "unknown key": (MEMBERSHIP + "\nsesion_timeout = 3\n", 5, "write session_timeout"),
    "a number for a table": ("membership = 3\n", 1, "membership is no table"),
    "a required key missing": (
        '[membership]\nservers = ["127.0.0.1:2181"]\n',
        1,
        'write path = "/zones/front"',
    ),
    "string for a number": (MEMBERSHIP + 'session_timeout = "6"\n', 4, "must be a number"),
    "true for a number": (MEMBERSHIP + "session_timeout = true\n", 4, "must be a number"),
    "number for a flag": (MEMBERSHIP + "read_only = 1\n", 4, "must be true or false"),
    "string for a list": (MEMBERSHIP.replace('["127.0.0.1:2181"]', '"127.0.0.1:2181"'), 2, "must be a list"),
    "no servers": (MEMBERSHIP.replace('"127.0.0.1:2181"', ""), 2, "1 to 9 servers"),
    "a server twice": (MEMBERSHIP.replace('2181"', '2181", "127.0.0.1:2181"'), 2, "names a server twice"),
    "a server without a port": (MEMBERSHIP.replace(":2181", ""), 2, "must hold host:port"),
    "a port too high": (MEMBERSHIP.replace(":2181", ":70000"), 2, "must hold host:port"),
    "relative path": (MEMBERSHIP.replace("/salas/", "salas/"), 3, "must be a path"),
    "path with a trailing slash": (MEMBERSHIP.replace("portal", "portal/"), 3, "must be a path"),
    "path with a control character": (MEMBERSHIP.replace("portal", "por\\u0001tal"), 3, "control characters"),
    "time of nan": (MEMBERSHIP + "session_timeout = nan\n", 4, "is not finite"),
    "time too short": (MEMBERSHIP + "session_timeout = 0.1\n", 4, "between 0.2 and 120"),
    "share above one": (MEMBERSHIP + "mass_loss_share = 1.5\n", 4, "between 0.05 and 1"),
    "unknown watch": (MEMBERSHIP + 'watch = "always"\n', 4, "must be auto, persistent or one-shot"),
    "connect_timeout above session_timeout": (MEMBERSHIP + "connect_timeout = 6.5\n", 4, "at most 2"),
    "reread_jitter above the limit": (MEMBERSHIP + "reread_jitter = 2\n", 4, "1.5 or less"),
    "registration without membership": (
        '[registration]\nname = "s"\naddress = "127.0.0.1:1"\n',
        1,
        "write a table",
    ),
    "registration with read_only": (
        MEMBERSHIP + 'read_only = true\n[registration]\nname = "s"\naddress = "127.0.0.1:1"\n',
        4,
        "write read_only = false",
    ),
    "name with a slash": (
        MEMBERSHIP + '[registration]\nname = "a/b"\naddress = "127.0.0.1:1"\n',
        5,
        "without /",
    ),
    "address without a port": (
        MEMBERSHIP + '[registration]\nname = "a"\naddress = "x"\n',
        6,
        "must hold host:port",
    ),
    "websocket without routes": ("[websocket]\n", 1, 'write messages = ["pantalla"]'),
    "a route with a slash": ('[websocket]\nmessages = ["a/b"]\n', 2, "first parts of paths"),
    "a route in both modes": (WEBSOCKET + 'tunnels = ["pantalla"]\n', 3, "give each route one mode"),
    "an origin with a path": (WEBSOCKET + 'origins = ["https://k.example/"]\n', 3, "without a path"),
    "a subprotocol with a space": (WEBSOCKET + 'subprotocols = ["a b"]\n', 3, "tokens"),
    "a message over 64 KiB": (WEBSOCKET + "message_bytes = 65537\n", 3, "between 125 and 65536"),
    "a burst below the rate": (
        WEBSOCKET + "messages_per_s = 1000.0\nburst = 40.0\n",
        4,
        "burst = 100 or more",
    ),
    "more sessions per tenant than in total": (
        WEBSOCKET + "sessions_per_tenant = 257\n",
        3,
        "tenant = 256 or less",
    ),
    "unread_bytes below message_bytes": (
        WEBSOCKET + "unread_bytes = 2000\n",
        3,
        "unread_bytes = 65536 or more",
    ),
    "ping_timeout above ping_every": (WEBSOCKET + "ping_every = 2.0\n", 3, "write ping_every = 5 or more"),
    "a deflate window of 8 bits": (WEBSOCKET + "deflate_window_bits = 8\n", 3, "between 9 and 15"),
    "a key after a list over several lines": (
        MEMBERSHIP.replace('["127.0.0.1:2181"]', '[\n  "127.0.0.1:2181", # one\n  "[::1]:2182",\n]')
        + "reed = 1\n",
        7,
        "unknown key reed",
    ),
}


@pytest.mark.parametrize(("text", "line", "expected_message"), BROKEN.values(), ids=BROKEN)
def test_a_broken_file_is_reported_with_its_line(
    tmp_path: Path, text: str, line: int, expected_message: str
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(text, encoding="utf-8")
    with pytest.raises(OperatorError) as error:
        load(str(file))
    problem = error.value.problems[0]
    assert (problem.file, problem.line) == (str(file), line), str(problem)
    assert expected_message in str(problem)
    assert problem.remedy


def test_positions_are_found_in_all_forms_of_keys() -> None:
    text = (
        'a = 1\n[b]\n  c.d = """\n[no]\nno = 1\n"""\n"e f" = [\n  1, # ]\n  2,\n]\n\tg = { h = 1 }\n'
        "[[b.i]]\nj = 1\n[[b.i]]\nj = 2\n[b.i.k]\nl = 3\n[m]\n"
    )
    found = {".".join(path): (place.line, place.column) for path, place in find_positions(text).items()}
    assert found == {
        "": (1, 1),
        "a": (1, 1),
        "b": (2, 1),
        "b.c": (3, 3),
        "b.c.d": (3, 3),
        "b.e f": (7, 1),
        "b.g": (11, 2),
        "b.i": (12, 1),
        "b.i.0": (12, 1),
        "b.i.0.j": (13, 1),
        "b.i.1": (14, 1),
        "b.i.1.j": (15, 1),
        "b.i.1.k": (16, 1),
        "b.i.1.k.l": (17, 1),
        "m": (18, 1),
    }


def test_all_problems_of_a_file_are_reported_at_once(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(MEMBERSHIP + "sesion = 3\nread_only = 7\nwatch = 1\n")
    with pytest.raises(OperatorError) as error:
        load(str(file))
    assert [problem.line for problem in error.value.problems] == [4, 5, 6]


def test_a_valid_file_is_one_frozen_object(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        MEMBERSHIP + 'session_timeout = 9\n[registration]\nname = "s-1"\naddress = "127.0.0.1:9"\n'
    )
    operator = load(str(file))
    assert operator.membership is not None
    assert operator.registration is not None
    assert operator.membership.servers == ("127.0.0.1:2181",)
    assert operator.membership.session_timeout == 9.0
    assert operator.membership.mass_loss_share == 0.34
    with pytest.raises(AttributeError):
        operator.membership.path = "/x"  # type: ignore[misc]


def test_a_missing_file_is_reported() -> None:
    with pytest.raises(OperatorError, match=r"nowhere\.toml:1:1: error\[C001\]: can't be read"):
        load("nowhere.toml")


def test_the_example_in_deploy_is_valid(tmp_path: Path) -> None:
    """The example's tables are commented out; the example with its keys uncommented is accepted, too."""
    example = ROOT / "deploy" / "operator.toml"
    assert load(str(example)).membership is None
    lines = example.read_text(encoding="utf-8").splitlines()
    uncommented = [
        line.removeprefix("# ")
        for line in lines
        if line.startswith("# [") or (line.startswith("# ") and " = " in line)
    ]
    file = tmp_path / "operator.toml"
    file.write_text("\n".join(uncommented))
    operator = load(str(file))
    assert operator.membership is not None
    assert operator.registration is not None


def run_program(*arguments: str, environ: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    """Run `python -m service_proxy` until it exits."""
    command = [sys.executable, "-m", "service_proxy", *arguments]
    return subprocess.run(
        command, cwd=ROOT, env=environ or {}, capture_output=True, text=True, timeout=60, check=False
    )


def test_an_invalid_file_is_exit_code_2_before_the_configuration_is_read(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(MEMBERSHIP + "reed = 1\n")
    completed = run_program("--operator", str(file))
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"{file}:4:1: error[S101]: unknown key reed")
    assert "EDGE_CONFIG" not in completed.stderr


def test_an_unusable_key_file_is_exit_code_2_with_file_and_remedy(tmp_path: Path) -> None:
    """The key file is read after the operator's file itself is found valid."""
    keys = tmp_path / "keys"
    keys.touch(0o600)
    keys.write_text("no key at all\n")
    file = tmp_path / "operator.toml"
    file.write_text(f'[budgets]\nkeys_file = "{keys}"\n')
    raw = configuration("n0", "127.0.0.1:0", "127.0.0.1:1", [])
    (tmp_path / "config.json").write_text(json.dumps(raw))
    environ = {"EDGE_CONFIG": str(tmp_path / "config.json")}
    completed = run_program("--operator", str(file), environ=environ)
    assert completed.returncode == 2, completed.stderr
    assert completed.stderr.startswith(f"{keys}:1:")
    assert "Traceback" not in completed.stderr


def test_help_names_the_arguments_and_exits_0() -> None:
    completed = run_program("--help")
    assert completed.returncode == 0
    assert "EDGE_CONFIG" in completed.stdout
    assert "--operator FILE" in completed.stdout


def test_without_the_file_no_subsystem_is_imported() -> None:
    """A subsystem that is off must not be imported."""
    code = (
        "import sys, service_proxy.__main__ as m\n"
        "import service_proxy.net.dispatcher, service_proxy.net.downstream\n"
        "m.main([])\n"
        "imported = [n for n in sys.modules if n.startswith(('service_proxy.ephemeral_nodes',"
        " 'service_proxy.operator_file',"
        " 'service_proxy.deadlines', 'service_proxy.sidecar', 'service_proxy.fleet', 'service_proxy.clock',"
        " 'service_proxy.recovery',"
        " 'service_proxy.simulator_adapter', 'harness'))]\n"
        "sys.exit(' '.join(imported) or 0)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
