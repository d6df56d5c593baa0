"""Pieces of the tests of WebSocket: the proxy before nodes that speak it, and a raw client."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
from collections.abc import AsyncIterator, Coroutine
from typing import Any

from wsproto.frame_protocol import Frame, FrameProtocol, Opcode

from harness.clients import CLASS_SETTINGS, IDEMPOTENCY_BY_CLASS
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, platform_settings, running_proxy
from harness.recorder import Idempotency, Recorder
from harness.websocket_clients import WebSocketClientPool
from harness.websocket_endpoint import ScriptedFault, WebSocketEndpoint

PATIENCE = 20.0
CONFIG = '[websocket]\nmessages = ["pantalla"]\ntunnels = ["vigia"]\nsessions = 64\n'
TUNNEL = {
    "name": "vigia",
    "value": 1.0,
    "objective": 1.0,
    "deadline": 1.5,
    "effect": "repeatable",
    "stream": True,
}
ALL = [*CLASS_SETTINGS, TUNNEL]


class Made:
    """A proxy, its nodes, and what it is told."""

    def __init__(
        self,
        program: ProxyProcess,
        nodes: list[WebSocketEndpoint],
        registry: EndpointRegistry,
        ledger: Recorder,
    ) -> None:
        self.program = program
        self.nodes = nodes
        self.registry = registry
        self.ledger = ledger
        self.kiosks = WebSocketClientPool(ledger, [program.address])

    @staticmethod
    def entry(node: WebSocketEndpoint, **more: Any) -> dict[str, Any]:
        return entry(node.name, node.address, **more)

    def tell(self, node: WebSocketEndpoint, status: str) -> None:
        self.registry.put(self.entry(node, status=status))

    async def reread(self, text: str) -> None:
        """Another operator's file, and SIGHUP; returns when the proxy has looked at it."""
        (self.program.log_file.parent / "operator.toml").write_text(text)
        self.program.process.send_signal(signal.SIGHUP)
        for _ in range(2):  # what is asked after the signal may share one turn with it, not two
            await until(self.program.is_ready, "an answer after the signal")

    async def told(self, node: WebSocketEndpoint, status: str) -> float:
        """Tells it, and returns when the proxy had it (monotonic, s)."""
        before = len(self.ledger.notifications)
        self.tell(node, status)

        def found() -> list[float]:
            return [
                t.notified_at
                for t in self.ledger.notifications[before:]
                if t.endpoint == node.name and t.state != "ready"
            ]

        await until(found, "the proxy is told")
        return found()[0]

    def audited(self) -> list[str]:
        effects = {**IDEMPOTENCY_BY_CLASS, "vigia": Idempotency("repeatable")}
        return [str(violation) for violation in self.ledger.audit(effects)]

    async def client(self, path: str = "/vigia", headers: str = "", key: str = "") -> Raw:
        raw = Raw(*await asyncio.open_connection(*self.program.address))
        raw.ask(path, headers, key)
        return raw

    async def opened(self, path: str = "/vigia", headers: str = "") -> Raw:
        raw = await self.client(path, headers)
        assert (await raw.head()).startswith("HTTP/1.1 101 ")
        return raw


class Raw:
    """A client that can do what it should not."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.frames = FrameProtocol(client=True, extensions=[])
        self.queue: list[Frame] = []

    def ask(self, path: str, headers: str = "", key: str = "") -> None:
        key = key or base64.b64encode(os.urandom(16)).decode()
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n{headers}\r\n".encode()
        )

    async def head(self) -> str:
        async with asyncio.timeout(PATIENCE):
            return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    def send(self, data: str | bytes, last: bool = True) -> None:
        self.writer.write(bytes(self.frames.send_data(data, last)))

    def raw(self, data: bytes) -> None:
        self.writer.write(data)

    async def frame(self) -> Frame:
        """The next one, pings answered."""
        async with asyncio.timeout(PATIENCE):
            while True:
                if self.queue:
                    return self.queue.pop(0)
                data = await self.reader.read(65536)
                if not data:
                    raise EOFError
                self.frames.receive_bytes(data)
                for frame in self.frames.received_frames():
                    if frame.opcode is Opcode.PING:
                        self.writer.write(bytes(self.frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
                    else:
                        self.queue.append(frame)

    async def text(self) -> str:
        parts = []
        while True:
            frame = await self.frame()
            assert frame.opcode is Opcode.TEXT, frame
            parts.append(str(frame.payload))
            if frame.message_finished and frame.frame_finished:
                return "".join(parts)

    async def said(self) -> Any:
        return json.loads(await self.text())

    async def closed(self) -> tuple[int, str]:
        """The close frame; messages before it are passed over."""
        while True:
            frame = await self.frame()
            if frame.opcode is Opcode.CLOSE:
                assert isinstance(frame.payload, tuple)
                return int(frame.payload[0]), frame.payload[1]

    async def ended(self) -> bool:
        """Whether the connection ends, whatever comes before."""
        async with asyncio.timeout(PATIENCE):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(65536):
                    pass
            return True

    def close(self) -> None:
        self.writer.close()


@contextlib.asynccontextmanager
async def running(
    *faults: tuple[ScriptedFault, ...],
    nodes: int = 1,
    config: str = CONFIG,
    service: float = 0.002,
    more: dict[str, Any] | None = None,
    **changes: Any,
) -> AsyncIterator[Made]:
    """`faults`: of each node in turn; `service`: s that they work on a call; `more`: of the JSON."""
    ledger = Recorder()
    registry = EndpointRegistry(ledger)
    count = max(nodes, len(faults))
    made = [
        WebSocketEndpoint(ledger, f"n-{n}", faults[n] if n < len(faults) else (), service)
        for n in range(count)
    ]
    for node in made:
        await node.start()
    known = [entry(node.name, node.address) for node in made]
    for item in known:
        registry.put(item)
    at = await registry.start()
    raw = platform_settings(grades=ALL, **changes)
    try:
        async with running_proxy(
            "edge", at, known, operator=config, overrides={"settings": raw, **(more or {})}
        ) as program:
            found = Made(program, made, registry, ledger)
            try:
                yield found
            finally:
                found.kiosks.close()
    finally:
        for node in made:
            node.stop()
        registry.stop()


def run(test: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(60):
            await test

    asyncio.run(bounded())
