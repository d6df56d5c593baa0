"""Determination of the outage from the recovery status of the other proxies. Pure.

A member in phase STEADY was up throughout the outage, or recovered before this proxy started. In both cases
the fleet as a whole is up, and the member's answer overrides any snapshot. If no member is steady, the
outage follows from the number of former members that have restarted and are recovering. A zone is affected
if none of its members is steady and it had more than one member before. Endpoints are affected with their
zone.

    | answers                                              | outage                                  |
    | survivors, one of this zone among them               | PROCESS, MACHINE where the boot differs |
    | survivors; a live member of this zone didn't answer  | UNKNOWN                                 |
    | survivors, but none of this zone's known members     | ZONE                                    |
    | survivors; no other member of this zone is known     | PROCESS, MACHINE where the boot differs |
    | no survivors, more than half of all recovering       | FLEET                                   |
    | the same, and all their machines kept power          | PROCESS                                 |
    | no survivors, half or fewer                          | UNKNOWN, after MAX_SURVEY_S FLEET       |

While the outage is UNKNOWN, the phase admits as many requests as endpoints that are warming up can take.
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from service_proxy.recovery.phases import MAX_SURVEY_S, RecoveryPhase
from service_proxy.recovery.validity_rules import OutageScope

# Version and phase (four bits each), flags, and wall time of the last outage (s; 0: no outage is known).
STATUS_LAYOUT = struct.Struct("!BBI")
STATUS_VERSION = 1
VERSION_SHIFT = 4
PHASE_MASK = 0x0F
MAX_UINT32 = 0xFFFFFFFF
MACHINE_STAYED_UP_BIT = 0x01  # Set if the machine has stayed up since the previous process.
MACHINE_POWER_KNOWN_BIT = 0x02  # Set if the member knows whether its machine stayed up.


class KnownMember(NamedTuple):
    """A former member, known from a store or the membership view."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class RecoveryStatus:
    """Recovery status that a member sends.

    Attributes:
        phase: phase of the member's recovery.
        machine_stayed_up: whether its machine has stayed up since its previous process; None: unknown.
        outage_at: wall time at which it determined that the fleet had lost power, s; 0: not determined.
    """

    phase: RecoveryPhase
    machine_stayed_up: bool | None = None
    outage_at: int = 0


def encode_status(status: RecoveryStatus) -> bytes:
    """Encode a status for member metadata and survey datagrams."""
    flags = 0
    if status.machine_stayed_up is not None:
        flags |= MACHINE_POWER_KNOWN_BIT
        if status.machine_stayed_up:
            flags |= MACHINE_STAYED_UP_BIT
    version_and_phase = STATUS_VERSION << VERSION_SHIFT | status.phase
    return STATUS_LAYOUT.pack(version_and_phase, flags, status.outage_at & MAX_UINT32)


def decode_status(data: bytes | None) -> RecoveryStatus | None:
    """Decode a status; return None if there is no status or its version can't be read."""
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
    """Another proxy according to the membership view.

    Attributes:
        name, zone: name and zone of the proxy.
        is_alive: the proxy is alive or suspect, and not leaving.
        status: status that the proxy sent to this process; None: it has not answered yet. The view's metadata
            is not used, because for a member that was just lost the metadata is older than the outage.
    """

    name: str
    zone: str
    is_alive: bool
    status: RecoveryStatus | None

    @property
    def is_survivor(self) -> bool:
        """Whether the proxy was up throughout the outage, or had recovered before this process started."""
        return self.is_alive and self.status is not None and self.status.phase is RecoveryPhase.STEADY

    @property
    def is_recovering(self) -> bool:
        """Whether the proxy has answered and is not steady."""
        return self.is_alive and self.status is not None and self.status.phase is not RecoveryPhase.STEADY

    @property
    def is_unanswered(self) -> bool:
        """Whether the proxy is alive and has not answered."""
        return self.is_alive and self.status is None


@dataclass(frozen=True, slots=True)
class OutageFinding:
    """Outage that was determined.

    Attributes:
        scope: scope of the outage.
        affected_zones: zones whose endpoints are warming up; None: all zones.
        reason: text for the log.
    """

    scope: OutageScope
    affected_zones: frozenset[str] | None
    reason: str


