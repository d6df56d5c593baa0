"""Selection of the endpoint for an attempt."""

from __future__ import annotations

from balancer_driver import BalancerDriver, entries, only_attempt, settings

from service_proxy import AttemptStatus, CheckHealth, EndpointEntry, HealthCheckEnded


def test_selection_prefers_the_lowest_load_including_own_attempts() -> None:
    driver = BalancerDriver(settings(can_check_health=True), endpoints=entries(1, 2))
    driver.feed(
        HealthCheckEnded(1, AttemptStatus.OK, 0.001, {"busy_reqs": 5.0}),
        HealthCheckEnded(2, AttemptStatus.OK, 0.001, {"busy_reqs": 3.0}),
    )
    endpoints = [only_attempt(driver.arrive(request_id)).endpoint_id for request_id in (1, 2)]
    # The load of endpoint 2 is 3 and then, with an own attempt, 4, compared with 5.
    assert endpoints == [2, 2]
    next_endpoints = {only_attempt(driver.arrive(request_id)).endpoint_id for request_id in (3, 4)}
    assert 1 in next_endpoints


def test_selection_without_health_checks_uses_own_attempts_alone() -> None:
    driver = BalancerDriver(settings(can_check_health=False), endpoints=entries(1, 2, 3))
    endpoints = [only_attempt(driver.arrive(request_id)).endpoint_id for request_id in range(3)]
    assert sorted(endpoints) == [1, 2, 3]
    assert not [a for a in driver.advance(5.0) if isinstance(a, CheckHealth)]


def test_selection_scales_by_the_listed_weight() -> None:
    listed = [EndpointEntry(1, zone="a", weight=3.0), EndpointEntry(2, zone="a", weight=1.0)]
    driver = BalancerDriver(settings(), endpoints=listed)
    endpoints = [only_attempt(driver.arrive(request_id)).endpoint_id for request_id in range(4)]
    assert endpoints.count(1) == 3


def test_cross_zone_price_keeps_requests_in_their_zone() -> None:
    listed = entries(1, zone="a") + entries(2, zone="b")
    driver = BalancerDriver(settings(price_cross_zone=0.5), endpoints=listed)
    assert {only_attempt(driver.arrive(request_id)).endpoint_id for request_id in range(4)} == {1}


def test_unchecked_endpoint_is_assumed_as_loaded_as_its_zone() -> None:
    # Guards against endpoints that look idle because no health check reached them. The zone with the most
    # traffic sent only to its own unchecked endpoints while other zones were idle.
    listed = entries(1, 2, 3, zone="a") + entries(4, 5, zone="b")
    driver = BalancerDriver(settings(can_check_health=True, price_cross_zone=0.04), endpoints=listed)
    reports = {1: 9.0, 2: 9.0, 4: 0.0}
    driver.feed(
        *[
            HealthCheckEnded(endpoint, AttemptStatus.OK, 0.01, {"busy_reqs": busy})
            for endpoint, busy in reports.items()
        ]
    )
    assert {only_attempt(driver.arrive(request_id)).endpoint_id for request_id in range(3)} <= {4, 5}
