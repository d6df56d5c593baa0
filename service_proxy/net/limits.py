"""Bounds that several parts share. Nothing but constants."""

MIN_DESCRIPTORS = 64  # descriptors with which a proxy can work
MAX_MESSAGE_BYTES = (
    48 << 20
)  # bytes of a message that is passed on: half as much again as the longest that is sent
UPSTREAM_DESCRIPTOR_SHARE = 0.4  # of the descriptors that a proxy may hold, for connections to backends
LOOP_STALL_S = 0.01  # s of delay of a timer after which the sockets are looked at first
LOOP_TURN_S = 0.001  # s; the loop reads its sockets before such a timer
