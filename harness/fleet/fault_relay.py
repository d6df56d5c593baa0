"""The fault relay between real processes: every datagram and every TCP connection between them goes through.

Each member has an address of its own on which it listens (127.77.x.y), and another by which the others know
it (127.78.x.y): there the relay takes what they send, decides on it by `network.Network`, and hands it on
from the sender's known address, as a platform's network would. No root, no kernel rules.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from harness.fleet.network import Network

HOSTS = 200  # members for each third byte
NOBODY = -1  # a sender that is no member


def loopback_address(net: int, number: int) -> str:
    """Return a member's address in one of the relay's two networks."""
    return f"127.{net}.{number // HOSTS}.{number % HOSTS + 1}"


class _MemberSocket(asyncio.DatagramProtocol):
    """The socket at the address by which one member is known."""

    def __init__(self, relay: DatagramRelay, number: int) -> None:
        self.relay = relay
        self.number = number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.relay_datagram(addr, self.number, data)

    def error_received(self, exc: Exception) -> None:
        pass  # nobody listens there now: it is lost


class DatagramRelay:
    """Takes all datagrams between members, and hands on what the network lets pass.

    Attributes:
        number_of: members by the address at which they listen.
        relayed_count, bytes: of what came.
    """

    def __init__(self, members: int, port: int, network: Network) -> None:
        self.loop = asyncio.get_running_loop()
        self.members = members
        self.port = port
        self.network = network
        self.member_sockets = [_MemberSocket(self, number) for number in range(members)]
        self.number_of = {loopback_address(77, number): number for number in range(members)}
        self.relayed_count = 0
        self.bytes = 0
        self.started = self.loop.time()

    def addresses(self) -> list[str]:
        """Return the addresses by which members know one another."""
        return [f"{loopback_address(78, number)}:{self.port}" for number in range(self.members)]

    async def start(self) -> None:
        """Bind all sockets."""
        for number, member_socket in enumerate(self.member_sockets):
            await self.loop.create_datagram_endpoint(
                lambda member_socket=member_socket: member_socket,  # type: ignore[misc]
                local_addr=(loopback_address(78, number), self.port),
            )

    def stop(self) -> None:
        """Close all sockets."""
        for member_socket in self.member_sockets:
            if member_socket.transport is not None:
                member_socket.transport.close()

    def relay_datagram(self, source: tuple[str | Any, int], receiver: int, data: bytes) -> None:
        """Take a datagram to a member."""
        sender = self.number_of.get(str(source[0]), NOBODY)
        if sender == NOBODY or source[1] != self.port:
            return
        self.relayed_count += 1
        self.bytes += len(data)
        copies = self.network.carry(sender, receiver, data, self.loop.time() - self.started)
        for wait, sent in copies:
            if wait > 0:
                self.loop.call_later(wait, self._hand_on, sender, receiver, sent)
            else:
                self._hand_on(sender, receiver, sent)

    def _hand_on(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.member_sockets[sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (loopback_address(77, receiver), self.port))

    def inject(self, receiver: int, data: bytes) -> None:
        """Send straight to a member's own socket, from the address of one that others know."""
        transport = self.member_sockets[(receiver + 1) % self.members].transport
        if transport is not None:
            transport.sendto(data, (loopback_address(77, receiver), self.port))


class _RelayedConnection(asyncio.Protocol):
    """One side of a connection that is passed on."""

    def __init__(self, relay: TcpRelay, other: _RelayedConnection | None = None) -> None:
        self.relay = relay
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.unsent = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.relay.connections.add(self)
        if self.relay.silent:
            self.transport.pause_reading()
        if self.other is None:  # it came in; its other side is made now
            self.task = self.relay.loop.create_task(self._reach())

    async def _reach(self) -> None:
        other = _RelayedConnection(self.relay, self)
        self.other = other
        try:
            await self.relay.loop.create_connection(lambda: other, *self.relay.to())
        except OSError:
            if self.transport is not None:
                self.transport.abort()
            return
        if self.unsent and other.transport is not None:
            other.transport.write(self.unsent)
        if self.transport is None and other.transport is not None:
            other.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self.unsent += data
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.relay.connections.discard(self)
        if self.other is not None and self.other.transport is not None:
            if exc is None:
                self.other.transport.close()
            else:
                self.other.transport.abort()


class TcpRelay:
    """One address in front of another, for one member's connections to it."""

    def __init__(self, to: Callable[[], tuple[str, int]]) -> None:
        self.loop = asyncio.get_running_loop()
        self.to = to
        self.connections: set[_RelayedConnection] = set()
        self.silent = False
        self.server: asyncio.Server | None = None

    async def start(self, at: str, port: int) -> str:
        """Listen; return the address."""
        self.server = await self.loop.create_server(lambda: _RelayedConnection(self), at, port, backlog=256)
        return f"{at}:{port}"

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def set_silent(self, on: bool) -> None:
        """Keep connections up and let nothing pass; new ones come up to nobody."""
        self.silent = on
        for connection in list(self.connections):
            if connection.transport is not None and not connection.transport.is_closing():
                if on:
                    connection.transport.pause_reading()
                else:
                    connection.transport.resume_reading()
