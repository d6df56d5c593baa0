"""The datagrams between members, byte by byte. Pure: bytes in, objects out, and back.

A datagram has 256 bytes at most (PROTOCOL, "Between proxies"). Numbers are big-endian.

    at  bytes
     0  1   version of who wrote it
     1  1   type of message
     2  4   fleet: BLAKE2b-32 of its name
     6  1   bytes of the header that follow: 32 in version 1. What a newer version adds behind is skipped
     7  6   sender: BLAKE2b-48 of its name
    13  9   its incarnation: generation 5, nonce 2, version 2
    22  4   sequence number of this datagram among those of the sender's process, from 1
    26  8   digest of the sender's view: XOR of the digests of all entries that live in it
    34  1   bits 0 and 1: service phase; 2: the view has changed recently; 3: it is a minority's
    35  1   requests in flight, in tenths of the limit; 255: unknown
    36  3   version of the endpoint list that it uses, modulo 2^24
    39      sections: type 1, bytes 1, value; a type that is not known is skipped
    -8  8   HMAC-SHA256 of all before, cut to 8 bytes; without keys CRC-32 and four zeros

Sections:

    PROBE_ID        4   id of a probe or request, chosen by the requester; the answer has the same
    TARGET         12   key and address of a member that the receiver is to ping
    ORIGIN          6   on whose behalf this is a ping
    HEARS_ORIGIN    1   1: the answerer hears ORIGIN's own datagrams
    UPDATE        17..  key 6, incarnation 9, bits (0-1 claim, 2-3 phase, 4 confirmed), accuser 6 if a
    suspicion,
                        metadata
    RECORD        ..    an UPDATE behind its length, then name, tier, zone (each behind its length), address 6
    CHILD_DIGESTS 131   depth 1, path 2, then 16 digests of 8 bytes: of the parts into which a prefix of keys
    falls ENTRY_DIGESTS ..    depth 1, path 2, then key 6 and short digest 4 of each entry below that prefix
    MISSING_KEYS  ..    keys whose records are asked for
    MORE            1   1: not all fitted in
    REQUESTED_NAME ..   the name that a newcomer asks for
    USER_DATA     ..    port 1, then another subsystem's data
    PAGE_REQUEST    4   first row 2, id of the request 2
    VIEW_SUMMARY  ..    of a page: rows 2, living 2, dead 2, left 2, revision 4, bits 1, serving 2, fleet's
    name VIEW_ROW      ..    of a page: a RECORD behind its length, then state 1, path 1, tenths 1, list 3, ms
    ago 4 BROADCAST       0   this JOIN went to all of the tier: some answer
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from functools import lru_cache
from ipaddress import IPv4Address

from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.members import (
    KEY_BYTES,
    MAX_LABEL_BYTES,
    MAX_METADATA_BYTES,
    MAX_NAME_BYTES,
    Address,
    Claim,
    Incarnation,
    MemberEntry,
    MemberKey,
    MemberRecord,
    ServicePhase,
)

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # by PROTOCOL
AUTH_TAG_BYTES = 8  # of the MAC or checksum
HEADER_LAYOUT = struct.Struct("!BB4sB")
BODY_LAYOUT = struct.Struct("!6sIBHHI8sBB3s")  # a generation has 40 bits: 4 bytes and 1
BODY_BYTES = BODY_LAYOUT.size
OVERHEAD_BYTES = HEADER_LAYOUT.size + BODY_BYTES + AUTH_TAG_BYTES
LOAD_UNKNOWN = 255  # in place of the tenths in flight
LIST_VERSION_MODULUS = 1 << 24
# Bits of the header's flags; the lowest two are the service phase.
PHASE_MASK = 0x03
FLAG_CHANGING = 0x04
FLAG_MINORITY = 0x08
# Bits of an update's flags.
CLAIM_MASK = 0x03
UPDATE_PHASE_SHIFT = 2
FLAG_CONFIRMED = 0x10
UPDATE_FLAGS_AT = 15  # behind key and incarnation
UPDATE_MIN_BYTES = UPDATE_FLAGS_AT + 1
PROBE_ID_BYTES = 4
PAGE_REQUEST_BYTES = 4
ADDRESS_BYTES = 6
TARGET_BYTES = KEY_BYTES + ADDRESS_BYTES
SECTION_HEADER_BYTES = 2
MAX_SECTION_BYTES = 255
TREE_FANOUT = 16
ADDRESS_CACHE_SIZE = 4096  # addresses that are cached as text and bytes
CHILD_DIGESTS_LAYOUT = struct.Struct("!BH" + "8s" * TREE_FANOUT)
PREFIX_LAYOUT = struct.Struct("!BH")
VIEW_SUMMARY_LAYOUT = struct.Struct("!HHHHIBH")
ROW_STATUS_LAYOUT = struct.Struct("!BBB3sI")
CONTACT_UNKNOWN_MS = 0xFFFFFFFF  # in place of the ms since the last contact


class MessageType(IntEnum):
    """The types of message; the numbers stand on the wire."""

    PING = 1
    ACK = 2
    INDIRECT_PING = 3  # ping TARGET for me
    NACK = 4  # TARGET does not answer me either
    GOSSIP = 5
    JOIN = 6
    JOIN_REPLY = 7
    DIGEST_REQUEST = 8
    DIGEST_REPLY = 9
    ENTRIES_REQUEST = 10
    ENTRIES_REPLY = 11
    VIEW_REQUEST = 12  # an operator asks for a page of the view
    VIEW_PAGE = 13
    USER_DATA = 14


class Section(IntEnum):
    """The types of section within a message; the numbers stand on the wire."""

    PROBE_ID = 1
    TARGET = 2
    ORIGIN = 3
    HEARS_ORIGIN = 4
    UPDATE = 5
    RECORD = 6
    CHILD_DIGESTS = 7
    ENTRY_DIGESTS = 8
    MISSING_KEYS = 9
    MORE = 10
    REQUESTED_NAME = 11
    USER_DATA = 12
    PAGE_REQUEST = 13
    VIEW_SUMMARY = 14
    VIEW_ROW = 15
    BROADCAST = 16


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """What a member says of its own load; it travels with its own datagrams and is never passed on."""

    in_flight_tenths: int = LOAD_UNKNOWN  # calls in flight, of what it may hold
    list_version: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A claim as it travels (SWIM, 4.1).

    Attributes:
        accuser: with a suspicion, who got no answer.
        confirmed: the sender holds the member for dead.
        record: is there where the sender takes the receiver for one that lacks it.
    """

    key: MemberKey
    incarnation: Incarnation
    claim: Claim
    phase: ServicePhase
    metadata: bytes = b""
    accuser: MemberKey = b""  # who did not get an answer, with a suspicion
    confirmed: bool = False  # who says it holds it for dead
    record: MemberRecord | None = None


