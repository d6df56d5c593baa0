"""Endpoint lists and the pool that is built from them."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings, state_change

from service_proxy import EndpointListUpdate, EndpointState, ListScope


def test_pool_is_bounded_and_covers_all_endpoints_evenly() -> None:
    counts = dict.fromkeys(range(1, 61), 0)
    for proxy_index in range(60):
        driver = BalancerDriver(
            settings(proxy_index=proxy_index, proxy_count=60), endpoints=entries(*range(1, 61))
        )
        pool = driver.balancer.endpoints.members
        assert len(pool) <= 16
        for endpoint in pool:
            counts[endpoint.endpoint_id] += 1
    assert min(counts.values()) >= 5 and max(counts.values()) <= 16


def test_endpoint_missing_from_a_full_list_is_removed() -> None:
    driver = BalancerDriver(settings(), endpoints=entries(1, 2))
    driver.feed(EndpointListUpdate(ListScope.FULL, entries(2)))
    assert {
        attempt.endpoint_id for request_id in range(9) for attempt in attempts(driver.arrive(request_id))
    } == {2}


def test_a_reinstated_endpoint_gets_the_next_request_though_it_is_warming_and_ejected() -> None:
    driver = BalancerDriver(settings())
    driver.balancer.endpoints.known[3].ejected_until = driver.now + 60
    driver.feed(state_change(3, EndpointState.DRAINING))
    updated_entries = entries(3, started_at=driver.now, reinstated=True)
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, updated_entries))
    assert only_attempt(driver.arrive(1)).endpoint_id == 3
    # The endpoint has received its first request and is warming up.
    assert only_attempt(driver.arrive(2)).endpoint_id != 3


def test_a_reinstated_endpoint_that_drains_again_gets_no_request() -> None:
    driver = BalancerDriver(settings())
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(3, started_at=driver.now, reinstated=True)))
    driver.feed(state_change(3, EndpointState.DRAINING))
    assert only_attempt(driver.arrive(1)).endpoint_id != 3
    assert not driver.balancer.endpoints.known[3].awaits_first_request
