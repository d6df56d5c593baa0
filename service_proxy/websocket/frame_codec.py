"""Encode and decode the frames of one connection: wsproto with limits of our own. Pure.

What RFC 6455 requires of each frame (masks, reserved bits, shortest lengths, UTF-8, fragments, close codes)
is wsproto's; what a proxy can't do without is added here: how long a message may be, announced or so far, and
in how many fragments it may come. No more is decoded at a time than the caller takes.
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

from service_proxy.websocket.errors import WebSocketError

MAX_FRAGMENTS = 1024  # frames of one message
MAX_REASON_BYTES = 123  # bytes of a close frame's reason (RFC 6455, 5.5)
NO_STATUS = 1005  # a close frame without a code; never on the wire
ABNORMAL = 1006  # no close frame at all; never on the wire


class ProtocolViolationError(WebSocketError):
    """The peer has broken the protocol or a limit.

    Attributes:
        close_code: with which the connection ends.
    """

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.close_code = code


@dataclass(frozen=True, slots=True)
class MessageFragment:
    """A part of a message: str of a text, bytes of a binary message; `is_last`: the message ends with it."""

    data: str | bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class PingFrame:
    """A ping, to be answered with the same data."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PongFrame:
    """A pong."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseFrame:
    """A close frame; its code is NO_STATUS where it has none."""

    code: int
    reason: str


FrameEvent = MessageFragment | PingFrame | PongFrame | CloseFrame


class NegotiatedExtension(Extension):
    """An extension that is in force from the start: the opening handshake is not wsproto's here."""

    def enabled(self) -> bool:
        """Return whether it is in force."""
        return True

    def offer(self) -> bool | str:
        """Return what a client offers: nothing."""
        return False


class _MessageLimits(NegotiatedExtension):
    """Checks each frame's header before any of its payload is read."""

    name = "bounds"

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        # Of the message that is being received:
        self.announced = 0
        self.frames = 0
        self.fault: ProtocolViolationError | None = None

    def frame_inbound_header(
        self, _proto: FrameDecoder | FrameProtocol, opcode: Opcode, _rsv: RsvBits, payload_length: int
    ) -> CloseReason | RsvBits:
        if opcode.iscontrol():
            return RsvBits(False, False, False)
        if opcode is not Opcode.CONTINUATION:
            self.announced = 0
            self.frames = 0
        self.announced += payload_length
        self.frames += 1
        if self.announced > self.max_message_bytes:
            self.fault = ProtocolViolationError(1009, f"a message of over {self.max_message_bytes} bytes")
            return CloseReason.MESSAGE_TOO_BIG
        if self.frames > MAX_FRAGMENTS:
            self.fault = ProtocolViolationError(1008, f"a message in over {MAX_FRAGMENTS} frames")
            return CloseReason.POLICY_VIOLATION
        return RsvBits(False, False, False)


class FrameCodec:
    """Frames of one connection. A client (towards an endpoint) masks what it sends."""

    __slots__ = ("_frames", "_limits")

    def __init__(self, is_client: bool, max_message_bytes: int, extensions: Sequence[Extension] = ()) -> None:
        """`max_message_bytes`: of a message, as it is on the wire."""
        self._limits = _MessageLimits(max_message_bytes)
        self._frames = FrameProtocol(is_client, [self._limits, *extensions])

    def receive(self, data: bytes | memoryview) -> None:
        """Take in what was read from the connection."""
        self._frames.receive_bytes(data)

    def events(self) -> Iterator[FrameEvent]:
        """Yield what was received, one by one; a caller that stops early gets the rest at the next call.

        Raises:
            ProtocolViolationError: the peer has broken the protocol or a limit.
        """
        try:
            for frame in self._frames.received_frames():
                yield self._event(frame)
        except ParseFailed as fault:
            found = self._limits.fault
            self._limits.fault = None
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
        """Return the frame of a message, or of its next part."""
        return bytes(self._frames.send_data(data, is_last))

    def encode_ping(self, data: bytes) -> bytes:
        """Return a ping frame."""
        return bytes(self._frames.ping(data))

    def encode_pong(self, data: bytes) -> bytes:
        """Return a pong frame."""
        return bytes(self._frames.pong(data))

    def encode_close(self, code: int, reason: str = "") -> bytes:
        """Return a close frame; it is empty for a code that is never on the wire."""
        if code in (NO_STATUS, ABNORMAL):
            return bytes(self._frames.close())
        return bytes(self._frames.close(code, reason))
