"""A connection ends while further requests arrive: only requests that were read are started and answered."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from typing import Any

import pytest
import uvloop
from net_harness import TEST_TIMEOUT_S, EndpointServer, get_request, next_request, proxy_under_test, run_async

from service_proxy.composition import drain_server
from service_proxy.net.downstream import HttpServer
from service_proxy.policy.settings_types import Idempotency


class DelayedHandler:
    """Handler that responds to each request with its id after a short delay, optionally as a stream.

    A streamed response has two parts.
    """

    def __init__(self, is_streaming: bool = False) -> None:
        self.is_streaming = is_streaming
        self.started_ids: list[str] = []
        self.response_count = 0
        self.release = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def start_request(self, request: Any, writer: Any) -> object:
        self.started_ids.append(request.id.decode())
        task = asyncio.get_running_loop().create_task(self._respond_later(request.id, writer))
        self.tasks.add(task)
        return object()

    async def _respond_later(self, id: bytes, writer: Any) -> None:
        if self.is_streaming:
            writer.stream((), 32, self)
            writer.write(b"." * 16)
        await self.release.wait()
        await asyncio.sleep(0.02)
        if self.is_streaming:
            writer.write(id)
            writer.finish()
        else:
            writer.respond(200, (), id)
        self.response_count += 1

    def stream_to(self, sink: Any) -> None: ...

    def pause(self) -> None: ...

    def client_disconnected(self, open_request: Any) -> None: ...


async def read_all(raw: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    read = b""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        try:
            while part := await loop.sock_recv(raw, 65536):
                read += part
        except ConnectionError:
            pass
    return read


def has_open_requests(handler: DelayedHandler) -> bool:
    return handler.response_count < len(handler.started_ids)


@pytest.mark.parametrize("is_streaming", [False, True], ids=["short answers", "streamed answers"])
@pytest.mark.parametrize("when", ["read before the end", "unread at the end", "read after the end"])
def test_pipelined_requests_get_responses_while_the_process_drains(when: str, is_streaming: bool) -> None:
    """Guards against requests that get no response because the process drains.

    A response that closes its connection would leave requests that were read ahead without a response.
    """

    async def test() -> None:
        handler = DelayedHandler(is_streaming)
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, handler, 256, 64, {})
        port = await server.listen("127.0.0.1", 0)
        raw = socket.create_connection(("127.0.0.1", port))
        raw.setblocking(False)
        ids = [f"{number:016x}" for number in range(1, 9)]
        requests = [get_request(id) for id in ids]
        raw.send(b"".join(requests) if when == "read before the end" else requests[0])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not handler.started_ids:
                await asyncio.sleep(0)
        if when == "unread at the end":
            raw.send(b"".join(requests[1:]))
        draining = asyncio.ensure_future(drain_server(server, lambda: has_open_requests(handler)))
        await asyncio.sleep(0.03)
        if when == "read after the end":
            raw.send(b"".join(requests[1:]))
            await asyncio.sleep(0.03)
        handler.release.set()
        read = await read_all(raw)
        assert [id for id in ids if id.encode() in read] == handler.started_ids == ids
        await draining
        raw.close()

    uvloop.run(test())


def test_all_requests_on_a_connection_beyond_the_limit_are_rejected() -> None:
    async def test() -> None:
        handler = DelayedHandler()
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, handler, 256, 64, {})
        server.max_served_connections = 1
        port = await server.listen("127.0.0.1", 0)
        busy, late = (socket.create_connection(("127.0.0.1", port)) for _ in range(2))
        for raw in (busy, late):
            raw.setblocking(False)
        busy.send(get_request("1"))
        late.send(get_request("2") + get_request("3") + get_request("4"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not handler.started_ids:
                await asyncio.sleep(0)
        read = await read_all(late)
        assert read.count(b"HTTP/1.1 503 ") == 3 and handler.started_ids == ["1".rjust(16, "0")]
        for raw in (busy, late):
            raw.close()
        server.stop_listening()

    uvloop.run(test())


@pytest.mark.parametrize("is_aborted", [False, True], ids=["closed", "aborted"])
def test_a_request_that_arrives_during_the_close_is_not_read(is_aborted: bool) -> None:
    """Guards against a request that is started on a connection that is already closing.

    The request arrives after the last check for input, so the close resets the connection. The previous
    response has already been sent.
    """

    async def test() -> None:
        handler = DelayedHandler()
        handler.release.set()
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, handler, 256, 64, {})
        port = await server.listen("127.0.0.1", 0)
        raw = socket.create_connection(("127.0.0.1", port))
        raw.setblocking(False)
        raw.send(get_request("1"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not server.idle:
                await asyncio.sleep(0)
        (connection,) = server.connections
        raw.send(get_request("2"))
        if is_aborted:
            connection.abort()
        else:
            connection.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while server.connections:
                await asyncio.sleep(0)
        assert raw.recv(1000).endswith(b"1".rjust(16, b"0"))
        with pytest.raises(ConnectionResetError):
            raw.recv(1000)
        assert handler.started_ids == ["1".rjust(16, "0")]
        raw.close()
        server.stop_listening()

    uvloop.run(test())


def test_a_client_connection_has_tcp_nodelay() -> None:
    """Guards against small responses that are lost at a close.

    Without TCP_NODELAY the kernel may delay a small response, and a close with unread bytes discards it.
    """

    async def test() -> None:
        server = HttpServer({}, DelayedHandler(), 256, 64, {})
        port = await server.listen("127.0.0.1", 0)
        raw = socket.create_connection(("127.0.0.1", port))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not server.connections:
                await asyncio.sleep(0)
        (connection,) = server.connections
        assert connection.transport is not None
        descriptor = connection.transport.get_extra_info("socket").fileno()
        with socket.socket(fileno=os.dup(descriptor)) as copy:
            assert copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1
        raw.close()
        server.stop_listening()

    uvloop.run(test())


def test_sighup_keeps_connections_and_requests_that_arrive_during_sigterm_get_responses() -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            assert (await client.request("stock", "1" * 16)).status_code == 200
            proxy.reload()
            await asyncio.sleep(0.3)
            assert (await client.request("stock", "2" * 16)).status_code == 200
            await next_request(endpoint)
            proxy.process.send_signal(signal.SIGSTOP)
            proxy.terminate()
            for number in range(3, 9):
                client.send("stock", str(number) * 16)
            proxy.process.send_signal(signal.SIGCONT)
            for _ in range(3, 9):
                assert (await client.response()).status_code in (200, 503)
            assert await client.is_closed() and await proxy.exit_code() == 0

    run_async(test())
