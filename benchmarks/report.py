"""Command line, printed figures and verdict that all benchmarks share."""

from __future__ import annotations

import argparse
import asyncio
import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop


class BenchmarkReport:
    """Report of one benchmark run with its figures and failed checks."""

    def __init__(self, name: str, short: bool, seed: int) -> None:
        self.name = name
        self.short = short
        self.seed = seed
        self.figures: dict[str, tuple[float | str, str]] = {}
        self.failed: list[str] = []

    def record(self, name: str, value: float | str, unit: str = "") -> None:
        """Print a figure and store it for --json."""
        self.figures[name] = value, unit
        shown = f"{value:.4g}" if isinstance(value, float) else str(value)
        print(f"{name} {shown} {unit}".rstrip(), flush=True)

    def check(self, passed: object, message: str) -> None:
        """Record a failed check unless `passed` is true; `message` describes the failure."""
        if not passed:
            self.failed.append(message)
            print(f"failed: {message}", flush=True)

    def as_json(self) -> str:
        """Return the figures and failed checks as JSON."""
        figures = {name: {"value": value, "unit": unit} for name, (value, unit) in self.figures.items()}
        return json.dumps({"figures": figures, "failed": self.failed}, indent=1) + "\n"


def run_benchmark(
    name: str,
    measure: Callable[[BenchmarkReport, argparse.Namespace], Coroutine[Any, Any, None]],
    argv: list[str] | None = None,
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> int:
    """Run a benchmark with its command line and return the exit code: 0 if all checks passed, else 1."""
    parser = argparse.ArgumentParser(prog=f"python -m benchmarks.{name}")
    parser.add_argument(
        "--short", action="store_true", help="short run that ends within 45 s, with the same checks"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--json", type=Path, metavar="FILE", help="also write the figures and failed checks to FILE"
    )
    if add_arguments is not None:
        add_arguments(parser)
    options = parser.parse_args(argv)
    report = BenchmarkReport(name, options.short, options.seed)
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(measure(report, options))
    if options.json is not None:
        options.json.write_text(report.as_json())
    print("FAILED: " + "; ".join(report.failed) if report.failed else "PASSED", flush=True)
    return 1 if report.failed else 0
