"""A nodo that a power loss leaves cold: slots and a waiting room, a pace that grows with time and work, a
fall when more is sent to it than it bears, and a memory of keys that ends with its group's power.

The contract is the platform's: at the age of a s it bears at least (cold_from + (1 - cold_from) a / cold_for)
of what it bears when warm; one that is sent over `fall_multiple` times that within any `fall_within` s falls,
and is back, cold, BACK s later. Work warms it sooner than time alone does.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rigs.backend import Backend, Incoming, _Connection
from rigs.ledger import Attempt, Ledger, Rules

SLOTS = 2  # calls that it works on at once
ROOM = 12  # that wait; more are turned away unseen
BACK = 3.0  # s that a process takes to start again after its fall


@dataclass(slots=True)
class Memory:
    """Of a group's nodos: keys that have run, and until when (monotonic) they are known."""

    lasts: float = 6.0  # s
    known: dict[str, float] = field(default_factory=dict)

    def knows(self, key: str, now: float) -> bool:
        return self.known.get(key, 0.0) > now

    def add(self, key: str, now: float) -> None:
        self.known[key] = now + self.lasts


class Nodo(Backend):
    def __init__(
        self,
        ledger: Ledger,
        name: str,
        zone: str,
        service: float,
        capacity: float,
        rules: Rules,
        memory: Memory,
        rises: Callable[[Nodo], None] = lambda nodo: None,
    ) -> None:
        """`service`: core seconds of a call; `capacity`: of a warm one, core seconds each second; `rises`: is
        told of each start that is cold."""
        super().__init__(ledger, name, zone, service, capacity)
        self.rules, self.memory, self.rises = rules, memory, rises
        self.cold_since = float("-inf")  # monotonic
        self.worked = 0.0  # core s since then
        self.arrived: deque[tuple[float, float]] = deque()  # when, core s
        self.room: deque[tuple[_Connection, Attempt, Incoming]] = deque()
        self.busy = 0
        self.lives = 0
        self.falls: list[float] = []  # when
        self.powered = True

    async def start(self, cold: bool = False) -> str:
        self.powered = True
        if cold:
            self.cold_since, self.worked = time.monotonic(), 0.0
        address = await super().start(cold)
        if cold:
            self.rises(self)
        return address

    def power_off(self) -> None:
        """Until it is started by who switches it on."""
        self.powered = False
        self.stop()

    def stop(self) -> None:
        self.lives += 1
        self.busy = 0
        self.room.clear()
        self.arrived.clear()
        super().stop()

    def present(self, now: float) -> float:
        """Core seconds each second that it bears now."""
        rules = self.rules
        warm = (now - self.cold_since) / rules.cold_for + self.worked / (self.capacity * rules.cold_for)
        return self.capacity * (rules.cold_from + (1 - rules.cold_from) * min(1.0, warm))

    def load(self) -> bytes:
        return b"inflight=%d,queue=%d" % (self.busy, len(self.room))

    def begin(self, connection: _Connection, attempt: Attempt, incoming: Incoming) -> None:
        now = time.monotonic()
        if self._pushed_over(now):
            self.falls.append(now)
            self.stop()
            self.loop.call_later(BACK, self._rise)
        elif incoming.key and self.memory.knows(incoming.key, now):
            connection.served(attempt, incoming)  # its answer is remembered: it does not run again
        elif self.busy < SLOTS:
            self._work(connection, attempt, incoming)
        elif len(self.room) < ROOM:
            self.room.append((connection, attempt, incoming))
        else:
            connection.refuse(attempt)

    def _pushed_over(self, now: float) -> bool:
        rules = self.rules
        self.arrived.append((now, self.service))
        while self.arrived[0][0] < now - rules.fall_within:
            self.arrived.popleft()
        if now - self.cold_since >= rules.cold_for:
            return False
        sent = sum(work for _, work in self.arrived)
        return sent > rules.fall_multiple * self.present(now) * rules.fall_within

    def _rise(self) -> None:
        if self.powered and self.server is None:
            task: asyncio.Task[bool] = self.loop.create_task(self._start_again())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _start_again(self) -> bool:
        await self.start(cold=True)
        return True

    def _work(self, connection: _Connection, attempt: Attempt, incoming: Incoming) -> None:
        now = time.monotonic()
        attempt.ran, attempt.ran_at = True, now
        if incoming.key:
            self.memory.add(incoming.key, now)
        self.busy += 1
        span = self.service * SLOTS / self.present(now)
        self.loop.call_later(span, self._done, self.lives, connection, attempt, incoming)

    def _done(self, life: int, connection: _Connection, attempt: Attempt, incoming: Incoming) -> None:
        if life != self.lives:
            return
        self.busy -= 1
        self.worked += self.service
        connection.served(attempt, incoming)
        while self.room and self.busy < SLOTS:
            waiting = self.room.popleft()
            if waiting[0].transport is not None:  # whose connection has ended is not begun
                self._work(*waiting)
