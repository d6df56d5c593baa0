"""Attempts in flight, and the number of attempts that count toward the concurrency limit."""

from __future__ import annotations

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.request import AttemptState


class InFlightAttempts:
    """All attempts that have not ended, by request id and attempt number."""

    def __init__(self) -> None:
        self.attempts: dict[tuple[int, int], AttemptState] = {}
        self.counted = 0  # Attempts that count toward the concurrency limit.

    def add(self, attempt: AttemptState) -> None:
        """Add an attempt that was just sent; the attempt counts toward the limit."""
        self.attempts[(attempt.request.request_id, attempt.number)] = attempt
        self.counted += 1

    def pop(self, request_id: int, number: int) -> AttemptState | None:
        """Remove an attempt that ended and return it, or return None if the attempt is unknown."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is not None and attempt.counts_to_limit:
            self.counted -= 1
        return attempt

    def release(self, attempt: AttemptState) -> None:
        """Stop counting an attempt toward the limit while it is still in flight."""
        if attempt.counts_to_limit:
            attempt.counts_to_limit = False
            self.counted -= 1

    def release_endpoint(self, endpoint: TrackedEndpoint) -> None:
        """Stop counting all attempts at an endpoint toward the limit."""
        for attempt in self.attempts.values():
            if attempt.endpoint is endpoint:
                self.release(attempt)
