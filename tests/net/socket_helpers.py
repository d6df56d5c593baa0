"""Socket helpers of the tests: connection ends, the kernel's connection table, and a slow connect."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from net_harness import TEST_TIMEOUT_S, response

ESTABLISHED = "01"  # Connection states in /proc/net/tcp.
SYN_SENT = "02"


def reset_on_close(raw: socket.socket) -> None:
    """Set SO_LINGER with timeout 0 (socket(7)), so that a close resets the connection."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def fin(raw: socket.socket) -> None:
    """Close the socket."""
    raw.close()


def half_close(raw: socket.socket) -> None:
    """Close the sending side, and leave the receiving side open."""
    raw.shutdown(socket.SHUT_WR)


def reset(raw: socket.socket) -> None:
    """Close the socket with a reset."""
    reset_on_close(raw)
    raw.close()


def ports_of(writer: asyncio.StreamWriter) -> tuple[int, int]:
    """Return the local and the remote port of a connection."""
    return writer.get_extra_info("sockname")[1], writer.get_extra_info("peername")[1]


@dataclass(frozen=True, slots=True)
class TcpRow:
    """One end of a connection in the kernel's table (proc(5), net/tcp)."""

    port: int
    peer_port: int
    state: str
    unread_bytes: int


def tcp_table() -> Iterator[TcpRow]:
    """Yield all ends of TCP connections in the kernel's table."""
    for row in map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:]):
        ports = [int(address.rpartition(":")[2], 16) for address in row[1:3]]
        yield TcpRow(ports[0], ports[1], row[3], int(row[4].partition(":")[2], 16))


def unread_bytes(ports: tuple[int, int]) -> int | None:
    """Return the number of bytes that the process at the second port has not read from the first port.

    None: the connection no longer exists.
    """
    port, peer_port = ports
    ends = (row for row in tcp_table() if (row.port, row.peer_port) == (peer_port, port))
    return next((end.unread_bytes for end in ends), None)


def is_established(ports: tuple[int, int]) -> bool:
    """Return whether the connection is established in both directions."""
    return any((row.port, row.peer_port) == ports for row in tcp_table() if row.state == ESTABLISHED)


class SlowConnectListener:
    """Listener with a full backlog, so that a connect completes about a second late."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=3)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # One connection more than the backlog takes.
        self.backlog_fillers = [socket.socket() for _ in range(5)]
        for each in self.backlog_fillers:
            each.setblocking(False)
            each.connect_ex(self.listener.getsockname())

    def close(self) -> None:
        for each in (self.listener, *self.backlog_fillers):
            each.close()

    async def wait_for_connects(self, count: int) -> None:
        """Wait until at least `count` connects of the proxy are in progress by the kernel's table."""
        port = self.listener.getsockname()[1]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                if sum(row.peer_port == port and row.state == SYN_SENT for row in tcp_table()) > count:
                    return
                await asyncio.sleep(0.01)

    async def accept_connections(self, count: int) -> list[socket.socket]:
        """Accept and return `count` connections of the proxy."""
        loop = asyncio.get_running_loop()
        self.listener.setblocking(False)
        own_addresses = {each.getsockname() for each in self.backlog_fillers}
        accepted: list[socket.socket] = []
        while len(accepted) < count:
            connection, peer = await loop.sock_accept(self.listener)
            if peer not in own_addresses:
                accepted.append(connection)
        return accepted

    async def first_bytes(self) -> bytes:
        """Return the first bytes of the proxy's connection, or b"" if the connection ends without any."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            (connection,) = await self.accept_connections(1)
            with contextlib.suppress(ConnectionError):
                return await asyncio.get_running_loop().sock_recv(connection, 65536)
            return b""

    async def first_request(self) -> tuple[list[bytes], list[socket.socket]]:
        """Accept two connections of the proxy, and respond to the first request.

        Return the bytes that were received, and the connections that have received nothing.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            accepted = await self.accept_connections(2)
            reads = {loop.create_task(loop.sock_recv(each, 65536)): each for each in accepted}
            done, waiting = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                await loop.sock_sendall(reads[task], response(200, b"done"))
            for task in waiting:
                task.cancel()
        return [task.result() for task in done], [reads[task] for task in waiting]
