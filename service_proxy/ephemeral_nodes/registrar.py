"""Registrar that keeps one endpoint registered as an ephemeral znode.

The registrar creates the znode again whenever it is missing: after the session expired, or after another
client deleted the znode.
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

RETRY_S = 0.2  # Wait after an attempt that failed while the connection stayed up.
# Interval between checks of a znode of the same name that another endpoint owns.
FOREIGN_NODE_RECHECK_S = 1.0
NODE_RECHECK_S = 5.0  # Interval between checks of the own znode, in addition to its watch.
JITTER_MIN = 0.75  # Minimum share of a wait. The maximum is JITTER_MIN + JITTER_SPAN = 1.25.
JITTER_SPAN = 0.5
DRAIN_NOTICE_TIMEOUT_S = 1.0  # Time limit for the service to confirm the draining status.


class Registrar:
    """Registration of one znode, kept from `start` until `leave`.

    `on_registered` is called after each creation. Raises OperatorError if the credentials can't be read.
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
        """Start to register in the background."""
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
        """Check the znode once; return the seconds until the next check."""
        try:
            return NODE_RECHECK_S if await self._register() else FOREIGN_NODE_RECHECK_S
        except (ServiceError, TooManyRequestsError) as error:
            log.warning("registration_failed path=%s error=%s retry_s=%.1f", self.path, error, RETRY_S)
        except ConnectionLostError:
            pass  # The session logs the loss of the connection.
        return RETRY_S

    async def _register(self) -> bool:
        """Register the current data in a znode of this session; return False if another endpoint owns it."""
        data = self.node.encode()
        try:
            found, stat = await self.session.get_data(self.path, watch=True)
        except ServiceError as error:
            if error.code != ErrorCode.NO_NODE:
                raise
            await self._create(data)
            return True
        if stat.ephemeral_owner == self.session.session_id:
            if found != data:  # The draining status is not written yet, or another client changed the data.
                await self.session.set_data(self.path, data, stat.version)
            self.registered.set()
            return True
        if not self._is_same_endpoint(found):
            log.warning("registration_waits path=%s reason=other_endpoint data=%.200r", self.path, found)
            return False
        await self._take_over(data, stat.version)
        return True

    async def _take_over(self, data: bytes, version: int) -> None:
        """Replace the znode of this endpoint's earlier session in one transaction.

        Watchers therefore never see the endpoint without a znode.
        """
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

    def _is_same_endpoint(self, found: bytes) -> bool:
        """Return whether an earlier process at this endpoint's address wrote the data."""
        try:
            return parse_node(self.node.name, found).address == self.node.address
        except ValueError:
            return True  # Malformed data is of no use to any reader, so the znode may be replaced.

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
        """Replace the data to register, now and after each expiry."""
        self.node = node
        self.registered.clear()
        self._check_needed.set()

    async def drain(self) -> None:
        """Register the endpoint as draining.

        Return after the service has confirmed the change, or after DRAIN_NOTICE_TIMEOUT_S if it can't be
        reached: the end of the session then ends the endpoint.
        """
        self.update(self.node.draining())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_NOTICE_TIMEOUT_S):
                await self.registered.wait()

    async def leave(self, drain: float) -> None:
        """Drain the endpoint, wait `drain` s for requests in flight, delete its znode, close the session."""
        await self.drain()
        await asyncio.sleep(drain)
        if self._task is not None:
            self._task.cancel()
        with contextlib.suppress(ServiceError, ConnectionLostError, TooManyRequestsError):
            await self._delete_own_node()
        await self.session.close()

    async def _delete_own_node(self) -> None:
        """Delete the znode if this session owns it; another endpoint may have the name."""
        _, stat = await self.session.get_data(self.path)
        if stat.ephemeral_owner == self.session.session_id:
            await self.session.delete(self.path, stat.version)

    def crash(self) -> None:
        """Stop like a killed process: delete nothing, and leave the session to its timeout."""
        if self._task is not None:
            self._task.cancel()
        self.session.stop()


def create_node(registration: Registration, since_ms: int) -> EndpointNode:
    """Return the data of an endpoint whose process started at about `since_ms` (Unix time in ms).

    The registrar may have started beside a running process, so nothing is known of an earliest start.
    """
    return EndpointNode(
        registration.name,
        registration.address,
        registration.zone,
        registration.type,
        registration.group,
        registration.weight,
        since_ms,
        since_after_ms=0,
    )


def create_registrar(settings: MembershipSettings, registration: Registration, since_ms: int) -> Registrar:
    """Return a registrar for this endpoint, not started yet."""
    node = create_node(registration, since_ms)
    return Registrar(settings, node, Random(f"{node.name} {since_ms}"))
