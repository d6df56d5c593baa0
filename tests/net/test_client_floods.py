"""Clients that send hundreds of requests at once: memory, turns, order and deadlines."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from long_messages import post_head
from net_harness import TEST_TIMEOUT_S, Client, EndpointServer, get_request, proxy_under_test, run_async
from test_memory_limits import check_peak_memory

from harness.flood_clients import (
    FORMS,
    get_health,
    get_stock,
    get_unknown_class,
    post_chunks,
    post_small_body,
)
from service_proxy.net.downstream.http_server import (
    BASE_MEMORY_MB,
    CONNECTION_MEMORY_MB,
    LINGER_TIMEOUT_S,
    REJECTED_CONNECTION_MEMORY_MB,
    REQUEST_TIMEOUT_S,
    HttpServer,
)
from service_proxy.net.downstream.input_buffer import (
    MAX_READ_AHEAD_BYTES,
    MAX_SLICE_BYTES,
    InputBuffer,
    ReceivedBytes,
)
from service_proxy.net.downstream.request import LocalResponse, Request, ResponseWriter
from service_proxy.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from service_proxy.net.downstream.turn_reader import MAX_REQUESTS_PER_TURN, REJECTED_READ_BYTES
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.policy.settings_types import Idempotency

FLOOD_CLIENTS = 24
FLOOD_BYTES = 60_000  # Bytes of each client, which one read could take.
USUAL_REQUESTS = 16
# Iterations of the event loop that a usual request takes: the test sends, the server reads and responds.
MAX_ITERATIONS_PER_REQUEST = 3
USUAL_BODY_BYTES = 60_000
USUAL_BODY_READS = 4  # Reads and turns for a body of this length beyond those of a short request.
HIGH_WATER_BYTES = 64 * 1024  # Bytes in asyncio's write buffer from which the client does not keep up.


class CountingHandler:
    """Handler that responds at once, or leaves requests open, and notes what it was given."""

    def __init__(self, body: bytes = b"", is_holding: bool = False) -> None:
        self.body = body
        self.is_holding = is_holding
        self.requests: list[Request] = []
        self.writers: list[ResponseWriter] = []
        self.request_started = asyncio.Event()

    def start_request(self, request: Request, writer: ResponseWriter) -> object:
        self.requests.append(request)
        self.writers.append(writer)
        self.request_started.set()
        if not self.is_holding:
            writer.respond(200, (), self.body)
        return request

    def client_disconnected(self, _open_request: object) -> None:
        pass

    async def wait_for(self, count: int) -> None:
        """Wait until this number of requests has been started."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.requests) < count:
                self.request_started.clear()
                await self.request_started.wait()


@contextlib.asynccontextmanager
async def listening(handler: CountingHandler) -> AsyncIterator[tuple[HttpServer, tuple[str, int]]]:
    """Run an HTTP server with this handler; yield it with its address."""
    classes = {"stock": Idempotency.IDEMPOTENT, "canje": Idempotency.NOT_IDEMPOTENT}
    pages = {b"/healthz": lambda: LocalResponse(200, b"ok\n")}
    server = HttpServer(classes, handler, 1024, 192, pages, max_body_bytes=MAX_MESSAGE_BYTES)
    port = await server.listen("127.0.0.1", 0)
    yield server, ("127.0.0.1", port)
    server.stop_listening()
    for connection in list(server.connections):
        connection.abort()


def connect_and_send(address: tuple[str, int], data: bytes) -> socket.socket:
    """Connect, and send all bytes before the event loop runs again."""
    client = socket.create_connection(address)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(data))
    client.sendall(data)
    client.setblocking(False)
    return client


