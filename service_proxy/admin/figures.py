"""The figures that a process shows of itself, counted from its start, in statsd's lines (name:value|type)."""

from __future__ import annotations

from collections import Counter

PREFIX = "edge_edge"
COUNTER = "c"
GAUGE = "g"
OUTCOMES = {200: "success", 429: "busy", 503: "busy"}  # by the answer's status; any other is a failure
WORDS = ("success", "busy", "failure")


class Figures:
    """net.server.Tally, and what SIGHUP brought."""

    def __init__(self) -> None:
        self.calls: dict[str, Counter[str]] = {}
        self.reconfig_ok = 0
        self.reconfig_failed = 0

    def ended(self, cls: str, code: int) -> None:
        self.known(cls)[OUTCOMES.get(code, "failure")] += 1

    def known(self, cls: str) -> Counter[str]:
        """The class shows from now on, also with zeros."""
        return self.calls.setdefault(cls, Counter())

    def lines(self, gauges: dict[str, int], counters: dict[str, int]) -> str:
        """Sorted, one figure a line."""
        counts = {
            f"calls.{cls}.{word}": counted[word] for cls, counted in self.calls.items() for word in WORDS
        }
        counts |= {"reconfig_ok": self.reconfig_ok, "reconfig_failed": self.reconfig_failed, **counters}
        lines = [f"{PREFIX}.{name}:{value}|{COUNTER}\n" for name, value in counts.items()]
        lines += [f"{PREFIX}.{name}:{value}|{GAUGE}\n" for name, value in gauges.items()]
        return "".join(sorted(lines))
