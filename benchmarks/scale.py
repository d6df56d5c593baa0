"""Benchmark of one proxy with up to sixteen times the usual number of endpoints, which is 200.

    python -m benchmarks.scale [--short] [--seed N] [--json FILE] [--turns N] [--sizes N ...] [--rate N]

The proxy runs as a real process and receives the same traffic with 200, 800, 1,600 and 3,200 endpoints
(--short: 200 and 3,200). The benchmark assumes:

- 200 proxies in three zones share the endpoints. Only the measured proxy runs.
- The capacity of all endpoints together is constant. At 200 endpoints, each endpoint executes `SLOTS`
  requests at a time; in a larger fleet, each endpoint executes proportionally fewer. A request takes
  `SERVICE_TIME_S`.
- Changes are proportional to the fleet and spread evenly over the run: three in ten endpoints drain and are
  replaced by new endpoints, and one in ten crashes and restarts cold after 0.3 s.

A second part sends several times the mean traffic through the proxy, with the smallest and the largest fleet,
and checks the share of served requests.

The bounds are those of the standing scale test. Counts (connections, descriptors, bytes, served requests) are
checked without correction. For CPU and peak memory the cheapest turn is checked, and the spread over the
turns is printed as noise.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.per_call import cpu_seconds
from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import ClientPool
from harness.endpoint_fleet import EndpointFleet, FleetEndpoint
from harness.endpoint_registry import EndpointRegistry, Entry, entry
from harness.proxy_process import ProxyProcess, running_proxy
from harness.recorder import Recorder
from service_proxy.net.http_status import OK

BASE_ENDPOINTS = 200  # Number of endpoints at the usual size.
SIZES = (200, 800, 1600, 3200)
SIZES_SHORT = (200, 3200)
SECONDS = 20.0
SECONDS_SHORT = 7.0
TURNS = 3
TURNS_SHORT = 1
RATE = 30.0  # Requests per second.
BUSY_RATE = 120.0  # Requests per second through a busy proxy.
# Service time of a busy proxy's requests, which then need twice the proxy's fair share of the capacity.
BUSY_SERVICE_TIME_S = 0.25
BUSY_SECONDS = 15.0
BUSY_SECONDS_SHORT = 4.0
PROXIES = 200
PROXY_INDEX = 7
ZONES = ("a", "b", "c")
SLOTS = 16  # Requests that an endpoint executes at a time at the usual size.
SERVICE_TIME_S = 0.05
REPLACED_SHARE = 0.3  # Share of the endpoints that are replaced over the run.
RESTARTED_SHARE = 0.1
DRAIN_S = 1.0  # Time from an endpoint's drain to its end.
DOWN_S = 0.3  # Downtime of a restarted endpoint.
SAMPLE_INTERVAL_S = 0.05  # Interval between two counts of the descriptors.
MIN_SERVED = 0.85  # Required part of the share that is served at the usual size.

# Bounds of the standing scale test as (factor, addend, addend per 1,000 endpoints). The factor applies to the
# figure at the usual size.
BOUNDS = {
    "cpu": (1.4, 0.02, 0.12),
    "peak_memory": (1.5, 8.0, 4.0),
    "descriptors": (2.0, 40.0, 0.0),
    "connections": (2.5, 40.0, 0.0),
    "list_bytes": (2.0, 64.0, 500.0),
}
UNITS = {
    "cpu": "s",
    "peak_memory": "MB",
    "descriptors": "open at the same time, at most",
    "connections": "opened",
    "list_bytes": "KB",
    "served": "share",
    "requests": "sent",
    "health_checks": "sent",
    "endpoints_used": "endpoints that received a request",
    "lists": "lists that discovery sent",
}
NOISY = ("cpu", "peak_memory")  # Figures that are checked by their cheapest turn.


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one run."""

    cpu: float  # CPU time in seconds.
    peak_memory: float  # Peak resident memory in megabytes.
    descriptors: int
    connections: int
    list_bytes: float  # Size of the sent lists in kilobytes.
    served: float  # Share of the requests that were served.
    requests: int
    health_checks: int
    endpoints_used: int
    lists: int


@dataclass(frozen=True, slots=True)
class Load:
    """Parameters of one run."""

    endpoints: int
    seconds: float
    rate: float  # Requests per second.
    seed: int
    root: Path | None = None  # Another checkout of the program.
    service_time: float = SERVICE_TIME_S


