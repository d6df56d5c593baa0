"""What of before is trusted, by kind of fact and by what happened. Pure; one table, a reason in each row.

Three degrees: a fact that is TRUSTED counts as if it were said now; a HINT is a place to look, and counts for
nothing until it is seen (an address that is probed, a member that is asked); IGNORED is not used at all.
Where it can't be told what happened, each row goes by the worst that may have: that is written in its column
`unknown`, and its reason says which way is the harmless one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from service_proxy.recovery.persisted_records import (
    Boot,
    Fact,
    Keyed,
    Learned,
    Maintenance,
    Member,
    Server,
    Source,
)

AHEAD = 60.0  # s by which a fact may lie ahead of the clock: clocks of one machine, set a little back
LIST_FOR = 600.0  # s for which a list is what the sources would still say
LEARNED_FOR = 120.0  # s for which a server's pace is likely to be the same
MEMBERS_FOR = 30 * 86_400.0  # s after which nobody is looked for at an address


class Loss(Enum):
    """What happened between the last word of this name's process and now."""

    PROCESS = "this process alone ended"
    MACHINE = "this machine ended"
    ZONE = "the zone lost power"
    FLEET = "everybody did"
    UNKNOWN = "not known yet"


class Trust(Enum):
    TRUSTED = "trusted"
    HINT = "hint"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class Row:
    """Degrees by what happened, for a fact whose time is past and not too old; `most`: its age, s."""

    process: Trust
    machine: Trust
    zone: Trust
    fleet: Trust
    unknown: Trust
    most: float
    old: Trust  # one that is older than that
    future: Trust  # one from the future
    why: str

    def by(self, loss: Loss) -> Trust:
        return {
            Loss.PROCESS: self.process,
            Loss.MACHINE: self.machine,
            Loss.ZONE: self.zone,
            Loss.FLEET: self.fleet,
            Loss.UNKNOWN: self.unknown,
        }[loss]


T = Trust.TRUSTED
H = Trust.HINT
N = Trust.IGNORED
EVER = float("inf")
TABLE: dict[str, Row] = {
    Boot.KIND: Row(
        T,
        T,
        T,
        T,
        T,
        EVER,
        T,
        T,
        "it only counts starts, and one that is counted twice harms nobody",
    ),
    Source.KIND: Row(
        T,
        T,
        H,
        H,
        H,
        LIST_FOR,
        H,
        N,
        "a version may be compared as long as its source has kept count; after a loss of its own machine a "
        "source may count anew, and then a higher number is no newer list",
    ),
    Server.KIND: Row(
        T,
        H,
        H,
        H,
        H,
        LIST_FOR,
        H,
        H,
        "servers stay where they are for longer than proxies live; but whether one still serves is only "
        "known when it answers, so after more than this process's own end an address is a place to probe",
    ),
    Maintenance.KIND: Row(
        T,
        T,
        T,
        T,
        T,
        EVER,
        T,
        T,
        "a machine that was out stays out until staff or the agreed order say otherwise: a call too few is "
        "no harm, one to an open machine is",
    ),
    Member.KIND: Row(
        H,
        H,
        H,
        H,
        H,
        MEMBERS_FOR,
        N,
        H,
        "who was there is asked first; whether it lives it says itself",
    ),
    Learned.KIND: Row(
        T,
        N,
        N,
        N,
        N,
        LEARNED_FOR,
        N,
        N,
        "a server's pace is that of its caches and neighbours, and these went with the power; nothing "
        "learned of a warm server may be held of a cold one",
    ),
    Keyed.KIND: Row(
        T,
        T,
        T,
        T,
        T,
        EVER,
        T,
        T,
        "to hold that a request may have run keeps its effect from coming twice; it ends by its own time, "
        "and where the clock can't be believed by none",
    ),
}


@dataclass(frozen=True, slots=True)
class Situation:
    """`now`: wall, s; `lost`: zones that lost power, where not all did; `seen`: the latest time that anything
    trustworthy has said (a store's newest fact, members); `damaged`: some of what was safe is lost."""

    now: float
    loss: Loss
    lost: frozenset[str] = frozenset()
    seen: float = 0.0
    damaged: bool = False
    stale: bool = False  # the store is older than this name's last process, as others knew it

    @property
    def clock_went_back(self) -> bool:
        return self.seen > self.now + AHEAD


@dataclass(frozen=True, slots=True)
class Verdict:
    trust: Trust
    why: str


def judge(fact: Fact, situation: Situation) -> Verdict:
    """How far a fact is trusted now."""
    row = TABLE[fact.KIND]
    age = situation.now - fact.at
    if situation.stale and row.by(Loss.FLEET) is not Trust.TRUSTED:
        return Verdict(Trust.IGNORED if fact.KIND == Learned.KIND else Trust.HINT, "the store is an old copy")
    if age < -AHEAD:
        return Verdict(row.future, f"its time lies {-age:.0f} s ahead of the clock")
    if situation.clock_went_back and row.by(Loss.FLEET) is not Trust.TRUSTED:
        least = row.future if row.future is not Trust.TRUSTED else Trust.HINT
        return Verdict(least, "the clock went back, so its age is not known")
    if age > row.most:
        return Verdict(row.old, f"it is {age:.0f} s old, over {row.most:.0f} s")
    return Verdict(row.by(situation.loss), row.why)


def cold(zone: str, situation: Situation) -> bool:
    """Whether a server of this zone is cold whatever a list says of its start."""
    return situation.loss in (Loss.FLEET, Loss.UNKNOWN) or zone in situation.lost


class Repeat(Enum):
    """What may be done with a request of which it is known that it may have run."""

    IN_GROUP = "to its group, within its time"
    NEVER = "never"
    FORGOTTEN = "its time is over"


def repeat(fact: Keyed, situation: Situation) -> Repeat:
    """After a loss no server of the group that lost power remembers a key; and the clock that says that its
    time is over has to be one that can be believed."""
    believed = not situation.clock_went_back and fact.at <= situation.now + AHEAD
    if believed and situation.now > fact.until:
        return Repeat.FORGOTTEN
    if not fact.group or not believed or situation.loss in (Loss.FLEET, Loss.UNKNOWN):
        return Repeat.NEVER
    if fact.group in situation.lost or (situation.lost and fact.group == "all"):
        return Repeat.NEVER
    return Repeat.IN_GROUP
