"""Fleet benchmark in virtual time: cost and speed by fleet size, and random schedules of faults.

An oracle checks the random schedules.
"""

from __future__ import annotations

import gc
import math
import multiprocessing
import resource
from concurrent.futures import ProcessPoolExecutor
from random import Random

from benchmarks.fleet_processes import MAX_SETTLING
from benchmarks.report import BenchmarkReport
from harness.fleet.fault_script import ACTIONS, FaultPlayer, FaultScript, ScriptedFault, ScriptHeader
from harness.fleet.virtual_fleet import VirtualFaultTarget, VirtualFleet, VirtualMember
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.timing import ProtocolTiming

# Accepted ratio of the bytes per member and period at the largest size to those at the smallest size.
MAX_BYTES_RATIO = 1.5
WORKERS = 4  # Number of processes that run schedules.
GLOBAL_SHARE = 0.3  # Share of the link faults that affect all links.
MAX_SCRIPT_PERIODS = 120  # Longest accepted duration of a script.


def measure_crash(fleet: VirtualFleet, number: int, timeout: float = 60.0) -> tuple[float, float]:
    """Return the periods from a crash to its detection, and from the first suspicion to the first verdict."""
    detected: dict[str, float] = {}
    suspected: list[float] = []
    name = fleet.members[number].name

    def record_verdicts(member: VirtualMember, change: MembershipChange) -> None:
        if change.entry.name == name and change.after is MemberState.DEAD:
            detected.setdefault(member.name, fleet.now)
        elif change.entry.name == name and change.after is MemberState.SUSPECT:
            suspected.append(fleet.now)

    fleet.on_change = record_verdicts
    at = fleet.now
    fleet.kill(number)
    living = len(fleet.living)
    while len(detected) < living and fleet.now < at + timeout:
        fleet.run(fleet.now + 0.1)
    fleet.on_change = None
    if len(detected) < living:
        return math.inf, 0.0
    return max(detected.values()) - at, min(detected.values()) - min(suspected)


def measure_scale(report: BenchmarkReport, seed: int) -> None:
    """Measure bytes, memory and the time until a crash is detected, for each size of the fleet."""
    sizes = (37, 200) if report.short else (37, 200, 1000, 10_000)
    bytes_at: dict[int, float] = {}
    delay_by_size: dict[int, float] = {}
    for size in sizes:
        gc.collect()
        rss_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        fleet = VirtualFleet(size, ProtocolTiming(period=1.0), seed)
        fleet.adopt()
        # Excludes the fleet from garbage collection, which at 10,000 members scans a hundred million entries.
        gc.freeze()
        started_at = fleet.now
        bytes_before = fleet.bytes
        count = fleet.datagrams
        detected, suspicion = measure_crash(fleet, 1)
        fleet.run(started_at + 30.0)  # The fleet has one crash per 30 periods.
        periods = fleet.now - started_at
        bytes_at[size] = (fleet.bytes - bytes_before) / size / periods
        delay_by_size[size] = detected - suspicion
        used_mb = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss_before) / 1024 / size
        sent_each = (fleet.datagrams - count) / size / periods
        report.record(f"scale_{size}_datagrams", sent_each, "datagrams per member and period")
        report.record(f"scale_{size}_bytes", bytes_at[size], "bytes per member and period")
        report.record(f"scale_{size}_known", detected, "periods from a crash to its detection by all members")
        report.record(f"scale_{size}_beyond", delay_by_size[size], "of these periods, without the suspicion")
        report.record(f"scale_{size}_memory", used_mb * 1024, "kB per member")
        report.check(fleet.is_converged(), f"views of {size} members were not equal after a crash")
        del fleet
        gc.unfreeze()
    ratio = bytes_at[sizes[-1]] / bytes_at[sizes[0]]
    report.record("scale_ratio", ratio, f"times the bytes at {sizes[-1]} members, compared with {sizes[0]}")
    report.check(ratio <= MAX_BYTES_RATIO, f"bytes per member grow {ratio:.2f} times with the fleet")
    slope = (delay_by_size[sizes[-1]] - delay_by_size[sizes[0]]) / math.log10(sizes[-1] / sizes[0])
    fit = delay_by_size[sizes[0]] - slope * math.log10(sizes[0])
    report.record("scale_fit", f"{fit:.2f} + {slope:.2f} log10 N", "periods without the suspicion")


