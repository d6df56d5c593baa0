"""Turns of the connections whose clients send more than the event loop should process at once."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol


class TurnTaker(Protocol):
    """Connection that waits for its next turn."""

    def on_read_turn(self) -> None:
        """Process buffered input and read again; the connection may have been closed meanwhile."""


class ReadTurns:
    """Queue of the connections with input that waits, of which one has its turn in each loop iteration.

    The event loop reads from one socket for as long as the socket has data, up to 2 MB. Parsing and answering
    this takes up to a second if the data consists of tiny chunks or short requests, so a few such clients
    would delay all other clients by seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[TurnTaker] = deque()

    def wait(self, connection: TurnTaker) -> None:
        """Add a connection, which pauses reading, at the end of the queue."""
        if not self._waiting:
            self._loop.call_soon(self._start_turn)
        self._waiting.append(connection)

    def _start_turn(self) -> None:
        connection = self._waiting.popleft()
        if self._waiting:
            self._loop.call_soon(self._start_turn)
        connection.on_read_turn()
