"""Memory of the process while clients send messages in forms that use more memory than their bytes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import cast

import pytest
from long_messages import chunk, post_head
from net_harness import (
    TEST_TIMEOUT_S,
    Client,
    EndpointServer,
    ReceivedRequest,
    Responder,
    get_request,
    proxy_under_test,
    respond_ok,
    response,
    run_async,
)

from harness.proxy_process import process_memory_mb
from service_proxy.net.block_buffer import BlockBuffer
from service_proxy.net.downstream.connection import DownstreamConnection
from service_proxy.net.downstream.http_server import READ_BUFFER_BYTES, HttpServer
from service_proxy.net.downstream.input_buffer import MAX_READ_AHEAD_BYTES
from service_proxy.net.downstream.request import Request, ResponseWriter
from service_proxy.net.downstream.request_reader import MAX_POOLED_BODY_BYTES
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.net.request_body import STREAM_WINDOW_BYTES
from service_proxy.policy.settings_types import Idempotency

MEMORY_LIMIT_MB = 64  # Limit of the process under test, within the 32 to 192 MB of the operators' page.
WRITE_BYTES = 64 * 1024
TINY_CHUNK = chunk(b"x" * 16)


async def send_until_answered(client: Client, block: bytes, max_bytes: int) -> None:
    """Send a block again and again, until the proxy answers or closes, or `max_bytes` are sent."""
    answer = asyncio.ensure_future(client.reader.read(1))
    sent = 0
    with contextlib.suppress(ConnectionError):
        while sent < max_bytes and not answer.done():
            client.writer.write(block)
            await client.writer.drain()
            sent += len(block)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await answer
    answer.cancel()


async def wait_until_served(client: Client) -> None:
    """Send requests until one is served; requests may be shed right after the clients have sent at once."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        for number in itertools.count():
            reply = await client.request("stock", f"f{number:015x}")
            if reply.status_code == 200:
                return
            assert reply.status_code == 503
            await asyncio.sleep(float(reply.headers["retry-after"]))


def check_peak_memory(
    clients: int, send: Callable[[Client, int], Awaitable[None]], respond: Responder = respond_ok
) -> None:
    """Let many clients send at once, and check that the process stays within its memory limit."""

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer(respond)}, memory_mb=MEMORY_LIMIT_MB) as proxy:
            connected = [await proxy.connect() for _ in range(clients)]
            await asyncio.gather(*(send(client, number) for number, client in enumerate(connected)))
            assert proxy.process.returncode is None
            assert process_memory_mb(proxy.process.pid, "VmHWM") <= MEMORY_LIMIT_MB
            await wait_until_served(await proxy.connect())

    run_async(test())


