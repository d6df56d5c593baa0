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

MOST_KEPT = 32  # outcomes of a session that are kept for one that comes back
MOST_KEPT_BYTES = 8 * 1024  # of them together, but for the last one
MOST_OUTCOME = 64 * 1024  # bytes of one that is kept whole


class Taking(Enum):
    NEW = "new"
    OPEN = "open"  # its outcome is still to come
    KNOWN = "known"  # its outcome is kept


@dataclass(slots=True)
class Outcome:
    n: int
    id: str
    text: str  # as it is told


class Session:
    """One client's, over however many connections."""

    __slots__ = ("bytes", "gone_at", "kept", "last", "lost", "open", "peer", "tenant", "token")

    def __init__(self, token: str, tenant: str) -> None:
        self.token = token
        self.tenant = tenant
        self.open: dict[str, Any] = {}  # by id; the value is whose who works on it
        self.kept: dict[int, Outcome] = {}  # by number, the oldest first
        self.bytes = 0  # of these
        self.last = 0  # number of the last outcome
        self.lost = 0  # the highest number that is not kept any more and was not seen
        self.peer: Any = None  # the connection that it is attached to
        self.gone_at = 0.0  # when it lost the last one

    def take(self, id: str) -> tuple[Taking, Outcome | None]:
        if id in self.open:
            return Taking.OPEN, None
        known = next((outcome for outcome in self.kept.values() if outcome.id == id), None)
        return (Taking.NEW, None) if known is None else (Taking.KNOWN, known)

    def settle(self, id: str) -> int:
        """The number of the outcome that a message has now. It has no second one."""
        del self.open[id]
        self.last += 1
        return self.last

    def seen(self, n: int) -> int:
        """The client has read all up to this one. Returns the bytes that are let go."""
        freed = 0
        for number in [number for number in self.kept if number <= n]:
            freed += self._forget(number)
        return freed

    def keep(self, outcome: Outcome, room: int) -> int:
        """For a client that comes back. `room`: bytes that all sessions together may still keep. Returns by
        how much the bytes of this one have grown."""
        before = self.bytes
        self.kept[outcome.n] = outcome
        self.bytes += len(outcome.text)
        while len(self.kept) > 1 and (
            len(self.kept) > MOST_KEPT or self.bytes > MOST_KEPT_BYTES or self.bytes - before > room
        ):
            oldest = next(iter(self.kept))
            self._forget(oldest)
            self.lost = max(self.lost, oldest)
        if self.bytes - before > max(0, room):  # not even this one
            self._forget(outcome.n)
            self.lost = outcome.n
        return self.bytes - before

    def _forget(self, n: int) -> int:
        size = len(self.kept.pop(n).text)
        self.bytes -= size
        return size

    def unseen(self, n: int) -> tuple[list[Outcome], int]:
        """What a client that has seen all up to `n` is owed, and how many of these are lost."""
        return [outcome for outcome in self.kept.values() if outcome.n > n], max(0, self.lost - n)


class Book:
    """All sessions of this proxy, by token."""

    def __init__(self, pool: int) -> None:
        """`pool`: bytes of outcomes that are kept, of all sessions together."""
        self.pool = pool
        self.bytes = 0
        self.sessions: dict[str, Session] = {}
        self.detached: dict[Session, None] = {}  # the longest ago first

    def begin(self, token: str, tenant: str, peer: object) -> Session:
        session = self.sessions[token] = Session(token, tenant)
        session.peer = peer
        return session

    def resume(self, token: str, tenant: str, peer: object) -> tuple[Session, object] | None:
        """The session, and the connection that it is taken from, if it still had one. None: no such one, or
        another tenant's."""
        session = self.sessions.get(token)
        if session is None or session.tenant != tenant:
            return None
        before = session.peer
        session.peer = peer
        self.detached.pop(session, None)
        return session, before

    def detach(self, session: Session, now: float) -> None:
        """Its connection has ended without a goodbye."""
        session.peer = None
        session.gone_at = now
        self.detached[session] = None

    def end(self, session: Session) -> list[Any]:
        """It is over. Returns what is still worked on for it."""
        self.sessions.pop(session.token, None)
        self.detached.pop(session, None)
        self.bytes -= session.bytes
        session.bytes = 0
        session.kept.clear()
        work = list(session.open.values())
        session.open.clear()
        return work

    def settled(self, session: Session, outcome: Outcome) -> None:
        self.bytes += session.keep(outcome, self.pool - self.bytes)

    def seen(self, session: Session, n: int) -> None:
        self.bytes -= session.seen(n)

    def overdue(self, now: float, within: float) -> Iterator[Session]:
        """Those whose client has not come back in time."""
        for session in list(self.detached):
            if session.gone_at + within > now:
                return
            yield session

    def oldest(self) -> Session | None:
        """The one that makes room for another."""
        return next(iter(self.detached), None)
