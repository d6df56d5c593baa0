"""Tests of the estimates of a class's latency and of the transit time."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.latency_estimate import MIN_SAMPLES, SAMPLES, LatencyEstimate, TransitEstimate


def estimate_of(*samples: float) -> LatencyEstimate:
    estimate = LatencyEstimate()
    for sample in samples:
        estimate.record(sample)
    return estimate


def test_no_estimate_until_there_are_enough_samples() -> None:
    estimate = estimate_of(*[0.2] * (MIN_SAMPLES - 1))
    assert (
        estimate.lower_quartile == 0.0 and estimate.is_sufficient(0.001) and not estimate.is_sufficient(0.0)
    )
    estimate.record(0.2)
    assert estimate.lower_quartile == 0.2 and not estimate.is_sufficient(0.19) and estimate.is_sufficient(0.2)


def test_a_quarter_of_the_samples_lies_below_the_estimate() -> None:
    assert estimate_of(*(n / 100 for n in range(40))).lower_quartile == pytest.approx(0.10)


def test_only_the_latest_samples_count() -> None:
    estimate = estimate_of(*[5.0] * SAMPLES, *[0.1] * SAMPLES)
    assert estimate.lower_quartile == 0.1 and len(estimate.latest) == len(estimate.sorted) == SAMPLES


def test_one_in_fifty_insufficient_requests_is_started() -> None:
    estimate = estimate_of(*[1.0] * MIN_SAMPLES)
    assert sum(estimate.is_sufficient(0.5) for _ in range(1000)) == pytest.approx(20, abs=1)


def test_transit_is_half_of_the_exchange_beyond_the_service_time_and_bounded() -> None:
    transit = TransitEstimate()
    for _ in range(200):
        transit.record(0.120, 0.100)
    assert transit.mean == pytest.approx(0.010, rel=0.01)
    for _ in range(200):
        transit.record(0.1, 0.2)  # The receiver reports a longer time than the exchange took.
    assert transit.mean == pytest.approx(0.0, abs=1e-3)
    for _ in range(200):
        transit.record(60.0, 0.0)
    assert transit.mean <= 0.5
