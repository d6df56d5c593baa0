"""Admission of arriving requests."""

from __future__ import annotations

import pytest
from balancer_driver import ONCE, SAFE, BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import (
    Action,
    AttemptStatus,
    Balancer,
    EndpointListUpdate,
    ListScope,
    Reject,
    RequestArrived,
    StartAttempt,
    Tenant,
)


def test_requests_over_their_tenants_quota_weigh_less() -> None:
    driver = BalancerDriver(
        settings(tenants=[Tenant("t", 2.0)], over_quota_weight_share=0.1, proxy_count=1), endpoints=[]
    )
    driver.feed(*[RequestArrived(request_id, "safe", 2.0, "t") for request_id in range(4)])
    assert [request.weight for request in driver.balancer.queue.requests] == [10.0, 10.0, 1.0, 1.0]


def test_late_attempts_are_detected_by_their_budget() -> None:
    # Guards against a few long budgets that make every first attempt look late.
    driver = BalancerDriver(settings())
    state = driver.balancer.request_classes["safe"]
    for _ in range(40):
        assert driver.balancer.admission.remaining_objective(state, 1.2, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 1.4, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 1.2, False) == pytest.approx(1.0)
    assert driver.balancer.admission.remaining_objective(state, 0.9, False) == pytest.approx(
        1.0 - (2.0 - 0.9)
    )
    inner = BalancerDriver(settings(tier_index=1))
    assert inner.balancer.admission.remaining_objective(
        inner.balancer.request_classes["safe"], 0.3, False
    ) == pytest.approx(1.0)


def test_a_first_attempt_with_a_short_budget_is_not_late_where_clients_flag_retries() -> None:
    # Guards against the rejection of first attempts with a short budget as useless: a quarter of the requests
    # was rejected while endpoints were idle.
    for flags_retries, marked_as_retry, is_sent in (
        (True, False, True),
        (True, True, False),
        (False, False, False),
    ):
        driver = BalancerDriver(settings(clients_flag_retries=flags_retries))
        for request_id in range(20):
            driver.end_attempt(only_attempt(driver.arrive(request_id)), AttemptStatus.OK)
        assert bool(attempts(driver.arrive(99, budget=0.9, is_retry=marked_as_retry))) == is_sent


def test_nothing_is_shed_by_weight_while_the_limit_is_not_filled() -> None:
    """Check that a shed threshold doesn't keep requests from filling the limit, so that it can grow."""
    balancer = Balancer(settings(classes=[SAFE, ONCE]), 1)
    balancer.handle(100.0, [EndpointListUpdate(ListScope.CACHED, entries(1, 2, 3, 4))])
    balancer.limiter.shed_threshold = 1.0
    balancer.limiter.threshold_shed_share = 1.0
    balancer.limiter.limit = 5.0
    actions: list[Action] = []
    for request_id in range(8):
        actions += balancer.handle(
            100.001 + request_id / 1000,
            [RequestArrived(request_id=request_id, class_name="once", time_budget=2.0)],
        )
    assert [action.request_id for action in actions if isinstance(action, StartAttempt)] == [0, 1, 2, 3]
    assert [action.request_id for action in actions if isinstance(action, Reject)] == [4, 5, 6, 7]
