"""The membership protocol in virtual time: incarnations, suspicions, joins, names, partitions and clocks."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from harness.fleet.network import LinkFaults
from harness.fleet.virtual_fleet import VirtualFleet, VirtualMember, address_of
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.members import Claim, Incarnation, MemberRecord, ServicePhase, member_key
from service_proxy.fleet.name_ownership import MembershipStatus
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.wire import MemberUpdate, MessageType

TIMING = ProtocolTiming(period=1.0)
ReceiveDatagram = Callable[[MembershipProtocol, float, tuple[str, int], bytes], None]


def protocol_of(member: VirtualMember) -> MembershipProtocol:
    assert member.protocol is not None
    return member.protocol


def converged_fleet(members: int, seed: int = 1, timing: ProtocolTiming = TIMING) -> VirtualFleet:
    """Return a fleet whose members have joined and have equal views."""
    fleet = VirtualFleet(members, timing, seed)
    for number in range(members):
        fleet.start(number)
    until(fleet, fleet.is_converged, 10)
    return fleet


def until(fleet: VirtualFleet, condition: object, periods: float) -> float:
    """Run the fleet until the condition holds; return the number of periods that this took."""
    started_at = fleet.now
    while not condition():  # type: ignore[operator]
        assert (
            fleet.now - started_at < periods * fleet.timing.period
        ), "the condition did not become true in time"
        fleet.run(fleet.now + 0.1 * fleet.timing.period)
    return (fleet.now - started_at) / fleet.timing.period


def record_changes(fleet: VirtualFleet) -> list[tuple[str, MembershipChange]]:
    changes: list[tuple[str, MembershipChange]] = []
    fleet.on_change = lambda member, change: changes.append((member.name, change))
    return changes


@pytest.mark.parametrize("seed", range(3))
def test_sixty_members_join_at_once(seed: int) -> None:
    fleet = VirtualFleet(60, TIMING, seed)
    for number in range(60):
        fleet.start(number)
    assert until(fleet, fleet.is_converged, 10) < 6
    until(fleet, lambda: all(protocol_of(member).is_settled() for member in fleet.living), 20)


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[int, int, list[tuple[str, str]]]:
        fleet = VirtualFleet(8, TIMING, 7)
        changes = record_changes(fleet)
        for number in range(8):
            fleet.schedule(0.1 * number, fleet.start, number)
        fleet.schedule(6.0, fleet.kill, 3)
        fleet.run(20.0)
        return (
            fleet.datagrams,
            fleet.bytes,
            [(observer, str(change.entry.incarnation)) for observer, change in changes],
        )

    assert run() == run()


def test_a_crash_is_recorded_by_all_members_and_only_then_changes_the_proxy_count() -> None:
    fleet = converged_fleet(12)
    changes = record_changes(fleet)
    fleet.kill(5)
    periods = until(fleet, fleet.is_converged, 12)
    assert periods <= 3 + TIMING.max_suspicion(12)
    dead = {
        observer
        for observer, change in changes
        if change.after is MemberState.DEAD and change.entry.name == "p5"
    }
    assert len(dead) == 11
    until(fleet, lambda: all(protocol_of(member).is_settled() for member in fleet.living), 8)
    assert protocol_of(fleet.members[0]).serving_member_count() == 11


def test_a_restart_within_the_suspicion_outranks_its_predecessor_although_its_clock_went_back() -> None:
    fleet = converged_fleet(8)
    before = protocol_of(fleet.members[2]).incarnation
    changes = record_changes(fleet)
    fleet.kill(2)
    until(fleet, lambda: fleet.states(2).get(MemberState.SUSPECT), 5)
    fleet.members[2].wall_offset = -1e9  # Moves the clock back by 1e9 s.
    fleet.start(2)
    until(fleet, fleet.is_converged, 10)
    now = protocol_of(fleet.members[2]).incarnation
    assert now > before and now.nonce != before.nonce
    assert not [change for _, change in changes if change.after is MemberState.DEAD]
    # Claims about the old incarnation no longer change a view.
    view = protocol_of(fleet.members[0]).table
    for claim in Claim:
        old = MemberUpdate(
            member_key("p2"),
            before.incremented(),
            claim,
            ServicePhase.SERVING,
            accuser=member_key("p3"),
            confirmed=True,
        )
        view.merge_update(fleet.now, old, member_key("p3"))
    assert view.state(member_key("p2")) is MemberState.ALIVE


def test_a_leave_is_recorded_by_all_members_at_once_and_not_as_a_death() -> None:
    fleet = converged_fleet(10)
    changes = record_changes(fleet)
    fleet.leave(4)
    assert until(fleet, fleet.is_converged, 3) < 2
    assert {change.after for _, change in changes} == {MemberState.LEFT}
    assert not protocol_of(fleet.members[0]).is_minority
    fleet.run(fleet.now + 10)
    assert not [change for _, change in changes if change.after is not MemberState.LEFT]


def test_tombstones_of_the_dead_expire_after_their_time_to_live() -> None:
    fleet = converged_fleet(5, timing=ProtocolTiming(period=1.0, tombstone_ttl=40.0))
    old = protocol_of(fleet.members[1]).table.entries[member_key("p1")]
    fleet.kill(1)
    until(fleet, fleet.is_converged, 10)
    view = protocol_of(fleet.members[0]).table
    stale = MemberUpdate(old.key, old.incarnation, Claim.ALIVE, old.phase, record=old.record)
    fleet.run(fleet.now + 30)
    view.merge_update(fleet.now, stale, member_key("p2"))
    assert view.state(old.key) is MemberState.DEAD
    fleet.run(fleet.now + 12)
    assert view.state(old.key) is MemberState.UNKNOWN and not view.tombstones


def test_a_first_member_is_isolated_and_goes_on_trying_to_reach_others() -> None:
    fleet = VirtualFleet(4, TIMING, 3)
    lines: list[str] = []
    fleet.on_log_line = lambda member, line: lines.append(line)
    fleet.start(0)
    fleet.run(60.0)
    first = protocol_of(fleet.members[0])
    assert first.is_isolated and not first.is_settled() and first.status is MembershipStatus.MEMBER
    assert lines == [
        "join_unanswered attempts=3 reason=no member answers; this member starts alone and keeps trying"
    ]
    datagrams_before = fleet.datagrams
    fleet.run(80.0)
    assert fleet.datagrams - datagrams_before <= 12  # One of 3 addresses is tried every two periods.
    fleet.start(2)
    assert until(fleet, fleet.is_converged, 12) <= 8


def test_two_sides_of_a_partition_go_on_and_merge_without_a_false_death() -> None:
    fleet = converged_fleet(14)
    changes = record_changes(fleet)
    groups = [frozenset(range(9)), frozenset(range(9, 14))]
    fleet.network.partitions.append(groups)
    large = fleet.members[:9]
    small = fleet.members[9:]
    until(fleet, lambda: all(len(protocol_of(m).table) == 9 for m in large), 15)
    until(fleet, lambda: all(len(protocol_of(m).table) == 5 for m in small), 15)
    assert not protocol_of(large[0]).is_minority and protocol_of(small[0]).is_minority
    fleet.kill(0)
    until(fleet, lambda: all(len(protocol_of(m).table) == 8 for m in large[1:]), 12)
    fleet.start(0)
    until(fleet, lambda: all(len(protocol_of(m).table) == 9 for m in large), 12)
    fleet.network.partitions.clear()
    change_count_at_healing = len(changes)
    assert until(fleet, fleet.is_converged, 14) <= 10
    assert not [change for _, change in changes[change_count_at_healing:] if change.after is MemberState.DEAD]


def test_anti_entropy_makes_views_that_lost_all_gossip_equal_in_few_requests() -> None:
    """Without gossip, each side has 20 entries that the other side lacks and 5 in another incarnation.

    At most one request per part of the tree (17) and one per three entries in either direction (17) are
    needed.
    """
    protocols = []
    for me in range(2):
        protocols.append(
            MembershipProtocol("fleet", MemberRecord(f"p{me}", address_of(me)), [], TIMING, me + 1, 0.0, 1e9)
        )
        protocols[me].tick(0.0)
    one, other = protocols
    one.sync_requests_left = 1000
    for number in range(45):
        record = MemberRecord(f"far{number}", (f"10.9.0.{number}", 1))
        for side, is_local, version in (
            (one, number < 25, 0),
            (other, number >= 20, 3 if number < 25 else 0),
        ):
            if is_local:
                update = MemberUpdate(
                    member_key(record.name),
                    Incarnation(5, 1, version),
                    Claim.ALIVE,
                    ServicePhase.SERVING,
                    record=record,
                )
                side.table.merge_update(0.0, update, side.key)
    one.take_effects(), other.take_effects()
    one._maybe_start_sync(other.key, other.record.address, other.table.digest, joining=True)
    one.tick(0.0)
    requests = 0
    for _ in range(100):
        for side, peer in ((one, other), (other, one)):
            for address, data in side.take_effects().datagrams:
                if address == peer.record.address:
                    requests += data[1] in (MessageType.DIGEST_REQUEST, MessageType.ENTRIES_REQUEST)
                    peer.receive_datagram(0.0, side.record.address, data)
    assert one.table.digest == other.table.digest and len(one.table) == 47
    assert 10 <= requests <= 34


def test_equal_views_start_no_anti_entropy() -> None:
    fleet = converged_fleet(20)
    fleet.run(fleet.now + 30)
    message_types: list[int] = []
    fleet.network.on_datagram = lambda data: message_types.append(data[1])
    fleet.run(fleet.now + 20)
    assert set(message_types) == {1, 2} and len(message_types) == pytest.approx(20 * 20 * 4, rel=0.02)


def test_the_loss_of_a_fifth_of_the_datagrams_causes_no_death() -> None:
    fleet = converged_fleet(40)
    changes = record_changes(fleet)
    fleet.network.default_faults = LinkFaults(loss=0.2)
    fleet.run(fleet.now + 40)
    assert not [change for _, change in changes if change.after is MemberState.DEAD]
    fleet.network.default_faults = LinkFaults()
    assert until(fleet, fleet.is_converged, 12) <= 10


def test_a_member_that_stalls_for_less_than_the_bound_is_not_declared_dead_nor_declares_others_dead() -> None:
    fleet = converged_fleet(12)
    changes = record_changes(fleet)
    fleet.suspend(3)
    fleet.run(fleet.now + TIMING.min_suspicion(12) * 0.95)
    fleet.resume(3)
    fleet.run(fleet.now + 12)
    assert fleet.is_converged() and not [change for _, change in changes if change.after is MemberState.DEAD]
    fleet.suspend(3)  # A member that is stalled for a minute must not declare others dead after the stall.
    until(fleet, lambda: fleet.states(3) == {MemberState.DEAD: 11}, 15)
    fleet.run(fleet.now + 60)
    changes.clear()
    fleet.resume(3)
    until(fleet, fleet.is_converged, 12)
    assert not [
        change for observer, change in changes if observer == "p3" and change.after is MemberState.DEAD
    ]


@pytest.mark.parametrize("jump", [-3600.0, 3600.0])
def test_a_clock_that_jumps_changes_nothing_for_others(jump: float) -> None:
    fleet = converged_fleet(8)
    changes = record_changes(fleet)
    fleet.adjust_clock(4, monotonic=jump, wall=jump)
    fleet.run(fleet.now + 15)
    assert fleet.is_converged() and not [change for _, change in changes if change.after is MemberState.DEAD]
    assert all(protocol_of(member).is_settled() for member in fleet.living)


def test_a_one_way_cut_is_logged_with_its_direction() -> None:
    fleet = converged_fleet(10)
    changes = record_changes(fleet)
    lines: list[tuple[str, str]] = []
    fleet.on_log_line = lambda member, line: lines.append((member.name, line))
    fleet.network.cut([2], [7])
    path_line = ("p2", "path_degraded member=p7 path=we hear it, and it does not hear us")
    until(fleet, lambda: path_line in lines, 60)
    fleet.network.cut([2], [7], -1)
    until(fleet, lambda: ("p2", "path_restored member=p7") in lines, 60)
    assert not [change for _, change in changes if change.after is MemberState.DEAD]


def test_the_name_of_a_living_member_is_not_taken_and_both_processes_log_it() -> None:
    fleet = converged_fleet(6)
    fleet.leave(5)
    lines: list[tuple[int, str]] = []
    fleet.on_log_line = lambda member, line: lines.append((member.number, line))
    holder = protocol_of(fleet.members[2]).incarnation
    fleet.start(5, "p2")
    newcomer = protocol_of(fleet.members[5])
    until(fleet, lambda: newcomer.status is MembershipStatus.CONFLICT, 12)
    fleet.run(fleet.now + 60)
    assert newcomer.status in (
        MembershipStatus.CONFLICT,
        MembershipStatus.JOINING,
        MembershipStatus.CONTESTING,
    )
    assert protocol_of(fleet.members[2]).incarnation == holder  # The holder's incarnation does not change.
    assert (
        len([line for number, line in lines if number == 5 and "name_conflict name=p2 holder=" in line]) == 1
    )
    assert (
        len([line for number, line in lines if number == 2 and "name_requested name=p2 address=" in line])
        == 1
    )
    fleet.kill(2)  # After the holder's end the name is free.
    until(fleet, lambda: newcomer.status is MembershipStatus.MEMBER, 40)


def test_of_two_processes_that_took_one_name_during_a_partition_one_yields() -> None:
    fleet = converged_fleet(8)
    fleet.leave(7)
    fleet.network.partitions.append([frozenset((0, 1, 2, 3)), frozenset((4, 5, 6, 7))])
    until(fleet, lambda: len(protocol_of(fleet.members[4]).table) == 3, 15)
    fleet.start(7, "p1")
    until(fleet, lambda: len(protocol_of(fleet.members[4]).table) == 4, 15)
    fleet.network.partitions.clear()
    same_name_members = [fleet.members[1], fleet.members[7]]
    until(
        fleet,
        lambda: sorted(protocol_of(m).status is MembershipStatus.CONFLICT for m in same_name_members)
        == [False, True],
        60,
    )
    fleet.run(fleet.now + 20)
    before = {m.name: protocol_of(m).incarnation for m in fleet.members[:7] if m.number != 1}
    fleet.run(fleet.now + 40)
    assert {m.name: protocol_of(m).incarnation for m in fleet.members[:7] if m.number != 1} == before
    assert [protocol_of(m).status for m in same_name_members].count(MembershipStatus.MEMBER) == 1


def test_a_member_of_the_next_version_joins_members_of_this_version() -> None:
    """The newer member sends version 2 in the header and a section of unknown type."""

    class NextVersionProtocol(MembershipProtocol):
        def receive_datagram(self, now: float, source: tuple[str, int], data: bytes) -> None:
            super().receive_datagram(now, source, data)

        def _send_datagram(self, address: tuple[str, int], kind: object, writer: object) -> None:
            writer.add_section(99, b"n+1")  # type: ignore[attr-defined]
            super()._send_datagram(address, kind, writer)  # type: ignore[arg-type]
            to, data = self.outbox[-1]
            self.outbox[-1] = to, self.authenticator.seal(b"\x02" + data[1:-8])

    fleet = VirtualFleet(6, TIMING, 1)
    for number in range(6):
        fleet.make_protocol = NextVersionProtocol if number == 4 else MembershipProtocol
        fleet.start(number)
    until(fleet, fleet.is_converged, 10)
    fleet.run(fleet.now + 20)
    assert fleet.is_converged() and all(protocol_of(member).is_settled() for member in fleet.living)


def test_the_timer_of_a_refuted_suspicion_does_not_end_a_later_suspicion() -> None:
    """A partition flaps: each suspicion is refuted, and the next starts before the last one's timer fires."""
    fleet = converged_fleet(9)
    changes = record_changes(fleet)
    groups = [frozenset(range(5)), frozenset(range(5, 9))]
    for turn in range(12):
        fleet.schedule(fleet.now + 4.0 * turn, fleet.network.partitions.append, groups)
        fleet.schedule(fleet.now + 4.0 * turn + 2.0, fleet.network.partitions.remove, groups)
    fleet.run(fleet.now + 60.0)
    assert [change for _, change in changes if change.after is MemberState.SUSPECT]
    assert not [change for _, change in changes if change.after is MemberState.DEAD]


