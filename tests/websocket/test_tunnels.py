"""Tests of tunnels through a running proxy: directions, closes, drains, silent peers and limits, audited."""

from __future__ import annotations

import asyncio
import re
import struct
import time

import pytest
from websocket_test_harness import (
    CONFIG,
    UNLIMITED_RATE,
    WAIT_TIMEOUT_S,
    RawClient,
    WebSocketDeployment,
    max_in_100_ms,
    run_test,
    running_websocket_proxy,
)
from wsproto.frame_protocol import Opcode

from harness.event_loop import until
from harness.websocket_endpoint import ScriptedFault
from harness.websocket_frames import frame

RECONNECT_REASON = re.compile(r"reconnect in \d+\.\d\d s")
FAST_PINGS = CONFIG + "ping_every = 0.4\nping_timeout = 0.4\n"


def test_messages_pass_in_both_directions_unfragmented_fragmented_and_long() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED_RATE) as deployment:
            client = await deployment.connect()
            for text in ("hola", "ñ" * 1000, "x" * 60_000):
                client.send(text)
                assert await client.read_text() == "n-0 " + text
            client.send("en ", False)
            client.send_bytes(bytes(client.frames.ping(b"p")))
            client.send("dos", True)
            frames = [await client.read_frame(), await client.read_frame()]
            assert Opcode.PONG in [f.opcode for f in frames]
            assert deployment.endpoints[0].messages[-1] == "en dos"
            client.send_bytes(frame(2, b"\x00\xff", False) + frame(0, b"\x01"))
            await until(lambda: deployment.endpoints[0].messages[-1] == b"\x00\xff\x01", "a binary message")
            assert deployment.violations() == []

    run_test(test())


def test_frames_directly_behind_an_endpoints_101_arrive() -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("behind"),)) as deployment:
            client = await deployment.connect()
            assert await client.read_text() == "behind"

    run_test(test())


@pytest.mark.parametrize("code", [1000, 1001, 3999, 4321])
def test_a_close_frame_is_forwarded_with_its_code(code: int) -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("close", session=2, after=1),)) as deployment:
            client = await deployment.connect()
            client.send_close(code, "adios")
            assert (await client.read_close())[0] == code
            assert await client.is_closed()
            await until(lambda: deployment.endpoints[0].close_codes[code] == 1, "the endpoint's close")
            other = await deployment.connect()
            other.send("x")
            assert await other.read_close() == (4321, "scripted")
            assert deployment.violations() == []

    run_test(test())


def test_close_frames_that_cross_end_both_sides() -> None:
    """The endpoint sends its close frame after a message that the client's own close frame follows."""

    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("close", after=1),)) as deployment:
            for _ in range(10):
                client = await deployment.connect()
                client.send_bytes(bytes(client.frames.send_data("x")) + bytes(client.frames.close(1000, "")))
                assert (await client.read_close())[0] in (1000, 4321)
                assert await client.is_closed()
            await until(lambda: not deployment.endpoints[0].open_sessions, "no session at the endpoint")

    run_test(test())


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        ("masked", 1011),
        ("reserved", 1011),
        ("opcode", 1011),
        ("utf8", 1011),
        ("long", 1011),
        ("unasked", 1011),
        ("close-1", 1011),
        ("reset", 1012),
    ],
)
def test_an_endpoints_protocol_violation_or_loss_closes_its_own_client_alone(kind: str, code: int) -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault(kind, session=1, after=1),)) as deployment:
            client = await deployment.connect()
            other = await deployment.connect()
            client.send("x")
            close_code, reason = await client.read_close()
            assert close_code == code, reason
            assert code != 1012 or RECONNECT_REASON.fullmatch(reason), reason
            other.send("y")
            assert await other.read_text() == "n-0 y"

    run_test(test())


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (frame(1, b"x", mask=False), 1002),
        (frame(1, b"x", rsv=2), 1002),
        (frame(1, b"\xc3", fin=False) + frame(0, b"\x28"), 1007),
        (frame(2, length=b"\x7f" + struct.pack("!Q", 1 << 63)), 1002),
        (frame(2, length=b"\x7f" + struct.pack("!Q", 1 << 40)), 1009),
        (frame(2, b"x" * 40_000, fin=False) + frame(0, b"x" * 40_000), 1009),
        (frame(9) * 200, 1008),
        (frame(10) * 200, 1008),
        (frame(1, b"x", fin=False) + frame(0, b"x", fin=False) * 2000, 1008),
        (frame(1, b"x") * 300, 1008),
    ],
)
def test_a_client_that_violates_the_protocol_or_a_limit_is_closed_with_its_code(
    data: bytes, code: int
) -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client = await deployment.connect()
            other = await deployment.connect()
            client.send_bytes(data)
            assert (await client.read_close())[0] == code
            assert await client.is_closed()
            other.send("y")
            assert await other.read_text() == "n-0 y"
            await deployment.wait_for_session_count(1)

    run_test(test())


