"""A described installation, tried here: its sidecars for real, embedded stand-ins for all else, real calls.

    python -m harness.trial FILE [--environment NAME] [--seconds 10] [--rate 40]

`python -m service_proxy.sidecar try FILE` is the same, after a check of the file. A live table on a terminal,
else a line a second. Exit code 0 where all calls were served and no rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import Any

import uvloop

from harness.world import World, world
from service_proxy.operator_file.reader import OperatorError
from service_proxy.sidecar.description import load
from service_proxy.sidecar.model import Description

LOOK = 0.5  # s between two looks at a terminal
LINE = 1.0  # s between two lines elsewhere
MOST_ROWS = 24
# ECMA-48: cursor to the top left, erase to the end
HOME = "\x1b[H"
CLEAR = "\x1b[J"


def rows(world: World, passed: float, seconds: float) -> list[str]:
    """The table: each server with what it did."""
    assert world.callers is not None
    assert world.edge is not None
    codes = world.callers.codes
    other = codes.total() - codes[200] - codes[503]
    host, port = world.edge.address
    found = [
        f"{world.description.top.application}: {passed:.0f} of {seconds:.0f} s; calls to http://{host}:{port}",
        f"served {codes[200]}  refused {codes[503]}  failed {other}  under way {len(world.callers.open)}",
        f"{'server':<24}{'zone':<10}{'inbound':<18}{'calls':>7}{'a second':>10}",
    ]
    servers = [
        (entry.name, entry.sidecar.zone, entry.sidecar.inbound, entry.application) for entry in world.hosts
    ]
    servers += [(backend.name, backend.zone, backend.address, backend) for _, backend in world.plain]
    for name, zone, at, application in servers[:MOST_ROWS]:
        rate = application.seen / passed if passed else 0.0
        found.append(f"{name:<24}{zone:<10}{at:<18}{application.seen:>7}{rate:>10.1f}")
    if len(servers) > MOST_ROWS:
        found.append(f"... and {len(servers) - MOST_ROWS} more")
    return found


async def show(world: World, seconds: float, live: bool) -> None:
    loop = asyncio.get_running_loop()
    begun = loop.time()
    while True:
        passed = loop.time() - begun
        table = rows(world, passed, seconds)
        if live:
            print(HOME + "\n".join(f"{line}\x1b[K" for line in table) + "\n" + CLEAR, end="", flush=True)
        else:
            print(f"{passed:.0f} s: {table[1]}", flush=True)
        await asyncio.sleep(LOOK if live else LINE)


async def trial(description: Description, seconds: float, rate: float, live: bool) -> int:
    print(f"starting {len(description.sidecars)} sidecars and their stand-ins ...", flush=True)
    async with world(description) as made:
        assert made.callers is not None
        assert made.edge is not None
        if live:
            print("\x1b[2J", end="")
        showing = asyncio.create_task(show(made, seconds, live))
        try:
            await made.callers.run(seconds, rate)
        finally:
            showing.cancel()
        if live:
            print("\n".join(rows(made, seconds, seconds)))
        else:
            print("\n".join(rows(made, seconds, seconds)[2:]))
        codes = made.callers.codes
        total = codes.total() + made.callers.unsent
        effects: Any = {name: cls.effect for name, cls in made.classes.items()}
        broken = made.ledger.audit(effects)
    print(f"{codes[200]} of {total} calls served; rules broken: {len(broken)}")
    for violation in broken[:3]:
        print(violation)
    return 0 if total and codes[200] == total and not broken else 1


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m harness.trial",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--environment", default="")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=40.0, help="calls a second")
    wanted = parser.parse_args(argv)
    try:
        _, description = load(wanted.file, wanted.environment)
    except OperatorError as fault:
        print(fault, file=sys.stderr)
        return 2
    if description is None or not description.tiers:
        print(f"{wanted.file}: see `check`, or add a tier", file=sys.stderr)
        return 1
    work = trial(description, wanted.seconds, wanted.rate, sys.stdout.isatty())
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(work)


if __name__ == "__main__":
    sys.exit(main())
