"""Timing of the control loop of the policy."""

from __future__ import annotations

# Time between control steps, short enough for a few steps within the shortest request that control can
# affect.
CONTROL_INTERVAL_S = 0.05
TIME_TOLERANCE_S = 1e-9  # Rounding error of compared times.
