"""A stand-in for an endpoint that speaks WebSocket and serves requests, with scripted faults.

    python -m harness.websocket_endpoint --listen 127.0.0.1:0 [--script FILE]

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
from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode, ParseFailed

from harness.event_loop import listen
from harness.recorder import RecordedAttempt, Recorder
from harness.stub_endpoint import LOAD_REPORT

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
MAX_HEAD_BYTES = 16 * 1024
FAULT_KINDS = (
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
HANDSHAKE_FAULT_KINDS = frozenset(
    ("decline", "reject", "wrong-key", "no-answer", "plain", "extension", "behind", "late")
)
SLOW_S = 0.5  # for which it reads nothing, or answers late
SCRIPTED_CLOSE_CODE = 4321
INVALID_FRAMES = {
    "close-1": b"\x88\x01x",  # a close frame of one byte
    "masked": b"\x81\x81abcdx",
    "reserved": b"\xc1\x01x",
    "opcode": b"\x83\x01x",
    "utf8": b"\x81\x02\xc3\x28",
    "long": b"\x82\x7f" + struct.pack("!Q", 1 << 40),  # a length of 1 TiB
    "unasked": b"\x80\x01x",  # a continuation of nothing
}


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """What the endpoint does in its nth session, after so many messages."""

    kind: str
    session: int = 0  # 0: each
    after: int = 0  # messages


def line_of(text: str, number: int) -> int:
    """Return the line of the nth entry of the list, each of which begins with a brace."""
    place = text.find("[")
    for _ in range(number + 1):
        place = max(place, text.find("{", place + 1))
    return 1 + text.count("\n", 0, place)


def read_script(text: str, file: str = "script") -> list[ScriptedFault]:
    """Read a script of faults. Raises ValueError with file and line."""
    try:
        raw = json.loads(text)
    except ValueError as fault:
        raise ValueError(f"{file}:{getattr(fault, 'lineno', 1)}: no JSON: {fault}") from None
    found = []
    entries = raw.get("faults") if isinstance(raw, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f'{file}:1: write {{"faults": [...]}}')  # noqa: TRY004 - a fault of the file
    for number, entry in enumerate(entries):
        at = f"{file}:{line_of(text, number)}: fault {number + 1}"
        try:
            made = ScriptedFault(**{"kind" if key == "what" else key: value for key, value in entry.items()})
        except TypeError as fault:
            raise ValueError(f"{at}: {fault}") from None
        if made.kind not in FAULT_KINDS:
            raise ValueError(f"{at}: what must be one of {', '.join(FAULT_KINDS)}")
        found.append(made)
    return found


class WebSocketEndpoint:
    """One endpoint that echoes messages."""

    def __init__(
        self,
        recorder: Recorder,
        name: str,
        faults: tuple[ScriptedFault, ...] = (),
        service_time: float = 0.002,
        zone: str = "a",
    ) -> None:
        self.recorder = recorder
        self.name = name
        self.faults = faults
        self.service_time = service_time
        self.zone = zone
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connections: set[_EndpointConnection] = set()
        self.session_count = 0
        self.answers_closes = True
        self.open_sessions: set[_EndpointConnection] = set()  # sessions
        self.close_codes: Counter[int] = Counter()  # codes that came; 1006: none did
        self.messages: list[str | bytes] = []  # messages

    async def start(self) -> str:
        """Listen where it did before, if it did; return the address."""
        self.server, self.address = await listen(lambda: _EndpointConnection(self), self.address, 1024)
        return self.address

    def stop(self) -> None:
        """End as a process that dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _EndpointConnection(asyncio.Protocol):
    def __init__(self, node: WebSocketEndpoint) -> None:
        self.endpoint = node
        self.transport: Any = None
        self.head = bytearray()
        self.frames: FrameProtocol | None = None
        self.number = 0
        self.messages = 0
        self.parts: list[Any] = []
        self.is_mute = False
        self.is_silent = False
        self.attempt: RecordedAttempt | None = None
        self.close_code = 1006

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.endpoint.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.endpoint.connections.discard(self)
        if self in self.endpoint.open_sessions:
            self.endpoint.open_sessions.discard(self)
            self.endpoint.close_codes[self.close_code] += 1
        if self.attempt is not None:
            self.attempt.ended_at = min(self.attempt.ended_at, time.monotonic())

    def data_received(self, data: bytes) -> None:
        if self.is_silent:
            return
        if self.frames is not None:
            self._frames(data)
            return
        self.head += data
        while not self.is_silent and self.frames is None and (end := self.head.find(b"\r\n\r\n")) >= 0:
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
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD_REPORT), LOAD_REPORT)
            )
            return
        now = time.monotonic()
        call = fields.get(b"x-call-id", b"").decode()
        key = fields.get(b"idempotency-key", b"").decode()
        via = fields.get(b"x-via", b"").decode()
        self.attempt = attempt = self.endpoint.recorder.attempt(
            call, self.endpoint.name, self.endpoint.zone, now, key=key, proxy=via, last_byte_at=now
        )
        if fields.get(b"upgrade", b"").lower() == b"websocket":
            self._upgrade(fields, attempt)
            return
        attempt.executed = True
        attempt.executed_at = now
        self.endpoint.loop.call_later(self.endpoint.service_time, self._served, attempt)

    def _served(self, attempt: RecordedAttempt) -> None:
        if self.transport is not None and not self.is_silent:
            attempt.ended_at = time.monotonic()
            body = b"done " + attempt.request_id.encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _fault(self, handshake: bool) -> str:
        for fault in self.endpoint.faults:
            mine = fault.session in (0, self.number) and (fault.kind in HANDSHAKE_FAULT_KINDS) is handshake
            if mine and (handshake or fault.after == self.messages):
                return fault.kind
        return ""

    def _upgrade(self, fields: dict[bytes, bytes], attempt: RecordedAttempt) -> None:
        node = self.endpoint
        node.session_count += 1
        self.number = node.session_count
        what = self._fault(True)
        accept = base64.b64encode(hashlib.sha1(fields[b"sec-websocket-key"] + GUID).digest())
        offered = fields.get(b"sec-websocket-protocol", b"")
        more = b"Sec-WebSocket-Protocol: %s\r\n" % offered.split(b",")[0].strip() if offered else b""
        if what == "no-answer":
            self.is_silent = True
            return
        if what in ("decline", "reject", "plain"):
            line = {"decline": b"403 Forbidden", "reject": b"503 Full", "plain": b"200 OK"}[what]
            mark = b"X-Rejected: 1\r\n" if what == "reject" else b""
            attempt.rejected = what == "reject"
            self.transport.write(b"HTTP/1.1 " + line + b"\r\n" + mark + b"Content-Length: 2\r\n\r\nno")
            attempt.ended_at = time.monotonic()
            return
        if what == "wrong-key":
            accept = base64.b64encode(b"x" * 20)
        if what == "extension":
            more += b"Sec-WebSocket-Extensions: permessage-deflate\r\n"
        if what == "late":
            node.loop.call_later(SLOW_S, self._accept, accept, more, "")
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
        self.endpoint.open_sessions.add(self)
        self._inject(self._fault(False))

    def _frames(self, data: bytes) -> None:
        assert self.frames is not None
        self.frames.receive_bytes(data)
        try:
            for frame in self.frames.received_frames():
                if self.transport is None or self.is_silent:
                    return
                self._on_frame(self.frames, frame)
        except ParseFailed:
            if self.transport is not None:
                self.transport.write(bytes(self.frames.close(CloseReason.PROTOCOL_ERROR)))
                self.transport.close()

    def _on_frame(self, frames: FrameProtocol, frame: Frame) -> None:
        if frame.opcode is Opcode.CLOSE:
            assert isinstance(frame.payload, tuple)
            self.close_code = int(frame.payload[0])
            if not self.is_mute and self.endpoint.answers_closes:
                self.transport.write(bytes(frames.close(self.close_code)))
                self.transport.close()
        elif frame.opcode is Opcode.PING:
            if not self.is_mute:
                self.transport.write(bytes(frames.pong(bytes(frame.payload))))  # type: ignore[arg-type]
        elif frame.opcode is not Opcode.PONG:
            self.parts.append(frame.payload)
            if frame.message_finished and frame.frame_finished:
                parts = self.parts
                self.parts = []
                self._message(("" if isinstance(frame.payload, str) else b"").join(parts))

    def _message(self, message: str | bytes) -> None:
        assert self.frames is not None
        self.messages += 1
        self.endpoint.messages.append(message)
        fault = self._fault(False)
        if fault:
            self._inject(fault)
            return
        if not self.is_mute:
            own = f"{self.endpoint.name} " if isinstance(message, str) else self.endpoint.name.encode() + b" "
            self.transport.write(bytes(self.frames.send_data(own + message)))  # type: ignore[operator]

    def _inject(self, fault: str) -> None:
        """Do what a fault of FAULT_KINDS says; "" is none."""
        if fault == "silent":
            self.is_silent = True
        elif fault == "mute":
            self.is_mute = True
        elif fault == "slow":
            self.transport.pause_reading()
            self.endpoint.loop.call_later(SLOW_S, self._resume)
        elif fault == "reset":
            self.transport.abort()
        elif fault == "close":
            assert self.frames is not None
            self.transport.write(bytes(self.frames.close(SCRIPTED_CLOSE_CODE, "scripted")))
        elif fault in INVALID_FRAMES:
            self.transport.write(INVALID_FRAMES[fault])

    def _resume(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()


async def serve(listen: str, faults: list[ScriptedFault], seconds: float) -> None:
    """Run one endpoint for so long, then print what it saw."""
    node = WebSocketEndpoint(Recorder(), "wsnode", tuple(faults))
    node.address = listen
    print(f"listening {await node.start()}", flush=True)
    await asyncio.sleep(seconds)
    node.stop()
    print(f"sessions {node.session_count}, messages {len(node.messages)}, closes {dict(node.close_codes)}")


def main(argv: list[str] | None = None) -> int:
    """Run one endpoint by the command line; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.websocket_endpoint",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--script", type=Path)
    parser.add_argument("--seconds", type=float, default=60.0, help="then it ends")
    options = parser.parse_args(argv)
    faults: list[ScriptedFault] = []
    if options.script is not None:
        try:
            faults = read_script(options.script.read_text(), str(options.script))
        except (OSError, ValueError) as fault:
            print(fault, file=sys.stderr)
            return 2
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(options.listen, faults, options.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