def zones_without_survivors(peers: Iterable[Peer], former_members: Collection[KnownMember]) -> frozenset[str]:
    """Return the zones that had more than one member and have no survivor."""
    members: dict[str, set[str]] = {}
    surviving: set[str] = set()
    for peer in peers:
        members.setdefault(peer.zone, set()).add(peer.name)
        # A member of an older version never answers, so a missing answer doesn't show an outage.
        if peer.is_survivor or peer.is_unanswered:
            surviving.add(peer.zone)
    for member in former_members:
        members.setdefault(member.zone, set()).add(member.name)
    return frozenset(zone for zone, names in members.items() if zone not in surviving and len(names) > 1)


def determine_outage(
    zone: str,
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    former_members: Collection[KnownMember],
    expected_proxies: int,
    elapsed: float,
) -> OutageFinding:
    """Determine the outage of this proxy and its fleet.

    Args:
        zone: zone of this proxy.
        machine_stayed_up: whether the machine has stayed up since the previous process; None: unknown.
        peers: all other proxies in the membership view.
        former_members: other proxies that a store or the view had before the outage.
        expected_proxies: number of proxies, with this one, according to the settings or the former members.
        elapsed: time since this process started, s.
    """
    survivors = [peer for peer in peers if peer.is_survivor]
    if survivors:
        return _outage_with_survivors(zone, machine_stayed_up, peers, survivors[0], former_members, elapsed)
    return _outage_without_survivors(machine_stayed_up, peers, former_members, expected_proxies, elapsed)


def _outage_with_survivors(
    zone: str,
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    survivor: Peer,
    former_members: Collection[KnownMember],
    elapsed: float,
) -> OutageFinding:
    affected = zones_without_survivors(peers, former_members)
    has_local_survivor = any(peer.is_survivor and peer.zone == zone for peer in peers)
    has_local_members = any(peer.zone == zone for peer in peers) or any(
        member.zone == zone for member in former_members
    )
    if machine_stayed_up or has_local_survivor or not has_local_members:
        scope = OutageScope.MACHINE if machine_stayed_up is False else OutageScope.PROCESS
        return OutageFinding(scope, affected - {zone}, f"{survivor.name} was up throughout the outage")
    unanswered = [peer.name for peer in peers if peer.zone == zone and peer.is_unanswered]
    if unanswered and elapsed < MAX_SURVEY_S:
        return OutageFinding(OutageScope.UNKNOWN, None, f"{unanswered[0]} of this zone has not answered yet")
    reason = f"{survivor.name} was up throughout the outage, but no member of {zone or 'this zone'} was"
    return OutageFinding(OutageScope.ZONE, affected | {zone}, reason)


def _outage_without_survivors(
    machine_stayed_up: bool | None,
    peers: Collection[Peer],
    former_members: Collection[KnownMember],
    expected_proxies: int,
    elapsed: float,
) -> OutageFinding:
    recovering = [peer for peer in peers if peer.is_recovering]
    recovering_count = len(recovering) + 1
    if recovering and 2 * recovering_count > max(expected_proxies, len(former_members) + 1):
        stayed_up = [peer.status.machine_stayed_up for peer in recovering if peer.status is not None]
        if machine_stayed_up and all(stayed_up):
            return OutageFinding(
                OutageScope.PROCESS, frozenset(), "all proxies ended, and all machines kept power"
            )
        reason = f"{recovering_count} proxies are recovering, and none was up before"
        return OutageFinding(OutageScope.FLEET, None, reason)
    if elapsed < MAX_SURVEY_S:
        reason = f"{recovering_count} of {expected_proxies} proxies are recovering, and none was up before"
        return OutageFinding(OutageScope.UNKNOWN, None, reason)
    if machine_stayed_up and not recovering:
        reason = "no other proxy answers, and this machine kept its power"
        return OutageFinding(OutageScope.PROCESS, frozenset(), reason)
    reason = f"no survivor answered within {MAX_SURVEY_S:.0f} s, so the widest outage is assumed"
    return OutageFinding(OutageScope.FLEET, None, reason)
