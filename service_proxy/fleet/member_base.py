"""Base layer of a member: its state, its clock and timers, and the sending of datagrams.

A member is built in layers. Each layer is a subclass of the layer below and adds timers and message handlers:

    protocol.MembershipProtocol        events in, effects out; the view for operators
    join.JoinProtocol                  name ownership, joining, reconnecting
    failure_detector.FailureDetector   probes and suspicions (SWIM, Lifeguard)
    anti_entropy.AntiEntropy           comparison of views (push-pull sync)
    member_base.MemberBase             state, timers, sending

The layers share one state, and each layer calls only the layers below it. The import contract in
pyproject.toml enforces this order. The module performs no I/O and reads no clock.
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

# Upper bound of the members with a recorded path, and of those with a last contact.
MAX_TRACKED_PATHS = 20_000
# Age in protocol periods up to which a member's last datagram counts as recent contact.
RECENT_CONTACT_PERIODS = 0.75
# Tolerance of a timer's due time, which exceeds the rounding error of a clock reading that was converted to a
# timer's wait and back.
TIMER_TOLERANCE_S = 1e-6
# The path to a member is logged after this number of consecutive probes that were answered only through other
# members. A shorter series can result from lost datagrams.
PATH_REPORT_THRESHOLD = 3
# Wildcard in place of the fleet id in view requests, because operators need not know the fleet's name.
ANY_FLEET = bytes(4)
PADDING_SECTION = 250  # Type of the section whose only purpose is to pad a request to the size of its reply.


class TimerKind(Enum):
    """Purpose of a timer."""

    JOIN = "next attempt to join"
    RECONNECT = "next attempt to reach a dead member or a seed"
    NAME_CONTEST = "next ping to another process that holds this member's name"
    ANNOUNCE = "changed metadata or phase is disseminated"
    INTRODUCE = "this member's record is sent to a member that has an outdated one"
    HOUSEKEEPING = "per-period budgets are renewed and tombstones expire"
    GOSSIP = "pending updates are disseminated"
    SYNC_START = "an anti-entropy session begins"
    SYNC_TIMEOUT = "a request of an anti-entropy session is overdue"
    PROBE = "next probe"
    PING_RETRY = "the ping of a probe is repeated"
    INDIRECT_PING = "helpers are asked to ping the target"
    PROBE_TIMEOUT = "a probe has failed"
    RELAY_TIMEOUT = "a ping on behalf of another member has failed"
    SUSPICION = "a suspicion is about to run out"


class ScheduledTimer(NamedTuple):
    """Entry of the heap of timers.

    Attributes:
        due: time at which the timer fires, on the corrected clock, s.
        order: number that orders the timers with the same due time.
        number: argument of the handler; its meaning depends on the kind, for example a probe's id.
        key: member key, passed to the handler; empty if the timer concerns no single member.
    """

    due: float
    order: int
    kind: TimerKind
    number: int
    key: MemberKey


TimerHandler = Callable[[int, MemberKey], None]
MessageHandler = Callable[[Datagram, Address], None]


class PathStatus(NamedTuple):
    """Path of the last probes to a member that direct probes did not reach.

    Attributes:
        path: one of PATH_DESCRIPTIONS.
        consecutive: consecutive probes with this path; logged when it reaches PATH_REPORT_THRESHOLD.
    """

    path: str
    consecutive: int


# The index of each description is its number on the wire. Log lines (`path=`) and the JSON view (`reached`)
# contain the text, and operators' tools match it.
PATH_DESCRIPTIONS = (
    "",
    "answers no probe of ours: only through others",
    "hears us, and we don't hear it",
    "we hear it, and it does not hear us",
    "neither way directly: only through others",
)


@dataclass(slots=True)
class LastContact:
    """Time and content of the last datagram that arrived directly from a member."""

    received_at: float
    digest: int
    load: LoadSummary


@dataclass(slots=True)
class DatagramCounters:
    """Counters of datagrams by outcome; bytes are those of the UDP payload.

    Attributes:
        rejected: number of rejected datagrams by reason.
    """

    sent: int = 0
    sent_bytes: int = 0
    accepted: int = 0
    accepted_bytes: int = 0
    rejected: dict[str, int] = field(default_factory=dict)

    def count_rejected(self, reason: str) -> None:
        """Count a datagram that was dropped for this reason."""
        self.rejected[reason] = self.rejected.get(reason, 0) + 1


class MemberBase:
    """State and functions that all layers of a member share; the module's docstring describes the layers.

    Attributes:
        table: this member's view.
        ownership: the claim to this member's name, with its status, incarnation and record.
        dissemination: updates that this member disseminates.
        last_contacts: time and content of the last datagram of each member, by member key.
        local_health: Lifeguard's score of this member's own slowness, from 0 (healthy) to MAX_LOCAL_HEALTH.
        counters: counters of this member's datagrams.
        outbox, deliveries, log_lines: effects that the next `take_effects` returns.
        now: last reading of the clock, corrected so that it never decreases, s.
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
        """Create the member and schedule its first join attempt.

        Args:
            fleet: name of the fleet.
            record: this member's record.
            seeds: addresses at which other members may be reached; the member's own address is ignored.
            timing: times of the protocol.
            seed: seed of the random numbers.
            now: reading of a monotonic clock, s.
            wall_time: seconds since 1970, from which the generation of the incarnation is derived.
            authenticator: signs and verifies the datagrams; None: checksums.
            broadcast_address: address that reaches all proxies of the tier; None if there is none.
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
        """Create the state of this layer; each layer extends this method."""
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
        self.sequence_number = 0  # Sequence number of the last sent datagram.
        self.last_request_id = 0  # Last id of a probe or of a sync request.
        self.timers: list[ScheduledTimer] = []
        self.timer_count = 0
        self.outbox: list[tuple[Address, bytes]] = []
        self.deliveries: list[tuple[MemberKey, int, bytes]] = []
        self.log_lines: list[LogLine] = []
        self._handlers = self._timer_handlers()
        self._handlers_by_type = self._message_handlers()

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        """Return the handlers by message type; each layer adds its own.

        A handler runs after the sender and the updates of the datagram have been processed.
        """
        return {}

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        """Return the handlers by kind of timer; each layer adds its own."""
        return {TimerKind.GOSSIP: self._on_gossip_timer}

    def _is_timer_obsolete(self, _timer: ScheduledTimer) -> bool:
        """Return whether a timer is obsolete and can be discarded before it is due."""
        return False

    # Properties and queries for other modules.
    @property
    def status(self) -> MembershipStatus:
        """Whether this process is a member of the fleet, and if not, why."""
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
        """Time at which `tick` is due next, on the uncorrected clock that the caller reads, s."""
        while self._is_timer_obsolete(self.timers[0]):
            heapq.heappop(self.timers)
        return self.timers[0].due - self.clock_offset

    @property
    def is_minority(self) -> bool:
        """Whether less than half of the known members that did not leave are live, or the name conflicts."""
        live_count = len(self.table)
        return 2 * live_count < live_count + self.table.dead_count or self.status is MembershipStatus.CONFLICT

    @property
    def is_isolated(self) -> bool:
        """Whether this view contains no other live member."""
        return len(self.table) <= 1

    @property
    def knows_other_addresses(self) -> bool:
        """Whether seeds or a broadcast address are configured."""
        return bool(self.seeds) or self.broadcast_address is not None

    def is_settled(self) -> bool:
        """Return whether the view has not changed for QUIET_PERIODS and equals the views of recent senders.

        The views are compared by the digests in the datagrams of the last RECENT_PERIODS. A view with a
        suspicion, or without another live member although other addresses are configured, is not settled.
        """
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
        """Return the number of members of this tier, including this one, that serve or will serve requests.

        The number is at least 1.
        """
        tier = self.record.tier
        living = self.table.entries.values()
        return max(1, sum(e.record.tier == tier and e.phase is not ServicePhase.LEAVING for e in living))

    # Clock and timers.
    def _advance_clock(self, now: float) -> None:
        """Set the current time from a clock reading; `self.now` never decreases even if the reading does.

        If this process was stalled, all times are shifted by the stall. Without the shift, datagrams that
        this process did not read in time would count as missing answers of other members.
        """
        corrected_now = now + self.clock_offset
        if corrected_now < self.now:
            self.clock_offset += self.now - corrected_now
            corrected_now = self.now
        delay = corrected_now - self.timers[0].due if self.timers else 0.0
        self.now = corrected_now
        if delay > STALL_PERIODS * self.timing.period:
            self._on_stall(delay)

    def _on_stall(self, delay: float) -> None:
        """Shift all times by the duration of this process's stall."""
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
        """Change the local health score (Lifeguard, 4.1); a higher score lengthens this member's timeouts."""
        self.local_health = max(0, min(MAX_LOCAL_HEALTH, self.local_health + change))

    def _next_request_id(self) -> int:
        self.last_request_id = self.last_request_id + 1 & 0xFFFFFFFF
        return self.last_request_id

    # Outgoing datagrams.
    def _start_reply(self, message: Datagram) -> DatagramWriter:
        """Return a writer for the reply to a request, limited to the size of the request."""
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
        """Pad a request to `size` bytes, because its reply may not be longer than the request."""
        padding = min(writer.remaining_bytes, writer.remaining_bytes + size - writer.max_bytes) - 2
        if padding >= 0:
            writer.parts += [bytes((PADDING_SECTION, min(255, padding))), bytes(min(255, padding))]
            writer.remaining_bytes -= 2 + padding

    def _gossip_to_random_members(self, count: int) -> None:
        """Send pending updates to `count` randomly drawn members."""
        for key in self._random_members(count, ()):
            writer = DatagramWriter()
            self.dissemination.piggyback(writer)
            if not writer.parts:
                return
            self._send_datagram(self.table.entries[key].record.address, MessageType.GOSSIP, writer)

    def _random_members(self, count: int, excluding: Iterable[MemberKey]) -> list[MemberKey]:
        """Return up to `count` random live members, without this member and those of `excluding`."""
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
        """Return this member's current entry."""
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
