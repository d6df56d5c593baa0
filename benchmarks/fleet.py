"""Benchmark of the fleet's membership view, at scale and under faults.

    python -m benchmarks.fleet [--short] [--seed N] [--only PART ...]

Parts:
    real: real processes behind the fault relay, with requests; audits the four rules.
    scale: the same protocol in virtual time.
    seeds: random schedules that an oracle checks.
    against: comparison with plain SWIM and with heartbeats to all members.
    model: exhaustive check of the state table, with planted faults.
    fuzz: garbage and damaged datagrams.
    cost: CPU per request with the fleet protocol on and off.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import resource
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random

from benchmarks.fleet_baselines import measure_baselines
from benchmarks.fleet_processes import measure_cost, measure_processes
from benchmarks.fleet_simulation import WORKERS, measure_scale, measure_schedules
from benchmarks.report import BenchmarkReport, run_benchmark
from harness.fleet import state_model
from harness.fleet.network import LinkFaults
from harness.fleet.virtual_fleet import VirtualFleet, address_of
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.wire import AUTH_TAG_BYTES

PARTS = ("real", "scale", "seeds", "against", "model", "fuzz", "cost")
MAX_RECORDED = 5000  # Bound of the recorded datagrams that the fuzzer damages.
TRUNCATED_SHARE = 0.1  # Share of the damaged datagrams that are also truncated.
MAX_GROWTH_MB = 8  # Accepted memory growth in the second half of the fuzzing.


def check_model(report: BenchmarkReport, _seed: int) -> None:
    """Explore all states of the model, and check that each planted fault is found. Nothing is random."""
    state_model.MAX_MESSAGES = 1 if report.short else 2
    started_at = time.monotonic()
    try:
        report.record("model_states", state_model.explore(), "states explored, which are all")
    except state_model.InvariantViolationError as error:
        report.check(False, f"the state table breaks an invariant: {error}")
    report.record("model_span", time.monotonic() - started_at, "s")
    missed = []
    for name, rules in state_model.MUTATIONS.items():
        try:
            state_model.explore(rules)
            missed.append(name)
        except state_model.InvariantViolationError:
            continue
    report.record("model_planted", len(state_model.MUTATIONS), f"planted faults, {len(missed)} not found")
    report.check(not missed, f"planted faults that were not found: {missed}")


def fuzzed_datagram(
    random: Random, recorded: list[bytes], authenticator: MessageAuthenticator, is_garbage: bool
) -> bytes:
    """Return garbage, or a recorded datagram with changed bytes and a valid authentication tag."""
    data = bytearray(random.randbytes(random.randint(0, 300)) if is_garbage else random.choice(recorded))
    for _ in range(random.randint(0, 8)):
        if data:
            data[random.randrange(len(data))] = random.randrange(256)
    if random.random() < TRUNCATED_SHARE:
        data = data[: random.randint(0, len(data))]
    return bytes(data) if is_garbage else authenticator.seal(bytes(data[:-AUTH_TAG_BYTES]))


def fuzz_datagrams(report: BenchmarkReport, seed: int) -> None:
    """Send garbage and damaged datagrams to a member, and check its answers and its memory."""
    count = 5_000 if report.short else 100_000
    random = Random(seed)
    authenticator = MessageAuthenticator()
    fleet = VirtualFleet(8, ProtocolTiming(), seed)
    recorded: list[bytes] = []
    fleet.network.on_datagram = lambda data: recorded.append(data) if len(recorded) < MAX_RECORDED else None
    for number in range(8):
        fleet.start(number)
    fleet.run(2.0)
    fleet.network.default_faults = LinkFaults(loss=0.3)
    fleet.run(12.0)
    protocol = fleet.members[0].protocol
    assert protocol is not None
    longer_answers = 0
    exception_count = 0
    answered = 0
    rss_at_half = 0
    for number in range(count):
        sent = fuzzed_datagram(random, recorded, authenticator, is_garbage=not number % 4)
        protocol.take_effects()
        try:
            protocol.receive_datagram(fleet.now + number * 1e-4, address_of(1 + number % 7), sent)
        except Exception as error:  # noqa: BLE001  # The fuzzing looks for any exception.
            exception_count += 1
            print(f"fuzz {number}: {error!r}")
        answers = protocol.take_effects().datagrams
        answered += bool(answers)
        longer_answers += any(len(answer) > len(sent) for _, answer in answers)
        if number == count // 2:
            rss_at_half = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown_mb = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss_at_half) / 1024
    report.record("fuzz", count, f"datagrams, {answered} answered")
    report.record("fuzz_memory", grown_mb, "MB more in the second half")
    report.check(not exception_count, f"{exception_count} fuzzed datagrams raised exceptions")
    report.check(not longer_answers, f"{longer_answers} answers were longer than their requests")
    report.check(grown_mb < MAX_GROWTH_MB, f"memory grew by {grown_mb:.1f} MB while datagrams were fuzzed")


class RecordedReport(BenchmarkReport):
    """Report of a part that runs in its own process. The main process copies its figures and failures."""

    def __init__(self, short: bool, seed: int) -> None:
        super().__init__("fleet", short, seed)
        self.recorded: list[tuple[str, float | str, str]] = []
        self.failures: list[str] = []

    def record(self, name: str, value: float | str, unit: str = "") -> None:
        """Store a figure."""
        self.recorded.append((name, value, unit))

    def check(self, passed: object, message: str) -> None:
        """Store the message of a failed check."""
        if not passed:
            self.failures.append(message)


VIRTUAL_PARTS: dict[str, Callable[[BenchmarkReport, int], None]] = {
    "model": check_model,
    "fuzz": fuzz_datagrams,
    "against": measure_baselines,
    "seeds": measure_schedules,
    "scale": measure_scale,
}


def run_part(part: str, short: bool, seed: int) -> RecordedReport:
    """Run one of the parts that need no sockets."""
    recorded = RecordedReport(short, seed)
    VIRTUAL_PARTS[part](recorded, seed)
    return recorded


async def measure(report: BenchmarkReport, options: argparse.Namespace) -> None:
    """Run the requested parts.

    In the full form, the parts with real processes run while no other part uses the cores.
    """
    parts = [part for part in PARTS if part in (options.only or PARTS)]
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        loop = asyncio.get_running_loop()
        virtual = [part for part in VIRTUAL_PARTS if part in parts]

        def start_virtual_parts() -> list[asyncio.Future[RecordedReport]]:
            return [loop.run_in_executor(pool, run_part, part, report.short, report.seed) for part in virtual]

        started = start_virtual_parts() if report.short else []
        if "real" in parts:
            await measure_processes(report, report.seed)
        if "cost" in parts:
            await measure_cost(report, report.seed)
        for recorded in await asyncio.gather(*(started if report.short else start_virtual_parts())):
            for name, value, unit in recorded.recorded:
                report.record(name, value, unit)
            for message in recorded.failures:
                report.check(False, message)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add this benchmark's arguments to the command line."""
    parser.add_argument("--only", nargs="+", choices=PARTS, help="run only these parts")


if __name__ == "__main__":
    sys.exit(run_benchmark("fleet", measure, add_arguments=add_arguments))
