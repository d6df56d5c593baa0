"""Bounds that several parts share. Nothing but constants."""

LEAST_SOCKETS = 64  # descriptors with which a proxy can work
UPSTREAM_SHARE = 0.4  # of the descriptors that a proxy may hold, for connections to backends
