"""Reads requests from a client's connection: head and body, their bounds, and what is handed on early.

What is read is appended to `pending_requests`; the connection takes it from there, one at a time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from typing import Any, Protocol

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
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.settings_types import Idempotency

MAX_HEAD_BYTES = 32 * 1024  # of a request's target and headers
MAX_RAW_REQUEST_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES  # beyond 8 times its chunks' content
MAX_POOLED_BODY_BYTES = 4 << 20  # of a body that is buffered and not streamed, while the pool has room
BODY_PROGRESS_BYTES = 64 * 1024  # of a body, each with the time that a head has
# From a request's first byte, within which its head must be complete for its body to have a time of its own:
# both together stay under the 3 s of the operators' page. Behind a slower head so much of the body begins it.
MAX_QUICK_HEAD_S = 0.5
SLOW_HEAD_PROGRESS_BYTES = 8 * 1024

PendingRequest = Request | BadRequestError | LocalResponse | UpgradeRequest


class UpgradeHandler(Protocol):
    """Who takes requests to leave HTTP."""

    def start_upgrade(self, connection: Any, upgrade: UpgradeRequest) -> object | None:
        """Answer, or take the connection with `detach`, or return the open request that decides."""


class ReaderServer(Protocol):
    """What reading requests uses of the HTTP server."""

    read_buffer: memoryview
    max_body_bytes: int
    pooled_bytes: int
    pool_bytes: int
    idempotency_by_class: Mapping[str, Idempotency]
    consumed_headers: frozenset[bytes]
    local_responses: LocalResponses
    upgrade_handler: UpgradeHandler | None

    def set_state(self, connection: Any, state_table: dict[Any, None] | None) -> None:
        """Note what a connection is waited for, from now on."""


class RequestReader(asyncio.BufferedProtocol):
    """The reading half of a client's connection: the parser's callbacks.

    Attributes:
        in_message: a request has begun to come; `head_done`: its head is complete.
        raw_bytes: as they came, since the last complete request.
        head_size: bytes of the head so far.
        next_step_bytes: of the body, with which its time begins anew.
        progress_at: when the request that comes now began, or made its last step (monotonic, s).
        early_request: the one that comes now, handed on before its end.
        pooled_bytes: of the server's pool that the body takes.
        pending_requests: each with whether the connection may be kept after its response.
        response_due: a request is open.
        state_table: the server's table that the connection stands in, by what it is waited for.
    """

    __slots__ = (
        "body",
        "early_request",
        "head_done",
        "head_size",
        "headers",
        "in_message",
        "next_step_bytes",
        "parser",
        "pending_requests",
        "pooled_bytes",
        "progress_at",
        "raw_bytes",
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
        self.next_step_bytes = BODY_PROGRESS_BYTES
        self.early_request: Request | None = None
        self.pooled_bytes = 0
        self.head_size = 0
        self.raw_bytes = 0
        self.progress_at = 0.0
        self.in_message = False
        self.head_done = False
        self.pending_requests: deque[tuple[PendingRequest, bool]] = deque()
        self.response_due = False
        self.state_table: dict[Any, None] | None = None

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - one buffer serves all connections
        """Return the server's read buffer."""
        return self.server.read_buffer

    # httptools callbacks
    def on_message_begin(self) -> None:
        """Begin a request."""
        self.in_message = True
        self.target = b""
        self.headers = []
        self.body = RequestBody()
        self.early_request = None
        self.head_size = 0
        self.next_step_bytes = BODY_PROGRESS_BYTES

    def on_url(self, part: bytes) -> None:
        """Collect the target."""
        self.target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; a trailer is none."""
        self._count_head(len(name) + len(value))
        if not self.head_done:
            self.headers.append(parse_field(name, value))

    def _count_head(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Validate the head, before a body is read; ask for the body where the client waits for that."""
        self.head_done = True
        validate_head(self.parser.get_http_version(), self.headers, self.server.max_body_bytes)
        lengths = [value for name, value in self.headers if name == b"content-length"]
        self.body.length = int(lengths[0]) if lengths else None
        now = time.monotonic()
        if now - self.progress_at < MAX_QUICK_HEAD_S:  # its body has its own time
            self.progress_at = now
            if self.state_table is not None:
                self.server.set_state(self, self.state_table)
        else:
            self.next_step_bytes = SLOW_HEAD_PROGRESS_BYTES
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.response_due and not self.pending_requests:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        """Buffer a piece of the body, or stream it where there is no room for it."""
        body = self.body
        server = self.server
        if body.received_bytes + len(chunk) > server.max_body_bytes:
            raise BadRequestError(413, "body too large")
        if body.is_replayable and body.received_bytes + len(chunk) > MAX_BUFFERED_BODY_BYTES:
            additional = body.received_bytes + len(chunk) - self.pooled_bytes
            if (
                body.received_bytes + len(chunk) <= MAX_POOLED_BODY_BYTES
                and server.pooled_bytes + additional <= server.pool_bytes
            ):
                server.pooled_bytes += additional
                self.pooled_bytes += additional
            else:
                self._dispatch_early()
        body.append(chunk)
        if body.received_bytes >= self.next_step_bytes:
            self.next_step_bytes = (body.received_bytes // BODY_PROGRESS_BYTES + 1) * BODY_PROGRESS_BYTES
            self.progress_at = time.monotonic()
            if self.state_table is not None:
                server.set_state(self, self.state_table)

    def _dispatch_early(self) -> None:
        """Hand on a request that is too long to be buffered: the rest of its body goes on as it comes."""
        self.body.is_replayable = False
        self._release_pool()  # what has come of it goes on at once
        self.early_request = self._parse_request()
        self.body.on_drained = self._update_flow_control
        self.pending_requests.append((self.early_request, self._can_keep_alive()))

    def _can_keep_alive(self) -> bool:
        return self.parser.should_keep_alive() and not closes_connection(self.headers)

    def _release_pool(self) -> None:
        """Give back what the body takes of the server's pool."""
        self.server.pooled_bytes -= self.pooled_bytes
        self.pooled_bytes = 0

    def _parse_request(self) -> Request:
        return parse_request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body,
            time.monotonic(),
            self.server.idempotency_by_class,
            self.server.consumed_headers,
        )

    def on_message_complete(self) -> None:
        """Queue the request that has come complete, or end the body of one that was handed on early."""
        self.in_message = False
        self.head_done = False
        self.raw_bytes = 0
        self.progress_at = time.monotonic()  # of what follows in the same read
        body = self.body
        if self.early_request is not None:
            self.early_request.received_at = time.monotonic()
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
        elif method == b"GET" and (page := self.server.local_responses.get(self.target.split(b"?", 1)[0])):
            request = page()
        else:
            try:
                request = self._parse_request()
            except BadRequestError as error:
                request = error
        self.headers = []
        self.pending_requests.append((request, keep_alive))

    def _upgrade_request(self, method: bytes) -> UpgradeRequest | BadRequestError:
        if self.server.upgrade_handler is None:
            return BadRequestError(400, "no upgrades")
        has_body = self.body.received_bytes > 0 or bool(self.body.length)
        version = self.parser.get_http_version()
        return UpgradeRequest(method, self.target, version, self.headers, has_body, False)

    def _update_flow_control(self) -> None:
        """Read, or read no more for now; the connection knows what else it waits for."""
        raise NotImplementedError
