"""Clients that stop in the middle of a request and stay connected get an error or a close within 3 s."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop
from net_harness import TEST_TIMEOUT_S, get_request

from service_proxy.net.downstream import HttpServer
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.policy.settings_types import Idempotency

MAX_WAIT_S = 3.0  # Time limit of the operators' page for an error response or a close.
SLOW_RESPONSE_S = 2.6  # Response time of the slow requests.
HEAD = b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1111111111111111\r\nX-Budget: 5000m\r\n"
BODY = HEAD + b"Content-Length: 1000\r\n\r\n"
LONG = HEAD + b"Content-Length: 8000000\r\n\r\n"
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SLOW_ID = "5" * 16


class DelayedHandler:
    """Handler that responds to each request by its id, immediately or after SLOW_RESPONSE_S."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def start_request(self, request: Any, writer: Any) -> object:
        async def respond_later() -> None:
            await asyncio.sleep(SLOW_RESPONSE_S if request.id.decode() == SLOW_ID else 0)
            with contextlib.suppress(RuntimeError):
                if request.body.is_complete:
                    writer.respond(200, (), b"")

        self.tasks.add(asyncio.get_running_loop().create_task(respond_later()))
        return object()

    def client_disconnected(self, open_request: Any) -> None: ...


class StalledClient:
    """Client that sends the bytes of one case, and records the start of its time limit."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.loop = asyncio.get_running_loop()
        self.raw = socket.create_connection(address)
        self.raw.setblocking(False)
        self.limit_started_at = self.loop.time()  # Start of the time limit of MAX_WAIT_S.

    async def send(self, *parts: bytes, pause: float = 0.0) -> None:
        for part in parts:
            await self.loop.sock_sendall(self.raw, part)
            self.limit_started_at = self.loop.time()
            await asyncio.sleep(pause)

    async def complete_one_request(self) -> None:
        await self.send(get_request("3"))
        assert (await self.loop.sock_recv(self.raw, 1000)).startswith(b"HTTP/1.1 200")

    async def trickle(self, data: bytes) -> None:
        """Send one byte at a time without end; the time limit counts from the first byte."""
        limit_started_at = self.limit_started_at
        with contextlib.suppress(ConnectionError):
            while True:
                await self.loop.sock_sendall(self.raw, data[:1])
                await asyncio.sleep(0.05)
                self.limit_started_at = limit_started_at

    async def wait_for_end(self) -> float:
        """Return the time from the limit's start to an error response or the connection's end (s)."""
        with contextlib.suppress(ConnectionError):
            while part := await self.loop.sock_recv(self.raw, 65536):
                if b" 408 " in part:
                    break
        return self.loop.time() - self.limit_started_at


async def half_a_head(client: StalledClient) -> None:
    await client.send(HEAD[:40])


async def one_byte(client: StalledClient) -> None:
    await client.send(b"G")


async def half_a_body(client: StalledClient) -> None:
    await client.send(BODY + b"half")


async def half_a_body_behind_a_slow_head(client: StalledClient) -> None:
    await client.send(HEAD[:40], pause=1.8)
    await client.send(BODY[40:] + b"half")


async def used_then_half_a_head(client: StalledClient) -> None:
    await client.complete_one_request()
    await client.send(HEAD[:40])


async def used_and_idle_then_half_a_body(client: StalledClient) -> None:
    await client.complete_one_request()
    await asyncio.sleep(1.0)
    await client.send(BODY + b"half")


async def a_chunk_without_end(client: StalledClient) -> None:
    await client.send(CHUNKS + b"5\r\nab")


async def trailers_without_end(client: StalledClient) -> None:
    await client.send(CHUNKS + b"2\r\nab\r\n0\r\nX-T: 1\r\n")


async def awaited_continue(client: StalledClient) -> None:
    await client.send(HEAD + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n")


async def half_a_long_body(client: StalledClient) -> None:
    await client.send(LONG + bytes(70_000))


async def half_a_long_body_slowly(client: StalledClient) -> None:
    await client.send(LONG, *[bytes(40_000)] * 3, pause=1.0)


async def half_a_request_behind_a_whole_one(client: StalledClient) -> None:
    await client.send(get_request(SLOW_ID) + HEAD[:40])


async def half_a_body_behind_a_whole_request(client: StalledClient) -> None:
    await client.send(get_request(SLOW_ID), BODY + b"half", pause=0.1)


async def half_a_request_behind_several(client: StalledClient) -> None:
    await client.send(get_request("4") * 3 + get_request(SLOW_ID) + HEAD[:40])


async def a_trickled_head(client: StalledClient) -> None:
    await client.send(HEAD)
    await client.trickle(b"X")


async def a_trickled_body(client: StalledClient) -> None:
    await client.send(BODY)
    await client.trickle(b"x")


async def trickle_request(client: StalledClient, lines: int, head_s: float) -> None:
    """Send a request as slowly as one step of progress allows; the time limit counts from its first byte."""
    begun = client.limit_started_at
    for _ in range(lines):
        await client.send(b"\r\n", pause=0.05)
    await client.send(HEAD[:40], pause=head_s)
    await client.send(BODY[40:])
    client.limit_started_at = begun
    await client.trickle(b"x")


async def a_trickled_body_behind_a_slow_head(client: StalledClient) -> None:
    await trickle_request(client, 20, 0.7)


async def a_trickled_body_behind_a_head_just_quick_enough(client: StalledClient) -> None:
    await trickle_request(client, 0, 0.45)


async def a_trickled_body_behind_many_empty_lines(client: StalledClient) -> None:
    await trickle_request(client, 38, 0.05)


async def used_then_trickled(client: StalledClient) -> None:
    await client.complete_one_request()
    await client.send(BODY)
    await client.trickle(b"x")


CASES: list[Callable[[StalledClient], Awaitable[None]]] = [
    half_a_head,
    one_byte,
    half_a_body,
    half_a_body_behind_a_slow_head,
    used_then_half_a_head,
    used_and_idle_then_half_a_body,
    a_chunk_without_end,
    trailers_without_end,
    awaited_continue,
    half_a_long_body,
    half_a_long_body_slowly,
    half_a_request_behind_a_whole_one,
    half_a_body_behind_a_whole_request,
    half_a_request_behind_several,
    a_trickled_head,
    a_trickled_body,
    a_trickled_body_behind_a_slow_head,
    a_trickled_body_behind_a_head_just_quick_enough,
    a_trickled_body_behind_many_empty_lines,
    used_then_trickled,
]


def test_a_client_that_stops_in_the_middle_of_a_request_gets_an_end_within_3_s() -> None:
    """Guards against partial requests that keep connections open.

    All cases run at once, because they spend their time waiting.
    """

    async def run(act: Callable[[StalledClient], Awaitable[None]], address: tuple[str, int]) -> float:
        client = StalledClient(address)
        acting = asyncio.ensure_future(act(client))
        if act.__name__.startswith("used"):
            await asyncio.sleep(0.5)  # The behavior reads its own response during this time.
        elapsed = await client.wait_for_end()
        acting.cancel()
        client.raw.close()
        return elapsed

    async def test() -> None:
        idempotency_by_class = {"stock": Idempotency.IDEMPOTENT, "canje": Idempotency.NOT_IDEMPOTENT}
        server = HttpServer(
            idempotency_by_class, DelayedHandler(), 256, 64, {}, max_body_bytes=MAX_MESSAGE_BYTES
        )
        address = ("127.0.0.1", await server.listen("127.0.0.1", 0))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            elapsed = await asyncio.gather(*(run(act, address) for act in CASES))
        late = {
            act.__name__: round(s, 2) for act, s in zip(CASES, elapsed, strict=True) if not 0 < s < MAX_WAIT_S
        }
        assert late == {}
        server.stop_listening()

    uvloop.run(test())
