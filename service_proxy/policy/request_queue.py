"""Queue of the requests that wait for an attempt, ordered by weight and arrival."""

from __future__ import annotations

from bisect import insort

from service_proxy.policy.request import RequestState
from service_proxy.policy.timing import CONTROL_INTERVAL_S

# Time before the client's deadline at which a queued request is answered.
ANSWER_MARGIN_S = 2 * CONTROL_INTERVAL_S
# Mean latencies that must remain when a queued request is sent, because latencies have a long tail.
TAIL_LATENCIES = 2.0


class RequestQueue:
    """Queue of the requests that wait for an attempt, in order of decreasing weight and then of arrival."""

    def __init__(self) -> None:
        self.requests: list[RequestState] = []

    def add(self, request: RequestState) -> None:
        """Insert a request at its position in the queue."""
        request.is_queued = True
        insort(self.requests, request)

    def remove(self, request: RequestState) -> None:
        """Remove a request if it is queued."""
        if request.is_queued:
            self.requests.remove(request)
            request.is_queued = False

    def remove_at(self, position: int) -> None:
        """Remove the request at a position."""
        self.requests[position].is_queued = False
        del self.requests[position]

    def remove_infeasible(self, now: float, wait_per_position: float) -> list[RequestState]:
        """Remove and return the requests that can no longer be answered in time.

        These are requests whose wait would exceed their remaining useful time, and requests whose deadline is
        near. The wait at a position is about (position + 1) * `wait_per_position`, which is the mean latency
        in seconds / concurrency limit.
        """
        remaining: list[RequestState] = []
        removed: list[RequestState] = []
        for request in self.requests:
            useful_time = request.useful_until - now
            latency = request.request_class.mean_latency.value
            wait = (len(remaining) + 1) * wait_per_position
            fits = not remaining or wait + TAIL_LATENCIES * latency <= useful_time
            # A request that waits for load reports of its candidates is sent or checked again here before its
            # deadline. With less than a mean latency left, its attempt would be wasted work, especially on
            # overloaded endpoints.
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
