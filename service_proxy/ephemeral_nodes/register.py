"""Command of an endpoint's sidecar that keeps the endpoint registered until it is terminated.

    python -m service_proxy.ephemeral_nodes.register --operator FILE

The registration is an ephemeral znode with the endpoint's JSON. After SIGTERM or SIGINT, its status becomes
Terminating, and the znode is deleted `drain` s later. Exit codes: 0 after SIGTERM or SIGINT, 2 for an
unusable file.
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
    """Register the endpoint of an operator's file until a signal, and return the exit code.

    Raises:
        OperatorError: the file, or a file that it names, can't be used.
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
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.ephemeral_nodes.register",
        description="Keeps the endpoint of [registration] registered with the service of [membership].",
    )
    parser.add_argument("--operator", metavar="FILE", required=True, help="path of the operator's file")
    arguments = parser.parse_args(argv)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        return run(arguments.operator)
    except OperatorError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_FILE


if __name__ == "__main__":
    sys.exit(main())
