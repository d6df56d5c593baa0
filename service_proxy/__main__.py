"""One proxy as a process: it reads the configuration, starts, reloads on SIGHUP and drains on SIGTERM.

Exit codes: 0 after SIGTERM or SIGINT, 1 where an address can't be listened at, 2 for a configuration or an
operator's file that can't be used.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys
import time
from typing import TYPE_CHECKING

import uvloop

from service_proxy.composition import (
    Proxy,
    create_deadline_propagation,
    freeze_long_lived_objects,
)
from service_proxy.log_setup import configure_logging
from service_proxy.net.config import ConfigError, ProxyConfig, load_config, reload_discovery_address
from service_proxy.net.limits import LOOP_TURN_S

if TYPE_CHECKING:
    from service_proxy.operator_file import Operator

log = logging.getLogger("service_proxy")

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_CONFIGURATION = 2

# After SIGTERM, at which the listener closes: load balancers have taken notice by then.
LISTENER_GRACE_S = 0.6
MAX_DEADLINE_WAIT_S = 3.0  # of the longest deadline that the platform waits for after SIGTERM
KILL_GRACE_S = 0.7  # that it waits beyond that
KILL_MARGIN_S = 0.4  # before its SIGKILL, by which all requests are answered
HANDOVER_IDLE_S = 1.5  # after SIGTERM, for which clients may reuse idle connections where a successor runs
CLOSE_CONNECTIONS_S = 1.0  # before the last response is due, in which each response closes its connection
DEFAULT_HOP = "edge"  # the hop identifier, where [budgets] names none

HELP = """\
One proxy before a tier of services. Where it listens, whom it asks for backends and the platform's settings
come from the environment: EDGE_CONFIG (a JSON file, needed), EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY, which
override what the file says. SIGHUP rereads the files, SIGTERM drains and ends."""


async def drain(proxy: Proxy) -> None:
    """Answer what is in flight and what still comes, then return, ahead of the platform's SIGKILL.

    Clients go on using a connection that stays open, and are served on it for as long as all can still be
    answered before the SIGKILL: their other proxies may be few, or restarting too. Then each response closes
    its connection and the idle ones are closed.
    """
    longest = max(cls.deadline for cls in proxy.dispatcher.settings.classes)
    drain_s = min(longest, MAX_DEADLINE_WAIT_S) + KILL_GRACE_S - KILL_MARGIN_S
    started_at = time.monotonic()
    proxy.end_all_by(started_at + drain_s)
    if proxy.admin is not None and proxy.admin.has_successor:
        await proxy.admin.hand_over()
        close_at = started_at + HANDOVER_IDLE_S
    else:
        close_at = started_at + drain_s - CLOSE_CONNECTIONS_S
        await _close_listener(proxy, close_at)
    await asyncio.sleep(max(0.0, close_at - time.monotonic()))
    await proxy.wait_until_drained()


async def _close_listener(proxy: Proxy, close_at: float) -> None:
    """Close the listener once clients have taken notice, by `close_at` (monotonic, s) at the latest."""
    await asyncio.sleep(LISTENER_GRACE_S)
    while proxy.server.has_pending_accept and time.monotonic() < close_at:
        await asyncio.sleep(LOOP_TURN_S)  # after a stall of this process, above all
    proxy.server.stop_listening()


def reload(proxy: Proxy, operator_file: str | None) -> None:
    """Take over changed files (SIGHUP); one that can't be used changes nothing.

    Of the platform's configuration the discovery address, with an admin service the settings too; of the
    operator's file what its subsystems say may change.
    """
    try:
        _reload_configuration(proxy)
    except ConfigError as error:
        log.error("reload_rejected error=%s", error)
        return
    if operator_file is not None:
        proxy.reload_subsystems(operator_file)


def _reload_configuration(proxy: Proxy) -> None:
    if proxy.admin is None:
        proxy.move_discovery(reload_discovery_address(os.environ))
        return
    discovery = proxy.admin.reload(os.environ)
    if discovery != proxy.dispatcher.discovery.address:
        proxy.move_discovery(discovery)


def create_proxy(config: ProxyConfig, operator: Operator | None) -> Proxy:
    """Return the proxy of this process, with the parts that the operator's file turns on.

    Raises:
        ConfigError: the configuration can't be used.
        OperatorError: a file that the operator's file names can't be used.
    """
    if operator is None:
        return Proxy(config, None)
    budgets = None
    if operator.budgets is not None:
        budgets = create_deadline_propagation(operator.budgets, DEFAULT_HOP)
    from service_proxy.operator_file.key_file import read_fleet_keys

    return Proxy(
        config,
        operator.membership,
        budgets,
        websocket=operator.websocket,
        fleet=operator.fleet,
        fleet_keys=read_fleet_keys(operator),
        recovery=operator.recovery,
    )


async def serve(config: ProxyConfig, operator: Operator | None) -> None:
    """Run one proxy until SIGTERM or SIGINT, and drain it."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    proxy = create_proxy(config, operator)
    operator_file = operator.file if operator is not None else None
    # Before the proxy is ready, since SIGHUP may come from then on.
    loop.add_signal_handler(signal.SIGHUP, reload, proxy, operator_file)
    await proxy.start()
    freeze_long_lived_objects()
    await terminated.wait()
    await drain(proxy)
    proxy.stop()


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy", description=HELP, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--operator", metavar="FILE", help="the operator's file (deploy/operator.toml shows it); none: off"
    )
    return parser.parse_args(argv)


def run(operator: Operator | None) -> int:
    """Run one proxy by the environment's configuration; return the program's exit code."""
    try:
        config = load_config(os.environ)
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(config, operator))
    except ConfigError as error:
        print(f"service_proxy: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    except OSError as error:
        print(f"service_proxy: {error}", file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit code."""
    # One that comes while the program starts finds the new file read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = parse_arguments(argv)
    configure_logging()
    if arguments.operator is None:
        return run(None)
    from service_proxy.operator_file import OperatorError  # not imported where it is off
    from service_proxy.operator_file import load as load_operator

    try:
        operator = load_operator(arguments.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return run(operator)


if __name__ == "__main__":
    sys.exit(main())
