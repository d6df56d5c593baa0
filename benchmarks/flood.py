"""Benchmark of the service that usual clients get while other clients send hundreds of requests at once.

    python -m benchmarks.flood [--short] [--form FORM ...] [--root CHECKOUT]

For each form of flood a proxy is started. Usual clients send at a steady rate, one request at a time on a
connection, and the flood comes from a process of its own. A further client asks for the health of the proxy
again and again: its longest wait is the longest turn of the proxy's event loop.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import NamedTuple

from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import DEFAULT_CLASSES, NOT_SENT, ClientPool
from harness.endpoint_registry import EndpointRegistry, entry
from harness.flood_clients import FORMS
from harness.proxy_process import ROOT, ProxyProcess, running_proxy
from harness.recorder import Recorder
from harness.stub_endpoint import StubEndpoint
from service_proxy.net.http_status import OK

MEMORY_MB = 192
SOCKETS = 1024
ENDPOINTS = 4
ENDPOINT_CAPACITY = 40.0  # core seconds per second
SERVICE_TIME_S = 0.1
USUAL_RATE = 20.0  # requests per second
USUAL_CLASS = DEFAULT_CLASSES[0]
FLOOD_CLIENTS = 300
FLOOD_REQUESTS = 1000
LONG_REQUESTS = 30  # requests of each client where each request is long
LONG_FORMS = ("long-bodies", "long-heads", "streamed-bodies")
PARTS = 10  # writes in which a flood is sent in parts
QUIET_S = 2.0  # time before the flood
FLOOD_S = 18.0
FLOOD_SHORT_S = 8.0
PROBE_INTERVAL_S = 0.01
MIN_SERVED_SHARE = 0.95
MS_PER_S = 1e3


async def longest_wait(address: tuple[str, int]) -> float:
    """Send health requests until the task is cancelled; return the longest wait for an answer (s)."""
    reader, writer = await asyncio.open_connection(*address)
    longest = 0.0
    with contextlib.suppress(asyncio.CancelledError, OSError, asyncio.IncompleteReadError):
        while True:
            sent_at = time.monotonic()
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            try:
                await reader.readuntil(b"ok\n")
            finally:
                longest = max(longest, time.monotonic() - sent_at)
            await asyncio.sleep(PROBE_INTERVAL_S)
    writer.close()
    return longest


class Variant(NamedTuple):
    """Variant of a flood.

    Attributes:
        form: form of each request.
        parts: number of writes in which a client sends its requests.
        again: a client connects and sends the same again as soon as it has a response.
    """

    form: str
    parts: int
    again: bool

    @property
    def name(self) -> str:
        """Name of the variant's figures."""
        return f"{self.form}_in_{self.parts}" + ("_again" if self.again else "")


async def start_flood(variant: Variant, address: tuple[str, int], seconds: float) -> bytes:
    """Run the flood in a process of its own; return the line that it prints."""
    requests = LONG_REQUESTS if variant.form in LONG_FORMS else FLOOD_REQUESTS
    options = {
        "--to": f"{address[0]}:{address[1]}",
        "--form": variant.form,
        "--clients": FLOOD_CLIENTS,
        "--requests": requests,
        "--parts": variant.parts,
        "--seconds": seconds,
    }
    arguments = [str(word) for pair in options.items() for word in pair]
    arguments += ["--again"] if variant.again else []
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "harness.flood_clients", *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return output


@contextlib.asynccontextmanager
async def deployment(root: Path) -> AsyncIterator[tuple[ProxyProcess, Recorder]]:
    """Start endpoints, discovery and the proxy of a checkout."""
    recorder = Recorder()
    registry = EndpointRegistry(recorder)
    await registry.start()
    names = [f"s-{n}" for n in range(ENDPOINTS)]
    endpoints = [
        StubEndpoint(recorder, name, service_time=SERVICE_TIME_S, capacity=ENDPOINT_CAPACITY)
        for name in names
    ]
    for endpoint in endpoints:
        await endpoint.start()
    entries = [entry(endpoint.name, endpoint.address) for endpoint in endpoints]
    for endpoint_entry in entries:
        registry.put(endpoint_entry)
    limits = {"limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}}
    try:
        async with running_proxy("p0", registry.address, entries, root=root, overrides=limits) as proxy:
            yield proxy, recorder
    finally:
        registry.stop()
        for endpoint in endpoints:
            endpoint.stop()


async def play(report: BenchmarkReport, variant: Variant, root: Path) -> None:
    """Measure one variant of a flood."""
    name = variant.name
    flood_s = FLOOD_SHORT_S if report.short else FLOOD_S
    async with deployment(root) as (proxy, recorder):
        pool = ClientPool(recorder, proxy.address, "usual", report.seed, [USUAL_CLASS])
        usual = asyncio.create_task(pool.run(QUIET_S + flood_s, USUAL_RATE))
        await asyncio.sleep(QUIET_S)
        probe = asyncio.create_task(longest_wait(proxy.address))
        flood_answers = await start_flood(variant, proxy.address, flood_s)
        await usual
        probe.cancel()
        wait = await probe
        is_running = proxy.process.returncode is None
        peak_mb = proxy.peak_memory_mb() if is_running else 0.0
    codes: Counter[int] = pool.status_codes
    served = codes[OK] / max(1, pool.request_count)
    unanswered = pool.request_count - sum(codes.values()) + codes[NOT_SENT]
    report.record(f"{name}_flood", flood_answers.decode().strip(), "answers by status")
    report.record(f"{name}_usual", pool.request_count, f"requests of usual clients, {dict(codes)}")
    report.record(f"{name}_served", served, "share of these")
    report.record(f"{name}_unanswered", unanswered, "of these")
    report.record(f"{name}_longest_turn", wait * MS_PER_S, "ms")
    report.record(f"{name}_peak_memory", peak_mb, "MB")
    report.check(is_running, f"{name}: the proxy ended")
    report.check(not unanswered, f"{name}: {unanswered} requests of usual clients had no answer")
    report.check(served >= MIN_SERVED_SHARE, f"{name}: {served:.3f} of usual clients were served")
    report.check(peak_mb <= MEMORY_MB, f"{name}: {peak_mb:.0f} MB, limit {MEMORY_MB} MB")


async def measure(report: BenchmarkReport, options: argparse.Namespace) -> None:
    """Measure all forms of flood: each written at once, in parts, and again and again."""
    root = options.root.resolve()
    for form in options.form or FORMS:
        await play(report, Variant(form, 1, again=False), root)
        if not report.short or options.form:
            await play(report, Variant(form, PARTS, again=False), root)
            await play(report, Variant(form, 1, again=True), root)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this benchmark's arguments to the command line."""
    parser.add_argument("--form", choices=FORMS, action="append", help="form of flood; default: all")
    parser.add_argument("--root", type=Path, default=ROOT, metavar="CHECKOUT", help="checkout to measure")


if __name__ == "__main__":
    sys.exit(run_benchmark("flood", measure, add_arguments=add_arguments))
