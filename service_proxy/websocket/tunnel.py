"""Tunnel mode: a session pinned to the node that the module picked; frames pass both ways with backpressure.

To the driver it is a request of a stream class whose answer is a 101; from then on the module knows that the
stream has started, and at its end what came of it. Each side's frames are read, checked and written anew.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from service_proxy.net.upstream import ConnectionPool, UpstreamConnection
from service_proxy.policy.events import AttemptStatus
from service_proxy.websocket.closing_handshake import ClosingState
from service_proxy.websocket.connection import WebSocketConnection
from service_proxy.websocket.frame_codec import ABNORMAL, FrameCodec, MessageFragment
from service_proxy.websocket.opening_handshake import ClientHandshake, OpeningRequest
from service_proxy.websocket.reconnect_spread import close_reason
from service_proxy.websocket.session_limits import TokenBucket

if TYPE_CHECKING:
    from service_proxy.websocket.listener import WebSocketListener

CLOSE_GRACE_S = 0.4  # s for a node's close frame when it must be left: rule 3 has 2 s for all


class TunnelSide:
    """One end of a tunnel: peer.Owner."""

    __slots__ = ("connection", "is_client", "tunnel")

    def __init__(self, tunnel: Tunnel, client: bool) -> None:
        self.tunnel = tunnel
        self.is_client = client
        self.connection: WebSocketConnection | None = None

    def on_fragment(self, piece: MessageFragment) -> None:
        self.tunnel.forward(self, piece)

    def on_closed(self, code: int, reason: str) -> None:
        self.tunnel.on_side_closed(self, code, reason)

    def on_connection_lost(self) -> None:
        self.connection = None
        self.tunnel.on_side_lost(self)

    def on_backpressure(self, full: bool) -> None:
        other = self.tunnel.other(self).connection
        if other is not None and other.state is ClosingState.OPEN:
            other.set_paused(full)

    def on_ping_timeout(self) -> None:
        self.tunnel.on_ping_timeout(self)


class Tunnel:
    """net.downstream.ResponseWriter for the handshake, net.protocols.UpgradeNegotiation for its attempts."""

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
        self, front: WebSocketListener, connection: Any, opening: OpeningRequest, client: str, tenant: str
    ) -> None:
        self.listener = front
        self.downstream: Any = connection  # these three until the 101
        self.opening: OpeningRequest | None = opening
        self.client_address = client
        self.tenant = tenant
        self.handshake: ClientHandshake | None = ClientHandshake(opening.protocols)
        self.client_side, self.endpoint_side = TunnelSide(self, True), TunnelSide(self, False)
        self.upstream_connection: UpstreamConnection | None = (
            None  # the node's connection, as the pool counts it
        )
        self.notify_end: Callable[[AttemptStatus], None] | None = None  # tells the module the end, once
        self.bucket = TokenBucket(front.settings.burst, time.monotonic())

    @property
    def upstream(self) -> ConnectionPool | None:
        return self.upstream_connection.pool if self.upstream_connection is not None else None

    # before the 101
    def respond(self, code: int, headers: Any, body: bytes) -> None:
        """No node took it: the connection stays HTTP's, and ends, for what comes behind may be frames."""
        self.listener.remove_session(self.client_address, self.tenant)
        self.downstream.respond(502 if code == 200 else code, headers, body)

    def stream(self, headers: Any, length: int | None, source: Any) -> None:
        source.discard()
        self.respond(502, (), b"the node answered with no WebSocket\n")

    def request_headers(self) -> bytes:
        assert self.handshake is not None
        return self.handshake.request_headers(os.urandom(16))

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        assert self.handshake is not None
        return self.handshake.verify_response(headers)

    def client_disconnected(self) -> None:
        self.listener.remove_session(self.client_address, self.tenant)

    def upgraded(
        self,
        connection: UpstreamConnection,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """A node has taken it: both ends are frames from here on."""
        front = self.listener
        transport = connection.transport
        opening = self.opening
        assert transport is not None
        assert opening is not None
        self.upstream_connection = connection
        self.notify_end = on_end
        most = front.settings.message_bytes
        chosen = next((value for name, value in headers if name == b"sec-websocket-protocol"), b"")
        node = WebSocketConnection(
            transport, FrameCodec(True, most), self.endpoint_side, front.read_buffer, is_server=False
        )
        self.endpoint_side.connection = node
        self.client_side.connection = front.accept_connection(
            self.downstream, opening, chosen, self.client_side
        )
        self.downstream = None
        self.opening = None
        self.handshake = None
        front.add_tunnel(self)
        node.receive_surplus(surplus)

    # frames
    def other(self, side: TunnelSide) -> TunnelSide:
        return self.endpoint_side if side is self.client_side else self.client_side

    def forward(self, side: TunnelSide, piece: MessageFragment) -> None:
        settings = self.listener.settings
        whole = side.is_client and piece.is_last
        if whole and not self.bucket.take(time.monotonic(), settings.messages_per_s, settings.burst):
            assert side.connection is not None
            side.connection.fail(1008, "too many messages")
            return
        other = self.other(side).connection
        if other is not None and (piece.data or piece.is_last):
            other.send(piece.data, piece.is_last)
            self.listener.on_write(other)

    # ends
    def on_side_closed(self, side: TunnelSide, code: int, text: str) -> None:
        """One end is over; the other is told why."""
        if side.is_client:
            if self.endpoint_side.connection is not None:
                self.endpoint_side.connection.close(
                    1001 if code == ABNORMAL else code, text if code != ABNORMAL else ""
                )
            self.report_end(AttemptStatus.OK)
            return
        if self.client_side.connection is not None:
            if code == ABNORMAL:  # the node is lost
                self.client_side.connection.close(1012, close_reason(self.listener.spread.next_delay()))
            elif (
                self.endpoint_side.connection is not None
                and self.endpoint_side.connection.has_violated_protocol
            ):
                self.client_side.connection.close(1011, "the node sent what can't be read")
            else:
                self.client_side.connection.close(code, text)
        self.report_end(AttemptStatus.RESET if code == ABNORMAL else AttemptStatus.OK)

    def on_side_lost(self, side: TunnelSide) -> None:
        if side.is_client:
            self.listener.remove_session(self.client_address, self.tenant)
        elif self.upstream_connection is not None:
            origin = self.upstream_connection
            self.upstream_connection = None
            self.listener.remove_tunnel(self, origin.pool)
            origin.connection_lost(None)

    def report_end(self, status: AttemptStatus) -> None:
        over = self.notify_end
        self.notify_end = None
        if over is not None:
            over(status)

    def on_ping_timeout(self, side: TunnelSide) -> None:
        """A half-open connection: it is left, and the other end is told."""
        peer = side.connection
        if peer is None:
            return
        if side.is_client:
            peer.close(1001, "no pong")
        else:
            self.report_end(AttemptStatus.TIMEOUT)
            if self.client_side.connection is not None:
                self.client_side.connection.close(1012, close_reason(self.listener.spread.next_delay()))
        peer.abort()

    def close_for_drain(self, code: int) -> None:
        """The node drains, or this proxy does: nothing more to it, and its client is told when to come
        back."""
        if self.client_side.connection is not None:
            self.client_side.connection.close(
                code, close_reason(self.listener.spread.next_delay())
            )  # and so the node's, in ended()
        node = self.endpoint_side.connection
        if node is not None:
            asyncio.get_running_loop().call_later(CLOSE_GRACE_S, node.abort)
