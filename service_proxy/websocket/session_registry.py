"""Sessions of message mode: pending messages, stored outcomes, and rules for resuming a session.

A message is executed only once. A repeat of the id of a pending message starts no second request; after the
outcome, a repeat receives the stored outcome under the same number. A session whose connection ends without
a normal close waits a stated time for its client to resume. The outcomes of that time, and the stored
outcomes that the client has not acknowledged, are sent when the client resumes. This module does no I/O;
the caller passes the time (s, monotonic).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from service_proxy.websocket.message_framing import encode_outcome

MAX_STORED_OUTCOMES = 32  # Stored outcomes per session.
# Bytes of a session's stored outcomes together; the last outcome may exceed the limit.
MAX_STORED_BYTES = 8 * 1024
MAX_OUTCOME_BYTES = 64 * 1024  # Size of an outcome that is stored with its body.


class MessageStatus(Enum):
    """State of a message id in a session."""

    NEW = "new"
    PENDING = "pending"  # The message has no outcome yet.
    ANSWERED = "answered"  # The outcome of the message is stored.


@dataclass(slots=True)
class Outcome:
    """Outcome of a message, with the text that is sent to the client.

    Attributes:
        number: Number of the outcome in its session.
        message_id: Id of the message.
        text: Encoded outcome, in ASCII, so that its length is its memory.
        status_code: Status code of the response; 0: the body can't be dropped.
        retry_after: Time that a rejected client should wait, s.
    """

    number: int
    message_id: str
    text: str
    status_code: int = 0
    retry_after: float = 0.0

    def drop_body(self) -> int:
        """Reduce the outcome to its result, and return the freed bytes."""
        if not self.status_code:
            return 0
        size = len(self.text)
        text = encode_outcome(
            self.number, self.message_id, self.status_code, b"", self.retry_after, is_body_dropped=True
        )
        if len(text) < size:
            self.text = text
        return size - len(self.text)


class MessageSession:
    """Session of one client, over any number of connections.

    Attributes:
        pending: Response writers of the pending messages, by message id.
        outcomes: Stored outcomes by number, oldest first.
        stored_bytes: Bytes of the stored outcomes.
        last_number: Number of the last outcome.
        last_lost: Highest number of an outcome that was discarded without acknowledgement.
        connection: Connection to which the session is attached, if any.
        detached_at: Time at which the last connection ended.
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
        """Return the status of a message id, and the stored outcome if there is one."""
        if message_id in self.pending:
            return MessageStatus.PENDING, None
        for outcome in self.outcomes.values():
            if outcome.message_id == message_id:
                return MessageStatus.ANSWERED, outcome
        return MessageStatus.NEW, None

    def settle(self, message_id: str) -> int:
        """Remove a pending message; return the number of the message's only outcome."""
        del self.pending[message_id]
        self.last_number += 1
        return self.last_number

    def acknowledge(self, number: int) -> int:
        """Discard the outcomes up to this number, which the client has read; return the freed bytes."""
        freed_bytes = 0
        for acknowledged in [stored for stored in self.outcomes if stored <= number]:
            freed_bytes += self._discard(acknowledged)
        return freed_bytes

    def store(self, outcome: Outcome, available_bytes: int) -> int:
        """Store an outcome for a client that resumes the session.

        Above the limits bodies are dropped, the oldest first, and only then are the oldest outcomes
        discarded: a client that has the result of a message need not repeat it.

        Args:
            outcome: Outcome of a settled message.
            available_bytes: Bytes that all sessions together may still store.

        Returns:
            The growth of this session's stored bytes.
        """
        before = self.stored_bytes
        self.outcomes[outcome.number] = outcome
        self.stored_bytes += len(outcome.text)
        self._drop_bodies(before + available_bytes)
        while len(self.outcomes) > 1 and self._exceeds_limits(before + available_bytes):
            oldest = next(iter(self.outcomes))
            self._discard(oldest)
            self.last_lost = max(self.last_lost, oldest)
        if self.stored_bytes - before > max(0, available_bytes):
            self.stored_bytes -= outcome.drop_body()
        # The bytes available do not suffice even for this outcome.
        if self.stored_bytes - before > max(0, available_bytes):
            self._discard(outcome.number)
            self.last_lost = outcome.number
        return self.stored_bytes - before

    def _drop_bodies(self, max_bytes: int) -> None:
        """Drop bodies above the limit of bytes, the oldest first; a single outcome keeps its body."""
        if len(self.outcomes) == 1:
            return
        for outcome in self.outcomes.values():
            if self.stored_bytes <= min(MAX_STORED_BYTES, max_bytes):
                return
            self.stored_bytes -= outcome.drop_body()

    def _exceeds_limits(self, max_bytes: int) -> bool:
        exceeds_count = len(self.outcomes) > MAX_STORED_OUTCOMES
        return exceeds_count or self.stored_bytes > min(MAX_STORED_BYTES, max_bytes)

    def _discard(self, number: int) -> int:
        size = len(self.outcomes.pop(number).text)
        self.stored_bytes -= size
        return size

    def unacknowledged(self, number: int) -> tuple[list[Outcome], int]:
        """Return the stored outcomes after this number, and how many after this number are lost."""
        outcomes = [outcome for outcome in self.outcomes.values() if outcome.number > number]
        return outcomes, max(0, self.last_lost - number)


class SessionRegistry:
    """All sessions of this proxy, by token.

    Attributes:
        max_bytes: Limit of the stored outcomes of all sessions together.
        detached: Sessions without a connection, the longest detached first.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.stored_bytes = 0
        self.sessions: dict[str, MessageSession] = {}
        self.detached: dict[MessageSession, None] = {}

    def create(self, token: str, tenant: str, connection: object) -> MessageSession:
        """Create and add a session."""
        session = MessageSession(token, tenant)
        session.connection = connection
        self.sessions[token] = session
        return session

    def resume(self, token: str, tenant: str, connection: object) -> tuple[MessageSession, object] | None:
        """Attach a session to another connection.

        Returns:
            The session and its previous connection, if the session still had one. None if no session has this
            token, or if the session belongs to another tenant.
        """
        session = self.sessions.get(token)
        if session is None or session.tenant != tenant:
            return None
        previous = session.connection
        session.connection = connection
        self.detached.pop(session, None)
        return session, previous

    def detach(self, session: MessageSession, now: float) -> None:
        """Record that a session's connection has ended without a normal close."""
        session.connection = None
        session.detached_at = now
        self.detached[session] = None

    def end(self, session: MessageSession) -> list[Any]:
        """Remove a session; return the response writers of its pending messages."""
        self.sessions.pop(session.token, None)
        self.detached.pop(session, None)
        self.stored_bytes -= session.stored_bytes
        session.stored_bytes = 0
        session.outcomes.clear()
        pending_writers = list(session.pending.values())
        session.pending.clear()
        return pending_writers

    def store(self, session: MessageSession, outcome: Outcome) -> None:
        """Store an outcome if enough bytes are available."""
        self.stored_bytes += session.store(outcome, self.max_bytes - self.stored_bytes)

    def acknowledge(self, session: MessageSession, number: int) -> None:
        """Discard the outcomes that a session's client has read."""
        self.stored_bytes -= session.acknowledge(number)

    def expired(self, now: float, resume_within: float) -> Iterator[MessageSession]:
        """Yield the sessions that no client has resumed within `resume_within` (s)."""
        for session in list(self.detached):
            if session.detached_at + resume_within > now:
                return
            yield session

    def oldest_detached(self) -> MessageSession | None:
        """Return the session that has been detached the longest, which is the first to be evicted."""
        return next(iter(self.detached), None)
