"""Concurrency limit and shedding, compared with values computed by hand."""

from __future__ import annotations

from random import Random

import pytest
from balancer_driver import BalancerDriver, entries, only_attempt, settings, state_change

from service_proxy import AttemptStatus, EndpointListUpdate, EndpointState, ListScope
from service_proxy.policy.concurrency_limit import ConcurrencyLimiter
from service_proxy.policy.timing import CONTROL_INTERVAL_S


def limiter_with(
    limit: float, latency: float, rate: float, weights: list[float], tier_index: int = 0
) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter(tier_index, Random(3))
    for _ in range(20):
        limiter.observe_latency(latency)
    limiter.limit = limit
    limiter.arrival_rate = rate
    limiter.weights.extend(weights)
    return limiter


def test_shed_rate_is_the_share_of_arrivals_over_the_supported_throughput() -> None:
    # ST = 4 / 0.1 = 40 requests per second, and 50 arrive, so a fifth of them is shed.
    assert limiter_with(4, 0.1, 50, [1.0] * 20).shed_rate() == pytest.approx(0.2)
    assert limiter_with(4, 0.1, 39, [1.0] * 20).shed_rate() == 0.0


def test_inner_tiers_shed_later() -> None:
    # The work of the tiers above is already spent, so ST counts 1.5 times one tier down.
    assert limiter_with(4, 0.1, 120, [1.0] * 20, tier_index=1).shed_rate() == pytest.approx(0.5)


def test_nothing_is_shed_without_samples() -> None:
    limiter = ConcurrencyLimiter(0, Random(3))
    limiter.arrival_rate = 1e6
    limiter.update_shed_threshold()
    assert limiter.shed_rate() == 0.0 and limiter.admits(0.0)


def test_shed_threshold_and_the_share_shed_at_it() -> None:
    # 70% of the requests weigh 1 and 30% weigh 12. A shed rate of 0.2 rejects 2 in 7 of the requests of
    # weight 1.
    limiter = limiter_with(4, 0.1, 50, [1.0] * 70 + [12.0] * 30)
    limiter.update_shed_threshold()
    assert limiter.shed_threshold == 1.0 and limiter.threshold_shed_share == pytest.approx(0.2 / 0.7)
    assert limiter.admits(12.0)
    shed_count = sum(not limiter.admits(1.0) for _ in range(7000))
    assert shed_count == pytest.approx(2000, rel=0.1)
    # A shed rate of 0.8 rejects all requests of weight 1 and a third of those of weight 12.
    limiter.arrival_rate = 200
    limiter.update_shed_threshold()
    assert limiter.shed_threshold == 12.0 and limiter.threshold_shed_share == pytest.approx(0.1 / 0.3)
    assert not limiter.admits(1.0)


def test_threshold_sheds_its_complete_level_when_the_shares_just_reach_the_target() -> None:
    limiter = limiter_with(4, 0.1, 80, [1.0] * 50 + [12.0] * 50)
    limiter.update_shed_threshold()
    assert (
        limiter.shed_threshold == 1.0
        and limiter.threshold_shed_share == pytest.approx(1.0)
        and not limiter.admits(1.0)
    )


def test_limit_grows_only_while_it_limits_and_shrinks_on_late_answers() -> None:
    limiter = ConcurrencyLimiter(0, Random(3))
    limiter.is_starting = False
    initial_limit = limiter.limit
    limiter.on_timely_answer(in_flight=0)
    assert limiter.limit == initial_limit
    limiter.on_timely_answer(in_flight=initial_limit)
    assert limiter.limit > initial_limit
    grown_limit = limiter.limit
    limiter.on_late_answer()
    assert limiter.limit < grown_limit
    for _ in range(100):
        limiter.on_late_answer()
    assert limiter.limit == 2
    # Guards against overload when proxies outnumber endpoints and each proxy has two requests in flight.
    limiter.update_min_limit(endpoint_count=20, proxy_count=80)
    for _ in range(100):
        limiter.on_late_answer()
    assert limiter.limit == 1


def test_ages_of_attempts_in_flight_raise_the_mean_latency() -> None:
    limiter = limiter_with(4, 0.1, 50, [1.0] * 20)
    limiter.in_flight_age = 1.0
    assert limiter.mean_latency == pytest.approx(0.5)


def test_limit_stays_open_until_the_baseline_latency_is_known() -> None:
    # Guards against a limit that closes before the baseline latency is known. At one request per second and
    # proxy, and latencies over a third of the latency objective, the first answers lowered the limit and half
    # of the requests were rejected.
    driver = BalancerDriver(settings(can_check_health=False))
    limiter = driver.balancer.limiter
    initial_limit = limiter.limit
    for request_id in range(15):
        driver.advance(1.0)
        driver.end_attempt(only_attempt(driver.arrive(request_id)), AttemptStatus.OK, elapsed=0.7)
    assert limiter.limit >= initial_limit and limiter.shed_rate() == 0.0


def test_limit_follows_the_endpoints_in_use_through_a_release() -> None:
    driver = BalancerDriver(settings(slow_start_initial_share=1.0, slow_start_window=0.0))
    driver.advance(2 * CONTROL_INTERVAL_S)
    driver.balancer.limiter.limit = 12.0
    for endpoint, remaining in ((1, 9.0), (2, 6.0), (3, 3.0)):
        driver.feed(state_change(endpoint, EndpointState.DRAINING))
        driver.advance(2 * CONTROL_INTERVAL_S)
        assert driver.balancer.limiter.limit == pytest.approx(remaining)
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(5, 6, 7)))
    driver.advance(2 * CONTROL_INTERVAL_S)
    assert driver.balancer.limiter.limit == pytest.approx(12.0)


def test_limit_grows_with_a_warming_endpoint_and_stays_without_endpoints() -> None:
    driver = BalancerDriver(
        settings(slow_start_initial_share=0.5, slow_start_window=10.0), endpoints=entries(1)
    )
    driver.advance(2 * CONTROL_INTERVAL_S)
    driver.balancer.limiter.limit = 4.0
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(2, started_at=driver.now)))
    driver.advance(2 * CONTROL_INTERVAL_S)
    assert driver.balancer.limiter.limit == pytest.approx(6.0, abs=0.1)
    driver.advance(10.5)
    assert driver.balancer.limiter.limit == pytest.approx(8.0, abs=0.1)
    driver.feed(EndpointListUpdate(ListScope.FULL, []))
    driver.advance(2 * CONTROL_INTERVAL_S)
    # The limit stays, because the endpoints may be listed again.
    assert driver.balancer.limiter.limit == pytest.approx(8.0, abs=0.1)
