"""One member of the fleet: events and a time in, datagrams and changes out. Pure; chance from a seed alone.

Each period it begins two probes: of the next of its shuffled ring (SWIM, 4.3: none waits for more than two
rounds), and of its successor by key, so that each member is probed by somebody in each period and views are
compared along a ring. What it has to say rides on these; what is urgent goes out five times a period as well.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import NamedTuple

from granitepoint.fleet import sync, wire
from granitepoint.fleet.entries import (
    MOST_LIFE,
    Address,
    Claim,
    Entry,
    Incarnation,
    Key,
    Phase,
    Record,
    entry,
    first_run,
    fleet_id,
    key_of,
    shown,
)
from granitepoint.fleet.gossip import Gossip
from granitepoint.fleet.guard import Numbers, Seals
from granitepoint.fleet.identity import Identity, Standing
from granitepoint.fleet.states import LIVING, State, Step
from granitepoint.fleet.table import Change, Table
from granitepoint.fleet.timing import (
    AGAIN,
    ALONE_AFTER,
    ASK,
    EXCHANGES,
    FANOUT,
    GIVE_UP,
    GOSSIP_EVERY,
    HELPERS,
    JOIN_TO,
    LATELY,
    MOST_HEALTH,
    MOST_TRIES,
    QUIET,
    RETRY_EVERY,
    STALL,
    STARVED,
    VERDICT,
    YOUNG,
    YOUNG_EXCHANGES,
    Timing,
)
from granitepoint.fleet.wire import Datagram, Figures, Kind, Malformed, Said, Section, Writer, said_of

MOST_RELAYS = 256  # probes in the stead of others that are open at once
MOST_ROWS = 4  # of a view in one answer
MOST_PATHS = 20_000  # members of whose ways something is remembered
ROOM_FOR_TWO = 128  # bytes: an answer, and the datagram that goes to on whose behalf it was asked
JUST = 0.75  # periods: since the pings that had to be repeated by others
SAME = 1e-6  # s; a reading that was taken apart and put together again differs by less
ODD = 3  # probes in a row that only others brought about; fewer are lost datagrams
MOST_CORRECTIONS = 16  # in a period
MOST_STRANGERS = 16  # addresses that are named in the log
ANY_FLEET = bytes(4)  # staff need not know the name
FILL = 250  # the type of a section that only makes room for the answer


class Reach(NamedTuple):
    """How a member was reached by the last probes, where not directly. `way` is one of WAYS."""

    way: str
    times: int  # in a row; named from ODD on


WAYS = ("", "answers no probe of ours: only through others", "hears us, and we don't hear it",
        "we hear it, and it does not hear us", "neither way directly: only through others")  # fmt: skip


@dataclass(slots=True)
class Heard:
    """What a member's own datagrams said last."""

    at: float
    process: tuple[int, int]
    digest: int
    figures: Figures
    changing: bool
    minority: bool


@dataclass(slots=True)
class Probe:
    key: Key
    process: tuple[int, int]
    number: int
    last: bool  # before its death is declared
    asked: int = 0
    nacks: int = 0
    silent: bool = False  # it answers nobody in time: of no account to this member's own health


@dataclass(slots=True)
class Relay:
    address: Address
    number: int
    target: Key
    target_address: Address


@dataclass(slots=True)
class Counts:
    """Of datagrams, by what became of them; bytes as UDP's payload."""

    sent: int = 0
    sent_bytes: int = 0
    taken: int = 0
    taken_bytes: int = 0
    refused: dict[str, int] = field(default_factory=dict)

    def refuse(self, why: str) -> None:
        self.refused[why] = self.refused.get(why, 0) + 1


class Taken(NamedTuple):
    """What has come of the last events."""

    out: list[tuple[Address, bytes]]  # datagrams to send
    changes: list[Change]
    deliveries: list[tuple[Key, int, bytes]]  # sender, port, what it says to a part that stands on the fleet
    notes: list[str]  # lines for the log


