"""One side of a WebSocket on a transport: reads in slices, writes, closes, knows when the other is silent.

It decides nothing: closing.TABLE says what a close frame, a fault or a lost connection does; who owns it says
what becomes of messages.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from service_proxy.websocket.closing import TABLE, Event, State, Step
from service_proxy.websocket.codec import ABNORMAL, MOST_REASON, Close, Codec, Fault, Piece, Ping, Pong
from service_proxy.websocket.limits import Bucket

MOST_FRAMES = 128  # that are looked at in one turn of the loop; the rest waits for the next
# pings and pongs that one peer may send
CONTROLS_PER_S = 20.0
CONTROLS_BURST = 40.0
CLOSE_WAIT = 1.0  # s for the other's close frame, and then for the end of the connection
HIGH_WATER = 16 * 1024  # bytes that are not taken at which writing is said to be held up


class Owner(Protocol):
    """Whose side it is."""

    def came(self, piece: Piece) -> None: ...

    def ended(self, code: int, reason: str) -> None:
        """No message comes any more and none can be sent: with the other's close frame (its code), by its
        fault or ours, or with nothing (ABNORMAL). Called once."""

    def gone(self) -> None:
        """The connection itself has ended. Called once, after `ended`."""

    def full(self, full: bool) -> None:
        """The other has stopped taking what is written, or takes it again."""

    def silent(self) -> None:
        """It has not answered a ping in time."""


class Peer(asyncio.BufferedProtocol):
    __slots__ = (
        "closed_at",
        "codec",
        "controls",
        "faulty",
        "heard_at",
        "held",
        "owner",
        "pinged_at",
        "ponged",
        "resuming",
        "said_ended",
        "scratch",
        "server",
        "state",
        "stuck_at",
        "stuck_size",
        "transport",
    )

    def __init__(
        self, transport: asyncio.Transport, codec: Codec, owner: Owner, scratch: memoryview, server: bool
    ) -> None:
        """`scratch`: what is read goes through it at once; `server`: this side is the connection's server,
        and ends it first (RFC 6455, 7.1.1)."""
        now = time.monotonic()
        self.transport: asyncio.Transport | None = transport
        self.codec = codec
        self.owner = owner
        self.scratch = scratch
        self.server = server
        self.state = State.OPEN
        self.heard_at = now
        self.pinged_at = 0.0  # when the ping that has no answer yet was sent
        self.closed_at = 0.0  # when the state was left in which messages pass
        self.held = False  # the owner wants nothing more for now
        self.resuming = False  # a further turn will look at what has come
        self.ponged: bytes | None = None  # the last ping that is owed its pong
        self.controls = Bucket(CONTROLS_BURST, now)
        # `faulty`: it ended by the other's fault
        self.said_ended = False
        self.faulty = False
        # bytes not taken at the last look, and since when
        self.stuck_size = 0
        self.stuck_at = now
        transport.set_write_buffer_limits(high=HIGH_WATER)
        transport.set_protocol(self)

    # what comes
    def get_buffer(self, sizehint: int) -> memoryview:
        return self.scratch

    def buffer_updated(self, nbytes: int) -> None:
        self.heard_at = time.monotonic()
        if self.state is State.CLOSED:
            return  # read so that the connection ends in order, and dropped
        self.codec.receive(self.scratch[:nbytes])
        self._look()

    def behind(self, data: bytes) -> None:
        """What came right behind the handshake."""
        if data:
            self.codec.receive(data)
            self.later()

    def later(self) -> None:
        """Looks at what has come in a further turn."""
        if not self.resuming and self.transport is not None:
            self.resuming = True
            asyncio.get_running_loop().call_soon(self._again)

    def _again(self) -> None:
        self.resuming = False
        self._look()

    def _look(self) -> None:
        left = MOST_FRAMES
        try:
            for event in self.codec.events():
                if self.state is State.CLOSED:
                    break
                if isinstance(event, Piece):
                    if self.state is State.OPEN:  # after our close frame theirs is all that counts
                        self.owner.came(event)
                elif isinstance(event, Ping | Pong):
                    self._control(event)
                else:
                    self._closed_by(event)
                    break
                left -= 1
                if not left or self.held:
                    break
        except Fault as fault:
            self.fail(fault.code, str(fault))
        if self.ponged is not None:
            data = self.ponged
            self.ponged = None
            if self.state is not State.CLOSED:
                self._write(self.codec.pong(data))
        if not left and not self.held and self.state is not State.CLOSED:
            self.later()
        self._flow()

    def _control(self, event: Ping | Pong) -> None:
        if not self.controls.take(self.heard_at, CONTROLS_PER_S, CONTROLS_BURST):
            raise Fault(1008, "too many pings")
        if isinstance(event, Ping):
            self.ponged = event.data  # the most recent one may stand for all (RFC 6455, 5.5.3)

    def hold(self, held: bool) -> None:
        """The owner has had enough for now, or no longer."""
        self.held = held
        if not held:
            self.later()
        self._flow()

    def _flow(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        wants = self.state is State.CLOSED or not (self.held or self.resuming)
        if wants and not self.transport.is_reading():
            self.transport.resume_reading()
        elif not wants and self.transport.is_reading():
            self.transport.pause_reading()

    # what goes
    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def send(self, data: str | bytes, last: bool = True) -> bool:
        """A message, or its next part. False: nothing can be sent any more."""
        if self.state is not State.OPEN:
            return False
        self._write(self.codec.piece(data, last))
        return True

    def pause_writing(self) -> None:
        self.owner.full(True)

    def resume_writing(self) -> None:
        self.owner.full(False)

    @property
    def unsent(self) -> int:
        """Bytes that the other has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def load(self) -> int:
        """Bytes that this side may hold: what the other has not taken, and what was read and not looked
        at."""
        return self.unsent + (len(self.scratch) if self.held or self.resuming else 0)

    def stuck(self, now: float) -> float:
        """For how many s it has taken nothing of what waits for it; to be asked now and then."""
        size = self.unsent
        if not size or size < self.stuck_size:
            self.stuck_at = now
        self.stuck_size = size
        return now - self.stuck_at if size else 0.0

    # ends
    def close(self, code: int, reason: str = "") -> None:
        """Begins the closing handshake."""
        self._step(Event.WANTED, code, reason)

    def fail(self, code: int, reason: str = "") -> None:
        """The other broke the protocol or a bound."""
        self.faulty = self.state is State.OPEN
        self._step(Event.FAULT, code, reason)

    def _closed_by(self, event: Close) -> None:
        self._step(Event.CAME, event.code, event.reason)

    def _step(self, event: Event, code: int, reason: str) -> None:
        before = self.state
        self.state, step = TABLE[before, event]
        if step is Step.NOTHING:
            if event is Event.LOST:
                self._say_ended(ABNORMAL, "")
            return
        if before is State.OPEN:
            self.closed_at = time.monotonic()
        if step in (Step.SEND, Step.ECHO, Step.FAIL):
            text = reason.encode()[:MOST_REASON].decode(errors="ignore")
            self._write(self.codec.close(code, "" if step is Step.ECHO else text))
        if step is not Step.SEND:
            self._end()
        self._say_ended(code, reason)

    def _end(self) -> None:
        """The server ends the connection, the client waits for that; either not for long."""
        transport = self.transport
        if transport is None:
            return
        self.held = False
        if not transport.is_reading() and not transport.is_closing():
            transport.resume_reading()
        if self.server and transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()

    def _say_ended(self, code: int, reason: str) -> None:
        if not self.said_ended:
            self.said_ended = True
            self.owner.ended(code, reason)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        return False  # the transport closes after what is written

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._step(Event.LOST, ABNORMAL, "")
        self.owner.gone()

    # time
    def look_after(self, now: float, ping_every: float, ping_timeout: float) -> None:
        """To be asked now and then: pings, and ends what does not end by itself."""
        if self.transport is None:
            return
        if self.state is not State.OPEN:
            if now > self.closed_at + CLOSE_WAIT * (1 if self.state is State.CLOSING else 2):
                self._step(Event.OVERDUE, ABNORMAL, "")
                self.abort()
            return
        if self.held:  # what it says is not looked at, so it can't be heard
            self.pinged_at = 0.0
            self.heard_at = now
        elif self.pinged_at:
            if self.heard_at > self.pinged_at:
                self.pinged_at = 0.0
            elif now > self.pinged_at + ping_timeout:
                self.pinged_at = 0.0
                self.owner.silent()
        elif now > self.heard_at + ping_every:
            self.pinged_at = now
            self._write(self.codec.ping(b""))
