"""The command of an endpoint's sidecar: registers the endpoint, keeps it registered, drains and deletes it.

    python -m service_proxy.ephemeral_nodes.register --operator FILE

The registration is an ephemeral znode with the endpoint's JSON. At SIGTERM it becomes Terminating, and is
deleted `drain` s later. Exit codes: 0 after SIGTERM or SIGINT, 2 for a file that can't be used.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
import time

from service_proxy.ephemeral_nodes.endpoint_node import find_name_problem
from service_proxy.ephemeral_nodes.registrar import create_registrar
from service_proxy.operator_file import Membership as MembershipSettings
from service_proxy.operator_file import OperatorError, Registration, load

EXIT_OK = 0
EXIT_INVALID_FILE = 2


async def serve(settings: MembershipSettings, registration: Registration) -> None:
    """Keep the endpoint registered until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    registrar = create_registrar(settings, registration, int(time.time() * 1000))
    registrar.start()
    await terminated.wait()
    await registrar.leave(registration.drain)


def run(file: str) -> int:
    """Register the endpoint of an operator's file; return the exit code.

    Raises:
        OperatorError: the file, or one that it names, can't be used.
    """
    operator = load(file)
    if operator.membership is None or operator.registration is None:
        print(f"{file}:1: [membership] and [registration] are needed", file=sys.stderr)
        return EXIT_INVALID_FILE
    problem = find_name_problem(operator.registration.name)
    if problem is not None:
        print(f"{file}:1: registration.name: {problem}", file=sys.stderr)
        return EXIT_INVALID_FILE
    asyncio.run(serve(operator.membership, operator.registration))
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.ephemeral_nodes.register",
        description="Registers the server of [registration] with the service of [membership], and keeps it.",
    )
    parser.add_argument("--operator", metavar="FILE", required=True, help="the operator's file")
    arguments = parser.parse_args(argv)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        return run(arguments.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_FILE


if __name__ == "__main__":
    sys.exit(main())
