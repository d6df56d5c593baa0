"""WebSocket clients: many sessions from one process, with a record of each message and each outcome.

A client in message mode sends messages and reads outcomes. After its connection ends, it waits for the delay
in the close frame and resumes its session. A client of a tunnel sends texts and reads the endpoint's echoes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import time
from collections import Counter
from http import HTTPStatus
from random import Random
from typing import Any
from urllib.parse import quote

import httptools
from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode

from harness.clients import DEFAULT_CLASSES, ClientClass
from harness.recorder import ReceivedAnswer, Recorder, SentRequest

RECONNECT_WAIT = re.compile(r"reconnect in ([0-9.]+) s")
STATUS_BY_OUTCOME = {"served": 200, "refused": 503, "failed": 502}
# time after a message's budget until a message without an outcome counts as timed out
GIVE_UP_MARGIN_S = 0.25
MESSAGE_ROUTE = "/pantalla"  # route of message mode; every other route is a tunnel
MAX_DEFAULT_WAIT_S = 1.0  # longest wait before a reconnect if no close frame stated a delay


class WebSocketClientPool:
    """All WebSocket clients of one process."""

    def __init__(self, recorder: Recorder, proxies: list[tuple[str, int]], seed: int = 0) -> None:
        self.recorder = recorder
        self.proxies = proxies
        self.random = Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clients: list[WebSocketClient] = []
        # Received close codes; 1006 means that the connection ended without a close frame.
        self.close_codes: Counter[int] = Counter()
        self.connect_times: list[float] = []  # start time of each connection attempt
        self.rejected_handshakes: Counter[int] = Counter()  # by status code; 0: no connection
        self.outcomes: Counter[str] = Counter()
        self.echo_count = 0

    def add(self, name: str, path: str = "/pantalla", reconnects: bool = True) -> WebSocketClient:
        """Add a client that is not connected yet."""
        client = WebSocketClient(self, name, path, reconnects)
        self.clients.append(client)
        return client

    @property
    def connected_count(self) -> int:
        """Return the number of clients with a session."""
        return sum(client.is_connected for client in self.clients)

    @property
    def open_message_count(self) -> int:
        """Return the number of messages without an outcome."""
        return sum(len(client.open_messages) for client in self.clients)

    def close(self) -> None:
        """Close all clients."""
        for client in self.clients:
            client.close()


class WebSocketClient(asyncio.Protocol):
    """One client, which keeps its session over several connections."""

    def __init__(self, pool: WebSocketClientPool, name: str, path: str, reconnects: bool) -> None:
        self.pool = pool
        self.name = name
        self.path = path
        self.reconnects = reconnects
        self.is_message_mode = path.startswith(MESSAGE_ROUTE)
        self.transport: Any = None
        self.frames: FrameProtocol | None = None
        self.parser: Any = None
        self.session = ""
        self.seen = 0
        self.message_count = 0
        self.open_messages: dict[str, asyncio.TimerHandle] = {}
        self.is_connected = False
        self.is_closed = False
        self.parts: list[str] = []
        self.texts: list[str] = []  # texts received through a tunnel
        self.served_count = 0  # outcomes of served messages
        self.received = asyncio.Event()  # set after each received message
        self.reconnect_wait: float | None = None  # delay in the last close frame, s
        self.close_code = 1006

    # Connections
    async def connect(self) -> None:
        """Open a connection to one of the proxies."""
        pool = self.pool
        self.reconnect_wait = None
        self.close_code = 1006
        pool.connect_times.append(time.monotonic())
        try:
            await pool.loop.create_connection(lambda: self, *pool.random.choice(pool.proxies))
        except OSError:
            pool.rejected_handshakes[0] += 1
            self._schedule_reconnect()

    def connection_made(self, transport: Any) -> None:
        """Send the opening handshake."""
        self.transport = transport
        self.frames = None
        self.parser = httptools.HttpResponseParser(self)
        path = self.path
        if self.session:
            path += f"?session={quote(self.session)}&seen={self.seen}"
        key = base64.b64encode(os.urandom(16)).decode()
        transport.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n".encode()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the close, and schedule a reconnect."""
        if self.is_connected:
            self.pool.close_codes[self.close_code] += 1
        self.transport = None
        self.is_connected = False
        self.parser = None
        self.parts = []
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.is_closed or not self.reconnects:
            return
        wait = self.reconnect_wait
        if wait is None:
            wait = self.pool.random.uniform(0, MAX_DEFAULT_WAIT_S)
        self.pool.loop.call_later(wait, self._reconnect)

    def _reconnect(self) -> None:
        if not self.is_closed:
            self.pool.loop.create_task(self.connect())

    def data_received(self, data: bytes) -> None:
        """Read the response of the handshake, then frames."""
        if self.frames is None:
            surplus = self._read_handshake(data)
            if surplus is None:
                return
            data = surplus
        assert self.frames is not None
        self.frames.receive_bytes(data)
        for frame in self.frames.received_frames():
            self._on_frame(self.frames, frame)

    def _read_handshake(self, data: bytes) -> bytes | None:
        """Return the bytes after a complete 101 response; None if there is no complete 101 response yet."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.parser.get_status_code() != HTTPStatus.SWITCHING_PROTOCOLS:
                return None
            self.frames = FrameProtocol(client=True, extensions=[])
            if not self.is_message_mode:
                self.is_connected = True
            return data[upgrade.args[0] :]
        return None

    def _on_frame(self, frames: FrameProtocol, frame: Frame) -> None:
        if frame.opcode is Opcode.CLOSE:
            self._on_close(frames, frame)
        elif frame.opcode is Opcode.PING:
            self._write(bytes(frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
        elif frame.opcode is not Opcode.PONG:
            self.parts.append(str(frame.payload))
            if frame.message_finished and frame.frame_finished:
                text = "".join(self.parts)
                self.parts = []
                self._on_text(text)

    def _on_close(self, frames: FrameProtocol, frame: Frame) -> None:
        assert isinstance(frame.payload, tuple)
        self.close_code = int(frame.payload[0])
        match = RECONNECT_WAIT.search(frame.payload[1])
        self.reconnect_wait = float(match[1]) if match else None
        has_code = frame.payload[0] != CloseReason.NO_STATUS_RCVD
        self._write(bytes(frames.close(frame.payload[0] if has_code else None)))
        if self.transport is not None:
            self.transport.close()

    def on_message_complete(self) -> None:
        """Count a rejected handshake."""
        code = self.parser.get_status_code()
        if code != HTTPStatus.SWITCHING_PROTOCOLS:
            self.pool.rejected_handshakes[code] += 1
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    # Messages
    def _on_text(self, text: str) -> None:
        self.received.set()
        if not text.startswith("{"):
            self.texts.append(text)
            self.pool.echo_count += 1
            return
        message = json.loads(text)
        if "session" in message:
            self._on_session(message)
        elif "error" in message:
            if message["id"] in self.open_messages:
                self._finish(message["id"], HTTPStatus.BAD_GATEWAY)
        else:
            self._on_outcome(message)

    def _on_session(self, message: dict[str, Any]) -> None:
        """Store the session of this connection; if it is a new session, fail all open messages."""
        self.session = message["session"]
        self.is_connected = True  # messages that are sent from now on belong to this session
        if not message["resumed"]:
            for id in list(self.open_messages):
                self._finish(id, HTTPStatus.BAD_GATEWAY)

    def _on_outcome(self, message: dict[str, Any]) -> None:
        id = message["id"]
        result = message["outcome"]
        self.seen = max(self.seen, message["n"])
        self.pool.outcomes[result] += 1
        self.served_count += result == "served"
        if id in self.open_messages:
            self._finish(id, STATUS_BY_OUTCOME[result])
        else:  # the audit reports it as a superfluous answer
            answer = ReceivedAnswer(id, time.monotonic(), STATUS_BY_OUTCOME[result])
            self.pool.recorder.answers.append(answer)

    def _finish(self, id: str, code: int) -> None:
        self.open_messages.pop(id).cancel()
        self.pool.recorder.answers.append(ReceivedAnswer(id, time.monotonic(), code))

    def send(self, cls: ClientClass = DEFAULT_CLASSES[0], key: str = "", budget: float = 0.0) -> str:
        """Send one message that is a request; return its id, or "" without a connection."""
        if not self.is_connected or self.frames is None:
            return ""
        self.message_count += 1
        id = f"{self.name}-{self.message_count:x}"
        budget = budget or cls.budget
        now = time.monotonic()
        fields: dict[str, Any] = {"id": id, "class": cls.name, "budget_ms": budget * 1e3, "seen": self.seen}
        if cls.idempotency.kind == "by_key":
            fields["key"] = key or id
        deadline = now + budget
        self.pool.recorder.requests.append(SentRequest(id, cls.name, now, deadline, key or id, "kiosks"))
        timer = self.pool.loop.call_later(budget + GIVE_UP_MARGIN_S, self._on_timeout, id, deadline)
        self.open_messages[id] = timer
        self.send_text(json.dumps(fields))
        return id

    def _on_timeout(self, id: str, deadline: float) -> None:
        self.open_messages.pop(id)
        self.pool.recorder.answers.append(ReceivedAnswer(id, deadline, 0, client_gave_up=True))

    def send_text(self, text: str) -> None:
        """Send one text message."""
        assert self.frames is not None
        self._write(bytes(self.frames.send_data(text)))

    def abort(self) -> None:
        """End the connection without a close frame."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """End the session with a close frame; the client does not reconnect."""
        self.is_closed = True
        if self.is_connected and self.frames is not None:
            self._write(bytes(self.frames.close(1000)))
        elif self.transport is not None:
            self.transport.abort()
