"""How a member comes to its name and to the others, and how it finds lost ones again. Pure."""

from __future__ import annotations

from dataclasses import replace

from service_proxy.fleet import digest_tree, log_lines
from service_proxy.fleet.failure_detector import FailureDetector
from service_proxy.fleet.member_base import MessageHandler, TimerHandler, TimerKind
from service_proxy.fleet.member_states import MemberState
from service_proxy.fleet.members import (
    Address,
    Claim,
    MemberKey,
    format_address,
)
from service_proxy.fleet.name_ownership import ChallengeOutcome, MembershipStatus
from service_proxy.fleet.timing import (
    BROADCAST_JOIN_REPLIES,
    GOSSIP_FANOUT,
    JOIN_FANOUT,
    MAX_JOIN_ATTEMPTS,
    RECONNECT_INTERVAL,
    RECONNECTS_PER_BROADCAST,
)
from service_proxy.fleet.wire import Datagram, DatagramWriter, MemberUpdate, MessageType, Section, update_of

MAX_REPORTED_SOURCES = 16  # addresses that are named in the log


class JoinProtocol(FailureDetector):
    """The layer by which a member comes to its name and to the others, and finds lost ones again.

    Attributes:
        join_attempts: requests to join that were sent since the status became JOINING.
        join_answered: whether somebody has answered one.
        reconnect_candidates: addresses that are tried in turn: of the dead, and of seeds nobody was heard at.
        claimants: addresses of other processes that asked for this member's name.
        announced_at: when this member last changed what it says of itself.
    """

    def _initialise(self) -> None:
        super()._initialise()
        self.is_probing = False
        self.is_reconnecting = False
        self.join_attempts = 0
        self.join_answered = False
        self.reconnects_since_broadcast = 0
        self.reconnect_candidates: list[Address] = []
        self.claimants: set[Address] = set()
        self.announced_at = float("-inf")

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        return {**super()._message_handlers(), MessageType.JOIN_REPLY: self._on_join_reply}

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        return {
            **super()._timer_handlers(),
            TimerKind.JOIN: self._on_join_timer,
            TimerKind.RECONNECT: self._on_reconnect_timer,
            TimerKind.NAME_CONTEST: self._on_contest_timer,
            TimerKind.ANNOUNCE: self._on_announce_timer,
            TimerKind.INTRODUCE: self._on_introduce_timer,
        }

    # what it says of itself
    def _announce(self, reason: str) -> None:
        """Put this member's entry as it is now into its own view, and disseminate it."""
        known = self.table.entries.get(self.key)
        local = self._local_entry()
        self.table.set_local_entry(self.now, local, reason)
        new = known is None or known.incarnation.process != local.incarnation.process
        self.announced_at = self.now
        self._disseminate(update_of(local, with_record=new))

    def _on_announce_timer(self, _number: int, _key: bytes) -> None:
        known = self.table.entries.get(self.key)
        if self.status is not MembershipStatus.MEMBER or known is None:
            return  # it goes out with the first announcement
        if (known.phase, known.metadata) != (self.phase, self.metadata):
            self.ownership.refute(self.incarnation)
            self._announce(f"is {self.phase.name.lower()}")

    def _become_member(self) -> None:
        self.ownership.status = MembershipStatus.MEMBER
        self._announce("joins")
        self._start_protocol()

    def _start_protocol(self) -> None:
        """Start the probe timers; they go on from then."""
        if not self.is_probing:
            self.is_probing = True
            half = 0.5 * self.timing.period
            self._set_timer(self.random.uniform(0, half), TimerKind.PROBE, 0)
            self._set_timer(self.random.uniform(0, half) + half, TimerKind.PROBE, 1)
        self._start_reconnecting()

    def _start_reconnecting(self) -> None:
        if not self.is_reconnecting:
            self.is_reconnecting = True
            self._set_timer(
                self.random.uniform(0.5, 1) * RECONNECT_INTERVAL * self.timing.period, TimerKind.RECONNECT
            )

    def _on_update_about_self(self, update: MemberUpdate, message: Datagram) -> None:
        local = self.incarnation
        if update.incarnation.process == local.process:
            if update.claim is Claim.ALIVE or self.status is not MembershipStatus.MEMBER:
                return
            if update.incarnation < local:
                self._correct_outdated_sender(message.sender)
                return
            self.ownership.refute(update.incarnation)
            self._announce(f"denies what {self._name_of(update.accuser or message.sender)} says")
            self._adjust_local_health(1)
            return
        departed = update.claim is Claim.LEFT or update.confirmed
        address = update.record.address if update.record is not None else None
        outcome = self.ownership.resolve_challenge(update.incarnation, address, departed)
        if outcome is ChallengeOutcome.OUTRANK:
            if self.status is MembershipStatus.MEMBER:
                self._announce("comes after a process of its name")
        elif outcome is ChallengeOutcome.CONTEST:
            self._set_timer(0.0, TimerKind.NAME_CONTEST, 0)
        elif outcome is ChallengeOutcome.CONFLICT:
            self._enter_conflict(address)
        elif update.incarnation < local and self.status is MembershipStatus.MEMBER:
            self._correct_outdated_sender(message.sender)

    def _correct_outdated_sender(self, sender: MemberKey) -> None:
        """Send this member's record to a sender of something outdated about it.

        By a timer, since it may be longer than what arrived; and to where the view has the sender.
        """
        self.corrections_left -= 1
        if self.corrections_left >= 0 and sender in self.table.entries:
            self._set_timer(0.0, TimerKind.INTRODUCE, 0, sender)

    def _on_introduce_timer(self, _number: int, key: bytes) -> None:
        entry = self.table.entries.get(key)
        if entry is not None and self.status is MembershipStatus.MEMBER:
            self._introduce_to(entry.record.address)

    def _introduce_to(self, address: Address, dead: MemberKey = b"") -> None:
        """Ping an address with this member's record, and with what the view holds of who was there."""
        writer = DatagramWriter().add_probe_id(self._next_request_id())
        if dead:
            writer.add_update(digest_tree.current_update(self.table, dead, self.key))
        writer.add_update(update_of(self.table.entries[self.key]))
        self._pad_datagram(writer)
        self._send_datagram(address, MessageType.PING, writer)

    # joining
    def _on_join_timer(self, _number: int, _key: bytes) -> None:
        """Ask who is there; go on as a member once somebody has answered, or nobody does."""
        if self.status is MembershipStatus.CONTESTING:
            self._set_timer(self.timing.period, TimerKind.JOIN)
            return
        if self.status is not MembershipStatus.JOINING:
            return
        if self.join_answered or not self.knows_other_addresses or self.join_attempts >= MAX_JOIN_ATTEMPTS:
            if not self.join_answered and self.knows_other_addresses:
                self.log_lines.append(log_lines.join_unanswered(self.join_attempts))
            self._become_member()
            return
        self.join_attempts += 1
        for address in self.random.sample(self.seeds, min(JOIN_FANOUT, len(self.seeds))):
            self._send_join(address)
        if self.broadcast_address is not None and (not self.seeds or self.join_attempts == MAX_JOIN_ATTEMPTS):
            self._send_join(
                self.broadcast_address, broadcast=True
            )  # the last resort: it costs each member a datagram
        self._set_timer(self.timing.period * self.random.uniform(0.75, 1.25), TimerKind.JOIN)

    def _send_join(self, address: Address, broadcast: bool = False) -> None:
        writer = DatagramWriter()
        writer.add_section(Section.REQUESTED_NAME, self.record.name.encode())
        if broadcast:
            writer.add_section(Section.BROADCAST, b"")
        self._pad_datagram(writer)
        self._send_datagram(address, MessageType.JOIN, writer)

    def _answer_join(self, message: Datagram, source: Address) -> None:
        """Tell a newcomer who holds its name, who this is, and some that live. It is no member by that.

        Of the members that a broadcast request reaches, some answer.
        """
        if message.first_value(Section.BROADCAST) is not None:
            others = max(1, len(self.table) - 1)
            if self.random.random() >= BROADCAST_JOIN_REPLIES / others:
                return
        writer = DatagramWriter(message.size)
        entry = self.table.find(message.sender)
        if entry is not None:
            writer.add_update(
                replace(digest_tree.current_update(self.table, entry.key, self.key), record=entry.record)
            )
        if self.status in (MembershipStatus.JOINING, MembershipStatus.MEMBER):
            writer.add_update(update_of(self._local_entry()))
        for key in self._random_members(GOSSIP_FANOUT, (message.sender,)):
            writer.add_update(digest_tree.current_update(self.table, key, self.key))
        self._send_datagram(source, MessageType.JOIN_REPLY, writer)

    def _on_join_reply(self, message: Datagram, source: Address) -> None:
        self.join_answered = True
        self._maybe_start_sync(message.sender, source, message.digest, joining=True)

    def _on_reconnect_timer(self, _number: int, _key: bytes) -> None:
        """Try one lost member, or one seed nobody was heard at.

        Who was declared dead may only have been cut off, and a seed may be up by now.
        """
        self._set_timer(
            RECONNECT_INTERVAL * self.timing.period * self.random.uniform(0.9, 1.1), TimerKind.RECONNECT
        )
        if self.status is MembershipStatus.CONFLICT:
            self.ownership.retry_claim()
            self.join_attempts = 0
            self.join_answered = False
            self._set_timer(0.0, TimerKind.JOIN)
            return
        if self.broadcast_address is not None and self.is_isolated:
            self.reconnects_since_broadcast += 1
            if self.reconnects_since_broadcast >= RECONNECTS_PER_BROADCAST:
                self.reconnects_since_broadcast = 0
                self._send_join(self.broadcast_address, broadcast=True)
        if not self.reconnect_candidates and (self.table.dead_count or self.seeds):
            self._refill_reconnect_candidates()
        if self.reconnect_candidates and self.status is MembershipStatus.MEMBER:
            address = self.reconnect_candidates.pop()
            dead_there = [
                tombstone.entry.key
                for tombstone in self.table.tombstones.values()
                if tombstone.state is MemberState.DEAD and tombstone.entry.record.address == address
            ]
            self._introduce_to(address, dead_there[0] if dead_there else b"")

    def _refill_reconnect_candidates(self) -> None:
        """Collect the addresses of the dead, and seeds nobody was heard at, in a random order."""
        in_use = {entry.record.address for entry in self.table.entries.values()}
        dead: list[Address] = []
        departed: set[Address] = set()
        for tombstone in self.table.tombstones.values():
            address = tombstone.entry.record.address
            if tombstone.state is MemberState.DEAD:
                dead.append(address)
            else:
                departed.add(address)
        unheard = [address for address in self.seeds if address not in departed]
        candidates = dict.fromkeys([*dead, *unheard])
        self.reconnect_candidates = [address for address in candidates if address not in in_use]
        self.random.shuffle(self.reconnect_candidates)

    # namesakes
    def _on_namesake_datagram(self, message_type: MessageType, message: Datagram, source: Address) -> None:
        """Handle a datagram of another process with this name: the holder says so to it, and both log it."""
        if message_type is MessageType.ACK:
            if self.ownership.is_rival(message.incarnation):
                self._enter_conflict(source)
        elif message_type is MessageType.PING and message.first_value(Section.REQUESTED_NAME) is not None:
            if self.status is MembershipStatus.MEMBER:
                if source not in self.claimants and len(self.claimants) < MAX_REPORTED_SOURCES:
                    self.claimants.add(source)
                    self.log_lines.append(log_lines.name_requested(self.record.name, format_address(source)))
                self._send_datagram(source, MessageType.ACK, self._start_reply(message))
        elif message_type is MessageType.JOIN:
            # A successor, or who takes the name by mistake: it is to know that the name is taken.
            self._answer_join(message, source)

    def _on_contest_timer(self, number: int, _key: bytes) -> None:
        """Ask the holder of the name whether it lives; where it does not answer, the name is free."""
        if self.ownership.rival is None:
            return
        min_suspicion = self.timing.min_suspicion(len(self.table))
        rounds = max(2, int(min_suspicion / self.timing.period * 2))
        if number >= rounds:
            self.ownership.outrank_silent_rival()
            self.log_lines.append(log_lines.name_taken_over(self.record.name))
            if self.status is MembershipStatus.MEMBER:
                self._announce("comes after a process of its name")
            return
        writer = DatagramWriter().add_probe_id(self._next_request_id())
        writer.add_section(Section.REQUESTED_NAME, self.record.name.encode())
        self._send_datagram(self.ownership.rival_address, MessageType.PING, writer)
        self._set_timer(self.timing.period / 2, TimerKind.NAME_CONTEST, number + 1)

    def _enter_conflict(self, address: Address | None) -> None:
        """Give way: the name is another's, and this process says nothing more as a member."""
        if self.status is MembershipStatus.CONFLICT:
            return
        self.ownership.yield_name()
        self._start_reconnecting()
        at = format_address(address) if address is not None else "another address"
        if self.ownership.reported_holder != at:
            self.ownership.reported_holder = at
            self.log_lines.append(log_lines.name_conflict(self.record.name, at))
