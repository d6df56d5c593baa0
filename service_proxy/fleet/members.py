"""What is known of a member: the key of its name, its incarnation, and its record. Pure.

An incarnation is (generation, nonce, version). `generation`: hundredths of a second of the wall clock at the
process's start, and above whatever the fleet still knows of an earlier process of the name, so that neither a
disk nor a right clock is needed to outrank it. `nonce`: drawn at random, tells two processes of one name
apart. `version`: grows each time the process denies a suspicion or changes what it says of itself.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import NamedTuple

MemberKey = bytes  # of a member: KEY_BYTES of its name's digest
Address = tuple[str, int]

KEY_BYTES = 6
MAX_NAME_BYTES = 32  # bytes of a name in UTF-8
MAX_LABEL_BYTES = 16  # bytes of a tier's or zone's name
MAX_METADATA_BYTES = 24  # of all subsystems that use the fleet together
MAX_GENERATION = (1 << 40) - 1
MAX_NONCE = (1 << 16) - 1
MAX_VERSION = (1 << 16) - 1
GENERATION_UNIT_S = 0.01  # s


class Claim(IntEnum):
    """What travels about an incarnation; of two about the same one the greater holds."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2


class ServicePhase(IntEnum):
    """What a member says of its own work."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Incarnation(NamedTuple):
    """Orders the claims about one name: the greater is the later."""

    generation: int
    nonce: int
    version: int

    @property
    def process(self) -> tuple[int, int]:
        """The same for all of one process's time."""
        return self.generation, self.nonce

    def incremented(self) -> Incarnation:
        """Return the one that denies this one's suspicion. After the last version a new generation begins."""
        if self.version < MAX_VERSION:
            return self._replace(version=self.version + 1)
        return Incarnation(min(MAX_GENERATION, self.generation + 1), self.nonce, 0)

    def __str__(self) -> str:
        return f"{self.generation}.{self.nonce:04x}.{self.version}"


class MemberRecord(NamedTuple):
    """What a process is for as long as it runs; only it can change that."""

    name: str
    address: Address  # where its datagrams arrive
    tier: str = ""
    zone: str = ""


class MemberEntry(NamedTuple):
    """All that is known of a member; immutable, so that many views may share one.

    `digest`: 64 bits of key, incarnation and claim; the digest of a set of entries is the XOR of theirs.
    """

    key: MemberKey
    incarnation: Incarnation
    claim: Claim
    record: MemberRecord
    phase: ServicePhase
    metadata: bytes
    digest: int

    @property
    def name(self) -> str:
        """The member's name."""
        return self.record.name


def make_entry(
    key: MemberKey,
    incarnation: Incarnation,
    claim: Claim,
    record: MemberRecord,
    phase: ServicePhase = ServicePhase.SERVING,
    metadata: bytes = b"",
) -> MemberEntry:
    """Return an entry with its digest."""
    generation, nonce, version = incarnation
    hashed = b"%b%d.%d.%d.%d" % (key, generation, nonce, version, claim)
    digest = int.from_bytes(blake2b(hashed, digest_size=8).digest(), "big")
    return MemberEntry(key, incarnation, claim, record, phase, metadata, digest)


def format_address(address: Address) -> str:
    """Return an address as text; a peer that members name by its number is shown by that."""
    host, port = address
    if host.startswith("0."):
        return f"peer {int.from_bytes(IPv4Address(host).packed, 'big')}"
    return f"{host}:{port}"


def member_key(name: str) -> MemberKey:
    """Return the key of a member's name."""
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def fleet_id(name: str) -> bytes:
    """Return the id of a fleet's name, as it stands in each datagram."""
    return blake2b(name.encode(), digest_size=4, person=b"fleet").digest()


def initial_generation(wall_time: float) -> int:
    """Return the generation of a process that starts at this wall time, s; before 1970 reads as 1970."""
    return max(1, min(MAX_GENERATION, int(wall_time / GENERATION_UNIT_S)))