@dataclass(slots=True)
class Datagram:
    """A datagram that was decoded; sections of types that are not known stay in it as they came."""

    version: int
    message_type: int
    sender: MemberKey
    incarnation: Incarnation
    sequence_number: int
    digest: int
    phase: ServicePhase
    is_changing: bool
    is_minority: bool
    load: LoadSummary
    size: int
    sections: list[tuple[int, bytes]] = field(default_factory=list)

    def first_value(self, section: Section) -> bytes | None:
        """Return the value of the first section of a type; None: there is none."""
        return next((value for kind, value in self.sections if kind == section), None)

    def values(self, section: Section) -> list[bytes]:
        """Return the values of all sections of a type."""
        return [value for kind, value in self.sections if kind == section]

    def probe_id(self) -> int | None:
        """Return the id of the probe or request; None: there is none."""
        value = self.first_value(Section.PROBE_ID)
        if value is None or len(value) < PROBE_ID_BYTES:
            return None
        return int.from_bytes(value[:PROBE_ID_BYTES], "big")


@lru_cache(ADDRESS_CACHE_SIZE)
def pack_address(address: Address) -> bytes:
    """Return an address as 6 bytes.

    Raises:
        ValueError: the host is no IPv4 address.
    """
    return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")


@lru_cache(ADDRESS_CACHE_SIZE)
def unpack_address(value: bytes) -> Address:
    """Return an address of 6 bytes.

    Raises:
        MalformedDatagramError: it is cut short.
    """
    if len(value) < ADDRESS_BYTES:
        raise MalformedDatagramError("an address that is cut short")
    return str(IPv4Address(value[:4])), int.from_bytes(value[4:6], "big")


def pack_incarnation(incarnation: Incarnation) -> bytes:
    """Return an incarnation as 9 bytes."""
    generation, nonce, version = incarnation
    return generation.to_bytes(5, "big") + nonce.to_bytes(2, "big") + version.to_bytes(2, "big")


def unpack_incarnation(value: bytes) -> Incarnation:
    """Return an incarnation of 9 bytes."""
    number = int.from_bytes
    return Incarnation(number(value[:5], "big"), number(value[5:7], "big"), number(value[7:9], "big"))


