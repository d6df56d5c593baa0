"""A process's claim to its name: how it outranks its predecessor without a disk or a right clock, and how it
gives way to a living namesake. Pure.

It asks before it claims. What others still know of an earlier process at the same address is outranked: its
run becomes one more than theirs. A holder at another address is asked whether it lives; if so the name stays
its, and this process is in conflict until it does not answer any more. Two that were parted when they took
the name can't both go on: who is outranked a second time by the same life gives way if its own is smaller.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.members import MAX_GENERATION, Address, Incarnation, MemberRecord

MAX_OUTRANKED = 16  # lives that are remembered as outranked


class MembershipStatus(Enum):
    JOINING = "joining"
    CONTESTING = "asking the name's holder"
    MEMBER = "member"
    CONFLICT = "in conflict"  # the name is another's
    LEFT = "left"


class NameOwnership:
    def __init__(self, record: MemberRecord, incarnation: Incarnation) -> None:
        self.record = record
        self.incarnation = incarnation
        self.status = MembershipStatus.JOINING
        self.outranked: dict[int, int] = {}  # lives, and the run that they had
        self.rival: Incarnation | None = None
        self.rival_address: Address = ("", 0)
        self.status_before_contest = MembershipStatus.JOINING  # the contest
        self.reported_holder = ""

    def refute(self, claimed: Incarnation) -> None:
        """Denies a suspicion of this process, or takes back what it last said of itself."""
        self.incarnation = max(self.incarnation, claimed).incremented()

    def leave(self) -> None:
        self.status = MembershipStatus.LEFT

    def resolve_challenge(self, challenger: Incarnation, address: Address | None, departed: bool) -> str:
        """An incarnation of this name, of another process: `outrank` it, `contest` it, give way to it
        (`conflict`), or nothing ("") while that is found out. `over`: it left, or is dead to who says it."""
        if self.status in (MembershipStatus.CONFLICT, MembershipStatus.LEFT):
            return ""
        older = challenger < self.incarnation
        if older and (self.status is MembershipStatus.MEMBER or departed or address == self.record.address):
            return ""  # it is outranked as it is
        if departed or address == self.record.address:
            return self._outrank(challenger)
        if challenger.nonce in self.outranked and challenger.generation > self.outranked[challenger.nonce]:
            # It has denied what outranked it, so it lives.
            if self.incarnation.nonce < challenger.nonce:
                return "conflict"
            return self._outrank(challenger)
        if self.rival is not None:
            self.rival = max(self.rival, challenger)
            return ""
        if address is None:
            return ""  # who tells the whole record will come
        self.rival = challenger
        self.rival_address = address
        self.status_before_contest = self.status
        if self.status is MembershipStatus.JOINING:
            self.status = MembershipStatus.CONTESTING
        return "contest"

    def _outrank(self, challenger: Incarnation) -> str:
        self.outranked[challenger.nonce] = challenger.generation
        if len(self.outranked) > MAX_OUTRANKED:
            del self.outranked[next(iter(self.outranked))]
        if challenger > self.incarnation:
            self.incarnation = Incarnation(
                min(MAX_GENERATION, challenger.generation + 1), self.incarnation.nonce, 0
            )
        if self.rival is not None and self.rival <= self.incarnation:
            self._end_contest()
        return "outrank"

    def _end_contest(self) -> None:
        self.rival = None
        if self.status is MembershipStatus.CONTESTING:
            self.status = self.status_before_contest

    def is_rival(self, holder: Incarnation) -> bool:
        """Somebody of this name answers: whether it is the rival, and so this one gives way."""
        return self.rival is not None and holder.nonce == self.rival.nonce

    def outrank_silent_rival(self) -> None:
        assert self.rival is not None
        self._outrank(self.rival)

    def yield_name(self) -> None:
        self.rival = None
        self.status = MembershipStatus.CONFLICT

    def retry_claim(self) -> None:
        """The holder may have gone: it is asked again from the beginning."""
        self.status = MembershipStatus.JOINING
        self.rival = None
