"""Fleet of the ephemeral nodes benchmark: endpoints, registrations, coordination service and registry.

Half of the lost sessions belong to endpoints that still respond; the registry lists these endpoints as
Terminating 0.7 to 4.3 s late. The other half belong to endpoints that stop responding; the registry lists
these endpoints as Gone 5.5 to 11 s late. Each endpoint returns after the downtime and warms up. The ensemble
is partitioned between the losses, and empty at the end after a restore.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from harness.coordination import CoordinationService
from harness.coordination_connection import ServiceConnection
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.recorder import Notification, Recorder
from harness.stub_endpoint import StubEndpoint
from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode
from service_proxy.ephemeral_nodes.registrar import Registrar
from service_proxy.ephemeral_nodes.source_reports import MEMBERSHIP
from service_proxy.operator_file import Membership

PARENT = "/salas/portal"
ZONES = "abc"
SERVERS = 3  # Number of servers in the ensemble.
LEAVING_DELAY_S = (0.7, 4.3)  # Range of the delay until the registry lists an endpoint as Terminating.
SILENT_DELAY_S = (5.5, 11.0)  # Range of the delay until the registry lists an endpoint as Gone.
RECENT_S = 3.0  # Longest time since the last request of a proxy that counts as a user of the endpoint.
SESSION_TIMEOUT_S = 1.5  # Session timeout of a registration.
CONNECT_TIMEOUT_S = 0.4
REGISTRATION_TIMEOUT_S = 20.0
MIN_SERVICE_TIME_S = 0.005
SERVICE_TIME_SPREAD_S = 0.02
EMPTY_LIST_S = 3.0  # Time for the proxies to read the empty list.
RETURN_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a run."""

    nodes: int
    rate: float  # Requests per second over the three proxies.
    expiries: int
    partitions: tuple[float, ...]  # Durations of the partitions in seconds.
    downtime: float  # Seconds from a session loss until the endpoint is available again.
    spacing: float  # Mean seconds between two session losses.


@dataclass(slots=True)
class LostSession:
    """Lost session, and each proxy's last request to its endpoint before the endpoint restarted."""

    name: str
    lost_at: float = 0.0
    last_request_by_proxy: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Window:
    """Time span in which the coordination service was partitioned or empty."""

    name: str
    started_at: float
    ended_at: float


