"""The fleet of the benchmark of ephemeral nodes: endpoints, their registrations, the service, the registry.

Half of the lost sessions are of endpoints that go on responding (the registry lists them as Terminating, 0.7
to 4.3 s late), half of endpoints that fall silent (listed as Gone, 5.5 to 11 s late). Each comes back after a
while, warming up. Between the losses the ensemble is cut off, and in the end it is empty after a restore.
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
SERVERS = 3  # of the ensemble
LEAVING_DELAY_S = (0.7, 4.3)  # by which the registry is late to list an endpoint as Terminating
SILENT_DELAY_S = (5.5, 11.0)  # the same for Gone
RECENT_S = 3.0  # within which a proxy must have sent to an endpoint that is in use
SESSION_TIMEOUT_S = 1.5  # of a registration
CONNECT_TIMEOUT_S = 0.4
REGISTRATION_TIMEOUT_S = 20.0
MIN_SERVICE_TIME_S = 0.005
SERVICE_TIME_SPREAD_S = 0.02
EMPTY_LIST_S = 3.0  # for which the proxies read the empty list
RETURN_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a run."""

    nodes: int
    rate: float  # requests a second, over the three proxies
    expiries: int
    partitions: tuple[float, ...]  # s
    downtime: float  # s until an endpoint whose session was lost comes back
    spacing: float  # s between two expiries


@dataclass(slots=True)
class LostSession:
    """A session that was lost, and when each proxy last sent to its endpoint before that came back."""

    name: str
    lost_at: float = 0.0
    last_request_by_proxy: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Window:
    """A time in which the service was cut off or empty."""

    name: str
    started_at: float
    ended_at: float


class EphemeralFleet:
    """The endpoints, the registrations of their sidecars, the service and the registry."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.random = Random(seed)
        self.recorder = Recorder()
        self.registry = EndpointRegistry(self.recorder, seed, LEAVING_DELAY_S)
        self.service = CoordinationService(SERVERS)
        self.endpoints: dict[str, StubEndpoint] = {}
        self.registrars: dict[str, Registrar] = {}
        self.lost_sessions: list[LostSession] = []
        self.down: set[str] = set()  # endpoints whose sessions were lost
        self.deleted: set[str] = set()  # those of them whose nodes are not there
        self.notified: set[tuple[str, str]] = set()  # proxy and name, of the present loss
        self.windows: list[Window] = []
        self.settings: Membership | None = None

    async def start(self) -> None:
        """Start everything; return once all endpoints are registered."""
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
        """Return an endpoint as the registry lists it."""
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
        """Record what the service has written: a deletion, a creation, or (event 0) all names."""
        proxy = next((user.partition(":")[0] for user in connection.users), "")
        if not proxy:
            return  # the connection of a registration
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
        """End an endpoint's session; have it back after a while, warming up, under the same name."""
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
        """Return the endpoints that the greatest number of proxies have lately sent to."""
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

        await until(are_registered, "the registrations", RETURN_TIMEOUT_S)

    async def settle(self, pending: list[asyncio.Task[None]]) -> None:
        """Wait until all endpoints are back, at the service and at the registry."""
        await asyncio.gather(*pending)
        pending.clear()
        await self.wait_until_registered()
        await asyncio.sleep(self.size.spacing)

    async def partition(self, duration: float, mode: str) -> None:
        """Cut the ensemble off from everybody."""
        started_at = time.monotonic()
        self.service.run_step({"do": "partition", "mode": mode})
        await asyncio.sleep(duration)
        self.windows.append(Window(f"partition of {duration:g} s", started_at, time.monotonic()))
        # Sidecars could not renew their sessions either: without a leader none has run out.
        self.service.run_step({"do": "heal"})
        await self.wait_until_registered()

    async def empty_ensemble(self) -> None:
        """Restore the ensemble from nothing, and have all endpoints register again."""
        started_at = time.monotonic()
        for registrar in self.registrars.values():
            registrar.crash()  # none is back before the proxies have read the empty list
        self.service.run_step({"do": "empty"})
        await asyncio.sleep(EMPTY_LIST_S)
        for name in self.endpoints:
            self.register(name)
        self.windows.append(Window("empty ensemble", started_at, time.monotonic()))
        await self.wait_until_registered()

    async def run_script(self) -> None:
        """Lose sessions one after another, with the partitions between them and the empty ensemble last."""
        size = self.size
        pending: list[asyncio.Task[None]] = []
        partitions = {
            (place + 1) * size.expiries // (len(size.partitions) + 2): duration
            for place, duration in enumerate(size.partitions)
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
