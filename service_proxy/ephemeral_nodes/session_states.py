"""The states of a session with the service, as one table of transitions. Pure: no sockets, no clock.

What may live here: states, events, the table, and what each state allows. What may not: timers and frames.
SUSPENDED: the connection broke, and the session may live on at the service. LOST: for longer than the
session's time-out nothing was heard, so by the service's own rule it must have ended, though none has said
so. EXPIRED: the service has said so. What is known of the servers survives all of them.
"""

from __future__ import annotations

from enum import Enum


class SessionState(Enum):
    CLOSED = "CLOSED"  # not begun, or ended by this side
    CONNECTING = "CONNECTING"  # no session yet
    CONNECTED = "CONNECTED"
    CONNECTED_RO = "CONNECTED_RO"  # by a server without its quorum: reads only, maybe old
    SUSPENDED = "SUSPENDED"
    LOST = "LOST"
    EXPIRED = "EXPIRED"
    AUTH_FAILED = "AUTH_FAILED"  # for good, until the operator changes the credentials


class SessionEvent(Enum):
    """What can befall a session."""

    OPEN = "open"  # this side begins
    CONNECTED = "up"  # a server took the connection and the session
    CONNECTED_READ_ONLY = "up_ro"
    DISCONNECTED = "down"  # the connection broke, or nothing came for two thirds of the time-out
    TIMED_OUT = "overdue"  # no connection for the whole time-out
    SESSION_EXPIRED = "refused"  # a server said that the session has expired
    AUTH_REJECTED = "auth_refused"
    CLOSE = "close"  # this side ends


class InvalidTransitionError(Exception):
    """A happening that the state can't have: a fault of this program."""


S = SessionState
H = SessionEvent
TRANSITIONS: dict[tuple[SessionState, SessionEvent], SessionState] = {
    (S.CLOSED, H.OPEN): S.CONNECTING,
    (S.CLOSED, H.CLOSE): S.CLOSED,
    (S.CONNECTING, H.CONNECTED): S.CONNECTED,
    (S.CONNECTING, H.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.CONNECTING, H.DISCONNECTED): S.CONNECTING,
    (S.CONNECTING, H.TIMED_OUT): S.CONNECTING,
    (S.CONNECTING, H.SESSION_EXPIRED): S.CONNECTING,
    (S.CONNECTING, H.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTING, H.CLOSE): S.CLOSED,
    (S.CONNECTED, H.DISCONNECTED): S.SUSPENDED,
    (S.CONNECTED, H.SESSION_EXPIRED): S.EXPIRED,
    (S.CONNECTED, H.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTED, H.CLOSE): S.CLOSED,
    (S.CONNECTED_RO, H.DISCONNECTED): S.SUSPENDED,
    (S.CONNECTED_RO, H.SESSION_EXPIRED): S.EXPIRED,
    (S.CONNECTED_RO, H.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTED_RO, H.CLOSE): S.CLOSED,
    (S.SUSPENDED, H.CONNECTED): S.CONNECTED,
    (S.SUSPENDED, H.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.SUSPENDED, H.DISCONNECTED): S.SUSPENDED,
    (S.SUSPENDED, H.TIMED_OUT): S.LOST,
    (S.SUSPENDED, H.SESSION_EXPIRED): S.EXPIRED,
    (S.SUSPENDED, H.AUTH_REJECTED): S.AUTH_FAILED,
    (S.SUSPENDED, H.CLOSE): S.CLOSED,
    (S.LOST, H.CONNECTED): S.CONNECTED,  # the service was slower to end it than this side to fear it
    (S.LOST, H.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.LOST, H.DISCONNECTED): S.LOST,
    (S.LOST, H.TIMED_OUT): S.LOST,
    (S.LOST, H.SESSION_EXPIRED): S.EXPIRED,
    (S.LOST, H.AUTH_REJECTED): S.AUTH_FAILED,
    (S.LOST, H.CLOSE): S.CLOSED,
    (S.EXPIRED, H.OPEN): S.CONNECTING,  # with a new session
    (S.EXPIRED, H.CLOSE): S.CLOSED,
    (S.AUTH_FAILED, H.DISCONNECTED): S.AUTH_FAILED,
    (S.AUTH_FAILED, H.CLOSE): S.CLOSED,
}

USABLE_STATES = frozenset((S.CONNECTED, S.CONNECTED_RO))  # requests may be sent
ENDED_STATES = frozenset((S.CLOSED, S.AUTH_FAILED))  # no connection is tried
RECOVERABLE_STATES = frozenset((S.SUSPENDED, S.LOST))  # a reconnect offers the old session


def next_state(state: SessionState, happening: SessionEvent) -> SessionState:
    """The next state; raises Impossible where the table has none."""
    try:
        return TRANSITIONS[state, happening]
    except KeyError:
        raise InvalidTransitionError(f"{happening.name} in {state.name}") from None
