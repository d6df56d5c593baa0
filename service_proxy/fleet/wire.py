"""Byte layout of the datagrams between members: encoding and decoding.

A datagram has 256 bytes at most (PROTOCOL, "Between proxies"). Numbers are big-endian. Performs no I/O and
reads no clock.

    at  bytes
     0  1   version of the sender
     1  1   type of message
     2  4   fleet: BLAKE2b-32 of its name
     6  1   bytes of the header that follow: 32 in version 1; fields that a newer version appends are skipped
     7  6   sender: BLAKE2b-48 of its name
    13  9   the sender's incarnation: generation 5, nonce 2, version 2
    22  4   sequence number of this datagram among those of the sender's process, from 1
    26  8   digest of the sender's view: XOR of the digests of all live entries in it
    34  1   bits 0 and 1: service phase; 2: the view has changed recently; 3: the view is a minority's
    35  1   the sender's requests in flight, in tenths of its limit; 255: unknown
    36  3   version of the endpoint list that the sender uses, modulo 2^24
    39      sections: type 1, bytes 1, value; sections of unknown type are skipped
    -8  8   HMAC-SHA256 of all preceding bytes, cut to 8 bytes; without keys CRC-32 and four zero bytes

Sections, with the bytes of their value:

    PROBE_ID        4   id of a probe or request, chosen by the requester and repeated in the reply
    TARGET         12   key and address of a member that the receiver is asked to ping
    ORIGIN          6   key of the member on whose behalf this ping is sent
    HEARS_ORIGIN    1   1: the sender of the reply has recently received datagrams of ORIGIN directly
    UPDATE        17..  key 6, incarnation 9, bits (0-1 claim, 2-3 phase, 4 confirmed), accuser 6 if the
                        claim is a suspicion, metadata
    RECORD        ..    length and bytes of an UPDATE, then length and bytes of name, tier and zone each,
                        then address 6
    CHILD_DIGESTS 131   depth 1, path 2, then 16 digests of 8 bytes of the children of this prefix of keys
    ENTRY_DIGESTS ..    depth 1, path 2, then key 6 and short digest 4 of each entry below this prefix
    MISSING_KEYS  ..    keys whose records are requested
    MORE            1   1: some entries did not fit in the reply
    REQUESTED_NAME ..   name that a joining member requests
    USER_DATA     ..    port 1, then another subsystem's data
    PAGE_REQUEST    4   first row 2, id of the request 2
    VIEW_SUMMARY  ..    of a page: rows 2, live 2, dead 2, left 2, revision 4, bits 1, serving 2, name of
                        the fleet
    VIEW_ROW      ..    of a page: length and bytes of a RECORD, then state 1, path 1, tenths in flight 1,
                        list version 3, ms since the last contact 4
    BROADCAST       0   this JOIN was sent to all proxies of the tier; only some of them reply
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
MAX_DATAGRAM_BYTES = 256  # Largest datagram that PROTOCOL allows.
AUTH_TAG_BYTES = 8  # Bytes of the MAC or checksum.
HEADER_LAYOUT = struct.Struct("!BB4sB")
BODY_LAYOUT = struct.Struct("!6sIBHHI8sBB3s")  # A generation has 40 bits, packed as 4 bytes and 1 byte.
BODY_BYTES = BODY_LAYOUT.size
OVERHEAD_BYTES = HEADER_LAYOUT.size + BODY_BYTES + AUTH_TAG_BYTES
LOAD_UNKNOWN = 255  # Stands for an unknown number of tenths in flight.
LIST_VERSION_MODULUS = 1 << 24
# Bits of the header's flags; the lowest two are the service phase.
PHASE_MASK = 0x03
FLAG_CHANGING = 0x04
FLAG_MINORITY = 0x08
# Bits of an update's flags.
CLAIM_MASK = 0x03
UPDATE_PHASE_SHIFT = 2
FLAG_CONFIRMED = 0x10
UPDATE_FLAGS_AT = 15  # Offset of the flags in an update, after key and incarnation.
UPDATE_MIN_BYTES = UPDATE_FLAGS_AT + 1
PROBE_ID_BYTES = 4
PAGE_REQUEST_BYTES = 4
ADDRESS_BYTES = 6
TARGET_BYTES = KEY_BYTES + ADDRESS_BYTES
SECTION_HEADER_BYTES = 2
MAX_SECTION_BYTES = 255
TREE_FANOUT = 16
ADDRESS_CACHE_SIZE = 4096  # Entries of each cache of packed and unpacked addresses.
CHILD_DIGESTS_LAYOUT = struct.Struct("!BH" + "8s" * TREE_FANOUT)
PREFIX_LAYOUT = struct.Struct("!BH")
VIEW_SUMMARY_LAYOUT = struct.Struct("!HHHHIBH")
ROW_STATUS_LAYOUT = struct.Struct("!BBB3sI")
CONTACT_UNKNOWN_MS = 0xFFFFFFFF  # Stands for an unknown time since the last contact.


class MessageType(IntEnum):
    """Types of message; the numbers are part of the wire format.

    Attributes:
        INDIRECT_PING: asks the receiver to ping TARGET.
        NACK: reports that TARGET did not answer the sender of the NACK either.
        VIEW_REQUEST: an operator requests a page of the view.
    """

    PING = 1
    ACK = 2
    INDIRECT_PING = 3
    NACK = 4
    GOSSIP = 5
    JOIN = 6
    JOIN_REPLY = 7
    DIGEST_REQUEST = 8
    DIGEST_REPLY = 9
    ENTRIES_REQUEST = 10
    ENTRIES_REPLY = 11
    VIEW_REQUEST = 12
    VIEW_PAGE = 13
    USER_DATA = 14


class Section(IntEnum):
    """Types of section within a message; the numbers are part of the wire format."""

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
    """A member's load as it reports it; only the member's own datagrams carry it."""

    in_flight_tenths: int = LOAD_UNKNOWN  # Requests in flight, in tenths of the member's limit.
    list_version: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A claim as it is disseminated (SWIM, 4.1).

    Attributes:
        accuser: with a suspicion, the member whose probe was not answered.
        confirmed: the sender has declared the member dead.
        record: included if the receiver probably lacks it.
    """

    key: MemberKey
    incarnation: Incarnation
    claim: Claim
    phase: ServicePhase
    metadata: bytes = b""
    accuser: MemberKey = b""
    confirmed: bool = False
    record: MemberRecord | None = None


