"""Options of a fleet harness, and the slot of each of its proxies."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from harness.fleet.fault_relay import TcpRelay
from harness.proxy_process import ROOT, ProxyProcess

ZONES = "abc"


def zone_of(number: int) -> str:
    """Return the zone of a slot or endpoint; the numbers are spread over all zones in turn."""
    return ZONES[number % len(ZONES)]


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a fleet harness.

    Attributes:
        rate: requests per second at each proxy; 0: none.
        period, suspicion, fleet, counts: values of the operator file.
        keys: whether datagrams are authenticated with a key.
        fleet_enabled: whether the operator file has a [fleet].
        start_all: whether all proxies start at once; otherwise a script starts them.
        recovery: whether the operator file has a [recovery], with a store, a machine mark and a boot mark for
            each proxy, as if each had a machine of its own.
        warm_up_s: duration of an endpoint's warm-up.
        next_version_members: members that send datagrams like the next version of the protocol.
        foreign_members: members of another fleet that use this fleet's addresses by mistake.
    """

    members: int = 12
    endpoints: int = 4
    rate: float = 2.0
    period: float = 0.5
    suspicion: float = 3.0
    seed: int = 1
    fleet: str = "portal"
    keys: bool = False
    counts: bool = True
    fleet_enabled: bool = True
    start_all: bool = True
    recovery: bool = False
    warm_up_s: float = 24.0
    root: Path = ROOT
    next_version_members: frozenset[int] = frozenset()
    foreign_members: frozenset[int] = frozenset()


@dataclass(slots=True)
class Slot:
    """One proxy's slot: its name, its current process, and records of its former processes.

    Attributes:
        suspended: whether its process is stopped (SIGSTOP).
        starts: number of processes started in the slot.
        log_position: number of bytes read from its log.
        downtimes: start and end of each time in which it could not answer its requests.
        relays: relays of its connections to the endpoints and to its registry.
    """

    number: int
    name: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    program: ProxyProcess | None = None
    suspended: bool = False
    starts: int = 0
    log_position: int = 0
    downtimes: list[list[float]] = field(default_factory=list)
    relays: list[TcpRelay] = field(default_factory=list)

    @property
    def alive(self) -> bool:
        """Whether the slot has a process that has not ended."""
        return self.process is not None and self.process.returncode is None
