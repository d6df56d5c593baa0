"""Determine what happened from what the other proxies say of themselves. Pure.

A member in phase STEADY has been up all the while, or recovered before this proxy started: either way the
fleet as a whole is up, and its answer overrides any snapshot. Where no member is steady, the outage follows
from how many former members are back and all recovering. A zone counts as affected where none of its members
is steady and more than one was there before; endpoints follow their zone.

    | answers                                              | outage                                  |
    | survivors, one of this zone among them               | PROCESS, MACHINE where the boot differs |
    | survivors; a live member of this zone is silent      | UNKNOWN                                 |
    | survivors, none of this zone, but others of it known | ZONE                                    |
    | survivors; nobody else is known of this zone         | PROCESS, MACHINE where the boot differs |
    | no survivors, more than half of all recovering       | FLEET                                   |
    | the same, all of whose machines kept their power     | PROCESS                                 |
    | no survivors, half or fewer                          | UNKNOWN, after MAX_SURVEY_S FLEET       |

While the outage is UNKNOWN, the phase admits what endpoints that warm up can take.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from service_proxy.recovery.phases import MAX_SURVEY_S, RecoveryPhase
from service_proxy.recovery.validity_rules import OutageScope

# Version and phase (four bits each); flags; wall time of the last outage, s, 0: none that it knows of.
STATUS_LAYOUT = struct.Struct("!BBI")
STATUS_VERSION = 1
VERSION_SHIFT = 4
PHASE_MASK = 0x0F
MAX_UINT32 = 0xFFFFFFFF
MACHINE_STAYED_UP_BIT = 0x01  # since the process before
MACHINE_POWER_KNOWN_BIT = 0x02  # whether the member can tell


class KnownMember(NamedTuple):
    """A former member, by a store or the membership view."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class RecoveryStatus:
    """What a member says of its recovery.

    Attributes:
        phase: in which it is.
        machine_stayed_up: since its process before; None: it can't tell.
        outage_at: wall time at which it found that the fleet had lost power, s; 0: it did not.
    """

    phase: RecoveryPhase
    machine_stayed_up: bool | None = None
    outage_at: int = 0


def encode_status(status: RecoveryStatus) -> bytes:
    """Encode a status as it travels in member metadata and in survey datagrams."""
    flags = 0
    if status.machine_stayed_up is not None:
        flags |= MACHINE_POWER_KNOWN_BIT
        if status.machine_stayed_up:
            flags |= MACHINE_STAYED_UP_BIT
    version_and_phase = STATUS_VERSION << VERSION_SHIFT | status.phase
    return STATUS_LAYOUT.pack(version_and_phase, flags, status.outage_at & MAX_UINT32)


def decode_status(data: bytes | None) -> RecoveryStatus | None:
    """Decode a status; None where there is none, or one of a version that can't be read."""
    if data is None or len(data) < STATUS_LAYOUT.size:
        return None
    version_and_phase, flags, outage_at = STATUS_LAYOUT.unpack_from(data)
    phase = version_and_phase & PHASE_MASK
    if version_and_phase >> VERSION_SHIFT != STATUS_VERSION or phase > RecoveryPhase.STEADY:
        return None
    stayed_up = bool(flags & MACHINE_STAYED_UP_BIT) if flags & MACHINE_POWER_KNOWN_BIT else None
    return RecoveryStatus(RecoveryPhase(phase), stayed_up, outage_at)


@dataclass(frozen=True, slots=True)
class Peer:
    """Another proxy, as the membership view has it.

    Attributes:
        name, zone: of the proxy.
        is_alive: alive or suspect, and not leaving.
        status: by its own answer to this process, for the view's metadata of a member that was just lost is
            from before; None: it has not answered yet.
    """

    name: str
    zone: str
    is_alive: bool
    status: RecoveryStatus | None

    @property
    def is_survivor(self) -> bool:
        """Whether it was up all the while, or has recovered before."""
        return self.is_alive and self.status is not None and self.status.phase is RecoveryPhase.STEADY

    @property
    def is_recovering(self) -> bool:
        """Whether it has answered and is not steady."""
        return self.is_alive and self.status is not None and self.status.phase is not RecoveryPhase.STEADY

    @property
    def is_silent(self) -> bool:
        """Whether it is alive and has not answered."""
        return self.is_alive and self.status is None


