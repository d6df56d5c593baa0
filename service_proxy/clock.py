"""Clocks of a process as one object, which the composition root passes to every part that reads a time.

Modules that make decisions receive times as numbers, and only their drivers read this object. A test harness
can substitute another clock.
"""

from __future__ import annotations

import time


class Clock:
    """Clocks of the machine."""

    def monotonic(self) -> float:
        """Return the time in s of a clock that never goes back; comparable only on this machine."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the time in s since 1970 by the machine's clock, which may be wrong and may go back."""
        return time.time()