@pytest.mark.parametrize("class_name", ["nada", "canje"], ids=["unknown-class", "known-class"])
def test_bodies_in_tiny_chunks_keep_the_process_within_its_memory_limit(class_name: str) -> None:
    """Guards against a limit on body bytes that is passed in memory, as each small chunk is an object."""

    async def send(client: Client, number: int) -> None:
        client.writer.write(post_head(f"{number:016x}", None, class_name))
        await send_until_answered(client, TINY_CHUNK * (WRITE_BYTES // len(TINY_CHUNK)), 8_000_000)

    check_peak_memory(24, send)


def test_heads_of_many_short_fields_keep_the_process_within_its_memory_limit() -> None:
    """Guards against a limit on head bytes that is passed in memory, as each field is three objects."""

    async def send(client: Client, number: int) -> None:
        client.writer.write(b"GET /stock HTTP/1.1\r\n" + b"a:b\r\n" * 6000)
        assert (await client.response()).status_code in (408, 431)

    check_peak_memory(150, send)


def test_queued_invalid_requests_keep_the_process_within_its_memory_limit() -> None:
    """Guards against queued errors that keep the frames alive in which they were raised."""
    invalid = b"GET /x HTTP/1.1\r\nHost:\r\n\r\n"

    async def respond_late(received_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if not received_request.headers["x-call-id"].startswith("f"):
            await asyncio.sleep(0.5)  # The invalid requests are queued behind the open one meanwhile.
        await respond_ok(received_request, writer)

    async def send(client: Client, number: int) -> None:
        first = get_request(f"{number:x}")
        client.writer.write(first + invalid * ((WRITE_BYTES - len(first)) // len(invalid)))
        statuses = [(await client.response()).status_code for _ in range(3)]
        assert statuses[1:] == [404, 404]

    check_peak_memory(20, send, respond_late)


class StuckEndpoint(EndpointServer):
    """Endpoint that reads the head of each POST and nothing of its body; it serves all other requests."""

    def __init__(self, on_stuck: Callable[[], None]) -> None:
        super().__init__()
        self.on_stuck = on_stuck

    async def start(self) -> EndpointServer:
        """Listen with a small receive buffer, so that the proxy holds what is not read."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=16 * 1024)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                writer.write(response(200, b"inflight=0,queue=0"))
            self.on_stuck()
            await writer.wait_closed()


@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_for_endpoints_that_read_nothing_keep_the_process_within_its_memory_limit(
    is_chunked: bool,
) -> None:
    """Guards against a body pool that no longer counts what waits in the write buffer of an endpoint."""
    size = MAX_POOLED_BODY_BYTES + 300_000
    piece = bytes(1000)
    body = chunk(piece) * (size // len(piece)) if is_chunked else bytes(size)

    async def test() -> None:
        is_on_its_way = asyncio.Event()
        endpoints: dict[str, EndpointServer] = {f"s-{n}": StuckEndpoint(is_on_its_way.set) for n in range(4)}
        async with proxy_under_test(endpoints, memory_mb=MEMORY_LIMIT_MB) as proxy:
            clients = []
            for number in range(30):
                client = await proxy.connect()
                head = post_head(f"{number:016x}", None if is_chunked else size + 1, budget="9000m")
                client.writer.write(head + body)
                clients.append(client)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await is_on_its_way.wait()
                is_on_its_way.clear()
            assert proxy.process.returncode is None
            assert process_memory_mb(proxy.process.pid, "VmHWM") <= MEMORY_LIMIT_MB
            for client in clients:
                client.writer.transport.abort()

    run_async(test())


def test_a_long_body_is_freed_when_its_client_leaves() -> None:
    """Guards against bodies in reference cycles, whose memory stays until a garbage collection."""
    size = MAX_POOLED_BODY_BYTES + 300_000

    async def test() -> None:
        is_on_its_way = asyncio.Event()
        endpoints: dict[str, EndpointServer] = {f"s-{n}": StuckEndpoint(is_on_its_way.set) for n in range(4)}
        async with proxy_under_test(endpoints, memory_mb=MEMORY_LIMIT_MB) as proxy:
            for number in range(100):
                client = await proxy.connect()
                head = post_head(f"{number:016x}", size + 1, budget="9000m")
                client.writer.write(head + bytes(size))
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await is_on_its_way.wait()
                is_on_its_way.clear()
                client.writer.transport.abort()
            assert process_memory_mb(proxy.process.pid, "VmHWM") <= MEMORY_LIMIT_MB

    run_async(test())


@pytest.mark.parametrize("size", [1, 2, 16, 100, 5000])
def test_the_memory_of_a_buffer_does_not_depend_on_the_size_of_its_pieces(size: int) -> None:
    """Guards against a bound on bytes that is passed in memory, on both sides of the proxy."""
    count = 1_000_000 // size
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        buffer = BlockBuffer()
        for _ in range(count):
            buffer.append(bytes(size))
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used <= 1.1 * count * size
    assert buffer.size == count * size
    assert b"".join(buffer.take()) == bytes(count * size)
    assert (buffer.size, buffer.blocks) == (0, [])


class FakeTransport:
    """Transport of a connection whose input the test supplies."""

    def __init__(self) -> None:
        self.written = b""
        self.is_reading = True
        self.socket = socket.socket(type=socket.SOCK_DGRAM)  # Never has input.

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, _name: str) -> socket.socket:
        return self.socket

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def close(self) -> None:
        pass

    write_eof = abort = close


class HoldingHandler:
    """Handler that leaves each request without a response."""

    def start_request(self, request: Request, _writer: ResponseWriter) -> object:
        return request

    def client_disconnected(self, _open_request: object) -> None:
        pass


class FedConnection:
    """Client connection of an HTTP server without sockets."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport = FakeTransport()
        self.connection = DownstreamConnection(server)
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    async def feed(self, data: bytes) -> None:
        """Pass input to the connection, one read buffer at a time, and let it take its turns."""
        while data:
            buffer = self.connection.get_buffer(-1)
            part, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(part)] = part
            self.connection.buffer_updated(len(part))
            await self.take_turns()

    async def take_turns(self) -> None:
        """Wait until the connection waits for no turn."""
        while self.connection.awaits_turn:
            await asyncio.sleep(0)


def http_server() -> HttpServer:
    classes = {"canje": Idempotency.NOT_IDEMPOTENT, "stock": Idempotency.IDEMPOTENT}
    return HttpServer(classes, HoldingHandler(), 1024, MEMORY_LIMIT_MB, {}, max_body_bytes=MAX_MESSAGE_BYTES)


def test_the_body_of_a_rejected_request_is_freed_with_its_share_of_the_pool() -> None:
    """Guards against a pool that new bodies fill while those of rejected requests are still in memory."""

    async def test() -> None:
        server = http_server()
        for class_name, text in (("nada", b"x" * 1_000_000), ("canje", b"x" * 1_000_000)):
            client = FedConnection(server)
            await client.feed(post_head("a" * 16, None, class_name) + chunk(text))
            assert bool(client.transport.written) == (class_name == "nada")
            # The chunk size is no number, so the rest of the message can't be read.
            await client.feed(b"zz\r\n")
            assert client.transport.written.startswith(b"HTTP/1.1 4")
            assert (server.pooled_bytes, client.connection.body.content.size) == (0, 0)

    run_async(test())


@pytest.mark.parametrize("status_code", [200, 503])
@pytest.mark.parametrize("size", [1_000_000, MAX_POOLED_BODY_BYTES + 300_000], ids=["no pool", "over pool"])
def test_the_body_of_an_answered_request_is_freed_while_its_client_stays(status_code: int, size: int) -> None:
    """Guards against bodies that stay in memory, and are not in the pool, until their clients close."""

    async def test() -> None:
        server = http_server()
        if size < MAX_POOLED_BODY_BYTES:
            server.pool_bytes = size // 2  # The body is streamed once the pool has no more room.
        client = FedConnection(server)
        await client.feed(post_head("a" * 16, size + 1) + bytes(size))
        request = client.connection.current_request
        assert request is not None and request.body.content.size > 0
        client.connection.respond(status_code, (), b"")
        await client.feed(b"x")
        assert client.transport.written.startswith(b"HTTP/1.1 %d" % status_code)
        assert (server.pooled_bytes, request.body.content.size, client.connection.body.content.size) == (
            0,
            0,
            0,
        )

    run_async(test())


def test_bodies_that_share_a_connection_have_shares_of_the_pool_of_their_own() -> None:
    """Guards against a pool that counts only one of two bodies, or is released while one is in use.

    The second body is not parsed, and no more of it is read, while the first request is open.
    """

    async def test() -> None:
        server = http_server()
        client = FedConnection(server)
        await client.feed(post_head("a" * 16, 300_000) + bytes(300_000))
        assert client.transport.is_reading
        second = post_head("b" * 16, 200_000) + bytes(100_000)
        ahead = second[:MAX_READ_AHEAD_BYTES]
        await client.feed(ahead)
        assert not client.transport.is_reading
        assert 300_000 <= server.pooled_bytes < 300_000 + READ_BUFFER_BYTES
        assert client.connection.input.size == len(ahead)
        client.connection.respond(200, (), b"")
        await client.take_turns()
        assert client.transport.is_reading
        await client.feed(second[len(ahead) :])
        assert 100_000 <= server.pooled_bytes < 300_000
        client.connection.connection_lost(None)
        assert server.pooled_bytes == 0

    run_async(test())


def test_a_body_that_waits_for_its_endpoint_keeps_its_share_of_the_pool() -> None:
    """Guards against buffered megabytes of a queued, streamed request that no limit counts."""

    async def test() -> None:
        server = http_server()
        client = FedConnection(server)
        size = MAX_POOLED_BODY_BYTES + 100_000
        await client.feed(post_head("a" * 16, size + 100_000) + bytes(size))
        body = client.connection.body
        assert not body.is_replayable
        # The rest of the body arrives, and the next request begins behind it.
        await client.feed(bytes(100_000) + post_head("b" * 16, 10))
        assert server.pooled_bytes >= MAX_POOLED_BODY_BYTES - len(server.read_buffer)
        share = server.pooled_bytes
        taken = 0
        while body.content.size:
            part_bytes = sum(map(len, body.take_parts()))
            # What the endpoint has not accepted stays in the buffer, where the pool counts it.
            assert part_bytes <= STREAM_WINDOW_BYTES + READ_BUFFER_BYTES
            assert server.pooled_bytes == min(share, max(0, body.content.size - STREAM_WINDOW_BYTES))
            taken += part_bytes
        assert taken == size + 100_000
        assert server.pooled_bytes == 0

    run_async(test())
