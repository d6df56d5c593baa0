"""Test harness for WebSocket: a proxy with echo endpoints, and a client that sends raw frames."""

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

WAIT_TIMEOUT_S = 20.0
TEST_TIMEOUT_S = 60.0
CONFIG = '[websocket]\nmessages = ["pantalla"]\ntunnels = ["vigia"]\nsessions = 64\n'
UNLIMITED_RATE = CONFIG + "messages_per_s = 10000.0\nburst = 10000.0\n"
TUNNEL_CLASS = {
    "name": "vigia",
    "value": 1.0,
    "objective": 1.0,
    "deadline": 1.5,
    "effect": "repeatable",
    "stream": True,
}
CLASSES = [*CLASS_SETTINGS, TUNNEL_CLASS]


class WebSocketDeployment:
    """Proxy, its endpoints, and the registry that the proxy polls."""

    def __init__(
        self,
        proxy: ProxyProcess,
        endpoints: list[WebSocketEndpoint],
        registry: EndpointRegistry,
        recorder: Recorder,
    ) -> None:
        self.proxy = proxy
        self.endpoints = endpoints
        self.registry = registry
        self.recorder = recorder
        self.client_pool = WebSocketClientPool(recorder, [proxy.address])

    @staticmethod
    def entry(endpoint: WebSocketEndpoint, **fields: Any) -> dict[str, Any]:
        """Return the endpoint's entry of the endpoint list."""
        return entry(endpoint.name, endpoint.address, **fields)

    def set_status(self, endpoint: WebSocketEndpoint, status: str) -> None:
        """Store the endpoint with this status in the registry."""
        self.registry.put(self.entry(endpoint, status=status))

    async def notify_status(self, endpoint: WebSocketEndpoint, status: str) -> float:
        """Set a status other than ready; return when the proxy was notified of the status (monotonic, s)."""
        seen = len(self.recorder.notifications)
        self.set_status(endpoint, status)

        def notification_times() -> list[float]:
            return [
                notification.notified_at
                for notification in self.recorder.notifications[seen:]
                if notification.endpoint == endpoint.name and notification.state != "ready"
            ]

        await until(notification_times, "the proxy is notified")
        return notification_times()[0]

    async def reload(self, config: str) -> None:
        """Replace the operator's file and send SIGHUP; return after the proxy has read the file."""
        (self.proxy.log_file.parent / "operator.toml").write_text(config)
        self.proxy.process.send_signal(signal.SIGHUP)
        # One request after the signal may be processed in the same loop iteration as the signal; a second
        # can't be.
        for _ in range(2):
            await until(self.proxy.is_ready, "an answer after the signal")

    def violations(self) -> list[str]:
        """Return the violations of the four rules that the recorder's audit finds."""
        idempotency = {**IDEMPOTENCY_BY_CLASS, "vigia": Idempotency("repeatable")}
        return [str(violation) for violation in self.recorder.audit(idempotency)]

    async def start_handshake(self, path: str = "/vigia", headers: str = "", key: str = "") -> RawClient:
        """Send an opening handshake on a new connection."""
        client = RawClient(*await asyncio.open_connection(*self.proxy.address))
        client.send_handshake(path, headers, key)
        return client

    async def connect(self, path: str = "/vigia", headers: str = "") -> RawClient:
        """Open a WebSocket connection: a tunnel, unless `path` is a path of message mode."""
        client = await self.start_handshake(path, headers)
        assert (await client.read_head()).startswith("HTTP/1.1 101 ")
        return client

    async def handshake_response(self, path: str, headers: str = "") -> str:
        """Send an opening handshake on a new connection; return the head of the response."""
        return await (await self.start_handshake(path, headers)).read_head()

    def endpoint_named(self, name: str) -> WebSocketEndpoint:
        """Return the endpoint of this name."""
        return next(endpoint for endpoint in self.endpoints if endpoint.name == name)

    async def wait_for_session_count(self, count: int) -> None:
        """Wait until the first endpoint has this number of sessions."""
        await until(
            lambda: len(self.endpoints[0].open_sessions) == count, f"{count} sessions at the endpoint"
        )

    async def wait_for_no_session(self) -> None:
        """Wait until the first endpoint has no session."""
        await self.wait_for_session_count(0)

    async def wait_for_free_session(self, headers: str = "") -> None:
        """Wait until an opening handshake of message mode is accepted."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (await self.handshake_response("/pantalla", headers)).startswith("HTTP/1.1 101 "):
                await asyncio.sleep(0.02)


class RawClient:
    """Client that can send frames that the protocol forbids."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.frames = FrameProtocol(client=True, extensions=[])
        self.received_frames: list[Frame] = []

    def send_handshake(self, path: str, headers: str = "", key: str = "") -> None:
        """Send an opening handshake; a given `key` replaces the random one."""
        key = key or base64.b64encode(os.urandom(16)).decode()
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n{headers}\r\n".encode()
        )

    async def read_head(self) -> str:
        """Return the status line and headers of the response."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    def send(self, data: str | bytes, is_last: bool = True) -> None:
        """Send a message or a fragment of a message."""
        self.writer.write(bytes(self.frames.send_data(data, is_last)))

    def send_close(self, code: int, reason: str = "") -> None:
        """Send a close frame."""
        self.writer.write(bytes(self.frames.close(code, reason)))

    def send_bytes(self, data: bytes) -> None:
        """Write these bytes without any check."""
        self.writer.write(data)

    async def read_frame(self) -> Frame:
        """Answer pings, and return the next frame that is not a ping."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if self.received_frames:
                    return self.received_frames.pop(0)
                data = await self.reader.read(65536)
                if not data:
                    raise EOFError
                self.frames.receive_bytes(data)
                for frame in self.frames.received_frames():
                    if frame.opcode is Opcode.PING:
                        self.writer.write(bytes(self.frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
                    else:
                        self.received_frames.append(frame)

    async def read_text(self) -> str:
        """Return the next message, which must be text."""
        fragments = []
        while True:
            frame = await self.read_frame()
            assert frame.opcode is Opcode.TEXT, frame
            fragments.append(str(frame.payload))
            if frame.message_finished and frame.frame_finished:
                return "".join(fragments)

    async def read_json(self) -> Any:
        """Return the next message, which must be JSON."""
        return json.loads(await self.read_text())

    async def read_outcomes(self, count: int) -> dict[str, Any]:
        """Return the next `count` outcomes by the ids of their messages."""
        outcomes = {}
        for _ in range(count):
            outcome = await self.read_json()
            outcomes[outcome["id"]] = outcome
        return outcomes

    async def read_results(self, count: int) -> dict[str, str]:
        """Return the results of the next `count` outcomes by the ids of their messages."""
        return results_of(await self.read_outcomes(count))

    async def read_close(self) -> tuple[int, str]:
        """Skip messages until the close frame; return the close frame's code and reason."""
        while True:
            frame = await self.read_frame()
            if frame.opcode is Opcode.CLOSE:
                assert isinstance(frame.payload, tuple)
                return int(frame.payload[0]), frame.payload[1]

    async def is_closed(self) -> bool:
        """Return True when the connection ends, or raise TimeoutError if the connection stays open."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(65536):
                    pass
            return True

    def pause_reading(self) -> None:
        """Stop reading from the socket."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]

    def resume_reading(self) -> None:
        """Resume reading from the socket."""
        self.writer.transport.resume_reading()  # type: ignore[attr-defined]

    def abort(self) -> None:
        """End the connection without a close frame."""
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection without a close frame."""
        self.writer.close()


def results_of(outcomes: dict[str, Any]) -> dict[str, str]:
    """Return the result of each message: served, refused or failed."""
    return {id: outcome["outcome"] for id, outcome in outcomes.items()}


@contextlib.asynccontextmanager
async def running_websocket_proxy(
    *faults: tuple[ScriptedFault, ...],
    endpoint_count: int = 1,
    config: str = CONFIG,
    service_time: float = 0.002,
    overrides: dict[str, Any] | None = None,
) -> AsyncIterator[WebSocketDeployment]:
    """Run a proxy with echo endpoints.

    Args:
        faults: Scripted faults of each endpoint in order.
        endpoint_count: Number of endpoints, if larger than the number of `faults`.
        config: Content of the operator's file.
        service_time: Time that an endpoint takes for a request, s.
        overrides: Fields of the proxy's JSON configuration to replace.
    """
    recorder = Recorder()
    registry = EndpointRegistry(recorder)
    endpoints = [
        WebSocketEndpoint(recorder, f"n-{n}", faults[n] if n < len(faults) else (), service_time)
        for n in range(max(endpoint_count, len(faults)))
    ]
    for endpoint in endpoints:
        await endpoint.start()
    entries = [entry(endpoint.name, endpoint.address) for endpoint in endpoints]
    for endpoint_entry in entries:
        registry.put(endpoint_entry)
    discovery = await registry.start()
    overrides = {"settings": platform_settings(grades=CLASSES), **(overrides or {})}
    try:
        async with running_proxy("edge", discovery, entries, operator=config, overrides=overrides) as proxy:
            deployment = WebSocketDeployment(proxy, endpoints, registry, recorder)
            try:
                yield deployment
            finally:
                deployment.client_pool.close()
    finally:
        for endpoint in endpoints:
            endpoint.stop()
        registry.stop()


def max_in_100_ms(times: list[float]) -> int:
    """Return the largest number of these times within any 100 ms."""
    return max(sum(1 for time in times if start <= time < start + 0.1) for start in times)


def run_test(test: Coroutine[Any, Any, None]) -> None:
    """Run a test, and fail the test after TEST_TIMEOUT_S."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    asyncio.run(bounded())
