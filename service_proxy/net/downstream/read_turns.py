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
    """Two queues of connections with input that waits; one of each has its turn in each loop iteration.

    The event loop reads from one socket for as long as the socket has data, up to 2 MB. Parsing and answering
    this takes up to a second if the data consists of tiny chunks or short requests, so a few such clients
    would delay all other clients by seconds.

    A backlog, that is requests behind earlier ones of the same connection, has a queue of its own. The rest
    of a request that is not behind another one waits in the other queue, and not for all backlogs.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._arriving: deque[TurnTaker] = deque()
        self._backlogs: deque[TurnTaker] = deque()

    def wait(self, connection: TurnTaker, is_backlog: bool) -> None:
        """Add a connection, which pauses reading, at the end of a queue."""
        if not (self._arriving or self._backlogs):
            self._loop.call_soon(self._start_turns)
        queue = self._backlogs if is_backlog else self._arriving
        queue.append(connection)

    def _start_turns(self) -> None:
        connections = [queue.popleft() for queue in (self._arriving, self._backlogs) if queue]
        if self._arriving or self._backlogs:
            self._loop.call_soon(self._start_turns)
        # An error in one turn must not take away the other connection's turn.
        for connection in connections[1:]:
            self._loop.call_soon(connection.on_read_turn)
        connections[0].on_read_turn()
