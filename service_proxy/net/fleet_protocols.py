"""Protocols of the fleet for subsystems that depend on the other proxies, independent of the implementation.

Datagrams can be lost, duplicated, delayed and reordered. A subsystem that needs reliable delivery or
agreement implements it on top of the datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One proxy of the fleet, as described by one membership view."""

    key: bytes
    name: str
    tier: str
    zone: str
    # Incarnation of the member; a greater value is later. The first two numbers are constant while a process
    # runs.
    incarnation: tuple[int, ...]
    state: str  # One of alive, suspect, dead and left.
    phase: str  # Phase reported by the member itself: starting, serving, draining or leaving.
    metadata: Mapping[int, bytes]  # Metadata by the port of the subsystem that published it.


class MembershipView(Protocol):
    """Members of the fleet that are known to this member."""

    @property
    def own_key(self) -> bytes:
        """Return the key of this member."""

    @property
    def revision(self) -> int:
        """Return the revision number of the view, which grows with each change."""

    @property
    def is_settled(self) -> bool:
        """Return True if nothing changed recently and all recent senders report the same view."""

    @property
    def is_minority(self) -> bool:
        """Return True if less than half of the known members are alive.

        The other members may be running without this member, for example after a network partition.
        """

    def members(self) -> list[FleetMember]:
        """Return all known members, including this one."""

    def watch(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` after each change."""


class DatagramChannel(Protocol):
    """Unreliable datagram channel to the members; each subsystem uses its own port."""

    def send(self, port: int, data: bytes, to: bytes | None = None) -> bool:
        """Send to one member or to all; return False if the data exceeds a datagram or no receiver exists."""

    def receive(self, port: int, callback: Callable[[bytes, bytes], None]) -> None:
        """Call `callback` with the sender's key and the data of each received datagram."""


class MetadataPublisher(Protocol):
    """Publisher of this member's metadata to all other members."""

    def publish(self, port: int, data: bytes) -> None:
        """Publish a few bytes as part of this member's entry.

        Raises:
            ValueError: The data exceeds the free space of the entry.
        """
