"""State of request classes: shedding order, latency target, mean latency."""

from __future__ import annotations

import pytest
from balancer_driver import BalancerDriver, only_attempt, settings

from service_proxy import AttemptStatus, RequestClass
from service_proxy.policy.request_class import RequestClassState


def test_shedding_order_follows_weight_unless_weight_by_time_disagrees() -> None:
    def shedding_weights(*weights_and_means: tuple[float, float]) -> list[float]:
        states = []
        for weight, mean in weights_and_means:
            state = RequestClassState(RequestClass("x", weight, 1.0, 2.0), 0, 3)
            state.mean_latency.value = mean
            states.append(state)
        for state in states:
            state.update_shedding_weight(states)
        return [state.shedding_weight for state in states]

    assert shedding_weights((12, 0.1), (1, 0.4), (1, 0.9)) == [12, 1, 1]
    assert shedding_weights((2, 0.45), (3, 0.8), (5, 1.0)) == [3, 3, 5]
    assert shedding_weights((2, 0.6), (3, 0.8), (5, 1.0)) == [2, 3, 5]
    assert shedding_weights((2, 0.3), (3, 0.8), (5, 1.0)) == [5, 3, 5]


def test_latency_target_of_inner_tiers_is_smaller() -> None:
    request_class = settings().classes[0]
    assert RequestClassState(request_class, 1, 3).min_latency_target == pytest.approx(
        RequestClassState(request_class, 0, 3).min_latency_target / 2
    )


def test_answer_without_elapsed_time_keeps_the_mean_latency_positive() -> None:
    # Guards against a division by a mean latency of 0.
    driver = BalancerDriver(settings())
    driver.end_attempt(only_attempt(driver.arrive(1)), AttemptStatus.OK, elapsed=0.0)
    assert driver.balancer.request_classes["safe"].mean_latency.value > 0


def test_latency_target_is_never_below_the_baseline_latency() -> None:
    # Guards against a latency target near the baseline latency, which lowered the limit to 5 at light load.
    state = RequestClassState(settings().classes[0], 0, 3)
    minimum = state.min_latency_target
    for _ in range(30):
        state.mean_latency.add(0.3, 50)
    state.update_latency_target(0.05)
    assert state.latency_target == pytest.approx(1.75 * 0.3) and state.latency_target > minimum
    for _ in range(300):
        state.mean_latency.add(0.9, 50)
    state.update_latency_target(0.05)
    assert state.latency_target < 0.54  # A short congestion does not raise the target at once.
