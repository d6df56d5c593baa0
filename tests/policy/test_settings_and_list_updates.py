"""What daily operation asks of the module: new settings, servers put back, streams, a window that follows the
servers in use."""

from __future__ import annotations

import pytest
from balancer_driver import SAFE, BalancerDriver, attempts, entries, only_attempt, settings, state_change

from service_proxy import (
    AttemptEnded,
    AttemptStatus,
    EndpointListUpdate,
    EndpointState,
    Idempotency,
    ListScope,
    Reject,
    RequestClass,
    SettingsUpdated,
    StreamStarted,
    Tenant,
)
from service_proxy.policy.timing import CONTROL_INTERVAL_S


def test_a_call_keeps_the_class_with_which_it_came_and_the_next_has_the_new_one() -> None:
    """Its effect has become stricter meanwhile, and its attempts fewer: that binds the next call alone."""
    driver = BalancerDriver(settings())
    first = only_attempt(driver.arrive(1))
    strict = RequestClass(
        "safe",
        priority_weight=10,
        latency_objective=1.0,
        deadline=2.0,
        idempotency=Idempotency.NOT_IDEMPOTENT,
    )
    driver.feed(SettingsUpdated(settings(classes=[strict], max_attempts=1)))
    assert attempts(
        driver.end_attempt(first, AttemptStatus.RESET) + driver.advance(CONTROL_INTERVAL_S), 1
    )  # repeated, as it may be
    second = only_attempt(driver.arrive(2))
    actions = driver.end_attempt(second, AttemptStatus.RESET) + driver.advance(CONTROL_INTERVAL_S)
    assert not attempts(actions, 2)


def test_a_class_that_is_gone_is_turned_away_and_one_that_appears_is_served() -> None:
    driver = BalancerDriver(settings())
    only_attempt(driver.arrive(1, "once"))
    driver.feed(
        SettingsUpdated(
            settings(
                classes=[SAFE, RequestClass("new", priority_weight=1, latency_objective=1.0, deadline=2.0)]
            )
        )
    )
    assert driver.arrive(2, "once")[0] == Reject(2)
    only_attempt(driver.arrive(3, "new"))


def test_what_was_learned_of_a_class_and_what_a_tenant_has_left_stays() -> None:
    driver = BalancerDriver(settings(tenants=[Tenant("t", 10.0)]))
    driver.end_attempt(only_attempt(driver.arrive(1, tenant="t")), AttemptStatus.OK, elapsed=0.4)
    learned = driver.balancer.request_classes["safe"].mean_latency.value
    left = driver.balancer.quotas.remaining["t"]
    driver.feed(SettingsUpdated(settings(tenants=[Tenant("t", 20.0), Tenant("u", 5.0)])))
    assert driver.balancer.request_classes["safe"].mean_latency.value == learned
    assert driver.balancer.quotas.remaining == {"t": left, "u": 5.0}


def test_a_server_put_back_gets_the_next_call_though_it_is_cold_and_ejected() -> None:
    driver = BalancerDriver(settings())
    driver.balancer.endpoints.known[3].ejected_until = driver.now + 60
    driver.feed(state_change(3, EndpointState.DRAINING))
    back = entries(3, started_at=driver.now, reinstated=True)
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, back))
    assert only_attempt(driver.arrive(1)).endpoint_id == 3
    assert only_attempt(driver.arrive(2)).endpoint_id != 3  # it had its call, and is cold


def test_a_server_put_back_that_drains_again_is_owed_nothing() -> None:
    driver = BalancerDriver(settings())
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(3, started_at=driver.now, reinstated=True)))
    driver.feed(state_change(3, EndpointState.DRAINING))
    assert only_attempt(driver.arrive(1)).endpoint_id != 3
    assert not driver.balancer.endpoints.known[3].awaits_first_request


def test_a_stream_is_never_repeated_holds_no_place_and_its_age_says_nothing() -> None:
    driver = BalancerDriver(settings(can_cancel=True))
    out = [only_attempt(driver.arrive(n)) for n in (1, 2)]
    latency = driver.balancer.limiter.latency.count
    for send in out:
        driver.feed(StreamStarted(send.request_id, 0, send.endpoint_id))
    assert driver.balancer.in_flight.counted == 0
    driver.advance(1.5)  # many times the usual latency
    assert driver.balancer.avoided == []
    actions = driver.feed(AttemptEnded(1, 0, out[0].endpoint_id, AttemptStatus.CONNECT_FAILED, 1.5, False))
    assert not attempts(actions) and [a for a in actions if isinstance(a, Reject)]
    driver.end_attempt(out[1], AttemptStatus.OK, elapsed=1.5)
    assert driver.balancer.limiter.latency.count == latency


def test_the_window_follows_the_servers_in_use_through_a_release() -> None:
    driver = BalancerDriver(settings(slow_start_initial_share=1.0, slow_start_window=0.0))
    driver.advance(2 * CONTROL_INTERVAL_S)
    driver.balancer.limiter.limit = 12.0
    for server, left in ((1, 9.0), (2, 6.0), (3, 3.0)):
        driver.feed(state_change(server, EndpointState.DRAINING))
        driver.advance(2 * CONTROL_INTERVAL_S)
        assert driver.balancer.limiter.limit == pytest.approx(left)
    driver.feed(EndpointListUpdate(ListScope.INCREMENTAL, entries(5, 6, 7)))
    driver.advance(2 * CONTROL_INTERVAL_S)
    assert driver.balancer.limiter.limit == pytest.approx(12.0)


def test_a_cold_server_widens_the_window_as_it_warms_and_no_server_leaves_it() -> None:
    driver = BalancerDriver(
        settings(slow_start_initial_share=0.5, slow_start_window=10.0), servers=entries(1)
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
    assert driver.balancer.limiter.limit == pytest.approx(8.0, abs=0.1)  # what it was for comes back
