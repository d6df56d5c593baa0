"""What all proofs share: their arguments, the lines they print, and the verdict. No measuring here."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop


class BenchmarkReport:
    """Figures and claims of one run."""

    def __init__(self, name: str, short: bool, seed: int) -> None:
        self.name = name
        self.short = short
        self.seed = seed
        self.figures: dict[str, tuple[float | str, str]] = {}
        self.failed: list[str] = []

    def record(self, name: str, value: float | str, unit: str = "") -> None:
        self.figures[name] = value, unit
        shown = f"{value:.4g}" if isinstance(value, float) else str(value)
        print(f"{name} {shown} {unit}".rstrip(), flush=True)

    def check(self, passed: object, message: str) -> None:
        """`what` says the claim as it fell short."""
        if not passed:
            self.failed.append(message)
            print(f"fell short: {message}", flush=True)


def run_benchmark(
    name: str,
    measure: Callable[[BenchmarkReport, argparse.Namespace], Coroutine[Any, Any, None]],
    argv: list[str] | None = None,
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> int:
    """Exit code 0 where all claims held, else 1."""
    parser = argparse.ArgumentParser(prog=f"python -m benchmarks.{name}")
    parser.add_argument("--short", action="store_true", help="ends within 45 s, with the same claims")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE", help="the figures, too")
    if add_arguments is not None:
        add_arguments(parser)
    options = parser.parse_args(argv)
    report = BenchmarkReport(name, options.short, options.seed)
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(measure(report, options))
    if options.json is not None:
        found = {key: {"value": value, "unit": unit} for key, (value, unit) in report.figures.items()}
        options.json.write_text(json.dumps({"figures": found, "fell_short": report.failed}, indent=1) + "\n")
    print("PROOF fell short: " + "; ".join(report.failed) if report.failed else "PROOF held")
    sys.stdout.flush()
    return 1 if report.failed else 0
