"""One side of a WebSocket on a transport: reads in slices, writes, closes, knows when the other is silent.

It decides nothing: closing.TABLE says what a close frame, a fault or a lost connection does; who owns it says
what becomes of messages.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from service_proxy.websocket.closing_handshake import TRANSITIONS, ClosingAction, ClosingEvent, ClosingState
from service_proxy.websocket.frame_codec import (
    ABNORMAL,
    MAX_REASON_BYTES,
    CloseFrame,
    FrameCodec,
    MessageFragment,
    PingFrame,
    PongFrame,
    ProtocolViolationError,
)
from service_proxy.websocket.session_limits import TokenBucket

MAX_FRAMES_PER_TURN = 128  # that are looked at in one turn of the loop; the rest waits for the next
# pings and pongs that one peer may send
CONTROL_FRAMES_PER_S = 20.0
CONTROL_FRAME_BURST = 40.0
CLOSE_TIMEOUT_S = 1.0  # s for the other's close frame, and then for the end of the connection
HIGH_WATER_BYTES = 16 * 1024  # bytes that are not taken at which writing is said to be held up


class ConnectionOwner(Protocol):
    """Whose side it is."""

    def on_fragment(self, piece: MessageFragment) -> None: ...

    def on_closed(self, code: int, reason: str) -> None:
        """No message comes any more and none can be sent: with the other's close frame (its code), by its
        fault or ours, or with nothing (ABNORMAL). Called once."""

    def on_connection_lost(self) -> None:
        """The connection itself has ended. Called once, after `ended`."""

    def on_backpressure(self, full: bool) -> None:
        """The other has stopped taking what is written, or takes it again."""

    def on_ping_timeout(self) -> None:
        """It has not answered a ping in time."""


class WebSocketConnection(asyncio.BufferedProtocol):
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
        """`scratch`: what is read goes through it at once; `server`: this side is the connection's server,
        and ends it first (RFC 6455, 7.1.1)."""
        now = time.monotonic()
        self.transport: asyncio.Transport | None = transport
        self.codec = codec
        self.owner = owner
        self.read_buffer = read_buffer
        self.is_server = is_server
        self.state = ClosingState.OPEN
        self.received_at = now
        self.pinged_at = 0.0  # when the ping that has no answer yet was sent
        self.closing_since = 0.0  # when the state was left in which messages pass
        self.is_paused = False  # the owner wants nothing more for now
        self.is_read_scheduled = False  # a further turn will look at what has come
        self.pending_pong: bytes | None = None  # the last ping that is owed its pong
        self.control_bucket = TokenBucket(CONTROL_FRAME_BURST, now)
        # `faulty`: it ended by the other's fault
        self.is_closed_notified = False
        self.has_violated_protocol = False
        # bytes not taken at the last look, and since when
        self.stalled_bytes = 0
        self.stalled_since = now
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        transport.set_protocol(self)

    # what comes
    def get_buffer(self, sizehint: int) -> memoryview:
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.received_at = time.monotonic()
        if self.state is ClosingState.CLOSED:
            return  # read so that the connection ends in order, and dropped
        self.codec.receive(self.read_buffer[:nbytes])
        self._process()

    def receive_surplus(self, data: bytes) -> None:
        """What came right behind the handshake."""
        if data:
            self.codec.receive(data)
            self.schedule_read()

    def schedule_read(self) -> None:
        """Looks at what has come in a further turn."""
        if not self.is_read_scheduled and self.transport is not None:
            self.is_read_scheduled = True
            asyncio.get_running_loop().call_soon(self._scheduled_read)

    def _scheduled_read(self) -> None:
        self.is_read_scheduled = False
        self._process()

    def _process(self) -> None:
        left = MAX_FRAMES_PER_TURN
        try:
            for event in self.codec.events():
                if self.state is ClosingState.CLOSED:
                    break
                if isinstance(event, MessageFragment):
                    if self.state is ClosingState.OPEN:  # after our close frame theirs is all that counts
                        self.owner.on_fragment(event)
                elif isinstance(event, PingFrame | PongFrame):
                    self._control(event)
                else:
                    self._closed_by(event)
                    break
                left -= 1
                if not left or self.is_paused:
                    break
        except ProtocolViolationError as fault:
            self.fail(fault.close_code, str(fault))
        if self.pending_pong is not None:
            data = self.pending_pong
            self.pending_pong = None
            if self.state is not ClosingState.CLOSED:
                self._write(self.codec.encode_pong(data))
        if not left and not self.is_paused and self.state is not ClosingState.CLOSED:
            self.schedule_read()
        self._flow()

    def _control(self, event: PingFrame | PongFrame) -> None:
        if not self.control_bucket.take(self.received_at, CONTROL_FRAMES_PER_S, CONTROL_FRAME_BURST):
            raise ProtocolViolationError(1008, "too many pings")
        if isinstance(event, PingFrame):
            self.pending_pong = event.data  # the most recent one may stand for all (RFC 6455, 5.5.3)

    def set_paused(self, held: bool) -> None:
        """The owner has had enough for now, or no longer."""
        self.is_paused = held
        if not held:
            self.schedule_read()
        self._flow()

    def _flow(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        wants = self.state is ClosingState.CLOSED or not (self.is_paused or self.is_read_scheduled)
        if wants and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not wants and self.transport.is_reading():
            self.transport.pause_reading()

    # what goes
    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def send(self, data: str | bytes, is_last: bool = True) -> bool:
        """A message, or its next part. False: nothing can be sent any more."""
        if self.state is not ClosingState.OPEN:
            return False
        self._write(self.codec.encode_fragment(data, is_last))
        return True

    def pause_writing(self) -> None:
        self.owner.on_backpressure(True)

    def resume_writing(self) -> None:
        self.owner.on_backpressure(False)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the other has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes that this side may hold: what the other has not taken, and what was read and not looked
        at."""
        return self.unsent_bytes + (len(self.read_buffer) if self.is_paused or self.is_read_scheduled else 0)

    def stalled_for(self, now: float) -> float:
        """For how many s it has taken nothing of what waits for it; to be asked now and then."""
        size = self.unsent_bytes
        if not size or size < self.stalled_bytes:
            self.stalled_since = now
        self.stalled_bytes = size
        return now - self.stalled_since if size else 0.0

    # ends
    def close(self, code: int, reason: str = "") -> None:
        """Begins the closing handshake."""
        self._step(ClosingEvent.CLOSE_REQUESTED, code, reason)

    def fail(self, code: int, reason: str = "") -> None:
        """The other broke the protocol or a bound."""
        self.has_violated_protocol = self.state is ClosingState.OPEN
        self._step(ClosingEvent.PROTOCOL_VIOLATION, code, reason)

    def _closed_by(self, event: CloseFrame) -> None:
        self._step(ClosingEvent.CLOSE_RECEIVED, event.code, event.reason)

    def _step(self, event: ClosingEvent, code: int, reason: str) -> None:
        before = self.state
        self.state, step = TRANSITIONS[before, event]
        if step is ClosingAction.NONE:
            if event is ClosingEvent.CONNECTION_LOST:
                self._notify_closed(ABNORMAL, "")
            return
        if before is ClosingState.OPEN:
            self.closing_since = time.monotonic()
        if step in (ClosingAction.SEND_CLOSE, ClosingAction.ECHO_CLOSE, ClosingAction.SEND_ERROR):
            text = reason.encode()[:MAX_REASON_BYTES].decode(errors="ignore")
            self._write(self.codec.encode_close(code, "" if step is ClosingAction.ECHO_CLOSE else text))
        if step is not ClosingAction.SEND_CLOSE:
            self._end()
        self._notify_closed(code, reason)

    def _end(self) -> None:
        """The server ends the connection, the client waits for that; either not for long."""
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
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False  # the transport closes after what is written

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._step(ClosingEvent.CONNECTION_LOST, ABNORMAL, "")
        self.owner.on_connection_lost()

    # time
    def check_liveness(self, now: float, ping_every: float, ping_timeout: float) -> None:
        """To be asked now and then: pings, and ends what does not end by itself."""
        if self.transport is None:
            return
        if self.state is not ClosingState.OPEN:
            if now > self.closing_since + CLOSE_TIMEOUT_S * (1 if self.state is ClosingState.CLOSING else 2):
                self._step(ClosingEvent.TIMED_OUT, ABNORMAL, "")
                self.abort()
            return
        if self.is_paused:  # what it says is not looked at, so it can't be heard
            self.pinged_at = 0.0
            self.received_at = now
        elif self.pinged_at:
            if self.received_at > self.pinged_at:
                self.pinged_at = 0.0
            elif now > self.pinged_at + ping_timeout:
                self.pinged_at = 0.0
                self.owner.on_ping_timeout()
        elif now > self.received_at + ping_every:
            self.pinged_at = now
            self._write(self.codec.encode_ping(b""))