class CountingRegistry(EndpointRegistry):
    """Discovery service that counts the lists and bytes that it sends."""

    sent_bytes = 0
    sent_lists = 0

    def encode_list(self, since: int | None) -> bytes:
        """Return the encoded list and count it as sent."""
        body = super().encode_list(since)
        self.sent_bytes += len(body)
        self.sent_lists += 1
        return body


class Churn:
    """Restarts and replacements of endpoints, evenly spread over the run and proportional to the fleet."""

    def __init__(self, fleet: EndpointFleet, registry: EndpointRegistry, seed: int) -> None:
        self.fleet = fleet
        self.registry = registry
        self.random = Random(seed)
        self.unchanged_names = sorted(fleet.names())  # Names of the endpoints that have not been changed.
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Start all restarts and replacements within `seconds`."""
        loop = asyncio.get_running_loop()
        count = len(self.unchanged_names)
        replaced = round(REPLACED_SHARE * count)
        kinds = [True] * replaced + [False] * round(RESTARTED_SHARE * count)
        self.random.shuffle(kinds)
        started_at = loop.time()
        for number, is_replaced in enumerate(kinds):
            await asyncio.sleep(max(0.0, started_at + seconds * number / len(kinds) - loop.time()))
            name = self.unchanged_names.pop(self.random.randrange(len(self.unchanged_names)))
            task = loop.create_task(self._replace(name) if is_replaced else self._restart(name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _replace(self, name: str) -> None:
        new = await self.fleet.add()
        self.registry.put(list_entry(new, time.time()))
        old = self.fleet.endpoints[name]
        self.registry.put(list_entry(old, status="Terminating"))
        await asyncio.sleep(DRAIN_S)
        self.registry.put(list_entry(old, status="Gone"))
        self.fleet.remove(name)

    async def _restart(self, name: str) -> None:
        endpoint = self.fleet.endpoints[name]
        endpoint.stop()
        await asyncio.sleep(DOWN_S)
        await endpoint.start()
        self.registry.put(list_entry(endpoint, time.time()))

    async def stop(self) -> None:
        """Cancel the unfinished restarts and replacements."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def list_entry(endpoint: FleetEndpoint, started_at: float = 0.0, status: str = "Ready") -> Entry:
    """Return an endpoint's entry in discovery's list."""
    number = int(endpoint.name.removeprefix("s-"), 16)
    address = f"{endpoint.host}:{endpoint.port}"
    zone = ZONES[number % len(ZONES)]
    return entry(endpoint.name, address, zone=zone, status=status, since_ms=int(started_at * 1000))


