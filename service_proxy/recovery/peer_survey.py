"""What happened, by who else is there and what they say of themselves. Pure.

A member that says it is STEADY has been up all the while, or recovered before this one came: either way the
fleet as a whole is up, and its word beats any snapshot's. Where nobody is, it is told from how many of those
who were there are back and all at their beginning. A zone counts as lost where nobody of it is steady and
more than one of its members was there before; servers follow their zone.

    | heard                                             | it is             | admits meanwhile |
    | survivors, one of this zone among them            | PROCESS (MACHINE) |                  |
    | survivors; who lives of this zone has not answered | UNKNOWN           | cold             |
    | survivors, of this zone none, but others of it    | ZONE              |                  |
    | survivors; nobody else is known of this zone      | PROCESS, MACHINE where the boot differs |
    | no survivors, more than half of all beginning     | FLEET             |                  |
    | the same, all of whose machines kept their power  | PROCESS           |                  |
    | no survivors, half or fewer                       | UNKNOWN, after PATIENCE FLEET | cold |
    | a steady member's own fleet                       | no loss of its own; lost zones alone |
"""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from service_proxy.recovery.phases import PATIENCE, Phase
from service_proxy.recovery.validity_rules import Loss

WORD = struct.Struct("!BBI")  # version and phase; bits; wall time of the last loss, s, 0: none that it knows
WORD_VERSION = 1
# bits: its machine kept its power since the process before; whether it can tell
KEPT = 0x01
KNOWN = 0x02


@dataclass(frozen=True, slots=True)
class Said:
    """What a member says of its recovery."""

    phase: Phase
    kept: bool | None = None  # whether its machine kept its power; None: it can't tell
    lost_at: int = 0


def pack(said: Said) -> bytes:
    bits = 0 if said.kept is None else KNOWN | (KEPT if said.kept else 0)
    return WORD.pack(WORD_VERSION << 4 | said.phase, bits, said.lost_at & 0xFFFFFFFF)


def unpack(word: bytes | None) -> Said | None:
    """None where nothing was said, or by a version whose words this one can't read."""
    if word is None or len(word) < WORD.size:
        return None
    first, bits, lost_at = WORD.unpack_from(word)
    if first >> 4 != WORD_VERSION or first & 0x0F > Phase.STEADY:
        return None
    return Said(Phase(first & 0x0F), bool(bits & KEPT) if bits & KNOWN else None, lost_at)


@dataclass(frozen=True, slots=True)
class Peer:
    """Another proxy, as the view has it. `said`: by its own answer to this process, for what the view still
    tells of a member that was just lost is its word from before; None: it has not answered yet."""

    name: str
    zone: str
    lives: bool
    said: Said | None

    @property
    def survivor(self) -> bool:
        return self.lives and self.said is not None and self.said.phase is Phase.STEADY

    @property
    def beginning(self) -> bool:
        return self.lives and self.said is not None and self.said.phase is not Phase.STEADY


@dataclass(frozen=True, slots=True)
class Finding:
    """`lost`: zones whose servers are cold; None: all that there are."""

    loss: Loss
    lost: frozenset[str] | None
    why: str


def lost_zones(peers: Iterable[Peer], before: Collection[tuple[str, str]]) -> frozenset[str]:
    """Zones of which nobody survived, of those with more than one member. `before`: names and zones of who
    was there, by a store or a view."""
    members: dict[str, set[str]] = {}
    steady: set[str] = set()
    for peer in peers:
        members.setdefault(peer.zone, set()).add(peer.name)
        if peer.survivor or (peer.lives and peer.said is None):  # an older version says nothing of it
            steady.add(peer.zone)
    for name, zone in before:
        members.setdefault(zone, set()).add(name)
    return frozenset(zone for zone, names in members.items() if zone not in steady and len(names) > 1)


def what_happened(
    zone: str,
    kept: bool | None,
    peers: Collection[Peer],
    before: Collection[tuple[str, str]],
    expected: int,
    waited: float,
) -> Finding:
    """`zone`, `kept`: of this process; `before`: others that a store or the view knew; `expected`: proxies in
    all, by the settings or as known before, itself among them; `waited`: s since this process began."""
    alone = Loss.MACHINE if kept is False else Loss.PROCESS
    survivors = [peer for peer in peers if peer.survivor]
    if survivors:
        lost = lost_zones(peers, before)
        mates = any(peer.zone == zone for peer in survivors)
        others = {peer.name for peer in peers if peer.zone == zone} | {
            name for name, its in before if its == zone
        }
        if kept or mates or not others:
            return Finding(alone, lost - {zone}, f"{survivors[0].name} was up all the while")
        silent = [peer.name for peer in peers if peer.zone == zone and peer.lives and peer.said is None]
        if silent and waited < PATIENCE:
            return Finding(Loss.UNKNOWN, None, f"{silent[0]} of its own zone has not answered yet")
        why = f"{survivors[0].name} was up all the while, and of {zone or 'its zone'} nobody"
        return Finding(Loss.ZONE, lost | {zone}, why)
    beginning = [peer for peer in peers if peer.beginning]
    back = len(beginning) + 1
    if 2 * back > max(expected, len(before) + 1) and beginning:
        marks = [kept, *(peer.said.kept for peer in beginning if peer.said is not None)]
        if all(marks):
            return Finding(Loss.PROCESS, frozenset(), "all proxies ended, and no machine did")
        return Finding(Loss.FLEET, None, f"{back} are at their beginning, and nobody was up before")
    if waited < PATIENCE:
        return Finding(Loss.UNKNOWN, None, f"{back} of {expected} are heard, and nobody was up before")
    if kept and not beginning:
        return Finding(Loss.PROCESS, frozenset(), "nobody answers, and this machine kept its power")
    return Finding(Loss.FLEET, None, f"nobody was up before within {PATIENCE:.0f} s: held for the worst")
