"""Ejection and readmission of outliers."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import AttemptEnded, AttemptStatus, CheckHealth, HealthCheckEnded, Reject
from service_proxy.policy.connections import CONNECTION_LIMIT_S
from service_proxy.policy.outlier_detection import FAILURE_MEMORY_S


def test_refused_connections_eject_and_a_health_check_readmits() -> None:
    driver = BalancerDriver(settings(can_check_health=True), endpoints=entries(1, 2))
    attempt = only_attempt(driver.arrive(1))
    driver.end_attempt(attempt, AttemptStatus.CONNECT_FAILED)
    others = {only_attempt(driver.arrive(request_id)).endpoint_id for request_id in (2, 3, 4)}
    assert attempt.endpoint_id not in others
    driver.advance(1.0)
    assert CheckHealth(attempt.endpoint_id) in driver.actions
    driver.feed(HealthCheckEnded(attempt.endpoint_id, AttemptStatus.OK, 0.001, None))
    assert not driver.balancer.endpoints.known[attempt.endpoint_id].ejected_until


def test_ejections_by_uncertain_signs_are_limited() -> None:
    # If all endpoints are slow, no endpoint is at fault.
    driver = BalancerDriver(settings(), endpoints=entries(*range(1, 7)))
    outliers = driver.balancer.outliers
    endpoints = driver.balancer.endpoints.known.values()
    ejected = [outliers.eject(endpoint, driver.now, is_certain=False) for endpoint in endpoints]
    assert sum(ejected) == 2


def test_hanging_endpoint_is_ejected_by_the_ages_of_its_attempts() -> None:
    driver = BalancerDriver(settings(), endpoints=entries(1, 2, 3))
    to_hanging = 0
    for request_id in range(60):
        driver.advance(0.05)
        for attempt in attempts(driver.arrive(request_id, "once")):
            if attempt.endpoint_id == 1:
                to_hanging += 1
            else:
                driver.end_attempt(attempt, AttemptStatus.OK)
    assert to_hanging <= 8  # An even share would be 20 attempts.


def test_endpoint_that_fails_fast_is_ejected() -> None:
    driver = BalancerDriver(settings(max_attempts=1), endpoints=entries(1, 2, 3))
    failing_attempts = 0
    for request_id in range(200):
        driver.advance(0.02)
        for attempt in attempts(driver.arrive(request_id, "once")):
            failing_attempts += attempt.endpoint_id == 1
            is_failing = attempt.endpoint_id == 1
            driver.end_attempt(
                attempt,
                AttemptStatus.ERROR if is_failing else AttemptStatus.OK,
                elapsed=0.001 if is_failing else 0.05,
            )
    assert failing_attempts <= 30  # An even share would be 66 attempts, and the endpoint looks idle.


def test_resets_eject_only_without_a_recent_answer_or_after_three_in_a_row() -> None:
    # Guards against an ejection at each reset, although the endpoint had answered other requests milliseconds
    # before. The resets ejected endpoints until none was left.
    driver = BalancerDriver(settings(), endpoints=entries(1, 2))
    first_failed = only_attempt(driver.arrive(1, "once"))
    driver.end_attempt(first_failed, AttemptStatus.RESET)
    known = driver.balancer.endpoints.known
    assert known[first_failed.endpoint_id].ejected_until
    other = known[3 - first_failed.endpoint_id]
    driver.end_attempt(only_attempt(driver.arrive(2, "once")), AttemptStatus.OK)
    for request_id, status in enumerate(
        (AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED, AttemptStatus.OK, AttemptStatus.RESET), 3
    ):
        attempt = only_attempt(driver.arrive(request_id, "once"))
        driver.end_attempt(attempt, status, elapsed=0.001, final=True)
        assert attempt.endpoint_id == other.endpoint_id and not other.ejected_until
    driver.advance(CONNECTION_LIMIT_S + 0.1)
    driver.end_attempt(only_attempt(driver.arrive(7, "once")), AttemptStatus.OK)
    sent_attempts = [only_attempt(driver.arrive(request_id, "once")) for request_id in (8, 9, 10)]
    for broken, attempt in enumerate(
        sent_attempts, 1
    ):  # A process that terminates breaks all its connections.
        driver.end_attempt(attempt, AttemptStatus.RESET)
        assert bool(other.ejected_until) == (broken >= 3)


def test_failure_share_is_kept_per_class_and_decays() -> None:
    # Guards against endpoints that reject only one class, each request after 354 ms.
    driver = BalancerDriver(settings(), endpoints=entries(1, 2))
    outliers = driver.balancer.outliers
    attempt = only_attempt(driver.arrive(1, "once"))
    driver.end_attempt(attempt, AttemptStatus.REJECTED, elapsed=0.354, final=True)
    failed = driver.balancer.endpoints.known[attempt.endpoint_id]
    assert outliers.failure_share(failed, "once", driver.now) == pytest.approx(0.3)
    assert outliers.failure_share(failed, "safe", driver.now) == 0.0
    assert outliers.pool_failure_share("once", driver.now) == pytest.approx(0.15)
    assert all(
        only_attempt(driver.arrive(request_id, "once")).endpoint_id != failed.endpoint_id
        for request_id in (2, 3)
    )
    decayed = outliers.failure_share(failed, "once", driver.now + FAILURE_MEMORY_S)
    assert decayed == pytest.approx(0.3 / 2.71828, rel=1e-3)


def test_stall_of_the_proxy_does_not_count_as_slow_endpoints() -> None:
    # Guards against a pause of the proxy that is recorded as slow endpoints. After a pause of two seconds,
    # proxies lowered their limits and ejected endpoints because of answers that had arrived during the pause.
    driver = BalancerDriver(settings(can_check_health=False), endpoints=entries(1, 2, 3))
    sent_attempts = [only_attempt(driver.arrive(request_id)) for request_id in range(3)]
    limiter = driver.balancer.limiter
    before_stall = (limiter.limit, limiter.mean_latency)
    driver.now += 1.9
    actions = driver.feed(
        *[
            AttemptEnded(attempt.request_id, 0, attempt.endpoint_id, AttemptStatus.OK, 1.9, True)
            for attempt in sent_attempts[:2]
        ],
        AttemptEnded(
            sent_attempts[2].request_id, 0, sent_attempts[2].endpoint_id, AttemptStatus.TIMEOUT, 1.9, False
        ),
    )
    assert (limiter.limit, limiter.mean_latency) == before_stall and Reject(
        sent_attempts[2].request_id
    ) in actions
    assert not any(endpoint.ejected_until for endpoint in driver.balancer.endpoints.known.values())
