"""One member of the fleet: events and a time in, datagrams and changes out. Pure; chance from a seed alone.

Each period it begins two probes: of the next of its shuffled ring (SWIM, 4.3: none waits for more than two
rounds), and of its successor by key, so that each member is probed by somebody in each period and views are
compared along a ring. What it has to say rides on these; what is urgent goes out five times a period as well.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from service_proxy.fleet import wire
from service_proxy.fleet.base import (
    ANY_FLEET,
    MOST_CORRECTIONS,
    MOST_PATHS,
    MOST_ROWS,
    MOST_STRANGERS,
    ODD,
    SAME,
    WAYS,
    Heard,
)
from service_proxy.fleet.entries import (
    Address,
    Claim,
    Entry,
    Key,
    Phase,
    shown,
)
from service_proxy.fleet.identity import Standing
from service_proxy.fleet.joining import Joining
from service_proxy.fleet.states import State, Step
from service_proxy.fleet.table import Change
from service_proxy.fleet.timing import (
    EXCHANGES,
    FANOUT,
    YOUNG,
    YOUNG_EXCHANGES,
)
from service_proxy.fleet.wire import Datagram, Figures, Kind, Malformed, Said, Section, Writer, said_of


class Taken(NamedTuple):
    """What has come of the last events."""

    out: list[tuple[Address, bytes]]  # datagrams to send
    changes: list[Change]
    deliveries: list[tuple[Key, int, bytes]]  # sender, port, what it says to a part that stands on the fleet
    notes: list[str]  # lines for the log


class Core(Joining):
    def _timed(self) -> dict[str, Callable[[int, bytes], None]]:
        return {**super()._timed(), "housekeeping": self._housekeeping}

    def take(self) -> Taken:
        found = Taken(self.out, self.table.changes, self.deliveries, self.notes)
        self.out = []
        self.table.changes = []
        self.deliveries = []
        self.notes = []
        return found

    # events
    def tick(self, now: float) -> None:
        self._pass(now)
        while self.timers and self.timers[0][0] <= self.now + SAME:
            _, _, what, number, key = heapq.heappop(self.timers)
            self._handlers[what](number, key)

    def say(self, now: float, phase: Phase | None = None, word: bytes | None = None) -> None:
        """What this member says of itself, from now on; told to all within some periods."""
        self._pass(now)
        phase = self.phase if phase is None else phase
        word = self.word if word is None else word
        if (phase, word) != (self.phase, self.word):
            self.phase = phase
            self.word = word
            wait = self.said_at + self.timing.period - self.now
            self._set(max(0.0, wait), "say")  # one that comes meanwhile goes with it

    def leave(self, now: float) -> None:
        """It ends by its own will: all who hear of it know that nothing is wrong."""
        self._pass(now)
        if self.standing is not Standing.MEMBER:
            return
        self.identity.leave()
        mine = self._own(Claim.LEFT, Phase.LEAVING)
        self.table.own(self.now, mine, "ends")
        said = said_of(mine, record=False)
        self.gossip.add(said, 4 * FANOUT)
        for _ in range(4):
            self._spread(FANOUT)

    def send(self, now: float, key: Key | None, port: int, data: bytes) -> bool:
        """For parts that stand on the fleet: to one member, or to all (None). Whether it fits and there is
        somebody; it may still be lost."""
        self._pass(now)
        to = [key] if key is not None else [other for other in self.table.order if other != self.key]
        sent = False
        for other in to:
            found = self.table.entries.get(other)
            writer = Writer()
            if found is None or other == self.key or not writer.add(Section.DATA, bytes((port,)) + data):
                continue
            self._send(found.record.address, Kind.DATA, writer)
            sent = True
        return sent

    def datagram(self, now: float, source: Address, data: bytes) -> None:
        """Anything that came at its socket from an address that may be a member's."""
        self._pass(now)
        try:
            _, kind, fleet = wire.peek(data)
            if fleet != self.fleet and (kind != Kind.VIEW or fleet != ANY_FLEET):
                self._stranger(source)
                return
            if not self.seals.holds(data):
                self.counts.refuse("spoilt or forged")
                return
            message = wire.read(data)
            if message.sender == self.key and message.incarnation.process == self.incarnation.process:
                self.counts.refuse("its own")
                return
            if not self.numbers.fresh(message.sender, message.incarnation.process, message.number):
                self.counts.refuse("seen before")
                return
            self.counts.taken += 1
            self.counts.taken_bytes += len(data)
            try:
                known = Kind(kind)
            except ValueError:
                self.counts.refuse("a newer version's kind")
                return
            self._take(known, message, source)
        except Malformed:
            self.counts.refuse("malformed")

    def _stranger(self, source: Address) -> None:
        self.counts.refuse("another fleet's")
        if source not in self.strangers and len(self.strangers) < MOST_STRANGERS:
            self.strangers.add(source)
            self.notes.append(
                f"datagrams of another fleet come from {shown(source)}; give each fleet its own members"
            )

    # datagrams in
    def _take(self, kind: Kind, message: Datagram, source: Address) -> None:
        if message.sender == self.key:
            self._namesake(kind, message, source)
            return
        if kind is Kind.VIEW:
            self._page(message, source)
            return
        if kind is Kind.JOIN:
            self._welcome(message, source)
            return
        held = self.table.entries.get(message.sender)
        if held is not None and held.incarnation.process == message.incarnation.process:
            self._hear_from(message)
            self._lives(message.sender)
        for section, value in message.sections:
            if section == Section.UPDATE:
                self._hear(wire.unpack_update(value), message, source)
            elif section == Section.RECORD:
                self._hear(wire.unpack_record(value), message, source)
        if kind is Kind.PING:
            self._answer_ping(message, source)
        elif kind is Kind.ACK:
            self._acked(message, source)
        elif kind is Kind.ASK:
            self._relay(message, source)
        elif kind is Kind.NACK:
            probe = self.probes.get(message.probe() or 0)
            if probe is not None:
                probe.nacks += 1
        elif kind is Kind.WELCOME:
            self.welcomed = True
            self._compare(message.sender, source, message.digest, young=True)
        elif kind is Kind.TREE:
            self._answer_tree(message, source)
        elif kind is Kind.LEAVES:
            self._answer_leaves(message, source)
        elif kind in (Kind.BRANCHES, Kind.RECORDS):
            self._walk_on(kind, message, source)
        elif kind is Kind.DATA and message.sender in self.table.entries:
            for value in filter(None, message.all(Section.DATA)):
                self.deliveries.append((message.sender, value[0], value[1:]))
        if kind in (Kind.PING, Kind.ACK, Kind.GOSSIP):
            self._compare(message.sender, source, message.digest)

    def _hear_from(self, message: Datagram) -> None:
        old = self.heard.get(message.sender)
        if old is None and len(self.heard) >= MOST_PATHS:
            return
        self.heard[message.sender] = Heard(self.now, message.digest, message.figures)

    def _hear(self, said: Said, message: Datagram, source: Address) -> None:
        """One claim, from whoever told it."""
        teller = message.sender
        if said.key == self.key:
            self._hear_of_self(said, message)
            return
        accuser = self._name(said.accuser) if said.accuser else ""
        reason = f"does not answer {accuser}" if said.claim is Claim.SUSPECT and accuser else ""
        if said.sure:
            reason = f"is dead to {accuser}" if accuser else "is dead to others"
        old = self.table.held(said.key)
        step = self.table.hear(self.now, said, teller, reason)
        if step in (Step.TAKE, Step.SUSPICION, Step.PART, Step.CONFIRM):
            # Who is new to this view may be new to others, too: the whole record goes on.
            new = old is None or old.incarnation.process != said.incarnation.process
            record = self.table.held(said.key).record if new else None  # type: ignore[union-attr]
            self._pass_on(replace(said, record=record))
            if step in (Step.SUSPICION, Step.CONFIRM):
                self._time_suspicion(said.key)
            if new:
                self.heard.pop(said.key, None)
                self.reach.pop(said.key, None)
                self._into_ring(said.key)
        elif step is Step.CORRECT or (old is not None and said.incarnation < old.incarnation):
            held = self.table.entries.get(teller)
            if held is not None and held.record.address == source:
                self._correct(said.key, source, message.size)

    # upkeep
    def _housekeeping(self, number: int, key: bytes) -> None:
        self._set(self.timing.period, "housekeeping")
        young = self.now - self.started < YOUNG * self.timing.period
        self.exchanges = YOUNG_EXCHANGES if young else EXCHANGES
        self.corrections = MOST_CORRECTIONS
        self.table.forget(self.now)

    # the view, for staff
    def _page(self, message: Datagram, source: Address) -> None:
        value = message.one(Section.PAGE)
        if value is None or len(value) < 4:
            return
        first = int.from_bytes(value[:2], "big")
        keys = sorted({*self.table.entries, *self.table.gone})
        writer = Writer(message.size)
        writer.add(Section.PAGE, value[:4])
        bits = self.settled() | self.minority << 1 | (self.standing is Standing.CONFLICT) << 2
        counts = (len(keys), len(self.table), self.table.dead, len(self.table.gone) - self.table.dead)
        total = wire.PART.pack(
            *(min(65535, count) for count in counts),
            self.table.stamp & 0xFFFFFFFF,
            bits | self.alone << 3,
            min(65535, self.instances()),
        )
        writer.add(Section.TOTAL, total + self.fleet_name.encode()[:64])
        for key in keys[first : first + MOST_ROWS]:
            if not writer.add(Section.ROW, self._row(key)):
                break
        self._send(source, Kind.PAGE, writer)

    def _row(self, key: Key) -> bytes:
        held = self.table.held(key)
        assert held is not None
        state = self.table.state(key)
        reach = self.reach.get(key)
        heard = self.heard.get(key)
        gone = self.table.gone.get(key)
        at = self.now if key == self.key else heard.at if heard else gone.at if gone else None
        ago = 0xFFFFFFFF if at is None else min(0xFFFFFFFE, int(max(0.0, self.now - at) * 1000))
        figures = self.figures if key == self.key else heard.figures if heard else Figures()
        way = WAYS.index(reach.way) if reach is not None and reach.times >= ODD else 0
        seen = wire.SEEN.pack(
            list(State).index(state),
            way,
            figures.tenths,
            (figures.list_version % wire.MOST_LIST).to_bytes(3, "big"),
            ago,
        )
        record = wire.pack_record(said_of(held))
        return bytes((len(record),)) + record + seen

    # for who makes a fleet at once, in virtual time
    def adopt(self, entries: dict[Key, Entry], order: list[Key], digest: int) -> None:
        """Begins as a member that knows all these; its own entry is among them."""
        mine = entries[self.key]
        self.identity.incarnation = mine.incarnation
        self.table.entries, self.table.order, self.table.digest = dict(entries), list(order), digest
        self.phase = mine.phase
        self.word = mine.word
        self.timers = [timer for timer in self.timers if timer[2] != "join"]
        heapq.heapify(self.timers)
        self.identity.standing = Standing.MEMBER
        self._begin()
