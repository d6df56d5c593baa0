"""Failure detector: direct probes, indirect probes through other members, and suspicions until they expire.

The protocol period is SWIM's (4.1). Lifeguard adds the local health multiplier, the suspicion timeout that
confirmations shorten, and the early notification of the suspect (4.1 to 4.3). Performs no I/O and reads no
clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.fleet import digest_tree, log_lines, wire
from service_proxy.fleet.anti_entropy import AntiEntropy
from service_proxy.fleet.member_base import (
    MAX_TRACKED_PATHS,
    PATH_DESCRIPTIONS,
    PATH_REPORT_THRESHOLD,
    MessageHandler,
    PathStatus,
    ScheduledTimer,
    TimerHandler,
    TimerKind,
)
from service_proxy.fleet.member_states import LIVE_STATES, MemberState, MergeAction
from service_proxy.fleet.members import (
    KEY_BYTES,
    Address,
    Claim,
    MemberKey,
)
from service_proxy.fleet.name_ownership import MembershipStatus
from service_proxy.fleet.timing import (
    INDIRECT_PING_AT,
    INDIRECT_PROBES,
    NACK_AFTER,
    PING_RETRY_AT,
    PROBE_TIMEOUT,
)
from service_proxy.fleet.wire import Datagram, DatagramWriter, MemberUpdate, MessageType, Section, update_of

# Timers that are obsolete after the probe has been answered.
PROBE_TIMERS = frozenset((TimerKind.PING_RETRY, TimerKind.INDIRECT_PING, TimerKind.PROBE_TIMEOUT))


MAX_RELAYED_PROBES = 256  # Indirect probes in progress that this member relays for other members.
STALL_HEALTH_PENALTY = 2  # Added to the local health score after a stall of this process.
# Size of an INDIRECT_PING request and of the ping that it causes. A reply is never longer than its request,
# so the size also bounds the answers.
INDIRECT_PING_BYTES = 128


@dataclass(slots=True)
class Probe:
    """A probe in progress.

    Attributes:
        target: key of the probed member.
        process: process (generation and nonce) of the target when the probe started.
        helpers: members that received an INDIRECT_PING for this probe.
        nacks: helpers that reported that the target did not answer them either.
    """

    target: MemberKey
    process: tuple[int, int]
    helpers: frozenset[MemberKey] = frozenset()
    nacks: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """A ping that this member sends on behalf of another member."""

    requester: Address
    probe_id: int
    target: MemberKey


class FailureDetector(AntiEntropy):
    """Layer that probes members, directly and through other members, and times suspicions.

    Attributes:
        probes: this member's own probes in progress, by request id.
        relays: probes in progress on behalf of other members, by request id.
        probe_ring: members in the order in which they are probed; refilled and shuffled when it is empty.
        path_statuses: paths to the members that direct probes do not reach, by member key.
    """

    def _initialise(self) -> None:
        super()._initialise()
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, RelayedProbe] = {}
        self.probe_ring: list[MemberKey] = []
        self.path_statuses: dict[MemberKey, PathStatus] = {}

    def _message_handlers(self) -> dict[MessageType, MessageHandler]:
        return {
            **super()._message_handlers(),
            MessageType.PING: self._answer_ping,
            MessageType.ACK: self._on_ack,
            MessageType.INDIRECT_PING: self._relay_probe,
            MessageType.NACK: self._on_nack,
        }

    def _on_stall(self, delay: float) -> None:
        super()._on_stall(delay)
        self.probes.clear()
        self.relays.clear()
        self._adjust_local_health(STALL_HEALTH_PENALTY)

    def _timer_handlers(self) -> dict[TimerKind, TimerHandler]:
        return {
            **super()._timer_handlers(),
            TimerKind.PROBE: self._on_probe_timer,
            TimerKind.PING_RETRY: self._on_ping_retry_timer,
            TimerKind.INDIRECT_PING: self._on_indirect_ping_timer,
            TimerKind.PROBE_TIMEOUT: self._on_probe_timeout,
            TimerKind.RELAY_TIMEOUT: self._on_relay_timeout,
            TimerKind.SUSPICION: self._on_suspicion_timer,
        }

    def _is_timer_obsolete(self, timer: ScheduledTimer) -> bool:
        return timer.kind in PROBE_TIMERS and timer.number not in self.probes

    def _add_to_probe_ring(self, key: MemberKey) -> None:
        if key in self.table.entries and key not in self.probe_ring:
            self.probe_ring.insert(self.random.randint(0, len(self.probe_ring)), key)

    def _next_probe_target(self) -> MemberKey | None:
        for _ in range(2):
            while self.probe_ring:
                key = self.probe_ring.pop()
                if key != self.key and key in self.table.entries:
                    return key
            self.probe_ring = [key for key in self.table.sorted_keys if key != self.key]
            self.random.shuffle(self.probe_ring)
        return None

    def _on_probe_timer(self, number: int, _key: bytes) -> None:
        self._set_timer(self.timing.period, TimerKind.PROBE, number)
        if self.status is not MembershipStatus.MEMBER:
            return
        target = self.table.successor(self.key) if number else self._next_probe_target()
        if target is not None:
            self._start_probe(target)

    def _start_probe(self, target: MemberKey) -> None:
        entry = self.table.entries[target]
        number = self._next_request_id()
        self.probes[number] = Probe(target, entry.incarnation.process)
        self._send_ping(number)
        span = self.timing.period * (1 + self.local_health)
        self._set_timer(PING_RETRY_AT * span, TimerKind.PING_RETRY, number)
        self._set_timer(INDIRECT_PING_AT * span, TimerKind.INDIRECT_PING, number)
        self._set_timer(PROBE_TIMEOUT * span, TimerKind.PROBE_TIMEOUT, number)

    def _send_ping(self, number: int) -> None:
        probe = self.probes[number]
        entry = self.table.entries.get(probe.target)
        if entry is None:
            return
        writer = DatagramWriter().add_probe_id(number)
        # A suspect receives the suspicion with the first ping, so that it can refute the suspicion early
        # (Lifeguard, 4.3: buddy system).
        if probe.target in self.table.suspicions:
            writer.add_update(digest_tree.current_update(self.table, probe.target, self.key))
        self.dissemination.piggyback(writer)
        self._send_datagram(entry.record.address, MessageType.PING, writer)

    def _on_ping_retry_timer(self, number: int, _key: bytes) -> None:
        if number in self.probes:
            self._send_ping(number)

    def _on_indirect_ping_timer(self, number: int, _key: bytes) -> None:
        probe = self.probes.get(number)
        entry = self.table.entries.get(probe.target) if probe is not None else None
        if probe is None or entry is None:
            return
        helpers = self._random_members(INDIRECT_PROBES, (probe.target,))
        probe.helpers = frozenset(helpers)
        for helper in helpers:
            writer = DatagramWriter().add_probe_id(number)
            writer.add_section(Section.TARGET, probe.target + wire.pack_address(entry.record.address))
            self._pad_datagram(writer, INDIRECT_PING_BYTES)
            self._send_datagram(self.table.entries[helper].record.address, MessageType.INDIRECT_PING, writer)

    def _on_probe_timeout(self, number: int, _key: bytes) -> None:
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        entry = self.table.entries.get(probe.target)
        if entry is None or entry.incarnation.process != probe.process:
            return
        missing_nacks = max(0, len(probe.helpers) - probe.nacks)
        # If helpers answer neither ACK nor NACK, the fault may be at this member (Lifeguard, 4.1).
        self._adjust_local_health(1 if missing_nacks or not probe.helpers else 0)
        update = MemberUpdate(
            probe.target, entry.incarnation, Claim.SUSPECT, entry.phase, entry.metadata, self.key
        )
        action = self.table.merge_update(self.now, update, self.key, f"does not answer {self.record.name}")
        if action in (MergeAction.START_SUSPICION, MergeAction.CONFIRM_SUSPICION):
            self._disseminate(update)
            self._schedule_suspicion(probe.target)

    def _answer_ping(self, message: Datagram, source: Address) -> None:
        writer = self._start_reply(message)
        origin = message.first_value(Section.ORIGIN)
        if origin is not None:
            has_contact_with_origin = self._has_recent_contact(origin[:KEY_BYTES])
            writer.add_section(Section.HEARS_ORIGIN, bytes((has_contact_with_origin,)))
            origin_entry = self.table.entries.get(origin[:KEY_BYTES])
            # This datagram goes directly to the requester of the probe, which thus can detect whether the
            # direction from this member works.
            if origin_entry is not None:
                self._send_datagram(origin_entry.record.address, MessageType.GOSSIP, DatagramWriter())
        state = self.table.state(message.sender)
        if self.status is MembershipStatus.MEMBER:
            if state not in LIVE_STATES:
                writer.add_update(update_of(self.table.entries[self.key]))
            # The sender can refute a suspicion, or a claim that it is dead or has left, after it has received
            # the claim.
            if state not in (MemberState.ALIVE, MemberState.UNKNOWN):
                writer.add_update(digest_tree.current_update(self.table, message.sender, self.key))
            if origin is None:
                self.dissemination.piggyback(writer)
        self._send_datagram(source, MessageType.ACK, writer)

    def _on_ack(self, message: Datagram, _source: Address) -> None:
        number = message.probe_id() or 0
        relay = self.relays.pop(number, None)
        if relay is not None:
            if message.sender == relay.target:
                writer = DatagramWriter(message.size).add_probe_id(relay.probe_id)
                writer.add_section(Section.HEARS_ORIGIN, message.first_value(Section.HEARS_ORIGIN) or b"")
                self._send_datagram(relay.requester, MessageType.ACK, writer)
            return
        probe = self.probes.get(number)
        if probe is None:
            return
        if message.sender == probe.target:
            if message.incarnation.process == probe.process:
                del self.probes[number]
                self._adjust_local_health(-1)
                self._record_path(probe.target, "")
        elif message.sender in probe.helpers:
            del self.probes[number]
            has_recent_contact = self._has_recent_contact(probe.target)
            outbound_works = message.first_value(Section.HEARS_ORIGIN) == b"\x01"
            path_number = _path_number(has_recent_contact, outbound_works)
            self._record_path(probe.target, PATH_DESCRIPTIONS[path_number])
            self._record_liveness(probe.target)

    def _on_nack(self, message: Datagram, _source: Address) -> None:
        probe = self.probes.get(message.probe_id() or 0)
        if probe is not None:
            probe.nacks += 1

    def _record_path(self, key: MemberKey, path: str) -> None:
        previous = self.path_statuses.get(key)
        if path:
            count = previous.consecutive + 1 if previous is not None and previous.path == path else 1
            if previous is not None or len(self.path_statuses) < MAX_TRACKED_PATHS:
                self.path_statuses[key] = PathStatus(path, count)
            if count == PATH_REPORT_THRESHOLD:
                self.log_lines.append(log_lines.path_degraded(self._name_of(key), path))
        elif previous is not None:
            del self.path_statuses[key]
            if previous.consecutive >= PATH_REPORT_THRESHOLD:
                self.log_lines.append(log_lines.path_restored(self._name_of(key)))

    def _relay_probe(self, message: Datagram, source: Address) -> None:
        target = message.first_value(Section.TARGET)
        number = message.probe_id()
        if target is None or len(target) < wire.TARGET_BYTES or number is None:
            return
        if len(self.relays) >= MAX_RELAYED_PROBES:
            return
        key = target[:KEY_BYTES]
        address = wire.unpack_address(target[KEY_BYTES:])
        entry = self.table.entries.get(key)
        if entry is None or entry.record.address != address or message.sender not in self.table.entries:
            # Both the requester and the target must be in this view, with the same address for the target.
            # Otherwise this member could be made to send datagrams to arbitrary addresses.
            return
        relay_id = self._next_request_id()
        self.relays[relay_id] = RelayedProbe(source, number, key)
        writer = DatagramWriter(message.size).add_probe_id(relay_id)
        writer.add_section(Section.ORIGIN, message.sender)
        self._pad_datagram(writer, INDIRECT_PING_BYTES)
        self._send_datagram(address, MessageType.PING, writer)
        self._set_timer(NACK_AFTER * self.timing.period, TimerKind.RELAY_TIMEOUT, relay_id)

    def _on_relay_timeout(self, number: int, _key: bytes) -> None:
        relay = self.relays.pop(number, None)
        if relay is not None:
            self._send_datagram(
                relay.requester, MessageType.NACK, DatagramWriter().add_probe_id(relay.probe_id)
            )

    # Suspicions.
    def _schedule_suspicion(self, key: MemberKey) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            final_probe_at = suspicion.deadline - self.timing.period * (1 + self.local_health)
            self._set_timer(max(0.0, final_probe_at - self.now), TimerKind.SUSPICION, suspicion.timer_id, key)

    def _on_suspicion_timer(self, timer_id: int, key: bytes) -> None:
        """Probe the suspect once more before its suspicion expires, and declare it dead after the expiry.

        A suspect that was recently in contact, directly or through other members, is not declared dead, and
        its deadline is extended.
        """
        suspicion = self.table.suspicions.get(key)
        if suspicion is None or abs(timer_id) != suspicion.timer_id:
            return
        if timer_id > 0:
            self._start_probe(key)
            self._set_timer(max(0.0, suspicion.deadline - self.now), TimerKind.SUSPICION, -timer_id, key)
            return
        span = self.timing.period * (1 + self.local_health)
        if suspicion.last_contact_at > max(suspicion.started_at, self.now - 2 * span):
            suspicion.deadline = self.now + span
            self.table.renew_timer(suspicion)
            self._schedule_suspicion(key)
            return
        accusers = ", ".join(sorted(self._name_of(accuser) for accuser in suspicion.accusers)) or "others"
        span = self.now - suspicion.started_at
        self.table.declare_dead(
            self.now, key, f"suspected by {accusers} for {span:.2f} s without contact", self.key
        )
        self.last_contacts.pop(key, None)
        self.path_statuses.pop(key, None)

    def _record_liveness(self, key: MemberKey) -> None:
        suspicion = self.table.suspicions.get(key)
        if suspicion is not None:
            suspicion.last_contact_at = self.now


def _path_number(has_recent_contact: bool, outbound_works: bool) -> int:
    """Return the index in PATH_DESCRIPTIONS for a member that answers no direct probe."""
    if outbound_works:
        return 1 if has_recent_contact else 2
    return 3 if has_recent_contact else 4
