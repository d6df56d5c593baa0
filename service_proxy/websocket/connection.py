"""One side of a WebSocket on a transport: reads in slices, writes, closes, notices when the peer is silent.

It decides nothing: closing_handshake.TRANSITIONS says what a close frame, a violation or a lost connection
does; its owner says what becomes of messages.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

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

MAX_FRAMES_PER_TURN = 128  # that are processed in one turn of the loop; the rest waits for the next
# Pings and pongs that a peer may send.
CONTROL_FRAMES_PER_S = 20.0
CONTROL_FRAME_BURST = 40.0
CLOSE_TIMEOUT_S = 1.0  # for the peer's close frame, and then for the end of the connection
HIGH_WATER_BYTES = 16 * 1024  # unsent bytes at which there is backpressure
POLICY_VIOLATION = 1008  # close code


class ConnectionOwner(Protocol):
    """Whose side it is."""

    def on_fragment(self, fragment: MessageFragment) -> None:
        """Take a part of a message."""

    def on_closed(self, code: int, reason: str) -> None:
        """Take note that no message comes any more and none can be sent. Called once.

        The code is that of the peer's close frame, of a violation, or ABNORMAL where there was neither.
        """

    def on_connection_lost(self) -> None:
        """Take note that the connection itself has ended. Called once, after `on_closed`."""

    def on_backpressure(self, is_blocked: bool) -> None:
        """Take note that the peer has stopped reading, or reads again."""

    def on_ping_timeout(self) -> None:
        """Take note that the peer has not answered a ping in time."""


class WebSocketConnection(asyncio.BufferedProtocol):
    """One side of a WebSocket. Times are monotonic, s.

    Attributes:
        state: of the closing handshake.
        received_at: when the peer sent something last.
        pinged_at: when the ping was sent that has no answer yet; 0: there is none.
        closing_since: when the state OPEN was left.
        is_paused: the owner takes nothing for now.
        is_read_scheduled: a further turn will process what was received.
        pending_pong: data of the last ping that is to be answered.
        has_violated_protocol: it ended by the peer's fault.
        stalled_bytes, stalled_since: unsent at the last check, and since when it has not become less.
    """

    __slots__ = (
        "closing_since",
        "codec",
        "control_bucket",
        "has_violated_protocol",
        "is_closed_notified",
        "is_paused",
        "is_read_scheduled",
        "is_server",
        "owner",
        "pending_pong",
        "pinged_at",
        "read_buffer",
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
        is_server: bool,
    ) -> None:
        """Take over a transport.

        Args:
            transport: whose opening handshake is done.
            codec: of its frames.
            owner: of this side.
            read_buffer: shared by all connections; what is read is processed at once.
            is_server: this side is the connection's server, and ends it first (RFC 6455, 7.1.1).
        """
        now = time.monotonic()
        self.transport: asyncio.Transport | None = transport
        self.codec = codec
        self.owner = owner
        self.read_buffer = read_buffer
        self.is_server = is_server
        self.state = ClosingState.OPEN
        self.received_at = now
        self.pinged_at = 0.0
        self.closing_since = 0.0
        self.is_paused = False
        self.is_read_scheduled = False
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
        """Process what was read."""
        self.received_at = time.monotonic()
        if self.state is ClosingState.CLOSED:
            return  # read so that the connection ends in order, and dropped
        self.codec.receive(self.read_buffer[:nbytes])
        self._process()

    def receive_surplus(self, data: bytes) -> None:
        """Take in what came right behind the opening handshake."""
        if data:
            self.codec.receive(data)
            self.schedule_read()

    def schedule_read(self) -> None:
        """Process what was received in a further turn of the loop."""
        if not self.is_read_scheduled and self.transport is not None:
            self.is_read_scheduled = True
            asyncio.get_running_loop().call_soon(self._scheduled_read)

    def _scheduled_read(self) -> None:
        self.is_read_scheduled = False
        self._process()

    def _process(self) -> None:
        is_all_processed = True
        try:
            is_all_processed = self._process_frames()
        except ProtocolViolationError as error:
            self.fail(error.close_code, str(error))
        if self.pending_pong is not None:
            data = self.pending_pong
            self.pending_pong = None
            if self.state is not ClosingState.CLOSED:
                self._write(self.codec.encode_pong(data))
        if not is_all_processed and not self.is_paused and self.state is not ClosingState.CLOSED:
            self.schedule_read()
        self._update_reading()

    def _process_frames(self) -> bool:
        """Process the frames of one turn; return False if their number was the limit."""
        remaining = MAX_FRAMES_PER_TURN
        for event in self.codec.events():
            if self.state is ClosingState.CLOSED:
                break
            if isinstance(event, MessageFragment):
                if self.state is ClosingState.OPEN:  # after our close frame only theirs counts
                    self.owner.on_fragment(event)
            elif isinstance(event, PingFrame | PongFrame):
                self._on_control_frame(event)
            else:
                self._transition(ClosingEvent.CLOSE_RECEIVED, event.code, event.reason)
                break
            remaining -= 1
            if not remaining or self.is_paused:
                break
        return remaining > 0

    def _on_control_frame(self, event: PingFrame | PongFrame) -> None:
        if not self.control_bucket.take(self.received_at, CONTROL_FRAMES_PER_S, CONTROL_FRAME_BURST):
            raise ProtocolViolationError(POLICY_VIOLATION, "too many pings")
        if isinstance(event, PingFrame):
            self.pending_pong = event.data  # the latest one may stand for all (RFC 6455, 5.5.3)

    def set_paused(self, is_paused: bool) -> None:
        """Stop or continue to hand messages to the owner."""
        self.is_paused = is_paused
        if not is_paused:
            self.schedule_read()
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        should_read = self.state is ClosingState.CLOSED or not (self.is_paused or self.is_read_scheduled)
        if should_read and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not should_read and self.transport.is_reading():
            self.transport.pause_reading()

    # Sending.

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def send(self, data: str | bytes, is_last: bool = True) -> bool:
        """Send a message, or its next part; return False if nothing can be sent any more."""
        if self.state is not ClosingState.OPEN:
            return False
        self._write(self.codec.encode_fragment(data, is_last))
        return True

    def pause_writing(self) -> None:
        """Tell the owner that the peer has stopped reading."""
        self.owner.on_backpressure(True)

    def resume_writing(self) -> None:
        """Tell the owner that the peer reads again."""
        self.owner.on_backpressure(False)

    @property
    def unsent_bytes(self) -> int:
        """What the peer has not read."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def buffered_bytes(self) -> int:
        """What this side may hold: what the peer has not read, and what was read and not processed."""
        unprocessed = len(self.read_buffer) if self.is_paused or self.is_read_scheduled else 0
        return self.unsent_bytes + unprocessed

    def stalled_for(self, now: float) -> float:
        """Return for how long the peer has read nothing of what is unsent, s; to be called regularly."""
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
        """End the connection: the peer has broken the protocol or a limit."""
        self.has_violated_protocol = self.state is ClosingState.OPEN
        self._transition(ClosingEvent.PROTOCOL_VIOLATION, code, reason)

    def _transition(self, event: ClosingEvent, code: int, reason: str) -> None:
        before = self.state
        self.state, action = TRANSITIONS[before, event]
        if action is ClosingAction.NONE:
            if event is ClosingEvent.CONNECTION_LOST:
                self._notify_closed(ABNORMAL, "")
            return
        if before is ClosingState.OPEN:
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
        """End the connection as its server, or wait for that as its client; neither for long."""
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
        """Let the transport close once all is written."""
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Take note of the connection's end."""
        self.transport = None
        self._transition(ClosingEvent.CONNECTION_LOST, ABNORMAL, "")
        self.owner.on_connection_lost()

    def check_liveness(self, now: float, ping_every: float, ping_timeout: float) -> None:
        """Send pings, and end what does not end by itself; to be called regularly. Times in s."""
        if self.transport is None:
            return
        if self.state is not ClosingState.OPEN:
            timeouts = 1 if self.state is ClosingState.CLOSING else 2
            if now > self.closing_since + CLOSE_TIMEOUT_S * timeouts:
                self._transition(ClosingEvent.TIMED_OUT, ABNORMAL, "")
                self.abort()
        elif self.is_paused:  # what it sends is not processed, so a pong can't be noticed
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
