"""The fleet's benchmark on real processes behind the fault relay, with requests.

The four rules are audited.
"""

from __future__ import annotations

import asyncio
import time
from random import Random
from statistics import median

from benchmarks.per_call import Load, cpu_seconds
from benchmarks.report import BenchmarkReport
from harness.event_loop import until
from harness.fleet.fault_script import FaultPlayer, FaultScript, ScriptedFault, ScriptHeader
from harness.fleet.harness import FleetHarness, running_fleet
from harness.fleet.observer import LoggedChange
from harness.fleet.slots import FleetOptions
from harness.proxy_process import ProxyProcess

MAX_SETTLING = 10.0  # periods within which all views of the living are equal after the last fault
# Periods from a crash to its being known, beyond its suspicion.
MAX_MEDIAN_BEYOND = 3.0
MAX_WORST_BEYOND = 6.0
MIN_SERVED_SHARE = 0.8
MAX_COST_RATIO = 1.25
PERIOD = 0.5  # s
TIMEOUT_S = 60.0
HALF = 0.5
IDLE_S = 4.0


def rounds(members: int, count: int, seed: int) -> list[list[ScriptedFault]]:
    """Return rounds of faults that overlap; between two of them the fleet settles."""
    random = Random(f"rounds {seed}")
    names = [f"p{number}" for number in range(members)]
    rounds_of_faults = []
    for turn in range(count):
        some = random.sample(names, 6)
        half = [name for name in names if random.random() < HALF] or names[:1]
        rest = [name for name in names if name not in half] or names[-1:]
        faults = faults_of_round(random, some, half, rest)
        rounds_of_faults.append(faults if turn else faults[:3])
    return rounds_of_faults


