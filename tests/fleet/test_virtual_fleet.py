"""The protocol on cores in virtual time: incarnations, suspicion, joining, names, cuts, clocks."""

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
Take = Callable[[MembershipProtocol, float, tuple[str, int], bytes], None]


def core(member: VirtualMember) -> MembershipProtocol:
    assert member.protocol is not None
    return member.protocol


def grown(members: int, seed: int = 1, timing: ProtocolTiming = TIMING) -> VirtualFleet:
    """A fleet that has joined and settled."""
    bed = VirtualFleet(members, timing, seed)
    for number in range(members):
        bed.start(number)
    until(bed, bed.is_converged, 10)
    return bed


def until(bed: VirtualFleet, condition: object, periods: float) -> float:
    """Runs until it holds; how many periods that took."""
    begun = bed.now
    while not condition():  # type: ignore[operator]
        assert bed.now - begun < periods * bed.timing.period, "it never held"
        bed.run(bed.now + 0.1 * bed.timing.period)
    return (bed.now - begun) / bed.timing.period


def watch(bed: VirtualFleet) -> list[tuple[str, MembershipChange]]:
    seen: list[tuple[str, MembershipChange]] = []
    bed.on_change = lambda member, change: seen.append((member.name, change))
    return seen


@pytest.mark.parametrize("seed", range(3))
def test_two_hundred_join_at_once(seed: int) -> None:
    bed = VirtualFleet(60, TIMING, seed)
    for number in range(60):
        bed.start(number)
    assert until(bed, bed.is_converged, 10) < 6
    until(bed, lambda: all(core(member).is_settled() for member in bed.living), 20)


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[int, int, list[tuple[str, str]]]:
        bed = VirtualFleet(8, TIMING, 7)
        seen = watch(bed)
        for number in range(8):
            bed.schedule(0.1 * number, bed.start, number)
        bed.schedule(6.0, bed.kill, 3)
        bed.run(20.0)
        return bed.datagrams, bed.bytes, [(by, str(change.entry.incarnation)) for by, change in seen]

    assert run() == run()


def test_a_crash_is_known_to_all_and_only_then_counted() -> None:
    bed = grown(12)
    seen = watch(bed)
    bed.kill(5)
    took = until(bed, bed.is_converged, 12)
    assert took <= 3 + TIMING.max_suspicion(12)
    dead = {by for by, change in seen if change.after is MemberState.DEAD and change.entry.name == "p5"}
    assert len(dead) == 11
    until(bed, lambda: all(core(member).is_settled() for member in bed.living), 8)
    assert core(bed.members[0]).serving_member_count() == 11


def test_who_comes_back_within_its_suspicion_outranks_its_predecessor_with_a_clock_that_went_back() -> None:
    bed = grown(8)
    before = core(bed.members[2]).incarnation
    seen = watch(bed)
    bed.kill(2)
    until(bed, lambda: bed.states(2).get(MemberState.SUSPECT), 5)
    bed.members[2].wall_offset = -1e9  # s: into another century
    bed.start(2)
    until(bed, bed.is_converged, 10)
    now = core(bed.members[2]).incarnation
    assert now > before and now.nonce != before.nonce
    assert not [change for _, change in seen if change.after is MemberState.DEAD]
    # Nothing of the old one moves a view any more.
    view = core(bed.members[0]).table
    for claim in Claim:
        old = MemberUpdate(
            member_key("p2"),
            before.incremented(),
            claim,
            ServicePhase.SERVING,
            accuser=member_key("p3"),
            confirmed=True,
        )
        view.merge_update(bed.now, old, member_key("p3"))
    assert view.state(member_key("p2")) is MemberState.ALIVE


def test_leaving_is_no_death_and_is_known_at_once() -> None:
    bed = grown(10)
    seen = watch(bed)
    bed.leave(4)
    assert until(bed, bed.is_converged, 3) < 2
    assert {change.after for _, change in seen} == {MemberState.LEFT}
    assert not core(bed.members[0]).is_minority
    bed.run(bed.now + 10)
    assert not [change for _, change in seen if change.after is not MemberState.LEFT]


def test_the_dead_are_remembered_for_the_stated_time_and_let_go() -> None:
    bed = grown(5, timing=ProtocolTiming(period=1.0, tombstone_ttl=40.0))
    old = core(bed.members[1]).table.entries[member_key("p1")]
    bed.kill(1)
    until(bed, bed.is_converged, 10)
    view = core(bed.members[0]).table
    stale = MemberUpdate(old.key, old.incarnation, Claim.ALIVE, old.phase, record=old.record)
    bed.run(bed.now + 30)
    view.merge_update(bed.now, stale, member_key("p2"))
    assert view.state(old.key) is MemberState.DEAD
    bed.run(bed.now + 12)
    assert view.state(old.key) is MemberState.UNKNOWN and not view.tombstones


