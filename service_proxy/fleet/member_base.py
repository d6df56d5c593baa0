"""What all layers of a member stand on: its state, its time, its timers, and how its datagrams leave. Pure.

The layers are, from here up: `comparing`, `probing`, `joining`, `core`; each knows those below it alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from service_proxy.fleet import digest_tree, wire
from service_proxy.fleet.authentication import MessageAuthenticator, ReplayWindow
from service_proxy.fleet.dissemination import DisseminationQueue
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

MAX_RELAYED_PROBES = 256  # probes in the stead of others that are open at once
MAX_ROWS_PER_PAGE = 4  # of a view in one answer
MAX_TRACKED_PATHS = 20_000  # members of whose ways something is remembered
INDIRECT_PING_BYTES = 128  # bytes: an answer, and the datagram that goes to on whose behalf it was asked
RECENT_CONTACT_PERIODS = 0.75  # periods: since the pings that had to be repeated by others
TIMER_TOLERANCE_S = 1e-6  # s; a reading that was taken apart and put together again differs by less
PATH_REPORT_THRESHOLD = 3  # probes in a row that only others brought about; fewer are lost datagrams
MAX_CORRECTIONS_PER_PERIOD = 16  # in a period
MAX_REPORTED_SOURCES = 16  # addresses that are named in the log
ANY_FLEET = bytes(4)  # staff need not know the name
PADDING_SECTION = 250  # the type of a section that only makes room for the answer


Timer = tuple[float, int, str, int, bytes]  # due, order, which handler, and what it is called with


class PathStatus(NamedTuple):
    """How a member was reached by the last probes, where not directly. `way` is one of WAYS."""

    path: str
    consecutive: int  # in a row; named from ODD on


PATH_DESCRIPTIONS = (
    "",
    "answers no probe of ours: only through others",
    "hears us, and we don't hear it",
    "we hear it, and it does not hear us",
    "neither way directly: only through others",
)


@dataclass(slots=True)
class LastContact:
    """What a member's own datagrams said last."""

    received_at: float
    digest: int
    load: LoadSummary


@dataclass(slots=True)
class Probe:
    target: MemberKey
    process: tuple[int, int]
    helpers: frozenset[MemberKey] = frozenset()  # that were asked
    nacks: int = 0


@dataclass(slots=True)
class RelayedProbe:
    requester: Address
    probe_id: int
    target: MemberKey


@dataclass(slots=True)
class DatagramCounters:
    """Of datagrams, by what became of them; bytes as UDP's payload."""

    sent: int = 0
    sent_bytes: int = 0
    accepted: int = 0
    accepted_bytes: int = 0
    rejected: dict[str, int] = field(default_factory=dict)

    def count_rejected(self, reason: str) -> None:
        self.rejected[reason] = self.rejected.get(reason, 0) + 1


