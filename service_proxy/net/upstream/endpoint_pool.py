"""The connection pool of one endpoint, as the endpoint list last named it."""

from __future__ import annotations

import math
import time
from typing import Protocol

from service_proxy.net.endpoint_list import Address
from service_proxy.net.limits import LOOP_TURN_S
from service_proxy.net.upstream.connection import ConnectionCluster, UpstreamConnection
from service_proxy.policy.events import EndpointState

REUSE_DELAY_S = LOOP_TURN_S  # after a response, before its connection is used again: what else comes is seen


class PoolCluster(ConnectionCluster, Protocol):
    """What a pool uses of the upstream cluster."""

    idle_timeout: float
    idle_connections: dict[UpstreamConnection, None]


class EndpointConnectionPool:
    """One endpoint with its connections.

    Attributes:
        started_at: when its process started (monotonic, s; 0: unknown).
        connections: all that may be used again.
        idle: those without an attempt, the one that was used last at the end.
        last_received_at: when the endpoint last sent anything (monotonic, s).
    """

    __slots__ = ("address", "cluster", "connections", "idle", "last_received_at", "started_at", "state")

    def __init__(
        self, cluster: PoolCluster, address: Address, started_at: float, state: EndpointState
    ) -> None:
        self.cluster = cluster
        self.address = address
        self.started_at = started_at
        self.state = state
        self.connections: set[UpstreamConnection] = set()
        self.last_received_at = 0.0
        self.idle: list[UpstreamConnection] = []

    @property
    def is_serving(self) -> bool:
        """Tell whether new attempts may go to the endpoint."""
        return self.state is EndpointState.SERVING

    def take_idle(self) -> UpstreamConnection | None:
        """Return the connection that was used last: the others grow old and are closed.

        One that was in use just now is returned only where there is no other.
        """
        now = time.monotonic()
        oldest = now - self.cluster.idle_timeout
        settled_before = now - REUSE_DELAY_S
        while self.idle:
            index = len(self.idle) - 1
            while index and self.idle[index].idle_since > settled_before:
                index -= 1
            if self.idle[index].idle_since > settled_before:
                index = -1
            connection = self.idle.pop(index)
            self.cluster.idle_connections.pop(connection, None)
            if connection.transport is not None and not connection.transport.is_closing():
                if connection.idle_since > oldest:
                    return connection
                connection.abort()
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can be used again, or close it."""
        if connection not in self.connections or not self.is_serving:
            connection.abort()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)
        self.cluster.idle_connections[connection] = None

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Forget a connection that can't be used again."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.cluster.idle_connections.pop(connection, None)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.cluster.established_connections -= 1

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Close idle connections that were last used at that time or before (monotonic, s)."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abort()

    def replace_process(self) -> None:
        """The process behind the address is another one: let it inherit no connection."""
        self.close_idle()
        self.connections.clear()  # those in use end with their attempt, in release()
