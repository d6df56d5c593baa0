"""The base layer of a member: its state, its clock and timers, and how datagrams leave it. Pure.

A member is built in layers, each a subclass of the one below that adds timers and answers of its own:

    protocol.MembershipProtocol        events in, effects out; the view for operators
    join.JoinProtocol                  its name, joining, reconnecting
    failure_detector.FailureDetector   probes and suspicions (SWIM, Lifeguard)
    anti_entropy.AntiEntropy           comparing views (push-pull sync)
    member_base.MemberBase             state, timers, sending

The layers share one state, and each calls only those below it; the import contract in pyproject.toml holds
that.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from service_proxy.fleet import log_lines, wire
from service_proxy.fleet.authentication import MessageAuthenticator, ReplayWindow
from service_proxy.fleet.dissemination import DisseminationQueue
from service_proxy.fleet.log_lines import LogLine
from service_proxy.fleet.member_table import MemberTable
from service_proxy.fleet.members import (
    MAX_NONCE,
    Address,
    Claim,
    Incarnation,
    MemberEntry,
    MemberKey,
    MemberRecord,
    ServicePhase,
    fleet_id,
    initial_generation,
    make_entry,
    member_key,
)
from service_proxy.fleet.name_ownership import MembershipStatus, NameOwnership
from service_proxy.fleet.timing import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL,
    MAX_LOCAL_HEALTH,
    QUIET_PERIODS,
    RECENT_PERIODS,
    STALL_PERIODS,
    ProtocolTiming,
)
from service_proxy.fleet.wire import Datagram, DatagramWriter, LoadSummary, MemberUpdate, MessageType

MAX_TRACKED_PATHS = 20_000  # members whose paths and contacts are remembered
RECENT_CONTACT_PERIODS = 0.75  # since the pings that were repeated by others
TIMER_TOLERANCE_S = 1e-6  # a reading that was taken apart and put together again differs by less
PATH_REPORT_THRESHOLD = 3  # probes in a row that only others brought about; fewer are lost datagrams
ANY_FLEET = bytes(4)  # in place of the fleet's id: operators need not know its name
PADDING_SECTION = 250  # type of a section that only makes room for the answer


class TimerKind(Enum):
    """What a timer is for."""

    JOIN = "next attempt to join"
    RECONNECT = "next attempt to reach a lost member or a seed"
    NAME_CONTEST = "next ping to the holder of this member's name"
    ANNOUNCE = "changed metadata or phase is disseminated"
    INTRODUCE = "this member's record goes to one that has an old one"
    HOUSEKEEPING = "budgets are renewed, tombstones expire"
    GOSSIP = "pending updates are disseminated"
    SYNC_START = "an anti-entropy session begins"
    SYNC_TIMEOUT = "a request of an anti-entropy session is overdue"
    PROBE = "next probe"
    PING_RETRY = "the ping of a probe is repeated"
    INDIRECT_PING = "others are asked to ping"
    PROBE_TIMEOUT = "a probe has failed"
    RELAY_TIMEOUT = "a ping for another member has failed"
    SUSPICION = "a suspicion is about to run out"


class ScheduledTimer(NamedTuple):
    """An entry of the heap of timers."""

    due: float
    order: int  # of those that are due at the same time
    kind: TimerKind
    number: int  # passed to the handler, as is the key
    key: MemberKey


TimerHandler = Callable[[int, MemberKey], None]
MessageHandler = Callable[[Datagram, Address], None]


class PathStatus(NamedTuple):
    """How the last probes reached a member that they did not reach directly."""

    path: str  # one of PATH_DESCRIPTIONS
    consecutive: int  # probes; logged from PATH_REPORT_THRESHOLD on


# By the number that stands for each on the wire.
PATH_DESCRIPTIONS = (
    "",
    "answers no probe of ours: only through others",
    "hears us, and we don't hear it",
    "we hear it, and it does not hear us",
    "neither way directly: only through others",
)


@dataclass(slots=True)
class LastContact:
    """What the last datagram of a member itself carried."""

    received_at: float
    digest: int
    load: LoadSummary


@dataclass(slots=True)
class DatagramCounters:
    """Datagrams by what became of them; bytes as UDP's payload."""

    sent: int = 0
    sent_bytes: int = 0
    accepted: int = 0
    accepted_bytes: int = 0
    rejected: dict[str, int] = field(default_factory=dict)

    def count_rejected(self, reason: str) -> None:
        """Count a datagram that was dropped for this reason."""
        self.rejected[reason] = self.rejected.get(reason, 0) + 1


