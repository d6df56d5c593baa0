"""Anti-entropy (push-pull sync) as one member does it: when it compares its view.

And what it answers. Pure.
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
    """The layer that compares this member's view with others' and makes both equal (push-pull sync).

    Attributes:
        sync_session: the comparison that is under way; one at a time.
        sync_requests_left: that may be sent in this period.
    """

    def _initialise(self) -> None:
        super()._initialise()
        self.sync_session: digest_tree.SyncSession | None = None
        self.last_sync_at = float("-inf")
        self.sync_requests_left = 0
        self.corrections_left = 0  # in this period

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
        """Begin a session with a member whose digest differs, unless it will likely agree by gossip alone.

        `joining`: the partner answered a request to join; it need not be known, and there is all to learn.
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
            quiet = self.now - self.table.changed_at >= QUIET_PERIODS * period
            starved = self.now - self.last_sync_at >= SYNC_STARVED_PERIODS * period
            if not (quiet or starved):
                return
        known = self.table.entries.get(partner)
        self.sync_session = digest_tree.SyncSession(
            partner, known.record.address if known is not None else address
        )
        self.last_sync_at = self.now
        self._set_timer(0.0, TimerKind.SYNC_START)  # not at once: nobody is answered with more than came

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
            self.sync_session = None  # the rest in the next period, with whoever differs then
            self.last_sync_at = float("-inf")
            return
        self.sync_requests_left -= 1
        session.current = session.pending[-1]
        session.request_id = self._next_request_id()
        writer = DatagramWriter().add_probe_id(session.request_id)
        by_name = digest_tree.write_request(self.table, session.current, writer)
        self._pad_datagram(writer)
        self._send_datagram(
            session.address, MessageType.ENTRIES_REQUEST if by_name else MessageType.DIGEST_REQUEST, writer
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
        """Send the records of the keys that a partner lacks, as far as they fit."""
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
                self._pad_datagram(writer)  # so that what is wanted may come in one
            self._send_datagram(source, MessageType.ENTRIES_REPLY, writer)

    def _send_correction(self, key: MemberKey, address: Address, size: int) -> None:
        """Tell a member that sent an outdated claim what this view holds."""
        self.corrections_left -= 1
        if self.corrections_left < 0 or self.status is not MembershipStatus.MEMBER:
            return
        writer = DatagramWriter(size)
        update = digest_tree.current_update(self.table, key, self.key)
        if writer.add_update(update) or writer.add_update(replace(update, record=None)):
            self._send_datagram(address, MessageType.GOSSIP, writer)
