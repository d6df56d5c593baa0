"""Slow start of endpoints."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, entries, only_attempt, settings

from service_proxy import AttemptStatus, EndpointListUpdate, ListScope, StartAttempt


def test_slow_start_tokens_do_not_fall_with_the_send_rate() -> None:
    # Found in incident ia644e1: few sends allowed fewer still, and a fleet in a roll stayed warming.
    driver = BalancerDriver(settings(), endpoints=entries(1, 2))
    slow_start = driver.balancer.slow_start
    slow_start.send_rate = 40.0
    slow_start.refill_tokens(driver.now, 0.05)
    slow_start.send_rate = 1.0
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(2, started_at=driver.now)))
    warming = driver.balancer.endpoints.known[2]
    warming.slow_start_tokens = 0.0
    slow_start.refill_tokens(driver.now, 0.05)
    assert warming.slow_start_tokens == pytest.approx(40 / 2 * 0.3 * 1.5 * 0.05, rel=0.02)


def test_warming_endpoint_is_sent_no_more_than_its_budget() -> None:
    driver = BalancerDriver(settings(), endpoints=entries(1, 2, 3, 4))
    driver.balancer.limiter.limit = 20.0
    request_id = 0
    out = list[StartAttempt]()
    for _ in range(200):  # a warm phase, so that the proxy knows its own rate: 40 requests a second
        request_id += 1
        driver.advance(0.025)
        out.append(only_attempt(driver.arrive(request_id)))
        if len(out) > 6:
            driver.end_attempt(out.pop(0), AttemptStatus.OK, elapsed=0.15)
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(4, started_at=driver.now)))
    first = driver.now
    to_warming: list[float] = []
    for _ in range(400):
        request_id += 1
        driver.advance(0.025)
        out.append(only_attempt(driver.arrive(request_id)))
        to_warming += [driver.now - first] * (out[-1].endpoint_id == 4)
        driver.end_attempt(out.pop(0), AttemptStatus.OK, elapsed=0.15)
    fair = 40 / 4  # requests a second of a warm endpoint
    for start in to_warming:
        sent = sum(1 for t in to_warming if start <= t < start + 1.5)
        capacity = (0.3 + 0.7 * start / 10) * fair * 1.5
        assert sent <= 3.0 * capacity + 1
    assert to_warming
