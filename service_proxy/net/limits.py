"""Bounds that several parts share. Nothing but constants."""

from __future__ import annotations

MIN_DESCRIPTORS = 64  # with which a proxy can work
MAX_MESSAGE_BYTES = 48 << 20  # of a message that is streamed: half as much again as the longest that is sent
MAX_LENGTH_DIGITS = 15  # of a Content-Length that is read as a number
UPSTREAM_DESCRIPTOR_SHARE = 0.4  # of the descriptors that a proxy may hold, for connections to endpoints
LOOP_STALL_S = 0.01  # of delay of a timer, after which the sockets are looked at first
LOOP_TURN_S = 0.001  # the loop reads its sockets before such a timer
