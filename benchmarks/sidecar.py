"""The sidecar's checker and its process: mutations, harmless edits, a large fleet, restarts under load.

    python -m benchmarks.sidecar [--short] [--seed N] [--json FILE]

Of the mutations of good descriptions that break a rule (`sidecar_mutations`) none may be accepted; of the
edits that change no value (comments, order, spacing) none may be refused. Then a fleet of 37 sidecars before
87 nodes is checked. Last come the restarts, on real processes (`sidecar_restarts`).
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
# Written so that an edit by lines does not find its place; they are the corpus's to test.
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
    """A description of the corpus that check accepts."""

    name: str
    text: str


@dataclass(slots=True)
class MutationResults:
    """How many mutations of each kind were checked, and which were not refused by their rule."""

    counts: Counter[str] = field(default_factory=Counter)
    accepted: list[str] = field(default_factory=list)
    refused_otherwise: list[str] = field(default_factory=list)


def good_descriptions() -> list[GoodDescription]:
    """Return the descriptions that are mutated and edited."""
    files = [file for file in sorted(CORPUS.glob("*.toml")) if file.stem not in UNSUITABLE]
    return [GoodDescription(file.name, file.read_text()) for file in files]


def check_mutation(file: Path, good: GoodDescription, random: Random, results: MutationResults) -> None:
    """Mutate a description and check it, unless the drawn mutation does not suit it."""
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
        results.refused_otherwise.append(f"{mutation.name} of {good.name}: {sorted(codes)}")


def measure_mutations(
    report: BenchmarkReport, folder: Path, descriptions: list[GoodDescription], random: Random
) -> None:
    """Check that each mutation is refused by the rule that it breaks."""
    count = MUTATIONS_SHORT if report.short else MUTATIONS
    results = MutationResults()
    while results.counts.total() < count:
        check_mutation(folder / "app.toml", random.choice(descriptions), random, results)
    for kind, checked in sorted(results.counts.items()):
        report.record(f"mutations_{kind}", checked, "")
    report.record("mutations", results.counts.total(), "that break a rule")
    report.record("slipped", len(results.accepted), "of them accepted")
    report.record("told_otherwise", len(results.refused_otherwise), "of them refused for another reason")
    report.check(not results.accepted, f"accepted: {results.accepted[:3]}")
    report.check(
        not results.refused_otherwise, f"refused, but not by their rule: {results.refused_otherwise[:3]}"
    )


def measure_edits(
    report: BenchmarkReport, folder: Path, descriptions: list[GoodDescription], random: Random
) -> None:
    """Check that no edit is refused that changes no value."""
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
    report.record("harmless_refused", len(refused), "of them")
    report.check(not refused, f"refused: {refused[:2]}")


def write_fleet(folder: Path) -> list[str]:
    """Write 37 descriptions of one sidecar each, of two tiers with 87 nodes in all; return their files."""
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
    report.record("fleet", len(files), f"sidecars before {NODES} nodes")
    report.record("fleet_time", elapsed / len(files) * 1000, "ms a file")
    report.record("memory", resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, "MB at the most")
    report.check(not problems, f"the fleet was refused: {problems[:1]}")


async def measure(report: BenchmarkReport, _options: argparse.Namespace) -> None:
    """Run all parts."""
    random = Random(report.seed)
    descriptions = good_descriptions()
    with tempfile.TemporaryDirectory() as folder:
        measure_mutations(report, Path(folder), descriptions, random)
        measure_edits(report, Path(folder), descriptions, random)
        measure_fleet(report, Path(folder))
    await measure_restarts(report)


if __name__ == "__main__":
    sys.exit(run_benchmark("sidecar", measure))
