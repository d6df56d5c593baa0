"""The last look before an attempt's first byte: what changed since it was decided on is seen there."""

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
from socket_helpers import Unreachable, fin, half_close, reset

from service_proxy.composition import Proxy
from service_proxy.net.attempt_start import AttemptStart
from service_proxy.net.config import parse_config
from service_proxy.net.upstream import UpstreamAttempt

STALL_S = 0.15  # for which the operators' page lets a proxy be held up between its clock and a write
KEY_WINDOW_S = 0.6
PAGE_SLACK_S = 0.05  # that it adds to each time limit on sockets
CONNECT_S = 0.9  # that such a connect takes at least
CLOCKS_S = 0.4  # of a test's own delay behind the write
SETTLED_S = 0.3  # in which what was going to be sent has come


BEHIND = {"nothing": b"", "a request": get_request("9"), "many": b"".join(map(get_request, "34567890" * 99))}


def patient_classes() -> list[dict[str, Any]]:
    """All classes with an aim as long as their deadline, so that an attempt has all the client's time."""
    made: list[dict[str, Any]] = copy.deepcopy(SETTINGS["grades"])
    for grade in made:
        grade["objective"] = grade["deadline"] = 9.0
        if grade["effect"] == "by_key":
            grade["window"] = KEY_WINDOW_S
    return made


@contextlib.asynccontextmanager
async def proxy_in_this_loop(
    *endpoints: EndpointServer, **policy_limits: Any
) -> AsyncIterator[tuple[Proxy, tuple[str, int]]]:
    """A proxy that the test can hold between two lines: nothing is read meanwhile, as in a stall."""
    discovery = await DiscoveryServer().start()
    for endpoint in endpoints:
        await endpoint.start()
    known = endpoint_list(1, *(endpoint_entry(f"s-{n}", each.address) for n, each in enumerate(endpoints)))
    limits = {**SETTINGS["policy_limits"], "probes": False, **policy_limits}
    raw = config(discovery.address, known, "127.0.0.1:0", policy_limits=limits, grades=patient_classes())
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


async def warm_up(proxy: Proxy, connections: int) -> None:
    """Leave connections to the endpoint that the next attempts begin on at once."""
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


async def until_open(proxy: Proxy, count: int) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while len(proxy.dispatcher.open_requests) < count:
            await asyncio.sleep(0)


@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize("end", [fin, half_close, reset])
def test_a_first_attempt_decided_before_the_clients_end_is_read_is_not_sent(
    end: Callable[[socket.socket], None], behind: str
) -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await warm_up(proxy, 1)
            await next_request(endpoint)
            raw = connect(address)
            flush = proxy.dispatcher.policy.flush
            proxy.dispatcher.policy.flush = lambda: None  # type: ignore[method-assign]  # the batch is late
            raw.send(get_request("2") + BEHIND[behind])
            await until_open(proxy, 1)
            end(raw)
            proxy.dispatcher.policy.flush = flush  # type: ignore[method-assign]
            flush()
            await asyncio.sleep(SETTLED_S)
            assert endpoint.received.empty()
            assert not proxy.dispatcher.open_requests and not proxy.server.connections
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize("leaves", [True, False], ids=["its client leaves", "its client stays"])
def test_a_retry_decided_before_the_clients_end_is_read_is_not_sent(leaves: bool) -> None:
    """The attempt fails and its client closes in one turn of the loop, as behind a stall."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if "e" in received.headers["x-call-id"]:
                writer.write(response(200))

        endpoint = EndpointServer(respond)
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await warm_up(proxy, 2)
            raw = connect(address)
            raw.send(get_request("2"))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while endpoint.received_count < 3:
                    await asyncio.sleep(0)
            (attempt,) = proxy.dispatcher.table.attempts_in_flight.values()
            if leaves:
                raw.close()
            attempt.on_response(500, [], b"")  # as if read now
            proxy.dispatcher.policy.flush()
            await asyncio.sleep(SETTLED_S)
            assert endpoint.received_count == (3 if leaves else 4)
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize("end", [fin, half_close, reset])
def test_hundreds_that_leave_during_a_stall_at_full_load_are_not_forwarded(
    end: Callable[[socket.socket], None],
) -> None:
    """What they wait for is free as the stall ends, and timers come before sockets."""

    async def test() -> None:
        held: list[asyncio.StreamWriter] = []
        is_free = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if is_free:
                writer.write(response(200))
            else:
                held.append(writer)

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            first = [await proxy.connect() for _ in range(12)]
            for number, client in enumerate(first):
                client.send("canje", f"c{number:015d}", budget="5000m")
            await next_request(endpoint)
            leaving = [connect(proxy.address) for _ in range(300)]
            for number, raw in enumerate(leaving):
                raw.send(get_request(f"a{number}") + get_request(f"b{number}") * (number % 3))
            assert (
                await (await proxy.connect()).send_raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            ).status_code == 200
            await asyncio.sleep(0.1)
            proxy.process.send_signal(signal.SIGSTOP)
            is_free = True
            for writer in held:
                writer.write(response(200))
            for raw in leaving:
                end(raw)
            await asyncio.sleep(STALL_S)
            seen = endpoint.received_count
            proxy.process.send_signal(signal.SIGCONT)
            stays = await proxy.connect()
            async with asyncio.timeout(TEST_TIMEOUT_S):  # it is shed at first: the load was full
                number = 0
                while (await stays.request("stock", f"d{number:015d}")).status_code != 200:
                    number += 1
            await asyncio.sleep(SETTLED_S)
            ids = [
                endpoint.received.get_nowait().headers["x-call-id"] for _ in range(endpoint.received.qsize())
            ]
            assert not [id for id in ids[seen - 1 :] if "a" in id or "b" in id]
            for raw in leaving:
                raw.close()

    run_async(test())


def told_s(received: bytes) -> float:
    """What a request as it was written tells its endpoint of the time left."""
    (line,) = [line for line in received.lower().split(b"\r\n") if line.startswith(b"x-budget:")]
    number = line.split(b":")[1].strip()
    assert number.endswith(b"u")
    return int(number[:-1]) / 1e6


def test_the_time_told_after_a_slow_connect_is_what_is_left_to_the_client() -> None:
    """The connect takes about a second; the line is written when the attempt begins."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        discovery = await DiscoveryServer().start()
        late = Unreachable()
        known = endpoint_list(1, endpoint_entry("s-1", late.address))
        limits = {**SETTINGS["policy_limits"], "connect_timeout": 8.0, "probes": False}
        raw = config(discovery.address, known, "127.0.0.1:0", policy_limits=limits, grades=patient_classes())
        proxy = Proxy(parse_config(raw, {}), None)
        await proxy.start()
        assert proxy.server.listener is not None
        client = connect(proxy.server.listener.sockets[0].getsockname()[:2])
        sent_at = time.monotonic()
        client.send(get_request("2"))  # with 5 s
        await late.tried(1)
        received = await late.first()
        waited = time.monotonic() - sent_at
        assert waited > CONNECT_S and told_s(received) <= 5.0 - waited + CLOCKS_S
        proxy.stop()
        proxy.server.stop_listening()
        client.close()
        late.close()
        loop.call_soon(discovery.server.close)  # type: ignore[union-attr]

    uvloop.run(test())


