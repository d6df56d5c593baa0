"""Tunnel mode: a session pinned to the endpoint that the policy has chosen, with backpressure both ways.

For the dispatcher, a tunnel is a request of a stream class whose response is a 101. The policy is notified
when the stream starts, and is notified of its outcome when the stream ends. The frames of each side are
decoded, checked and encoded again.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any

from service_proxy.net.http_status import BAD_GATEWAY, OK
from service_proxy.net.upstream import ConnectionPool, UpstreamConnection
from service_proxy.policy.events import AttemptStatus
from service_proxy.websocket.closing_handshake import ClosingState
from service_proxy.websocket.connection import POLICY_VIOLATION, WebSocketConnection
from service_proxy.websocket.frame_codec import ABNORMAL, FrameCodec, MessageFragment
from service_proxy.websocket.opening_handshake import KEY_BYTES, ClientHandshake, OpeningRequest
from service_proxy.websocket.reconnect_spread import close_reason
from service_proxy.websocket.session_host import SessionHost
from service_proxy.websocket.session_limits import TokenBucket

# Wait for an endpoint's close frame when a drain closes a tunnel. Rule 3 (R203) allows 2 s for the whole
# drain.
CLOSE_GRACE_S = 0.4
# WebSocket close codes (RFC 6455, 7.4.1).
GOING_AWAY = 1001
INTERNAL_ERROR = 1011
SERVICE_RESTART = 1012


class TunnelSide:
    """One side of a tunnel (connection.ConnectionOwner)."""

    __slots__ = ("connection", "is_client", "tunnel")

    def __init__(self, tunnel: Tunnel, is_client: bool) -> None:
        self.tunnel = tunnel
        self.is_client = is_client
        self.connection: WebSocketConnection | None = None

    def on_fragment(self, fragment: MessageFragment) -> None:
        """Forward a part of a message."""
        self.tunnel.forward(self, fragment)

    def on_closed(self, code: int, reason: str) -> None:
        """Close the other side."""
        self.tunnel.on_side_closed(self, code, reason)

    def on_connection_lost(self) -> None:
        """Record that this side's connection has ended."""
        self.connection = None
        self.tunnel.on_side_lost(self)

    def on_backpressure(self, is_blocked: bool) -> None:
        """Pause reading from the other side while this side's peer does not read."""
        other = self.tunnel.other(self).connection
        if other is not None and other.state is ClosingState.OPEN:
            other.set_paused(is_blocked)

    def on_ping_timeout(self) -> None:
        """Abort a half-open connection."""
        self.tunnel.on_ping_timeout(self)


