"""Transition table of one side's closing handshake (RFC 6455, 7.1): state and event give state and action."""

from __future__ import annotations

from enum import Enum


class ClosingState(Enum):
    """State of one side's closing handshake."""

    OPEN = "open"
    CLOSING = "closing"  # This side has sent its close frame and has not received the peer's.
    CLOSED = "closed"  # Nothing more is sent or processed, and the connection ends.


class ClosingEvent(Enum):
    """Event that can change the state of one side's closing handshake."""

    CLOSE_REQUESTED = "close requested"  # This side starts the closing handshake.
    CLOSE_RECEIVED = "close received"  # The peer's close frame has arrived.
    PROTOCOL_VIOLATION = "protocol violation"  # The peer has violated the protocol.
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"  # The peer's close frame, or the end of the connection, has not arrived in time.


class ClosingAction(Enum):
    """Action that a transition requires."""

    NONE = "none"
    SEND_CLOSE = "send close"  # Send a close frame and wait for the peer's.
    ECHO_CLOSE = "echo close"  # Send a close frame with the peer's code, then end the connection.
    SEND_ERROR = "send error"  # Send a close frame with the violation's code, then end the connection.
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
    (_S.OPEN, _E.TIMED_OUT): (_S.OPEN, _A.NONE),  # No close frame is awaited in OPEN.
    (_S.CLOSING, _E.CLOSE_REQUESTED): (_S.CLOSING, _A.NONE),  # A side sends at most one close frame.
    # The peer's close frame is the answer to this side's, or the two frames have crossed.
    (_S.CLOSING, _E.CLOSE_RECEIVED): (_S.CLOSED, _A.END_CONNECTION),
    (_S.CLOSING, _E.PROTOCOL_VIOLATION): (_S.CLOSED, _A.END_CONNECTION),
    (_S.CLOSING, _E.CONNECTION_LOST): (_S.CLOSED, _A.NONE),
    (_S.CLOSING, _E.TIMED_OUT): (_S.CLOSED, _A.END_CONNECTION),
    (_S.CLOSED, _E.CLOSE_REQUESTED): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.CLOSE_RECEIVED): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.PROTOCOL_VIOLATION): (_S.CLOSED, _A.NONE),
    (_S.CLOSED, _E.CONNECTION_LOST): (_S.CLOSED, _A.NONE),
    # This side ends the connection because the peer has not ended it.
    (_S.CLOSED, _E.TIMED_OUT): (_S.CLOSED, _A.END_CONNECTION),
}
# fmt: on
