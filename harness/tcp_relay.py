"""TCP relay on the same kind of event loop as the proxy, with one connection to the target for each client.

    python -m harness.tcp_relay --listen 127.0.0.1:0 --to 127.0.0.1:8081

The relay's cost per request is the lowest possible cost of any proxy on this event loop and machine;
benchmarks/per_call.py subtracts the relay's cost from the proxy's.
"""

from __future__ import annotations

import argparse
import asyncio
from typing import cast

import uvloop

LIFETIME_S = 600.0  # the program ends after this time


class _RelayedConnection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: _RelayedConnection | None = None
        self.buffered = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.peer is None:
            self.buffered += data
        elif self.peer.transport is not None:
            self.peer.transport.write(data)


class _ClientSide(_RelayedConnection):
    def __init__(self, to: tuple[str, int]) -> None:
        super().__init__()
        self.target = to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        _, other = await asyncio.get_running_loop().create_connection(_RelayedConnection, *self.target)
        other.peer = self
        self.peer = other
        if self.buffered and other.transport is not None:
            other.transport.write(self.buffered)


async def serve(listen: str, to: str) -> None:
    """Relay connections from one address to the other for the process's lifetime."""
    host, _, port = listen.rpartition(":")
    to_host, _, to_port = to.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _ClientSide((to_host, int(to_port))), host, int(port))
    print("listening {}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await asyncio.sleep(LIFETIME_S)


def main() -> None:
    """Run the relay with the command line's addresses."""
    parser = argparse.ArgumentParser(prog="python -m harness.tcp_relay")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--to", required=True, metavar="HOST:PORT")
    options = parser.parse_args()
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(options.listen, options.to))


if __name__ == "__main__":
    main()
