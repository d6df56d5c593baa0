"""How many proxies the module is told stand before its servers. Pure.

The count divides what all may do together: probes, a cold server's budget, tenants' quotas. Too low a count
pushes a cold server over, so the rule errs upward:

- a minority, and who sees no more than half of the settings' number, goes by the settings (or by what it
  sees, if that is more): it never uses more than its share by the settings;
- while the view changes the count may grow and does not fall;
- else it is who lives.

With n by the settings and a majority of m > n/2 that sees m, the rest being cut off from it and a minority
to themselves, all shares add up to m/m + (n-m)/n < 1.5. The module spends half of what a cold server survives
(its COLD_SHARE), so even then three quarters of it are spent at most.
"""

from __future__ import annotations

MAX_TOTAL_SHARE = 1.5  # all shares added up, by the rule above


def effective_proxy_count(
    configured: int, living: int, settled: bool, is_minority: bool, current: int
) -> int:
    """`living`: of this tier, itself among them; `told`: what the module goes by now."""
    if is_minority or 2 * living <= configured:
        return max(configured, living)
    if not settled:
        return max(current, living)
    return living
