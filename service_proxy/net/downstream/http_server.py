"""The HTTP listener: the clients' connections, their states and timeouts, and the bounds on their number."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from typing import cast

from service_proxy.net.downstream.connection import DownstreamConnection
from service_proxy.net.downstream.request import LocalResponses, RequestCounter, RequestHandler
from service_proxy.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES, NO_HEADER_NAMES
from service_proxy.net.downstream.request_reader import UpgradeHandler
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.socket_polling import ended_by_peer, is_readable
from service_proxy.policy.settings_types import Idempotency

READ_BUFFER_BYTES = 64 * 1024  # that are read at once
# From the connect, or a further request's first byte, to a complete head; then, where that came quickly, for
# each BODY_PROGRESS_BYTES.
REQUEST_TIMEOUT_S = 2.2
KEEP_ALIVE_TIMEOUT_S = 5.0  # after a response, for which a connection that asks nothing more is kept
LINGER_TIMEOUT_S = 2.0  # in which some of a last response must have been taken; what still comes is dropped
SWEEP_INTERVAL_S = 0.1  # between looks for connections whose time is up
LISTEN_BACKLOG = 1024  # connections that wait for being accepted

RESERVED_DESCRIPTORS = 24  # for the listener, discovery, the loop and the log, at 240 and more
RESERVED_DESCRIPTOR_DIVISOR = 10  # of all descriptors, where these are fewer
# Who makes room, in this order: who awaits a first or next request, or is idle, for so many s.
EVICTION_ORDER = (("awaiting", 0.3), ("idle", 2.0), ("awaiting", 0.05), ("idle", 0.5))
OVERFLOW_SHARE = 0.12  # of the clients' connections, where a newcomer is told that there is no room
MIN_CONNECTIONS = 8
BASE_MEMORY_MB = 20  # of the process before it serves
CONNECTION_MEMORY_MB = 0.125  # that a connection may take: a request with its copy, and a response
# Of the memory beyond BASE_MEMORY_MB, for buffered bodies over MAX_BUFFERED_BODY_BYTES.
BODY_POOL_SHARE = 0.25


class HttpServer:
    """The listener and the clients' connections.

    A connection without an open request stands in one table, by what it is waited for, the longest first.

    Args:
        idempotency_by_class: what requests of each class look like; read as it is at each request.
        handler: takes the requests.
        max_descriptors: of the process; `reserved_descriptors`: further ones that are not the clients'.
        memory_mb: of the process.
        local_responses: what the proxy says of itself, by path.
        rejection_headers: by which a rejection here says that nothing was executed.
        consumed_headers: of requests, that end here at a filter.
        request_counter: counts what requests end in.
        max_body_bytes: of a request; a body longer than MAX_BUFFERED_BODY_BYTES may be streamed.

    Attributes:
        request_timeout: REQUEST_TIMEOUT_S, of what begins to come behind an open request.
        upgrade_handler: takes requests to leave HTTP; None: they are refused.
        read_buffer: all that is read goes through it at once.
        pooled_bytes: of buffered bodies, of `pool_bytes` at most.
        awaiting_request: connections that owe a complete request.
        idle: connections that were answered and ask nothing.
        closing: connections that have had their last response.
        is_draining: a response is the last on its connection, unless more was read there or lies unread.
    """

    def __init__(
        self,
        idempotency_by_class: Mapping[str, Idempotency],
        handler: RequestHandler,
        max_descriptors: int,
        memory_mb: float,
        local_responses: LocalResponses,
        rejection_headers: tuple[tuple[bytes, bytes], ...] = (),
        consumed_headers: frozenset[bytes] = NO_HEADER_NAMES,
        request_counter: RequestCounter | None = None,
        reserved_descriptors: int = 0,
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.idempotency_by_class = idempotency_by_class
        self.handler = handler
        self.local_responses = local_responses
        self.rejection_headers = rejection_headers
        self.consumed_headers = consumed_headers
        self.request_counter = request_counter
        self.max_body_bytes = max_body_bytes
        self.request_timeout = REQUEST_TIMEOUT_S
        self.upgrade_handler: UpgradeHandler | None = None
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.pooled_bytes = 0
        self.max_descriptors = max_descriptors
        self.memory_mb = memory_mb
        self.reserved_descriptors = reserved_descriptors
        self.set_resource_share(1.0)
        self.connections: set[DownstreamConnection] = set()
        self.awaiting_request: dict[DownstreamConnection, None] = {}
        self.idle: dict[DownstreamConnection, None] = {}
        self.closing: dict[DownstreamConnection, None] = {}
        self.is_draining = False
        self.listener: asyncio.Server | None = None
        self.next_sweep_at = 0.0

    # bounds
    def set_resource_share(self, share: float) -> None:
        """Bound the clients' connections by this process's share of its descriptors and memory."""
        descriptors = int(self.max_descriptors * share)
        memory_mb = self.memory_mb * share
        other_descriptors = (
            int(descriptors * UPSTREAM_DESCRIPTOR_SHARE)
            + min(RESERVED_DESCRIPTORS, descriptors // RESERVED_DESCRIPTOR_DIVISOR)
            + self.reserved_descriptors
        )
        free_memory_mb = max(1.0, memory_mb - BASE_MEMORY_MB)
        has_pool = self.max_body_bytes > MAX_BUFFERED_BODY_BYTES
        self.pool_bytes = int(free_memory_mb * BODY_POOL_SHARE * 1e6) if has_pool else 0
        connections_by_memory = int((free_memory_mb - self.pool_bytes / 1e6) / CONNECTION_MEMORY_MB)
        self.max_connections = max(
            MIN_CONNECTIONS, min(descriptors - other_descriptors, connections_by_memory)
        )
        self.max_served_connections = self.max_connections - int(self.max_connections * OVERFLOW_SHARE)

    def add(self, connection: DownstreamConnection) -> None:
        """Take a connection that has just been accepted.

        Descriptors are bounded: beyond the bound, a connection that is of no use makes room. Where all are
        of use, the newcomer's request is rejected, and in the end the newcomer itself.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_served_connections and not self._evict_one():
            if len(self.connections) > self.max_connections:
                connection.abort()
                return
            connection.over_limit = True
        self.set_state(connection, self.awaiting_request)

    def _evict_one(self) -> bool:
        now = time.monotonic()
        drained = next((connection for connection in self.closing if not connection.unsent_bytes), None)
        if drained is not None:
            drained.abort()
            return True
        for state, age in EVICTION_ORDER:
            for connection in self.idle if state == "idle" else self.awaiting_request:
                if connection.state_since > now - age:
                    break
                if not connection.has_unread_input:
                    self.set_state(connection, None)
                    connection.abort()
                    return True
        return False

    # states
    def set_state(
        self, connection: DownstreamConnection, state_table: dict[DownstreamConnection, None] | None
    ) -> None:
        """Move a connection to the end of a table, by what it is waited for from now on; None: nothing."""
        if connection.state_table is not None:
            del connection.state_table[connection]
        connection.state_table = state_table
        if state_table is not None:
            connection.state_since = time.monotonic()
            state_table[connection] = None

    @property
    def requests_in_flight(self) -> int:
        """Count the requests taken that have not ended."""
        return sum(
            1 for connection in self.connections if connection.response_due and connection.current_request
        )

    # the listener
    @property
    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        assert self.listener is not None
        return self.listener.sockets[0].fileno()

    async def listen(self, host: str, port: int, reuse_port: bool = False) -> int:
        """Listen, and return the port; `reuse_port`: another process may listen there too.

        Raises:
            OSError: the address can't be listened at.
        """
        self.listener = await self.loop.create_server(
            lambda: DownstreamConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_port=reuse_port or None,
        )
        self._schedule_sweep()
        return int(self.listener.sockets[0].getsockname()[1])

    @property
    def has_pending_accept(self) -> bool:
        """Tell whether a newcomer is still to be accepted: to close on it would reset what it has sent."""
        return self.listener is not None and is_readable(self.fileno)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.listener is not None:
            self.listener.close()

    def close_idle(self, include_partial: bool = False) -> None:
        """Close all that ask nothing, and on demand those whose request has only begun to come."""
        for connection in [*self.idle, *self.awaiting_request]:
            if include_partial or not connection.raw_bytes:
                connection.close_unless_unread()

    def abort_closing(self) -> None:
        """End what a close does not: clients that never take their last response."""
        for connection in list(self.closing):
            connection.abort()

    # timeouts
    def _schedule_sweep(self) -> None:
        self.next_sweep_at = time.monotonic() + SWEEP_INTERVAL_S
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """End the connections whose time is up."""
        now = time.monotonic()
        if now > self.next_sweep_at + SWEEP_INTERVAL_S + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: what is missing may have come.
            self.next_sweep_at = now
            self.loop.call_later(LOOP_TURN_S, self._sweep)
            return
        for state_table, timeout, on_timeout in (
            (self.awaiting_request, REQUEST_TIMEOUT_S, DownstreamConnection.on_request_timeout),
            (self.idle, KEEP_ALIVE_TIMEOUT_S, DownstreamConnection.close_unless_unread),
            (self.closing, LINGER_TIMEOUT_S, DownstreamConnection.on_linger_timeout),
        ):
            due = []
            for connection in state_table:
                if connection.state_since > now - timeout:
                    break
                due.append(connection)
            for connection in due:
                on_timeout(connection)
        self._abort_disconnected()
        self._schedule_sweep()

    def _abort_disconnected(self) -> None:
        """Abort connections that are not read from and whose client has left: only the socket tells.

        What such a client asked is not forwarded, and its place serves another.
        """
        paused = (c for c in self.connections if c.read_paused and c.open_request is not None)
        connection_by_transport = {c.transport: c for c in paused if c.transport is not None}
        for transport in ended_by_peer(connection_by_transport):
            connection_by_transport[cast(asyncio.Transport, transport)].abort()