@dataclass(slots=True)
class Datagram:
    """A decoded datagram; it keeps sections of unknown type unchanged."""

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
        """Return the value of the first section of this type; None if there is none."""
        return next((value for kind, value in self.sections if kind == section), None)

    def values(self, section: Section) -> list[bytes]:
        """Return the values of all sections of this type."""
        return [value for kind, value in self.sections if kind == section]

    def probe_id(self) -> int | None:
        """Return the id of the probe or request; None if there is none."""
        value = self.first_value(Section.PROBE_ID)
        if value is None or len(value) < PROBE_ID_BYTES:
            return None
        return int.from_bytes(value[:PROBE_ID_BYTES], "big")


@lru_cache(ADDRESS_CACHE_SIZE)
def pack_address(address: Address) -> bytes:
    """Return an address as 6 bytes.

    Raises:
        ValueError: the host is not an IPv4 address.
    """
    return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")


@lru_cache(ADDRESS_CACHE_SIZE)
def unpack_address(value: bytes) -> Address:
    """Return the address that 6 bytes represent.

    Raises:
        MalformedDatagramError: the value is truncated.
    """
    if len(value) < ADDRESS_BYTES:
        raise MalformedDatagramError("a truncated address")
    return str(IPv4Address(value[:4])), int.from_bytes(value[4:6], "big")


def pack_incarnation(incarnation: Incarnation) -> bytes:
    """Return an incarnation as 9 bytes."""
    generation, nonce, version = incarnation
    return generation.to_bytes(5, "big") + nonce.to_bytes(2, "big") + version.to_bytes(2, "big")


def unpack_incarnation(value: bytes) -> Incarnation:
    """Return the incarnation that 9 bytes represent."""
    number = int.from_bytes
    return Incarnation(number(value[:5], "big"), number(value[5:7], "big"), number(value[7:9], "big"))


