"""A process's claim to its name, which outranks predecessors and yields to a live process with the name.

Neither a disk nor a correct clock is needed. A joining process first asks other members about the name. If
they still record an earlier process at the same address, this process raises its generation to one more than
that process's generation. If they record a process at another address, this process pings that process. If
the process answers, it keeps the name, and this process is in conflict until the holder stops answering. Two
processes that acquired the name on different sides of a partition can't both keep it: a process that
is outranked a second time by the same process yields if its own nonce is smaller.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.members import MAX_GENERATION, Address, Incarnation, MemberRecord

MAX_OUTRANKED = 16  # Outranked processes that are recorded.


class MembershipStatus(Enum):
    """Whether this process is a member, and if not, why.

    Attributes:
        CONFLICT: another live process holds the name.
    """

    JOINING = "joining"
    CONTESTING = "pinging the name's holder"
    MEMBER = "member"
    CONFLICT = "in conflict"
    LEFT = "left"


class ChallengeOutcome(Enum):
    """Reaction of a member to another process with its name."""

    NONE = "nothing: the other process is outranked already, or a contest is in progress"
    OUTRANK = "announce an incarnation above the other process's"
    CONTEST = "ping the other process"
    CONFLICT = "yield the name to the other process"


class NameOwnership:
    """This process's claim to its name.

    Attributes:
        outranked: generations of the processes that this process has outranked, by their nonce.
        rival: incarnation of the process that is being pinged in a contest for the name; None: no contest.
        rival_address: address of that process.
        status_before_contest: status that is restored when this process wins the contest.
        reported_holder: address of the name's holder in the last name_conflict log line.
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
        """Raise this process's incarnation above `claimed`, to refute a claim or announce a new entry."""
        self.incarnation = max(self.incarnation, claimed).incremented()

    def leave(self) -> None:
        """Record that this process has left."""
        self.status = MembershipStatus.LEFT

    def resolve_challenge(
        self, challenger: Incarnation, address: Address | None, departed: bool
    ) -> ChallengeOutcome:
        """Return the reaction to an incarnation of this name that belongs to another process.

        `departed`: that process has left, or the sender of the update has declared it dead.
        """
        is_same_address = address == self.record.address
        if self._is_outranked(challenger, departed or is_same_address):
            return ChallengeOutcome.NONE
        if departed or is_same_address:
            return self._outrank(challenger)
        if challenger.generation > self.outranked.get(challenger.nonce, MAX_GENERATION):
            # The challenger has raised its generation since this process outranked it, so the challenger is
            # alive.
            if self.incarnation.nonce < challenger.nonce:
                return ChallengeOutcome.CONFLICT
            return self._outrank(challenger)
        return self._contest(challenger, address)

    def _is_outranked(self, challenger: Incarnation, is_predecessor: bool) -> bool:
        """Return whether a challenger needs no reaction: it is outranked, or this process claims no name."""
        if self.status in (MembershipStatus.CONFLICT, MembershipStatus.LEFT):
            return True
        return challenger < self.incarnation and (self.status is MembershipStatus.MEMBER or is_predecessor)

    def _contest(self, challenger: Incarnation, address: Address | None) -> ChallengeOutcome:
        if self.rival is not None:
            self.rival = max(self.rival, challenger)
            return ChallengeOutcome.NONE
        if address is None:
            # The contest waits for an update that contains the challenger's record and thus its address.
            return ChallengeOutcome.NONE
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
        """Return whether the process that answered is the rival, to which this process must yield."""
        return self.rival is not None and holder.nonce == self.rival.nonce

    def outrank_unresponsive_rival(self) -> None:
        """Outrank a rival that did not answer, and so win the contest for the name."""
        assert self.rival is not None
        self._outrank(self.rival)

    def yield_name(self) -> None:
        """Record that another process holds the name."""
        self.rival = None
        self.status = MembershipStatus.CONFLICT

    def retry_claim(self) -> None:
        """Return to JOINING to claim the name again, because its holder may have stopped."""
        self.status = MembershipStatus.JOINING
        self.rival = None
