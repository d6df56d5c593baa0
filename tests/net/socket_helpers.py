"""Sockets of the tests: how a connection ends, what the kernel says of it, and one that comes up late."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from net_harness import TEST_TIMEOUT_S, response

ESTABLISHED = "01"  # states in /proc/net/tcp
SYN_SENT = "02"


def reset_on_close(raw: socket.socket) -> None:
    """socket(7), SO_LINGER with no time: what is closed from now on is reset."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def fin(raw: socket.socket) -> None:
    """Close it."""
    raw.close()


def half_close(raw: socket.socket) -> None:
    """Send no more, and go on reading."""
    raw.shutdown(socket.SHUT_WR)


def reset(raw: socket.socket) -> None:
    """Close it with a reset."""
    reset_on_close(raw)
    raw.close()


def ports_of(writer: asyncio.StreamWriter) -> tuple[int, int]:
    """The ports of a connection, this side's first."""
    return writer.get_extra_info("sockname")[1], writer.get_extra_info("peername")[1]


@dataclass(frozen=True, slots=True)
class TcpRow:
    """One end of a connection in the kernel's table (proc(5), net/tcp)."""

    port: int
    peer_port: int
    state: str
    unread_bytes: int


def tcp_table() -> Iterator[TcpRow]:
    """All ends of connections that the kernel knows now."""
    for row in map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:]):
        ports = [int(address.rpartition(":")[2], 16) for address in row[1:3]]
        yield TcpRow(ports[0], ports[1], row[3], int(row[4].partition(":")[2], 16))


def unread_bytes(ports: tuple[int, int]) -> int | None:
    """Bytes that the process behind the second port has not read of what came from the first; None once that
    connection is no more."""
    port, peer_port = ports
    ends = (row for row in tcp_table() if (row.port, row.peer_port) == (peer_port, port))
    return next((end.unread_bytes for end in ends), None)


def is_established(ports: tuple[int, int]) -> bool:
    """Tell whether the connection stands in both directions."""
    return any((row.port, row.peer_port) == ports for row in tcp_table() if row.state == ESTABLISHED)


class Unreachable:
    """Listens with no room for a connection, so that a connect comes up about a second late."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=3)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.blocking = [socket.socket() for _ in range(5)]  # one more than it holds
        for each in self.blocking:
            each.setblocking(False)
            each.connect_ex(self.listener.getsockname())

    def close(self) -> None:
        for each in (self.listener, *self.blocking):
            each.close()

    async def tried(self, count: int) -> None:
        """Until so many connects of the proxy are on their way, by the kernel's table."""
        port = self.listener.getsockname()[1]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                if sum(row.peer_port == port and row.state == SYN_SENT for row in tcp_table()) > count:
                    return
                await asyncio.sleep(0.01)

    async def up(self, count: int) -> list[socket.socket]:
        """So many connections of the proxy, from now on."""
        loop = asyncio.get_running_loop()
        self.listener.setblocking(False)
        own = {each.getsockname() for each in self.blocking}
        came: list[socket.socket] = []
        while len(came) < count:
            connection, peer = await loop.sock_accept(self.listener)
            if peer not in own:
                came.append(connection)
        return came

    async def first(self) -> bytes:
        """What the proxy's connection brings up to its end, or at first."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            (connection,) = await self.up(1)
            with contextlib.suppress(ConnectionError):
                return await asyncio.get_running_loop().sock_recv(connection, 65536)
            return b""

    async def calls(self) -> tuple[list[bytes], list[socket.socket]]:
        """What two connections of the proxy have brought once they are up and one of them has a call, which
        is answered."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            came = await self.up(2)
            reads = {loop.create_task(loop.sock_recv(each, 65536)): each for each in came}
            done, waiting = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                await loop.sock_sendall(reads[task], response(200, b"done"))
            for task in waiting:
                task.cancel()
        return [task.result() for task in done], [reads[task] for task in waiting]
