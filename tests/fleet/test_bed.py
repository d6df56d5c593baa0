"""The protocol on cores in virtual time: incarnations, suspicion, joining, names, cuts, clocks."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from harness.fleet.bed import Bed, Member, address_of
from harness.fleet.network import Weather
from service_proxy.fleet.core import Core
from service_proxy.fleet.entries import Claim, Incarnation, Phase, Record, key_of
from service_proxy.fleet.identity import Standing
from service_proxy.fleet.states import State
from service_proxy.fleet.table import Change
from service_proxy.fleet.timing import Timing
from service_proxy.fleet.wire import Kind, Said

TIMING = Timing(period=1.0)
Take = Callable[[Core, float, tuple[str, int], bytes], None]


def core(member: Member) -> Core:
    assert member.core is not None
    return member.core


def grown(members: int, seed: int = 1, timing: Timing = TIMING) -> Bed:
    """A fleet that has joined and settled."""
    bed = Bed(members, timing, seed)
    for number in range(members):
        bed.start(number)
    until(bed, bed.right, 10)
    return bed


def until(bed: Bed, condition: object, periods: float) -> float:
    """Runs until it holds; how many periods that took."""
    begun = bed.now
    while not condition():  # type: ignore[operator]
        assert bed.now - begun < periods * bed.timing.period, "it never held"
        bed.run(bed.now + 0.1 * bed.timing.period)
    return (bed.now - begun) / bed.timing.period


def watch(bed: Bed) -> list[tuple[str, Change]]:
    seen: list[tuple[str, Change]] = []
    bed.watch = lambda member, change: seen.append((member.name, change))
    return seen


@pytest.mark.parametrize("seed", range(3))
def test_two_hundred_join_at_once(seed: int) -> None:
    bed = Bed(60, TIMING, seed)
    for number in range(60):
        bed.start(number)
    assert until(bed, bed.right, 10) < 6
    until(bed, lambda: all(core(member).settled() for member in bed.living), 20)


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> tuple[int, int, list[tuple[str, str]]]:
        bed = Bed(8, TIMING, 7)
        seen = watch(bed)
        for number in range(8):
            bed.call(0.1 * number, bed.start, number)
        bed.call(6.0, bed.kill, 3)
        bed.run(20.0)
        return bed.datagrams, bed.bytes, [(by, str(change.entry.incarnation)) for by, change in seen]

    assert run() == run()


def test_a_crash_is_known_to_all_and_only_then_counted() -> None:
    bed = grown(12)
    seen = watch(bed)
    bed.kill(5)
    took = until(bed, bed.right, 12)
    assert took <= 3 + TIMING.longest(12)
    dead = {by for by, change in seen if change.after is State.DEAD and change.entry.name == "p5"}
    assert len(dead) == 11
    until(bed, lambda: all(core(member).settled() for member in bed.living), 8)
    assert core(bed.members[0]).instances() == 11


def test_who_comes_back_within_its_suspicion_outranks_its_predecessor_with_a_clock_that_went_back() -> None:
    bed = grown(8)
    before = core(bed.members[2]).incarnation
    seen = watch(bed)
    bed.kill(2)
    until(bed, lambda: bed.states(2).get(State.SUSPECT), 5)
    bed.members[2].wall = -1e9  # s: into another century
    bed.start(2)
    until(bed, bed.right, 10)
    now = core(bed.members[2]).incarnation
    assert now > before and now.life != before.life
    assert not [change for _, change in seen if change.after is State.DEAD]
    # Nothing of the old one moves a view any more.
    view = core(bed.members[0]).table
    for claim in Claim:
        old = Said(key_of("p2"), before.next(), claim, Phase.SERVING, accuser=key_of("p3"), sure=True)
        view.hear(bed.now, old, key_of("p3"))
    assert view.state(key_of("p2")) is State.ALIVE


def test_leaving_is_no_death_and_is_known_at_once() -> None:
    bed = grown(10)
    seen = watch(bed)
    bed.leave(4)
    assert until(bed, bed.right, 3) < 2
    assert {change.after for _, change in seen} == {State.LEFT}
    assert not core(bed.members[0]).minority
    bed.run(bed.now + 10)
    assert not [change for _, change in seen if change.after is not State.LEFT]


def test_the_dead_are_remembered_for_the_stated_time_and_let_go() -> None:
    bed = grown(5, timing=Timing(period=1.0, memory=40.0))
    old = core(bed.members[1]).table.entries[key_of("p1")]
    bed.kill(1)
    until(bed, bed.right, 10)
    view = core(bed.members[0]).table
    stale = Said(old.key, old.incarnation, Claim.ALIVE, old.phase, record=old.record)
    bed.run(bed.now + 30)
    view.hear(bed.now, stale, key_of("p2"))
    assert view.state(old.key) is State.DEAD
    bed.run(bed.now + 12)
    assert view.state(old.key) is State.UNKNOWN and not view.gone


def test_a_first_member_is_alone_and_goes_on_asking() -> None:
    bed = Bed(4, TIMING, 3)
    lines: list[str] = []
    bed.tell = lambda member, line: lines.append(line)
    bed.start(0)
    bed.run(60.0)
    first = core(bed.members[0])
    assert first.alone and not first.settled() and first.standing is Standing.MEMBER
    assert lines == ["nobody answers: goes on alone, and goes on asking"]
    asked = bed.datagrams
    bed.run(80.0)
    assert bed.datagrams - asked <= 12  # of 3 addresses, one each two periods
    bed.start(2)
    assert until(bed, bed.right, 12) <= 8


def test_two_sides_of_a_partition_go_on_and_come_together_without_a_false_death() -> None:
    bed = grown(14)
    seen = watch(bed)
    groups = [frozenset(range(9)), frozenset(range(9, 14))]
    bed.network.parts.append(groups)
    large = bed.members[:9]
    small = bed.members[9:]
    until(bed, lambda: all(len(core(m).table) == 9 for m in large), 15)
    until(bed, lambda: all(len(core(m).table) == 5 for m in small), 15)
    assert not core(large[0]).minority and core(small[0]).minority
    bed.kill(0)
    until(bed, lambda: all(len(core(m).table) == 8 for m in large[1:]), 12)
    bed.start(0)
    until(bed, lambda: all(len(core(m).table) == 9 for m in large), 12)
    bed.network.parts.clear()
    healed = len(seen)
    assert until(bed, bed.right, 14) <= 10
    assert not [change for _, change in seen[healed:] if change.after is State.DEAD]


def test_views_that_lost_all_gossip_are_made_equal_by_so_many_exchanges() -> None:
    """Anti-entropy alone: each side has 20 entries that the other lacks, and 5 in another incarnation. At
    most one question a part of the tree (17), and one for each three entries that go either way (17)."""
    made = []
    for me in range(2):
        made.append(Core("fleet", Record(f"p{me}", address_of(me)), [], TIMING, me + 1, 0.0, 1e9))
        made[me].tick(0.0)
    one, other = made
    one.exchanges = 1000
    for number in range(45):
        record = Record(f"far{number}", (f"10.9.0.{number}", 1))
        for side, mine, beat in ((one, number < 25, 0), (other, number >= 20, 3 if number < 25 else 0)):
            if mine:
                said = Said(
                    key_of(record.name), Incarnation(5, 1, beat), Claim.ALIVE, Phase.SERVING, record=record
                )
                side.table.hear(0.0, said, side.key)
    one.take(), other.take()
    one._compare(other.key, other.record.address, other.table.digest, young=True)
    one.tick(0.0)
    questions = 0
    for _ in range(100):
        for side, peer in ((one, other), (other, one)):
            for address, data in side.take().out:
                if address == peer.record.address:
                    questions += data[1] in (Kind.TREE, Kind.LEAVES)
                    peer.datagram(0.0, side.record.address, data)
    assert one.table.digest == other.table.digest and len(one.table) == 47
    assert 10 <= questions <= 34


def test_equal_views_ask_nothing() -> None:
    bed = grown(20)
    bed.run(bed.now + 30)
    kinds: list[int] = []
    bed.network.seen = lambda data: kinds.append(data[1])
    bed.run(bed.now + 20)
    assert set(kinds) == {1, 2} and len(kinds) == pytest.approx(20 * 20 * 4, rel=0.02)


def test_loss_of_a_fifth_each_way_kills_nobody() -> None:
    bed = grown(40)
    seen = watch(bed)
    bed.network.everywhere = Weather(loss=0.2)
    bed.run(bed.now + 40)
    assert not [change for _, change in seen if change.after is State.DEAD]
    bed.network.everywhere = Weather()
    assert until(bed, bed.right, 12) <= 10


def test_a_member_that_stands_still_for_less_than_the_bound_is_not_dead_nor_buries_others() -> None:
    bed = grown(12)
    seen = watch(bed)
    bed.stop(3)
    bed.run(bed.now + TIMING.shortest(12) * 0.95)
    bed.go_on(3)
    bed.run(bed.now + 12)
    assert bed.right() and not [change for _, change in seen if change.after is State.DEAD]
    bed.stop(3)  # and one that stands still for a minute buries nobody, when it wakes
    until(bed, lambda: bed.states(3) == {State.DEAD: 11}, 15)
    bed.run(bed.now + 60)
    seen.clear()
    bed.go_on(3)
    until(bed, bed.right, 12)
    assert not [change for by, change in seen if by == "p3" and change.after is State.DEAD]


@pytest.mark.parametrize("jump", [-3600.0, 3600.0])
def test_a_clock_that_jumps_changes_nothing_for_others(jump: float) -> None:
    bed = grown(8)
    seen = watch(bed)
    bed.turn_clock(4, monotonic=jump, wall=jump)
    bed.run(bed.now + 15)
    assert bed.right() and not [change for _, change in seen if change.after is State.DEAD]
    assert all(core(member).settled() for member in bed.living)


def test_a_one_way_cut_is_named_for_what_it_is() -> None:
    bed = grown(10)
    seen = watch(bed)
    lines: list[tuple[str, str]] = []
    bed.tell = lambda member, line: lines.append((member.name, line))
    bed.network.cut([2], [7])
    named = ("p2", "p7: we hear it, and it does not hear us")
    until(bed, lambda: named in lines, 60)
    bed.network.cut([2], [7], -1)
    until(bed, lambda: ("p2", "p7: reached directly again") in lines, 60)
    assert not [change for _, change in seen if change.after is State.DEAD]


def test_the_name_of_a_living_member_is_not_taken_and_both_are_told() -> None:
    bed = grown(6)
    bed.leave(5)
    lines: list[tuple[int, str]] = []
    bed.tell = lambda member, line: lines.append((member.number, line))
    holder = core(bed.members[2]).incarnation
    bed.start(5, "p2")
    newcomer = core(bed.members[5])
    until(bed, lambda: newcomer.standing is Standing.CONFLICT, 12)
    bed.run(bed.now + 60)
    assert newcomer.standing in (Standing.CONFLICT, Standing.JOINING, Standing.CONTEST)
    assert core(bed.members[2]).incarnation == holder  # nothing flaps
    assert len([line for number, line in lines if number == 5 and "held by a living process" in line]) == 1
    assert len([line for number, line in lines if number == 2 and "wants the name p2" in line]) == 1
    bed.kill(2)  # the holder is gone: the name is free
    until(bed, lambda: newcomer.standing is Standing.MEMBER, 40)


def test_two_that_took_one_name_apart_end_as_one() -> None:
    bed = grown(8)
    bed.leave(7)
    bed.network.parts.append([frozenset((0, 1, 2, 3)), frozenset((4, 5, 6, 7))])
    until(bed, lambda: len(core(bed.members[4]).table) == 3, 15)
    bed.start(7, "p1")
    until(bed, lambda: len(core(bed.members[4]).table) == 4, 15)
    bed.network.parts.clear()
    both = [bed.members[1], bed.members[7]]
    until(bed, lambda: sorted(core(m).standing is Standing.CONFLICT for m in both) == [False, True], 60)
    bed.run(bed.now + 20)
    before = {m.name: core(m).incarnation for m in bed.members[:7] if m.number != 1}
    bed.run(bed.now + 40)
    assert {m.name: core(m).incarnation for m in bed.members[:7] if m.number != 1} == before
    assert [core(m).standing for m in both].count(Standing.MEMBER) == 1


def test_a_member_of_the_next_version_lives_among_these() -> None:
    """It writes a section that nobody here knows, and version 2 at its head."""

    class Newer(Core):
        def datagram(self, now: float, source: tuple[str, int], data: bytes) -> None:
            super().datagram(now, source, data)

        def _send(self, address: tuple[str, int], kind: object, writer: object) -> None:
            writer.add(99, b"n+1")  # type: ignore[attr-defined]
            super()._send(address, kind, writer)  # type: ignore[arg-type]
            to, data = self.out[-1]
            self.out[-1] = to, self.seals.seal(b"\x02" + data[1:-8])

    bed = Bed(6, TIMING, 1)
    for number in range(6):
        bed.make = Newer if number == 4 else Core
        bed.start(number)
    until(bed, bed.right, 10)
    bed.run(bed.now + 20)
    assert bed.right() and all(core(member).settled() for member in bed.living)


def test_the_timer_of_a_suspicion_that_was_denied_ends_no_later_one() -> None:
    """A partition that flaps: each suspicion is denied, and the next begins before the last one's timer."""
    bed = grown(9)
    seen = watch(bed)
    groups = [frozenset(range(5)), frozenset(range(5, 9))]
    for turn in range(12):
        bed.call(bed.now + 4.0 * turn, bed.network.parts.append, groups)
        bed.call(bed.now + 4.0 * turn + 2.0, bed.network.parts.remove, groups)
    bed.run(bed.now + 60.0)
    assert [change for _, change in seen if change.after is State.SUSPECT]
    assert not [change for _, change in seen if change.after is State.DEAD]


