"""The closing handshake of one side as a table (RFC 6455, 7.1): state and event give state and step."""

from __future__ import annotations

from enum import Enum


class ClosingState(Enum):
    OPEN = "open"
    CLOSING = "closing"  # our close frame is out, theirs has not come
    CLOSED = "closed"  # nothing more is sent or heard; the connection ends


class ClosingEvent(Enum):
    CLOSE_REQUESTED = "wanted"  # this side begins the handshake
    CLOSE_RECEIVED = "came"  # their close frame
    PROTOCOL_VIOLATION = "fault"  # they broke the protocol
    CONNECTION_LOST = "lost"  # the connection ended
    TIMED_OUT = "overdue"  # their close frame is late


class ClosingAction(Enum):
    NONE = "nothing"
    SEND_CLOSE = "send"  # our close frame, and wait for theirs
    ECHO_CLOSE = "echo"  # our close frame with their code, then the connection ends
    SEND_ERROR = "fail"  # our close frame with the fault's code, then the connection ends
    END_CONNECTION = "end"  # the connection ends


TRANSITIONS: dict[tuple[ClosingState, ClosingEvent], tuple[ClosingState, ClosingAction]] = {
    (ClosingState.OPEN, ClosingEvent.CLOSE_REQUESTED): (ClosingState.CLOSING, ClosingAction.SEND_CLOSE),
    (ClosingState.OPEN, ClosingEvent.CLOSE_RECEIVED): (ClosingState.CLOSED, ClosingAction.ECHO_CLOSE),
    (ClosingState.OPEN, ClosingEvent.PROTOCOL_VIOLATION): (ClosingState.CLOSED, ClosingAction.SEND_ERROR),
    (ClosingState.OPEN, ClosingEvent.CONNECTION_LOST): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.OPEN, ClosingEvent.TIMED_OUT): (
        ClosingState.OPEN,
        ClosingAction.NONE,
    ),  # nothing is awaited
    (ClosingState.CLOSING, ClosingEvent.CLOSE_REQUESTED): (
        ClosingState.CLOSING,
        ClosingAction.NONE,
    ),  # one close frame, ever
    (ClosingState.CLOSING, ClosingEvent.CLOSE_RECEIVED): (
        ClosingState.CLOSED,
        ClosingAction.END_CONNECTION,
    ),  # the answer, or one that crossed ours
    (ClosingState.CLOSING, ClosingEvent.PROTOCOL_VIOLATION): (
        ClosingState.CLOSED,
        ClosingAction.END_CONNECTION,
    ),
    (ClosingState.CLOSING, ClosingEvent.CONNECTION_LOST): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.CLOSING, ClosingEvent.TIMED_OUT): (ClosingState.CLOSED, ClosingAction.END_CONNECTION),
    (ClosingState.CLOSED, ClosingEvent.CLOSE_REQUESTED): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.CLOSED, ClosingEvent.CLOSE_RECEIVED): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.CLOSED, ClosingEvent.PROTOCOL_VIOLATION): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.CLOSED, ClosingEvent.CONNECTION_LOST): (ClosingState.CLOSED, ClosingAction.NONE),
    (ClosingState.CLOSED, ClosingEvent.TIMED_OUT): (
        ClosingState.CLOSED,
        ClosingAction.END_CONNECTION,
    ),  # they don't end it: this side does
}
