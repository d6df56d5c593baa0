"""Anti-entropy as one member does it: when it compares its view with another's, and what it answers. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from service_proxy.fleet import sync
from service_proxy.fleet.base import Base
from service_proxy.fleet.entries import (
    Address,
    Key,
)
from service_proxy.fleet.identity import Standing
from service_proxy.fleet.timing import (
    ASK,
    MOST_TRIES,
    QUIET,
    STARVED,
    YOUNG,
)
from service_proxy.fleet.wire import Datagram, Kind, Section, Writer


class Comparing(Base):
    def _timed(self) -> dict[str, Callable[[int, bytes], None]]:
        return {**super()._timed(), "begin walk": self._begin_walk, "walk": self._walk_late}

    def _compare(self, partner: Key, address: Address, digest: int, young: bool = False) -> None:
        if digest == self.table.digest or self.walk is not None or self.standing is Standing.CONFLICT:
            return
        if partner not in self.table.entries and not young:
            return
        period = self.timing.period
        if not young and self.now - self.started > YOUNG * period:
            quiet = self.now - self.table.changed_at >= QUIET * period
            starved = self.now - self.walked_at >= STARVED * period
            if not (quiet or starved):
                return
        held = self.table.entries.get(partner)
        self.walk = sync.Walk(partner, held.record.address if held is not None else address)
        self.walked_at = self.now
        self._set(0.0, "begin walk")  # not at once: nobody is answered with more than came

    def _begin_walk(self, number: int, key: bytes) -> None:
        if self.walk is not None and not self.walk.number:
            self._walk_ask()

    def _walk_ask(self) -> None:
        walk = self.walk
        assert walk is not None
        if not walk.open:
            self.walk = None
            return
        if self.exchanges <= 0:
            self.walk = None  # the rest in the next period, with whoever differs then
            self.walked_at = float("-inf")
            return
        self.exchanges -= 1
        walk.asked = walk.open[-1]
        walk.number = self._question()
        writer = Writer().probe(walk.number)
        by_name = sync.ask(self.table, walk.asked, writer)
        self._pad(writer)
        self._send(walk.address, Kind.LEAVES if by_name else Kind.TREE, writer)
        self._set(ASK * self.timing.period * (1 + self.health), "walk", walk.number)

    def _walk_late(self, number: int, key: bytes) -> None:
        walk = self.walk
        if walk is None or walk.number != number:
            return
        walk.tries += 1
        if walk.tries >= MOST_TRIES:
            self.walk = None
        else:
            self._walk_ask()

    def _walk_on(self, kind: Kind, message: Datagram, source: Address) -> None:
        walk = self.walk
        if walk is None or message.probe() != walk.number or message.sender != walk.partner:
            return
        walk.tries = 0
        walk.open.pop()
        if kind is Kind.BRANCHES:
            for value in message.all(Section.TREE):
                walk.open += sync.differing(self.table, value)
        else:
            wanted = message.one(Section.WANT)
            if wanted:
                self._give(walk.address, wanted, message.size)
            if wanted or message.one(Section.MORE) is not None:
                walk.open.append(walk.asked)
        self._walk_ask()

    def _give(self, address: Address, wanted: bytes, size: int) -> None:
        writer = Writer(size)
        for at in range(0, len(wanted) - 5, 6):
            key = bytes(wanted[at : at + 6])
            if key in self.table.entries:
                writer.said(sync.about(self.table, key, self.key))
        if writer.parts:
            self._send(address, Kind.GOSSIP, writer)

    def _answer_tree(self, message: Datagram, source: Address) -> None:
        writer = self._reply(message)
        for value in message.all(Section.TREE)[:1]:
            sync.answer_branches(self.table, value, writer)
            self._send(source, Kind.BRANCHES, writer)

    def _answer_leaves(self, message: Datagram, source: Address) -> None:
        writer = self._reply(message)
        for value in message.all(Section.LEAVES)[:1]:
            if sync.answer_leaves(self.table, value, self.key, writer):
                self._pad(writer)  # so that what is wanted may come in one
            self._send(source, Kind.RECORDS, writer)

    def _correct(self, key: Key, address: Address, size: int) -> None:
        """Who told an old claim is told what holds."""
        self.corrections -= 1
        if self.corrections < 0 or self.standing is not Standing.MEMBER:
            return
        writer = Writer(size)
        said = sync.about(self.table, key, self.key)
        if writer.said(said) or writer.said(replace(said, record=None)):
            self._send(address, Kind.GOSSIP, writer)
