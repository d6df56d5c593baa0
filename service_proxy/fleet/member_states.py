"""States of a member in one view as a transition table, and the order of claims.

Datagrams carry claims about incarnations. Of two claims about a member, the greater (incarnation, claim) is
in force. This order is total, so merging is commutative, associative and idempotent. DEAD is never sent: each
view concludes it by itself after a suspicion has expired, and disseminates it as a suspicion that needs no
further confirmation. Therefore one side of a partition that declares the other side dead can't do so on
behalf of any other view. Performs no I/O and reads no clock.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.members import Claim, Incarnation

VersionedClaim = tuple[Incarnation, Claim]


class MemberState(Enum):
    """The state of a member in one view.

    Attributes:
        SUSPECT: a probe by some member failed; the member counts as live until the suspicion expires.
        LEFT: the member announced its leave itself.
    """

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class ClaimEvent(Enum):
    """A claim, classified by comparison with the known incarnation, or the expiry of a time."""

    ALIVE_NEWER = "alive, newer"
    SUSPECT_NEWER = "suspect, newer"
    LEFT_NEWER = "left, newer"
    ALIVE_SAME = "alive, same"
    SUSPECT_SAME = "suspect, same"
    LEFT_SAME = "left, same"
    OLDER = "older"
    SUSPICION_EXPIRED = "suspicion expired"
    TOMBSTONE_EXPIRED = "tombstone expired"


class MergeAction(Enum):
    """Action of a view beside the change of state."""

    NOTHING = "nothing"
    ACCEPT = "accept and disseminate"
    START_SUSPICION = "start a suspicion and disseminate"
    CONFIRM_SUSPICION = "count another accuser or a confirmation"
    DECLARE_DEAD = "record as dead"
    RECORD_LEAVE = "record as left and disseminate"
    SEND_CORRECTION = "send the claim in force to the sender"
    FORGET = "forget"


S = MemberState
E = ClaimEvent
A = MergeAction
TRANSITIONS: dict[tuple[MemberState, ClaimEvent], tuple[MemberState, MergeAction]] = {
    (S.UNKNOWN, E.ALIVE_NEWER): (S.ALIVE, A.ACCEPT),
    (S.UNKNOWN, E.SUSPECT_NEWER): (S.SUSPECT, A.START_SUSPICION),
    (S.UNKNOWN, E.LEFT_NEWER): (S.LEFT, A.RECORD_LEAVE),
    (S.ALIVE, E.ALIVE_NEWER): (S.ALIVE, A.ACCEPT),
    (S.ALIVE, E.SUSPECT_NEWER): (S.SUSPECT, A.START_SUSPICION),
    (S.ALIVE, E.LEFT_NEWER): (S.LEFT, A.RECORD_LEAVE),
    (S.ALIVE, E.ALIVE_SAME): (S.ALIVE, A.NOTHING),
    (S.ALIVE, E.SUSPECT_SAME): (S.SUSPECT, A.START_SUSPICION),
    (S.ALIVE, E.LEFT_SAME): (S.LEFT, A.RECORD_LEAVE),
    (S.ALIVE, E.OLDER): (S.ALIVE, A.NOTHING),
    (S.SUSPECT, E.ALIVE_NEWER): (S.ALIVE, A.ACCEPT),
    (S.SUSPECT, E.SUSPECT_NEWER): (S.SUSPECT, A.START_SUSPICION),
    (S.SUSPECT, E.LEFT_NEWER): (S.LEFT, A.RECORD_LEAVE),
    (S.SUSPECT, E.ALIVE_SAME): (S.SUSPECT, A.NOTHING),
    (S.SUSPECT, E.SUSPECT_SAME): (S.SUSPECT, A.CONFIRM_SUSPICION),
    (S.SUSPECT, E.LEFT_SAME): (S.LEFT, A.RECORD_LEAVE),
    (S.SUSPECT, E.OLDER): (S.SUSPECT, A.NOTHING),
    (S.SUSPECT, E.SUSPICION_EXPIRED): (S.DEAD, A.DECLARE_DEAD),
    (S.DEAD, E.ALIVE_NEWER): (S.ALIVE, A.ACCEPT),
    (S.DEAD, E.SUSPECT_NEWER): (S.SUSPECT, A.START_SUSPICION),
    (S.DEAD, E.LEFT_NEWER): (S.LEFT, A.RECORD_LEAVE),
    (S.DEAD, E.ALIVE_SAME): (S.DEAD, A.SEND_CORRECTION),
    (S.DEAD, E.SUSPECT_SAME): (S.DEAD, A.NOTHING),
    (S.DEAD, E.LEFT_SAME): (S.LEFT, A.RECORD_LEAVE),
    (S.DEAD, E.OLDER): (S.DEAD, A.SEND_CORRECTION),
    (S.DEAD, E.TOMBSTONE_EXPIRED): (S.UNKNOWN, A.FORGET),
    (S.LEFT, E.ALIVE_NEWER): (S.ALIVE, A.ACCEPT),
    (S.LEFT, E.SUSPECT_NEWER): (S.SUSPECT, A.START_SUSPICION),
    (S.LEFT, E.LEFT_NEWER): (S.LEFT, A.RECORD_LEAVE),
    (S.LEFT, E.ALIVE_SAME): (S.LEFT, A.SEND_CORRECTION),
    (S.LEFT, E.SUSPECT_SAME): (S.LEFT, A.SEND_CORRECTION),
    (S.LEFT, E.LEFT_SAME): (S.LEFT, A.NOTHING),
    (S.LEFT, E.OLDER): (S.LEFT, A.SEND_CORRECTION),
    (S.LEFT, E.TOMBSTONE_EXPIRED): (S.UNKNOWN, A.FORGET),
}

LIVE_STATES = frozenset((S.ALIVE, S.SUSPECT))
_NEWER = {Claim.ALIVE: E.ALIVE_NEWER, Claim.SUSPECT: E.SUSPECT_NEWER, Claim.LEFT: E.LEFT_NEWER}
_SAME = {Claim.ALIVE: E.ALIVE_SAME, Claim.SUSPECT: E.SUSPECT_SAME, Claim.LEFT: E.LEFT_SAME}


def merge(one: VersionedClaim, other: VersionedClaim) -> VersionedClaim:
    """Return the claim that is in force of two claims about one member: the greater one."""
    return max(one, other)


def classify_claim(known: Incarnation | None, claimed: VersionedClaim) -> ClaimEvent:
    """Return the event of a claim; `known` is the member's incarnation in the view, None if there is none."""
    incarnation, claim = claimed
    if known is None or incarnation > known:
        return _NEWER[claim]
    return _SAME[claim] if incarnation == known else E.OLDER
