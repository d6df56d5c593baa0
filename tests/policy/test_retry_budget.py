"""Retry budget of retries and hedges."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, only_attempt, settings

from service_proxy import AttemptStatus
from service_proxy.policy.retry_budget import UNEXECUTED_RETRY_COST


def test_retries_keep_to_their_budget() -> None:
    driver = BalancerDriver(settings(max_attempts=3))
    attempt_count = 0
    for request_id in range(200):
        driver.advance(0.02)
        pending = [(attempt, 0) for attempt in attempts(driver.arrive(request_id))]
        while pending:
            attempt, number = pending.pop()
            attempt_count += 1
            pending += [
                (retry, number + 1)
                for retry in attempts(
                    driver.end_attempt(attempt, AttemptStatus.ERROR, number), attempt.request_id
                )
            ]
    assert attempt_count <= 200 * 1.15 + 5


def test_retry_of_an_attempt_that_was_never_executed_costs_less() -> None:
    # Guards against a retry budget of inner tiers that is spent on rejected requests: each request that was
    # then not retried failed the request of its caller.
    driver = BalancerDriver(settings())
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    first = only_attempt(driver.arrive(1))
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    assert len(attempts(driver.end_attempt(first, AttemptStatus.REJECTED))) == 1
    driver.balancer.retry_budget.tokens = UNEXECUTED_RETRY_COST
    assert not attempts(driver.end_attempt(only_attempt(driver.arrive(2)), AttemptStatus.ERROR))
