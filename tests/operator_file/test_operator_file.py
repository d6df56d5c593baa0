"""The operator's file: what is wrong is told with file, line and what to write instead, before any socket."""

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
GOOD = '[membership]\nservers = ["127.0.0.1:2181"]\npath = "/salas/portal"\n'
FLEET = '[fleet]\nname = "portal"\n'
WS = '[websocket]\nmessages = ["pantalla"]\n'

# text, line, what the message names
BROKEN: dict[str, tuple[str, int, str]] = {
    "a fleet without a name": ("[fleet]\n", 1, "lacks name"),
    "a suspicion under a round": (FLEET + "suspicion = 0.5\n", 3, "shorter than a probe round"),
    "a memory under its suspicions": (FLEET + "memory = 20\n", 3, "shorter than ten suspicions"),
    "a fleet of one": (FLEET + 'listen = "10.0.0.4:1"\nmembers = ["10.0.0.4:1"]\n', 4, "nobody to see"),
    "its own network, and nobody in it": (FLEET + "own_network = true\n", 3, "without listen"),
    "a member outside the networks": (FLEET + 'members = ["8.8.8.8:1", "10.0.0.4:1"]\n', 1, "in none of"),
    "a member with a name": (FLEET + 'members = ["proxy-a:1", "10.0.0.4:1"]\n', 1, "is no IPv4 address"),
    "no network": (FLEET + 'networks = ["10.0.0.1/8"]\n', 3, "must hold IPv4 networks"),
    "no TOML": ("[membership\n", 1, "is no TOML"),
    "no value": ("[membership]\nservers =\n", 2, "is no TOML"),
    "twice": (GOOD + 'path = "/b"\n', 4, "is no TOML"),
    "unknown table": ("[membershp]\n", 1, "unknown table or key membershp"),
    "key outside a table": ('path = "/a"\n' + GOOD, 1, "unknown table or key path"),
    "unknown key": (GOOD + "\nsesion_timeout = 3\n", 5, "write session_timeout"),
    "no table": ("membership = 3\n", 1, "membership is no table"),
    "lacks a key": ('[membership]\nservers = ["127.0.0.1:2181"]\n', 1, 'write path = "/zones/front"'),
    "string for a number": (GOOD + 'session_timeout = "6"\n', 4, "must be a number"),
    "true for a number": (GOOD + "session_timeout = true\n", 4, "must be a number"),
    "number for a flag": (GOOD + "read_only = 1\n", 4, "must be true or false"),
    "string for a list": (GOOD.replace('["127.0.0.1:2181"]', '"127.0.0.1:2181"'), 2, "must be a list"),
    "no servers": (GOOD.replace('"127.0.0.1:2181"', ""), 2, "1 to 9 servers"),
    "a server twice": (GOOD.replace('2181"', '2181", "127.0.0.1:2181"'), 2, "names a server twice"),
    "a server without a port": (GOOD.replace(":2181", ""), 2, "must hold host:port"),
    "a port too high": (GOOD.replace(":2181", ":70000"), 2, "must hold host:port"),
    "relative path": (GOOD.replace("/salas/", "salas/"), 3, "must be a path"),
    "path with an end": (GOOD.replace("portal", "portal/"), 3, "must be a path"),
    "path with a control character": (GOOD.replace("portal", "por\\u0001tal"), 3, "control characters"),
    "time of nan": (GOOD + "session_timeout = nan\n", 4, "is not finite"),
    "time too short": (GOOD + "session_timeout = 0.1\n", 4, "between 0.2 and 120"),
    "share above one": (GOOD + "mass_loss_share = 1.5\n", 4, "between 0.05 and 1"),
    "unknown watch": (GOOD + 'watch = "always"\n', 4, "must be auto, persistent or one-shot"),
    "connect longer than the session": (GOOD + "connect_timeout = 6.5\n", 4, "at most 2"),
    "jitter that takes the drain": (GOOD + "reread_jitter = 2\n", 4, "1.5 or less"),
    "registration alone": ('[registration]\nname = "s"\naddress = "127.0.0.1:1"\n', 1, "write a table"),
    "registration read-only": (
        GOOD + 'read_only = true\n[registration]\nname = "s"\naddress = "127.0.0.1:1"\n',
        4,
        "write read_only = false",
    ),
    "name with a slash": (GOOD + '[registration]\nname = "a/b"\naddress = "127.0.0.1:1"\n', 5, "without /"),
    "address, no port": (GOOD + '[registration]\nname = "a"\naddress = "x"\n', 6, "must hold host:port"),
    "websocket for nobody": ("[websocket]\n", 1, 'write messages = ["pantalla"]'),
    "a route with a slash": ('[websocket]\nmessages = ["a/b"]\n', 2, "first parts of paths"),
    "a route in both modes": (WS + 'tunnels = ["pantalla"]\n', 3, "give each route one mode"),
    "an origin with a path": (WS + 'origins = ["https://k.example/"]\n', 3, "without a path"),
    "a subprotocol with a space": (WS + 'subprotocols = ["a b"]\n', 3, "tokens"),
    "a message over 64 KiB": (WS + "message_bytes = 65537\n", 3, "between 125 and 65536"),
    "a burst below the rate": (WS + "messages_per_s = 1000.0\nburst = 40.0\n", 4, "burst = 100 or more"),
    "more of a tenant than of all": (WS + "sessions_per_tenant = 257\n", 3, "tenant = 256 or less"),
    "an outcome longer than what may wait": (WS + "unread_bytes = 2000\n", 3, "unread_bytes = 65536 or more"),
    "pongs awaited past the next ping": (WS + "ping_every = 2.0\n", 3, "write ping_every = 5 or more"),
    "a window of 8 bits": (WS + "deflate_window_bits = 8\n", 3, "between 9 and 15"),
    "a line far down, in a list": (
        GOOD.replace('["127.0.0.1:2181"]', '[\n  "127.0.0.1:2181", # one\n  "[::1]:2182",\n]') + "reed = 1\n",
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
    with pytest.raises(OperatorError) as caught:
        load(str(file))
    problem = caught.value.problems[0]
    assert (problem.file, problem.line) == (str(file), line), str(problem)
    assert expected_message in str(problem) and problem.remedy


def test_places_are_found_however_a_key_is_written() -> None:
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
    file.write_text(GOOD + "sesion = 3\nread_only = 7\nwatch = 1\n")
    with pytest.raises(OperatorError) as caught:
        load(str(file))
    assert [problem.line for problem in caught.value.problems] == [4, 5, 6]


def test_a_good_file_is_one_frozen_object(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(GOOD + 'session_timeout = 9\n[registration]\nname = "s-1"\naddress = "127.0.0.1:9"\n')
    operator = load(str(file))
    assert operator.membership is not None and operator.registration is not None
    assert operator.membership.servers == ("127.0.0.1:2181",)
    assert operator.membership.session_timeout == 9.0 and operator.membership.mass_loss_share == 0.34
    with pytest.raises(AttributeError):
        operator.membership.path = "/x"  # type: ignore[misc]


def test_a_missing_file_is_reported() -> None:
    with pytest.raises(OperatorError, match=r"nowhere\.toml:1:1: error\[C001\]: can't be read"):
        load("nowhere.toml")


def test_the_example_in_deploy_is_valid(tmp_path: Path) -> None:
    """As it stands all is off; with the `#` before its keys taken away all of it is accepted."""
    example = ROOT / "deploy" / "operator.toml"
    assert load(str(example)).membership is None
    lines = example.read_text(encoding="utf-8").splitlines()
    on = [
        line.removeprefix("# ")
        for line in lines
        if line.startswith(("# [", "# ")) and (line.startswith("# [") or " = " in line)
    ]
    file = tmp_path / "operator.toml"
    file.write_text("\n".join(on))
    operator = load(str(file))
    assert operator.membership is not None and operator.registration is not None


def program(*arguments: str, environ: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "service_proxy", *arguments]
    return subprocess.run(
        command, cwd=ROOT, env=environ or {}, capture_output=True, text=True, timeout=60, check=False
    )


def test_a_bad_file_is_exit_2_before_the_configuration_is_even_read(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(GOOD + "reed = 1\n")
    ended = program("--operator", str(file))
    assert ended.returncode == 2 and ended.stderr.startswith(f"{file}:4:1: error[S101]: unknown key reed")
    assert "EDGE_CONFIG" not in ended.stderr


def test_a_key_file_that_can_not_be_used_is_exit_2_with_file_and_remedy(tmp_path: Path) -> None:
    """The file that the operator's file names, read once the rest is known to be good."""
    keys = tmp_path / "keys"
    keys.touch(0o600)
    keys.write_text("no key at all\n")
    file = tmp_path / "operator.toml"
    file.write_text(f'[budgets]\nkeys_file = "{keys}"\n')
    raw = configuration("n0", "127.0.0.1:0", "127.0.0.1:1", [])
    (tmp_path / "config.json").write_text(json.dumps(raw))
    environ = {"EDGE_CONFIG": str(tmp_path / "config.json")}
    ended = program("--operator", str(file), environ=environ)
    assert ended.returncode == 2, ended.stderr
    assert ended.stderr.startswith(f"{keys}:1:") and "Traceback" not in ended.stderr


def test_help_names_what_it_needs_and_exits_0() -> None:
    ended = program("--help")
    assert ended.returncode == 0 and "EDGE_CONFIG" in ended.stdout and "--operator FILE" in ended.stdout


def test_without_the_file_no_subsystem_is_imported() -> None:
    """What is off costs nothing: not an import."""
    code = (
        "import sys, service_proxy.__main__ as m\n"
        "import service_proxy.net.dispatcher, service_proxy.net.downstream\n"
        "m.main([])\n"
        "bad = [n for n in sys.modules if n.startswith(('service_proxy.ephemeral_nodes',"
        " 'service_proxy.operator_file',"
        " 'service_proxy.deadlines', 'service_proxy.sidecar', 'service_proxy.fleet', 'service_proxy.clock',"
        " 'service_proxy.recovery',"
        " 'service_proxy.simulator_adapter', 'harness'))]\n"
        "sys.exit(' '.join(bad) or 0)"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
