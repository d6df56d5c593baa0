"""Work of the upstream cluster with many endpoints, per change of the endpoint list and per sweep.

The work is counted in executed byte codes, so the result does not depend on a clock.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Callable

import pytest

from harness.work_counter import count_opcodes
from service_proxy.net.endpoint_list import EndpointList, parse_endpoint_list
from service_proxy.net.upstream.cluster import UpstreamCluster
from service_proxy.net.upstream.connection import UpstreamConnection
from service_proxy.net.upstream.endpoint_pool import EndpointConnectionPool
from service_proxy.policy.events import EndpointState

USUAL_ENDPOINTS = 200
LARGE_ENDPOINTS = 3200
MAX_GROWTH = 1.5
MAX_STATE_BYTES = 1500  # Bound on the cluster's memory per endpoint.


def make_endpoint_list(numbers: range, status: str = "Ready", snapshot: bool = False) -> EndpointList:
    endpoints = [
        {
            "name": f"s-{number}",
            "address": f"127.16.{number >> 8}.{number & 255}:8081",
            "zone": "a",
            "type": "m",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        for number in numbers
    ]
    return parse_endpoint_list({"index": 1, "snapshot": snapshot, "endpoints": endpoints}, 0.0)


class FakeTransport:
    """Transport with the methods that closing an idle connection uses."""

    def __init__(self) -> None:
        self.is_aborted = False

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


def idle_connection(pool: EndpointConnectionPool) -> UpstreamConnection:
    """Return a new connection of a pool that is idle from now on."""
    connection = UpstreamConnection(pool)
    connection.transport = FakeTransport()  # type: ignore[assignment]
    pool.connections.add(connection)
    pool.release(connection)
    return connection


def is_aborted(connection: UpstreamConnection) -> bool:
    return connection.transport is not None and connection.transport.is_closing()


async def full_cluster(size: int) -> UpstreamCluster:
    """Return a cluster of `size` endpoints with some idle connections."""
    cluster = UpstreamCluster(0.15, 30.0, 100)
    cluster.apply_endpoint_list(make_endpoint_list(range(size), snapshot=True))
    for pool in list(cluster.pools.values())[:16]:
        idle_connection(pool)
    return cluster


def apply_list_changes(cluster: UpstreamCluster) -> None:
    for number in range(10):
        cluster.apply_endpoint_list(make_endpoint_list(range(number, number + 1), "Terminating"))
        cluster.apply_endpoint_list(make_endpoint_list(range(50 + number, 51 + number), "Gone"))
        cluster.apply_endpoint_list(make_endpoint_list(range(10_000 + number, 10_001 + number)))


def sweep(cluster: UpstreamCluster) -> None:
    for _ in range(10):
        cluster._sweep()


def evict_idle_connections(cluster: UpstreamCluster) -> None:
    for _ in range(6):
        assert cluster._evict_idle()


@pytest.mark.parametrize(
    "action", [apply_list_changes, sweep, evict_idle_connections], ids=lambda action: action.__name__
)
def test_work_does_not_grow_with_the_fleet(action: Callable[[UpstreamCluster], None]) -> None:
    # With sixteen times the endpoints, each change of the list iterated over the pools of all endpoints (2.3
    # ms at 3,200), and so did the sweep of idle connections, each second.
    async def test() -> tuple[int, int]:
        usual, large = await full_cluster(USUAL_ENDPOINTS), await full_cluster(LARGE_ENDPOINTS)
        return count_opcodes(lambda: action(usual)), count_opcodes(lambda: action(large))

    usual_opcodes, large_opcodes = asyncio.run(test())
    assert usual_opcodes > 300, "no byte codes were counted"
    assert large_opcodes <= MAX_GROWTH * usual_opcodes


def test_state_of_an_endpoint_is_small() -> None:
    async def test() -> float:
        cluster = UpstreamCluster(0.15, 30.0, 100)
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            cluster.apply_endpoint_list(make_endpoint_list(range(LARGE_ENDPOINTS), snapshot=True))
            return (tracemalloc.get_traced_memory()[0] - before) / LARGE_ENDPOINTS
        finally:
            tracemalloc.stop()

    assert asyncio.run(test()) <= MAX_STATE_BYTES


def test_only_an_endpoint_that_drains_or_is_removed_loses_its_idle_connections() -> None:
    async def test() -> None:
        cluster = UpstreamCluster(0.15, 30.0, 100)
        cluster.apply_endpoint_list(make_endpoint_list(range(4), snapshot=True))
        pools = list(cluster.pools.values())
        idle = [idle_connection(pool) for pool in pools]
        leaving_pools: list[EndpointConnectionPool] = []
        cluster.on_endpoint_leaving = leaving_pools.append
        cluster.apply_endpoint_list(make_endpoint_list(range(1), "Terminating"))
        assert [is_aborted(conn) for conn in idle] == [True, False, False, False] and leaving_pools == pools[
            :1
        ]
        cluster.apply_endpoint_list(make_endpoint_list(range(1, 2), "Gone"))
        assert [is_aborted(conn) for conn in idle] == [True, True, False, False] and leaving_pools == pools[
            :2
        ]
        assert list(cluster.pools.values()) == [pools[0], *pools[2:]]
        cluster.apply_endpoint_list(make_endpoint_list(range(3, 4), snapshot=True))
        assert [is_aborted(conn) for conn in idle] == [True, True, True, False]
        assert list(cluster.pools.values()) == pools[3:]
        assert all(pool.state is EndpointState.REMOVED for pool in pools[1:3])
        assert list(cluster.idle_connections) == [idle[3]]

    asyncio.run(test())


def test_an_unknown_endpoint_that_is_listed_as_gone_gets_no_pool() -> None:
    async def test() -> None:
        cluster = UpstreamCluster(0.15, 30.0, 100)
        cluster.apply_endpoint_list(make_endpoint_list(range(2), "Gone"))
        assert not cluster.pools

    asyncio.run(test())


def test_the_sweep_closes_connections_of_all_pools_that_are_idle_for_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        cluster = UpstreamCluster(0.15, 30.0, 100)  # The cluster closes idle connections after 27 s.
        cluster.apply_endpoint_list(make_endpoint_list(range(4), snapshot=True))
        times = iter([100.0, 101.0, 110.0, 120.0])
        monkeypatch.setattr("service_proxy.net.upstream.endpoint_pool.time.monotonic", lambda: next(times))
        idle = [idle_connection(pool) for pool in cluster.pools.values()]
        monkeypatch.setattr("service_proxy.net.upstream.cluster.time.monotonic", lambda: 128.5)
        cluster._sweep()
        assert [is_aborted(conn) for conn in idle] == [True, True, False, False]
        assert list(cluster.idle_connections) == idle[2:]
        assert [len(pool.idle) for pool in cluster.pools.values()] == [0, 0, 1, 1]

    asyncio.run(test())


def test_the_connection_that_is_idle_the_longest_is_evicted_first() -> None:
    async def test() -> None:
        cluster = UpstreamCluster(0.15, 30.0, 100)
        cluster.apply_endpoint_list(make_endpoint_list(range(2), snapshot=True))
        first, second = cluster.pools.values()
        oldest = idle_connection(second)
        used = idle_connection(first)
        assert first.take_idle() is used
        first.release(used)  # The connection is now the most recently used one.
        between = idle_connection(second)
        assert cluster._evict_idle() and is_aborted(oldest)
        assert cluster._evict_idle() and is_aborted(used) and not is_aborted(between)
        assert cluster._evict_idle() and is_aborted(between)
        assert not cluster._evict_idle()

    asyncio.run(test())
