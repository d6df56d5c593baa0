"""Benchmark of ephemeral nodes under traffic: lost sessions, partitions, an empty service, memory and CPU.

    python -m benchmarks.ephemeral [--short] [--seed N] [--json FILE]

Two proxies read the ephemeral nodes of the coordination service in addition to the registry. A third proxy in
the same run reads the registry only. `ephemeral_fleet` contains the script of the faults, `ephemeral_audit`
the checks.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import logging
import sys
import time

from benchmarks.ephemeral_audit import MASS_LOSS_SHARE, MEMBERSHIP_PROXIES, REGISTRY_PROXY, Run, report_run
from benchmarks.ephemeral_fleet import CONNECT_TIMEOUT_S, PARENT, EphemeralFleet, Size
from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import ClientPool
from harness.coordination import CoordinationService
from harness.coordination_connection import SessionRecord
from harness.endpoint_registry import EndpointRegistry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, running_proxy
from harness.recorder import Recorder
from service_proxy.ephemeral_nodes.children_cache import ChildrenCache
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.merger import EndpointListMerger
from service_proxy.ephemeral_nodes.records import OPEN_ACL
from service_proxy.ephemeral_nodes.source_reports import MEMBERSHIP, ReportedStatus

__all__ = ["Size", "measure"]

FULL = Size(87, 400.0, 40, (60.0, 8.0, 8.0, 4.0, 4.0), 14.0, 2.5)
SHORT = Size(24, 90.0, 6, (3.0, 2.0), 3.5, 1.0)
LISTED_NODES = 10_000  # Number of listed nodes in the memory measurement and in the CPU measurement.
CHANGES = 1000  # Number of list changes in the CPU measurement.
CHANGE_INTERVAL_S = 0.001
MASS_LOSS_WINDOW_S = 10.0
SETTLING_S = 2.0  # Wait after the start of the proxies, before the traffic.
READ_TIMEOUT_S = 60.0


def operator_file(servers: str, proxy: str) -> str:
    """Return the operator file of a proxy, with [membership] if the proxy reads the coordination service."""
    if proxy not in MEMBERSHIP_PROXIES:
        return ""
    return (
        f'[membership]\nservers = [{servers}]\npath = "{PARENT}"\nsession_timeout = 2.0\n'
        f'connect_timeout = {CONNECT_TIMEOUT_S}\nauth_file = "{{folder}}/auth"\n'
        f'mass_loss_share = {MASS_LOSS_SHARE}\nsnapshot = "{{folder}}/nodes"\n'
    )


async def start_proxies(stack: contextlib.AsyncExitStack, fleet: EphemeralFleet) -> dict[str, ProxyProcess]:
    """Start the proxies. The exit stack stops them."""
    assert fleet.settings is not None
    servers = ", ".join(f'"{server}"' for server in fleet.settings.servers)
    known = [fleet.list_entry(name) for name in fleet.endpoints]
    names = (*MEMBERSHIP_PROXIES, REGISTRY_PROXY)
    proxies = {}
    for number, name in enumerate(names):
        running = running_proxy(
            name,
            fleet.registry.address,
            known,
            operator_file(servers, name),
            {"auth": f"{name}:secret"},
            balancers=len(names),
            me=number,
        )
        proxies[name] = await stack.enter_async_context(running)
    await asyncio.sleep(SETTLING_S)
    return proxies


async def send_requests(clients: ClientPool, until_done: asyncio.Future[None], rate: float) -> None:
    """Send requests at the given rate until the script has ended, then wait for the last answers."""
    while not until_done.done():
        await clients.run(1.0, rate, wait_and_close=False)
    await clients.run(0.0, rate)


async def measure_faults(report: BenchmarkReport) -> None:
    """Run the script under traffic and check the results."""
    size = SHORT if report.short else FULL
    report.record("nodes", size.nodes, "nodos")
    report.record("rate", size.rate, "requests/s over three proxies")
    fleet = EphemeralFleet(size, report.seed)
    await fleet.start()
    run = Run(fleet)
    async with contextlib.AsyncExitStack() as stack:
        proxies = await start_proxies(stack, fleet)
        run.started_at = time.monotonic()
        run.clients = {
            name: ClientPool(fleet.recorder, proxy.address, name, report.seed)
            for name, proxy in proxies.items()
        }
        script = asyncio.ensure_future(fleet.run_script())
        rate = size.rate / len(run.clients)
        traffic = [
            asyncio.ensure_future(send_requests(clients, script, rate)) for clients in run.clients.values()
        ]
        await script
        await asyncio.gather(*traffic)
        run.ended_at = time.monotonic()
        run.logs = {name: proxy.log_file.read_text() for name, proxy in proxies.items()}
        for name, proxy in proxies.items():
            report.record(f"{name}_memory", proxy.resident_mb(), "MB")
    await fleet.stop()
    report_run(report, run)


def numbered_node(number: int) -> EndpointNode:
    """Return the node with the given number, with a distinct name and address."""
    address = f"127.0.{number >> 8}.{number & 255}:8081"
    return EndpointNode(f"s-{number:05d}", address, "abc"[number % 3], "m", 1)


def has_read_all(proxy: ProxyProcess) -> bool:
    """Return whether the proxy has logged that its membership source is fresh."""
    return "source=membership health=fresh" in proxy.log_file.read_text()


async def resident_mb_with(count: int) -> float:
    """Return the resident memory in MB of a proxy that has read `count` nodes."""
    service = CoordinationService(1)
    ((host, port),) = await service.start()
    service.tree.create("/many", b"", list(OPEN_ACL), 0, 0)
    service.sessions[1] = SessionRecord(1, b"", 1e9, time.monotonic())
    for number in range(count):
        node = numbered_node(number)
        service.tree.create(f"/many/{node.name}", node.encode(), list(OPEN_ACL), 1, 1)
    operator = f'[membership]\nservers = ["{host}:{port}"]\npath = "/many"\nreads_per_s = 10000.0\n'
    registry = EndpointRegistry(Recorder())
    await registry.start()
    async with running_proxy("many", registry.address, [], operator, ready=False) as proxy:
        await until(functools.partial(has_read_all, proxy), "all read", READ_TIMEOUT_S)
        await asyncio.sleep(0.5)
        resident_mb = proxy.resident_mb()
    registry.stop()
    await service.stop()
    return resident_mb


async def measure_memory(report: BenchmarkReport) -> None:
    """Measure the memory of a proxy with 10,000 listed nodes and of a proxy with one node."""
    with_one = await resident_mb_with(1)
    with_all = await resident_mb_with(LISTED_NODES)
    report.record("memory_of_10000_nodes", with_all - with_one, "MB more than with one node")
    report.record("memory_with_10000_nodes", with_all, "MB in total")


def measure_cpu(report: BenchmarkReport) -> None:
    """Measure the CPU time of 1,000 changes to a list of 10,000 nodes."""
    cache = ChildrenCache()
    merger = EndpointListMerger(MASS_LOSS_SHARE, MASS_LOSS_WINDOW_S)
    nodes = [numbered_node(number) for number in range(LISTED_NODES)]
    cache.preload(nodes)
    merger.update(MEMBERSHIP, [to_endpoint(node, 0.0) for node in nodes], 0.0)
    merger.collect_changes(0.0)
    started_at = time.process_time()
    for number in range(CHANGES):
        node = nodes[number * 7 % LISTED_NODES]
        now = number * CHANGE_INTERVAL_S
        if number % 2:
            merger.report_ended(MEMBERSHIP, [node.name], now, ReportedStatus.LOST)
        else:
            merger.update(MEMBERSHIP, [to_endpoint(node.draining(), 0.0)], now)
        merger.collect_changes(now)
    elapsed = time.process_time() - started_at
    report.record("cpu_of_1000_changes", elapsed, "s, changes applied one at a time")


async def measure(report: BenchmarkReport, _options: argparse.Namespace) -> None:
    """Run all parts of the benchmark."""
    await measure_faults(report)
    await measure_memory(report)
    measure_cpu(report)


if __name__ == "__main__":
    # Suppresses the warnings of registrations that lose their sessions. The level isn't set in measure(),
    # because a test that calls measure() reads its log.
    logging.getLogger("service_proxy").setLevel(logging.CRITICAL)
    sys.exit(run_benchmark("ephemeral", measure))
