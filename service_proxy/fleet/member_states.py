"""The states of a member in one view, as a table of transitions, and the order of claims. Pure.

What travels is a claim about an incarnation, and of two claims the greater of (incarnation, claim) holds:
that order is total, so merging is commutative, associative and idempotent. DEAD never travels. It is what a
view concludes by itself when a suspicion has run out, and to others it is told as a suspicion that needs no
further
confirmation: a side of a partition that declared the other dead can't do so for anybody else.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.members import Claim, Incarnation

VersionedClaim = tuple[Incarnation, Claim]


class MemberState(Enum):
    """The state of a member in one view."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"  # gave somebody no answer; counts as living until the suspicion runs out
    DEAD = "dead"
    LEFT = "left"  # announced it itself


class ClaimEvent(Enum):
    """A claim by how it compares with what the view holds, or a time that ran out."""

    ALIVE_NEWER = "alive, newer"
    SUSPECT_NEWER = "suspect, newer"
    LEFT_NEWER = "left, newer"
    ALIVE_SAME = "alive, same"
    SUSPECT_SAME = "suspect, same"
    LEFT_SAME = "left, same"
    OLDER = "older"
    SUSPICION_EXPIRED = "suspicion ran out"
    TOMBSTONE_EXPIRED = "memory ran out"


class MergeAction(Enum):
    """What a view does beside the change of state."""

    NOTHING = "nothing"
    ACCEPT = "take it, pass it on"
    START_SUSPICION = "begin to suspect, pass it on"
    CONFIRM_SUSPICION = "count who says so"
    DECLARE_DEAD = "remember as dead"
    RECORD_LEAVE = "remember as left, pass it on"
    SEND_CORRECTION = "send what holds to the sender"
    FORGET = "forget"


S = MemberState
H = ClaimEvent
D = MergeAction
TRANSITIONS: dict[tuple[MemberState, ClaimEvent], tuple[MemberState, MergeAction]] = {
    (S.UNKNOWN, H.ALIVE_NEWER): (S.ALIVE, D.ACCEPT),
    (S.UNKNOWN, H.SUSPECT_NEWER): (S.SUSPECT, D.START_SUSPICION),
    (S.UNKNOWN, H.LEFT_NEWER): (S.LEFT, D.RECORD_LEAVE),
    (S.ALIVE, H.ALIVE_NEWER): (S.ALIVE, D.ACCEPT),
    (S.ALIVE, H.SUSPECT_NEWER): (S.SUSPECT, D.START_SUSPICION),
    (S.ALIVE, H.LEFT_NEWER): (S.LEFT, D.RECORD_LEAVE),
    (S.ALIVE, H.ALIVE_SAME): (S.ALIVE, D.NOTHING),
    (S.ALIVE, H.SUSPECT_SAME): (S.SUSPECT, D.START_SUSPICION),
    (S.ALIVE, H.LEFT_SAME): (S.LEFT, D.RECORD_LEAVE),
    (S.ALIVE, H.OLDER): (S.ALIVE, D.NOTHING),
    (S.SUSPECT, H.ALIVE_NEWER): (S.ALIVE, D.ACCEPT),
    (S.SUSPECT, H.SUSPECT_NEWER): (S.SUSPECT, D.START_SUSPICION),
    (S.SUSPECT, H.LEFT_NEWER): (S.LEFT, D.RECORD_LEAVE),
    (S.SUSPECT, H.ALIVE_SAME): (S.SUSPECT, D.NOTHING),
    (S.SUSPECT, H.SUSPECT_SAME): (S.SUSPECT, D.CONFIRM_SUSPICION),
    (S.SUSPECT, H.LEFT_SAME): (S.LEFT, D.RECORD_LEAVE),
    (S.SUSPECT, H.OLDER): (S.SUSPECT, D.NOTHING),
    (S.SUSPECT, H.SUSPICION_EXPIRED): (S.DEAD, D.DECLARE_DEAD),
    (S.DEAD, H.ALIVE_NEWER): (S.ALIVE, D.ACCEPT),
    (S.DEAD, H.SUSPECT_NEWER): (S.SUSPECT, D.START_SUSPICION),
    (S.DEAD, H.LEFT_NEWER): (S.LEFT, D.RECORD_LEAVE),
    (S.DEAD, H.ALIVE_SAME): (S.DEAD, D.SEND_CORRECTION),
    (S.DEAD, H.SUSPECT_SAME): (S.DEAD, D.NOTHING),
    (S.DEAD, H.LEFT_SAME): (S.LEFT, D.RECORD_LEAVE),
    (S.DEAD, H.OLDER): (S.DEAD, D.SEND_CORRECTION),
    (S.DEAD, H.TOMBSTONE_EXPIRED): (S.UNKNOWN, D.FORGET),
    (S.LEFT, H.ALIVE_NEWER): (S.ALIVE, D.ACCEPT),
    (S.LEFT, H.SUSPECT_NEWER): (S.SUSPECT, D.START_SUSPICION),
    (S.LEFT, H.LEFT_NEWER): (S.LEFT, D.RECORD_LEAVE),
    (S.LEFT, H.ALIVE_SAME): (S.LEFT, D.SEND_CORRECTION),
    (S.LEFT, H.SUSPECT_SAME): (S.LEFT, D.SEND_CORRECTION),
    (S.LEFT, H.LEFT_SAME): (S.LEFT, D.NOTHING),
    (S.LEFT, H.OLDER): (S.LEFT, D.SEND_CORRECTION),
    (S.LEFT, H.TOMBSTONE_EXPIRED): (S.UNKNOWN, D.FORGET),
}

LIVE_STATES = frozenset((S.ALIVE, S.SUSPECT))
_NEWER = {Claim.ALIVE: H.ALIVE_NEWER, Claim.SUSPECT: H.SUSPECT_NEWER, Claim.LEFT: H.LEFT_NEWER}
_SAME = {Claim.ALIVE: H.ALIVE_SAME, Claim.SUSPECT: H.SUSPECT_SAME, Claim.LEFT: H.LEFT_SAME}


def merge(one: VersionedClaim, other: VersionedClaim) -> VersionedClaim:
    """Return which of two claims about one member holds."""
    return max(one, other)


def classify_claim(known: Incarnation | None, claimed: VersionedClaim) -> ClaimEvent:
    """Return how a claim compares with the incarnation that a view holds; None: it holds none."""
    incarnation, claim = claimed
    if known is None or incarnation > known:
        return _NEWER[claim]
    return _SAME[claim] if incarnation == known else H.OLDER
