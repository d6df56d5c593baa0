"""Upstream side of the proxy: attempts, connections, one connection pool per endpoint, and the cluster."""

from __future__ import annotations

from service_proxy.net.upstream.attempt import UpgradeAttempt, UpstreamAttempt
from service_proxy.net.upstream.cluster import UpstreamCluster
from service_proxy.net.upstream.connection import UpstreamConnection
from service_proxy.net.upstream.endpoint_pool import EndpointConnectionPool
from service_proxy.net.upstream.pool_protocols import ConnectionPool

__all__ = [
    "ConnectionPool",
    "EndpointConnectionPool",
    "UpgradeAttempt",
    "UpstreamAttempt",
    "UpstreamCluster",
    "UpstreamConnection",
]
