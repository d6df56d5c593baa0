"""Join layer of a member: acquires the member's name, joins the fleet and reconnects to dead members.

The module performs no I/O and reads no clock.
"""

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

MAX_REPORTED_SOURCES = 16  # Upper bound of the distinct source addresses per kind of warning in the log.


class JoinProtocol(FailureDetector):
    """Layer by which a member acquires its name, joins the fleet and reconnects to dead members.

    Attributes:
        join_attempts: join attempts since the status became JOINING.
        join_answered: whether any member has answered a join request of these attempts.
        reconnects_since_broadcast: reconnect attempts of an isolated member since its last broadcast.
        reconnect_candidates: addresses of dead members, and seeds whose address belongs to no live and no
            departed member; one address is tried per reconnect attempt.
        claimants: addresses of other processes that requested this member's name.
        announced_at: time of this member's last announcement of its own entry, s.
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

    # Announcements of this member's own entry.
    def _announce(self, reason: str) -> None:
        """Store this member's current entry in its own view and disseminate the entry."""
        known = self.table.entries.get(self.key)
        local = self._local_entry()
        self.table.set_local_entry(self.now, local, reason)
        is_new_process = known is None or known.incarnation.process != local.incarnation.process
        self.announced_at = self.now
        self._disseminate(update_of(local, with_record=is_new_process))

    def _on_announce_timer(self, _number: int, _key: bytes) -> None:
        known = self.table.entries.get(self.key)
        if self.status is not MembershipStatus.MEMBER or known is None:
            # This process announces its current phase and metadata when it becomes a member.
            return
        if (known.phase, known.metadata) != (self.phase, self.metadata):
            self.ownership.refute(self.incarnation)
            self._announce(f"is {self.phase.name.lower()}")

    def _become_member(self) -> None:
        self.ownership.status = MembershipStatus.MEMBER
        self._announce("joins")
        self._start_protocol()

    def _start_protocol(self) -> None:
        """Start the probe timers, which then renew themselves, unless they run already."""
        if not self.is_probing:
            self.is_probing = True
            half_period = 0.5 * self.timing.period
            self._set_timer(self.random.uniform(0, half_period), TimerKind.PROBE, 0)
            self._set_timer(self.random.uniform(0, half_period) + half_period, TimerKind.PROBE, 1)
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
            self._announce(f"refutes the claim of {self._name_of(update.accuser or message.sender)}")
            self._adjust_local_health(1)
            return
        departed = update.claim is Claim.LEFT or update.confirmed
        address = update.record.address if update.record is not None else None
        outcome = self.ownership.resolve_challenge(update.incarnation, address, departed)
        if outcome is ChallengeOutcome.OUTRANK:
            if self.status is MembershipStatus.MEMBER:
                self._announce("outranks another process with its name")
        elif outcome is ChallengeOutcome.CONTEST:
            self._set_timer(0.0, TimerKind.NAME_CONTEST, 0)
        elif outcome is ChallengeOutcome.CONFLICT:
            self._enter_conflict(address)
        elif update.incarnation < local and self.status is MembershipStatus.MEMBER:
            self._correct_outdated_sender(message.sender)

    def _correct_outdated_sender(self, sender: MemberKey) -> None:
        """Schedule the sending of this member's record to the sender of an outdated claim about this member.

        A timer sends the record, because a reply must not be longer than the received datagram and the record
        may be longer. The record goes to the sender's address in this view, not to the datagram's
        source address.
        """
        self.corrections_left -= 1
        if self.corrections_left >= 0 and sender in self.table.entries:
            self._set_timer(0.0, TimerKind.INTRODUCE, 0, sender)

    def _on_introduce_timer(self, _number: int, key: bytes) -> None:
        entry = self.table.entries.get(key)
        if entry is not None and self.status is MembershipStatus.MEMBER:
            self._introduce_to(entry.record.address)

    def _introduce_to(self, address: Address, dead: MemberKey = b"") -> None:
        """Ping an address with this member's record and, if `dead` is given, the claim about that member.

        The claim lets the process at the address refute its own death.
        """
        writer = DatagramWriter().add_probe_id(self._next_request_id())
        if dead:
            writer.add_update(digest_tree.current_update(self.table, dead, self.key))
        writer.add_update(update_of(self.table.entries[self.key]))
        self._pad_datagram(writer)
        self._send_datagram(address, MessageType.PING, writer)

    # Joining.
    def _on_join_timer(self, _number: int, _key: bytes) -> None:
        """Send join requests, or become a member after a reply or after MAX_JOIN_ATTEMPTS.

        A process without other addresses becomes a member at once.
        """
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
        # The broadcast is sent only without seeds or in the last attempt, because it costs every member of
        # the tier a datagram.
        if self.broadcast_address is not None and (not self.seeds or self.join_attempts == MAX_JOIN_ATTEMPTS):
            self._send_join(self.broadcast_address, broadcast=True)
        self._set_timer(self.timing.period * self.random.uniform(0.75, 1.25), TimerKind.JOIN)

    def _send_join(self, address: Address, broadcast: bool = False) -> None:
        writer = DatagramWriter()
        writer.add_section(Section.REQUESTED_NAME, self.record.name.encode())
        if broadcast:
            writer.add_section(Section.BROADCAST, b"")
        self._pad_datagram(writer)
        self._send_datagram(address, MessageType.JOIN, writer)

    def _answer_join(self, message: Datagram, source: Address) -> None:
        """Answer a join request with the requested name's entry, this member's and some live members'.

        The requester does not become a member by the request. Of the members that a broadcast request
        reaches, only a random few reply.
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
        """Try to reach one dead member, or one seed that is the address of no known member.

        A member that was declared dead may only have been partitioned, and a seed may have started since. An
        isolated member also broadcasts a join request every RECONNECTS_PER_BROADCAST attempts. In a name
        conflict, the process instead tries to join again.
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
            dead_keys = [
                tombstone.entry.key
                for tombstone in self.table.tombstones.values()
                if tombstone.state is MemberState.DEAD and tombstone.entry.record.address == address
            ]
            self._introduce_to(address, dead_keys[0] if dead_keys else b"")

    def _refill_reconnect_candidates(self) -> None:
        """Collect, in random order, the dead members' addresses and the seeds that can be tried.

        An address that a live member uses is left out, and so is a seed whose member has left.
        """
        in_use = {entry.record.address for entry in self.table.entries.values()}
        dead: list[Address] = []
        departed: set[Address] = set()
        for tombstone in self.table.tombstones.values():
            address = tombstone.entry.record.address
            if tombstone.state is MemberState.DEAD:
                dead.append(address)
            else:
                departed.add(address)
        remaining_seeds = [address for address in self.seeds if address not in departed]
        candidates = dict.fromkeys([*dead, *remaining_seeds])
        self.reconnect_candidates = [address for address in candidates if address not in in_use]
        self.random.shuffle(self.reconnect_candidates)

    # Processes with the same name.
    def _on_same_name_datagram(self, message_type: MessageType, message: Datagram, source: Address) -> None:
        """Handle a datagram of another process with this member's name.

        The member that holds the name answers a request for the name. This member and the requester both log
        the conflict.
        """
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
            # The sender is a successor of this process or uses the name by mistake. The reply informs the
            # sender that the name is in use.
            self._answer_join(message, source)

    def _on_contest_timer(self, number: int, _key: bytes) -> None:
        """Ping the process that holds this member's name; take the name over if no answer arrives.

        The pings are sent twice per protocol period, for the minimum duration of a suspicion.
        """
        if self.ownership.rival is None:
            return
        min_suspicion = self.timing.min_suspicion(len(self.table))
        rounds = max(2, int(min_suspicion / self.timing.period * 2))
        if number >= rounds:
            self.ownership.outrank_unresponsive_rival()
            self.log_lines.append(log_lines.name_taken_over(self.record.name))
            if self.status is MembershipStatus.MEMBER:
                self._announce("outranks another process with its name")
            return
        writer = DatagramWriter().add_probe_id(self._next_request_id())
        writer.add_section(Section.REQUESTED_NAME, self.record.name.encode())
        self._send_datagram(self.ownership.rival_address, MessageType.PING, writer)
        self._set_timer(self.timing.period / 2, TimerKind.NAME_CONTEST, number + 1)

    def _enter_conflict(self, address: Address | None) -> None:
        """Yield the name to the process that holds it; this process stops acting as a member."""
        if self.status is MembershipStatus.CONFLICT:
            return
        self.ownership.yield_name()
        self._start_reconnecting()
        holder_address = format_address(address) if address is not None else "another address"
        if self.ownership.reported_holder != holder_address:
            self.ownership.reported_holder = holder_address
            self.log_lines.append(log_lines.name_conflict(self.record.name, holder_address))
