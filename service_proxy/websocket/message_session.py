"""Message mode: each message of a client is a call that goes through the module like any other.

The session is not bound to a node: a drained or lost node is the module's matter, call by call. What a
session's connection is worth is decided in sessions.py; what a message is, in message_framing.py.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from service_proxy.net.downstream import BadRequestError, Request, parse_request
from service_proxy.net.protocols import ResponseSource
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.events import Idempotency
from service_proxy.websocket import message_framing
from service_proxy.websocket.connection import WebSocketConnection
from service_proxy.websocket.frame_codec import NO_STATUS, MessageFragment
from service_proxy.websocket.session_limits import TokenBucket
from service_proxy.websocket.session_registry import MAX_OUTCOME_BYTES, MessageSession, MessageStatus, Outcome

if TYPE_CHECKING:
    from service_proxy.websocket.listener import WebSocketListener

MAX_MALFORMED_MESSAGES = 8  # malformed messages of one connection before it is closed
SESSION_END_CODES = (
    1000,
    NO_STATUS,
)  # close codes with which a client ends its session, not only its connection


class MessageResponseWriter:
    """net.downstream.ResponseWriter of one message: one outcome, to whichever connection it has then."""

    __slots__ = ("message_id", "parts", "request_handle", "session", "sessions", "size", "source")

    def __init__(self, talks: MessageSessions, session: MessageSession, id: str) -> None:
        self.sessions = talks
        self.session = session
        self.message_id = id
        self.request_handle: Any = None  # the driver's, once it has it
        self.source: ResponseSource | None = None
        self.parts: list[bytes] = []  # of an answer that comes on
        self.size = 0

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        wait = next((float(value) for name, value in headers if name == b"retry-after"), 0.0)
        self.sessions.settle(self.session, self.message_id, code, body, wait)

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """It ran; a message holds it whole or not at all."""
        self.source = source
        source.stream_to(self)
        if length is not None and length > MAX_OUTCOME_BYTES:
            self._too_long()

    def write(self, data: bytes) -> None:
        if self.source is None:
            return
        self.size += len(data)
        if self.size > MAX_OUTCOME_BYTES:
            self._too_long()
        else:
            self.parts.append(bytes(data))

    def finish(self) -> None:
        if self.source is not None:
            self.source = None
            self.sessions.settle(self.session, self.message_id, 200, b"".join(self.parts))

    def fail(self) -> None:
        if self.source is not None:
            self.source = None
            self.sessions.settle(self.session, self.message_id, 502, b"the answer broke off\n")

    def _too_long(self) -> None:
        source = self.source
        self.source = None
        self.parts.clear()
        if source is not None:
            source.discard()
        self.sessions.settle(self.session, self.message_id, 502, b"the answer is too long for a message\n")

    def cancel(self, handler: Any) -> None:
        """Nobody waits for it any more."""
        source = self.source
        self.source = None
        if source is not None:
            source.discard()
        elif self.request_handle is not None:
            handler.client_disconnected(self.request_handle)


class MessageConnection:
    """One connection of a session: peer.Owner."""

    __slots__ = ("bucket", "client", "connection", "malformed_count", "parts", "session", "sessions", "size")

    def __init__(self, talks: MessageSessions, session: MessageSession, client: str, now: float) -> None:
        self.sessions = talks
        self.session = session
        self.client = client
        self.connection: WebSocketConnection | None = None
        self.parts: list[str] | None = None  # of a message that comes in pieces
        self.size = 0
        self.malformed_count = 0
        self.bucket = TokenBucket(talks.listener.settings.burst, now)

    def on_fragment(self, piece: MessageFragment) -> None:
        assert self.connection is not None
        if not isinstance(piece.data, str):
            self.connection.fail(1003, "messages here are texts")
            return
        text = piece.data
        if self.parts is not None or not piece.is_last:
            self.parts = self.parts or []
            self.parts.append(text)
            self.size += len(text)
            if (
                self.size > self.sessions.listener.settings.message_bytes
            ):  # unpacked, it may be more than came
                self.connection.fail(1009, "the message is too long")
                return
            if not piece.is_last:
                return
            text = "".join(self.parts)
            self.parts = None
            self.size = 0
        self.sessions.on_message(self, text)

    def on_closed(self, code: int, reason: str) -> None:
        self.parts = None
        self.sessions.on_connection_closed(self, code)

    def on_connection_lost(self) -> None:
        self.sessions.listener.remove_session(self.client, self.session.tenant)

    def on_backpressure(self, full: bool) -> None:
        assert self.connection is not None
        self.connection.set_paused(full)  # who reads no outcomes is not asked for more messages

    def on_ping_timeout(self) -> None:
        assert self.connection is not None
        self.connection.close(1001, "no pong")
        self.connection.abort()

    def send(self, text: str) -> bool:
        """False: it may not have arrived."""
        front = self.sessions.listener
        peer = self.connection
        if peer is None or not peer.send(text):
            return False
        if peer.unsent_bytes > front.settings.unread_bytes:
            peer.fail(1008, "outcomes are not read")
        else:
            front.on_write(peer)
        return True


class MessageSessions:
    """All sessions of message mode."""

    def __init__(self, front: WebSocketListener) -> None:
        self.listener = front
        self.registry = front.registry

    def start(self, talk: MessageConnection, resumed: bool, seen: int) -> None:
        """The hello, and what a session that was resumed is owed."""
        session = talk.session
        self.registry.acknowledge(session, seen)
        owed, lost = session.unacknowledged(seen)
        talk.send(
            message_framing.encode_hello(
                session.token, resumed, self.listener.settings.resume_within, sorted(session.pending), lost
            )
        )
        for outcome in owed:
            talk.send(outcome.text)

    def on_message(self, talk: MessageConnection, text: str) -> None:
        """A whole message."""
        settings = self.listener.settings
        now = time.monotonic()
        try:
            call = message_framing.parse_message(text)
        except message_framing.MalformedMessageError as fault:
            talk.malformed_count += 1
            talk.send(message_framing.encode_error(fault))
            if talk.malformed_count >= MAX_MALFORMED_MESSAGES and talk.connection is not None:
                talk.connection.fail(1008, "too many malformed messages")
            return
        session = talk.session
        if call.acknowledged >= 0:
            self.registry.acknowledge(session, call.acknowledged)
        taking, known = session.status_of(call.message_id)
        if taking is MessageStatus.PENDING:
            return  # its one outcome is still to come
        if known is not None:
            talk.send(known.text)
            return
        reply = MessageResponseWriter(self, session, call.message_id)
        session.pending[call.message_id] = reply
        if not talk.bucket.take(now, settings.messages_per_s, settings.burst):
            wait = talk.bucket.time_until_token(settings.messages_per_s)
            self.settle(session, call.message_id, 429, b"too many messages\n", wait)
        elif len(session.pending) > settings.open_messages:
            self.settle(session, call.message_id, 429, b"too many messages without an outcome\n", 1.0)
        elif self.listener.is_draining:
            self.settle(session, call.message_id, 503, b"this proxy is stopping\n", 0.0)
        else:
            self._dispatch(reply, call, now)

    def _dispatch(
        self, reply: MessageResponseWriter, call: message_framing.ClientMessage, now: float
    ) -> None:
        """Hands it to the driver."""
        driver = self.listener.dispatcher
        session = reply.session
        effect = driver.idempotency_by_class.get(call.class_name)
        if effect is None:
            self.settle(session, call.message_id, 404, b"no such class\n")
            return
        most = driver.deadline_by_class[call.class_name]
        budget = most if call.time_budget is None else min(call.time_budget, most)
        get = effect is Idempotency.IDEMPOTENT
        headers = [
            (b"host", b"websocket"),
            (b"x-call-id", call.message_id.encode()),
            (b"x-budget", b"%dm" % max(1, int(budget * 1e3))),
        ]
        if session.tenant:
            headers.append((b"x-caller", session.tenant.encode("latin-1")))
        if call.subject:
            headers.append((b"cookie", b"sid=" + call.subject.encode()))
        if call.idempotency_key:
            headers.append((b"idempotency-key", call.idempotency_key.encode()))
        if call.is_retry:
            headers.append((b"x-again", b"1"))
        try:
            request: Request = parse_request(
                b"GET" if get else b"POST",
                f"/{call.class_name}{call.path}".encode(),
                headers,
                RequestBody.of(call.body),
                now,
                driver.idempotency_by_class,
                driver.consumed_headers,
            )
        except BadRequestError as bad:
            self.settle(session, call.message_id, bad.status_code, f"{bad}\n".encode())
            return
        try:
            reply.request_handle = driver.start_request(request, reply)
        except Exception:
            self.listener.log_failure("a message could not be taken")
            if call.message_id in session.pending:
                self.settle(session, call.message_id, 500, b"internal error\n")

    def settle(self, session: MessageSession, id: str, code: int, body: bytes, wait: float = 0.0) -> None:
        """The one outcome of a message: told now, or kept for a client that comes back."""
        n = session.settle(id)
        text = message_framing.encode_outcome(n, id, code, body, wait)
        short = (
            text
            if len(text) <= MAX_OUTCOME_BYTES
            else message_framing.encode_outcome(n, id, code, b"", wait, is_body_dropped=True)
        )
        self.registry.store(session, Outcome(n, id, short))
        talk = session.connection
        if talk is not None:
            talk.send(text)

    def on_connection_closed(self, talk: MessageConnection, code: int) -> None:
        """A connection's end is the session's, where the client says so; else it may come back."""
        session = talk.session
        if session.connection is not talk:
            return  # another connection has it by now
        if code in SESSION_END_CODES or self.listener.is_draining:
            self.end(session)
        else:
            self.registry.detach(session, time.monotonic())

    def end(self, session: MessageSession) -> None:
        for reply in self.registry.end(session):
            reply.cancel(self.listener.dispatcher)

    def sweep(self, now: float) -> None:
        for session in self.registry.expired(now, self.listener.settings.resume_within):
            self.end(session)

    def evict_detached(self) -> bool:
        """For a new session, where one waits for nobody."""
        oldest = self.registry.oldest_detached()
        if oldest is not None:
            self.end(oldest)
        return oldest is not None
