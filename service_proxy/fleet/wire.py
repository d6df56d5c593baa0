"""The datagrams between members, byte by byte. Pure: bytes in, objects out, and back.

A datagram has 256 bytes at most (PROTOCOL, "Between proxies"). Numbers are big-endian.

    at  bytes
     0  1   version of who wrote it
     1  1   kind
     2  4   fleet: BLAKE2b-32 of its name
     6  1   bytes of the header that follow: 32 in version 1. What a newer version adds behind is skipped
     7  6   sender: BLAKE2b-48 of its name
    13  9   its incarnation: run 5, life 2, beat 2
    22  4   number of this datagram among those of the sender's life, from 1
    26  8   digest of the sender's view: XOR of the tags of all that live in it
    34  1   bits 0 and 1: phase; 2: the view has changed lately; 3: it is a minority's
    35  1   calls in flight, in tenths of what it may hold; 255: not told
    36  3   version of the list of servers that it uses, modulo 2^24
    39      sections: type 1, bytes 1, value; a type that is not known is skipped
    -8  8   HMAC-SHA256 of all before, cut to 8 bytes; without keys CRC-32 and four zeros

Sections:

    PROBE    4   number of a probe, chosen by who asks; its answer has the same
    TARGET  12   key and address of a member to be asked by the receiver
    ORIGIN   6   on whose behalf this is asked
    HEARD    1   1: the answerer hears ORIGIN's own datagrams
    UPDATE 17..  key 6, incarnation 9, bits (0-1 claim, 2-3 phase, 4 sure), accuser 6 if a suspicion, word
    RECORD ..    an UPDATE behind its length, then name, tier, zone (each behind its length), address 6
    TREE   131   depth 1, path 2, then 16 digests of 8 bytes: of the parts into which a prefix of keys falls
    LEAVES ..    depth 1, path 2, then key 6 and tag 4 of each entry below that prefix
    WANT   ..    keys whose records are asked for
    MORE     1   1: not all fitted in
    NAME   ..    the name that a newcomer would like to have, and its address 6
    DATA   ..    port 1, then what a part that stands on the fleet has to say
    PAGE     4   first row 2, number of the question 2
    TOTAL   ..   of a page: rows 2, living 2, dead 2, left 2, changes 4, bits 1, instances 2, fleet's name
    ROW     ..   of a page: a RECORD behind its length, then state 1, reach 1, tenths 1, list 3, ms ago 4
    EVERYONE 0   this JOIN went to all of the tier: some answer
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
MAX_DATAGRAM_BYTES = 256  # bytes, by PROTOCOL
AUTH_TAG_BYTES = 8  # of the MAC or checksum
HEADER_LAYOUT = struct.Struct("!BB4sB")
BODY_LAYOUT = struct.Struct("!6sIBHHI8sBB3s")  # run is 40 bits: 4 bytes and 1
BODY_BYTES = BODY_LAYOUT.size
OVERHEAD_BYTES = HEADER_LAYOUT.size + BODY_BYTES + AUTH_TAG_BYTES
LOAD_UNKNOWN = 255  # tenths in flight that are not told
LIST_VERSION_MODULUS = 1 << 24
# bits of the header's flags
FLAG_CHANGING = 0x04
FLAG_MINORITY = 0x08
TREE_FANOUT = 16
ADDRESS_CACHE_SIZE = 4096  # that are remembered as text and bytes
CHILD_DIGESTS_LAYOUT = struct.Struct("!BH" + "8s" * TREE_FANOUT)
PREFIX_LAYOUT = struct.Struct("!BH")
VIEW_SUMMARY_LAYOUT = struct.Struct("!HHHHIBH")
ROW_STATUS_LAYOUT = struct.Struct("!BBB3sI")


class MessageType(IntEnum):
    PING = 1
    ACK = 2
    INDIRECT_PING = 3  # ping TARGET for me
    NACK = 4  # it does not answer me either
    GOSSIP = 5
    JOIN = 6  # who is there?
    JOIN_REPLY = 7
    DIGEST_REQUEST = 8
    DIGEST_REPLY = 9
    ENTRIES_REQUEST = 10
    ENTRIES_REPLY = 11
    VIEW_REQUEST = 12  # staff: what do you see?
    VIEW_PAGE = 13
    USER_DATA = 14


class Section(IntEnum):
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
    """What a member says of its own work; it travels with its own datagrams and is never passed on."""

    in_flight_tenths: int = LOAD_UNKNOWN  # calls in flight, of what it may hold
    list_version: int = 0


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A claim as it travels. `record` is there where who says it takes the receiver for one who lacks it."""

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
        return next((value for kind, value in self.sections if kind == section), None)

    def values(self, section: Section) -> list[bytes]:
        return [value for kind, value in self.sections if kind == section]

    def probe_id(self) -> int | None:
        value = self.first_value(Section.PROBE_ID)
        return int.from_bytes(value[:4], "big") if value is not None and len(value) >= 4 else None


@lru_cache(ADDRESS_CACHE_SIZE)
def pack_address(address: Address) -> bytes:
    """Raises ValueError where the host is no IPv4 address."""
    return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")


