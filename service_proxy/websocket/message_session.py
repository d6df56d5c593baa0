"""Message mode: each message of a client is a request that the policy handles like any other request.

A session is not pinned to an endpoint: the policy handles a drained or lost endpoint request by request.
session_registry decides what a session stores, and message_framing defines the form of a message.
"""

from __future__ import annotations

import time
from typing import Any

from service_proxy.net.block_buffer import BlockBuffer
from service_proxy.net.downstream import BadRequestError, Request, parse_request
from service_proxy.net.http_status import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    INTERNAL_SERVER_ERROR,
    NOT_FOUND,
    OK,
    SERVICE_UNAVAILABLE,
    TOO_MANY_REQUESTS,
)
from service_proxy.net.protocols import ResponseSource, StreamFailure
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.settings_types import Idempotency
from service_proxy.websocket import message_framing
from service_proxy.websocket.connection import POLICY_VIOLATION, WebSocketConnection
from service_proxy.websocket.frame_codec import NO_STATUS, MessageFragment
from service_proxy.websocket.message_memory import pending_bytes
from service_proxy.websocket.session_host import SessionHost
from service_proxy.websocket.session_limits import TokenBucket
from service_proxy.websocket.session_registry import (
    MAX_OUTCOME_BYTES,
    MessageSession,
    MessageStatus,
    Outcome,
)

MAX_MALFORMED_MESSAGES = 8  # Malformed messages per connection before the connection is closed.
# WebSocket close codes (RFC 6455, 7.4.1).
NORMAL = 1000
GOING_AWAY = 1001
UNSUPPORTED_DATA = 1003
MESSAGE_TOO_BIG = 1009
TRY_AGAIN_LATER = 1013  # IANA registry of close codes.
# Close codes with which a client ends its session as well as its connection.
SESSION_END_CODES = (NORMAL, NO_STATUS)
# Retry delay sent to a client that has too many pending messages, or for whose message there is no room.
TOO_MANY_PENDING_RETRY_S = 1.0


class MessageResponseWriter:
    """ResponseWriter (net.downstream) of one message: sends one outcome to the session's current connection.

    Attributes:
        request_handle: The dispatcher's handle of the request, after the request was dispatched.
        reserved_bytes: Bytes of the message in the memory of all messages.
        source: Source of a streamed response.
        parts: Parts of a streamed response so far.
        size: Length of these parts in bytes.
    """

    __slots__ = (
        "message_id",
        "parts",
        "request_handle",
        "reserved_bytes",
        "session",
        "sessions",
        "size",
        "source",
    )

    def __init__(self, sessions: MessageSessions, session: MessageSession, message_id: str) -> None:
        self.sessions = sessions
        self.session = session
        self.message_id = message_id
        self.request_handle: Any = None
        self.reserved_bytes = 0
        self.source: ResponseSource | None = None
        self.parts: list[bytes] = []
        self.size = 0

    @property
    def needs_complete_response(self) -> bool:
        """Return True: an outcome carries either the whole body or no body."""
        return True

    def respond(self, code: int, headers: Any, body: bytes) -> None:
        """Settle the message with a complete response."""
        retry_after = next((float(value) for name, value in headers if name == b"retry-after"), 0.0)
        self.sessions.settle(self.session, self.message_id, code, body, retry_after)

    def stream(self, _headers: Any, length: int | None, source: ResponseSource) -> None:
        """Collect a response that is too long to be buffered by the attempt, up to an outcome's size."""
        self.source = source
        source.stream_to(self)
        if length is not None and length > MAX_OUTCOME_BYTES:
            self._fail_as_too_long()

    def has_client_left(self) -> bool:
        """Return False: a message's outcome outlives the connection on which the message arrived."""
        return False

    def hides_disconnect(self) -> bool:
        """Return False, for the same reason."""
        return False

    def write(self, data: bytes) -> None:
        """Collect a part of the response."""
        if self.source is None:
            return
        self.size += len(data)
        if self.size > MAX_OUTCOME_BYTES:
            self._fail_as_too_long()
        else:
            self.parts.append(bytes(data))

    def finish(self) -> None:
        """Settle the message with the collected response, which is complete."""
        if self.source is not None:
            self.source = None
            self.sessions.settle(self.session, self.message_id, OK, b"".join(self.parts))

    def has_accepted_data(self) -> bool:
        """Return True: a response is collected here, and never waits for the client."""
        return True

    def fail(self, reason: StreamFailure) -> None:
        """Settle the message as failed because the response broke off, or was not complete in time."""
        if self.source is None:
            return
        self.source = None
        if reason is StreamFailure.OUT_OF_TIME:
            self.sessions.settle(self.session, self.message_id, GATEWAY_TIMEOUT, b"out of time\n")
        else:
            self.sessions.settle(self.session, self.message_id, BAD_GATEWAY, b"the answer broke off\n")

    def _fail_as_too_long(self) -> None:
        source = self.source
        self.source = None
        self.parts.clear()
        if source is not None:
            source.discard()
        text = b"the answer is too long for a message\n"
        self.sessions.settle(self.session, self.message_id, BAD_GATEWAY, text)

    def cancel(self, dispatcher: Any) -> None:
        """Cancel the request or its streamed response, because no client waits for the outcome."""
        source = self.source
        request_handle = self.request_handle
        self.source = None
        self.request_handle = None
        if source is not None:
            source.discard()
        elif request_handle is not None:
            dispatcher.client_disconnected(request_handle)


