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
from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.join import JoinProtocol
from service_proxy.fleet.member_base import (
    ANY_FLEET,
    MAX_CORRECTIONS_PER_PERIOD,
    MAX_REPORTED_SOURCES,
    MAX_ROWS_PER_PAGE,
    MAX_TRACKED_PATHS,
    PATH_DESCRIPTIONS,
    PATH_REPORT_THRESHOLD,
    TIMER_TOLERANCE_S,
    LastContact,
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


class Effects(NamedTuple):
    """What has come of the last events."""

    datagrams: list[tuple[Address, bytes]]  # datagrams to send
    changes: list[MembershipChange]
    deliveries: list[
        tuple[MemberKey, int, bytes]
    ]  # sender, port, what it says to a part that stands on the fleet
    log_lines: list[str]  # lines for the log


class MembershipProtocol(JoinProtocol):
    def _timer_handlers(self) -> dict[str, Callable[[int, bytes], None]]:
        return {**super()._timer_handlers(), "housekeeping": self._housekeeping}

    def take_effects(self) -> Effects:
        found = Effects(self.outbox, self.table.changes, self.deliveries, self.log_lines)
        self.outbox = []
        self.table.changes = []
        self.deliveries = []
        self.log_lines = []
        return found

    # events
    def tick(self, now: float) -> None:
        self._advance_clock(now)
        while self.timers and self.timers[0][0] <= self.now + TIMER_TOLERANCE_S:
            _, _, what, number, key = heapq.heappop(self.timers)
            self._handlers[what](number, key)

    def announce(self, now: float, phase: ServicePhase | None = None, metadata: bytes | None = None) -> None:
        """What this member says of itself, from now on; told to all within some periods."""
        self._advance_clock(now)
        phase = self.phase if phase is None else phase
        metadata = self.metadata if metadata is None else metadata
        if (phase, metadata) != (self.phase, self.metadata):
            self.phase = phase
            self.metadata = metadata
            wait = self.announced_at + self.timing.period - self.now
            self._set_timer(max(0.0, wait), "say")  # one that comes meanwhile goes with it

    def leave(self, now: float) -> None:
        """It ends by its own will: all who hear of it know that nothing is wrong."""
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
        """For parts that stand on the fleet: to one member, or to all (None). Whether it fits and there is
        somebody; it may still be lost."""
        self._advance_clock(now)
        to = [key] if key is not None else [other for other in self.table.sorted_keys if other != self.key]
        sent = False
        for other in to:
            found = self.table.entries.get(other)
            writer = DatagramWriter()
            if (
                found is None
                or other == self.key
                or not writer.add_section(Section.USER_DATA, bytes((port,)) + data)
            ):
                continue
            self._send_datagram(found.record.address, MessageType.USER_DATA, writer)
            sent = True
        return sent

    def receive_datagram(self, now: float, source: Address, data: bytes) -> None:
        """Anything that came at its socket from an address that may be a member's."""
        self._advance_clock(now)
        try:
            _, message_type, fleet = wire.peek_header(data)
            if fleet != self.fleet_id and (message_type != MessageType.VIEW_REQUEST or fleet != ANY_FLEET):
                self._on_foreign_datagram(source)
                return
            if not self.authenticator.verify(data):
                self.counters.count_rejected("spoilt or forged")
                return
            message = wire.decode_datagram(data)
            if message.sender == self.key and message.incarnation.process == self.incarnation.process:
                self.counters.count_rejected("its own")
                return
            if not self.replay_window.accept(
                message.sender, message.incarnation.process, message.sequence_number
            ):
                self.counters.count_rejected("seen before")
                return
            self.counters.accepted += 1
            self.counters.accepted_bytes += len(data)
            try:
                known = MessageType(message_type)
            except ValueError:
                self.counters.count_rejected("a newer version's kind")
                return
            self._dispatch(known, message, source)
        except MalformedDatagramError:
            self.counters.count_rejected("malformed")

    def _on_foreign_datagram(self, source: Address) -> None:
        self.counters.count_rejected("another fleet's")
        if source not in self.foreign_sources and len(self.foreign_sources) < MAX_REPORTED_SOURCES:
            self.foreign_sources.add(source)
            self.log_lines.append(
                f"datagrams of another fleet come from {format_address(source)}; "
                "give each fleet its own members"
            )

    # datagrams in
    def _dispatch(self, message_type: MessageType, message: Datagram, source: Address) -> None:
        if message.sender == self.key:
            self._on_namesake_datagram(message_type, message, source)
            return
        if message_type is MessageType.VIEW_REQUEST:
            self._answer_view_request(message, source)
            return
        if message_type is MessageType.JOIN:
            self._answer_join(message, source)
            return
        known = self.table.entries.get(message.sender)
        if known is not None and known.incarnation.process == message.incarnation.process:
            self._record_contact(message)
            self._record_liveness(message.sender)
        for section, value in message.sections:
            if section == Section.UPDATE:
                self._on_update(wire.unpack_update(value), message, source)
            elif section == Section.RECORD:
                self._on_update(wire.unpack_record(value), message, source)
        if message_type is MessageType.PING:
            self._answer_ping(message, source)
        elif message_type is MessageType.ACK:
            self._on_ack(message, source)
        elif message_type is MessageType.INDIRECT_PING:
            self._relay_probe(message, source)
        elif message_type is MessageType.NACK:
            probe = self.probes.get(message.probe_id() or 0)
            if probe is not None:
                probe.nacks += 1
        elif message_type is MessageType.JOIN_REPLY:
            self.join_answered = True
            self._maybe_start_sync(message.sender, source, message.digest, joining=True)
        elif message_type is MessageType.DIGEST_REQUEST:
            self._answer_digest_request(message, source)
        elif message_type is MessageType.ENTRIES_REQUEST:
            self._answer_entries_request(message, source)
        elif message_type in (MessageType.DIGEST_REPLY, MessageType.ENTRIES_REPLY):
            self._on_sync_reply(message_type, message, source)
        elif message_type is MessageType.USER_DATA and message.sender in self.table.entries:
            for value in filter(None, message.values(Section.USER_DATA)):
                self.deliveries.append((message.sender, value[0], value[1:]))
        if message_type in (MessageType.PING, MessageType.ACK, MessageType.GOSSIP):
            self._maybe_start_sync(message.sender, source, message.digest)

    def _record_contact(self, message: Datagram) -> None:
        old = self.last_contacts.get(message.sender)
        if old is None and len(self.last_contacts) >= MAX_TRACKED_PATHS:
            return
        self.last_contacts[message.sender] = LastContact(self.now, message.digest, message.load)

    def _on_update(self, update: MemberUpdate, message: Datagram, source: Address) -> None:
        """One claim, from whoever told it."""
        teller = message.sender
        if update.key == self.key:
            self._on_update_about_self(update, message)
            return
        accuser = self._name_of(update.accuser) if update.accuser else ""
        reason = f"does not answer {accuser}" if update.claim is Claim.SUSPECT and accuser else ""
        if update.confirmed:
            reason = f"is dead to {accuser}" if accuser else "is dead to others"
        old = self.table.find(update.key)
        step = self.table.merge_update(self.now, update, teller, reason)
        if step in (
            MergeAction.ACCEPT,
            MergeAction.START_SUSPICION,
            MergeAction.RECORD_LEAVE,
            MergeAction.CONFIRM_SUSPICION,
        ):
            # Who is new to this view may be new to others, too: the whole record goes on.
            new = old is None or old.incarnation.process != update.incarnation.process
            record = self.table.find(update.key).record if new else None  # type: ignore[union-attr]
            self._disseminate(replace(update, record=record))
            if step in (MergeAction.START_SUSPICION, MergeAction.CONFIRM_SUSPICION):
                self._schedule_suspicion(update.key)
            if new:
                self.last_contacts.pop(update.key, None)
                self.path_statuses.pop(update.key, None)
                self._add_to_probe_ring(update.key)
        elif step is MergeAction.SEND_CORRECTION or (
            old is not None and update.incarnation < old.incarnation
        ):
            held = self.table.entries.get(teller)
            if held is not None and held.record.address == source:
                self._send_correction(update.key, source, message.size)

    # upkeep
    def _housekeeping(self, number: int, key: bytes) -> None:
        self._set_timer(self.timing.period, "housekeeping")
        young = self.now - self.started_at < STARTUP_PERIODS * self.timing.period
        self.sync_requests_left = STARTUP_SYNC_REQUESTS if young else SYNC_REQUESTS_PER_PERIOD
        self.corrections_left = MAX_CORRECTIONS_PER_PERIOD
        self.table.expire_tombstones(self.now)

    # the view, for staff
    def _answer_view_request(self, message: Datagram, source: Address) -> None:
        value = message.first_value(Section.PAGE_REQUEST)
        if value is None or len(value) < 4:
            return
        first = int.from_bytes(value[:2], "big")
        keys = sorted({*self.table.entries, *self.table.tombstones})
        writer = DatagramWriter(message.size)
        writer.add_section(Section.PAGE_REQUEST, value[:4])
        flags = self.is_settled() | self.is_minority << 1 | (self.status is MembershipStatus.CONFLICT) << 2
        counts = (
            len(keys),
            len(self.table),
            self.table.dead_count,
            len(self.table.tombstones) - self.table.dead_count,
        )
        total = wire.VIEW_SUMMARY_LAYOUT.pack(
            *(min(65535, count) for count in counts),
            self.table.revision & 0xFFFFFFFF,
            flags | self.is_isolated << 3,
            min(65535, self.serving_member_count()),
        )
        writer.add_section(Section.VIEW_SUMMARY, total + self.fleet_name.encode()[:64])
        for key in keys[first : first + MAX_ROWS_PER_PAGE]:
            if not writer.add_section(Section.VIEW_ROW, self._pack_view_row(key)):
                break
        self._send_datagram(source, MessageType.VIEW_PAGE, writer)

    def _pack_view_row(self, key: MemberKey) -> bytes:
        entry = self.table.find(key)
        assert entry is not None
        state = self.table.state(key)
        path_status = self.path_statuses.get(key)
        contact = self.last_contacts.get(key)
        tombstone = self.table.tombstones.get(key)
        last_contact_at = (
            self.now
            if key == self.key
            else contact.received_at
            if contact
            else tombstone.departed_at
            if tombstone
            else None
        )
        age_ms = (
            0xFFFFFFFF
            if last_contact_at is None
            else min(0xFFFFFFFE, int(max(0.0, self.now - last_contact_at) * 1000))
        )
        load = self.load if key == self.key else contact.load if contact else LoadSummary()
        path = (
            PATH_DESCRIPTIONS.index(path_status.path)
            if path_status is not None and path_status.consecutive >= PATH_REPORT_THRESHOLD
            else 0
        )
        status = wire.ROW_STATUS_LAYOUT.pack(
            list(MemberState).index(state),
            path,
            load.in_flight_tenths,
            (load.list_version % wire.LIST_VERSION_MODULUS).to_bytes(3, "big"),
            age_ms,
        )
        record = wire.pack_record(update_of(entry))
        return bytes((len(record),)) + record + status

    # for who makes a fleet at once, in virtual time
    def adopt(self, entries: dict[MemberKey, MemberEntry], order: list[MemberKey], digest: int) -> None:
        """Begins as a member that knows all these; its own entry is among them."""
        local = entries[self.key]
        self.ownership.incarnation = local.incarnation
        self.table.entries, self.table.sorted_keys, self.table.digest = dict(entries), list(order), digest
        self.phase = local.phase
        self.metadata = local.metadata
        self.timers = [timer for timer in self.timers if timer[2] != "join"]
        heapq.heapify(self.timers)
        self.ownership.status = MembershipStatus.MEMBER
        self._start_protocol()
