"""Health checks and their load reports."""

from __future__ import annotations

from balancer_driver import BalancerDriver, attempts, entries, only_attempt, settings

from service_proxy import AttemptStatus, CheckHealth, HealthCheckEnded, Reject


def test_candidates_are_checked_before_sending_if_requests_are_few_and_checks_cheap() -> None:
    # At one request in two seconds per proxy, regular load reports are always out of date.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    actions = driver.arrive(1)
    checked = [a.endpoint_id for a in actions if isinstance(a, CheckHealth)]
    assert len(checked) == 3 and not attempts(actions)
    driver.feed(
        *[HealthCheckEnded(endpoint, AttemptStatus.OK, 0.001, {"busy_reqs": 4.0}) for endpoint in checked[:2]]
    )
    actions_after_reports = driver.feed(
        HealthCheckEnded(checked[2], AttemptStatus.OK, 0.001, {"busy_reqs": 0.0})
    )
    assert only_attempt(actions_after_reports).endpoint_id not in checked[:2]


def test_request_is_sent_without_load_reports_after_the_wait() -> None:
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    assert not attempts(driver.arrive(1))
    assert len(attempts(driver.advance(0.011))) == 1


def test_idle_proxy_sends_few_health_checks() -> None:
    # Guards against several health checks per request: two checks per second were sent while one request per
    # second arrived.
    driver = BalancerDriver(settings(can_check_health=True))
    first = [a for a in driver.advance(1.0) if isinstance(a, CheckHealth)]
    driver.feed(
        *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in first]
    )
    check_count = 0
    for _ in range(200):
        checked = [a for a in driver.advance(0.1) if isinstance(a, CheckHealth)]
        check_count += len(checked)
        driver.feed(
            *[HealthCheckEnded(a.endpoint_id, AttemptStatus.OK, 0.001, {"busy_reqs": 0.0}) for a in checked]
        )
    assert 2 <= check_count <= 12


def test_new_proxy_checks_endpoints_of_all_zones_first() -> None:
    # Guards against proxies without load data at the start. For ten seconds the proxies of an overloaded zone
    # sent only to endpoints of this zone, and the retries that followed kept these endpoints overloaded.
    listed = [entry for n, zone in enumerate("abc") for entry in entries(*range(n * 8, n * 8 + 8), zone=zone)]
    driver = BalancerDriver(settings(can_check_health=True), endpoints=listed)
    checked = [a.endpoint_id for a in driver.advance(0.3) if isinstance(a, CheckHealth)]
    assert 6 <= len(checked) <= 10 and len(set(checked)) == len(checked)
    assert any(endpoint >= 8 for endpoint in checked)


def test_request_with_little_time_is_sent_after_the_wait_for_its_candidates() -> None:
    # Guards against the rejection of inner requests with less than 0.1 s left while they wait 0.01 s for
    # health checks of their candidates.
    driver = BalancerDriver(
        settings(can_check_health=True, price_probe=0.001), endpoints=entries(1, 2, 3, 4, 5)
    )
    driver.balancer.request_classes["safe"].mean_latency.value = 0.05
    actions = driver.arrive(1, budget=0.08)
    assert not attempts(actions) and Reject(1) not in actions
    assert len(attempts(driver.advance(0.012))) == 1
