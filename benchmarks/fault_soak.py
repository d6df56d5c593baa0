"""Soak under faults: seeded runs of one proxy, each held to the rules that callers rely on.

    python -m benchmarks.fault_soak [--short] [--seed N] [--seeds COUNT] [--seconds S] [--at-once COUNT]

Each seed draws limits of memory and descriptors, restarts with the earliest SIGKILL, reloads, drains,
processes that replace one another at an address, and clients that leave, send long requests or crowd in.
Usual clients send on their connections all the time. See harness/soak for the rules.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from benchmarks.report import BenchmarkReport, run_benchmark
from harness.proxy_process import ROOT
from harness.soak.scenario import Result, Run

SEEDS = 50
SHORT_SEEDS = 4
SECONDS = 12.0
SHORT_SECONDS = 8.0
AT_ONCE = 2
MAX_SHOWN_VIOLATIONS = 5


def report_run(report: BenchmarkReport, result: Result) -> None:
    """Record one run."""
    name = f"seed_{result.seed}"
    report.record(f"{name}_faults", str(result.faults))
    report.record(f"{name}_requests", result.requests, f"of usual clients, {result.served} served")
    report.record(f"{name}_peak_memory", result.peak_mb, f"MB of {result.faults.memory_mb}")
    report.record(f"{name}_longest_stall", result.longest_stall, "s, of this process")
    shown = "; ".join(result.violations[:MAX_SHOWN_VIOLATIONS])
    report.check(not result.violations, f"{name}: {len(result.violations)} violations: {shown}")


async def measure(report: BenchmarkReport, options: argparse.Namespace) -> None:
    """Play the seeds, a few at a time."""
    count = options.seeds or (SHORT_SEEDS if report.short else SEEDS)
    seconds = options.seconds or (SHORT_SECONDS if report.short else SECONDS)
    places = asyncio.Semaphore(options.at_once)
    totals = {"requests": 0, "served": 0, "attempts": 0, "violations": 0}

    async def play(seed: int) -> None:
        async with places:
            result = await Run(seed, seconds, options.root.resolve()).play()
        report_run(report, result)
        totals["requests"] += result.requests
        totals["served"] += result.served
        totals["attempts"] += result.attempts
        totals["violations"] += len(result.violations)

    await asyncio.gather(*(play(report.seed + number) for number in range(count)))
    for name, total in totals.items():
        report.record(name, total, f"in {count} runs")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this benchmark's arguments to the command line."""
    parser.add_argument("--seeds", type=int, help="number of seeds, from --seed on")
    parser.add_argument("--seconds", type=float, help="length of each run")
    parser.add_argument("--at-once", type=int, default=AT_ONCE, help="runs that are played at a time")
    parser.add_argument("--root", type=Path, default=ROOT, metavar="CHECKOUT", help="checkout to play")


if __name__ == "__main__":
    sys.exit(run_benchmark("fault_soak", measure, add_arguments=add_arguments))
