"""Sequences of events against the complete Balancer."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import (
    Action,
    AttemptEnded,
    AttemptStatus,
    EndpointListUpdate,
    Fail,
    HealthCheckEnded,
    ListScope,
    Reject,
    RequestAbandoned,
    RequestArrived,
    StreamStarted,
    TimerFired,
)


def test_request_without_endpoints_is_queued_and_rejected_in_time() -> None:
    driver = BalancerDriver(settings(), endpoints=[])
    assert not attempts(driver.arrive(1, "once", budget=0.8))
    actions = driver.advance(0.8)
    assert Reject(1) in actions and not attempts(actions)


def test_queued_request_is_sent_when_an_endpoint_is_listed() -> None:
    driver = BalancerDriver(settings(), endpoints=[])
    driver.arrive(1)
    assert only_attempt(driver.feed(EndpointListUpdate(ListScope.FULL, entries(5)))).endpoint_id == 5


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    driver = BalancerDriver(settings())
    attempt = only_attempt(driver.arrive(1, "once", budget=0.9))
    driver.now += 0.9
    assert Fail(1) in driver.end_attempt(attempt, AttemptStatus.TIMEOUT, elapsed=0.9)


def test_request_abandoned_in_its_arrival_batch_gets_no_action() -> None:
    # Guards against an abandoned request that still gets an action: arrivals were opened after all other
    # events of their batch, so the abandonment had no effect.
    driver = BalancerDriver(settings())
    actions = driver.feed(RequestArrived(9, "safe", 2.0), RequestAbandoned(9))
    actions += driver.advance(3.0)
    assert not any(isinstance(a, Reject | Fail) or attempts([a]) for a in actions)


def test_events_of_ended_or_unknown_requests_cause_no_action() -> None:
    driver = BalancerDriver(settings())
    attempt = only_attempt(driver.arrive(1))
    driver.end_attempt(attempt, AttemptStatus.OK)
    actions: list[Action] = driver.end_attempt(attempt, AttemptStatus.OK)
    actions += driver.feed(RequestAbandoned(1), RequestAbandoned(99), StreamStarted(1, 0, 1))
    assert not [a for a in actions if isinstance(a, Fail | Reject) or attempts([a])]
    assert not [
        a
        for a in driver.feed(RequestArrived(1, "safe", 2.0))
        if isinstance(a, Fail | Reject) or attempts([a])
    ]


def test_started_stream_causes_no_further_action() -> None:
    driver = BalancerDriver(settings(can_cancel=True))
    attempt = only_attempt(driver.arrive(1))
    driver.feed(StreamStarted(1, 0, attempt.endpoint_id))
    actions = driver.advance(4.0)
    assert not [a for a in actions if isinstance(a, Fail | Reject) or attempts([a])]
    assert driver.balancer.in_flight.counted == 0


@pytest.mark.parametrize(("class_name", "budget"), [("unknown", 2.0), ("safe", 0.0), ("once", -1.0)])
def test_invalid_request_is_rejected_once_and_at_once(class_name: str, budget: float) -> None:
    driver = BalancerDriver(settings())
    actions = (
        driver.arrive(5, class_name, budget) + driver.arrive(5, class_name, budget) + driver.advance(3.0)
    )
    answers = [a for a in actions if isinstance(a, Reject | Fail) or attempts([a])]
    assert answers == [Reject(5)]


def test_events_with_unknown_ids_or_invalid_values_change_nothing() -> None:
    driver = BalancerDriver(settings(can_check_health=True))
    driver.feed(
        HealthCheckEnded(77, AttemptStatus.OK, 0.1, {"busy_reqs": 1.0}),
        TimerFired(12345),
        EndpointListUpdate(ListScope.FULL, []),
    )
    driver.feed(
        HealthCheckEnded(1, AttemptStatus.OK, 0.1, {"busy_reqs": float("nan")}),
        EndpointListUpdate(ListScope.FULL, entries(1)),
    )
    for _ in range(3):  # The clock does not advance.
        driver.feed(TimerFired(1))
    assert only_attempt(driver.arrive(1)).endpoint_id == 1


def test_a_stream_is_never_retried_and_does_not_count_to_the_limit() -> None:
    driver = BalancerDriver(settings(can_cancel=True))
    sent_attempts = [only_attempt(driver.arrive(n)) for n in (1, 2)]
    latency_count = driver.balancer.limiter.latency.count
    for attempt in sent_attempts:
        driver.feed(StreamStarted(attempt.request_id, 0, attempt.endpoint_id))
    assert driver.balancer.in_flight.counted == 0
    driver.advance(1.5)  # Many times the mean latency.
    assert driver.balancer.ejected_endpoint_ids == []
    actions = driver.feed(
        AttemptEnded(1, 0, sent_attempts[0].endpoint_id, AttemptStatus.CONNECT_FAILED, 1.5, False)
    )
    assert not attempts(actions) and [a for a in actions if isinstance(a, Reject)]
    driver.end_attempt(sent_attempts[1], AttemptStatus.OK, elapsed=1.5)
    assert driver.balancer.limiter.latency.count == latency_count
