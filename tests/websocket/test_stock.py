"""The stock client and server of the library `websockets`, unmodified, on both sides of the proxy."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus

import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.http11 import Request, Response
from wskit import ALL, CONFIG, Made, run, running

from harness.endpoint_registry import EndpointRegistry, entry
from harness.proxy_process import platform_settings, running_proxy
from harness.recorder import Recorder


def at(made: Made, path: str) -> str:
    return "ws://{}:{}{}".format(*made.program.address, path)


def test_a_stock_client_talks_in_both_modes() -> None:
    async def test() -> None:
        async with running(config=CONFIG + 'subprotocols = ["cambio.v1"]\n') as made:
            async with connect(at(made, "/pantalla"), subprotocols=["cambio.v1"], compression=None) as client:  # type: ignore[list-item]
                assert client.subprotocol == "cambio.v1"
                assert json.loads(await client.recv())["resumed"] is False
                await client.send(json.dumps({"id": "a", "class": "reserva", "key": "k"}))
                assert json.loads(await client.recv())["outcome"] == "served"
                await (await client.ping())
            async with connect(at(made, "/vigia")) as client:
                await client.send("hola")
                assert await client.recv() == "n-0 hola"
                await client.send([b"en ", b"tres ", b"partes"])
                assert await client.recv() == b"n-0 en tres partes"
                await client.close(4000, "adios")
            assert made.audited() == []

    run(test())


def test_a_stock_client_packs_its_messages_where_that_is_on() -> None:
    async def test() -> None:
        config = CONFIG + "deflate = true\ndeflate_window_bits = 12\n"
        async with running(config=config) as made, connect(at(made, "/vigia")) as client:
            assert [type(e).__name__ for e in client.protocol.extensions] == ["PerMessageDeflate"]
            for text in ("hola", "estacion " * 500, "x"):
                await client.send(text)
                assert await client.recv() == "n-0 " + text
            with pytest.raises(ConnectionClosed) as end:
                await client.send("\0" * 60_000)  # 60 kB in 70 bytes
                await client.recv()
            assert end.value.rcvd is not None and end.value.rcvd.code == 1009

    run(test())


def test_a_stock_client_is_told_who_may_not() -> None:
    async def test() -> None:
        async with running(config=CONFIG + 'origins = ["https://kiosk.example"]\n') as made:
            with pytest.raises(InvalidStatus) as no:
                await connect(at(made, "/vigia"), origin="https://other.example")  # type: ignore[arg-type]
            assert no.value.response.status_code == 403
            async with connect(at(made, "/vigia"), origin="https://kiosk.example") as client:  # type: ignore[arg-type]
                await client.send("x")
                assert await client.recv() == "n-0 x"

    run(test())


def test_a_stock_server_is_a_node() -> None:
    def process(connection: ServerConnection, request: Request) -> Response | None:
        if request.path == "/load":
            return connection.respond(HTTPStatus.OK, "inflight=0,queue=0")
        return None

    async def echo(connection: ServerConnection) -> None:
        async for message in connection:
            await connection.send(message)

    async def test() -> None:
        async with serve(echo, "127.0.0.1", 0, process_request=process) as server:
            address = "{}:{}".format(*next(iter(server.sockets)).getsockname()[:2])
            known = [entry("stock", address)]
            registry = EndpointRegistry(Recorder())
            registry.put(known[0])
            raw = platform_settings(grades=ALL)
            at = await registry.start()
            async with running_proxy("edge", at, known, CONFIG, overrides={"settings": raw}) as program:
                uri = "ws://{}:{}/vigia".format(*program.address)
                clients = [await connect(uri) for _ in range(5)]
                for number, client in enumerate(clients):
                    await client.send(f"{number}" * 30_000)
                    assert await client.recv() == f"{number}" * 30_000
                    await client.send(bytes([number]) * 100)
                    assert await client.recv() == bytes([number]) * 100
                    await (await client.ping())
                await asyncio.gather(*(client.close() for client in clients))
                assert all(client.close_code == 1000 for client in clients)
            registry.stop()

    run(test())
