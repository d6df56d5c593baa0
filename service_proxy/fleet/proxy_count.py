"""The number of proxies among which the policy divides the use of its endpoints.

The count divides resources that all proxies use together: health checks, the budget of an endpoint that is
warming up, and tenants' quotas. Too low a count overloads such an endpoint, so the rule errs upward:

- A minority, or a member that sees at most half of the configured number, uses the configured number, or the
  number of live members if that is greater. It thus never exceeds its configured share.
- While the view changes, the count may grow and does not fall.
- Otherwise the count is the number of live members.

Suppose n proxies are configured, a majority of m > n/2 sees itself, and the other proxies are cut off and
each in a minority. The shares then add up to m/m + (n-m)/n < 1.5. The policy spends half of what an endpoint
that is warming up withstands, so that even then at most three quarters of that capacity are used. Performs no
I/O and reads no clock.
"""

from __future__ import annotations

MAX_TOTAL_SHARE = 1.5  # Upper bound of the sum of all proxies' shares under the rule above.


def effective_proxy_count(
    configured: int, live_count: int, settled: bool, is_minority: bool, current: int
) -> int:
    """Return the number of proxies among which the policy divides its limits.

    Args:
        configured: number of proxies in the platform's settings.
        live_count: live members of this tier, this one included.
        settled: whether the view has settled.
        is_minority: whether less than half of the known members are live.
        current: number that the policy uses now.
    """
    if is_minority or 2 * live_count <= configured:
        return max(configured, live_count)
    if not settled:
        return max(current, live_count)
    return live_count
