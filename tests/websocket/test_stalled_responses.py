"""Messages whose response stops in the middle, or never ends."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from websocket_test_harness import RawClient, run_test

from harness.endpoint_registry import EndpointRegistry, entry
from harness.proxy_process import running_proxy
from harness.recorder import Recorder

OPERATOR_FILE = '[websocket]\nmessages = ["pantalla"]\n'
BUDGET_S = 1.0
MAX_LATENESS_S = 0.5  # Time after a message's budget from which its outcome counts as lost (operators' page).
HEALTH = b"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\ninflight=0,queue=0"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"5\r\nhello\r\n"
TRICKLE_INTERVAL_S = 0.02


@pytest.mark.parametrize("class_name", ["stock", "reserva", "canje"])
@pytest.mark.parametrize("form", ["stops", "trickles", "grows"])
def test_a_message_whose_response_never_ends_has_its_outcome_in_time(class_name: str, form: str) -> None:
    """Guards against messages without an outcome, after the begin of a response has ended their deadline."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith((b"GET /load", b"GET /healthz")):
                    writer.write(HEALTH)
                    continue
                writer.write(CHUNKED_HEAD + CHUNK)
                while form != "stops":
                    writer.write(CHUNK * (1 if form == "trickles" else 1000))
                    await writer.drain()
                    await asyncio.sleep(TRICKLE_INTERVAL_S)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def test() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        registry = EndpointRegistry(Recorder())
        await registry.start()
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        known = [entry("s-0", address)]
        registry.put(known[0])
        async with running_proxy("p0", registry.address, known, OPERATOR_FILE) as proxy:
            client = RawClient(*await asyncio.open_connection(*proxy.address))
            client.send_handshake("/pantalla")
            await client.read_head()
            await client.read_json()
            sent_at = time.monotonic()
            message = {"id": "a", "class": class_name, "budget_ms": int(BUDGET_S * 1000)}
            if class_name == "reserva":
                message["key"] = "k"
            client.send(json.dumps(message))
            outcome = await client.read_json()
            # Only an idempotent request may be rejected, as a repeat is harmless, although it may have run.
            assert outcome["id"] == "a"
            assert outcome["outcome"] in (("failed", "refused") if class_name == "stock" else ("failed",))
            assert time.monotonic() - sent_at <= BUDGET_S + MAX_LATENESS_S
        registry.stop()
        server.close()

    run_test(test())
