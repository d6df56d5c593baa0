"""Cores in virtual time: a heap of events, seeded delays, and the network's faults. No sockets, no waiting.

The same seed gives the same run, in another process too. Thousands of members fit, for entries are shared.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from harness.fleet.network import Network
from service_proxy.fleet.core import Core
from service_proxy.fleet.entries import Address, Claim, Incarnation, Phase, Record, entry, first_run, key_of
from service_proxy.fleet.guard import Seals
from service_proxy.fleet.states import LIVING, State
from service_proxy.fleet.table import Change
from service_proxy.fleet.timing import Timing

WALL = 1_764_633_600.0  # s since 1970 at the start of a run
EVERYONE = "10.255.255.255", 7946  # reaches all
MAKE = Callable[..., Core]


def address_of(number: int) -> Address:
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 7946


@dataclass(slots=True)
class Member:
    """One name's process, and those before it."""

    number: int
    name: str
    core: Core | None = None
    stopped: bool = False
    inbox: list[tuple[Address, bytes]] = field(default_factory=list)  # while it is stopped
    lives: int = 0
    clock: float = 0.0  # s by which its reading of the monotonic clock is off
    wall: float = 0.0  # of the wall clock
    woken: float = -1.0  # the tick that is set


class Bed:
    def __init__(
        self,
        members: int,
        timing: Timing,
        seed: int,
        network: Network | None = None,
        names: Callable[[int], str] = lambda number: f"p{number}",
        make: MAKE = Core,
        zones: int = 3,
        seals: Seals | None = None,
        named: bool = True,
    ) -> None:
        """`named`: each knows the others' addresses; else only the one that reaches all."""
        self.named = named
        self.timing = timing
        self.seed = seed
        self.make = make
        self.seals = seals
        self.random = Random(seed)
        self.network = network or Network(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.zones = zones
        self.members = [Member(number, names(number)) for number in range(members)]
        self.at: dict[Address, int] = {address_of(number): number for number in range(members)}
        self.watch: Callable[[Member, Change], None] | None = None
        self.tell: Callable[[Member, str], None] | None = None
        self.datagrams = 0
        self.bytes = 0

    # running
    def call(self, at: float, what: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.events, (max(at, self.now), next(self.order), what, args))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)
        self.now = until

    def _reading(self, member: Member) -> float:
        return self.now + member.clock

    def _after(self, member: Member) -> None:
        """Carries what the core has decided, and sets its next tick."""
        core = member.core
        assert core is not None
        taken = core.take()
        for address, data in taken.out:
            self._send(member.number, address, data)
        if self.watch is not None:
            for change in taken.changes:
                self.watch(member, change)
        if self.tell is not None:
            for note in taken.notes:
                self.tell(member, note)
        due = max(self.now, core.due - member.clock)
        if member.woken < 0 or due < member.woken - 1e-9:
            member.woken = due
            self.call(due, self._wake, member, core, due)

    def _wake(self, member: Member, core: Core, due: float) -> None:
        if member.core is not core or member.woken != due or member.stopped:
            return
        member.woken = -1.0
        core.tick(self._reading(member))
        self._after(member)

    def _send(self, sender: int, address: Address, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        to = range(len(self.members)) if address == EVERYONE else (self.at.get(address),)
        for receiver in to:
            if receiver is None or (address == EVERYONE and receiver == sender):
                continue
            for wait, sent in self.network.carry(sender, receiver, data, self.now):
                self.call(self.now + wait, self._arrive, receiver, address_of(sender), sent)

    def _arrive(self, receiver: int, source: Address, data: bytes) -> None:
        member = self.members[receiver]
        if member.core is None:
            return
        if member.stopped:
            if len(member.inbox) < 512:  # a socket's buffer
                member.inbox.append((source, data))
            return
        member.core.datagram(self._reading(member), source, data)
        self._after(member)

    # what happens to members
    def start(self, number: int, name: str = "") -> None:
        member = self.members[number]
        member.lives += 1
        if name:
            member.name = name
        record = Record(member.name, address_of(number), "portal", f"z{number % self.zones}")
        seeds = [address_of(other) for other in range(len(self.members))] if self.named else []
        wall = WALL + self.now + member.wall
        seed = hash_of(self.seed, number, member.lives)
        member.core = self.make(
            "fleet",
            record,
            seeds,
            self.timing,
            seed,
            self._reading(member),
            wall,
            self.seals,
            None if self.named else EVERYONE,
        )
        member.core.phase = Phase.SERVING
        member.stopped = False
        member.inbox = []
        member.woken = -1.0
        self._after(member)

    def adopt(self) -> None:
        """All at once, as members that know one another."""
        entries = {}
        for member in self.members:
            zone = f"z{member.number % self.zones}"
            record = Record(member.name, address_of(member.number), "portal", zone)
            run = Incarnation(first_run(WALL), member.number % 65535 + 1, 0)
            item = entry(key_of(member.name), run, Claim.ALIVE, record)
            entries[item.key] = item
        order = sorted(entries)
        digest = 0
        for item in entries.values():
            digest ^= item.tag
        for member in self.members:
            member.lives += 1
            own = entries[key_of(member.name)]
            member.core = self.make(
                "fleet",
                own.record,
                [],
                self.timing,
                hash_of(self.seed, member.number, 1),
                self.now,
                WALL,
                self.seals,
            )
            member.core.adopt(entries, order, digest)
            self._after(member)

    def kill(self, number: int) -> None:
        self.members[number].core = None

    def leave(self, number: int) -> None:
        member = self.members[number]
        if member.core is not None:
            member.core.leave(self._reading(member))
            self._after(member)
            member.core = None

    def stop(self, number: int) -> None:
        self.members[number].stopped = True

    def go_on(self, number: int) -> None:
        member = self.members[number]
        if member.core is None or not member.stopped:
            return
        member.stopped = False
        member.woken = -1.0
        core = member.core
        core.tick(self._reading(member))  # a process that wakes finds its timers due first
        inbox = member.inbox
        member.inbox = []
        for source, data in inbox:
            core.datagram(self._reading(member), source, data)
        self._after(member)

    def turn_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        member = self.members[number]
        member.clock += monotonic
        member.wall += wall
        member.woken = -1.0
        if member.core is not None and not member.stopped:
            member.core.tick(self._reading(member))
            self._after(member)

    # what is seen
    @property
    def living(self) -> list[Member]:
        return [member for member in self.members if member.core is not None]

    def right(self) -> bool:
        """Whether all the living have the same view, and it is the living."""
        names = {key_of(member.name) for member in self.living}
        tables = [member.core.table for member in self.living if member.core is not None]
        return len({table.digest for table in tables}) <= 1 and all(
            set(table.entries) == names and not table.suspicions for table in tables
        )

    def states(self, of: int) -> dict[State, int]:
        """How many of the living have this member in which state."""
        found: dict[State, int] = {}
        for member in self.living:
            if member.core is not None and member.number != of:
                state = member.core.table.state(key_of(self.members[of].name))
                found[state] = found.get(state, 0) + 1
        return found


class Stage:
    """harness.fleet.script.Ground on a bed; it also sees whom a view brings back from the dead."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.network = bed.network
        self.buried: dict[tuple[str, bytes], set[Incarnation]] = {}
        self.revived: list[str] = []
        self.on_event: Callable[[str], None] | None = None
        self.happened: set[str] = set()
        bed.watch = self.watch

    @property
    def names(self) -> list[str]:
        return [member.name for member in self.bed.members]

    def watch(self, member: Member, change: Change) -> None:
        view = f"{member.name}.{member.lives}"  # a new process begins with none
        dead = self.buried.setdefault((view, change.entry.key), set())
        if change.after is State.DEAD:
            dead.add(change.entry.incarnation)
        elif change.after in LIVING and change.entry.incarnation in dead:
            who = f"{change.entry.name} {change.entry.incarnation}"
            self.revived.append(f"{who} came back in {member.name}'s view")
        event = f"{change.entry.name} is {change.after.value}"
        if self.on_event is not None and event not in self.happened:
            self.happened.add(event)
            self.on_event(event)

    def later(self, wait: float, what: Callable[[], None]) -> None:
        self.bed.call(self.bed.now + wait, what)

    def kill(self, number: int) -> None:
        self.bed.kill(number)

    def term(self, number: int) -> None:
        self.bed.leave(number)

    def start(self, number: int, name: str = "") -> None:
        if self.bed.members[number].core is None:
            self.bed.start(number, name)

    def stop(self, number: int) -> None:
        self.bed.stop(number)

    def go_on(self, number: int) -> None:
        self.bed.go_on(number)

    def turn_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        self.bed.turn_clock(number, monotonic, wall)

    # What is not there in virtual time: sockets' buffers, TCP, lists.
    def storm(self, number: int, rate: float, lasts: float) -> None: ...

    def reset(self, number: int) -> None: ...

    def silence(self, number: int, on: bool) -> None: ...

    def drain(self, server: str, on: bool) -> None: ...


def hash_of(*parts: int) -> int:
    """A seed of these; the same in every process."""
    return Random(",".join(map(str, parts))).getrandbits(62)
