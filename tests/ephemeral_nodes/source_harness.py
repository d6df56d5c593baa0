"""Harness for the source of ephemeral nodes, with a stand-in service and a recording consumer."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from test_register import PATH, node, settings
from test_session import ensemble

from harness.coordination import CoordinationService
from harness.coordination_connection import SessionRecord
from harness.event_loop import until
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.records import OPEN_ACL
from service_proxy.ephemeral_nodes.source import EphemeralNodeSource
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.endpoint_list import EndpointList
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.operator_file import Membership as Settings
from service_proxy.policy.events import EndpointState

NAMES = [f"s-{number}" for number in range(9)]
MODES = ["persistent", "one-shot"]  # Values of settings.watch.
INITIAL_PORT = 9000


class RecordingConsumer:
    """Replacement for the dispatcher that records the endpoint lists and discovery's failures."""

    def __init__(self, initial: EndpointList | None = None) -> None:
        self.initial_list = initial or EndpointList(0, True, [])
        self.states: dict[str, EndpointState] = {}
        self.list_count = 0
        self.failures = 0
        self.fewest_serving = 0  # Lowest number of endpoints serving at once since a test set it.
        self.discovery = cast(DiscoveryClient, SimpleNamespace(on_list=None, on_failed=None))
        self.ended_at: dict[str, float] = {}

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Record an incremental list."""
        self.list_count += 1
        assert not endpoint_list.is_snapshot
        for item in endpoint_list.endpoints:
            if item.entry.state is EndpointState.REMOVED:
                self.states.pop(item.name, None)
            else:
                self.states[item.name] = item.entry.state
            if item.entry.state is not EndpointState.SERVING:
                self.ended_at.setdefault(item.name, time.monotonic())
        self.fewest_serving = min(self.fewest_serving, len(self.serving()))

    def endpoint_list_failed(self) -> None:
        """Record a failure of discovery."""
        self.failures += 1

    def serving(self) -> set[str]:
        """Return the names of the endpoints that serve."""
        return {name for name, state in self.states.items() if state is EndpointState.SERVING}


PORTS: dict[str, int] = {}


def address_of(name: str) -> str:
    """Return an address that is unique to the name."""
    return f"127.0.0.1:{PORTS.setdefault(name, 7000 + len(PORTS))}"


def initial_address(name: str) -> str:
    """Return the address of one of NAMES in the initial list."""
    return f"127.0.0.1:{INITIAL_PORT + NAMES.index(name)}"


def initial_list() -> EndpointList:
    """Return a list of all NAMES for the start of a proxy."""
    nodes = [node(name, initial_address(name)) for name in NAMES]
    return EndpointList(1, True, [to_endpoint(entry, WALL_CLOCK_OFFSET_S) for entry in nodes])


def accepted_connections(service: CoordinationService) -> int:
    """Return the number of connections that all servers have accepted."""
    return sum(server.accepted for server in service.servers)


def expire(service: CoordinationService, name: str) -> None:
    """Expire the session that owns a node."""
    service.run_step({"do": "expire", "path": f"{PATH}/{name}"})


def register_node(
    service: CoordinationService, name: str, entry: EndpointNode | None = None, data: bytes | None = None
) -> None:
    """Create a node with a session of its own, as a sidecar would."""
    parts = PATH.split("/")[1:]
    for count in range(1, len(parts) + 1):
        path = "/" + "/".join(parts[:count])
        if path not in service.tree.nodes:
            service.tree.create(path, b"", list(OPEN_ACL), 0, 0)
    session = SessionRecord(next(service.ids), b"", 1e9, time.monotonic())
    service.sessions[session.id] = session
    if data is None:
        data = (entry or node(name, address_of(name))).encode()
    service.tree.create(f"{PATH}/{name}", data, list(OPEN_ACL), 1, session.id)
    session.nodes.add(f"{PATH}/{name}")


class SourceUnderTest:
    """Started source of one proxy, with its consumer."""

    def __init__(self, settings: Settings, initial: EndpointList | None = None) -> None:
        self.consumer = RecordingConsumer(initial)
        config = cast(ProxyConfig, SimpleNamespace(name="n0", seed=1))
        self.source = EphemeralNodeSource(settings, cast(Any, self.consumer), config)
        self.source.start()

    async def wait_until_serving(self, names: list[str] | set[str]) -> None:
        """Wait until exactly these endpoints serve."""
        await until(
            lambda: self.consumer.serving() == set(names), f"serving {names}, not {self.consumer.serving()}"
        )

    async def wait_until_fresh(self) -> None:
        """Wait until the source's health is UP_TO_DATE."""
        await until(lambda: self.health() is SourceHealth.UP_TO_DATE, "fresh")

    async def wait_until_withheld(self, count: int) -> None:
        """Wait until exactly `count` losses are withheld."""
        membership = self.source.merger.sources["membership"]
        await until(lambda: membership.withheld_count == count, f"{count} withheld losses")

    def health(self) -> SourceHealth:
        """Return the source's health."""
        return self.source.merger.sources["membership"].health

    def discover(self, *nodes: EndpointNode, is_snapshot: bool = True) -> None:
        """Simulate a response of discovery with these nodes."""
        endpoints = [to_endpoint(entry, WALL_CLOCK_OFFSET_S) for entry in nodes]
        self.consumer.discovery.on_list(EndpointList(1, is_snapshot, endpoints))


@contextlib.asynccontextmanager
async def watching_source(
    watch: str = "auto", names: list[str] = NAMES, **more: Any
) -> AsyncIterator[tuple[CoordinationService, SourceUnderTest]]:
    """Run a service with these nodes and a source that has read them; `more` are settings of the source."""
    async with ensemble() as service:
        for name in names:
            register_node(service, name)
        proxy = SourceUnderTest(settings(service, watch=watch, reread_jitter=0.05, **more))
        try:
            await proxy.wait_until_serving(names)
            await proxy.wait_until_fresh()
            proxy.consumer.fewest_serving = len(names)
            yield service, proxy
        finally:
            proxy.source.stop()


def operator_file(folder: Path, membership: Settings, **changes: object) -> Path:
    """Write an operator's file with these settings and changes."""
    settings = replace(membership, **changes)  # type: ignore[arg-type]
    servers = ", ".join(f'"{server}"' for server in settings.servers)
    file = folder / "operator.toml"
    file.write_text(
        f'[membership]\nservers = [{servers}]\npath = "{settings.path}"\n'
        f"session_timeout = {settings.session_timeout}\nconnect_timeout = {settings.connect_timeout}\n"
        f'watch = "{settings.watch}"\nsnapshot = "{settings.snapshot}"\n'
        f"reread_jitter = {settings.reread_jitter}\nmass_loss_share = {settings.mass_loss_share}\n"
    )
    return file
