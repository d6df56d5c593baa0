"""Tests of the staggered start of proxies at an endpoint that is warming up."""

from __future__ import annotations

from service_proxy.recovery.staggered_start import IMMEDIATE_STARTS, start_delay, start_rank

SLOW_START_WINDOW_S = 24.0


def test_proxies_start_at_an_endpoint_in_one_staggered_order_without_coordination() -> None:
    proxies = [f"p{number}" for number in range(200)]
    for endpoint in ("n1", "n2"):
        ranks = {proxy: start_rank(endpoint, proxy, proxies) for proxy in proxies}
        assert sorted(ranks.values()) == list(range(200))
        delays = sorted(start_delay(rank, 200, SLOW_START_WINDOW_S) for rank in ranks.values())
        assert delays.count(0.0) == IMMEDIATE_STARTS and delays[-1] == SLOW_START_WINDOW_S / 2
        for second in range(12):
            # 197 starts within 12 s.
            assert sum(second <= at < second + 1 for at in delays[IMMEDIATE_STARTS:]) <= 17
    # Each proxy has endpoints at which it starts at once, so that no proxy only waits.
    small_fleet = [f"p{number}" for number in range(24)]
    for proxy in small_fleet:
        immediate = sum(
            start_rank(f"n{endpoint}", proxy, small_fleet) < IMMEDIATE_STARTS for endpoint in range(48)
        )
        assert 1 <= immediate <= 16
    assert start_delay(9, 2, SLOW_START_WINDOW_S) == 0.0