def test_one_byte_fragments_arrive_as_one_message() -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client = await deployment.connect()
            text = "reserva" * 100
            client.send_bytes(
                b"".join(frame(1 if not n else 0, c.encode(), fin=False) for n, c in enumerate(text))
                + frame(0)
            )
            assert await client.read_text() == "n-0 " + text

    run_test(test())


async def assert_drained(deployment: WebSocketDeployment, notified_at: float, client: RawClient) -> None:
    """Assert that the client is closed with 1012 and that the endpoint has no session in time."""
    code, reason = await client.read_close()
    assert code == 1012
    assert RECONNECT_REASON.fullmatch(reason)
    await deployment.wait_for_no_session()
    assert time.monotonic() < notified_at + 2.0
    assert deployment.violations() == []


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize(
    "when", ["idle", "in a message", "in a fragmented message", "in the closing handshake"]
)
def test_a_drain_closes_a_session_in_any_state(when: str, state: str) -> None:
    async def test() -> None:
        async with running_websocket_proxy(endpoint_count=1) as deployment:
            client = await deployment.connect()
            client.send("x")
            await client.read_text()
            if when == "in a message":
                client.send_bytes(frame(1, b"half of it")[:-4])
            elif when == "in a fragmented message":
                client.send("half", False)
            elif when == "in the closing handshake":
                deployment.endpoints[0].answers_closes = False
                client.send_close(1000)
            notified_at = await deployment.notify_status(deployment.endpoints[0], state)
            if when == "in the closing handshake":
                assert (await client.read_close())[0] in (1000, 1012)
                await deployment.wait_for_no_session()
                assert time.monotonic() < notified_at + 2.0
                return
            await assert_drained(deployment, notified_at, client)

    run_test(test())


def test_a_drain_during_the_handshake_leaves_no_session_at_the_endpoint() -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("no-answer"),), (), endpoint_count=2) as deployment:
            clients = [await deployment.start_handshake() for _ in range(6)]
            await until(
                lambda: deployment.endpoints[0].session_count and deployment.endpoints[1].session_count,
                "both have a request",
            )
            notified_at = await deployment.notify_status(deployment.endpoints[0], "Terminating")
            heads = [await client.read_head() for client in clients]
            assert any(" 101 " in head for head in heads)
            await deployment.wait_for_no_session()
            assert all(
                a.first_byte_at < notified_at + 2.0
                for a in deployment.recorder.attempts
                if a.endpoint == "n-0"
            )
            assert deployment.violations() == []

    run_test(test())


def test_a_101_after_the_drain_opens_no_session_beyond_the_drain_time() -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("late"),)) as deployment:
            for _ in range(20):  # Repeats until the drain's notification arrives during a handshake.
                client = await deployment.start_handshake()
                await until(
                    lambda: any(a.ended_at > 1e9 for a in deployment.recorder.attempts), "it has a request"
                )
                notified_at = await deployment.notify_status(deployment.endpoints[0], "Terminating")
                if " 101 " in await client.read_head():
                    assert (await client.read_close())[0] == 1012
                    await deployment.wait_for_no_session()
                    assert time.monotonic() < notified_at + 2.0
                    assert deployment.violations() == []
                    return
                deployment.set_status(deployment.endpoints[0], "Ready")
            raise AssertionError("no 101 ever came after the drain")

    run_test(test())


def test_sessions_of_a_restarted_endpoint_are_closed() -> None:
    """Sessions of an endpoint's previous process are not sessions of a new process with the same name."""

    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client = await deployment.connect()
            deployment.registry.put(
                deployment.entry(deployment.endpoints[0], since_ms=int(time.time() * 1000) + 1000)
            )
            code, reason = await client.read_close()
            assert code == 1012
            assert RECONNECT_REASON.fullmatch(reason)
            await deployment.wait_for_no_session()

    run_test(test())


def test_sessions_of_a_drained_endpoint_reconnect_elsewhere_after_different_delays() -> None:
    async def test() -> None:
        config = UNLIMITED_RATE + "reconnect_spread = 1.0\n"
        async with running_websocket_proxy(endpoint_count=2, config=config) as deployment:
            for n in range(40):
                await deployment.client_pool.add(f"k{n}", "/vigia").connect()
            await until(lambda: deployment.client_pool.connected_count == 40, "all are connected")
            moved_count = len(deployment.endpoints[0].open_sessions)
            assert 5 <= moved_count <= 35
            notified_at = await deployment.notify_status(deployment.endpoints[0], "Terminating")
            await deployment.wait_for_no_session()
            assert time.monotonic() < notified_at + 2.0
            await until(
                lambda: deployment.client_pool.connected_count == 40
                and len(deployment.endpoints[1].open_sessions) == 40,
                "all are connected again",
            )
            assert deployment.client_pool.close_codes == {1012: moved_count}
            reconnects = sorted(deployment.client_pool.connect_times)[40:]
            assert len(reconnects) == moved_count
            assert max_in_100_ms(reconnects) <= 4 + moved_count * 0.3
            assert deployment.violations() == []

    run_test(test())


