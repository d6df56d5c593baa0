"""Sessions of message mode: which messages are open, which outcomes are kept, who may take a session over.

A message is taken once: while it is open, a repeat of its id joins it; after, its kept outcome is told again
under the same number. A session whose connection ends without a goodbye waits for its client for a stated
time; outcomes of that time, and kept ones that the client says it has not seen, are told when it is back.
No I/O and no clock: who calls brings the time (s, monotonic).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_KEPT_OUTCOMES = 32  # outcomes of a session that are kept for one that comes back
MAX_KEPT_BYTES = 8 * 1024  # of them together, but for the last one
MAX_OUTCOME_BYTES = 64 * 1024  # bytes of one that is kept whole


class MessageStatus(Enum):
    NEW = "new"
    PENDING = "open"  # its outcome is still to come
    ANSWERED = "known"  # its outcome is kept


@dataclass(slots=True)
class Outcome:
    number: int
    message_id: str
    text: str  # as it is told


class MessageSession:
    """One client's, over however many connections."""

    __slots__ = (
        "connection",
        "detached_at",
        "last_lost",
        "last_number",
        "outcomes",
        "pending",
        "stored_bytes",
        "tenant",
        "token",
    )

    def __init__(self, token: str, tenant: str) -> None:
        self.token = token
        self.tenant = tenant
        self.pending: dict[str, Any] = {}  # by id; the value is whose who works on it
        self.outcomes: dict[int, Outcome] = {}  # by number, the oldest first
        self.stored_bytes = 0  # of these
        self.last_number = 0  # number of the last outcome
        self.last_lost = 0  # the highest number that is not kept any more and was not seen
        self.connection: Any = None  # the connection that it is attached to
        self.detached_at = 0.0  # when it lost the last one

    def status_of(self, id: str) -> tuple[MessageStatus, Outcome | None]:
        if id in self.pending:
            return MessageStatus.PENDING, None
        known = next((outcome for outcome in self.outcomes.values() if outcome.message_id == id), None)
        return (MessageStatus.NEW, None) if known is None else (MessageStatus.ANSWERED, known)

    def settle(self, id: str) -> int:
        """The number of the outcome that a message has now. It has no second one."""
        del self.pending[id]
        self.last_number += 1
        return self.last_number

    def acknowledge(self, n: int) -> int:
        """The client has read all up to this one. Returns the bytes that are let go."""
        freed = 0
        for number in [number for number in self.outcomes if number <= n]:
            freed += self._forget(number)
        return freed

    def store(self, outcome: Outcome, room: int) -> int:
        """For a client that comes back. `room`: bytes that all sessions together may still keep. Returns by
        how much the bytes of this one have grown."""
        before = self.stored_bytes
        self.outcomes[outcome.number] = outcome
        self.stored_bytes += len(outcome.text)
        while len(self.outcomes) > 1 and (
            len(self.outcomes) > MAX_KEPT_OUTCOMES
            or self.stored_bytes > MAX_KEPT_BYTES
            or self.stored_bytes - before > room
        ):
            oldest = next(iter(self.outcomes))
            self._forget(oldest)
            self.last_lost = max(self.last_lost, oldest)
        if self.stored_bytes - before > max(0, room):  # not even this one
            self._forget(outcome.number)
            self.last_lost = outcome.number
        return self.stored_bytes - before

    def _forget(self, n: int) -> int:
        size = len(self.outcomes.pop(n).text)
        self.stored_bytes -= size
        return size

    def unacknowledged(self, n: int) -> tuple[list[Outcome], int]:
        """What a client that has seen all up to `n` is owed, and how many of these are lost."""
        return [outcome for outcome in self.outcomes.values() if outcome.number > n], max(
            0, self.last_lost - n
        )


class SessionRegistry:
    """All sessions of this proxy, by token."""

    def __init__(self, max_bytes: int) -> None:
        """`pool`: bytes of outcomes that are kept, of all sessions together."""
        self.max_bytes = max_bytes
        self.stored_bytes = 0
        self.sessions: dict[str, MessageSession] = {}
        self.detached: dict[MessageSession, None] = {}  # the longest ago first

    def create(self, token: str, tenant: str, peer: object) -> MessageSession:
        session = self.sessions[token] = MessageSession(token, tenant)
        session.connection = peer
        return session

    def resume(self, token: str, tenant: str, peer: object) -> tuple[MessageSession, object] | None:
        """The session, and the connection that it is taken from, if it still had one. None: no such one, or
        another tenant's."""
        session = self.sessions.get(token)
        if session is None or session.tenant != tenant:
            return None
        before = session.connection
        session.connection = peer
        self.detached.pop(session, None)
        return session, before

    def detach(self, session: MessageSession, now: float) -> None:
        """Its connection has ended without a goodbye."""
        session.connection = None
        session.detached_at = now
        self.detached[session] = None

    def end(self, session: MessageSession) -> list[Any]:
        """It is over. Returns what is still worked on for it."""
        self.sessions.pop(session.token, None)
        self.detached.pop(session, None)
        self.stored_bytes -= session.stored_bytes
        session.stored_bytes = 0
        session.outcomes.clear()
        work = list(session.pending.values())
        session.pending.clear()
        return work

    def store(self, session: MessageSession, outcome: Outcome) -> None:
        self.stored_bytes += session.store(outcome, self.max_bytes - self.stored_bytes)

    def acknowledge(self, session: MessageSession, n: int) -> None:
        self.stored_bytes -= session.acknowledge(n)

    def expired(self, now: float, within: float) -> Iterator[MessageSession]:
        """Those whose client has not come back in time."""
        for session in list(self.detached):
            if session.detached_at + within > now:
                return
            yield session

    def oldest_detached(self) -> MessageSession | None:
        """The one that makes room for another."""
        return next(iter(self.detached), None)