class Tunnel:
    """Tunnel between a client and an endpoint, which implements ResponseWriter and UpgradeNegotiation.

    It is the net.downstream.ResponseWriter of the handshake and the net.protocols.UpgradeNegotiation of the
    handshake's attempts.

    Attributes:
        downstream: Connection of the client's request, until the 101 response.
        opening: Handshake fields of the client's request, until the 101 response.
        handshake: Handshake with the endpoint, until the 101 response.
        upstream_connection: Connection to the endpoint, as counted by the connection pool.
        notify_end: Callback that reports the end of the stream to the policy; called once.
    """

    __slots__ = (
        "bucket",
        "client_address",
        "client_side",
        "downstream",
        "endpoint_side",
        "handshake",
        "listener",
        "notify_end",
        "opening",
        "tenant",
        "upstream_connection",
    )

    def __init__(
        self, listener: SessionHost, downstream: Any, opening: OpeningRequest, client: str, tenant: str
    ) -> None:
        self.listener = listener
        self.downstream: Any = downstream
        self.opening: OpeningRequest | None = opening
        self.client_address = client
        self.tenant = tenant
        self.handshake: ClientHandshake | None = ClientHandshake(opening.protocols)
        self.client_side = TunnelSide(self, is_client=True)
        self.endpoint_side = TunnelSide(self, is_client=False)
        self.upstream_connection: UpstreamConnection | None = None
        self.notify_end: Callable[[AttemptStatus], None] | None = None
        self.bucket = TokenBucket(listener.settings.burst, time.monotonic())

    @property
    def upstream(self) -> ConnectionPool | None:
        """Connection pool of the endpoint, while there is a connection."""
        return self.upstream_connection.pool if self.upstream_connection is not None else None

    # net.downstream.ResponseWriter

    @property
    def needs_complete_response(self) -> bool:
        """Return False: the client receives nothing of a response to its handshake."""
        return False

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        """Reject the client's handshake because no endpoint has accepted the handshake.

        The connection stays HTTP and ends, because the client's further bytes may be frames.
        """
        self.listener.remove_session(self.client_address, self.tenant)
        self.downstream.respond(BAD_GATEWAY if code == OK else code, headers, body)

    def stream(self, _headers: Any, _length: int | None, source: Any) -> None:
        """Reject the client's handshake because the endpoint's response was not a 101."""
        source.discard()
        self.respond(BAD_GATEWAY, (), b"the node answered with no WebSocket\n")

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection before the 101 response."""
        return self.downstream is not None and bool(self.downstream.has_client_left())

    def hides_disconnect(self) -> bool:
        """Return False: further bytes before the 101 response end the handshake, so they are read at once."""
        return False

    # net.protocols.UpgradeNegotiation

    def request_headers(self) -> bytes:
        """Return the header lines of the next attempt."""
        assert self.handshake is not None
        return self.handshake.request_headers(os.urandom(KEY_BYTES))

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """Return the fault in the headers of a 101 response, or None if there is none."""
        assert self.handshake is not None
        return self.handshake.verify_response(headers)

    def client_disconnected(self) -> None:
        """Release the place of the session because the client has disconnected before the 101 response."""
        self.listener.remove_session(self.client_address, self.tenant)

    def upgraded(
        self,
        connection: UpstreamConnection,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """Start to forward frames after an endpoint has accepted the handshake."""
        listener = self.listener
        transport = connection.transport
        opening = self.opening
        assert transport is not None
        assert opening is not None
        self.upstream_connection = connection
        self.notify_end = on_end
        chosen = next((value for name, value in headers if name == b"sec-websocket-protocol"), b"")
        codec = FrameCodec(True, listener.settings.message_bytes)
        endpoint = WebSocketConnection(
            transport,
            codec,
            self.endpoint_side,
            listener.read_buffer,
            listener.read_turns,
            is_server=False,
        )
        self.endpoint_side.connection = endpoint
        client = listener.accept_connection(self.downstream, opening, chosen, self.client_side)
        self.client_side.connection = client
        self.downstream = None
        self.opening = None
        self.handshake = None
        listener.add_tunnel(self)
        endpoint.receive_surplus(surplus)

    # Frames.

    def other(self, side: TunnelSide) -> TunnelSide:
        """Return the opposite side."""
        return self.endpoint_side if side is self.client_side else self.client_side

    def forward(self, side: TunnelSide, fragment: MessageFragment) -> None:
        """Send a part of a message to the other side, within the client's rate limit."""
        settings = self.listener.settings
        is_client_message = side.is_client and fragment.is_last
        if is_client_message and not self.bucket.take(
            time.monotonic(), settings.messages_per_s, settings.burst
        ):
            assert side.connection is not None
            side.connection.fail(POLICY_VIOLATION, "too many messages")
            return
        other = self.other(side).connection
        if other is not None and (fragment.data or fragment.is_last):
            other.send(fragment.data, fragment.is_last)
            self.listener.on_write(other)

    # Closing.

    def on_side_closed(self, side: TunnelSide, code: int, reason: str) -> None:
        """Close the other side and report the outcome of the stream to the policy."""
        if side.is_client:
            self._close_endpoint(code, reason)
            self.report_end(AttemptStatus.OK)
        else:
            self._close_client(code, reason)
            self.report_end(AttemptStatus.RESET if code == ABNORMAL else AttemptStatus.OK)

    def _close_endpoint(self, code: int, reason: str) -> None:
        endpoint = self.endpoint_side.connection
        if endpoint is None:
            return
        if code == ABNORMAL:
            endpoint.close(GOING_AWAY, "")
        else:
            endpoint.close(code, reason)

    def _close_client(self, code: int, reason: str) -> None:
        client = self.client_side.connection
        endpoint = self.endpoint_side.connection
        if client is None:
            return
        if code == ABNORMAL:  # The connection to the endpoint is lost.
            client.close(SERVICE_RESTART, close_reason(self.listener.spread.next_delay()))
        elif endpoint is not None and endpoint.has_violated_protocol:
            client.close(INTERNAL_ERROR, "the node sent what can't be read")
        else:
            client.close(code, reason)

    def on_side_lost(self, side: TunnelSide) -> None:
        """Release what belongs to a side whose connection has ended."""
        if side.is_client:
            self.listener.remove_session(self.client_address, self.tenant)
        elif self.upstream_connection is not None:
            upstream_connection = self.upstream_connection
            self.upstream_connection = None
            self.listener.remove_tunnel(self, upstream_connection.pool)
            upstream_connection.connection_lost(None)

    def report_end(self, status: AttemptStatus) -> None:
        """Report the end of the stream to the policy; further calls have no effect."""
        notify_end = self.notify_end
        self.notify_end = None
        if notify_end is not None:
            notify_end(status)

    def on_ping_timeout(self, side: TunnelSide) -> None:
        """Abort a half-open connection and close the other side."""
        connection = side.connection
        if connection is None:
            return
        if side.is_client:
            connection.close(GOING_AWAY, "no pong")
        else:
            self.report_end(AttemptStatus.TIMEOUT)
            if self.client_side.connection is not None:
                reason = close_reason(self.listener.spread.next_delay())
                self.client_side.connection.close(SERVICE_RESTART, reason)
        connection.abort()

    def close_for_drain(self, code: int) -> None:
        """Close the tunnel for a drain; the client receives a reconnect delay in the close reason."""
        if self.client_side.connection is not None:
            # on_side_closed then closes the endpoint's side.
            self.client_side.connection.close(code, close_reason(self.listener.spread.next_delay()))
        endpoint = self.endpoint_side.connection
        if endpoint is not None:
            asyncio.get_running_loop().call_later(CLOSE_GRACE_S, endpoint.abort)
