"""Limits on the datagrams that a member reads and the lines that it logs, so that a flood costs little.

The caller passes in the time.
"""

from __future__ import annotations

MAX_DATAGRAMS_PER_S = 4000  # Datagrams read per second; further datagrams are dropped unread.
MAX_DATAGRAMS_PER_SOURCE_PER_S = 1000  # Datagrams read per second from one host.
MAX_TRACKED_SOURCES = 4096  # Hosts whose datagrams are counted within a second.
DATAGRAM_WINDOW_S = 1.0
# Log lines per LOG_WINDOW_S; after a partition of 40 members, each member logs about 200 lines.
MAX_LOG_LINES = 1000
LOG_WINDOW_S = 10.0


class DatagramRateLimit:
    """Counts datagrams in windows of one second, in total and by source host."""

    __slots__ = ("by_source", "total", "window_start")

    def __init__(self) -> None:
        self.window_start = 0.0
        self.total = 0
        self.by_source: dict[str, int] = {}

    def count(self, now: float) -> bool:
        """Count a datagram; return whether the total count allows reading it."""
        if not 0 <= now - self.window_start < DATAGRAM_WINDOW_S:
            self.window_start = now
            self.total = 0
            self.by_source.clear()
        self.total += 1
        return self.total <= MAX_DATAGRAMS_PER_S

    def count_source(self, host: str) -> bool:
        """Count a datagram of a host; return whether that host's count allows reading it."""
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
        """Start a new window if the last one has ended; return how many lines the last window dropped."""
        if 0 <= now - self.window_start < LOG_WINDOW_S:
            return 0
        dropped = max(0, self.lines - MAX_LOG_LINES)
        self.window_start = now
        self.lines = 0
        return dropped

    def count(self) -> bool:
        """Count a line; return whether it may be written."""
        self.lines += 1
        return self.lines <= MAX_LOG_LINES
