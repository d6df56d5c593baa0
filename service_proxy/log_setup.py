"""Logging of a process: the output stream, the format, and a rate limit on lines of one kind."""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter

MAX_LOG_RECORDS = 20  # records of one message template per window
LOG_WINDOW_S = 10.0
LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"


class LogRateLimit(logging.Filter):
    """Filter that passes MAX_LOG_RECORDS records of one message template per LOG_WINDOW_S.

    The limit keeps a flood of bad input from causing a flood of log lines.
    """

    def __init__(self) -> None:
        super().__init__()
        self.window_ends_at = 0.0  # monotonic, s
        self.counts: Counter[object] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is written."""
        now = time.monotonic()
        if now >= self.window_ends_at:
            self.window_ends_at = now + LOG_WINDOW_S
            self.counts.clear()
        self.counts[record.msg] += 1  # counted by template, not by formatted text
        return self.counts[record.msg] <= MAX_LOG_RECORDS


def configure_logging() -> None:
    """Configure logging to standard error with a rate limit."""
    logging.basicConfig(stream=sys.stderr, format=LOG_FORMAT)
    logging.getLogger().handlers[0].addFilter(LogRateLimit())
