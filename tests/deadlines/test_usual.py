"""What a class usually takes, and what the way takes."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.usual import LEAST_SAMPLES, SAMPLES, Transit, Usual


def learnt(*figures: float) -> Usual:
    usual = Usual()
    for figure in figures:
        usual.learn(figure)
    return usual


def test_nothing_is_usual_until_enough_is_known() -> None:
    usual = learnt(*[0.2] * (LEAST_SAMPLES - 1))
    assert usual.quick == 0.0 and usual.covers(0.001) and not usual.covers(0.0)
    usual.learn(0.2)
    assert usual.quick == 0.2 and not usual.covers(0.19) and usual.covers(0.2)


def test_a_quarter_of_the_calls_lies_below() -> None:
    assert learnt(*(n / 100 for n in range(40))).quick == pytest.approx(0.10)


def test_only_the_latest_count() -> None:
    usual = learnt(*[5.0] * SAMPLES, *[0.1] * SAMPLES)
    assert usual.quick == 0.1 and len(usual.latest) == len(usual.sorted) == SAMPLES


def test_one_in_fifty_is_tried_all_the_same() -> None:
    usual = learnt(*[1.0] * LEAST_SAMPLES)
    assert sum(usual.covers(0.5) for _ in range(1000)) == pytest.approx(20, abs=1)


def test_transit_is_half_of_what_an_exchange_takes_beyond_the_work_and_has_bounds() -> None:
    transit = Transit()
    for _ in range(200):
        transit.learn(0.120, 0.100)
    assert transit.mean == pytest.approx(0.010, rel=0.01)
    for _ in range(200):
        transit.learn(0.1, 0.2)  # it says that it took longer than the exchange did
    assert transit.mean == pytest.approx(0.0, abs=1e-3)
    for _ in range(200):
        transit.learn(60.0, 0.0)
    assert transit.mean <= 0.5
