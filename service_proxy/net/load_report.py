"""Load reports of endpoints, as they stand in X-Load-Report and in the answer to a health check."""

from __future__ import annotations

MAX_LOAD_VALUE = 1e6  # of a report; more is no load, and would outweigh all other reports
LOAD_REPORT_FIELDS = {  # the protocol's name, and the platform settings' own
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def parse_load_report(text: bytes) -> dict[str, float] | None:
    """Read `inflight=7,queue=2` under the settings' names; None where it holds nothing usable."""
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = LOAD_REPORT_FIELDS.get(name.strip(), name.strip())
            number = float(value)
            if name in report or not 0 <= number <= MAX_LOAD_VALUE:
                return None  # what says one thing twice, or what can't be, is trusted in nothing
            report[name] = number
    except ValueError:
        return None
    return report or None
