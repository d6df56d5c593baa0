"""Last check before an attempt's first byte, which detects changes since the decision to send."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import math
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
import uvloop
from net_harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    config,
    endpoint_entry,
    endpoint_list,
    get_request,
    next_request,
    proxy_under_test,
    response,
    run_async,
)
from socket_helpers import SlowConnectListener, fin, half_close, reset

from service_proxy.composition import Proxy
from service_proxy.net.attempt_start import AttemptStart
from service_proxy.net.config import parse_config
from service_proxy.net.upstream import UpstreamAttempt

STALL_S = 0.15  # Longest stall between a clock reading and a write that the operators' page allows.
KEY_WINDOW_S = 0.6
SOCKET_SLACK_S = 0.05  # Tolerance that the operators' page adds to each time limit on sockets.
MIN_CONNECT_S = 0.9  # Shortest duration of a connect to a SlowConnectListener.
TEST_DELAY_SLACK_S = 0.4  # Tolerance for the test's own delay between the write and the clock reading.
SETTLE_S = 0.3  # Time within which every request that the proxy is going to send has arrived.


PIPELINED_BYTES = {
    "nothing": b"",
    "a request": get_request("9"),
    "many": b"".join(map(get_request, "34567890" * 99)),
}


def classes_with_long_objectives() -> list[dict[str, Any]]:
    """Return all request classes with an objective as long as the deadline.

    An attempt may then use all of the client's time.
    """
    request_classes: list[dict[str, Any]] = copy.deepcopy(SETTINGS["grades"])
    for request_class in request_classes:
        request_class["objective"] = request_class["deadline"] = 9.0
        if request_class["effect"] == "by_key":
            request_class["window"] = KEY_WINDOW_S
    return request_classes


@contextlib.asynccontextmanager
async def proxy_in_this_loop(
    *endpoints: EndpointServer, **policy_limits: Any
) -> AsyncIterator[tuple[Proxy, tuple[str, int]]]:
    """Run a proxy in the test's own event loop.

    The test can block the loop between two lines. Nothing is read in the meantime, as in a stall.
    """
    discovery = await DiscoveryServer().start()
    for endpoint in endpoints:
        await endpoint.start()
    initial_list = endpoint_list(
        1, *(endpoint_entry(f"s-{n}", endpoint_server.address) for n, endpoint_server in enumerate(endpoints))
    )
    limits = {**SETTINGS["policy_limits"], "probes": False, **policy_limits}
    raw = config(
        discovery.address,
        initial_list,
        "127.0.0.1:0",
        policy_limits=limits,
        grades=classes_with_long_objectives(),
    )
    proxy = Proxy(parse_config(raw, {}), None)
    await proxy.start()
    assert proxy.server.listener is not None
    try:
        yield proxy, proxy.server.listener.sockets[0].getsockname()[:2]
    finally:
        proxy.stop()
        proxy.server.stop_listening()
        for endpoint in endpoints:
            await endpoint.stop()


def connect(address: tuple[str, int]) -> socket.socket:
    raw = socket.create_connection(address)
    raw.setblocking(False)
    return raw


async def open_idle_connections(proxy: Proxy, connections: int) -> None:
    """Leave idle connections to the endpoint, on which the next attempts start at once."""
    cluster = proxy.dispatcher.cluster
    (pool,) = cluster.pools.values()
    ended: asyncio.Queue[UpstreamAttempt] = asyncio.Queue()
    for number in range(connections):
        cluster.start_attempt(
            UpstreamAttempt(pool, get_request(f"e{number}"), 5.0, lambda: True, ended.put_nowait)
        )
    async with asyncio.timeout(TEST_TIMEOUT_S):
        for _ in range(connections):
            assert (await ended.get()).status_code == 200
    await asyncio.sleep(0.01)
    assert len(pool.idle) == connections


async def wait_for_open_requests(proxy: Proxy, count: int) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while len(proxy.dispatcher.open_requests) < count:
            await asyncio.sleep(0)


@pytest.mark.parametrize("behind", PIPELINED_BYTES)
@pytest.mark.parametrize("end", [fin, half_close, reset])
def test_a_first_attempt_decided_before_the_clients_disconnect_is_read_is_not_sent(
    end: Callable[[socket.socket], None], behind: str
) -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await open_idle_connections(proxy, 1)
            await next_request(endpoint)
            raw = connect(address)
            flush = proxy.dispatcher.policy.flush
            proxy.dispatcher.policy.flush = lambda: None  # type: ignore[method-assign]  # the batch is late
            raw.send(get_request("2") + PIPELINED_BYTES[behind])
            await wait_for_open_requests(proxy, 1)
            end(raw)
            proxy.dispatcher.policy.flush = flush  # type: ignore[method-assign]
            flush()
            await asyncio.sleep(SETTLE_S)
            assert endpoint.received.empty()
            assert not proxy.dispatcher.open_requests and not proxy.server.connections
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize(
    "leaves", [True, False], ids=["its client disconnects", "its client stays connected"]
)
def test_a_retry_decided_before_the_clients_disconnect_is_read_is_not_sent(leaves: bool) -> None:
    """The attempt fails and its client disconnects in one iteration of the event loop, as after a stall."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if "e" in received.headers["x-call-id"]:
                writer.write(response(200))

        endpoint = EndpointServer(respond)
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await open_idle_connections(proxy, 2)
            raw = connect(address)
            raw.send(get_request("2"))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while endpoint.received_count < 3:
                    await asyncio.sleep(0)
            (attempt,) = proxy.dispatcher.table.attempts_in_flight.values()
            if leaves:
                raw.close()
            attempt.on_response(500, [], b"")  # The response is delivered as if it were read now.
            proxy.dispatcher.policy.flush()
            await asyncio.sleep(SETTLE_S)
            assert endpoint.received_count == (3 if leaves else 4)
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize("end", [fin, half_close, reset])
def test_requests_of_clients_that_disconnect_during_a_stall_at_full_load_are_not_forwarded(
    end: Callable[[socket.socket], None],
) -> None:
    """The awaited capacity is free at the end of the stall, and timers run before sockets are read."""

    async def test() -> None:
        pending_writers: list[asyncio.StreamWriter] = []
        has_capacity = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if has_capacity:
                writer.write(response(200))
            else:
                pending_writers.append(writer)

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            first = [await proxy.connect() for _ in range(12)]
            for number, client in enumerate(first):
                client.send("canje", f"c{number:015d}", budget="5000m")
            await next_request(endpoint)
            disconnecting_clients = [connect(proxy.address) for _ in range(300)]
            for number, raw in enumerate(disconnecting_clients):
                raw.send(get_request(f"a{number}") + get_request(f"b{number}") * (number % 3))
            assert (
                await (await proxy.connect()).send_raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            ).status_code == 200
            await asyncio.sleep(0.1)
            proxy.process.send_signal(signal.SIGSTOP)
            has_capacity = True
            for writer in pending_writers:
                writer.write(response(200))
            for raw in disconnecting_clients:
                end(raw)
            await asyncio.sleep(STALL_S)
            received_before = endpoint.received_count
            proxy.process.send_signal(signal.SIGCONT)
            remaining_client = await proxy.connect()
            # The proxy sheds the first requests, because the load was at its limit.
            async with asyncio.timeout(TEST_TIMEOUT_S):
                number = 0
                while (await remaining_client.request("stock", f"d{number:015d}")).status_code != 200:
                    number += 1
            await asyncio.sleep(SETTLE_S)
            ids = [
                endpoint.received.get_nowait().headers["x-call-id"] for _ in range(endpoint.received.qsize())
            ]
            assert not [id for id in ids[received_before - 1 :] if "a" in id or "b" in id]
            for raw in disconnecting_clients:
                raw.close()

    run_async(test())


