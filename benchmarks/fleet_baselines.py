"""Comparison of the fleet's membership view with plain SWIM and with heartbeats to all members.

The comparison runs in virtual time and includes slow members.
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

SHORT_SUSPICION = 2.0  # Suspicion multiplier in periods, short enough that slow members are declared dead.


class FixedSuspicion(ProtocolTiming):
    """Protocol timing whose suspicions always last the minimum time, regardless of confirmations."""

    def suspicion_timeout(self, live_count: int, _confirmations: int) -> float:
        """Return the shortest suspicion in seconds."""
        return self.min_suspicion(live_count)


class PlainSwim(MembershipProtocol):
    """SWIM without the extensions of Lifeguard and of this program.

    It has no local health, no confirmations, no early notification of the suspect, no last probe, and no
    detection of its own stalls.
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
    """Baseline in which each member sends a heartbeat to all members in each period.

    A member that has been silent for more than SILENT_PERIODS is declared dead.
    """

    SILENT_PERIODS = 3.0
    HEARTBEAT_BYTES = 60  # Bytes of one heartbeat: name, incarnation, phase and checksum.

    def __init__(self, members: int, seed: int, slow: dict[int, list[tuple[float, float]]]) -> None:
        self.random = Random(seed)
        self.members = members
        self.slow = slow
        self.false_deaths = 0
        self.bytes = 0

    def run(self, periods: int) -> None:
        """Simulate the given number of periods."""
        last_heartbeat = [[0.0] * self.members for _ in range(self.members)]
        dead: set[tuple[int, int]] = set()
        for period in range(1, periods + 1):
            for sender in range(self.members):
                if self._is_suspended(sender, period):
                    continue
                for receiver in range(self.members):
                    if receiver != sender:
                        self.bytes += self.HEARTBEAT_BYTES
                        last_heartbeat[receiver][sender] = period
                        dead.discard((receiver, sender))
            for receiver in range(self.members):
                if self._is_suspended(receiver, period):
                    continue
                for sender in range(self.members):
                    silent = period - last_heartbeat[receiver][sender]
                    if sender != receiver and silent > self.SILENT_PERIODS and (receiver, sender) not in dead:
                        dead.add((receiver, sender))
                        self.false_deaths += 1

    def _is_suspended(self, member: int, at: float) -> bool:
        return any(start <= at < end for start, end in self.slow.get(member, ()))


# Start and end times of the suspensions, by member.
SuspensionsByMember = dict[int, list[tuple[float, float]]]


def suspensions_of_slow_members(members: int, share: float, periods: float, seed: int) -> SuspensionsByMember:
    """Return the suspensions of slow members, which are suspended most of the time, as if short of CPU."""
    random = Random(f"slow {seed}")
    suspensions_by_member: SuspensionsByMember = {}
    for member in random.sample(range(members), max(1, int(members * share))):
        at = random.uniform(0, 2)
        suspensions = []
        while at < periods:
            duration = random.uniform(0.3, 3.6)
            suspensions.append((at, at + duration))
            at += duration + random.uniform(0.05, 0.6)
        suspensions_by_member[member] = suspensions
    return suspensions_by_member


def count_false_deaths(
    make_protocol: Callable[..., MembershipProtocol], members: int, periods: float, seed: int
) -> tuple[int, int, float]:
    """Return the false deaths of healthy members and of slow members, and the bytes per member and period."""
    fleet = VirtualFleet(
        members,
        ProtocolTiming(period=1.0, suspicion_multiplier=SHORT_SUSPICION),
        seed,
        make_protocol=make_protocol,
    )
    fleet.adopt()
    slow = suspensions_of_slow_members(members, 0.05, periods, seed)
    for member, suspensions in slow.items():
        for start, end in suspensions:
            fleet.schedule(start, fleet.suspend, member)
            fleet.schedule(end, fleet.resume, member)
    healthy_deaths = 0
    slow_deaths = 0
    slow_names = {fleet.members[member].name for member in slow}

    def count_deaths(_member: VirtualMember, change: MembershipChange) -> None:
        nonlocal healthy_deaths, slow_deaths
        if change.after is MemberState.DEAD:
            slow_deaths += change.entry.name in slow_names
            healthy_deaths += change.entry.name not in slow_names

    fleet.on_change = count_deaths
    fleet.run(periods)
    return healthy_deaths, slow_deaths, fleet.bytes / members / periods


def measure_baselines(report: BenchmarkReport, seed: int) -> None:
    """Compare the false deaths and the bytes with both baselines."""
    members, periods = (40, 40.0) if report.short else (100, 120.0)
    ours = count_false_deaths(MembershipProtocol, members, periods, seed)
    plain_swim = count_false_deaths(PlainSwim, members, periods, seed)
    heartbeats = Heartbeats(members, seed, suspensions_of_slow_members(members, 0.05, periods, seed))
    heartbeats.run(int(periods))
    heartbeat_bytes = heartbeats.bytes / members / periods
    report.record("against_members", members, f"members, one in twenty slow, {periods:.0f} periods")
    report.record(
        "against_healthy",
        f"{ours[0]} ours, {plain_swim[0]} plain SWIM",
        "false deaths of healthy members, over all views",
    )
    report.record(
        "against_slow",
        f"{ours[1]} ours, {plain_swim[1]} plain SWIM, {heartbeats.false_deaths} heartbeats",
        "false deaths of slow members, over all views",
    )
    report.record(
        "against_bytes",
        f"{ours[2]:.0f} ours, {plain_swim[2]:.0f} plain SWIM, {heartbeat_bytes:.0f} heartbeats",
        "bytes per member and period",
    )
    report.check(ours[0] == 0, f"{ours[0]} healthy members were declared dead")
    report.check(
        ours[0] + ours[1] < plain_swim[0] + plain_swim[1],
        "ours doesn't have fewer false deaths than plain SWIM",
    )
    report.check(ours[2] < heartbeat_bytes, "ours doesn't send fewer bytes than heartbeats to all members")
