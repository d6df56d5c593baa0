"""Datagrams byte by byte: what is written is read, what is spoilt is refused, what is newer is skipped."""

from __future__ import annotations

from random import Random
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.fleet.bed import Bed, address_of
from service_proxy.fleet import wire
from service_proxy.fleet.core import Core
from service_proxy.fleet.entries import Claim, Incarnation, Phase, Record, fleet_id, key_of
from service_proxy.fleet.guard import WINDOW, Numbers, Seals
from service_proxy.fleet.timing import Timing
from service_proxy.fleet.wire import MOST_DATAGRAM, Figures, Kind, Said, Section, Writer

NAMES = st.text(st.characters(whitelist_categories=["Lu", "Ll", "Nd"]), min_size=1, max_size=10)
SAIDS = st.builds(
    lambda name, run, life, beat, claim, phase, word, sure, zone: Said(
        key_of(name),
        Incarnation(run, life, beat),
        claim,
        phase,
        word,
        key_of("a") if claim is Claim.SUSPECT else b"",
        sure,
        Record(name, ("10.0.0.9", 7946), "portal", zone),
    ),
    NAMES,
    st.integers(1, (1 << 40) - 1),
    st.integers(0, 65535),
    st.integers(0, 65535),
    st.sampled_from(Claim),
    st.sampled_from(Phase),
    st.binary(max_size=24),
    st.booleans(),
    st.sampled_from(["", "a", "santiago-norte"]),
)


def datagram(*parts: bytes, kind: int = Kind.GOSSIP, number: int = 1, fleet: bytes = b"flee") -> bytes:
    return wire.write(
        cast(Kind, kind),
        fleet,
        key_of("p0"),
        Incarnation(5, 6, 7),
        number,
        1 << 63,
        Phase.DRAINING,
        wire.CHANGING,
        Figures(3, 70_000),
        parts,
    )


@given(SAIDS)
def test_what_is_said_is_read_as_it_was(said: Said) -> None:
    assert wire.unpack_record(wire.pack_record(said)) == said
    short = wire.unpack_update(wire.pack_update(said))
    assert (short.key, short.incarnation, short.claim, short.word) == (
        said.key,
        said.incarnation,
        said.claim,
        said.word,
    )


def test_a_whole_datagram() -> None:
    writer = Writer()
    assert writer.add(Section.PROBE, (77).to_bytes(4, "big"))
    data = Seals([b"k" * 16]).seal(datagram(*writer.parts))
    assert wire.peek(data) == (1, Kind.GOSSIP, b"flee") and len(data) <= MOST_DATAGRAM
    read = wire.read(data)
    assert read.incarnation == Incarnation(5, 6, 7) and read.number == 1 and read.digest == 1 << 63
    assert read.phase is Phase.DRAINING and read.changing and not read.minority
    assert read.figures == Figures(3, 70_000) and read.probe() == 77


@given(st.lists(st.integers(0, 255), max_size=40))
def test_a_writer_never_makes_a_datagram_that_is_too_long(sizes: list[int]) -> None:
    writer = Writer()
    for size in sizes:
        writer.add(Section.DATA, bytes(size))
    assert len(Seals().seal(datagram(*writer.parts))) <= MOST_DATAGRAM


def test_a_newer_version_is_read_as_far_as_it_is_known() -> None:
    """Two bytes more in the header, a section and a kind of its own: skipped, and the rest is heard."""
    said = Said(
        key_of("p9"),
        Incarnation(9, 9, 0),
        Claim.ALIVE,
        Phase.SERVING,
        record=Record("p9", ("10.0.0.9", 7946)),
    )
    writer = Writer()
    writer.parts += [bytes((199, 3)), b"new"]
    writer.said(said)
    plain = datagram(*writer.parts, fleet=fleet_id("fleet"))
    newer = bytes((2,)) + plain[1:6] + bytes((plain[6] + 2,)) + plain[7:39] + b"\x01\x02" + plain[39:]
    core = Core("fleet", Record("p1", ("10.0.0.1", 7946)), [], Timing(), 1, 0.0, 1e9)
    core.tick(0.1)
    core.datagram(0.2, ("10.0.0.2", 7946), Seals().seal(newer))
    assert key_of("p9") in core.table.entries and not core.counts.refused
    core.datagram(0.3, ("10.0.0.2", 7946), Seals().seal(datagram(kind=99, number=2, fleet=fleet_id("fleet"))))
    assert core.counts.refused == {"a newer version's kind": 1}


@pytest.mark.parametrize("keys", [(), (b"k" * 16,)])
def test_a_turned_bit_anywhere_is_found(keys: tuple[bytes, ...]) -> None:
    seals = Seals(keys)
    data = seals.seal(datagram())
    assert seals.holds(data)
    for place in range(len(data) * 8):
        spoilt = bytearray(data)
        spoilt[place // 8] ^= 1 << place % 8
        assert not seals.holds(bytes(spoilt))


def test_keys_are_rotated_and_strangers_keys_are_none() -> None:
    old = b"o" * 16
    new = b"n" * 16
    other = b"x" * 16
    data = Seals([old]).seal(datagram())
    assert Seals([new, old]).holds(data) and not Seals([new]).holds(data)
    assert not Seals([other]).holds(data) and not Seals().holds(data)


@given(st.lists(st.integers(1, 3 * WINDOW), max_size=200))
def test_a_number_is_taken_once_and_not_when_it_is_too_old(numbers: list[int]) -> None:
    window = Numbers()
    taken = set[int]()
    highest = 0
    for number in numbers:
        wanted = number not in taken and number > highest - WINDOW
        assert window.fresh(b"abcdef", (1, 1), number) == wanted
        if wanted:
            taken.add(number)
            highest = max(highest, number)


def test_fuzzed_datagrams_raise_nothing_and_no_answer_is_longer_than_its_question() -> None:
    """Garbage; then real ones of a fleet with bytes turned and the checksum made right again."""
    random = Random(1)
    seals = Seals()
    bed = Bed(6, Timing(), 1)
    kept: list[bytes] = []
    bed.network.seen = kept.append
    for number in range(6):
        bed.start(number)
    bed.run(4.0)
    core = bed.members[0].core
    assert core is not None and kept
    for number in range(6000):
        data = bytearray(random.choice(kept))
        if number % 3 == 0:
            data = bytearray(random.randbytes(random.randint(0, 300)))
        for _ in range(random.randint(0, 6)):
            if data:
                data[random.randrange(len(data))] = random.randrange(256)
        sent = bytes(data[:-8]) if number % 3 else bytes(data)
        sent = seals.seal(sent) if number % 3 else sent
        core.take()
        core.datagram(bed.now, address_of(1 + number % 5), sent)
        assert all(len(out) <= len(sent) for _, out in core.take().out)
    assert len(core.table.entries) < 2000 and core.counts.refused["malformed"] > 100
