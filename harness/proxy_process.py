"""Start the proxy as a process on loopback, with its JSON configuration and its operator file."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from harness.clients import CLASS_SETTINGS
from harness.event_loop import until

ROOT = Path(__file__).parent.parent
MAX_LOG_CHARACTERS = 2000  # number of characters at the end of a log that an error quotes

POLICY_LIMITS: dict[str, Any] = {
    "send_cap": 5,
    "may_duplicate": False,
    "may_cancel": True,
    "probes": True,
    "conn_idle": 30.0,
    "connect_timeout": 0.15,
    "most_held": 20000,
    "retry_after": True,
    "max_retry_after": 2.0,
}


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Return the platform settings of a first-tier proxy that polls discovery and sends health checks."""
    return {
        "balancers": 1,
        "me": 0,
        "stage": 0,
        "stages": ["portal"],
        "zone": "a",
        "dcs": ["a", "b", "c"],
        "discovery": "ask",
        "quantum": 0.005,
        "grades": CLASS_SETTINGS,
        "tenants": [],
        "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
        "policy_limits": dict(POLICY_LIMITS),
        "contract": {
            "must_ask_in": 10.0,
            "grace_to_answer": 0.02,
            "drain_grace": 2.0,
            "cold_from": 0.16,
            "cold": 24.0,
            "fall_multiple": 3.0,
            "overload_for": 3.0,
        },
        **changes,
    }


class PortAllocator:
    """Allocator of ports for programs that listen on configured ports.

    No other program can take an allocated port before its program listens: all ports are below the kernel's
    ephemeral range, and each process of this machine that allocates ports has a block of its own.
    """

    # The blocks cover ports 10,240 to 32,239.
    FIRST = 10_240
    BLOCK = 100
    BLOCKS = 220

    def __init__(self) -> None:
        self.block_lock = socket.socket(socket.AF_UNIX)  # reserves the block until this process ends
        self.first = 0
        self.next_offset = 0
        begin = os.getpid() % self.BLOCKS
        for block in (*range(begin, self.BLOCKS), *range(begin)):
            with contextlib.suppress(OSError):
                self.block_lock.bind(f"\0granitepoint-ports-{block}")
                self.first = self.FIRST + block * self.BLOCK
                return
        raise RuntimeError("all blocks of ports are in use by other processes; end some of these processes")

    def next(self) -> int:
        """Return the next free port of the block. Raises RuntimeError if all its ports are in use."""
        for _ in range(self.BLOCK):
            port = self.first + self.next_offset % self.BLOCK
            self.next_offset += 1
            with contextlib.suppress(OSError), socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
                return port
        raise RuntimeError(
            "all ports of this process's block are in use; end some of the programs that listen on them"
        )


@functools.cache
def port_allocator() -> PortAllocator:
    """Return the allocator of this process."""
    return PortAllocator()


def free_port() -> int:
    """Return a port that no other allocator on this machine returns."""
    return port_allocator().next()


def process_memory_mb(pid: int, field: str) -> float:
    """Return a memory field of a live process in MB (proc(5), status)."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition(f"{field}:")[2].split()[0]) / 1024


class ProxyProcess:
    """A running proxy process with its address and its log file."""

    def __init__(self, process: asyncio.subprocess.Process, address: tuple[str, int], log: Path) -> None:
        self.process = process
        self.address = address
        self.log_file = log

    def resident_mb(self) -> float:
        """Return the resident memory in MB."""
        return process_memory_mb(self.process.pid, "VmRSS")

    def peak_memory_mb(self) -> float:
        """Return the peak of the resident memory in MB."""
        return process_memory_mb(self.process.pid, "VmHWM")

    def is_ready(self) -> bool:
        """Return whether the proxy answers a health check with 200."""
        with contextlib.suppress(OSError), socket.create_connection(self.address, 0.2) as client:
            client.settimeout(0.5)
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            return client.recv(64).startswith(b"HTTP/1.1 200")
        return False

    async def wait_until_ready(self, name: str) -> None:
        """Wait until the proxy is ready. Raises RuntimeError, with its log, if the process ends first."""
        await until(lambda: self.process.returncode is not None or self.is_ready(), f"{name} ready")
        if self.process.returncode is not None:
            log = self.log_file.read_text()[-MAX_LOG_CHARACTERS:]
            raise RuntimeError(f"{name} ended with {self.process.returncode}: {log}")

    async def kill(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def configuration(
    name: str,
    listen: str,
    discovery: str,
    known: list[dict[str, Any]],
    overrides: dict[str, Any] | None = None,
    **changes: Any,
) -> dict[str, Any]:
    """Return the JSON configuration of one proxy.

    `overrides` adds or replaces members of the configuration; `changes` adds or replaces members of its
    settings.
    """
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": known},
        "settings": platform_settings(**changes),
        **(overrides or {}),
    }


async def start_process(
    folder: Path, raw: dict[str, Any], operator: str = "", root: Path = ROOT, runner: tuple[str, ...] = ()
) -> asyncio.subprocess.Process:
    """Start the program as a process that appends its log to `folder`/log.

    `runner` is a module with its arguments that runs the program, such as harness.clock_skew.
    """
    (folder / "config.json").write_text(json.dumps(raw))
    # the package's name before 0.2 was granitepoint
    package = "service_proxy" if (root / "service_proxy").is_dir() else "granitepoint"
    command = [sys.executable, "-m", *runner, package]
    if operator:
        (folder / "operator.toml").write_text(operator.replace("{folder}", str(folder)))
        command += ["--operator", str(folder / "operator.toml")]
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    environ |= {"EDGE_CONFIG": str(folder / "config.json"), "PYTHONPATH": str(root)}
    with (folder / "log").open("ab") as sink:
        return await asyncio.create_subprocess_exec(*command, cwd=root, env=environ, stdout=sink, stderr=sink)


@contextlib.asynccontextmanager
async def running_proxy(
    name: str,
    discovery: str,
    known: list[dict[str, Any]],
    operator: str = "",
    files: dict[str, str] | None = None,
    root: Path = ROOT,
    ready: bool = True,
    overrides: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[ProxyProcess]:
    """Start a proxy and yield it, after it is ready if `ready` is set; kill it afterwards.

    Args:
        name: Name of the proxy.
        discovery: Address of its discovery.
        known: Endpoint list that the proxy starts with.
        operator: Text of the operator file, in which `{folder}` is replaced by the proxy's folder.
        files: Additional files of that folder, by name.
        root: Checkout whose program is started.
        ready: Whether to wait until the proxy is ready.
        overrides: Members that are added to the JSON configuration or replaced in it.
        changes: Members that are added to the settings or replaced in them.
    """
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        port = free_port()
        raw = configuration(name, f"127.0.0.1:{port}", discovery, known, overrides, **changes)
        for file, content in (files or {}).items():
            (folder / file).write_text(content)
        process = await start_process(folder, raw, operator, root)
        proxy = ProxyProcess(process, ("127.0.0.1", port), folder / "log")
        try:
            if ready:
                await proxy.wait_until_ready(name)
            yield proxy
        finally:
            await proxy.kill()
