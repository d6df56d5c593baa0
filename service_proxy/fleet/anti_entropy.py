"""Anti-entropy (push-pull sync) of one member: when it compares views, and how it answers comparisons.

Performs no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import replace

from service_proxy.fleet import digest_tree
from service_proxy.fleet.member_base import MemberBase, MessageHandler, TimerHandler, TimerKind
from service_proxy.fleet.members import (
    Address,
    MemberKey,
)
from service_proxy.fleet.name_ownership import MembershipStatus
from service_proxy.fleet.timing import (
    INDIRECT_PING_AT,
    MAX_SYNC_ATTEMPTS,
    QUIET_PERIODS,
    STARTUP_PERIODS,
    SYNC_STARVED_PERIODS,
)
from service_proxy.fleet.wire import Datagram, DatagramWriter, MessageType, Section


class AntiEntropy(MemberBase):
    """Layer that compares this member's view with those of other members and makes the views equal.

    Attributes:
        sync_session: the comparison in progress, at most one at a time; None if there is none.
        last_sync_at: time at which the last comparison started, s; -inf allows the next one at once.
        sync_requests_left: sync requests that this member may still send in the current period.
        corrections_left: corrections that this member may still send in the current period.
    """

    def _initialise(self) -> None:
        super()._initialise()
        self.sync_session: digest_tree.SyncSession | None = None
        self.last_sync_at = float("-inf")
        self.sync_requests_left = 0
        self.corrections_left = 0

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        return {
            **super()._message_handlers(),
            MessageType.DIGEST_REQUEST: self._answer_digest_request,
            MessageType.DIGEST_REPLY: self._on_sync_reply,
            MessageType.ENTRIES_REQUEST: self._answer_entries_request,
            MessageType.ENTRIES_REPLY: self._on_sync_reply,
        }

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        return {
            **super()._timer_handlers(),
            TimerKind.SYNC_START: self._on_sync_start,
            TimerKind.SYNC_TIMEOUT: self._on_sync_timeout,
        }

    def _maybe_start_sync(
        self, partner: MemberKey, address: Address, digest: int, joining: bool = False
    ) -> None:
        """Start a sync session with a member whose digest differs, unless gossip will likely make both equal.

        `joining`: the partner answered a request to join. The session then starts even if the partner is not
        in this view, and without waiting for a quiet view, because a new member lacks all entries.
        """
        if (
            digest == self.table.digest
            or self.sync_session is not None
            or self.status is MembershipStatus.CONFLICT
        ):
            return
        if partner not in self.table.entries and not joining:
            return
        period = self.timing.period
        if not joining and self.now - self.started_at > STARTUP_PERIODS * period:
            is_quiet = self.now - self.table.changed_at >= QUIET_PERIODS * period
            is_overdue = self.now - self.last_sync_at >= SYNC_STARVED_PERIODS * period
            if not (is_quiet or is_overdue):
                return
        partner_entry = self.table.entries.get(partner)
        self.sync_session = digest_tree.SyncSession(
            partner, partner_entry.record.address if partner_entry is not None else address
        )
        self.last_sync_at = self.now
        # The request waits for the next tick, because a reply must not be longer than the datagram that
        # caused it.
        self._set_timer(0.0, TimerKind.SYNC_START)

    def _on_sync_start(self, _number: int, _key: bytes) -> None:
        if self.sync_session is not None and not self.sync_session.request_id:
            self._send_sync_request()

    def _send_sync_request(self) -> None:
        session = self.sync_session
        assert session is not None
        if not session.pending:
            self.sync_session = None
            return
        if self.sync_requests_left <= 0:
            # The next period's session, with any member whose digest differs then, compares the remaining
            # prefixes.
            self.sync_session = None
            self.last_sync_at = float("-inf")
            return
        self.sync_requests_left -= 1
        session.current = session.pending[-1]
        session.request_id = self._next_request_id()
        writer = DatagramWriter().add_probe_id(session.request_id)
        lists_entries = digest_tree.write_request(self.table, session.current, writer)
        self._pad_datagram(writer)
        self._send_datagram(
            session.address,
            MessageType.ENTRIES_REQUEST if lists_entries else MessageType.DIGEST_REQUEST,
            writer,
        )
        self._set_timer(
            INDIRECT_PING_AT * self.timing.period * (1 + self.local_health),
            TimerKind.SYNC_TIMEOUT,
            session.request_id,
        )

    def _on_sync_timeout(self, number: int, _key: bytes) -> None:
        session = self.sync_session
        if session is None or session.request_id != number:
            return
        session.attempts += 1
        if session.attempts >= MAX_SYNC_ATTEMPTS:
            self.sync_session = None
        else:
            self._send_sync_request()

    def _on_sync_reply(self, message: Datagram, _source: Address) -> None:
        session = self.sync_session
        if session is None or message.probe_id() != session.request_id or message.sender != session.partner:
            return
        session.attempts = 0
        session.pending.pop()
        if message.message_type == MessageType.DIGEST_REPLY:
            for value in message.values(Section.CHILD_DIGESTS):
                session.pending += digest_tree.differing_children(self.table, value)
        else:
            missing = message.first_value(Section.MISSING_KEYS)
            if missing:
                self._send_entries(session.address, missing, message.size)
            if missing or message.first_value(Section.MORE) is not None:
                session.pending.append(session.current)
        self._send_sync_request()

    def _send_entries(self, address: Address, missing: bytes, size: int) -> None:
        """Send the records of the keys that the partner lacks, as many as fit in one datagram."""
        writer = DatagramWriter(size)
        for at in range(0, len(missing) - 5, 6):
            key = bytes(missing[at : at + 6])
            if key in self.table.entries:
                writer.add_update(digest_tree.current_update(self.table, key, self.key))
        if writer.parts:
            self._send_datagram(address, MessageType.GOSSIP, writer)

    def _answer_digest_request(self, message: Datagram, source: Address) -> None:
        writer = self._start_reply(message)
        for value in message.values(Section.CHILD_DIGESTS)[:1]:
            digest_tree.answer_digest_request(self.table, value, writer)
            self._send_datagram(source, MessageType.DIGEST_REPLY, writer)

    def _answer_entries_request(self, message: Datagram, source: Address) -> None:
        writer = self._start_reply(message)
        for value in message.values(Section.ENTRY_DIGESTS)[:1]:
            if digest_tree.answer_entries_request(self.table, value, self.key, writer):
                # The padding lets the partner send the missing records in one datagram of the same size.
                self._pad_datagram(writer)
            self._send_datagram(source, MessageType.ENTRIES_REPLY, writer)

    def _send_correction(self, key: MemberKey, address: Address, size: int) -> None:
        """Send this view's state of a member to the sender of an outdated claim about that member."""
        self.corrections_left -= 1
        if self.corrections_left < 0 or self.status is not MembershipStatus.MEMBER:
            return
        writer = DatagramWriter(size)
        update = digest_tree.current_update(self.table, key, self.key)
        if writer.add_update(update) or writer.add_update(replace(update, record=None)):
            self._send_datagram(address, MessageType.GOSSIP, writer)
