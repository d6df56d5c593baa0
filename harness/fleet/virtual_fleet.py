"""Members in virtual time: an event heap, seeded delays and network faults, without sockets or waiting.

The same seed gives the same run, also in another process. Thousands of members fit in memory because they
share entries.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from harness.fleet.network import Network
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.member_states import LIVE_STATES, MemberState
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.members import (
    Address,
    Claim,
    Incarnation,
    MemberRecord,
    ServicePhase,
    initial_generation,
    make_entry,
    member_key,
)
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.timing import ProtocolTiming

EPOCH_S = 1_764_633_600.0  # s since 1970 at the start of a run
BROADCAST_ADDRESS = "10.255.255.255", 7946  # address that reaches all members
MAX_INBOX = 512  # datagrams in the socket buffer of a suspended process
ProtocolFactory = Callable[..., MembershipProtocol]


def address_of(number: int) -> Address:
    """Return the address of a member by its number."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 7946


@dataclass(slots=True)
class VirtualMember:
    """One member's current process, and records of its former processes.

    Attributes:
        inbox: datagrams that arrived while the process was suspended.
        starts: number of its processes.
        clock_offset: s by which its monotonic clock is ahead.
        wall_offset: s by which its wall clock is ahead.
        timer_deadline: time of the scheduled tick; negative: none.
    """

    number: int
    name: str
    protocol: MembershipProtocol | None = None
    suspended: bool = False
    inbox: list[tuple[Address, bytes]] = field(default_factory=list)  # datagrams received while suspended
    starts: int = 0
    clock_offset: float = 0.0  # s by which its monotonic clock is ahead
    wall_offset: float = 0.0  # s by which its wall clock is ahead
    timer_deadline: float = -1.0  # time of the scheduled tick