def flood_of(build: Callable[[str], bytes], number: int) -> bytes:
    """Return many requests of one client."""
    size = len(build("0"))
    return b"".join(build(f"{number}-{n}") for n in range(FLOOD_BYTES // size))


def test_valid_requests_sent_at_once_keep_the_process_within_its_memory_limit() -> None:
    """Guards against queued requests as objects, which take several times the memory of their bytes."""

    async def send(client: Client, number: int) -> None:
        client.writer.write(b"".join(get_stock(f"{number}-{n}") for n in range(900)))
        for _ in range(3):
            assert (await client.response()).status_code in (200, 503)

    check_peak_memory(150, send)


@pytest.mark.parametrize("form", ["valid", "unknown", "local", "small-bodies", "chunks"])
def test_a_flood_is_answered_in_turns_between_usual_requests(form: str) -> None:
    """Guards against usual requests without an answer, while all of a flood is answered in one go."""

    async def test() -> None:
        handler = CountingHandler()
        async with listening(handler) as (server, address):
            usual = socket.create_connection(address)
            usual.setblocking(False)
            loop = asyncio.get_running_loop()
            flood = [connect_and_send(address, flood_of(FORMS[form], n)) for n in range(FLOOD_CLIENTS)]
            for number in range(USUAL_REQUESTS):
                await loop.sock_sendall(usual, get_request(f"f{number}"))
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    assert b" 200 " in await loop.sock_recv(usual, 1000)
            answered = sum(connection.requests_read for connection in server.connections)
            # Each first request is answered at once, and then one client has a turn in each iteration.
            turns = MAX_ITERATIONS_PER_REQUEST * USUAL_REQUESTS
            assert answered <= FLOOD_CLIENTS + USUAL_REQUESTS + turns * MAX_REQUESTS_PER_TURN
            for client in (*flood, usual):
                client.close()

    uvloop.run(test())


@pytest.mark.parametrize("form", ["valid", "unknown", "small-bodies", "chunks"])
def test_a_request_with_a_body_does_not_wait_for_the_turns_of_a_flood(form: str) -> None:
    """Guards against late usual requests, because each read of a body waits behind all floods."""

    async def test() -> None:
        handler = CountingHandler()
        async with listening(handler) as (server, address):
            usual = socket.create_connection(address)
            usual.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * USUAL_BODY_BYTES)
            usual.setblocking(False)
            loop = asyncio.get_running_loop()
            flood = [connect_and_send(address, flood_of(FORMS[form], n)) for n in range(FLOOD_CLIENTS)]
            requests = USUAL_REQUESTS // 4
            for number in range(requests):
                head = post_head(f"{number:016x}", USUAL_BODY_BYTES)
                await loop.sock_sendall(usual, head + bytes(USUAL_BODY_BYTES))
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    assert b" 200 " in await loop.sock_recv(usual, 1000)
            answered = sum(connection.requests_read for connection in server.connections)
            turns = (MAX_ITERATIONS_PER_REQUEST + USUAL_BODY_READS) * requests
            assert answered <= FLOOD_CLIENTS + requests + turns * MAX_REQUESTS_PER_TURN
            for client in (*flood, usual):
                client.close()

    uvloop.run(test())


def test_a_client_that_reads_no_responses_gets_no_further_ones() -> None:
    """Guards against responses to pipelined requests that pile up in the write buffer."""

    async def test() -> None:
        handler = CountingHandler(body=bytes(10_000))
        async with listening(handler) as (server, address):
            client = connect_and_send(address, flood_of(get_stock, 0))
            await handler.wait_for(10)
            (connection,) = server.connections
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not connection.write_blocked:
                    await asyncio.sleep(0)
            started = len(handler.requests)
            for _ in range(100):
                await asyncio.sleep(0)
            assert len(handler.requests) == started < flood_of(get_stock, 0).count(b"GET")
            assert connection.unsent_bytes <= HIGH_WATER_BYTES + len(handler.body) + 1000
            client.close()

    uvloop.run(test())


@pytest.mark.parametrize("reads", [False, True], ids=["reads nothing", "reads slowly"])
def test_only_a_client_that_reads_its_responses_keeps_its_connection(reads: bool) -> None:
    """Guards against connections that stay for ever, and against requests lost to a slow reader."""

    async def test() -> None:
        handler = CountingHandler(body=bytes(100_000))
        async with listening(handler) as (server, address):
            loop = asyncio.get_running_loop()
            count = 60
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(address)
            client.sendall(b"".join(get_stock(f"0-{n}") for n in range(count)))
            client.setblocking(False)
            end = loop.time() + REQUEST_TIMEOUT_S + 2 * LINGER_TIMEOUT_S + 1.0
            received = 0
            while loop.time() < end and (reads or server.connections or not handler.requests):
                await asyncio.sleep(0.01)
                if reads:
                    received += len(await loop.sock_recv(client, 20_000))
            assert bool(server.connections) == reads
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while reads and received < count * len(handler.body):
                    received += len(await loop.sock_recv(client, 1_000_000))
            assert len(handler.requests) == count or not reads
            client.close()

    uvloop.run(test())


def test_a_client_that_reads_nothing_is_closed_also_after_a_streamed_request() -> None:
    """Guards against a completed streamed body that is taken for one whose receiver is slow."""

    async def test() -> None:
        handler = CountingHandler(body=bytes(100_000), is_holding=True)
        async with listening(handler) as (server, address):
            server.pool_bytes = 0  # A body that is too long for a connection's buffer is streamed.
            body = bytes(MAX_BUFFERED_BODY_BYTES + 1000)
            flood = b"".join(get_stock(f"0-{n}") for n in range(60))
            client = connect_and_send(address, post_head("a" * 16, len(body)) + body + flood)
            await handler.wait_for(1)
            streamed = handler.requests[0].body
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not streamed.is_complete:
                    streamed.take_parts()
                    await asyncio.sleep(0)
            assert not streamed.is_replayable
            handler.is_holding = False
            handler.writers[0].respond(200, (), handler.body)
            async with asyncio.timeout(REQUEST_TIMEOUT_S + 3 * LINGER_TIMEOUT_S):
                while server.connections:
                    await asyncio.sleep(0.01)
            client.close()

    uvloop.run(test())


def test_a_request_that_waited_in_the_socket_counts_from_its_arrival() -> None:
    """Guards against a deadline that begins when the proxy gets to a request, long after it was sent."""

    async def test() -> None:
        handler = CountingHandler(is_holding=True)
        async with listening(handler) as (_, address):
            count = 4 * MAX_READ_AHEAD_BYTES // len(get_stock("0-0"))
            client = connect_and_send(address, b"".join(get_stock(f"0-{n}") for n in range(count)))
            await handler.wait_for(1)
            sent_by = time.monotonic()
            await asyncio.sleep(0.3)  # The rest waits meanwhile, most of it unread in the socket.
            handler.is_holding = False
            handler.writers[0].respond(200, (), b"")
            await handler.wait_for(count)
            late = [request for request in handler.requests if request.received_at > sent_by]
            assert not late
            client.close()

    uvloop.run(test())


def test_a_body_that_waited_in_the_socket_counts_from_its_arrival() -> None:
    """Guards against a deadline that begins with the last read of a request that takes several reads."""

    async def test() -> None:
        handler = CountingHandler(is_holding=True)
        async with listening(handler) as (_, address):
            head = post_head("a" * 16, USUAL_BODY_BYTES)
            client = connect_and_send(address, get_request("0") + head + bytes(USUAL_BODY_BYTES))
            await handler.wait_for(1)
            sent_by = time.monotonic()
            await asyncio.sleep(0.3)  # The body waits meanwhile, most of it unread in the socket.
            handler.writers[0].respond(200, (), b"")
            await handler.wait_for(2)
            assert handler.requests[1].received_at <= sent_by
            client.close()

    uvloop.run(test())


def test_a_request_that_waited_longer_than_its_budget_is_answered_and_not_forwarded() -> None:
    """Guards against work for requests that waited behind others until their clients had given up."""

    async def respond_late(_request: object, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.5)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        endpoint = EndpointServer(respond_late)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.send("canje", "a" * 16, "3000m")
            client.send("canje", "b" * 16, "200m")
            client.send("canje", "c" * 16, "3000m")
            replies = [await client.response() for _ in range(3)]
            assert [reply.status_code for reply in replies] == [200, 503, 200]
            assert replies[1].body == b"out of time\n"
            assert endpoint.received_count == 2

    run_async(test())


def test_a_flood_that_fills_the_served_connections_makes_room_for_a_usual_client() -> None:
    """Guards against usual clients that are rejected or aborted, while floods hold all connections."""

    async def test() -> None:
        handler = CountingHandler(is_holding=True)
        async with listening(handler) as (server, address):
            server.max_served_connections = 3
            server.max_connections = 8
            flood = [connect_and_send(address, flood_of(get_stock, n)[:3000]) for n in range(3)]
            await handler.wait_for(3)
            usual = connect_and_send(address, get_request("f0"))
            await handler.wait_for(4)
            assert handler.requests[-1].id.endswith(b"f0")
            assert sum(connection.over_limit for connection in server.connections) == 1
            (rejected,) = [n for n, c in enumerate(handler.writers) if getattr(c, "over_limit", False)]
            handler.writers[rejected].respond(200, (), b"")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                data = b""
                while b" 503 " not in data:
                    data += await asyncio.get_running_loop().sock_recv(flood[rejected], 100_000)
            for client in (*flood, usual):
                client.close()

    uvloop.run(test())


def test_a_rejected_flood_takes_no_place_of_a_served_connection() -> None:
    """Guards against usual clients that are rejected one by one, after each has made a flood give way."""

    async def test() -> None:
        handler = CountingHandler(is_holding=True)
        async with listening(handler) as (server, address):
            server.max_served_connections = 3
            server.max_connections = 8
            flood = [connect_and_send(address, flood_of(get_stock, n)[:3000]) for n in range(3)]
            await handler.wait_for(3)
            for number in range(6):
                usual = connect_and_send(address, get_request(f"f{number}"))
                await handler.wait_for(4 + number)
                assert handler.requests[-1].id.endswith(f"f{number}".encode())
                assert sum(connection.over_limit for connection in server.connections) == 1
                usual.close()
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while len(server.connections) > len(flood):
                        await asyncio.sleep(0)
            for client in flood:
                client.close()

    uvloop.run(test())


@pytest.mark.parametrize("memory_mb", [48, 64, 96, 192])
def test_clients_with_a_third_of_the_descriptors_find_a_connection(memory_mb: float) -> None:
    """Guards against connections that are aborted for memory that rejected requests do not need."""

    async def test() -> None:
        server = HttpServer({}, CountingHandler(), 1024, memory_mb, {}, max_body_bytes=MAX_MESSAGE_BYTES)
        served = server.max_served_connections
        rejected = server.max_connections - served
        free_mb = memory_mb - BASE_MEMORY_MB
        used_mb = served * CONNECTION_MEMORY_MB + rejected * REJECTED_CONNECTION_MEMORY_MB
        assert used_mb + server.pool_bytes / 1e6 <= free_mb
        if memory_mb >= 64:
            assert server.max_connections >= 1024 / 3

    uvloop.run(test())


@pytest.mark.parametrize("size", [60_000, 1_000_000])
def test_a_rejected_connection_holds_no_body(size: int) -> None:
    """Guards against the memory of bodies whose requests are rejected anyway."""

    async def test() -> None:
        handler = CountingHandler()
        async with listening(handler) as (server, address):
            server.max_served_connections = 0
            client = connect_and_send(address, post_head("a" * 16, size))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not server.connections:
                    await asyncio.sleep(0)
            (connection,) = server.connections
            await asyncio.get_running_loop().sock_sendall(client, bytes(size - 1))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while connection.body.received_bytes < size - 1 and not connection.discarding_input:
                    await asyncio.sleep(0)
            held = connection.body.content.size + connection.input.size
            assert held <= 2 * REJECTED_READ_BYTES and server.pooled_bytes == 0
            await asyncio.get_running_loop().sock_sendall(client, b"x")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert b" 503 " in await asyncio.get_running_loop().sock_recv(client, 1000)
            assert not handler.requests
            client.close()

    uvloop.run(test())


BUILDERS = (get_stock, get_unknown_class, get_health, post_small_body, post_chunks)


@given(
    kinds=st.lists(st.sampled_from(BUILDERS), min_size=1, max_size=30),
    cuts=st.lists(st.integers(1, 400), max_size=30),
)
def test_slices_are_the_input_whatever_the_reads(
    kinds: list[Callable[[str], bytes]], cuts: list[int]
) -> None:
    """Guards against bytes that are lost or repeated between two slices or reads."""
    data = b"".join(build(f"r-{n}") for n, build in enumerate(kinds))
    buffer = InputBuffer()
    offset = 0
    for cut in [*cuts, len(data)]:
        part = data[offset : offset + cut]
        offset += len(part)
        if part:
            buffer.append(ReceivedBytes(part, 2.0, 1.0))
    taken = b""
    while buffer.size:
        piece = buffer.take_slice(0)
        assert 0 < len(piece) <= MAX_SLICE_BYTES
        taken += piece
    assert taken == data


@pytest.mark.parametrize("step", [1, 7, 64, 1000, 100_000])
def test_pipelined_requests_of_all_forms_get_their_responses_in_order(step: int) -> None:
    """Guards against requests that are lost, joined or reordered between two slices or reads."""

    async def test() -> None:
        handler = CountingHandler()
        async with listening(handler) as (_, address):
            kinds = [BUILDERS[n % len(BUILDERS)] for n in range(40)]
            data = b"".join(build(f"r-{n}") for n, build in enumerate(kinds))
            reader, writer = await asyncio.open_connection(*address)
            for offset in range(0, len(data), step):
                writer.write(data[offset : offset + step])
                await asyncio.sleep(0)
            expected: dict[Callable[[str], bytes], int] = {get_unknown_class: 404}
            for build in kinds:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert int(head.split(b" ")[1]) == expected.get(build, 200)
                    lengths = [line for line in head.split(b"\r\n") if line.startswith(b"content-length")]
                    await reader.readexactly(int(lengths[0].partition(b":")[2]))
            started = [n for n, build in enumerate(kinds) if build not in (get_unknown_class, get_health)]
            assert [request.id for request in handler.requests] == [f"r-{n}".encode() for n in started]
            bodies: dict[Callable[[str], bytes], bytes] = {
                post_small_body: b"x" * 100,
                post_chunks: b"ab" * 20,
            }
            for number, request in zip(started, handler.requests, strict=True):
                assert b"".join(request.body.parts) == bodies.get(kinds[number], b"")
            writer.close()

    uvloop.run(test())