class MemberBase:
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
        """`seeds`: addresses at which others may be; its own among them is passed over. `everyone`: one that
        reaches all of the tier, where there is such a one."""
        self.fleet_name, self.fleet_id = fleet, fleet_id(fleet)
        self.random = Random(seed)
        self.timing = timing
        self.authenticator = authenticator or MessageAuthenticator()
        self.replay_window = ReplayWindow()
        self.seeds = [address for address in dict.fromkeys(seeds) if address != record.address]
        self.broadcast_address = broadcast_address
        self.key = member_key(record.name)
        incarnation = Incarnation(initial_generation(wall_time), self.random.randint(1, MAX_NONCE), 0)
        self.ownership = NameOwnership(record, incarnation)
        self.table = MemberTable(timing)
        self.dissemination = DisseminationQueue()
        self.phase, self.metadata, self.load = ServicePhase.STARTING, b"", LoadSummary()
        self.announced_at = float("-inf")  # when it last changed what it says of itself
        self.last_contacts: dict[MemberKey, LastContact] = {}
        self.path_statuses: dict[MemberKey, PathStatus] = {}
        self.claimants: set[Address] = set()  # others who want this name
        self.foreign_sources: set[Address] = set()  # of other fleets
        self.corrections_left = 0  # that are left in this period
        self.is_probing = False
        self.is_reconnecting = False
        self.local_health = 0
        self.counters = DatagramCounters()
        self.sequence_number = 0  # of datagrams
        self.last_request_id = 0  # numbers of probes and questions
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, RelayedProbe] = {}
        self.sync_session: digest_tree.SyncSession | None = None
        self.last_sync_at = float("-inf")
        self.sync_requests_left = 0  # questions that are left in this period
        self.join_attempts = 0
        self.reconnects_since_broadcast = 0  # tries since it last asked everyone
        self.join_answered = False
        self.is_gossiping = False
        self.probe_ring: list[MemberKey] = []
        self.reconnect_candidates: list[Address] = []
        self.now = now
        self.clock_offset = 0.0
        self.started_at = now
        self.timers: list[Timer] = []
        self.timer_count = 0
        self.outbox: list[tuple[Address, bytes]] = []
        self.deliveries: list[tuple[MemberKey, int, bytes]] = []
        self.log_lines: list[str] = []
        self._handlers = self._timer_handlers()
        self._set_timer(0.0, "join")
        self._set_timer(timing.period, "housekeeping")

    def _timer_handlers(self) -> dict[str, Callable[[int, bytes], None]]:
        """What each timer does, by its name; a layer adds its own."""
        return {"gossip": self._on_gossip_timer}

    def _is_timer_void(self, timer: Timer) -> bool:
        """Whether nobody waits for it any more."""
        return False

    # what others read
    @property
    def status(self) -> MembershipStatus:
        return self.ownership.status

    @property
    def incarnation(self) -> Incarnation:
        return self.ownership.incarnation

    @property
    def record(self) -> MemberRecord:
        return self.ownership.record

    @property
    def next_timer_at(self) -> float:
        """When `tick` is wanted next, on the clock whose readings it was given."""
        while self._is_timer_void(self.timers[0]):
            heapq.heappop(self.timers)
        return self.timers[0][0] - self.clock_offset

    @property
    def is_minority(self) -> bool:
        """Less than half lives of all that it knew and that did not leave."""
        living = len(self.table)
        return 2 * living < living + self.table.dead_count or self.status is MembershipStatus.CONFLICT

    @property
    def is_isolated(self) -> bool:
        return len(self.table) <= 1

    @property
    def knows_other_addresses(self) -> bool:
        """Whether it was told where others may be."""
        return bool(self.seeds) or self.broadcast_address is not None

    def is_settled(self) -> bool:
        """No change for a while, and all who were heard lately see the same."""
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
        """Living members of its tier that take calls or will, itself among them."""
        tier = self.record.tier
        living = self.table.entries.values()
        return max(1, sum(e.record.tier == tier and e.phase is not ServicePhase.LEAVING for e in living))

    # time
    def _advance_clock(self, now: float) -> None:
        """The reading may go back or leap; what is kept here only goes forward. Where this process stood
        still, nothing that others did or failed to do meanwhile is held against them."""
        at = now + self.clock_offset
        if at < self.now:
            self.clock_offset += self.now - at
            at = self.now
        delay = at - self.timers[0][0] if self.timers else 0.0
        self.now = at
        if delay > STALL_PERIODS * self.timing.period:
            self.log_lines.append(f"this process stood still for {delay:.2f} s")
            self.timers = [(deadline + delay, *rest) for deadline, *rest in self.timers]  # type: ignore[misc]
            heapq.heapify(self.timers)
            self.table.shift_times(delay)
            for contact in self.last_contacts.values():
                contact.received_at += delay
            self.probes.clear()
            self.relays.clear()
            self._adjust_local_health(2)

    def _set_timer(self, wait: float, handler_name: str, number: int = 0, key: bytes = b"") -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (self.now + wait, self.timer_count, handler_name, number, key))

    def _adjust_local_health(self, change: int) -> None:
        """This member's own health (Lifeguard, 4.1); the worse, the longer it waits for others."""
        self.local_health = max(0, min(MAX_LOCAL_HEALTH, self.local_health + change))

    def _next_request_id(self) -> int:
        self.last_request_id = self.last_request_id + 1 & 0xFFFFFFFF
        return self.last_request_id

    # datagrams out
    def _start_reply(self, message: Datagram) -> DatagramWriter:
        """To a probe or question, and no longer than that."""
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
        """To this size, so that the answer may have it."""
        padding = min(writer.remaining_bytes, writer.remaining_bytes + size - writer.max_bytes) - 2
        if padding >= 0:
            writer.parts += [bytes((PADDING_SECTION, min(255, padding))), bytes(min(255, padding))]
            writer.remaining_bytes -= 2 + padding

    def _gossip_to_random_members(self, count: int) -> None:
        """What waits to be passed on goes to so many members drawn at random."""
        for key in self._random_members(count, ()):
            writer = DatagramWriter()
            self.dissemination.piggyback(writer)
            if not writer.parts:
                return
            self._send_datagram(self.table.entries[key].record.address, MessageType.GOSSIP, writer)

    def _random_members(self, count: int, excluding: Iterable[MemberKey]) -> list[MemberKey]:
        """Different living members, but this one and those."""
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
            self._set_timer(self.random.uniform(0, GOSSIP_INTERVAL) * self.timing.period, "gossip")

    def _on_gossip_timer(self, number: int, key: bytes) -> None:
        self.is_gossiping = bool(self.dissemination) and self.status is MembershipStatus.MEMBER
        if self.is_gossiping:
            self._gossip_to_random_members(GOSSIP_FANOUT)
            self._set_timer(GOSSIP_INTERVAL * self.timing.period, "gossip")

    def _local_entry(self, claim: Claim = Claim.ALIVE, phase: ServicePhase | None = None) -> MemberEntry:
        """What this member says of itself now."""
        phase = self.phase if phase is None else phase
        return make_entry(self.key, self.incarnation, claim, self.record, phase, self.metadata)

    def _heard_recently(self, key: MemberKey) -> bool:
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
