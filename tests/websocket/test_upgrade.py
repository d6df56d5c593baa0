"""Upgrades at the proxy's listener: who is let in, who is turned away, and that nothing hides behind one."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from net_harness import idle_proxy_loads
from wskit import CONFIG, Raw, run, running

from harness.event_loop import until
from harness.websocket_endpoint import ScriptedFault


def test_without_its_table_an_upgrade_is_answered_400_as_ever() -> None:
    async def test() -> None:
        async with running(config="") as made:
            raw = await made.client("/stock")
            head = await raw.head()
            assert (
                head.lower() == "http/1.1 400 bad request\r\ncontent-length: 12\r\nconnection: close\r\n\r\n"
            )
            assert await raw.reader.read() == b"no upgrades\n"
            assert made.nodes[0].session_count == 0

    run(test())


def test_a_part_that_is_off_is_not_imported() -> None:
    assert not idle_proxy_loads("service_proxy.websocket", "wsproto", "h11")


@pytest.mark.parametrize(
    ("path", "headers", "code"),
    [
        ("/nada", "", 404),
        ("/stock", "", 404),
        ("/pantalla", "Sec-WebSocket-Version: 13\r\n", 400),
        ("/pantalla", "Origin: https://elsewhere.example\r\n", 403),
        ("/pantalla", "Content-Length: 4\r\n", 400),
        ("/pantalla", "Transfer-Encoding: chunked\r\n", 400),
        ("/pantalla?seen=x", "", 400),
        ("/vigia", "X-Budget: nonsense\r\n", 400),
        ("/vigia", "Connection: x-budget\r\nX-Budget: 1000m\r\n", 400),
    ],
)
def test_what_is_no_good_opening_is_answered_and_ends(path: str, headers: str, code: int) -> None:
    async def test() -> None:
        async with running(config=CONFIG + 'origins = ["https://kiosk.example"]\n') as made:
            raw = await made.client(path, headers)
            if "Content-Length" in headers:
                raw.raw(b"abcd")
            if "chunked" in headers:
                raw.raw(b"0\r\n\r\n")
            assert (await raw.head()).split(" ")[1] == str(code)
            assert await raw.ended()
            assert made.nodes[0].session_count == 0
            good = await made.client("/vigia", "Origin: https://kiosk.example\r\n")
            assert " 101 " in await good.head()

    run(test())


@pytest.mark.parametrize("path", ["/pantalla", "/vigia"])
def test_frames_before_the_101_are_no_session(path: str) -> None:
    """Right behind the request, in one piece with it; and while a node has not answered yet."""

    async def test() -> None:
        async with running((ScriptedFault("no-answer"),)) as made:
            raw = Raw(*await asyncio.open_connection(*made.program.address))
            head = (
                f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
            )
            raw.raw(head.encode() + b"\x81\x85aaaa\x00\x00\x00\x00\x00")
            assert (await raw.head()).startswith("HTTP/1.1 400 ")
            assert await raw.ended() and made.nodes[0].session_count == 0
            if path == "/vigia":
                slow = await made.client(path)
                await until(lambda: made.nodes[0].session_count == 1, "the node is asked")
                slow.raw(b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: smuggled\r\nX-Budget: 500m\r\n\r\n")
                assert (await slow.head()).startswith("HTTP/1.1 400 ")
                assert await slow.ended()
            assert not any(a.request_id == "smuggled" for a in made.ledger.attempts)

    run(test())


@pytest.mark.parametrize("what", ["decline", "plain", "wrong-key", "extension", "reject"])
def test_a_node_that_declines_leaves_no_tunnel(what: str) -> None:
    """Not even where the client goes on as if there were one."""

    async def test() -> None:
        async with running((ScriptedFault(what),)) as made:
            raw = await made.client("/vigia")
            head = await raw.head()
            assert head.split(" ")[1] in ("502", "503", "504"), head
            raw.raw(b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: smuggled\r\nX-Budget: 500m\r\n\r\n")
            assert await raw.ended()
            assert not any(a.request_id == "smuggled" for a in made.ledger.attempts)
            again = await made.client("/vigia")  # and its place is free again
            assert " 101 " not in await again.head()

    run(test())


def test_a_node_that_declines_is_no_reason_to_fail_where_another_accepts() -> None:
    async def test() -> None:
        async with running((ScriptedFault("reject"),), (), nodes=2) as made:
            for _ in range(6):
                raw = await made.opened("/vigia")
                raw.send("hola")
                assert await raw.text() == "n-1 hola"
            assert made.nodes[1].session_count == 6

    run(test())


def test_sessions_are_bounded_by_proxy_and_tenant_and_their_places_come_back() -> None:
    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 3\nsessions_per_tenant = 2")
        async with running(config=config) as made:
            tenant = "X-Caller: acme\r\n"
            first = await made.opened("/pantalla", tenant)
            second = await made.opened("/vigia", tenant)
            over = await (await made.client("/pantalla", tenant)).head()
            assert over.startswith("HTTP/1.1 429 ") and "retry-after: " in over
            third = await made.opened("/pantalla")
            over = await (await made.client("/vigia")).head()
            assert over.startswith("HTTP/1.1 503 ") and "retry-after: " in over
            first.close()
            for kept in (second, third):  # they stay as they are
                assert not kept.writer.is_closing()
            async with asyncio.timeout(20):
                while not (await (await made.client("/pantalla", tenant)).head()).startswith("HTTP/1.1 101 "):
                    await asyncio.sleep(0.02)

    run(test())


def test_a_client_that_leaves_in_the_handshake_gives_its_place_back() -> None:
    async def test() -> None:
        async with running((ScriptedFault("no-answer"),), config=CONFIG.replace("64", "1")) as made:
            raw = await made.client("/vigia")
            await until(lambda: made.nodes[0].session_count == 1, "the node is asked")
            assert (await (await made.client("/pantalla")).head()).startswith("HTTP/1.1 503 ")
            raw.writer.transport.abort()
            async with asyncio.timeout(20):
                while not (await (await made.client("/pantalla")).head()).startswith("HTTP/1.1 101 "):
                    await asyncio.sleep(0.02)

    run(test())


def test_descriptors_that_run_out_take_nothing_from_sessions_or_from_callers() -> None:
    """Sessions have descriptors of their own; connections that say nothing use up the rest."""

    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 40")
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 160}
        async with running(config=config, more={"limits": limits}) as made:
            kept = [await made.opened("/vigia") for _ in range(30)]
            idle = [await asyncio.open_connection(*made.program.address) for _ in range(120)]
            for number, raw in enumerate(kept):
                raw.send(f"x{number}")
                assert await raw.text() == f"n-0 x{number}"
            async with asyncio.timeout(20):
                while True:  # the oldest that say nothing make room from 0.3 s on
                    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                        talk = await made.opened("/pantalla")
                        break
                    await asyncio.sleep(0.05)
            assert "session" in await talk.said()
            talk.send('{"id":"a","class":"stock"}')
            assert (await talk.said())["outcome"] == "served"
            for _, writer in idle:
                writer.close()

    run(test())


def test_a_bound_that_the_process_can_not_hold_is_refused_with_one_that_it_can() -> None:
    async def test() -> None:
        with pytest.raises(RuntimeError, match="write sessions = 480 or less"):
            async with running(config=CONFIG.replace("sessions = 64", "sessions = 100000")):
                pass
        with pytest.raises(RuntimeError, match="canje is no repeatable class"):
            async with running(config=CONFIG.replace("vigia", "canje")):
                pass

    run(test())