def test_a_view_with_a_tombstone_of_the_predecessor_adds_the_successor() -> None:
    """A process rejoined behind a partition; the other members have only its predecessor's tombstone."""
    fleet = converged_fleet(5)
    fleet.kill(2)
    until(fleet, lambda: fleet.states(2) == {MemberState.DEAD: 4}, 12)
    others = [protocol_of(m).table for m in fleet.members if m.number != 2]
    earlier_tombstones = {id(table): dict(table.tombstones) for table in others}
    fleet.start(2)
    until(fleet, fleet.is_converged, 12)
    fleet.run(fleet.now + 15)  # All gossip about the new process has ended.
    for table in others:  # Restores the views to the state before any datagram about the new process.
        entry = table.entries[member_key("p2")]
        table._add_tombstone(fleet.now, entry, MemberState.DEAD)
        table.tombstones = earlier_tombstones[id(table)]
    fleet.run(fleet.now + 12)
    assert fleet.is_converged()


def test_a_clock_that_jumps_ahead_expires_no_tombstones() -> None:
    fleet = converged_fleet(6)
    fleet.kill(1)
    until(fleet, fleet.is_converged, 12)
    before = fleet.members[3]
    fleet.adjust_clock(3, monotonic=3600.0)
    fleet.run(fleet.now + 3)
    assert protocol_of(before).table.state(member_key("p1")) is MemberState.DEAD


