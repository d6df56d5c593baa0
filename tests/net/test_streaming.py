"""Long messages and slow peers, through the program itself: what is passed on as it comes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from net_harness import (
    PATIENT_BUDGET,
    TEST_TIMEOUT_S,
    Client,
    EndpointServer,
    ProxyUnderTest,
    ReceivedRequest,
    buffering_for,
    next_request,
    patient_settings,
    ports_of,
    proxy_under_test,
    read_message,
    repeat_until_timely,
    reset_on_close,
    response,
    run_async,
    suspend,
    unread_bytes,
)

from service_proxy.net.request_body import STREAM_WINDOW_BYTES, RequestBody

MB = 1 << 20
LONG = 32 * MB  # bytes; the longest that the operators have seen
PIECE = bytes(range(256)) * 256  # 64 KiB
MOST_GROWTH = 12.0  # MB of memory beside a message of 32; a quarter of what holding it would take


def memory(proxy: ProxyUnderTest) -> float:
    """MB (proc(5), VmRSS)."""
    status = Path(f"/proc/{proxy.process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def post(id: str, length: int | None, target: str = "canje", budget: str = "6000m") -> bytes:
    way = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    head = f"POST /{target} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Budget: {budget}\r\n"
    return head.encode() + way + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def head_of(client: Client) -> tuple[int, dict[str, str]]:
    lines = (await client.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    return int(lines[0].split(" ")[1]), headers


async def rest_of(
    client: Client, headers: dict[str, str], each: Callable[[], Awaitable[None]]
) -> tuple[str, int]:
    """Digest and length of a body that is read to its end; raises IncompleteReadError where it is cut off."""
    digest = hashlib.sha256()
    size = 0
    reader = client.reader
    left = int(headers.get("content-length", -1))
    while left:
        if "chunked" in headers.get("transfer-encoding", ""):
            length = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(length)
            await reader.readexactly(2)
            left = length
        elif left > 0:
            data = await reader.readexactly(min(left, len(PIECE)))
            left -= len(data)
        else:  # it ends with the connection
            data = await reader.read(len(PIECE))
            left = -1 if data else 0
        digest.update(data)
        size += len(data)
        await each()
    return digest.hexdigest(), size


async def at_once() -> None:
    """A reader that waits for nothing."""


EXPECTED = hashlib.sha256(PIECE * (LONG // len(PIECE))).hexdigest()
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % LONG
CODED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDS = b"Connection: close\r\n\r\n"


def responses(way: bytes, pieces: int = LONG // len(PIECE), ends: bool = True) -> EndpointServer:
    """An endpoint that writes a long answer this way, and breaks it off or not."""

    async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            writer.write(OK + way)
            for _ in range(pieces):
                writer.write(chunk(PIECE) if way is CODED else PIECE)
                await writer.drain()
            if way is CODED and ends:
                writer.write(b"0\r\n\r\n")
            if way is ENDS or not ends:
                await writer.drain()
                writer.close()

    return EndpointServer(respond)


@pytest.mark.parametrize("way", [LENGTH, CODED, ENDS], ids=["length", "chunks", "until its end"])
def test_a_long_response_arrives_complete_and_is_never_buffered(way: bytes) -> None:
    async def test() -> None:
        async with proxy_under_test({"s-1": responses(way)}) as proxy:
            client = await proxy.connect()
            before = memory(proxy)
            most = 0.0

            async def look() -> None:
                nonlocal most
                most = max(most, memory(proxy))

            client.send("canje", "a" * 16, budget="1000m")
            code, headers = await head_of(client)
            assert code == 200
            await asyncio.sleep(0.3)  # a reader that takes nothing for a while
            assert await rest_of(client, headers, look) == (EXPECTED, LONG)
            assert most - before < MOST_GROWTH

    run_async(test())


def test_an_http_1_0_client_gets_a_long_response_that_ends_with_its_connection() -> None:
    async def test() -> None:
        async with proxy_under_test({"s-1": responses(CODED)}) as proxy:
            client = await proxy.connect()
            client.writer.write(b"GET /stock HTTP/1.0\r\nX-Call-Id: a\r\nX-Budget: 1000m\r\n\r\n")
            code, headers = await head_of(client)
            assert code == 200 and "transfer-encoding" not in headers and "content-length" not in headers
            assert await rest_of(client, headers, at_once) == (EXPECTED, LONG)

    run_async(test())


@pytest.mark.parametrize("way", [LENGTH, CODED], ids=["length", "chunks"])
def test_a_long_response_that_is_cut_off_ends_so_that_its_client_can_tell(way: bytes) -> None:
    """And a second attempt is none of the proxy's business any more."""

    async def test() -> None:
        endpoint = responses(way, pieces=4, ends=False)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.send("stock", "a" * 16)
            code, headers = await head_of(client)
            assert code == 200
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await rest_of(client, headers, at_once)
            assert endpoint.received_count == 1
            assert (await (await proxy.connect()).request("nosuch", "b" * 16)).status_code == 404

    run_async(test())


