"""Stand-in for a kiosk: a client of message mode (docs/operators/websocket.md) over WebSocket (RFC 6455)."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import struct
from typing import Any

from review.standins2.platform import CannotRunError, Record, read_head

MASK = b"\x01\x02\x03\x04"
TEXT, CLOSE, PING, PONG = 1, 8, 9, 10
LENGTH_16, LENGTH_64 = 126, 127  # values of the length field that announce a longer one


def frame(opcode: int, data: bytes) -> bytes:
    """Return one masked frame of a client."""
    size = len(data)
    length = bytes([0x80 | size]) if size < LENGTH_16 else b"\xfe" + struct.pack("!H", size)
    return bytes([0x80 | opcode]) + length + MASK + bytes(b ^ MASK[n % 4] for n, b in enumerate(data))


class Kiosk:
    """One session over any number of connections.

    Attributes:
        hello: the first message of the present connection.
        outcomes: the outcomes so far, by message id.
    """

    def __init__(self, record: Record, port: int, route: str = "/pantalla") -> None:
        self.record = record
        self.port = port
        self.route = route
        self.hello: dict[str, Any] = {}
        self.outcomes: dict[str, dict[str, Any]] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Connect; resume the session if there is one."""
        target = self.route
        if self.hello:
            seen = max((outcome["n"] for outcome in self.outcomes.values()), default=0)
            target += f"?session={self.hello['session']}&seen={seen}"
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        key = base64.b64encode(os.urandom(16)).decode()
        lines = [
            f"GET {target} HTTP/1.1",
            "Host: service.internal",
            "Upgrade: websocket",
            "Connection: Upgrade",
        ]
        lines += [f"Sec-WebSocket-Key: {key}", "Sec-WebSocket-Version: 13"]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        words, _ = await read_head(reader)
        if words[1] != "101":
            raise CannotRunError(f"the upgrade was answered {words[1]}")
        self.hello = json.loads(await self._read_text(reader))
        self.record.add(f"kiosk connected: {json.dumps(self.hello)}")
        self.task = asyncio.create_task(self._read_outcomes(reader))

    def drop(self) -> None:
        """End the connection without a close frame, as a network does."""
        assert self.writer is not None
        assert self.task is not None
        self.task.cancel()
        self.writer.transport.abort()
        self.record.add("the kiosk's connection broke")

    def send(self, **message: Any) -> None:
        """Send one message."""
        assert self.writer is not None
        self.writer.write(frame(TEXT, json.dumps(message).encode()))
        self.record.add(f"kiosk sends {json.dumps(message)}")

    async def _read_frame(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        first, second = await reader.readexactly(2)
        size = second & 0x7F
        if size == LENGTH_16:
            size = struct.unpack("!H", await reader.readexactly(2))[0]
        elif size == LENGTH_64:
            size = struct.unpack("!Q", await reader.readexactly(8))[0]
        return first, await reader.readexactly(size)

    async def _read_text(self, reader: asyncio.StreamReader) -> str:
        text = b""
        while True:
            first, data = await self._read_frame(reader)
            if first & 0x0F in (0, TEXT):
                text += data
                if first & 0x80:
                    return text.decode()
            elif first & 0x0F == CLOSE:
                raise ConnectionError(f"closed with {data!r}")
            elif first & 0x0F == PING and self.writer is not None:
                self.writer.write(frame(PONG, data))

    async def _read_outcomes(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                message = json.loads(await self._read_text(reader))
                if "outcome" in message:
                    self.outcomes[message["id"]] = message
                short = {name: str(value)[:40] for name, value in message.items()}
                self.record.add(f"kiosk got {json.dumps(short)}")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.add(f"the kiosk's connection ended: {error}")
