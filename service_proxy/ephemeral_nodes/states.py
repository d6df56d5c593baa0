"""The states of a session with the service, as one table of transitions. Pure: no sockets, no clock.

What may live here: states, events, the table, and what each state allows. What may not: timers and frames.
SUSPENDED: the connection broke, and the session may live on at the service. LOST: for longer than the
session's time-out nothing was heard, so by the service's own rule it must have ended, though none has said
so. EXPIRED: the service has said so. What is known of the servers survives all of them.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    CLOSED = "CLOSED"  # not begun, or ended by this side
    CONNECTING = "CONNECTING"  # no session yet
    CONNECTED = "CONNECTED"
    CONNECTED_RO = "CONNECTED_RO"  # by a server without its quorum: reads only, maybe old
    SUSPENDED = "SUSPENDED"
    LOST = "LOST"
    EXPIRED = "EXPIRED"
    AUTH_FAILED = "AUTH_FAILED"  # for good, until the operator changes the credentials


class Happening(Enum):
    """What can befall a session."""

    OPEN = "open"  # this side begins
    UP = "up"  # a server took the connection and the session
    UP_RO = "up_ro"
    DOWN = "down"  # the connection broke, or nothing came for two thirds of the time-out
    OVERDUE = "overdue"  # no connection for the whole time-out
    REFUSED = "refused"  # a server said that the session has expired
    AUTH_REFUSED = "auth_refused"
    CLOSE = "close"  # this side ends


class Impossible(Exception):
    """A happening that the state can't have: a fault of this program."""


S = State
H = Happening
TABLE: dict[tuple[State, Happening], State] = {
    (S.CLOSED, H.OPEN): S.CONNECTING,
    (S.CLOSED, H.CLOSE): S.CLOSED,
    (S.CONNECTING, H.UP): S.CONNECTED,
    (S.CONNECTING, H.UP_RO): S.CONNECTED_RO,
    (S.CONNECTING, H.DOWN): S.CONNECTING,
    (S.CONNECTING, H.OVERDUE): S.CONNECTING,
    (S.CONNECTING, H.REFUSED): S.CONNECTING,
    (S.CONNECTING, H.AUTH_REFUSED): S.AUTH_FAILED,
    (S.CONNECTING, H.CLOSE): S.CLOSED,
    (S.CONNECTED, H.DOWN): S.SUSPENDED,
    (S.CONNECTED, H.REFUSED): S.EXPIRED,
    (S.CONNECTED, H.AUTH_REFUSED): S.AUTH_FAILED,
    (S.CONNECTED, H.CLOSE): S.CLOSED,
    (S.CONNECTED_RO, H.DOWN): S.SUSPENDED,
    (S.CONNECTED_RO, H.REFUSED): S.EXPIRED,
    (S.CONNECTED_RO, H.AUTH_REFUSED): S.AUTH_FAILED,
    (S.CONNECTED_RO, H.CLOSE): S.CLOSED,
    (S.SUSPENDED, H.UP): S.CONNECTED,
    (S.SUSPENDED, H.UP_RO): S.CONNECTED_RO,
    (S.SUSPENDED, H.DOWN): S.SUSPENDED,
    (S.SUSPENDED, H.OVERDUE): S.LOST,
    (S.SUSPENDED, H.REFUSED): S.EXPIRED,
    (S.SUSPENDED, H.AUTH_REFUSED): S.AUTH_FAILED,
    (S.SUSPENDED, H.CLOSE): S.CLOSED,
    (S.LOST, H.UP): S.CONNECTED,  # the service was slower to end it than this side to fear it
    (S.LOST, H.UP_RO): S.CONNECTED_RO,
    (S.LOST, H.DOWN): S.LOST,
    (S.LOST, H.OVERDUE): S.LOST,
    (S.LOST, H.REFUSED): S.EXPIRED,
    (S.LOST, H.AUTH_REFUSED): S.AUTH_FAILED,
    (S.LOST, H.CLOSE): S.CLOSED,
    (S.EXPIRED, H.OPEN): S.CONNECTING,  # with a new session
    (S.EXPIRED, H.CLOSE): S.CLOSED,
    (S.AUTH_FAILED, H.DOWN): S.AUTH_FAILED,
    (S.AUTH_FAILED, H.CLOSE): S.CLOSED,
}

USABLE = frozenset((S.CONNECTED, S.CONNECTED_RO))  # requests may be sent
OVER = frozenset((S.CLOSED, S.AUTH_FAILED))  # no connection is tried
HOPEFUL = frozenset((S.SUSPENDED, S.LOST))  # a reconnect offers the old session


def after(state: State, happening: Happening) -> State:
    """The next state; raises Impossible where the table has none."""
    try:
        return TABLE[state, happening]
    except KeyError:
        raise Impossible(f"{happening.name} in {state.name}") from None
