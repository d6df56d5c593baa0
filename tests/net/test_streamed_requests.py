"""Long request bodies through the whole program: streamed, or buffered for a retry."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

import pytest
from long_messages import (
    LONG_BYTES,
    LONG_DIGEST,
    MAX_GROWTH_MB,
    MB,
    OK,
    PIECE,
    body_endpoint,
    chunk,
    post_head,
    resident_mb,
)
from net_harness import (
    TEST_TIMEOUT_S,
    EndpointServer,
    ReceivedRequest,
    proxy_under_test,
    read_message,
    response,
    run_async,
)

from service_proxy.net.request_body import STREAM_WINDOW_BYTES, RequestBody


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_a_long_request_body_arrives_complete_and_is_never_buffered(is_chunked: bool) -> None:
    async def test() -> None:
        bodies: list[tuple[str, int]] = []
        async with proxy_under_test({"s-1": body_endpoint(bodies)}) as proxy:
            client = await proxy.connect()
            before = resident_mb(proxy)
            peak = 0.0
            client.writer.write(post_head("a" * 16, None if is_chunked else LONG_BYTES))
            for _ in range(LONG_BYTES // len(PIECE)):
                client.writer.write(chunk(PIECE) if is_chunked else PIECE)
                await client.writer.drain()
                peak = max(peak, resident_mb(proxy))
            if is_chunked:
                client.writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
            answer = await client.response()
            assert (answer.status_code, answer.body) == (200, b"%d" % LONG_BYTES)
            assert bodies == [(LONG_DIGEST, LONG_BYTES)]
            assert peak - before < MAX_GROWTH_MB
            second_answer = await client.request("canje", "b" * 16, budget="6000m")
            assert second_answer.status_code == 200  # The connection is kept.

    run_async(test())


def test_a_buffered_body_is_retried_on_a_second_endpoint_if_the_first_rejects_it() -> None:
    async def test() -> None:
        bodies: list[tuple[str, int]] = []

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(503, b"", X_Rejected="1"))

        rejecting = EndpointServer(respond)
        serving = body_endpoint(bodies)
        async with proxy_under_test({"s-1": rejecting, "s-2": serving}) as proxy:
            data = PIECE * 32  # The body has 2 MB, so it is buffered.
            for n in range(20):
                answer = await (await proxy.connect()).request(
                    "canje", f"{n:016x}", budget="3000m", body=data
                )
                assert answer.status_code == 200
            assert rejecting.received_count > 0 and len(bodies) == 20
            assert set(bodies) == {(hashlib.sha256(data).hexdigest(), len(data))}

    run_async(test())


def test_a_streamed_request_is_rejected_if_its_endpoint_disconnects_before_the_last_byte() -> None:
    """Guards against a retry without the bytes that were already streamed.

    The request can't have been executed, and its first bytes are no longer buffered, so it is rejected.
    """

    async def test() -> None:
        body_begun = asyncio.Event()

        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                writer.write(response(200, b"inflight=0,queue=0"))
            endpoint.received_count += 1
            await reader.readexactly(MB)
            body_begun.set()
            writer.transport.abort()

        endpoint = EndpointServer()
        endpoint._connection = connection  # type: ignore[method-assign]
        async with proxy_under_test({"s-1": endpoint, "s-2": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post_head("a" * 16, LONG_BYTES))
            with contextlib.suppress(ConnectionError):
                for _ in range(8 * MB // len(PIECE)):
                    client.writer.write(PIECE)
                    await client.writer.drain()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await body_begun.wait()
            assert (await client.response()).status_code == 503
            assert endpoint.received_count == 1

    run_async(test())


def test_a_response_before_the_body_is_complete_is_forwarded() -> None:
    async def test() -> None:
        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                writer.write(response(200, b"inflight=0,queue=0"))
            await reader.readexactly(MB)
            writer.write(response(200, b"enough"))
            with contextlib.suppress(ConnectionError):
                while await reader.read(MB):
                    pass
            closed.set()  # The proxy has closed the connection.

        closed = asyncio.Event()
        endpoint = EndpointServer()
        endpoint._connection = connection  # type: ignore[method-assign]
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post_head("a" * 16, LONG_BYTES) + PIECE * (5 * MB // len(PIECE)))
            answer = await client.response()
            assert (answer.status_code, answer.body, answer.headers["connection"]) == (
                200,
                b"enough",
                "close",
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await closed.wait()

    run_async(test())


def test_a_request_whose_client_disconnects_in_mid_body_is_not_executed() -> None:
    async def test() -> None:
        bodies: list[tuple[str, int]] = []
        endpoint = body_endpoint(bodies)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post_head("a" * 16, LONG_BYTES) + PIECE * (8 * MB // len(PIECE)))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not endpoint.received_count:
                    await asyncio.sleep(0.01)
                client.writer.transport.abort()
                await endpoint.closed_connections.get()
            assert bodies == []

    run_async(test())


def test_a_client_that_sends_64_kb_a_second_after_a_slow_head_is_served() -> None:
    """Guards against one common time limit for head and body.

    The head takes 1.5 s and the body 2 s: each is within its limit, and the sum exceeds either limit.
    """

    async def test() -> None:
        bodies: list[tuple[str, int]] = []
        async with proxy_under_test({"s-1": body_endpoint(bodies)}) as proxy:
            client = await proxy.connect()
            head = post_head("a" * 16, 2 * len(PIECE))
            for offset in range(0, len(head), 8):
                client.writer.write(head[offset : offset + 8])
                await asyncio.sleep(12 / len(head))
            for _ in range(32):
                client.writer.write(PIECE[:4096])
                await asyncio.sleep(2.0 / 32)
            assert (await client.response()).status_code == 200
            assert bodies[0][1] == 2 * len(PIECE)

    run_async(test())


def test_white_space_after_a_field_value_is_not_part_of_the_value() -> None:
    """Guards against white space that is kept in a field value (RFC 9110, 5.5), in requests and responses."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(
                OK + b"Transfer-Encoding: chunked  \r\n\r\n" + chunk(received.headers["x-call-id"].encode())
            )
            writer.write(b"0\r\n\r\n")

        async with proxy_under_test({"s-1": EndpointServer(respond)}) as proxy:
            client = await proxy.connect()
            head = b"POST /canje HTTP/1.1\r\nHost: x \r\nX-Call-Id: abc \t\r\nX-Budget: 900m \r\n"
            client.writer.write(head + b"Transfer-Encoding: chunked \r\n\r\n0\r\n\r\n")
            line, _, body = await read_message(client.reader)
            assert (line.split(" ")[1], body) == ("200", b"abc")

    run_async(test())


