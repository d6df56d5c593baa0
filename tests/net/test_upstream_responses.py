"""Invalid and unusual responses of endpoints.

Each response is served completely, or its attempt ends at once as one that may have been executed. No client
receives data that belongs to another request.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import httptools
import pytest
from net_harness import (
    LONG_TIME_BUDGET,
    TEST_TIMEOUT_S,
    EndpointServer,
    ReceivedRequest,
    long_timeout_settings,
    proxy_under_test,
    repeat_until_timely,
    response,
    run_async,
)

from service_proxy.net import upstream as up
from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.net.load_report import parse_load_report
from service_proxy.net.upstream.endpoint_pool import REUSE_DELAY_S
from service_proxy.net.upstream.response_framing import is_unrequested_response
from service_proxy.policy.events import EndpointEntry, EndpointState

OK = b"HTTP/1.1 200 OK\r\n"
INVALID_RESPONSES = {
    "noise": b"\x00\x17\x88 noise, and no more",
    "a bad status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
    "negative length": OK + b"Content-Length: -5\r\n\r\nhello",
    "no number": OK + b"Content-Length: many\r\n\r\nhello",
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
    "one length twice": OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "length and chunks": OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "coding followed by a tab": OK + b"Transfer-Encoding: chunked\t\r\n\r\n0\r\n\r\n",
    "odd coding": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "no length": OK + b"\r\nhello",
    "3 GB": OK + b"Content-Length: 3000000000\r\n\r\nhello",
    "huge length": OK + b"Content-Length: 99999999999999999999999999\r\n\r\nhello",
    "many fields": OK + b"a:b\r\n" * 101 + b"Content-Length: 2\r\n\r\nok",
    "bad chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
ENDLESS_RESPONSES = {
    "head": (OK + b"X-Long: ", b"a" * 1000),
    "headers": (OK, b"X-More: a\r\n" * 100),
    "1xx": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 30),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;", b"a" * 20_000),
    "trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-T: a\r\n" * 2000),
}


async def assert_fails_at_once(endpoint: EndpointServer) -> None:
    """Assert that the endpoint's response ends the request at once.

    The time budget and the attempt's timeout are seconds, so only the response can end the request this soon.
    """
    async with proxy_under_test({"s-1": endpoint}) as proxy:
        client = await proxy.connect()
        started_at = asyncio.get_running_loop().time()
        reply = await client.request("canje", "a" * 16, budget="5000m")
        assert reply.status_code == 502 and "retry-after" not in reply.headers
        assert asyncio.get_running_loop().time() - started_at < 1.5
        assert endpoint.received_count == 1
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await endpoint.closed_connections.get()


LATE_COPY_S = 0.008  # Time from a response to its second copy: "some milliseconds" (operators' page).


def test_a_late_second_copy_of_a_response_is_not_delivered_to_the_next_request() -> None:
    """Guards against a connection that is used again before the second copy of its last response has come.

    The next client would be served with it, and each later client of the connection with the response before
    its own.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        copy_sent = asyncio.Event()
        copy_delay = 0.0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal copy_delay
            request_id = received.headers["x-call-id"]
            writer.write(response(200, request_id.encode()))
            responded_at = loop.time()
            if request_id.startswith("a"):
                await asyncio.sleep(LATE_COPY_S)
                writer.write(response(200, request_id.encode()))
                copy_delay = loop.time() - responded_at
                copy_sent.set()

        async def set_up(number: int) -> bool:
            copy_sent.clear()
            replies = [
                await client.request("canje", f"{letter}{number:015x}", LONG_TIME_BUDGET) for letter in "abc"
            ]
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await copy_sent.wait()
            if copy_delay > REUSE_DELAY_S:
                return False
            assert [reply.status_code for reply in replies] == [200] * 3
            assert [reply.body for reply in replies] == [b"%c%015x" % (ord(x), number) for x in "abc"]
            return True

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            await repeat_until_timely(set_up)

    run_async(test())


