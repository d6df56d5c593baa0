"""The first command of the README, and the benchmarks in short."""

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


def test_a_newcomer_sees_real_calls_served() -> None:
    """As the README has it, through the tool, which starts the rigs as a program of their own."""
    command = "-m service_proxy.sidecar try deploy/application.toml --seconds 1 --rate 30"
    done = subprocess.run(
        [sys.executable, *command.split()], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "nucleo-h-4" in done.stdout and "rules broken: 0" in done.stdout


def test_try_refuses_what_check_refuses(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "app.toml"
    example = (ROOT / "deploy" / "application.toml").read_text()
    file.write_text(example.replace('retry = "never-ran"', 'retry = "always"'))
    assert main(["try", str(file)]) == 1 and "R202" in capsys.readouterr().out


def test_the_table_of_try_has_every_server() -> None:
    async def test() -> None:
        _, description = load(str(ROOT / "tests" / "corpus" / "good" / "one-tier.toml"))
        assert description is not None
        async with running_deployment(description) as made:
            assert made.clients is not None
            assert await made.clients.request(made.classes["stock"]) == 200
            text = "\n".join(table_rows(made, 1.0, 2.0))
            assert "served 1  refused 0  failed 0" in text
            for name in [host.name for host in made.hosts] + [
                backend.name for _, backend in made.plain_endpoints
            ]:
                assert name in text

    asyncio.run(test())


def test_the_sidecar_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sidecar, "MUTATIONS_SHORT", 20)
    monkeypatch.setattr(sidecar, "EDITS_SHORT", 10)
    code = report.run_benchmark("sidecar", sidecar.measure, ["--short"])
    said = capsys.readouterr().out
    assert code == 0, said
    assert "slipped 0 " in said and "restarts_sidecars 4 " in said and "lost 0 " in said


def test_the_ephemeral_nodes_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(ephemeral, "SHORT", ephemeral.Size(9, 90.0, 2, (1.0,), 3.0, 1.0))
    monkeypatch.setattr(ephemeral, "LISTED", 300)
    code = report.run_benchmark("ephemeral", ephemeral.measure, ["--short"])
    said = capsys.readouterr().out
    assert code == 0, said
    assert "rules_broken 0 " in said and "empty_ensemble_m0" in said and said.endswith("PASSED\n")


def test_the_deadline_propagation_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """All but the overload, whose figures need a machine of its own."""
    monkeypatch.setattr(budgets, "SHORT_HISTORIES", 300)
    monkeypatch.setattr(budgets, "SHORT_CPU_REQUESTS", 60)
    monkeypatch.setattr(budgets, "SHORT_LOOP_REQUESTS", 3)

    async def measure(found: report.BenchmarkReport, wanted: object) -> None:
        budgets.measure_histories(found)
        budgets.measure_memory(found)
        await budgets.measure_cpu(found)
        await budgets.measure_loops(found)
        calm = budgets.PhaseResult()
        overload = budgets.PhaseResult()
        await budgets.run_phases(True, 1.0, 1, 1, calm, overload)
        found.check(calm.requests and overload.requests, "no calls")
        found.check(not calm.late_starts + overload.late_starts, "work was begun for nobody")
        violations = calm.violations + overload.violations
        found.check(not violations, f"rules broken: {violations}")

    code = report.run_benchmark("budgets", measure, ["--short"])
    said = capsys.readouterr().out
    assert code == 0, said
    assert "histories_broken 0 " in said and "loop_3_hops 3 " in said


def test_the_websocket_benchmark_passes_in_short(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(websocket, "SHORT", websocket.Size(160, 4, 1.0, 300, 50, 80, 0.5))
    code = report.run_benchmark("websocket", websocket.measure, ["--short"])
    said = capsys.readouterr().out
    assert code == 0, said
    assert "rules_broken 0 " in said and "fuzz_wrong 0 " in said and "tunnel_to_relay" in said


def test_the_cost_per_call_is_measured(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(per_call, "REQUESTS_PER_TURN_SHORT", 100)
    monkeypatch.setattr(per_call, "MAX_UNSERVED_SHARE", 1.0)  # a machine that stands still is no verdict here
    code = report.run_benchmark(
        "per_call", per_call.measure, ["--short"], add_arguments=per_call.add_arguments
    )
    said = capsys.readouterr().out
    assert code == 0, said
    assert "membership_to_relay" in said


def test_a_failed_assertion_is_printed_and_gives_exit_code_1(capsys: pytest.CaptureFixture[str]) -> None:
    async def measure(found: report.BenchmarkReport, wanted: object) -> None:
        found.check(True, "never")
        found.check(False, "the moon is no cheese")

    assert report.run_benchmark("moon", measure, []) == 1
    assert capsys.readouterr().out.endswith("FAILED: the moon is no cheese\n")
