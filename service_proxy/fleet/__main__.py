"""Command-line tool that requests and prints the view of one fleet member.

    python -m service_proxy.fleet view --of HOST:PORT [--json] [--watch] [--operator FILE]

Exit code 0: the view has settled; 3: the view has not settled; 1: no member answered; 2: an argument or the
operator's file is invalid. `--operator` names the file with the fleet's keys, which is required where the
fleet authenticates its datagrams with keys. HOST:PORT is a member's `listen` address if the command runs on
that member's machine, else an address at which another member reaches it.
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
MAX_ATTEMPTS = 4  # Attempts per view request.
WATCH_INTERVAL_S = 1.0
EXIT_SETTLED = 0
EXIT_NO_ANSWER = 1
EXIT_USAGE_ERROR = 2
EXIT_NOT_SETTLED = 3
CLEAR_SCREEN = "\x1b[H\x1b[J"  # ECMA-48 sequences: move the cursor home, then erase to the end of the screen.


class ViewClient:
    """Client that requests a member's view over one UDP socket; a context manager."""

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
        """Return the page of the view that starts at row `first_row`.

        Raises:
            NoAnswerError: no valid page arrived within MAX_ATTEMPTS requests.
        """
        cause = "no datagram arrived"
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
                        cause = f"an invalid datagram arrived: {error}"
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
        """Return the last page of the view and the rows of all pages.

        If the view changes between two page requests, a row may be missing, and the last page then reports
        the view as not settled.
        """
        page = self.fetch_page(0)
        rows = list(page.rows)
        while len(rows) < page.row_count:
            next_page = self.fetch_page(len(rows))
            if not next_page.rows:
                break
            rows += next_page.rows
            page = next_page
        return page, rows


def format_table(page: ViewPage, rows: list[ViewRow]) -> list[str]:
    """Return the view as lines of text: the totals first, then a row per member, then the findings."""
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
    """Return the view as JSON text."""
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
    """Return the authenticator with the keys of the operator's file, or one without keys if no file is given.

    Raises:
        OperatorError: the file, or the key file that it names, can't be read or is invalid.
    """
    if operator_file is None:
        return MessageAuthenticator()
    return MessageAuthenticator(read_fleet_keys(load(operator_file)))


def create_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    view = commands.add_parser("view", help="print the view of one member")
    view.add_argument("--of", required=True, metavar="HOST:PORT")
    view.add_argument("--json", action="store_true")
    view.add_argument("--watch", action="store_true", help="print the view every second until Ctrl-C")
    view.add_argument("--operator", metavar="FILE", help="the operator's file that names the fleet's keys")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = create_parser().parse_args(argv)
    problem = find_address_problem(options.of)
    if problem is not None:
        print(f"--of {problem}; write the member's `listen`, such as 10.0.0.4:7946", file=sys.stderr)
        return EXIT_USAGE_ERROR
    host, _, port = options.of.rpartition(":")
    try:
        authenticator = create_authenticator(options.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE_ERROR
    print_selected_view = watch_view if options.watch else print_view
    try:
        with ViewClient((host, int(port)), authenticator) as client:
            return print_selected_view(client, options.json)
    except NoAnswerError as error:
        print(f"{error}; check that the member runs and accepts datagrams from this machine", file=sys.stderr)
        return EXIT_NO_ANSWER


def print_view(client: ViewClient, json_form: bool, prefix: str = "") -> int:
    """Print the view once and return the exit code: EXIT_SETTLED or EXIT_NOT_SETTLED."""
    page, rows = client.fetch_view()
    text = format_json(page, rows) if json_form else "\n".join(format_table(page, rows))
    print(prefix + text, flush=True)
    return EXIT_SETTLED if page.settled else EXIT_NOT_SETTLED


def watch_view(client: ViewClient, json_form: bool) -> int:
    """Print the view every WATCH_INTERVAL_S until Ctrl-C and return the exit code of the last view."""
    code = EXIT_SETTLED
    prefix = "" if json_form or not sys.stdout.isatty() else CLEAR_SCREEN
    try:
        while True:
            code = print_view(client, json_form, prefix)
            time.sleep(WATCH_INTERVAL_S)
    except KeyboardInterrupt:
        return code


if __name__ == "__main__":
    sys.exit(main())
