"""A node's side: the sidecar registers its server, keeps it registered, drains it, and deletes it at the end.

    python -m service_proxy.ephemeral_nodes.register --operator FILE

The registration is an ephemeral node with the server's JSON. It is made again whenever it is gone: after an
expiry, after somebody deleted it. At SIGTERM it says Terminating, waits `drain` s, and is deleted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import signal
import sys
import time
from collections.abc import Callable
from random import Random

from service_proxy.ephemeral_nodes import jute
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, find_name_problem, parse_node
from service_proxy.ephemeral_nodes.jute import (
    CreateMode,
    ErrorCode,
    EventType,
    MultiOperation,
    OpCode,
    ServiceError,
)
from service_proxy.ephemeral_nodes.session import ConnectionLostError, Session, TooManyRequestsError
from service_proxy.ephemeral_nodes.session_states import USABLE_STATES, SessionState
from service_proxy.ephemeral_nodes.source import read_credentials
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file import Membership, OperatorError, Registration, load

log = logging.getLogger(__name__)

RETRY_S = 0.2  # s after a try that failed on a connection that stands
FOREIGN_NODE_RECHECK_S = 1.0  # s between looks at a node of this name that another server holds
NODE_RECHECK_S = 5.0  # s between looks at the own node, beside its watch


class Registrar:
    """Keeps one node registered from `start` until `leave`. `on_registered` is called after each creation."""

    def __init__(
        self,
        settings: Membership,
        node: EndpointNode,
        random: Random,
        on_registered: Callable[[], None] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.node = node
        self.on_registered = on_registered
        self.random = random
        self.parent = settings.path.rstrip("/")
        self.path = f"{self.parent}/{node.name}"
        self.acl = jute.CREATOR_ACL if settings.auth_file else jute.OPEN_ACL
        self.session = Session(
            [parse_address(server) for server in settings.servers],
            settings.session_timeout,
            settings.connect_timeout,
            self._on_state,
            self._on_event,
            random,
            settings.chroot,
            read_credentials(settings),
        )
        self.registered = asyncio.Event()
        self.registrations = 0
        self._look = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.session.start()
        self._task = self.loop.create_task(self._keeping())

    def _on_state(self, state: SessionState) -> None:
        if state not in USABLE_STATES:
            self.registered.clear()
        if state is SessionState.AUTH_FAILED:
            log.error("the service refused the credentials: %s is not registered", self.path)
        self._look.set()

    def _on_event(self, event: int, path: str) -> None:
        if path == self.path and event in (EventType.DELETED, EventType.DATA_CHANGED):
            self._look.set()

    async def _keeping(self) -> None:
        while True:
            self._look.clear()
            wait = NODE_RECHECK_S
            if self.session.state in USABLE_STATES:
                try:
                    if not await self._hold():
                        wait = FOREIGN_NODE_RECHECK_S
                except (ServiceError, TooManyRequestsError) as fault:
                    log.warning("registration of %s: %s; tried again", self.path, fault)
                    wait = RETRY_S
                except ConnectionLostError:
                    wait = RETRY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * (0.75 + 0.5 * self.random.random())):
                    await self._look.wait()

    async def _hold(self) -> bool:
        """Whether the node is this session's with the data it should have. Makes it so where it may."""
        data = self.node.encode()
        try:
            found, stat = await self.session.get_data(self.path, watch=True)
        except ServiceError as fault:
            if fault.code != ErrorCode.NO_NODE:
                raise
            await self._create(data)
            return True
        if stat.ephemeral_owner == self.session.session_id:
            if found != data:  # a drain was not told yet, or somebody wrote over it
                await self.session.set_data(self.path, data, stat.version)
            self._is_registered(False)
            return True
        if not self._is_own(found):
            log.warning("%s is held by another server: %.200r; waiting for its end", self.path, found)
            return False
        # This server's earlier session: taken over in one step, so that nobody sees it gone.
        whole = self.session.absolute(self.path)
        await self.session.multi(
            [
                MultiOperation(OpCode.DELETE, jute.encode_delete(whole, stat.version)),
                MultiOperation(
                    OpCode.CREATE, jute.encode_create(whole, data, self.acl, CreateMode.EPHEMERAL)
                ),
            ]
        )
        self._is_registered(True)
        await self.session.exists(self.path, watch=True)
        return True

    def _is_own(self, found: bytes) -> bool:
        """Whether an earlier process at this address wrote it."""
        try:
            return parse_node(self.node.name, found).address == self.node.address
        except ValueError:
            return True  # of no use to anybody

    async def _create(self, data: bytes) -> None:
        try:
            await self.session.create(self.path, data, CreateMode.EPHEMERAL, self.acl)
        except ServiceError as fault:
            if fault.code != ErrorCode.NO_NODE:
                raise
            await self.session.ensure_path(self.parent)
            await self.session.create(self.path, data, CreateMode.EPHEMERAL, self.acl)
        self._is_registered(True)
        await self.session.exists(self.path, watch=True)

    def _is_registered(self, anew: bool) -> None:
        if anew:
            self.registrations += 1
            log.info("%s is registered by session 0x%x", self.path, self.session.session_id)
            if self.on_registered is not None:
                self.on_registered()
        self.registered.set()

    def update(self, node: EndpointNode) -> None:
        """What the service is to hold from now on, also after an expiry."""
        self.node = node
        self.registered.clear()
        self._look.set()

    async def drain(self) -> None:
        """Says Terminating. Returns once the service has it, or can't be told: then the session's end
        tells."""
        self.update(self.node.draining())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self.registered.wait()

    async def leave(self, drain: float) -> None:
        """Drains, waits for what is under way, deletes the node and ends the session."""
        await self.drain()
        await asyncio.sleep(drain)
        if self._task is not None:
            self._task.cancel()
        with contextlib.suppress(ServiceError, ConnectionLostError, TooManyRequestsError):
            await self.session.delete(self.path)
        await self.session.close()

    def crash(self) -> None:
        """Ends as a killed process does: nothing is said, and the session is left to its time-out."""
        if self._task is not None:
            self._task.cancel()
        self.session.stop()


def create_node(registration: Registration, since_ms: int) -> EndpointNode:
    return EndpointNode(
        registration.name,
        registration.address,
        registration.zone,
        registration.type,
        registration.group,
        registration.weight,
        since_ms,
    )


def create_registrar(settings: Membership, registration: Registration, since_ms: int) -> Registrar:
    """Not started yet."""
    node = create_node(registration, since_ms)
    return Registrar(settings, node, Random(f"{node.name} {since_ms}"))


async def serve(settings: Membership, registration: Registration) -> None:
    loop = asyncio.get_running_loop()
    term = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, term.set)
    registrar = create_registrar(settings, registration, int(time.time() * 1000))
    registrar.start()
    await term.wait()
    await registrar.leave(registration.drain)


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.ephemeral_nodes.register",
        description="Registers the server of [registration] with the service of [membership], and keeps it.",
    )
    parser.add_argument("--operator", metavar="FILE", required=True, help="the operator's file")
    wanted = parser.parse_args(argv)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        operator = load(wanted.operator)
        if operator.membership is None or operator.registration is None:
            print(f"{wanted.operator}:1: [membership] and [registration] are needed", file=sys.stderr)
            return 2
        wrong = find_name_problem(operator.registration.name)
        if wrong is not None:
            print(f"{wanted.operator}:1: registration.name: {wrong}", file=sys.stderr)
            return 2
        asyncio.run(serve(operator.membership, operator.registration))
    except OperatorError as fault:
        print(fault, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