@pytest.mark.parametrize("copy_delay", [0.05, 0.2])
def test_no_late_copy_is_delivered_after_the_first_sign_of_duplicated_responses(copy_delay: float) -> None:
    """Guards against foreign responses for as long as something in the path duplicates them with a delay."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        reply = response(200, received.headers["x-call-id"].encode())
        await asyncio.sleep(2 * copy_delay)  # A copy comes while the next request of its connection waits.
        writer.write(reply)
        asyncio.get_running_loop().call_later(copy_delay, writer.write, reply)

    async def test() -> None:
        async with proxy_under_test({"s-1": EndpointServer(respond)}, **long_timeout_settings()) as proxy:
            client = await proxy.connect()

            async def foreign_responses(letter: str, pause: float) -> int:
                """Send requests at this interval, and return how many had the response to another one."""
                foreign = 0
                for number in range(5):
                    id = f"{letter}{number:015x}"
                    reply = await client.request("canje", id, LONG_TIME_BUDGET)
                    foreign += reply.status_code == 200 and reply.body != id.encode()
                    await asyncio.sleep(pause)
                return foreign

            # A copy that comes while the connection rests is the sign.
            assert await foreign_responses("a", copy_delay + 0.1) == 0
            assert await foreign_responses("b", 0.0) == 0

    run_async(test())


def test_a_server_that_ends_idle_connections_with_408_is_no_sign_of_duplicated_responses() -> None:
    """Guards against a new connection for each request to servers that announce the end of idle ones."""
    assert is_unrequested_response(b"HTTP/1.1 200")
    assert is_unrequested_response(b"HTTP/1.0 503")
    assert not is_unrequested_response(b"HTTP/1.1 408")
    assert not is_unrequested_response(b"garbage")


@pytest.mark.parametrize("spoilt", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_an_invalid_response_ends_its_attempt_at_once(spoilt: bytes) -> None:
    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(spoilt)

    run_async(assert_fails_at_once(EndpointServer(respond)))


@pytest.mark.parametrize(("first_bytes", "repeated_bytes"), ENDLESS_RESPONSES.values(), ids=ENDLESS_RESPONSES)
def test_a_response_without_end_is_cut_off(first_bytes: bytes, repeated_bytes: bytes) -> None:
    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(first_bytes)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(repeated_bytes)
                await writer.drain()
                await asyncio.sleep(0.001)

    run_async(assert_fails_at_once(EndpointServer(respond)))


VALID_RESPONSES = {
    "1xx first": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        + OK
        + b"Content-Length: 2\r\n\r\nme",
        True,
    ),
    "chunks and a trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nme\r\n0\r\nX-T: 1\r\n\r\n", True),
    "noise follows": (OK + b"Content-Length: 2\r\n\r\nme\x00\x01noise", False),
    "a copy follows": ((OK + b"Content-Length: 2\r\n\r\nme") * 2, False),
    "half a copy follows": (OK + b"Content-Length: 2\r\n\r\nmeHTTP", False),
    "bad report": (OK + b"X-Load-Report: inflight=,,=\r\nContent-Length: 2\r\n\r\nme", True),
}


@pytest.mark.parametrize(("answer", "kept"), VALID_RESPONSES.values(), ids=VALID_RESPONSES)
def test_a_valid_response_is_served_without_the_bytes_that_follow(answer: bytes, kept: bool) -> None:
    """Without health checks, because a check in flight occupies a connection, and a request opens another."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer if received.headers["x-call-id"] == "a" * 16 else response(200, b"other"))

        endpoint = EndpointServer(respond)
        async with proxy_under_test({"s-1": endpoint}, **long_timeout_settings()) as proxy:
            client = await proxy.connect()
            reply = await client.request("canje", "a" * 16)
            assert (reply.status_code, reply.body) == (200, b"me")
            assert not {"link", "x-t", "x-load-report"} & set(reply.headers)
            for number in range(3):
                assert (await client.request("canje", f"{number:016x}")).body == b"other"
            numbers = [(await endpoint.received.get()).connection for _ in range(4)]
            assert (numbers[0] == numbers[1]) == kept

    run_async(test())


def test_a_response_may_end_with_its_connection_if_its_head_announces_the_close() -> None:
    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(OK + b"Connection: close\r\n\r\nme")
            await writer.drain()
            writer.close()

        async with proxy_under_test({"s-1": EndpointServer(respond)}) as proxy:
            reply = await (await proxy.connect()).request("canje", "a" * 16)
            assert (reply.status_code, reply.body) == (200, b"me")

    run_async(test())


