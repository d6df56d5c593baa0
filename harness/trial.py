"""Run a described deployment here: real sidecars, real requests, embedded stand-ins for everything else.

    python -m harness.trial FILE [--environment NAME] [--seconds 10] [--rate 40]

`python -m service_proxy.sidecar try FILE` does the same after a check of the file. A terminal shows a live
table; any other output gets one line a second. The exit code is 0 if all calls were served and no rule was
broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from typing import Any

import uvloop

from harness.deployment import Deployment, running_deployment
from service_proxy.operator_file.reader import OperatorError
from service_proxy.sidecar.description import load
from service_proxy.sidecar.model import Description

REFRESH_INTERVAL_S = 0.5  # interval between two updates of the table on a terminal
LINE_INTERVAL_S = 1.0  # interval between two progress lines if the output is not a terminal
MAX_ROWS = 24
# ECMA-48 control sequences: move the cursor to the top left; erase from the cursor to the end of the screen
CURSOR_HOME = "\x1b[H"
ERASE_TO_END = "\x1b[J"


def table_rows(deployment: Deployment, elapsed: float, seconds: float) -> list[str]:
    """Return the lines of the progress table: totals, then each endpoint with its requests."""
    assert deployment.clients is not None
    assert deployment.edge_proxy is not None
    codes = deployment.clients.status_codes
    failed = codes.total() - codes[200] - codes[503]
    host, port = deployment.edge_proxy.address
    application = deployment.description.top.application
    in_flight = len(deployment.clients.open_requests)
    lines = [
        f"{application}: {elapsed:.0f} of {seconds:.0f} s; calls to http://{host}:{port}",
        f"served {codes[200]}  refused {codes[503]}  failed {failed}  in flight {in_flight}",
        f"{'server':<24}{'zone':<10}{'inbound':<18}{'calls':>7}{'a second':>10}",
    ]
    endpoints = [(h.name, h.sidecar.zone, h.sidecar.inbound, h.application) for h in deployment.hosts]
    endpoints += [(e.name, e.zone, e.address, e) for _, e in deployment.plain_endpoints]
    for name, zone, address, endpoint in endpoints[:MAX_ROWS]:
        rate = endpoint.request_count / elapsed if elapsed else 0.0
        lines.append(f"{name:<24}{zone:<10}{address:<18}{endpoint.request_count:>7}{rate:>10.1f}")
    if len(endpoints) > MAX_ROWS:
        lines.append(f"... and {len(endpoints) - MAX_ROWS} more")
    return lines


async def print_progress(deployment: Deployment, seconds: float, live: bool) -> None:
    """Print the table (`live`) or one line a second until the task is cancelled."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while True:
        elapsed = loop.time() - started_at
        table = table_rows(deployment, elapsed, seconds)
        if live:
            print(
                CURSOR_HOME + "\n".join(f"{line}\x1b[K" for line in table) + "\n" + ERASE_TO_END,
                end="",
                flush=True,
            )
        else:
            print(f"{elapsed:.0f} s: {table[1]}", flush=True)
        await asyncio.sleep(REFRESH_INTERVAL_S if live else LINE_INTERVAL_S)


async def run_trial(description: Description, seconds: float, rate: float, live: bool) -> int:
    """Run a deployment and its clients for `seconds`; return the exit code."""
    print(f"starting {len(description.sidecars)} sidecars and their stand-ins ...", flush=True)
    async with running_deployment(description) as deployment:
        assert deployment.clients is not None
        assert deployment.edge_proxy is not None
        if live:
            print("\x1b[2J", end="")
        showing = asyncio.create_task(print_progress(deployment, seconds, live))
        try:
            await deployment.clients.run(seconds, rate)
        finally:
            showing.cancel()
        if live:
            print("\n".join(table_rows(deployment, seconds, seconds)))
        else:
            print("\n".join(table_rows(deployment, seconds, seconds)[2:]))
        codes = deployment.clients.status_codes
        total = codes.total() + deployment.clients.unsent_count
        effects: Any = {name: cls.idempotency for name, cls in deployment.classes.items()}
        violations = deployment.recorder.audit(effects)
    print(f"{codes[200]} of {total} calls served; rules broken: {len(violations)}")
    for violation in violations[:3]:
        print(violation)
    return 0 if total and codes[200] == total and not violations else 1


def main(argv: list[str] | None = None) -> int:
    """Try the description that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m harness.trial",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--environment", default="")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=40.0, help="calls a second")
    options = parser.parse_args(argv)
    try:
        _, description = load(options.file, options.environment)
    except OperatorError as fault:
        print(fault, file=sys.stderr)
        return 2
    if description is None or not description.tiers:
        print(
            f"{options.file}: no deployment to run: see the findings of `check`, or add a tier",
            file=sys.stderr,
        )
        return 1
    work = run_trial(description, options.seconds, options.rate, sys.stdout.isatty())
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(work)


if __name__ == "__main__":
    sys.exit(main())
