"""Fleet benchmark on real processes behind the fault relay, with requests.

The recorder's data is audited for the four rules.
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

# Longest accepted time from the last fault until all views of the living members are equal, in periods.
MAX_SETTLING = 10.0
# Bounds of the periods from a crash to its detection, without the duration of the suspicion.
MAX_MEDIAN_BEYOND = 3.0
MAX_WORST_BEYOND = 6.0
MIN_SERVED_SHARE = 0.8
MAX_COST_RATIO = 1.25
PERIOD = 0.5  # Protocol period in seconds.
TIMEOUT_S = 60.0
HALF = 0.5
IDLE_S = 4.0


def random_fault_rounds(members: int, count: int, seed: int) -> list[list[ScriptedFault]]:
    """Return rounds of overlapping faults. The fleet settles between two rounds."""
    random = Random(f"rounds {seed}")
    names = [f"p{number}" for number in range(members)]
    fault_rounds = []
    for turn in range(count):
        targets = random.sample(names, 6)
        one_side = [name for name in names if random.random() < HALF] or names[:1]
        other_side = [name for name in names if name not in one_side] or names[-1:]
        faults = faults_of_round(random, targets, one_side, other_side)
        fault_rounds.append(faults if turn else faults[:3])
    return fault_rounds


def faults_of_round(
    random: Random, targets: list[str], one_side: list[str], other_side: list[str]
) -> list[ScriptedFault]:
    """Return a crash, a suspension, a restart, and one fault each of links, partitions and others."""
    lossy = ScriptedFault(do="loss", at=0.0, who=("all",), share=random.uniform(0.05, 0.2), lasts=4.0)
    return [
        ScriptedFault(do="kill", at=random.uniform(0, 1), who=(targets[0],), lasts=random.uniform(5, 7)),
        ScriptedFault(do="stop", at=random.uniform(0, 1), who=(targets[1],), lasts=random.uniform(0.3, 1.2)),
        ScriptedFault(do="restart", at=random.uniform(1, 3), who=(targets[2],)),
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
                ScriptedFault(
                    do="partition", at=1.0, groups=(",".join(one_side), ",".join(other_side)), lasts=5.0
                ),
                ScriptedFault(do="cut", at=1.0, who=(targets[3],), to=(targets[4],), lasts=5.0),
                ScriptedFault(do="cut", at=1.0, who=(targets[3],), to=tuple(one_side), lasts=5.0),
                ScriptedFault(do="storm", at=1.0, who=(targets[3],), share=1000, lasts=3.0),
            ]
        ),
        random.choice(
            [
                ScriptedFault(do="term", at=2.0, who=(targets[5],), lasts=4.0),
                ScriptedFault(do="clock", at=1.0, who=(targets[5],), by=-3600.0),
                ScriptedFault(do="reset", at=1.0, who=(targets[5],)),
                ScriptedFault(do="drain", at=1.0, who=("n1",), lasts=3.0),
            ]
        ),
    ]


def detection_delay(changes: list[LoggedChange], at: float) -> tuple[float, float] | None:
    """Return the periods from a crash to its detection by the last view, in two measures.

    The first measure excludes each view's own suspicion. The second measure, which is the stricter one,
    excludes the suspicion of the view that declared the member dead first. Return None if no view declared
    the member dead.
    """
    suspected_at: dict[str, float] = {}
    declared_at: dict[str, float] = {}
    for change in changes:
        if change.after == "suspect":
            suspected_at[change.observer] = change.at
        elif change.after == "dead":
            declared_at[change.observer] = change.at
    if not declared_at or not suspected_at:
        return None
    beyond_own_suspicion = (
        max(suspected_at[observer] for observer in declared_at if observer in suspected_at) - at
    )
    beyond_first_suspicion = (
        max(declared_at.values()) - at - (min(declared_at.values()) - min(suspected_at.values()))
    )
    return beyond_own_suspicion / PERIOD, beyond_first_suspicion / PERIOD


def observers_since(harness: FleetHarness, since: float) -> set[str]:
    """Return the members that were up and not suspended since a time, and so could detect a crash."""
    return {
        slot.name
        for slot in harness.slots
        if slot.alive and not any(end > since for _, end in slot.downtimes)
    }


class ProcessRun:
    """Run of fault rounds and single crashes, with its recorded results."""

    def __init__(self, report: BenchmarkReport, harness: FleetHarness, seed: int) -> None:
        self.report = report
        self.harness = harness
        self.seed = seed
        self.detection_delays: list[tuple[float, float]] = []  # Results of `detection_delay`, one per crash.
        self.settling_periods: list[float] = []  # Settling times in periods.
        self.fault_count = 0
        self.rounds_with_cuts = 0
        self.false_deaths: list[LoggedChange] = []

    async def play_round(self, faults: list[ScriptedFault]) -> None:
        """Run a round of faults, and wait until all views are equal."""
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
                False, f"views were not equal {3 * MAX_SETTLING:.0f} periods after the last fault of a round"
            )
            return
        self.settling_periods.append(settling / PERIOD)
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
            observers = observers_since(self.harness, at)
            changes_of_member = [
                c for c in new_changes if c.name == name and c.at > at and c.observer in observers
            ]
            delay = detection_delay(changes_of_member, at)
            if delay is not None:
                self.detection_delays.append(delay)
        self.false_deaths += [d for d in self.harness.observer.false_deaths() if d in new_changes]

    async def crash(self, number: int) -> None:
        """Kill one member without other faults, wait until all views show the crash, and restart it."""
        harness = self.harness
        observer = harness.observer
        change_count = len(observer.changes)
        at = time.monotonic()
        name = harness.slots[number].name
        harness.kill(number)
        await observer.wait_until_settled(TIMEOUT_S)
        observer.read_logs()
        changes_of_member = [change for change in observer.changes[change_count:] if change.name == name]
        declared_count = sum(change.after == "dead" for change in changes_of_member)
        delay = detection_delay(changes_of_member, at)
        if delay is not None:
            self.detection_delays.append(delay)
        self.report.check(
            declared_count == len(harness.living),
            f"{declared_count} of {len(harness.living)} members declared {name} dead after its crash",
        )
        harness.start(number)
        await until(lambda: not harness.starting, "restart", TIMEOUT_S)
        self.settling_periods.append(await observer.wait_until_settled(TIMEOUT_S) / PERIOD)
        self.fault_count += 2

    async def judge_end(self, started_at: float) -> None:
        """Check the logs, views and requests of the whole run."""
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
        report.record("real_lines_left_out", len(dropped), "times that members dropped log lines")
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
        report.record("real_datagrams", harness.relay.relayed_count, "datagrams through the relay")
        report.record("real_calls", sum(codes.values()), f"requests, {served:.3f} served")
        report.check(not incomplete, f"views that miss living members at the end: {incomplete[:3]}")
        report.check(not resurrections, f"{len(resurrections)} dead incarnations became alive again")
        report.check(not violations, f"rules broken: {violations[:2]}")
        report.check(not tracebacks, f"exceptions in logs: {tracebacks[:2]}")
        report.check(served > MIN_SERVED_SHARE, f"only {served:.3f} of the requests were served")

    def judge_times(self) -> None:
        """Check how soon views were equal and crashes were detected."""
        report = self.report
        beyond_own_suspicion = [delay[0] for delay in self.detection_delays]
        beyond_first_suspicion = [delay[1] for delay in self.detection_delays]
        report.record("real_settled", median(self.settling_periods), "periods after the last fault, median")
        report.record("real_settled_worst", max(self.settling_periods), "periods")
        report.record(
            "real_crash_known",
            median(beyond_own_suspicion),
            f"periods in addition to each view's suspicion, median of {len(beyond_own_suspicion)}",
        )
        report.record("real_crash_known_worst", max(beyond_own_suspicion), "periods")
        report.record(
            "real_crash_known_strict",
            median(beyond_first_suspicion),
            "periods in addition to the first verdict's suspicion, median",
        )
        report.record("real_crash_known_strict_worst", max(beyond_first_suspicion), "periods")
        report.record(
            "real_rounds_with_cuts",
            self.rounds_with_cuts,
            "rounds in which both sides correctly declared the other dead",
        )
        report.check(
            max(self.settling_periods) <= MAX_SETTLING,
            f"views were equal only after {max(self.settling_periods):.1f} periods",
        )
        report.check(
            median(beyond_own_suspicion) <= MAX_MEDIAN_BEYOND,
            f"crashes were detected {median(beyond_own_suspicion):.1f} periods late (median)",
        )
        report.check(
            max(beyond_own_suspicion) <= MAX_WORST_BEYOND,
            f"a crash was detected {max(beyond_own_suspicion):.1f} periods late (worst)",
        )
        report.check(not self.false_deaths, f"{len(self.false_deaths)} false deaths: {self.false_deaths[:2]}")


async def measure_processes(report: BenchmarkReport, seed: int) -> None:
    """Run rounds of faults and single crashes on a fleet of real processes."""
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
        report.record("real_join", joined / PERIOD, "periods from the start of all members to equal views")
        for faults in random_fault_rounds(members, round_count, seed):
            await run.play_round(faults)
        for number in Random(seed).sample(range(members), crash_count):
            await run.crash(number)
        await run.judge_end(started_at)
    run.judge_times()


def proxy_process(harness: FleetHarness) -> ProxyProcess:
    """Return the process of the first proxy."""
    program = harness.slots[0].program
    assert program is not None
    return program


async def measure_cost(report: BenchmarkReport, seed: int) -> None:
    """Measure the CPU of one proxy for the same requests with the view on and off, in alternate turns."""
    requests, turns = (1500, 2) if report.short else (4000, 5)
    cpu_per_request: dict[bool, list[float]] = {True: [], False: []}
    idle_cpu: dict[bool, float] = {}
    on = running_fleet(FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed))
    off = running_fleet(
        FleetOptions(members=6, endpoints=4, rate=0.0, period=1.0, seed=seed, fleet_enabled=False)
    )
    async with on as with_view, off as without_view:
        harnesses = {True: with_view, False: without_view}
        for turn in range(turns):
            for has_view in (True, False) if turn % 2 else (False, True):
                program = proxy_process(harnesses[has_view])
                before = cpu_seconds(program.process.pid)
                await Load(f"{seed}-{turn}-{has_view}-", requests).run(program.address)
                cpu_per_request[has_view].append((cpu_seconds(program.process.pid) - before) / requests * 1e6)
        for has_view in (True, False):
            program = proxy_process(harnesses[has_view])
            before = cpu_seconds(program.process.pid)
            await asyncio.sleep(IDLE_S)
            idle_cpu[has_view] = (cpu_seconds(program.process.pid) - before) / IDLE_S * 1e6
    ratio = median(cpu_per_request[True]) / median(cpu_per_request[False])
    report.record("cost_on", median(cpu_per_request[True]), "us per request")
    report.record("cost_off", median(cpu_per_request[False]), "us per request")
    report.record("cost_ratio", ratio, "times the cost with the view off")
    report.record(
        "cost_idle", idle_cpu[True] - idle_cpu[False], "us of CPU per second for the idle view, period 1 s"
    )
    report.check(ratio < MAX_COST_RATIO, f"a request costs {ratio:.2f} times as much with the view on")
