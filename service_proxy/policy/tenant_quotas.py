"""Tenant quotas: requests over the quota of their tenant keep only a share of their weight."""

from __future__ import annotations

from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser


class TenantQuotas(SettingsUser):
    """This proxy's part of each tenant's quota, as token buckets with a capacity of one second."""

    def __init__(self, settings: Settings, proxy_count: int) -> None:
        super().__init__(settings)
        self.rates: dict[str, float] = {}  # Quota in requests per second, by tenant.
        self.remaining: dict[str, float] = {}  # Remaining quota in requests, by tenant.
        self.update(proxy_count)

    def update(self, proxy_count: int) -> None:
        """Divide the quotas of the settings among the given number of proxies; remaining quotas stay."""
        self.rates = {tenant.name: tenant.quota_per_s / proxy_count for tenant in self.settings.tenants}
        self.remaining = {name: self.remaining.get(name, rate) for name, rate in self.rates.items()}

    def refill(self, span: float) -> None:
        """Refill the token buckets for `span` seconds."""
        for name, rate in self.rates.items():
            self.remaining[name] = min(max(1.0, rate), self.remaining[name] + rate * span)

    def weight_share(self, tenant: str) -> float:
        """Count a request against a tenant's quota and return the share of its weight that the request keeps.

        The tenant of a request is known only at the first tier; at inner tiers a request keeps its weight.
        """
        if self.settings.tier_index != 0:
            return 1.0
        if self.remaining[tenant] >= 1:
            self.remaining[tenant] -= 1
            return 1.0
        return self.settings.over_quota_weight_share
