"""What a session or tunnel uses of the listener that it belongs to."""

from __future__ import annotations

from typing import Any, Protocol

from service_proxy.net.dispatcher import RequestDispatcher
from service_proxy.net.downstream import DownstreamConnection
from service_proxy.net.upstream import ConnectionPool
from service_proxy.operator_file import WebSocket
from service_proxy.websocket.connection import ConnectionOwner, WebSocketConnection
from service_proxy.websocket.opening_handshake import OpeningRequest
from service_proxy.websocket.reconnect_spread import ReconnectSpread
from service_proxy.websocket.session_registry import SessionRegistry


class SessionHost(Protocol):
    """The listener, as its sessions and tunnels know it."""

    settings: WebSocket
    dispatcher: RequestDispatcher
    registry: SessionRegistry
    spread: ReconnectSpread
    read_buffer: memoryview
    is_draining: bool

    def accept_connection(
        self,
        connection: DownstreamConnection,
        opening: OpeningRequest,
        protocol: bytes,
        owner: ConnectionOwner,
    ) -> WebSocketConnection:
        """Send the client's 101; return its connection."""

    def add_tunnel(self, tunnel: Any) -> None:
        """Note a tunnel that is open from now on."""

    def remove_tunnel(self, tunnel: Any, upstream: ConnectionPool) -> None:
        """Note that a tunnel's endpoint side is closed."""

    def remove_session(self, client: str, tenant: str) -> None:
        """Note that a client's connection is closed, or was rejected after all."""

    def on_write(self, connection: WebSocketConnection) -> None:
        """Note a write."""

    def log_failure(self, message: str) -> None:
        """Log the exception that is being handled."""
