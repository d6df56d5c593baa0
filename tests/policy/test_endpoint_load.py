"""Load and latency samples of endpoints."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, entries, only_attempt, settings

from service_proxy import AttemptStatus
from service_proxy.policy.endpoint_load import SAMPLE_MEMORY_S


def test_connection_failure_adds_no_sample_and_old_samples_decay() -> None:
    # Guards against resets that count as samples of 8 mean latencies, and against the last samples of an
    # endpoint without requests, which remained for 16 s.
    driver = BalancerDriver(settings(), endpoints=entries(1))
    driver.end_attempt(only_attempt(driver.arrive(1, "once")), AttemptStatus.OK)
    endpoint = driver.balancer.endpoints.known[1]
    before = endpoint.latency_sum, endpoint.load_sum
    driver.end_attempt(only_attempt(driver.arrive(2, "once")), AttemptStatus.RESET)
    assert (endpoint.latency_sum, endpoint.load_sum) == before
    driver.advance(SAMPLE_MEMORY_S)
    assert endpoint.load_sum == pytest.approx(before[1] / 2.71828, rel=0.01)
    assert endpoint.latency_sum / endpoint.load_sum == pytest.approx(before[0] / before[1])
