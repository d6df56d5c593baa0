"""All endpoints of the tier, and the bound on connections to them."""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Callable
from itertools import takewhile

from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.net.upstream.attempt import UpstreamAttempt
from service_proxy.net.upstream.connection import STALL_TIMEOUT_S, UpstreamConnection
from service_proxy.net.upstream.endpoint_pool import REUSE_DELAY_S, EndpointConnectionPool
from service_proxy.policy.events import AttemptStatus, EndpointState

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 64 * 1024  # that are read at once
IDLE_TIMEOUT_SHARE = 0.9  # of the settings' idle time, after which this side closes first
SWEEP_INTERVAL_S = 1.0  # between looks for connections that are idle or stalled for too long
# What this machine lacks is no fault of an endpoint.
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class UpstreamCluster:
    """All endpoints, each with its connection pool.

    Attributes:
        connect_timeout: s.
        idle_timeout: s after which this side closes a connection that is not used.
        max_connections: to all endpoints together.
        established_connections: that are up.
        read_buffer: all that is read goes through it at once.
        streaming_connections: whose response is streamed.
        attempts_sent: attempts of clients' requests whose last byte was handed to a connection.
        pools: by endpoint id.
        idle_connections: of all pools, those that have been idle the longest first.
        on_endpoint_leaving: called with the pool of each endpoint that must be left.
    """

    def __init__(self, connect_timeout: float, idle_timeout: float, max_connections: int) -> None:
        """`idle_timeout`: s, as the settings have it, after which an endpoint may close a connection."""
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * idle_timeout
        self.max_connections = max_connections
        self.established_connections = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.streaming_connections: set[UpstreamConnection] = set()
        self.attempts_sent = 0
        self.pools: dict[int, EndpointConnectionPool] = {}
        self.idle_connections: dict[UpstreamConnection, None] = {}
        self.on_endpoint_leaving: Callable[[EndpointConnectionPool], None] | None = None
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def connection_count(self) -> int:
        """Count the descriptors in use or soon to be."""
        return self.established_connections + len(self._connects)

    @property
    def is_ready(self) -> bool:
        """Tell whether any endpoint is serving."""
        return any(pool.is_serving for pool in self.pools.values())

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Take over the addresses and states of a list that is in force from now on.

        Only what the list names is looked at: changes come often, and most pools have no part in them.
        """
        for endpoint in endpoint_list.endpoints:
            self._apply_endpoint(endpoint)
        if endpoint_list.is_snapshot:
            listed_ids = {endpoint.entry.endpoint_id for endpoint in endpoint_list.endpoints}
            for endpoint_id in [i for i in self.pools if i not in listed_ids]:
                self.pools[endpoint_id].state = EndpointState.REMOVED
                self._leave(endpoint_id)

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        pool = self.pools.get(entry.endpoint_id)
        if pool is None:
            if entry.state is not EndpointState.REMOVED:
                self.pools[entry.endpoint_id] = EndpointConnectionPool(
                    self, endpoint.address, entry.started_at, entry.state
                )
            return
        if pool.address != endpoint.address or entry.started_at > pool.started_at:
            pool.replace_process()
            self._notify_leaving(pool)
        pool.address = endpoint.address
        pool.started_at = entry.started_at
        pool.state = entry.state
        if not pool.is_serving:
            self._leave(entry.endpoint_id)

    def _leave(self, endpoint_id: int) -> None:
        """Let go of an endpoint that is not serving; what is in flight on it ends by itself."""
        pool = self.pools[endpoint_id]
        pool.close_idle()
        self._notify_leaving(pool)
        if pool.state is EndpointState.REMOVED:
            del self.pools[endpoint_id]

    def _notify_leaving(self, pool: EndpointConnectionPool) -> None:
        if self.on_endpoint_leaving is not None:
            self.on_endpoint_leaving(pool)

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Run an attempt on an idle connection of its endpoint, or on a new one."""
        pool: EndpointConnectionPool = attempt.pool  # type: ignore[assignment]  # attempts know less of pools
        connection = pool.take_idle()
        if connection is not None:
            wait = connection.idle_since + REUSE_DELAY_S - time.monotonic()
            if wait > 0:
                self.loop.call_later(wait, self._start_on_idle, attempt, connection)
            else:
                self._start_on_idle(attempt, connection)
        elif self.connection_count >= self.max_connections and not self._evict_idle():
            attempt.end(AttemptStatus.NOT_SENT)  # this proxy's own bound: no fault of the endpoint's
        else:
            task = self.loop.create_task(self._connect(attempt, pool))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    def _start_on_idle(self, attempt: UpstreamAttempt, connection: UpstreamConnection) -> None:
        """Bytes that lie unread would be taken for the response to what is sent now."""
        pool: EndpointConnectionPool = attempt.pool  # type: ignore[assignment]  # as above
        if connection in pool.connections and not connection.has_unread_input():
            attempt.run_on(connection)
            return
        connection.abort()
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
                raise ConnectionError("the endpoint is another process by now")  # noqa: TRY301 - as if refused
            if connection.transport is None:
                raise ConnectionError("lost as soon as made")  # noqa: TRY301
            pool.connections.add(connection)
            attempt.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abort()
            is_local = isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS
            attempt.end(AttemptStatus.NOT_SENT if is_local else AttemptStatus.CONNECT_FAILED)
        except Exception:
            log.exception("attempt_failed endpoint=%s:%d", *address)
            connection.abort()
            attempt.end(AttemptStatus.RESET)

    def _evict_idle(self) -> bool:
        """At the bound, let the connection that is idle the longest make room."""
        connection = next(iter(self.idle_connections), None)
        if connection is None:
            return False
        connection.abort()
        return True

    def _sweep(self) -> None:
        """Close connections that are idle for too long, and give up streams that stand still."""
        oldest = time.monotonic() - self.idle_timeout
        for connection in list(takewhile(lambda c: c.idle_since <= oldest, self.idle_connections)):
            connection.abort()
        stalled = time.monotonic() - STALL_TIMEOUT_S
        for connection in [c for c in self.streaming_connections if c.last_progress_at < stalled]:
            log.warning(
                "response_stalled endpoint=%s:%d stalled_s=%.0f", *connection.pool.address, STALL_TIMEOUT_S
            )
            connection.fail_response()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
