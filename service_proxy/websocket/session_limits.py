"""Who may open a session, how fast one may speak, and how much all of them may hold. No clock of its own."""

from __future__ import annotations

from collections import Counter


class TokenBucket:
    """A token bucket."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, burst: float, now: float) -> None:
        self.tokens = burst
        self.updated_at = now

    def take(self, now: float, rate: float, burst: float) -> bool:
        """One token, of `rate` new ones a second and `burst` at the most. A clock that steps back gives
        none."""
        self.tokens = min(burst, self.tokens + max(0.0, now - self.updated_at) * rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def time_until_token(self, rate: float) -> float:
        """s until the next one."""
        return max(0.0, (1 - self.tokens) / rate)


class SessionLimits:
    """Sessions by proxy, client and tenant. Those that are still in their handshake count."""

    def __init__(self) -> None:
        self.open_count = 0
        self.count_by_client: Counter[str] = Counter()
        self.count_by_tenant: Counter[str] = Counter()

    def exceeded_scope(
        self, client: str, tenant: str, max_sessions: int, max_per_client: int, max_per_tenant: int
    ) -> str | None:
        """Whose bound one more session would break; None: nobody's."""
        if self.open_count >= max_sessions:
            return "proxy"
        if self.count_by_client[client] >= max_per_client:
            return "client"
        if self.count_by_tenant[tenant] >= max_per_tenant:
            return "tenant"
        return None

    def add(self, client: str, tenant: str) -> None:
        self.open_count += 1
        self.count_by_client[client] += 1
        self.count_by_tenant[tenant] += 1

    def remove(self, client: str, tenant: str) -> None:
        self.open_count -= 1
        for counter, name in ((self.count_by_client, client), (self.count_by_tenant, tenant)):
            counter[name] -= 1
            if not counter[name]:
                del counter[name]
