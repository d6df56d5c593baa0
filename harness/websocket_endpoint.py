"""Test endpoint that speaks WebSocket and serves requests, with scripted faults.

    python -m harness.websocket_endpoint --listen 127.0.0.1:0 [--script FILE]

It echoes each message with its own name as a prefix. The script is JSON, `{"faults": [{"session": 3, "after":
2, "what": "silent"}]}`: `session` is the number of the session (0: each session), `after` the number of
messages before the fault, and `what` one of FAULT_KINDS. Each opening handshake and each request is recorded
as an attempt.
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
    "silent",  # reads and sends nothing more; the connection stays open
    "mute",  # reads, but answers neither messages nor pings
    "slow",  # reads nothing for SLOW_S, so that the sender's buffers fill
    "reset",
    "close",
    "masked",
    "reserved",
    "opcode",
    "utf8",
    "long",
    "unasked",
    "close-1",
    # Faults of the handshake, for which `after` has no effect:
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
SLOW_S = 0.5  # time without reading, or delay of a late handshake response
SCRIPTED_CLOSE_CODE = 4321
DECLINING_RESPONSES = {
    "decline": b"HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno",
    "reject": b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 2\r\n\r\nno",
    "plain": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
}
INVALID_FRAMES = {
    "close-1": b"\x88\x01x",  # a close frame with a payload of one byte
    "masked": b"\x81\x81abcdx",
    "reserved": b"\xc1\x01x",
    "opcode": b"\x83\x01x",
    "utf8": b"\x81\x02\xc3\x28",
    "long": b"\x82\x7f" + struct.pack("!Q", 1 << 40),  # a length field of 1 TiB
    "unasked": b"\x80\x01x",  # a continuation frame without a message
}


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """A fault that the endpoint injects into a session after some messages."""

    kind: str
    session: int = 0  # number of the session; 0: each session
    after: int = 0  # number of messages before the fault


def line_of(text: str, number: int) -> int:
    """Return the line of the list's entry with this number (from 0); each entry begins with a brace."""
    position = text.find("[")
    for _ in range(number + 1):
        position = max(position, text.find("{", position + 1))
    return 1 + text.count("\n", 0, position)


