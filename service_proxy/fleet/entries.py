"""What is said of a member: its name's key, its incarnation, and the record that only it can change. Pure.

An incarnation is (run, life, beat). `run`: hundredths of a second of the wall clock at the process's start,
and above whatever the fleet still knows of an earlier process of the name, so that no disk and no right clock
is needed to outrank it. `life`: drawn at random, tells two processes of one name apart. `beat`: grows each
time the process denies a suspicion or changes what it says of itself.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from ipaddress import IPv4Address
from typing import NamedTuple

Key = bytes  # of a member: KEY_BYTES of its name's digest
Address = tuple[str, int]

KEY_BYTES = 6
MOST_NAME = 32  # bytes of a name in UTF-8
MOST_LABEL = 16  # bytes of a tier's or zone's name
MOST_WORD = 24  # bytes that a member says of itself for the parts that stand on the fleet
MOST_RUN = (1 << 40) - 1
MOST_LIFE = (1 << 16) - 1
MOST_BEAT = (1 << 16) - 1
RUN_UNIT = 0.01  # s


class Claim(IntEnum):
    """What travels about an incarnation; of two about the same one the greater holds."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2


class Phase(IntEnum):
    """What a member says of its own work."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Incarnation(NamedTuple):
    run: int
    life: int
    beat: int

    @property
    def process(self) -> tuple[int, int]:
        """The same for all of one process's time."""
        return self.run, self.life

    def next(self) -> Incarnation:
        """The one that denies this one's suspicion. After the last beat a new run begins."""
        if self.beat < MOST_BEAT:
            return self._replace(beat=self.beat + 1)
        return Incarnation(min(MOST_RUN, self.run + 1), self.life, 0)

    def __str__(self) -> str:
        return f"{self.run}.{self.life:04x}.{self.beat}"


class Record(NamedTuple):
    """What a process is for as long as it runs."""

    name: str
    address: Address  # where its datagrams arrive
    tier: str = ""
    zone: str = ""


class Entry(NamedTuple):
    """All that is known of a member; immutable, so that many views may hold the same one."""

    key: Key
    incarnation: Incarnation
    claim: Claim
    record: Record
    phase: Phase
    word: bytes
    tag: int  # 64 bits of key, incarnation and claim; the digest of a set of entries is the XOR of theirs

    @property
    def name(self) -> str:
        return self.record.name


def entry(
    key: Key,
    incarnation: Incarnation,
    claim: Claim,
    record: Record,
    phase: Phase = Phase.SERVING,
    word: bytes = b"",
) -> Entry:
    run, life, beat = incarnation
    said = b"%b%d.%d.%d.%d" % (key, run, life, beat, claim)
    tag = int.from_bytes(blake2b(said, digest_size=8).digest(), "big")
    return Entry(key, incarnation, claim, record, phase, word, tag)


def shown(address: Address) -> str:
    """A proxy that members call by its number is shown by that."""
    host, port = address
    if host.startswith("0."):
        return f"peer {int.from_bytes(IPv4Address(host).packed, 'big')}"
    return f"{host}:{port}"


def key_of(name: str) -> Key:
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def fleet_id(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=4, person=b"fleet").digest()


def first_run(wall: float) -> int:
    """The run of a process that starts at this wall time, s; a clock before 1970 reads as 1970."""
    return max(1, min(MOST_RUN, int(wall / RUN_UNIT)))
