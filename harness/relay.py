"""A bare relay on the proxy's kind of loop: bytes from each caller's connection to one of its own, and back.

    python -m harness.relay --listen 127.0.0.1:0 --to 127.0.0.1:8081

What it costs a call is what any proxy on this loop and machine must cost; benchmarks/per_call.py subtracts
it.
"""

from __future__ import annotations

import argparse
import asyncio
from typing import cast

import uvloop

SECONDS = 600.0  # after which it ends by itself


class _Side(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early += data
        elif self.other.transport is not None:
            self.other.transport.write(data)


class _Caller(_Side):
    def __init__(self, to: tuple[str, int]) -> None:
        super().__init__()
        self.to = to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        _, other = await asyncio.get_running_loop().create_connection(_Side, *self.to)
        other.other = self
        self.other = other
        if self.early and other.transport is not None:
            other.transport.write(self.early)


async def serve(listen: str, to: str) -> None:
    host, _, port = listen.rpartition(":")
    to_host, _, to_port = to.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Caller((to_host, int(to_port))), host, int(port))
    print("listening {}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await asyncio.sleep(SECONDS)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m harness.relay")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    parser.add_argument("--to", required=True, metavar="HOST:PORT")
    wanted = parser.parse_args()
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(wanted.listen, wanted.to))


if __name__ == "__main__":
    main()
