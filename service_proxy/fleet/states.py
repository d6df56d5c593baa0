"""The states of a member in one view, as a table, and how two claims are merged. Pure; nothing else here.

What travels is a claim about an incarnation, and of two claims the greater of (incarnation, claim) holds:
that order is total, so merging is commutative, associative and idempotent. DEAD never travels. It is what a
view concludes by itself when a suspicion has run its time, and to others it is told as a suspicion that needs
no more confirmation: a side of a partition that buried the other can't bury it for anybody else.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.entries import Claim, Incarnation

Said = tuple[Incarnation, Claim]


class State(Enum):
    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"  # does not answer, or is said not to; counts as living until its time is up
    DEAD = "dead"
    LEFT = "left"  # said so itself


class Happening(Enum):
    """A claim beside what is held: about a newer incarnation, or the same one; or a time that ran out."""

    ALIVE_NEWER = "alive, newer"
    SUSPECT_NEWER = "suspect, newer"
    LEFT_NEWER = "left, newer"
    ALIVE_SAME = "alive, same"
    SUSPECT_SAME = "suspect, same"
    LEFT_SAME = "left, same"
    OLDER = "older"
    SUSPICION_OVER = "suspicion ran out"
    MEMORY_OVER = "memory ran out"


class Step(Enum):
    """What a view does beside the change of state."""

    NOTHING = "nothing"
    TAKE = "take it, pass it on"
    SUSPICION = "begin to suspect, pass it on"
    CONFIRM = "count who says so"
    BURY = "remember as dead"
    PART = "remember as left, pass it on"
    CORRECT = "tell who said so"
    FORGET = "forget"


S = State
H = Happening
D = Step
TABLE: dict[tuple[State, Happening], tuple[State, Step]] = {
    (S.UNKNOWN, H.ALIVE_NEWER): (S.ALIVE, D.TAKE),
    (S.UNKNOWN, H.SUSPECT_NEWER): (S.SUSPECT, D.SUSPICION),
    (S.UNKNOWN, H.LEFT_NEWER): (S.LEFT, D.PART),
    (S.ALIVE, H.ALIVE_NEWER): (S.ALIVE, D.TAKE),
    (S.ALIVE, H.SUSPECT_NEWER): (S.SUSPECT, D.SUSPICION),
    (S.ALIVE, H.LEFT_NEWER): (S.LEFT, D.PART),
    (S.ALIVE, H.ALIVE_SAME): (S.ALIVE, D.NOTHING),
    (S.ALIVE, H.SUSPECT_SAME): (S.SUSPECT, D.SUSPICION),
    (S.ALIVE, H.LEFT_SAME): (S.LEFT, D.PART),
    (S.ALIVE, H.OLDER): (S.ALIVE, D.NOTHING),
    (S.SUSPECT, H.ALIVE_NEWER): (S.ALIVE, D.TAKE),
    (S.SUSPECT, H.SUSPECT_NEWER): (S.SUSPECT, D.SUSPICION),
    (S.SUSPECT, H.LEFT_NEWER): (S.LEFT, D.PART),
    (S.SUSPECT, H.ALIVE_SAME): (S.SUSPECT, D.NOTHING),
    (S.SUSPECT, H.SUSPECT_SAME): (S.SUSPECT, D.CONFIRM),
    (S.SUSPECT, H.LEFT_SAME): (S.LEFT, D.PART),
    (S.SUSPECT, H.OLDER): (S.SUSPECT, D.NOTHING),
    (S.SUSPECT, H.SUSPICION_OVER): (S.DEAD, D.BURY),
    (S.DEAD, H.ALIVE_NEWER): (S.ALIVE, D.TAKE),
    (S.DEAD, H.SUSPECT_NEWER): (S.SUSPECT, D.SUSPICION),
    (S.DEAD, H.LEFT_NEWER): (S.LEFT, D.PART),
    (S.DEAD, H.ALIVE_SAME): (S.DEAD, D.CORRECT),
    (S.DEAD, H.SUSPECT_SAME): (S.DEAD, D.NOTHING),
    (S.DEAD, H.LEFT_SAME): (S.LEFT, D.PART),
    (S.DEAD, H.OLDER): (S.DEAD, D.CORRECT),
    (S.DEAD, H.MEMORY_OVER): (S.UNKNOWN, D.FORGET),
    (S.LEFT, H.ALIVE_NEWER): (S.ALIVE, D.TAKE),
    (S.LEFT, H.SUSPECT_NEWER): (S.SUSPECT, D.SUSPICION),
    (S.LEFT, H.LEFT_NEWER): (S.LEFT, D.PART),
    (S.LEFT, H.ALIVE_SAME): (S.LEFT, D.CORRECT),
    (S.LEFT, H.SUSPECT_SAME): (S.LEFT, D.CORRECT),
    (S.LEFT, H.LEFT_SAME): (S.LEFT, D.NOTHING),
    (S.LEFT, H.OLDER): (S.LEFT, D.CORRECT),
    (S.LEFT, H.MEMORY_OVER): (S.UNKNOWN, D.FORGET),
}

LIVING = frozenset((S.ALIVE, S.SUSPECT))
_NEWER = {Claim.ALIVE: H.ALIVE_NEWER, Claim.SUSPECT: H.SUSPECT_NEWER, Claim.LEFT: H.LEFT_NEWER}
_SAME = {Claim.ALIVE: H.ALIVE_SAME, Claim.SUSPECT: H.SUSPECT_SAME, Claim.LEFT: H.LEFT_SAME}


def merge(one: Said, other: Said) -> Said:
    """What holds of two claims about one member."""
    return max(one, other)


def happening(held: Incarnation | None, said: Said) -> Happening:
    """What a claim is beside the incarnation that a view holds; None: it holds none."""
    incarnation, claim = said
    if held is None or incarnation > held:
        return _NEWER[claim]
    return _SAME[claim] if incarnation == held else H.OLDER
