"""Membership protocol of one member: events and the time in, datagrams and changes out.

In each protocol period a member starts two probes. One goes to the next member of its shuffled ring, so that
every member is probed within two rounds (SWIM, 4.3). The other goes to its successor by key, so that every
member is probed in each period and views are compared along a ring. Updates are piggybacked on these probes,
and new updates are also gossiped five times per period.

Performs no I/O and reads no clock; all random choices derive from the seed.
"""

from __future__ import annotations

import heapq
from dataclasses import replace
from typing import NamedTuple

from service_proxy.fleet import log_lines, wire
from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.join import MAX_REPORTED_SOURCES, JoinProtocol
from service_proxy.fleet.log_lines import LogLine
from service_proxy.fleet.member_base import (
    ANY_FLEET,
    MAX_TRACKED_PATHS,
    PATH_DESCRIPTIONS,
    PATH_REPORT_THRESHOLD,
    TIMER_TOLERANCE_S,
    LastContact,
    MessageHandler,
    TimerHandler,
    TimerKind,
)
from service_proxy.fleet.member_states import MemberState, MergeAction
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.members import (
    Address,
    Claim,
    MemberEntry,
    MemberKey,
    ServicePhase,
    format_address,
)
from service_proxy.fleet.name_ownership import MembershipStatus
from service_proxy.fleet.timing import (
    GOSSIP_FANOUT,
    STARTUP_PERIODS,
    STARTUP_SYNC_REQUESTS,
    SYNC_REQUESTS_PER_PERIOD,
)
from service_proxy.fleet.wire import (
    Datagram,
    DatagramWriter,
    LoadSummary,
    MemberUpdate,
    MessageType,
    Section,
    update_of,
)

MAX_COUNT = 0xFFFF  # Largest count that a view's summary can represent.
MAX_FLEET_NAME_BYTES = 64  # Bytes of the fleet's name in a view's summary.
MAX_ROWS_PER_PAGE = 4  # Rows of a view in one reply.
MAX_CORRECTIONS_PER_PERIOD = 16
# Message types whose sender's digest is compared with this member's digest.
COMPARING_TYPES = frozenset((MessageType.PING, MessageType.ACK, MessageType.GOSSIP))


class Effects(NamedTuple):
    """Results of the events since the last call, for the caller to carry out.

    Attributes:
        datagrams: datagrams to send, with their addresses.
        changes: changes of this member's view.
        deliveries: received data of other subsystems: sender, port, bytes.
        log_lines: lines to log.
    """

    datagrams: list[tuple[Address, bytes]]
    changes: list[MembershipChange]
    deliveries: list[tuple[MemberKey, int, bytes]]
    log_lines: list[LogLine]


