"""Who may open a session, how fast one may speak, and how much all of them may hold. No clock of its own."""

from __future__ import annotations

from collections import Counter


class Bucket:
    """A token bucket."""

    __slots__ = ("at", "tokens")

    def __init__(self, burst: float, now: float) -> None:
        self.tokens = burst
        self.at = now

    def take(self, now: float, rate: float, burst: float) -> bool:
        """One token, of `rate` new ones a second and `burst` at the most. A clock that steps back gives
        none."""
        self.tokens = min(burst, self.tokens + max(0.0, now - self.at) * rate)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait(self, rate: float) -> float:
        """s until the next one."""
        return max(0.0, (1 - self.tokens) / rate)


class Doors:
    """Sessions by proxy, client and tenant. Those that are still in their handshake count."""

    def __init__(self) -> None:
        self.open = 0
        self.clients: Counter[str] = Counter()
        self.tenants: Counter[str] = Counter()

    def full(
        self, client: str, tenant: str, most: int, most_of_client: int, most_of_tenant: int
    ) -> str | None:
        """Whose bound one more session would break; None: nobody's."""
        if self.open >= most:
            return "proxy"
        if self.clients[client] >= most_of_client:
            return "client"
        if self.tenants[tenant] >= most_of_tenant:
            return "tenant"
        return None

    def enter(self, client: str, tenant: str) -> None:
        self.open += 1
        self.clients[client] += 1
        self.tenants[tenant] += 1

    def leave(self, client: str, tenant: str) -> None:
        self.open -= 1
        for counter, name in ((self.clients, client), (self.tenants, tenant)):
            counter[name] -= 1
            if not counter[name]:
                del counter[name]
