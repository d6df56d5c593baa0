"""Evidence on the wire that another process runs at an endpoint's address than before.

Discovery may tell of it later, or under another name. This module contains no socket code and reads no clock.
"""

from __future__ import annotations

import math


class ProcessContinuity:
    """Record of whether the process at an endpoint's address is the same. Times are monotonic, s.

    A single broken connection shows nothing: a network or an endpoint that lives on may reset it.

    Attributes:
        replaced_at: time of the last connection after which the process is another one.
    """

    __slots__ = ("_was_refused", "replaced_at")

    def __init__(self) -> None:
        self._was_refused = False
        self.replaced_at = -math.inf

    def on_refused(self, has_open_connection: bool) -> None:
        """Record a refused connect; a process to which a connection is open is still there."""
        self._was_refused |= not has_open_connection

    def on_connected(self, now: float) -> bool:
        """Record a new connection, and return whether it shows another process."""
        was_refused, self._was_refused = self._was_refused, False
        if was_refused:
            self.replaced_at = now
        return was_refused
