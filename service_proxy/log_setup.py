"""The log of a process: where it goes, its form, and a bound on lines of one kind."""

from __future__ import annotations

import logging
import sys
import time
from collections import Counter

MAX_LOG_RECORDS = 20  # of one kind, in each window
LOG_WINDOW_S = 10.0
LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"


class LogRateLimit(logging.Filter):
    """Passes MAX_LOG_RECORDS records of one message template in each LOG_WINDOW_S.

    A flood of bad input must not become a flood of log lines.
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
        self.counts[record.msg] += 1  # the template, not the text
        return self.counts[record.msg] <= MAX_LOG_RECORDS


def configure_logging() -> None:
    """Write log lines to standard error, with a rate limit."""
    logging.basicConfig(stream=sys.stderr, format=LOG_FORMAT)
    logging.getLogger().handlers[0].addFilter(LogRateLimit())