def test_a_first_member_is_alone_and_goes_on_asking() -> None:
    bed = VirtualFleet(4, TIMING, 3)
    lines: list[str] = []
    bed.on_log_line = lambda member, line: lines.append(line)
    bed.start(0)
    bed.run(60.0)
    first = core(bed.members[0])
    assert first.is_isolated and not first.is_settled() and first.status is MembershipStatus.MEMBER
    assert lines == [
        "join_unanswered attempts=3 reason=nobody answers; this member goes on alone and goes on asking"
    ]
    asked = bed.datagrams
    bed.run(80.0)
    assert bed.datagrams - asked <= 12  # of 3 addresses, one each two periods
    bed.start(2)
    assert until(bed, bed.is_converged, 12) <= 8


def test_two_sides_of_a_partition_go_on_and_come_together_without_a_false_death() -> None:
    bed = grown(14)
    seen = watch(bed)
    groups = [frozenset(range(9)), frozenset(range(9, 14))]
    bed.network.partitions.append(groups)
    large = bed.members[:9]
    small = bed.members[9:]
    until(bed, lambda: all(len(core(m).table) == 9 for m in large), 15)
    until(bed, lambda: all(len(core(m).table) == 5 for m in small), 15)
    assert not core(large[0]).is_minority and core(small[0]).is_minority
    bed.kill(0)
    until(bed, lambda: all(len(core(m).table) == 8 for m in large[1:]), 12)
    bed.start(0)
    until(bed, lambda: all(len(core(m).table) == 9 for m in large), 12)
    bed.network.partitions.clear()
    healed = len(seen)
    assert until(bed, bed.is_converged, 14) <= 10
    assert not [change for _, change in seen[healed:] if change.after is MemberState.DEAD]


def test_views_that_lost_all_gossip_are_made_equal_by_so_many_exchanges() -> None:
    """Anti-entropy alone: each side has 20 entries that the other lacks, and 5 in another incarnation. At
    most one question a part of the tree (17), and one for each three entries that go either way (17)."""
    made = []
    for me in range(2):
        made.append(
            MembershipProtocol("fleet", MemberRecord(f"p{me}", address_of(me)), [], TIMING, me + 1, 0.0, 1e9)
        )
        made[me].tick(0.0)
    one, other = made
    one.sync_requests_left = 1000
    for number in range(45):
        record = MemberRecord(f"far{number}", (f"10.9.0.{number}", 1))
        for side, mine, beat in ((one, number < 25, 0), (other, number >= 20, 3 if number < 25 else 0)):
            if mine:
                said = MemberUpdate(
                    member_key(record.name),
                    Incarnation(5, 1, beat),
                    Claim.ALIVE,
                    ServicePhase.SERVING,
                    record=record,
                )
                side.table.merge_update(0.0, said, side.key)
    one.take_effects(), other.take_effects()
    one._maybe_start_sync(other.key, other.record.address, other.table.digest, joining=True)
    one.tick(0.0)
    questions = 0
    for _ in range(100):
        for side, peer in ((one, other), (other, one)):
            for address, data in side.take_effects().datagrams:
                if address == peer.record.address:
                    questions += data[1] in (MessageType.DIGEST_REQUEST, MessageType.ENTRIES_REQUEST)
                    peer.receive_datagram(0.0, side.record.address, data)
    assert one.table.digest == other.table.digest and len(one.table) == 47
    assert 10 <= questions <= 34


def test_equal_views_ask_nothing() -> None:
    bed = grown(20)
    bed.run(bed.now + 30)
    kinds: list[int] = []
    bed.network.on_datagram = lambda data: kinds.append(data[1])
    bed.run(bed.now + 20)
    assert set(kinds) == {1, 2} and len(kinds) == pytest.approx(20 * 20 * 4, rel=0.02)


def test_loss_of_a_fifth_each_way_kills_nobody() -> None:
    bed = grown(40)
    seen = watch(bed)
    bed.network.default_faults = LinkFaults(loss=0.2)
    bed.run(bed.now + 40)
    assert not [change for _, change in seen if change.after is MemberState.DEAD]
    bed.network.default_faults = LinkFaults()
    assert until(bed, bed.is_converged, 12) <= 10


