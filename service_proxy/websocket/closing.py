"""The closing handshake of one side as a table (RFC 6455, 7.1): state and event give state and step."""

from __future__ import annotations

from enum import Enum


class State(Enum):
    OPEN = "open"
    CLOSING = "closing"  # our close frame is out, theirs has not come
    CLOSED = "closed"  # nothing more is sent or heard; the connection ends


class Event(Enum):
    WANTED = "wanted"  # this side begins the handshake
    CAME = "came"  # their close frame
    FAULT = "fault"  # they broke the protocol
    LOST = "lost"  # the connection ended
    OVERDUE = "overdue"  # their close frame is late


class Step(Enum):
    NOTHING = "nothing"
    SEND = "send"  # our close frame, and wait for theirs
    ECHO = "echo"  # our close frame with their code, then the connection ends
    FAIL = "fail"  # our close frame with the fault's code, then the connection ends
    END = "end"  # the connection ends


TABLE: dict[tuple[State, Event], tuple[State, Step]] = {
    (State.OPEN, Event.WANTED): (State.CLOSING, Step.SEND),
    (State.OPEN, Event.CAME): (State.CLOSED, Step.ECHO),
    (State.OPEN, Event.FAULT): (State.CLOSED, Step.FAIL),
    (State.OPEN, Event.LOST): (State.CLOSED, Step.NOTHING),
    (State.OPEN, Event.OVERDUE): (State.OPEN, Step.NOTHING),  # nothing is awaited
    (State.CLOSING, Event.WANTED): (State.CLOSING, Step.NOTHING),  # one close frame, ever
    (State.CLOSING, Event.CAME): (State.CLOSED, Step.END),  # the answer, or one that crossed ours
    (State.CLOSING, Event.FAULT): (State.CLOSED, Step.END),
    (State.CLOSING, Event.LOST): (State.CLOSED, Step.NOTHING),
    (State.CLOSING, Event.OVERDUE): (State.CLOSED, Step.END),
    (State.CLOSED, Event.WANTED): (State.CLOSED, Step.NOTHING),
    (State.CLOSED, Event.CAME): (State.CLOSED, Step.NOTHING),
    (State.CLOSED, Event.FAULT): (State.CLOSED, Step.NOTHING),
    (State.CLOSED, Event.LOST): (State.CLOSED, Step.NOTHING),
    (State.CLOSED, Event.OVERDUE): (State.CLOSED, Step.END),  # they don't end it: this side does
}
