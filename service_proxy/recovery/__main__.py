"""The operators' command: show what a store holds, verify it, and remove one record.

    python -m service_proxy.recovery show STORE [--loss WHAT] [--zone ZONE] [--json]
    python -m service_proxy.recovery verify STORE
    python -m service_proxy.recovery forget STORE KIND NAME

`show` says how far each record would be trusted now, and why; `--loss` says what happened (process, machine,
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
from pathlib import Path
from typing import Any, NamedTuple

from service_proxy.recovery.persisted_records import (
    RECORD_TYPES,
    KeyedRequestRecord,
    drop_operation,
    stored_fields,
)
from service_proxy.recovery.record_format import FORMAT_VERSION, RecoveryError
from service_proxy.recovery.store import Store, StoreContents, StoreRejectedError, read_store
from service_proxy.recovery.store_directory import StoreDirectory
from service_proxy.recovery.validity_rules import OutageScope, RestartContext, assess, retry_permission

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_DAMAGED = 3
MAX_ROWS_PER_KIND = 20  # that `show` prints without --all
OUTAGES_BY_FLAG = {outage.name.lower(): outage for outage in OutageScope}
UNITS_S = (("d", 86_400), ("h", 3_600), ("min", 60))
COLUMNS = ("trust", "why", "at")  # of a row, which `show` prints in columns of their own
# Output names of stored fields whose own names the output uses: a record's kind, and why it counts so.
OUTPUT_NAMES = {"kind": "server_kind", "why": "reason"}


class CommandError(RecoveryError):
    """A command can't be carried out; the message says why, and what to do."""


class Row(NamedTuple):
    """One record as `show` prints it; `fields` have the names of the output."""

    kind: str
    name: str
    fields: dict[str, Any]


def read(path: Path) -> StoreContents:
    """Read the store in a directory.

    Raises:
        CommandError: there is none, or it can't be read.
    """
    if not path.is_dir():
        raise CommandError(f"{path} is no folder; write the folder of `store` in [recovery]")
    try:
        contents = read_store(StoreDirectory(path), None)
    except (StoreRejectedError, OSError) as error:
        raise CommandError(f"{path}: {error}") from None
    if not contents.generation:
        raise CommandError(f"{path} holds no store")
    return contents


def assessed_rows(contents: StoreContents, context: RestartContext) -> Iterable[Row]:
    """Yield each record with how far it counts."""
    for kind, table in contents.state.tables.items():
        for name, record in table.items():
            assessment = assess(record, context)
            fields = {OUTPUT_NAMES.get(key, key): value for key, value in stored_fields(record).items()}
            fields["trust"] = assessment.validity.value
            fields["why"] = assessment.reason
            if isinstance(record, KeyedRequestRecord):
                fields["repeat"] = retry_permission(record, context).value
            yield Row(kind, name, fields)


def show(path: Path, outage: OutageScope, zone: str, show_all: bool, as_json: bool, now: float) -> int:
    """Print all records and how far each would count now; return the exit code."""
    contents = read(path)
    affected_zones = frozenset({zone}) if outage is OutageScope.ZONE else frozenset()
    context = RestartContext(
        now, outage, affected_zones, contents.state.latest_time, is_damaged=bool(contents.damage)
    )
    if as_json:
        print(json.dumps(json_report(contents, context), indent=1))
    else:
        print_report(contents, context, show_all)
        print_damage(contents)
    return exit_code(contents)


def json_report(contents: StoreContents, context: RestartContext) -> dict[str, Any]:
    """Build the output of `show --json`."""
    return {
        "generation": contents.generation,
        "written": contents.started_at,
        "torn_bytes": contents.torn_bytes,
        "damaged": contents.damage,
        "loss": context.outage.value,
        "clock_went_back": context.clock_went_backward,
        "blind_until": contents.state.evicted_until,
        "facts": [
            {"kind": row.kind, "name": row.name, **row.fields} for row in assessed_rows(contents, context)
        ],
    }


def print_report(contents: StoreContents, context: RestartContext, show_all: bool) -> None:
    """Print the output of `show`."""
    written = format_age(contents.started_at, context.now)
    print(f"generation {contents.generation}, begun {written}; judged as: {context.outage.value}")
    if context.clock_went_backward:
        ahead = context.latest_known_time - context.now
        print(f"the clock went back: the newest fact lies {ahead:.0f} s ahead of it")
    counts: dict[str, int] = {}
    for row in assessed_rows(contents, context):
        counts[row.kind] = counts.get(row.kind, 0) + 1
        if show_all or counts[row.kind] <= MAX_ROWS_PER_KIND:
            print_row(row, context.now)
    for kind, count in counts.items():
        if not show_all and count > MAX_ROWS_PER_KIND:
            print(f"{kind}: {count - MAX_ROWS_PER_KIND} more; --all shows them")


