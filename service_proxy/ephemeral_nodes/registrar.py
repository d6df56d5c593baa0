"""Keeps one endpoint registered as an ephemeral znode.

The znode is created again whenever it is gone: after an expiry, after somebody deleted it.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from random import Random

from service_proxy.ephemeral_nodes import records
from service_proxy.ephemeral_nodes.codes import CreateMode, ErrorCode, EventType, OpCode
from service_proxy.ephemeral_nodes.credentials import read_credentials
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, parse_node
from service_proxy.ephemeral_nodes.errors import ConnectionLostError, ServiceError, TooManyRequestsError
from service_proxy.ephemeral_nodes.session import Session
from service_proxy.ephemeral_nodes.session_states import USABLE_STATES, SessionState
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file import Membership as MembershipSettings
from service_proxy.operator_file import Registration

log = logging.getLogger(__name__)

RETRY_S = 0.2  # after an attempt that failed on a connection that stands
FOREIGN_NODE_RECHECK_S = 1.0  # between looks at a znode of this name that another endpoint owns
NODE_RECHECK_S = 5.0  # between looks at the own znode, beside its watch
JITTER_MIN = 0.75  # share of a wait; at most 1.25 of it are waited
JITTER_SPAN = 0.5
DRAIN_NOTICE_TIMEOUT_S = 1.0  # for the service to confirm that the endpoint drains


class Registrar:
    """Keeps one znode registered from `start` until `leave`.

    `on_registered` is called after each creation. Raises OperatorError where the credentials can't be read.
    """

    def __init__(
        self,
        settings: MembershipSettings,
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
        self.acl = records.CREATOR_ACL if settings.auth_file else records.OPEN_ACL
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
        self._check_needed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to register."""
        self.session.start()
        self._task = self.loop.create_task(self._run())

    def _on_state(self, state: SessionState) -> None:
        if state not in USABLE_STATES:
            self.registered.clear()
        if state is SessionState.AUTH_FAILED:
            log.error("registration_impossible path=%s reason=credentials_rejected", self.path)
        self._check_needed.set()

    def _on_event(self, event: int, path: str) -> None:
        if path == self.path and event in (EventType.DELETED, EventType.DATA_CHANGED):
            self._check_needed.set()

    async def _run(self) -> None:
        while True:
            self._check_needed.clear()
            wait = NODE_RECHECK_S
            if self.session.state in USABLE_STATES:
                wait = await self._check()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait * (JITTER_MIN + JITTER_SPAN * self.random.random())):
                    await self._check_needed.wait()

    async def _check(self) -> float:
        """Return s until the next check."""
        try:
            return NODE_RECHECK_S if await self._register() else FOREIGN_NODE_RECHECK_S
        except (ServiceError, TooManyRequestsError) as error:
            log.warning("registration_failed path=%s error=%s retry_s=%.1f", self.path, error, RETRY_S)
        except ConnectionLostError:
            pass  # the session reports it
        return RETRY_S

    async def _register(self) -> bool:
        """Make the znode this session's, with the data it should have; return False where another has it."""
        data = self.node.encode()
        try:
            found, stat = await self.session.get_data(self.path, watch=True)
        except ServiceError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await self._create(data)
            return True
        if stat.ephemeral_owner == self.session.session_id:
            if found != data:  # a drain was not written yet, or somebody wrote over it
                await self.session.set_data(self.path, data, stat.version)
            self.registered.set()
            return True
        if not self._is_own(found):
            log.warning("registration_waits path=%s reason=other_endpoint data=%.200r", self.path, found)
            return False
        await self._take_over(data, stat.version)
        return True

    async def _take_over(self, data: bytes, version: int) -> None:
        """Replace the znode of this endpoint's earlier session in one step, so that nobody sees it gone."""
        path = self.session.absolute(self.path)
        body = records.encode_create(path, data, self.acl, CreateMode.EPHEMERAL)
        await self.session.multi(
            [
                records.MultiOperation(OpCode.DELETE, records.encode_delete(path, version)),
                records.MultiOperation(OpCode.CREATE, body),
            ]
        )
        self._on_created()
        await self.session.exists(self.path, watch=True)

    def _is_own(self, found: bytes) -> bool:
        """Return whether an earlier process at this address wrote it."""
        try:
            return parse_node(self.node.name, found).address == self.node.address
        except ValueError:
            return True  # of no use to anybody

    async def _create(self, data: bytes) -> None:
        try:
            await self.session.create(self.path, data, CreateMode.EPHEMERAL, self.acl)
        except ServiceError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await self.session.ensure_path(self.parent)
            await self.session.create(self.path, data, CreateMode.EPHEMERAL, self.acl)
        self._on_created()
        await self.session.exists(self.path, watch=True)

    def _on_created(self) -> None:
        self.registrations += 1
        log.info("registered path=%s session=0x%x", self.path, self.session.session_id)
        if self.on_registered is not None:
            self.on_registered()
        self.registered.set()

    def update(self, node: EndpointNode) -> None:
        """Register this data from now on, also after an expiry."""
        self.node = node
        self.registered.clear()
        self._check_needed.set()

    async def drain(self) -> None:
        """Register as draining.

        Return once the service has it, or can't be reached: then the session's end tells.
        """
        self.update(self.node.draining())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_NOTICE_TIMEOUT_S):
                await self.registered.wait()

    async def leave(self, drain: float) -> None:
        """Drain, wait `drain` s for what is in flight, delete the znode and end the session."""
        await self.drain()
        await asyncio.sleep(drain)
        if self._task is not None:
            self._task.cancel()
        with contextlib.suppress(ServiceError, ConnectionLostError, TooManyRequestsError):
            await self.session.delete(self.path)
        await self.session.close()

    def crash(self) -> None:
        """End as a killed process does: nothing is deleted, and the session is left to its timeout."""
        if self._task is not None:
            self._task.cancel()
        self.session.stop()


def create_node(registration: Registration, since_ms: int) -> EndpointNode:
    """Return the data of an endpoint whose process started at `since_ms` (Unix time)."""
    return EndpointNode(
        registration.name,
        registration.address,
        registration.zone,
        registration.type,
        registration.group,
        registration.weight,
        since_ms,
    )


def create_registrar(settings: MembershipSettings, registration: Registration, since_ms: int) -> Registrar:
    """Return what keeps this endpoint registered; it is not started yet."""
    node = create_node(registration, since_ms)
    return Registrar(settings, node, Random(f"{node.name} {since_ms}"))
