"""The source with a consumer that only records its lists: faults of the service, each on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from test_register import PATH, node, settings
from test_session import ensemble, run

from harness.coordination import CoordinationService
from harness.coordination_connection import SessionRecord
from harness.event_loop import until
from service_proxy.ephemeral_nodes import children_reader, snapshot, source
from service_proxy.ephemeral_nodes.children_cache import ChildChanges
from service_proxy.ephemeral_nodes.codes import OpCode
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.records import OPEN_ACL
from service_proxy.ephemeral_nodes.session_states import SessionState
from service_proxy.ephemeral_nodes.source import EphemeralNodeSource
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.endpoint_list import EndpointList
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.operator_file import Membership as Settings
from service_proxy.operator_file import OperatorError
from service_proxy.policy.events import EndpointState

NAMES = [f"s-{number}" for number in range(9)]


class RecordingConsumer:
    """Stands for the dispatcher: records the lists that it is given, and the failures of discovery."""

    def __init__(self, known: EndpointList | None = None) -> None:
        self.initial_list = known or EndpointList(0, True, [])
        self.states: dict[str, EndpointState] = {}
        self.list_count = 0
        self.failures = 0
        self.fewest_serving = 0  # the fewest endpoints that served at once since a test set it
        self.discovery = cast(DiscoveryClient, SimpleNamespace(on_list=None, on_failed=None))
        self.ended_at: dict[str, float] = {}

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
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
        self.failures += 1

    def serving(self) -> set[str]:
        return {name for name, state in self.states.items() if state is EndpointState.SERVING}


PORTS: dict[str, int] = {}


def address_of(name: str) -> str:
    """An address of its own for each name."""
    return f"127.0.0.1:{PORTS.setdefault(name, 7000 + len(PORTS))}"


def register_node(
    service: CoordinationService,
    name: str,
    of: EndpointNode | None = None,
    data: bytes | None = None,
    owner: int = 0,
) -> int:
    """A node of a session of its own, as a sidecar would have made it. Returns the session."""
    parts = PATH.split("/")[1:]
    for count in range(1, len(parts) + 1):
        path = "/" + "/".join(parts[:count])
        if path not in service.tree.nodes:
            service.tree.create(path, b"", list(OPEN_ACL), 0, 0)
    number = owner or next(service.ids)
    record = service.sessions.get(number) or SessionRecord(number, b"", 1e9, time.monotonic())
    service.sessions[number] = record
    entry = of or node(name, address_of(name))
    service.tree.create(f"{PATH}/{name}", entry.encode() if data is None else data, list(OPEN_ACL), 1, number)
    record.nodes.add(f"{PATH}/{name}")
    return number


class SourceUnderTest:
    def __init__(
        self, service: CoordinationService | None, seat: RecordingConsumer, settings: Settings, seed: int = 1
    ) -> None:
        self.consumer = seat
        config = cast(ProxyConfig, SimpleNamespace(name="n0", seed=seed))
        self.source = EphemeralNodeSource(settings, cast(Any, seat), config)
        self.source.start()

    async def wait_until_serving(self, names: list[str] | set[str]) -> None:
        await until(
            lambda: self.consumer.serving() == set(names), f"serving {names}, not {self.consumer.serving()}"
        )

    async def wait_until_fresh(self) -> None:
        await until(lambda: self.health() is SourceHealth.FRESH, "fresh")

    def health(self) -> SourceHealth:
        return self.source.merger.sources["membership"].health

    def discover(self, *nodes: EndpointNode, whole: bool = True) -> None:
        self.consumer.discovery.on_list(
            EndpointList(1, whole, [to_endpoint(entry, WALL_CLOCK_OFFSET_S) for entry in nodes])
        )


MODES = ["persistent", "one-shot"]


@contextlib.asynccontextmanager
async def watching_source(
    watch: str = "auto", names: list[str] = NAMES, **more: Any
) -> AsyncIterator[tuple[CoordinationService, SourceUnderTest]]:
    """A service with these nodes and a proxy that has read them."""
    async with ensemble() as service:
        for name in names:
            register_node(service, name)
        proxy = SourceUnderTest(
            service, RecordingConsumer(), settings(service, watch=watch, reread_jitter=0.05, **more)
        )
        try:
            await proxy.wait_until_serving(names)
            await proxy.wait_until_fresh()
            proxy.consumer.fewest_serving = len(names)
            yield service, proxy
        finally:
            proxy.source.stop()


@pytest.mark.parametrize("watch", MODES)
def test_a_lost_session_ends_its_endpoint_within_the_window(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            begun = time.monotonic()
            service.run_step({"do": "expire", "path": f"{PATH}/s-3"})
            await proxy.wait_until_serving(set(NAMES) - {"s-3"})
            assert proxy.consumer.ended_at["s-3"] - begun < 2.0
            await until(lambda: "s-3" not in proxy.consumer.states, "its removal")
            assert proxy.source.reader.children_read <= 2

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_draining_by_the_node_itself_and_a_new_node(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.tree.set_data(f"{PATH}/s-2", node("s-2", "127.0.0.1:7").draining().encode(), -1)
            await proxy.wait_until_serving(set(NAMES) - {"s-2"})
            register_node(service, "s-new")
            await proxy.wait_until_serving({*NAMES, "s-new"} - {"s-2"})

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_back_within_the_drain_window_under_the_same_and_under_a_new_name(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            register_node(service, "s-1")
            await proxy.wait_until_serving(NAMES)
            address = address_of("s-2")
            service.run_step({"do": "expire", "path": f"{PATH}/s-2"})
            register_node(service, "s-other", replace(node("s-other"), address=address))
            await proxy.wait_until_serving({*NAMES, "s-other"} - {"s-2"})

    run(test)


def test_a_session_that_expires_while_the_node_still_answers_drains_it_though_discovery_lists_it() -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            every = [node(name, address_of(name)) for name in NAMES]
            proxy.discover(*every)
            service.run_step({"do": "expire", "path": f"{PATH}/s-3"})
            await proxy.wait_until_serving(set(NAMES) - {"s-3"})
            for _ in range(5):  # for ever, in discovery's eyes
                proxy.discover(*every)
                await asyncio.sleep(0.3)
                assert proxy.consumer.serving() == set(NAMES) - {"s-3"}
            register_node(service, "s-3")
            await proxy.wait_until_serving(NAMES)

    run(test)


def test_the_service_unreachable_from_the_start_leaves_discoverys_list() -> None:
    async def test() -> None:
        known = [
            to_endpoint(node(name, f"127.0.0.1:{9000 + place}"), WALL_CLOCK_OFFSET_S)
            for place, name in enumerate(NAMES)
        ]
        async with ensemble() as service:
            service.run_step({"do": "partition", "mode": "reset"})
            proxy = SourceUnderTest(
                service, RecordingConsumer(EndpointList(1, True, known)), settings(service, reread_jitter=0.0)
            )
            await proxy.wait_until_serving(NAMES)
            await until(lambda: service.servers[0].accepted >= 2, "tries")
            proxy.discover(node("s-new"), whole=False)
            await proxy.wait_until_serving({*NAMES, "s-new"})
            assert proxy.health() is SourceHealth.NEVER_RECEIVED
            for name in NAMES[:3]:
                register_node(
                    service, name, replace(node(name), address=f"127.0.0.1:{9000 + NAMES.index(name)}")
                )
            service.run_step({"do": "heal"})
            await proxy.wait_until_fresh()
            assert proxy.consumer.serving() == {
                *NAMES,
                "s-new",
            }  # absence from who never listed them says nothing
            proxy.source.stop()

    run(test)


@pytest.mark.parametrize("mode", ["silent", "reset"])
@pytest.mark.parametrize("watch", MODES)
def test_unreachable_for_longer_than_the_session_the_list_stays_and_catches_up(watch: str, mode: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "partition", "mode": mode})
            await until(lambda: proxy.source.session.state is SessionState.LOST, "LOST")
            assert proxy.health() is SourceHealth.UNREACHABLE and proxy.consumer.serving() == set(NAMES)
            await until(lambda: proxy.source.session.session_id not in service.sessions, "the expiry")
            service.run_step({"do": "expire", "path": f"{PATH}/s-4"})
            service.tree.set_data(f"{PATH}/s-5", node("s-5", "127.0.0.1:8").draining().encode(), -1)
            register_node(service, "s-new")
            await asyncio.sleep(0.2)
            assert proxy.consumer.serving() == set(NAMES)
            service.run_step({"do": "heal"})
            await proxy.wait_until_serving({*NAMES, "s-new"} - {"s-4", "s-5"})
            await proxy.wait_until_fresh()
            assert proxy.consumer.fewest_serving >= len(NAMES) - 2

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_a_watch_that_fired_unseen_and_a_delete_and_create_between_two_readings(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "lose_watches", "on": True})
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            again = replace(node("s-1", address_of("s-1")), since_ms=int(time.time() * 1000))
            register_node(service, "s-1", again)
            service.run_step({"do": "expire", "path": f"{PATH}/s-2"})
            service.tree.set_data(f"{PATH}/s-3", node("s-3", "127.0.0.1:8").draining().encode(), -1)
            service.run_step({"do": "lose_watches", "on": False})
            service.run_step({"do": "drop"})
            await proxy.wait_until_serving(set(NAMES) - {"s-2", "s-3"})
            await until(lambda: again in proxy.source.children.nodes(), "the new start")
            assert proxy.source.session.state is SessionState.CONNECTED

    run(test)


def test_a_partition_in_which_half_of_the_proxies_see_the_service() -> None:
    async def test() -> None:
        async with ensemble(2) as service:
            for name in NAMES:
                register_node(service, name)
            both = settings(service, reread_jitter=0.05)
            proxies = [
                SourceUnderTest(service, RecordingConsumer(), replace(both, servers=(server,)))
                for server in both.servers
            ]
            for proxy in proxies:
                await proxy.wait_until_serving(NAMES)
            service.run_step({"do": "partition", "servers": [1], "mode": "silent"})
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            await proxies[0].wait_until_serving(set(NAMES) - {"s-1"})
            assert proxies[1].consumer.serving() == set(NAMES)
            await until(lambda: proxies[1].health() is SourceHealth.UNREACHABLE, "unreachable")
            assert proxies[1].consumer.serving() == set(NAMES)
            service.run_step({"do": "heal"})
            await proxies[1].wait_until_serving(set(NAMES) - {"s-1"})
            for proxy in proxies:
                proxy.source.stop()

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_the_service_empty_after_a_restore_removes_nobody(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "empty"})
            await until(
                lambda: proxy.source.merger.sources["membership"].withheld_count == len(NAMES), "held"
            )
            await asyncio.sleep(0.3)
            assert proxy.consumer.serving() == set(NAMES)
            for name in NAMES[2:]:
                register_node(service, name)
            await until(lambda: proxy.source.merger.sources["membership"].withheld_count == 2, "back")
            service.run_step({"do": "expire", "path": f"{PATH}/s-5"})
            await proxy.wait_until_serving(set(NAMES) - {"s-5"})

    run(test)


def test_all_sessions_expire_in_one_burst_and_nobody_is_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    """One by one in the service's order: gathered, and judged as one."""
    monkeypatch.setattr(source, "LOSS_BATCH_S", 1.0)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            for name in NAMES:
                service.run_step({"do": "expire", "path": f"{PATH}/{name}"})
                await asyncio.sleep(0.01)
            await until(
                lambda: proxy.source.merger.sources["membership"].withheld_count == len(NAMES), "held"
            )
            assert proxy.consumer.fewest_serving == len(NAMES)

    run(test)


