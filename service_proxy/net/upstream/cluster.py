"""Endpoints of the tier with their connection pools, and the limit on connections to all endpoints."""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Callable
from itertools import takewhile

from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.net.upstream.attempt import UpstreamAttempt
from service_proxy.net.upstream.connection import UpstreamConnection
from service_proxy.net.upstream.endpoint_pool import REUSE_DELAY_S, EndpointConnectionPool
from service_proxy.policy.events import AttemptStatus, EndpointState

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 64 * 1024  # Largest number of bytes per read from a socket.
# Share of the settings' idle timeout after which the proxy closes a connection, before the endpoint does.
IDLE_TIMEOUT_SHARE = 0.9
SWEEP_INTERVAL_S = 1.0  # Interval between the searches for connections that are idle for too long.
# Connect errors caused by a resource shortage on this machine, which do not count against the endpoint.
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class UpstreamCluster:
    """Endpoints of the tier, each with its connection pool.

    Attributes:
        connect_timeout: Time limit of one connect (s).
        idle_timeout: Time after which the proxy closes an unused connection (s).
        max_connections: Limit on the connections to all endpoints together.
        established_connections: Number of established connections.
        read_buffer: Buffer that all connections share; each read is parsed before the next one.
        attempts_sent: Number of attempts of clients' requests whose last byte was passed to a connection.
        pools: Connection pools by endpoint id.
        idle_connections: Idle connections of all pools; the connection that is idle the longest is first.
        on_process_replaced: Called with an endpoint id when a new connection shows that another process runs
            at the endpoint's address.
        on_endpoint_leaving: Called with the pool of each endpoint that must no longer be used.
    """

    def __init__(self, connect_timeout: float, idle_timeout: float, max_connections: int) -> None:
        """Create a cluster without endpoints, and start the periodic sweep.

        Args:
            connect_timeout: Time limit of one connect (s).
            idle_timeout: Time from the settings after which an endpoint may close an unused connection (s).
            max_connections: Limit on the connections to all endpoints together.
        """
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * idle_timeout
        self.max_connections = max_connections
        self.established_connections = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.attempts_sent = 0
        self.pools: dict[int, EndpointConnectionPool] = {}
        self.idle_connections: dict[UpstreamConnection, None] = {}
        self.on_endpoint_leaving: Callable[[EndpointConnectionPool], None] | None = None
        self.on_process_replaced: Callable[[int], None] | None = None
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def connection_count(self) -> int:
        """Return the number of descriptors in use, including connects in progress."""
        return self.established_connections + len(self._connects)

    @property
    def is_ready(self) -> bool:
        """Return whether any endpoint is serving."""
        return any(pool.is_serving for pool in self.pools.values())

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Apply the addresses and states of an endpoint list that is now in use.

        An incremental list is applied only to the pools of its endpoints, because changes are frequent and do
        not affect most pools.
        """
        for endpoint in endpoint_list.endpoints:
            self._apply_endpoint(endpoint)
        if endpoint_list.is_snapshot:
            listed_ids = {endpoint.entry.endpoint_id for endpoint in endpoint_list.endpoints}
            for endpoint_id in [i for i in self.pools if i not in listed_ids]:
                self.pools[endpoint_id].state = EndpointState.REMOVED
                self._stop_using_endpoint(endpoint_id)

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        pool = self.pools.get(entry.endpoint_id)
        if pool is None:
            if entry.state is not EndpointState.REMOVED:
                self.pools[entry.endpoint_id] = EndpointConnectionPool(self, endpoint)
            return
        if pool.address != endpoint.address or entry.started_at > pool.started_at:
            pool.replace_process()
            self._notify_leaving(pool)
        pool.apply_endpoint(endpoint)
        if not pool.is_serving:
            self._stop_using_endpoint(entry.endpoint_id)

    def _stop_using_endpoint(self, endpoint_id: int) -> None:
        """Stop using an endpoint that is not serving; its requests in flight continue until they end."""
        pool = self.pools[endpoint_id]
        pool.close_idle()
        self._notify_leaving(pool)
        if pool.state is EndpointState.REMOVED:
            del self.pools[endpoint_id]

    def _notify_leaving(self, pool: EndpointConnectionPool) -> None:
        if self.on_endpoint_leaving is not None:
            self.on_endpoint_leaving(pool)

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Run an attempt on an idle connection of its endpoint, or on a new connection."""
        pool: EndpointConnectionPool = attempt.pool  # type: ignore[assignment]  # declared as AttemptPool
        connection = pool.take_idle()
        if connection is not None:
            wait = connection.idle_since + REUSE_DELAY_S - time.monotonic()
            if wait > 0:
                self.loop.call_later(wait, self._start_on_idle, attempt, connection)
            else:
                self._start_on_idle(attempt, connection)
        elif self.connection_count >= self.max_connections and not self._evict_idle():
            # The limit is local to this proxy, so the endpoint is not marked as failed.
            attempt.end(AttemptStatus.NOT_SENT)
        else:
            task = self.loop.create_task(self._connect(attempt, pool))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    def _start_on_idle(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Run an attempt on an idle connection, or on another connection if this one is not usable any more.

        Unread bytes in the socket would be parsed as the response to the new request.
        """
        pool: EndpointConnectionPool = attempt.pool  # type: ignore[assignment]  # declared as AttemptPool
        if connection in pool.connections and not connection.has_unread_input():
            attempt.run_on(connection)
            return
        if connection not in pool.connections:
            connection.abort()
        # Otherwise the unread input is read next: it ends the connection, and may be an unrequested response.
        if attempt.status is None:
            self.start_attempt(attempt)

    async def _connect(self, attempt: UpstreamAttempt, pool: EndpointConnectionPool) -> None:
        connection = UpstreamConnection(pool)
        address = pool.address
        started_at = pool.started_at
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, *address)
            if (address, started_at) != (pool.address, pool.started_at):
                raise ConnectionError("the endpoint's process was replaced")  # noqa: TRY301 - same as refused
            if connection.transport is None:
                raise ConnectionError("connection lost right after the connect")  # noqa: TRY301
            self._on_connected(pool)
            pool.connections.add(connection)
            attempt.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abort()
            if isinstance(error, ConnectionRefusedError):
                pool.continuity.on_refused(pool.has_open_connection)
            is_local_error = isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS
            attempt.end(AttemptStatus.NOT_SENT if is_local_error else AttemptStatus.CONNECT_FAILED)
        except Exception:
            log.exception("attempt_failed endpoint=%s:%d", *address)
            connection.abort()
            attempt.end(AttemptStatus.RESET)

    def _on_connected(self, pool: EndpointConnectionPool) -> None:
        """Report a new connection that shows that another process runs at the endpoint's address."""
        if not pool.continuity.on_connected(time.monotonic()):
            return
        log.warning("endpoint_process_replaced endpoint=%s:%d", *pool.address)
        if self.on_process_replaced is not None:
            self.on_process_replaced(pool.endpoint_id)

    def _evict_idle(self) -> bool:
        """Close the longest idle connection to stay within the limit; return False if none is idle."""
        connection = next(iter(self.idle_connections), None)
        if connection is None:
            return False
        connection.abort()
        return True

    def _sweep(self) -> None:
        """Close connections that are idle for too long."""
        idle_cutoff = time.monotonic() - self.idle_timeout
        for connection in list(takewhile(lambda c: c.idle_since <= idle_cutoff, self.idle_connections)):
            connection.abort()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
