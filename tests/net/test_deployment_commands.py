"""The `run` line of deploy/balancer.toml as the standing test starts it: one process, no further program, no
socket but TCP over IPv4, nothing written outside $TMPDIR. Watched from inside (PEP 578) and from /proc."""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest
from net_harness import ROOT, SETTINGS, TEST_TIMEOUT_S

from harness.proxy_process import free_port

# Runs in the watched process before its first line. What the loop's own C does is not seen here: /proc tells.
HOOK = """
import os, sys
_sink = os.open(os.environ["AUDIT_LOG"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
_starts = ("subprocess.Popen", "os.system", "os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn",
           "pty.spawn", "os.startfile")
_writes = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
def _hook(event, args):
    said = None
    if event in _starts:
        said = f"program {event} {args!r}"
    elif event == "socket.__new__":
        said = f"socket {int(args[1])} {int(args[2])}"
    elif event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple):
        said = f"unix {event} {args[1]!r}"
    elif event == "open" and isinstance(args[2], int) and args[2] & _writes:
        said = f"write {args[0]!r}"
    elif event in ("os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.link", "os.symlink", "os.truncate"):
        said = f"write {args[0]!r}"
    if said is not None:
        os.write(_sink, said.encode() + b"\\n")
sys.addaudithook(_hook)
"""
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


class Started:
    """The `run` line in a tree that nobody may write to."""

    def __init__(self, process: subprocess.Popen[bytes], folder: Path, listen: tuple[str, int]) -> None:
        self.process = process
        self.folder = folder
        self.listen = listen

    @property
    def audit(self) -> list[str]:
        return (self.folder / "audit").read_text().splitlines()

    def ask(self, request: bytes) -> bytes:
        with suppress(OSError), socket.create_connection(self.listen, 1.0) as client:
            client.sendall(request)
            return client.recv(4096)
        return b""

    def sockets(self) -> list[str]:
        """What its descriptors are, by the kernel's tables; the pairs that a loop makes for itself have no
        name and are left out."""
        mine = set()
        for entry in Path(f"/proc/{self.process.pid}/fd").iterdir():
            with suppress(OSError):
                target = os.readlink(entry)
                if target.startswith("socket:["):
                    mine.add(target[8:-1])
        found = []
        for table in ("tcp", "tcp6", "udp", "udp6", "raw", "raw6", "packet"):
            with suppress(FileNotFoundError):
                rows = (line.split() for line in Path(f"/proc/net/{table}").read_text().splitlines()[1:])
                place = 8 if table == "packet" else 9
                found += [table for row in rows if len(row) > place and row[place] in mine]
        for line in Path("/proc/net/unix").read_text().splitlines()[1:]:
            row = line.split()
            if row[6] in mine and len(row) > 7:
                found.append(f"unix {row[7]}")
        return sorted(set(found))


def until(condition: object, what: str) -> None:
    due = time.monotonic() + TEST_TIMEOUT_S
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < due, what
        time.sleep(0.01)


@contextmanager
def run_line(tmp_path: Path, command: str) -> Iterator[Started]:
    tree = tmp_path / "tree"
    compiled = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "service_proxy", tree / "service_proxy", ignore=compiled)
    (tree / ".venv").symlink_to(sys.prefix)
    hooks = tmp_path / "hooks"
    hooks.mkdir()
    (hooks / "sitecustomize.py").write_text(HOOK)
    private = tmp_path / "private"
    private.mkdir()
    listen = ("127.0.0.1", free_port())
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{listen[1]}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peer_listen": f"127.0.0.1:{free_port()}",
        "peers": [f"127.0.0.1:{free_port()}"],
        "known": {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": "s-1",
                    "address": f"127.0.0.1:{free_port()}",
                    "zone": "a",
                    "type": "m",
                    "group": 1,
                    "status": "Ready",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            ],
        },
        "settings": SETTINGS,
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    environ = {
        "PATH": os.environ["PATH"],
        "EDGE_CONFIG": str(tmp_path / "config.json"),
        "TMPDIR": str(private),
        "PYTHONPATH": str(hooks),
        "AUDIT_LOG": str(tmp_path / "audit"),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    process = subprocess.Popen(["/bin/sh", "-c", command], cwd=tree, env=environ, stderr=subprocess.DEVNULL)
    try:
        yield Started(process, tmp_path, listen)
    finally:
        process.kill()
        process.wait()


def test_the_run_command_is_one_process_that_starts_nothing_and_speaks_tcp_over_ipv4_alone(
    tmp_path: Path,
) -> None:
    with run_line(tmp_path, DEPLOY["run"]) as started:
        pid = started.process.pid
        health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
        until(lambda: started.ask(health).startswith(b"HTTP/1.1 200"), "ready")
        assert "service_proxy" in Path(f"/proc/{pid}/cmdline").read_text()  # the shell has become it
        call = b"GET /stock/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget: 300m\r\n\r\n"
        assert started.ask(call).startswith((b"HTTP/1.1 503", b"HTTP/1.1 502", b"HTTP/1.1 504"))
        started.process.send_signal(signal.SIGHUP)
        assert started.ask(health).startswith(b"HTTP/1.1 200")
        assert started.sockets() == ["tcp"]
        children = [Path(task / "children").read_text() for task in Path(f"/proc/{pid}/task").iterdir()]
        assert not any(children)
        maps = Path(f"/proc/{pid}/maps").read_text()
        assert "libc.so" in maps or "libc-" in maps  # linked dynamically against the C library
        started.process.send_signal(signal.SIGTERM)
        assert started.process.wait(TEST_TIMEOUT_S) == 0
        odd = [line for line in started.audit if not line.startswith("socket ")]
        assert [line for line in odd if str(tmp_path / "private") not in line] == []
        kinds = {tuple(map(int, line.split()[1:])) for line in started.audit if line.startswith("socket ")}
        inside = (int(socket.AF_UNIX), int(socket.SOCK_STREAM))  # the loop's own pair for signals
        assert {(family, kind & 0xF) for family, kind in kinds} - {inside} <= {
            (int(socket.AF_INET), int(socket.SOCK_STREAM))
        }


@pytest.mark.parametrize("key", ["build", "run", "sim"])
def test_the_commands_name_no_shell_that_stays(key: str) -> None:
    command = DEPLOY[key]
    assert key == "build" or (command.startswith("exec ") and "&" not in command and ";" not in command)
    assert "sudo" not in command and "/usr/" not in command


def test_the_process_watch_detects_what_it_is_there_for(tmp_path: Path) -> None:
    """A program with each of the forbidden things, watched in the same way."""
    lines = [
        "import os, socket, subprocess, sys, time",
        "subprocess.run(['true'])",
        "kept = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM), socket.socket(socket.AF_INET6)]",
        "kept[0].bind(('127.0.0.1', 0)); kept[1].bind(('::1', 0)); kept[1].listen()",
        "kept.append(socket.socket(socket.AF_UNIX)); kept[2].bind('\\0standing-%d' % os.getpid())",
        "open('made', 'w').close()",
        "time.sleep(60)",
    ]
    text = "; ".join(lines)
    with run_line(tmp_path, f'exec .venv/bin/python -c "{text}"') as started:
        until(lambda: (tmp_path / "tree" / "made").exists(), "all of it done")
        found = started.sockets()
        assert "udp" in found and "tcp6" in found and any(one.startswith("unix @standing") for one in found)
        said = "\n".join(started.audit)
        assert "program subprocess.Popen" in said and "unix socket.bind" in said and "write 'made'" in said