class MembershipProtocol(JoinProtocol):
    """One member of the fleet, which receives events and the time and returns effects.

    Each event (`tick`, `receive_datagram`, `announce`, `leave`, `send_user_data`) is called with the reading
    of a monotonic clock in seconds. After each event, the caller carries out the result of `take_effects` and
    calls `tick` at `next_timer_at`.
    """

    def _initialise(self) -> None:
        super()._initialise()
        self.foreign_sources: set[Address] = set()  # Addresses of other fleets that have been logged.

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        return {**super()._message_handlers(), MessageType.USER_DATA: self._on_user_data}

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        return {**super()._timer_handlers(), TimerKind.HOUSEKEEPING: self._housekeeping}

    def take_effects(self) -> Effects:
        """Return the effects since the last call."""
        effects = Effects(self.outbox, self.table.changes, self.deliveries, self.log_lines)
        self.outbox = []
        self.table.changes = []
        self.deliveries = []
        self.log_lines = []
        return effects

    # Events.
    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self._advance_clock(now)
        while self.timers and self.timers[0].due <= self.now + TIMER_TOLERANCE_S:
            timer = heapq.heappop(self.timers)
            self._handlers[timer.kind](timer.number, timer.key)

    def announce(self, now: float, phase: ServicePhase | None = None, metadata: bytes | None = None) -> None:
        """Change this member's phase or metadata; the change reaches all members within a few periods."""
        self._advance_clock(now)
        phase = self.phase if phase is None else phase
        metadata = self.metadata if metadata is None else metadata
        if (phase, metadata) != (self.phase, self.metadata):
            self.phase = phase
            self.metadata = metadata
            wait = self.announced_at + self.timing.period - self.now
            # Further changes before the timer fires are disseminated together with this one.
            self._set_timer(max(0.0, wait), TimerKind.ANNOUNCE)

    def leave(self, now: float) -> None:
        """Leave the fleet, so that the members that receive the announcement record no failure."""
        self._advance_clock(now)
        if self.status is not MembershipStatus.MEMBER:
            return
        self.ownership.leave()
        local = self._local_entry(Claim.LEFT, ServicePhase.LEAVING)
        self.table.set_local_entry(self.now, local, "ends")
        update = update_of(local, with_record=False)
        self.dissemination.enqueue(update, 4 * GOSSIP_FANOUT)
        for _ in range(4):
            self._gossip_to_random_members(GOSSIP_FANOUT)

    def send_user_data(self, now: float, key: MemberKey | None, port: int, data: bytes) -> bool:
        """Send another subsystem's data to one member, or to all members if `key` is None.

        Returns:
            Whether the data fits in a datagram and there is a recipient; the datagram may still be lost.
        """
        self._advance_clock(now)
        recipients = (
            [key]
            if key is not None
            else [recipient for recipient in self.table.sorted_keys if recipient != self.key]
        )
        sent = False
        for recipient in recipients:
            entry = self.table.entries.get(recipient)
            writer = DatagramWriter()
            if (
                entry is None
                or recipient == self.key
                or not writer.add_section(Section.USER_DATA, bytes((port,)) + data)
            ):
                continue
            self._send_datagram(entry.record.address, MessageType.USER_DATA, writer)
            sent = True
        return sent

    def receive_datagram(self, now: float, source: Address, data: bytes) -> None:
        """Process the bytes of a datagram from an address from which datagrams are read."""
        self._advance_clock(now)
        try:
            _, message_type, fleet = wire.peek_header(data)
            if fleet != self.fleet_id and (message_type != MessageType.VIEW_REQUEST or fleet != ANY_FLEET):
                self._on_foreign_datagram(source)
                return
            if not self.authenticator.verify(data):
                self.counters.count_rejected("corrupted or forged")
                return
            message = wire.decode_datagram(data)
            if message.sender == self.key and message.incarnation.process == self.incarnation.process:
                self.counters.count_rejected("sent by this process")
                return
            if not self.replay_window.accept(
                message.sender, message.incarnation.process, message.sequence_number
            ):
                self.counters.count_rejected("replayed or too old")
                return
            self.counters.accepted += 1
            self.counters.accepted_bytes += len(data)
            try:
                known = MessageType(message_type)
            except ValueError:
                self.counters.count_rejected("unknown message type")
                return
            self._dispatch(known, message, source)
        except MalformedDatagramError:
            self.counters.count_rejected("malformed")

    def _on_foreign_datagram(self, source: Address) -> None:
        self.counters.count_rejected("another fleet's")
        if source not in self.foreign_sources and len(self.foreign_sources) < MAX_REPORTED_SOURCES:
            self.foreign_sources.add(source)
            self.log_lines.append(log_lines.foreign_datagrams(format_address(source)))

    # Received datagrams.
    def _dispatch(self, message_type: MessageType, message: Datagram, source: Address) -> None:
        if message.sender == self.key:
            self._on_same_name_datagram(message_type, message, source)
        elif message_type is MessageType.VIEW_REQUEST:
            self._answer_view_request(message, source)
        elif message_type is MessageType.JOIN:
            self._answer_join(message, source)
        else:
            self._apply_sender(message)
            self._apply_updates(message, source)
            handler = self._handlers_by_type.get(message_type)
            if handler is not None:
                handler(message, source)
            if message_type in COMPARING_TYPES:
                self._maybe_start_sync(message.sender, source, message.digest)

    def _apply_sender(self, message: Datagram) -> None:
        known = self.table.entries.get(message.sender)
        if known is not None and known.incarnation.process == message.incarnation.process:
            self._record_contact(message)
            self._record_liveness(message.sender)

    def _apply_updates(self, message: Datagram, source: Address) -> None:
        for section, value in message.sections:
            if section == Section.UPDATE:
                self._on_update(wire.unpack_update(value), message, source)
            elif section == Section.RECORD:
                self._on_update(wire.unpack_record(value), message, source)

    def _on_user_data(self, message: Datagram, _source: Address) -> None:
        if message.sender in self.table.entries:
            for value in filter(None, message.values(Section.USER_DATA)):
                self.deliveries.append((message.sender, value[0], value[1:]))

    def _record_contact(self, message: Datagram) -> None:
        old = self.last_contacts.get(message.sender)
        if old is None and len(self.last_contacts) >= MAX_TRACKED_PATHS:
            return
        self.last_contacts[message.sender] = LastContact(self.now, message.digest, message.load)

    def _on_update(self, update: MemberUpdate, message: Datagram, source: Address) -> None:
        """Merge one update; its sender may be any member."""
        sender = message.sender
        if update.key == self.key:
            self._on_update_about_self(update, message)
            return
        accuser = self._name_of(update.accuser) if update.accuser else ""
        reason = f"does not answer {accuser}" if update.claim is Claim.SUSPECT and accuser else ""
        if update.confirmed:
            reason = f"was declared dead by {accuser}" if accuser else "was declared dead by others"
        old = self.table.find(update.key)
        action = self.table.merge_update(self.now, update, sender, reason)
        if action in (
            MergeAction.ACCEPT,
            MergeAction.START_SUSPICION,
            MergeAction.RECORD_LEAVE,
            MergeAction.CONFIRM_SUSPICION,
        ):
            # A member that is new to this view may be new to other views, so the update is passed on with the
            # record.
            is_new_process = old is None or old.incarnation.process != update.incarnation.process
            record = self.table.find(update.key).record if is_new_process else None  # type: ignore[union-attr]
            self._disseminate(replace(update, record=record))
            if action in (MergeAction.START_SUSPICION, MergeAction.CONFIRM_SUSPICION):
                self._schedule_suspicion(update.key)
            if is_new_process:
                self.last_contacts.pop(update.key, None)
                self.path_statuses.pop(update.key, None)
                self._add_to_probe_ring(update.key)
        elif action is MergeAction.SEND_CORRECTION or (
            old is not None and update.incarnation < old.incarnation
        ):
            entry = self.table.entries.get(sender)
            if entry is not None and entry.record.address == source:
                self._send_correction(update.key, source, message.size)

    # Housekeeping.
    def _housekeeping(self, _number: int, _key: bytes) -> None:
        self._set_timer(self.timing.period, TimerKind.HOUSEKEEPING)
        is_starting_up = self.now - self.started_at < STARTUP_PERIODS * self.timing.period
        self.sync_requests_left = STARTUP_SYNC_REQUESTS if is_starting_up else SYNC_REQUESTS_PER_PERIOD
        self.corrections_left = MAX_CORRECTIONS_PER_PERIOD
        self.table.expire_tombstones(self.now)

    # The view for operators.
    def _answer_view_request(self, message: Datagram, source: Address) -> None:
        value = message.first_value(Section.PAGE_REQUEST)
        if value is None or len(value) < wire.PAGE_REQUEST_BYTES:
            return
        first_row = int.from_bytes(value[:2], "big")
        keys = sorted({*self.table.entries, *self.table.tombstones})
        writer = DatagramWriter(message.size)
        writer.add_section(Section.PAGE_REQUEST, value[: wire.PAGE_REQUEST_BYTES])
        writer.add_section(Section.VIEW_SUMMARY, self._pack_view_summary(len(keys)))
        for key in keys[first_row : first_row + MAX_ROWS_PER_PAGE]:
            if not writer.add_section(Section.VIEW_ROW, self._pack_view_row(key)):
                break
        self._send_datagram(source, MessageType.VIEW_PAGE, writer)

    def _pack_view_summary(self, row_count: int) -> bytes:
        table = self.table
        left_count = len(table.tombstones) - table.dead_count
        flags = (
            self.is_settled()
            | self.is_minority << 1
            | (self.status is MembershipStatus.CONFLICT) << 2
            | self.is_isolated << 3
        )
        summary = wire.VIEW_SUMMARY_LAYOUT.pack(
            *(min(MAX_COUNT, count) for count in (row_count, len(table), table.dead_count, left_count)),
            table.revision & 0xFFFFFFFF,
            flags,
            min(MAX_COUNT, self.serving_member_count()),
        )
        return summary + self.fleet_name.encode()[:MAX_FLEET_NAME_BYTES]

    def _pack_view_row(self, key: MemberKey) -> bytes:
        entry = self.table.find(key)
        assert entry is not None
        contact = self.last_contacts.get(key)
        load = self.load if key == self.key else contact.load if contact is not None else LoadSummary()
        path_status = self.path_statuses.get(key)
        path = 0
        if path_status is not None and path_status.consecutive >= PATH_REPORT_THRESHOLD:
            path = PATH_DESCRIPTIONS.index(path_status.path)
        status = wire.ROW_STATUS_LAYOUT.pack(
            list(MemberState).index(self.table.state(key)),
            path,
            load.in_flight_tenths,
            (load.list_version % wire.LIST_VERSION_MODULUS).to_bytes(3, "big"),
            self._contact_age_ms(key, contact),
        )
        record = wire.pack_record(update_of(entry))
        return bytes((len(record),)) + record + status

    def _contact_age_ms(self, key: MemberKey, contact: LastContact | None) -> int:
        """Return the ms since a member's last datagram, or since it died or left if none arrived."""
        tombstone = self.table.tombstones.get(key)
        if key == self.key:
            return 0
        if contact is not None:
            last_contact_at = contact.received_at
        elif tombstone is not None:
            last_contact_at = tombstone.departed_at
        else:
            return wire.CONTACT_UNKNOWN_MS
        return min(wire.CONTACT_UNKNOWN_MS - 1, int(max(0.0, self.now - last_contact_at) * 1000))

    # Simulations in virtual time.
    def start_with_entries(
        self, entries: dict[MemberKey, MemberEntry], order: list[MemberKey], digest: int
    ) -> None:
        """Start as a member that already has these entries, its own among them; for simulations."""
        local = entries[self.key]
        self.ownership.incarnation = local.incarnation
        self.table.entries, self.table.sorted_keys, self.table.digest = dict(entries), list(order), digest
        self.phase = local.phase
        self.metadata = local.metadata
        self.timers = [timer for timer in self.timers if timer.kind is not TimerKind.JOIN]
        heapq.heapify(self.timers)
        self.ownership.status = MembershipStatus.MEMBER
        self._start_protocol()
