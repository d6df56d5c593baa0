"""Scheduling of attempts."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, attempts, only_attempt, settings

from service_proxy import AttemptStatus, Fail, Idempotency, Reject, RequestArrived, RequestClass


def test_all_events_of_a_batch_are_processed_before_the_heaviest_request_is_sent() -> None:
    driver = BalancerDriver(settings())
    driver.balancer.limiter.limit = 1.0
    actions = driver.feed(RequestArrived(1, "once", 2.0), RequestArrived(2, "safe", 2.0))
    assert only_attempt(actions).request_id == 2


def test_class_without_late_weight_times_out_at_its_latency_objective() -> None:
    driver = BalancerDriver(settings())
    assert only_attempt(driver.arrive(1)).timeout == pytest.approx(1.0)
    late = RequestClass(
        "late",
        priority_weight=1,
        latency_objective=1.0,
        deadline=2.0,
        late_weight_share=0.5,
        idempotency=Idempotency.NOT_IDEMPOTENT,
    )
    driver = BalancerDriver(settings(classes=[late]))
    attempt = only_attempt(driver.arrive(1, "late"))
    assert attempt.timeout == pytest.approx(2.0)
    driver.now += 2.0
    assert Fail(1) in driver.end_attempt(attempt, AttemptStatus.TIMEOUT, elapsed=2.0)


def test_request_with_too_little_time_is_not_sent_while_others_are_in_flight() -> None:
    # Guards against attempts with less than a mean latency left, whose answers came too late.
    driver = BalancerDriver(settings())
    driver.balancer.request_classes["safe"].mean_latency.value = 0.4
    only_attempt(driver.arrive(1))
    actions = driver.arrive(2, budget=0.3)
    assert Reject(2) in actions and not attempts(actions)
    alone = BalancerDriver(settings())
    alone.balancer.request_classes["safe"].mean_latency.value = 0.4
    assert len(attempts(alone.arrive(2, budget=0.3))) == 1