def test_a_node_that_comes_while_losses_are_gathered_does_not_split_their_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What comes is told at once; the losses are still gathered. Judged one by one, three would pass."""
    monkeypatch.setattr(source, "LOSS_BATCH_S", 0.5)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            lost = ChildChanges(present=[], lost=["s-0"], hidden=[])
            register_node(service, "s-new")
            proxy.source._schedule_flush(0.0)
            proxy.source._apply_changes(lost)
            await proxy.wait_until_serving({*NAMES, "s-new"})
            proxy.source._apply_changes(ChildChanges(present=[], lost=NAMES[1:], hidden=[]))
            await until(
                lambda: proxy.source.merger.sources["membership"].withheld_count == len(NAMES), "held"
            )
            assert proxy.consumer.serving() == {*NAMES, "s-new"}

    run(test)


def test_a_node_that_is_back_before_its_loss_was_judged_is_not_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source, "LOSS_BATCH_S", 0.5)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            register_node(service, "s-1")
            service.run_step({"do": "expire", "path": f"{PATH}/s-2"})
            await proxy.wait_until_serving(set(NAMES) - {"s-2"})
            assert "s-1" not in proxy.consumer.ended_at

    run(test)


def test_a_zxid_that_goes_back_is_refused_and_the_list_kept_until_sighup(tmp_path: Path) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            service.run_step({"do": "save"})
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            # A notification carries no zxid; the next ping's answer does.
            await until(lambda: proxy.source.session.last_zxid == service.tree.zxid, "the zxid")
            service.run_step({"do": "restore"})  # s-1 is back in the service's eyes
            taken = sum(server.accepted for server in service.servers)
            await until(lambda: sum(server.accepted for server in service.servers) > taken + 3, "tries")
            assert (
                proxy.consumer.serving() == set(NAMES) - {"s-1"} and proxy.health() is not SourceHealth.FRESH
            )
            file = operator_file(tmp_path, proxy.source.settings)
            proxy.source.reload(str(file))
            await proxy.wait_until_fresh()
            await proxy.wait_until_serving(NAMES)

    run(test)


def operator_file(folder: Path, of: Settings, **changes: object) -> Path:
    new = replace(of, **changes)  # type: ignore[arg-type]
    file = folder / "operator.toml"
    servers = ", ".join(f'"{server}"' for server in new.servers)
    file.write_text(
        f'[membership]\nservers = [{servers}]\npath = "{new.path}"\nsession_timeout = {new.session_timeout}\n'
        f'connect_timeout = {new.connect_timeout}\nwatch = "{new.watch}"\nsnapshot = "{new.snapshot}"\n'
        f"reread_jitter = {new.reread_jitter}\nmass_loss_share = {new.mass_loss_share}\n"
    )
    return file


def test_sighup_while_suspended_changes_the_ensemble_and_keeps_the_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy), ensemble(1) as other:
            service.run_step({"do": "partition", "mode": "reset"})
            await until(lambda: proxy.source.session.state is SessionState.SUSPENDED, "SUSPENDED")
            for name in NAMES[1:]:
                register_node(other, name)
            servers = ("{}:{}".format(*other.servers[0].address),)
            proxy.source.reload(str(operator_file(tmp_path, proxy.source.settings, servers=servers)))
            await proxy.wait_until_serving(NAMES[1:])
            await proxy.wait_until_fresh()
            assert proxy.consumer.fewest_serving == len(NAMES) - 1
            with pytest.raises(OperatorError, match="path can't change"):
                proxy.source.reload(str(operator_file(tmp_path, proxy.source.settings, path="/b")))
            bad = operator_file(tmp_path, proxy.source.settings)
            bad.write_text(bad.read_text() + "reed = 1\n")
            with pytest.raises(OperatorError, match="unknown key reed"):
                proxy.source.reload(str(bad))
            assert proxy.source.settings.servers == servers

    run(test)


def test_the_snapshot_serves_a_start_without_the_service_and_a_torn_one_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "nodes"
        async with watching_source(snapshot=str(file)) as (service, proxy):
            await until(file.exists, "the file")
            service.run_step({"do": "expire", "path": f"{PATH}/s-1"})
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
        assert [entry.name for entry in snapshot.read(file)] == [name for name in NAMES if name != "s-1"]
        async with ensemble(1) as dead:
            dead.run_step({"do": "partition", "mode": "reset"})
            proxy = SourceUnderTest(dead, RecordingConsumer(), settings(dead, snapshot=str(file)))
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            register_node(dead, "s-2")
            dead.run_step({"do": "heal"})
            await until(
                lambda: proxy.source.merger.sources["membership"].withheld_count == 7, "a mass loss, held"
            )
            assert proxy.consumer.serving() == set(NAMES) - {"s-1"}
            proxy.source.stop()
            file.write_bytes(file.read_bytes()[:-5])
            proxy = SourceUnderTest(dead, RecordingConsumer(), settings(dead, snapshot=str(file)))
            await proxy.wait_until_serving(["s-2"])  # the torn file gave nothing
            proxy.source.stop()

    run(test)


def test_endpoints_with_withheld_losses_are_in_the_snapshot(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "nodes"
        async with watching_source(snapshot=str(file)) as (service, proxy):
            service.run_step({"do": "empty"})
            await until(
                lambda: proxy.source.merger.sources["membership"].withheld_count == len(NAMES), "held"
            )
            kept = proxy.source._snapshot_nodes()
            assert [entry.name for entry in kept] == NAMES and kept[0].address == address_of("s-0")

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_a_flood_of_changes_costs_a_bounded_number_of_reads(watch: str) -> None:
    """1,000 changes in a moment of one node, and of all: reads stay within the rate, and the last word
    counts.
    """

    async def test() -> None:
        async with watching_source(watch, reads_per_s=100.0) as (service, proxy):
            before = proxy.source.reader.reads_done
            begun = time.monotonic()
            for number in range(1000):
                name = NAMES[number % 9]
                service.tree.set_data(f"{PATH}/{name}", node(name, address_of(name)).encode(), -1)
                if number % 100 == 0:
                    await asyncio.sleep(0.01)
            service.tree.set_data(f"{PATH}/s-8", node("s-8", "127.0.0.1:8").draining().encode(), -1)
            await proxy.wait_until_serving(NAMES[:8])
            await proxy.wait_until_fresh()
            reads = proxy.source.reader.reads_done - before
            span = time.monotonic() - begun
            assert reads <= 100.0 * (span + children_reader.READ_BURST_S) + 2

    run(test)


def test_many_new_nodes_are_one_reading_of_names() -> None:
    """One getChildren for many changes, after a jitter: a thousand proxies must not ask a thousand times
    each.
    """

    async def test() -> None:
        async with watching_source("one-shot", reads_per_s=1000.0) as (service, proxy):
            before = service.requests[OpCode.GET_CHILDREN2]
            for number in range(200):
                register_node(service, f"n-{number}")
            await proxy.wait_until_serving({*NAMES, *(f"n-{number}" for number in range(200))})
            assert service.requests[OpCode.GET_CHILDREN2] - before <= 3

    run(test)


def test_proxies_draw_their_own_jitter() -> None:
    draws = set()

    async def test() -> None:
        for number in range(50):
            config = cast(ProxyConfig, SimpleNamespace(name=f"n{number}", seed=number))
            fake = Settings(("127.0.0.1:1",), PATH)
            draws.add(
                round(EphemeralNodeSource(fake, cast(Any, RecordingConsumer()), config).random.random(), 6)
            )

    run(test)
    assert len(draws) == 50 and max(draws) - min(draws) > 0.8


BAD_NAMES = ["S-1", "ñandú", "日本"]


def test_odd_names_and_bad_data_hide_only_themselves(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            register_node(service, "bad", data=b"{")
            register_node(service, "n\u0303", data=b"{}")
            for name in BAD_NAMES:
                register_node(service, name)
            service.tree.create(f"{PATH}/plain", node("plain").encode(), list(OPEN_ACL), 0, 0)
            # What no honest service would list: names with a / and a NUL.
            service.tree.nodes[PATH].children |= {"a/b", "a\x00b"}
            service.run_step({"do": "drop"})
            await proxy.wait_until_serving({*NAMES, *BAD_NAMES})
            await until(lambda: len(proxy.source.children.problems) == 5, "all hidden")
            service.run_step({"do": "drop"})
            await until(lambda: proxy.health() is SourceHealth.STALE, "the break")
            await proxy.wait_until_fresh()
            hidden = [
                record.getMessage() for record in caplog.records if "node_hidden" in record.getMessage()
            ]
            assert len(hidden) == 5, hidden  # each once, though read three times

    run(test)


def test_failures_of_discovery_reach_the_policy_and_remove_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source, "DISCOVERY_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with watching_source() as (_, proxy):
            proxy.discover(node("s-p"), whole=False)
            await proxy.wait_until_serving({*NAMES, "s-p"})
            proxy.consumer.discovery.on_failed()
            assert proxy.consumer.failures == 1
            health = proxy.source.merger.sources["discovery"]
            assert health.health is SourceHealth.STALE
            await until(lambda: health.health is SourceHealth.UNREACHABLE, "unreachable")
            assert proxy.consumer.serving() == {*NAMES, "s-p"}
            lists = proxy.consumer.list_count
            proxy.discover(node("s-p"), whole=False)
            assert (
                proxy.consumer.list_count > lists
            )  # the module hears that its watch was answered, though nothing changed

    run(test)


def test_credentials_that_are_refused_keep_the_list_and_new_ones_are_read_on_sighup(tmp_path: Path) -> None:
    async def test() -> None:
        auth = tmp_path / "auth"
        auth.write_text("u:wrong")
        known = [
            to_endpoint(node(name, f"127.0.0.1:{9000 + place}"), WALL_CLOCK_OFFSET_S)
            for place, name in enumerate(NAMES)
        ]
        async with ensemble(1) as service:
            service.credentials = {"u": "p"}
            register_node(service, "s-0")
            mine = settings(service, auth_file=str(auth))
            proxy = SourceUnderTest(service, RecordingConsumer(EndpointList(1, True, known)), mine)
            await until(lambda: proxy.source.session.state is SessionState.AUTH_FAILED, "refused")
            assert proxy.consumer.serving() == set(NAMES)
            auth.write_text("u:p")
            file = operator_file(tmp_path, mine)
            file.write_text(file.read_text() + f'auth_file = "{auth}"\n')
            proxy.source.reload(str(file))
            await proxy.wait_until_fresh()
            auth.write_text("nothing")
            with pytest.raises(OperatorError, match="holds no credentials"):
                proxy.source.reload(str(file))
            proxy.source.stop()

    run(test)


def test_a_path_that_is_not_there_yet_is_waited_for() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            proxy = SourceUnderTest(service, RecordingConsumer(), settings(service, reread_jitter=0.0))
            await proxy.wait_until_fresh()
            register_node(service, "s-1")
            await proxy.wait_until_serving(["s-1"])
            proxy.source.stop()

    run(test)
