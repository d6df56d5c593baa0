"""Load reports of endpoints, as sent in X-Load-Report and in the response to a health check."""

from __future__ import annotations

# Maximum value in a report; a greater value is not plausible and would outweigh all other reports.
MAX_LOAD_VALUE = 1e6
LOAD_REPORT_FIELDS = {  # Names in the settings by names in the protocol.
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def parse_load_report(text: bytes) -> dict[str, float] | None:
    """Return the values of a report such as `inflight=7,queue=2` by settings name; None if unusable."""
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = LOAD_REPORT_FIELDS.get(name.strip(), name.strip())
            number = float(value)
            if name in report or not 0 <= number <= MAX_LOAD_VALUE:
                return None  # The whole report is discarded if a name is repeated or a value is out of range.
            report[name] = number
    except ValueError:
        return None
    return report or None
