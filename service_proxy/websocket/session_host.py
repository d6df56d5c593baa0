"""Interface of the listener to its sessions and tunnels."""

from __future__ import annotations

from typing import Any, Protocol

from service_proxy.net.dispatcher import RequestDispatcher
from service_proxy.net.downstream import DownstreamConnection, ReadTurns
from service_proxy.net.upstream import ConnectionPool
from service_proxy.operator_file import WebSocket
from service_proxy.websocket.connection import ConnectionOwner, WebSocketConnection
from service_proxy.websocket.message_memory import MessageMemory
from service_proxy.websocket.opening_handshake import OpeningRequest
from service_proxy.websocket.reconnect_spread import ReconnectSpread
from service_proxy.websocket.session_registry import SessionRegistry


class SessionHost(Protocol):
    """Part of the listener that sessions and tunnels use."""

    settings: WebSocket
    dispatcher: RequestDispatcher
    registry: SessionRegistry
    message_memory: MessageMemory
    spread: ReconnectSpread
    read_buffer: memoryview
    read_turns: ReadTurns
    is_draining: bool

    def accept_connection(
        self,
        connection: DownstreamConnection,
        opening: OpeningRequest,
        protocol: bytes,
        owner: ConnectionOwner,
    ) -> WebSocketConnection:
        """Send the 101 response to the client and return the client's WebSocket connection."""

    def add_tunnel(self, tunnel: Any) -> None:
        """Register a tunnel that is now open."""

    def remove_tunnel(self, tunnel: Any, upstream: ConnectionPool) -> None:
        """Unregister a tunnel whose connection to the endpoint has ended."""

    def remove_session(self, client: str, tenant: str) -> None:
        """Release the place of a session whose connection has ended or whose handshake was rejected."""

    def on_write(self, connection: WebSocketConnection) -> None:
        """Update the unread bytes of a connection after a write."""

    def log_failure(self, message: str) -> None:
        """Log the exception that is being handled."""
