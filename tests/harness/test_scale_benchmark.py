"""The benchmark of large fleets: in short, and its verdict."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from benchmarks import report, scale
from harness.endpoint_fleet import endpoint_host

USUAL = scale.Cost(
    cpu=1.0,
    peak_memory=30.0,
    descriptors=60,
    connections=50,
    list_bytes=40.0,
    served=1.0,
    requests=600,
    health_checks=1700,
    endpoints_used=16,
    lists=160,
)
# The standing test's bounds at 3,200 endpoints against these figures, worked out by hand.
AT_MOST = {
    "cpu": 1.4 * 1.0 + 0.02 + 0.12 * 3.2,
    "peak_memory": 1.5 * 30.0 + 8 + 4 * 3.2,
    "descriptors": 2 * 60 + 40,
    "connections": 165,
    "list_bytes": 2 * 40.0 + 64 + 500 * 3.2,
}


def verdict(*large: scale.Cost) -> list[str]:
    found = report.BenchmarkReport("scale", True, 1)
    scale.judge(found, {200: [USUAL], 3200: list(large)})
    return found.failed


def test_the_scale_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scale, "SIZES_SHORT", (20, 60))
    monkeypatch.setattr(scale, "SECONDS_SHORT", 2.0)
    monkeypatch.setattr(scale, "BUSY_SECONDS_SHORT", 1.0)
    monkeypatch.setattr(scale, "BUSY_RATE", 20.0)
    bounds = {
        name: (math.inf, 0.0, 0.0) if name in scale.NOISY else scale.BOUNDS[name] for name in scale.BOUNDS
    }
    monkeypatch.setattr(scale, "BOUNDS", bounds)  # a busy machine is no verdict here
    monkeypatch.setattr(scale, "MIN_SERVED", 0.5)
    code = report.run_benchmark("scale", scale.measure, ["--short"], add_arguments=scale.add_arguments)
    said = capsys.readouterr().out
    assert code == 0, said
    assert "connections_60_bound" in said and "list_bytes_20 " in said and "served_60 " in said


@pytest.mark.parametrize("name", AT_MOST)
def test_what_is_over_its_bound_fails_and_what_is_at_it_does_not(name: str) -> None:
    within: dict[str, Any] = {name: AT_MOST[name] * 0.9999}
    above: dict[str, Any] = {name: AT_MOST[name] * 1.01}
    assert verdict(replace(USUAL, **within)) == []
    (failed,) = verdict(replace(USUAL, **above))
    assert failed.startswith(f"{name}_3200")


def test_serving_too_little_fails() -> None:
    assert verdict(replace(USUAL, served=0.86)) == []
    (failed,) = verdict(replace(USUAL, served=0.84))
    assert failed.startswith("served_3200")


def test_a_busy_proxy_that_serves_too_little_fails() -> None:
    found = report.BenchmarkReport("scale", True, 1)
    scale.judge_busy(found, {200: 0.9, 3200: 0.8})
    assert found.failed == []
    scale.judge_busy(found, {200: 0.9, 3200: 0.7})
    assert len(found.failed) == 1 and found.failed[0].startswith("busy_served_3200")


def test_the_worst_turn_counts_where_counts_are_judged_and_the_cheapest_where_there_is_noise() -> None:
    assert verdict(replace(USUAL, cpu=9.0), USUAL) == []
    assert len(verdict(replace(USUAL, connections=900), USUAL)) == 1
    assert len(verdict(replace(USUAL, served=0.1), USUAL)) == 1


def test_each_endpoint_has_an_address_of_its_own() -> None:
    addresses = {endpoint_host(number) for number in range(1, 70_000)}
    assert len(addresses) == 69_999 and all(one.startswith("127.") for one in addresses)