def test_who_remembers_a_predecessor_as_dead_is_told_of_its_successor() -> None:
    """A process that joined anew on its side of a partition; the others know only that another died."""
    bed = grown(5)
    bed.kill(2)
    until(bed, lambda: bed.states(2) == {State.DEAD: 4}, 12)
    others = [core(m).table for m in bed.members if m.number != 2]
    memory = {id(table): dict(table.gone) for table in others}
    bed.start(2)
    until(bed, bed.right, 12)
    bed.run(bed.now + 15)  # all gossip is over
    for table in others:  # as if none of them had ever heard the new one
        entry = table.entries[key_of("p2")]
        table._go(bed.now, entry, State.DEAD)
        table.gone = memory[id(table)]
    bed.run(bed.now + 12)
    assert bed.right()


def test_a_clock_that_leaps_ahead_does_not_make_the_dead_forgotten() -> None:
    bed = grown(6)
    bed.kill(1)
    until(bed, bed.right, 12)
    before = bed.members[3]
    bed.turn_clock(3, monotonic=3600.0)
    bed.run(bed.now + 3)
    assert core(before).table.state(key_of("p1")) is State.DEAD


def test_no_member_ever_answers_with_more_than_came() -> None:
    """Through joins, a cut, losses, a crash and a restart; also who answers in another's stead."""
    bed = Bed(8, TIMING, 2)
    longer: list[tuple[int, int, int]] = []
    kinds: set[int] = set()
    for number in range(8):
        bed.start(number)

        def measured(
            now: float, source: tuple[str, int], data: bytes, number: int = number, take: Take = Core.datagram
        ) -> None:
            heard = core(bed.members[number])
            before = len(heard.out)
            take(heard, now, source, data)
            kinds.add(data[1])
            sizes = [len(out) for _, out in heard.out[before:]]
            longer.extend((data[1], len(data), size) for size in sizes if size > len(data))

        core(bed.members[number]).datagram = measured  # type: ignore[method-assign]
    bed.network.cut([2], [5])
    bed.call(8.0, bed.kill, 1)
    bed.call(16.0, bed.start, 1)
    bed.run(10.0)
    bed.network.everywhere = Weather(loss=0.2)
    bed.run(30.0)
    assert Kind.ASK in kinds and Kind.RECORDS in kinds and Kind.WELCOME in kinds
    assert longer == []


def test_who_knows_only_the_address_of_all_finds_the_others_at_once_and_later() -> None:
    bed = Bed(30, TIMING, 3, named=False)
    bed.start(7)
    bed.run(20)
    assert core(bed.members[7]).alone and not core(bed.members[7]).settled()
    for number in range(30):
        if number != 7:
            bed.start(number)
    until(bed, bed.right, 25)
    before = bed.datagrams
    bed.kill(7)
    until(bed, bed.right, 25)
    counted: list[bytes] = []
    bed.network.seen = lambda data: counted.append(data) if data[1] == Kind.WELCOME else None
    bed.start(7)
    until(bed, bed.right, 20)
    assert bed.datagrams > before and 1 <= len(counted) <= 24  # some answer, not all