BUFFERING_S = 0.5  # in place of the program's own time, which a busy machine could not be held to


def test_a_response_that_outgrew_the_buffer_does_not_stream_the_next_one() -> None:
    """Found on zone+brink: the timer of what is held back went on when the answer was passed on for its size,
    and then made a 200 of whatever the next call on that connection was answered with, or of nothing.

    The second request has to be written before the timer of the first would have fired.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        buffered_at = 0.0  # not before the timer of the buffered part was set
        is_timely = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal buffered_at, is_timely
            if received.headers["x-call-id"].startswith("b"):
                is_timely = loop.time() < buffered_at + BUFFERING_S
                if not is_timely:
                    writer.write(response(200, b"late"))
                    return
                await asyncio.sleep(2 * BUFFERING_S)  # until the timer would have fired
                writer.write(response(500, b"a fault"))
                return
            buffered_at = loop.time()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(b"a" * 1000))
            while unread_bytes(ports_of(writer)):  # the first part is read alone, and held back
                await asyncio.sleep(0)
            writer.write(chunk(PIECE) + chunk(PIECE) + chunk(b""))

        async def set_up(number: int) -> bool:
            client.send("canje", f"a{number:015x}", budget=PATIENT_BUDGET)
            code, headers = await head_of(client)
            assert code == 200 and (await rest_of(client, headers, at_once))[1] == 1000 + 2 * len(PIECE)
            answer = await client.request("canje", f"b{number:015x}", budget=PATIENT_BUDGET)
            assert answer.status_code == (502 if is_timely else 200)
            first, second = [await next_request(endpoint) for _ in range(2)]
            assert first.connection == second.connection and endpoint.received_count == 2 * (number + 1)
            return is_timely

        endpoint = EndpointServer(respond)
        async with proxy_under_test(
            {"s-1": endpoint}, program=buffering_for(BUFFERING_S), **patient_settings()
        ) as proxy:
            client = await proxy.connect()
            await repeat_until_timely(set_up)

    run_async(test())


@pytest.mark.parametrize("length", [1000, 30_000])
def test_a_reset_that_came_while_the_process_was_stalled_leaves_nothing_streamed(length: int) -> None:
    """An answer of unknown length is held back for a while, so that one that is reset on the way is an
    attempt that failed. After a stall that while is over before the reset is read.

    The process has to be stopped before that while is over: else the answer is streamed, as it should be.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        is_first_attempt = True
        is_timely = False

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal is_first_attempt, is_timely
            if not is_first_attempt:
                writer.write(response(200, b"whole"))
                return
            is_first_attempt = False
            ports = ports_of(writer)
            written_at = loop.time()
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"a" * length)
            while unread_bytes(ports):
                await asyncio.sleep(0)
            await suspend(proxy.process)
            is_timely = loop.time() < written_at + BUFFERING_S
            if is_timely:
                await asyncio.sleep(2 * BUFFERING_S)  # the stall itself
                reset_on_close(writer.get_extra_info("socket"))
                writer.transport.abort()
                while unread_bytes(ports) is not None:
                    await asyncio.sleep(0)
            else:
                writer.close()
            proxy.process.send_signal(signal.SIGCONT)

        async def set_up(number: int) -> bool:
            nonlocal is_first_attempt
            is_first_attempt = True
            received_before = endpoint.received_count
            answer = await (await proxy.connect()).request("stock", f"{number:016x}", budget=PATIENT_BUDGET)
            assert answer.status_code == 200
            if is_timely:
                assert answer.body == b"whole" and endpoint.received_count == received_before + 2
            return is_timely

        endpoint = EndpointServer(respond)
        # The reset after so long a stall may eject an endpoint: the other name is there for the retry.
        async with proxy_under_test(
            {"s-1": endpoint, "s-2": endpoint}, program=buffering_for(BUFFERING_S), **patient_settings()
        ) as proxy:
            await repeat_until_timely(set_up)

    run_async(test())


