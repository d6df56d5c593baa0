"""Data types of a member: the key of its name, its incarnation, its record and its entry in a view.

An incarnation is (generation, nonce, version). `generation` is the wall clock at the process's start in
hundredths of a second, raised above the generation of any earlier process with the name that the fleet still
records. A process therefore outranks its predecessor without a disk and without a correct clock. `nonce` is
random and distinguishes two processes with the same name. `version` grows each time the process refutes a
suspicion or changes its own entry. Performs no I/O and reads no clock.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import NamedTuple

MemberKey = bytes  # First KEY_BYTES of the digest of a member's name.
Address = tuple[str, int]

KEY_BYTES = 6
MAX_NAME_BYTES = 32  # Bytes of a member's name in UTF-8.
MAX_LABEL_BYTES = 16  # Bytes of the name of a tier or zone in UTF-8.
MAX_METADATA_BYTES = 24  # Bytes of the packed metadata of all subsystems that use the fleet.
MAX_GENERATION = (1 << 40) - 1
MAX_NONCE = (1 << 16) - 1
MAX_VERSION = (1 << 16) - 1
GENERATION_UNIT_S = 0.01


class Claim(IntEnum):
    """Claim about an incarnation; of two claims about the same incarnation the greater one is in force."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2


class ServicePhase(IntEnum):
    """Phase of a member's service, as the member itself announces it."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Incarnation(NamedTuple):
    """Version number that orders the claims about one name: the greater incarnation is the later one."""

    generation: int
    nonce: int
    version: int

    @property
    def process(self) -> tuple[int, int]:
        """Generation and nonce, which identify the process and do not change during its lifetime."""
        return self.generation, self.nonce

    def incremented(self) -> Incarnation:
        """Return the next incarnation, which refutes claims about this one.

        After the last version, the generation grows by one and the version restarts at 0.
        """
        if self.version < MAX_VERSION:
            return self._replace(version=self.version + 1)
        return Incarnation(min(MAX_GENERATION, self.generation + 1), self.nonce, 0)

    def __str__(self) -> str:
        return f"{self.generation}.{self.nonce:04x}.{self.version}"


class MemberRecord(NamedTuple):
    """Properties of a process that do not change during its lifetime; only the process itself sets them.

    Attributes:
        address: address at which the process receives datagrams.
    """

    name: str
    address: Address
    tier: str = ""
    zone: str = ""


class MemberEntry(NamedTuple):
    """State of a member in a view; immutable, so that several views can share one entry.

    `digest`: 64-bit hash of key, incarnation and claim; the digest of a set of entries is the XOR of theirs.
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
    """Return an address as text; a placeholder (see `peer_placeholder`) is shown as the peer's number."""
    host, port = address
    if host.startswith("0."):
        return f"peer {int.from_bytes(IPv4Address(host).packed, 'big')}"
    return f"{host}:{port}"


def member_key(name: str) -> MemberKey:
    """Return the key of a member's name."""
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def fleet_id(name: str) -> bytes:
    """Return the id of a fleet's name, which is part of each datagram's header."""
    return blake2b(name.encode(), digest_size=4, person=b"fleet").digest()


def initial_generation(wall_time: float) -> int:
    """Return the generation of a process that starts at this wall time, s; before 1970 counts as 1970."""
    return max(1, min(MAX_GENERATION, int(wall_time / GENERATION_UNIT_S)))
