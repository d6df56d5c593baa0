"""Tests of the source's reads: rate, jitter and unusable nodes."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest
from source_harness import (
    MODES,
    NAMES,
    RecordingConsumer,
    address_of,
    register_node,
    watching_source,
)
from test_register import PATH, node
from test_session import run

from harness.event_loop import until
from service_proxy.ephemeral_nodes import children_reader
from service_proxy.ephemeral_nodes.codes import OpCode
from service_proxy.ephemeral_nodes.records import OPEN_ACL
from service_proxy.ephemeral_nodes.source import EphemeralNodeSource
from service_proxy.net.config import ProxyConfig
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.operator_file import Membership as Settings

UNUSUAL_NAMES = ["S-1", "ñandú", "日本"]


@pytest.mark.parametrize("watch", MODES)
def test_many_changes_cause_a_bounded_number_of_reads(watch: str) -> None:
    """After 1,000 changes spread over all nodes, reads stay within the rate and the last data is used."""

    async def test() -> None:
        async with watching_source(watch, reads_per_s=100.0) as (service, proxy):
            reads_before = proxy.source.reader.data_read_count
            started_at = time.monotonic()
            for number in range(1000):
                name = NAMES[number % 9]
                service.tree.set_data(f"{PATH}/{name}", node(name, address_of(name)).encode(), -1)
                if number % 100 == 0:
                    await asyncio.sleep(0.01)
            service.tree.set_data(f"{PATH}/s-8", node("s-8", "127.0.0.1:8").draining().encode(), -1)
            await proxy.wait_until_serving(NAMES[:8])
            await proxy.wait_until_fresh()
            reads = proxy.source.reader.data_read_count - reads_before
            elapsed = time.monotonic() - started_at
            assert reads <= 100.0 * (elapsed + children_reader.READ_BURST_S) + 2

    run(test)


def test_many_new_nodes_cause_few_reads_of_the_children() -> None:
    """Many changes must cause one getChildren after a jitter, because each of many proxies reads."""

    async def test() -> None:
        async with watching_source("one-shot", reads_per_s=1000.0) as (service, proxy):
            requests_before = service.requests[OpCode.GET_CHILDREN2]
            for number in range(200):
                register_node(service, f"n-{number}")
            await proxy.wait_until_serving({*NAMES, *(f"n-{number}" for number in range(200))})
            assert service.requests[OpCode.GET_CHILDREN2] - requests_before <= 3

    run(test)


def test_proxies_draw_their_own_jitter() -> None:
    jitters = set()

    async def test() -> None:
        for number in range(50):
            config = cast(ProxyConfig, SimpleNamespace(name=f"n{number}", seed=number))
            membership = Settings(("127.0.0.1:1",), PATH)
            proxy_source = EphemeralNodeSource(membership, cast(Any, RecordingConsumer()), config)
            jitters.add(round(proxy_source.random.random(), 6))

    run(test)
    assert len(jitters) == 50
    assert max(jitters) - min(jitters) > 0.8


def test_unusable_names_and_data_hide_only_themselves(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with watching_source() as (service, proxy):
            register_node(service, "bad", data=b"{")
            register_node(service, "n\u0303", data=b"{}")
            for name in UNUSUAL_NAMES:
                register_node(service, name)
            service.tree.create(f"{PATH}/plain", node("plain").encode(), list(OPEN_ACL), 0, 0)
            # Names that no correct service lists: one with a /, one with a NUL.
            service.tree.nodes[PATH].children |= {"a/b", "a\x00b"}
            service.run_step({"do": "drop"})
            await proxy.wait_until_serving({*NAMES, *UNUSUAL_NAMES})
            await until(lambda: len(proxy.source.children.problems) == 5, "all hidden")
            service.run_step({"do": "drop"})
            await until(lambda: proxy.health() is SourceHealth.STALE, "stale")
            await proxy.wait_until_fresh()
            hidden = [
                record.getMessage() for record in caplog.records if "node_hidden" in record.getMessage()
            ]
            # Each problem is logged once, although the node is read three times.
            assert len(hidden) == 5, hidden

    run(test)