def test_no_answer_is_longer_than_its_request() -> None:
    """Covers joins, a cut, losses, a crash, a restart and indirect probes."""
    fleet = VirtualFleet(8, TIMING, 2)
    longer: list[tuple[int, int, int]] = []
    message_types: set[int] = set()
    for number in range(8):
        fleet.start(number)

        def receive_and_measure(
            now: float,
            source: tuple[str, int],
            data: bytes,
            number: int = number,
            receive: ReceiveDatagram = MembershipProtocol.receive_datagram,
        ) -> None:
            protocol = protocol_of(fleet.members[number])
            before = len(protocol.outbox)
            receive(protocol, now, source, data)
            message_types.add(data[1])
            sizes = [len(out) for _, out in protocol.outbox[before:]]
            longer.extend((data[1], len(data), size) for size in sizes if size > len(data))

        protocol_of(fleet.members[number]).receive_datagram = receive_and_measure  # type: ignore[method-assign]
    fleet.network.cut([2], [5])
    fleet.schedule(8.0, fleet.kill, 1)
    fleet.schedule(16.0, fleet.start, 1)
    fleet.run(10.0)
    fleet.network.default_faults = LinkFaults(loss=0.2)
    fleet.run(30.0)
    assert (
        MessageType.INDIRECT_PING in message_types
        and MessageType.ENTRIES_REPLY in message_types
        and MessageType.JOIN_REPLY in message_types
    )
    assert longer == []


def test_members_with_only_a_broadcast_address_find_one_another_at_start_and_after_a_restart() -> None:
    fleet = VirtualFleet(30, TIMING, 3, use_seeds=False)
    fleet.start(7)
    fleet.run(20)
    assert protocol_of(fleet.members[7]).is_isolated and not protocol_of(fleet.members[7]).is_settled()
    for number in range(30):
        if number != 7:
            fleet.start(number)
    until(fleet, fleet.is_converged, 25)
    before = fleet.datagrams
    fleet.kill(7)
    until(fleet, fleet.is_converged, 25)
    replies: list[bytes] = []
    fleet.network.on_datagram = (
        lambda data: replies.append(data) if data[1] == MessageType.JOIN_REPLY else None
    )
    fleet.start(7)
    until(fleet, fleet.is_converged, 20)
    assert fleet.datagrams > before and 1 <= len(replies) <= 24  # Some members reply, but not all.
