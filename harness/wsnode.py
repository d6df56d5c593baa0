"""A stand-in for a nodo that speaks WebSocket and serves calls as harness.backend does, with scripted faults.

    python -m harness.wsnode --listen 127.0.0.1:0 [--script FILE]

It echoes each message, begun with its own name. The script is JSON, `{"faults": [{"session": 3, "after": 2,
"what": "silent"}]}`: what it does in its nth session (0: in each) after so many messages. `what` is one of
FAULTS. Every opening is logged as an attempt in the ledger, every message as `name text` on request.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import hashlib
import json
import struct
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop
from wsproto.frame_protocol import CloseReason, FrameProtocol, Opcode, ParseFailed

from harness.backend import LOAD
from harness.kit import listen
from harness.ledger import Attempt, Ledger

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
MOST_HEAD = 16 * 1024
FAULTS = (
    "silent",  # nothing more is looked at or said, the connection stays
    "mute",  # reads on, answers nothing, not even pings
    "slow",  # reads nothing for a while, so that the sender's buffers fill
    "reset",
    "close",
    "masked",
    "reserved",
    "opcode",
    "utf8",
    "long",
    "unasked",
    "close-1",
    # Of the handshake, whatever `after` says:
    "decline",
    "reject",
    "wrong-key",
    "no-answer",
    "plain",
    "extension",
    "behind",
    "late",
)
HANDSHAKE = frozenset(("decline", "reject", "wrong-key", "no-answer", "plain", "extension", "behind", "late"))
SLOW = 0.5  # s


@dataclass(frozen=True, slots=True)
class Fault:
    what: str
    session: int = 0  # 0: each
    after: int = 0  # messages


def line_of(text: str, number: int) -> int:
    """Of the nth entry of the list in it, each of which begins with a brace."""
    place = text.find("[")
    for _ in range(number + 1):
        place = max(place, text.find("{", place + 1))
    return 1 + text.count("\n", 0, place)


def read_script(text: str, file: str = "script") -> list[Fault]:
    """Raises ValueError with file and line."""
    try:
        raw = json.loads(text)
    except ValueError as fault:
        raise ValueError(f"{file}:{getattr(fault, 'lineno', 1)}: no JSON: {fault}") from None
    found = []
    entries = raw.get("faults") if isinstance(raw, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f'{file}:1: write {{"faults": [...]}}')
    for number, entry in enumerate(entries):
        at = f"{file}:{line_of(text, number)}: fault {number + 1}"
        try:
            made = Fault(**entry)
        except TypeError as fault:
            raise ValueError(f"{at}: {fault}") from None
        if made.what not in FAULTS:
            raise ValueError(f"{at}: what must be one of {', '.join(FAULTS)}")
        found.append(made)
    return found


class WsNode:
    def __init__(
        self,
        ledger: Ledger,
        name: str,
        faults: tuple[Fault, ...] = (),
        service: float = 0.002,
        zone: str = "a",
    ) -> None:
        self.ledger = ledger
        self.name = name
        self.faults = faults
        self.service = service
        self.zone = zone
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connections: set[_Node] = set()
        self.sessions = 0
        self.answers_closes = True
        self.open: set[_Node] = set()  # sessions
        self.closes: Counter[int] = Counter()  # codes that came; 1006: none did
        self.heard: list[str | bytes] = []  # messages

    async def start(self) -> str:
        """Listens where it did before, if it did."""
        self.server, self.address = await listen(lambda: _Node(self), self.address, 1024)
        return self.address

    def stop(self) -> None:
        """As a process that dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _Node(asyncio.Protocol):
    def __init__(self, node: WsNode) -> None:
        self.node = node
        self.transport: Any = None
        self.head = bytearray()
        self.frames: FrameProtocol | None = None
        self.number = 0
        self.messages = 0
        self.parts: list[Any] = []
        self.mute = False
        self.dead = False
        self.attempt: Attempt | None = None
        self.close_code = 1006

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.node.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.node.connections.discard(self)
        if self in self.node.open:
            self.node.open.discard(self)
            self.node.closes[self.close_code] += 1
        if self.attempt is not None:
            self.attempt.ended = min(self.attempt.ended, time.monotonic())

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        if self.frames is not None:
            self._frames(data)
            return
        self.head += data
        while not self.dead and self.frames is None and (end := self.head.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.head[:end])
            fields = {}
            line, *rest = head.split(b"\r\n")
            for field in rest:
                name, _, value = field.partition(b":")
                fields[name.lower()] = value.strip()
            length = int(fields.get(b"content-length", b"0"))
            if len(self.head) < end + 4 + length:
                return
            del self.head[: end + 4 + length]
            self._request(line, fields)
        if self.frames is not None and self.head:
            behind = bytes(self.head)
            self.head.clear()
            self._frames(behind)

    def _request(self, line: bytes, fields: dict[bytes, bytes]) -> None:
        _, target, _ = line.split(b" ")
        if target in (b"/load", b"/healthz"):
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD), LOAD))
            return
        now = time.monotonic()
        call = fields.get(b"x-call-id", b"").decode()
        key = fields.get(b"idempotency-key", b"").decode()
        via = fields.get(b"x-via", b"").decode()
        self.attempt = attempt = self.node.ledger.attempt(
            call, self.node.name, self.node.zone, now, key=key, proxy=via, whole=now
        )
        if fields.get(b"upgrade", b"").lower() == b"websocket":
            self._upgrade(fields, attempt)
            return
        attempt.ran = True
        attempt.ran_at = now
        self.node.loop.call_later(self.node.service, self._served, attempt)

    def _served(self, attempt: Attempt) -> None:
        if self.transport is not None and not self.dead:
            attempt.ended = time.monotonic()
            body = b"done " + attempt.call.encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _fault(self, handshake: bool) -> str:
        for fault in self.node.faults:
            mine = fault.session in (0, self.number) and (fault.what in HANDSHAKE) is handshake
            if mine and (handshake or fault.after == self.messages):
                return fault.what
        return ""

    def _upgrade(self, fields: dict[bytes, bytes], attempt: Attempt) -> None:
        node = self.node
        node.sessions += 1
        self.number = node.sessions
        what = self._fault(True)
        accept = base64.b64encode(hashlib.sha1(fields[b"sec-websocket-key"] + GUID).digest())
        offered = fields.get(b"sec-websocket-protocol", b"")
        more = b"Sec-WebSocket-Protocol: %s\r\n" % offered.split(b",")[0].strip() if offered else b""
        if what == "no-answer":
            self.dead = True
            return
        if what in ("decline", "reject", "plain"):
            line = {"decline": b"403 Forbidden", "reject": b"503 Full", "plain": b"200 OK"}[what]
            mark = b"X-Rejected: 1\r\n" if what == "reject" else b""
            attempt.refused = what == "reject"
            self.transport.write(b"HTTP/1.1 " + line + b"\r\n" + mark + b"Content-Length: 2\r\n\r\nno")
            attempt.ended = time.monotonic()
            return
        if what == "wrong-key":
            accept = base64.b64encode(b"x" * 20)
        if what == "extension":
            more += b"Sec-WebSocket-Extensions: permessage-deflate\r\n"
        if what == "late":
            node.loop.call_later(SLOW, self._accept, accept, more, "")
        else:
            self._accept(accept, more, what)

    def _accept(self, accept: bytes, more: bytes, what: str) -> None:
        if self.transport is None:
            return
        self.frames = FrameProtocol(client=False, extensions=[])
        head = (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            b"Sec-WebSocket-Accept: " + accept + b"\r\n" + more + b"\r\n"
        )
        behind = bytes(self.frames.send_data("behind")) if what == "behind" else b""
        self.transport.write(head + behind)
        self.node.open.add(self)
        self._do(self._fault(False))

    def _frames(self, data: bytes) -> None:
        assert self.frames is not None
        self.frames.receive_bytes(data)
        try:
            for frame in self.frames.received_frames():
                if self.transport is None or self.dead:
                    return
                if frame.opcode is Opcode.CLOSE:
                    assert isinstance(frame.payload, tuple)
                    self.close_code = int(frame.payload[0])
                    if not self.mute and self.node.answers_closes:
                        self.transport.write(bytes(self.frames.close(self.close_code)))
                        self.transport.close()
                elif frame.opcode is Opcode.PING:
                    if not self.mute:
                        self.transport.write(bytes(self.frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
                elif frame.opcode is not Opcode.PONG:
                    self.parts.append(frame.payload)
                    if frame.message_finished and frame.frame_finished:
                        parts = self.parts
                        self.parts = []
                        self._message(("" if isinstance(frame.payload, str) else b"").join(parts))
        except ParseFailed:
            if self.transport is not None:
                self.transport.write(bytes(self.frames.close(CloseReason.PROTOCOL_ERROR)))
                self.transport.close()

    def _message(self, message: str | bytes) -> None:
        assert self.frames is not None
        self.messages += 1
        self.node.heard.append(message)
        what = self._fault(False)
        if what:
            self._do(what)
            return
        if not self.mute:
            own = f"{self.node.name} " if isinstance(message, str) else self.node.name.encode() + b" "
            self.transport.write(bytes(self.frames.send_data(own + message)))  # type: ignore[operator]

    def _do(self, what: str) -> None:
        write = self.transport.write
        if what == "silent":
            self.dead = True
        elif what == "mute":
            self.mute = True
        elif what == "slow":
            self.transport.pause_reading()
            self.node.loop.call_later(SLOW, self._resume)
        elif what == "reset":
            self.transport.abort()
        elif what == "close":
            assert self.frames is not None
            write(bytes(self.frames.close(4321, "scripted")))
        elif what == "close-1":
            write(b"\x88\x01x")
        elif what == "masked":
            write(b"\x81\x81abcdx")
        elif what == "reserved":
            write(b"\xc1\x01x")
        elif what == "opcode":
            write(b"\x83\x01x")
        elif what == "utf8":
            write(b"\x81\x02\xc3\x28")
        elif what == "long":
            write(b"\x82\x7f" + struct.pack("!Q", 1 << 40))
        elif what == "unasked":
            write(b"\x80\x01x")

    def _resume(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()


async def serve(listen: str, faults: list[Fault], seconds: float) -> None:
    node = WsNode(Ledger(), "wsnode", tuple(faults))
    node.address = listen
    print(f"listening {await node.start()}", flush=True)
    await asyncio.sleep(seconds)
    node.stop()
    print(f"sessions {node.sessions}, messages {len(node.heard)}, closes {dict(node.closes)}")


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m harness.wsnode",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--script", type=Path)
    parser.add_argument("--seconds", type=float, default=60.0, help="then it ends")
    wanted = parser.parse_args(argv)
    faults: list[Fault] = []
    if wanted.script is not None:
        try:
            faults = read_script(wanted.script.read_text(), str(wanted.script))
        except (OSError, ValueError) as fault:
            print(fault, file=sys.stderr)
            return 2
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(wanted.listen, faults, wanted.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