def test_a_client_that_disconnects_in_mid_response_ends_it_at_its_endpoint() -> None:
    async def test() -> None:
        endpoint = responses(LENGTH)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.send("stock", "a" * 16)
            assert (await head_of(client))[0] == 200
            client.writer.transport.abort()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await endpoint.closed_connections.get()

    run_async(test())


def test_a_long_response_that_is_no_200_ends_its_attempt_by_its_head() -> None:
    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if first.received_count == 1:
                writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: %d\r\n\r\n" % LONG)
            else:
                writer.write(response(200, b"done"))

        first = EndpointServer(respond)
        async with proxy_under_test({"s-1": first}) as proxy:
            answer = await (await proxy.connect()).request("canje", "a" * 16, budget="3000m")
            assert (answer.status_code, answer.body, first.received_count) == (200, b"done", 2)

    run_async(test())


def test_clients_that_read_nothing_cost_the_memory_they_are_accounted_with() -> None:
    """40 of them before answers of 32 MB: together a tenth of one, beyond what the kernel holds."""

    async def test() -> None:
        async with proxy_under_test({"s-1": responses(LENGTH)}) as proxy:
            before = memory(proxy)
            clients = [await proxy.connect() for _ in range(40)]
            heads = 0
            for n, client in enumerate(clients):
                client.writer.transport.pause_reading()  # type: ignore[attr-defined]
                client.send("stock", f"{n:016x}", budget="1200m")
            await asyncio.sleep(1.0)
            assert memory(proxy) - before < 40 * 0.3
            for client in clients:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                heads += (await head_of(client))[0] == 200
            assert heads > 0  # the rest may have been refused: it is a crowd for one server

    run_async(test())


def sink(received: list[tuple[str, int]]) -> EndpointServer:
    """An endpoint that reads bodies of any length and says what it got."""

    async def respond(seen_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response(200, b"%d" % len(seen_.body)))

    made = EndpointServer(respond)

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        made.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                if lines[0].split(" ")[1] in ("/load", "/healthz"):
                    writer.write(response(200, b"inflight=0,queue=0"))
                    continue
                taken = Client(reader, writer)
                made.received_count += 1
                if "transfer-encoding" not in headers:
                    headers.setdefault("content-length", "0")
                received.append(await rest_of(taken, headers, at_once))
                writer.write(response(200, b"%d" % received[-1][1]))
        made.closed_connections.put_nowait(0)
        writer.close()

    made._connection = connection  # type: ignore[method-assign]
    return made


@pytest.mark.parametrize("coded", [False, True], ids=["length", "chunks"])
def test_a_long_request_body_arrives_complete_and_is_never_buffered(coded: bool) -> None:
    async def test() -> None:
        got: list[tuple[str, int]] = []
        async with proxy_under_test({"s-1": sink(got)}) as proxy:
            client = await proxy.connect()
            before = memory(proxy)
            most = 0.0
            client.writer.write(post("a" * 16, None if coded else LONG))
            for _ in range(LONG // len(PIECE)):
                client.writer.write(chunk(PIECE) if coded else PIECE)
                await client.writer.drain()
                most = max(most, memory(proxy))
            if coded:
                client.writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
            answer = await client.response()
            assert (answer.status_code, answer.body) == (200, b"%d" % LONG)
            assert got == [(EXPECTED, LONG)]
            assert most - before < MOST_GROWTH
            again = await client.request("canje", "b" * 16, budget="6000m")
            assert again.status_code == 200  # the connection is kept

    run_async(test())


def test_a_buffered_body_is_retried_on_a_second_endpoint_where_the_first_rejected_it() -> None:
    async def test() -> None:
        got: list[tuple[str, int]] = []

        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(503, b"", X_Rejected="1"))

        full = EndpointServer(respond)
        taken = sink(got)
        async with proxy_under_test({"s-1": full, "s-2": taken}) as proxy:
            data = PIECE * 32  # 2 MB
            for n in range(20):
                answer = await (await proxy.connect()).request(
                    "canje", f"{n:016x}", budget="3000m", body=data
                )
                assert answer.status_code == 200
            assert full.received_count > 0 and len(got) == 20
            assert set(got) == {(hashlib.sha256(data).hexdigest(), len(data))}

    run_async(test())


