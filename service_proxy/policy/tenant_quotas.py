"""Tenant quotas: requests of a tenant over its quota keep only a share of their weight."""

from __future__ import annotations

from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser


class TenantQuotas(SettingsUser):
    """This proxy's part of each tenant's quota, as token buckets of one second's worth."""

    def __init__(self, settings: Settings, proxy_count: int) -> None:
        super().__init__(settings)
        self.rates: dict[str, float] = {}  # requests per second
        self.remaining: dict[str, float] = {}  # requests
        self.update(proxy_count)

    def update(self, proxy_count: int) -> None:
        """Share the quotas of the settings among so many proxies; what tenants have left stays."""
        self.rates = {tenant.name: tenant.quota_per_s / proxy_count for tenant in self.settings.tenants}
        self.remaining = {name: self.remaining.get(name, rate) for name, rate in self.rates.items()}

    def refill(self, span: float) -> None:
        """Refill the buckets for `span` seconds."""
        for name, rate in self.rates.items():
            self.remaining[name] = min(max(1.0, rate), self.remaining[name] + rate * span)

    def weight_share(self, tenant: str) -> float:
        """Take a request from a tenant's quota and return the share of its weight that it keeps.

        Only the first tier knows whose requests they are.
        """
        if self.settings.tier_index != 0:
            return 1.0
        if self.remaining[tenant] >= 1:
            self.remaining[tenant] -= 1
            return 1.0
        return self.settings.over_quota_weight_share
