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
from random import Random
from typing import Any
from urllib.parse import quote

import httptools
from wsproto.frame_protocol import FrameProtocol, Opcode

from harness.clients import DEFAULT_CLASSES, ClientClass
from harness.recorder import ReceivedAnswer, Recorder, SentRequest

RECONNECT_WAIT = re.compile(r"reconnect in ([0-9.]+) s")
STATUS_BY_OUTCOME = {"served": 200, "refused": 503, "failed": 502}
GIVE_UP_MARGIN_S = 0.25  # s beyond a message's budget after which one without an outcome is written off
MESSAGE_ROUTE = "/pantalla"  # the route of message mode; any other is a tunnel
MAX_DEFAULT_WAIT_S = 1.0  # s, at the most, before it comes back where nobody told it how long


class WebSocketClientPool:
    """All of one process."""

    def __init__(self, recorder: Recorder, proxies: list[tuple[str, int]], seed: int = 0) -> None:
        self.recorder, self.proxies, self.random = recorder, proxies, Random(seed)
        self.loop = asyncio.get_running_loop()
        self.kiosks: list[Kiosk] = []
        self.closes: Counter[int] = Counter()  # codes that came; 1006: the connection just ended
        self.connects: list[float] = []  # when each connection was begun
        self.refused: Counter[int] = Counter()  # handshakes that were answered with something else
        self.outcomes: Counter[str] = Counter()
        self.echoed = 0

    def add(self, name: str, path: str = "/pantalla", comes_back: bool = True) -> Kiosk:
        kiosk = Kiosk(self, name, path, comes_back)
        self.kiosks.append(kiosk)
        return kiosk

    @property
    def up(self) -> int:
        return sum(kiosk.up for kiosk in self.kiosks)

    @property
    def open(self) -> int:
        """Messages without an outcome."""
        return sum(len(kiosk.open) for kiosk in self.kiosks)

    def close(self) -> None:
        for kiosk in self.kiosks:
            kiosk.close()


class Kiosk(asyncio.Protocol):
    def __init__(self, owner: WebSocketClientPool, name: str, path: str, comes_back: bool) -> None:
        self.owner = owner
        self.name = name
        self.path = path
        self.comes_back = comes_back
        self.talks = path.startswith(MESSAGE_ROUTE)
        self.transport: Any = None
        self.frames: FrameProtocol | None = None
        self.parser: Any = None
        self.session = ""
        self.seen = 0
        self.count = 0
        self.open: dict[str, asyncio.TimerHandle] = {}
        # in frames; wanted no more
        self.up = False
        self.over = False
        self.parts: list[str] = []
        self.texts: list[str] = []  # what a tunnel brought
        self.served = 0  # outcomes that were
        self.said = asyncio.Event()  # something has come
        self.told: float | None = None  # the wait of the last close frame
        self.closed_with = 1006
        self.busy = False  # its next connection is on its way

    # connections
    async def connect(self) -> None:
        owner = self.owner
        self.told = None
        self.closed_with = 1006
        owner.connects.append(time.monotonic())
        try:
            await owner.loop.create_connection(lambda: self, *owner.random.choice(owner.proxies))
        except OSError:
            owner.refused[0] += 1
            self._later()

    def connection_made(self, transport: Any) -> None:
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
        if self.up:
            self.owner.closes[self.closed_with] += 1
        self.transport = None
        self.up = False
        self.parser = None
        self.parts = []
        self._later()

    def _later(self) -> None:
        if self.over or not self.comes_back:
            return
        wait = self.told if self.told is not None else self.owner.random.uniform(0, MAX_DEFAULT_WAIT_S)
        self.owner.loop.call_later(wait, self._again)

    def _again(self) -> None:
        if not self.over:
            self.owner.loop.create_task(self.connect())

    def data_received(self, data: bytes) -> None:
        if self.frames is None:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as end:
                data = data[end.args[0] :]
                if self.parser.get_status_code() != 101:
                    return
                self.frames = FrameProtocol(client=True, extensions=[])
                if not self.talks:
                    self.up = True
            else:
                return
        self.frames.receive_bytes(data)
        for frame in self.frames.received_frames():
            if frame.opcode is Opcode.CLOSE:
                assert isinstance(frame.payload, tuple)
                self.closed_with = int(frame.payload[0])
                found = RECONNECT_WAIT.search(frame.payload[1])
                self.told = float(found[1]) if found else None
                self._write(bytes(self.frames.close(frame.payload[0] if frame.payload[0] != 1005 else None)))
                if self.transport is not None:
                    self.transport.close()
            elif frame.opcode is Opcode.PING:
                self._write(bytes(self.frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
            elif frame.opcode is not Opcode.PONG:
                self.parts.append(str(frame.payload))
                if frame.message_finished and frame.frame_finished:
                    text = "".join(self.parts)
                    self.parts = []
                    self._text(text)

    def on_message_complete(self) -> None:
        code = self.parser.get_status_code()
        if code != 101:
            self.owner.refused[code] += 1
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    # messages
    def _text(self, text: str) -> None:
        self.said.set()
        if not text.startswith("{"):
            self.texts.append(text)
            self.owner.echoed += 1
            return
        said = json.loads(text)
        if "session" in said:
            self.session = said["session"]
            self.up = True  # what it sends now belongs to this session
            if not said["resumed"]:  # what was open is open for nobody any more
                for id in list(self.open):
                    self._ended(id, 502)
            return
        if "error" in said:
            if said["id"] in self.open:
                self._ended(said["id"], 502)
            return
        self.seen = max(self.seen, said["n"])
        self.owner.outcomes[said["outcome"]] += 1
        self.served += said["outcome"] == "served"
        if said["id"] in self.open:
            self._ended(said["id"], STATUS_BY_OUTCOME[said["outcome"]])
        else:  # the audit is to find it
            self.owner.recorder.answers.append(
                ReceivedAnswer(said["id"], time.monotonic(), STATUS_BY_OUTCOME[said["outcome"]])
            )

    def _ended(self, id: str, code: int) -> None:
        self.open.pop(id).cancel()
        self.owner.recorder.answers.append(ReceivedAnswer(id, time.monotonic(), code))

    def send(self, cls: ClientClass = DEFAULT_CLASSES[0], key: str = "", budget: float = 0.0) -> str:
        """One message as a call; its id. Not sent where the kiosk has no connection: then ""."""
        if not self.up or self.frames is None:
            return ""
        self.count += 1
        id = f"{self.name}-{self.count:x}"
        budget = budget or cls.budget
        now = time.monotonic()
        fields: dict[str, Any] = {"id": id, "class": cls.name, "budget_ms": budget * 1e3, "seen": self.seen}
        if cls.idempotency.kind == "by_key":
            fields["key"] = key or id
        self.owner.recorder.requests.append(SentRequest(id, cls.name, now, now + budget, key or id, "kiosks"))
        self.open[id] = self.owner.loop.call_later(budget + GIVE_UP_MARGIN_S, self._give_up, id, now + budget)
        self.say(json.dumps(fields))
        return id

    def _give_up(self, id: str, due: float) -> None:
        self.open.pop(id)
        self.owner.recorder.answers.append(ReceivedAnswer(id, due, 0, client_gave_up=True))

    def say(self, text: str) -> None:
        assert self.frames is not None
        self._write(bytes(self.frames.send_data(text)))

    def drop(self) -> None:
        """Its connection ends without a word."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        self.over = True
        if self.up and self.frames is not None:
            self._write(bytes(self.frames.close(1000)))
        elif self.transport is not None:
            self.transport.abort()
