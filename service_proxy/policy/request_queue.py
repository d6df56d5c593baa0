"""The queue of requests that wait for an attempt, ordered by weight and arrival."""

from __future__ import annotations

from bisect import insort

from service_proxy.policy.request import RequestState
from service_proxy.policy.timing import CONTROL_INTERVAL_S

ANSWER_MARGIN_S = 2 * CONTROL_INTERVAL_S  # before a client's deadline, when a queued request is answered
TAIL_LATENCIES = 2.0  # mean latencies that a queued request should have left at its turn: tails are long


class RequestQueue:
    """Requests that wait for an attempt: the heaviest first, and of these the oldest."""

    def __init__(self) -> None:
        self.requests: list[RequestState] = []

    def add(self, request: RequestState) -> None:
        """Queue a request in its place."""
        request.is_queued = True
        insort(self.requests, request)

    def remove(self, request: RequestState) -> None:
        """Take a request out, if it is queued."""
        if request.is_queued:
            self.requests.remove(request)
            request.is_queued = False

    def remove_at(self, position: int) -> None:
        """Take out the request at a position."""
        self.requests[position].is_queued = False
        del self.requests[position]

    def remove_hopeless(self, now: float, wait_per_position: float) -> list[RequestState]:
        """Take out and return the requests whose wait does not fit into what is left of their usefulness.

        The wait at a position is about (position + 1) * mean latency / concurrency limit.
        """
        remaining: list[RequestState] = []
        removed: list[RequestState] = []
        for request in self.requests:
            useful_time = request.useful_until - now
            latency = request.request_class.mean_latency.value
            wait = (len(remaining) + 1) * wait_per_position
            fits = not remaining or wait + TAIL_LATENCIES * latency <= useful_time
            # One that waits for its candidates' load reports goes out or comes back here before its deadline.
            # With less than a mean latency left it would be wasted work, most of all on crowded endpoints.
            has_time = request.deadline - now > ANSWER_MARGIN_S or (
                useful_time > latency and request.awaits_reports(now)
            )
            if fits and has_time and useful_time > 0:
                remaining.append(request)
            else:
                request.is_queued = False
                removed.append(request)
        self.requests[:] = remaining
        return removed
