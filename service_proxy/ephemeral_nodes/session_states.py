"""Table of the states of a session with the service and their transitions. Pure: no sockets, no clock.

The states have the names that ZooKeeper's documents and clients use. SUSPENDED: the connection broke, and the
service may still keep the session. LOST: nothing was received for longer than the session timeout, so by the
service's rules the session must have expired, but no server has confirmed it. EXPIRED: a server has confirmed
it. The known endpoints are kept in every state.
"""

from __future__ import annotations

from enum import Enum

from service_proxy.ephemeral_nodes.errors import InvalidTransitionError


class SessionState(Enum):
    """State of a session."""

    CLOSED = "CLOSED"  # Not started, or closed by the client.
    CONNECTING = "CONNECTING"  # No session yet.
    CONNECTED = "CONNECTED"
    # Connected to a server without a quorum: reads only, and the data may be outdated.
    CONNECTED_RO = "CONNECTED_RO"
    SUSPENDED = "SUSPENDED"
    LOST = "LOST"
    EXPIRED = "EXPIRED"
    # The credentials were rejected; no new attempt until the operator changes them.
    AUTH_FAILED = "AUTH_FAILED"


class SessionEvent(Enum):
    """Event that changes a session's state."""

    OPEN = "open"  # The client starts the session.
    CONNECTED = "connected"  # A server accepted the connection and the session.
    CONNECTED_READ_ONLY = "connected_read_only"
    DISCONNECTED = "disconnected"  # The connection broke, or the server sent nothing for too long.
    TIMED_OUT = "timed_out"  # No connection for the whole session timeout.
    SESSION_EXPIRED = "session_expired"  # A server reported that the session has expired.
    AUTH_REJECTED = "auth_rejected"
    CLOSE = "close"  # The client ends the session.


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
    (S.LOST, E.CONNECTED): S.CONNECTED,  # The service had not expired the session yet.
    (S.LOST, E.CONNECTED_READ_ONLY): S.CONNECTED_RO,
    (S.LOST, E.DISCONNECTED): S.LOST,
    (S.LOST, E.TIMED_OUT): S.LOST,
    (S.LOST, E.SESSION_EXPIRED): S.EXPIRED,
    (S.LOST, E.AUTH_REJECTED): S.AUTH_FAILED,
    (S.LOST, E.CLOSE): S.CLOSED,
    (S.EXPIRED, E.OPEN): S.CONNECTING,  # A new session replaces the expired one.
    (S.EXPIRED, E.CLOSE): S.CLOSED,
    (S.AUTH_FAILED, E.DISCONNECTED): S.AUTH_FAILED,
    (S.AUTH_FAILED, E.CLOSE): S.CLOSED,
}

USABLE_STATES = frozenset((S.CONNECTED, S.CONNECTED_RO))  # States in which requests may be sent.
ENDED_STATES = frozenset((S.CLOSED, S.AUTH_FAILED))  # States in which no connection is attempted.
RECOVERABLE_STATES = frozenset((S.SUSPENDED, S.LOST))  # States in which a reconnect resumes the old session.


def next_state(state: SessionState, event: SessionEvent) -> SessionState:
    """Return the state that follows `state` after `event`.

    Raises:
        InvalidTransitionError: the table has no transition for this state and event.
    """
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransitionError(f"event {event.name} is not valid in state {state.name}") from None
