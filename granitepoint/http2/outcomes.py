"""What the end of a stream proves: never ran, may have run, or answered. One table, and nothing else.

Only what the server stated, or what never left this process whole, counts as never ran (RFC 9113, 6.8, 8.7;
PROTOCOL: a backend begins a request when its last byte has come). Bytes that were handed to the socket count
as arrived. No frames here and no I/O: who reads frames says which event a stream has met.
"""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """How far a stream's request has left this process."""

    UNSENT = "unsent"  # nothing of it
    PARTIAL = "partial"  # some of it, not its last byte
    WHOLE = "whole"  # its last byte was handed to the socket
    ENDED = "ended"  # it has its outcome


class Event(Enum):
    BEGUN = "begun"  # its HEADERS were handed to the socket
    SENT = "sent"  # its END_STREAM was
    ANSWERED = "answered"  # the answer's END_STREAM came: whole
    REFUSED = "refused"  # RST_STREAM with REFUSED_STREAM
    RESET = "reset"  # RST_STREAM with any other code, CANCEL, NO_ERROR and HTTP_1_1_REQUIRED among them
    GOAWAY_BELOW = "goaway-below"  # a GOAWAY whose last id lies below this stream's
    GOAWAY_COVERS = "goaway-covers"  # one whose last id does not
    CUT = "cut"  # the connection ended, with or without a GOAWAY before; END_STREAM is missing
    BROKEN = (
        "broken"  # the server broke the protocol, or the settings time-out: this side ends the connection
    )
    EXHAUSTED = "exhausted"  # no stream id is left on the connection
    GIVEN_UP = "given-up"  # this side stops waiting: time-out or cancel


class Ran(Enum):
    NEVER = "never ran"
    MAYBE = "may have run"
    ANSWERED = "answered"


U = Phase.UNSENT
P = Phase.PARTIAL
W = Phase.WHOLE
E = Phase.ENDED

# (phase, event): the next phase, and what is proved; None: nothing yet, or nothing new.
TABLE: dict[tuple[Phase, Event], tuple[Phase, Ran | None]] = {
    (U, Event.BEGUN): (P, None),
    (U, Event.SENT): (W, None),  # HEADERS that carry END_STREAM
    (U, Event.ANSWERED): (E, Ran.NEVER),  # an answer to nothing: the connection is broken, the call is not
    (U, Event.REFUSED): (E, Ran.NEVER),
    (U, Event.RESET): (E, Ran.NEVER),
    (U, Event.GOAWAY_BELOW): (E, Ran.NEVER),
    (U, Event.GOAWAY_COVERS): (E, Ran.NEVER),  # nothing new goes on a connection that is going away
    (U, Event.CUT): (E, Ran.NEVER),
    (U, Event.BROKEN): (E, Ran.NEVER),
    (U, Event.EXHAUSTED): (E, Ran.NEVER),
    (U, Event.GIVEN_UP): (E, Ran.NEVER),
    (P, Event.BEGUN): (P, None),
    (P, Event.SENT): (W, None),
    (P, Event.ANSWERED): (E, Ran.ANSWERED),  # before the request's end: its status says what it is worth
    (P, Event.REFUSED): (E, Ran.NEVER),
    (P, Event.RESET): (E, Ran.MAYBE),  # the server looked at it and states nothing
    (P, Event.GOAWAY_BELOW): (E, Ran.NEVER),
    (P, Event.GOAWAY_COVERS): (P, None),
    (P, Event.CUT): (E, Ran.NEVER),  # its last byte never left
    (P, Event.BROKEN): (E, Ran.NEVER),
    (P, Event.EXHAUSTED): (P, None),
    (P, Event.GIVEN_UP): (E, Ran.NEVER),
    (W, Event.BEGUN): (W, None),
    (W, Event.SENT): (W, None),
    (W, Event.ANSWERED): (E, Ran.ANSWERED),
    (W, Event.REFUSED): (E, Ran.NEVER),
    (W, Event.RESET): (E, Ran.MAYBE),
    (W, Event.GOAWAY_BELOW): (E, Ran.NEVER),
    (W, Event.GOAWAY_COVERS): (W, None),
    (W, Event.CUT): (E, Ran.MAYBE),
    (W, Event.BROKEN): (E, Ran.MAYBE),
    (W, Event.EXHAUSTED): (W, None),
    (W, Event.GIVEN_UP): (E, Ran.MAYBE),
    **{(E, event): (E, None) for event in Event},  # one outcome, whatever comes after
}


class GoingAway:
    """The GOAWAYs of one connection: the last id may fall and never rise (RFC 9113, 6.8)."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: int | None = None  # None: none has come

    def came(self, last: int) -> bool:
        """False: it rose, which is a connection error; what the one before refused stays refused."""
        if self.last is not None and last > self.last:
            return False
        self.last = last
        return True

    def event(self, stream: int) -> Event:
        """What the last one means to a stream."""
        assert self.last is not None
        return Event.GOAWAY_BELOW if stream > self.last else Event.GOAWAY_COVERS
