"""Datagrams of the former version of the program are decoded, accepted and encoded again byte for byte.

`datagrams_of_granitepoint.json` was written by that version (package `granitepoint.fleet`). It contains one
datagram of each message type, under the name that the type had there, with a checksum and with a key.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from service_proxy.fleet import wire
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.members import (
    Claim,
    Incarnation,
    MemberRecord,
    ServicePhase,
    fleet_id,
    member_key,
)
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.view_query import decode_view_page, encode_view_request
from service_proxy.fleet.wire import DatagramWriter, LoadSummary, MemberUpdate, MessageType, Section

KEY = bytes(range(16))
FIXTURE: dict[str, dict[str, str]] = json.loads(
    (Path(__file__).parent / "datagrams_of_granitepoint.json").read_text(encoding="utf-8")
)
AUTHENTICATORS = {"checksum": MessageAuthenticator(), "keyed": MessageAuthenticator([KEY])}
TYPES = {
    "PING": MessageType.PING,
    "ACK": MessageType.ACK,
    "ASK": MessageType.INDIRECT_PING,
    "NACK": MessageType.NACK,
    "GOSSIP": MessageType.GOSSIP,
    "JOIN": MessageType.JOIN,
    "WELCOME": MessageType.JOIN_REPLY,
    "TREE": MessageType.DIGEST_REQUEST,
    "BRANCHES": MessageType.DIGEST_REPLY,
    "LEAVES": MessageType.ENTRIES_REQUEST,
    "RECORDS": MessageType.ENTRIES_REPLY,
    "VIEW": MessageType.VIEW_REQUEST,
    "PAGE": MessageType.VIEW_PAGE,
    "DATA": MessageType.USER_DATA,
}

SENDER = MemberRecord("p1", ("10.0.0.1", 7946), "portal", "a")
OTHER = MemberRecord("p2", ("10.0.0.2", 7946), "portal", "b")
SENDER_INCARNATION = Incarnation(176463360000, 0x1234, 5)
OTHER_INCARNATION = Incarnation(176463360123, 0xBEEF, 2)
SENDER_KEY = member_key("p1")
OTHER_KEY = member_key("p2")

ALIVE = MemberUpdate(
    SENDER_KEY, SENDER_INCARNATION, Claim.ALIVE, ServicePhase.SERVING, b"\x02\x03abc", record=SENDER
)
DRAINING = MemberUpdate(OTHER_KEY, OTHER_INCARNATION, Claim.ALIVE, ServicePhase.DRAINING, b"\x02\x01z")
SUSPECT = MemberUpdate(OTHER_KEY, OTHER_INCARNATION, Claim.SUSPECT, ServicePhase.SERVING, b"", SENDER_KEY)
CONFIRMED = MemberUpdate(
    OTHER_KEY, OTHER_INCARNATION, Claim.SUSPECT, ServicePhase.SERVING, b"", SENDER_KEY, True
)
LEFT = MemberUpdate(OTHER_KEY, OTHER_INCARNATION, Claim.LEFT, ServicePhase.LEAVING)
RECORD = MemberUpdate(OTHER_KEY, OTHER_INCARNATION, Claim.ALIVE, ServicePhase.SERVING, b"", record=OTHER)
CHILD_DIGESTS = wire.CHILD_DIGESTS_LAYOUT.pack(2, 0x3F, *(bytes([number]) * 8 for number in range(16)))
ENTRY_DIGESTS = wire.PREFIX_LAYOUT.pack(1, 7) + OTHER_KEY + b"\x01\x02\x03\x04"
SUMMARY = wire.VIEW_SUMMARY_LAYOUT.pack(2, 2, 0, 0, 9, 1, 2) + b"portal"


def view_row() -> bytes:
    record = wire.pack_record(RECORD)
    status = wire.ROW_STATUS_LAYOUT.pack(2, 1, 4, (77).to_bytes(3, "big"), 1500)
    return bytes((len(record),)) + record + status


SECTIONS: dict[str, list[MemberUpdate | tuple[Section, bytes]]] = {
    "PING": [CONFIRMED, (Section.REQUESTED_NAME, b"p1")],
    "ACK": [(Section.HEARS_ORIGIN, b"\x01"), LEFT],
    "ASK": [(Section.TARGET, OTHER_KEY + wire.pack_address(OTHER.address))],
    "NACK": [],
    "GOSSIP": [ALIVE, DRAINING, SUSPECT],
    "JOIN": [(Section.REQUESTED_NAME, b"p1"), (Section.BROADCAST, b"")],
    "WELCOME": [ALIVE, RECORD],
    "TREE": [(Section.CHILD_DIGESTS, CHILD_DIGESTS)],
    "BRANCHES": [(Section.CHILD_DIGESTS, CHILD_DIGESTS)],
    "LEAVES": [(Section.ENTRY_DIGESTS, ENTRY_DIGESTS)],
    "RECORDS": [(Section.MISSING_KEYS, OTHER_KEY), RECORD, (Section.MORE, b"\x01")],
    "PAGE": [
        (Section.PAGE_REQUEST, b"\x00\x02\x00\x07"),
        (Section.VIEW_SUMMARY, SUMMARY),
        (Section.VIEW_ROW, view_row()),
    ],
    "DATA": [(Section.USER_DATA, bytes((2,)) + b"question")],
}
PROBE_IDS = {
    "PING": 77,
    "ACK": 77,
    "ASK": 78,
    "NACK": 78,
    "TREE": 79,
    "BRANCHES": 79,
    "LEAVES": 80,
    "RECORDS": 80,
}
CASES = [(tagged, name) for tagged in AUTHENTICATORS for name in TYPES]


def encode_message(tagged: str, name: str) -> bytes:
    """Return the same message as encoded by this version."""
    authenticator = AUTHENTICATORS[tagged]
    if name == "VIEW":
        return encode_view_request(4, 7, 1234567, 99, authenticator)
    writer = DatagramWriter()
    if name in PROBE_IDS:
        writer.add_probe_id(PROBE_IDS[name])
    for section in SECTIONS[name]:
        fits = (
            writer.add_update(section) if isinstance(section, MemberUpdate) else writer.add_section(*section)
        )
        assert fits
    return authenticator.seal(
        wire.encode_datagram(
            TYPES[name],
            fleet_id("portal"),
            SENDER_KEY,
            SENDER_INCARNATION,
            list(TYPES).index(name) + 1,
            0x0123456789ABCDEF,
            ServicePhase.SERVING,
            wire.FLAG_CHANGING | wire.FLAG_MINORITY,
            LoadSummary(3, 70000),
            writer.parts,
        )
    )


def test_the_fixture_has_each_type_of_message_with_either_tag() -> None:
    assert set(TYPES.values()) == set(MessageType)
    assert set(FIXTURE) == set(AUTHENTICATORS)
    assert all(set(FIXTURE[tagged]) == set(TYPES) for tagged in AUTHENTICATORS)


@pytest.mark.parametrize(("tagged", "name"), CASES)
def test_a_message_is_encoded_to_the_bytes_of_the_former_version(tagged: str, name: str) -> None:
    assert encode_message(tagged, name).hex() == FIXTURE[tagged][name]


@pytest.mark.parametrize(("tagged", "name"), CASES)
def test_a_datagram_of_the_former_version_is_verified_and_decoded(tagged: str, name: str) -> None:
    data = bytes.fromhex(FIXTURE[tagged][name])
    assert AUTHENTICATORS[tagged].verify(data)
    message = wire.decode_datagram(data)
    assert message.message_type == TYPES[name]
    if name == "VIEW":
        assert message.first_value(Section.PAGE_REQUEST) == b"\x00\x04\x00\x07"
        return
    assert (message.sender, message.incarnation) == (SENDER_KEY, SENDER_INCARNATION)
    assert (message.digest, message.load) == (0x0123456789ABCDEF, LoadSummary(3, 70000))
    assert message.is_changing and message.is_minority and message.probe_id() == PROBE_IDS.get(name)
    updates = [section for section in SECTIONS[name] if isinstance(section, MemberUpdate)]
    decoded = [
        wire.unpack_record(value) if kind == Section.RECORD else wire.unpack_update(value)
        for kind, value in message.sections
        if kind in (Section.RECORD, Section.UPDATE)
    ]
    assert decoded == updates


@pytest.mark.parametrize(("tagged", "name"), CASES)
def test_a_member_accepts_a_datagram_of_the_former_version(tagged: str, name: str) -> None:
    record = MemberRecord("p3", ("10.0.0.3", 7946), "portal", "a")
    member = MembershipProtocol("portal", record, [], ProtocolTiming(), 1, 0.0, 1e9, AUTHENTICATORS[tagged])
    member.tick(0.1)
    member.take_effects()
    member.receive_datagram(0.2, SENDER.address, bytes.fromhex(FIXTURE[tagged][name]))
    assert member.counters.accepted == 1 and not member.counters.rejected
    effects = member.take_effects()
    assert all(len(data) <= len(FIXTURE[tagged][name]) // 2 for _, data in effects.datagrams)
    if name in ("GOSSIP", "WELCOME"):
        assert member.table.entries[SENDER_KEY].record == SENDER


def test_a_page_of_a_view_from_the_former_version_is_decoded() -> None:
    page = decode_view_page(bytes.fromhex(FIXTURE["keyed"]["PAGE"]), AUTHENTICATORS["keyed"])
    assert (page.fleet, page.request_id, page.row_count, page.revision) == ("portal", 7, 2, 9)
    [row] = page.rows
    assert (row.name, row.address, row.zone) == ("p2", "10.0.0.2:7946", "b")
    assert (row.in_flight_tenths, row.list_version, row.last_contact_age_s) == (4, 77, 1.5)
