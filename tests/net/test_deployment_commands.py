"""The commands of deploy/balancer.toml, and the restrictions on the process of the `run` command.

The process starts no other program, uses only TCP over IPv4 sockets and writes only to $TMPDIR. An audit hook
in the process (PEP 578) and /proc show violations.
"""

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

# Audit hook that is installed before the program's first line. The C code of the event loop raises no audit
# events, so its sockets are checked in /proc.
HOOK = """
import os, sys
_sink = os.open(os.environ["AUDIT_LOG"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)
_starts = ("subprocess.Popen", "os.system", "os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn",
           "pty.spawn", "os.startfile")
_writes = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
def _hook(event, args):
    record = None
    if event in _starts:
        record = f"program {event} {args!r}"
    elif event == "socket.__new__":
        record = f"socket {int(args[1])} {int(args[2])}"
    elif event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple):
        record = f"unix {event} {args[1]!r}"
    elif event == "open" and isinstance(args[2], int) and args[2] & _writes:
        record = f"write {args[0]!r}"
    elif event in ("os.mkdir", "os.rename", "os.remove", "os.rmdir", "os.link", "os.symlink", "os.truncate"):
        record = f"write {args[0]!r}"
    if record is not None:
        os.write(_sink, record.encode() + b"\\n")
sys.addaudithook(_hook)
"""
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


class ProxyProcess:
    """Process of the `run` command in a copy of the source tree, which must stay unchanged."""

    def __init__(self, process: subprocess.Popen[bytes], folder: Path, listen: tuple[str, int]) -> None:
        self.process = process
        self.folder = folder
        self.listen = listen

    @property
    def audit(self) -> list[str]:
        return (self.folder / "audit").read_text().splitlines()

    def send(self, request: bytes) -> bytes:
        with suppress(OSError), socket.create_connection(self.listen, 1.0) as client:
            client.sendall(request)
            return client.recv(4096)
        return b""

    def sockets(self) -> list[str]:
        """Return the socket types of the process's descriptors from the kernel's tables.

        The socket pairs that the event loop creates for itself have no name and are left out.
        """
        own_inodes = set()
        for entry in Path(f"/proc/{self.process.pid}/fd").iterdir():
            with suppress(OSError):
                target = os.readlink(entry)
                if target.startswith("socket:["):
                    own_inodes.add(target[8:-1])
        found = []
        for table in ("tcp", "tcp6", "udp", "udp6", "raw", "raw6", "packet"):
            with suppress(FileNotFoundError):
                rows = (line.split() for line in Path(f"/proc/net/{table}").read_text().splitlines()[1:])
                inode_column = 8 if table == "packet" else 9
                found += [
                    table for row in rows if len(row) > inode_column and row[inode_column] in own_inodes
                ]
        for line in Path("/proc/net/unix").read_text().splitlines()[1:]:
            row = line.split()
            if row[6] in own_inodes and len(row) > 7:
                found.append(f"unix {row[7]}")
        return sorted(set(found))


def wait_until(condition: object, failure: str) -> None:
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < deadline, failure
        time.sleep(0.01)


@contextmanager
def run_command(tmp_path: Path, command: str) -> Iterator[ProxyProcess]:
    tree = tmp_path / "tree"
    ignored_files = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "service_proxy", tree / "service_proxy", ignore=ignored_files)
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
        yield ProxyProcess(process, tmp_path, listen)
    finally:
        process.kill()
        process.wait()


def test_the_run_command_is_one_process_that_starts_no_program_and_uses_only_tcp_over_ipv4(
    tmp_path: Path,
) -> None:
    with run_command(tmp_path, DEPLOY["run"]) as proxy:
        pid = proxy.process.pid
        health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
        wait_until(lambda: proxy.send(health).startswith(b"HTTP/1.1 200"), "ready")
        # The shell has replaced itself with the program.
        assert "service_proxy" in Path(f"/proc/{pid}/cmdline").read_text()
        request = b"GET /stock/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget: 300m\r\n\r\n"
        assert proxy.send(request).startswith((b"HTTP/1.1 503", b"HTTP/1.1 502", b"HTTP/1.1 504"))
        proxy.process.send_signal(signal.SIGHUP)
        assert proxy.send(health).startswith(b"HTTP/1.1 200")
        assert proxy.sockets() == ["tcp"]
        children = [Path(task / "children").read_text() for task in Path(f"/proc/{pid}/task").iterdir()]
        assert not any(children)
        maps = Path(f"/proc/{pid}/maps").read_text()
        # The program is linked dynamically against the C library.
        assert "libc.so" in maps or "libc-" in maps
        proxy.process.send_signal(signal.SIGTERM)
        assert proxy.process.wait(TEST_TIMEOUT_S) == 0
        other_records = [line for line in proxy.audit if not line.startswith("socket ")]
        assert [line for line in other_records if str(tmp_path / "private") not in line] == []
        socket_types = {
            tuple(map(int, line.split()[1:])) for line in proxy.audit if line.startswith("socket ")
        }
        # Socket pair that the event loop uses for signals.
        signal_socket = (int(socket.AF_UNIX), int(socket.SOCK_STREAM))
        assert {(family, socket_type & 0xF) for family, socket_type in socket_types} - {signal_socket} <= {
            (int(socket.AF_INET), int(socket.SOCK_STREAM))
        }


@pytest.mark.parametrize("key", ["build", "run", "sim"])
def test_the_commands_leave_no_shell_running(key: str) -> None:
    command = DEPLOY[key]
    assert key == "build" or (command.startswith("exec ") and "&" not in command and ";" not in command)
    assert "sudo" not in command and "/usr/" not in command


def test_the_audit_hook_and_proc_show_each_violation(tmp_path: Path) -> None:
    """Run a program that commits each violation, and check that the hook and /proc show all of them."""
    lines = [
        "import os, socket, subprocess, sys, time",
        "subprocess.run(['true'])",
        "kept = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM), socket.socket(socket.AF_INET6)]",
        "kept[0].bind(('127.0.0.1', 0)); kept[1].bind(('::1', 0)); kept[1].listen()",
        "kept.append(socket.socket(socket.AF_UNIX)); kept[2].bind('\\0standing-%d' % os.getpid())",
        "open('made', 'w').close()",
        "time.sleep(60)",
    ]
    program = "; ".join(lines)
    with run_command(tmp_path, f'exec .venv/bin/python -c "{program}"') as proxy:
        wait_until(lambda: (tmp_path / "tree" / "made").exists(), "the program did not commit all violations")
        found = proxy.sockets()
        assert "udp" in found and "tcp6" in found and any(one.startswith("unix @standing") for one in found)
        records = "\n".join(proxy.audit)
        assert (
            "program subprocess.Popen" in records
            and "unix socket.bind" in records
            and "write 'made'" in records
        )
