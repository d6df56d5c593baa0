"""What a fleet harness is asked to run, and the slot that each of its proxies has."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from harness.fleet.fault_relay import TcpRelay
from harness.proxy_process import ROOT, ProxyProcess

ZONES = "abc"


def zone_of(number: int) -> str:
    """Return the zone of a slot or endpoint: they are spread over all zones in turn."""
    return ZONES[number % len(ZONES)]


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """What to run.

    Attributes:
        rate: requests a second at each proxy; 0: none.
        period, suspicion, fleet, counts: as in the operator's file.
        keys: datagrams are authenticated with a key.
        fleet_enabled: the operator's file has a [fleet].
        start_all: all proxies start at once; else a script starts them.
        recovery: the file has a [recovery], with a store for each proxy, as if each had a machine of its own.
        warm_up_s: for which an endpoint is warming up.
        next_version_members: that speak as the next version of the program would.
        foreign_members: of another fleet, which have these addresses by mistake.
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
    """One proxy's place: its name, its process, and those before it.

    Attributes:
        suspended: its process is stopped (SIGSTOP).
        starts: number of processes that were started in it.
        log_position: bytes of its log that were read.
        downtimes: from, until: when it could not answer its requests.
        relays: of its connections to endpoints and to its registry.
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
        """Whether it has a process that has not ended."""
        return self.process is not None and self.process.returncode is None
