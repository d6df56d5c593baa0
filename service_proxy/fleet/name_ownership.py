"""A process's claim to its name. Pure.

It outranks its predecessor without a disk or a right clock, and gives way to a living namesake. It asks
before it claims. What others still know of an earlier process at the same address is outranked: its
generation becomes one more than theirs. A holder at another address is asked whether it lives; if so the name
stays its, and this process is in conflict until it does not answer any more. Two that were parted when they
took the name can't both go on: who is outranked a second time by the same process gives way if its own nonce
is smaller.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.members import MAX_GENERATION, Address, Incarnation, MemberRecord

MAX_OUTRANKED = 16  # processes that are remembered as outranked


class MembershipStatus(Enum):
    """Whether this process is a member."""

    JOINING = "joining"
    CONTESTING = "asking the name's holder"
    MEMBER = "member"
    CONFLICT = "in conflict"  # the name is another's
    LEFT = "left"


class ChallengeOutcome(Enum):
    """What a member does about another process of its name."""

    NONE = "nothing: it is outranked as it is, or a contest is under way"
    OUTRANK = "announce an incarnation above it"
    CONTEST = "ask it whether it lives"
    CONFLICT = "give way to it"


class NameOwnership:
    """This process's claim to its name.

    Attributes:
        outranked: nonces of processes that it has outranked, with the generation that they had.
        rival: incarnation of the process that is asked whether it lives.
        status_before_contest: that a won contest returns to.
        reported_holder: of the name, as it was logged last.
    """

    def __init__(self, record: MemberRecord, incarnation: Incarnation) -> None:
        self.record = record
        self.incarnation = incarnation
        self.status = MembershipStatus.JOINING
        self.outranked: dict[int, int] = {}
        self.rival: Incarnation | None = None
        self.rival_address: Address = ("", 0)
        self.status_before_contest = MembershipStatus.JOINING
        self.reported_holder = ""

    def refute(self, claimed: Incarnation) -> None:
        """Deny a suspicion of this process, or supersede what it last said of itself."""
        self.incarnation = max(self.incarnation, claimed).incremented()

    def leave(self) -> None:
        """Record that this process has left."""
        self.status = MembershipStatus.LEFT

    def resolve_challenge(
        self, challenger: Incarnation, address: Address | None, departed: bool
    ) -> ChallengeOutcome:
        """Return what to do about an incarnation of this name that is another process's.

        `departed`: it left, or is dead to the member that sent it.
        """
        is_same_address = address == self.record.address
        if self._is_outranked(challenger, departed or is_same_address):
            return ChallengeOutcome.NONE
        if departed or is_same_address:
            return self._outrank(challenger)
        if challenger.generation > self.outranked.get(challenger.nonce, MAX_GENERATION):
            # It has denied what outranked it, so it lives.
            if self.incarnation.nonce < challenger.nonce:
                return ChallengeOutcome.CONFLICT
            return self._outrank(challenger)
        return self._contest(challenger, address)

    def _is_outranked(self, challenger: Incarnation, is_predecessor: bool) -> bool:
        """Return whether a challenger needs no answer: it is outranked as it is, or this claims no name."""
        if self.status in (MembershipStatus.CONFLICT, MembershipStatus.LEFT):
            return True
        return challenger < self.incarnation and (self.status is MembershipStatus.MEMBER or is_predecessor)

    def _contest(self, challenger: Incarnation, address: Address | None) -> ChallengeOutcome:
        if self.rival is not None:
            self.rival = max(self.rival, challenger)
            return ChallengeOutcome.NONE
        if address is None:
            return ChallengeOutcome.NONE  # who sends the whole record will come
        self.rival = challenger
        self.rival_address = address
        self.status_before_contest = self.status
        if self.status is MembershipStatus.JOINING:
            self.status = MembershipStatus.CONTESTING
        return ChallengeOutcome.CONTEST

    def _outrank(self, challenger: Incarnation) -> ChallengeOutcome:
        self.outranked[challenger.nonce] = challenger.generation
        if len(self.outranked) > MAX_OUTRANKED:
            del self.outranked[next(iter(self.outranked))]
        if challenger > self.incarnation:
            self.incarnation = Incarnation(
                min(MAX_GENERATION, challenger.generation + 1), self.incarnation.nonce, 0
            )
        if self.rival is not None and self.rival <= self.incarnation:
            self._end_contest()
        return ChallengeOutcome.OUTRANK

    def _end_contest(self) -> None:
        self.rival = None
        if self.status is MembershipStatus.CONTESTING:
            self.status = self.status_before_contest

    def is_rival(self, holder: Incarnation) -> bool:
        """Return whether a process of this name that answers is the rival, to which this one gives way."""
        return self.rival is not None and holder.nonce == self.rival.nonce

    def outrank_silent_rival(self) -> None:
        """Take the name of a rival that did not answer."""
        assert self.rival is not None
        self._outrank(self.rival)

    def yield_name(self) -> None:
        """Give way: the name is another's."""
        self.rival = None
        self.status = MembershipStatus.CONFLICT

    def retry_claim(self) -> None:
        """Begin anew: the holder may have gone."""
        self.status = MembershipStatus.JOINING
        self.rival = None
