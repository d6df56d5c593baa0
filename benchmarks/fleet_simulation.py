"""The fleet's benchmark in virtual time: cost and speed by size.

And random schedules of faults with an oracle.
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

MAX_BYTES_RATIO = 1.5  # bytes a member and period at the largest size, against the smallest
WORKERS = 4  # processes that play schedules
GLOBAL_SHARE = 0.3  # of faults of links, that are of all links
MAX_SCRIPT_PERIODS = 120  # until a script is over


def crashed(fleet: VirtualFleet, number: int, patience: float = 60.0) -> tuple[float, float]:
    """Return the periods from a crash to its being known, and from first suspicion to first verdict."""
    known: dict[str, float] = {}
    suspected: list[float] = []
    name = fleet.members[number].name

    def watch(member: VirtualMember, change: MembershipChange) -> None:
        if change.entry.name == name and change.after is MemberState.DEAD:
            known.setdefault(member.name, fleet.now)
        elif change.entry.name == name and change.after is MemberState.SUSPECT:
            suspected.append(fleet.now)

    fleet.on_change = watch
    at = fleet.now
    fleet.kill(number)
    living = len(fleet.living)
    while len(known) < living and fleet.now < at + patience:
        fleet.run(fleet.now + 0.1)
    fleet.on_change = None
    if len(known) < living:
        return math.inf, 0.0
    return max(known.values()) - at, min(known.values()) - min(suspected)


def measure_scale(report: BenchmarkReport, seed: int) -> None:
    """Measure bytes, memory and the time until a crash is known, by the size of the fleet."""
    sizes = (37, 200) if report.short else (37, 200, 1000, 10_000)
    bytes_at: dict[int, float] = {}
    known_at: dict[int, float] = {}
    for size in sizes:
        gc.collect()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        fleet = VirtualFleet(size, ProtocolTiming(period=1.0), seed)
        fleet.adopt()
        gc.freeze()  # at 10,000 members a collection looks through a hundred million entries
        started_at = fleet.now
        sent = fleet.bytes
        count = fleet.datagrams
        known, suspicion = crashed(fleet, 1)
        fleet.run(started_at + 30.0)  # one crash each 30 periods
        periods = fleet.now - started_at
        bytes_at[size] = (fleet.bytes - sent) / size / periods
        known_at[size] = known - suspicion
        used = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024 / size
        sent_each = (fleet.datagrams - count) / size / periods
        report.record(f"scale_{size}_datagrams", sent_each, "a member and period")
        report.record(f"scale_{size}_bytes", bytes_at[size], "a member and period")
        report.record(f"scale_{size}_known", known, "periods from a crash to all")
        report.record(f"scale_{size}_beyond", known_at[size], "periods of these beyond its suspicion")
        report.record(f"scale_{size}_memory", used * 1024, "kB a member")
        report.check(fleet.is_converged(), f"views of {size} members were not equal after a crash")
        del fleet
        gc.unfreeze()
    ratio = bytes_at[sizes[-1]] / bytes_at[sizes[0]]
    report.record("scale_ratio", ratio, f"bytes at {sizes[-1]} members against {sizes[0]}")
    report.check(ratio <= MAX_BYTES_RATIO, f"bytes grow {ratio:.2f} times")
    slope = (known_at[sizes[-1]] - known_at[sizes[0]]) / math.log10(sizes[-1] / sizes[0])
    fit = known_at[sizes[0]] - slope * math.log10(sizes[0])
    report.record("scale_fit", f"{fit:.2f} + {slope:.2f} log10 N", "periods beyond the suspicion")


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
    """Records whom a view declares dead without a cause, beside whom it brings back."""

    def __init__(self, fleet: VirtualFleet, script: FaultScript) -> None:
        super().__init__(fleet)
        self.wrong: list[str] = []
        self.excuse = any(f.do in ("partition", "cut", "stop", "clock") for f in script.faults)

    def record_change(self, member: VirtualMember, change: MembershipChange) -> None:
        """Take in a change of a member's view."""
        super().record_change(member, change)
        if change.after is not MemberState.DEAD or self.excuse:
            return
        for subject in self.fleet.living:
            protocol = subject.protocol
            if protocol is None or subject.suspended or subject.name != change.entry.name:
                continue
            if protocol.incarnation.process == change.entry.incarnation.process:
                self.wrong.append(f"{member.name} buried {subject.name}, which lives, without a cause")


def judge_schedule(seed: int) -> tuple[str, float]:
    """Return what is wrong with a run by this seed (empty: nothing).

    And the periods that it took to settle.
    """
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
            return "the script never ended", 0.0
    for member in fleet.members:  # who was stopped for good by two faults that crossed
        fleet.resume(member.number)
    started_at = fleet.now
    while not fleet.is_converged() and fleet.now < started_at + 60:
        fleet.run(fleet.now + 0.25)
    settling = fleet.now - started_at
    if not fleet.is_converged():
        return "views are not equal after 60 periods", settling
    return "; ".join((oracle.wrong + oracle.resurrections)[:2]), settling


def measure_schedules(report: BenchmarkReport, seed: int) -> None:
    """Play random schedules of faults, each judged by the oracle."""
    count = 40 if report.short else 1000
    wrong: list[str] = []
    settling = []
    numbers = [seed * 100_000 + number for number in range(count)]
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        judgements = list(pool.map(judge_schedule, numbers, chunksize=10))
    for number, (what, span) in zip(numbers, judgements, strict=True):
        settling.append(span)
        if what:
            wrong.append(f"seed {number}: {what}")
    settling.sort()
    late = sum(span > MAX_SETTLING for span in settling)
    report.record("seeds", count, "random schedules")
    report.record("seeds_settled", settling[len(settling) // 2], "periods after the last fault, median")
    report.record("seeds_settled_worst", settling[-1], "periods")
    report.record("seeds_late", late, f"of them took over {MAX_SETTLING:.0f} periods")
    report.check(not wrong, f"{len(wrong)} broken: {wrong[:3]}")
    report.check(
        not late, f"{late} of {count} took over {MAX_SETTLING:.0f} periods, {settling[-1]:.1f} at worst"
    )
