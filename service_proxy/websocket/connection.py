"""One side of a WebSocket on a transport: reads in slices, writes, closes, and detects a silent peer.

This module makes no decisions. closing_handshake.TRANSITIONS defines the effect of a close frame, a
violation or a lost connection, and the connection's owner decides how messages are processed.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from service_proxy.net.arrival_times import ArrivalTimes
from service_proxy.net.downstream import ReadTurns
from service_proxy.net.socket_polling import unread_bytes
from service_proxy.websocket.closing_handshake import TRANSITIONS, ClosingAction, ClosingEvent, ClosingState
from service_proxy.websocket.frame_codec import (
    ABNORMAL,
    MAX_REASON_BYTES,
    FrameCodec,
    MessageFragment,
    PingFrame,
    PongFrame,
    ProtocolViolationError,
)
from service_proxy.websocket.session_limits import TokenBucket

# Complete messages of one connection that are processed as they arrive; further ones wait for a turn.
MAX_MESSAGES_ON_ARRIVAL = 1
MAX_MESSAGES_PER_TURN = 8
MAX_FRAMES_PER_TURN = 32  # Frames, or parts of frames, that are processed at once.
# Rate and burst of the pings and pongs that a peer may send.
CONTROL_FRAMES_PER_S = 20.0
CONTROL_FRAME_BURST = 40.0
CLOSE_TIMEOUT_S = 1.0  # Wait for the peer's close frame, and the further wait for the end of the connection.
HIGH_WATER_BYTES = 16 * 1024  # Unsent bytes at which backpressure starts.
POLICY_VIOLATION = 1008  # WebSocket close code (RFC 6455, 7.4.1).


class ConnectionOwner(Protocol):
    """Receiver of the messages and events of one side of a WebSocket."""

    def on_fragment(self, fragment: MessageFragment) -> None:
        """Process a part of a message."""

    def on_closed(self, code: int, reason: str) -> None:
        """Handle the end of the message exchange: no further message can be received or sent. Called once.

        `code` is the code of the peer's close frame or of a violation, or ABNORMAL if there was neither.
        """

    def on_connection_lost(self) -> None:
        """Handle the end of the transport's connection. Called once, after `on_closed`."""

    def on_backpressure(self, is_blocked: bool) -> None:
        """Handle that the peer has stopped reading (`is_blocked`), or has started to read again."""

    def on_ping_timeout(self) -> None:
        """Handle that the peer has not answered a ping in time."""