def random_schedule(seed: int, members: int) -> FaultScript:
    """Return a random script of up to eight faults."""
    random = Random(f"schedule {seed}")
    names = [f"p{number}" for number in range(members)]
    faults = []
    for _ in range(random.randint(1, 8)):
        action = random.choice(
            [d for d in ACTIONS if d not in ("reset", "silence", "drain", "storm", "rename")]
        )
        who = tuple(random.sample(names, random.randint(1, max(1, members // 4))))
        cut = random.randint(1, members - 1)
        mixed = random.sample(names, members)
        faults.append(
            ScriptedFault(
                do=action,
                at=random.uniform(0, 15),
                who=("all",)
                if random.random() < GLOBAL_SHARE and action in ("loss", "delay", "duplicate", "corrupt")
                else who,
                to=tuple(random.sample(names, random.randint(1, members // 2))),
                groups=(",".join(mixed[:cut]), ",".join(mixed[cut:])),
                lasts=random.uniform(0.5, 12),
                share=random.uniform(0.02, 0.2),
                by=random.uniform(0.005, 0.1)
                if action == "delay"
                else random.choice([-3600.0, 3600.0, -5.0]),
                name=random.choice(["wall", "monotonic"]),
            )
        )
    return FaultScript(ScriptHeader(members=members), tuple(faults))


class Oracle(VirtualFaultTarget):
    """Fault target that records false deaths without a cause, in addition to resurrections."""

    def __init__(self, fleet: VirtualFleet, script: FaultScript) -> None:
        super().__init__(fleet)
        self.failures: list[str] = []
        self.allows_false_deaths = any(f.do in ("partition", "cut", "stop", "clock") for f in script.faults)

    def record_change(self, member: VirtualMember, change: MembershipChange) -> None:
        """Record a change in a member's view, and check a declared death for its cause."""
        super().record_change(member, change)
        if change.after is not MemberState.DEAD or self.allows_false_deaths:
            return
        for subject in self.fleet.living:
            protocol = subject.protocol
            if protocol is None or subject.suspended or subject.name != change.entry.name:
                continue
            if protocol.incarnation.process == change.entry.incarnation.process:
                self.failures.append(
                    f"{member.name} declared {subject.name} dead, which is alive, without a cause"
                )


def judge_schedule(seed: int) -> tuple[str, float]:
    """Return the failures of a run with this seed (empty if none), and the periods that it took to settle."""
    members = 5 + seed % 12
    fleet = VirtualFleet(members, ProtocolTiming(period=1.0), seed)
    for number in range(members):
        fleet.start(number)
    fleet.run(8.0)
    script = random_schedule(seed, members)
    oracle = Oracle(fleet, script)
    player = FaultPlayer(script, oracle)
    player.start()
    while not player.is_finished:
        fleet.run(fleet.now + 0.5)
        if fleet.now > MAX_SCRIPT_PERIODS:
            return "the script did not end", 0.0
    for member in fleet.members:  # Resumes members that two overlapping faults left suspended.
        fleet.resume(member.number)
    started_at = fleet.now
    while not fleet.is_converged() and fleet.now < started_at + 60:
        fleet.run(fleet.now + 0.25)
    settling = fleet.now - started_at
    if not fleet.is_converged():
        return "views are not equal after 60 periods", settling
    return "; ".join((oracle.failures + oracle.resurrections)[:2]), settling


def measure_schedules(report: BenchmarkReport, seed: int) -> None:
    """Run random schedules of faults, each checked by the oracle."""
    count = 40 if report.short else 1000
    failures: list[str] = []
    settling = []
    numbers = [seed * 100_000 + number for number in range(count)]
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        judgements = list(pool.map(judge_schedule, numbers, chunksize=10))
    for number, (failure, span) in zip(numbers, judgements, strict=True):
        settling.append(span)
        if failure:
            failures.append(f"seed {number}: {failure}")
    settling.sort()
    late = sum(span > MAX_SETTLING for span in settling)
    report.record("seeds", count, "random schedules")
    report.record("seeds_settled", settling[len(settling) // 2], "periods after the last fault, median")
    report.record("seeds_settled_worst", settling[-1], "periods")
    report.record("seeds_late", late, f"schedules took over {MAX_SETTLING:.0f} periods to settle")
    report.check(not failures, f"{len(failures)} schedules failed: {failures[:3]}")
    report.check(
        not late,
        f"{late} of {count} schedules settled after {MAX_SETTLING:.0f} periods, worst {settling[-1]:.1f}",
    )
