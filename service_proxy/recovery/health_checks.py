"""Which endpoints to check while service returns: where no request is sent, nothing else finds them. Pure."""

from __future__ import annotations

from service_proxy.recovery.endpoint_override import EndpointListOverride

CHECK_RATE = 4.0  # checks/s of an endpoint that does not answer yet, by all proxies together
MAX_CHECKS_PER_ROUND = 8


class UnansweredEndpointChecks:
    """Takes turns among the endpoints that have not answered yet, at this proxy's share of the rate."""

    def __init__(self, proxy_index: int) -> None:
        """`proxy_index`: of this proxy, so that not all begin with the same endpoint."""
        self.tokens = 1.0
        self.next_endpoint = proxy_index

    def due(self, override: EndpointListOverride, interval: float) -> list[int]:
        """Return the ids of the endpoints to check now, `interval` s after the round before."""
        unanswered = [
            endpoint for name, endpoint in override.known.items() if name not in override.first_answers
        ]
        earned = CHECK_RATE * interval * len(unanswered) / len(override.proxies)
        self.tokens = min(MAX_CHECKS_PER_ROUND, self.tokens + earned)
        endpoint_ids = []
        while self.tokens >= 1 and unanswered:
            self.tokens -= 1
            self.next_endpoint += 1
            endpoint_ids.append(unanswered[self.next_endpoint % len(unanswered)].entry.endpoint_id)
        return endpoint_ids