def pack_update(update: MemberUpdate) -> bytes:
    """Return an update without its record as bytes."""
    flags = update.claim | update.phase << UPDATE_PHASE_SHIFT | (FLAG_CONFIRMED if update.confirmed else 0)
    accuser = (update.accuser or bytes(KEY_BYTES)) if update.claim is Claim.SUSPECT else b""
    return update.key + pack_incarnation(update.incarnation) + bytes((flags,)) + accuser + update.metadata


def unpack_update(value: bytes) -> MemberUpdate:
    """Return the update without a record that the bytes represent.

    Raises:
        MalformedDatagramError: the value is truncated, or a field is out of range.
    """
    if len(value) < UPDATE_MIN_BYTES:
        raise MalformedDatagramError("a truncated update")
    flags = value[UPDATE_FLAGS_AT]
    if flags & CLAIM_MASK > Claim.LEFT:
        raise MalformedDatagramError("an update with an unknown claim")
    claim = Claim(flags & CLAIM_MASK)
    rest = value[UPDATE_MIN_BYTES:]
    accuser = b""
    if claim is Claim.SUSPECT:
        if len(rest) < KEY_BYTES:
            raise MalformedDatagramError("a suspicion without an accuser")
        accuser = rest[:KEY_BYTES]
        rest = rest[KEY_BYTES:]
        if accuser == bytes(KEY_BYTES):
            accuser = b""
    if len(rest) > MAX_METADATA_BYTES:
        raise MalformedDatagramError(f"metadata of more than {MAX_METADATA_BYTES} bytes")
    incarnation = unpack_incarnation(value[KEY_BYTES:UPDATE_FLAGS_AT])
    if not incarnation.generation:
        raise MalformedDatagramError("an incarnation with generation 0")
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
    """Return the update with a record that the bytes represent.

    Raises:
        MalformedDatagramError: the value is truncated, or a field is out of range.
    """
    update, at = _read_length_prefixed(value, 0, 255)
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


def _read_length_prefixed(value: bytes, at: int, max_bytes: int) -> tuple[bytes, int]:
    if at >= len(value) or value[at] > max_bytes or at + 1 + value[at] > len(value):
        raise MalformedDatagramError("a truncated or too long value")
    end = at + 1 + value[at]
    return value[at + 1 : end], end


def _read_text(value: bytes, at: int, max_bytes: int) -> tuple[str, int]:
    data, at = _read_length_prefixed(value, at, max_bytes)
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise MalformedDatagramError("a text that is not valid UTF-8") from None
    if not text.isprintable():
        raise MalformedDatagramError("a text with unprintable characters")
    return text, at


def update_of(
    entry: MemberEntry, confirmed: bool = False, accuser: MemberKey = b"", with_record: bool = True
) -> MemberUpdate:
    """Return the update that disseminates an entry; `confirmed`: the sender has declared the member dead."""
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
    """Builder of a datagram's sections; a section that does not fit is omitted, and False returned."""

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
        """Add the id of a probe or request, which is the first section of its datagram."""
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
    """Return a datagram without its tag, which the authenticator appends."""
    generation, nonce, version = incarnation
    header = HEADER_LAYOUT.pack(VERSION, message_type, fleet, BODY_BYTES)
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
    return b"".join((header, body, *sections))


def peek_header(data: bytes) -> tuple[int, int, bytes]:
    """Return version, message type and fleet id before the datagram has been authenticated.

    Raises:
        MalformedDatagramError: the size or the header is out of range.
    """
    if not OVERHEAD_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(f"a datagram of {len(data)} bytes, which is no valid size")
    version, kind, fleet, length = HEADER_LAYOUT.unpack_from(data)
    if not version:
        raise MalformedDatagramError("a header with version 0")
    if length < BODY_BYTES or HEADER_LAYOUT.size + length + AUTH_TAG_BYTES > len(data):
        raise MalformedDatagramError("a truncated header")
    return version, kind, fleet


def decode_datagram(data: bytes) -> Datagram:
    """Return the decoded datagram, after `peek_header` and the authenticator have accepted it.

    Message types and sections of a newer version are kept unchanged.

    Raises:
        MalformedDatagramError: a field is out of range, or a section is truncated.
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
        raise MalformedDatagramError("a generation of 0 or a sequence number of 0")
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
            raise MalformedDatagramError("a truncated section")
        value_end = value_at + data[position + 1]
        sections.append((data[position], data[value_at:value_end]))
        position = value_end
    return sections
