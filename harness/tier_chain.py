"""A chain of up to three tiers of real sidecars on loopback, with skewed clocks or misroutes.

    python -m harness.tier_chain [--tiers 2] [--hosts 2] [--budgets on|off] [--misroute] [--skew]
                         [--seconds 5] [--rate 20]

Prints the outcomes of the requests, and the work that began after the client's deadline. With `--misroute`,
the last tier's requests are routed back to the first tier. With `--skew`, the clocks of every second sidecar
are an hour off, and step by another hour in the middle of the run.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import uvloop

from harness.deployment import ApplicationProfile, Deployment, DeploymentOptions, running_deployment
from harness.recorder import RecordedAttempt
from service_proxy.operator_file.schema import Budgets
from service_proxy.sidecar.model import (
    ClassDescription,
    Description,
    Features,
    Route,
    Sidecar,
    Tier,
    TopLevelKeys,
)

TIERS = ("portal", "nucleo", "almacen", "fondo")
ZONES = ("sala-a", "sala-b")
CLASSES = {  # shorter times than the site's, so that a run is short
    "stock": ClassDescription("repeatable", 0.5, 1.0, 12.0),
    "reserva": ClassDescription("by-key", 0.8, 1.5, 1.0, "zone", 3.0),
    "canje": ClassDescription("once", 1.0, 2.0, 1.0),
}
ROUTES = {
    "stock": Route("always", "all"),
    "reserva": Route("by-key", "zone", 1.5),
    "canje": Route("never-ran"),
}
ATTEMPTS_PER_TREE = 12
SLOTS = {"portal": 64, "nucleo": 6, "almacen": 8, "fondo": 8}  # concurrent requests of one application
# s of an application's work per request
SERVICE_TIMES = {"portal": 0.05, "nucleo": 0.08, "almacen": 0.004, "fondo": 0.004}
MAX_WAITING = 64  # requests that wait for a slot
PLACEHOLDER_ADDRESS = "127.0.0.1:1"  # the deployment replaces it


def describe_sidecar(number: int, tier: str, calls: tuple[str, ...]) -> Sidecar:
    """Describe one sidecar of a tier."""
    return Sidecar(
        f"h-{number}",
        ZONES[number % len(ZONES)],
        tier,
        PLACEHOLDER_ADDRESS,
        PLACEHOLDER_ADDRESS,
        slots=SLOTS[tier],
        waiting=MAX_WAITING,
        outbound={called: PLACEHOLDER_ADDRESS for called in calls},
    )


def describe_chain(tiers: int, hosts: int, budgets: Budgets | None, misroute: bool = False) -> Description:
    """Describe tiers of which each calls the next.

    With `misroute`, the last tier calls a further tier, which has no endpoints.
    """
    names = TIERS[:tiers]
    described = {}
    sidecars = []
    for index, name in enumerate(names):
        calls = (TIERS[index + 1],) if index + 1 < tiers or misroute else ()
        described[name] = Tier(
            ZONES, tuple(CLASSES), hosts, calls, padron=PLACEHOLDER_ADDRESS, stop_after=3.0
        )
        sidecars += [describe_sidecar(number, name, calls) for number in range(hosts)]
    if misroute:
        described[TIERS[tiers]] = Tier(
            ZONES, tuple(CLASSES), hosts, padron=PLACEHOLDER_ADDRESS, stop_after=3.0
        )
    top = TopLevelKeys(2, "chain", padron=PLACEHOLDER_ADDRESS)
    return Description(
        "chain", top, dict(CLASSES), dict(ROUTES), described, {}, tuple(sidecars), Features(), budgets
    )


@dataclass(slots=True)
class Chain:
    """A running chain, and the trees of requests that its recorder recorded."""

    deployment: Deployment
    key_file: Path  # key file of all processes of the chain

    def root_request(self, request_id: str) -> str:
        """Return the id of the outermost request that caused a request."""
        while request_id in self.deployment.parent_requests:
            request_id = self.deployment.parent_requests[request_id]
        return request_id

    def depth(self, request_id: str) -> int:
        """Return the number of hops from the edge to a request's tier; the first tier has 1."""
        hops = 1
        while request_id in self.deployment.parent_requests:
            request_id = self.deployment.parent_requests[request_id]
            hops += 1
        return hops

    def attempts_by_root(self) -> Counter[str]:
        """Return the number of attempts that reached an application, by outermost request."""
        return Counter(self.root_request(attempt.request_id) for attempt in self.deployment.recorder.attempts)

    def late_attempts(self, allowance: float) -> list[tuple[RecordedAttempt, float]]:
        """Return attempts whose work began over `allowance` s after the client's deadline, with delays."""
        deadlines = {request.request_id: request.deadline for request in self.deployment.recorder.requests}
        found = []
        for attempt in self.deployment.recorder.attempts:
            late_by = attempt.executed_at - deadlines.get(self.root_request(attempt.request_id), float("inf"))
            if attempt.executed and late_by > allowance:
                found.append((attempt, late_by))
        return found

    def reported_loops(self) -> int:
        """Return the number of log lines of the sidecars that name the path of a loop."""
        return sum(host.log_file.read_text().count(": loop_rejected path=") for host in self.deployment.hosts)


