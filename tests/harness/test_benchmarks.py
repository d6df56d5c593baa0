"""The first command of the README, and short runs of the benchmarks."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks import budgets, ephemeral, per_call, report, sidecar, websocket
from harness.deployment import running_deployment
from harness.trial import table_rows
from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.description import load

ROOT = Path(__file__).parent.parent.parent


def test_the_readmes_first_command_serves_all_requests() -> None:
    """The README's command starts the harness as a separate program through the sidecar tool."""
    command = "-m service_proxy.sidecar try deploy/application.toml --seconds 1 --rate 30"
    done = subprocess.run(
        [sys.executable, *command.split()], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "nucleo-h-4" in done.stdout and "rules broken: 0" in done.stdout


def test_try_rejects_a_description_with_findings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "app.toml"
    example = (ROOT / "deploy" / "application.toml").read_text()
    file.write_text(example.replace('retry = "never-ran"', 'retry = "always"'))
    assert main(["try", str(file)]) == 1 and "R202" in capsys.readouterr().out


def test_the_progress_table_lists_every_endpoint() -> None:
    async def test() -> None:
        _, description = load(str(ROOT / "tests" / "corpus" / "good" / "one-tier.toml"))
        assert description is not None
        async with running_deployment(description) as deployment:
            assert deployment.clients is not None
            assert await deployment.clients.request(deployment.classes["stock"]) == 200
            text = "\n".join(table_rows(deployment, 1.0, 2.0))
            assert "served 1  refused 0  failed 0" in text
            for name in [host.name for host in deployment.hosts] + [
                endpoint.name for _, endpoint in deployment.plain_endpoints
            ]:
                assert name in text

    asyncio.run(test())


def test_the_sidecar_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sidecar, "MUTATIONS_SHORT", 20)
    monkeypatch.setattr(sidecar, "EDITS_SHORT", 10)
    code = report.run_benchmark("sidecar", sidecar.measure, ["--short"])
    output = capsys.readouterr().out
    assert code == 0, output
    assert "slipped 0 " in output and "restarts_sidecars 4 " in output and "lost 0 " in output


def test_the_ephemeral_nodes_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(ephemeral, "SHORT", ephemeral.Size(9, 90.0, 2, (1.0,), 3.0, 1.0))
    monkeypatch.setattr(ephemeral, "LISTED_NODES", 300)
    code = report.run_benchmark("ephemeral", ephemeral.measure, ["--short"])
    output = capsys.readouterr().out
    assert code == 0, output
    assert "rules_broken 0 " in output and "empty_ensemble_m0" in output and output.endswith("PASSED\n")


def test_the_deadline_propagation_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Runs without the overload measurement, whose figures need a machine without other load."""
    monkeypatch.setattr(budgets, "SHORT_HISTORIES", 300)
    monkeypatch.setattr(budgets, "SHORT_CPU_REQUESTS", 60)
    monkeypatch.setattr(budgets, "SHORT_LOOP_REQUESTS", 3)

    async def measure(benchmark: report.BenchmarkReport, options: object) -> None:
        budgets.measure_histories(benchmark)
        budgets.measure_memory(benchmark)
        await budgets.measure_cpu(benchmark)
        await budgets.measure_loops(benchmark)
        normal_load = budgets.PhaseResult()
        overload = budgets.PhaseResult()
        await budgets.run_phases(True, 1.0, 1, 1, normal_load, overload)
        benchmark.check(normal_load.requests and overload.requests, "no calls")
        benchmark.check(
            not normal_load.late_starts + overload.late_starts, "work began after the client's deadline"
        )
        violations = normal_load.violations + overload.violations
        benchmark.check(not violations, f"rules broken: {violations}")

    code = report.run_benchmark("budgets", measure, ["--short"])
    output = capsys.readouterr().out
    assert code == 0, output
    assert "histories_broken 0 " in output and "loop_3_hops 3 " in output


def test_the_websocket_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(websocket, "SHORT", websocket.Size(160, 4, 1.0, 300, 50, 80, 0.5))
    code = report.run_benchmark("websocket", websocket.measure, ["--short"])
    output = capsys.readouterr().out
    assert code == 0, output
    assert "rules_broken 0 " in output and "fuzz_wrong 0 " in output and "tunnel_to_relay" in output


def test_the_cost_per_call_is_measured(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(per_call, "REQUESTS_PER_TURN_SHORT", 100)
    monkeypatch.setattr(per_call, "MAX_UNSERVED_SHARE", 1.0)  # a stalled machine must not fail this test
    code = report.run_benchmark(
        "per_call", per_call.measure, ["--short"], add_arguments=per_call.add_arguments
    )
    output = capsys.readouterr().out
    assert code == 0, output
    assert "membership_to_relay" in output


def test_a_failed_assertion_is_printed_and_gives_exit_code_1(capsys: pytest.CaptureFixture[str]) -> None:
    async def measure(benchmark: report.BenchmarkReport, options: object) -> None:
        benchmark.check(True, "never")
        benchmark.check(False, "the count is too low")

    assert report.run_benchmark("moon", measure, []) == 1
    assert capsys.readouterr().out.endswith("FAILED: the count is too low\n")
