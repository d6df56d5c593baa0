"""Encoding, decoding and authentication of datagrams, replay protection, and rejection of garbage."""

from __future__ import annotations

from random import Random
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.fleet.virtual_fleet import VirtualFleet, address_of
from service_proxy.fleet import wire
from service_proxy.fleet.authentication import REPLAY_WINDOW, MessageAuthenticator, ReplayWindow
from service_proxy.fleet.members import Claim, Incarnation, MemberRecord, ServicePhase, fleet_id, member_key
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.wire import (
    MAX_DATAGRAM_BYTES,
    DatagramWriter,
    LoadSummary,
    MemberUpdate,
    MessageType,
    Section,
)

NAMES = st.text(st.characters(whitelist_categories=["Lu", "Ll", "Nd"]), min_size=1, max_size=10)
UPDATES = st.builds(
    lambda name, generation, nonce, version, claim, phase, metadata, confirmed, zone: MemberUpdate(
        member_key(name),
        Incarnation(generation, nonce, version),
        claim,
        phase,
        metadata,
        member_key("a") if claim is Claim.SUSPECT else b"",
        confirmed,
        MemberRecord(name, ("10.0.0.9", 7946), "portal", zone),
    ),
    NAMES,
    st.integers(1, (1 << 40) - 1),
    st.integers(0, 65535),
    st.integers(0, 65535),
    st.sampled_from(Claim),
    st.sampled_from(ServicePhase),
    st.binary(max_size=24),
    st.booleans(),
    st.sampled_from(["", "a", "santiago-norte"]),
)


def datagram(*parts: bytes, kind: int = MessageType.GOSSIP, number: int = 1, fleet: bytes = b"flee") -> bytes:
    return wire.encode_datagram(
        cast(MessageType, kind),
        fleet,
        member_key("p0"),
        Incarnation(5, 6, 7),
        number,
        1 << 63,
        ServicePhase.DRAINING,
        wire.FLAG_CHANGING,
        LoadSummary(3, 70_000),
        parts,
    )


@given(UPDATES)
def test_an_update_is_unpacked_as_it_was_packed(update: MemberUpdate) -> None:
    assert wire.unpack_record(wire.pack_record(update)) == update
    short = wire.unpack_update(wire.pack_update(update))
    assert (short.key, short.incarnation, short.claim, short.metadata) == (
        update.key,
        update.incarnation,
        update.claim,
        update.metadata,
    )


def test_a_datagram_is_decoded_as_it_was_encoded() -> None:
    writer = DatagramWriter()
    assert writer.add_section(Section.PROBE_ID, (77).to_bytes(4, "big"))
    data = MessageAuthenticator([b"k" * 16]).seal(datagram(*writer.parts))
    assert wire.peek_header(data) == (1, MessageType.GOSSIP, b"flee") and len(data) <= MAX_DATAGRAM_BYTES
    read = wire.decode_datagram(data)
    assert read.incarnation == Incarnation(5, 6, 7) and read.sequence_number == 1 and read.digest == 1 << 63
    assert read.phase is ServicePhase.DRAINING and read.is_changing and not read.is_minority
    assert read.load == LoadSummary(3, 70_000) and read.probe_id() == 77


@given(st.lists(st.integers(0, 255), max_size=40))
def test_a_writer_never_makes_a_datagram_that_is_too_long(sizes: list[int]) -> None:
    writer = DatagramWriter()
    for size in sizes:
        writer.add_section(Section.USER_DATA, bytes(size))
    assert len(MessageAuthenticator().seal(datagram(*writer.parts))) <= MAX_DATAGRAM_BYTES