def test_an_endpoint_that_stops_sending_after_its_101_times_out() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            (ScriptedFault("silent", session=1, after=0),), config=FAST_PINGS
        ) as deployment:
            client = await deployment.connect()
            started_at = time.monotonic()
            code, reason = await client.read_close()
            assert code == 1012
            assert RECONNECT_REASON.fullmatch(reason)
            # 0.4 s until the ping, 0.4 s until its timeout, 0.25 s between checks, and a margin for a busy
            # machine.
            assert 0.75 < time.monotonic() - started_at < 4.0
            await deployment.wait_for_no_session()

    run_test(test())


def test_an_endpoint_that_answers_no_ping_times_out() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            (ScriptedFault("mute", session=1, after=0),), config=FAST_PINGS
        ) as deployment:
            assert (await (await deployment.connect()).read_close())[0] == 1012

    run_test(test())


def test_a_client_that_answers_no_ping_ends_the_tunnel_on_both_sides() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=FAST_PINGS) as deployment:
            client = await deployment.connect()
            await deployment.wait_for_session_count(1)
            client.pause_reading()
            await deployment.wait_for_no_session()
            assert deployment.endpoints[0].close_codes[1001] + deployment.endpoints[0].close_codes[1006] == 1

    run_test(test())


def test_an_idle_session_that_answers_pings_stays_open() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=FAST_PINGS) as deployment:
            client = await deployment.connect()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.0):
                    await client.read_frame()
            client.send("still here")
            assert await client.read_text() == "n-0 still here"

    run_test(test())


def test_a_slow_client_delays_no_other_and_is_closed_at_its_limit() -> None:
    """A client that reads no reply may fill a bounded buffer only, and must not delay other clients."""

    async def test() -> None:
        async with running_websocket_proxy(config=UNLIMITED_RATE) as deployment:
            slow = await deployment.connect()
            quick = await deployment.connect()
            slow.pause_reading()
            resident_before = deployment.proxy.resident_mb()
            data = bytes(slow.frames.send_data("x" * 60_000))
            max_latency = 0.0

            async def flood() -> None:
                for _ in range(400):  # 24 MB, and the same amount echoed.
                    slow.send_bytes(data)
                    await slow.writer.drain()

            flooding = asyncio.create_task(flood())
            for _ in range(100):
                sent_at = time.monotonic()
                quick.send("y")
                assert await quick.read_text() == "n-0 y"
                max_latency = max(max_latency, time.monotonic() - sent_at)
                await asyncio.sleep(0.01)
            assert max_latency < 1.0
            assert deployment.proxy.resident_mb() - resident_before < 12.0  # Limit in MB.
            await deployment.wait_for_session_count(1)
            slow.resume_reading()
            assert (await slow.read_close())[0] == 1008
            flooding.cancel()
            await asyncio.gather(flooding, return_exceptions=True)

    run_test(test())


def test_a_slow_endpoint_applies_backpressure_and_nothing_is_lost() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            (ScriptedFault("slow", session=1, after=1),), config=UNLIMITED_RATE
        ) as deployment:
            client = await deployment.connect()
            texts = [f"{n:04d}" + "x" * 20_000 for n in range(100)]

            async def send() -> None:
                for text in texts:
                    client.send(text)
                    await client.writer.drain()

            sending = asyncio.create_task(send())
            for text in texts[1:]:  # The first message makes the client slow.
                assert await client.read_text() == "n-0 " + text
            await sending
            assert deployment.endpoints[0].messages == texts

    run_test(test())


def test_the_endpoint_chooses_the_subprotocol_of_a_tunnel() -> None:
    async def test() -> None:
        async with running_websocket_proxy() as deployment:
            client = await deployment.start_handshake(
                "/vigia", "Sec-WebSocket-Protocol: cambio.v1, cambio.v2\r\n"
            )
            assert "sec-websocket-protocol: cambio.v1\r\n" in await client.read_head()

    run_test(test())


def test_at_sigterm_tunnels_are_closed_with_1001_and_a_delay_and_the_process_ends() -> None:
    async def test() -> None:
        async with running_websocket_proxy(endpoint_count=2) as deployment:
            clients = [await deployment.connect() for _ in range(20)]
            deployment.proxy.process.terminate()
            closes = [await client.read_close() for client in clients]
            assert {code for code, _ in closes} == {1001}
            assert len({reason for _, reason in closes}) > 15
            assert all(RECONNECT_REASON.fullmatch(reason) for _, reason in closes)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                assert await deployment.proxy.process.wait() == 0

    run_test(test())


def test_the_loss_of_an_endpoint_closes_the_session_and_another_endpoint_serves() -> None:
    async def test() -> None:
        async with running_websocket_proxy(endpoint_count=2) as deployment:
            client = await deployment.connect()
            client.send("x")
            lost = int((await client.read_text())[2])
            deployment.endpoints[lost].stop()
            assert (await client.read_close())[0] == 1012
            for _ in range(4):
                again = await deployment.connect()
                again.send("y")
                assert await again.read_text() == f"n-{1 - lost} y"

    run_test(test())