def write_key_file(folder: Path) -> Path:
    """Write a key file with one key for the processes of a run."""
    keys = folder / "keys"
    keys.touch(0o600)
    keys.write_text(f"k1 {os.urandom(16).hex()}\n")
    return keys


def skew_arguments(sidecars: tuple[Sidecar, ...]) -> dict[str, list[str]]:
    """Return arguments that skew every second sidecar's clocks by an hour, with a step after 2 s.

    The wall clocks are ahead or behind in turn.
    """
    skews = {}
    for number, sidecar in enumerate(sidecars):
        if number % 2 == 0:
            continue
        hour = "3600" if number % 4 == 1 else "-3600"
        skews[f"{sidecar.tier}-{sidecar.host}"] = [
            f"--wall={hour}",
            f"--step={hour}",
            "--at=2",
            f"--monotonic={number * 1000}",
        ]
    return skews


@contextlib.asynccontextmanager
async def running_chain(
    tiers: int = 2,
    hosts: int = 2,
    budgets: bool = True,
    misroute: bool = False,
    skew: bool = False,
    profile: ApplicationProfile | None = None,
    tiers_without_budgets: frozenset[str] = frozenset(),
) -> AsyncIterator[Chain]:
    """Start a chain and yield it; `tiers_without_budgets` run without deadline propagation."""
    with tempfile.TemporaryDirectory() as folder:
        keys = write_key_file(Path(folder))
        profile = profile or ApplicationProfile(
            propagates_deadline=False, copies_budget_header=True, service_time_by_tier=SERVICE_TIMES
        )
        calls = profile.requests_per_tier
        settings = (
            Budgets(str(keys), attempts=ATTEMPTS_PER_TREE, calls_per_request=calls) if budgets else None
        )
        description = describe_chain(tiers, hosts, settings, misroute)
        edge = f'[budgets]\nkeys_file = "{keys}"\nedge = true\nattempts = {ATTEMPTS_PER_TREE}\n'
        options = DeploymentOptions(
            profile,
            routes={TIERS[tiers]: TIERS[0]} if misroute else {},
            skews=skew_arguments(description.sidecars) if skew else {},
            edge_operator=edge if budgets else "",
            tiers_without_budgets=tiers_without_budgets,
        )
        async with running_deployment(description, options) as deployment:
            yield Chain(deployment, keys)


async def run_and_print(options: argparse.Namespace) -> int:
    """Run a chain and print the outcomes of its requests; return the exit code."""
    on = options.budgets == "on"
    async with running_chain(options.tiers, options.hosts, on, options.misroute, options.skew) as chain:
        clients = chain.deployment.clients
        assert clients is not None
        await clients.run(options.seconds, options.rate)
        codes = clients.status_codes
        violations = chain.deployment.recorder.audit(
            {name: cls.idempotency for name, cls in chain.deployment.classes.items()}
        )
        late = chain.late_attempts(0.0)
        max_attempts = max(chain.attempts_by_root().values(), default=0)
        max_depth = max(
            (chain.depth(attempt.request_id) for attempt in chain.deployment.recorder.attempts), default=0
        )
        print(f"calls {codes.total()}: served {codes[200]}, refused {codes[503]}")
        print(
            f"started late: {len(late)}, by up to {max((late_by for _, late_by in late), default=0.0):.3f} s"
        )
        print(f"attempts of a request: {max_attempts} at most; hops {max_depth}")
        print(f"loops reported: {chain.reported_loops()}; rules broken: {len(violations)}")
        for violation in violations[:3]:
            print(violation)
    return 1 if violations else 0


def main(argv: list[str] | None = None) -> int:
    """Run a chain with the command line's options; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.tier_chain",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--tiers", type=int, default=2, choices=(1, 2, 3))
    parser.add_argument("--hosts", type=int, default=2, choices=(1, 2, 3, 4))
    parser.add_argument("--budgets", default="on", choices=("on", "off"))
    parser.add_argument("--misroute", action="store_true")
    parser.add_argument("--skew", action="store_true")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=20.0, help="calls a second")
    options = parser.parse_args(argv)
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(run_and_print(options))


if __name__ == "__main__":
    sys.exit(main())
