"""Limits on the number of sessions and on the message rate of a client. The caller passes the time."""

from __future__ import annotations

from collections import Counter


class TokenBucket:
    """Token bucket. Times are monotonic, s."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, burst: float, now: float) -> None:
        self.tokens = burst
        self.updated_at = now

    def take(self, now: float, rate: float, burst: float) -> bool:
        """Take a token and return whether one was available.

        Args:
            now: Current time; a clock that steps back adds no tokens.
            rate: New tokens per second.
            burst: Maximum number of tokens.
        """
        self.tokens = min(burst, self.tokens + max(0.0, now - self.updated_at) * rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def time_until_token(self, rate: float) -> float:
        """Return the time until the next token, s."""
        return max(0.0, (1 - self.tokens) / rate)


class SessionLimits:
    """Numbers of sessions per proxy, client and tenant, including sessions in their opening handshake."""

    def __init__(self) -> None:
        self.open_count = 0
        self.count_by_client: Counter[str] = Counter()
        self.count_by_tenant: Counter[str] = Counter()

    def exceeded_scope(
        self, client: str, tenant: str, max_sessions: int, max_per_client: int, max_per_tenant: int
    ) -> str | None:
        """Return the scope whose limit one more session would exceed (proxy, client or tenant), or None."""
        if self.open_count >= max_sessions:
            return "proxy"
        if self.count_by_client[client] >= max_per_client:
            return "client"
        if self.count_by_tenant[tenant] >= max_per_tenant:
            return "tenant"
        return None

    def add(self, client: str, tenant: str) -> None:
        """Count a new session."""
        self.open_count += 1
        self.count_by_client[client] += 1
        self.count_by_tenant[tenant] += 1

    def remove(self, client: str, tenant: str) -> None:
        """Remove a session from the counts."""
        self.open_count -= 1
        for counter, name in ((self.count_by_client, client), (self.count_by_tenant, tenant)):
            counter[name] -= 1
            if not counter[name]:
                del counter[name]
