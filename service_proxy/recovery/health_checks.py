"""Choice of endpoints to check during a recovery. Pure.

Where no request is sent, only a health check can show that an endpoint answers.
"""

from __future__ import annotations

from service_proxy.recovery.endpoint_override import EndpointListOverride

CHECK_RATE = 4.0  # Health checks per second of an endpoint that does not answer yet, summed over all proxies.
MAX_CHECKS_PER_ROUND = 8


class UnansweredEndpointChecks:
    """Rotation among the endpoints that have not answered yet, at this proxy's share of the check rate."""

    def __init__(self, proxy_index: int) -> None:
        """Start the rotation at `proxy_index`, so that proxies begin with different endpoints."""
        self.tokens = 1.0
        self.next_endpoint = proxy_index

    def due(self, override: EndpointListOverride, interval: float) -> list[int]:
        """Return the ids of the endpoints to check now, `interval` seconds after the previous round."""
        unanswered = [
            endpoint for name, endpoint in override.known.items() if name not in override.first_answers
        ]
        earned_tokens = CHECK_RATE * interval * len(unanswered) / len(override.proxies)
        self.tokens = min(MAX_CHECKS_PER_ROUND, self.tokens + earned_tokens)
        endpoint_ids = []
        while self.tokens >= 1 and unanswered:
            self.tokens -= 1
            self.next_endpoint += 1
            endpoint_ids.append(unanswered[self.next_endpoint % len(unanswered)].entry.endpoint_id)
        return endpoint_ids
