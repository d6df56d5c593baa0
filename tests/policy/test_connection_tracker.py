"""Open, idle and new connections."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import AttemptStatus, CloseIdleConnections


def test_live_endpoint_that_accepts_no_more_connections_is_not_ejected() -> None:
    # Guards against the ejection of a live endpoint that accepts no more connections, which moved its
    # requests to the other endpoints.
    driver = BalancerDriver(settings(), endpoints=entries(1))
    endpoint = driver.balancer.endpoints.known[1]
    first = only_attempt(driver.arrive(1, "once"))
    second = only_attempt(driver.arrive(2, "once"))
    third = only_attempt(driver.arrive(3, "once"))
    driver.end_attempt(first, AttemptStatus.OK)
    driver.end_attempt(second, AttemptStatus.CONNECT_FAILED, final=True)
    assert not endpoint.connection_limit  # One failed connect may be chance.
    driver.end_attempt(third, AttemptStatus.CONNECT_FAILED, final=True)
    assert not endpoint.ejected_until
    next_attempts = attempts(driver.arrive(4, "once")) + attempts(driver.arrive(5, "once"))
    # One connection is open and carries one request at a time.
    assert len(next_attempts) == 1 and endpoint.in_flight == 1


def test_reset_on_an_idle_connection_does_not_eject_the_endpoint() -> None:
    # Guards against the ejection of a healthy endpoint whose idle connection was lost, and against the use of
    # the next connection that was idle for as long.
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


def test_requests_reuse_open_connections_if_new_ones_are_slow() -> None:
    # Guards against new connections to other endpoints while open ones are idle. If new connections are slow,
    # a third of the attempts got no connection.
    def reuses_open_connection(new_cost: float) -> int:
        driver = BalancerDriver(settings(can_check_health=False), endpoints=entries(1, 2))
        first = only_attempt(driver.arrive(1))
        # Opens a connection to one endpoint, and records slow or normal latencies of new connections.
        for request_id in range(2, 12):
            driver.end_attempt(first, AttemptStatus.OK, elapsed=0.1)
            driver.balancer.connections.new_latency.add(new_cost, 30)
            driver.balancer.connections.open_latency.add(1.0, 30)
            first = only_attempt(driver.arrive(request_id))
        return int(only_attempt(driver.arrive(12)).endpoint_id == first.endpoint_id)

    assert reuses_open_connection(new_cost=4.0) == 1 and reuses_open_connection(new_cost=1.0) == 0