def test_unread_bytes_are_never_the_response_to_the_next_request() -> None:
    """The copy is in the socket before the next request is sent, and the event loop has not read it yet."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        cluster = up.UpstreamCluster(1.0, 30.0, max_connections=10)
        entry = EndpointEntry(endpoint_id=1, state=EndpointState.SERVING)
        cluster.apply_endpoint_list(EndpointList(1, True, [Endpoint(listener.getsockname(), entry, "s-1")]))
        ended: asyncio.Queue[up.UpstreamAttempt] = asyncio.Queue()

        def start() -> None:
            def on_end(attempt: up.UpstreamAttempt) -> None:
                if ended.empty() and attempt.response_body == b"old":
                    endpoint.sendall(response(200, b"old"))
                    start()
                ended.put_nowait(attempt)

            request = b"GET /stock HTTP/1.1\r\n\r\n"
            cluster.start_attempt(up.UpstreamAttempt(cluster.pools[1], request, 5.0, lambda: True, on_end))

        async with asyncio.timeout(TEST_TIMEOUT_S):
            start()
            endpoint, _ = await loop.sock_accept(listener)
            await loop.sock_recv(endpoint, 1000)
            endpoint.sendall(response(200, b"old"))
            assert (await ended.get()).response_body == b"old"
            second, _ = await loop.sock_accept(listener)
            await loop.sock_recv(second, 1000)
            second.sendall(response(200, b"new"))
            assert (await ended.get()).response_body == b"new"
        for opened_socket in (endpoint, second, listener):
            opened_socket.close()

    run_async(test())


def test_a_closed_upstream_connection_leaves_no_reference_cycle() -> None:
    """A parser references its connection. The cycle is broken explicitly, because the cycle collector seldom
    visits old objects.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        cluster = up.UpstreamCluster(1.0, 30.0, max_connections=10)
        entry = EndpointEntry(endpoint_id=1, state=EndpointState.SERVING)
        cluster.apply_endpoint_list(EndpointList(1, True, [Endpoint(listener.getsockname(), entry, "s-1")]))
        ended: asyncio.Future[up.UpstreamConnection] = loop.create_future()

        def on_end(attempt: up.UpstreamAttempt) -> None:
            connection = next(iter(cluster.pools[1].connections))
            assert isinstance(connection.parser, httptools.HttpResponseParser)
            ended.set_result(connection)

        cluster.start_attempt(
            up.UpstreamAttempt(cluster.pools[1], b"GET / HTTP/1.1\r\n\r\n", 0.05, lambda: True, on_end)
        )
        async with asyncio.timeout(TEST_TIMEOUT_S):
            connection = await ended
            while connection.transport is not None:
                await asyncio.sleep(0)
        assert (
            connection.parser is None and not cluster.pools[1].connections and cluster.connection_count == 0
        )
        listener.close()

    run_async(test())


def test_one_reset_connection_does_not_eject_a_live_endpoint() -> None:
    """The endpoint has just responded to other requests, so it stays in use.

    Four requests at once reach both endpoints. After an ejection all four would reach the other endpoint.
    """

    async def test() -> None:
        release = asyncio.Event()

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.headers["x-call-id"].startswith("dead"):
                writer.transport.abort()
            if received.headers["x-call-id"].startswith("hold"):
                await release.wait()
            writer.write(response(200, b"done"))

        endpoints = {"s-1": EndpointServer(respond), "s-2": EndpointServer(respond)}
        async with proxy_under_test(endpoints, **long_timeout_settings()) as proxy:
            clients = [await proxy.connect() for _ in range(4)]
            for number in range(6):
                for client_index, client in enumerate(clients):
                    client.send("canje", f"{number:015x}{client_index}", LONG_TIME_BUDGET)
                assert [(await client.response()).status_code for client in clients] == [200] * 4
            before = [endpoint.received_count for endpoint in endpoints.values()]
            assert (await clients[0].request("canje", "dead" + "0" * 12, LONG_TIME_BUDGET)).status_code == 502
            reset_endpoint = next(
                b for b, count in zip(endpoints.values(), before, strict=True) if b.received_count > count
            )
            count = reset_endpoint.received_count
            for number, client in enumerate(clients):
                client.send("canje", f"hold{number:012x}", budget=LONG_TIME_BUDGET)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while sum(endpoint.received_count for endpoint in endpoints.values()) < sum(before) + 5:
                    await asyncio.sleep(0.001)
            assert reset_endpoint.received_count > count
            release.set()
            assert [(await client.response()).status_code for client in clients] == [200] * 4

    run_async(test())


def test_a_class_that_one_endpoint_rejects_goes_to_the_other() -> None:
    """An endpoint that rejects one class serves the other classes, and its load therefore looks low.

    Its rejections are sent at once, while the other endpoint serves the class more slowly.
    """

    async def test() -> None:
        rejected_count = 0

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal rejected_count
            if received.target.startswith("/canje"):
                rejected_count += 1
                writer.write(response(503, X_Rejected="1"))
            else:
                writer.write(response(200, b"done"))

        healthy_endpoint = EndpointServer()
        async with proxy_under_test(
            {"s-1": EndpointServer(respond), "s-2": healthy_endpoint}, **long_timeout_settings()
        ) as proxy:
            client = await proxy.connect()
            for number in range(40):
                assert (await client.request("canje", f"c{number:015x}", LONG_TIME_BUDGET)).status_code == 200
                assert (await client.request("stock", f"s{number:015x}", LONG_TIME_BUDGET)).status_code == 200
        # Routing each class by load alone sends about half of the 40 to the rejecting endpoint.
        assert rejected_count <= 6

    run_async(test())


@pytest.mark.parametrize(
    "text",
    [
        "",
        "x",
        "inflight=",
        "inflight=-1",
        "inflight=1e300",
        "inflight=nan",
        "inflight=inf",
        "inflight=1,inflight=9",
        "inflight=1,busy_reqs=9",
        "inflight=3,queue=-2",
        "inflight=7;queue=1",
    ],
)
def test_an_impossible_load_report_is_ignored(text: str) -> None:
    assert parse_load_report(text.encode()) is None
    assert parse_load_report(b"inflight=7,queue=2") == {"busy_reqs": 7.0, "pending": 2.0}
