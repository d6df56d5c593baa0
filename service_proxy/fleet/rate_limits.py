"""Bounds on what a member reads and logs, so that a flood of datagrams costs little.

Pure: time is passed in.
"""

from __future__ import annotations

MAX_DATAGRAMS_PER_S = 4000  # that are read; those over it are dropped unread
MAX_DATAGRAMS_PER_SOURCE_PER_S = 1000  # of these from one host
MAX_TRACKED_SOURCES = 4096  # hosts that are counted within a second
DATAGRAM_WINDOW_S = 1.0
MAX_LOG_LINES = 1000  # in LOG_WINDOW_S: after a partition of 40 members each logs some 200
LOG_WINDOW_S = 10.0


class DatagramRateLimit:
    """Counts datagrams in windows of one second, in all and by the host that they come from."""

    __slots__ = ("by_source", "total", "window_start")

    def __init__(self) -> None:
        self.window_start = 0.0
        self.total = 0
        self.by_source: dict[str, int] = {}

    def count(self, now: float) -> bool:
        """Count a datagram; return whether it may be read as far as their number in all goes."""
        if not 0 <= now - self.window_start < DATAGRAM_WINDOW_S:
            self.window_start = now
            self.total = 0
            self.by_source.clear()
        self.total += 1
        return self.total <= MAX_DATAGRAMS_PER_S

    def count_source(self, host: str) -> bool:
        """Count a datagram of a host; return whether it may be read as far as that host's number goes."""
        if len(self.by_source) >= MAX_TRACKED_SOURCES and host not in self.by_source:
            return True
        count = self.by_source.get(host, 0) + 1
        self.by_source[host] = count
        return count <= MAX_DATAGRAMS_PER_SOURCE_PER_S


class LogLineLimit:
    """Counts log lines in windows of LOG_WINDOW_S."""

    __slots__ = ("lines", "window_start")

    def __init__(self) -> None:
        self.window_start = 0.0
        self.lines = 0

    def start_window(self, now: float) -> int:
        """Begin a new window when the last one is over; return how many lines that one has dropped."""
        if 0 <= now - self.window_start < LOG_WINDOW_S:
            return 0
        dropped = max(0, self.lines - MAX_LOG_LINES)
        self.window_start = now
        self.lines = 0
        return dropped

    def count(self) -> bool:
        """Count a line; return whether it is written."""
        self.lines += 1
        return self.lines <= MAX_LOG_LINES
