"""Retry budget, which keeps retries and hedges from multiplying the load across the tiers."""

from __future__ import annotations

from service_proxy.policy.events import NEVER_EXECUTED

RETRIES_PER_REQUEST = 0.15  # Tokens that each arriving request adds.
MAX_RETRY_TOKENS = 5.0  # Capacity of the token bucket: retries and hedges that may start at once.
UNEXECUTED_RETRY_COST = 0.25  # Tokens for a retry after an attempt that was never executed.


class RetryBudget:
    """Token bucket for further attempts: retries and hedges."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def on_request(self) -> None:
        """Add the tokens of one arriving request."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)

    @staticmethod
    def retry_cost(status: int) -> float:
        """Return the tokens for a retry after an attempt that ended with this status.

        An attempt that was never executed has not multiplied any work, and at an inner tier an abandoned
        request wastes the work of the tiers above.
        """
        return UNEXECUTED_RETRY_COST if status in NEVER_EXECUTED else 1.0

    def can_spend(self, cost: float) -> bool:
        """Return whether the budget allows a further attempt of this cost."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Remove the tokens of a further attempt."""
        self.tokens -= cost