async def sample_descriptors(pid: int, counts: list[int]) -> None:
    """Count a process's open descriptors repeatedly until the task is cancelled."""
    while True:
        counts.append(sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir()))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def run_once(load: Load) -> Cost:
    """Start a fleet, its discovery and one proxy, send the traffic, and return the proxy's cost."""
    registry = CountingRegistry(Recorder(), load.seed)
    await registry.start()
    fleet = EndpointFleet(max(1, SLOTS * BASE_ENDPOINTS // load.endpoints), load.service_time)
    for _ in range(load.endpoints):
        registry.put(list_entry(await fleet.add()))
    known = {"index": registry.index, "snapshot": True, "endpoints": list(registry.entries.values())}
    extra: dict[str, Any] = {"overrides": {"known": known}, "balancers": PROXIES, "me": PROXY_INDEX}
    if load.root is not None:
        extra["root"] = load.root
    counts = [0]
    churn = Churn(fleet, registry, load.seed)
    async with contextlib.AsyncExitStack() as stack:
        proxy = await stack.enter_async_context(running_proxy("scale", registry.address, [], **extra))
        clients = ClientPool(Recorder(), proxy.address, "c", load.seed)
        tasks = [asyncio.create_task(sample_descriptors(proxy.process.pid, counts))]
        tasks.append(asyncio.create_task(churn.run(load.seconds)))
        await clients.run(load.seconds, load.rate)
        cost = _cost(proxy, max(counts), clients, registry, fleet)
        for task in tasks:
            task.cancel()
        await churn.stop()
    registry.stop()
    fleet.stop()
    await asyncio.sleep(0)
    return cost


def _cost(
    proxy: ProxyProcess,
    descriptors: int,
    clients: ClientPool,
    registry: CountingRegistry,
    fleet: EndpointFleet,
) -> Cost:
    return Cost(
        cpu_seconds(proxy.process.pid),
        proxy.peak_memory_mb(),
        descriptors,
        fleet.counters.connections,
        registry.sent_bytes / 1000,
        clients.status_codes[OK] / max(1, clients.request_count),
        clients.request_count,
        fleet.counters.health_checks,
        len(fleet.counters.requested_endpoints),
        registry.sent_lists,
    )


def checked_value(costs: list[Cost], name: str) -> float:
    """Return the checked value of a size: the lowest of noisy figures and of `served`, else the highest."""
    values = [float(getattr(cost, name)) for cost in costs]
    return min(values) if name in NOISY or name == "served" else max(values)


def bound(name: str, base_value: float, endpoints: int) -> float:
    """Return the upper bound of a figure for the given number of endpoints."""
    times, extra, per_thousand = BOUNDS[name]
    return times * base_value + extra + per_thousand * endpoints / 1000


def judge(report: BenchmarkReport, by_size: dict[int, list[Cost]]) -> None:
    """Record the figures of all sizes, and check them against the figures of the smallest size."""
    base = min(by_size)
    for endpoints, costs in by_size.items():
        for name, unit in UNITS.items():
            value = checked_value(costs, name)
            report.record(f"{name}_{endpoints}", value, unit)
            if name in NOISY:
                values = [float(getattr(cost, name)) for cost in costs]
                report.record(f"{name}_{endpoints}_noise", max(values) - min(values), unit)
            if endpoints == base:
                continue
            base_value = checked_value(by_size[base], name)
            if name == "served":
                least = MIN_SERVED * base_value
                report.check(value >= least, f"served_{endpoints}: {value:.3f}, at least {least:.3f}")
            elif name in BOUNDS:
                most = bound(name, base_value, endpoints)
                report.record(f"{name}_{endpoints}_bound", most, unit)
                report.check(value <= most, f"{name}_{endpoints}: {value:.4g}, at most {most:.4g} {unit}")


def judge_busy(report: BenchmarkReport, served: dict[int, float]) -> None:
    """Record the shares that a busy proxy serves, and check them against the share at the smallest size."""
    least = MIN_SERVED * served[min(served)]
    for size, value in served.items():
        report.record(f"busy_served_{size}", value, "share")
        report.check(value >= least, f"busy_served_{size}: {value:.3f}, at least {least:.3f}")


async def measure(report: BenchmarkReport, options: argparse.Namespace) -> None:
    """Run all sizes in turns and check the figures."""
    sizes = options.sizes or (SIZES_SHORT if report.short else SIZES)
    seconds = options.seconds or (SECONDS_SHORT if report.short else SECONDS)
    root = options.root.resolve() if options.root else None
    by_size: dict[int, list[Cost]] = {size: [] for size in sizes}
    for turn in range(options.turns or (TURNS_SHORT if report.short else TURNS)):
        for size in sizes:
            cost = await run_once(Load(size, seconds, options.rate, report.seed + turn, root))
            by_size[size].append(cost)
            shown = " ".join(f"{name}={value:.4g}" for name, value in asdict(cost).items())
            print(f"turn {turn + 1} endpoints {size}: {shown}", flush=True)
    judge(report, by_size)
    seconds = BUSY_SECONDS_SHORT if report.short else BUSY_SECONDS
    busy = {}
    for size in (min(sizes), max(sizes)):
        cost = await run_once(Load(size, seconds, BUSY_RATE, report.seed, root, BUSY_SERVICE_TIME_S))
        busy[size] = cost.served
    judge_busy(report, busy)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this benchmark's arguments to the command line."""
    parser.add_argument("--turns", type=int, help="number of runs per size")
    parser.add_argument(
        "--sizes", type=int, nargs="+", help="numbers of endpoints; the smallest is the usual size"
    )
    parser.add_argument("--seconds", type=float, help="duration of the traffic per run")
    parser.add_argument("--rate", type=float, default=RATE, help="requests per second")
    parser.add_argument("--root", type=Path, metavar="CHECKOUT", help="run the proxy of another checkout")


if __name__ == "__main__":
    sys.exit(run_benchmark("scale", measure, add_arguments=add_arguments))
