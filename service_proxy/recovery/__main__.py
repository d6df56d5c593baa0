"""The command for staff: what a store holds, whether it is whole, and one fact out of it.

    python -m service_proxy.recovery show STORE [--loss WHAT] [--zone ZONE] [--json]
    python -m service_proxy.recovery verify STORE
    python -m service_proxy.recovery forget STORE KIND NAME

`show` says how far each fact would be trusted now, and why; `--loss` says what happened (process, machine,
zone, fleet; unknown if left out). Exit code 0: done, and the store is whole; 3: it is damaged, and what is
shown is what can be read; 1: there is no store, or it is a running process's (`forget`) or can't be read;
2: the call is wrong.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from service_proxy.recovery.persisted_records import KINDS, Keyed, drop
from service_proxy.recovery.record_format import FORMAT
from service_proxy.recovery.store import Found, Owner, Refused, Store, read_store
from service_proxy.recovery.store_directory import Folder
from service_proxy.recovery.validity_rules import Loss, Situation, judge, repeat

DAMAGED = 3
MOST_LINES = 20  # of one kind, but with --all
LOSSES = {loss.name.lower(): loss for loss in Loss}


class Failed(Exception):
    """The message says what is wrong, and what to do."""


def read(path: Path) -> Found:
    """Raises Failed."""
    if not path.is_dir():
        raise Failed(f"{path} is no folder; write the folder of `store` in [recovery]")
    try:
        found = read_store(Folder(path), None)
    except (Refused, OSError) as fault:
        raise Failed(f"{path}: {fault}") from None
    if not found.generation:
        raise Failed(f"{path} holds no store")
    return found


def rows(found: Found, situation: Situation) -> Iterable[tuple[str, str, dict[str, Any]]]:
    """Kind, name, and what can be said of a fact."""
    for kind, table in found.state.tables.items():
        for name, fact in table.items():
            verdict = judge(fact, situation)
            row = {**asdict(fact), "trust": verdict.trust.value, "why": verdict.why}
            if isinstance(fact, Keyed):
                row["repeat"] = repeat(fact, situation).value
            yield kind, name, row


def show(path: Path, loss: Loss, zone: str, whole: bool, as_json: bool, now: float) -> int:
    found = read(path)
    lost = frozenset({zone}) if loss is Loss.ZONE else frozenset()
    situation = Situation(now, loss, lost, found.state.newest, bool(found.damaged))
    if as_json:
        print(
            json.dumps(
                {
                    "generation": found.generation,
                    "written": found.at,
                    "torn_bytes": found.torn,
                    "damaged": found.damaged,
                    "loss": loss.value,
                    "clock_went_back": situation.clock_went_back,
                    "blind_until": found.state.blind,
                    "facts": [
                        {"kind": kind, "name": name, **row} for kind, name, row in rows(found, situation)
                    ],
                },
                indent=1,
            )
        )
        return DAMAGED if found.damaged else 0
    print(f"generation {found.generation}, begun {ago(found.at, now)}; judged as: {loss.value}")
    if situation.clock_went_back:
        print(f"the clock went back: the newest fact lies {situation.seen - now:.0f} s ahead of it")
    shown: dict[str, int] = {}
    for kind, name, row in rows(found, situation):
        shown[kind] = shown.get(kind, 0) + 1
        if whole or shown[kind] <= MOST_LINES:
            rest = {key: value for key, value in row.items() if key not in ("trust", "why", "at")}
            said = " ".join(f"{key}={value}" for key, value in rest.items() if value not in ("", 0, False))
            print(f"{kind:<12}{name or '-':<20}{row['trust']:<9}{ago(row['at'], now):<16}{said}")
            print(f"{'':<32}{row['why']}")
    for kind, count in shown.items():
        if not whole and count > MOST_LINES:
            print(f"{kind}: {count - MOST_LINES} more; --all shows them")
    return said_damage(found)


def ago(at: float, now: float) -> str:
    span = now - at
    word = "ago" if span >= 0 else "ahead"
    for unit, size in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if abs(span) >= 2 * size:
            return f"{abs(span) / size:.0f} {unit} {word}"
    return f"{abs(span):.0f} s {word}"


def said_damage(found: Found) -> int:
    for what in found.damaged:
        print(f"damaged: {what}")
    if found.torn:
        print(f"{found.torn} bytes of a record that was being written were left out, as they should be")
    return DAMAGED if found.damaged else 0


def verify(path: Path) -> int:
    found = read(path)
    kinds = ", ".join(f"{len(table)} {kind}" for kind, table in found.state.tables.items() if table)
    print(f"format {FORMAT}, generation {found.generation}, {found.snapshot_bytes} + {found.log_bytes} bytes")
    print(f"{len(found.state)} facts: {kinds or 'none'}")
    return said_damage(found)


def forget(path: Path, kind: str, name: str, now: float) -> int:
    """As the process that owns the store would, which must not run."""
    if kind not in KINDS:
        raise Failed(f"{kind} is no kind of fact; kinds are {', '.join(KINDS)}")
    folder = Folder(path)
    found = read(path)
    if name not in found.state.tables[kind]:
        raise Failed(f"there is no {kind} {name!r} in {path}; `show --all` has all names")
    if not folder.lock():
        raise Failed(f"a running process has {path}: end it first, or tell it by its own console")
    try:
        head = found.owner
        store = Store(folder, Owner(head.name, head.machine))
        store.begin(read(path), now)
        store.append([drop(kind, name)], now)
        store.close()
    except OSError as fault:
        raise Failed(f"{path}: {fault.strerror}") from None
    finally:
        folder.unlock()
    print(f"{kind} {name} is forgotten")
    return 0


def main(argv: list[str] | None = None, now: float | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.recovery",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    shows = commands.add_parser("show", help="what is in it, and what would be trusted now")
    shows.add_argument("--loss", choices=sorted(LOSSES), default="unknown", help="what happened")
    shows.add_argument("--zone", default="", help="this proxy's zone, for --loss zone")
    shows.add_argument("--all", action="store_true", help="each fact, however many")
    shows.add_argument("--json", action="store_true")
    verifies = commands.add_parser("verify", help="whether it is whole")
    forgets = commands.add_parser("forget", help="one fact out, while its process does not run")
    for command in (shows, verifies, forgets):
        command.add_argument("store", type=Path, metavar="STORE")
    forgets.add_argument("kind", metavar="KIND")
    forgets.add_argument("name", metavar="NAME")
    wanted = parser.parse_args(argv)
    now = time.time() if now is None else now
    try:
        if wanted.command == "show":
            return show(wanted.store, LOSSES[wanted.loss], wanted.zone, wanted.all, wanted.json, now)
        if wanted.command == "verify":
            return verify(wanted.store)
        return forget(wanted.store, wanted.kind, wanted.name, now)
    except Failed as fault:
        print(fault, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
