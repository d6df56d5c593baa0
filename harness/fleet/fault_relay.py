"""Fault relay through which all datagrams and TCP connections between real processes pass.

Each member listens on one address (127.77.x.y), and the other members send to another address of this member
(127.78.x.y). The relay receives the datagrams there, and `network.Network` decides on each. The relay then
forwards the datagram from the sender's 127.78 address, as a platform's network would. The relay needs neither
root nor rules of the kernel.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from harness.fleet.network import Network

MEMBERS_PER_THIRD_BYTE = 200  # number of members per value of an address's third byte
NOT_A_MEMBER = -1  # sender that is not a member


def loopback_address(net: int, number: int) -> str:
    """Return a member's address in one of the relay's two networks."""
    return f"127.{net}.{number // MEMBERS_PER_THIRD_BYTE}.{number % MEMBERS_PER_THIRD_BYTE + 1}"


class _MemberSocket(asyncio.DatagramProtocol):
    """Socket at the address to which the other members of one member send."""

    def __init__(self, relay: DatagramRelay, number: int) -> None:
        self.relay = relay
        self.number = number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.relay_datagram(addr, self.number, data)

    def error_received(self, exc: Exception) -> None:
        pass  # the receiver does not listen; the datagram is lost


class DatagramRelay:
    """Relay that receives all datagrams between members and forwards those that the network delivers.

    Attributes:
        number_by_address: member numbers by the address on which the member listens.
        relayed_count, bytes: received datagrams and their bytes.
    """

    def __init__(self, members: int, port: int, network: Network) -> None:
        self.loop = asyncio.get_running_loop()
        self.members = members
        self.port = port
        self.network = network
        self.member_sockets = [_MemberSocket(self, number) for number in range(members)]
        self.number_by_address = {loopback_address(77, number): number for number in range(members)}
        self.relayed_count = 0
        self.bytes = 0
        self.started = self.loop.time()

    def addresses(self) -> list[str]:
        """Return the addresses to which members send."""
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
        """Forward a datagram to a member, after the delays and faults of the network."""
        sender = self.number_by_address.get(str(source[0]), NOT_A_MEMBER)
        if sender == NOT_A_MEMBER or source[1] != self.port:
            return
        self.relayed_count += 1
        self.bytes += len(data)
        copies = self.network.carry(sender, receiver, data, self.loop.time() - self.started)
        for wait, sent in copies:
            if wait > 0:
                self.loop.call_later(wait, self._forward, sender, receiver, sent)
            else:
                self._forward(sender, receiver, sent)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.member_sockets[sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (loopback_address(77, receiver), self.port))

    def inject(self, receiver: int, data: bytes) -> None:
        """Send a datagram to a member's listen address directly, from the address of another member."""
        transport = self.member_sockets[(receiver + 1) % self.members].transport
        if transport is not None:
            transport.sendto(data, (loopback_address(77, receiver), self.port))


class _RelayedConnection(asyncio.Protocol):
    """One side of a relayed connection."""

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
        if self.other is None:  # an accepted connection; the connection to the target is opened now
            self.task = self.relay.loop.create_task(self._connect_target())

    async def _connect_target(self) -> None:
        other = _RelayedConnection(self.relay, self)
        self.other = other
        try:
            await self.relay.loop.create_connection(lambda: other, *self.relay.target_address())
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
    """Relay of one member's TCP connections to one target address."""

    def __init__(self, target_address: Callable[[], tuple[str, int]]) -> None:
        self.loop = asyncio.get_running_loop()
        self.target_address = target_address
        self.connections: set[_RelayedConnection] = set()
        self.silent = False
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> str:
        """Listen; return the address."""
        self.server = await self.loop.create_server(lambda: _RelayedConnection(self), host, port, backlog=256)
        return f"{host}:{port}"

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
        """Stop reading on all connections, which stay open, or resume it; new ones follow the setting."""
        self.silent = on
        for connection in list(self.connections):
            if connection.transport is not None and not connection.transport.is_closing():
                if on:
                    connection.transport.pause_reading()
                else:
                    connection.transport.resume_reading()