def faults_of_round(random: Random, some: list[str], half: list[str], rest: list[str]) -> list[ScriptedFault]:
    """Return a crash, a suspension and a restart, and one fault each of links, partitions and others."""
    lossy = ScriptedFault(do="loss", at=0.0, who=("all",), share=random.uniform(0.05, 0.2), lasts=4.0)
    return [
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


def late_by(changes: list[LoggedChange], at: float) -> tuple[float, float] | None:
    """Return the periods from a crash to its being known to the last view, beyond the suspicion.

    Beyond each view's own suspicion, and beyond that of the view that declared it first (the stricter
    figure); None where nobody has declared it.
    """
    suspected: dict[str, float] = {}
    known: dict[str, float] = {}
    for change in changes:
        if change.after == "suspect":
            suspected[change.observer] = change.at
        elif change.after == "dead":
            known[change.observer] = change.at
    if not known or not suspected:
        return None
    own = max(suspected[observer] for observer in known if observer in suspected) - at
    first = max(known.values()) - at - (min(known.values()) - min(suspected.values()))
    return own / PERIOD, first / PERIOD


def present(harness: FleetHarness, since: float) -> set[str]:
    """Return who was there, and not suspended, from then on: others have no view that could know."""
    return {
        slot.name
        for slot in harness.slots
        if slot.alive and not any(end > since for _, end in slot.downtimes)
    }


class ProcessRun:
    """A run of rounds of faults and single crashes, and what was seen in it."""

    def __init__(self, report: BenchmarkReport, harness: FleetHarness, seed: int) -> None:
        self.report = report
        self.harness = harness
        self.seed = seed
        self.beyond: list[tuple[float, float]] = []  # by crash, of `late_by`
        self.settled: list[float] = []  # periods
        self.fault_count = 0
        self.rounds_with_cuts = 0
        self.false_deaths: list[LoggedChange] = []

    async def play_round(self, faults: list[ScriptedFault]) -> None:
        """Play a round of faults, and wait for equal views."""
        observer = self.harness.observer
        change_count = len(observer.changes)
        started_at = time.monotonic()
        player = FaultPlayer(
            FaultScript(ScriptHeader(members=len(self.harness.slots)), tuple(faults)), self.harness
        )
        player.start()
        await until(lambda: player.is_finished, "the faults", TIMEOUT_S)
        await until(lambda: not self.harness.starting, "restarts", TIMEOUT_S)
        self.fault_count += len(faults)
        try:
            settling = await observer.wait_until_settled(3 * MAX_SETTLING * PERIOD)
        except TimeoutError:
            self.report.check(
                False, f"views were not equal {3 * MAX_SETTLING:.0f} periods after a last fault"
            )
            return
        self.settled.append(settling / PERIOD)
        has_cut = any(fault.do in ("partition", "cut") for fault in faults)
        self.rounds_with_cuts += has_cut
        observer.read_logs()
        if not has_cut:
            self._judge_round(faults, started_at, observer.changes[change_count:])

    def _judge_round(
        self, faults: list[ScriptedFault], started_at: float, new_changes: list[LoggedChange]
    ) -> None:
        crashes = {
            name: started_at + fault.at for fault in faults if fault.do == "kill" for name in fault.who
        }
        for name, at in crashes.items():
            observers = present(self.harness, at)
            of_crash = [c for c in new_changes if c.name == name and c.at > at and c.observer in observers]
            late = late_by(of_crash, at)
            if late is not None:
                self.beyond.append(late)
        self.false_deaths += [d for d in self.harness.observer.false_deaths() if d in new_changes]

    async def crash(self, number: int) -> None:
        """Kill one member with no other fault about, wait until all know it, and start it again."""
        harness = self.harness
        observer = harness.observer
        change_count = len(observer.changes)
        at = time.monotonic()
        name = harness.slots[number].name
        harness.kill(number)
        await observer.wait_until_settled(TIMEOUT_S)
        observer.read_logs()
        of_crash = [change for change in observer.changes[change_count:] if change.name == name]
        knew = sum(change.after == "dead" for change in of_crash)
        late = late_by(of_crash, at)
        if late is not None:
            self.beyond.append(late)
        self.report.check(
            knew == len(harness.living), f"{knew} of {len(harness.living)} knew of {name}'s crash"
        )
        harness.start(number)
        await until(lambda: not harness.starting, "restart", TIMEOUT_S)
        self.settled.append(await observer.wait_until_settled(TIMEOUT_S) / PERIOD)
        self.fault_count += 2

    async def judge_end(self, started_at: float) -> None:
        """Judge logs, views and requests of the whole run."""
        harness = self.harness
        observer = harness.observer
        report = self.report
        await harness.finish_requests()
        await asyncio.sleep(0.1)
        observer.read_logs()
        lines = [line for lines in observer.lines.values() for line in lines]
        tracebacks = [line for line in lines if "Traceback" in line]
        violations = harness.audit()
        dropped = [line for line in lines if "log_lines_dropped" in line]
        report.record("real_lines_left_out", len(dropped), "times, of members' logs")
        codes = sum(
            (clients.status_codes for clients in harness.clients),
            start=type(harness.clients[0].status_codes)(),
        )
        served = codes[200] / max(1, sum(codes.values()))
        incomplete = [
            slot.name
            for slot in harness.living
            for other in harness.living
            if (page := observer.pages.get(other.name)) and page[1].alive_count != len(harness.living)
        ]
        resurrections = observer.resurrections()
        report.record("real_span", time.monotonic() - started_at, "s")
        report.record("real_faults", self.fault_count, "faults")
        report.record("real_datagrams", harness.relay.relayed_count, "through the relay")
        report.record("real_calls", sum(codes.values()), f"calls, {served:.3f} served")
        report.check(not incomplete, f"living members missing at the end: {incomplete[:3]}")
        report.check(not resurrections, f"{len(resurrections)} dead incarnations came back")
        report.check(not violations, f"rules broken: {violations[:2]}")
        report.check(not tracebacks, f"exceptions in logs: {tracebacks[:2]}")
        report.check(served > MIN_SERVED_SHARE, f"only {served:.3f} of the calls were served")

    def judge_times(self) -> None:
        """Judge how soon views were equal and crashes known."""
        report = self.report
        own = [late[0] for late in self.beyond]
        first = [late[1] for late in self.beyond]
        report.record("real_settled", median(self.settled), "periods after the last fault, median")
        report.record("real_settled_worst", max(self.settled), "periods")
        report.record(
            "real_crash_known", median(own), f"periods beyond each view's suspicion, median of {len(own)}"
        )
        report.record("real_crash_known_worst", max(own), "periods")
        report.record("real_crash_known_strict", median(first), "periods beyond the first verdict's, median")
        report.record("real_crash_known_strict_worst", max(first), "periods")
        report.record(
            "real_rounds_with_cuts", self.rounds_with_cuts, "in which both sides rightly buried the other"
        )
        report.check(
            max(self.settled) <= MAX_SETTLING, f"views equal only after {max(self.settled):.1f} periods"
        )
        report.check(median(own) <= MAX_MEDIAN_BEYOND, f"a crash was known {median(own):.1f} periods late")
        report.check(max(own) <= MAX_WORST_BEYOND, f"a crash was known {max(own):.1f} periods late at worst")
        report.check(not self.false_deaths, f"{len(self.false_deaths)} false deaths: {self.false_deaths[:2]}")


async def measure_processes(report: BenchmarkReport, seed: int) -> None:
    """Play rounds of faults and single crashes on a fleet of real processes."""
    members, round_count = (12, 1) if report.short else (40, 12)
    crash_count = 2 if report.short else 8
    options = FleetOptions(
        members=members, endpoints=4 if report.short else 8, rate=1.0, period=PERIOD, seed=seed
    )
    started_at = time.monotonic()
    async with running_fleet(options) as harness:
        run = ProcessRun(report, harness, seed)
        joined = await harness.observer.wait_until_settled(TIMEOUT_S, True)
        report.record("real_members", members, "processes")
        report.record("real_join", joined / PERIOD, "periods from their being up to equal views")
        for faults in rounds(members, round_count, seed):
            await run.play_round(faults)
        for number in Random(seed).sample(range(members), crash_count):
            await run.crash(number)
        await run.judge_end(started_at)
    run.judge_times()


def proxy_process(harness: FleetHarness) -> ProxyProcess:
    """Return the first proxy's process."""
    program = harness.slots[0].program
    assert program is not None
    return program


async def measure_cost(report: BenchmarkReport, seed: int) -> None:
    """Measure the CPU of one proxy for the same requests, with the view on and off, in turns."""
    requests, turns = (1500, 2) if report.short else (4000, 5)
    spent: dict[bool, list[float]] = {True: [], False: []}
    idle: dict[bool, float] = {}
    on = running_fleet(FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed))
    off = running_fleet(
        FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed, fleet_enabled=False)
    )
    async with on as with_view, off as without_view:
        harnesses = {True: with_view, False: without_view}
        for turn in range(turns):
            for view in (True, False) if turn % 2 else (False, True):
                program = proxy_process(harnesses[view])
                before = cpu_seconds(program.process.pid)
                await Load(f"{seed}-{turn}-{view}-", requests).run(program.address)
                spent[view].append((cpu_seconds(program.process.pid) - before) / requests * 1e6)
        for view in (True, False):
            program = proxy_process(harnesses[view])
            before = cpu_seconds(program.process.pid)
            await asyncio.sleep(IDLE_S)
            idle[view] = (cpu_seconds(program.process.pid) - before) / IDLE_S * 1e6
    ratio = median(spent[True]) / median(spent[False])
    report.record("cost_on", median(spent[True]), "us a call")
    report.record("cost_off", median(spent[False]), "us a call")
    report.record("cost_ratio", ratio, "on against off")
    report.record("cost_idle", idle[True] - idle[False], "us of CPU a second for the view alone, period 1 s")
    report.check(ratio < MAX_COST_RATIO, f"a call costs {ratio:.2f} times as much with the view on")