class VirtualFleet:
    """A fleet in virtual time.

    Attributes:
        now: s since the start of the run.
        on_change: called with each change of a member's view.
        on_log_line: called with each log line of a member.
        datagrams, bytes: sent datagrams and their bytes.
    """

    def __init__(
        self,
        members: int,
        timing: ProtocolTiming,
        seed: int,
        network: Network | None = None,
        names: Callable[[int], str] = lambda number: f"p{number}",
        make_protocol: ProtocolFactory = MembershipProtocol,
        zones: int = 3,
        authenticator: MessageAuthenticator | None = None,
        use_seeds: bool = True,
    ) -> None:
        """Create a fleet without running members.

        With `use_seeds`, each member has the addresses of all members; otherwise only the broadcast address.
        """
        self.use_seeds = use_seeds
        self.timing = timing
        self.seed = seed
        self.make_protocol = make_protocol
        self.authenticator = authenticator
        self.random = Random(seed)
        self.network = network or Network(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = count()
        self.zones = zones
        self.members = [VirtualMember(number, names(number)) for number in range(members)]
        self.member_at: dict[Address, int] = {address_of(number): number for number in range(members)}
        self.on_change: Callable[[VirtualMember, MembershipChange], None] | None = None
        self.on_log_line: Callable[[VirtualMember, str], None] | None = None
        self.datagrams = 0
        self.bytes = 0

    # Event loop
    def schedule(self, at: float, callback: Callable[..., None], *args: Any) -> None:
        """Call a function at a time of the virtual clock."""
        heapq.heappush(self.events, (max(at, self.now), next(self.order), callback, args))

    def run(self, until: float) -> None:
        """Run all events until a time of the virtual clock."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    def _local_time(self, member: VirtualMember) -> float:
        return self.now + member.clock_offset

    def _apply_effects(self, member: VirtualMember) -> None:
        """Perform the effects that a member has decided on, and schedule its next tick."""
        core = member.protocol
        assert core is not None
        effects = core.take_effects()
        for address, data in effects.datagrams:
            self._send(member.number, address, data)
        if self.on_change is not None:
            for change in effects.changes:
                self.on_change(member, change)
        if self.on_log_line is not None:
            for line in effects.log_lines:
                self.on_log_line(member, line.text)
        due_at = max(self.now, core.next_timer_at - member.clock_offset)
        if member.timer_deadline < 0 or due_at < member.timer_deadline - 1e-9:
            member.timer_deadline = due_at
            self.schedule(due_at, self._on_timer, member, core, due_at)

    def _on_timer(self, member: VirtualMember, core: MembershipProtocol, due_at: float) -> None:
        if member.protocol is not core or member.timer_deadline != due_at or member.suspended:
            return
        member.timer_deadline = -1.0
        core.tick(self._local_time(member))
        self._apply_effects(member)

    def _send(self, sender: int, address: Address, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        to = range(len(self.members)) if address == BROADCAST_ADDRESS else (self.member_at.get(address),)
        for receiver in to:
            if receiver is None or (address == BROADCAST_ADDRESS and receiver == sender):
                continue
            for wait, sent in self.network.carry(sender, receiver, data, self.now):
                self.schedule(self.now + wait, self._deliver, receiver, address_of(sender), sent)

    def _deliver(self, receiver: int, source: Address, data: bytes) -> None:
        member = self.members[receiver]
        if member.protocol is None:
            return
        if member.suspended:
            if len(member.inbox) < MAX_INBOX:
                member.inbox.append((source, data))
            return
        member.protocol.receive_datagram(self._local_time(member), source, data)
        self._apply_effects(member)

    # Events of members
    def start(self, number: int, name: str = "") -> None:
        """Start a new process of a member, with another name if one is given."""
        member = self.members[number]
        member.starts += 1
        if name:
            member.name = name
        record = MemberRecord(member.name, address_of(number), "portal", f"z{number % self.zones}")
        seeds = [address_of(other) for other in range(len(self.members))] if self.use_seeds else []
        wall = EPOCH_S + self.now + member.wall_offset
        seed = derive_seed(self.seed, number, member.starts)
        member.protocol = self.make_protocol(
            "fleet",
            record,
            seeds,
            self.timing,
            seed,
            self._local_time(member),
            wall,
            self.authenticator,
            None if self.use_seeds else BROADCAST_ADDRESS,
        )
        member.protocol.phase = ServicePhase.SERVING
        member.suspended = False
        member.inbox = []
        member.timer_deadline = -1.0
        self._apply_effects(member)

    def adopt(self) -> None:
        """Start all members at once, each with all others in its view."""
        entries = {}
        for member in self.members:
            zone = f"z{member.number % self.zones}"
            record = MemberRecord(member.name, address_of(member.number), "portal", zone)
            run = Incarnation(initial_generation(EPOCH_S), member.number % 65535 + 1, 0)
            item = make_entry(member_key(member.name), run, Claim.ALIVE, record)
            entries[item.key] = item
        order = sorted(entries)
        digest = 0
        for item in entries.values():
            digest ^= item.digest
        for member in self.members:
            member.starts += 1
            own_entry = entries[member_key(member.name)]
            member.protocol = self.make_protocol(
                "fleet",
                own_entry.record,
                [],
                self.timing,
                derive_seed(self.seed, member.number, 1),
                self.now,
                EPOCH_S,
                self.authenticator,
            )
            member.protocol.start_with_entries(entries, order, digest)
            self._apply_effects(member)

    def kill(self, number: int) -> None:
        """Kill a process."""
        self.members[number].protocol = None

    def leave(self, number: int) -> None:
        """End a process that announces its leave first."""
        member = self.members[number]
        if member.protocol is not None:
            member.protocol.leave(self._local_time(member))
            self._apply_effects(member)
            member.protocol = None

    def suspend(self, number: int) -> None:
        """Suspend a process."""
        self.members[number].suspended = True

    def resume(self, number: int) -> None:
        """Resume a suspended process: first its timers run, then its queued datagrams."""
        member = self.members[number]
        if member.protocol is None or not member.suspended:
            return
        member.suspended = False
        member.timer_deadline = -1.0
        core = member.protocol
        # the timers of a resumed process are due before its datagrams are read
        core.tick(self._local_time(member))
        inbox = member.inbox
        member.inbox = []
        for source, data in inbox:
            core.receive_datagram(self._local_time(member), source, data)
        self._apply_effects(member)

    def adjust_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        """Move a process's clocks by some seconds."""
        member = self.members[number]
        member.clock_offset += monotonic
        member.wall_offset += wall
        member.timer_deadline = -1.0
        if member.protocol is not None and not member.suspended:
            member.protocol.tick(self._local_time(member))
            self._apply_effects(member)

    # Observation
    @property
    def living(self) -> list[VirtualMember]:
        """Members that have a process."""
        return [member for member in self.members if member.protocol is not None]

    def is_converged(self) -> bool:
        """Return whether all living members have the same view, which lists the living members."""
        names = {member_key(member.name) for member in self.living}
        tables = [member.protocol.table for member in self.living if member.protocol is not None]
        return len({table.digest for table in tables}) <= 1 and all(
            set(table.entries) == names and not table.suspicions for table in tables
        )

    def states(self, subject: int) -> dict[MemberState, int]:
        """Return the number of other living members by the state in which they have a member."""
        counts: dict[MemberState, int] = {}
        for member in self.living:
            if member.protocol is not None and member.number != subject:
                state = member.protocol.table.state(member_key(self.members[subject].name))
                counts[state] = counts.get(state, 0) + 1
        return counts


class VirtualFaultTarget:
    """Virtual fleet as the target of a fault script, with a record of dead incarnations that became live."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.network = fleet.network
        self.declared_dead: dict[tuple[str, bytes], set[Incarnation]] = {}
        self.resurrections: list[str] = []
        self.on_event: Callable[[str], None] | None = None
        self.reported_events: set[str] = set()
        fleet.on_change = self.record_change

    @property
    def names(self) -> list[str]:
        """Current names of the members."""
        return [member.name for member in self.fleet.members]

    def record_change(self, member: VirtualMember, change: MembershipChange) -> None:
        """Record a change of a member's view."""
        view = f"{member.name}.{member.starts}"  # a new process has a new view
        dead = self.declared_dead.setdefault((view, change.entry.key), set())
        if change.after is MemberState.DEAD:
            dead.add(change.entry.incarnation)
        elif change.after in LIVE_STATES and change.entry.incarnation in dead:
            incarnation_name = f"{change.entry.name} {change.entry.incarnation}"
            self.resurrections.append(
                f"{incarnation_name} was dead and is live again in {member.name}'s view"
            )
        event = f"{change.entry.name} is {change.after.value}"
        if self.on_event is not None and event not in self.reported_events:
            self.reported_events.add(event)
            self.on_event(event)

    def schedule(self, wait: float, callback: Callable[[], None]) -> None:
        """Call a function after `wait` seconds."""
        self.fleet.schedule(self.fleet.now + wait, callback)

    def kill(self, number: int) -> None:
        """Kill a process."""
        self.fleet.kill(number)

    def terminate(self, number: int) -> None:
        """End a process that announces its leave first."""
        self.fleet.leave(number)

    def start(self, number: int, name: str = "") -> None:
        """Start a process if the member has none."""
        if self.fleet.members[number].protocol is None:
            self.fleet.start(number, name)

    def suspend(self, number: int) -> None:
        """Suspend a process."""
        self.fleet.suspend(number)

    def resume(self, number: int) -> None:
        """Resume a suspended process."""
        self.fleet.resume(number)

    def adjust_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        """Move a process's clocks by some seconds."""
        self.fleet.adjust_clock(number, monotonic, wall)

    # Virtual time has no socket buffers, no TCP and no endpoint lists, so these methods do nothing.
    def flood(self, number: int, rate: float, lasts: float) -> None:
        """Do nothing, because there are no socket buffers."""

    def reset_connections(self, number: int) -> None:
        """Do nothing, because there is no TCP."""

    def set_silent(self, number: int, on: bool) -> None:
        """Do nothing, because there is no TCP."""

    def set_draining(self, server: str, on: bool) -> None:
        """Do nothing, because there are no endpoint lists."""


def derive_seed(*parts: int) -> int:
    """Return a seed from several numbers, which is the same in every process."""
    return Random(",".join(map(str, parts))).getrandbits(62)
