"""A chain of up to three tiers of real sidecars on loopback: budgets on or off, skewed clocks, misroutes.

    python -m harness.chain [--tiers 2] [--hosts 2] [--budgets on|off] [--misroute] [--skew]
                         [--seconds 5] [--rate 20]

Prints what became of the calls, and who worked on which request when nobody waited for it any more.
`--misroute`: the last tier's applications are sent back to the first tier. `--skew`: the clocks of every
second sidecar are an hour off, and step by another hour in the middle.
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

from harness.ledger import Attempt
from harness.world import Habits, World, world
from service_proxy.operator_file.schema import Budgets
from service_proxy.sidecar.model import Class, Description, Features, Route, Sidecar, Tier, Top

TIERS = ("portal", "nucleo", "almacen", "fondo")
ZONES = ("sala-a", "sala-b")
CLASSES = {  # shorter than the site's, so that a run is
    "stock": Class("repeatable", 0.5, 1.0, 12.0),
    "reserva": Class("by-key", 0.8, 1.5, 1.0, "zone", 3.0),
    "canje": Class("once", 1.0, 2.0, 1.0),
}
ROUTES = {
    "stock": Route("always", "all"),
    "reserva": Route("by-key", "zone", 1.5),
    "canje": Route("never-ran"),
}
ATTEMPTS = 12  # of a tree
SLOTS = {"portal": 64, "nucleo": 6, "almacen": 8, "fondo": 8}  # calls at a time of one application
SERVICES = {"portal": 0.05, "nucleo": 0.08, "almacen": 0.004, "fondo": 0.004}  # s that it works on each
STARTED = "127.0.0.1:1"  # an address that the world replaces


def chain(tiers: int, hosts: int, budgets: Budgets | None, misroute: bool = False) -> Description:
    """Each tier calls the next; where `misroute`, the last one calls a tier of its own, which nobody
    serves."""
    names = TIERS[:tiers]
    described = {}
    sidecars = []
    for place, name in enumerate(names):
        calls = (TIERS[place + 1],) if place + 1 < tiers or misroute else ()
        described[name] = Tier(ZONES, tuple(CLASSES), hosts, calls, padron=STARTED, stop_after=3.0)
        for number in range(hosts):
            sidecars.append(
                Sidecar(
                    f"h-{number}",
                    ZONES[number % 2],
                    name,
                    STARTED,
                    STARTED,
                    slots=SLOTS[name],
                    waiting=64,
                    outbound={called: STARTED for called in calls},
                )
            )
    if misroute:
        described[TIERS[tiers]] = Tier(ZONES, tuple(CLASSES), hosts, padron=STARTED, stop_after=3.0)
    top = Top(2, "chain", padron=STARTED)
    return Description(
        "chain", top, dict(CLASSES), dict(ROUTES), described, {}, tuple(sidecars), Features(), budgets
    )


@dataclass(slots=True)
class Chain:
    """A running chain, and what its ledger says of the trees of calls."""

    world: World
    keys: Path  # of all its processes

    def root(self, call: str) -> str:
        """The outermost request that a call was made for."""
        while call in self.world.parents:
            call = self.world.parents[call]
        return call

    def depth(self, call: str) -> int:
        """Hops from the edge to who has the call: 1 for the first tier's."""
        hops = 1
        while call in self.world.parents:
            call = self.world.parents[call]
            hops += 1
        return hops

    def attempts(self) -> Counter[str]:
        """Of each outermost request, those that reached an application."""
        return Counter(self.root(attempt.call) for attempt in self.world.ledger.attempts)

    def late(self, allowance: float) -> list[tuple[Attempt, float]]:
        """Work that was begun when the outermost caller no longer waited, and how late, s."""
        due = {taken.call: taken.due for taken in self.world.ledger.taken}
        found = []
        for attempt in self.world.ledger.attempts:
            behind = attempt.ran_at - due.get(self.root(attempt.call), float("inf"))
            if attempt.ran and behind > allowance:
                found.append((attempt, behind))
        return found

    def loops_told(self) -> int:
        """Lines of the sidecars' logs that name a loop's path."""
        return sum(host.log.read_text().count(": loop_rejected path=") for host in self.world.hosts)


def key_file(folder: Path) -> Path:
    """One key for the processes of a run."""
    keys = folder / "keys"
    keys.touch(0o600)
    keys.write_text(f"k1 {os.urandom(16).hex()}\n")
    return keys


@contextlib.asynccontextmanager
async def running(
    tiers: int = 2,
    hosts: int = 2,
    budgets: bool = True,
    misroute: bool = False,
    skew: bool = False,
    habits: Habits | None = None,
    older: frozenset[str] = frozenset(),
) -> AsyncIterator[Chain]:
    """`older`: tiers whose sidecars know of no budgets."""
    with tempfile.TemporaryDirectory() as folder:
        keys = key_file(Path(folder))
        usual = habits or Habits(passes_time=False, copies_budget=True, services=SERVICES)
        settings = None
        if budgets:
            settings = Budgets(str(keys), attempts=ATTEMPTS, calls_per_request=usual.calls)
        edge = f'[budgets]\nkeys_file = "{keys}"\nedge = true\nattempts = {ATTEMPTS}\n' if budgets else ""
        description = chain(tiers, hosts, settings, misroute)
        skews = {}
        if skew:
            for number, sidecar in enumerate(description.sidecars):
                hour = "3600" if number % 4 < 2 else "-3600"
                if number % 2:
                    skews[f"{sidecar.tier}-{sidecar.host}"] = [
                        f"--wall={hour}",
                        f"--step={hour}",
                        "--at=2",
                        f"--monotonic={number * 1000}",
                    ]
        routes = {TIERS[tiers]: TIERS[0]} if misroute else {}
        async with world(description, usual, routes, skews, edge, older) as made:
            yield Chain(made, keys)


async def show(wanted: argparse.Namespace) -> int:
    on = wanted.budgets == "on"
    async with running(wanted.tiers, wanted.hosts, on, wanted.misroute, wanted.skew) as made:
        callers = made.world.callers
        assert callers is not None
        await callers.run(wanted.seconds, wanted.rate)
        codes = callers.codes
        broken = made.world.ledger.audit({name: cls.effect for name, cls in made.world.classes.items()})
        late = made.late(0.0)
        deepest = max((made.depth(attempt.call) for attempt in made.world.ledger.attempts), default=0)
        print(f"calls {codes.total()}: served {codes[200]}, refused {codes[503]}")
        print(
            f"work begun for nobody: {len(late)}, the latest {max((by for _, by in late), default=0.0):.3f} s"
        )
        print(
            f"attempts of a request: {max(made.attempts().values(), default=0)} at the most; hops {deepest}"
        )
        print(f"loops told: {made.loops_told()}; rules broken: {len(broken)}")
        for violation in broken[:3]:
            print(violation)
    return 1 if broken else 0


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m harness.chain",
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
    wanted = parser.parse_args(argv)
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(show(wanted))


if __name__ == "__main__":
    sys.exit(main())
