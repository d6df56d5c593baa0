"""Interfaces of an endpoint's connection pool and of the upstream cluster that a connection requires."""

from __future__ import annotations

from typing import Any, Protocol

from service_proxy.net.upstream.attempt import AttemptCluster, AttemptPool


class ConnectionCluster(AttemptCluster, Protocol):
    """Interface of the upstream cluster that a connection requires."""

    established_connections: int
    read_buffer: memoryview


class ConnectionPool(AttemptPool, Protocol):
    """Interface of an endpoint's connection pool that a connection requires."""

    @property
    def cluster(self) -> ConnectionCluster:
        """Return the cluster of the endpoint."""

    @property
    def is_serving(self) -> bool:
        """Return whether new attempts may be sent to the endpoint."""

    def release(self, connection: Any) -> None:
        """Return a reusable connection to the pool."""

    def remove_idle(self, connection: Any) -> None:
        """Remove a connection that cannot be reused from the idle connections."""

    def on_unrequested_response(self) -> None:
        """Note that a response has come for which there is no request."""

    def connection_closed(self, connection: Any) -> None:
        """Remove a closed connection from the pool."""
