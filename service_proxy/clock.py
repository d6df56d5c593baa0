"""The clocks of a process, as one object that the composition root hands to whoever reads a time.

Modules that decide are given times as numbers; only those that drive them read this. A test harness can put
another one in its place.
"""

from __future__ import annotations

import time


class Clock:
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return s on a clock that only goes forward; it means nothing outside this process's machine."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return s since 1970 by the machine's clock, which may be wrong and may go back."""
        return time.time()
