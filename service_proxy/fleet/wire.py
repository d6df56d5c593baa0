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

from service_proxy.fleet.entries import (
    KEY_BYTES,
    MOST_LABEL,
    MOST_NAME,
    MOST_WORD,
    Address,
    Claim,
    Entry,
    Incarnation,
    Key,
    Phase,
    Record,
)

VERSION = 1
MOST_DATAGRAM = 256  # bytes, by PROTOCOL
TAG_BYTES = 8  # of the MAC or checksum
HEADER = struct.Struct("!BB4sB")
BODY = struct.Struct("!6sIBHHI8sBB3s")  # run is 40 bits: 4 bytes and 1
BODY_BYTES = BODY.size
FIXED = HEADER.size + BODY_BYTES + TAG_BYTES
UNTOLD = 255  # tenths in flight that are not told
MOST_LIST = 1 << 24
# bits of the header's flags
CHANGING = 0x04
MINORITY = 0x08
BRANCHES = 16
MOST_ADDRESSES = 4096  # that are remembered as text and bytes
TREE = struct.Struct("!BH" + "8s" * BRANCHES)
NODE = struct.Struct("!BH")
PART = struct.Struct("!HHHHIBH")
SEEN = struct.Struct("!BBB3sI")


class Malformed(ValueError):
    """No datagram of a fleet; the message says why."""


class Kind(IntEnum):
    PING = 1
    ACK = 2
    ASK = 3  # ping TARGET for me
    NACK = 4  # it does not answer me either
    GOSSIP = 5
    JOIN = 6  # who is there?
    WELCOME = 7
    TREE = 8
    BRANCHES = 9
    LEAVES = 10
    RECORDS = 11
    VIEW = 12  # staff: what do you see?
    PAGE = 13
    DATA = 14


class Section(IntEnum):
    PROBE = 1
    TARGET = 2
    ORIGIN = 3
    HEARD = 4
    UPDATE = 5
    RECORD = 6
    TREE = 7
    LEAVES = 8
    WANT = 9
    MORE = 10
    NAME = 11
    DATA = 12
    PAGE = 13
    TOTAL = 14
    ROW = 15
    EVERYONE = 16


@dataclass(frozen=True, slots=True)
class Figures:
    """What a member says of its own work; it travels with its own datagrams and is never passed on."""

    tenths: int = UNTOLD  # calls in flight, of what it may hold
    list_version: int = 0


@dataclass(frozen=True, slots=True)
class Said:
    """A claim as it travels. `record` is there where who says it takes the receiver for one who lacks it."""

    key: Key
    incarnation: Incarnation
    claim: Claim
    phase: Phase
    word: bytes = b""
    accuser: Key = b""  # who did not get an answer, with a suspicion
    sure: bool = False  # who says it holds it for dead
    record: Record | None = None


@dataclass(slots=True)
class Datagram:
    version: int
    kind: int
    sender: Key
    incarnation: Incarnation
    number: int
    digest: int
    phase: Phase
    changing: bool
    minority: bool
    figures: Figures
    size: int
    sections: list[tuple[int, bytes]] = field(default_factory=list)

    def one(self, section: Section) -> bytes | None:
        return next((value for kind, value in self.sections if kind == section), None)

    def all(self, section: Section) -> list[bytes]:
        return [value for kind, value in self.sections if kind == section]

    def probe(self) -> int | None:
        value = self.one(Section.PROBE)
        return int.from_bytes(value[:4], "big") if value is not None and len(value) >= 4 else None


@lru_cache(MOST_ADDRESSES)
def pack_address(address: Address) -> bytes:
    """Raises ValueError where the host is no IPv4 address."""
    return IPv4Address(address[0]).packed + address[1].to_bytes(2, "big")


@lru_cache(MOST_ADDRESSES)
def unpack_address(value: bytes) -> Address:
    if len(value) < 6:
        raise Malformed("an address that is cut short")
    return str(IPv4Address(value[:4])), int.from_bytes(value[4:6], "big")


def pack_incarnation(incarnation: Incarnation) -> bytes:
    run, life, beat = incarnation
    return run.to_bytes(5, "big") + life.to_bytes(2, "big") + beat.to_bytes(2, "big")


def unpack_incarnation(value: bytes) -> Incarnation:
    number = int.from_bytes
    return Incarnation(number(value[:5], "big"), number(value[5:7], "big"), number(value[7:9], "big"))


def pack_update(said: Said) -> bytes:
    bits = said.claim | said.phase << 2 | (0x10 if said.sure else 0)
    accuser = (said.accuser or bytes(KEY_BYTES)) if said.claim is Claim.SUSPECT else b""
    return said.key + pack_incarnation(said.incarnation) + bytes((bits,)) + accuser + said.word


def unpack_update(value: bytes) -> Said:
    if len(value) < 16:
        raise Malformed("an update that is cut short")
    bits = value[15]
    if bits & 3 > Claim.LEFT:
        raise Malformed("a claim that is none")
    claim = Claim(bits & 3)
    rest = value[16:]
    accuser = b""
    if claim is Claim.SUSPECT:
        if len(rest) < KEY_BYTES:
            raise Malformed("a suspicion without who has it")
        accuser = rest[:KEY_BYTES]
        rest = rest[KEY_BYTES:]
        if accuser == bytes(KEY_BYTES):
            accuser = b""
    if len(rest) > MOST_WORD:
        raise Malformed(f"a word of over {MOST_WORD} bytes")
    incarnation = unpack_incarnation(value[6:15])
    if not incarnation.run:
        raise Malformed("a run of nought")
    return Said(value[:6], incarnation, claim, Phase(bits >> 2 & 3), rest, accuser, bool(bits & 0x10))


