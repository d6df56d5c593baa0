"""How many sessions there may be, and how fast a client may send. Pure: the caller brings the time."""

from __future__ import annotations

from collections import Counter


class TokenBucket:
    """A token bucket. Times are monotonic, s."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, burst: float, now: float) -> None:
        self.tokens = burst
        self.updated_at = now

    def take(self, now: float, rate: float, burst: float) -> bool:
        """Take a token; return whether there was one.

        Args:
            now: a clock that steps back gives no tokens.
            rate: new tokens per second.
            burst: tokens at most.
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
    """Counts sessions by proxy, client and tenant, those in their opening handshake among them."""

    def __init__(self) -> None:
        self.open_count = 0
        self.count_by_client: Counter[str] = Counter()
        self.count_by_tenant: Counter[str] = Counter()

    def exceeded_scope(
        self, client: str, tenant: str, max_sessions: int, max_per_client: int, max_per_tenant: int
    ) -> str | None:
        """Return whose limit one more session would exceed: proxy, client or tenant; None: nobody's."""
        if self.open_count >= max_sessions:
            return "proxy"
        if self.count_by_client[client] >= max_per_client:
            return "client"
        if self.count_by_tenant[tenant] >= max_per_tenant:
            return "tenant"
        return None

    def add(self, client: str, tenant: str) -> None:
        """Count a session."""
        self.open_count += 1
        self.count_by_client[client] += 1
        self.count_by_tenant[tenant] += 1

    def remove(self, client: str, tenant: str) -> None:
        """Count a session no longer."""
        self.open_count -= 1
        for counter, name in ((self.count_by_client, client), (self.count_by_tenant, tenant)):
            counter[name] -= 1
            if not counter[name]:
                del counter[name]
