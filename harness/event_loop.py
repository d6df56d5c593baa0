"""Shared tools of harnesses and tests: bounded waits, listeners, stall measurement, a loop in a thread."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, TypeVar

DEFAULT_TIMEOUT_S = 20.0  # longest wait for a condition before it counts as failed
POLL_INTERVAL_S = 0.005
STALL_CHECK_INTERVAL_S = 0.005  # interval between two checks whether the event loop was stalled
MIN_STALL_S = 0.005  # shortest delay of a check that counts as a stall

T = TypeVar("T")


async def until(
    condition: Callable[[], object], description: str = "", timeout: float = DEFAULT_TIMEOUT_S
) -> None:
    """Wait until the condition holds. Raises TimeoutError with the description after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(description or "the condition did not become true in time")
        await asyncio.sleep(POLL_INTERVAL_S)


async def listen(
    factory: Callable[[], asyncio.Protocol], address: str = "", backlog: int = 256
) -> tuple[asyncio.Server, str]:
    """Listen on loopback, at the address's port or at a free one; return the server and its address."""
    port = int(address.rpartition(":")[2]) if address else 0
    server = await asyncio.get_running_loop().create_server(
        factory, "127.0.0.1", port, reuse_address=True, backlog=backlog
    )
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


class StallMonitor:
    """Monitor that reports stalls of the running event loop, because events during a stall are recorded late.

    Args:
        on_stall: called with the begin and the end of each stall (monotonic, s).
    """

    def __init__(self, on_stall: Callable[[float, float], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_stall = on_stall
        self._timer: asyncio.TimerHandle | None = None
        self._expected_at = 0.0

    def start(self) -> None:
        """Start to check for stalls."""
        self._expected_at = time.monotonic() + STALL_CHECK_INTERVAL_S
        self._timer = self._loop.call_later(STALL_CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stop to check for stalls."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        now = time.monotonic()
        if now > self._expected_at + MIN_STALL_S:
            self._on_stall(self._expected_at, now)
        self.start()


class LoopThread:
    """An event loop in a thread of its own, for harnesses beside blocking clients."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(DEFAULT_TIMEOUT_S)

    def call(self, function: Callable[[], T]) -> T:
        """Call a function on the loop's thread and wait for its result."""

        async def call_function() -> T:
            return function()

        return self.run(call_function())

    def stop(self) -> None:
        """Stop the loop and end its thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(DEFAULT_TIMEOUT_S)
        self.loop.close()


class LongestStall:
    """The longest stall of an event loop within a block.

    Attributes:
        duration: s.
    """

    def __init__(self) -> None:
        self.duration = 0.0

    def on_stall(self, began_at: float, ended_at: float) -> None:
        """Record a stall."""
        self.duration = max(self.duration, ended_at - began_at)


@contextlib.asynccontextmanager
async def measured_stalls() -> AsyncIterator[LongestStall]:
    """Measure the stalls of the running event loop within a block."""
    longest = LongestStall()
    monitor = StallMonitor(longest.on_stall)
    monitor.start()
    try:
        yield longest
    finally:
        # so that a stall that has just ended is measured, too
        await asyncio.sleep(2 * STALL_CHECK_INTERVAL_S)
        monitor.stop()