class WebSocketConnection(asyncio.BufferedProtocol):
    """One side of a WebSocket, which becomes the protocol of its transport. Times are monotonic, s.

    Args:
        transport: Transport whose opening handshake is complete.
        codec: Codec of the connection's frames.
        owner: Receiver of this side's messages and events.
        read_buffer: Buffer shared by all connections; data that was read is copied at once.
        read_turns: Turns that the connection shares with all others that have received much at once.
        is_server: Whether this side is the connection's server, which ends the connection first
            (RFC 6455, 7.1.1).

    Attributes:
        state: State of the closing handshake.
        received_at: Time at which the last data of the peer was read.
        arrived_at: Earliest time at which this data may have arrived in the socket.
        awaits_turn: Whether data that was already received waits for the connection's turn.
        is_in_turn: Whether the data that is processed now has waited for the connection's turn.
        pinged_at: Time at which the unanswered ping was sent; 0 if no ping is unanswered.
        closing_since: Time at which the state OPEN was left.
        is_paused: Whether the owner accepts no messages at present.
        pending_pong: Data of the last ping that has to be answered.
        has_violated_protocol: Whether a violation by the peer has ended the connection.
        stalled_bytes: Unsent bytes at the last check.
        stalled_since: Time since which the number of unsent bytes has not decreased.
    """

    __slots__ = (
        "arrival_times",
        "arrived_at",
        "awaits_turn",
        "closing_since",
        "codec",
        "control_bucket",
        "has_violated_protocol",
        "is_closed_notified",
        "is_in_turn",
        "is_paused",
        "is_server",
        "owner",
        "pending_pong",
        "pinged_at",
        "read_buffer",
        "read_turns",
        "received_at",
        "stalled_bytes",
        "stalled_since",
        "state",
        "transport",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        codec: FrameCodec,
        owner: ConnectionOwner,
        read_buffer: memoryview,
        read_turns: ReadTurns,
        is_server: bool,
    ) -> None:
        now = time.monotonic()
        self.transport: asyncio.Transport | None = transport
        self.codec = codec
        self.owner = owner
        self.read_buffer = read_buffer
        self.read_turns = read_turns
        self.is_server = is_server
        self.state = ClosingState.OPEN
        self.received_at = now
        self.arrived_at = now
        self.arrival_times = ArrivalTimes()
        self.pinged_at = 0.0
        self.closing_since = 0.0
        self.is_paused = False
        self.awaits_turn = False
        self.is_in_turn = False
        self.pending_pong: bytes | None = None
        self.control_bucket = TokenBucket(CONTROL_FRAME_BURST, now)
        self.is_closed_notified = False
        self.has_violated_protocol = False
        self.stalled_bytes = 0
        self.stalled_since = now
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        transport.set_protocol(self)

    # Receiving.

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read into the buffer."""
        transport = self.transport
        now = time.monotonic()
        self.received_at = now
        if self.state is ClosingState.CLOSED or transport is None:
            return  # The data is read so that the connection ends in order, and is discarded.
        unread = unread_bytes(transport) if nbytes == len(self.read_buffer) else 0
        self.arrived_at = self.arrival_times.on_read(nbytes, unread, now)
        self.codec.receive(self.read_buffer[:nbytes])
        self._process(MAX_MESSAGES_ON_ARRIVAL)

    def receive_surplus(self, data: bytes) -> None:
        """Process data that was read together with the opening handshake."""
        if data:
            self.codec.receive(data)
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        """Wait for the connection's turn to process the data that was already received."""
        if not self.awaits_turn and self.transport is not None:
            self.awaits_turn = True
            self.read_turns.wait(self, is_backlog=True)

    def on_read_turn(self) -> None:
        """Process data that has waited for the connection's turn."""
        self.awaits_turn = False
        self.is_in_turn = True
        self._process(MAX_MESSAGES_PER_TURN)
        self.is_in_turn = False

    def _process(self, max_messages: int) -> None:
        """Process received frames, at most this number of complete messages; the rest waits for a turn."""
        has_more = False
        try:
            has_more = self._process_frames(max_messages)
        except ProtocolViolationError as error:
            self.fail(error.close_code, str(error))
        if self.pending_pong is not None:
            data = self.pending_pong
            self.pending_pong = None
            if self.state is not ClosingState.CLOSED:
                self._write(self.codec.encode_pong(data))
        if has_more and self.state is not ClosingState.CLOSED:
            self._wait_for_turn()
        self._update_reading()

    def _process_frames(self, max_messages: int) -> bool:
        """Process received frames; return whether a limit was reached and more frames wait for a turn."""
        frames = messages = 0
        while self._can_process and (event := self.codec.next_event()) is not None:
            frames += 1
            if isinstance(event, MessageFragment):
                # After this side's close frame, only the peer's close frame matters.
                if self.state is ClosingState.OPEN:
                    self.owner.on_fragment(event)
            elif isinstance(event, PingFrame | PongFrame):
                self._on_control_frame(event)
            else:
                self._transition(ClosingEvent.CLOSE_RECEIVED, event.code, event.reason)
                break
            messages += isinstance(event, MessageFragment) and event.is_last
            if frames == MAX_FRAMES_PER_TURN or messages == max_messages:
                return self._can_process and self.codec.has_event()
        return False

    @property
    def _can_process(self) -> bool:
        """Return whether frames may be processed now."""
        return not self.is_paused and self.state is not ClosingState.CLOSED

    def _on_control_frame(self, event: PingFrame | PongFrame) -> None:
        if not self.control_bucket.take(self.received_at, CONTROL_FRAMES_PER_S, CONTROL_FRAME_BURST):
            raise ProtocolViolationError(POLICY_VIOLATION, "too many pings")
        if isinstance(event, PingFrame):
            # One pong may answer several pings if it carries the data of the latest ping (RFC 6455, 5.5.3).
            self.pending_pong = event.data

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume passing messages to the owner."""
        self.is_paused = is_paused
        if not is_paused:
            self._wait_for_turn()
        self._update_reading()

    def _update_reading(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        should_read = self.state is ClosingState.CLOSED or not (self.is_paused or self.awaits_turn)
        if should_read and not transport.is_reading():
            if not unread_bytes(transport):
                self.arrival_times.clear()
            transport.resume_reading()
        elif not should_read and transport.is_reading():
            self.arrival_times.observe(unread_bytes(transport), time.monotonic())
            transport.pause_reading()

    # Sending.

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def send(self, data: str | bytes, is_last: bool = True) -> bool:
        """Send a message or its next part; return False if the connection can no longer send."""
        if self.state is not ClosingState.OPEN:
            return False
        self._write(self.codec.encode_fragment(data, is_last))
        return True

    def pause_writing(self) -> None:
        """Notify the owner that the peer has stopped reading."""
        self.owner.on_backpressure(True)

    def resume_writing(self) -> None:
        """Notify the owner that the peer reads again."""
        self.owner.on_backpressure(False)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes written that the peer has not read."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def buffered_bytes(self) -> int:
        """Return the largest possible number of unsent and of received unprocessed bytes of this side."""
        unprocessed = len(self.read_buffer) if self.is_paused or self.awaits_turn else 0
        return self.unsent_bytes + unprocessed

    def stalled_for(self, now: float) -> float:
        """Return for how long the peer has read none of the unsent bytes, s. Has to be called regularly."""
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes or unsent_bytes < self.stalled_bytes:
            self.stalled_since = now
        self.stalled_bytes = unsent_bytes
        return now - self.stalled_since if unsent_bytes else 0.0

    # Closing.

    def close(self, code: int, reason: str = "") -> None:
        """Start the closing handshake."""
        self._transition(ClosingEvent.CLOSE_REQUESTED, code, reason)

    def fail(self, code: int, reason: str = "") -> None:
        """End the connection because the peer has violated the protocol or a limit."""
        self.has_violated_protocol = self.state is ClosingState.OPEN
        self._transition(ClosingEvent.PROTOCOL_VIOLATION, code, reason)

    def _transition(self, event: ClosingEvent, code: int, reason: str) -> None:
        previous_state = self.state
        self.state, action = TRANSITIONS[previous_state, event]
        if action is ClosingAction.NONE:
            if event is ClosingEvent.CONNECTION_LOST:
                self._notify_closed(ABNORMAL, "")
            return
        if previous_state is ClosingState.OPEN:
            self.closing_since = time.monotonic()
        if action is ClosingAction.ECHO_CLOSE:
            self._write(self.codec.encode_close(code, ""))
        elif action in (ClosingAction.SEND_CLOSE, ClosingAction.SEND_ERROR):
            text = reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")
            self._write(self.codec.encode_close(code, text))
        if action is not ClosingAction.SEND_CLOSE:
            self._end()
        self._notify_closed(code, reason)

    def _end(self) -> None:
        """End the connection as its server, or wait for the peer to end the connection.

        `check_liveness` limits the wait.
        """
        transport = self.transport
        if transport is None:
            return
        self.is_paused = False
        if not transport.is_reading() and not transport.is_closing():
            transport.resume_reading()
        if self.is_server and transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()

    def _notify_closed(self, code: int, reason: str) -> None:
        if not self.is_closed_notified:
            self.is_closed_notified = True
            self.owner.on_closed(code, reason)

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        """Return False so that the transport closes after all data is written."""
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Record the end of the connection and notify the owner."""
        self.transport = None
        self._transition(ClosingEvent.CONNECTION_LOST, ABNORMAL, "")
        self.owner.on_connection_lost()

    def check_liveness(self, now: float, ping_every: float, ping_timeout: float) -> None:
        """Send pings and abort connections whose closing handshake has timed out. Has to be called regularly.

        Times are in s.
        """
        if self.transport is None:
            return
        if self.state is not ClosingState.OPEN:
            timeouts = 1 if self.state is ClosingState.CLOSING else 2
            if now > self.closing_since + CLOSE_TIMEOUT_S * timeouts:
                self._transition(ClosingEvent.TIMED_OUT, ABNORMAL, "")
                self.abort()
        # Frames of the peer are not processed during a pause, so a pong could not be detected.
        elif self.is_paused:
            self.pinged_at = 0.0
            self.received_at = now
        elif self.pinged_at:
            self._check_pong(now, ping_timeout)
        elif now > self.received_at + ping_every:
            self.pinged_at = now
            self._write(self.codec.encode_ping(b""))

    def _check_pong(self, now: float, ping_timeout: float) -> None:
        if self.received_at > self.pinged_at:
            self.pinged_at = 0.0
        elif now > self.pinged_at + ping_timeout:
            self.pinged_at = 0.0
            self.owner.on_ping_timeout()
