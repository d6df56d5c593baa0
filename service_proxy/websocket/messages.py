"""Message mode: each message of a client is a call that goes through the module like any other.

The session is not bound to a node: a drained or lost node is the module's matter, call by call. What a
session's connection is worth is decided in sessions.py; what a message is, in envelope.py.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from service_proxy.net.downstream import BadRequestError, Request, parse_request
from service_proxy.net.protocols import ResponseSource
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.events import Idempotency
from service_proxy.websocket import envelope
from service_proxy.websocket.codec import NO_STATUS, Piece
from service_proxy.websocket.limits import Bucket
from service_proxy.websocket.peer import Peer
from service_proxy.websocket.sessions import MOST_OUTCOME, Outcome, Session, Taking

if TYPE_CHECKING:
    from service_proxy.websocket.front import Front

MOST_BAD = 8  # malformed messages of one connection before it is closed
LEFT_FOR_GOOD = (1000, NO_STATUS)  # close codes with which a client ends its session, not only its connection


class MessageReply:
    """net.downstream.ResponseWriter of one message: one outcome, to whichever connection it has then."""

    __slots__ = ("call", "id", "parts", "session", "size", "source", "talks")

    def __init__(self, talks: Talks, session: Session, id: str) -> None:
        self.talks = talks
        self.session = session
        self.id = id
        self.call: Any = None  # the driver's, once it has it
        self.source: ResponseSource | None = None
        self.parts: list[bytes] = []  # of an answer that comes on
        self.size = 0

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        wait = next((float(value) for name, value in headers if name == b"retry-after"), 0.0)
        self.talks.settle(self.session, self.id, code, body, wait)

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """It ran; a message holds it whole or not at all."""
        self.source = source
        source.stream_to(self)
        if length is not None and length > MOST_OUTCOME:
            self._too_long()

    def write(self, data: bytes) -> None:
        if self.source is None:
            return
        self.size += len(data)
        if self.size > MOST_OUTCOME:
            self._too_long()
        else:
            self.parts.append(bytes(data))

    def finish(self) -> None:
        if self.source is not None:
            self.source = None
            self.talks.settle(self.session, self.id, 200, b"".join(self.parts))

    def fail(self) -> None:
        if self.source is not None:
            self.source = None
            self.talks.settle(self.session, self.id, 502, b"the answer broke off\n")

    def _too_long(self) -> None:
        source = self.source
        self.source = None
        self.parts.clear()
        if source is not None:
            source.discard()
        self.talks.settle(self.session, self.id, 502, b"the answer is too long for a message\n")

    def left(self, handler: Any) -> None:
        """Nobody waits for it any more."""
        source = self.source
        self.source = None
        if source is not None:
            source.discard()
        elif self.call is not None:
            handler.client_disconnected(self.call)


class Talk:
    """One connection of a session: peer.Owner."""

    __slots__ = ("bad", "bucket", "client", "parts", "peer", "session", "size", "talks")

    def __init__(self, talks: Talks, session: Session, client: str, now: float) -> None:
        self.talks = talks
        self.session = session
        self.client = client
        self.peer: Peer | None = None
        self.parts: list[str] | None = None  # of a message that comes in pieces
        self.size = 0
        self.bad = 0
        self.bucket = Bucket(talks.front.settings.burst, now)

    def came(self, piece: Piece) -> None:
        assert self.peer is not None
        if not isinstance(piece.data, str):
            self.peer.fail(1003, "messages here are texts")
            return
        text = piece.data
        if self.parts is not None or not piece.last:
            self.parts = self.parts or []
            self.parts.append(text)
            self.size += len(text)
            if self.size > self.talks.front.settings.message_bytes:  # unpacked, it may be more than came
                self.peer.fail(1009, "the message is too long")
                return
            if not piece.last:
                return
            text = "".join(self.parts)
            self.parts = None
            self.size = 0
        self.talks.said(self, text)

    def ended(self, code: int, reason: str) -> None:
        self.parts = None
        self.talks.ended(self, code)

    def gone(self) -> None:
        self.talks.front.left(self.client, self.session.tenant)

    def full(self, full: bool) -> None:
        assert self.peer is not None
        self.peer.hold(full)  # who reads no outcomes is not asked for more messages

    def silent(self) -> None:
        assert self.peer is not None
        self.peer.close(1001, "no pong")
        self.peer.abort()

    def tell(self, text: str) -> bool:
        """False: it may not have arrived."""
        front = self.talks.front
        peer = self.peer
        if peer is None or not peer.send(text):
            return False
        if peer.unsent > front.settings.unread_bytes:
            peer.fail(1008, "outcomes are not read")
        else:
            front.wrote(peer)
        return True


class Talks:
    """All sessions of message mode."""

    def __init__(self, front: Front) -> None:
        self.front = front
        self.book = front.book

    def begin(self, talk: Talk, resumed: bool, seen: int) -> None:
        """The hello, and what a session that was resumed is owed."""
        session = talk.session
        self.book.seen(session, seen)
        owed, lost = session.unseen(seen)
        talk.tell(
            envelope.hello(
                session.token, resumed, self.front.settings.resume_within, sorted(session.open), lost
            )
        )
        for outcome in owed:
            talk.tell(outcome.text)

    def said(self, talk: Talk, text: str) -> None:
        """A whole message."""
        settings = self.front.settings
        now = time.monotonic()
        try:
            call = envelope.read(text)
        except envelope.Malformed as fault:
            talk.bad += 1
            talk.tell(envelope.malformed(fault))
            if talk.bad >= MOST_BAD and talk.peer is not None:
                talk.peer.fail(1008, "too many malformed messages")
            return
        session = talk.session
        if call.seen >= 0:
            self.book.seen(session, call.seen)
        taking, known = session.take(call.id)
        if taking is Taking.OPEN:
            return  # its one outcome is still to come
        if known is not None:
            talk.tell(known.text)
            return
        reply = MessageReply(self, session, call.id)
        session.open[call.id] = reply
        if not talk.bucket.take(now, settings.messages_per_s, settings.burst):
            wait = talk.bucket.wait(settings.messages_per_s)
            self.settle(session, call.id, 429, b"too many messages\n", wait)
        elif len(session.open) > settings.open_messages:
            self.settle(session, call.id, 429, b"too many messages without an outcome\n", 1.0)
        elif self.front.draining:
            self.settle(session, call.id, 503, b"this proxy is stopping\n", 0.0)
        else:
            self._call(reply, call, now)

    def _call(self, reply: MessageReply, call: envelope.Call, now: float) -> None:
        """Hands it to the driver."""
        driver = self.front.driver
        session = reply.session
        effect = driver.idempotency_by_class.get(call.cls)
        if effect is None:
            self.settle(session, call.id, 404, b"no such class\n")
            return
        most = driver.deadline_by_class[call.cls]
        budget = most if call.budget is None else min(call.budget, most)
        get = effect is Idempotency.IDEMPOTENT
        headers = [
            (b"host", b"websocket"),
            (b"x-call-id", call.id.encode()),
            (b"x-budget", b"%dm" % max(1, int(budget * 1e3))),
        ]
        if session.tenant:
            headers.append((b"x-caller", session.tenant.encode("latin-1")))
        if call.subject:
            headers.append((b"cookie", b"sid=" + call.subject.encode()))
        if call.key:
            headers.append((b"idempotency-key", call.key.encode()))
        if call.again:
            headers.append((b"x-again", b"1"))
        try:
            request: Request = parse_request(
                b"GET" if get else b"POST",
                f"/{call.cls}{call.path}".encode(),
                headers,
                RequestBody.of(call.body),
                now,
                driver.idempotency_by_class,
                driver.consumed_headers,
            )
        except BadRequestError as bad:
            self.settle(session, call.id, bad.status_code, f"{bad}\n".encode())
            return
        try:
            reply.call = driver.start_request(request, reply)
        except Exception:
            self.front.failed("a message could not be taken")
            if call.id in session.open:
                self.settle(session, call.id, 500, b"internal error\n")

    def settle(self, session: Session, id: str, code: int, body: bytes, wait: float = 0.0) -> None:
        """The one outcome of a message: told now, or kept for a client that comes back."""
        n = session.settle(id)
        text = envelope.outcome(n, id, code, body, wait)
        short = text if len(text) <= MOST_OUTCOME else envelope.outcome(n, id, code, b"", wait, dropped=True)
        self.book.settled(session, Outcome(n, id, short))
        talk = session.peer
        if talk is not None:
            talk.tell(text)

    def ended(self, talk: Talk, code: int) -> None:
        """A connection's end is the session's, where the client says so; else it may come back."""
        session = talk.session
        if session.peer is not talk:
            return  # another connection has it by now
        if code in LEFT_FOR_GOOD or self.front.draining:
            self.end(session)
        else:
            self.book.detach(session, time.monotonic())

    def end(self, session: Session) -> None:
        for reply in self.book.end(session):
            reply.left(self.front.driver)

    def sweep(self, now: float) -> None:
        for session in self.book.overdue(now, self.front.settings.resume_within):
            self.end(session)

    def make_room(self) -> bool:
        """For a new session, where one waits for nobody."""
        oldest = self.book.oldest()
        if oldest is not None:
            self.end(oldest)
        return oldest is not None
