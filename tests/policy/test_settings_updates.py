"""New settings while requests are open."""

from __future__ import annotations

from balancer_driver import SAFE, BalancerDriver, attempts, only_attempt, settings

from service_proxy import AttemptStatus, Idempotency, Reject, RequestClass, SettingsUpdated, Tenant
from service_proxy.policy.timing import CONTROL_INTERVAL_S


def test_open_request_keeps_its_class_settings_and_the_next_request_gets_the_new_ones() -> None:
    """Check that stricter idempotency and fewer attempts apply only to the next request."""
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
    )  # The first request may still be retried.
    second = only_attempt(driver.arrive(2))
    actions = driver.end_attempt(second, AttemptStatus.RESET) + driver.advance(CONTROL_INTERVAL_S)
    assert not attempts(actions, 2)


def test_a_removed_class_is_rejected_and_a_new_one_is_served() -> None:
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


def test_class_statistics_and_remaining_quotas_survive_new_settings() -> None:
    driver = BalancerDriver(settings(tenants=[Tenant("t", 10.0)]))
    driver.end_attempt(only_attempt(driver.arrive(1, tenant="t")), AttemptStatus.OK, elapsed=0.4)
    mean_latency = driver.balancer.request_classes["safe"].mean_latency.value
    remaining = driver.balancer.quotas.remaining["t"]
    driver.feed(SettingsUpdated(settings(tenants=[Tenant("t", 20.0), Tenant("u", 5.0)])))
    assert driver.balancer.request_classes["safe"].mean_latency.value == mean_latency
    assert driver.balancer.quotas.remaining == {"t": remaining, "u": 5.0}
