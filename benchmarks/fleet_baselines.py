"""The fleet's membership view against plain SWIM and heartbeats to all, with slow members.

In virtual time.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from benchmarks.report import BenchmarkReport
from harness.fleet.virtual_fleet import VirtualFleet, VirtualMember
from service_proxy.fleet.member_base import TimerKind
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming

SHORT_SUSPICION = 2.0  # periods: short enough that slow members are declared dead


class FixedSuspicion(ProtocolTiming):
    """A suspicion lasts as long as the shortest of ours, whoever else shares it."""

    def suspicion_timeout(self, live_count: int, _confirmations: int) -> float:
        """Return the shortest suspicion, s."""
        return self.min_suspicion(live_count)


class PlainSwim(MembershipProtocol):
    """SWIM without Lifeguard's extensions and ours.

    No local health, no confirmations, no early word to the suspect, no last probe, and no notice of its own
    stall.
    """

    def _advance_clock(self, now: float) -> None:
        self.now = max(self.now, now + self.clock_offset)

    def _adjust_local_health(self, _change: int) -> None:
        self.table.timing = FixedSuspicion(
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
    """Each sends a heartbeat to all others each period; who is silent for three is dead."""

    SILENT = 3.0  # periods
    SIZE = 60  # bytes of a heartbeat: name, incarnation, phase, checksum

    def __init__(self, members: int, seed: int, slow: dict[int, list[tuple[float, float]]]) -> None:
        self.random = Random(seed)
        self.members = members
        self.slow = slow
        self.false = 0
        self.bytes = 0

    def run(self, periods: int) -> None:
        """Run so many periods."""
        last_heartbeat = [[0.0] * self.members for _ in range(self.members)]
        dead: set[tuple[int, int]] = set()
        for period in range(1, periods + 1):
            for sender in range(self.members):
                if self._still(sender, period):
                    continue
                for receiver in range(self.members):
                    if receiver != sender:
                        self.bytes += self.SIZE
                        last_heartbeat[receiver][sender] = period
                        dead.discard((receiver, sender))
            for receiver in range(self.members):
                if self._still(receiver, period):
                    continue
                for sender in range(self.members):
                    silent = period - last_heartbeat[receiver][sender]
                    if sender != receiver and silent > self.SILENT and (receiver, sender) not in dead:
                        dead.add((receiver, sender))
                        self.false += 1

    def _still(self, member: int, at: float) -> bool:
        return any(start <= at < end for start, end in self.slow.get(member, ()))


SlowSpells = dict[int, list[tuple[float, float]]]  # by member, from and until


def slow_spells(members: int, share: float, periods: float, seed: int) -> SlowSpells:
    """Return when slow processes stand still: most of the time, in pieces, as with little CPU."""
    random = Random(f"slow {seed}")
    spells_by_member: SlowSpells = {}
    for member in random.sample(range(members), max(1, int(members * share))):
        at = random.uniform(0, 2)
        spells = []
        while at < periods:
            lasts = random.uniform(0.3, 3.6)
            spells.append((at, at + lasts))
            at += lasts + random.uniform(0.05, 0.6)
        spells_by_member[member] = spells
    return spells_by_member


def count_false_deaths(
    make: Callable[..., MembershipProtocol], members: int, periods: float, seed: int
) -> tuple[int, int, float]:
    """Return false deaths of healthy members, of slow ones, and bytes a member and period."""
    fleet = VirtualFleet(
        members, ProtocolTiming(period=1.0, suspicion_multiplier=SHORT_SUSPICION), seed, make_protocol=make
    )
    fleet.adopt()
    slow = slow_spells(members, 0.05, periods, seed)
    for member, spells in slow.items():
        for start, end in spells:
            fleet.schedule(start, fleet.suspend, member)
            fleet.schedule(end, fleet.resume, member)
    healthy_deaths = 0
    slow_deaths = 0
    names = {fleet.members[member].name for member in slow}

    def watch(_member: VirtualMember, change: MembershipChange) -> None:
        nonlocal healthy_deaths, slow_deaths
        if change.after is MemberState.DEAD:
            slow_deaths += change.entry.name in names
            healthy_deaths += change.entry.name not in names

    fleet.on_change = watch
    fleet.run(periods)
    return healthy_deaths, slow_deaths, fleet.bytes / members / periods


def measure_baselines(report: BenchmarkReport, seed: int) -> None:
    """Compare false deaths and bytes with both baselines."""
    members, periods = (40, 40.0) if report.short else (100, 120.0)
    ours = count_false_deaths(MembershipProtocol, members, periods, seed)
    plain = count_false_deaths(PlainSwim, members, periods, seed)
    beats = Heartbeats(members, seed, slow_spells(members, 0.05, periods, seed))
    beats.run(int(periods))
    beating = beats.bytes / members / periods
    report.record("against_members", members, f"members, one of twenty slow, {periods:.0f} periods")
    report.record(
        "against_healthy",
        f"{ours[0]} ours, {plain[0]} plain SWIM",
        "views in which a healthy member was dead",
    )
    report.record(
        "against_slow",
        f"{ours[1]} ours, {plain[1]} plain SWIM, {beats.false} heartbeats",
        "views in which a slow member was dead",
    )
    report.record(
        "against_bytes",
        f"{ours[2]:.0f} ours, {plain[2]:.0f} plain SWIM, {beating:.0f} heartbeats",
        "bytes a member and period",
    )
    report.check(ours[0] == 0, f"{ours[0]} healthy members were declared dead")
    report.check(ours[0] + ours[1] < plain[0] + plain[1], "plain SWIM has no more false deaths than ours")
    report.check(ours[2] < beating, "heartbeats to all cost no more than ours")