def budget_header_s(received: bytes) -> float:
    """Return the time left (s) from the X-Budget line of a request's raw bytes."""
    (line,) = [line for line in received.lower().split(b"\r\n") if line.startswith(b"x-budget:")]
    number = line.split(b":")[1].strip()
    assert number.endswith(b"u")
    return int(number[:-1]) / 1e6


def test_the_budget_sent_after_a_slow_connect_is_the_clients_time_left() -> None:
    """The connect takes about a second; the X-Budget line is written when the attempt starts."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        discovery = await DiscoveryServer().start()
        slow_endpoint = SlowConnectListener()
        initial_list = endpoint_list(1, endpoint_entry("s-1", slow_endpoint.address))
        limits = {**SETTINGS["policy_limits"], "connect_timeout": 8.0, "probes": False}
        raw = config(
            discovery.address,
            initial_list,
            "127.0.0.1:0",
            policy_limits=limits,
            grades=classes_with_long_objectives(),
        )
        proxy = Proxy(parse_config(raw, {}), None)
        await proxy.start()
        assert proxy.server.listener is not None
        client = connect(proxy.server.listener.sockets[0].getsockname()[:2])
        sent_at = time.monotonic()
        client.send(get_request("2"))  # The request has a time budget of 5 s.
        await slow_endpoint.wait_for_connects(1)
        received = await slow_endpoint.first_bytes()
        elapsed = time.monotonic() - sent_at
        assert elapsed > MIN_CONNECT_S and budget_header_s(received) <= 5.0 - elapsed + TEST_DELAY_SLACK_S
        proxy.stop()
        proxy.server.stop_listening()
        client.close()
        slow_endpoint.close()
        loop.call_soon(discovery.server.close)  # type: ignore[union-attr]

    uvloop.run(test())


@pytest.mark.parametrize("attempt", [1, 2], ids=["first attempt", "retry"])
def test_the_budget_sent_after_a_stall_is_the_clients_time_left(attempt: int) -> None:
    """A stall of 0.15 s separates the clock reading that decided on the attempt from its first byte."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(200 if "e" in received.headers["x-call-id"] else 500))

        endpoint = EndpointServer(respond)
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await open_idle_connections(proxy, 2)
            for _ in range(2):
                await next_request(endpoint)
            raw = connect(address)
            raw.send(get_request("2"))
            sent_at = time.monotonic()
            await wait_for_open_requests(proxy, 1)
            if attempt == 2:
                await next_request(endpoint)
            cluster = proxy.dispatcher.cluster
            start_attempt = cluster.start_attempt
            write_at = 0.0

            def start_late(attempt: UpstreamAttempt) -> None:
                nonlocal write_at
                time.sleep(STALL_S)
                write_at = time.monotonic()
                start_attempt(attempt)

            cluster.start_attempt = start_late  # type: ignore[method-assign]
            received = await next_request(endpoint)
            time_left = 5.0 - (write_at - sent_at)
            budget_s = int(received.headers["x-budget"].removesuffix("u")) / 1e6
            assert write_at and budget_s <= time_left
            raw.close()

    uvloop.run(test())