def test_unknown_parts_of_a_datagram_of_a_newer_version_are_skipped() -> None:
    """Two additional header bytes and an unknown section are skipped; an unknown type is counted."""
    update = MemberUpdate(
        member_key("p9"),
        Incarnation(9, 9, 0),
        Claim.ALIVE,
        ServicePhase.SERVING,
        record=MemberRecord("p9", ("10.0.0.9", 7946)),
    )
    writer = DatagramWriter()
    writer.parts += [bytes((199, 3)), b"new"]
    writer.add_update(update)
    plain = datagram(*writer.parts, fleet=fleet_id("fleet"))
    newer = bytes((2,)) + plain[1:6] + bytes((plain[6] + 2,)) + plain[7:39] + b"\x01\x02" + plain[39:]
    protocol = MembershipProtocol(
        "fleet", MemberRecord("p1", ("10.0.0.1", 7946)), [], ProtocolTiming(), 1, 0.0, 1e9
    )
    protocol.tick(0.1)
    protocol.receive_datagram(0.2, ("10.0.0.2", 7946), MessageAuthenticator().seal(newer))
    assert member_key("p9") in protocol.table.entries and not protocol.counters.rejected
    protocol.receive_datagram(
        0.3,
        ("10.0.0.2", 7946),
        MessageAuthenticator().seal(datagram(kind=99, number=2, fleet=fleet_id("fleet"))),
    )
    assert protocol.counters.rejected == {"unknown message type": 1}


@pytest.mark.parametrize("keys", [(), (b"k" * 16,)])
def test_a_flipped_bit_anywhere_fails_verification(keys: tuple[bytes, ...]) -> None:
    authenticator = MessageAuthenticator(keys)
    data = authenticator.seal(datagram())
    assert authenticator.verify(data)
    for bit in range(len(data) * 8):
        corrupted = bytearray(data)
        corrupted[bit // 8] ^= 1 << bit % 8
        assert not authenticator.verify(bytes(corrupted))


def test_keys_can_be_rotated_and_foreign_keys_fail_verification() -> None:
    old = b"o" * 16
    new = b"n" * 16
    other = b"x" * 16
    data = MessageAuthenticator([old]).seal(datagram())
    assert MessageAuthenticator([new, old]).verify(data) and not MessageAuthenticator([new]).verify(data)
    assert not MessageAuthenticator([other]).verify(data) and not MessageAuthenticator().verify(data)


@given(st.lists(st.integers(1, 3 * REPLAY_WINDOW), max_size=200))
def test_a_sequence_number_is_accepted_once_and_not_when_it_is_too_old(numbers: list[int]) -> None:
    window = ReplayWindow()
    accepted = set[int]()
    highest = 0
    for number in numbers:
        expected = number not in accepted and number > highest - REPLAY_WINDOW
        assert window.accept(b"abcdef", (1, 1), number) == expected
        if expected:
            accepted.add(number)
            highest = max(highest, number)


def test_fuzzed_datagrams_raise_nothing_and_no_answer_is_longer_than_its_request() -> None:
    """Random bytes, and recorded datagrams of a fleet with changed bytes and a valid checksum."""
    random = Random(1)
    authenticator = MessageAuthenticator()
    fleet = VirtualFleet(6, ProtocolTiming(), 1)
    recorded: list[bytes] = []
    fleet.network.on_datagram = recorded.append
    for number in range(6):
        fleet.start(number)
    fleet.run(4.0)
    protocol = fleet.members[0].protocol
    assert protocol is not None and recorded
    for number in range(6000):
        data = bytearray(random.choice(recorded))
        if number % 3 == 0:
            data = bytearray(random.randbytes(random.randint(0, 300)))
        for _ in range(random.randint(0, 6)):
            if data:
                data[random.randrange(len(data))] = random.randrange(256)
        sent = bytes(data[:-8]) if number % 3 else bytes(data)
        sent = authenticator.seal(sent) if number % 3 else sent
        protocol.take_effects()
        protocol.receive_datagram(fleet.now, address_of(1 + number % 5), sent)
        assert all(len(out) <= len(sent) for _, out in protocol.take_effects().datagrams)
    assert len(protocol.table.entries) < 2000 and protocol.counters.rejected["malformed"] > 100