def test_a_member_that_stands_still_for_less_than_the_bound_is_not_dead_nor_buries_others() -> None:
    bed = grown(12)
    seen = watch(bed)
    bed.suspend(3)
    bed.run(bed.now + TIMING.min_suspicion(12) * 0.95)
    bed.resume(3)
    bed.run(bed.now + 12)
    assert bed.is_converged() and not [change for _, change in seen if change.after is MemberState.DEAD]
    bed.suspend(3)  # and one that stands still for a minute buries nobody, when it wakes
    until(bed, lambda: bed.states(3) == {MemberState.DEAD: 11}, 15)
    bed.run(bed.now + 60)
    seen.clear()
    bed.resume(3)
    until(bed, bed.is_converged, 12)
    assert not [change for by, change in seen if by == "p3" and change.after is MemberState.DEAD]


@pytest.mark.parametrize("jump", [-3600.0, 3600.0])
def test_a_clock_that_jumps_changes_nothing_for_others(jump: float) -> None:
    bed = grown(8)
    seen = watch(bed)
    bed.adjust_clock(4, monotonic=jump, wall=jump)
    bed.run(bed.now + 15)
    assert bed.is_converged() and not [change for _, change in seen if change.after is MemberState.DEAD]
    assert all(core(member).is_settled() for member in bed.living)


def test_a_one_way_cut_is_named_for_what_it_is() -> None:
    bed = grown(10)
    seen = watch(bed)
    lines: list[tuple[str, str]] = []
    bed.on_log_line = lambda member, line: lines.append((member.name, line))
    bed.network.cut([2], [7])
    named = ("p2", "path_degraded member=p7 path=we hear it, and it does not hear us")
    until(bed, lambda: named in lines, 60)
    bed.network.cut([2], [7], -1)
    until(bed, lambda: ("p2", "path_restored member=p7") in lines, 60)
    assert not [change for _, change in seen if change.after is MemberState.DEAD]


def test_the_name_of_a_living_member_is_not_taken_and_both_are_told() -> None:
    bed = grown(6)
    bed.leave(5)
    lines: list[tuple[int, str]] = []
    bed.on_log_line = lambda member, line: lines.append((member.number, line))
    holder = core(bed.members[2]).incarnation
    bed.start(5, "p2")
    newcomer = core(bed.members[5])
    until(bed, lambda: newcomer.status is MembershipStatus.CONFLICT, 12)
    bed.run(bed.now + 60)
    assert newcomer.status in (
        MembershipStatus.CONFLICT,
        MembershipStatus.JOINING,
        MembershipStatus.CONTESTING,
    )
    assert core(bed.members[2]).incarnation == holder  # nothing flaps
    assert (
        len([line for number, line in lines if number == 5 and "name_conflict name=p2 holder=" in line]) == 1
    )
    assert (
        len([line for number, line in lines if number == 2 and "name_requested name=p2 address=" in line])
        == 1
    )
    bed.kill(2)  # the holder is gone: the name is free
    until(bed, lambda: newcomer.status is MembershipStatus.MEMBER, 40)


def test_two_that_took_one_name_apart_end_as_one() -> None:
    bed = grown(8)
    bed.leave(7)
    bed.network.partitions.append([frozenset((0, 1, 2, 3)), frozenset((4, 5, 6, 7))])
    until(bed, lambda: len(core(bed.members[4]).table) == 3, 15)
    bed.start(7, "p1")
    until(bed, lambda: len(core(bed.members[4]).table) == 4, 15)
    bed.network.partitions.clear()
    both = [bed.members[1], bed.members[7]]
    until(bed, lambda: sorted(core(m).status is MembershipStatus.CONFLICT for m in both) == [False, True], 60)
    bed.run(bed.now + 20)
    before = {m.name: core(m).incarnation for m in bed.members[:7] if m.number != 1}
    bed.run(bed.now + 40)
    assert {m.name: core(m).incarnation for m in bed.members[:7] if m.number != 1} == before
    assert [core(m).status for m in both].count(MembershipStatus.MEMBER) == 1


def test_a_member_of_the_next_version_lives_among_these() -> None:
    """It writes a section that nobody here knows, and version 2 at its head."""

    class Newer(MembershipProtocol):
        def receive_datagram(self, now: float, source: tuple[str, int], data: bytes) -> None:
            super().receive_datagram(now, source, data)

        def _send_datagram(self, address: tuple[str, int], kind: object, writer: object) -> None:
            writer.add_section(99, b"n+1")  # type: ignore[attr-defined]
            super()._send_datagram(address, kind, writer)  # type: ignore[arg-type]
            to, data = self.outbox[-1]
            self.outbox[-1] = to, self.authenticator.seal(b"\x02" + data[1:-8])

    bed = VirtualFleet(6, TIMING, 1)
    for number in range(6):
        bed.make_protocol = Newer if number == 4 else MembershipProtocol
        bed.start(number)
    until(bed, bed.is_converged, 10)
    bed.run(bed.now + 20)
    assert bed.is_converged() and all(core(member).is_settled() for member in bed.living)


