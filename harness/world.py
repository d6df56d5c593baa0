"""A described installation on loopback: its sidecars for real, and stand-ins for all else.

Each [[sidecar]] is a process of the program itself beside an application that calls the next tiers through
it; each asker has a registry of its own, so that the ledger knows who was told what; a plain proxy stands
before the first tier. Everything is recorded in one ledger.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

from harness.backend import Backend, Incoming
from harness.callers import Callers, Class
from harness.endpoint_registry import EndpointRegistry, entry
from harness.kit import until
from harness.ledger import Effect, Ledger
from harness.program import ROOT, Program, free_port, proxy
from service_proxy.net.endpoint_list import parse_address
from service_proxy.sidecar.model import Description, Sidecar
from service_proxy.sidecar.toml import description_text
from service_proxy.sidecar.write import platform

MOST_SIDECARS = 16  # processes of one world; what the description has beyond it is left out
PLAIN_NODES = 3  # servers of a tier that has no sidecars
EFFECTS = {"repeatable": "repeatable", "by-key": "by_key", "once": "once"}
EDGE = "edge"


def loopback() -> str:
    return f"127.0.0.1:{free_port()}"


@dataclass(frozen=True, slots=True)
class Habits:
    """What applications do for a call of theirs."""

    calls: int = 1  # to each tier below, one after another
    passes_time: bool = True  # X-Budget says what is left; else the class's whole deadline
    copies_budget: bool = False  # Tier-Budget goes on to the calls that it makes
    extends_ids: bool = False  # the ids of these begin with the request's
    service: float = 0.01  # s that it works before it calls
    services: dict[str, float] = field(default_factory=dict)  # the same for some tiers


class Host:
    """One sidecar with its application."""

    def __init__(self, world: World, sidecar: Sidecar) -> None:
        self.world = world
        self.sidecar = sidecar
        self.name = f"{sidecar.tier}-{sidecar.host}"
        self.application = Backend(
            world.ledger,
            self.name,
            world.group(sidecar.zone),
            world.habits.services.get(sidecar.tier, world.habits.service),
            further=self.further,
        )
        self.outbound: dict[str, Callers] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.file = world.folder / f"{self.name}.toml"
        self.log = world.folder / f"{self.name}.log"
        self.code: int | None = None  # of its last process
        self.listed = entry(self.name, sidecar.inbound, zone=sidecar.zone)

    async def further(self, incoming: Incoming) -> bool:
        """What the application does for a call: so many calls, one after another, to each tier that it calls
        and that serves the class."""
        habits = self.world.habits
        cls = self.world.classes[incoming.cls]
        more = f"Tier-Budget: {incoming.budget.decode()}" if habits.copies_budget and incoming.budget else ""
        of = incoming.call if habits.extends_ids else ""
        for called, callers in self.outbound.items():
            if incoming.cls not in self.world.description.tiers[called].classes:
                continue
            for _ in range(habits.calls):
                left = incoming.due - time.monotonic() if habits.passes_time else cls.budget
                if left <= 0:
                    return False
                own = replace(cls, budget=min(cls.budget, left))
                call = callers.send(own, incoming.key, more, of)
                self.world.parents[call] = incoming.call
                if await callers.over(call) != 200:
                    return False
        return True

    async def start(self) -> None:
        """The application, the registries that its sidecar asks, and the sidecar's own description."""
        self.application.address = self.sidecar.application
        await self.application.start()
        tiers = dict(self.world.description.tiers)
        for called, at in self.sidecar.outbound.items():
            registry = await self.world.start_registry(f"{self.name}.{called}", called)
            tiers[called] = replace(tiers[called], padron=registry, membership=None)
            self.outbound[called] = Callers(self.world.ledger, parse_address(at), f"{self.name}.{called}", 0)
        mine = replace(self.world.description, tiers=tiers)
        if self.sidecar.tier in self.world.older:
            mine = replace(mine, budgets=None)
        self.file.write_text(description_text(mine))
        await self.start_sidecar()

    async def start_sidecar(self) -> None:
        """Returns once it listens and its application was seen to work."""
        sidecar = self.sidecar
        skew = self.world.skews.get(self.name)
        module = ["harness.skew", *skew, "service_proxy.sidecar"] if skew else ["service_proxy.sidecar"]
        command = [sys.executable, "-m", *module, "run", str(self.file)]
        command += ["--host", sidecar.host, "--tier", sidecar.tier]
        environ = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self.log.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environ, stdout=sink, stderr=sink
            )
        process = self.process
        program = Program(self.process, parse_address(sidecar.inbound), self.log)
        await until(lambda: process.returncode is not None or program.up(), f"{self.name} ready")
        if process.returncode is not None:
            raise RuntimeError(f"{self.name} ended with {process.returncode}: {self.log.read_text()[-2000:]}")
        for called, at in sidecar.outbound.items():
            outbound = Program(process, parse_address(at), self.log)
            await until(outbound.up, f"{self.name} towards {called} ready")

    async def stop_sidecar(self) -> None:
        """The first half of a planned restart: the registry lists it as Terminating, then SIGTERM."""
        assert self.process is not None
        self.world.put(self.sidecar.tier, {**self.listed, "status": "Terminating"})
        self.process.terminate()
        self.code = await self.process.wait()

    async def restart_application(self, away: float) -> None:
        """As a process that dies and comes back cold, without a word to anybody."""
        self.application.stop()
        await asyncio.sleep(away)
        await self.application.start(cold=True)

    def close(self) -> None:
        for callers in self.outbound.values():
            callers.close()
        self.application.stop()


