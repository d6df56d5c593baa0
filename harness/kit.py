"""what the harness and their tests share: a loop in a thread, and waiting for an event with a bound."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

PATIENCE = 20.0  # s; what takes longer has failed
STEP = 0.005  # s between looks

T = TypeVar("T")


async def until(condition: Callable[[], object], what: str = "", patience: float = PATIENCE) -> None:
    """Waits until the condition holds; raises TimeoutError with `what` where it does not."""
    due = time.monotonic() + patience
    while not condition():
        if time.monotonic() > due:
            raise TimeoutError(what or "the condition never held")
        await asyncio.sleep(STEP)


async def listen(
    factory: Callable[[], asyncio.Protocol], address: str = "", backlog: int = 256
) -> tuple[asyncio.Server, str]:
    """On loopback, at the port that the address names, or at a free one; with the address that it has now."""
    port = int(address.rpartition(":")[2]) if address else 0
    server = await asyncio.get_running_loop().create_server(
        factory, "127.0.0.1", port, reuse_address=True, backlog=backlog
    )
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


class LoopThread:
    """An event loop in a thread of its own, for rigs beside clients that block."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(PATIENCE)

    def call(self, work: Callable[[], T]) -> T:
        async def called() -> T:
            return work()

        return self.run(called())

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(PATIENCE)
        self.loop.close()
