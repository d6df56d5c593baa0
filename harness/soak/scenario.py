"""One run: a proxy, its endpoints and clients, and the faults and signals that a seed draws."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import StallMonitor
from harness.proxy_process import ROOT, ProxyProcess, configuration, free_port, start_process
from harness.recorder import Recorder
from harness.soak.clients import CLASSES, SoakClients
from harness.soak.endpoint import SoakEndpoint
from harness.soak.record import Record

ZONES = ("a", "b")
ENDPOINTS = 4
KILL_GRACE_S = 0.7  # Time from the longest deadline to SIGKILL, after SIGTERM.
KILL_AFTER_S = max(request_class.deadline for request_class in CLASSES) + KILL_GRACE_S
DRAIN_GRACE_S = 2.0
COLD_SHARE = 0.16
COLD_WINDOW_S = 3.0
USUAL_CLIENTS = 14
USUAL_PAUSE_S = 0.25
LAST_ANSWERS_S = 24.0  # Time in which all clients end after the run.
CLASS_SETTINGS: list[dict[str, Any]] = [
    {"name": "stock", "value": 12.0, "objective": 0.3, "deadline": 0.8, "effect": "repeatable"},
    {
        "name": "reserva",
        "value": 1.0,
        "objective": 0.6,
        "deadline": 1.5,
        "effect": "by_key",
        "group": "zone",
        "window": 6.0,
    },
    {"name": "canje", "value": 1.0, "objective": 1.0, "deadline": 2.5, "effect": "once"},
]


@dataclass(frozen=True, slots=True)
class Faults:
    """What a run contains besides its usual clients, drawn from its seed."""

    memory_mb: int
    sockets: int
    restarts: int
    reloads: int
    drains: int
    replacements: int
    leaving_clients: int
    uploading_clients: int
    crowd: int

    @classmethod
    def draw(cls, random: Random) -> Faults:
        """Draw the faults of one run."""
        return cls(
            memory_mb=random.choice((32, 48, 96, 192)),
            sockets=random.choice((256, 512, 1024)),
            restarts=random.choice((0, 1, 2)),
            reloads=random.choice((0, 3, 8)),
            drains=random.choice((0, 1, 2)),
            replacements=random.choice((0, 1)),
            leaving_clients=random.choice((0, 6)),
            uploading_clients=random.choice((0, 3)),
            crowd=random.choice((0, 0, 60)),
        )


@dataclass
class Result:
    """What one run showed."""

    seed: int
    faults: Faults
    requests: int = 0
    served: int = 0
    attempts: int = 0
    peak_mb: float = 0.0
    longest_stall: float = 0.0
    violations: list[str] = field(default_factory=list)


class Run:
    """One run of a proxy under the faults of a seed."""

    def __init__(self, seed: int, seconds: float, root: Path = ROOT) -> None:
        self.random = Random(seed)
        self.seconds = seconds
        self.root = root
        self.faults = Faults.draw(self.random)
        self.result = Result(seed, self.faults)
        self.record = Record()
        self.recorder = Recorder()
        self.registries = [EndpointRegistry(self.recorder) for _ in range(2)]
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 0
        self.is_draining = False
        self.proxy: ProxyProcess | None = None
        self.folder = Path()
        self.address = ("127.0.0.1", free_port())

    # The fleet of endpoints
    async def _start_endpoints(self) -> None:
        for number in range(ENDPOINTS):
            endpoint = SoakEndpoint(self.record, f"s-{number}", ZONES[number % len(ZONES)])
            await endpoint.start()
            self.endpoints[endpoint.name] = endpoint
            self._list(endpoint)

    def _list(self, endpoint: SoakEndpoint, status: str = "Ready", since_ms: int = 0) -> None:
        listed = entry(endpoint.name, endpoint.address, zone=endpoint.group, status=status, since_ms=since_ms)
        self.entries[endpoint.name] = listed
        for registry in self.registries:
            registry.put(listed)

    async def _drain_endpoint(self) -> None:
        """Tell of an endpoint that drains, and of another one that is new."""
        serving = [name for name, listed in self.entries.items() if listed["status"] == "Ready"]
        leaving = self.endpoints[self.random.choice(serving)]
        new = SoakEndpoint(self.record, f"s-{len(self.endpoints)}", leaving.group)
        await new.start()
        self.endpoints[new.name] = new
        self._list(new, since_ms=round(time.time() * 1000))
        self._list(leaving, "Terminating", self.entries[leaving.name]["since_ms"])

    async def _replace_endpoint(self) -> None:
        """Kill an endpoint, and start another one of the other group at its address before the list tells."""
        serving = [name for name, listed in self.entries.items() if listed["status"] == "Ready"]
        dead = self.endpoints[self.random.choice(serving)]
        self.record.died_at[dead.name] = time.monotonic()
        dead.kill()
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        group = next(zone for zone in ZONES if zone != dead.group)
        new = SoakEndpoint(self.record, f"s-{len(self.endpoints)}", group)
        with contextlib.suppress(OSError):
            await new.start(dead.address)
            self.endpoints[new.name] = new
            since_ms = round(time.time() * 1000)
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            self._list(new, since_ms=since_ms)
            await asyncio.sleep(self.random.uniform(0.5, COLD_WINDOW_S - 1.0))
            self._check_cold(new, time.time() - since_ms / 1000)
        self._list(dead, "Gone", self.entries[dead.name]["since_ms"])

    def _check_cold(self, endpoint: SoakEndpoint, age: float) -> None:
        rate = USUAL_CLIENTS / USUAL_PAUSE_S / ENDPOINTS
        fair = rate * age * COLD_SHARE
        limit = fair + 3 * fair**0.5 + 3
        if endpoint.requests_since_start > limit:
            count = endpoint.requests_since_start
            self.result.violations.append(
                f"failback: {endpoint.name} got {count} requests in {age:.1f} s of {limit:.0f}"
            )

    # The proxy's process
    async def _start_proxy(self) -> None:
        known = [listed for listed in self.entries.values() if listed["status"] == "Ready"]
        faults = self.faults
        limits = {"cores": 1.0, "memory_mb": faults.memory_mb, "sockets": faults.sockets}
        raw = configuration(
            "p0",
            f"127.0.0.1:{self.address[1]}",
            self.registries[0].address,
            known,
            {"limits": limits},
            grades=CLASS_SETTINGS,
            dcs=list(ZONES),
        )
        self.raw = raw
        process = await start_process(self.folder, raw, root=self.root)
        self.proxy = ProxyProcess(process, self.address, self.folder / "log")
        await self.proxy.wait_until_ready("p0")
        self.generation += 1

    def _reload(self) -> None:
        """Move discovery to the other registry."""
        assert self.proxy is not None
        self.registries.reverse()
        self.raw["discovery"] = self.registries[0].address
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.raw))
        new.replace(self.folder / "config.json")
        self._signal(signal.SIGHUP)

    def _signal(self, number: signal.Signals) -> None:
        if self.proxy is not None and self.proxy.process.returncode is None:
            self.proxy.process.send_signal(number)

    async def _restart(self) -> None:
        """Send SIGTERM, and SIGKILL at the page's earliest; then start the proxy again."""
        assert self.proxy is not None
        self.is_draining = True
        self._note_memory()
        self.record.ended_at[self.generation] = time.monotonic() + KILL_AFTER_S
        self._signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(KILL_AFTER_S):
                await self.proxy.process.wait()
        self._signal(signal.SIGKILL)
        code = await self.proxy.process.wait()
        if code not in (0, -signal.SIGKILL):
            self.result.violations.append(f"crash: the proxy ended with {code} after SIGTERM")
        await self._start_proxy()
        self.is_draining = False

    def _note_memory(self) -> None:
        if self.proxy is not None and self.proxy.process.returncode is None:
            self.result.peak_mb = max(self.result.peak_mb, self.proxy.peak_memory_mb())

    # The course of a run
    async def _disturb(self) -> None:
        """Cause the faults one after another, in an order and at times that the seed draws."""
        faults = self.faults
        actions = [self._restart] * faults.restarts + [self._drain_endpoint] * faults.drains
        actions += [self._replace_endpoint] * faults.replacements
        self.random.shuffle(actions)
        series = asyncio.ensure_future(self._reload_in_series())
        for action in actions:
            await asyncio.sleep(self.random.uniform(0.2, 0.6) * self.seconds / (len(actions) + 1))
            await action()
        await series

    async def _reload_in_series(self) -> None:
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        for _ in range(self.faults.reloads):
            if not self.is_draining:
                self._reload()
            await asyncio.sleep(self.random.uniform(0.05, 1.0))

    def _client_tasks(self, clients: SoakClients) -> list[asyncio.Task[None]]:
        faults = self.faults
        work: list[Coroutine[Any, Any, None]] = [clients.usual(USUAL_PAUSE_S) for _ in range(USUAL_CLIENTS)]
        work += [clients.leaving(0.5) for _ in range(faults.leaving_clients)]
        work += [clients.uploading(0.5) for _ in range(faults.uploading_clients)]
        for number in range(faults.crowd):
            work.append((clients.idle, clients.slow_head, lambda: clients.flood(200))[number % 3]())
        return [asyncio.ensure_future(each) for each in work]

    async def play(self) -> Result:
        """Play the run, and return what it showed."""
        monitor = StallMonitor(self.record.on_stall)
        for registry in self.registries:
            await registry.start()
        await self._start_endpoints()
        with tempfile.TemporaryDirectory() as folder:
            self.folder = Path(folder)
            await self._start_proxy()
            monitor.start()
            clients = SoakClients(self.record, self.address, lambda: self.generation, self.random)
            tasks = self._client_tasks(clients)
            started_at = time.monotonic()
            await self._disturb()
            await asyncio.sleep(max(0.0, started_at + self.seconds - time.monotonic()))
            clients.is_over = True
            await asyncio.wait(tasks, timeout=LAST_ANSWERS_S)
            self._note_memory()
            self._judge(tasks)
            monitor.stop()
            await self._stop(tasks)
        return self.result

    def _judge(self, tasks: list[asyncio.Task[None]]) -> None:
        result = self.result
        assert self.proxy is not None
        if self.proxy.process.returncode is not None:
            log = (self.folder / "log").read_text()[-2000:]
            result.violations.append(f"crash: the proxy ended with {self.proxy.process.returncode}: {log}")
        if result.peak_mb > self.faults.memory_mb:
            result.violations.append(f"crash: {result.peak_mb:.1f} MB of {self.faults.memory_mb}")
        for task in tasks:
            if task.done() and task.exception() is not None:
                raise RuntimeError("a client of the soak failed") from task.exception()
        for notification in self.recorder.notifications:
            if notification.state in ("draining", "gone"):
                self.record.drained_at.setdefault(notification.endpoint, notification.notified_at)
        result.violations += self.record.violations(DRAIN_GRACE_S)
        result.requests = len(self.record.requests)
        result.served = sum(request.status == 200 for request in self.record.requests)
        result.attempts = sum(map(len, self.record.attempts.values()))
        result.longest_stall = self.record.longest_stall

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.proxy is not None:
            await self.proxy.kill()
        for endpoint in self.endpoints.values():
            endpoint.kill()
        for registry in self.registries:
            registry.stop()
