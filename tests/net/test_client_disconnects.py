"""A client leaves while its call waits: the call is not sent on, and its place serves another."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
import uvloop
from net_harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    EndpointServer,
    ProxyUnderTest,
    ReceivedRequest,
    endpoint_entry,
    get_request,
    next_request,
    proxy_under_test,
    response,
    run_async,
)
from net_harness import DiscoveryServer as DiscoveryServer
from socket_helpers import Unreachable, fin, half_close, reset, reset_on_close

from service_proxy.net.downstream import HttpServer
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.policy.settings_types import Idempotency

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
ENDS = [fin, half_close, reset]


LONG = (
    b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 0011223344556677\r\nX-Budget: 5000m\r\n"
    b"Content-Length: 8000000\r\n\r\n" + b"a" * 8_000_000
)
BEHIND = {
    "nothing behind it": get_request("1"),
    "a whole request behind it": get_request("1") + get_request("2"),
    "the begin of a request behind it": get_request("1") + get_request("2")[:30],
    "many requests behind it": b"".join(get_request(str(number)) for number in range(1, 1000)),
    "nonsense behind it": get_request("1") + b"nonsense\r\n\r\n",
    "a body that is not taken": LONG,
}


class Holding:
    """Takes calls and answers none."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[object] = asyncio.Queue()
        self.gone: asyncio.Queue[object] = asyncio.Queue()

    def start_request(self, request: Any, writer: Any) -> object:
        call = object()
        self.taken.put_nowait(call)
        return call

    def client_disconnected(self, open_request: Any) -> None:
        self.gone.put_nowait(open_request)


# Of an end that lies behind bytes that can't be delivered the wire tells nothing, unless it is a reset.
ENDED_REQUESTS = [
    pytest.param(sent, end, id=f"{name}-{end.__name__}")
    for name, sent in BEHIND.items()
    for end in ENDS
    if sent is not LONG or end is reset
]


@pytest.mark.parametrize(("sent", "end"), ENDED_REQUESTS)
def test_a_client_that_disconnects_is_detected_whatever_lies_behind_its_request(
    sent: bytes, end: Callable[[socket.socket], None]
) -> None:
    """What is not read from, since more has come than may be held, does not tell that it has ended."""

    async def test() -> None:
        holding = Holding()
        effects = {"stock": Idempotency.IDEMPOTENT, "canje": Idempotency.NOT_IDEMPOTENT}
        server = HttpServer(effects, holding, 256, 64, {}, max_body_bytes=MAX_MESSAGE_BYTES)
        port = await server.listen("127.0.0.1", 0)
        raw = socket.create_connection(("127.0.0.1", port))
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        writing = loop.create_task(loop.sock_sendall(raw, sent))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            call = await holding.taken.get()
            if sent is LONG:  # the proxy stops reading, so it is never sent whole
                while not any(connection.read_paused for connection in server.connections):
                    await asyncio.sleep(0)
                writing.cancel()
            await asyncio.wait([writing])
            end(raw)
            assert await holding.gone.get() is call
            while server.connections:
                await asyncio.sleep(0)
        assert holding.gone.empty() and holding.taken.empty()
        raw.close()
        server.stop_listening()

    uvloop.run(test())


def test_hundreds_that_disconnect_from_the_queue_at_once_are_not_forwarded() -> None:
    """Their places serve who is still there, once a server has room."""

    async def test() -> None:
        free = asyncio.Event()

        async def respond(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if not free.is_set():
                await free.wait()
            writer.write(response(200, b"done"))

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            first = [await proxy.connect() for _ in range(12)]
            for number, client in enumerate(first):
                client.send("canje", f"{number:016x}", budget="5000m")
            await next_request(endpoint)
            leaving = [await proxy.connect() for _ in range(200)]
            for number, client in enumerate(leaving):
                client.send("stock", f"aa{number:014x}", budget="5000m")
                if number % 2:
                    client.send("stock", f"bb{number:014x}", budget="5000m")
            # An answer on the listener's loop, so all of these have been read.
            assert (await (await proxy.connect()).send_raw(HEALTH)).status_code == 200
            for client in leaving:
                half_close(client.writer.get_extra_info("socket"))
            for client in leaving:  # refused and ended, or ended
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await client.reader.read()
            seen = endpoint.received_count
            free.set()
            for number in range(5):
                assert (await (await proxy.connect()).request("stock", f"cc{number:014x}")).status_code == 200
            ids = [
                endpoint.received.get_nowait().headers["x-call-id"] for _ in range(endpoint.received.qsize())
            ]
            assert not [id for id in ids[max(0, seen - 1) :] if id[:2] in ("aa", "bb")]

    run_async(test())


@contextlib.asynccontextmanager
async def before(late: Unreachable) -> AsyncIterator[tuple[ProxyUnderTest, DiscoveryServer]]:
    """A proxy whose list has nobody else, with time enough for a slow connect."""
    settings = {**SETTINGS["policy_limits"], "connect_timeout": 8.0, "probes": False}
    discovery = await DiscoveryServer().start()
    async with proxy_under_test({"s-1": EndpointServer()}, discovery, policy_limits=settings) as proxy:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await discovery.polls.get()
            discovery.publish(2, endpoint_entry("s-2", late.address), snapshot=True)
            await discovery.polls.get()
        yield proxy, discovery


@pytest.mark.parametrize("end", ENDS)
def test_a_request_whose_client_disconnected_during_a_slow_connect_is_not_sent(
    end: Callable[[socket.socket], None],
) -> None:
    async def test() -> None:
        late = Unreachable()
        async with before(late) as (proxy, _):
            client = await proxy.connect()
            stays = await proxy.connect()
            client.send("canje", "a" * 16, budget="8000m")
            await late.tried(1)
            stays.send("canje", "b" * 16, budget="8000m")
            await late.tried(2)
            raw = client.writer.get_extra_info("socket")
            if end is half_close:
                half_close(raw)
            else:
                if end is reset:
                    reset_on_close(raw)
                client.writer.transport.abort()
            heard, idle = await late.calls()
            assert len(heard) == 1 and b"b" * 16 in heard[0] and b"a" * 16 not in heard[0]
            assert (await stays.response()).status_code == 200
            for each in idle:  # it came up for a call that had ended, and nothing was written to it
                with pytest.raises(BlockingIOError):
                    each.recv(1, socket.MSG_DONTWAIT)

    run_async(test())


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
def test_an_endpoint_that_began_to_drain_during_a_slow_connect_gets_nothing(status: str) -> None:
    """State is looked at right before the first byte, not when it is decided to send."""

    async def test() -> None:
        late = Unreachable()
        stays = await EndpointServer().start()
        async with before(late) as (proxy, discovery):
            client = await proxy.connect()
            client.send("canje", "a" * 16, budget="8000m")
            await late.tried(1)
            discovery.publish(
                3, endpoint_entry("s-2", late.address, status), endpoint_entry("s-3", stays.address)
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert "from=3&" in await discovery.polls.get()
            assert await late.first() == b""  # it came up, and was closed unused
            answer = await client.response()  # sent to the other, where its time allowed: it never ran
            assert (answer.status_code, stays.received_count) in ((200, 1), (503, 0))
        await stays.stop()

    run_async(test())
