"""How many proxies the policy is told share its endpoints. Pure.

The count divides what all may do together: health checks, the budget of an endpoint that warms up, tenants'
quotas. Too low a count overloads such an endpoint, so the rule errs upward:

- a minority, and who sees no more than half of the configured number, goes by the configured number (or by
  what it sees, if that is more): it never uses more than its share by the configuration;
- while the view changes the count may grow and does not fall;
- else it is the number of the living.

With n configured and a majority of m > n/2 that sees m, the rest being cut off from it and a minority to
themselves, all shares add up to m/m + (n-m)/n < 1.5. The policy spends half of what an endpoint that warms up
survives, so even then three quarters of it are spent at most.
"""

from __future__ import annotations

MAX_TOTAL_SHARE = 1.5  # all shares added up, by the rule above


def effective_proxy_count(
    configured: int, living: int, settled: bool, is_minority: bool, current: int
) -> int:
    """Return the number of proxies that the policy goes by.

    Args:
        configured: number by the platform's settings.
        living: members of this tier, itself among them.
        settled: the view has settled.
        is_minority: less than half lives of those that were known.
        current: what the policy goes by now.
    """
    if is_minority or 2 * living <= configured:
        return max(configured, living)
    if not settled:
        return max(current, living)
    return living