def test_the_timer_of_a_suspicion_that_was_denied_ends_no_later_one() -> None:
    """A partition that flaps: each suspicion is denied, and the next begins before the last one's timer."""
    bed = grown(9)
    seen = watch(bed)
    groups = [frozenset(range(5)), frozenset(range(5, 9))]
    for turn in range(12):
        bed.schedule(bed.now + 4.0 * turn, bed.network.partitions.append, groups)
        bed.schedule(bed.now + 4.0 * turn + 2.0, bed.network.partitions.remove, groups)
    bed.run(bed.now + 60.0)
    assert [change for _, change in seen if change.after is MemberState.SUSPECT]
    assert not [change for _, change in seen if change.after is MemberState.DEAD]


def test_who_remembers_a_predecessor_as_dead_is_told_of_its_successor() -> None:
    """A process that joined anew on its side of a partition; the others know only that another died."""
    bed = grown(5)
    bed.kill(2)
    until(bed, lambda: bed.states(2) == {MemberState.DEAD: 4}, 12)
    others = [core(m).table for m in bed.members if m.number != 2]
    memory = {id(table): dict(table.tombstones) for table in others}
    bed.start(2)
    until(bed, bed.is_converged, 12)
    bed.run(bed.now + 15)  # all gossip is over
    for table in others:  # as if none of them had ever heard the new one
        entry = table.entries[member_key("p2")]
        table._bury(bed.now, entry, MemberState.DEAD)
        table.tombstones = memory[id(table)]
    bed.run(bed.now + 12)
    assert bed.is_converged()


def test_a_clock_that_leaps_ahead_does_not_make_the_dead_forgotten() -> None:
    bed = grown(6)
    bed.kill(1)
    until(bed, bed.is_converged, 12)
    before = bed.members[3]
    bed.adjust_clock(3, monotonic=3600.0)
    bed.run(bed.now + 3)
    assert core(before).table.state(member_key("p1")) is MemberState.DEAD


def test_no_member_ever_answers_with_more_than_came() -> None:
    """Through joins, a cut, losses, a crash and a restart; also who answers in another's stead."""
    bed = VirtualFleet(8, TIMING, 2)
    longer: list[tuple[int, int, int]] = []
    kinds: set[int] = set()
    for number in range(8):
        bed.start(number)

        def measured(
            now: float,
            source: tuple[str, int],
            data: bytes,
            number: int = number,
            take: Take = MembershipProtocol.receive_datagram,
        ) -> None:
            heard = core(bed.members[number])
            before = len(heard.outbox)
            take(heard, now, source, data)
            kinds.add(data[1])
            sizes = [len(out) for _, out in heard.outbox[before:]]
            longer.extend((data[1], len(data), size) for size in sizes if size > len(data))

        core(bed.members[number]).receive_datagram = measured  # type: ignore[method-assign]
    bed.network.cut([2], [5])
    bed.schedule(8.0, bed.kill, 1)
    bed.schedule(16.0, bed.start, 1)
    bed.run(10.0)
    bed.network.default_faults = LinkFaults(loss=0.2)
    bed.run(30.0)
    assert (
        MessageType.INDIRECT_PING in kinds
        and MessageType.ENTRIES_REPLY in kinds
        and MessageType.JOIN_REPLY in kinds
    )
    assert longer == []


def test_who_knows_only_the_address_of_all_finds_the_others_at_once_and_later() -> None:
    bed = VirtualFleet(30, TIMING, 3, use_seeds=False)
    bed.start(7)
    bed.run(20)
    assert core(bed.members[7]).is_isolated and not core(bed.members[7]).is_settled()
    for number in range(30):
        if number != 7:
            bed.start(number)
    until(bed, bed.is_converged, 25)
    before = bed.datagrams
    bed.kill(7)
    until(bed, bed.is_converged, 25)
    counted: list[bytes] = []
    bed.network.on_datagram = lambda data: counted.append(data) if data[1] == MessageType.JOIN_REPLY else None
    bed.start(7)
    until(bed, bed.is_converged, 20)
    assert bed.datagrams > before and 1 <= len(counted) <= 24  # some answer, not all
