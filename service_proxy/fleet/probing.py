"""Probes, directly and through others, and suspicions until their end. Pure."""

from __future__ import annotations

from collections.abc import Callable

from service_proxy.fleet import sync, wire
from service_proxy.fleet.base import (
    MOST_PATHS,
    MOST_RELAYS,
    ODD,
    ROOM_FOR_TWO,
    WAYS,
    Probe,
    Reach,
    Relay,
    Timer,
)
from service_proxy.fleet.comparing import Comparing
from service_proxy.fleet.entries import (
    Address,
    Claim,
    Key,
)
from service_proxy.fleet.identity import Standing
from service_proxy.fleet.states import LIVING, State, Step
from service_proxy.fleet.timing import (
    AGAIN,
    ASK,
    GIVE_UP,
    HELPERS,
    VERDICT,
)
from service_proxy.fleet.wire import Datagram, Kind, Said, Section, Writer, said_of

OF_A_PROBE = frozenset(("again", "ask", "verdict"))  # timers that an answer makes void


class Probing(Comparing):
    def _timed(self) -> dict[str, Callable[[int, bytes], None]]:
        return {
            **super()._timed(),
            "probe": self._begin_probe,
            "again": self._again,
            "ask": self._ask,
            "verdict": self._verdict,
            "relay": self._relay_over,
            "suspicion": self._suspicion_due,
        }

    def _void(self, timer: Timer) -> bool:
        return timer[2] in OF_A_PROBE and timer[3] not in self.probes

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

    def _probe(self, target: Key) -> None:
        held = self.table.entries[target]
        number = self._question()
        self.probes[number] = Probe(target, held.incarnation.process)
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
        writer = Writer().probe(number)
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
        probe.helpers = frozenset(helpers)
        for helper in helpers:
            writer = Writer().probe(number)
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
        missing = max(0, len(probe.helpers) - probe.nacks)
        # Helpers that say nothing, either: the fault may be here (Lifeguard, 4.1).
        self._unwell(1 if missing or not probe.helpers else 0)
        said = Said(probe.key, held.incarnation, Claim.SUSPECT, held.phase, held.word, self.key)
        step = self.table.hear(self.now, said, self.key, f"does not answer {self.record.name}")
        if step in (Step.SUSPICION, Step.CONFIRM):
            self._pass_on(said)
            self._time_suspicion(probe.key)

    def _answer_ping(self, message: Datagram, source: Address) -> None:
        writer = self._reply(message)
        origin = message.one(Section.ORIGIN)
        if origin is not None:
            writer.add(Section.HEARD, b"\x01" if self._just_heard(origin[:6]) else b"\x00")
            asker = self.table.entries.get(origin[:6])
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
                writer = Writer(message.size).probe(relay.number)
                writer.add(Section.HEARD, message.one(Section.HEARD) or b"")
                self._send(relay.address, Kind.ACK, writer)
            return
        probe = self.probes.get(number)
        if probe is None:
            return
        if message.sender == probe.key:
            if message.incarnation.process == probe.process:
                del self.probes[number]
                self._unwell(-1)
                self._reached(probe.key, "")
        elif message.sender in probe.helpers:
            del self.probes[number]
            lately = self._just_heard(probe.key)
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
        target = message.one(Section.TARGET)
        number = message.probe()
        if target is None or len(target) < 12 or number is None or len(self.relays) >= MOST_RELAYS:
            return
        key = target[:6]
        address = wire.unpack_address(target[6:])
        held = self.table.entries.get(key)
        if held is None or held.record.address != address or message.sender not in self.table.entries:
            return  # only who is known is asked, for who is known
        mine = self._question()
        self.relays[mine] = Relay(source, number, key)
        writer = Writer(message.size).probe(mine)
        writer.add(Section.ORIGIN, message.sender)
        self._pad(writer, ROOM_FOR_TWO)
        self._send(address, Kind.PING, writer)
        self._set(GIVE_UP * self.timing.period, "relay", mine)

    def _relay_over(self, number: int, key: bytes) -> None:
        relay = self.relays.pop(number, None)
        if relay is not None:
            self._send(relay.address, Kind.NACK, Writer().probe(relay.number))

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
            self._probe(key)
            self._set(max(0.0, suspicion.due - self.now), "suspicion", -turn, key)
            return
        span = self.timing.period * (1 + self.health)
        if suspicion.heard > max(suspicion.began, self.now - 2 * span):
            suspicion.due = self.now + span
            self.table.turn(suspicion)
            self._time_suspicion(key)
            return
        accusers = ", ".join(sorted(self._name(accuser) for accuser in suspicion.accusers)) or "others"
        span = self.now - suspicion.began
        self.table.bury(self.now, key, f"suspected by {accusers} for {span:.2f} s and not heard", self.key)
        self.heard.pop(key, None)
        self.reach.pop(key, None)

    def _lives(self, key: Key) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            suspicion.heard = self.now
