"""Command line for operators: show the records of a store, verify the store, or remove one record.

    python -m service_proxy.recovery show STORE [--loss WHAT] [--zone ZONE] [--json]
    python -m service_proxy.recovery verify STORE
    python -m service_proxy.recovery forget STORE KIND NAME

`show` prints how far each record would be trusted now, and the reason. `--loss` states which outage is
assumed (process, machine, zone or fleet; unknown by default). Exit codes: 0: the command succeeded and the
store is whole; 3: the store is damaged, and its readable records are shown; 1: the store doesn't exist,
can't be read or, for `forget`, belongs to a running process; 2: the command line is invalid.
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
MAX_ROWS_PER_KIND = 20  # Rows that `show` prints per kind without --all.
OUTAGES_BY_FLAG = {outage.name.lower(): outage for outage in OutageScope}
UNITS_S = (("d", 86_400), ("h", 3_600), ("min", 60))
COLUMNS = ("trust", "why", "at")  # Fields that `show` prints in columns of their own.
# Output names of stored fields whose stored names have another meaning in the output: the kind of the record,
# and the reason for its validity.
OUTPUT_NAMES = {"kind": "server_kind", "why": "reason"}


class CommandError(RecoveryError):
    """Error of a command that can't be carried out; its message gives the cause and the remedy."""


class Row(NamedTuple):
    """One record as `show` prints it; `fields` uses the names of the output."""

    kind: str
    name: str
    fields: dict[str, Any]


def read(path: Path) -> StoreContents:
    """Read the store in a directory.

    Raises:
        CommandError: the directory holds no store, or the store can't be read.
    """
    if not path.is_dir():
        raise CommandError(f"{path} is not a folder; give the folder that `store` in [recovery] names")
    try:
        contents = read_store(StoreDirectory(path), None)
    except (StoreRejectedError, OSError) as error:
        raise CommandError(f"{path}: {error}") from None
    if not contents.generation:
        raise CommandError(f"{path} holds no store")
    return contents


def assessed_rows(contents: StoreContents, context: RestartContext) -> Iterable[Row]:
    """Yield each record with its validity and the reason for it."""
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
    """Print all records with the validity that each would have now; return the exit code."""
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
    print(f"generation {contents.generation}, started {written}; assumed outage: {context.outage.value}")
    if context.clock_went_backward:
        ahead = context.latest_known_time - context.now
        print(f"the clock went back: the newest fact is {ahead:.0f} s ahead of the clock")
    counts: dict[str, int] = {}
    for row in assessed_rows(contents, context):
        counts[row.kind] = counts.get(row.kind, 0) + 1
        if show_all or counts[row.kind] <= MAX_ROWS_PER_KIND:
            print_row(row, context.now)
    for kind, count in counts.items():
        if not show_all and count > MAX_ROWS_PER_KIND:
            print(f"{kind}: {count - MAX_ROWS_PER_KIND} more; --all shows them")


def print_row(row: Row, now: float) -> None:
    """Print one record and, on the next line, the reason for its validity."""
    other_fields = {name: value for name, value in row.fields.items() if name not in COLUMNS}
    details = " ".join(
        f"{name}={value}" for name, value in other_fields.items() if value not in ("", 0, False)
    )
    age = format_age(row.fields["at"], now)
    print(f"{row.kind:<12}{row.name or '-':<20}{row.fields['trust']:<9}{age:<16}{details}")
    print(f"{'':<32}{row.fields['why']}")


def format_age(at: float, now: float) -> str:
    """Format the distance of a wall time from `now`, in the largest unit of which it has at least two."""
    distance = now - at
    direction = "ago" if distance >= 0 else "ahead"
    for unit, size in UNITS_S:
        if abs(distance) >= 2 * size:
            return f"{abs(distance) / size:.0f} {unit} {direction}"
    return f"{abs(distance):.0f} s {direction}"


def print_damage(contents: StoreContents) -> None:
    """Print the damage of a store and the size of its torn write."""
    for detail in contents.damage:
        print(f"damaged: {detail}")
    if contents.torn_bytes:
        torn_bytes = contents.torn_bytes
        print(f"{torn_bytes} bytes of an incomplete write are ignored; this is not damage")


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
    """Remove one record in the same way as the process that owns the store; return the exit code.

    That process must not be running.

    Raises:
        CommandError: the record doesn't exist, the store is in use, or the store can't be written.
    """
    if kind not in RECORD_TYPES:
        raise CommandError(f"{kind} is not a kind of fact; the kinds are {', '.join(RECORD_TYPES)}")
    directory = StoreDirectory(path)
    contents = read(path)
    if name not in contents.state.tables[kind]:
        raise CommandError(f"there is no {kind} {name!r} in {path}; `show --all` prints all names")
    if not directory.lock():
        raise CommandError(
            f"a running process has {path} locked: stop the process first, or use its admin server instead"
        )
    try:
        store = Store(directory, contents.owner)
        store.start_generation(read(path), now)
        store.append([drop_operation(kind, name)], now)
        store.close()
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    finally:
        directory.unlock()
    print(f"{kind} {name} was removed")
    return EXIT_OK


def create_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.recovery",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    show_parser = commands.add_parser("show", help="print the records and how far each would be trusted now")
    show_parser.add_argument(
        "--loss", choices=sorted(OUTAGES_BY_FLAG), default="unknown", help="outage that is assumed"
    )
    show_parser.add_argument("--zone", default="", help="zone of this proxy, for --loss zone")
    show_parser.add_argument("--all", action="store_true", help="print all facts of each kind")
    show_parser.add_argument("--json", action="store_true")
    verify_parser = commands.add_parser("verify", help="check that the store is whole")
    forget_parser = commands.add_parser(
        "forget", help="remove one fact while the process of the store is not running"
    )
    for command in (show_parser, verify_parser, forget_parser):
        command.add_argument("store", type=Path, metavar="STORE")
    forget_parser.add_argument("kind", metavar="KIND")
    forget_parser.add_argument("name", metavar="NAME")
    return parser


def main(argv: list[str] | None = None, now: float | None = None) -> int:
    """Run the command and return its exit code; `now` replaces the wall time (s) in tests."""
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
