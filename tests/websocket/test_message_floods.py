"""Sessions that send many messages at once: turns, memory and time budgets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import AsyncIterator, Iterator

import pytest
import uvloop
from websocket_test_harness import TEST_TIMEOUT_S, UNLIMITED_RATE, run_test, running_websocket_proxy

from harness.proxy_process import process_memory_mb
from harness.websocket_frames import frame
from service_proxy.net.downstream import DownstreamConnection, HttpServer, UpgradeRequest
from service_proxy.net.downstream.request import LocalResponse, Request, ResponseWriter
from service_proxy.websocket.connection import (
    MAX_FRAMES_PER_TURN,
    MAX_MESSAGES_PER_TURN,
    WebSocketConnection,
)
from service_proxy.websocket.frame_codec import FrameCodec, MessageFragment
from service_proxy.websocket.listener import READ_BUFFER_BYTES
from service_proxy.websocket.message_memory import MessageMemory

TEXT, CONTINUATION = 1, 0
FLOOD_CLIENTS = 24
FLOOD_MESSAGES = 3000
USUAL_REQUESTS = 16
# Iterations of the event loop that a usual request takes: the test sends, the server reads and responds.
MAX_ITERATIONS_PER_REQUEST = 3
MEMORY_LIMIT_MB = 64
HANDSHAKE = (
    b"GET /pantalla HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
SWITCHING = b"HTTP/1.1 101 Switching Protocols\r\n\r\n"


class CountingOwner:
    """Owner of connections that counts frames, and notes when each message has arrived."""

    def __init__(self) -> None:
        self.frame_count = 0
        self.arrival_times: list[float] = []
        self.connection: WebSocketConnection | None = None

    def on_fragment(self, fragment: MessageFragment) -> None:
        self.frame_count += 1
        if fragment.is_last and self.connection is not None:
            self.arrival_times.append(self.connection.arrived_at)

    def on_closed(self, _code: int, _reason: str) -> None:
        pass

    def on_connection_lost(self) -> None:
        pass

    def on_backpressure(self, is_blocked: bool) -> None:
        pass

    def on_ping_timeout(self) -> None:
        pass


class NoRequests:
    """Handler of requests, which the tests never send."""

    def start_request(self, _request: Request, _writer: ResponseWriter) -> object:
        raise AssertionError

    def client_disconnected(self, _open_request: object) -> None:
        raise AssertionError


class Sessions:
    """Handler that accepts every upgrade, with one owner for all connections."""

    def __init__(self, server: HttpServer, owner: CountingOwner) -> None:
        self.server = server
        self.owner = owner
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.connections: list[WebSocketConnection] = []

    def start_upgrade(self, connection: DownstreamConnection, _upgrade: UpgradeRequest) -> None:
        accepted = WebSocketConnection(
            connection.detach(SWITCHING),
            FrameCodec(False, 65536),
            self.owner,
            self.read_buffer,
            self.server.read_turns,
            is_server=True,
        )
        self.owner.connection = accepted
        self.connections.append(accepted)


@contextlib.asynccontextmanager
async def listening(owner: CountingOwner) -> AsyncIterator[tuple[Sessions, tuple[str, int]]]:
    """Run an HTTP server that accepts WebSocket sessions; yield its sessions and its address."""
    pages = {b"/healthz": lambda: LocalResponse(200, b"ok\n")}
    server = HttpServer({}, NoRequests(), 1024, 192, pages)
    server.upgrade_handler = sessions = Sessions(server, owner)
    port = await server.listen("127.0.0.1", 0)
    yield sessions, ("127.0.0.1", port)
    server.stop_listening()
    for connection in sessions.connections:
        connection.abort()


async def open_session(address: tuple[str, int], queued_bytes: int) -> socket.socket:
    """Open a session on a socket whose buffer takes this number of bytes at once."""
    loop = asyncio.get_running_loop()
    client = socket.create_connection(address)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * queued_bytes)
    client.setblocking(False)
    await loop.sock_sendall(client, HANDSHAKE)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        assert await loop.sock_recv(client, len(SWITCHING)) == SWITCHING
    return client


def messages(count: int) -> bytes:
    return frame(TEXT, b"x" * 20) * count


def fragments(count: int) -> bytes:
    return frame(TEXT, b"x", fin=False) + frame(CONTINUATION, b"x", fin=False) * 900 + messages(count)


@pytest.mark.parametrize(
    ("data", "max_frames"),
    [(messages(FLOOD_MESSAGES), MAX_MESSAGES_PER_TURN), (fragments(FLOOD_MESSAGES), MAX_FRAMES_PER_TURN)],
    ids=["messages", "fragments"],
)
def test_messages_sent_at_once_are_processed_between_usual_requests(data: bytes, max_frames: int) -> None:
    """Guards against usual clients without an answer, while the proxy processes all that a session sent."""

    async def test() -> None:
        owner = CountingOwner()
        async with listening(owner) as (_, address):
            clients = [await open_session(address, len(data)) for _ in range(FLOOD_CLIENTS)]
            reader, writer = await asyncio.open_connection(*address)
            for client in clients:
                client.send(data)
            for _ in range(USUAL_REQUESTS):
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    assert (await reader.readuntil(b"ok\n")).startswith(b"HTTP/1.1 200 ")
            # Each session has its first frames processed as they arrive, and then one has its turn at a time.
            max_turns = MAX_ITERATIONS_PER_REQUEST * USUAL_REQUESTS
            assert owner.frame_count <= FLOOD_CLIENTS * MAX_FRAMES_PER_TURN + max_turns * max_frames
            writer.close()
            for client in clients:
                client.close()

    uvloop.run(test())


def test_a_message_that_waited_counts_from_its_arrival() -> None:
    """Guards against a time budget that begins when the proxy gets to a message, long after it was sent."""

    async def test() -> None:
        owner = CountingOwner()
        async with listening(owner) as (sessions, address):
            data = messages(FLOOD_MESSAGES)
            client = await open_session(address, len(data))
            sessions.connections[0].set_paused(True)
            sent = client.send(data)
            assert sent > READ_BUFFER_BYTES
            sent_by = time.monotonic()
            count = sent // len(messages(1))
            await asyncio.sleep(0.3)  # The messages wait meanwhile, all of them unread in the socket.
            sessions.connections[0].set_paused(False)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while len(owner.arrival_times) < count:
                    await asyncio.sleep(0)
            assert max(owner.arrival_times) <= sent_by
            client.close()

    uvloop.run(test())


def test_bodies_of_messages_keep_the_process_within_its_memory_limit() -> None:
    """Guards against bodies of messages that no limit counts, or that stay after their outcomes."""

    async def test() -> None:
        config = UNLIMITED_RATE + "open_messages = 1000\n"
        overrides = {"limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 512}}
        async with running_websocket_proxy(
            config=config, overrides=overrides, service_time=0.5
        ) as deployment:
            clients = [await deployment.connect("/pantalla") for _ in range(30)]
            body = "x" * 60_000

            async def send(number: int) -> None:
                client = clients[number]
                await client.read_json()
                for n in range(50):
                    client.send(json.dumps({"id": f"{number}-{n}", "class": "canje", "body": body}))
                    await client.writer.drain()
                await client.read_outcomes(50)

            await asyncio.gather(*(send(number) for number in range(len(clients))))
            assert process_memory_mb(deployment.proxy.process.pid, "VmHWM") <= MEMORY_LIMIT_MB

    run_test(test())


class Receiver:
    """Receiver of a message that can be given up."""

    def __init__(self, memory: MessageMemory) -> None:
        self.memory = memory
        self.is_given_up = False

    def on_no_room(self) -> None:
        self.is_given_up = True
        self.memory.release_arriving(self)


def receivers(memory: MessageMemory, sizes: list[int]) -> Iterator[Receiver]:
    for size in sizes:
        receiver = Receiver(memory)
        assert memory.reserve_arriving(receiver, size)
        yield receiver


def test_messages_that_are_never_complete_make_room_for_smaller_ones() -> None:
    """Guards against clients that take all the memory of messages with messages that they never complete."""
    memory = MessageMemory(200)
    small, large, middle = receivers(memory, [20, 50, 30])
    other = Receiver(memory)
    assert memory.reserve_arriving(other, 10)
    assert [receiver.is_given_up for receiver in (small, large, middle)] == [False, True, False]
    assert memory.arriving_bytes == 60
    for receiver in (small, middle, other):
        memory.release_arriving(receiver)
    assert memory.arriving_bytes == 0


def test_a_message_does_not_make_room_for_itself() -> None:
    """Guards against bytes that stay reserved for a message that was given up."""
    memory = MessageMemory(200)
    (receiver,) = receivers(memory, [60])
    assert not memory.reserve_arriving(receiver, 50)
    assert not receiver.is_given_up
    memory.release_arriving(receiver)
    assert memory.arriving_bytes == 0


def test_pending_and_arriving_messages_have_room_beside_each_other() -> None:
    """Guards against connections closed in the middle of a message, as others wait for an outcome."""
    memory = MessageMemory(200)
    assert memory.reserve_pending(100)
    assert not memory.reserve_pending(1)
    assert memory.reserve_arriving(Receiver(memory), 100)
    memory.release_pending(100)
    assert memory.reserve_pending(100)
