"""What a class usually takes, and what the way takes."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.latency_estimate import MIN_SAMPLES, SAMPLES, LatencyEstimate, TransitEstimate


def learnt(*figures: float) -> LatencyEstimate:
    usual = LatencyEstimate()
    for figure in figures:
        usual.record(figure)
    return usual


def test_no_estimate_until_there_are_enough_samples() -> None:
    usual = learnt(*[0.2] * (MIN_SAMPLES - 1))
    assert usual.lower_quartile == 0.0 and usual.is_sufficient(0.001) and not usual.is_sufficient(0.0)
    usual.record(0.2)
    assert usual.lower_quartile == 0.2 and not usual.is_sufficient(0.19) and usual.is_sufficient(0.2)


def test_a_quarter_of_the_samples_lies_below_the_estimate() -> None:
    assert learnt(*(n / 100 for n in range(40))).lower_quartile == pytest.approx(0.10)


def test_only_the_latest_samples_count() -> None:
    usual = learnt(*[5.0] * SAMPLES, *[0.1] * SAMPLES)
    assert usual.lower_quartile == 0.1 and len(usual.latest) == len(usual.sorted) == SAMPLES


def test_one_in_fifty_insufficient_requests_is_started() -> None:
    usual = learnt(*[1.0] * MIN_SAMPLES)
    assert sum(usual.is_sufficient(0.5) for _ in range(1000)) == pytest.approx(20, abs=1)


def test_transit_is_half_of_the_exchange_beyond_the_service_time_and_bounded() -> None:
    transit = TransitEstimate()
    for _ in range(200):
        transit.record(0.120, 0.100)
    assert transit.mean == pytest.approx(0.010, rel=0.01)
    for _ in range(200):
        transit.record(0.1, 0.2)  # it says that it took longer than the exchange did
    assert transit.mean == pytest.approx(0.0, abs=1e-3)
    for _ in range(200):
        transit.record(60.0, 0.0)
    assert transit.mean <= 0.5
