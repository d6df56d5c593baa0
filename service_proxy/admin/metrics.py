"""Metrics of a process, counted from its start, in statsd's line format (name:value|type). Pure.

The platform defines the names of the metrics.
"""

from __future__ import annotations

from collections import Counter

PREFIX = "edge_edge"
COUNTER_TYPE = "c"
GAUGE_TYPE = "g"
SUCCESS = "success"
BUSY = "busy"
FAILURE = "failure"
OUTCOMES = (SUCCESS, BUSY, FAILURE)
OUTCOME_BY_STATUS = {200: SUCCESS, 429: BUSY, 503: BUSY}  # any other status is a failure


class Metrics:
    """Counters of requests by class and outcome (`net.downstream.RequestCounter`) and of reloads."""

    def __init__(self) -> None:
        self.requests_by_class: dict[str, Counter[str]] = {}
        self.reloads_succeeded = 0
        self.reloads_failed = 0

    def request_ended(self, cls: str, code: int) -> None:
        """Count a request of class `cls` that was answered with the status `code`."""
        self.add_request_class(cls)[OUTCOME_BY_STATUS.get(code, FAILURE)] += 1

    def add_request_class(self, cls: str) -> Counter[str]:
        """Include the class in the metrics, even while its counts are 0, and return its counts."""
        return self.requests_by_class.setdefault(cls, Counter())

    def render(self, gauges: dict[str, int], counters: dict[str, int]) -> str:
        """Return the lines of all counted metrics and of `gauges` and `counters`, sorted."""
        counts = {
            f"calls.{cls}.{outcome}": by_outcome[outcome]
            for cls, by_outcome in self.requests_by_class.items()
            for outcome in OUTCOMES
        }
        counts |= {"reconfig_ok": self.reloads_succeeded, "reconfig_failed": self.reloads_failed, **counters}
        lines = [f"{PREFIX}.{name}:{value}|{COUNTER_TYPE}\n" for name, value in counts.items()]
        lines += [f"{PREFIX}.{name}:{value}|{GAUGE_TYPE}\n" for name, value in gauges.items()]
        return "".join(sorted(lines))