def print_row(row: Row, now: float) -> None:
    """Print one record and, on a line of its own, why it counts as it does."""
    rest = {name: value for name, value in row.fields.items() if name not in COLUMNS}
    details = " ".join(f"{name}={value}" for name, value in rest.items() if value not in ("", 0, False))
    age = format_age(row.fields["at"], now)
    print(f"{row.kind:<12}{row.name or '-':<20}{row.fields['trust']:<9}{age:<16}{details}")
    print(f"{'':<32}{row.fields['why']}")


def format_age(at: float, now: float) -> str:
    """Return how long ago or ahead a wall time lies, in the largest unit that fits twice."""
    span = now - at
    direction = "ago" if span >= 0 else "ahead"
    for unit, size in UNITS_S:
        if abs(span) >= 2 * size:
            return f"{abs(span) / size:.0f} {unit} {direction}"
    return f"{abs(span):.0f} s {direction}"


def print_damage(contents: StoreContents) -> None:
    """Print what can't be read."""
    for detail in contents.damage:
        print(f"damaged: {detail}")
    if contents.torn_bytes:
        torn_bytes = contents.torn_bytes
        print(f"{torn_bytes} bytes of a record that was being written were left out, as they should be")


def exit_code(contents: StoreContents) -> int:
    """Return the exit code of a command that has read a store."""
    return EXIT_DAMAGED if contents.damage else EXIT_OK


def verify(path: Path) -> int:
    """Print whether a store is whole; return the exit code."""
    contents = read(path)
    kinds = ", ".join(f"{len(table)} {kind}" for kind, table in contents.state.tables.items() if table)
    sizes = f"{contents.snapshot_bytes} + {contents.log_bytes} bytes"
    print(f"format {FORMAT_VERSION}, generation {contents.generation}, {sizes}")
    print(f"{len(contents.state)} facts: {kinds or 'none'}")
    print_damage(contents)
    return exit_code(contents)


def forget(path: Path, kind: str, name: str, now: float) -> int:
    """Remove one record as the process that owns the store would, which must not run.

    Raises:
        CommandError: there is no such record, the store is in use or can't be written.
    """
    if kind not in RECORD_TYPES:
        raise CommandError(f"{kind} is no kind of fact; kinds are {', '.join(RECORD_TYPES)}")
    directory = StoreDirectory(path)
    contents = read(path)
    if name not in contents.state.tables[kind]:
        raise CommandError(f"there is no {kind} {name!r} in {path}; `show --all` has all names")
    if not directory.lock():
        raise CommandError(f"a running process has {path}: end it first, or tell it by its own console")
    try:
        store = Store(directory, contents.owner)
        store.start_generation(read(path), now)
        store.append([drop_operation(kind, name)], now)
        store.close()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    finally:
        directory.unlock()
    print(f"{kind} {name} is forgotten")
    return EXIT_OK


def create_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.recovery",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    show_parser = commands.add_parser("show", help="what is in it, and what would be trusted now")
    show_parser.add_argument(
        "--loss", choices=sorted(OUTAGES_BY_FLAG), default="unknown", help="what happened"
    )
    show_parser.add_argument("--zone", default="", help="this proxy's zone, for --loss zone")
    show_parser.add_argument("--all", action="store_true", help="each fact, however many")
    show_parser.add_argument("--json", action="store_true")
    verify_parser = commands.add_parser("verify", help="whether it is whole")
    forget_parser = commands.add_parser("forget", help="one fact out, while its process does not run")
    for command in (show_parser, verify_parser, forget_parser):
        command.add_argument("store", type=Path, metavar="STORE")
    forget_parser.add_argument("kind", metavar="KIND")
    forget_parser.add_argument("name", metavar="NAME")
    return parser


def main(argv: list[str] | None = None, now: float | None = None) -> int:
    """Run the command; return its exit code. `now`: wall time, s, for tests."""
    arguments = create_parser().parse_args(argv)
    now = time.time() if now is None else now
    try:
        if arguments.command == "show":
            outage = OUTAGES_BY_FLAG[arguments.loss]
            return show(arguments.store, outage, arguments.zone, arguments.all, arguments.json, now)
        if arguments.command == "verify":
            return verify(arguments.store)
        return forget(arguments.store, arguments.kind, arguments.name, now)
    except CommandError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
