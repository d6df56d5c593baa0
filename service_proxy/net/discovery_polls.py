"""Polls of discovery that run at the same time, of which the first answer is used."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from service_proxy.net.discovery_connection import DiscoveryConnection
from service_proxy.net.endpoint_list import EndpointList

# Runs one poll on a connection: target, timeout (s).
PollFunction = Callable[[DiscoveryConnection, str, float], Coroutine[Any, Any, EndpointList]]


class PollsInFlight:
    """Polls for changes since the same version, each on a connection of its own.

    A poll that is not answered in time stays in flight while the next one starts. The older poll is answered
    if discovery is slow, and the newer one if the connection of the older poll is broken.

    Args:
        poll: Runs one poll; raises an error if it fails.
    """

    def __init__(self, poll: PollFunction) -> None:
        self._poll = poll
        self._connections: dict[asyncio.Task[EndpointList], DiscoveryConnection] = {}  # The oldest is first.
        self._kept: DiscoveryConnection | None = None  # Connection of the poll that was answered.

    def start(self, target: str, timeout: float, max_polls: int) -> asyncio.Task[EndpointList]:
        """Start a poll and return it; with `max_polls` in flight, the oldest one is cancelled."""
        while len(self._connections) >= max_polls:
            self._cancel(next(iter(self._connections)))
        connection = self._kept or DiscoveryConnection()
        self._kept = None
        poll = asyncio.get_running_loop().create_task(self._poll(connection, target, timeout))
        self._connections[poll] = connection
        return poll

    async def first_outcome(
        self, timeout: float, newest: asyncio.Task[EndpointList] | None = None
    ) -> EndpointList | Exception:
        """Return the first list that arrives, and cancel all other polls.

        Otherwise return the error with which the poll `newest` failed, or a TimeoutError after `timeout`
        seconds; the other polls stay in flight.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self._connections:
            remaining = max(0.0, deadline - loop.time())
            done, _ = await asyncio.wait(
                self._connections, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return TimeoutError(f"not answered within {timeout:.2f} s")
            answered = [poll for poll in done if poll.exception() is None]
            if answered:
                self._kept = self._connections.pop(answered[0])
                self.cancel()
                return answered[0].result()
            for poll in done:
                del self._connections[poll]
            if newest in done and isinstance(error := newest.exception(), Exception):
                return error
        await asyncio.sleep(max(0.0, deadline - loop.time()))
        return TimeoutError(f"not answered within {timeout:.2f} s")

    def _cancel(self, poll: asyncio.Task[EndpointList]) -> None:
        connection = self._connections.pop(poll)
        poll.cancel()
        connection.close()

    def cancel(self) -> None:
        """Cancel all polls; the connection of an answered poll is kept for the next one."""
        for poll in list(self._connections):
            self._cancel(poll)

    def close(self) -> None:
        """Cancel all polls, and close all connections."""
        self.cancel()
        if self._kept is not None:
            self._kept.close()
            self._kept = None
