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

from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.errors import MalformedDatagramError, NoAnswerError
from service_proxy.fleet.members import initial_generation
from service_proxy.fleet.view_query import (
    ViewPage,
    ViewRow,
    decode_view_page,
    diagnose_view,
    encode_view_request,
)
from service_proxy.fleet.wire import MAX_DATAGRAM_BYTES
from service_proxy.operator_file import OperatorError, load
from service_proxy.operator_file.key_file import read_fleet_keys
from service_proxy.operator_file.schema import address_fault

PATIENCE = 0.5  # s for one answer
TRIES = 4  # of one question
EVERY = 1.0  # s between two looks
NOT_SETTLED = 3
CLEAR = "\x1b[H\x1b[J"  # ECMA-48: cursor home, erase to the end


class Asker:
    """One socket, and the numbers of its questions."""

    def __init__(self, at: tuple[str, int], seals: MessageAuthenticator) -> None:
        self.at = at
        self.seals = seals
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(at)
        self.run, self.life = initial_generation(time.time()), 1 + secrets.randbelow(65535)
        self.number = 0

    def page(self, first: int) -> ViewPage:
        """Raises NoAnswerError."""
        instead = "nothing came"
        for _ in range(TRIES):
            self.number += 1
            due = time.monotonic() + PATIENCE
            try:
                self.socket.send(encode_view_request(first, self.number, self.run, self.life, self.seals))
                while (left := due - time.monotonic()) > 0:
                    self.socket.settimeout(left)
                    try:
                        page = decode_view_page(self.socket.recv(MAX_DATAGRAM_BYTES), self.seals)
                        if page.request_id == self.number & 0xFFFF:
                            return page
                    except MalformedDatagramError as fault:
                        instead = f"what came is of no use: {fault}"
            except TimeoutError:
                continue
            except OSError as fault:
                instead = str(fault)
                time.sleep(max(0.0, due - time.monotonic()))
        raise NoAnswerError(self.at, instead)

    def view(self) -> tuple[ViewPage, list[ViewRow]]:
        """All of it; a view that changes meanwhile may lack a row, and is then not told as settled."""
        page = self.page(0)
        rows = list(page.rows)
        while len(rows) < page.row_count:
            more = self.page(len(rows))
            if not more.rows:
                break
            rows += more.rows
            page = more
        return page, rows


def table(page: ViewPage, rows: list[ViewRow]) -> list[str]:
    said = "settled" if page.settled else "not settled"
    lines = [
        f"fleet {page.fleet}: {page.alive_count} live, {page.dead_count} dead, {page.left_count} left; "
        f"{said}, change {page.revision}, view {page.digest:016x}",
        f"{'name':<20}{'state':<9}{'phase':<10}{'tier':<12}{'zone':<8}{'address':<22}{'in flight':<10}"
        f"{'list':<9}{'heard':<8}incarnation",
    ]
    for row in sorted(rows, key=lambda row: (row.tier, row.name)):
        heard = "-" if row.last_contact_age_s is None else f"{row.last_contact_age_s:.1f} s"
        flying = "-" if row.in_flight_tenths is None else f"{row.in_flight_tenths}/10"
        listed = str(row.list_version) if row.list_version else "-"
        lines.append(
            f"{row.name:<20}{row.state.value:<9}{row.phase.name.lower():<10}{row.tier:<12}{row.zone:<8}"
            f"{row.address:<22}{flying:<10}{listed:<9}{heard:<8}{row.incarnation}"
        )
    return lines + diagnose_view(page, rows)


def as_json(page: ViewPage, rows: list[ViewRow]) -> str:
    members = [
        {
            "name": row.name,
            "state": row.state.value,
            "phase": row.phase.name.lower(),
            "tier": row.tier,
            "zone": row.zone,
            "address": row.address,
            "incarnation": str(row.incarnation),
            "reached": row.path or "directly",
            "in_flight_tenths": row.in_flight_tenths,
            "list_version": row.list_version,
            "heard_s_ago": row.last_contact_age_s,
        }
        for row in rows
    ]
    whole = {
        "fleet": page.fleet,
        "settled": page.settled,
        "minority": page.is_minority,
        "conflict": page.in_conflict,
        "alone": page.isolated,
        "living": page.alive_count,
        "dead": page.dead_count,
        "left": page.left_count,
        "changes": page.revision,
        "instances": page.serving_count,
        "view": f"{page.digest:016x}",
        "members": members,
        "remarks": diagnose_view(page, rows),
    }
    return json.dumps(whole, indent=1)


def seals_of(file: str | None) -> MessageAuthenticator:
    """Raises OperatorError."""
    if file is None:
        return MessageAuthenticator()
    return MessageAuthenticator(read_fleet_keys(load(file)))


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
    except NoAnswerError as error:
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
