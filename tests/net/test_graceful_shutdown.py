"""Shutdown of the process and closing of connections: accepted and unread requests are still answered."""

from __future__ import annotations

import asyncio
import contextlib
import select
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop
from net_harness import (
    LONG_TIME_BUDGET,
    TEST_TIMEOUT_S,
    Client,
    DiscoveryServer,
    EndpointServer,
    ReceivedRequest,
    config,
    endpoint_list,
    get_request,
    long_timeout_settings,
    next_request,
    proxy_under_test,
    repeat_until_timely,
    run_async,
    start_proxy,
    suspend,
)

from harness.proxy_process import free_port
from service_proxy.__main__ import LISTENER_GRACE_S
from service_proxy.net.downstream import DownstreamConnection, HttpServer
from service_proxy.net.downstream.http_server import KEEP_ALIVE_TIMEOUT_S, REQUEST_TIMEOUT_S
from service_proxy.policy.settings_types import Idempotency

# Time (s) from SIGTERM to the earliest SIGKILL if the longest deadline is 3 s or more.
KILL_AFTER_S = 3.0 + 0.7


async def never_respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    pass


def test_requests_open_at_sigterm_are_answered_before_the_kill_although_all_endpoints_hang() -> None:
    """Requests that are sent, queued or partly received end only at the shutdown deadline."""

    async def test() -> None:
        endpoint = EndpointServer(never_respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            clients = [await proxy.connect() for _ in range(12)]
            for number, client in enumerate(clients):
                cls = ("stock", "reserva", "canje")[number % 3]
                client.send(cls, f"{number:016x}", budget="9000m")
            partial_client = await proxy.connect()
            partial_client.writer.write(b"GET /stock HTTP/1.1\r\nHost: x\r\n")
            await next_request(endpoint)
            proxy.terminate(KILL_AFTER_S)
            proxy.terminate()  # A second SIGTERM has no effect.
            for client in clients:
                assert (await client.response()).status_code in (502, 503, 504)
            assert await proxy.exit_code() == 0
            assert proxy.process.stderr is not None
            assert b"Traceback" not in await proxy.process.stderr.read()

    run_async(test())


class ImmediateHandler:
    """Request handler that answers each request at once."""

    def start_request(self, request: Any, writer: Any) -> object:
        writer.respond(200, (), request.id)
        return None

    def client_disconnected(self, open_request: Any) -> None: ...


def evict_one(server: HttpServer) -> None:
    server._evict_one()


def close_idle(server: HttpServer) -> None:
    server.close_idle()


def close_all(server: HttpServer) -> None:
    server.close_idle(include_partial=True)


def run_timeouts(server: HttpServer) -> None:
    for connection in [*server.idle]:
        connection.close_unless_unread()
    for connection in [*server.awaiting_request]:
        DownstreamConnection.on_request_timeout(connection)


@pytest.mark.parametrize("is_new", [True, False], ids=["a new connection", "a reused connection"])
@pytest.mark.parametrize("close", [evict_one, close_idle, close_all, run_timeouts])
def test_an_unread_request_is_answered_and_an_idle_connection_is_closed(
    close: Callable[[HttpServer], None], is_new: bool
) -> None:
    """Guards against closing a connection whose next request is in the socket but not yet read."""

    async def test() -> None:
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, ImmediateHandler(), 256, 64, {})
        port = await server.listen("127.0.0.1", 0)
        sockets = []
        clients = []
        for number in range(2):
            sockets.append(socket.create_connection(("127.0.0.1", port)))
            sockets[-1].setblocking(False)
            clients.append(Client(*await asyncio.open_connection(sock=sockets[-1])))
            if not is_new:
                assert (await clients[-1].send_raw(get_request(str(number)))).status_code == 200
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(server.awaiting_request if is_new else server.idle) < 2:
                await asyncio.sleep(0)
        for connection in server.connections:
            # Simulates connections that have reached both timeouts.
            connection.state_since -= max(KEEP_ALIVE_TIMEOUT_S, REQUEST_TIMEOUT_S)
        # The oldest connection, which would be closed first.
        oldest = next(iter(server.awaiting_request if is_new else server.idle))
        assert oldest.transport is not None
        peer = oldest.transport.get_extra_info("peername")
        oldest_index = next(index for index, raw in enumerate(sockets) if raw.getsockname() == peer)
        sockets[oldest_index].send(get_request("9"))  # The loop does not run between this line and the next.
        close(server)
        assert (await clients[oldest_index].response()).body == b"9".rjust(16, b"0")
        assert await clients[1 - oldest_index].is_closed()
        server.stop_listening()
        for client in clients:
            client.writer.close()

    uvloop.run(test())


