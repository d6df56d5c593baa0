"""Watches on the endpoint list."""

from __future__ import annotations

from itertools import pairwise

import pytest
from balancer_driver import BalancerDriver, entries, settings

from service_proxy import (
    AttemptStatus,
    CheckHealth,
    EndpointListUpdate,
    HealthCheckEnded,
    ListScope,
    WatchEndpoints,
)
from service_proxy.policy.endpoint_watch import FAILED_POLL_NOTIFIED_S, MAX_POLL_FAILURE_S, POLL_ANSWER_S

PROXY_COUNT = 200  # Proxies that poll the same discovery.


def first_watch_start(seed: int, max_poll_interval: float) -> float:
    driver = BalancerDriver(settings(polls_discovery=True, max_poll_interval=max_poll_interval), seed=seed)
    began_at = driver.now
    while WatchEndpoints(True) not in driver.advance(0.05):
        pass
    driver.advance(1.0)
    assert driver.actions.count(WatchEndpoints(True)) == 1
    return driver.now - 1.0 - began_at


@pytest.mark.parametrize("max_poll_interval", [4.0, 10.0])
def test_first_watches_of_a_fleet_are_spread_over_half_of_the_poll_interval(max_poll_interval: float) -> None:
    # Guards against first polls within 2 s of the start: proxies that started after an outage polled before
    # the proxies that could poll at no other time.
    starts = sorted(first_watch_start(seed, max_poll_interval) for seed in range(PROXY_COUNT))
    longest = 0.5 * max_poll_interval
    assert starts[-1] <= longest + 0.1  # The tolerance is two control steps.
    for share in (0.25, 0.5, 0.75):
        assert abs(starts[int(share * PROXY_COUNT)] - share * longest) <= 0.1 * longest
    assert WatchEndpoints(True) not in BalancerDriver(settings()).advance(12.0)


def watch_starts_in_outage(seed: int, poll_duration: float, drain_grace: float) -> list[float]:
    """Return when a proxy starts its watches within 30 s; each watch fails after `poll_duration` seconds."""
    driver = BalancerDriver(settings(polls_discovery=True, drain_grace=drain_grace), seed=seed)
    began_at = driver.now
    started: list[float] = []
    while driver.now < began_at + max(30.0, 4 * poll_duration):
        if WatchEndpoints(True) in driver.advance(0.05):
            started.append(driver.now - began_at)
            driver.advance(poll_duration)
            driver.feed(EndpointListUpdate(ListScope.FAILED))
    return started


@pytest.mark.parametrize("drain_grace", [0.5, 2.0])
@pytest.mark.parametrize("poll_duration", [0.0, 1.0, 2.0])
def test_watch_after_a_failure_is_answered_within_the_drain_grace(
    poll_duration: float, drain_grace: float
) -> None:
    # Guards against a backoff that exceeds the drain grace. After an outage the third backoff was 4 to 8 s,
    # and a drain that discovery had when it recovered counted as notified before the list arrived.
    for seed in range(20):
        started = watch_starts_in_outage(seed, poll_duration, drain_grace)
        gaps = [later - earlier for earlier, later in pairwise(started)]
        assert len(gaps) >= 3
        # The tolerance is two control steps.
        assert max(gaps) + POLL_ANSWER_S <= FAILED_POLL_NOTIFIED_S + drain_grace + 0.1


@pytest.mark.parametrize("drain_grace", [0.5, 2.0])
@pytest.mark.parametrize("active_for", [2.0, 2.2, 5.0, 20.0])
def test_watch_that_fails_after_a_long_wait_is_repeated_within_the_drain_grace(
    active_for: float, drain_grace: float
) -> None:
    """Guards against a pause that ignores the time for which the failed watch owed its answer.

    Discovery had the change up to MAX_POLL_FAILURE_S before the watch failed.
    """
    backoffs = []
    for seed in range(100):
        started = watch_starts_in_outage(seed, active_for, drain_grace)
        backoffs.append(started[1] - started[0] - active_for)
    # The tolerance is two control steps.
    notified_after = FAILED_POLL_NOTIFIED_S + drain_grace - MAX_POLL_FAILURE_S
    assert max(backoffs) + POLL_ANSWER_S <= notified_after + 0.1


def test_watches_of_a_fleet_that_failed_together_are_evenly_spaced() -> None:
    # Guards against bursts of polls after an outage: discovery answers about 40 polls per second one after
    # another, and a poll that waits for 2 s fails.
    polls = [start for seed in range(PROXY_COUNT) for start in watch_starts_in_outage(seed, 2.0, 0.5)]
    polls_in_2_s = [sum(second <= start < second + 2 for start in polls) for second in range(4, 27)]
    assert max(polls_in_2_s) <= 0.6 * PROXY_COUNT
    assert sum(polls_in_2_s) / len(polls_in_2_s) <= 0.38 * PROXY_COUNT  # Each proxy polls once in 5.6 s.


def test_listed_endpoint_that_keeps_refusing_causes_few_new_watches() -> None:
    # Guards against a silent watch: for 24 s it reported nothing while three of four endpoints were replaced.
    driver = BalancerDriver(settings(polls_discovery=True, can_check_health=True), endpoints=entries(1, 2))

    def run_for(span: float, status: AttemptStatus) -> None:
        for _ in range(round(span / 0.05)):
            started = [action for action in driver.advance(0.05) if isinstance(action, CheckHealth)]
            driver.feed(*[HealthCheckEnded(action.endpoint_id, status, 0.001) for action in started])

    run_for(15.0, AttemptStatus.OK)
    assert driver.actions.count(WatchEndpoints(True)) == 1
    run_for(20.0, AttemptStatus.CONNECT_FAILED)
    assert 2 <= driver.actions.count(WatchEndpoints(True)) - 1 <= 3


def test_failed_watches_are_repeated_within_the_poll_interval() -> None:
    # One site counts a proxy as notified of every drain after four seconds without a poll.
    driver = BalancerDriver(settings(polls_discovery=True, max_poll_interval=4.0))
    started: list[float] = []
    while driver.now < 140.0:
        if WatchEndpoints(True) in driver.advance(0.05):
            started.append(driver.now)
            driver.advance(0.5)
            driver.feed(EndpointListUpdate(ListScope.FAILED))
    gaps = [later - earlier for earlier, later in pairwise([100.0, *started])]
    assert gaps[0] <= 4.0 and max(gaps) <= 0.5 + 4.0 + 0.1
