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
from service_proxy.fleet.members import MAX_NONCE, initial_generation
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
from service_proxy.operator_file.value_checks import find_address_problem

ANSWER_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 4  # of one request
WATCH_INTERVAL_S = 1.0
EXIT_SETTLED = 0
EXIT_NO_ANSWER = 1
EXIT_BAD_CALL = 2
EXIT_NOT_SETTLED = 3
CLEAR_SCREEN = "\x1b[H\x1b[J"  # ECMA-48: cursor home, erase to the end


class ViewClient:
    """Requests a member's view; one socket, and the ids of its requests. A context manager."""

    def __init__(self, address: tuple[str, int], authenticator: MessageAuthenticator) -> None:
        self.address = address
        self.authenticator = authenticator
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(address)
        self.generation = initial_generation(time.time())
        self.nonce = 1 + secrets.randbelow(MAX_NONCE)
        self.last_request_id = 0

    def __enter__(self) -> ViewClient:
        return self

    def __exit__(self, *_exception: object) -> None:
        self.socket.close()

    def fetch_page(self, first_row: int) -> ViewPage:
        """Return the page from this row on.

        Raises:
            NoAnswerError: there was none to any of several requests.
        """
        cause = "nothing came"
        for _ in range(MAX_ATTEMPTS):
            self.last_request_id += 1
            deadline = time.monotonic() + ANSWER_TIMEOUT_S
            try:
                self.socket.send(
                    encode_view_request(
                        first_row, self.last_request_id, self.generation, self.nonce, self.authenticator
                    )
                )
                while (remaining := deadline - time.monotonic()) > 0:
                    self.socket.settimeout(remaining)
                    try:
                        page = decode_view_page(self.socket.recv(MAX_DATAGRAM_BYTES), self.authenticator)
                    except MalformedDatagramError as error:
                        cause = f"what came is of no use: {error}"
                        continue
                    if page.request_id == self.last_request_id & 0xFFFF:
                        return page
            except TimeoutError:
                continue
            except OSError as error:
                cause = str(error)
                time.sleep(max(0.0, deadline - time.monotonic()))
        raise NoAnswerError(self.address, cause)

    def fetch_view(self) -> tuple[ViewPage, list[ViewRow]]:
        """Return the last page and all rows.

        A view that changes meanwhile may lack a row, and is not settled.
        """
        page = self.fetch_page(0)
        rows = list(page.rows)
        while len(rows) < page.row_count:
            page_of_more = self.fetch_page(len(rows))
            if not page_of_more.rows:
                break
            rows += page_of_more.rows
            page = page_of_more
        return page, rows


def format_table(page: ViewPage, rows: list[ViewRow]) -> list[str]:
    """Return a view as lines of text, with its totals first and remarks last."""
    stability = "settled" if page.settled else "not settled"
    lines = [
        f"fleet {page.fleet}: {page.alive_count} live, {page.dead_count} dead, {page.left_count} left; "
        f"{stability}, change {page.revision}, view {page.digest:016x}",
        f"{'name':<20}{'state':<9}{'phase':<10}{'tier':<12}{'zone':<8}{'address':<22}{'in flight':<10}"
        f"{'list':<9}{'heard':<8}incarnation",
    ]
    for row in sorted(rows, key=lambda row: (row.tier, row.name)):
        last_contact = "-" if row.last_contact_age_s is None else f"{row.last_contact_age_s:.1f} s"
        in_flight = "-" if row.in_flight_tenths is None else f"{row.in_flight_tenths}/10"
        list_version = str(row.list_version) if row.list_version else "-"
        lines.append(
            f"{row.name:<20}{row.state.value:<9}{row.phase.name.lower():<10}{row.tier:<12}{row.zone:<8}"
            f"{row.address:<22}{in_flight:<10}{list_version:<9}{last_contact:<8}{row.incarnation}"
        )
    return lines + diagnose_view(page, rows)


def format_json(page: ViewPage, rows: list[ViewRow]) -> str:
    """Return a view as JSON."""
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
    view = {
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
    return json.dumps(view, indent=1)


def create_authenticator(operator_file: str | None) -> MessageAuthenticator:
    """Return the authenticator by the operator's file.

    Raises:
        OperatorError: the file, or the key file that it names, can't be used.
    """
    if operator_file is None:
        return MessageAuthenticator()
    return MessageAuthenticator(read_fleet_keys(load(operator_file)))


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
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
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    options = create_parser().parse_args(argv)
    problem = find_address_problem(options.of)
    if problem is not None:
        print(f"--of {problem}; write the member's `listen`, such as 10.0.0.4:7946", file=sys.stderr)
        return EXIT_BAD_CALL
    host, _, port = options.of.rpartition(":")
    try:
        authenticator = create_authenticator(options.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_CALL
    show = watch_view if options.watch else show_view
    try:
        with ViewClient((host, int(port)), authenticator) as client:
            return show(client, options.json)
    except NoAnswerError as error:
        print(f"{error}; is it up, and is this its machine or a member's?", file=sys.stderr)
        return EXIT_NO_ANSWER


def show_view(client: ViewClient, json_form: bool, prefix: str = "") -> int:
    """Print the view once; return the exit code that it stands for."""
    page, rows = client.fetch_view()
    text = format_json(page, rows) if json_form else "\n".join(format_table(page, rows))
    print(prefix + text, flush=True)
    return EXIT_SETTLED if page.settled else EXIT_NOT_SETTLED


def watch_view(client: ViewClient, json_form: bool) -> int:
    """Print the view each second until Ctrl-C; return the last exit code."""
    code = EXIT_SETTLED
    prefix = "" if json_form or not sys.stdout.isatty() else CLEAR_SCREEN
    try:
        while True:
            code = show_view(client, json_form, prefix)
            time.sleep(WATCH_INTERVAL_S)
    except KeyboardInterrupt:
        return code


if __name__ == "__main__":
    sys.exit(main())
