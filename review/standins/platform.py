"""Platform that starts proxies by the deploy file's `run` command and ends all processes that it started."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
SERVED = 200  # Status of a request that was served.
READY_WITHIN_S = 30.0  # Time in which a proxy has to be ready, by the operators' page.

# Classes, limits and rules as central-santiago's first message states them.
CLASSES: list[dict[str, Any]] = [
    {"name": "stock", "value": 12.0, "objective": 0.5, "deadline": 1.2, "effect": "repeatable"},
    {
        "name": "reserva",
        "value": 1.0,
        "objective": 1.5,
        "deadline": 4.0,
        "effect": "by_key",
        "group": "zone",
        "window": 6.0,
    },
    {"name": "canje", "value": 1.0, "objective": 2.5, "deadline": 6.0, "effect": "once"},
]
DEADLINES_S = {item["name"]: item["deadline"] for item in CLASSES}
ZONES = ("sala-a", "sala-b", "sala-c")


class CannotRunError(Exception):
    """The case could not run; this is no result of its check."""


def settings(me: int, proxies: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of the proxy with number `me`."""
    return {
        "balancers": proxies,
        "me": me,
        "stage": 0,
        "stages": ["portal", "nucleo"],
        "zone": ZONES[me % len(ZONES)],
        "dcs": list(ZONES),
        "kinds": ["portal-rapido", "portal-lento"],
        "family": "chain",
        "discovery": "ask",
        "quantum": 0.005,
        "weights": "nominal",
        "worth_by": "request",
        "grades": CLASSES,
        "tenants": [],
        "callers": {"marks_retry": True},
        "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
        "policy_limits": {
            "send_cap": 5,
            "may_duplicate": False,
            "may_cancel": True,
            "probes": True,
            "peers": False,
            "conn_idle": 30.0,
            "connect_timeout": 0.15,
            "most_held": 20000,
            "retry_after": True,
            "max_retry_after": 2.0,
            "cpu_us_per_s": 800000,
            "streams_per_conn": 1,
        },
        "contract": {
            "must_ask_in": 10.0,
            "grace_to_answer": 0.02,
            "drain_grace": 2.0,
            "cold_from": 0.16,
            "cold": 24.0,
            "fall_multiple": 3.0,
            "overload_for": 3.0,
        },
        "charges": {"connection": 0.08, "cross_zone": 0.015, "handshake": 0.08, "probe": 0.01},
        **changes,
    }


def free_port() -> int:
    """Return a loopback port on which nobody listens at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """Text file of what was sent, answered and run; times are seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Append a line with the time `at` (monotonic, s), by default the present time."""
        elapsed = (time.monotonic() if at is None else at) - self.started_at
        if not self.file.closed:
            self.file.write(f"{elapsed:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Append a line and print it."""
        self.write(text)
        print(text, flush=True)


class RunningProxy:
    """One proxy process, started by the deploy file's `run` command."""

    def __init__(self, name: str, address: tuple[str, int], folder: Path) -> None:
        self.name = name
        self.address = address
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self.process is not None
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if the process has ended."""
        with contextlib.suppress(OSError, IndexError):
            text = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
            return int(text.partition("VmRSS:")[2].split()[0]) / 1024
        return 0.0

    async def start(self, config: dict[str, Any], log: Path) -> None:
        """Start the process with this configuration; its output goes to `log`."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "tmp").mkdir(exist_ok=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= {
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with log.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environ, stdout=sink, stderr=sink
            )

    async def wait_until_ready(self) -> None:
        """Wait until GET /healthz has answered 200. Raises CannotRunError if that takes over 30 s."""
        give_up_at = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < give_up_at and not self.has_ended:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if head.startswith(b"HTTP/1.1 200"):
                        return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready")

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Platform:
    """Platform with a private folder, which ends every process that it started."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.record = Record(case)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.proxies: list[RunningProxy] = []

    async def start_proxy(
        self,
        me: int,
        proxies: int,
        discovery: str,
        known: dict[str, Any],
        limits: dict[str, Any] | None = None,
        **changes: Any,
    ) -> RunningProxy:
        """Start proxy number `me` of the first tier's `proxies`, and wait until it is ready."""
        port = free_port()
        proxy = RunningProxy(f"n{me}", ("127.0.0.1", port), self.folder / f"n{me}")
        self.proxies.append(proxy)
        config = {
            "name": proxy.name,
            "listen": f"127.0.0.1:{port}",
            "discovery": discovery,
            "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings(me, proxies, **changes),
        }
        await proxy.start(config, self.folder / f"{proxy.name}.log")
        await proxy.wait_until_ready()
        return proxy

    async def close(self) -> None:
        """End all processes, and copy the proxies' log lines to the record."""
        for proxy in self.proxies:
            await proxy.kill()
        for proxy in self.proxies:
            log = self.folder / f"{proxy.name}.log"
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-40:]:
                self.record.file.write(f"log {proxy.name}: {line}\n")
        self.record.file.close()
        self.temporary.cleanup()


def run_case(folder: Path, play: Callable[[Platform, bool], Awaitable[bool]]) -> None:
    """Play a case and exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `play` gets the platform and whether the disruption takes place, and returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        platform = Platform(folder)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                held = await play(platform, has_trouble)
        except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
            platform.record.say(f"could not run: {error!r}")
            return 2
        finally:
            await platform.close()
        return 0 if held else 1

    try:
        import uvloop
    except ImportError:
        print("could not run: the build of the deploy file is missing")
        sys.exit(2)
    sys.exit(asyncio.Runner(loop_factory=uvloop.new_event_loop).run(main()))