@pytest.mark.parametrize("attempt", [1, 2], ids=["first attempt", "retry"])
def test_the_time_told_behind_a_stall_is_what_is_left_to_the_client(attempt: int) -> None:
    """0.15 s pass between the clock that decided on the attempt and its first byte."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(200 if "e" in received.headers["x-call-id"] else 500))

        endpoint = EndpointServer(respond)
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await warm_up(proxy, 2)
            for _ in range(2):
                await next_request(endpoint)
            raw = connect(address)
            raw.send(get_request("2"))
            sent_at = time.monotonic()
            await until_open(proxy, 1)
            if attempt == 2:
                await next_request(endpoint)
            cluster = proxy.dispatcher.cluster
            start_attempt = cluster.start_attempt
            begun_at = 0.0

            def start_late(attempt: UpstreamAttempt) -> None:
                nonlocal begun_at
                time.sleep(STALL_S)
                begun_at = time.monotonic()
                start_attempt(attempt)

            cluster.start_attempt = start_late  # type: ignore[method-assign]
            received = await next_request(endpoint)
            left = 5.0 - (begun_at - sent_at)
            told = int(received.headers["x-budget"].removesuffix("u")) / 1e6
            assert begun_at and told <= left
            raw.close()

    uvloop.run(test())


def test_an_attempt_whose_time_has_passed_before_its_first_byte_is_not_sent() -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_in_this_loop(endpoint) as (proxy, address):
            await warm_up(proxy, 1)
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
            await asyncio.sleep(SETTLED_S)
            assert endpoint.received.empty()
            raw.close()

    uvloop.run(test())


@pytest.mark.parametrize("when", ["the look is late", "the look is in time, the write late"])
def test_a_keyed_retry_leaves_within_its_window_or_not_at_all(when: str) -> None:
    """A connect, or a stall of 0.15 s behind the last look, may carry it over the end of the window."""

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
            await warm_up(proxy, 2)
            start_attempt = proxy.dispatcher.cluster.start_attempt

            send_by = 0.0

            def start_late(attempt: UpstreamAttempt) -> None:
                nonlocal send_by
                start = attempt.can_start
                assert isinstance(start, AttemptStart)
                if math.isfinite(start.send_by):
                    send_by = start.send_by
                    if when == "the look is late":
                        time.sleep(send_by + 0.005 - time.monotonic())
                    else:  # the latest write that the page wants allowed for: asked behind the look
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
            await asyncio.sleep(SETTLED_S)
            assert len(received_at) == (1 if when == "the look is late" else 2)
            assert send_by + STALL_S - received_at[0] <= KEY_WINDOW_S + PAGE_SLACK_S
            raw.close()

    uvloop.run(test())