class MessageConnection:
    """One connection of a session (connection.ConnectionOwner).

    Attributes:
        client: Address of the client.
        content: Fragments so far of a message that arrives in several fragments, in UTF-8.
        malformed_count: Messages of this connection that could not be processed.
    """

    __slots__ = ("bucket", "client", "connection", "content", "malformed_count", "session", "sessions")

    def __init__(self, sessions: MessageSessions, session: MessageSession, client: str, now: float) -> None:
        self.sessions = sessions
        self.session = session
        self.client = client
        self.connection: WebSocketConnection | None = None
        self.content: BlockBuffer | None = None
        self.malformed_count = 0
        self.bucket = TokenBucket(sessions.listener.settings.burst, now)

    def on_fragment(self, fragment: MessageFragment) -> None:
        """Collect the fragments of a message and process the message when it is complete."""
        assert self.connection is not None
        if not isinstance(fragment.data, str):
            self.connection.fail(UNSUPPORTED_DATA, "messages here are texts")
            return
        if self.content is None and fragment.is_last:
            self.sessions.on_message(self, fragment.data)
        elif self._collect(self.connection, fragment.data.encode()) and fragment.is_last:
            text = b"".join(self.content.blocks if self.content is not None else ()).decode()
            self._drop_content()
            self.sessions.on_message(self, text)

    def _collect(self, connection: WebSocketConnection, data: bytes) -> bool:
        """Append a fragment to the message that is arriving, and return whether it still may be completed."""
        if self.content is None:
            self.content = BlockBuffer()
        if not data:
            return True
        self.content.append(data)
        # A decompressed message can be longer than its received bytes.
        if self.content.size > self.sessions.listener.settings.message_bytes:
            connection.fail(MESSAGE_TOO_BIG, "the message is too long")
            return False
        if not self.sessions.memory.reserve_arriving(self, len(data)):
            self.on_no_room()
            return False
        return True

    def on_no_room(self) -> None:
        """Close the connection, whose client may resume its session and send the message again."""
        self._drop_content()
        if self.connection is not None:
            self.connection.close(TRY_AGAIN_LATER, "no room for the message")

    def _drop_content(self) -> None:
        """Drop the fragments of the message that is arriving."""
        self.content = None
        self.sessions.memory.release_arriving(self)

    def on_closed(self, code: int, _reason: str) -> None:
        """Detach or end the session."""
        self._drop_content()
        self.sessions.on_connection_closed(self, code)

    def on_connection_lost(self) -> None:
        """Release the session's place in the limits."""
        self.sessions.listener.remove_session(self.client, self.session.tenant)

    def on_backpressure(self, is_blocked: bool) -> None:
        """Pause reading messages while the client does not read outcomes."""
        assert self.connection is not None
        self.connection.set_paused(is_blocked)

    def on_ping_timeout(self) -> None:
        """Close and abort a half-open connection."""
        assert self.connection is not None
        self.connection.close(GOING_AWAY, "no pong")
        self.connection.abort()

    def send(self, text: str) -> bool:
        """Send a message; return False if the message was not sent because the connection is closed."""
        listener = self.sessions.listener
        connection = self.connection
        if connection is None or not connection.send(text):
            return False
        if connection.unsent_bytes > listener.settings.unread_bytes:
            connection.fail(POLICY_VIOLATION, "outcomes are not read")
        else:
            listener.on_write(connection)
        return True