def test_an_attempt_whose_deadline_passes_before_its_first_byte_is_not_sent() -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await open_idle_connections(proxy, 1)
            await next_request(endpoint)
            start_attempt = proxy.dispatcher.cluster.start_attempt

            def start_late(attempt: UpstreamAttempt) -> None:
                time.sleep(STALL_S)
                start_attempt(attempt)

            proxy.dispatcher.cluster.start_attempt = start_late  # type: ignore[method-assign]
            raw = connect(address)
            raw.send(get_request("2").replace(b"5000m", b"%dm" % (1000 * STALL_S)))
            answer = await asyncio.get_running_loop().sock_recv(raw, 1000)
            assert answer.startswith(b"HTTP/1.1 503")
            await asyncio.sleep(SETTLE_S)
            assert endpoint.received.empty()
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize("when", ["the check is late", "the check is in time, the write is late"])
def test_a_keyed_retry_is_sent_within_its_window_or_not_at_all(when: str) -> None:
    """A slow connect, or a stall of 0.15 s after the last check, may delay the retry beyond the window."""

    async def test() -> None:
        received_at: list[float] = []

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if "e" in received.headers["x-call-id"]:
                writer.write(response(200))
                return
            received_at.append(time.monotonic())
            writer.write(response(500))

        endpoint = EndpointServer(respond)
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await open_idle_connections(proxy, 2)
            start_attempt = proxy.dispatcher.cluster.start_attempt

            send_by = 0.0

            def start_late(attempt: UpstreamAttempt) -> None:
                nonlocal send_by
                start = attempt.can_start
                assert isinstance(start, AttemptStart)
                if math.isfinite(start.send_by):
                    send_by = start.send_by
                    if when == "the check is late":
                        time.sleep(send_by + 0.005 - time.monotonic())
                    # The call comes after the check and delays the write to the latest time that the
                    # operators' page allows.
                    else:
                        attempt.time_left = lambda: (
                            time.sleep(send_by + STALL_S - time.monotonic()) or 5.0  # type: ignore[func-returns-value]
                        )
                start_attempt(attempt)

            proxy.dispatcher.cluster.start_attempt = start_late  # type: ignore[method-assign]
            raw = connect(address)
            raw.send(
                b"POST /reserva HTTP/1.1\r\nHost: x\r\nX-Call-Id: 2222222222222222\r\nX-Budget: 5000m\r\n"
                b"Idempotency-Key: 1\r\nContent-Length: 0\r\n\r\n"
            )
            answer = await asyncio.get_running_loop().sock_recv(raw, 1000)
            assert answer.startswith(b"HTTP/1.1 50")
            await asyncio.sleep(SETTLE_S)
            assert len(received_at) == (1 if when == "the check is late" else 2)
            assert send_by + STALL_S - received_at[0] <= KEY_WINDOW_S + SOCKET_SLACK_S
            raw.close()

    uvloop.run(test())
