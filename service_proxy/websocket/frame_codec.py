"""Frame encoder and decoder of one connection: wsproto with additional limits. Does no I/O.

wsproto enforces the rules of RFC 6455 for each frame: masks, reserved bits, shortest lengths, UTF-8,
fragments and close codes. This module adds the limits that a proxy needs: the length of a message (both the
announced length and the sum so far) and the number of its fragments. The decoder decodes only as many
frames at a time as the caller requests.
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

MAX_FRAGMENTS = 1024  # Frames per message.
MAX_REASON_BYTES = 123  # Length of the reason in a close frame (RFC 6455, 5.5).
NO_STATUS = 1005  # Code of a close frame without a code; never on the wire.
ABNORMAL = 1006  # Code of a connection that ended without a close frame; never on the wire.


class ProtocolViolationError(WebSocketError):
    """Error raised when the peer has violated the protocol or a limit.

    Attributes:
        close_code: Close code with which the connection ends.
    """

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.close_code = code


@dataclass(frozen=True, slots=True)
class MessageFragment:
    """Part of a message: str of a text message, bytes of a binary one; `is_last` marks the last part."""

    data: str | bytes
    is_last: bool


@dataclass(frozen=True, slots=True)
class PingFrame:
    """Ping frame, which has to be answered with a pong of the same data."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PongFrame:
    """Pong frame."""

    data: bytes


@dataclass(frozen=True, slots=True)
class CloseFrame:
    """Close frame; `code` is NO_STATUS if the frame has no code."""

    code: int
    reason: str


FrameEvent = MessageFragment | PingFrame | PongFrame | CloseFrame


class NegotiatedExtension(Extension):
    """Extension that is always enabled, because wsproto does not perform the opening handshake here."""

    def enabled(self) -> bool:
        """Return whether the extension is enabled, which is always the case."""
        return True

    def offer(self) -> bool | str:
        """Return False because the opening handshake, not wsproto, offers extensions."""
        return False


class _MessageLimits(NegotiatedExtension):
    """Limits of a message, checked at each frame's header before any of the frame's payload is read."""

    name = "bounds"

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        # Announced payload bytes and frames so far of the message that is being received.
        self.announced_bytes = 0
        self.frame_count = 0
        self.violation: ProtocolViolationError | None = None

    def frame_inbound_header(
        self, _proto: FrameDecoder | FrameProtocol, opcode: Opcode, _rsv: RsvBits, payload_length: int
    ) -> CloseReason | RsvBits:
        if opcode.iscontrol():
            return RsvBits(False, False, False)
        if opcode is not Opcode.CONTINUATION:
            self.announced_bytes = 0
            self.frame_count = 0
        self.announced_bytes += payload_length
        self.frame_count += 1
        if self.announced_bytes > self.max_message_bytes:
            self.violation = ProtocolViolationError(1009, f"a message of over {self.max_message_bytes} bytes")
            return CloseReason.MESSAGE_TOO_BIG
        if self.frame_count > MAX_FRAGMENTS:
            self.violation = ProtocolViolationError(1008, f"a message in over {MAX_FRAGMENTS} frames")
            return CloseReason.POLICY_VIOLATION
        return RsvBits(False, False, False)


class FrameCodec:
    """Encoder and decoder of one connection's frames. A client (towards an endpoint) masks its frames."""

    __slots__ = ("_frames", "_limits", "_next_event")

    def __init__(self, is_client: bool, max_message_bytes: int, extensions: Sequence[Extension] = ()) -> None:
        """Create the codec; `max_message_bytes` limits a message as it is on the wire."""
        self._next_event: FrameEvent | None = None  # Decoded, and not yet yielded by `events`.
        self._limits = _MessageLimits(max_message_bytes)
        self._frames = FrameProtocol(is_client, [self._limits, *extensions])

    def receive(self, data: bytes | memoryview) -> None:
        """Decode data that was read from the connection."""
        self._frames.receive_bytes(data)

    def events(self) -> Iterator[FrameEvent]:
        """Yield the received frames one by one; a caller that stops early gets the rest at the next call.

        Raises:
            ProtocolViolationError: The peer has violated the protocol or a limit.
        """
        while (event := self.next_event()) is not None:
            yield event

    def next_event(self) -> FrameEvent | None:
        """Return the next received frame or part of a frame, or None if no complete one is left.

        Raises:
            ProtocolViolationError: The peer has violated the protocol or a limit.
        """
        event = self._next_event
        if event is None:
            return self._decode()
        self._next_event = None
        return event

    def has_event(self) -> bool:
        """Return whether `next_event` will return one.

        Raises:
            ProtocolViolationError: The peer has violated the protocol or a limit.
        """
        if self._next_event is None:
            self._next_event = self._decode()
        return self._next_event is not None

    def _decode(self) -> FrameEvent | None:
        try:
            frame = next(self._frames.received_frames(), None)
        except ParseFailed as violation:
            limit_violation = self._limits.violation
            self._limits.violation = None
            raise (limit_violation or ProtocolViolationError(int(violation.code), str(violation))) from None
        return None if frame is None else self._event(frame)

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
        """Return the frame of a message or of its next part."""
        return bytes(self._frames.send_data(data, is_last))

    def encode_ping(self, data: bytes) -> bytes:
        """Return an encoded ping frame."""
        return bytes(self._frames.ping(data))

    def encode_pong(self, data: bytes) -> bytes:
        """Return an encoded pong frame."""
        return bytes(self._frames.pong(data))

    def encode_close(self, code: int, reason: str = "") -> bytes:
        """Return a close frame; the frame is empty if the code must never be on the wire."""
        if code in (NO_STATUS, ABNORMAL):
            return bytes(self._frames.close())
        return bytes(self._frames.close(code, reason))
