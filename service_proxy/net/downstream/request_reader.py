"""Parser of requests from a client's connection, with size limits and streaming of long bodies.

Requests are appended to `pending_requests`. The connection dispatches them from there, one at a time.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import Any, Protocol

import httptools

from service_proxy.net.downstream.input_buffer import InputBuffer
from service_proxy.net.downstream.request import (
    BadRequestError,
    LocalResponse,
    LocalResponses,
    Request,
    UpgradeRequest,
)
from service_proxy.net.downstream.request_parser import (
    MAX_BUFFERED_BODY_BYTES,
    parse_request,
    validate_head,
)
from service_proxy.net.header_fields import closes_connection, parse_field
from service_proxy.net.limits import MAX_HEADER_FIELDS
from service_proxy.net.request_body import STREAM_WINDOW_BYTES, RequestBody
from service_proxy.policy.settings_types import Idempotency

MAX_HEAD_BYTES = 32 * 1024  # Size limit of a request's target and headers together.
# Limit of a request's bytes as received, including chunk framing: this constant plus 8 times the bytes of
# body content received so far.
MAX_RAW_REQUEST_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
# Size limit of a body that is buffered and not streamed while the body pool has room.
MAX_POOLED_BODY_BYTES = 4 << 20
BODY_PROGRESS_BYTES = 64 * 1024  # Number of body bytes after which the request timeout restarts.
# Time from a request's first byte within which a complete head restarts the request timeout for the body.
# This time and the request timeout together stay under the 3 s of the operators' page. After a slower head,
# the timeout first restarts after SLOW_HEAD_PROGRESS_BYTES of the body.
MAX_QUICK_HEAD_S = 0.5
SLOW_HEAD_PROGRESS_BYTES = 8 * 1024

PendingRequest = Request | LocalResponse | UpgradeRequest


class UpgradeHandler(Protocol):
    """Handler of HTTP upgrade requests."""

    def start_upgrade(self, connection: Any, upgrade: UpgradeRequest) -> object | None:
        """Respond, detach the connection, or return the open request that will decide on the upgrade."""


class ReaderServer(Protocol):
    """Interface of the HTTP server that a request reader uses."""

    read_buffer: memoryview
    max_body_bytes: int
    pooled_bytes: int
    pool_bytes: int
    idempotency_by_class: Mapping[str, Idempotency]
    consumed_headers: frozenset[bytes]
    local_responses: LocalResponses
    upgrade_handler: UpgradeHandler | None

    def set_state(self, connection: Any, state_table: dict[Any, None] | None) -> None:
        """Move a connection to a state table, and restart the timeout that belongs to the table."""


class RequestReader(asyncio.BufferedProtocol):
    """Reading half of a client connection, with the callbacks of the HTTP parser.

    Attributes:
        in_message: a request has begun to arrive; `head_done`: the request's head is complete.
        raw_bytes: bytes received since the last complete request, including chunk framing.
        head_size: bytes of the arriving request's head so far.
        input: received bytes that are not parsed yet.
        over_limit: the connection exceeds the server's limit; its further requests are rejected.
        is_pipelined: the arriving request was sent before an earlier one on the connection had its response.
        next_step_bytes: body size at which the request timeout restarts.
        parses_backlog: the bytes that are parsed now have waited behind an earlier request.
        progress_at: when the arriving request began or last made progress (monotonic, s).
        requests_read: number of complete requests.
        early_request: the arriving request, if it was dispatched before its body was complete.
        pending_requests: queued requests, each with whether the connection may be kept after its response.
        response_due: a request awaits its response.
        state_table: the server's table that contains the connection, by what the server waits for.
    """

    __slots__ = (
        "body",
        "early_request",
        "head_done",
        "head_size",
        "headers",
        "in_message",
        "input",
        "is_pipelined",
        "next_step_bytes",
        "over_limit",
        "parser",
        "parses_backlog",
        "pending_requests",
        "progress_at",
        "raw_bytes",
        "requests_read",
        "response_due",
        "state_table",
        "target",
        "transport",
    )

    server: ReaderServer

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = RequestBody()
        self.input = InputBuffer()
        self.over_limit = False
        self.parses_backlog = False
        self.is_pipelined = False
        self.requests_read = 0
        self.next_step_bytes = BODY_PROGRESS_BYTES
        self.early_request: Request | None = None
        self.head_size = 0
        self.raw_bytes = 0
        self.progress_at = 0.0
        self.in_message = False
        self.head_done = False
        self.pending_requests: deque[tuple[PendingRequest, bool]] = deque()
        self.response_due = False
        self.state_table: dict[Any, None] | None = None

    @property
    def _is_streaming_body(self) -> bool:
        """Return whether the arriving request was dispatched before its body was complete."""
        return self.early_request is not None and not self.early_request.body.is_complete

    @property
    def _content_left(self) -> int:
        """Return the number of bytes that the arriving body of known length still lacks."""
        body = self.body
        return body.length - body.received_bytes if self.head_done and body.length is not None else 0

    def _parse_input(self, data: bytes | memoryview) -> BadRequestError | None:
        """Parse received bytes, and return the error that makes further input unreadable.

        Raises:
            httptools.HttpParserUpgrade: the bytes complete an upgrade request that has a handler.
        """
        if not self.raw_bytes and not self.in_message:
            self.progress_at = self.input.read_at
        self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
            # httptools buffers an endless header without a callback, so the raw bytes are counted here.
            if self.raw_bytes > MAX_HEAD_BYTES and not self.head_done:
                return BadRequestError(431, "headers too large")
            if self.raw_bytes > MAX_RAW_REQUEST_BYTES + 8 * self.body.received_bytes:
                return BadRequestError(413, "the request does not end")
        except Exception as error:
            if isinstance(error, httptools.HttpParserUpgrade) and self.server.upgrade_handler is not None:
                raise
            cause = error.__context__
            return cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed HTTP")
        return None

    # Callbacks of httptools
    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.in_message = True
        self.is_pipelined = self.parses_backlog
        self.target = b""
        self.headers = []
        self.body = RequestBody()
        self.early_request = None
        self.head_size = 0
        self.next_step_bytes = BODY_PROGRESS_BYTES

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field, but ignore a trailer field."""
        self._count_head(len(name) + len(value))
        if self.head_done:
            return
        if len(self.headers) == MAX_HEADER_FIELDS:
            raise BadRequestError(431, "too many header fields")
        self.headers.append(parse_field(name, value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Validate the head before a body is read, and send 100 Continue if the client waits for it."""
        self.head_done = True
        validate_head(self.parser.get_http_version(), self.headers, self.server.max_body_bytes)
        lengths = [value for name, value in self.headers if name == b"content-length"]
        self.body.length = int(lengths[0]) if lengths else None
        read_at = self.input.read_at
        if read_at - self.progress_at < MAX_QUICK_HEAD_S:  # The body gets a full request timeout.
            self.progress_at = read_at
            if self.state_table is not None:
                self.server.set_state(self, self.state_table)
        else:
            self.next_step_bytes = SLOW_HEAD_PROGRESS_BYTES
        expects_continue = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if (
            expects_continue
            and self.transport is not None
            and not self.response_due
            and not self.pending_requests
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        """Buffer a piece of the body, or start to stream the body if no buffer space is left."""
        body = self.body
        server = self.server
        size = body.received_bytes + len(chunk)
        if size > server.max_body_bytes:
            raise BadRequestError(413, "body too large")
        if self.over_limit and size <= MAX_BUFFERED_BODY_BYTES:
            body.received_bytes = size  # The request is rejected, so its content is not needed.
            return
        is_long = body.is_replayable and size > MAX_BUFFERED_BODY_BYTES
        if is_long and (self.over_limit or not self._reserve_pool(size)):
            self._dispatch_early()
        body.append(chunk)
        if body.received_bytes >= self.next_step_bytes:
            self.next_step_bytes = (body.received_bytes // BODY_PROGRESS_BYTES + 1) * BODY_PROGRESS_BYTES
            self.progress_at = self.input.read_at
            if self.state_table is not None:
                server.set_state(self, self.state_table)

    def _reserve_pool(self, size: int) -> bool:
        """Raise the share of the body pool to the body's new size, and return whether that was possible.

        Raises:
            BadRequestError: the request is invalid, so its body is not needed.
        """
        body = self.body
        server = self.server
        if not body.pooled_bytes:
            self._parse_request()
        additional = size - body.pooled_bytes
        if size > MAX_POOLED_BODY_BYTES or server.pooled_bytes + additional > server.pool_bytes:
            return False
        server.pooled_bytes += additional
        body.pooled_bytes = size
        return True

    def _release_pool(self, body: RequestBody, kept_bytes: int = 0) -> None:
        """Release a body's share of the server's body pool, except for `kept_bytes` at most."""
        kept_bytes = min(kept_bytes, body.pooled_bytes)
        self.server.pooled_bytes -= body.pooled_bytes - kept_bytes
        body.pooled_bytes = kept_bytes

    def _drop_body(self) -> None:
        """Drop the arriving body, because its request is rejected."""
        self._release_pool(self.body)
        self.body.remove_callbacks()
        self.body = RequestBody()

    def _drop_pending_requests(self) -> None:
        """Drop the queued requests, and release their share of the server's body pool."""
        for request, _ in self.pending_requests:
            if isinstance(request, Request):
                self._release_pool(request.body)
                request.body.remove_callbacks()
        self.pending_requests.clear()

    def _dispatch_early(self) -> None:
        """Dispatch a request whose body is too long to be buffered; the rest of the body is streamed."""
        self.body.is_replayable = False
        self.early_request = self._parse_request()
        self.body.on_drained = partial(self._on_body_drained, self.body)
        self.pending_requests.append((self.early_request, self._can_keep_alive()))

    def _on_body_drained(self, body: RequestBody) -> None:
        """Release the share of the part of a body that was forwarded, and read on.

        The next request may have begun to arrive by then.
        """
        self._release_pool(body, max(0, body.content.size - STREAM_WINDOW_BYTES))
        self._update_flow_control()

    def _can_keep_alive(self) -> bool:
        return self.parser.should_keep_alive() and not closes_connection(self.headers)

    def _parse_request(self) -> Request:
        request = parse_request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body,
            self.input.arrived_at,
            self.server.idempotency_by_class,
            self.server.consumed_headers,
        )
        request.is_pipelined = self.is_pipelined
        return request

    def on_message_complete(self) -> None:
        """Queue a complete request, or finish the body of a request that was dispatched early."""
        self.in_message = False
        self.head_done = False
        self.raw_bytes = 0
        self.requests_read += 1
        self.progress_at = self.input.read_at  # Start time of a request that follows in the same read.
        body = self.body
        if self.early_request is not None:
            self.early_request.received_at = self._body_sent_at
            self.headers = []
            if self.state_table is not None:
                self.server.set_state(self, None if self.response_due else self.state_table)
            body.finish()
            return
        body.finish()
        parser = self.parser
        keep_alive = self._can_keep_alive()
        method = parser.get_method()
        request: PendingRequest
        if parser.should_upgrade():
            request = self._upgrade_request(method)
            keep_alive = False
        elif method == b"GET" and (
            build_response := self.server.local_responses.get(self.target.split(b"?", 1)[0])
        ):
            request = build_response()
        else:
            try:
                request = self._parse_request()
            except BadRequestError as error:
                request = error.response()
                self._drop_body()
        self.headers = []
        self.pending_requests.append((request, keep_alive))

    @property
    def _body_sent_at(self) -> float:
        """Return when the last byte of a streamed body may have been sent at the earliest (monotonic, s)."""
        return self.input.arrived_at

    def _upgrade_request(self, method: bytes) -> UpgradeRequest | LocalResponse:
        if self.server.upgrade_handler is None:
            return BadRequestError(400, "no upgrades").response()
        has_body = self.body.received_bytes > 0 or bool(self.body.length)
        version = self.parser.get_http_version()
        return UpgradeRequest(method, self.target, version, self.headers, has_body, False)

    def _update_flow_control(self) -> None:
        """Pause or resume reading by the connection's buffers and requests."""
        raise NotImplementedError