def pack_record(said: Said) -> bytes:
    assert said.record is not None
    update = pack_update(said)
    record = said.record
    parts = [bytes((len(update),)), update]
    for text in (record.name, record.tier, record.zone):
        data = text.encode()
        parts += [bytes((len(data),)), data]
    return b"".join(parts) + pack_address(record.address)


def unpack_record(value: bytes) -> Said:
    update, at = _counted(value, 0, 255)
    name, at = _text(value, at, MOST_NAME)
    tier, at = _text(value, at, MOST_LABEL)
    zone, at = _text(value, at, MOST_LABEL)
    said = unpack_update(update)
    record = Record(name, unpack_address(value[at:]), tier, zone)
    return Said(
        said.key, said.incarnation, said.claim, said.phase, said.word, said.accuser, said.sure, record
    )


def _counted(value: bytes, at: int, most: int) -> tuple[bytes, int]:
    if at >= len(value) or value[at] > most or at + 1 + value[at] > len(value):
        raise Malformed("a text that is cut short or too long")
    end = at + 1 + value[at]
    return value[at + 1 : end], end


def _text(value: bytes, at: int, most: int) -> tuple[str, int]:
    data, at = _counted(value, at, most)
    try:
        text = data.decode()
    except UnicodeDecodeError:
        raise Malformed("a text that is no UTF-8") from None
    if not text.isprintable():
        raise Malformed("a text with control characters")
    return text, at


def said_of(entry: Entry, sure: bool = False, accuser: Key = b"", record: bool = True) -> Said:
    claim = Claim.SUSPECT if sure and entry.claim is not Claim.LEFT else entry.claim
    return Said(
        entry.key,
        entry.incarnation,
        claim,
        entry.phase,
        entry.word,
        accuser,
        sure,
        entry.record if record else None,
    )


class Writer:
    """One datagram in the making; a section that does not fit is left out, and the call says so."""

    __slots__ = ("most", "parts", "room")

    def __init__(self, most: int = MOST_DATAGRAM) -> None:
        self.parts: list[bytes] = []
        self.most = most
        self.room = most - FIXED

    def add(self, section: Section, value: bytes) -> bool:
        if len(value) > 255 or len(value) + 2 > self.room:
            return False
        self.parts += [bytes((section, len(value))), value]
        self.room -= len(value) + 2
        return True

    def probe(self, number: int) -> Writer:
        """Begins with the number of a probe or question."""
        self.add(Section.PROBE, number.to_bytes(4, "big"))
        return self

    def said(self, said: Said) -> bool:
        if said.record is not None:
            return self.add(Section.RECORD, pack_record(said))
        return self.add(Section.UPDATE, pack_update(said))


def write(
    kind: Kind,
    fleet: bytes,
    sender: Key,
    incarnation: Incarnation,
    number: int,
    digest: int,
    phase: Phase,
    flags: int,
    figures: Figures,
    parts: Iterable[bytes],
) -> bytes:
    """All but the tag, which the guard puts behind it."""
    run, life, beat = incarnation
    head = HEADER.pack(VERSION, kind, fleet, BODY_BYTES)
    body = BODY.pack(
        sender,
        run >> 8,
        run & 0xFF,
        life,
        beat,
        number,
        digest.to_bytes(8, "big"),
        phase | flags,
        figures.tenths,
        (figures.list_version % MOST_LIST).to_bytes(3, "big"),
    )
    return b"".join((head, body, *parts))


def peek(data: bytes) -> tuple[int, int, bytes]:
    """Version, kind and fleet, before anything is believed."""
    if not FIXED <= len(data) <= MOST_DATAGRAM:
        raise Malformed(f"{len(data)} bytes are no datagram of a fleet")
    version, kind, fleet, length = HEADER.unpack_from(data)
    if not version:
        raise Malformed("version 0")
    if length < BODY_BYTES or HEADER.size + length + TAG_BYTES > len(data):
        raise Malformed("a header that is cut short")
    return version, kind, fleet


def read(data: bytes) -> Datagram:
    """What `peek` has let through and whose tag is right. Raises Malformed. Kinds and sections of a newer
    version stay in it as they came."""
    version, kind, _, length = HEADER.unpack_from(data)
    sender, run, low, life, beat, number, digest, flags, tenths, listed = BODY.unpack_from(data, HEADER.size)
    incarnation = Incarnation(run << 8 | low, life, beat)
    if not incarnation.run or not number:
        raise Malformed("a run or a number of nought")
    at = HEADER.size + length
    end = len(data) - TAG_BYTES
    sections = []
    while at < end:
        if at + 2 > end or at + 2 + data[at + 1] > end:
            raise Malformed("a section that is cut short")
        sections.append((data[at], data[at + 2 : at + 2 + data[at + 1]]))
        at += 2 + data[at + 1]
    return Datagram(
        version,
        kind,
        sender,
        incarnation,
        number,
        int.from_bytes(digest, "big"),
        Phase(flags & 3),
        bool(flags & CHANGING),
        bool(flags & MINORITY),
        Figures(tenths, int.from_bytes(listed, "big")),
        len(data),
        sections,
    )
