"""Benchmark of the sidecar's checker and process: mutations, harmless edits, a large fleet, restarts.

    python -m benchmarks.sidecar [--short] [--seed N] [--json FILE]

The checker has to refuse each mutation of a valid description that breaks a rule (`sidecar_mutations`), and
to accept each edit that changes no value (comments, order, spacing). A fleet of 37 sidecars in front of 87
nodes is checked next. Real processes restart under load at the end (`sidecar_restarts`).
"""

from __future__ import annotations

import argparse
import resource
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from benchmarks.report import BenchmarkReport, run_benchmark
from benchmarks.sidecar_mutations import MUTATION_KINDS, edit_harmlessly
from benchmarks.sidecar_restarts import measure_restarts
from service_proxy.sidecar.checking import check
from service_proxy.sidecar.description import load

CORPUS = Path(__file__).parent.parent / "tests" / "corpus" / "good"
# Descriptions whose notation the line-based edits can't handle. The tests of the corpus cover these files.
UNSUITABLE = frozenset(
    ("comments", "crlf", "inline-tables", "dotted", "quoted-names", "tabs", "long-strings")
)
MUTATIONS = 2000
MUTATIONS_SHORT = 150
EDITS = 500
EDITS_SHORT = 50
SIDECARS = 37
NODES = 87
MAX_CONNECTIONS_PER_NODE = 140


@dataclass(frozen=True, slots=True)
class GoodDescription:
    """Description of the corpus that the checker accepts."""

    name: str
    text: str


@dataclass(slots=True)
class MutationResults:
    """Number of checked mutations by kind, and the mutations that their own rule did not refuse."""

    counts: Counter[str] = field(default_factory=Counter)
    accepted: list[str] = field(default_factory=list)
    refused_by_other_rule: list[str] = field(default_factory=list)


def good_descriptions() -> list[GoodDescription]:
    """Return the descriptions that are mutated and edited."""
    files = [file for file in sorted(CORPUS.glob("*.toml")) if file.stem not in UNSUITABLE]
    return [GoodDescription(file.name, file.read_text()) for file in files]


def check_mutation(file: Path, good: GoodDescription, random: Random, results: MutationResults) -> None:
    """Mutate a description and check it, unless the chosen mutation can't be applied to the description."""
    file.write_text(good.text)
    _, description = load(str(file))
    assert description is not None, good.name
    mutation = random.choice(MUTATION_KINDS)
    changed = mutation.mutate(good.text, description, random)
    if changed is None:
        return
    results.counts[mutation.name] += 1
    file.write_text(changed)
    codes = {problem.code for problem in check([str(file)], "") if not problem.is_warning}
    if not codes:
        results.accepted.append(f"{mutation.name} of {good.name}")
    elif mutation.code not in codes:
        results.refused_by_other_rule.append(f"{mutation.name} of {good.name}: {sorted(codes)}")


def measure_mutations(
    report: BenchmarkReport, folder: Path, descriptions: list[GoodDescription], random: Random
) -> None:
    """Check that each mutation is refused by the rule that the mutation breaks."""
    count = MUTATIONS_SHORT if report.short else MUTATIONS
    results = MutationResults()
    while results.counts.total() < count:
        check_mutation(folder / "app.toml", random.choice(descriptions), random, results)
    for kind, checked in sorted(results.counts.items()):
        report.record(f"mutations_{kind}", checked, "")
    report.record("mutations", results.counts.total(), "mutations that break a rule")
    report.record("slipped", len(results.accepted), "mutations accepted")
    report.record("told_otherwise", len(results.refused_by_other_rule), "mutations refused by another rule")
    report.check(not results.accepted, f"mutations accepted: {results.accepted[:3]}")
    report.check(
        not results.refused_by_other_rule,
        f"mutations refused by another rule: {results.refused_by_other_rule[:3]}",
    )


def measure_edits(
    report: BenchmarkReport, folder: Path, descriptions: list[GoodDescription], random: Random
) -> None:
    """Check that edits that change no value are accepted."""
    file = folder / "app.toml"
    refused = []
    count = EDITS_SHORT if report.short else EDITS
    for _ in range(count):
        good = random.choice(descriptions)
        file.write_bytes(edit_harmlessly(good.text, random).encode())
        problems = check([str(file)], "")
        if problems:
            refused.append(f"{good.name}: {problems[0]}")
    report.record("harmless_edits", count, "")
    report.record("harmless_refused", len(refused), "harmless edits refused")
    report.check(not refused, f"harmless edits refused: {refused[:2]}")


def write_fleet(folder: Path) -> list[str]:
    """Write 37 descriptions of one sidecar each, with two tiers and 87 nodes in total; return the files."""
    plain = (CORPUS / "plain.toml").read_text()
    portal_nodes = NODES // 3
    tiers = plain[: plain.index("[[sidecar]]")]
    tiers = tiers.replace("nodes = 16", f"nodes = {portal_nodes}")
    tiers = tiers.replace("nodes = 40", f"nodes = {NODES - portal_nodes}")
    stop_after = 'stop_after = "7s"\n'
    connections = f"connections = {MAX_CONNECTIONS_PER_NODE}\n"
    tiers = tiers.replace(f"{stop_after}\n[tenant", f"{stop_after}{connections}\n[tenant")
    files = []
    for number in range(SIDECARS):
        file = folder / f"app-{number:02d}.toml"
        file.write_text(
            f'{tiers}[[sidecar]]\nhost = "h-{number}"\nzone = "sala-{"abc"[number % 3]}"\ntier = "portal"\n'
            f'inbound = "10.0.0.{number + 4}:8081"\napplication = "127.0.0.1:9000"\n'
            'outbound.nucleo = "127.0.0.1:7001"\n'
        )
        files.append(str(file))
    return files


def measure_fleet(report: BenchmarkReport, folder: Path) -> None:
    """Check a large fleet, and measure time and memory."""
    files = write_fleet(folder)
    started_at = time.perf_counter()
    problems = check(files, "")
    elapsed = time.perf_counter() - started_at
    report.record("fleet", len(files), f"sidecars in front of {NODES} nodes")
    report.record("fleet_time", elapsed / len(files) * 1000, "ms per file")
    report.record("memory", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, "MB at most")
    report.check(not problems, f"the fleet was refused: {problems[:1]}")


async def measure(report: BenchmarkReport, _options: argparse.Namespace) -> None:
    """Run all parts of the benchmark."""
    random = Random(report.seed)
    descriptions = good_descriptions()
    with tempfile.TemporaryDirectory() as folder:
        measure_mutations(report, Path(folder), descriptions, random)
        measure_edits(report, Path(folder), descriptions, random)
        measure_fleet(report, Path(folder))
    await measure_restarts(report)


if __name__ == "__main__":
    sys.exit(run_benchmark("sidecar", measure))