class Core:
    def __init__(
        self,
        fleet: str,
        record: Record,
        seeds: Sequence[Address],
        timing: Timing,
        seed: int,
        now: float,
        wall: float,
        seals: Seals | None = None,
    ) -> None:
        """`seeds`: addresses at which others may be; its own among them is passed over."""
        self.fleet_name, self.fleet = fleet, fleet_id(fleet)
        self.random = Random(seed)
        self.timing = timing
        self.seals = seals or Seals()
        self.numbers = Numbers()
        self.seeds = [address for address in dict.fromkeys(seeds) if address != record.address]
        self.key = key_of(record.name)
        run = Incarnation(first_run(wall), self.random.randint(1, MOST_LIFE), 0)
        self.identity = Identity(record, run)
        self.table = Table(timing)
        self.gossip = Gossip()
        self.phase, self.word, self.figures = Phase.STARTING, b"", Figures()
        self.said_at = float("-inf")  # when it last changed what it says of itself
        self.heard: dict[Key, Heard] = {}
        self.reach: dict[Key, Reach] = {}
        self.claimants: set[Address] = set()  # others who want this name
        self.strangers: set[Address] = set()  # of other fleets
        self.corrections = 0  # that are left in this period
        self.probing = self.retrying = False
        self.health = 0
        self.counts = Counts()
        self.number = 0  # of datagrams
        self.questions = 0  # numbers of probes and questions
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.walk: sync.Walk | None = None
        self.walked_at = float("-inf")
        self.exchanges = 0  # questions that are left in this period
        self.joins = 0
        self.welcomed = False
        self.gossiping = False
        self.ring: list[Key] = []
        self.retries: list[Address] = []
        self.now, self.offset = now, 0.0
        self.started = now
        self.timers: list[tuple[float, int, str, int, bytes]] = []
        self.timer_count = 0
        self.out: list[tuple[Address, bytes]] = []
        self.deliveries: list[tuple[Key, int, bytes]] = []
        self.notes: list[str] = []
        self._handlers = {
            "join": self._join, "probe": self._begin_probe, "again": self._again, "ask": self._ask,
            "verdict": self._verdict, "suspicion": self._suspicion_due, "gossip": self._gossip,
            "retry": self._retry, "walk": self._walk_late, "begin walk": self._begin_walk,
            "relay": self._relay_over, "housekeeping": self._housekeeping, "contest": self._contest,
            "say": self._say_now,
        }  # fmt: skip
        self._set(0.0, "join")
        self._set(timing.period, "housekeeping")

    # what others read
    @property
    def standing(self) -> Standing:
        return self.identity.standing

    @property
    def incarnation(self) -> Incarnation:
        return self.identity.incarnation

    @property
    def record(self) -> Record:
        return self.identity.record

    @property
    def due(self) -> float:
        """When `tick` is wanted next, on the clock whose readings it was given."""
        return self.timers[0][0] - self.offset

    @property
    def minority(self) -> bool:
        """Less than half lives of all that it knew and that did not leave."""
        living = len(self.table)
        return 2 * living < living + self.table.dead or self.standing is Standing.CONFLICT

    @property
    def alone(self) -> bool:
        return len(self.table) <= 1

    def settled(self) -> bool:
        """No change for a while, and all who were heard lately see the same."""
        if self.standing is not Standing.MEMBER or self.table.suspicions or (self.alone and self.seeds):
            return False
        if self.now - self.table.changed_at < QUIET * self.timing.period:
            return False
        since = self.now - LATELY * self.timing.period
        return all(
            heard.digest == self.table.digest
            for key, heard in self.heard.items()
            if heard.at >= since and key in self.table.entries
        )

    def instances(self) -> int:
        """Living members of its tier that take calls or will, itself among them."""
        tier = self.record.tier
        living = self.table.entries.values()
        return max(1, sum(e.record.tier == tier and e.phase is not Phase.LEAVING for e in living))

    def take(self) -> Taken:
        found = Taken(self.out, self.table.changes, self.deliveries, self.notes)
        self.out, self.table.changes, self.deliveries, self.notes = [], [], [], []
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
            self.phase, self.word = phase, word
            wait = self.said_at + self.timing.period - self.now
            self._set(max(0.0, wait), "say")  # one that comes meanwhile goes with it

    def leave(self, now: float) -> None:
        """It ends by its own will: all who hear of it know that nothing is wrong."""
        self._pass(now)
        if self.standing is not Standing.MEMBER:
            return
        self.identity.leave()
        mine = entry(self.key, self.incarnation, Claim.LEFT, self.record, Phase.LEAVING, self.word)
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
                f"datagrams of another fleet come from {shown(source)}; " "give each fleet its own members"
            )

    # time
    def _pass(self, now: float) -> None:
        """The reading may go back or leap; what is kept here only goes forward. Where this process stood
        still, nothing that others did or failed to do meanwhile is held against them."""
        at = now + self.offset
        if at < self.now:
            self.offset += self.now - at
            at = self.now
        late = at - self.timers[0][0] if self.timers else 0.0
        self.now = at
        if late > STALL * self.timing.period:
            self.notes.append(f"this process stood still for {late:.2f} s")
            self.timers = [(due + late, *rest) for due, *rest in self.timers]  # type: ignore[misc]
            heapq.heapify(self.timers)
            for suspicion in self.table.suspicions.values():
                suspicion.began += late
                suspicion.due += late
                suspicion.heard += late
            for heard in self.heard.values():
                heard.at += late
            self.probes.clear()
            self.relays.clear()
            self._unwell(2)

    def _set(self, wait: float, what: str, number: int = 0, key: bytes = b"") -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (self.now + wait, self.timer_count, what, number, key))

    def _unwell(self, by: int) -> None:
        """This member's own health (Lifeguard, 4.1); the worse, the longer it waits for others."""
        self.health = max(0, min(MOST_HEALTH, self.health + by))

    def _question(self) -> int:
        self.questions = self.questions + 1 & 0xFFFFFFFF
        return self.questions

    # datagrams out
    def _send(self, address: Address, kind: Kind, writer: Writer) -> None:
        self.number += 1
        flags = wire.MINORITY if self.minority else 0
        if self.now - self.table.changed_at < QUIET * self.timing.period:
            flags |= wire.CHANGING
        data = self.seals.seal(
            wire.write(kind, self.fleet, self.key, self.incarnation, self.number, self.table.digest,
                       self.phase, flags, self.figures, writer.parts)
        )  # fmt: skip
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((address, data))

    def _pad(self, writer: Writer, size: int = wire.MOST_DATAGRAM) -> None:
        """To this size, so that the answer may have it."""
        fill = writer.room - 2 - (wire.MOST_DATAGRAM - size)
        if fill >= 0:
            writer.parts += [bytes((FILL, min(255, fill))), bytes(min(255, fill))]
            writer.room -= 2 + fill

    def _spread(self, count: int) -> None:
        """What waits to be passed on goes to so many members drawn at random."""
        for key in self._draw(count, ()):
            writer = Writer()
            self.gossip.fill(writer)
            if not writer.parts:
                return
            self._send(self.table.entries[key].record.address, Kind.GOSSIP, writer)

    def _draw(self, count: int, without: Iterable[Key]) -> list[Key]:
        """Different living members, but this one and those."""
        order, barred = self.table.order, {self.key, *without}
        if len(order) <= count + len(barred):
            found = [key for key in order if key not in barred]
            self.random.shuffle(found)
            return found[:count]
        drawn: list[Key] = []
        while len(drawn) < count:
            key = order[self.random.randrange(len(order))]
            if key not in barred:
                barred.add(key)
                drawn.append(key)
        return drawn

    def _pass_on(self, said: Said) -> None:
        self.gossip.add(said, self.timing.transmissions(len(self.table)))
        if not self.gossiping:
            self.gossiping = True
            self._set(self.random.uniform(0, GOSSIP_EVERY) * self.timing.period, "gossip")

    def _gossip(self, number: int, key: bytes) -> None:
        self.gossiping = bool(self.gossip) and self.standing is Standing.MEMBER
        if self.gossiping:
            self._spread(FANOUT)
            self._set(GOSSIP_EVERY * self.timing.period, "gossip")

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
        self.heard[message.sender] = Heard(
            self.now, message.incarnation.process, message.digest, message.figures, message.changing,
            message.minority,
        )  # fmt: skip

    def _lives(self, key: Key) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            suspicion.heard = self.now

    def _hear(self, said: Said, message: Datagram, source: Address) -> None:
        """One claim, from whoever told it."""
        teller = message.sender
        if said.key == self.key:
            self._hear_of_self(said, message, source)
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
            self._pass_on(
                Said(said.key, said.incarnation, said.claim, said.phase, said.word, said.accuser, said.sure,
                     record)
            )  # fmt: skip
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

    def _correct(self, key: Key, address: Address, size: int) -> None:
        """Who told an old claim is told what holds."""
        self.corrections -= 1
        if self.corrections < 0 or self.standing is not Standing.MEMBER:
            return
        writer = Writer(size)
        said = sync.about(self.table, key, self.key)
        if writer.said(said) or writer.said(replace(said, record=None)):
            self._send(address, Kind.GOSSIP, writer)

    def _hear_of_self(self, said: Said, message: Datagram, source: Address) -> None:
        mine = self.incarnation
        if said.incarnation.process == mine.process:
            if said.claim is Claim.ALIVE or self.standing is not Standing.MEMBER:
                return
            if said.incarnation < mine:  # it was denied, and who says it has not heard that
                self._correct(self.key, source, message.size)
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

    # what it says of itself
    def _claim(self, reason: str) -> None:
        """Its entry as it is now, into its own view and on to all."""
        known = self.table.entries.get(self.key)
        mine = entry(self.key, self.incarnation, Claim.ALIVE, self.record, self.phase, self.word)
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

    # joining
    def _join(self, number: int, key: bytes) -> None:
        """Asks who is there; goes on as a member once somebody has answered, or nobody does."""
        if self.standing is Standing.CONTEST:
            self._set(self.timing.period, "join")
            return
        if self.standing is not Standing.JOINING:
            return
        if self.welcomed or not self.seeds or self.joins >= ALONE_AFTER:
            if not self.welcomed and self.seeds:
                self.notes.append("nobody answers: goes on alone, and goes on asking")
            self._become_member()
            return
        self.joins += 1
        for address in self.random.sample(self.seeds, min(JOIN_TO, len(self.seeds))):
            self._knock(address)
        self._set(self.timing.period * self.random.uniform(0.75, 1.25), "join")

    def _knock(self, address: Address) -> None:
        writer = Writer()
        writer.add(Section.NAME, self.record.name.encode())
        self._pad(writer)
        self._send(address, Kind.JOIN, writer)

    def _welcome(self, message: Datagram, source: Address) -> None:
        """Who asks is told who holds its name, who this is, and some who live. It is no member by that."""
        writer = Writer(message.size)
        if self.table.held(message.sender) is not None:
            said = sync.about(self.table, message.sender, self.key)
            held = self.table.held(message.sender)
            assert held is not None
            writer.said(Said(said.key, said.incarnation, said.claim, said.phase, said.word, said.accuser,
                             said.sure, held.record))  # fmt: skip
        if self.standing in (Standing.JOINING, Standing.MEMBER):
            mine = entry(self.key, self.incarnation, Claim.ALIVE, self.record, self.phase, self.word)
            writer.said(said_of(mine))
        for key in self._draw(FANOUT, (message.sender,)):
            writer.said(sync.about(self.table, key, self.key))
        self._send(source, Kind.WELCOME, writer)

    def _retry(self, number: int, key: bytes) -> None:
        """Who was dead may only have been cut off, and at an address that nobody was heard at there may be
        somebody by now: one is tried at a time."""
        self._set(RETRY_EVERY * self.timing.period * self.random.uniform(0.9, 1.1), "retry")
        if self.standing is Standing.CONFLICT:
            self.identity.reconsider()
            self.joins, self.welcomed = 0, False
            self._set(0.0, "join")
            return
        if not self.retries:
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
            writer = Writer()
            writer.add(Section.PROBE, self._question().to_bytes(4, "big"))
            for dead_key in dead_there[:1]:
                writer.said(sync.about(self.table, dead_key, self.key))
            writer.said(said_of(self.table.entries[self.key]))
            self._pad(writer)
            self._send(address, Kind.PING, writer)

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
                writer = Writer(message.size)
                writer.add(Section.PROBE, (message.probe() or 0).to_bytes(4, "big"))
                self._send(source, Kind.ACK, writer)
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
        writer = Writer()
        writer.add(Section.PROBE, self._question().to_bytes(4, "big"))
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

    # probing
    def _into_ring(self, key: Key) -> None:
        if key in self.table.entries and key not in self.ring:
            self.ring.insert(self.random.randint(0, len(self.ring)), key)

    def _next_of_ring(self) -> Key | None:
        for _ in range(2):
            while self.ring:
                key = self.ring.pop()
                if key != self.key and key in self.table.entries:
                    return key
            self.ring = [key for key in self.table.order if key != self.key]
            self.random.shuffle(self.ring)
        return None

    def _begin_probe(self, number: int, key: bytes) -> None:
        self._set(self.timing.period, "probe", number)
        if self.standing is not Standing.MEMBER:
            return
        target = self.table.successor(self.key) if number else self._next_of_ring()
        if target is not None:
            self._probe(target)

    def _probe(self, target: Key, last: bool = False) -> None:
        held = self.table.entries[target]
        number = self._question()
        self.probes[number] = Probe(target, held.incarnation.process, number, last)
        self._ping(number)
        span = self.timing.period * (1 + self.health)
        self._set(AGAIN * span, "again", number)
        self._set(ASK * span, "ask", number)
        self._set(VERDICT * span, "verdict", number)

    def _ping(self, number: int) -> None:
        probe = self.probes[number]
        held = self.table.entries.get(probe.key)
        if held is None:
            return
        writer = Writer()
        writer.add(Section.PROBE, number.to_bytes(4, "big"))
        if probe.key in self.table.suspicions:  # the suspect hears of it first (Lifeguard, 4.3: buddy)
            writer.said(sync.about(self.table, probe.key, self.key))
        self.gossip.fill(writer)
        self._send(held.record.address, Kind.PING, writer)

    def _again(self, number: int, key: bytes) -> None:
        if number in self.probes:
            self._ping(number)

    def _ask(self, number: int, key: bytes) -> None:
        probe = self.probes.get(number)
        held = self.table.entries.get(probe.key) if probe is not None else None
        if probe is None or held is None:
            return
        helpers = self._draw(HELPERS, (probe.key,))
        probe.asked = len(helpers)
        for helper in helpers:
            writer = Writer()
            writer.add(Section.PROBE, number.to_bytes(4, "big"))
            writer.add(Section.TARGET, probe.key + wire.pack_address(held.record.address))
            self._pad(writer, ROOM_FOR_TWO)
            self._send(self.table.entries[helper].record.address, Kind.ASK, writer)

    def _verdict(self, number: int, key: bytes) -> None:
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        held = self.table.entries.get(probe.key)
        if held is None or held.incarnation.process != probe.process:
            return
        missing = max(0, probe.asked - probe.nacks)
        # Helpers that say nothing, either: the fault may be here (Lifeguard, 4.1).
        self._unwell(1 if missing or not probe.asked else 0)
        said = Said(probe.key, held.incarnation, Claim.SUSPECT, held.phase, held.word, self.key)
        step = self.table.hear(self.now, said, self.key, f"does not answer {self.record.name}")
        if step in (Step.SUSPICION, Step.CONFIRM):
            self._pass_on(said)
            self._time_suspicion(probe.key)

    def _answer_ping(self, message: Datagram, source: Address) -> None:
        writer = Writer(message.size)
        writer.add(Section.PROBE, (message.probe() or 0).to_bytes(4, "big"))
        origin = message.one(Section.ORIGIN)
        if origin is not None:
            heard = self.heard.get(bytes(origin[:6]))
            lately = heard is not None and self.now - heard.at < JUST * self.timing.period
            writer.add(Section.HEARD, b"\x01" if lately else b"\x00")
            asker = self.table.entries.get(bytes(origin[:6]))
            if asker is not None:  # whether it hears this member is seen by a datagram straight to it
                self._send(asker.record.address, Kind.GOSSIP, Writer())
        state = self.table.state(message.sender)
        if self.standing is Standing.MEMBER:
            if state not in LIVING:
                writer.said(said_of(self.table.entries[self.key]))
            if state not in (State.ALIVE, State.UNKNOWN):  # let it deny it
                writer.said(sync.about(self.table, message.sender, self.key))
            if origin is None:
                self.gossip.fill(writer)
        self._send(source, Kind.ACK, writer)

    def _acked(self, message: Datagram, source: Address) -> None:
        number = message.probe() or 0
        relay = self.relays.pop(number, None)
        if relay is not None:
            if message.sender == relay.target:
                writer = Writer()
                writer.add(Section.PROBE, relay.number.to_bytes(4, "big"))
                writer.add(Section.TARGET, relay.target + wire.pack_address(relay.target_address))
                writer.add(Section.HEARD, message.one(Section.HEARD) or b"\x00")
                self._send(relay.address, Kind.ACK, writer)
            return
        probe = self.probes.get(number)
        if probe is None:
            return
        target = message.one(Section.TARGET)
        if target is None and message.sender == probe.key:
            if message.incarnation.process == probe.process:
                del self.probes[number]
                self._unwell(-1)
                self._reached(probe.key, "")
        elif target is not None and target[:6] == probe.key:
            del self.probes[number]
            heard = self.heard.get(probe.key)
            lately = heard is not None and self.now - heard.at < JUST * self.timing.period
            hears_us = message.one(Section.HEARD) == b"\x01"
            self._reached(
                probe.key, WAYS[1 if lately and hears_us else 2 if hears_us else 3 if lately else 4]
            )
            self._lives(probe.key)

    def _reached(self, key: Key, way: str) -> None:
        old = self.reach.get(key)
        if way:
            count = old.times + 1 if old is not None and old.way == way else 1
            if old is not None or len(self.reach) < MOST_PATHS:
                self.reach[key] = Reach(way, count)
            if count == ODD:
                self.notes.append(f"{self._name(key)}: {way}")
        elif old is not None:
            del self.reach[key]
            if old.times >= ODD:
                self.notes.append(f"{self._name(key)}: reached directly again")

    def _relay(self, message: Datagram, source: Address) -> None:
        target, number = message.one(Section.TARGET), message.probe()
        if target is None or len(target) < 12 or number is None or len(self.relays) >= MOST_RELAYS:
            return
        key, address = target[:6], wire.unpack_address(target[6:])
        held = self.table.entries.get(key)
        if held is None or held.record.address != address or message.sender not in self.table.entries:
            return  # only who is known is asked, for who is known
        mine = self._question()
        self.relays[mine] = Relay(source, number, key, address)
        writer = Writer(message.size)
        writer.add(Section.PROBE, mine.to_bytes(4, "big"))
        writer.add(Section.ORIGIN, message.sender)
        self._pad(writer, ROOM_FOR_TWO)
        self._send(address, Kind.PING, writer)
        self._set(GIVE_UP * self.timing.period, "relay", mine)

    def _relay_over(self, number: int, key: bytes) -> None:
        relay = self.relays.pop(number, None)
        if relay is not None:
            writer = Writer()
            writer.add(Section.PROBE, relay.number.to_bytes(4, "big"))
            self._send(relay.address, Kind.NACK, writer)

    # suspicion
    def _time_suspicion(self, key: Key) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            last = suspicion.due - self.timing.period * (1 + self.health)
            self._set(max(0.0, last - self.now), "suspicion", suspicion.turn, key)

    def _suspicion_due(self, turn: int, key: bytes) -> None:
        """One more probe of this member's own comes before the end; who is heard meanwhile is not dead."""
        suspicion = self.table.suspicions.get(key)
        if suspicion is None or abs(turn) != suspicion.turn:
            return
        if turn > 0:
            self._probe(key, last=True)
            self._set(max(0.0, suspicion.due - self.now), "suspicion", -turn, key)
            return
        span = self.timing.period * (1 + self.health)
        if suspicion.heard > max(suspicion.began, self.now - 2 * span):
            suspicion.due = self.now + span
            suspicion.turn += 1
            self._time_suspicion(key)
            return
        accusers = ", ".join(sorted(self._name(accuser) for accuser in suspicion.accusers)) or "others"
        span = self.now - suspicion.began
        self.table.bury(self.now, key, f"suspected by {accusers} for {span:.2f} s and not heard", self.key)
        self.heard.pop(key, None)
        self.reach.pop(key, None)

    # anti-entropy
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
        self.walk = sync.Walk(partner, held.record.address if held is not None else address, self.now)
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
        if not self._may_exchange():
            self.walk = None  # the rest in the next period, with whoever differs then
            self.walked_at = float("-inf")
            return
        walk.asked = walk.open[-1]
        walk.number = self._question()
        walk.questions += 1
        writer = Writer()
        writer.add(Section.PROBE, walk.number.to_bytes(4, "big"))
        by_name = sync.ask(self.table, walk.asked, writer)
        self._pad(writer)
        self._send(walk.address, Kind.LEAVES if by_name else Kind.TREE, writer)
        self._set(ASK * self.timing.period * (1 + self.health), "walk", walk.number)

    def _may_exchange(self) -> bool:
        if self.exchanges <= 0:
            return False
        self.exchanges -= 1
        return True

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
        writer = Writer(message.size)
        writer.add(Section.PROBE, (message.probe() or 0).to_bytes(4, "big"))
        for value in message.all(Section.TREE)[:1]:
            sync.answer_branches(self.table, value, writer)
            self._send(source, Kind.BRANCHES, writer)

    def _answer_leaves(self, message: Datagram, source: Address) -> None:
        writer = Writer(message.size)
        writer.add(Section.PROBE, (message.probe() or 0).to_bytes(4, "big"))
        for value in message.all(Section.LEAVES)[:1]:
            if sync.answer_leaves(self.table, value, self.key, writer):
                self._pad(writer)  # so that what is wanted may come in one
            self._send(source, Kind.RECORDS, writer)

    # upkeep
    def _housekeeping(self, number: int, key: bytes) -> None:
        self._set(self.timing.period, "housekeeping")
        young = self.now - self.started < YOUNG * self.timing.period
        self.exchanges = YOUNG_EXCHANGES if young else EXCHANGES
        self.corrections = MOST_CORRECTIONS
        self.table.forget(self.now)

    def _name(self, key: Key) -> str:
        if key == self.key:
            return self.record.name
        held = self.table.held(key)
        return held.name if held is not None else key.hex()

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
        state, reach, heard = self.table.state(key), self.reach.get(key), self.heard.get(key)
        gone = self.table.gone.get(key)
        at = self.now if key == self.key else heard.at if heard else gone.at if gone else None
        ago = 0xFFFFFFFF if at is None else min(0xFFFFFFFE, int(max(0.0, self.now - at) * 1000))
        figures = self.figures if key == self.key else heard.figures if heard else Figures()
        way = WAYS.index(reach.way) if reach is not None and reach.times >= ODD else 0
        seen = wire.SEEN.pack(
            list(State).index(state), way, figures.tenths,
            (figures.list_version % wire.MOST_LIST).to_bytes(3, "big"), ago,
        )  # fmt: skip
        record = wire.pack_record(said_of(held))
        return bytes((len(record),)) + record + seen

    # for who makes a fleet at once, in virtual time
    def adopt(self, entries: dict[Key, Entry], order: list[Key], digest: int) -> None:
        """Begins as a member that knows all these; its own entry is among them."""
        mine = entries[self.key]
        self.identity.adopt(mine.incarnation)
        self.table.entries, self.table.order, self.table.digest = dict(entries), list(order), digest
        self.phase, self.word = mine.phase, mine.word
        self.timers = [timer for timer in self.timers if timer[2] != "join"]
        heapq.heapify(self.timers)
        self.identity.standing = Standing.MEMBER
        self._begin()
