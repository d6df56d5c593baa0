"""Bounds that several parts share. Nothing but constants."""

LEAST_SOCKETS = 64  # descriptors with which a proxy can work
MOST_LENGTH = 48 << 20  # bytes of a message that is passed on: half as much again as the longest that is sent
UPSTREAM_SHARE = 0.4  # of the descriptors that a proxy may hold, for connections to backends
LATE = 0.01  # s of delay of a timer after which the sockets are looked at first
ONE_TURN = 0.001  # s; the loop reads its sockets before such a timer
