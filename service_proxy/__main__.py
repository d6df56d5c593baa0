"""One proxy process: reads the configuration, starts the proxy, reloads on SIGHUP and drains on SIGTERM.

Exit codes: 0 after SIGTERM or SIGINT, 1 if the proxy can't listen at an address, 2 if the configuration or
the operator's file can't be used.
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
from service_proxy.net.limits import LOOP_ITERATION_S

if TYPE_CHECKING:
    from service_proxy.operator_file import Operator

log = logging.getLogger("service_proxy")

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_CONFIGURATION = 2

# Delay from SIGTERM to the earliest close of the listener. Load balancers detect the drain within this time.
LISTENER_GRACE_S = 0.6
MAX_DEADLINE_WAIT_S = 3.0  # Upper bound of the longest deadline, which the platform waits for after SIGTERM.
KILL_GRACE_S = 0.7  # Time from the longest deadline (at most MAX_DEADLINE_WAIT_S) to the platform's SIGKILL.
KILL_MARGIN_S = 0.4  # Time before the platform's SIGKILL by which all requests must be answered.
# Time after SIGTERM in which clients may reuse idle connections if a successor process runs.
HANDOVER_IDLE_S = 1.5
# Time before the last response is due in which each response closes its connection.
CLOSE_CONNECTIONS_S = 1.0
DEFAULT_HOP = "edge"  # Hop identifier of deadline propagation if [budgets] names none.

HELP = """\
One proxy in front of a tier of services. The environment gives the listen address, the discovery address and
the platform's settings: EDGE_CONFIG (path of a JSON file, required), and EDGE_NAME, EDGE_LISTEN and
EDGE_DISCOVERY, which override the file's values. SIGHUP rereads the files; SIGTERM drains and stops."""


async def drain(proxy: Proxy) -> None:
    """Drain the proxy and return before the platform's SIGKILL.

    Requests in flight and new requests are answered. Clients go on using open connections. The proxy serves
    requests on these connections for as long as every request can still be answered before the SIGKILL,
    because a client's other proxies may be few or may be restarting too. After that, each response closes its
    connection, and idle connections are closed.
    """
    longest = max(cls.deadline for cls in proxy.dispatcher.settings.classes)
    drain_s = min(longest, MAX_DEADLINE_WAIT_S) + KILL_GRACE_S - KILL_MARGIN_S
    started_at = time.monotonic()
    proxy.start_drain(started_at + drain_s)
    if proxy.admin is not None and proxy.admin.has_successor:
        await proxy.admin.hand_over_listener()
        close_at = started_at + HANDOVER_IDLE_S
    else:
        close_at = started_at + drain_s - CLOSE_CONNECTIONS_S
        await _close_listener(proxy, close_at)
    await asyncio.sleep(max(0.0, close_at - time.monotonic()))
    await proxy.wait_until_drained()


async def _close_listener(proxy: Proxy, close_at: float) -> None:
    """Close the listener after the grace period, once no connection waits to be accepted.

    The listener closes at `close_at` (monotonic, s) at the latest.
    """
    await asyncio.sleep(LISTENER_GRACE_S)
    while proxy.server.has_pending_accept and time.monotonic() < close_at:
        await asyncio.sleep(LOOP_ITERATION_S)  # connections are queued mainly after a stall of this process
    proxy.server.stop_listening()


def reload(proxy: Proxy, operator_file: str | None) -> None:
    """Apply changed files after SIGHUP; a file that can't be used changes nothing.

    From the platform's configuration, the discovery address is applied, and with an admin service the
    settings too. From the operator's file, each subsystem applies the keys that can change while the proxy
    runs.
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
        proxy.change_discovery_address(reload_discovery_address(os.environ))
        return
    discovery = proxy.admin.reload(os.environ)
    if discovery != proxy.dispatcher.discovery.address:
        proxy.change_discovery_address(discovery)


def create_proxy(config: ProxyConfig, operator: Operator | None) -> Proxy:
    """Return the proxy of this process, with the subsystems that the operator's file enables.

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
    """Run one proxy until SIGTERM or SIGINT, then drain it."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    proxy = create_proxy(config, operator)
    operator_file = operator.file if operator is not None else None
    # Installed before the proxy is ready, because SIGHUP may arrive as soon as the proxy is ready.
    loop.add_signal_handler(signal.SIGHUP, reload, proxy, operator_file)
    await proxy.start()
    freeze_long_lived_objects()
    await terminated.wait()
    await drain(proxy)
    proxy.stop()


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy", description=HELP, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--operator",
        metavar="FILE",
        help="the operator's file (example: deploy/operator.toml); omitted: its parts are off",
    )
    return parser.parse_args(argv)


def run(operator: Operator | None) -> int:
    """Run one proxy with the configuration from the environment, and return the program's exit code."""
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
    """Run the program and return its exit code."""
    # A SIGHUP during startup is ignored, because the files are read after this point.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = parse_arguments(argv)
    configure_logging()
    if arguments.operator is None:
        return run(None)
    from service_proxy.operator_file import OperatorError  # imported only if an operator's file is given
    from service_proxy.operator_file import load as load_operator

    try:
        operator = load_operator(arguments.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    return run(operator)


if __name__ == "__main__":
    sys.exit(main())
