"""Kiosks: many WebSocket sessions of clients from one process, each message and each outcome in the ledger.

A kiosk of message mode sends envelopes and reads outcomes, and comes back to its session when its connection
ends, after the wait that the close frame told it; one of a tunnel sends texts and reads what a node echoes.
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
GIVE_UP_MARGIN_S = 0.25  # s beyond a message's budget after which one without an outcome is written off
MESSAGE_ROUTE = "/pantalla"  # the route of message mode; any other is a tunnel
MAX_DEFAULT_WAIT_S = 1.0  # s, at the most, before it comes back where nobody told it how long


class WebSocketClientPool:
    """All WebSocket clients of one process."""

    def __init__(self, recorder: Recorder, proxies: list[tuple[str, int]], seed: int = 0) -> None:
        self.recorder, self.proxies, self.random = recorder, proxies, Random(seed)
        self.loop = asyncio.get_running_loop()
        self.clients: list[WebSocketClient] = []
        self.close_codes: Counter[int] = Counter()  # codes that came; 1006: the connection just ended
        self.connect_times: list[float] = []  # when each connection was begun
        self.rejected_handshakes: Counter[int] = (
            Counter()
        )  # handshakes that were answered with something else
        self.outcomes: Counter[str] = Counter()
        self.echo_count = 0

    def add(self, name: str, path: str = "/pantalla", reconnects: bool = True) -> WebSocketClient:
        """Add a client that is not connected yet."""
        client = WebSocketClient(self, name, path, reconnects)
        self.clients.append(client)
        return client

    @property
    def connected_count(self) -> int:
        """Count the clients with a session."""
        return sum(kiosk.is_connected for kiosk in self.clients)

    @property
    def open_message_count(self) -> int:
        """Count the messages without an outcome."""
        return sum(len(kiosk.open_messages) for kiosk in self.clients)

    def close(self) -> None:
        """Close all clients."""
        for kiosk in self.clients:
            kiosk.close()


class WebSocketClient(asyncio.Protocol):
    """One client: its session, over as many connections as it takes."""

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
        # in frames; wanted no more
        self.is_connected = False
        self.is_closed = False
        self.parts: list[str] = []
        self.texts: list[str] = []  # what a tunnel brought
        self.served_count = 0  # outcomes that were
        self.received = asyncio.Event()  # something has come
        self.reconnect_wait: float | None = None  # the wait of the last close frame
        self.close_code = 1006
        self.busy = False  # its next connection is on its way

    # connections
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
        more = ""
        transport.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n{more}\r\n".encode()
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the close, and come back after the wait."""
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
        wait = (
            self.reconnect_wait
            if self.reconnect_wait is not None
            else self.pool.random.uniform(0, MAX_DEFAULT_WAIT_S)
        )
        self.pool.loop.call_later(wait, self._reconnect)

    def _reconnect(self) -> None:
        if not self.is_closed:
            self.pool.loop.create_task(self.connect())

    def data_received(self, data: bytes) -> None:
        """Read the handshake's answer, then frames."""
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
        """Return what came behind a 101, or None where there was none yet."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as end:
            if self.parser.get_status_code() != HTTPStatus.SWITCHING_PROTOCOLS:
                return None
            self.frames = FrameProtocol(client=True, extensions=[])
            if not self.is_message_mode:
                self.is_connected = True
            return data[end.args[0] :]
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
        found = RECONNECT_WAIT.search(frame.payload[1])
        self.reconnect_wait = float(found[1]) if found else None
        has_code = frame.payload[0] != CloseReason.NO_STATUS_RCVD
        self._write(bytes(frames.close(frame.payload[0] if has_code else None)))
        if self.transport is not None:
            self.transport.close()

    def on_message_complete(self) -> None:
        """Count a handshake that was answered with something else."""
        code = self.parser.get_status_code()
        if code != HTTPStatus.SWITCHING_PROTOCOLS:
            self.pool.rejected_handshakes[code] += 1
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    # messages
    def _on_text(self, text: str) -> None:
        self.received.set()
        if not text.startswith("{"):
            self.texts.append(text)
            self.pool.echo_count += 1
            return
        said = json.loads(text)
        if "session" in said:
            self.session = said["session"]
            self.is_connected = True  # what it sends now belongs to this session
            if not said["resumed"]:  # what was open is open for nobody any more
                for id in list(self.open_messages):
                    self._finish(id, 502)
            return
        if "error" in said:
            if said["id"] in self.open_messages:
                self._finish(said["id"], 502)
            return
        self.seen = max(self.seen, said["n"])
        self.pool.outcomes[said["outcome"]] += 1
        self.served_count += said["outcome"] == "served"
        if said["id"] in self.open_messages:
            self._finish(said["id"], STATUS_BY_OUTCOME[said["outcome"]])
        else:  # the audit is to find it
            self.pool.recorder.answers.append(
                ReceivedAnswer(said["id"], time.monotonic(), STATUS_BY_OUTCOME[said["outcome"]])
            )

    def _finish(self, id: str, code: int) -> None:
        self.open_messages.pop(id).cancel()
        self.pool.recorder.answers.append(ReceivedAnswer(id, time.monotonic(), code))

    def send(self, cls: ClientClass = DEFAULT_CLASSES[0], key: str = "", budget: float = 0.0) -> str:
        """Send one message that is a request; return its id, or "" where there is no connection."""
        if not self.is_connected or self.frames is None:
            return ""
        self.message_count += 1
        id = f"{self.name}-{self.message_count:x}"
        budget = budget or cls.budget
        now = time.monotonic()
        fields: dict[str, Any] = {"id": id, "class": cls.name, "budget_ms": budget * 1e3, "seen": self.seen}
        if cls.idempotency.kind == "by_key":
            fields["key"] = key or id
        self.pool.recorder.requests.append(SentRequest(id, cls.name, now, now + budget, key or id, "kiosks"))
        self.open_messages[id] = self.pool.loop.call_later(
            budget + GIVE_UP_MARGIN_S, self._give_up, id, now + budget
        )
        self.send_text(json.dumps(fields))
        return id

    def _give_up(self, id: str, due: float) -> None:
        self.open_messages.pop(id)
        self.pool.recorder.answers.append(ReceivedAnswer(id, due, 0, client_gave_up=True))

    def send_text(self, text: str) -> None:
        """Send one text message."""
        assert self.frames is not None
        self._write(bytes(self.frames.send_data(text)))

    def abort(self) -> None:
        """End the connection without a close frame."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """End the session by a close frame, for good."""
        self.is_closed = True
        if self.is_connected and self.frames is not None:
            self._write(bytes(self.frames.close(1000)))
        elif self.transport is not None:
            self.transport.abort()