def test_a_streamed_body_is_rejected_where_its_endpoint_breaks_before_the_last_byte() -> None:
    """It can't have run, and it is not there any more to be sent again."""

    async def test() -> None:
        begun = asyncio.Event()

        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                writer.write(response(200, b"inflight=0,queue=0"))
            endpoint.received_count += 1
            await reader.readexactly(MB)
            begun.set()
            writer.transport.abort()

        endpoint = EndpointServer()
        endpoint._connection = connection  # type: ignore[method-assign]
        async with proxy_under_test({"s-1": endpoint, "s-2": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post("a" * 16, LONG))
            with contextlib.suppress(ConnectionError):
                for _ in range(8 * MB // len(PIECE)):
                    client.writer.write(PIECE)
                    await client.writer.drain()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await begun.wait()
            assert (await client.response()).status_code == 503
            assert endpoint.received_count == 1

    run_async(test())


def test_a_response_before_the_body_is_complete_is_the_response() -> None:
    async def test() -> None:
        async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while not (await reader.readuntil(b"\r\n\r\n")).startswith(b"POST"):
                writer.write(response(200, b"inflight=0,queue=0"))
            await reader.readexactly(MB)
            writer.write(response(200, b"enough"))
            with contextlib.suppress(ConnectionError):
                while await reader.read(MB):
                    pass
            closed.set()  # the proxy has ended it

        closed = asyncio.Event()
        endpoint = EndpointServer()
        endpoint._connection = connection  # type: ignore[method-assign]
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post("a" * 16, LONG) + PIECE * (5 * MB // len(PIECE)))
            answer = await client.response()
            assert (answer.status_code, answer.body, answer.headers["connection"]) == (
                200,
                b"enough",
                "close",
            )
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await closed.wait()

    run_async(test())


def test_a_client_that_disconnects_in_mid_body_leaves_nothing_that_could_be_executed() -> None:
    async def test() -> None:
        got: list[tuple[str, int]] = []
        endpoint = sink(got)
        async with proxy_under_test({"s-1": endpoint}) as proxy:
            client = await proxy.connect()
            client.writer.write(post("a" * 16, LONG) + PIECE * (8 * MB // len(PIECE)))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not endpoint.received_count:
                    await asyncio.sleep(0.01)
                client.writer.transport.abort()
                await endpoint.closed_connections.get()
            assert got == []

    run_async(test())


def test_a_client_that_sends_64_kb_a_second_after_a_slow_head_is_served() -> None:
    """Its head takes 1.5 s and its body 2: together more than either may."""

    async def test() -> None:
        got: list[tuple[str, int]] = []
        async with proxy_under_test({"s-1": sink(got)}) as proxy:
            client = await proxy.connect()
            head = post("a" * 16, 2 * len(PIECE))
            for place in range(0, len(head), 8):
                client.writer.write(head[place : place + 8])
                await asyncio.sleep(12 / len(head))
            for _ in range(32):
                client.writer.write(PIECE[:4096])
                await asyncio.sleep(2.0 / 32)
            assert (await client.response()).status_code == 200
            assert got[0][1] == 2 * len(PIECE)

    run_async(test())


def test_white_space_behind_a_field_value_is_no_part_of_it() -> None:
    """RFC 9110, 5.5; on both sides."""

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


def test_a_replayable_body_keeps_its_parts_and_a_streamed_one_lets_them_go() -> None:
    told: list[str] = []

    class Reader:
        def on_body_progress(self) -> None:
            told.append("more")

    body = RequestBody()
    body.reader, body.on_drained = Reader(), lambda: told.append("room")
    body.on_complete = lambda: told.append("whole")
    body.append(b"ab")
    assert (body.parts, body.is_full) == ([b"ab"], False)
    body.is_replayable = False
    body.append(bytes(STREAM_WINDOW_BYTES))
    assert body.is_full
    assert body.take_parts() == [b"ab", bytes(STREAM_WINDOW_BYTES)] and not body.is_full and body.parts == []
    body.finish()
    assert told == ["more", "more", "room", "whole", "more"]
    assert body.length is None and RequestBody.of(b"abc").length == 3


def test_the_deadline_of_a_streamed_body_begins_with_its_last_byte() -> None:
    """Its upload takes longer than its budget; an endpoint that then says nothing is given just that."""

    async def test() -> None:
        async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            """It has all of it, and says nothing."""

        async with proxy_under_test({"s-1": EndpointServer(respond)}) as proxy:
            client = await proxy.connect()
            loop = asyncio.get_running_loop()
            length = 6 * MB
            client.writer.write(post("a" * 16, length, budget="500m"))
            for _ in range(length // MB):
                client.writer.write(bytes(MB))
                await client.writer.drain()
                await asyncio.sleep(0.15)
            whole = loop.time()
            assert (await client.response()).status_code in (502, 504)
            assert 0.2 < loop.time() - whole < 1.0

    run_async(test())
