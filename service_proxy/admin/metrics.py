"""The figures that a process shows of itself, counted from its start, in statsd's lines (name:value|type)."""

from __future__ import annotations

from collections import Counter

PREFIX = "edge_edge"
COUNTER_TYPE = "c"
GAUGE_TYPE = "g"
OUTCOME_BY_STATUS = {
    200: "success",
    429: "busy",
    503: "busy",
}  # by the answer's status; any other is a failure
OUTCOMES = ("success", "busy", "failure")


class Metrics:
    """net.server.Tally, and what SIGHUP brought."""

    def __init__(self) -> None:
        self.requests_by_class: dict[str, Counter[str]] = {}
        self.reloads_succeeded = 0
        self.reloads_failed = 0

    def ended(self, cls: str, code: int) -> None:
        self.add_request_class(cls)[OUTCOME_BY_STATUS.get(code, "failure")] += 1

    def add_request_class(self, cls: str) -> Counter[str]:
        """The class shows from now on, also with zeros."""
        return self.requests_by_class.setdefault(cls, Counter())

    def render(self, gauges: dict[str, int], counters: dict[str, int]) -> str:
        """Sorted, one figure a line."""
        counts = {
            f"calls.{cls}.{word}": counted[word]
            for cls, counted in self.requests_by_class.items()
            for word in OUTCOMES
        }
        counts |= {"reconfig_ok": self.reloads_succeeded, "reconfig_failed": self.reloads_failed, **counters}
        lines = [f"{PREFIX}.{name}:{value}|{COUNTER_TYPE}\n" for name, value in counts.items()]
        lines += [f"{PREFIX}.{name}:{value}|{GAUGE_TYPE}\n" for name, value in gauges.items()]
        return "".join(sorted(lines))
