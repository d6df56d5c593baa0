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


class Proof:
    """Figures and claims of one run."""

    def __init__(self, name: str, short: bool, seed: int) -> None:
        self.name = name
        self.short = short
        self.seed = seed
        self.figures: dict[str, tuple[float | str, str]] = {}
        self.failed: list[str] = []

    def figure(self, name: str, value: float | str, unit: str = "") -> None:
        self.figures[name] = value, unit
        shown = f"{value:.4g}" if isinstance(value, float) else str(value)
        print(f"{name} {shown} {unit}".rstrip(), flush=True)

    def claim(self, holds: object, what: str) -> None:
        """`what` says the claim as it fell short."""
        if not holds:
            self.failed.append(what)
            print(f"fell short: {what}", flush=True)


def run(
    name: str,
    measure: Callable[[Proof, argparse.Namespace], Coroutine[Any, Any, None]],
    argv: list[str] | None = None,
    more: Callable[[argparse.ArgumentParser], None] | None = None,
) -> int:
    """Exit code 0 where all claims held, else 1."""
    parser = argparse.ArgumentParser(prog=f"python -m benchmarks.{name}")
    parser.add_argument("--short", action="store_true", help="ends within 45 s, with the same claims")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE", help="the figures, too")
    if more is not None:
        more(parser)
    wanted = parser.parse_args(argv)
    proof = Proof(name, wanted.short, wanted.seed)
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(measure(proof, wanted))
    if wanted.json is not None:
        found = {key: {"value": value, "unit": unit} for key, (value, unit) in proof.figures.items()}
        wanted.json.write_text(json.dumps({"figures": found, "fell_short": proof.failed}, indent=1) + "\n")
    print("PROOF fell short: " + "; ".join(proof.failed) if proof.failed else "PROOF held")
    sys.stdout.flush()
    return 1 if proof.failed else 0
