"""Clients that send faster than the proxy parses."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import uvloop
from long_messages import chunk, post_head
from net_harness import TEST_TIMEOUT_S, get_request

from service_proxy.net.downstream.http_server import READ_BUFFER_BYTES, HttpServer
from service_proxy.net.downstream.read_turns import ReadTurns
from service_proxy.net.downstream.request import Request, ResponseWriter
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.policy.settings_types import Idempotency

FAST_CLIENTS = 24
REQUESTS = 16  # Requests of the usual client, one after another.
MAX_ITERATIONS_PER_REQUEST = 3  # Read, response, and the iteration in which the test sends the next request.
QUEUED_BYTES = 1_000_000  # Bytes of each fast client that lie in the kernel's buffers before the proxy reads.


class RespondingHandler:
    """Handler that responds at once, and notes how many bytes the server had read by then."""

    def __init__(self) -> None:
        self.server: HttpServer | None = None
        self.bytes_at_request: list[int] = []
        self.request_started = asyncio.Event()

    def start_request(self, _request: Request, writer: ResponseWriter) -> object:
        assert self.server is not None
        received = sum(connection.raw_bytes for connection in self.server.connections)
        self.bytes_at_request.append(received)
        self.request_started.set()
        writer.respond(200, (), b"")
        return None

    def client_disconnected(self, _open_request: object) -> None:
        pass


def fill_socket(address: tuple[str, int], number: int) -> socket.socket:
    """Connect, and send a body in tiny chunks until the kernel's buffers are full."""
    client = socket.create_connection(address)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * QUEUED_BYTES)
    client.setblocking(False)
    tiny = chunk(b"x" * 16)
    data = post_head(f"{number:016x}", None) + tiny * (QUEUED_BYTES // len(tiny))
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[client.send(data) :]
    return client


async def send_and_wait(client: socket.socket, id: str, handler: RespondingHandler) -> None:
    """Send a request, and wait until the server has read it."""
    handler.request_started.clear()
    client.sendall(get_request(id))
    async with asyncio.timeout(TEST_TIMEOUT_S):
        await handler.request_started.wait()


class Taker:
    """Connection that counts its turns, and may fail in each."""

    def __init__(self, fails: bool) -> None:
        self.fails = fails
        self.turns = 0

    def on_read_turn(self) -> None:
        self.turns += 1
        if self.fails:
            raise RuntimeError("turn failed")


def test_an_error_in_a_turn_takes_no_other_connection_its_turn() -> None:
    """Guards against a connection that waits for ever, because another one failed in the same iteration."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        errors: list[BaseException] = []
        loop.set_exception_handler(lambda _, context: errors.append(context["exception"]))
        turns = ReadTurns(loop)
        takers = [Taker(fails=number % 2 == 0) for number in range(4)]
        for number, taker in enumerate(takers):
            turns.wait(taker, is_backlog=number % 2 == 1)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while sum(taker.turns for taker in takers) < len(takers):
                await asyncio.sleep(0)
        assert [taker.turns for taker in takers] == [1, 1, 1, 1]
        assert len(errors) == 2

    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(test())


def test_requests_are_read_between_the_reads_of_clients_that_send_at_full_speed() -> None:
    """Guards against requests without an answer in time, while the proxy parses megabytes of tiny chunks.

    The event loop reads from a socket until it is empty, or up to 32 times the read buffer.
    """

    async def test() -> None:
        handler = RespondingHandler()
        classes = {"canje": Idempotency.NOT_IDEMPOTENT, "stock": Idempotency.IDEMPOTENT}
        server = HttpServer(classes, handler, 1024, 192, {}, max_body_bytes=MAX_MESSAGE_BYTES)
        handler.server = server
        address = "127.0.0.1", await server.listen("127.0.0.1", 0)
        usual = socket.create_connection(address)
        await send_and_wait(usual, "a", handler)
        # All fast clients have connected and sent before the event loop reads from any of them.
        fast = [fill_socket(address, number) for number in range(FAST_CLIENTS)]
        for number in range(REQUESTS):
            await send_and_wait(usual, f"b{number}", handler)
        # Each fast client is read from once, and then one of them in each iteration of the event loop.
        max_reads = FAST_CLIENTS + MAX_ITERATIONS_PER_REQUEST * REQUESTS
        assert handler.bytes_at_request[-1] <= max_reads * READ_BUFFER_BYTES
        server.stop_listening()
        for client in (*fast, usual):
            client.close()

    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(test())
