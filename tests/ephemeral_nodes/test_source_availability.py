"""Tests of the source with an unreachable service or discovery, at a reload, and from a snapshot."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import pytest
from source_harness import (
    MODES,
    NAMES,
    SourceUnderTest,
    address_of,
    expire,
    initial_address,
    initial_list,
    operator_file,
    register_node,
    watching_source,
)
from test_register import PATH, node, settings
from test_session import ensemble, run

from harness.event_loop import until
from service_proxy.ephemeral_nodes import snapshot, source
from service_proxy.ephemeral_nodes.session_states import SessionState
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.operator_file import OperatorError


def test_discoverys_list_is_used_while_the_service_is_unreachable_from_the_start() -> None:
    async def test() -> None:
        initial = initial_list()
        async with ensemble() as service:
            service.run_step({"do": "partition", "mode": "reset"})
            proxy = SourceUnderTest(settings(service, reread_jitter=0.0), initial)
            await proxy.wait_until_serving(NAMES)
            await until(lambda: service.servers[0].accepted >= 2, "connection attempts")
            proxy.discover(node("s-new"), is_snapshot=False)
            await proxy.wait_until_serving({*NAMES, "s-new"})
            assert proxy.health() is SourceHealth.NEVER_RECEIVED
            for name in NAMES[:3]:
                register_node(service, name, node(name, initial_address(name)))
            service.run_step({"do": "heal"})
            await proxy.wait_until_fresh()
            # The service never listed the other names, so their absence removes no endpoint.
            assert proxy.consumer.serving() == {*NAMES, "s-new"}
            proxy.source.stop()

    run(test)


@pytest.mark.parametrize("mode", ["silent", "reset"])
@pytest.mark.parametrize("watch", MODES)
def test_the_list_stays_while_the_service_is_unreachable_and_is_updated_later(watch: str, mode: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "partition", "mode": mode})
            await until(lambda: proxy.source.session.state is SessionState.LOST, "LOST")
            assert proxy.health() is SourceHealth.UNREACHABLE
            assert proxy.consumer.serving() == set(NAMES)
            await until(lambda: proxy.source.session.session_id not in service.sessions, "the expiry")
            expire(service, "s-4")
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
def test_missed_watch_events_and_a_recreation_are_detected_after_a_reconnect(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "lose_watches", "on": True})
            expire(service, "s-1")
            restarted = node("s-1", address_of("s-1"), since=int(time.time() * 1000))
            register_node(service, "s-1", restarted)
            expire(service, "s-2")
            service.tree.set_data(f"{PATH}/s-3", node("s-3", "127.0.0.1:8").draining().encode(), -1)
            service.run_step({"do": "lose_watches", "on": False})
            service.run_step({"do": "drop"})
            await proxy.wait_until_serving(set(NAMES) - {"s-2", "s-3"})
            await until(lambda: restarted in proxy.source.children.nodes(), "the new start")
            assert proxy.source.session.state is SessionState.CONNECTED

    run(test)


def test_a_partition_in_which_half_of_the_proxies_see_the_service() -> None:
    async def test() -> None:
        async with ensemble(2) as service:
            for name in NAMES:
                register_node(service, name)
            ensemble_settings = settings(service, reread_jitter=0.05)
            proxies = [
                SourceUnderTest(replace(ensemble_settings, servers=(server,)))
                for server in ensemble_settings.servers
            ]
            for proxy in proxies:
                await proxy.wait_until_serving(NAMES)
            service.run_step({"do": "partition", "servers": [1], "mode": "silent"})
            expire(service, "s-1")
            await proxies[0].wait_until_serving(set(NAMES) - {"s-1"})
            assert proxies[1].consumer.serving() == set(NAMES)
            await until(lambda: proxies[1].health() is SourceHealth.UNREACHABLE, "unreachable")
            assert proxies[1].consumer.serving() == set(NAMES)
            service.run_step({"do": "heal"})
            await proxies[1].wait_until_serving(set(NAMES) - {"s-1"})
            for proxy in proxies:
                proxy.source.stop()

    run(test)


def test_sighup_while_suspended_changes_the_ensemble_and_keeps_the_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy), ensemble(1) as new_service:
            service.run_step({"do": "partition", "mode": "reset"})
            await until(lambda: proxy.source.session.state is SessionState.SUSPENDED, "SUSPENDED")
            for name in NAMES[1:]:
                register_node(new_service, name)
            servers = ("{}:{}".format(*new_service.servers[0].address),)
            proxy.source.reload(str(operator_file(tmp_path, proxy.source.settings, servers=servers)))
            await proxy.wait_until_serving(NAMES[1:])
            await proxy.wait_until_fresh()
            assert proxy.consumer.fewest_serving == len(NAMES) - 1
            with pytest.raises(OperatorError, match="path can't change"):
                proxy.source.reload(str(operator_file(tmp_path, proxy.source.settings, path="/b")))
            invalid = operator_file(tmp_path, proxy.source.settings)
            invalid.write_text(invalid.read_text() + "reed = 1\n")
            with pytest.raises(OperatorError, match="unknown key reed"):
                proxy.source.reload(str(invalid))
            assert proxy.source.settings.servers == servers

    run(test)


def test_a_start_without_the_service_uses_the_snapshot_and_refuses_a_damaged_one(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "nodes"
        async with watching_source(snapshot=str(file)) as (service, proxy):
            await until(file.exists, "the file")
            expire(service, "s-1")
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
        assert [entry.name for entry in snapshot.read(file)] == [name for name in NAMES if name != "s-1"]
        async with ensemble(1) as unreachable:
            unreachable.run_step({"do": "partition", "mode": "reset"})
            proxy = SourceUnderTest(settings(unreachable, snapshot=str(file)))
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            register_node(unreachable, "s-2")
            unreachable.run_step({"do": "heal"})
            await proxy.wait_until_withheld(7)
            assert proxy.consumer.serving() == set(NAMES) - {"s-1"}
            proxy.source.stop()
            file.write_bytes(file.read_bytes()[:-5])
            proxy = SourceUnderTest(settings(unreachable, snapshot=str(file)))
            await proxy.wait_until_serving(["s-2"])  # The damaged file is not used.
            proxy.source.stop()

    run(test)


def test_endpoints_with_withheld_losses_are_in_the_snapshot(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "nodes"
        async with watching_source(snapshot=str(file)) as (service, proxy):
            service.run_step({"do": "empty"})
            await proxy.wait_until_withheld(len(NAMES))
            nodes = proxy.source._snapshot_nodes()
            assert [entry.name for entry in nodes] == NAMES
            assert nodes[0].address == address_of("s-0")

    run(test)


def test_failures_of_discovery_reach_the_policy_and_remove_no_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(source, "DISCOVERY_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with watching_source() as (_, proxy):
            proxy.discover(node("s-p"), is_snapshot=False)
            await proxy.wait_until_serving({*NAMES, "s-p"})
            proxy.consumer.discovery.on_failed()
            assert proxy.consumer.failures == 1
            discovery = proxy.source.merger.sources["discovery"]
            assert discovery.health is SourceHealth.STALE
            await until(lambda: discovery.health is SourceHealth.UNREACHABLE, "unreachable")
            assert proxy.consumer.serving() == {*NAMES, "s-p"}
            list_count = proxy.consumer.list_count
            proxy.discover(node("s-p"), is_snapshot=False)
            # The policy receives a response to its poll, although nothing has changed.
            assert proxy.consumer.list_count > list_count

    run(test)


def test_rejected_credentials_keep_the_list_and_new_ones_are_read_on_sighup(tmp_path: Path) -> None:
    async def test() -> None:
        auth = tmp_path / "auth"
        auth.write_text("u:wrong")
        initial = initial_list()
        async with ensemble(1) as service:
            service.credentials = {"u": "p"}
            register_node(service, "s-0")
            membership = settings(service, auth_file=str(auth))
            proxy = SourceUnderTest(membership, initial)
            await until(lambda: proxy.source.session.state is SessionState.AUTH_FAILED, "AUTH_FAILED")
            assert proxy.consumer.serving() == set(NAMES)
            auth.write_text("u:p")
            file = operator_file(tmp_path, membership)
            file.write_text(file.read_text() + f'auth_file = "{auth}"\n')
            proxy.source.reload(str(file))
            await proxy.wait_until_fresh()
            auth.write_text("nothing")
            with pytest.raises(OperatorError, match="holds no credentials"):
                proxy.source.reload(str(file))
            proxy.source.stop()

    run(test)


def test_a_missing_path_is_watched_until_it_is_created() -> None:
    async def test() -> None:
        async with ensemble(1) as service:
            proxy = SourceUnderTest(settings(service, reread_jitter=0.0))
            await proxy.wait_until_fresh()
            register_node(service, "s-1")
            await proxy.wait_until_serving(["s-1"])
            proxy.source.stop()

    run(test)
