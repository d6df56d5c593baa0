"""One real proxy: reads the configuration, starts, rereads it on SIGHUP, and ends on SIGTERM."""

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
    LogRateLimit,
    Proxy,
    create_deadline_propagation,
    freeze_long_lived_objects,
    read_fleet_keys,
)
from service_proxy.net.config import Config, ConfigError, load, reread_discovery
from service_proxy.net.limits import ONE_TURN

if TYPE_CHECKING:
    from service_proxy.operator_file import Operator

log = logging.getLogger("service_proxy")

LISTENER_GRACE_S = 0.6  # s after SIGTERM at which the listener closes; the front has taken notice by then
MAX_DEADLINE_WAIT_S = 3.0  # s of the longest deadline that the platform waits for after SIGTERM
KILL_GRACE_S = 0.7  # s that it waits beyond that
KILL_MARGIN_S = 0.4  # s before its SIGKILL by which all is answered
HANDOVER_IDLE_S = (
    1.5  # s after SIGTERM for which callers may use kept connections where another process follows
)
CLOSE_CONNECTIONS_S = 1.0  # s before that in which each answer is the last on its connection


async def drain(proxy: Proxy) -> None:
    """Callers go on using a connection that stays open, and are served on it for as long as all can still
    be answered before the SIGKILL: their other proxies may be few, or restarting too. Then each answer closes
    its own, the rest close, and the process ends when nothing is owed any more."""
    longest = max(cls.deadline for cls in proxy.driver.settings.classes)
    answered_by = min(longest, MAX_DEADLINE_WAIT_S) + KILL_GRACE_S - KILL_MARGIN_S
    begun = time.monotonic()
    proxy.end_all_by(begun + answered_by)
    if proxy.admin is not None and proxy.admin.has_successor:
        await proxy.admin.hand_over()
        idle_from = HANDOVER_IDLE_S
    else:
        idle_from = answered_by - CLOSE_CONNECTIONS_S
        await asyncio.sleep(LISTENER_GRACE_S)
        while proxy.server.waited_for and time.monotonic() < begun + idle_from:
            await asyncio.sleep(ONE_TURN)  # after a stall of this process, above all
        proxy.server.stop_listening()
    await asyncio.sleep(max(0.0, begun + idle_from - time.monotonic()))
    await proxy.wait_until_drained()


def reload(proxy: Proxy, operator_file: str | None) -> None:
    """On SIGHUP: the discovery address, with a console the settings too, and of the operator's file what its
    subsystems say may change. A file that can't be used changes nothing."""
    try:
        if proxy.admin is None:
            proxy.move_discovery(reread_discovery(os.environ))
        else:
            at = proxy.admin.reload(os.environ)
            if at != proxy.driver.discovery.at:
                proxy.move_discovery(at)
    except ConfigError as fault:
        log.error("reload: %s; all stays as it was", fault)
        return
    if operator_file is not None:
        proxy.reload_subsystems(operator_file)


async def serve(config: Config, operator: Operator | None) -> None:
    loop = asyncio.get_running_loop()
    term = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, term.set)
    if operator is None:
        proxy = Proxy(config, None)
        file = None
    else:
        budgets = (
            create_deadline_propagation(operator.budgets, "edge") if operator.budgets is not None else None
        )
        proxy = Proxy(
            config,
            operator.membership,
            budgets,
            websocket=operator.websocket,
            fleet=operator.fleet,
            fleet_keys=read_fleet_keys(operator),
            recovery=operator.recovery,
        )
        file = operator.file
    loop.add_signal_handler(signal.SIGHUP, reload, proxy, file)  # before it is ready, for good
    await proxy.start()
    freeze_long_lived_objects()
    await term.wait()
    await drain(proxy)
    proxy.stop()


HELP = """\
One proxy before a tier of services. Where it listens, whom it asks for backends and the platform's settings
come from the environment: EDGE_CONFIG (a JSON file, needed), EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY, which
override what the file says. SIGHUP rereads the files, SIGTERM drains and ends."""


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy", description=HELP, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--operator", metavar="FILE", help="the operator's file (deploy/operator.toml shows it); none: off"
    )
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes while it starts finds the new file read
    wanted = parse_arguments(argv)
    logging.basicConfig(stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    logging.getLogger().handlers[0].addFilter(LogRateLimit())
    operator = None
    if wanted.operator is not None:
        from service_proxy.operator_file import OperatorError
        from service_proxy.operator_file import load as load_operator

        try:
            operator = load_operator(wanted.operator)
        except OperatorError as fault:
            print(fault, file=sys.stderr)
            return 2
    try:
        config = load(os.environ)
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(config, operator))
    except ConfigError as fault:
        print(f"service_proxy: {fault}", file=sys.stderr)
        return 2
    except ValueError as fault:  # an OperatorError: a file that the operator's names
        print(fault, file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"service_proxy: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