@dataclass(frozen=True, slots=True)
class OutageFinding:
    """What happened.

    Attributes:
        scope: of the outage.
        affected_zones: whose endpoints are warming up; None: all that there are.
        reason: for the log.
    """

    scope: OutageScope
    affected_zones: frozenset[str] | None
    reason: str


def zones_without_survivors(peers: Iterable[Peer], known_before: Collection[KnownMember]) -> frozenset[str]:
    """Return the zones of which nobody survived, of those with more than one member."""
    members: dict[str, set[str]] = {}
    surviving: set[str] = set()
    for peer in peers:
        members.setdefault(peer.zone, set()).add(peer.name)
        if peer.is_survivor or peer.is_silent:  # a member of an older version never answers
            surviving.add(peer.zone)
    for member in known_before:
        members.setdefault(member.zone, set()).add(member.name)
    return frozenset(zone for zone, names in members.items() if zone not in surviving and len(names) > 1)


def determine_outage(
    zone: str,
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    known_before: Collection[KnownMember],
    expected_proxies: int,
    elapsed: float,
) -> OutageFinding:
    """Determine what happened to this proxy and its fleet.

    Args:
        zone: of this proxy.
        machine_stayed_up: since the process before this one; None: it can't tell.
        peers: all others that the membership view knows.
        known_before: others that a store or the view knew.
        expected_proxies: in all, by the settings or as known before, this one among them.
        elapsed: since this process started, s.
    """
    survivors = [peer for peer in peers if peer.is_survivor]
    if survivors:
        return _outage_with_survivors(zone, machine_stayed_up, peers, survivors[0], known_before, elapsed)
    return _outage_without_survivors(machine_stayed_up, peers, known_before, expected_proxies, elapsed)


def _outage_with_survivors(
    zone: str,
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    survivor: Peer,
    known_before: Collection[KnownMember],
    elapsed: float,
) -> OutageFinding:
    affected = zones_without_survivors(peers, known_before)
    has_local_survivor = any(peer.is_survivor and peer.zone == zone for peer in peers)
    has_local_members = any(peer.zone == zone for peer in peers) or any(
        member.zone == zone for member in known_before
    )
    if machine_stayed_up or has_local_survivor or not has_local_members:
        scope = OutageScope.MACHINE if machine_stayed_up is False else OutageScope.PROCESS
        return OutageFinding(scope, affected - {zone}, f"{survivor.name} was up all the while")
    silent = [peer.name for peer in peers if peer.zone == zone and peer.is_silent]
    if silent and elapsed < MAX_SURVEY_S:
        return OutageFinding(OutageScope.UNKNOWN, None, f"{silent[0]} of its own zone has not answered yet")
    reason = f"{survivor.name} was up all the while, and nobody of {zone or 'its zone'} was"
    return OutageFinding(OutageScope.ZONE, affected | {zone}, reason)


def _outage_without_survivors(
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    known_before: Collection[KnownMember],
    expected_proxies: int,
    elapsed: float,
) -> OutageFinding:
    recovering = [peer for peer in peers if peer.is_recovering]
    returned = len(recovering) + 1
    if recovering and 2 * returned > max(expected_proxies, len(known_before) + 1):
        stayed_up = [peer.status.machine_stayed_up for peer in recovering if peer.status is not None]
        if machine_stayed_up and all(stayed_up):
            return OutageFinding(OutageScope.PROCESS, frozenset(), "all proxies ended, and no machine did")
        reason = f"{returned} are recovering, and nobody was up before"
        return OutageFinding(OutageScope.FLEET, None, reason)
    if elapsed < MAX_SURVEY_S:
        reason = f"{returned} of {expected_proxies} have answered, and nobody was up before"
        return OutageFinding(OutageScope.UNKNOWN, None, reason)
    if machine_stayed_up and not recovering:
        reason = "nobody answers, and this machine kept its power"
        return OutageFinding(OutageScope.PROCESS, frozenset(), reason)
    reason = f"nobody was up before within {MAX_SURVEY_S:.0f} s: the worst is assumed"
    return OutageFinding(OutageScope.FLEET, None, reason)
