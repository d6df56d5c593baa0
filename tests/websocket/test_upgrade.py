"""Tests of opening handshakes at the proxy's listener: accepted, rejected, and without request smuggling."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from net_harness import idle_proxy_loads
from websocket_test_harness import CONFIG, WAIT_TIMEOUT_S, RawClient, run_test, running_websocket_proxy

from harness.event_loop import until
from harness.websocket_endpoint import ScriptedFault

SMUGGLED_REQUEST = b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: smuggled\r\nX-Budget: 500m\r\n\r\n"


def test_without_the_websocket_table_an_upgrade_is_answered_400() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config="") as deployment:
            client = await deployment.start_handshake("/stock")
            head = await client.read_head()
            assert (
                head.lower() == "http/1.1 400 bad request\r\ncontent-length: 12\r\nconnection: close\r\n\r\n"
            )
            assert await client.reader.read() == b"no upgrades\n"
            assert deployment.endpoints[0].session_count == 0

    run_test(test())


def test_a_subsystem_that_is_off_is_not_imported() -> None:
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
def test_an_invalid_opening_handshake_is_answered_and_closed(path: str, headers: str, code: int) -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            config=CONFIG + 'origins = ["https://kiosk.example"]\n'
        ) as deployment:
            client = await deployment.start_handshake(path, headers)
            if "Content-Length" in headers:
                client.send_bytes(b"abcd")
            if "chunked" in headers:
                client.send_bytes(b"0\r\n\r\n")
            assert (await client.read_head()).split(" ")[1] == str(code)
            assert await client.is_closed()
            assert deployment.endpoints[0].session_count == 0
            accepted = await deployment.start_handshake("/vigia", "Origin: https://kiosk.example\r\n")
            assert " 101 " in await accepted.read_head()

    run_test(test())


@pytest.mark.parametrize("path", ["/pantalla", "/vigia"])
def test_frames_before_the_101_open_no_session(path: str) -> None:
    """Frames may arrive in the same segment as the request, or before the endpoint has answered."""

    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("no-answer"),)) as deployment:
            client = RawClient(*await asyncio.open_connection(*deployment.proxy.address))
            head = (
                f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
            )
            client.send_bytes(head.encode() + b"\x81\x85aaaa\x00\x00\x00\x00\x00")
            assert (await client.read_head()).startswith("HTTP/1.1 400 ")
            assert await client.is_closed()
            assert deployment.endpoints[0].session_count == 0
            if path == "/vigia":
                slow = await deployment.start_handshake(path)
                await until(
                    lambda: deployment.endpoints[0].session_count == 1, "the endpoint has the request"
                )
                slow.send_bytes(SMUGGLED_REQUEST)
                assert (await slow.read_head()).startswith("HTTP/1.1 400 ")
                assert await slow.is_closed()
            assert not any(a.request_id == "smuggled" for a in deployment.recorder.attempts)

    run_test(test())


@pytest.mark.parametrize("kind", ["decline", "plain", "wrong-key", "extension", "reject"])
def test_an_endpoint_that_declines_leaves_no_tunnel(kind: str) -> None:
    """A client that continues as if a tunnel were open must not smuggle a request."""

    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault(kind),)) as deployment:
            client = await deployment.start_handshake("/vigia")
            head = await client.read_head()
            assert head.split(" ")[1] in ("502", "503", "504"), head
            client.send_bytes(SMUGGLED_REQUEST)
            assert await client.is_closed()
            assert not any(a.request_id == "smuggled" for a in deployment.recorder.attempts)
            # The session of the declined handshake has been released.
            again = await deployment.start_handshake("/vigia")
            assert " 101 " not in await again.read_head()

    run_test(test())


def test_an_endpoint_that_rejects_is_retried_at_another_that_accepts() -> None:
    async def test() -> None:
        async with running_websocket_proxy((ScriptedFault("reject"),), (), endpoint_count=2) as deployment:
            for _ in range(6):
                client = await deployment.connect("/vigia")
                client.send("hola")
                assert await client.read_text() == "n-1 hola"
            assert deployment.endpoints[1].session_count == 6

    run_test(test())


def test_sessions_are_limited_by_proxy_and_tenant_and_freed_when_they_end() -> None:
    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 3\nsessions_per_tenant = 2")
        async with running_websocket_proxy(config=config) as deployment:
            tenant = "X-Caller: acme\r\n"
            first = await deployment.connect("/pantalla", tenant)
            second = await deployment.connect("/vigia", tenant)
            rejection = await deployment.handshake_response("/pantalla", tenant)
            assert rejection.startswith("HTTP/1.1 429 ")
            assert "retry-after: " in rejection
            third = await deployment.connect("/pantalla")
            rejection = await deployment.handshake_response("/vigia")
            assert rejection.startswith("HTTP/1.1 503 ")
            assert "retry-after: " in rejection
            first.close()
            for client in (second, third):  # These sessions stay open.
                assert not client.writer.is_closing()
            await deployment.wait_for_free_session(tenant)

    run_test(test())


def test_a_client_that_disconnects_in_the_handshake_frees_its_session() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            (ScriptedFault("no-answer"),), config=CONFIG.replace("64", "1")
        ) as deployment:
            client = await deployment.start_handshake("/vigia")
            await until(lambda: deployment.endpoints[0].session_count == 1, "the endpoint has the request")
            assert (await deployment.handshake_response("/pantalla")).startswith("HTTP/1.1 503 ")
            client.abort()
            await deployment.wait_for_free_session()

    run_test(test())


def test_exhausted_descriptors_affect_neither_sessions_nor_requests() -> None:
    """Idle connections use up the other descriptors, while sessions have reserved descriptors."""

    async def test() -> None:
        config = CONFIG.replace("sessions = 64", "sessions = 40")
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 160}
        async with running_websocket_proxy(config=config, overrides={"limits": limits}) as deployment:
            tunnels = [await deployment.connect("/vigia") for _ in range(30)]
            idle = [await asyncio.open_connection(*deployment.proxy.address) for _ in range(120)]
            for number, client in enumerate(tunnels):
                client.send(f"x{number}")
                assert await client.read_text() == f"n-0 x{number}"
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while True:  # The oldest idle connections are closed after 0.3 s.
                    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                        messages = await deployment.connect("/pantalla")
                        break
                    await asyncio.sleep(0.05)
            assert "session" in await messages.read_json()
            messages.send('{"id":"a","class":"stock"}')
            assert (await messages.read_json())["outcome"] == "served"
            for _, writer in idle:
                writer.close()

    run_test(test())


def test_a_session_limit_over_the_descriptors_is_rejected_with_one_that_fits() -> None:
    async def test() -> None:
        with pytest.raises(RuntimeError, match="write sessions = 480 or less"):
            async with running_websocket_proxy(config=CONFIG.replace("sessions = 64", "sessions = 100000")):
                pass
        with pytest.raises(RuntimeError, match="canje is unknown or not an idempotent class"):
            async with running_websocket_proxy(config=CONFIG.replace("vigia", "canje")):
                pass

    run_test(test())
