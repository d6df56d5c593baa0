"""The states of a session with the service, as one table of transitions. Pure: no sockets, no clock.

The states have the names of ZooKeeper's documents and of its clients. SUSPENDED: the connection broke, and
the session may live on at the service. LOST: for longer than the session timeout nothing was received, so by
the service's own rule it must have ended, though none has said so. EXPIRED: the service has said so. What is
known of the endpoints survives all of them.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.ephemeral_nodes.errors import InvalidTransitionError


class SessionState(Enum):
    """Where a session stands."""

    CLOSED = "CLOSED"  # not begun, or ended by this side
    CONNECTING = "CONNECTING"  # no session yet
    CONNECTED = "CONNECTED"
    CONNECTED_RO = "CONNECTED_RO"  # by a server without its quorum: reads only, maybe old
    SUSPENDED = "SUSPENDED"
    LOST = "LOST"
    EXPIRED = "EXPIRED"
    AUTH_FAILED = "AUTH_FAILED"  # for good, until the operator changes the credentials


class SessionEvent(Enum):
    """What changes a session's state."""

    OPEN = "open"  # this side begins
    CONNECTED = "connected"  # a server took the connection and the session
    CONNECTED_READ_ONLY = "connected_read_only"
    DISCONNECTED = "disconnected"  # the connection broke, or the server was silent for too long
    TIMED_OUT = "timed_out"  # no connection for the whole session timeout
    SESSION_EXPIRED = "session_expired"  # a server said that the session has expired
    AUTH_REJECTED = "auth_rejected"
    CLOSE = "close"  # this side ends


S = SessionState
E = SessionEvent
TRANSITIONS: dict[tuple[SessionState, SessionEvent], SessionState] = {
    (S.CLOSED, E.OPEN): S.CONNECTING,
    (S.CLOSED, E.CLOSE): S.CLOSED,
    (S.CONNECTING, E.CONNECTED): S.CONNECTED,
    (S.CONNECTING, E.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.CONNECTING, E.DISCONNECTED): S.CONNECTING,
    (S.CONNECTING, E.TIMED_OUT): S.CONNECTING,
    (S.CONNECTING, E.SESSION_EXPIRED): S.CONNECTING,
    (S.CONNECTING, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTING, E.CLOSE): S.CLOSED,
    (S.CONNECTED, E.DISCONNECTED): S.SUSPENDED,
    (S.CONNECTED, E.SESSION_EXPIRED): S.EXPIRED,
    (S.CONNECTED, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTED, E.CLOSE): S.CLOSED,
    (S.CONNECTED_RO, E.DISCONNECTED): S.SUSPENDED,
    (S.CONNECTED_RO, E.SESSION_EXPIRED): S.EXPIRED,
    (S.CONNECTED_RO, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.CONNECTED_RO, E.CLOSE): S.CLOSED,
    (S.SUSPENDED, E.CONNECTED): S.CONNECTED,
    (S.SUSPENDED, E.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.SUSPENDED, E.DISCONNECTED): S.SUSPENDED,
    (S.SUSPENDED, E.TIMED_OUT): S.LOST,
    (S.SUSPENDED, E.SESSION_EXPIRED): S.EXPIRED,
    (S.SUSPENDED, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.SUSPENDED, E.CLOSE): S.CLOSED,
    (S.LOST, E.CONNECTED): S.CONNECTED,  # the service ended it later than it might have
    (S.LOST, E.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.LOST, E.DISCONNECTED): S.LOST,
    (S.LOST, E.TIMED_OUT): S.LOST,
    (S.LOST, E.SESSION_EXPIRED): S.EXPIRED,
    (S.LOST, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.LOST, E.CLOSE): S.CLOSED,
    (S.EXPIRED, E.OPEN): S.CONNECTING,  # with a new session
    (S.EXPIRED, E.CLOSE): S.CLOSED,
    (S.AUTH_FAILED, E.DISCONNECTED): S.AUTH_FAILED,
    (S.AUTH_FAILED, E.CLOSE): S.CLOSED,
}

USABLE_STATES = frozenset((S.CONNECTED, S.CONNECTED_RO))  # requests may be sent
ENDED_STATES = frozenset((S.CLOSED, S.AUTH_FAILED))  # no connection is tried
RECOVERABLE_STATES = frozenset((S.SUSPENDED, S.LOST))  # a reconnect offers the old session


def next_state(state: SessionState, event: SessionEvent) -> SessionState:
    """Return the state after an event.

    Raises:
        InvalidTransitionError: the table has none.
    """
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransitionError(f"{event.name} in {state.name}") from None
