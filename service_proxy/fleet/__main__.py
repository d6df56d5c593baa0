"""The command: ask a member what it sees.

    python -m service_proxy.fleet view --of HOST:PORT [--json] [--watch] [--operator FILE]

Exit code 0: settled; 3: it has not settled; 1: nobody answered; 2: the call is wrong. `--operator` names the
file with the fleet's keys, where its datagrams are sealed. HOST:PORT is a member's `listen`, from its own
machine, or where another member reaches it.
"""

from __future__ import annotations

import argparse
import json
import secrets
import socket
import sys
import time

from service_proxy.fleet.entries import first_run
from service_proxy.fleet.guard import Seals
from service_proxy.fleet.pages import Page, Row, question, read_page, remarks
from service_proxy.fleet.wire import MOST_DATAGRAM, Malformed
from service_proxy.operator_file import OperatorError
from service_proxy.operator_file.schema import address_fault

PATIENCE = 0.5  # s for one answer
TRIES = 4  # of one question
EVERY = 1.0  # s between two looks
NOT_SETTLED = 3
CLEAR = "\x1b[H\x1b[J"  # ECMA-48: cursor home, erase to the end


class NoAnswer(Exception):
    """The message says which address, and what came instead."""


class Asker:
    """One socket, and the numbers of its questions."""

    def __init__(self, at: tuple[str, int], seals: Seals) -> None:
        self.at = at
        self.seals = seals
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(at)
        self.run, self.life = first_run(time.time()), 1 + secrets.randbelow(65535)
        self.number = 0

    def page(self, first: int) -> Page:
        """Raises NoAnswer."""
        instead = "nothing came"
        for _ in range(TRIES):
            self.number += 1
            due = time.monotonic() + PATIENCE
            try:
                self.socket.send(question(first, self.number, self.run, self.life, self.seals))
                while (left := due - time.monotonic()) > 0:
                    self.socket.settimeout(left)
                    try:
                        page = read_page(self.socket.recv(MOST_DATAGRAM), self.seals)
                        if page.number == self.number & 0xFFFF:
                            return page
                    except Malformed as fault:
                        instead = f"what came is of no use: {fault}"
            except TimeoutError:
                continue
            except OSError as fault:
                instead = str(fault)
                time.sleep(max(0.0, due - time.monotonic()))
        raise NoAnswer(f"{self.at[0]}:{self.at[1]} did not answer: {instead}")

    def view(self) -> tuple[Page, list[Row]]:
        """All of it; a view that changes meanwhile may lack a row, and is then not told as settled."""
        page = self.page(0)
        rows = list(page.members)
        while len(rows) < page.rows:
            more = self.page(len(rows))
            if not more.members:
                break
            rows += more.members
            page = more
        return page, rows


def table(page: Page, rows: list[Row]) -> list[str]:
    said = "settled" if page.settled else "not settled"
    lines = [
        f"fleet {page.fleet}: {page.living} live, {page.dead} dead, {page.left} left; {said}, "
        f"change {page.changes}, view {page.digest:016x}",
        f"{'name':<20}{'state':<9}{'phase':<10}{'tier':<12}{'zone':<8}{'address':<22}{'in flight':<10}"
        f"{'list':<9}{'heard':<8}incarnation",
    ]
    for row in sorted(rows, key=lambda row: (row.tier, row.name)):
        heard = "-" if row.heard is None else f"{row.heard:.1f} s"
        flying = "-" if row.tenths is None else f"{row.tenths}/10"
        listed = str(row.list_version) if row.list_version else "-"
        lines.append(
            f"{row.name:<20}{row.state.value:<9}{row.phase.name.lower():<10}{row.tier:<12}{row.zone:<8}"
            f"{row.address:<22}{flying:<10}{listed:<9}{heard:<8}{row.incarnation}"
        )
    return lines + remarks(page, rows)


def as_json(page: Page, rows: list[Row]) -> str:
    members = [
        {
            "name": row.name,
            "state": row.state.value,
            "phase": row.phase.name.lower(),
            "tier": row.tier,
            "zone": row.zone,
            "address": row.address,
            "incarnation": str(row.incarnation),
            "reached": row.way or "directly",
            "in_flight_tenths": row.tenths,
            "list_version": row.list_version,
            "heard_s_ago": row.heard,
        }
        for row in rows
    ]
    whole = {
        "fleet": page.fleet,
        "settled": page.settled,
        "minority": page.minority,
        "conflict": page.conflict,
        "alone": page.alone,
        "living": page.living,
        "dead": page.dead,
        "left": page.left,
        "changes": page.changes,
        "instances": page.instances,
        "view": f"{page.digest:016x}",
        "members": members,
        "remarks": remarks(page, rows),
    }
    return json.dumps(whole, indent=1)


def seals_of(file: str | None) -> Seals:
    """Raises OperatorError."""
    if file is None:
        return Seals()
    from service_proxy.composition import read_fleet_keys
    from service_proxy.operator_file import load

    return Seals(read_fleet_keys(load(file)))


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    view = commands.add_parser("view", help="what one member sees")
    view.add_argument("--of", required=True, metavar="HOST:PORT")
    view.add_argument("--json", action="store_true")
    view.add_argument("--watch", action="store_true", help="again each second, until Ctrl-C")
    view.add_argument("--operator", metavar="FILE", help="the operator's file, for the fleet's keys")
    wanted = parser.parse_args(argv)
    fault = address_fault(wanted.of)
    if fault is not None:
        print(f"--of {fault}; write the member's `listen`, such as 10.0.0.4:7946", file=sys.stderr)
        return 2
    host, _, port = wanted.of.rpartition(":")
    try:
        asker = Asker((host, int(port)), seals_of(wanted.operator))
    except OperatorError as error:
        print(error, file=sys.stderr)
        return 2
    try:
        return watch(asker, wanted.json) if wanted.watch else look(asker, wanted.json)
    except NoAnswer as error:
        print(f"{error}; is it up, and is this its machine or a member's?", file=sys.stderr)
        return 1


def look(asker: Asker, json_form: bool, before: str = "") -> int:
    page, rows = asker.view()
    text = as_json(page, rows) if json_form else "\n".join(table(page, rows))
    print(before + text, flush=True)
    return 0 if page.settled else NOT_SETTLED


def watch(asker: Asker, json_form: bool) -> int:
    code = 0
    try:
        while True:
            code = look(asker, json_form, "" if json_form or not sys.stdout.isatty() else CLEAR)
            time.sleep(EVERY)
    except KeyboardInterrupt:
        return code


if __name__ == "__main__":
    sys.exit(main())
