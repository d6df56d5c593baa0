"""The seam to the other proxies: what parts that need them are handed, and nothing of how it is done.

Datagrams are lost, doubled, late and in no order; what must be reliable or agreed is built above, by the part
that needs it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One of the fleet, as one view has it."""

    key: bytes
    name: str
    tier: str
    zone: str
    incarnation: tuple[int, ...]  # greater is later; the first two are the same for one process's time
    state: str  # alive, suspect, dead or left
    phase: str  # starting, serving, draining or leaving, by its own word
    metadata: Mapping[int, bytes]  # by the port of the part that said it


class MembershipView(Protocol):
    @property
    def own_key(self) -> bytes:
        """The key of this member."""

    @property
    def revision(self) -> int:
        """Grows with each change."""

    @property
    def is_settled(self) -> bool:
        """Nothing has changed lately, and all who were heard lately see the same."""

    @property
    def is_minority(self) -> bool:
        """Less than half lives of all that it knew: others may go on without it."""

    def members(self) -> list[FleetMember]: ...

    def watch(self, callback: Callable[[Any], None]) -> None:
        """Called after each change."""


class DatagramChannel(Protocol):
    def send(self, port: int, data: bytes, to: bytes | None = None) -> bool:
        """To one member, or to all; whether it fits in a datagram and there is somebody."""

    def receive(self, port: int, callback: Callable[[bytes, bytes], None]) -> None:
        """`callback` gets the sender's key and the data."""


class MetadataPublisher(Protocol):
    def publish(self, port: int, data: bytes) -> None:
        """A few bytes that travel with this member's entry. Raises ValueError where there is no room."""
