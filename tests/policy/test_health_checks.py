"""Health checks and the load reports that they bring."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import AttemptStatus, CheckHealth, HealthCheckEnded, Reject


def test_few_requests_and_cheap_health_checks_check_candidates_before_sending() -> None:
    # Found on karachi-main: with one request in two seconds a proxy, steady reports are always stale.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    actions = driver.arrive(1)
    checked = [a.endpoint_id for a in actions if isinstance(a, CheckHealth)]
    assert len(checked) == 3 and not attempts(actions)
    driver.feed(
        *[HealthCheckEnded(endpoint, AttemptStatus.OK, 0.001, {"busy_reqs": 4.0}) for endpoint in checked[:2]]
    )
    idle = driver.feed(HealthCheckEnded(checked[2], AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}))
    assert only_attempt(idle).endpoint_id not in checked[:2]


def test_request_that_waits_for_candidates_is_sent_without_reports_after_a_while() -> None:
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    assert not attempts(driver.arrive(1))
    assert len(attempts(driver.advance(0.011))) == 1


def test_idle_proxy_sends_few_health_checks() -> None:
    # Found at full size: two health checks a second cost several health checks a request where a request a
    # second comes.
    driver = BalancerDriver(settings(can_check_health=True))
    first = [a for a in driver.advance(1.0) if isinstance(a, CheckHealth)]
    driver.feed(
        *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in first]
    )
    probes = 0
    for _ in range(200):
        checked = [a for a in driver.advance(0.1) if isinstance(a, CheckHealth)]
        probes += len(checked)
        driver.feed(
            *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in checked]
        )
    assert 2 <= probes <= 12


def test_new_proxy_checks_endpoints_of_all_zones_first() -> None:
    # Found at full size of riga-orders: for ten seconds every proxy of the crowded room knew nothing of
    # the loads and sent to its own endpoints; the retries that followed kept them crowded.
    listed = [entry for n, zone in enumerate("abc") for entry in entries(*range(n * 8, n * 8 + 8), zone=zone)]
    driver = BalancerDriver(settings(can_check_health=True), endpoints=listed)
    checked = [a.endpoint_id for a in driver.advance(0.3) if isinstance(a, CheckHealth)]
    assert 6 <= len(checked) <= 10 and len(set(checked)) == len(checked)
    assert any(endpoint >= 8 for endpoint in checked)


def test_request_with_little_time_is_sent_once_its_candidates_are_checked() -> None:
    # Found on the quiet day of pratiche-nord: inner requests with less than 0.1 s left were rejected while
    # they waited a hundredth for their health checks.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    driver.balancer.request_classes["safe"].mean_latency.value = 0.05
    actions = driver.arrive(1, budget=0.08)
    assert not attempts(actions) and Reject(1) not in actions
    assert len(attempts(driver.advance(0.012))) == 1
