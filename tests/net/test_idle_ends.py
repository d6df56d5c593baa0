"""A connection ends while more comes on it: what was read is answered, what is not was never read."""

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


class Answering:
    """Answers each request with its id, a moment later; a stream in two parts."""

    def __init__(self, is_streaming: bool = False) -> None:
        self.is_streaming = is_streaming
        self.taken: list[str] = []
        self.answered = 0
        self.release = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def start_request(self, request: Any, writer: Any) -> object:
        self.taken.append(request.id.decode())
        task = asyncio.get_running_loop().create_task(self._answer(request.id, writer))
        self.tasks.add(task)
        return object()

    async def _answer(self, id: bytes, writer: Any) -> None:
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
        self.answered += 1

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


def has_unanswered(handler: Answering) -> bool:
    return handler.answered < len(handler.taken)


@pytest.mark.parametrize("is_streaming", [False, True], ids=["short answers", "streamed answers"])
@pytest.mark.parametrize("when", ["read before the end", "unread at the end", "read after the end"])
def test_many_requests_at_once_are_answered_though_the_process_ends(when: str, is_streaming: bool) -> None:
    """What was read ahead is taken: a response that closes its connection would leave it unanswered."""

    async def test() -> None:
        handler = Answering(is_streaming)
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, handler, 256, 64, {})
        port = await server.listen("127.0.0.1", 0)
        raw = socket.create_connection(("127.0.0.1", port))
        raw.setblocking(False)
        ids = [f"{number:016x}" for number in range(1, 9)]
        many = [get_request(id) for id in ids]
        raw.send(b"".join(many) if when == "read before the end" else many[0])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not handler.taken:
                await asyncio.sleep(0)
        if when == "unread at the end":
            raw.send(b"".join(many[1:]))
        draining = asyncio.ensure_future(drain_server(server, lambda: has_unanswered(handler)))
        await asyncio.sleep(0.03)
        if when == "read after the end":
            raw.send(b"".join(many[1:]))
            await asyncio.sleep(0.03)
        handler.release.set()
        read = await read_all(raw)
        assert [id for id in ids if id.encode() in read] == handler.taken == ids
        await draining
        raw.close()

    uvloop.run(test())


def test_what_was_read_on_a_connection_beyond_the_limit_is_all_rejected() -> None:
    async def test() -> None:
        handler = Answering()
        server = HttpServer({"stock": Idempotency.IDEMPOTENT}, handler, 256, 64, {})
        server.max_served_connections = 1
        port = await server.listen("127.0.0.1", 0)
        busy, late = (socket.create_connection(("127.0.0.1", port)) for _ in range(2))
        for raw in (busy, late):
            raw.setblocking(False)
        busy.send(get_request("1"))
        late.send(get_request("2") + get_request("3") + get_request("4"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not handler.taken:
                await asyncio.sleep(0)
        read = await read_all(late)
        assert read.count(b"HTTP/1.1 503 ") == 3 and handler.taken == ["1".rjust(16, "0")]
        for raw in (busy, late):
            raw.close()
        server.stop_listening()

    uvloop.run(test())


@pytest.mark.parametrize("is_aborted", [False, True], ids=["closed", "aborted"])
def test_a_request_that_crosses_the_close_itself_is_never_read(is_aborted: bool) -> None:
    """It came behind the last look: the close resets the connection, and the response before it has left."""

    async def test() -> None:
        handler = Answering()
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
        assert handler.taken == ["1".rjust(16, "0")]
        raw.close()
        server.stop_listening()

    uvloop.run(test())


def test_a_client_connection_has_tcp_nodelay() -> None:
    """Else small responses that the system holds back go with a close over unread bytes."""

    async def test() -> None:
        server = HttpServer({}, Answering(), 256, 64, {})
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


def test_sighup_ends_no_connection_of_a_client_and_sigterm_answers_what_crosses_it() -> None:
    async def test() -> None:
        endpoint = EndpointServer()
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            rests = await proxy.connect()
            assert (await rests.request("stock", "1" * 16)).status_code == 200
            proxy.reload()
            await asyncio.sleep(0.3)
            assert (await rests.request("stock", "2" * 16)).status_code == 200
            await next_request(endpoint)
            proxy.process.send_signal(signal.SIGSTOP)
            proxy.terminate()
            for number in range(3, 9):
                rests.send("stock", str(number) * 16)
            proxy.process.send_signal(signal.SIGCONT)
            for _ in range(3, 9):
                assert (await rests.response()).status_code in (200, 503)
            assert await rests.is_closed() and await proxy.exit_code() == 0

    run_async(test())
