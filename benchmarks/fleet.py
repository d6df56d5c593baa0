"""The view of the fleet, at scale and under faults.

    python -m benchmarks.fleet [--short] [--seed N] [--only PART ...]

Parts: `real` (processes behind the fault relay, with calls; the four rules audited), `scale` (the same cores
in virtual time), `seeds` (random schedules with an oracle), `against` (plain SWIM, and heartbeats to all),
`model` (the table of states, exhaustively, with planted faults), `fuzz`, `cost` (CPU of a call, on and off).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import math
import multiprocessing
import resource
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

from benchmarks.per_call import Drive, cpu
from benchmarks.report import BenchmarkReport, run_benchmark
from harness.event_loop import until
from harness.fleet import state_model
from harness.fleet.fault_script import ACTIONS, FaultPlayer, FaultScript, ScriptedFault, ScriptHeader
from harness.fleet.harness import FleetHarness, running_fleet
from harness.fleet.network import LinkFaults
from harness.fleet.observer import LoggedChange
from harness.fleet.slots import FleetOptions
from harness.fleet.virtual_fleet import VirtualFaultTarget, VirtualFleet, VirtualMember, address_of
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.member_base import TimerKind
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming

PARTS = ("real", "scale", "seeds", "against", "model", "fuzz", "cost")
SETTLING = 10.0  # periods within which all views of the living are equal after the last fault
# periods from a crash to its being known, beyond its suspicion
MEDIAN_BEYOND = 3.0
WORST_BEYOND = 6.0
FLAT = 1.5  # bytes a member and period at the largest size, against the smallest
PERIOD = 0.5  # s, on real processes
EAGER = 2.0  # periods of suspicion in the comparison: short enough that slow members die of it
WORKERS = 4  # processes that play schedules


# -- real processes ----------------------------------------------------------------------------------


def rounds(members: int, count: int, seed: int) -> list[list[ScriptedFault]]:
    """Rounds of faults that overlap; between two of them the fleet settles."""
    random = Random(f"rounds {seed}")
    names = [f"p{number}" for number in range(members)]
    found = []
    for turn in range(count):
        some = random.sample(names, 6)
        half = [name for name in names if random.random() < 0.5] or names[:1]
        rest = [name for name in names if name not in half] or names[-1:]
        lossy = ScriptedFault(do="loss", at=0.0, who=("all",), share=random.uniform(0.05, 0.2), lasts=4.0)
        faults = [
            ScriptedFault(do="kill", at=random.uniform(0, 1), who=(some[0],), lasts=random.uniform(5, 7)),
            ScriptedFault(do="stop", at=random.uniform(0, 1), who=(some[1],), lasts=random.uniform(0.3, 1.2)),
            ScriptedFault(do="restart", at=random.uniform(1, 3), who=(some[2],)),
            random.choice(
                [
                    lossy,
                    ScriptedFault(do="delay", at=0.5, who=("all",), by=0.02, share=0.05, lasts=4.0),
                    ScriptedFault(do="duplicate", at=0.5, who=("all",), share=0.3, lasts=4.0),
                    ScriptedFault(do="corrupt", at=0.5, who=("all",), share=0.1, lasts=4.0),
                ]
            ),
            random.choice(
                [
                    ScriptedFault(do="partition", at=1.0, groups=(",".join(half), ",".join(rest)), lasts=5.0),
                    ScriptedFault(do="cut", at=1.0, who=(some[3],), to=(some[4],), lasts=5.0),
                    ScriptedFault(do="cut", at=1.0, who=(some[3],), to=tuple(half), lasts=5.0),
                    ScriptedFault(do="storm", at=1.0, who=(some[3],), share=1000, lasts=3.0),
                ]
            ),
            random.choice(
                [
                    ScriptedFault(do="term", at=2.0, who=(some[5],), lasts=4.0),
                    ScriptedFault(do="clock", at=1.0, who=(some[5],), by=-3600.0),
                    ScriptedFault(do="reset", at=1.0, who=(some[5],)),
                    ScriptedFault(do="drain", at=1.0, who=("n1",), lasts=3.0),
                ]
            ),
        ]
        found.append(faults if turn else faults[:3])
    return found


def late_by(changes: list[LoggedChange], at: float) -> tuple[float, float] | None:
    """Periods from a crash to its being known to the last view: beyond each view's own suspicion, and beyond
    that of the view that declared it first (the stricter figure)."""
    suspected: dict[str, float] = {}
    known: dict[str, float] = {}
    for change in changes:
        if change.after == "suspect":
            suspected[change.observer] = change.at
        elif change.after == "dead":
            known[change.observer] = change.at
    if not known or not suspected:
        return None
    mine = max(suspected[by] for by in known if by in suspected) - at
    first = max(known.values()) - at - (min(known.values()) - min(suspected.values()))
    return mine / PERIOD, first / PERIOD


def present(w: FleetHarness, since: float) -> set[str]:
    """Who was there, and not stopped, from then on: who was not has no view that could know."""
    return {seat.name for seat in w.slots if seat.alive and not any(end > since for _, end in seat.downtimes)}


async def real(proof: BenchmarkReport, seed: int) -> None:
    members, count = (12, 1) if proof.short else (40, 12)
    setup = FleetOptions(
        members=members, endpoints=4 if proof.short else 8, rate=1.0, period=PERIOD, seed=seed
    )
    beyond: list[tuple[float, float]] = []
    settled: list[float] = []
    played = 0
    cuts = 0
    false = []
    begun = time.monotonic()
    async with running_fleet(setup) as w:
        joined = await w.observer.wait_until_settled(60, True)
        proof.record("real_members", members, "processes")
        proof.record("real_join", joined / PERIOD, "periods from their being up to equal views")
        for faults in rounds(members, count, seed):
            mark = len(w.observer.changes)
            begins = time.monotonic()
            killed = {name: begins + f.at for f in faults if f.do == "kill" for name in f.who}
            script = FaultScript(ScriptHeader(members=members), tuple(faults))
            player = FaultPlayer(script, w)
            player.start()
            await until(lambda player=player: player.is_finished, "the faults", 60)  # type: ignore[misc]
            await until(lambda: not w.starting, "restarts", 60)
            played += len(faults)
            try:
                took = await w.observer.wait_until_settled(3 * SETTLING * PERIOD)
            except TimeoutError:
                proof.check(False, f"views were not equal {3 * SETTLING:.0f} periods after a last fault")
                continue
            settled.append(took / PERIOD)
            parted = any(fault.do in ("partition", "cut") for fault in faults)
            cuts += parted
            w.observer.read_logs()
            fresh = w.observer.changes[mark:]
            if not parted:
                for name, at in killed.items():
                    there = present(w, at)
                    mine = [c for c in fresh if c.name == name and c.at > at and c.observer in there]
                    late = late_by(mine, at)
                    if late is not None:
                        beyond.append(late)
                false += [d for d in w.observer.false_deaths() if d in fresh]
        # Crashes with nothing else about them.
        for number in Random(seed).sample(range(members), 2 if proof.short else 8):
            mark = len(w.observer.changes)
            at = time.monotonic()
            name = w.slots[number].name
            w.kill(number)
            await w.observer.wait_until_settled(60)
            w.observer.read_logs()
            fresh = [c for c in w.observer.changes[mark:] if c.name == name]
            knew = sum(change.after == "dead" for change in fresh)
            late = late_by(fresh, at)
            if late is not None:
                beyond.append(late)
            proof.check(knew == len(w.living), f"{knew} of {len(w.living)} knew of {name}'s crash")
            w.start(number)
            await until(lambda: not w.starting, "restart", 60)
            settled.append(await w.observer.wait_until_settled(60) / PERIOD)
            played += 2
        await w.finish_requests()
        await asyncio.sleep(0.1)
        w.observer.read_logs()
        raised = [line for lines in w.observer.lines.values() for line in lines if "Traceback" in line]
        broken = w.audit()
        left_out = [
            line for lines in w.observer.lines.values() for line in lines if "log_lines_dropped" in line
        ]
        proof.record("real_lines_left_out", len(left_out), "times, of members' logs")
        codes = sum((callers.status_codes for callers in w.clients), start=type(w.clients[0].status_codes)())
        served = codes[200] / max(1, sum(codes.values()))
        dead_at_end = [
            seat.name
            for seat in w.living
            for other in w.living
            if (page := w.observer.pages.get(other.name)) and page[1].alive_count != len(w.living)
        ]
        revived = w.observer.resurrections()
        proof.record("real_span", time.monotonic() - begun, "s")
        proof.record("real_faults", played, "faults")
        proof.record("real_datagrams", w.relay.relayed_count, "through the relay")
        proof.record("real_calls", sum(codes.values()), f"calls, {served:.3f} served")
    proof.record("real_settled", median(settled), "periods after the last fault, median")
    proof.record("real_settled_worst", max(settled), "periods")
    own = [late[0] for late in beyond]
    first = [late[1] for late in beyond]
    proof.record(
        "real_crash_known", median(own), f"periods beyond each view's suspicion, median of {len(own)}"
    )
    proof.record("real_crash_known_worst", max(own), "periods")
    proof.record("real_crash_known_strict", median(first), "periods beyond the first verdict's, median")
    proof.record("real_crash_known_strict_worst", max(first), "periods")
    proof.record("real_rounds_with_cuts", cuts, "in which both sides rightly buried the other")
    proof.check(max(settled) <= SETTLING, f"views equal only after {max(settled):.1f} periods")
    proof.check(median(own) <= MEDIAN_BEYOND, f"a crash was known {median(own):.1f} periods late")
    proof.check(max(own) <= WORST_BEYOND, f"a crash was known {max(own):.1f} periods late at worst")
    proof.check(not false, f"{len(false)} false deaths: {false[:2]}")
    proof.check(not dead_at_end, f"living members missing at the end: {dead_at_end[:3]}")
    proof.check(not revived, f"{len(revived)} dead incarnations came back")
    proof.check(not broken, f"rules broken: {broken[:2]}")
    proof.check(not raised, f"exceptions in logs: {raised[:2]}")
    proof.check(served > 0.8, f"only {served:.3f} of the calls were served")


# -- virtual time ------------------------------------------------------------------------------------


def crashed(bed: VirtualFleet, number: int, patience: float = 60.0) -> tuple[float, float]:
    """Periods from a crash to its being known to all, and from its first suspicion to the first verdict."""
    known: dict[str, float] = {}
    suspected: list[float] = []
    name = bed.members[number].name

    def watch(member: VirtualMember, change: MembershipChange) -> None:
        if change.entry.name == name and change.after is MemberState.DEAD:
            known.setdefault(member.name, bed.now)
        elif change.entry.name == name and change.after is MemberState.SUSPECT:
            suspected.append(bed.now)

    bed.on_change = watch
    at = bed.now
    bed.kill(number)
    living = len(bed.living)
    while len(known) < living and bed.now < at + patience:
        bed.run(bed.now + 0.1)
    bed.on_change = None
    if len(known) < living:
        return math.inf, 0.0
    return max(known.values()) - at, min(known.values()) - min(suspected)


def scale(proof: BenchmarkReport, seed: int) -> None:
    sizes = (37, 200) if proof.short else (37, 200, 1000, 10_000)
    bytes_at: dict[int, float] = {}
    known_at: dict[int, float] = {}
    for size in sizes:
        gc.collect()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        bed = VirtualFleet(size, ProtocolTiming(period=1.0), seed)
        bed.adopt()
        gc.freeze()  # at 10,000 members a collection looks through a hundred million entries
        began = bed.now
        sent = bed.bytes
        count = bed.datagrams
        known, suspicion = crashed(bed, 1)
        bed.run(began + 30.0)  # one crash each 30 periods
        periods = bed.now - began
        bytes_at[size] = (bed.bytes - sent) / size / periods
        known_at[size] = known - suspicion
        used = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024 / size
        sent_each = (bed.datagrams - count) / size / periods
        proof.record(f"scale_{size}_datagrams", sent_each, "a member and period")
        proof.record(f"scale_{size}_bytes", bytes_at[size], "a member and period")
        proof.record(f"scale_{size}_known", known, "periods from a crash to all")
        proof.record(f"scale_{size}_beyond", known_at[size], "periods of these beyond its suspicion")
        proof.record(f"scale_{size}_memory", used * 1024, "kB a member")
        proof.check(bed.is_converged(), f"views of {size} members were not equal after a crash")
        del bed
        gc.unfreeze()
    ratio = bytes_at[sizes[-1]] / bytes_at[sizes[0]]
    proof.record("scale_ratio", ratio, f"bytes at {sizes[-1]} members against {sizes[0]}")
    proof.check(ratio <= FLAT, f"bytes grow {ratio:.2f} times")
    slope = (known_at[sizes[-1]] - known_at[sizes[0]]) / math.log10(sizes[-1] / sizes[0])
    fit = known_at[sizes[0]] - slope * math.log10(sizes[0])
    proof.record("scale_fit", f"{fit:.2f} + {slope:.2f} log10 N", "periods beyond the suspicion")


def schedule(seed: int, members: int) -> FaultScript:
    """A random one of up to eight faults."""
    random = Random(f"schedule {seed}")
    names = [f"p{number}" for number in range(members)]
    faults = []
    for _ in range(random.randint(1, 8)):
        deed = random.choice(
            [d for d in ACTIONS if d not in ("reset", "silence", "drain", "storm", "rename")]
        )
        who = tuple(random.sample(names, random.randint(1, max(1, members // 4))))
        cut = random.randint(1, members - 1)
        mixed = random.sample(names, members)
        faults.append(
            ScriptedFault(
                do=deed,
                at=random.uniform(0, 15),
                who=("all",)
                if random.random() < 0.3 and deed in ("loss", "delay", "duplicate", "corrupt")
                else who,
                to=tuple(random.sample(names, random.randint(1, members // 2))),
                groups=(",".join(mixed[:cut]), ",".join(mixed[cut:])),
                lasts=random.uniform(0.5, 12),
                share=random.uniform(0.02, 0.2),
                by=random.uniform(0.005, 0.1) if deed == "delay" else random.choice([-3600.0, 3600.0, -5.0]),
                name=random.choice(["wall", "monotonic"]),
            )
        )
    return FaultScript(ScriptHeader(members=members), tuple(faults))


class Oracle(VirtualFaultTarget):
    """Whom a view buries without a cause, beside whom it brings back."""

    def __init__(self, bed: VirtualFleet, script: FaultScript) -> None:
        super().__init__(bed)
        self.wrong: list[str] = []
        self.excuse = any(f.do in ("partition", "cut", "stop", "clock") for f in script.faults)

    def record_change(self, member: VirtualMember, change: MembershipChange) -> None:
        super().record_change(member, change)
        if change.after is not MemberState.DEAD or self.excuse:
            return
        for subject in self.fleet.living:
            core = subject.protocol
            if core is None or subject.suspended or subject.name != change.entry.name:
                continue
            if core.incarnation.process == change.entry.incarnation.process:
                self.wrong.append(f"{member.name} buried {subject.name}, which lives, without a cause")


def judged(seed: int) -> tuple[str, float]:
    """What is wrong with a run by this seed ("": nothing), and the periods that it took to settle."""
    members = 5 + seed % 12
    bed = VirtualFleet(members, ProtocolTiming(period=1.0), seed)
    for number in range(members):
        bed.start(number)
    bed.run(8.0)
    script = schedule(seed, members)
    oracle = Oracle(bed, script)
    player = FaultPlayer(script, oracle)
    player.start()
    while not player.is_finished:
        bed.run(bed.now + 0.5)
        if bed.now > 120:
            return "the script never ended", 0.0
    for member in bed.members:  # who was stopped for good by two faults that crossed
        bed.resume(member.number)
    begun = bed.now
    while not bed.is_converged() and bed.now < begun + 60:
        bed.run(bed.now + 0.25)
    took = bed.now - begun
    if not bed.is_converged():
        return "views are not equal after 60 periods", took
    return "; ".join((oracle.wrong + oracle.resurrections)[:2]), took


def seeds(proof: BenchmarkReport, seed: int) -> None:
    count = 40 if proof.short else 1000
    wrong: list[str] = []
    took = []
    numbers = [seed * 100_000 + number for number in range(count)]
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        judgements = list(pool.map(judged, numbers, chunksize=10))
    for number, (what, span) in zip(numbers, judgements, strict=True):
        took.append(span)
        if what:
            wrong.append(f"seed {number}: {what}")
    took.sort()
    late = sum(span > SETTLING for span in took)
    proof.record("seeds", count, "random schedules")
    proof.record("seeds_settled", took[len(took) // 2], "periods after the last fault, median")
    proof.record("seeds_settled_worst", took[-1], "periods")
    proof.record("seeds_late", late, f"of them took over {SETTLING:.0f} periods")
    proof.check(not wrong, f"{len(wrong)} broken: {wrong[:3]}")
    proof.check(not late, f"{late} of {count} took over {SETTLING:.0f} periods, {took[-1]:.1f} at worst")


# -- against baselines -------------------------------------------------------------------------------


class OneLength(ProtocolTiming):
    """A suspicion lasts as long as ours at its shortest, whoever else shares it."""

    def suspicion_timeout(self, living: int, confirmations: int) -> float:
        return self.min_suspicion(living)


class Plain(MembershipProtocol):
    """SWIM without Lifeguard's parts and ours: no health of its own, no confirmations, no word to the suspect
    first, no last probe, and no notice that it stood still itself."""

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now + self.clock_offset)

    def _adjust_local_health(self, by: int) -> None:
        self.table.timing = OneLength(
            self.timing.period, self.timing.suspicion_multiplier, self.timing.tombstone_ttl
        )
        self.local_health = 0

    def _send_ping(self, number: int) -> None:
        probe = self.probes[number]
        suspected = self.table.suspicions.pop(probe.target, None)
        super()._send_ping(number)
        if suspected is not None:
            self.table.suspicions[probe.target] = suspected

    def _on_suspicion_timer(self, turn: int, key: bytes) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            suspicion.last_contact_at = float("-inf")
            if turn > 0 and turn == suspicion.timer_id:
                self._set_timer(max(0.0, suspicion.deadline - self.now), TimerKind.SUSPICION, -turn, key)
                return
        super()._on_suspicion_timer(turn, key)


class Heartbeats:
    """Each tells all others each period that it lives; who says nothing for three is dead."""

    SILENT = 3.0  # periods
    SIZE = 60  # bytes of a heartbeat: name, incarnation, phase, checksum

    def __init__(self, members: int, seed: int, slow: dict[int, list[tuple[float, float]]]) -> None:
        self.random = Random(seed)
        self.members = members
        self.slow = slow
        self.false = 0
        self.bytes = 0

    def run(self, periods: int) -> None:
        heard = [[0.0] * self.members for _ in range(self.members)]
        dead: set[tuple[int, int]] = set()
        for period in range(1, periods + 1):
            for sender in range(self.members):
                if self._still(sender, period):
                    continue
                for receiver in range(self.members):
                    if receiver != sender:
                        self.bytes += self.SIZE
                        heard[receiver][sender] = period
                        dead.discard((receiver, sender))
            for receiver in range(self.members):
                if self._still(receiver, period):
                    continue
                for sender in range(self.members):
                    silent = period - heard[receiver][sender]
                    if sender != receiver and silent > self.SILENT and (receiver, sender) not in dead:
                        dead.add((receiver, sender))
                        self.false += 1

    def _still(self, member: int, at: float) -> bool:
        return any(begun <= at < ended for begun, ended in self.slow.get(member, ()))


Spells = dict[int, list[tuple[float, float]]]  # by member, from and until


def slow_spells(members: int, share: float, periods: float, seed: int) -> Spells:
    """A slow process: most of the time it stands still, in pieces, as one that gets little of its core."""
    random = Random(f"slow {seed}")
    found: Spells = {}
    for member in random.sample(range(members), max(1, int(members * share))):
        at = random.uniform(0, 2)
        spells = []
        while at < periods:
            lasts = random.uniform(0.3, 3.6)
            spells.append((at, at + lasts))
            at += lasts + random.uniform(0.05, 0.6)
        found[member] = spells
    return found


def suffers(
    make: Callable[..., MembershipProtocol], members: int, periods: float, seed: int
) -> tuple[int, int, float]:
    """False deaths of healthy members, of slow ones, and bytes a member and period."""
    bed = VirtualFleet(
        members, ProtocolTiming(period=1.0, suspicion_multiplier=EAGER), seed, make_protocol=make
    )
    bed.adopt()
    slow = slow_spells(members, 0.05, periods, seed)
    for member, spells in slow.items():
        for begun, ended in spells:
            bed.schedule(begun, bed.suspend, member)
            bed.schedule(ended, bed.resume, member)
    healthy = 0
    ill = 0
    names = {bed.members[member].name for member in slow}

    def watch(member: VirtualMember, change: MembershipChange) -> None:
        nonlocal healthy, ill
        if change.after is MemberState.DEAD:
            ill += change.entry.name in names
            healthy += change.entry.name not in names

    bed.on_change = watch
    bed.run(periods)
    return healthy, ill, bed.bytes / members / periods


def against(proof: BenchmarkReport, seed: int) -> None:
    members, periods = (40, 40.0) if proof.short else (100, 120.0)
    ours = suffers(MembershipProtocol, members, periods, seed)
    plain = suffers(Plain, members, periods, seed)
    beats = Heartbeats(members, seed, slow_spells(members, 0.05, periods, seed))
    beats.run(int(periods))
    beating = beats.bytes / members / periods
    proof.record("against_members", members, f"members, one of twenty slow, {periods:.0f} periods")
    proof.record(
        "against_healthy",
        f"{ours[0]} ours, {plain[0]} plain SWIM",
        "views in which a healthy member was dead",
    )
    proof.record(
        "against_slow",
        f"{ours[1]} ours, {plain[1]} plain SWIM, {beats.false} heartbeats",
        "views in which a slow member was dead",
    )
    proof.record(
        "against_bytes",
        f"{ours[2]:.0f} ours, {plain[2]:.0f} plain SWIM, {beating:.0f} heartbeats",
        "bytes a member and period",
    )
    proof.check(ours[0] == 0, f"{ours[0]} healthy members were declared dead")
    proof.check(ours[0] + ours[1] < plain[0] + plain[1], "plain SWIM has no more false deaths than ours")
    proof.check(ours[2] < beating, "heartbeats to all cost no more than ours")


# -- the table, datagrams, cost ----------------------------------------------------------------------


def checked(proof: BenchmarkReport, seed: int) -> None:
    """No chance in it: the seed is of no account."""
    state_model.MAX_MESSAGES = 1 if proof.short else 2
    begun = time.monotonic()
    try:
        proof.record("model_states", state_model.explore(), "states, exhaustively")
    except state_model.InvariantViolationError as fault:
        proof.check(False, f"the table: {fault}")
    proof.record("model_span", time.monotonic() - begun, "s")
    missed = []
    for name, rules in state_model.MUTATIONS.items():
        try:
            state_model.explore(rules)
            missed.append(name)
        except state_model.InvariantViolationError:
            continue
    proof.record("model_planted", len(state_model.MUTATIONS), f"faults planted, {len(missed)} not found")
    proof.check(not missed, f"planted faults that were not found: {missed}")


def fuzz(proof: BenchmarkReport, seed: int) -> None:
    count = 5_000 if proof.short else 100_000
    random = Random(seed)
    seals = MessageAuthenticator()
    bed = VirtualFleet(8, ProtocolTiming(), seed)
    kept: list[bytes] = []
    bed.network.on_datagram = lambda data: kept.append(data) if len(kept) < 5000 else None
    for number in range(8):
        bed.start(number)
    bed.run(2.0)
    bed.network.default_faults = LinkFaults(loss=0.3)
    bed.run(12.0)
    core = bed.members[0].protocol
    assert core is not None
    longer = 0
    raised = 0
    answered = 0
    middle = 0
    for number in range(count):
        data = bytearray(random.choice(kept) if number % 4 else random.randbytes(random.randint(0, 300)))
        for _ in range(random.randint(0, 8)):
            if data:
                data[random.randrange(len(data))] = random.randrange(256)
        if random.random() < 0.1:
            data = data[: random.randint(0, len(data))]
        sent = seals.seal(bytes(data[:-8])) if number % 4 else bytes(data)
        core.take_effects()
        try:
            core.receive_datagram(bed.now + number * 1e-4, address_of(1 + number % 7), sent)
        except Exception as fault:
            raised += 1
            print(f"fuzz {number}: {fault!r}")
        out = core.take_effects().datagrams
        answered += bool(out)
        longer += any(len(answer) > len(sent) for _, answer in out)
        if number == count // 2:
            middle = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - middle) / 1024
    proof.record("fuzz", count, f"datagrams, {answered} answered")
    proof.record("fuzz_memory", grown, "MB more in the second half")
    proof.check(not raised, f"{raised} exceptions")
    proof.check(not longer, f"{longer} answers were longer than their questions")
    proof.check(grown < 8, f"memory grew by {grown:.1f} MB")


async def cost(proof: BenchmarkReport, seed: int) -> None:
    """CPU of one proxy of a fleet of 12, for the same calls, with the view on and off, in turns."""
    calls, turns = (1500, 2) if proof.short else (4000, 5)
    spent: dict[bool, list[float]] = {True: [], False: []}
    worlds = {}
    on = running_fleet(FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed))
    off = running_fleet(
        FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed, fleet_enabled=False)
    )
    async with on as with_view, off as without:
        worlds = {True: with_view, False: without}
        for turn in range(turns):
            for view in (True, False) if turn % 2 else (False, True):
                program = worlds[view].slots[0].program
                assert program is not None
                before = cpu(program.process.pid)
                await Drive(f"{seed}-{turn}-{view}-", calls).run(program.address)
                spent[view].append((cpu(program.process.pid) - before) / calls * 1e6)
        idle = {}
        for view in (True, False):
            program = worlds[view].slots[0].program
            assert program is not None
            before = cpu(program.process.pid)
            await asyncio.sleep(4.0)
            idle[view] = (cpu(program.process.pid) - before) / 4.0 * 1e6
    proof.record("cost_on", median(spent[True]), "us a call")
    proof.record("cost_off", median(spent[False]), "us a call")
    proof.record("cost_ratio", median(spent[True]) / median(spent[False]), "on against off")
    proof.record("cost_idle", idle[True] - idle[False], "us of CPU a second for the view alone, period 1 s")
    ratio = median(spent[True]) / median(spent[False])
    proof.check(ratio < 1.25, f"a call costs {ratio:.2f} times as much with the view on")


class Noted(BenchmarkReport):
    """Keeps what a part in a process of its own says, to be said in one."""

    def __init__(self, short: bool, seed: int) -> None:
        super().__init__("fleet", short, seed)
        self.said: list[tuple[str, float | str, str]] = []
        self.fell: list[str] = []

    def record(self, name: str, value: float | str, unit: str = "") -> None:
        self.said.append((name, value, unit))

    def check(self, holds: object, what: str) -> None:
        if not holds:
            self.fell.append(what)


VIRTUAL: dict[str, Callable[[BenchmarkReport, int], None]] = {
    "model": checked,
    "fuzz": fuzz,
    "against": against,
    "seeds": seeds,
    "scale": scale,
}


def apart(part: str, short: bool, seed: int) -> Noted:
    """One of the parts that need no sockets."""
    noted = Noted(short, seed)
    VIRTUAL[part](noted, seed)
    return noted


async def measure(proof: BenchmarkReport, wanted: argparse.Namespace) -> None:
    """The parts on real processes have the cores to themselves, but in the short form."""
    parts = [part for part in PARTS if part in (wanted.only or PARTS)]
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        loop = asyncio.get_running_loop()
        virtual = [part for part in VIRTUAL if part in parts]

        def begin() -> list[asyncio.Future[Noted]]:
            return [loop.run_in_executor(pool, apart, part, proof.short, proof.seed) for part in virtual]

        waiting = begin() if proof.short else []
        if "real" in parts:
            await real(proof, proof.seed)
        if "cost" in parts:
            await cost(proof, proof.seed)
        for noted in await asyncio.gather(*(waiting if proof.short else begin())):
            for name, value, unit in noted.said:
                proof.record(name, value, unit)
            for what in noted.fell:
                proof.check(False, what)


def more(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--only", nargs="+", choices=PARTS, help="these parts alone")


if __name__ == "__main__":
    sys.exit(run_benchmark("fleet", measure, add_arguments=more))
