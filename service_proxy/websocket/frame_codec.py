"""Frames of one connection, in and out: wsproto behind bounds of our own.

What RFC 6455 wants of each frame (masks, reserved bits, shortest lengths, UTF-8, fragments, close codes) is
wsproto's; what a proxy can't do without is added here: how long a message may be, announced or so far, in how
many pieces it may come. No sockets, no clock, and no more at a time than who reads asks for.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from wsproto.extensions import Extension
from wsproto.frame_protocol import (
    CloseReason,
    Frame,
    FrameDecoder,
    FrameProtocol,
    Opcode,
    ParseFailed,
    RsvBits,
)

MAX_FRAGMENTS = 1024  # frames of one message
MAX_REASON_BYTES = 123  # bytes of a close frame's reason (RFC 6455, 5.5)
NO_STATUS = 1005  # a close frame without a code; never on the wire
ABNORMAL = 1006  # no close frame at all; never on the wire


class ProtocolViolationError(Exception):
    """The peer has broken the protocol or a bound: the connection ends with this close code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.close_code = code


@dataclass(frozen=True, slots=True)
class MessageFragment:
    """What has come of a message. `data`: str of a text, bytes of a binary message; `last`: it is whole."""

    data: str | bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class PingFrame:
    data: bytes


@dataclass(frozen=True, slots=True)
class PongFrame:
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseFrame:
    code: int  # NO_STATUS: none was given
    reason: str


FrameEvent = MessageFragment | PingFrame | PongFrame | CloseFrame


class NegotiatedExtension(Extension):
    """One that is in force from the start: the handshake is not wsproto's here."""

    def enabled(self) -> bool:
        return True

    def offer(self) -> bool | str:
        return False


class _Bounds(NegotiatedExtension):
    """Looks at each frame's head before any of its payload is taken."""

    name = "bounds"

    def __init__(self, most: int) -> None:
        self.most = most  # bytes of a message
        # of the message that comes now
        self.announced = 0
        self.frames = 0
        self.fault: ProtocolViolationError | None = None

    def frame_inbound_header(
        self, proto: FrameDecoder | FrameProtocol, opcode: Opcode, rsv: RsvBits, payload_length: int
    ) -> CloseReason | RsvBits:
        if opcode.iscontrol():
            return RsvBits(False, False, False)
        if opcode is not Opcode.CONTINUATION:
            self.announced = 0
            self.frames = 0
        self.announced += payload_length
        self.frames += 1
        if self.announced > self.most:
            self.fault = ProtocolViolationError(1009, f"a message of over {self.most} bytes")
            return CloseReason.MESSAGE_TOO_BIG
        if self.frames > MAX_FRAGMENTS:
            self.fault = ProtocolViolationError(1008, f"a message in over {MAX_FRAGMENTS} frames")
            return CloseReason.POLICY_VIOLATION
        return RsvBits(False, False, False)


class FrameCodec:
    """`client`: this side is the connection's client, towards a node; it masks what it sends."""

    __slots__ = ("_bounds", "_frames")

    def __init__(self, is_client: bool, max_message_bytes: int, extensions: Sequence[Extension] = ()) -> None:
        """`most`: bytes of a message, as they come on the wire."""
        self._bounds = _Bounds(max_message_bytes)
        self._frames = FrameProtocol(is_client, [self._bounds, *extensions])

    def receive(self, data: bytes | memoryview) -> None:
        self._frames.receive_bytes(data)

    def events(self) -> Iterator[FrameEvent]:
        """What has come, one by one; who stops early finds the rest at the next call. Raises Fault."""
        try:
            for frame in self._frames.received_frames():
                yield self._event(frame)
        except ParseFailed as fault:
            found = self._bounds.fault
            self._bounds.fault = None
            raise (found or ProtocolViolationError(int(fault.code), str(fault))) from None

    @staticmethod
    def _event(frame: Frame) -> FrameEvent:
        opcode = frame.opcode
        payload = frame.payload
        if opcode is Opcode.CLOSE:
            assert isinstance(payload, tuple)
            return CloseFrame(int(payload[0]), payload[1])
        assert not isinstance(payload, tuple)
        if opcode is Opcode.PING or opcode is Opcode.PONG:
            assert isinstance(payload, bytes)
            return PingFrame(payload) if opcode is Opcode.PING else PongFrame(payload)
        return MessageFragment(payload, frame.frame_finished and frame.message_finished)

    def encode_fragment(self, data: str | bytes, is_last: bool = True) -> bytes:
        """A message, or the next part of one."""
        return bytes(self._frames.send_data(data, is_last))

    def encode_ping(self, data: bytes) -> bytes:
        return bytes(self._frames.ping(data))

    def encode_pong(self, data: bytes) -> bytes:
        return bytes(self._frames.pong(data))

    def encode_close(self, code: int, reason: str = "") -> bytes:
        """A code that is never on the wire leaves the frame empty."""
        if code in (NO_STATUS, ABNORMAL):
            return bytes(self._frames.close())
        return bytes(self._frames.close(code, reason))
