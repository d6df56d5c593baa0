"""How a member comes to its name and to the others, and how it looks for those that it has lost. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from service_proxy.fleet import sync
from service_proxy.fleet.base import MOST_STRANGERS
from service_proxy.fleet.entries import (
    Address,
    Claim,
    Key,
    shown,
)
from service_proxy.fleet.identity import Standing
from service_proxy.fleet.probing import Probing
from service_proxy.fleet.states import State
from service_proxy.fleet.timing import (
    ALONE_AFTER,
    ANSWERS,
    EVERYONE_EVERY,
    FANOUT,
    JOIN_TO,
    RETRY_EVERY,
)
from service_proxy.fleet.wire import Datagram, Kind, Said, Section, Writer, said_of


class Joining(Probing):
    def _timed(self) -> dict[str, Callable[[int, bytes], None]]:
        return {
            **super()._timed(),
            "join": self._join,
            "retry": self._retry,
            "contest": self._contest,
            "say": self._say_now,
            "introduce": self._introduce,
        }

    # what it says of itself
    def _claim(self, reason: str) -> None:
        """Its entry as it is now, into its own view and on to all."""
        known = self.table.entries.get(self.key)
        mine = self._own()
        self.table.own(self.now, mine, reason)
        new = known is None or known.incarnation.process != mine.incarnation.process
        self.said_at = self.now
        self._pass_on(said_of(mine, record=new))

    def _say_now(self, number: int, key: bytes) -> None:
        known = self.table.entries.get(self.key)
        if self.standing is not Standing.MEMBER or known is None:
            return  # it is said with the first claim
        if (known.phase, known.word) != (self.phase, self.word):
            self.identity.renew(self.incarnation)
            self._claim(f"is {self.phase.name.lower()}")

    def _become_member(self) -> None:
        self.identity.standing = Standing.MEMBER
        self._claim("joins")
        self._begin()

    def _begin(self) -> None:
        """Its rounds, which go on from now."""
        if not self.probing:
            self.probing = True
            half = 0.5 * self.timing.period
            self._set(self.random.uniform(0, half), "probe", 0)
            self._set(self.random.uniform(0, half) + half, "probe", 1)
        self._go_on_asking()

    def _go_on_asking(self) -> None:
        if not self.retrying:
            self.retrying = True
            self._set(self.random.uniform(0.5, 1) * RETRY_EVERY * self.timing.period, "retry")

    def _hear_of_self(self, said: Said, message: Datagram) -> None:
        mine = self.incarnation
        if said.incarnation.process == mine.process:
            if said.claim is Claim.ALIVE or self.standing is not Standing.MEMBER:
                return
            if said.incarnation < mine:
                self._outdated(message.sender)
                return
            self.identity.renew(said.incarnation)
            self._claim(f"denies what {self._name(said.accuser or message.sender)} says")
            self._unwell(1)
            return
        over = said.claim is Claim.LEFT or said.sure
        address = said.record.address if said.record is not None else None
        what = self.identity.challenged(said.incarnation, address, over)
        if what == "outrank":
            if self.standing is Standing.MEMBER:
                self._claim("comes after a process of its name")
        elif what == "contest":
            self._set(0.0, "contest", 0)
        elif what == "conflict":
            self._conflict(address)
        elif said.incarnation < mine and self.standing is Standing.MEMBER:
            self._outdated(message.sender)

    def _outdated(self, teller: Key) -> None:
        """What holds is told to who says something old of this member. By a timer, since it may be longer
        than what came, and to where the view has the teller."""
        self.corrections -= 1
        if self.corrections >= 0 and teller in self.table.entries:
            self._set(0.0, "introduce", 0, teller)

    def _introduce(self, number: int, key: bytes) -> None:
        held = self.table.entries.get(key)
        if held is not None and self.standing is Standing.MEMBER:
            self._call_on(held.record.address)

    def _call_on(self, address: Address, dead: Key = b"") -> None:
        """A ping with this member's whole record, and with what the view holds of who was there."""
        writer = Writer().probe(self._question())
        if dead:
            writer.said(sync.about(self.table, dead, self.key))
        writer.said(said_of(self.table.entries[self.key]))
        self._pad(writer)
        self._send(address, Kind.PING, writer)

    # joining
    def _join(self, number: int, key: bytes) -> None:
        """Asks who is there; goes on as a member once somebody has answered, or nobody does."""
        if self.standing is Standing.CONTEST:
            self._set(self.timing.period, "join")
            return
        if self.standing is not Standing.JOINING:
            return
        if self.welcomed or not self.may_have_company or self.joins >= ALONE_AFTER:
            if not self.welcomed and self.may_have_company:
                self.notes.append("nobody answers: goes on alone, and goes on asking")
            self._become_member()
            return
        self.joins += 1
        for address in self.random.sample(self.seeds, min(JOIN_TO, len(self.seeds))):
            self._knock(address)
        if self.everyone is not None and (not self.seeds or self.joins == ALONE_AFTER):
            self._knock(self.everyone, everyone=True)  # the last resort: it costs each member a datagram
        self._set(self.timing.period * self.random.uniform(0.75, 1.25), "join")

    def _knock(self, address: Address, everyone: bool = False) -> None:
        writer = Writer()
        writer.add(Section.NAME, self.record.name.encode())
        if everyone:
            writer.add(Section.EVERYONE, b"")
        self._pad(writer)
        self._send(address, Kind.JOIN, writer)

    def _welcome(self, message: Datagram, source: Address) -> None:
        """Who asks is told who holds its name, who this is, and some who live. It is no member by that. Of
        those who were asked all at once, some answer."""
        if message.one(Section.EVERYONE) is not None:
            others = max(1, len(self.table) - 1)
            if self.random.random() >= ANSWERS / others:
                return
        writer = Writer(message.size)
        held = self.table.held(message.sender)
        if held is not None:
            writer.said(replace(sync.about(self.table, held.key, self.key), record=held.record))
        if self.standing in (Standing.JOINING, Standing.MEMBER):
            writer.said(said_of(self._own()))
        for key in self._draw(FANOUT, (message.sender,)):
            writer.said(sync.about(self.table, key, self.key))
        self._send(source, Kind.WELCOME, writer)

    def _retry(self, number: int, key: bytes) -> None:
        """Who was dead may only have been cut off, and at an address that nobody was heard at there may be
        somebody by now: one is tried at a time."""
        self._set(RETRY_EVERY * self.timing.period * self.random.uniform(0.9, 1.1), "retry")
        if self.standing is Standing.CONFLICT:
            self.identity.reconsider()
            self.joins = 0
            self.welcomed = False
            self._set(0.0, "join")
            return
        if self.everyone is not None and self.alone:
            self.calls += 1
            if self.calls >= EVERYONE_EVERY:
                self.calls = 0
                self._knock(self.everyone, everyone=True)
        if not self.retries and (self.table.dead or self.seeds):
            used = {held.record.address for held in self.table.entries.values()}
            dead = [g.entry.record.address for g in self.table.gone.values() if g.state is State.DEAD]
            left = {g.entry.record.address for g in self.table.gone.values() if g.state is State.LEFT}
            unheard = [address for address in self.seeds if address not in left]
            self.retries = [a for a in dict.fromkeys([*dead, *unheard]) if a not in used]
            self.random.shuffle(self.retries)
        if self.retries and self.standing is Standing.MEMBER:
            address = self.retries.pop()
            dead_there = [
                gone.entry.key
                for gone in self.table.gone.values()
                if gone.state is State.DEAD and gone.entry.record.address == address
            ]
            self._call_on(address, dead_there[0] if dead_there else b"")

    # namesakes
    def _namesake(self, kind: Kind, message: Datagram, source: Address) -> None:
        """Another process with this name. Who holds the name says so to who wants it, and both are told."""
        if kind is Kind.ACK:
            if self.identity.answered(message.incarnation):
                self._conflict(source)
        elif kind is Kind.PING and message.one(Section.NAME) is not None:
            if self.standing is Standing.MEMBER:
                if source not in self.claimants and len(self.claimants) < MOST_STRANGERS:
                    self.claimants.add(source)
                    self.notes.append(
                        f"a process at {shown(source)} wants the name {self.record.name}, which is "
                        "this one's; give one of them another name"
                    )
                self._send(source, Kind.ACK, self._reply(message))
        elif kind is Kind.JOIN:
            # A successor, or who takes the name by mistake: it is to know that the name is held.
            self._welcome(message, source)

    def _contest(self, number: int, key: bytes) -> None:
        """The holder of the name is asked whether it lives; where it does not answer, the name is free."""
        if self.identity.rival is None:
            return
        least = self.timing.shortest(len(self.table))
        rounds = max(2, int(least / self.timing.period * 2))
        if number >= rounds:
            self.identity.unanswered()
            self.notes.append(f"the holder of the name {self.record.name} does not answer: it is ours")
            if self.standing is Standing.MEMBER:
                self._claim("comes after a process of its name")
            return
        writer = Writer().probe(self._question())
        writer.add(Section.NAME, self.record.name.encode())
        self._send(self.identity.rival_address, Kind.PING, writer)
        self._set(self.timing.period / 2, "contest", number + 1)

    def _conflict(self, address: Address | None) -> None:
        """The name is another's: this process says nothing more as a member."""
        if self.standing is Standing.CONFLICT:
            return
        self.identity.yielded()
        self._go_on_asking()
        at = shown(address) if address is not None else "another address"
        text = f"the name {self.record.name} is held by a living process at {at}; give this one another name"
        if self.identity.complained != at:
            self.identity.complained = at
            self.notes.append(text)