@lru_cache(ADDRESS_CACHE_SIZE)
def unpack_address(value: bytes) -> Address:
    if len(value) < 6:
        raise MalformedDatagramError("an address that is cut short")
    return str(IPv4Address(value[:4])), int.from_bytes(value[4:6], "big")


def pack_incarnation(incarnation: Incarnation) -> bytes:
    generation, nonce, version = incarnation
    return generation.to_bytes(5, "big") + nonce.to_bytes(2, "big") + version.to_bytes(2, "big")


def unpack_incarnation(value: bytes) -> Incarnation:
    number = int.from_bytes
    return Incarnation(number(value[:5], "big"), number(value[5:7], "big"), number(value[7:9], "big"))


def pack_update(update: MemberUpdate) -> bytes:
    flags = update.claim | update.phase << 2 | (0x10 if update.confirmed else 0)
    accuser = (update.accuser or bytes(KEY_BYTES)) if update.claim is Claim.SUSPECT else b""
    return update.key + pack_incarnation(update.incarnation) + bytes((flags,)) + accuser + update.metadata


def unpack_update(value: bytes) -> MemberUpdate:
    if len(value) < 16:
        raise MalformedDatagramError("an update that is cut short")
    flags = value[15]
    if flags & 3 > Claim.LEFT:
        raise MalformedDatagramError("a claim that is none")
    claim = Claim(flags & 3)
    rest = value[16:]
    accuser = b""
    if claim is Claim.SUSPECT:
        if len(rest) < KEY_BYTES:
            raise MalformedDatagramError("a suspicion without who has it")
        accuser = rest[:KEY_BYTES]
        rest = rest[KEY_BYTES:]
        if accuser == bytes(KEY_BYTES):
            accuser = b""
    if len(rest) > MAX_METADATA_BYTES:
        raise MalformedDatagramError(f"a word of over {MAX_METADATA_BYTES} bytes")
    incarnation = unpack_incarnation(value[6:15])
    if not incarnation.generation:
        raise MalformedDatagramError("a run of nought")
    return MemberUpdate(
        value[:6], incarnation, claim, ServicePhase(flags >> 2 & 3), rest, accuser, bool(flags & 0x10)
    )


def pack_record(member_update: MemberUpdate) -> bytes:
    assert member_update.record is not None
    update = pack_update(member_update)
    record = member_update.record
    parts = [bytes((len(update),)), update]
    for text in (record.name, record.tier, record.zone):
        data = text.encode()
        parts += [bytes((len(data),)), data]
    return b"".join(parts) + pack_address(record.address)


def unpack_record(value: bytes) -> MemberUpdate:
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
    """One datagram in the making; a section that does not fit is left out, and the call says so."""

    __slots__ = ("max_bytes", "parts", "remaining_bytes")

    def __init__(self, max_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        self.parts: list[bytes] = []
        self.max_bytes = max_bytes
        self.remaining_bytes = max_bytes - OVERHEAD_BYTES

    def add_section(self, section: Section, value: bytes) -> bool:
        if len(value) > 255 or len(value) + 2 > self.remaining_bytes:
            return False
        self.parts += [bytes((section, len(value))), value]
        self.remaining_bytes -= len(value) + 2
        return True

    def add_probe_id(self, number: int) -> DatagramWriter:
        """Begins with the number of a probe or question."""
        self.add_section(Section.PROBE_ID, number.to_bytes(4, "big"))
        return self

    def add_update(self, update: MemberUpdate) -> bool:
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
    """All but the tag, which the guard puts behind it."""
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
    """Version, kind and fleet, before anything is believed."""
    if not OVERHEAD_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(f"{len(data)} bytes are no datagram of a fleet")
    version, kind, fleet, length = HEADER_LAYOUT.unpack_from(data)
    if not version:
        raise MalformedDatagramError("version 0")
    if length < BODY_BYTES or HEADER_LAYOUT.size + length + AUTH_TAG_BYTES > len(data):
        raise MalformedDatagramError("a header that is cut short")
    return version, kind, fleet


def decode_datagram(data: bytes) -> Datagram:
    """What `peek` has let through and whose tag is right. Raises Malformed. Kinds and sections of a newer
    version stay in it as they came."""
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
        raise MalformedDatagramError("a run or a number of nought")
    position = HEADER_LAYOUT.size + length
    end = len(data) - AUTH_TAG_BYTES
    sections = []
    while position < end:
        if position + 2 > end or position + 2 + data[position + 1] > end:
            raise MalformedDatagramError("a section that is cut short")
        sections.append((data[position], data[position + 2 : position + 2 + data[position + 1]]))
        position += 2 + data[position + 1]
    return Datagram(
        version,
        kind,
        sender,
        incarnation,
        sequence_number,
        int.from_bytes(digest, "big"),
        ServicePhase(flags & 3),
        bool(flags & FLAG_CHANGING),
        bool(flags & FLAG_MINORITY),
        LoadSummary(in_flight_tenths, int.from_bytes(list_version, "big")),
        len(data),
        sections,
    )
