"""Tests of the source's lists: ended sessions, draining nodes and withheld losses."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import pytest
from source_harness import (
    MODES,
    NAMES,
    accepted_connections,
    address_of,
    expire,
    operator_file,
    register_node,
    watching_source,
)
from test_register import PATH, node
from test_session import run

from harness.event_loop import until
from service_proxy.ephemeral_nodes import source
from service_proxy.ephemeral_nodes.children_cache import ChildChanges
from service_proxy.net.endpoint_sources import SourceHealth


@pytest.mark.parametrize("watch", MODES)
def test_a_lost_session_ends_its_endpoint_within_the_window(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            started_at = time.monotonic()
            expire(service, "s-3")
            await proxy.wait_until_serving(set(NAMES) - {"s-3"})
            assert proxy.consumer.ended_at["s-3"] - started_at < 2.0
            await until(lambda: "s-3" not in proxy.consumer.states, "its removal")
            assert proxy.source.reader.names_read_count <= 2

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
def test_registration_within_the_drain_window_under_the_old_and_a_new_name(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            expire(service, "s-1")
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            register_node(service, "s-1")
            await proxy.wait_until_serving(NAMES)
            address = address_of("s-2")
            expire(service, "s-2")
            register_node(service, "s-other", replace(node("s-other"), address=address))
            await proxy.wait_until_serving({*NAMES, "s-other"} - {"s-2"})

    run(test)


def test_an_expired_session_drains_its_node_although_discovery_still_lists_it() -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            all_nodes = [node(name, address_of(name)) for name in NAMES]
            proxy.discover(*all_nodes)
            expire(service, "s-3")
            await proxy.wait_until_serving(set(NAMES) - {"s-3"})
            for _ in range(5):  # Discovery keeps listing the endpoint.
                proxy.discover(*all_nodes)
                await asyncio.sleep(0.3)
                assert proxy.consumer.serving() == set(NAMES) - {"s-3"}
            register_node(service, "s-3")
            await proxy.wait_until_serving(NAMES)

    run(test)


@pytest.mark.parametrize("watch", MODES)
def test_an_empty_service_after_a_restore_removes_no_endpoint(watch: str) -> None:
    async def test() -> None:
        async with watching_source(watch) as (service, proxy):
            service.run_step({"do": "empty"})
            await proxy.wait_until_withheld(len(NAMES))
            await asyncio.sleep(0.3)
            assert proxy.consumer.serving() == set(NAMES)
            for name in NAMES[2:]:
                register_node(service, name)
            await proxy.wait_until_withheld(2)
            expire(service, "s-5")
            await proxy.wait_until_serving(set(NAMES) - {"s-5"})

    run(test)


def test_all_sessions_expiring_in_one_burst_remove_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sessions expire one by one; their losses must be collected and reported together."""
    monkeypatch.setattr(source, "LOSS_BATCH_S", 1.0)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            for name in NAMES:
                expire(service, name)
                await asyncio.sleep(0.01)
            await proxy.wait_until_withheld(len(NAMES))
            assert proxy.consumer.fewest_serving == len(NAMES)

    run(test)


def test_a_new_node_while_losses_are_collected_does_not_split_their_batch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new node is published at once while losses are collected.

    Losses reported one by one would not all be withheld: three would be accepted.
    """
    monkeypatch.setattr(source, "LOSS_BATCH_S", 0.5)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            register_node(service, "s-new")
            proxy.source._schedule_flush(0.0)
            proxy.source._apply_changes(ChildChanges(present=[], lost=["s-0"], hidden=[]))
            await proxy.wait_until_serving({*NAMES, "s-new"})
            proxy.source._apply_changes(ChildChanges(present=[], lost=NAMES[1:], hidden=[]))
            await proxy.wait_until_withheld(len(NAMES))
            assert proxy.consumer.serving() == {*NAMES, "s-new"}

    run(test)


def test_a_node_registered_again_before_its_loss_is_reported_is_not_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(source, "LOSS_BATCH_S", 0.5)

    async def test() -> None:
        async with watching_source() as (service, proxy):
            expire(service, "s-1")
            register_node(service, "s-1")
            expire(service, "s-2")
            await proxy.wait_until_serving(set(NAMES) - {"s-2"})
            assert "s-1" not in proxy.consumer.ended_at

    run(test)


def test_a_lower_zxid_is_refused_and_the_list_stays_until_sighup(tmp_path: Path) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            service.run_step({"do": "save"})
            expire(service, "s-1")
            await proxy.wait_until_serving(set(NAMES) - {"s-1"})
            # A notification carries no zxid; the response to the next ping does.
            await until(lambda: proxy.source.session.last_zxid == service.tree.zxid, "the zxid")
            service.run_step({"do": "restore"})  # The restored data contains s-1.
            accepted = accepted_connections(service)
            await until(lambda: accepted_connections(service) > accepted + 3, "connection attempts")
            assert proxy.consumer.serving() == set(NAMES) - {"s-1"}
            assert proxy.health() is not SourceHealth.UP_TO_DATE
            file = operator_file(tmp_path, proxy.source.settings)
            proxy.source.reload(str(file))
            await proxy.wait_until_fresh()
            await proxy.wait_until_serving(NAMES)

    run(test)
