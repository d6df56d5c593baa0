"""Tunnels through the program itself: both ways, closes, drains, silence, limits; audited by the ledger."""

from __future__ import annotations

import asyncio
import re
import struct
import time

import pytest
from wskit import CONFIG, PATIENCE, Made, Raw, run, running
from wsproto.frame_protocol import Opcode

from harness.event_loop import until
from harness.websocket_endpoint import ScriptedFault
from harness.websocket_frames import frame

WAIT = re.compile(r"reconnect in \d+\.\d\d s")
QUICK = CONFIG + "ping_every = 0.4\nping_timeout = 0.4\n"
FREE = CONFIG + "messages_per_s = 10000.0\nburst = 10000.0\n"


def test_messages_pass_both_ways_whole_in_pieces_and_long() -> None:
    async def test() -> None:
        async with running(config=FREE) as made:
            raw = await made.opened()
            for text in ("hola", "ñ" * 1000, "x" * 60_000):
                raw.send(text)
                assert await raw.text() == "n-0 " + text
            raw.send("en ", False)
            raw.raw(bytes(raw.frames.ping(b"p")))
            raw.send("dos", True)
            found = [await raw.frame(), await raw.frame()]
            assert Opcode.PONG in [f.opcode for f in found]
            assert made.nodes[0].messages[-1] == "en dos"
            raw.raw(frame(2, b"\x00\xff", False) + frame(0, b"\x01"))
            await until(lambda: made.nodes[0].messages[-1] == b"\x00\xff\x01", "a binary message")
            assert made.audited() == []

    run(test())


def test_what_a_node_sends_right_behind_its_101_arrives() -> None:
    async def test() -> None:
        async with running((ScriptedFault("behind"),)) as made:
            raw = await made.opened()
            assert await raw.text() == "behind"

    run(test())


@pytest.mark.parametrize("code", [1000, 1001, 3999, 4321])
def test_a_close_goes_to_the_other_end_with_its_code(code: int) -> None:
    async def test() -> None:
        async with running((ScriptedFault("close", session=2, after=1),)) as made:
            raw = await made.opened()
            raw.raw(bytes(raw.frames.close(code, "adios")))
            assert (await raw.closed())[0] == code and await raw.ended()
            await until(lambda: made.nodes[0].close_codes[code] == 1, "the node's close")
            other = await made.opened()
            other.send("x")
            assert await other.closed() == (4321, "scripted")
            assert made.audited() == []

    run(test())


def test_closes_that_cross_end_both_sides() -> None:
    """The node closes at the message behind which the client's own close comes."""

    async def test() -> None:
        async with running((ScriptedFault("close", after=1),)) as made:
            for _ in range(10):
                raw = await made.opened()
                raw.raw(bytes(raw.frames.send_data("x")) + bytes(raw.frames.close(1000, "")))
                assert (await raw.closed())[0] in (1000, 4321)
                assert await raw.ended()
            await until(lambda: not made.nodes[0].open_sessions, "no session is left at the node")

    run(test())