def test_a_replayable_body_keeps_its_parts_and_a_streamed_one_drops_them() -> None:
    notifications: list[str] = []

    class Reader:
        def on_body_progress(self) -> None:
            notifications.append("more")

    body = RequestBody()
    body.reader, body.on_drained = Reader(), lambda: notifications.append("room")
    body.on_complete = lambda: notifications.append("whole")
    body.append(b"ab")
    assert (body.parts, body.is_full) == ([b"ab"], False)
    body.is_replayable = False
    body.append(bytes(STREAM_WINDOW_BYTES))
    assert body.is_full
    assert body.take_parts() == [b"ab", bytes(STREAM_WINDOW_BYTES)] and not body.is_full and body.parts == []
    body.finish()
    assert notifications == ["more", "more", "room", "whole", "more"]
    assert body.length is None and RequestBody.of(b"abc").length == 3


def test_the_deadline_of_a_streamed_body_begins_with_its_last_byte() -> None:
    """Guards against a deadline that expires during the upload, which takes longer than the time budget.

    After the upload, an endpoint that does not respond is given exactly the time budget.
    """

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            """Receive the whole request, and never respond."""

        async with proxy_under_test({"s-1": EndpointServer(respond)}) as proxy:
            client = await proxy.connect()
            loop = asyncio.get_running_loop()
            length = 6 * MB
            client.writer.write(post_head("a" * 16, length, budget="500m"))
            for _ in range(length // MB):
                client.writer.write(bytes(MB))
                await client.writer.drain()
                await asyncio.sleep(0.15)
            last_byte_at = loop.time()
            assert (await client.response()).status_code in (502, 504)
            assert 0.2 < loop.time() - last_byte_at < 1.0

    run_async(test())
