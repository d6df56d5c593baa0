"""A described deployment on loopback: its sidecars for real, and stand-ins for all else.

Each [[sidecar]] is a process of the program itself beside an application that sends requests to the next
tiers through it; each proxy has a discovery stand-in of its own, so that the recorder knows which proxy was
notified of what; a plain proxy is before the first tier. Everything is recorded in one recorder.
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

from harness.clients import ClientClass, ClientPool
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.proxy_process import ROOT, ProxyProcess, free_port, running_proxy
from harness.recorder import Idempotency, Recorder
from harness.stub_endpoint import IncomingRequest, StubEndpoint
from service_proxy.net.endpoint_list import parse_address
from service_proxy.sidecar.model import Description, Sidecar
from service_proxy.sidecar.toml import description_text
from service_proxy.sidecar.write import platform_config

MAX_SIDECARS = 16  # processes; what the description has beyond it is left out
PLAIN_ENDPOINTS_PER_TIER = 3  # of a tier that has no sidecars
IDEMPOTENCY_KINDS = {"repeatable": "repeatable", "by-key": "by_key", "once": "once"}
EDGE_PROXY_NAME = "edge"


def free_loopback_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


@dataclass(frozen=True, slots=True)
class ApplicationProfile:
    """What applications do for a request."""

    requests_per_tier: int = 1  # to each next tier, one after another
    propagates_deadline: bool = True  # X-Budget is the time left; otherwise the class's deadline
    copies_budget_header: bool = False  # Tier-Budget goes on to the requests that it makes
    extends_ids: bool = False  # the ids of its requests begin with that of the incoming one
    service_time: float = 0.01  # s before it sends requests to the next tiers
    service_time_by_tier: dict[str, float] = field(default_factory=dict)  # the same for some tiers


@dataclass(frozen=True, slots=True)
class DeploymentOptions:
    """How a deployment differs from its description."""

    profile: ApplicationProfile = field(default_factory=ApplicationProfile)
    routes: Mapping[str, str] = field(default_factory=dict)  # a tier: another whose endpoint list it gets
    skews: Mapping[str, list[str]] = field(default_factory=dict)  # a sidecar: arguments of harness.clock_skew
    edge_operator: str = ""  # the operator's file of the proxy before the first tier
    tiers_without_budgets: frozenset[str] = frozenset()  # whose sidecars know of no deadline propagation


class SidecarHost:
    """One sidecar with its application."""

    def __init__(self, deployment: Deployment, sidecar: Sidecar) -> None:
        self.deployment = deployment
        self.sidecar = sidecar
        self.name = f"{sidecar.tier}-{sidecar.host}"
        self.application = StubEndpoint(
            deployment.recorder,
            self.name,
            deployment.key_group(sidecar.zone),
            deployment.service_time(sidecar.tier),
            handler=self.handle_request,
        )
        self.outbound: dict[str, ClientPool] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.file = deployment.folder / f"{self.name}.toml"
        self.log_file = deployment.folder / f"{self.name}.log"
        self.exit_code: int | None = None  # of its last process
        self.list_entry = entry(self.name, sidecar.inbound, zone=sidecar.zone)

    async def handle_request(self, incoming: IncomingRequest) -> bool:
        """Do the application's work: requests, one after another, to each next tier that serves the class.

        Returns whether all of them were served.
        """
        profile = self.deployment.options.profile
        cls = self.deployment.classes[incoming.class_name]
        budget_header = (
            f"Tier-Budget: {incoming.budget.decode()}"
            if profile.copies_budget_header and incoming.budget
            else ""
        )
        parent_id = incoming.request_id if profile.extends_ids else ""
        for called, clients in self.outbound.items():
            if incoming.class_name not in self.deployment.description.tiers[called].classes:
                continue
            for _ in range(profile.requests_per_tier):
                time_left = (
                    incoming.deadline - time.monotonic() if profile.propagates_deadline else cls.budget
                )
                if time_left <= 0:
                    return False
                request_class = replace(cls, budget=min(cls.budget, time_left))
                request_id = clients.send(request_class, incoming.key, budget_header, parent_id)
                self.deployment.parent_requests[request_id] = incoming.request_id
                if await clients.wait_for(request_id) != 200:
                    return False
        return True

    async def start(self) -> None:
        """Start the application, the discovery stand-ins of its sidecar, and the sidecar."""
        self.application.address = self.sidecar.application
        await self.application.start()
        tiers = dict(self.deployment.description.tiers)
        for called, address in self.sidecar.outbound.items():
            registry = await self.deployment.start_registry(f"{self.name}.{called}", called)
            tiers[called] = replace(tiers[called], padron=registry, membership=None)
            self.outbound[called] = ClientPool(
                self.deployment.recorder, parse_address(address), f"{self.name}.{called}", 0
            )
        description = replace(self.deployment.description, tiers=tiers)
        if self.sidecar.tier in self.deployment.options.tiers_without_budgets:
            description = replace(description, budgets=None)
        self.file.write_text(description_text(description))
        await self.start_sidecar()

    async def start_sidecar(self) -> None:
        """Start the sidecar; return once it listens and has seen its application work."""
        sidecar = self.sidecar
        skew = self.deployment.options.skews.get(self.name)
        module = ["harness.clock_skew", *skew, "service_proxy.sidecar"] if skew else ["service_proxy.sidecar"]
        command = [sys.executable, "-m", *module, "run", str(self.file)]
        command += ["--host", sidecar.host, "--tier", sidecar.tier]
        environ = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self.log_file.open("ab") as sink:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environ, stdout=sink, stderr=sink
            )
        inbound = ProxyProcess(self.process, parse_address(sidecar.inbound), self.log_file)
        await inbound.wait_until_ready(self.name)
        for called, address in sidecar.outbound.items():
            outbound = ProxyProcess(self.process, parse_address(address), self.log_file)
            await until(outbound.is_ready, f"{self.name} towards {called} ready")

    async def stop_sidecar(self) -> None:
        """Stop the sidecar as a planned restart does: discovery lists it as Terminating, then SIGTERM."""
        assert self.process is not None
        self.deployment.update_lists(self.sidecar.tier, {**self.list_entry, "status": "Terminating"})
        self.process.terminate()
        self.exit_code = await self.process.wait()

    async def restart_application(self, downtime: float) -> None:
        """End the application as a process that dies, and start it, warming up, after the downtime (s)."""
        self.application.stop()
        await asyncio.sleep(downtime)
        await self.application.start(warming_up=True)

    def close(self) -> None:
        """Close the application and its connections."""
        for clients in self.outbound.values():
            clients.close()
        self.application.stop()


class Deployment:
    """All processes and stand-ins of a description; made by `running_deployment`."""

    def __init__(self, description: Description, folder: Path, options: DeploymentOptions) -> None:
        self.folder = folder
        self.options = options
        # By request of an application, the request that it was made for.
        self.parent_requests: dict[str, str] = {}
        self.recorder = Recorder()
        self.registries: dict[tuple[str, str], EndpointRegistry] = {}  # by proxy and tier
        self.classes = {
            name: ClientClass(name, 1.0, cls.deadline, Idempotency(IDEMPOTENCY_KINDS[cls.effect], cls.window))
            for name, cls in description.classes.items()
        }
        self.groups = {cls.group for cls in description.classes.values() if cls.effect == "by-key"}
        called_tiers = {name for tier in description.tiers.values() for name in tier.calls}
        self.entry_tier = next((name for name in description.tiers if name not in called_tiers), "")
        self.description = self.on_loopback(description)
        self.hosts = [SidecarHost(self, sidecar) for sidecar in self.description.sidecars]
        self.plain_endpoints = self._plain_endpoints()
        self.edge_proxy: ProxyProcess | None = None
        self.clients: ClientPool | None = None

    def _plain_endpoints(self) -> list[tuple[str, StubEndpoint]]:
        """Return the endpoints of the tiers that have no sidecars, each with its tier."""
        tiers_with_sidecars = {host.sidecar.tier for host in self.hosts}
        endpoints = []
        for name, tier in self.description.tiers.items():
            if name in tiers_with_sidecars:
                continue
            for number in range(min(PLAIN_ENDPOINTS_PER_TIER, tier.nodes)):
                group = self.key_group(tier.zones[number % len(tier.zones)])
                endpoint = StubEndpoint(self.recorder, f"{name}-{number}", group, self.service_time(name))
                endpoints.append((name, endpoint))
        return endpoints

    def service_time(self, tier: str) -> float:
        """Return how long an application of the tier works before it sends requests to the next tiers, s."""
        profile = self.options.profile
        return profile.service_time_by_tier.get(tier, profile.service_time)

    def key_group(self, zone: str) -> str:
        """Name the group of endpoints that drop one another's repetitions of a key."""
        return "all" if self.groups == {"all"} else zone

    def on_loopback(self, description: Description) -> Description:
        """Return the same with free ports here, at most MAX_SIDECARS, and no coordination service."""
        sidecars = tuple(
            replace(
                sidecar,
                inbound=free_loopback_address(),
                application=free_loopback_address(),
                registration=None,
                outbound={called: free_loopback_address() for called in sidecar.outbound},
            )
            for sidecar in description.sidecars[:MAX_SIDECARS]
        )
        return replace(description, sidecars=sidecars)

    def update_lists(self, tier: str, item: dict[str, object]) -> None:
        """Change one entry in all lists of a tier."""
        for (_, of), registry in self.registries.items():
            if of == tier:
                registry.put(item)

    async def start_registry(self, proxy: str, tier: str) -> str:
        """Start the discovery stand-in of a proxy towards a tier; return its address."""
        registry = self.registries[proxy, tier] = EndpointRegistry(self.recorder, proxy=proxy)
        tier = self.options.routes.get(tier, tier)  # a misroute: the list of another tier
        for host in self.hosts:
            if host.sidecar.tier == tier:
                registry.put(host.list_entry)
        for name, endpoint in self.plain_endpoints:
            if name == tier:
                registry.put(entry(endpoint.name, endpoint.address, zone=endpoint.zone))
        return await registry.start()

    def bypass_edge_proxy(self) -> None:
        """Have clients go to the sidecars of the first tier, with no proxy before these."""
        assert self.clients is not None
        inbound_addresses = [
            host.sidecar.inbound for host in self.hosts if host.sidecar.tier == self.entry_tier
        ]
        self.clients.proxies = [parse_address(address) for address in inbound_addresses]

    def edge_settings(self) -> dict[str, object]:
        """Return the settings of the proxy before the first tier, as if it were a sidecar that calls it."""
        tier = self.description.tiers[self.entry_tier]
        sidecar = Sidecar(
            "edge",
            tier.zones[0],
            "edge",
            "127.0.0.1:1",
            "127.0.0.1:1",
            outbound={self.entry_tier: "127.0.0.1:1"},
        )
        description = replace(self.description, sidecars=(sidecar,))
        configuration = platform_config(description, sidecar, self.entry_tier)
        # Clients here never retry by themselves: one that waits less than another has not waited before.
        settings = {**configuration["settings"], "callers": {"marks_retry": True}}
        return {"settings": settings, "forms": configuration["forms"]}

    async def close(self) -> None:
        """End what still runs, by the processes that were started here."""
        for host in self.hosts:
            host.close()
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for _, endpoint in self.plain_endpoints:
            endpoint.stop()
        for registry in self.registries.values():
            registry.stop()


@contextlib.asynccontextmanager
async def running_deployment(
    description: Description, options: DeploymentOptions | None = None
) -> AsyncIterator[Deployment]:
    """Start a deployment and yield it when it is ready."""
    options = options or DeploymentOptions()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(description, Path(folder), options)
        try:
            for _, endpoint in deployment.plain_endpoints:
                await endpoint.start()
            await asyncio.gather(*(host.start() for host in deployment.hosts))
            entry_tier = deployment.entry_tier
            registry = await deployment.start_registry(EDGE_PROXY_NAME, entry_tier)
            known = list(deployment.registries[EDGE_PROXY_NAME, entry_tier].entries.values())
            async with running_proxy(
                EDGE_PROXY_NAME, registry, known, options.edge_operator, overrides=deployment.edge_settings()
            ) as edge_proxy:
                classes = [
                    deployment.classes[name] for name in deployment.description.tiers[entry_tier].classes
                ]
                deployment.edge_proxy = edge_proxy
                deployment.clients = ClientPool(
                    deployment.recorder, edge_proxy.address, EDGE_PROXY_NAME, 1, classes
                )
                yield deployment
        finally:
            await deployment.close()
