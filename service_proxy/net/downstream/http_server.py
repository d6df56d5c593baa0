"""HTTP listener: client connections, their states and timeouts, and the limit of their number."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import cast

from service_proxy.net.downstream.connection import DownstreamConnection, HeaderFields
from service_proxy.net.downstream.read_turns import ReadTurns
from service_proxy.net.downstream.request import (
    LocalResponses,
    Request,
    RequestCounter,
    RequestHandler,
    UpgradeRequest,
)
from service_proxy.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES, NO_HEADER_NAMES
from service_proxy.net.downstream.request_reader import UpgradeHandler
from service_proxy.net.http_status import GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE
from service_proxy.net.limits import LOOP_ITERATION_S, LOOP_STALL_S, UPSTREAM_DESCRIPTOR_SHARE
from service_proxy.net.socket_polling import ended_by_peer, is_readable
from service_proxy.policy.settings_types import Idempotency

READ_BUFFER_BYTES = 64 * 1024  # Maximum number of bytes that are read from a connection at once.
# Time from the accepted connection, or from a further request's first byte, to a complete head. After a head
# that is complete within MAX_QUICK_HEAD_S (request_reader.py), the timeout restarts for the body, and
# again for each BODY_PROGRESS_BYTES of the body.
REQUEST_TIMEOUT_S = 2.2
KEEP_ALIVE_TIMEOUT_S = 5.0  # Time after a response for which an idle connection is kept.
# Time within which the client must read a part of the last response on a connection. Input is discarded
# during this time.
LINGER_TIMEOUT_S = 2.0
SWEEP_INTERVAL_S = 0.1  # Interval between checks for connections whose timeout has expired.
RETRY_AFTER = (b"retry-after", b"1")
LISTEN_BACKLOG = 1024  # Limit of connections that wait to be accepted.

# Descriptors of the listener, discovery, event loop and log, if the process may open 240 or more.
RESERVED_DESCRIPTORS = 24
# Divisor of the process's descriptors for the reserve, if the process may open fewer than 240.
RESERVED_DESCRIPTOR_DIVISOR = 10
# Order in which connections are closed to make room: the state of the connection, and the minimum time (s) in
# this state. "awaiting": the first or next request is not complete; "idle": no further request has begun.
EVICTION_ORDER = (("awaiting", 0.3), ("idle", 2.0), ("awaiting", 0.05), ("idle", 0.5))
# Share of the connection limit that is reserved for clients beyond the served connections. Their requests are
# rejected.
OVERFLOW_SHARE = 0.12
MIN_CONNECTIONS = 8
BASE_MEMORY_MB = 28  # Memory use of the process before it serves requests.
MIN_FREE_MEMORY_SHARE = 0.25  # Minimum share of the memory limit that counts as free for connections.
# Share of the descriptors that clients hold at most for requests, by the operators' page.
CLIENT_DESCRIPTOR_SHARE = 1 / 3
# Minimum share of the served connections that stay served where the memory leaves room for few connections.
MIN_SERVED_SHARE = 0.5
CONNECTION_MEMORY_MB = 0.125  # Memory use limit of a connection: a request with its copy, and a response.
# Memory use limit of a connection whose requests are rejected: a head, and the input that waits.
REJECTED_CONNECTION_MEMORY_MB = 0.03
# Share of the memory beyond BASE_MEMORY_MB for buffered bodies longer than MAX_BUFFERED_BODY_BYTES.
BODY_POOL_SHARE = 0.25


class HttpServer:
    """HTTP listener and the client connections that it has accepted.

    A connection without an open request is in one state table, by what the server waits for. Each table is
    ordered by the time of entry, with the longest wait first.

    Args:
        idempotency_by_class: the idempotency of each request class; read anew for each request.
        handler: handler of the requests.
        max_descriptors: descriptor limit of the process; `reserved_descriptors`: additional descriptors that
            client connections don't use.
        memory_mb: memory limit of the process.
        local_responses: responses of the proxy itself, by path.
        rejection_headers: headers that mark a rejection as not executed.
        consumed_headers: request headers that a filter of this proxy consumes.
        request_counter: counter of requests by their outcome.
        max_body_bytes: size limit of a request body; a body longer than MAX_BUFFERED_BODY_BYTES may be
            streamed.

    Attributes:
        request_timeout: REQUEST_TIMEOUT_S, for a request that begins to arrive while another one is open.
        may_have_run: returns whether an earlier copy of a request may have been executed.
        upgrade_handler: handler of upgrade requests; None: upgrade requests are rejected.
        read_buffer: buffer that all connections read into, one at a time.
        read_turns: turns of the connections with input that waits.
        pooled_bytes: bytes of buffered bodies, at most `pool_bytes`.
        awaiting_request: connections whose next request is not complete.
        idle: connections that have received a response and have sent no further request.
        closing: connections whose last response has been written.
        is_draining: each connection closes after its response, unless the client has sent further input.
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
        self.may_have_run: Callable[[Request], bool] = lambda _request: False
        self.upgrade_handler: UpgradeHandler | None = None
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.read_turns = ReadTurns(self.loop)
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

    # Limits
    def set_resource_share(self, share: float) -> None:
        """Set the connection and memory limits from this process's share of the descriptors and memory."""
        descriptors = int(self.max_descriptors * share)
        memory_mb = self.memory_mb * share
        other_descriptors = (
            int(descriptors * UPSTREAM_DESCRIPTOR_SHARE)
            + min(RESERVED_DESCRIPTORS, descriptors // RESERVED_DESCRIPTOR_DIVISOR)
            + self.reserved_descriptors
        )
        free_memory_mb = max(MIN_FREE_MEMORY_SHARE * memory_mb, memory_mb - BASE_MEMORY_MB)
        has_pool = self.max_body_bytes > MAX_BUFFERED_BODY_BYTES
        self.pool_bytes = int(free_memory_mb * BODY_POOL_SHARE * 1e6) if has_pool else 0
        self._set_connection_limits(
            free_memory_mb - self.pool_bytes / 1e6,
            max(MIN_CONNECTIONS, descriptors - other_descriptors),
            int(descriptors * CLIENT_DESCRIPTOR_SHARE) + 1,
        )

    def _set_connection_limits(self, memory_mb: float, max_by_descriptors: int, clients: int) -> None:
        """Set the limits of served connections and of all connections.

        Where the memory is the limit, fewer connections are served than fit into it, because the connections
        of all clients have to fit beside each other, and a rejected one takes less memory than a served one.

        Args:
            memory_mb: memory of all connections.
            max_by_descriptors: limit of all connections by the process's descriptors.
            clients: number of connections that the clients hold at most for requests.
        """
        fitting = max(MIN_CONNECTIONS, min(max_by_descriptors, int(memory_mb / CONNECTION_MEMORY_MB)))
        served = fitting - int(fitting * OVERFLOW_SHARE)
        rejected_mb = min(clients, max_by_descriptors) * REJECTED_CONNECTION_MEMORY_MB
        served_beside_all = (memory_mb - rejected_mb) / (CONNECTION_MEMORY_MB - REJECTED_CONNECTION_MEMORY_MB)
        self.max_served_connections = min(served, int(max(MIN_SERVED_SHARE * served, served_beside_all)))
        left_mb = memory_mb - self.max_served_connections * CONNECTION_MEMORY_MB
        rejected = max(int(fitting * OVERFLOW_SHARE), int(left_mb / REJECTED_CONNECTION_MEMORY_MB))
        self.max_connections = min(max_by_descriptors, self.max_served_connections + rejected)

    def add(self, connection: DownstreamConnection) -> None:
        """Register a connection that has just been accepted.

        Beyond the limit of served connections, an unused connection is closed to make room. If no connection
        can be closed, the further requests of a client that has sent several at once are rejected, or those
        of the new connection if there is no such client. Beyond the limit of all connections, the new
        connection is aborted.
        """
        self.connections.add(connection)
        if self._has_too_many_connections and not self._evict_one():
            if len(self.connections) > self.max_connections:
                connection.abort()
                return
            self._pipelining_connection(connection).over_limit = True
        self.set_state(connection, self.awaiting_request)

    @property
    def _has_too_many_connections(self) -> bool:
        """Return whether there are more connections, or more served ones, than their limits allow."""
        if len(self.connections) <= self.max_served_connections:
            return False
        if len(self.connections) > self.max_connections:
            return True
        served = sum(not connection.over_limit for connection in self.connections)
        return served > self.max_served_connections

    def refusal(self, request: Request | UpgradeRequest) -> tuple[int, HeaderFields, bytes]:
        """Return the response to a request for whose connection there is no room.

        Nothing was executed, because the request is not forwarded. A rejection would promise this of an
        earlier copy of the request, too.
        """
        text = b"too many connections\n"
        if isinstance(request, Request) and self.may_have_run(request):
            return GATEWAY_TIMEOUT, (), text
        return SERVICE_UNAVAILABLE, (RETRY_AFTER, *self.rejection_headers), text

    def _pipelining_connection(self, default: DownstreamConnection) -> DownstreamConnection:
        """Return a served connection on which requests wait behind another one, or the default."""
        pipelining = (c for c in self.connections if c.input.size and not (c.over_limit or c.in_message))
        return next(pipelining, default)

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

    # Connection states
    def set_state(
        self, connection: DownstreamConnection, state_table: dict[DownstreamConnection, None] | None
    ) -> None:
        """Move a connection to the end of a state table; None: remove the connection from its table."""
        if connection.state_table is not None:
            del connection.state_table[connection]
        connection.state_table = state_table
        if state_table is not None:
            connection.state_since = time.monotonic()
            state_table[connection] = None

    @property
    def requests_in_flight(self) -> int:
        """Return the number of well-formed requests that await their response."""
        return sum(
            1 for connection in self.connections if connection.response_due and connection.current_request
        )

    # Listener
    @property
    def fileno(self) -> int:
        """Return the listening socket's descriptor."""
        assert self.listener is not None
        return self.listener.sockets[0].fileno()

    async def listen(self, host: str, port: int, reuse_port: bool = False) -> int:
        """Listen, and return the port; `reuse_port`: another process may listen on the same port.

        Raises:
            OSError: the proxy can't listen on the address.
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
        """Return whether a connection still waits to be accepted.

        Closing the listener would reset that connection, and the data it has sent would be lost.
        """
        return self.listener is not None and is_readable(self.fileno)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self.listener is not None:
            self.listener.close()

    def close_idle(self, include_partial: bool = False) -> None:
        """Close connections without a request; with `include_partial`, also those with a partial request."""
        for connection in [*self.idle, *self.awaiting_request]:
            if include_partial or not connection.raw_bytes:
                connection.close_unless_unread()

    def abort_closing(self) -> None:
        """Abort the connections that stay open after `close` because the client reads no response."""
        for connection in list(self.closing):
            connection.abort()

    # Timeouts
    def _schedule_sweep(self) -> None:
        self.next_sweep_at = time.monotonic() + SWEEP_INTERVAL_S
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Handle the connections whose timeout has expired, and schedule the next sweep."""
        now = time.monotonic()
        if now > self.next_sweep_at + SWEEP_INTERVAL_S + LOOP_STALL_S:
            # This process stalled, and the loop runs timers before it reads sockets. The missing input may
            # already be in the sockets.
            self.next_sweep_at = now
            self.loop.call_later(LOOP_ITERATION_S, self._sweep)
            return
        for state_table, timeout, on_timeout in (
            (self.awaiting_request, REQUEST_TIMEOUT_S, DownstreamConnection.on_request_timeout),
            (self.idle, KEEP_ALIVE_TIMEOUT_S, DownstreamConnection.on_idle_timeout),
            (self.closing, LINGER_TIMEOUT_S, DownstreamConnection.on_linger_timeout),
        ):
            timed_out = []
            for connection in state_table:
                if connection.state_since > now - timeout:
                    break
                timed_out.append(connection)
            for connection in timed_out:
                on_timeout(connection)
        self._abort_disconnected()
        for connection in self.connections:
            if connection.body_arrival is not None:
                connection.observe_body_arrival()
        self._schedule_sweep()

    def _abort_disconnected(self) -> None:
        """Abort connections whose reading is paused and whose client has disconnected.

        While reading is paused, only the socket's state shows the disconnect. The client's requests are then
        not forwarded, and its slot is free for another connection.
        """
        paused = (
            c for c in self.connections if c.read_paused and (c.open_request is not None or c.input.size)
        )
        connection_by_transport = {c.transport: c for c in paused if c.transport is not None}
        for transport in ended_by_peer(connection_by_transport):
            connection_by_transport[cast(asyncio.Transport, transport)].abort()