def pack_update(update: MemberUpdate) -> bytes:
    """Return an update without its record as bytes."""
    flags = update.claim | update.phase << UPDATE_PHASE_SHIFT | (FLAG_CONFIRMED if update.confirmed else 0)
    accuser = (update.accuser or bytes(KEY_BYTES)) if update.claim is Claim.SUSPECT else b""
    return update.key + pack_incarnation(update.incarnation) + bytes((flags,)) + accuser + update.metadata


def unpack_update(value: bytes) -> MemberUpdate:
    """Return an update without a record.

    Raises:
        MalformedDatagramError: it is cut short, or a field is out of range.
    """
    if len(value) < UPDATE_MIN_BYTES:
        raise MalformedDatagramError("an update that is cut short")
    flags = value[UPDATE_FLAGS_AT]
    if flags & CLAIM_MASK > Claim.LEFT:
        raise MalformedDatagramError("a claim that is none")
    claim = Claim(flags & CLAIM_MASK)
    rest = value[UPDATE_MIN_BYTES:]
    accuser = b""
    if claim is Claim.SUSPECT:
        if len(rest) < KEY_BYTES:
            raise MalformedDatagramError("a suspicion without who has it")
        accuser = rest[:KEY_BYTES]
        rest = rest[KEY_BYTES:]
        if accuser == bytes(KEY_BYTES):
            accuser = b""
    if len(rest) > MAX_METADATA_BYTES:
        raise MalformedDatagramError(f"metadata of over {MAX_METADATA_BYTES} bytes")
    incarnation = unpack_incarnation(value[KEY_BYTES:UPDATE_FLAGS_AT])
    if not incarnation.generation:
        raise MalformedDatagramError("a generation of 0")
    return MemberUpdate(
        value[:6],
        incarnation,
        claim,
        ServicePhase(flags >> UPDATE_PHASE_SHIFT & PHASE_MASK),
        rest,
        accuser,
        bool(flags & FLAG_CONFIRMED),
    )


def pack_record(member_update: MemberUpdate) -> bytes:
    """Return an update with its record as bytes."""
    assert member_update.record is not None
    update = pack_update(member_update)
    record = member_update.record
    parts = [bytes((len(update),)), update]
    for text in (record.name, record.tier, record.zone):
        data = text.encode()
        parts += [bytes((len(data),)), data]
    return b"".join(parts) + pack_address(record.address)


def unpack_record(value: bytes) -> MemberUpdate:
    """Return an update with its record.

    Raises:
        MalformedDatagramError: it is cut short, or a field is out of range.
    """
    update, at = _read_counted(value, 0, 255)
    name, at = _read_text(value, at, MAX_NAME_BYTES)
    tier, at = _read_text(value, at, MAX_LABEL_BYTES)
    zone, at = _read_text(value, at, MAX_LABEL_BYTES)
    member_update = unpack_update(update)
    record = MemberRecord(name, unpack_address(value[at:]), tier, zone)
    return MemberUpdate(
        member_update.key,
        member_update.incarnation,
        member_update.claim,
        member_update.phase,
        member_update.metadata,
        member_update.accuser,
        member_update.confirmed,
        record,
    )


def _read_counted(value: bytes, at: int, max_bytes: int) -> tuple[bytes, int]:
    if at >= len(value) or value[at] > max_bytes or at + 1 + value[at] > len(value):
        raise MalformedDatagramError("a text that is cut short or too long")
    end = at + 1 + value[at]
    return value[at + 1 : end], end


def _read_text(value: bytes, at: int, max_bytes: int) -> tuple[str, int]:
    data, at = _read_counted(value, at, max_bytes)
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise MalformedDatagramError("a text that is no UTF-8") from None
    if not text.isprintable():
        raise MalformedDatagramError("a text with control characters")
    return text, at


def update_of(
    entry: MemberEntry, confirmed: bool = False, accuser: MemberKey = b"", with_record: bool = True
) -> MemberUpdate:
    """Return what is disseminated of an entry. `confirmed`: the member is dead to who sends this."""
    claim = Claim.SUSPECT if confirmed and entry.claim is not Claim.LEFT else entry.claim
    return MemberUpdate(
        entry.key,
        entry.incarnation,
        claim,
        entry.phase,
        entry.metadata,
        accuser,
        confirmed,
        entry.record if with_record else None,
    )