class World:
    """Made by `world()`."""

    def __init__(
        self,
        description: Description,
        folder: Path,
        habits: Habits,
        routes: Mapping[str, str],
        skews: Mapping[str, list[str]],
        older: frozenset[str],
    ) -> None:
        self.folder = folder
        self.habits = habits
        self.routes = routes
        self.skews = skews
        self.older = older  # tiers whose sidecars know of no budgets
        self.parents: dict[str, str] = {}  # a call that an application made, and the one that it made it for
        self.ledger = Ledger()
        self.registries: dict[tuple[str, str], EndpointRegistry] = {}  # by asker and tier
        self.classes = {
            name: Class(name, 1.0, cls.deadline, Effect(EFFECTS[cls.effect], cls.window))
            for name, cls in description.classes.items()
        }
        self.groups = {cls.group for cls in description.classes.values() if cls.effect == "by-key"}
        called = {name for tier in description.tiers.values() for name in tier.calls}
        self.entry = next((name for name in description.tiers if name not in called), "")
        self.description = self.on_loopback(description)
        self.hosts = [Host(self, sidecar) for sidecar in self.description.sidecars]
        manned = {host.sidecar.tier for host in self.hosts}
        self.plain = [
            (
                name,
                Backend(
                    self.ledger,
                    f"{name}-{number}",
                    self.group(tier.zones[number % len(tier.zones)]),
                    habits.services.get(name, habits.service),
                ),
            )
            for name, tier in self.description.tiers.items()
            if name not in manned
            for number in range(min(PLAIN_NODES, tier.nodes))
        ]
        self.edge: Program | None = None
        self.callers: Callers | None = None

    def group(self, zone: str) -> str:
        """Whose repeats of a key the ledger takes for one another's."""
        return "all" if self.groups == {"all"} else zone

    def on_loopback(self, description: Description) -> Description:
        """The same, with free ports here, as many sidecars as a machine carries, and no coordination
        service."""
        sidecars = tuple(
            replace(
                sidecar,
                inbound=loopback(),
                application=loopback(),
                registration=None,
                outbound={called: loopback() for called in sidecar.outbound},
            )
            for sidecar in description.sidecars[:MOST_SIDECARS]
        )
        return replace(description, sidecars=sidecars)

    def put(self, tier: str, item: dict[str, object]) -> None:
        for (_, of), registry in self.registries.items():
            if of == tier:
                registry.put(item)

    async def start_registry(self, asker: str, tier: str) -> str:
        registry = self.registries[asker, tier] = EndpointRegistry(self.ledger, proxy=asker)
        tier = self.routes.get(tier, tier)  # a misroute: the list of another tier
        for host in self.hosts:
            if host.sidecar.tier == tier:
                registry.put(host.listed)
        for name, backend in self.plain:
            if name == tier:
                registry.put(entry(backend.name, backend.address, zone=backend.zone))
        return await registry.start()

    def call_directly(self) -> None:
        """Callers go to the sidecars of the first tier, with no proxy before these."""
        assert self.callers is not None
        first = [host.sidecar.inbound for host in self.hosts if host.sidecar.tier == self.entry]
        self.callers.proxies = [parse_address(at) for at in first]

    def edge_settings(self) -> dict[str, object]:
        """Of the proxy before the first tier, as if it were a sidecar that calls it."""
        tier = self.description.tiers[self.entry]
        sidecar = Sidecar(
            "edge", tier.zones[0], "edge", "127.0.0.1:1", "127.0.0.1:1", outbound={self.entry: "127.0.0.1:1"}
        )
        alone = replace(self.description, sidecars=(sidecar,))
        made = platform(alone, sidecar, self.entry)
        # Callers here never try again by themselves: one that waits less than another has not waited before.
        settings = {**made["settings"], "callers": {"marks_retry": True}}
        return {"settings": settings, "forms": made["forms"]}

    async def close(self) -> None:
        """Kills what still runs, by the processes that this world started."""
        for host in self.hosts:
            host.close()
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for _, backend in self.plain:
            backend.stop()
        for registry in self.registries.values():
            registry.stop()


@contextlib.asynccontextmanager
async def world(
    description: Description,
    habits: Habits | None = None,
    routes: Mapping[str, str] | None = None,
    skews: Mapping[str, list[str]] | None = None,
    edge: str = "",
    older: frozenset[str] = frozenset(),
) -> AsyncIterator[World]:
    """All of it, ready. `routes`: a tier whose list of servers is another tier's; `skews`: arguments of
    harness.skew
    for some sidecars; `edge`: the operator's file of the proxy before the first tier."""
    with tempfile.TemporaryDirectory() as text:
        made = World(description, Path(text), habits or Habits(), routes or {}, skews or {}, older)
        try:
            for _, backend in made.plain:
                await backend.start()
            await asyncio.gather(*(host.start() for host in made.hosts))
            registry = await made.start_registry(EDGE, made.entry)
            known = list(made.registries[EDGE, made.entry].entries.values())
            async with proxy(EDGE, registry, known, edge, more=made.edge_settings()) as program:
                mix = [made.classes[name] for name in made.description.tiers[made.entry].classes]
                made.edge = program
                made.callers = Callers(made.ledger, program.address, EDGE, 1, mix)
                yield made
        finally:
            await made.close()