@pytest.mark.parametrize(
    ("what", "code"),
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
def test_a_node_that_breaks_the_protocol_or_is_lost_is_told_to_its_client_alone(what: str, code: int) -> None:
    async def test() -> None:
        async with running((ScriptedFault(what, session=1, after=1),)) as made:
            raw = await made.opened()
            other = await made.opened()
            raw.send("x")
            found, said = await raw.closed()
            assert found == code and (code != 1012 or WAIT.fullmatch(said)), (found, said)
            other.send("y")
            assert await other.text() == "n-0 y"

    run(test())


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
def test_a_client_that_breaks_the_protocol_or_a_limit_is_closed_with_its_code(data: bytes, code: int) -> None:
    async def test() -> None:
        async with running() as made:
            raw = await made.opened()
            other = await made.opened()
            raw.raw(data)
            assert (await raw.closed())[0] == code and await raw.ended()
            other.send("y")
            assert await other.text() == "n-0 y"
            await until(lambda: len(made.nodes[0].open_sessions) == 1, "the node is left")

    run(test())


def test_one_byte_fragments_arrive_as_one_message() -> None:
    async def test() -> None:
        async with running() as made:
            raw = await made.opened()
            text = "reserva" * 100
            raw.raw(
                b"".join(frame(1 if not n else 0, c.encode(), fin=False) for n, c in enumerate(text))
                + frame(0)
            )
            assert await raw.text() == "n-0 " + text

    run(test())


async def drained(made: Made, told_at: float, raw: Raw) -> None:
    """The client is told 1012 with a wait, and the node holds no session 2 s after it was told."""
    code, said = await raw.closed()
    assert code == 1012 and WAIT.fullmatch(said)
    await until(lambda: not made.nodes[0].open_sessions, "the node is left")
    assert time.monotonic() < told_at + 2.0
    assert made.audited() == []


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize(
    "when", ["idle", "in a message", "in a fragmented message", "in the closing handshake"]
)
def test_a_drain_ends_a_session_wherever_it_is(when: str, state: str) -> None:
    async def test() -> None:
        async with running(nodes=1) as made:
            raw = await made.opened()
            raw.send("x")
            await raw.text()
            if when == "in a message":
                raw.raw(frame(1, b"half of it")[:-4])
            elif when == "in a fragmented message":
                raw.send("half", False)
            elif when == "in the closing handshake":
                made.nodes[0].answers_closes = False
                raw.raw(bytes(raw.frames.close(1000, "")))
            at = await made.told(made.nodes[0], state)
            if when == "in the closing handshake":
                assert (await raw.closed())[0] in (1000, 1012)
                await until(lambda: not made.nodes[0].open_sessions, "the node is left")
                assert time.monotonic() < at + 2.0
                return
            await drained(made, at, raw)

    run(test())


def test_a_drain_that_is_told_while_the_handshake_goes_on_leaves_no_session_there() -> None:
    async def test() -> None:
        async with running((ScriptedFault("no-answer"),), (), nodes=2) as made:
            raw = [await made.client() for _ in range(6)]
            await until(lambda: made.nodes[0].session_count and made.nodes[1].session_count, "both are asked")
            at = await made.told(made.nodes[0], "Terminating")
            heads = [await one.head() for one in raw]
            assert any(" 101 " in head for head in heads)
            await until(lambda: not made.nodes[0].open_sessions, "no session there")
            assert all(a.first_byte_at < at + 2.0 for a in made.ledger.attempts if a.endpoint == "n-0")
            assert made.audited() == []

    run(test())


def test_a_101_that_comes_after_the_drain_was_told_opens_nothing_for_long() -> None:
    async def test() -> None:
        async with running((ScriptedFault("late"),)) as made:
            for _ in range(20):  # until the drain is told while a handshake goes on
                raw = await made.client()
                await until(lambda: any(a.ended_at > 1e9 for a in made.ledger.attempts), "it is asked")
                at = await made.told(made.nodes[0], "Terminating")
                if " 101 " in await raw.head():
                    assert (await raw.closed())[0] == 1012
                    await until(lambda: not made.nodes[0].open_sessions, "the node is left")
                    assert time.monotonic() < at + 2.0
                    assert made.audited() == []
                    return
                made.tell(made.nodes[0], "Ready")
            raise AssertionError("no 101 ever came after the drain")

    run(test())


def test_a_node_that_is_another_one_by_now_is_left() -> None:
    """The same name, begun anew: what was pinned to the old one is not the new one's."""

    async def test() -> None:
        async with running() as made:
            raw = await made.opened()
            made.registry.put(made.entry(made.nodes[0], since_ms=int(time.time() * 1000) + 1000))
            code, said = await raw.closed()
            assert code == 1012 and WAIT.fullmatch(said)
            await until(lambda: not made.nodes[0].open_sessions, "the old one is left")

    run(test())


def test_sessions_of_a_drained_node_are_told_different_waits_and_come_back_elsewhere() -> None:
    async def test() -> None:
        config = FREE + "reconnect_spread = 1.0\n"
        async with running(nodes=2, config=config) as made:
            for n in range(40):
                await made.kiosks.add(f"k{n}", "/vigia").connect()
            await until(lambda: made.kiosks.connected_count == 40, "all are up")
            leaving = len(made.nodes[0].open_sessions)
            assert 5 <= leaving <= 35
            at = await made.told(made.nodes[0], "Terminating")
            await until(lambda: not made.nodes[0].open_sessions, "the node is left")
            assert time.monotonic() < at + 2.0
            await until(
                lambda: made.kiosks.connected_count == 40 and len(made.nodes[1].open_sessions) == 40,
                "all are back",
            )
            assert made.kiosks.close_codes == {1012: leaving}
            back = sorted(made.kiosks.connect_times)[40:]
            assert len(back) == leaving
            assert max(sum(1 for b in back if a <= b < a + 0.1) for a in back) <= 4 + leaving * 0.3
            assert made.audited() == []

    run(test())


def test_a_node_that_goes_silent_after_its_101_is_left() -> None:
    async def test() -> None:
        async with running((ScriptedFault("silent", session=1, after=0),), config=QUICK) as made:
            raw = await made.opened()
            begun = time.monotonic()
            code, said = await raw.closed()
            assert code == 1012 and WAIT.fullmatch(said)
            # 0.4 s to the ping, 0.4 s for its pong, 0.25 s between looks, and a busy machine.
            assert 0.75 < time.monotonic() - begun < 4.0
            await until(lambda: not made.nodes[0].open_sessions, "its connection ends")

    run(test())


def test_a_node_that_reads_but_answers_no_ping_is_left() -> None:
    async def test() -> None:
        async with running((ScriptedFault("mute", session=1, after=0),), config=QUICK) as made:
            assert (await (await made.opened()).closed())[0] == 1012

    run(test())


def test_a_client_that_answers_no_ping_ends_and_so_does_its_node() -> None:
    async def test() -> None:
        async with running(config=QUICK) as made:
            raw = await made.opened()
            await until(lambda: len(made.nodes[0].open_sessions) == 1, "the session")
            raw.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: not made.nodes[0].open_sessions, "the node is left")
            assert made.nodes[0].close_codes[1001] + made.nodes[0].close_codes[1006] == 1

    run(test())


