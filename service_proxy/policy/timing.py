"""The rhythm of the policy's control loop."""

from __future__ import annotations

CONTROL_INTERVAL_S = 0.05  # a few control steps fit into the shortest request worth steering
TIME_TOLERANCE_S = 1e-9  # rounding of times that are compared
