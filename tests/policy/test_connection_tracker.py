"""Open, idle and new connections."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import AttemptStatus, CloseIdleConnections


def test_live_endpoint_that_accepts_no_more_connections_is_not_ejected() -> None:
    # Found on a full-size day of central-santiago: ejected as dead, it left its requests to the rest.
    driver = BalancerDriver(settings(), endpoints=entries(1))
    endpoint = driver.balancer.endpoints.known[1]
    first = only_attempt(driver.arrive(1, "once"))
    second = only_attempt(driver.arrive(2, "once"))
    third = only_attempt(driver.arrive(3, "once"))
    driver.end_attempt(first, AttemptStatus.OK)
    driver.end_attempt(second, AttemptStatus.CONNECT_FAILED, final=True)
    assert not endpoint.connection_limit  # one may be chance
    driver.end_attempt(third, AttemptStatus.CONNECT_FAILED, final=True)
    assert not endpoint.ejected_until
    retry = attempts(driver.arrive(4, "once")) + attempts(driver.arrive(5, "once"))
    assert len(retry) == 1 and endpoint.in_flight == 1  # one connection is open: one request at a time


def test_reset_on_an_idle_connection_does_not_eject_the_endpoint() -> None:
    # Found on idle_reap days of pratiche-nord: each lost idle connection ejected a sound endpoint, and the
    # next idle one was used all the same.
    driver = BalancerDriver(settings(), endpoints=entries(1))
    driver.end_attempt(only_attempt(driver.arrive(1, "once")), AttemptStatus.OK)
    driver.advance(3.0)
    attempt = only_attempt(driver.arrive(2, "once"))
    assert CloseIdleConnections(1) not in driver.actions
    driver.end_attempt(attempt, AttemptStatus.RESET, elapsed=0.001)
    assert not driver.balancer.endpoints.known[1].ejected_until
    driver.end_attempt(only_attempt(driver.arrive(3, "once")), AttemptStatus.OK)
    driver.advance(3.0)
    actions = driver.arrive(4, "once")
    assert actions.index(CloseIdleConnections(1)) < actions.index(only_attempt(actions))


def test_requests_keep_to_open_connections_where_new_ones_are_slow() -> None:
    # Found in incident i513ea5: a third of the attempts got no connection while open ones stood idle.
    def second_pick(new_cost: float) -> int:
        driver = BalancerDriver(settings(can_check_health=False), endpoints=entries(1, 2))
        first = only_attempt(driver.arrive(1))
        for request_id in range(2, 12):  # open on one endpoint, and slow or not when opened
            driver.end_attempt(first, AttemptStatus.OK, elapsed=0.1)
            driver.balancer.connections.new_latency.add(new_cost, 30)
            driver.balancer.connections.open_latency.add(1.0, 30)
            first = only_attempt(driver.arrive(request_id))
        return int(only_attempt(driver.arrive(12)).endpoint_id == first.endpoint_id)

    assert second_pick(new_cost=4.0) == 1 and second_pick(new_cost=1.0) == 0
