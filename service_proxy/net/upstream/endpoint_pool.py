"""Connection pool of one endpoint, with the address and state from the latest endpoint list."""

from __future__ import annotations

import logging
import math
import time
from typing import Protocol

from service_proxy.net.endpoint_list import Endpoint
from service_proxy.net.upstream.connection import UpstreamConnection
from service_proxy.net.upstream.pool_protocols import ConnectionCluster
from service_proxy.net.upstream.process_continuity import ProcessContinuity
from service_proxy.policy.events import EndpointState

log = logging.getLogger(__name__)

# Pause between a response and the next use of its connection. A second copy of the response can follow some
# milliseconds later (operators' page STANDING); after the next request it would be read as its response.
REUSE_DELAY_S = 0.02
# Time after an unrequested response for which each connection to its endpoint carries one request. Something
# in the path then duplicates responses, and a copy may come later than REUSE_DELAY_S.
SINGLE_USE_S = 300.0


class PoolCluster(ConnectionCluster, Protocol):
    """Interface of the upstream cluster that a pool requires."""

    idle_timeout: float
    idle_connections: dict[UpstreamConnection, None]


class EndpointConnectionPool:
    """Address, state and connections of one endpoint.

    Attributes:
        zone: zone of the endpoint.
        cell: cell of the endpoint within its zone.
        started_at: Start time of the endpoint's process (monotonic, s); 0 if unknown.
        continuity: Whether the process at the address is known to be the same.
        connections: Connections that may be reused, including connections with an attempt.
        idle: Connections without an attempt; the most recently used connection is last.
        last_received_at: Time at which the endpoint last sent any data (monotonic, s).
        single_use_until: Time until which no connection carries a second request (monotonic, s).
    """

    __slots__ = (
        "address",
        "cell",
        "cluster",
        "connections",
        "continuity",
        "endpoint_id",
        "idle",
        "last_received_at",
        "single_use_until",
        "started_at",
        "state",
        "zone",
    )

    def __init__(self, cluster: PoolCluster, endpoint: Endpoint) -> None:
        self.cluster = cluster
        self.endpoint_id = endpoint.entry.endpoint_id
        self.apply_endpoint(endpoint)
        self.continuity = ProcessContinuity()
        self.connections: set[UpstreamConnection] = set()
        self.last_received_at = 0.0
        self.single_use_until = 0.0
        self.idle: list[UpstreamConnection] = []

    def apply_endpoint(self, endpoint: Endpoint) -> None:
        """Apply the endpoint's entry of a list."""
        entry = endpoint.entry
        self.address = endpoint.address
        self.zone = entry.zone
        self.cell = entry.cell
        self.started_at = entry.started_at
        self.state = entry.state

    @property
    def is_serving(self) -> bool:
        """Return whether new attempts may be sent to the endpoint."""
        return self.state is EndpointState.SERVING

    def take_idle(self) -> UpstreamConnection | None:
        """Return the most recently used idle connection, or None if no idle connection is usable.

        The connections that are not returned stay idle, and are closed after the idle timeout. A connection
        that was released less than REUSE_DELAY_S ago is returned only if there is no other; it is the one
        that was released first.
        """
        now = time.monotonic()
        idle_cutoff = now - self.cluster.idle_timeout
        reuse_cutoff = now - REUSE_DELAY_S
        while self.idle:
            index = len(self.idle) - 1
            while index and self.idle[index].idle_since > reuse_cutoff:
                index -= 1
            connection = self.idle.pop(index)
            self.cluster.idle_connections.pop(connection, None)
            if connection.transport is not None and not connection.transport.is_closing():
                if connection.idle_since > idle_cutoff:
                    return connection
                connection.abort()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Add a connection to the idle connections, or close it if the connection must not be reused."""
        now = time.monotonic()
        if connection not in self.connections or not self.is_serving or now < self.single_use_until:
            connection.abort()
            return
        connection.idle_since = now
        self.idle.append(connection)
        self.cluster.idle_connections[connection] = None

    def on_unrequested_response(self) -> None:
        """Use each connection for one request from now on, because responses are being duplicated."""
        now = time.monotonic()
        if now >= self.single_use_until:
            log.warning("responses_duplicated endpoint=%s:%d single_use_s=%.0f", *self.address, SINGLE_USE_S)
        self.single_use_until = now + SINGLE_USE_S
        self.close_idle()

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection that cannot be reused from the idle connections."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.cluster.idle_connections.pop(connection, None)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.cluster.established_connections -= 1

    @property
    def has_open_connection(self) -> bool:
        """Return whether a connection to the endpoint's process is established."""
        return any(c.transport is not None and not c.transport.is_closing() for c in self.connections)

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Close idle connections that were last used at `unused_since` or earlier (monotonic, s)."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abort()

    def replace_process(self) -> None:
        """Discard all connections because another process now runs at the endpoint's address."""
        self.close_idle()
        self.continuity = ProcessContinuity()
        self.connections.clear()  # release() closes a connection in use after its attempt has ended.