class MemberBase:
    """What all layers of a member stand on; see the module.

    Attributes:
        table: this member's view.
        ownership: its claim to its name, with its status, incarnation and record.
        dissemination: updates that are to be passed on.
        last_contacts: what members' own datagrams carried last.
        local_health: Lifeguard's score of this member's own slowness, from 0 (well) to MAX_LOCAL_HEALTH.
        counters: of its datagrams.
        outbox, deliveries, log_lines: effects that wait to be taken.
        now: the last reading of the clock, corrected so that it never goes back.
    """

    def __init__(
        self,
        fleet: str,
        record: MemberRecord,
        seeds: Sequence[Address],
        timing: ProtocolTiming,
        seed: int,
        now: float,
        wall_time: float,
        authenticator: MessageAuthenticator | None = None,
        broadcast_address: Address | None = None,
    ) -> None:
        """Begin to join.

        Args:
            fleet: its name.
            record: what others are told of this member.
            seeds: addresses at which others may be; its own among them is passed over.
            timing: of the protocol.
            seed: of random numbers.
            now: reading of a monotonic clock, s.
            wall_time: s since 1970, of which its incarnation's generation is made.
            authenticator: of its datagrams; None: checksums.
            broadcast_address: reaches all of the tier, where there is one.
        """
        self.fleet_name = fleet
        self.fleet_id = fleet_id(fleet)
        self.random = Random(seed)
        self.timing = timing
        self.authenticator = authenticator or MessageAuthenticator()
        self.seeds = [address for address in dict.fromkeys(seeds) if address != record.address]
        self.broadcast_address = broadcast_address
        self.key = member_key(record.name)
        nonce = self.random.randint(1, MAX_NONCE)
        self.ownership = NameOwnership(record, Incarnation(initial_generation(wall_time), nonce, 0))
        self.now = now
        self.started_at = now
        self.clock_offset = 0.0
        self._initialise()
        self._set_first_timers()

    def _set_first_timers(self) -> None:
        self._set_timer(0.0, TimerKind.JOIN)
        self._set_timer(self.timing.period, TimerKind.HOUSEKEEPING)

    def _initialise(self) -> None:
        """Create the state of this layer; a layer adds its own."""
        self.table = MemberTable(self.timing)
        self.dissemination = DisseminationQueue()
        self.is_gossiping = False
        self.replay_window = ReplayWindow()
        self.phase = ServicePhase.STARTING
        self.metadata = b""
        self.load = LoadSummary()
        self.last_contacts: dict[MemberKey, LastContact] = {}
        self.local_health = 0
        self.counters = DatagramCounters()
        self.sequence_number = 0  # of the last datagram
        self.last_request_id = 0  # of probes and of requests for a part of a view
        self.timers: list[ScheduledTimer] = []
        self.timer_count = 0
        self.outbox: list[tuple[Address, bytes]] = []
        self.deliveries: list[tuple[MemberKey, int, bytes]] = []
        self.log_lines: list[LogLine] = []
        self._handlers = self._timer_handlers()
        self._handlers_by_type = self._message_handlers()

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        """Return what answers each type of message, once its sender and its updates were taken in.

        A layer adds its own.
        """
        return {}

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        """Return what each kind of timer does; a layer adds its own."""
        return {TimerKind.GOSSIP: self._on_gossip_timer}

    def _is_timer_void(self, _timer: ScheduledTimer) -> bool:
        """Return whether nothing waits for a timer any more."""
        return False

    # what others read
    @property
    def status(self) -> MembershipStatus:
        """Whether this process is a member."""
        return self.ownership.status

    @property
    def incarnation(self) -> Incarnation:
        """This process's incarnation."""
        return self.ownership.incarnation

    @property
    def record(self) -> MemberRecord:
        """This process's member record."""
        return self.ownership.record

    @property
    def next_timer_at(self) -> float:
        """When `tick` is due next, on the clock whose readings it was given, s."""
        while self._is_timer_void(self.timers[0]):
            heapq.heappop(self.timers)
        return self.timers[0].due - self.clock_offset

    @property
    def is_minority(self) -> bool:
        """Whether less than half lives of all that it knew and that did not leave."""
        living = len(self.table)
        return 2 * living < living + self.table.dead_count or self.status is MembershipStatus.CONFLICT

    @property
    def is_isolated(self) -> bool:
        """Whether it sees nobody but itself."""
        return len(self.table) <= 1

    @property
    def knows_other_addresses(self) -> bool:
        """Whether it was told where others may be."""
        return bool(self.seeds) or self.broadcast_address is not None

    def is_settled(self) -> bool:
        """Return whether nothing changed for a while, and all that were heard recently have the same view."""
        if self.status is not MembershipStatus.MEMBER or self.table.suspicions:
            return False
        if self.is_isolated and self.knows_other_addresses:
            return False
        if self.now - self.table.changed_at < QUIET_PERIODS * self.timing.period:
            return False
        since = self.now - RECENT_PERIODS * self.timing.period
        return all(
            contact.digest == self.table.digest
            for key, contact in self.last_contacts.items()
            if contact.received_at >= since and key in self.table.entries
        )

    def serving_member_count(self) -> int:
        """Return how many members of its tier take requests or will, itself among them."""
        tier = self.record.tier
        living = self.table.entries.values()
        return max(1, sum(e.record.tier == tier and e.phase is not ServicePhase.LEAVING for e in living))

    # time
    def _advance_clock(self, now: float) -> None:
        """Take a reading of the clock, which may go back or leap; `now` only goes forward.

        Where this process stood still, nothing that others did or failed to do meanwhile is held against
        them.
        """
        at = now + self.clock_offset
        if at < self.now:
            self.clock_offset += self.now - at
            at = self.now
        delay = at - self.timers[0].due if self.timers else 0.0
        self.now = at
        if delay > STALL_PERIODS * self.timing.period:
            self._on_stall(delay)

    def _on_stall(self, delay: float) -> None:
        """Move all times by what this process had no part in."""
        self.log_lines.append(log_lines.process_stalled(delay))
        self.timers = [timer._replace(due=timer.due + delay) for timer in self.timers]
        heapq.heapify(self.timers)
        self.table.shift_times(delay)
        for contact in self.last_contacts.values():
            contact.received_at += delay

    def _set_timer(self, wait: float, kind: TimerKind, number: int = 0, key: bytes = b"") -> None:
        self.timer_count += 1
        timer = ScheduledTimer(self.now + wait, self.timer_count, kind, number, key)
        heapq.heappush(self.timers, timer)

    def _adjust_local_health(self, change: int) -> None:
        """Change the local health score (Lifeguard, 4.1); the higher, the longer it waits for others."""
        self.local_health = max(0, min(MAX_LOCAL_HEALTH, self.local_health + change))

    def _next_request_id(self) -> int:
        self.last_request_id = self.last_request_id + 1 & 0xFFFFFFFF
        return self.last_request_id

    # datagrams out
    def _start_reply(self, message: Datagram) -> DatagramWriter:
        """Return a writer for the answer to a request, which is no longer than that."""
        return DatagramWriter(message.size).add_probe_id(message.probe_id() or 0)

    def _send_datagram(self, address: Address, message_type: MessageType, writer: DatagramWriter) -> None:
        self.sequence_number += 1
        flags = wire.FLAG_MINORITY if self.is_minority else 0
        if self.now - self.table.changed_at < QUIET_PERIODS * self.timing.period:
            flags |= wire.FLAG_CHANGING
        data = self.authenticator.seal(
            wire.encode_datagram(
                message_type,
                self.fleet_id,
                self.key,
                self.incarnation,
                self.sequence_number,
                self.table.digest,
                self.phase,
                flags,
                self.load,
                writer.parts,
            )
        )
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)
        self.outbox.append((address, data))

    def _pad_datagram(self, writer: DatagramWriter, size: int = wire.MAX_DATAGRAM_BYTES) -> None:
        """Fill a request to this size, so that its answer may have it."""
        padding = min(writer.remaining_bytes, writer.remaining_bytes + size - writer.max_bytes) - 2
        if padding >= 0:
            writer.parts += [bytes((PADDING_SECTION, min(255, padding))), bytes(min(255, padding))]
            writer.remaining_bytes -= 2 + padding

    def _gossip_to_random_members(self, count: int) -> None:
        """Send pending updates to so many members drawn at random."""
        for key in self._random_members(count, ()):
            writer = DatagramWriter()
            self.dissemination.piggyback(writer)
            if not writer.parts:
                return
            self._send_datagram(self.table.entries[key].record.address, MessageType.GOSSIP, writer)

    def _random_members(self, count: int, excluding: Iterable[MemberKey]) -> list[MemberKey]:
        """Return different living members, but this one and those excluded."""
        order = self.table.sorted_keys
        excluded = {self.key, *excluding}
        if len(order) <= count + len(excluded):
            candidates = [key for key in order if key not in excluded]
            self.random.shuffle(candidates)
            return candidates[:count]
        drawn: list[MemberKey] = []
        while len(drawn) < count:
            key = order[self.random.randrange(len(order))]
            if key not in excluded:
                excluded.add(key)
                drawn.append(key)
        return drawn

    def _disseminate(self, update: MemberUpdate) -> None:
        self.dissemination.enqueue(update, self.timing.transmissions(len(self.table)))
        if not self.is_gossiping:
            self.is_gossiping = True
            self._set_timer(self.random.uniform(0, GOSSIP_INTERVAL) * self.timing.period, TimerKind.GOSSIP)

    def _on_gossip_timer(self, _number: int, _key: bytes) -> None:
        self.is_gossiping = bool(self.dissemination) and self.status is MembershipStatus.MEMBER
        if self.is_gossiping:
            self._gossip_to_random_members(GOSSIP_FANOUT)
            self._set_timer(GOSSIP_INTERVAL * self.timing.period, TimerKind.GOSSIP)

    def _local_entry(self, claim: Claim = Claim.ALIVE, phase: ServicePhase | None = None) -> MemberEntry:
        """Return this member's entry as it is now."""
        phase = self.phase if phase is None else phase
        return make_entry(self.key, self.incarnation, claim, self.record, phase, self.metadata)

    def _has_recent_contact(self, key: MemberKey) -> bool:
        contact = self.last_contacts.get(key)
        return (
            contact is not None
            and self.now - contact.received_at < RECENT_CONTACT_PERIODS * self.timing.period
        )

    def _name_of(self, key: MemberKey) -> str:
        if key == self.key:
            return self.record.name
        known = self.table.find(key)
        return known.name if known is not None else key.hex()
