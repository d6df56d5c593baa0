"""A process's claim to its name: how it outranks its predecessor without a disk or a right clock, and how it
gives way to a living namesake. Pure.

It asks before it claims. What others still know of an earlier process at the same address is outranked: its
run becomes one more than theirs. A holder at another address is asked whether it lives; if so the name stays
its, and this process is in conflict until it does not answer any more. Two that were parted when they took
the name can't both go on: who is outranked a second time by the same life gives way if its own is smaller.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.fleet.entries import MOST_RUN, Address, Incarnation, Record

MOST_RIVALS = 16  # lives that are remembered as outranked


class Standing(Enum):
    JOINING = "joining"
    CONTEST = "asking the name's holder"
    MEMBER = "member"
    CONFLICT = "in conflict"  # the name is another's
    LEFT = "left"


class Identity:
    def __init__(self, record: Record, incarnation: Incarnation) -> None:
        self.record = record
        self.incarnation = incarnation
        self.standing = Standing.JOINING
        self.outranked: dict[int, int] = {}  # lives, and the run that they had
        self.rival: Incarnation | None = None
        self.rival_address: Address = ("", 0)
        self.before = Standing.JOINING  # the contest
        self.complained = ""

    def renew(self, said: Incarnation) -> None:
        """Denies a suspicion of this process, or takes back what it last said of itself."""
        self.incarnation = max(self.incarnation, said).next()

    def leave(self) -> None:
        self.standing = Standing.LEFT

    def challenged(self, said: Incarnation, address: Address | None, over: bool) -> str:
        """An incarnation of this name, of another process: `outrank` it, `contest` it, give way to it
        (`conflict`), or nothing ("") while that is found out. `over`: it left, or is dead to who says it."""
        if self.standing in (Standing.CONFLICT, Standing.LEFT):
            return ""
        older = said < self.incarnation
        if older and (self.standing is Standing.MEMBER or over or address == self.record.address):
            return ""  # it is outranked as it is
        if over or address == self.record.address:
            return self._outrank(said)
        if said.life in self.outranked and said.run > self.outranked[said.life]:
            # It has denied what outranked it, so it lives.
            if self.incarnation.life < said.life:
                return "conflict"
            return self._outrank(said)
        if self.rival is not None:
            self.rival = max(self.rival, said)
            return ""
        if address is None:
            return ""  # who tells the whole record will come
        self.rival = said
        self.rival_address = address
        self.before = self.standing
        if self.standing is Standing.JOINING:
            self.standing = Standing.CONTEST
        return "contest"

    def _outrank(self, said: Incarnation) -> str:
        self.outranked[said.life] = said.run
        if len(self.outranked) > MOST_RIVALS:
            del self.outranked[next(iter(self.outranked))]
        if said > self.incarnation:
            self.incarnation = Incarnation(min(MOST_RUN, said.run + 1), self.incarnation.life, 0)
        if self.rival is not None and self.rival <= self.incarnation:
            self._end_contest()
        return "outrank"

    def _end_contest(self) -> None:
        self.rival = None
        if self.standing is Standing.CONTEST:
            self.standing = self.before

    def answered(self, holder: Incarnation) -> bool:
        """Somebody of this name answers: whether it is the rival, and so this one gives way."""
        return self.rival is not None and holder.life == self.rival.life

    def unanswered(self) -> None:
        assert self.rival is not None
        self._outrank(self.rival)

    def yielded(self) -> None:
        self.rival = None
        self.standing = Standing.CONFLICT

    def reconsider(self) -> None:
        """The holder may have gone: it is asked again from the beginning."""
        self.standing = Standing.JOINING
        self.rival = None
