"""Sessions of message mode: pending messages, stored outcomes, and who may resume a session. Pure.

A message is accepted once: while it is pending, a repeat of its id joins it; after, its stored outcome is
sent again under the same number. A session whose connection ends without a goodbye waits for its client for a
stated time; outcomes of that time, and stored ones that the client has not acknowledged, are sent when it is
back. The caller brings the time (s, monotonic).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_STORED_OUTCOMES = 32  # of a session
MAX_STORED_BYTES = 8 * 1024  # of a session's outcomes together, but for the last one
MAX_OUTCOME_BYTES = 64 * 1024  # of one that is stored with its body


class MessageStatus(Enum):
    """What is known of a message's id."""

    NEW = "new"
    PENDING = "pending"  # its outcome is still to come
    ANSWERED = "answered"  # its outcome is stored


@dataclass(slots=True)
class Outcome:
    """The outcome of a message, as text of the message that is sent."""

    number: int
    message_id: str
    text: str


class MessageSession:
    """One client's session, over however many connections.

    Attributes:
        pending: by message id, with who works on it.
        outcomes: stored ones by number, oldest first.
        stored_bytes: of these.
        last_number: of the last outcome.
        last_lost: the highest number that is not stored any more and was not acknowledged.
        connection: that it is attached to, if any.
        detached_at: when it lost the last one.
    """

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
        self.pending: dict[str, Any] = {}
        self.outcomes: dict[int, Outcome] = {}
        self.stored_bytes = 0
        self.last_number = 0
        self.last_lost = 0
        self.connection: Any = None
        self.detached_at = 0.0

    def status_of(self, message_id: str) -> tuple[MessageStatus, Outcome | None]:
        """Return whether a message is new, and its stored outcome if there is one."""
        if message_id in self.pending:
            return MessageStatus.PENDING, None
        for outcome in self.outcomes.values():
            if outcome.message_id == message_id:
                return MessageStatus.ANSWERED, outcome
        return MessageStatus.NEW, None

    def settle(self, message_id: str) -> int:
        """End a pending message; return the number of its only outcome."""
        del self.pending[message_id]
        self.last_number += 1
        return self.last_number

    def acknowledge(self, number: int) -> int:
        """Forget what the client has read, up to this number; return the bytes that are freed."""
        freed = 0
        for acknowledged in [stored for stored in self.outcomes if stored <= number]:
            freed += self._forget(acknowledged)
        return freed

    def store(self, outcome: Outcome, available_bytes: int) -> int:
        """Store an outcome for a client that resumes; older ones give way.

        Args:
            outcome: of a settled message.
            available_bytes: that all sessions together may still store.

        Returns:
            By how much the stored bytes of this session have grown.
        """
        before = self.stored_bytes
        self.outcomes[outcome.number] = outcome
        self.stored_bytes += len(outcome.text)
        while len(self.outcomes) > 1 and self._exceeds_limits(before + available_bytes):
            oldest = next(iter(self.outcomes))
            self._forget(oldest)
            self.last_lost = max(self.last_lost, oldest)
        if self.stored_bytes - before > max(0, available_bytes):  # not even this one
            self._forget(outcome.number)
            self.last_lost = outcome.number
        return self.stored_bytes - before

    def _exceeds_limits(self, max_bytes: int) -> bool:
        exceeds_count = len(self.outcomes) > MAX_STORED_OUTCOMES
        return exceeds_count or self.stored_bytes > min(MAX_STORED_BYTES, max_bytes)

    def _forget(self, number: int) -> int:
        size = len(self.outcomes.pop(number).text)
        self.stored_bytes -= size
        return size

    def unacknowledged(self, number: int) -> tuple[list[Outcome], int]:
        """Return the outcomes after this number, and how many of these are lost."""
        outcomes = [outcome for outcome in self.outcomes.values() if outcome.number > number]
        return outcomes, max(0, self.last_lost - number)


class SessionRegistry:
    """All sessions of this proxy, by token.

    Attributes:
        max_bytes: of stored outcomes, of all sessions together.
        detached: sessions without a connection, longest first.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.stored_bytes = 0
        self.sessions: dict[str, MessageSession] = {}
        self.detached: dict[MessageSession, None] = {}

    def create(self, token: str, tenant: str, connection: object) -> MessageSession:
        """Add a session."""
        session = MessageSession(token, tenant)
        session.connection = connection
        self.sessions[token] = session
        return session

    def resume(self, token: str, tenant: str, connection: object) -> tuple[MessageSession, object] | None:
        """Attach a session to another connection.

        Returns:
            The session, and the connection that it is taken from, if it still had one. None: there is none
            of this token, or it is another tenant's.
        """
        session = self.sessions.get(token)
        if session is None or session.tenant != tenant:
            return None
        previous = session.connection
        session.connection = connection
        self.detached.pop(session, None)
        return session, previous

    def detach(self, session: MessageSession, now: float) -> None:
        """Note that a session's connection has ended without a goodbye."""
        session.connection = None
        session.detached_at = now
        self.detached[session] = None

    def end(self, session: MessageSession) -> list[Any]:
        """Remove a session; return who still works on its messages."""
        self.sessions.pop(session.token, None)
        self.detached.pop(session, None)
        self.stored_bytes -= session.stored_bytes
        session.stored_bytes = 0
        session.outcomes.clear()
        work = list(session.pending.values())
        session.pending.clear()
        return work

    def store(self, session: MessageSession, outcome: Outcome) -> None:
        """Store an outcome as far as there are bytes left."""
        self.stored_bytes += session.store(outcome, self.max_bytes - self.stored_bytes)

    def acknowledge(self, session: MessageSession, number: int) -> None:
        """Forget what a session's client has read."""
        self.stored_bytes -= session.acknowledge(number)

    def expired(self, now: float, resume_within: float) -> Iterator[MessageSession]:
        """Yield the sessions whose client has not come back in time (s)."""
        for session in list(self.detached):
            if session.detached_at + resume_within > now:
                return
            yield session

    def oldest_detached(self) -> MessageSession | None:
        """Return the session that gives way to another."""
        return next(iter(self.detached), None)
