"""What all layers of a member stand on: its state, its time, its timers, and how its datagrams leave. Pure.

The layers are, from here up: `comparing`, `probing`, `joining`, `core`; each knows those below it alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from service_proxy.fleet import sync, wire
from service_proxy.fleet.entries import (
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
)
from service_proxy.fleet.gossip import Gossip
from service_proxy.fleet.guard import Numbers, Seals
from service_proxy.fleet.identity import Identity, Standing
from service_proxy.fleet.table import Table
from service_proxy.fleet.timing import (
    FANOUT,
    GOSSIP_EVERY,
    LATELY,
    MOST_HEALTH,
    QUIET,
    STALL,
    Timing,
)
from service_proxy.fleet.wire import Datagram, Figures, Kind, Said, Writer

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


Timer = tuple[float, int, str, int, bytes]  # due, order, which handler, and what it is called with


class Reach(NamedTuple):
    """How a member was reached by the last probes, where not directly. `way` is one of WAYS."""

    way: str
    times: int  # in a row; named from ODD on


WAYS = (
    "",
    "answers no probe of ours: only through others",
    "hears us, and we don't hear it",
    "we hear it, and it does not hear us",
    "neither way directly: only through others",
)


@dataclass(slots=True)
class Heard:
    """What a member's own datagrams said last."""

    at: float
    digest: int
    figures: Figures


@dataclass(slots=True)
class Probe:
    key: Key
    process: tuple[int, int]
    helpers: frozenset[Key] = frozenset()  # that were asked
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    address: Address
    number: int
    target: Key


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


class Base:
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
        everyone: Address | None = None,
    ) -> None:
        """`seeds`: addresses at which others may be; its own among them is passed over. `everyone`: one that
        reaches all of the tier, where there is such a one."""
        self.fleet_name, self.fleet = fleet, fleet_id(fleet)
        self.random = Random(seed)
        self.timing = timing
        self.seals = seals or Seals()
        self.numbers = Numbers()
        self.seeds = [address for address in dict.fromkeys(seeds) if address != record.address]
        self.everyone = everyone
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
        self.probing = False
        self.retrying = False
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
        self.calls = 0  # tries since it last asked everyone
        self.welcomed = False
        self.gossiping = False
        self.ring: list[Key] = []
        self.retries: list[Address] = []
        self.now = now
        self.offset = 0.0
        self.started = now
        self.timers: list[Timer] = []
        self.timer_count = 0
        self.out: list[tuple[Address, bytes]] = []
        self.deliveries: list[tuple[Key, int, bytes]] = []
        self.notes: list[str] = []
        self._handlers = self._timed()
        self._set(0.0, "join")
        self._set(timing.period, "housekeeping")

    def _timed(self) -> dict[str, Callable[[int, bytes], None]]:
        """What each timer does, by its name; a layer adds its own."""
        return {"gossip": self._gossip}

    def _void(self, timer: Timer) -> bool:
        """Whether nobody waits for it any more."""
        return False

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
        while self._void(self.timers[0]):
            heapq.heappop(self.timers)
        return self.timers[0][0] - self.offset

    @property
    def minority(self) -> bool:
        """Less than half lives of all that it knew and that did not leave."""
        living = len(self.table)
        return 2 * living < living + self.table.dead or self.standing is Standing.CONFLICT

    @property
    def alone(self) -> bool:
        return len(self.table) <= 1

    @property
    def may_have_company(self) -> bool:
        """Whether it was told where others may be."""
        return bool(self.seeds) or self.everyone is not None

    def settled(self) -> bool:
        """No change for a while, and all who were heard lately see the same."""
        if self.standing is not Standing.MEMBER or self.table.suspicions:
            return False
        if self.alone and self.may_have_company:
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
            self.table.shift(late)
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
    def _reply(self, message: Datagram) -> Writer:
        """To a probe or question, and no longer than that."""
        return Writer(message.size).probe(message.probe() or 0)

    def _send(self, address: Address, kind: Kind, writer: Writer) -> None:
        self.number += 1
        flags = wire.MINORITY if self.minority else 0
        if self.now - self.table.changed_at < QUIET * self.timing.period:
            flags |= wire.CHANGING
        data = self.seals.seal(
            wire.write(
                kind,
                self.fleet,
                self.key,
                self.incarnation,
                self.number,
                self.table.digest,
                self.phase,
                flags,
                self.figures,
                writer.parts,
            )
        )
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((address, data))

    def _pad(self, writer: Writer, size: int = wire.MOST_DATAGRAM) -> None:
        """To this size, so that the answer may have it."""
        fill = min(writer.room, writer.room + size - writer.most) - 2
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
        order = self.table.order
        barred = {self.key, *without}
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

    def _own(self, claim: Claim = Claim.ALIVE, phase: Phase | None = None) -> Entry:
        """What this member says of itself now."""
        phase = self.phase if phase is None else phase
        return entry(self.key, self.incarnation, claim, self.record, phase, self.word)

    def _just_heard(self, key: Key) -> bool:
        heard = self.heard.get(key)
        return heard is not None and self.now - heard.at < JUST * self.timing.period

    def _name(self, key: Key) -> str:
        if key == self.key:
            return self.record.name
        held = self.table.held(key)
        return held.name if held is not None else key.hex()
