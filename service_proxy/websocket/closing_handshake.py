"""The closing handshake of one side as a table (RFC 6455, 7.1): state and event give state and action."""

from __future__ import annotations

from enum import Enum


class ClosingState(Enum):
    """Where one side stands."""

    OPEN = "open"
    CLOSING = "closing"  # our close frame was sent, theirs was not received
    CLOSED = "closed"  # nothing more is sent or processed; the connection ends


class ClosingEvent(Enum):
    """What happens to one side."""

    CLOSE_REQUESTED = "close requested"  # this side starts the handshake
    CLOSE_RECEIVED = "close received"  # their close frame
    PROTOCOL_VIOLATION = "protocol violation"  # theirs
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"  # their close frame is late


class ClosingAction(Enum):
    """What is done then."""

    NONE = "none"
    SEND_CLOSE = "send close"  # our close frame, and wait for theirs
    ECHO_CLOSE = "echo close"  # our close frame with their code, then the connection ends
    SEND_ERROR = "send error"  # our close frame with the violation's code, then the connection ends
    END_CONNECTION = "end connection"


_S = ClosingState
_E = ClosingEvent
_A = ClosingAction
# fmt: off - one transition a line
TRANSITIONS: dict[tuple[ClosingState, ClosingEvent], tuple[ClosingState, ClosingAction]] = {
    (_S.OPEN, _E.CLOSE_REQUESTED): (_S.CLOSING, _A.SEND_CLOSE),
    (_S.OPEN, _E.CLOSE_RECEIVED): (_S.CLOSED, _A.ECHO_CLOSE),
    (_S.OPEN, _E.PROTOCOL_VIOLATION): (_S.CLOSED, _A.SEND_ERROR),
    (_S.OPEN, _E.CONNECTION_LOST): (_S.CLOSED, _A.NONE),
    (_S.OPEN, _E.TIMED_OUT): (_S.OPEN, _A.NONE),  # no close frame is awaited
    (_S.CLOSING, _E.CLOSE_REQUESTED): (_S.CLOSING, _A.NONE),  # a close frame is sent only once
    (_S.CLOSING, _E.CLOSE_RECEIVED): (_S.CLOSED, _A.END_CONNECTION),  # the answer, or one that crossed ours
    (_S.CLOSING, _E.PROTOCOL_VIOLATION): (_S.CLOSED, _A.END_CONNECTION),
    (_S.CLOSING, _E.CONNECTION_LOST): (_S.CLOSED, _A.NONE),
    (_S.CLOSING, _E.TIMED_OUT): (_S.CLOSED, _A.END_CONNECTION),
    (_S.CLOSED, _E.CLOSE_REQUESTED): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.CLOSE_RECEIVED): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.PROTOCOL_VIOLATION): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.CONNECTION_LOST): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.TIMED_OUT): (_S.CLOSED, _A.END_CONNECTION),  # they don't end it: this side does
}
# fmt: on
