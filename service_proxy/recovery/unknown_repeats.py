"""Keyed requests that clients repeat after a power loss, and of which this proxy has no record. Pure.

Each proxy records its own requests. The proxy that had sent the first request may be gone, and the endpoints
may have lost their memory of its key, so that a repeat would run again.
"""

from __future__ import annotations

MAX_FIRST_SEEN_KEYS = 10_000  # Keys that are known to be new since the power loss.


class UnknownRepeats:
    """Decides which repeats may have run before the power loss.

    Args:
        started_at: when this process started, which is after the power loss (monotonic, s).
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._first_seen: dict[str, None] = {}  # Keys of requests that their clients sent for the first time.

    def may_have_run(self, key: str, is_retry: bool, longest_memory: float, now: float) -> bool:
        """Return whether the request may have run before the power loss, and note a key that is new.

        Args:
            key: key of the request.
            is_retry: the client has sent the request before.
            longest_memory: time (s) after which no client repeats a request from before the power loss.
            now: current time (monotonic, s).
        """
        if now >= self._started_at + longest_memory:
            self._first_seen.clear()
            return False
        if is_retry:
            return key not in self._first_seen
        if len(self._first_seen) >= MAX_FIRST_SEEN_KEYS:
            del self._first_seen[next(iter(self._first_seen))]
        self._first_seen[key] = None
        return False