def test_a_session_that_is_quiet_and_answers_pings_stays() -> None:
    async def test() -> None:
        async with running(config=QUICK) as made:
            raw = await made.opened()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.0):
                    await raw.frame()
            raw.send("still here")
            assert await raw.text() == "n-0 still here"

    run(test())


def test_a_slow_kiosk_delays_nobody_and_is_closed_at_its_bound() -> None:
    """It reads nothing of what it asks for: the proxy holds a bounded part, the others go on meanwhile."""

    async def test() -> None:
        async with running(config=FREE) as made:
            slow = await made.opened()
            quick = await made.opened()
            transport = slow.writer.transport
            transport.pause_reading()  # type: ignore[attr-defined]
            before = made.program.resident_mb()
            data = bytes(slow.frames.send_data("x" * 60_000))
            longest = 0.0

            async def flood() -> None:
                for _ in range(400):  # 24 MB, and as much back
                    slow.raw(data)
                    await slow.writer.drain()

            flooding = asyncio.create_task(flood())
            for _ in range(100):
                at = time.monotonic()
                quick.send("y")
                assert await quick.text() == "n-0 y"
                longest = max(longest, time.monotonic() - at)
                await asyncio.sleep(0.01)
            assert longest < 1.0
            assert made.program.resident_mb() - before < 12.0  # MB
            await until(lambda: len(made.nodes[0].open_sessions) == 1, "its node is left")
            transport.resume_reading()  # type: ignore[attr-defined]
            assert (await slow.closed())[0] == 1008
            flooding.cancel()
            await asyncio.gather(flooding, return_exceptions=True)

    run(test())


def test_a_slow_node_holds_its_client_back_and_nothing_is_lost() -> None:
    async def test() -> None:
        async with running((ScriptedFault("slow", session=1, after=1),), config=FREE) as made:
            raw = await made.opened()
            texts = [f"{n:04d}" + "x" * 20_000 for n in range(100)]

            async def send() -> None:
                for text in texts:
                    raw.send(text)
                    await raw.writer.drain()

            sending = asyncio.create_task(send())
            for text in texts[1:]:  # the first one made it slow
                assert await raw.text() == "n-0 " + text
            await sending
            assert made.nodes[0].messages == texts

    run(test())


def test_subprotocols_are_chosen_by_the_node() -> None:
    async def test() -> None:
        async with running() as made:
            raw = await made.client("/vigia", "Sec-WebSocket-Protocol: cambio.v1, cambio.v2\r\n")
            assert "sec-websocket-protocol: cambio.v1\r\n" in await raw.head()

    run(test())


def test_at_sigterm_tunnels_are_told_1001_with_a_wait_and_the_program_ends() -> None:
    async def test() -> None:
        async with running(nodes=2) as made:
            raws = [await made.opened() for _ in range(20)]
            made.program.process.terminate()
            said = [await raw.closed() for raw in raws]
            assert {code for code, _ in said} == {1001}
            assert len({reason for _, reason in said}) > 15 and all(WAIT.fullmatch(r) for _, r in said)
            async with asyncio.timeout(PATIENCE):
                assert await made.program.process.wait() == 0

    run(test())


def test_a_node_that_dies_in_mid_session_is_told_and_the_next_one_serves() -> None:
    async def test() -> None:
        async with running(nodes=2) as made:
            raw = await made.opened()
            raw.send("x")
            first = int((await raw.text())[2])
            made.nodes[first].stop()
            assert (await raw.closed())[0] == 1012
            for _ in range(4):
                again = await made.opened()
                again.send("y")
                assert await again.text() == f"n-{1 - first} y"

    run(test())
