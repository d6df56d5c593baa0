"""One power loss under load, played by a script on a site of real processes, and what came of it.

    python -m rigs.recovery.outage --script N [--seed 1] [--members 24] [--nodos 48] [--off] [--root FOLDER]

Prints the outcome as one JSON object. `--off`: without [recovery]; `--root`: a checkout whose program it is.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import time
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import uvloop

from rigs.fleet.world import Setup, made
from rigs.program import ROOT
from rigs.recovery.callers import Persistent
from rigs.recovery.site import CLASSES, WORTH, Script, Site, scripts

BEFORE = 6.0  # s of calls before the loss, of which the last USUAL are what was usual
USUAL = 4.0
WINDOW = 2.0  # s over which worth is counted, to say that it is back
BACK = 0.9  # of the usual worth
LONGEST = 60.0  # s after the last nodo's start for which it is watched
AFTER = 6.0  # s that it is watched on once service is back: it might fall again
PHASE = re.compile(r"recovery: (\w+) -> (\w+) after")


@dataclass(slots=True)
class Outcome:
    script: str
    usual: float  # worth a second before
    back: float | None  # s from the last nodo's start until BACK of that is served again
    falls: int  # of nodos that were pushed over
    first_tries: int  # after the loss
    refused: float  # refusals for each of them
    broken: list[str]  # rules, by the audit over all proxies together
    keyed_twice: int  # keys that ran before the loss and again after it
    raised: int  # exceptions in logs
    series: dict[str, list[float]]  # of each class, worth served in each second since the loss less BEFORE
    phases: dict[str, list[tuple[float, str]]]  # of each proxy, s since the loss


async def outage(setup: Setup, script: Script) -> Outcome:
    async with made(Site, setup) as site:
        if setup.view:
            await site.observer.settle(90.0, True)
        if setup.recovery:
            await _steady(site, 90.0)
        await asyncio.sleep(BEFORE)
        lost = site.loop.time()
        usual = _worth(site, lost - USUAL, lost) / USUAL
        await site.play(script)
        back = None
        end = site.last_nodo or site.loop.time()
        due = max(end, lost) + LONGEST
        while site.loop.time() < due:
            await asyncio.sleep(0.25)
            now = site.loop.time()
            served = _worth(site, now - WINDOW, now)
            if back is None and now >= end + WINDOW / 2 and served >= BACK * usual * WINDOW:
                back = max(0.0, now - end)
                due = now + max(AFTER, min(LONGEST, setup.cold - back))
        for users in site.callers:
            if isinstance(users, Persistent):
                users.stopped = True
        await site.quiet()
        site.observer.read_logs()
        return _judged(site, script, usual, back, lost)


async def _steady(site: Site, patience: float) -> None:
    due = time.monotonic() + patience
    while time.monotonic() < due:
        site.observer.read_logs()
        told = [site.observer.lines.get(seat.name, []) for seat in site.seats]
        if all(any("-> steady" in line for line in lines) for lines in told):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("not all were steady before the loss")


def _wishes(site: Site) -> list[Any]:
    return [wish for users in site.callers if isinstance(users, Persistent) for wish in users.wishes]


def _worth(site: Site, begin: float, end: float) -> float:
    served = (wish for wish in _wishes(site) if wish.codes[-1:] == (200,))
    return sum(WORTH[wish.cls.name] for wish in served if begin <= wish.over < end)


def _judged(site: Site, script: Script, usual: float, back: float | None, lost: float) -> Outcome:
    after = [wish for wish in _wishes(site) if wish.begun >= lost]
    refused = sum(sum(code in (429, 503) for code in wish.codes) for wish in after)
    series: dict[str, list[float]] = {name: [] for name in CLASSES}
    for wish in _wishes(site):
        if wish.codes[-1:] == (200,) and wish.over >= lost - BEFORE:
            seconds = series[wish.cls.name]
            at = int(wish.over - lost + BEFORE)
            seconds += [0.0] * (at + 1 - len(seconds))
            seconds[at] += WORTH[wish.cls.name]
    lines = [line for some in site.observer.lines.values() for line in some]
    first = site.first_nodos
    ran: defaultdict[str, Counter[bool]] = defaultdict(Counter)
    for attempt in site.ledger.attempts:
        if attempt.ran and attempt.key and attempt.server in first:
            ran[attempt.key][attempt.ran_at > lost] += 1
    return Outcome(
        script.name, usual, back, site.falls, len(after), refused / max(1, len(after)),
        [str(item) for item in site.audit()], sum(len(some) == 2 for some in ran.values()),
        sum("Traceback" in line for line in lines), series, _phases(site),
    )  # fmt: skip


def _phases(site: Site) -> dict[str, list[tuple[float, str]]]:
    """In the order of the log; its times are the wall's, so each is given as s since its own first line."""
    found: dict[str, list[tuple[float, str]]] = {}
    for seat in site.seats:
        for line in site.observer.lines.get(seat.name, []):
            step = PHASE.search(line)
            if step is not None:
                span = float(line.partition(" after ")[2].partition(" s")[0])
                found.setdefault(seat.name, []).append((span, step.group(2)))
    return found


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m rigs.recovery.outage")
    parser.add_argument("--script", type=int, required=True, help="0 to 9")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--members", type=int, default=24)
    parser.add_argument("--nodos", type=int, default=48)
    parser.add_argument("--cold", type=float, default=12.0, help="s for which a nodo is cold")
    parser.add_argument("--rate", type=float, default=12.0, help="first tries a second at each proxy")
    parser.add_argument("--off", action="store_true")
    parser.add_argument("--root", type=Path, default=ROOT)
    wanted = parser.parse_args()
    setup = Setup(
        members=wanted.members, nodos=wanted.nodos, rate=wanted.rate, period=1.0, recovery=not wanted.off,
        cold=wanted.cold, seed=wanted.seed, root=wanted.root,
    )  # fmt: skip
    script = scripts(wanted.seed, wanted.members, wanted.nodos)[wanted.script]
    found = asyncio.Runner(loop_factory=uvloop.new_event_loop).run(outage(setup, script))
    print(json.dumps(asdict(found)))


if __name__ == "__main__":
    main()
