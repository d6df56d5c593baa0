"""The attempts in flight and how many of them count to the concurrency limit."""

from __future__ import annotations

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.request import AttemptState


class InFlightAttempts:
    """All attempts that have not ended, by request id and attempt number."""

    def __init__(self) -> None:
        self.attempts: dict[tuple[int, int], AttemptState] = {}
        self.counted = 0  # attempts that occupy the concurrency limit

    def add(self, attempt: AttemptState) -> None:
        """Take in an attempt that was just sent; it counts to the limit."""
        self.attempts[(attempt.request.request_id, attempt.number)] = attempt
        self.counted += 1

    def pop(self, request_id: int, number: int) -> AttemptState | None:
        """Remove an attempt that ended and return it, if it is known."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is not None and attempt.counts_to_limit:
            self.counted -= 1
        return attempt

    def release(self, attempt: AttemptState) -> None:
        """Let an attempt that is still in flight count to the limit no longer."""
        if attempt.counts_to_limit:
            attempt.counts_to_limit = False
            self.counted -= 1

    def release_endpoint(self, endpoint: TrackedEndpoint) -> None:
        """Let all attempts at an endpoint count to the limit no longer."""
        for attempt in self.attempts.values():
            if attempt.endpoint is endpoint:
                self.release(attempt)
