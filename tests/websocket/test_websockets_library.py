"""Tests of the proxy with the unmodified client and server of the library `websockets`."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus

import pytest
from websocket_test_harness import CLASSES, CONFIG, WebSocketDeployment, run_test, running_websocket_proxy
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.http11 import Request, Response
from websockets.typing import Subprotocol

from harness.endpoint_registry import EndpointRegistry, entry
from harness.proxy_process import platform_settings, running_proxy
from harness.recorder import Recorder


def url_of(deployment: WebSocketDeployment, path: str) -> str:
    return "ws://{}:{}{}".format(*deployment.proxy.address, path)


def test_a_websockets_client_uses_both_modes() -> None:
    async def test() -> None:
        async with running_websocket_proxy(config=CONFIG + 'subprotocols = ["cambio.v1"]\n') as deployment:
            url = url_of(deployment, "/pantalla")
            async with connect(url, subprotocols=[Subprotocol("cambio.v1")], compression=None) as client:
                assert client.subprotocol == "cambio.v1"
                assert json.loads(await client.recv())["resumed"] is False
                await client.send(json.dumps({"id": "a", "class": "reserva", "key": "k"}))
                assert json.loads(await client.recv())["outcome"] == "served"
                await (await client.ping())
            async with connect(url_of(deployment, "/vigia")) as client:
                await client.send("hola")
                assert await client.recv() == "n-0 hola"
                await client.send([b"en ", b"tres ", b"partes"])
                assert await client.recv() == b"n-0 en tres partes"
                await client.close(4000, "adios")
            assert deployment.violations() == []

    run_test(test())


def test_a_websockets_client_compresses_messages_where_that_is_configured() -> None:
    async def test() -> None:
        config = CONFIG + "deflate = true\ndeflate_window_bits = 12\n"
        async with (
            running_websocket_proxy(config=config) as deployment,
            connect(url_of(deployment, "/vigia")) as client,
        ):
            assert [type(extension).__name__ for extension in client.protocol.extensions] == [
                "PerMessageDeflate"
            ]
            for text in ("hola", "estacion " * 500, "x"):
                await client.send(text)
                assert await client.recv() == "n-0 " + text
            with pytest.raises(ConnectionClosed) as closed:
                await client.send("\0" * 60_000)  # 60 kB compressed to 70 bytes.
                await client.recv()
            assert closed.value.rcvd is not None
            assert closed.value.rcvd.code == 1009

    run_test(test())


def test_a_websockets_client_of_another_origin_is_rejected() -> None:
    async def test() -> None:
        async with running_websocket_proxy(
            config=CONFIG + 'origins = ["https://kiosk.example"]\n'
        ) as deployment:
            with pytest.raises(InvalidStatus) as rejected:
                await connect(url_of(deployment, "/vigia"), origin="https://other.example")  # type: ignore[arg-type]
            assert rejected.value.response.status_code == 403
            async with connect(url_of(deployment, "/vigia"), origin="https://kiosk.example") as client:  # type: ignore[arg-type]
                await client.send("x")
                assert await client.recv() == "n-0 x"

    run_test(test())


def test_a_websockets_server_is_an_endpoint() -> None:
    def answer_load_poll(connection: ServerConnection, request: Request) -> Response | None:
        if request.path == "/load":
            return connection.respond(HTTPStatus.OK, "inflight=0,queue=0")
        return None

    async def echo(connection: ServerConnection) -> None:
        async for message in connection:
            await connection.send(message)

    async def test() -> None:
        async with serve(echo, "127.0.0.1", 0, process_request=answer_load_poll) as server:
            address = "{}:{}".format(*next(iter(server.sockets)).getsockname()[:2])
            entries = [entry("stock", address)]
            registry = EndpointRegistry(Recorder())
            registry.put(entries[0])
            settings = platform_settings(grades=CLASSES)
            discovery = await registry.start()
            overrides = {"settings": settings}
            async with running_proxy("edge", discovery, entries, CONFIG, overrides=overrides) as proxy:
                url = "ws://{}:{}/vigia".format(*proxy.address)
                clients = [await connect(url) for _ in range(5)]
                for number, client in enumerate(clients):
                    await client.send(f"{number}" * 30_000)
                    assert await client.recv() == f"{number}" * 30_000
                    await client.send(bytes([number]) * 100)
                    assert await client.recv() == bytes([number]) * 100
                    await (await client.ping())
                await asyncio.gather(*(client.close() for client in clients))
                assert all(client.close_code == 1000 for client in clients)
            registry.stop()

    run_test(test())
