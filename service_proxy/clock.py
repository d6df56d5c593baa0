"""The clocks of a process, as one object that the assembly hands to who needs a time.

Parts that decide are given numbers; only who drives them reads this. A rig puts another one in its place.
"""

from __future__ import annotations

import time


class Clock:
    def monotonic(self) -> float:
        """s on a clock that only goes forward; means nothing outside this process's machine."""
        return time.monotonic()

    def wall_time(self) -> float:
        """s since 1970 by the machine's word; may be wrong and go back."""
        return time.time()
