"""A described deployment on loopback: real sidecar processes, and stand-ins for everything else.

Each [[sidecar]] of the description is a process of the proxy, beside an application that sends requests to
the next tiers through the sidecar. Each proxy has its own discovery stand-in, so that the recorder can
attribute each notification to the proxy that received it. A plain proxy is in front of the first tier. One
recorder records the requests, attempts and notifications of the whole deployment.
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

MAX_SIDECARS = 16  # maximum number of sidecar processes; further sidecars of the description are left out
PLAIN_ENDPOINTS_PER_TIER = 3  # number of endpoints in a tier without sidecars
IDEMPOTENCY_KINDS = {"repeatable": "repeatable", "by-key": "by_key", "once": "once"}
EDGE_PROXY_NAME = "edge"


def free_loopback_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


@dataclass(frozen=True, slots=True)
class ApplicationProfile:
    """Behavior of the applications for each request."""

    requests_per_tier: int = 1  # requests to each next tier, one after another
    propagates_deadline: bool = True  # X-Budget is the remaining time; if False, it is the class's deadline
    # the Tier-Budget header of an incoming request is copied to the requests that it causes
    copies_budget_header: bool = False
    # the id of a request that an incoming request causes begins with the incoming request's id
    extends_ids: bool = False
    service_time: float = 0.01  # s of work before the application sends requests to the next tiers
    # s, in place of service_time, by tier
    service_time_by_tier: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DeploymentOptions:
    """Differences between a running deployment and its description."""

    profile: ApplicationProfile = field(default_factory=ApplicationProfile)
    # by tier: another tier, whose endpoint list is delivered instead
    routes: Mapping[str, str] = field(default_factory=dict)
    # by sidecar: the arguments of harness.clock_skew
    skews: Mapping[str, list[str]] = field(default_factory=dict)
    edge_operator: str = ""  # operator file of the proxy before the first tier
    # tiers whose sidecars run without deadline propagation
    tiers_without_budgets: frozenset[str] = frozenset()


class SidecarHost:
    """One sidecar process with its application."""

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
        self.exit_code: int | None = None  # exit code of the last process
        self.list_entry = entry(self.name, sidecar.inbound, zone=sidecar.zone)

    async def handle_request(self, incoming: IncomingRequest) -> bool:
        """Send requests, one after another, to each next tier that serves the class of an incoming request.

        Returns whether all requests were served.
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
        """Start the application, the discovery stand-ins of the sidecar, and the sidecar."""
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
        """Start the sidecar; return after it listens and its application has passed a health check."""
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
        """Stop the sidecar like a planned restart: list it as Terminating in discovery, then send SIGTERM."""
        assert self.process is not None
        self.deployment.update_lists(self.sidecar.tier, {**self.list_entry, "status": "Terminating"})
        self.process.terminate()
        self.exit_code = await self.process.wait()

    async def restart_application(self, downtime: float) -> None:
        """Stop the application like a crash, and start it again, warming up, after `downtime` seconds."""
        self.application.stop()
        await asyncio.sleep(downtime)
        await self.application.start(warming_up=True)

    def close(self) -> None:
        """Close the application and its connections."""
        for clients in self.outbound.values():
            clients.close()
        self.application.stop()


class Deployment:
    """All processes and stand-ins of a description; `running_deployment` creates it."""

    def __init__(self, description: Description, folder: Path, options: DeploymentOptions) -> None:
        self.folder = folder
        self.options = options
        # Maps the id of each application's request to the id of the incoming request that caused it.
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
        """Return the endpoints of the tiers without sidecars, as pairs of tier and endpoint."""
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
        """Return how many seconds a tier's application works before it sends requests to the next tiers."""
        profile = self.options.profile
        return profile.service_time_by_tier.get(tier, profile.service_time)

    def key_group(self, zone: str) -> str:
        """Return the name of the endpoint group within which repeated idempotency keys are recognized."""
        return "all" if self.groups == {"all"} else zone

    def on_loopback(self, description: Description) -> Description:
        """Return the description, cut to MAX_SIDECARS, on free ports, without a coordination service."""
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
        """Change one entry in all endpoint lists of a tier."""
        for (_, listed_tier), registry in self.registries.items():
            if listed_tier == tier:
                registry.put(item)

    async def start_registry(self, proxy: str, tier: str) -> str:
        """Start the discovery stand-in of a proxy for the endpoint list of a tier; return its address."""
        registry = self.registries[proxy, tier] = EndpointRegistry(self.recorder, proxy=proxy)
        tier = self.options.routes.get(tier, tier)  # a misroute delivers the list of another tier
        for host in self.hosts:
            if host.sidecar.tier == tier:
                registry.put(host.list_entry)
        for name, endpoint in self.plain_endpoints:
            if name == tier:
                registry.put(entry(endpoint.name, endpoint.address, zone=endpoint.zone))
        return await registry.start()

    def bypass_edge_proxy(self) -> None:
        """Direct the clients to the sidecars of the first tier, without the proxy before them."""
        assert self.clients is not None
        inbound_addresses = [
            host.sidecar.inbound for host in self.hosts if host.sidecar.tier == self.entry_tier
        ]
        self.clients.proxies = [parse_address(address) for address in inbound_addresses]

    def edge_settings(self) -> dict[str, object]:
        """Return the settings of the proxy before the first tier: those of a sidecar that calls this tier."""
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
        # The harness's clients never retry by themselves: a request with less time left than another one is
        # not a retry of it.
        settings = {**configuration["settings"], "callers": {"marks_retry": True}}
        return {"settings": settings, "forms": configuration["forms"]}

    async def close(self) -> None:
        """Close the stand-ins, and kill the processes that the deployment started and that still run."""
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
    """Start a deployment and yield it after it is ready."""
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