class DatagramWriter:
    """A datagram in the making; a section that does not fit is left out, and the call says so."""

    __slots__ = ("max_bytes", "parts", "remaining_bytes")

    def __init__(self, max_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        self.parts: list[bytes] = []
        self.max_bytes = max_bytes
        self.remaining_bytes = max_bytes - OVERHEAD_BYTES

    def add_section(self, section: Section, value: bytes) -> bool:
        """Add a section; return whether it fits."""
        if len(value) > MAX_SECTION_BYTES or len(value) + SECTION_HEADER_BYTES > self.remaining_bytes:
            return False
        self.parts += [bytes((section, len(value))), value]
        self.remaining_bytes -= len(value) + SECTION_HEADER_BYTES
        return True

    def add_probe_id(self, number: int) -> DatagramWriter:
        """Add the id of a probe or request, with which a datagram begins."""
        self.add_section(Section.PROBE_ID, number.to_bytes(PROBE_ID_BYTES, "big"))
        return self

    def add_update(self, update: MemberUpdate) -> bool:
        """Add an update, with its record if it has one; return whether it fits."""
        if update.record is not None:
            return self.add_section(Section.RECORD, pack_record(update))
        return self.add_section(Section.UPDATE, pack_update(update))


def encode_datagram(
    message_type: MessageType,
    fleet: bytes,
    sender: MemberKey,
    incarnation: Incarnation,
    sequence_number: int,
    digest: int,
    phase: ServicePhase,
    flags: int,
    load: LoadSummary,
    sections: Iterable[bytes],
) -> bytes:
    """Return all of a datagram but its tag, which the authenticator appends."""
    generation, nonce, version = incarnation
    head = HEADER_LAYOUT.pack(VERSION, message_type, fleet, BODY_BYTES)
    body = BODY_LAYOUT.pack(
        sender,
        generation >> 8,
        generation & 0xFF,
        nonce,
        version,
        sequence_number,
        digest.to_bytes(8, "big"),
        phase | flags,
        load.in_flight_tenths,
        (load.list_version % LIST_VERSION_MODULUS).to_bytes(3, "big"),
    )
    return b"".join((head, body, *sections))


def peek_header(data: bytes) -> tuple[int, int, bytes]:
    """Return version, type and fleet id, before anything is believed.

    Raises:
        MalformedDatagramError: the size or the header is out of range.
    """
    if not OVERHEAD_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(f"{len(data)} bytes are no datagram of a fleet")
    version, kind, fleet, length = HEADER_LAYOUT.unpack_from(data)
    if not version:
        raise MalformedDatagramError("version 0")
    if length < BODY_BYTES or HEADER_LAYOUT.size + length + AUTH_TAG_BYTES > len(data):
        raise MalformedDatagramError("a header that is cut short")
    return version, kind, fleet


def decode_datagram(data: bytes) -> Datagram:
    """Return a datagram that `peek_header` has accepted and whose tag is right.

    Types of message and section of a newer version stay in it as they came.

    Raises:
        MalformedDatagramError: a field is out of range, or a section is cut short.
    """
    version, kind, _, length = HEADER_LAYOUT.unpack_from(data)
    (
        sender,
        generation_high,
        generation_low,
        nonce,
        incarnation_version,
        sequence_number,
        digest,
        flags,
        in_flight_tenths,
        list_version,
    ) = BODY_LAYOUT.unpack_from(data, HEADER_LAYOUT.size)
    incarnation = Incarnation(generation_high << 8 | generation_low, nonce, incarnation_version)
    if not incarnation.generation or not sequence_number:
        raise MalformedDatagramError("a generation or a sequence number of 0")
    return Datagram(
        version,
        kind,
        sender,
        incarnation,
        sequence_number,
        int.from_bytes(digest, "big"),
        ServicePhase(flags & PHASE_MASK),
        bool(flags & FLAG_CHANGING),
        bool(flags & FLAG_MINORITY),
        LoadSummary(in_flight_tenths, int.from_bytes(list_version, "big")),
        len(data),
        _split_sections(data, HEADER_LAYOUT.size + length, len(data) - AUTH_TAG_BYTES),
    )


def _split_sections(data: bytes, position: int, end: int) -> list[tuple[int, bytes]]:
    sections = []
    while position < end:
        value_at = position + SECTION_HEADER_BYTES
        if value_at > end or value_at + data[position + 1] > end:
            raise MalformedDatagramError("a section that is cut short")
        value_end = value_at + data[position + 1]
        sections.append((data[position], data[value_at:value_end]))
        position = value_end
    return sections