class MessageSessions:
    """All sessions of message mode."""

    def __init__(self, listener: SessionHost) -> None:
        self.listener = listener
        self.registry = listener.registry
        self.memory = listener.message_memory

    def start(self, connection: MessageConnection, resumed: bool, acknowledged: int) -> None:
        """Send the hello, then the outcomes that the client of a resumed session has not read."""
        session = connection.session
        self.registry.acknowledge(session, acknowledged)
        outcomes, lost = session.unacknowledged(acknowledged)
        resume_within = self.listener.settings.resume_within
        connection.send(
            message_framing.encode_hello(session.token, resumed, resume_within, sorted(session.pending), lost)
        )
        for outcome in outcomes:
            connection.send(outcome.text)

    def on_message(self, connection: MessageConnection, text: str) -> None:
        """Accept a message, or answer a repeated or malformed one."""
        try:
            message = message_framing.parse_message(text)
        except message_framing.MalformedMessageError as error:
            self._reject_malformed(connection, error)
            return
        session = connection.session
        if message.acknowledged >= 0:
            self.registry.acknowledge(session, message.acknowledged)
        status, stored_outcome = session.status_of(message.message_id)
        if status is MessageStatus.PENDING:
            return  # The only outcome of the message will be sent when the request ends.
        if stored_outcome is not None:
            connection.send(stored_outcome.text)
            return
        writer = MessageResponseWriter(self, session, message.message_id)
        session.pending[message.message_id] = writer
        self._admit(connection, writer, message)

    def _reject_malformed(
        self, connection: MessageConnection, error: message_framing.MalformedMessageError
    ) -> None:
        connection.malformed_count += 1
        connection.send(message_framing.encode_error(error))
        if connection.malformed_count >= MAX_MALFORMED_MESSAGES and connection.connection is not None:
            connection.connection.fail(POLICY_VIOLATION, "too many malformed messages")

    def _admit(
        self,
        connection: MessageConnection,
        writer: MessageResponseWriter,
        message: message_framing.ClientMessage,
    ) -> None:
        """Dispatch a new message, or reject the message if a limit of its session is exceeded."""
        settings = self.listener.settings
        session = connection.session
        message_id = message.message_id
        if not connection.bucket.take(time.monotonic(), settings.messages_per_s, settings.burst):
            wait = connection.bucket.time_until_token(settings.messages_per_s)
            self.settle(session, message_id, TOO_MANY_REQUESTS, b"too many messages\n", wait)
        elif len(session.pending) > settings.open_messages:
            text = b"too many messages without an outcome\n"
            self.settle(session, message_id, TOO_MANY_REQUESTS, text, TOO_MANY_PENDING_RETRY_S)
        elif self.listener.is_draining:
            self.settle(session, message_id, SERVICE_UNAVAILABLE, b"this proxy is stopping\n", 0.0)
        elif not self._reserve_memory(writer, message):
            text = b"no room for the message\n"
            self.settle(session, message_id, SERVICE_UNAVAILABLE, text, TOO_MANY_PENDING_RETRY_S)
        else:
            assert connection.connection is not None
            self._dispatch(writer, message, connection.connection)

    def _reserve_memory(self, writer: MessageResponseWriter, message: message_framing.ClientMessage) -> bool:
        """Reserve the memory of a pending message, and return whether there was room."""
        size = pending_bytes(len(message.body))
        if not self.memory.reserve_pending(size):
            return False
        writer.reserved_bytes = size
        return True

    def _dispatch(
        self,
        writer: MessageResponseWriter,
        message: message_framing.ClientMessage,
        connection: WebSocketConnection,
    ) -> None:
        """Pass a message to the dispatcher as a request, whose time budget counts from its arrival."""
        session = writer.session
        idempotency = self.listener.dispatcher.idempotency_by_class.get(message.class_name)
        if idempotency is None:
            self.settle(session, message.message_id, NOT_FOUND, b"no such class\n")
            return
        method = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
        try:
            request = self._build_request(session, message, method, connection.arrived_at)
            request.is_pipelined = connection.is_in_turn
        except BadRequestError as error:
            self.settle(session, message.message_id, error.status_code, f"{error}\n".encode())
            return
        try:
            request_handle = self.listener.dispatcher.start_request(request, writer)
        except Exception:  # noqa: BLE001 - one message must not end its session
            self.listener.log_failure("a message could not be dispatched")
            if message.message_id in session.pending:
                self.settle(session, message.message_id, INTERNAL_SERVER_ERROR, b"internal error\n")
            return
        if session.pending.get(message.message_id) is writer:
            writer.request_handle = request_handle

    def _build_request(
        self,
        session: MessageSession,
        message: message_framing.ClientMessage,
        method: bytes,
        arrived_at: float,
    ) -> Request:
        """Build the request of a message.

        Raises:
            BadRequestError: The message does not form a valid request.
        """
        dispatcher = self.listener.dispatcher
        deadline = dispatcher.deadline_by_class[message.class_name]
        time_budget = deadline if message.time_budget is None else min(message.time_budget, deadline)
        headers = [
            (b"host", b"websocket"),
            (b"x-call-id", message.message_id.encode()),
            (b"x-budget", b"%dm" % max(1, int(time_budget * message_framing.MILLISECONDS))),
        ]
        if session.tenant:
            headers.append((b"x-caller", session.tenant.encode("latin-1")))
        if message.subject:
            headers.append((b"cookie", b"sid=" + message.subject.encode()))
        if message.idempotency_key:
            headers.append((b"idempotency-key", message.idempotency_key.encode()))
        if message.is_retry:
            headers.append((b"x-again", b"1"))
        return parse_request(
            method,
            f"/{message.class_name}{message.path}".encode(),
            headers,
            RequestBody.of(message.body),
            arrived_at,
            dispatcher.idempotency_by_class,
            dispatcher.consumed_headers,
        )

    def settle(
        self,
        session: MessageSession,
        message_id: str,
        status_code: int,
        body: bytes,
        retry_after: float = 0.0,
    ) -> None:
        """Send the only outcome of a message, and store the outcome for a client that resumes the session."""
        writer = session.pending[message_id]
        self.memory.release_pending(writer.reserved_bytes)
        # The request refers to its writer. Such a cycle would keep its body until a garbage collection.
        writer.request_handle = None
        number = session.settle(message_id)
        text = message_framing.encode_outcome(number, message_id, status_code, body, retry_after)
        outcome = Outcome(number, message_id, message_framing.in_ascii(text), status_code, retry_after)
        if len(outcome.text) > MAX_OUTCOME_BYTES:
            outcome.drop_body()
        self.registry.store(session, outcome)
        connection = session.connection
        if connection is not None:
            connection.send(text)

    def on_connection_closed(self, connection: MessageConnection, code: int) -> None:
        """End the session if its client or a drain ends the session; otherwise keep it for a resume."""
        session = connection.session
        if session.connection is not connection:
            return  # Another connection has already resumed the session.
        if code in SESSION_END_CODES or self.listener.is_draining:
            self.end(session)
        else:
            self.registry.detach(session, time.monotonic())

    def end(self, session: MessageSession) -> None:
        """Remove a session and cancel its pending messages."""
        for writer in self.registry.end(session):
            self.memory.release_pending(writer.reserved_bytes)
            writer.cancel(self.listener.dispatcher)

    def sweep(self, now: float) -> None:
        """End the detached sessions whose client has not resumed them in time."""
        for session in self.registry.expired(now, self.listener.settings.resume_within):
            self.end(session)

    def evict_detached(self) -> bool:
        """End the session that has been detached the longest; return whether there was a detached session."""
        oldest = self.registry.oldest_detached()
        if oldest is not None:
            self.end(oldest)
        return oldest is not None