def test_a_request_after_the_shutdown_deadline_is_rejected_and_not_sent_to_an_endpoint() -> None:
    """Clients may send on persistent connections until SIGKILL."""

    async def test() -> None:
        endpoint = EndpointServer(never_respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            hanging_client = await proxy.connect()
            late_client = await proxy.connect()
            hanging_client.send("canje", "a" * 16, budget="9000m")
            await next_request(endpoint)
            proxy.terminate()
            assert (await hanging_client.response()).status_code in (502, 504)
            late_client.send("canje", "b" * 16, budget="9000m")
            if not await late_client.is_closed():  # A connection that stays open must answer the request.
                assert b" 503 " in await late_client.reader.readline()
            assert await proxy.exit_code() == 0
            assert endpoint.received_count == 1

    run_async(test())


@pytest.mark.parametrize("ends", [True, False], ids=["the endpoint continues", "the endpoint stalls"])
def test_a_response_streamed_at_sigterm_continues_until_the_kill_and_is_complete_or_visibly_truncated(
    ends: bool,
) -> None:
    async def test() -> None:
        may_continue = asyncio.Event()
        half = b"a" * 100_000

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half)
            await may_continue.wait()
            writer.write(half)

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            other_client = await proxy.connect()
            client.send("canje", "a" * 16, budget="9000m")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await client.reader.readexactly(100_000)).startswith(b"HTTP/1.1 200 ")
            proxy.terminate(KILL_AFTER_S)
            answer = await other_client.send_raw(get_request("404").replace(b"/stock", b"/nosuch"))
            assert answer.status_code == 404  # The proxy still serves requests after the signal.
            if ends:
                may_continue.set()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                received_bytes = b""
                with contextlib.suppress(ConnectionError):
                    received_bytes = await client.reader.read(-1)
            assert (received_bytes.endswith(half)) == ends and len(received_bytes) < len(half) + 100 * (
                1 + ends
            )
            assert await proxy.exit_code() == 0
            may_continue.set()

    run_async(test())


def test_a_response_without_length_that_is_cut_by_the_shutdown_does_not_look_complete() -> None:
    """Guards against a cut response that an HTTP/1.0 client takes for a whole one, as the process ends."""

    async def respond(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
        await asyncio.sleep(TEST_TIMEOUT_S)

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer(respond)}, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            client.writer.write(b"GET /stock HTTP/1.0\r\nX-Call-Id: a\r\nX-Budget: 9000m\r\n\r\n")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
                proxy.terminate(KILL_AFTER_S)
                with pytest.raises(ConnectionResetError):
                    await client.reader.read(-1)
            assert await proxy.exit_code() == 0

    run_async(test())


def test_responses_that_no_client_reads_do_not_delay_the_exit_beyond_the_kill() -> None:
    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                for _ in range(300):
                    writer.write(b"a" * 100_000)
                    await writer.drain()

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            raw = socket.create_connection(proxy.address)
            raw.send(get_request("1").replace(b"/stock", b"/stock?"))
            await next_request(endpoint)
            # The response has begun, and the client has not read it.
            while not select.select([raw], [], [], 0)[0]:
                await asyncio.sleep(0)
            proxy.terminate(KILL_AFTER_S)
            assert await proxy.exit_code() == 0
            raw.close()

    run_async(test())


def test_connections_in_the_listen_backlog_are_accepted_before_the_listener_closes() -> None:
    """Guards against a listener that closes before it accepts connections that arrived during a stall.

    After a stall, expired timers run before sockets are read. The process must be stopped before its listener
    closes.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()

        async def set_up(number: int) -> bool:
            async with proxy_under_test({"s-1": EndpointServer()}, **long_timeout_settings()) as proxy:
                client = await proxy.connect()
                assert (await client.request("stock", "1" * 16, LONG_TIME_BUDGET)).status_code == 200
                terminated_at = loop.time()
                proxy.terminate()
                try:
                    client = await proxy.connect()
                    assert (await client.request("stock", "2" * 16, LONG_TIME_BUDGET)).status_code == 200
                    await suspend(proxy.process)
                    late_client = await proxy.connect()  # The kernel accepts the connection and its request.
                except OSError:
                    assert loop.time() >= terminated_at + LISTENER_GRACE_S
                    return False
                if loop.time() >= terminated_at + LISTENER_GRACE_S:
                    return False
                late_client.send("stock", "3" * 16, LONG_TIME_BUDGET)
                await asyncio.sleep(LISTENER_GRACE_S)  # Duration of the stall.
                proxy.process.send_signal(signal.SIGCONT)
                assert (await late_client.response()).status_code == 200
                assert await proxy.exit_code() == 0
            return True

        await repeat_until_timely(set_up)

    run_async(test())


@pytest.mark.parametrize("when", ["at once", "before the first list"])
def test_sigterm_before_the_proxy_is_ready_ends_the_process_without_a_traceback(
    when: str, tmp_path: Path
) -> None:
    async def test() -> None:
        discovery = await DiscoveryServer().start()
        raw = config(discovery.address, endpoint_list(1), f"127.0.0.1:{free_port()}")
        process = await start_proxy(raw, str(tmp_path))
        assert process.stderr is not None
        if when != "at once":
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await discovery.polls.get()).startswith("/v1/servers")
        process.terminate()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            exit_code = await process.wait()
            assert b"Traceback" not in await process.stderr.read()
        # Before the event loop runs, SIGTERM kills the process; no request has been accepted yet.
        assert exit_code == 0 or (when == "at once" and exit_code == -signal.SIGTERM)

    run_async(test())
