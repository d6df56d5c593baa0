"""The benchmark of large fleets: a short run, and its pass and fail limits."""

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
# Bounds of the benchmark at 3,200 endpoints for the usual cost, calculated by hand.
MAX_COSTS = {
    "cpu": 1.4 * 1.0 + 0.02 + 0.12 * 3.2,
    "peak_memory": 1.5 * 30.0 + 8 + 4 * 3.2,
    "descriptors": 2 * 60 + 40,
    "connections": 165,
    "list_bytes": 2 * 40.0 + 64 + 500 * 3.2,
}


def failed_checks(*large: scale.Cost) -> list[str]:
    benchmark = report.BenchmarkReport("scale", True, 1)
    scale.judge(benchmark, {200: [USUAL], 3200: list(large)})
    return benchmark.failed


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
    monkeypatch.setattr(scale, "BOUNDS", bounds)  # a busy machine must not fail this test
    monkeypatch.setattr(scale, "MIN_SERVED", 0.5)
    code = report.run_benchmark("scale", scale.measure, ["--short"], add_arguments=scale.add_arguments)
    output = capsys.readouterr().out
    assert code == 0, output
    assert "connections_60_bound" in output and "list_bytes_20 " in output and "served_60 " in output


@pytest.mark.parametrize("name", MAX_COSTS)
def test_a_cost_fails_only_over_its_bound(name: str) -> None:
    within: dict[str, Any] = {name: MAX_COSTS[name] * 0.9999}
    over_bound: dict[str, Any] = {name: MAX_COSTS[name] * 1.01}
    assert failed_checks(replace(USUAL, **within)) == []
    (failed,) = failed_checks(replace(USUAL, **over_bound))
    assert failed.startswith(f"{name}_3200")


def test_serving_too_little_fails() -> None:
    assert failed_checks(replace(USUAL, served=0.86)) == []
    (failed,) = failed_checks(replace(USUAL, served=0.84))
    assert failed.startswith("served_3200")


def test_a_busy_proxy_that_serves_too_little_fails() -> None:
    benchmark = report.BenchmarkReport("scale", True, 1)
    scale.judge_busy(benchmark, {200: 0.9, 3200: 0.8})
    assert benchmark.failed == []
    scale.judge_busy(benchmark, {200: 0.9, 3200: 0.7})
    assert len(benchmark.failed) == 1 and benchmark.failed[0].startswith("busy_served_3200")


def test_counts_use_the_worst_turn_and_noisy_costs_the_cheapest() -> None:
    assert failed_checks(replace(USUAL, cpu=9.0), USUAL) == []
    assert len(failed_checks(replace(USUAL, connections=900), USUAL)) == 1
    assert len(failed_checks(replace(USUAL, served=0.1), USUAL)) == 1


def test_each_endpoint_has_an_address_of_its_own() -> None:
    addresses = {endpoint_host(number) for number in range(1, 70_000)}
    assert len(addresses) == 69_999 and all(address.startswith("127.") for address in addresses)