def read_script(text: str, file: str = "script") -> list[ScriptedFault]:
    """Read a script of faults. Raises ValueError with file and line if the script is invalid."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ValueError(f"{file}:{getattr(error, 'lineno', 1)}: no JSON: {error}") from None
    faults = []
    entries = raw.get("faults") if isinstance(raw, dict) else None
    if not isinstance(entries, list):
        raise ValueError(f'{file}:1: write {{"faults": [...]}}')  # noqa: TRY004 - a fault of the file
    for number, entry in enumerate(entries):
        location = f"{file}:{line_of(text, number)}: fault {number + 1}"
        try:
            fault = ScriptedFault(**{"kind" if key == "what" else key: value for key, value in entry.items()})
        except TypeError as error:
            raise ValueError(f"{location}: {error}") from None
        if fault.kind not in FAULT_KINDS:
            raise ValueError(f"{location}: what must be one of {', '.join(FAULT_KINDS)}")
        faults.append(fault)
    return faults


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
        self.open_sessions: set[_EndpointConnection] = set()
        self.close_codes: Counter[int] = Counter()  # received close codes; 1006: no close frame
        self.messages: list[str | bytes] = []

    async def start(self) -> str:
        """Listen, on the previous address if there is one; return the address."""
        self.server, self.address = await listen(lambda: _EndpointConnection(self), self.address, 1024)
        return self.address

    def stop(self) -> None:
        """Abort all connections, like a killed process."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _EndpointConnection(asyncio.Protocol):
    def __init__(self, endpoint: WebSocketEndpoint) -> None:
        self.endpoint = endpoint
        self.transport: Any = None
        self.buffered = bytearray()
        self.frames: FrameProtocol | None = None
        self.number = 0
        self.message_count = 0
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
            self._receive_frames(data)
            return
        self.buffered += data
        while not self.is_silent and self.frames is None:
            request = self._next_request()
            if request is None:
                return
            self._on_request(*request)
        if self.frames is not None and self.buffered:
            surplus = bytes(self.buffered)
            self.buffered.clear()
            self._receive_frames(surplus)

    def _next_request(self) -> tuple[bytes, dict[bytes, bytes]] | None:
        """Remove the next complete request from the buffer; return its request line and headers, or None."""
        head, separator, rest = bytes(self.buffered).partition(b"\r\n\r\n")
        if not separator:
            return None
        request_line, *lines = head.split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        body_bytes = int(headers.get(b"content-length", b"0"))
        if len(rest) < body_bytes:
            return None
        del self.buffered[: len(head) + len(separator) + body_bytes]
        return request_line, headers

    def _on_request(self, request_line: bytes, headers: dict[bytes, bytes]) -> None:
        _, target, _ = request_line.split(b" ")
        if target in (b"/load", b"/healthz"):
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD_REPORT), LOAD_REPORT)
            )
            return
        now = time.monotonic()
        request_id = headers.get(b"x-call-id", b"").decode()
        key = headers.get(b"idempotency-key", b"").decode()
        proxy = headers.get(b"x-via", b"").decode()
        self.attempt = attempt = self.endpoint.recorder.attempt(
            request_id, self.endpoint.name, self.endpoint.zone, now, key=key, proxy=proxy, last_byte_at=now
        )
        if headers.get(b"upgrade", b"").lower() == b"websocket":
            self._upgrade(headers, attempt)
            return
        attempt.executed = True
        attempt.executed_at = now
        self.endpoint.loop.call_later(self.endpoint.service_time, self._respond, attempt)

    def _respond(self, attempt: RecordedAttempt) -> None:
        if self.transport is not None and not self.is_silent:
            attempt.ended_at = time.monotonic()
            body = b"done " + attempt.request_id.encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _scripted_fault(self, is_handshake: bool) -> str:
        """Return the kind of the scripted fault that is due in this session, or ""."""
        for fault in self.endpoint.faults:
            if fault.session not in (0, self.number):
                continue
            if (fault.kind in HANDSHAKE_FAULT_KINDS) is not is_handshake:
                continue
            if is_handshake or fault.after == self.message_count:
                return fault.kind
        return ""

    def _upgrade(self, headers: dict[bytes, bytes], attempt: RecordedAttempt) -> None:
        self.endpoint.session_count += 1
        self.number = self.endpoint.session_count
        fault = self._scripted_fault(is_handshake=True)
        if fault == "no-answer":
            self.is_silent = True
            return
        if fault in DECLINING_RESPONSES:
            attempt.rejected = fault == "reject"
            self.transport.write(DECLINING_RESPONSES[fault])
            attempt.ended_at = time.monotonic()
            return
        accept = base64.b64encode(hashlib.sha1(headers[b"sec-websocket-key"] + GUID).digest())
        if fault == "wrong-key":
            accept = base64.b64encode(b"x" * 20)
        extra_headers = b""
        offered = headers.get(b"sec-websocket-protocol", b"")
        if offered:
            extra_headers += b"Sec-WebSocket-Protocol: %s\r\n" % offered.split(b",")[0].strip()
        if fault == "extension":
            extra_headers += b"Sec-WebSocket-Extensions: permessage-deflate\r\n"
        if fault == "late":
            self.endpoint.loop.call_later(SLOW_S, self._accept, accept, extra_headers, "")
        else:
            self._accept(accept, extra_headers, fault)

    def _accept(self, accept: bytes, extra_headers: bytes, fault: str) -> None:
        if self.transport is None:
            return
        self.frames = FrameProtocol(client=False, extensions=[])
        head = (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            b"Sec-WebSocket-Accept: " + accept + b"\r\n" + extra_headers + b"\r\n"
        )
        first_frame = bytes(self.frames.send_data("behind")) if fault == "behind" else b""
        self.transport.write(head + first_frame)
        self.endpoint.open_sessions.add(self)
        self._inject(self._scripted_fault(is_handshake=False))

    def _receive_frames(self, data: bytes) -> None:
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
                self._on_message(("" if isinstance(frame.payload, str) else b"").join(parts))

    def _on_message(self, message: str | bytes) -> None:
        assert self.frames is not None
        self.message_count += 1
        self.endpoint.messages.append(message)
        fault = self._scripted_fault(is_handshake=False)
        if fault:
            self._inject(fault)
            return
        if not self.is_mute:
            prefix = f"{self.endpoint.name} "
            echo = prefix + message if isinstance(message, str) else prefix.encode() + message
            self.transport.write(bytes(self.frames.send_data(echo)))

    def _inject(self, fault: str) -> None:
        """Inject a fault of FAULT_KINDS; "" injects none."""
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
    """Run one endpoint for `seconds`, then print the counts of sessions, messages and close codes."""
    endpoint = WebSocketEndpoint(Recorder(), "wsnode", tuple(faults))
    endpoint.address = listen
    print(f"listening {await endpoint.start()}", flush=True)
    await asyncio.sleep(seconds)
    endpoint.stop()
    closes = dict(endpoint.close_codes)
    print(f"sessions {endpoint.session_count}, messages {len(endpoint.messages)}, closes {closes}")


def main(argv: list[str] | None = None) -> int:
    """Run one endpoint with the command line's options; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.websocket_endpoint",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--script", type=Path)
    parser.add_argument("--seconds", type=float, default=60.0, help="time until the program ends")
    options = parser.parse_args(argv)
    faults: list[ScriptedFault] = []
    if options.script is not None:
        try:
            faults = read_script(options.script.read_text(), str(options.script))
        except (OSError, ValueError) as error:
            print(error, file=sys.stderr)
            return 2
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(options.listen, faults, options.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
