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
from service_proxy.websocket.closing import State
from service_proxy.websocket.codec import ABNORMAL, Codec, Piece
from service_proxy.websocket.handshake import Asking, Opening
from service_proxy.websocket.limits import Bucket
from service_proxy.websocket.peer import Peer
from service_proxy.websocket.spread import reason

if TYPE_CHECKING:
    from service_proxy.websocket.front import Front

LET_GO = 0.4  # s for a node's close frame when it must be left: rule 3 has 2 s for all


class Side:
    """One end of a tunnel: peer.Owner."""

    __slots__ = ("client", "peer", "tunnel")

    def __init__(self, tunnel: Tunnel, client: bool) -> None:
        self.tunnel = tunnel
        self.client = client
        self.peer: Peer | None = None

    def came(self, piece: Piece) -> None:
        self.tunnel.pass_on(self, piece)

    def ended(self, code: int, reason: str) -> None:
        self.tunnel.ended(self, code, reason)

    def gone(self) -> None:
        self.peer = None
        self.tunnel.gone(self)

    def full(self, full: bool) -> None:
        other = self.tunnel.other(self).peer
        if other is not None and other.state is State.OPEN:
            other.hold(full)

    def silent(self) -> None:
        self.tunnel.silent(self)


class Tunnel:
    """net.downstream.ResponseWriter for the handshake, net.protocols.UpgradeNegotiation for its attempts."""

    __slots__ = (
        "asking",
        "bucket",
        "client",
        "connection",
        "from_client",
        "front",
        "node",
        "opening",
        "origin",
        "over",
        "tenant",
    )

    def __init__(self, front: Front, connection: Any, opening: Opening, client: str, tenant: str) -> None:
        self.front = front
        self.connection: Any = connection  # these three until the 101
        self.opening: Opening | None = opening
        self.from_client = client
        self.tenant = tenant
        self.asking: Asking | None = Asking(opening.protocols)
        self.client, self.node = Side(self, True), Side(self, False)
        self.origin: UpstreamConnection | None = None  # the node's connection, as the pool counts it
        self.over: Callable[[AttemptStatus], None] | None = None  # tells the module the end, once
        self.bucket = Bucket(front.settings.burst, time.monotonic())

    @property
    def upstream(self) -> ConnectionPool | None:
        return self.origin.pool if self.origin is not None else None

    # before the 101
    def respond(self, code: int, headers: Any, body: bytes) -> None:
        """No node took it: the connection stays HTTP's, and ends, for what comes behind may be frames."""
        self.front.left(self.from_client, self.tenant)
        self.connection.respond(502 if code == 200 else code, headers, body)

    def stream(self, headers: Any, length: int | None, source: Any) -> None:
        source.discard()
        self.respond(502, (), b"the node answered with no WebSocket\n")

    def request_headers(self) -> bytes:
        assert self.asking is not None
        return self.asking.lines(os.urandom(16))

    def verify_response(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        assert self.asking is not None
        return self.asking.proven(headers)

    def client_disconnected(self) -> None:
        self.front.left(self.from_client, self.tenant)

    def upgraded(
        self,
        connection: UpstreamConnection,
        headers: list[tuple[bytes, bytes]],
        surplus: bytes,
        on_end: Callable[[AttemptStatus], None],
    ) -> None:
        """A node has taken it: both ends are frames from here on."""
        front = self.front
        transport = connection.transport
        opening = self.opening
        assert transport is not None
        assert opening is not None
        self.origin = connection
        self.over = on_end
        most = front.settings.message_bytes
        chosen = next((value for name, value in headers if name == b"sec-websocket-protocol"), b"")
        node = Peer(transport, Codec(True, most), self.node, front.scratch, server=False)
        self.node.peer = node
        self.client.peer = front.hand_over(self.connection, opening, chosen, self.client)
        self.connection = None
        self.opening = None
        self.asking = None
        front.open_tunnel(self)
        node.behind(surplus)

    # frames
    def other(self, side: Side) -> Side:
        return self.node if side is self.client else self.client

    def pass_on(self, side: Side, piece: Piece) -> None:
        settings = self.front.settings
        whole = side.client and piece.last
        if whole and not self.bucket.take(time.monotonic(), settings.messages_per_s, settings.burst):
            assert side.peer is not None
            side.peer.fail(1008, "too many messages")
            return
        other = self.other(side).peer
        if other is not None and (piece.data or piece.last):
            other.send(piece.data, piece.last)
            self.front.wrote(other)

    # ends
    def ended(self, side: Side, code: int, text: str) -> None:
        """One end is over; the other is told why."""
        if side.client:
            if self.node.peer is not None:
                self.node.peer.close(1001 if code == ABNORMAL else code, text if code != ABNORMAL else "")
            self.tell(AttemptStatus.OK)
            return
        if self.client.peer is not None:
            if code == ABNORMAL:  # the node is lost
                self.client.peer.close(1012, reason(self.front.spread.next()))
            elif self.node.peer is not None and self.node.peer.faulty:
                self.client.peer.close(1011, "the node sent what can't be read")
            else:
                self.client.peer.close(code, text)
        self.tell(AttemptStatus.RESET if code == ABNORMAL else AttemptStatus.OK)

    def gone(self, side: Side) -> None:
        if side.client:
            self.front.left(self.from_client, self.tenant)
        elif self.origin is not None:
            origin = self.origin
            self.origin = None
            self.front.closed_tunnel(self, origin.pool)
            origin.connection_lost(None)

    def tell(self, status: AttemptStatus) -> None:
        over = self.over
        self.over = None
        if over is not None:
            over(status)

    def silent(self, side: Side) -> None:
        """A half-open connection: it is left, and the other end is told."""
        peer = side.peer
        if peer is None:
            return
        if side.client:
            peer.close(1001, "no pong")
        else:
            self.tell(AttemptStatus.TIMEOUT)
            if self.client.peer is not None:
                self.client.peer.close(1012, reason(self.front.spread.next()))
        peer.abort()

    def leave_node(self, code: int) -> None:
        """The node drains, or this proxy does: nothing more to it, and its client is told when to come
        back."""
        if self.client.peer is not None:
            self.client.peer.close(code, reason(self.front.spread.next()))  # and so the node's, in ended()
        node = self.node.peer
        if node is not None:
            asyncio.get_running_loop().call_later(LET_GO, node.abort)