class EphemeralFleet:
    """Endpoints, the registrations of their sidecars, the coordination service and the registry."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.recorder = Recorder()
        self.registry = EndpointRegistry(self.recorder, seed, LEAVING_DELAY_S)
        self.service = CoordinationService(SERVERS)
        self.endpoints: dict[str, StubEndpoint] = {}
        self.registrars: dict[str, Registrar] = {}
        self.lost_sessions: list[LostSession] = []
        self.down: set[str] = set()  # Names of the endpoints with a lost session.
        self.deleted: set[str] = set()  # Names of the down endpoints whose nodes are deleted.
        # Pairs of proxy and endpoint name that have been notified of the present loss.
        self.notified: set[tuple[str, str]] = set()
        self.windows: list[Window] = []
        self.settings: Membership | None = None

    async def start(self) -> None:
        """Start everything, and return after all endpoints are registered."""
        addresses = await self.service.start()
        await self.registry.start()
        self.settings = Membership(
            tuple("{}:{}".format(*address) for address in addresses),
            PARENT,
            session_timeout=SESSION_TIMEOUT_S,
            connect_timeout=CONNECT_TIMEOUT_S,
        )
        self.service.on_sent = self.on_sent
        for number in range(self.size.nodes):
            name = f"s-{number:02d}"
            service_time = MIN_SERVICE_TIME_S + SERVICE_TIME_SPREAD_S * self.random.random()
            endpoint = StubEndpoint(self.recorder, name, ZONES[number % len(ZONES)], service_time)
            await endpoint.start()
            self.endpoints[name] = endpoint
            self.registry.put(self.list_entry(name), delay_range=(0.0, 0.0))
            self.register(name)
        for registrar in self.registrars.values():
            await asyncio.wait_for(registrar.registered.wait(), REGISTRATION_TIMEOUT_S)

    def list_entry(self, name: str, status: str = "Ready") -> dict[str, object]:
        """Return an endpoint's entry in the registry's list."""
        endpoint = self.endpoints[name]
        return entry(name, endpoint.address, zone=endpoint.zone, status=status, since_ms=endpoint.since_ms)

    def register(self, name: str) -> None:
        """Start the registration of an endpoint."""
        endpoint = self.endpoints[name]
        node = EndpointNode(name, endpoint.address, endpoint.zone, "m", 1, 1.0, endpoint.since_ms)
        assert self.settings is not None
        registrar = Registrar(self.settings, node, Random(self.random.random()))
        registrar.start()
        self.registrars[name] = registrar

    def on_sent(self, connection: ServiceConnection, event: int, names: list[str]) -> None:
        """Record the names that the service has written: deleted, created, or (event 0) all names."""
        proxy = next((user.partition(":")[0] for user in connection.users), "")
        if not proxy:
            return  # The connection belongs to a registration, not to a proxy.
        now = time.monotonic()
        deleted = names
        if event != EventType.DELETED:
            deleted = [name for name in self.deleted if name not in names]
            for name in names:
                if event == EventType.CREATED or (proxy, name) in self.notified:
                    self._record_ready(proxy, name, now)
        for name in deleted:
            if (proxy, name) not in self.notified:
                self.notified.add((proxy, name))
                self.recorder.notifications.append(Notification(name, now, "gone", MEMBERSHIP, proxy))

    def _record_ready(self, proxy: str, name: str, now: float) -> None:
        self.notified.discard((proxy, name))
        self.recorder.notifications.append(Notification(name, now, "ready", MEMBERSHIP, proxy))

    async def lose_session(self, name: str, silent: bool) -> None:
        """End an endpoint's session, and restart the endpoint after the downtime.

        The endpoint keeps its name and warms up after the restart.
        """
        endpoint = self.endpoints[name]
        self.down.add(name)
        endpoint.silent = silent
        session_id = self.registrars[name].session.session_id
        self.registrars[name].crash()
        self.service.expire(session_id)
        self.deleted.add(name)
        lost_session = LostSession(name, time.monotonic())
        self.lost_sessions.append(lost_session)
        status, delay = ("Gone", SILENT_DELAY_S) if silent else ("Terminating", LEAVING_DELAY_S)
        self.registry.put(self.list_entry(name, status), delay_range=delay)
        await asyncio.sleep(self.size.downtime)
        lost_session.last_request_by_proxy = dict(endpoint.last_request_by_proxy)
        endpoint.stop()
        endpoint.silent = False
        self.deleted.discard(name)
        await endpoint.start(warming_up=True)
        self.registry.put(self.list_entry(name), delay_range=LEAVING_DELAY_S)
        self.register(name)
        self.down.discard(name)

    def endpoints_in_use(self) -> list[str]:
        """Return the endpoints that the greatest number of proxies have recently sent requests to."""
        since = time.monotonic() - RECENT_S
        users = {
            name: sum(sent_at > since for sent_at in endpoint.last_request_by_proxy.values())
            for name, endpoint in self.endpoints.items()
            if name not in self.down
        }
        max_users = max(users.values())
        return [name for name, count in users.items() if count == max_users]

    async def wait_until_registered(self) -> None:
        """Wait until all endpoints that are up are registered."""

        def are_registered() -> bool:
            parent = self.service.tree.nodes.get(PARENT)
            return parent is not None and len(parent.children) == len(self.endpoints) - len(self.down)

        await until(are_registered, "all endpoints that are up are registered", RETURN_TIMEOUT_S)

    async def settle(self, pending: list[asyncio.Task[None]]) -> None:
        """Wait until all endpoints have returned and are registered."""
        await asyncio.gather(*pending)
        pending.clear()
        await self.wait_until_registered()
        await asyncio.sleep(self.size.spacing)

    async def partition(self, duration: float, mode: str) -> None:
        """Partition the ensemble from all of its clients."""
        started_at = time.monotonic()
        self.service.run_step({"do": "partition", "mode": mode})
        await asyncio.sleep(duration)
        self.windows.append(Window(f"partition of {duration:g} s", started_at, time.monotonic()))
        # No session has expired: sidecars could not renew sessions, but without a leader no session expires.
        self.service.run_step({"do": "heal"})
        await self.wait_until_registered()

    async def empty_ensemble(self) -> None:
        """Restore the ensemble without data, and register all endpoints again."""
        started_at = time.monotonic()
        for registrar in self.registrars.values():
            # Stopped, so that no endpoint registers before the proxies have read the empty list.
            registrar.crash()
        self.service.run_step({"do": "empty"})
        await asyncio.sleep(EMPTY_LIST_S)
        for name in self.endpoints:
            self.register(name)
        self.windows.append(Window("empty ensemble", started_at, time.monotonic()))
        await self.wait_until_registered()

    async def run_script(self) -> None:
        """End sessions one after another, with partitions in between and the empty ensemble at the end."""
        size = self.size
        pending: list[asyncio.Task[None]] = []
        partitions = {
            (index + 1) * size.expiries // (len(size.partitions) + 2): duration
            for index, duration in enumerate(size.partitions)
        }
        for number in range(size.expiries):
            silent = bool(number % 2)
            if number in partitions:
                await self.settle(pending)
                await self.partition(partitions[number], "silent" if silent else "reset")
            name = self.random.choice(self.endpoints_in_use())
            pending.append(asyncio.ensure_future(self.lose_session(name, silent)))
            await asyncio.sleep(size.spacing * (0.5 + self.random.random()))
        await self.settle(pending)
        await self.empty_ensemble()

    async def stop(self) -> None:
        """Stop everything."""
        for registrar in self.registrars.values():
            registrar.crash()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.registry.stop()
        await self.service.stop()
