"""Protocols of the fleet: what parts that need the other proxies are handed, and nothing of how it is done.

Datagrams are lost, duplicated, late and in no order; what must be reliable or agreed is built above, by the
part that needs it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One proxy of the fleet, as one membership view has it."""

    key: bytes
    name: str
    tier: str
    zone: str
    incarnation: tuple[int, ...]  # greater is later; the first two are the same for one process's time
    state: str  # alive, suspect, dead or left
    phase: str  # starting, serving, draining or leaving, as it says itself
    metadata: Mapping[int, bytes]  # by the port of the part that published it


class MembershipView(Protocol):
    """The fleet's members as this one knows them."""

    @property
    def own_key(self) -> bytes:
        """Return the key of this member."""

    @property
    def revision(self) -> int:
        """Return a number that grows with each change."""

    @property
    def is_settled(self) -> bool:
        """Tell whether nothing has changed lately, and all who sent anything lately see the same."""

    @property
    def is_minority(self) -> bool:
        """Tell whether less than half is alive of all that it knew: others may go on without it."""

    def members(self) -> list[FleetMember]:
        """Return all members that are known, this one among them."""

    def watch(self, callback: Callable[[Any], None]) -> None:
        """Call `callback` after each change."""


class DatagramChannel(Protocol):
    """An unreliable datagram channel to the members; each part has a port of its own."""

    def send(self, port: int, data: bytes, to: bytes | None = None) -> bool:
        """Send to one member, or to all; tell whether it fits in a datagram and there is somebody."""

    def receive(self, port: int, callback: Callable[[bytes, bytes], None]) -> None:
        """Call `callback` with the sender's key and the data of each datagram."""


class MetadataPublisher(Protocol):
    """Publishes metadata of this member to all others."""

    def publish(self, port: int, data: bytes) -> None:
        """Publish a few bytes that travel with this member's entry.

        Raises:
            ValueError: there is no room for them.
        """
