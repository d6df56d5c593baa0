"""The retry budget: it keeps retries and hedges from multiplying the load through the tiers."""

from __future__ import annotations

from service_proxy.policy.events import NEVER_EXECUTED

RETRIES_PER_REQUEST = 0.15  # tokens that each arriving request adds
MAX_RETRY_TOKENS = 5.0  # further attempts that may come at once
UNEXECUTED_RETRY_COST = 0.25  # tokens for a retry after an attempt that was never executed


class RetryBudget:
    """Token bucket for further attempts: retries and hedges."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def on_request(self) -> None:
        """Add what one arriving request allows."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)

    @staticmethod
    def retry_cost(status: int) -> float:
        """Return the tokens for a retry after an attempt that ended so.

        What was never executed has multiplied no work; in an inner tier giving it up wastes the work above.
        """
        return UNEXECUTED_RETRY_COST if status in NEVER_EXECUTED else 1.0

    def can_spend(self, cost: float) -> bool:
        """Tell whether the budget allows a further attempt of this cost."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Take the tokens of a further attempt."""
        self.tokens -= cost
