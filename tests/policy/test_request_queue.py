"""Queue of requests that wait for an attempt."""

from __future__ import annotations

from balancer_driver import BalancerDriver, settings

from service_proxy import Reject, RequestArrived, RequestClass


def fill_limit(driver: BalancerDriver) -> None:
    """Fill the limit with requests, so that the next requests are queued."""
    driver.balancer.limiter.limit = 2.0
    driver.arrive(1001)
    driver.arrive(1002)


def test_queue_keeps_requests_with_enough_time_and_rejects_the_lightest() -> None:
    light = RequestClass("cheap", priority_weight=1, latency_objective=1.0, deadline=2.0)
    heavy = RequestClass("dear", priority_weight=9, latency_objective=1.0, deadline=2.0)
    driver = BalancerDriver(settings(classes=[light, heavy, *settings().classes]))
    fill_limit(driver)
    limiter = driver.balancer.limiter
    # The wait per position is 0.4 / 2 = 0.2 s.
    limiter.latency.value = 0.4
    limiter.latency.count = 0.0
    for state in driver.balancer.request_classes.values():
        state.mean_latency.value = 0.2
    # With a latency objective of 1 s, 0.2 n + 2 x 0.2 <= 1 allows three positions.
    actions = driver.feed(*[RequestArrived(request_id, "cheap", 2.0) for request_id in (1, 2, 3, 4)])
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(4)]
    # A heavier request displaces the lightest queued request and is sent first.
    actions = driver.arrive(5, "dear")
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(3)]
    assert [request.request_id for request in driver.balancer.queue.requests] == [5, 1, 2]


def test_one_position_remains_however_slow_endpoints_are() -> None:
    driver = BalancerDriver(settings())
    fill_limit(driver)
    driver.balancer.limiter.latency.value = 50.0
    actions = driver.arrive(1)
    assert not [a for a in actions if isinstance(a, Reject)]
    assert [request.request_id for request in driver.balancer.queue.requests] == [1]
