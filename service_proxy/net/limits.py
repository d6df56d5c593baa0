"""Limits shared by several modules of the package; this module contains only constants."""

from __future__ import annotations

MIN_DESCRIPTORS = 64  # Minimum number of descriptors that a proxy needs to operate.
# Maximum size of a streamed message: 1.5 times the longest message that is sent.
MAX_MESSAGE_BYTES = 48 << 20
MAX_LENGTH_DIGITS = 15  # Maximum number of digits of a Content-Length that is parsed as a number.
# Share of a proxy's descriptors that is available for connections to endpoints.
UPSTREAM_DESCRIPTOR_SHARE = 0.4
# Delay of a timer that counts as a stall of the event loop; the sockets are then read before the timer acts.
LOOP_STALL_S = 0.01
LOOP_ITERATION_S = 0.001  # Delay of a postponed timer; during the delay the event loop reads its sockets.
# Longest silence of an endpoint in the middle of a streamed response after the request's deadline. The
# operators' page gives a client that stops in the middle of a request as long.
ENDPOINT_STALL_S = 3.0
# Longest time without progress of a streamed request, of a streamed response before the request's deadline,
# and of a client that reads a response.
STALL_TIMEOUT_S = 15.0
# Maximum number of header fields of a message. A field takes about 160 bytes of memory beside its text.
MAX_HEADER_FIELDS = 100
