"""One client's connection: its life cycle, and the one response to each request that is read from it."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, Protocol, cast

import httptools

from service_proxy.net.downstream.request import (
    BadRequestError,
    LocalResponse,
    Request,
    RequestCounter,
    RequestHandler,
    UpgradeRequest,
)
from service_proxy.net.downstream.request_reader import (
    MAX_HEAD_BYTES,
    MAX_RAW_REQUEST_BYTES,
    ReaderServer,
    RequestReader,
)
from service_proxy.net.http_status import BAD_GATEWAY, BODILESS, OK, REASON_PHRASES
from service_proxy.net.limits import LOOP_TURN_S
from service_proxy.net.protocols import ResponseSource
from service_proxy.net.request_body import RequestBody, encode_chunk
from service_proxy.net.socket_polling import has_ended, has_input

log = logging.getLogger(__name__)

NO_HEADERS: tuple[tuple[bytes, bytes], ...] = ()


class ConnectionServer(ReaderServer, Protocol):
    """What a connection uses of the HTTP server."""

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    request_counter: RequestCounter | None
    rejection_headers: tuple[tuple[bytes, bytes], ...]
    request_timeout: float
    is_draining: bool
    connections: set[DownstreamConnection]
    awaiting_request: dict[DownstreamConnection, None]
    idle: dict[DownstreamConnection, None]
    closing: dict[DownstreamConnection, None]

    def add(self, connection: DownstreamConnection) -> None:
        """Take a connection that has just been accepted, or abort it."""


class DownstreamConnection(RequestReader):
    """One client's connection: requests one after another, each with exactly one response.

    Attributes:
        open_request: what the handler calls the open request.
        current_request: the open request, where it is one that can be taken.
        upgrade_pending: an upgrade is being decided on.
        response_source: of a response that is streamed; `response_chunked`: how it is written.
        is_last_response: the connection closes behind it.
        discarding_input: what still comes is read, so that the response arrives, and dropped.
        is_closing: it has had its last response.
        over_limit: it was accepted when there was no room.
        state_since: when its state last changed (monotonic, s).
        last_unsent_bytes: that the client had not taken at the last look.
        write_blocked: the client does not read; `read_paused`: it is not read from.
    """

    __slots__ = (
        "current_request",
        "discarding_input",
        "is_closing",
        "is_last_response",
        "keep_alive",
        "last_unsent_bytes",
        "open_request",
        "over_limit",
        "read_paused",
        "response_chunked",
        "response_source",
        "server",
        "state_since",
        "upgrade_pending",
        "write_blocked",
    )

    server: ConnectionServer

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__()
        self.server = server
        self.upgrade_pending = False
        self.response_source: ResponseSource | None = None
        self.response_chunked = False
        self.is_last_response = False
        self.last_unsent_bytes = 0
        self.open_request: object | None = None
        self.current_request: Request | None = None
        self.keep_alive = True
        self.discarding_input = False
        self.is_closing = False
        self.over_limit = False
        self.state_since = 0.0
        self.write_blocked = False
        self.read_paused = False

    # asyncio.BufferedProtocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.parser = httptools.HttpRequestParser(self)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - why does not matter
        """Give up what nobody waits for any more."""
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self.is_closing = True
        self.pending_requests.clear()
        self.server.set_state(self, None)
        self.server.connections.discard(self)
        self._release_pool()
        source = self.response_source
        self.response_source = None
        if source is not None:
            source.discard()
        self._abandon_open_request()

    def pause_writing(self) -> None:
        """Stop a streamed response, and reading: the client reads nothing."""
        self.write_blocked = True
        if self.response_source is not None:
            self.response_source.pause()
        self._update_flow_control()

    def resume_writing(self) -> None:
        """Go on, as the client reads again."""
        self.write_blocked = False
        if self.response_source is not None:
            self.response_source.resume()
        self._update_flow_control()

    def _update_flow_control(self) -> None:
        """Read nothing more from a client that reads nothing or that is ahead of its responses."""
        if self.transport is not None and not self.is_closing:
            # So it holds one read's worth of bodies at most.
            pause = self.write_blocked or bool(self.pending_requests) or self.body.is_full
            if pause and not self.read_paused:
                self.transport.pause_reading()
            elif self.read_paused and not pause:
                self.transport.resume_reading()
                if self.early_request is not None and self.state_table is not None:
                    # that nothing came was not the client's doing
                    self.server.set_state(self, self.state_table)
            self.read_paused = pause

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has come, and take the requests in it."""
        if self.is_closing or self.discarding_input:
            return
        if self.upgrade_pending:
            self._reject_early_frames()
            return
        if not self.raw_bytes and not self.in_message:
            self.progress_at = time.monotonic()
        self.raw_bytes += nbytes
        try:
            self.parser.feed_data(self.server.read_buffer[:nbytes])
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.raw_bytes > MAX_HEAD_BYTES and not self.head_done:
                raise BadRequestError(431, "headers too large")  # noqa: TRY301 - one way out for all
            if self.raw_bytes > MAX_RAW_REQUEST_BYTES + 8 * self.body.received_bytes:
                raise BadRequestError(413, "the request does not end")  # noqa: TRY301
        except Exception as error:  # noqa: BLE001 - from the parser, or from a callback through it
            if isinstance(error, httptools.HttpParserUpgrade) and self.server.upgrade_handler is not None:
                self._start_upgrade(nbytes > error.args[0])
                return
            cause = error if isinstance(error, BadRequestError) else error.__context__
            self._reject_input(
                cause if isinstance(cause, BadRequestError) else BadRequestError(400, "malformed HTTP")
            )
        if self.state_table is self.server.idle and not self.pending_requests:
            self.server.set_state(self, self.server.awaiting_request)  # a further request has begun
        self._dispatch_next()

    def _start_upgrade(self, has_surplus: bool) -> None:
        """Take a request to leave HTTP; `has_surplus`: with something right behind it."""
        request, _ = self.pending_requests.pop()
        if isinstance(request, UpgradeRequest):
            request = request._replace(has_surplus=has_surplus)
        self.pending_requests.append((request, False))
        self.discarding_input = has_surplus  # what still comes is no request
        self._dispatch_next()

    def _reject_early_frames(self) -> None:
        """Refuse an upgrade whose client sent more before it was granted."""
        self.discarding_input = True
        self._abandon_open_request()
        if self.response_due:
            self.respond(400, NO_HEADERS, b"frames before the 101\n")

    def detach(self, head: bytes) -> asyncio.Transport:
        """Leave HTTP, with this 101, and return the transport; the connection counts no longer here."""
        transport = self.transport
        assert transport is not None
        self.server.set_state(self, None)
        self.server.connections.discard(self)
        self.response_due = False
        self.upgrade_pending = False
        self.is_closing = True
        self.open_request = None
        self.transport = None
        self.parser = None
        transport.write(head)
        return transport

    @property
    def peername(self) -> Any:
        """Return the client's address, as the socket has it; None once the connection is lost."""
        return self.transport.get_extra_info("peername") if self.transport is not None else None

    def _reject_input(self, error: BadRequestError) -> None:
        """Answer what can't be read any further, and read nothing more."""
        self.discarding_input = True
        early_request = self.early_request
        if early_request is None or early_request.body.is_complete:
            self.pending_requests.append((error, False))
        elif early_request is not self.current_request:  # it waits for its turn
            self.pending_requests[-1] = error, False
        elif self.response_due and self.response_source is None:
            # It is with the handler, which can't have the rest of it: nothing was executed.
            self._abandon_open_request()
            self.respond(error.status_code, NO_HEADERS, f"{error}\n".encode())

    def _abandon_open_request(self) -> None:
        """Tell the handler that nobody waits for the open request any more."""
        open_request = self.open_request
        self.open_request = None
        if open_request is not None:
            self.server.handler.client_disconnected(open_request)

    # requests, one at a time
    def _dispatch_next(self) -> None:
        """Take the next request that has come, unless one is open."""
        while self.pending_requests and not self.response_due and not self.is_closing:
            request, self.keep_alive = self.pending_requests.popleft()
            self.response_due = True
            self.current_request = request if isinstance(request, Request) else None
            body_incomplete = self.current_request is not None and not self.current_request.body.is_complete
            self.server.set_state(self, self.server.awaiting_request if body_incomplete else None)
            if isinstance(request, LocalResponse):
                self.respond(request.status_code, NO_HEADERS, request.body)
            elif isinstance(request, BadRequestError):
                self.respond(request.status_code, NO_HEADERS, f"{request}\n".encode())
            elif self.over_limit:
                # Never sent, so a rejection is harmless; what was read with it is owed one as well.
                self.keep_alive = self.keep_alive and bool(self.pending_requests)
                headers = ((b"retry-after", b"1"), *self.server.rejection_headers)
                self.respond(503, headers, b"too many connections\n")
            else:
                self._start_request(request)
        self._update_flow_control()

    def _start_request(self, request: Request | UpgradeRequest) -> None:
        """Hand a request to the handler; it may be answered at once."""
        try:
            if isinstance(request, UpgradeRequest):
                assert self.server.upgrade_handler is not None
                self.upgrade_pending = True
                open_request = self.server.upgrade_handler.start_upgrade(self, request)
            else:
                open_request = self.server.handler.start_request(request, self)
        except Exception:
            log.exception("request_start_failed")
            self.respond(500, NO_HEADERS, b"internal error\n")
            return
        if self.response_due:
            self.open_request = open_request

    # net.downstream.request.ResponseWriter
    def respond(self, status_code: int, headers: Any, body: bytes) -> None:
        """Write the one response to the open request.

        Raises:
            RuntimeError: there was one; not a byte of a second one is written.
        """
        if not self.response_due:
            raise RuntimeError("a request has one answer")
        self.open_request = None
        self.upgrade_pending = False
        transport = self.transport
        if transport is None:
            self.response_due = False
            return
        self._decide_last_response()
        if self.server.is_draining and not self._has_more_input():
            self.is_last_response = True
        parts = [b"HTTP/1.1 %d %s\r\n" % (status_code, REASON_PHRASES.get(status_code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        if status_code not in BODILESS:
            parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if self.is_last_response else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        self._response_ended(status_code)

    def has_client_left(self) -> bool:
        """Tell whether the client has closed, or its side of the connection."""
        transport = self.transport
        return transport is None or transport.is_closing() or has_ended(transport)

    def _decide_last_response(self) -> None:
        """Decide whether the response that begins now is the last one here by what its request is.

        Where the process ends, a complete response says so, unless more was read or lies unread: that is owed
        its own. One that is streamed doesn't, since more may come meanwhile; then it is closed as idle.
        """
        if self.current_request is not None and not self.current_request.body.is_complete:
            self.keep_alive = False  # the rest of its body would be read as the next request
            self.discarding_input = True
        self.is_last_response = not self.keep_alive

    def _has_more_input(self) -> bool:
        """Tell whether anything follows the open request, be it that it was not read yet."""
        return bool(self.pending_requests) or self.in_message or self.has_unread_input

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """Write the head of a 200 whose body comes from `source`.

        Raises:
            RuntimeError: there was a response.
        """
        if not self.response_due:
            raise RuntimeError("a request has one answer")
        self.open_request = None
        transport = self.transport
        if transport is None:
            return
        # a client of HTTP/1.0 knows no chunks
        ends_at_close = length is None and self.parser.get_http_version() == "1.0"
        if ends_at_close:
            self.keep_alive = False
        self._decide_last_response()
        self.response_chunked = length is None and not ends_at_close
        parts = [b"HTTP/1.1 200 OK\r\n", *(name + b": " + value + b"\r\n" for name, value in headers)]
        if length is not None:
            parts.append(b"content-length: %d\r\n" % length)
        elif self.response_chunked:
            parts.append(b"transfer-encoding: chunked\r\n")
        parts.append(b"connection: close\r\n\r\n" if self.is_last_response else b"\r\n")
        self.response_source = source
        source.stream_to(self)
        if self.write_blocked:
            source.pause()
        transport.write(b"".join(parts))

    # net.protocols.ResponseSink
    def write(self, data: bytes) -> None:
        """Write the next piece of the response that is streamed."""
        if self.transport is None or not data:
            return
        if self.response_chunked:
            self.transport.writelines(encode_chunk(data))
        else:
            self.transport.write(data)

    def finish(self) -> None:
        """End the response that is streamed."""
        self.response_source = None
        if self.transport is None:
            return
        if self.response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._response_ended(OK)

    def fail(self) -> None:
        """Break off a streamed response: the client can tell by how its connection ends."""
        self.response_source = None
        self._end_request(BAD_GATEWAY)
        self.abort()

    def _end_request(self, status_code: int) -> None:
        """Let go of the open request and what it takes."""
        request = self.current_request
        self.current_request = None
        self.response_due = False
        self._release_pool()
        if request is None:
            return
        if self.body is request.body:
            self.body = RequestBody()
        if self.server.request_counter is not None:
            self.server.request_counter.request_ended(request.class_name, status_code)

    def _response_ended(self, status_code: int) -> None:
        self._end_request(status_code)
        if self.is_last_response:
            self.close()
        elif self.pending_requests:
            self.server.loop.call_soon(self._dispatch_next)
        elif self.in_message:
            self.server.set_state(self, self.server.awaiting_request)
            self._await_rest()
        else:
            self.server.set_state(self, self.server.idle)

    def _await_rest(self) -> None:
        """Time what has begun to come behind an open request from its own last step on."""
        wait = self.progress_at + self.server.request_timeout - time.monotonic()
        self.server.loop.call_later(max(0.0, wait), self._on_rest_timeout, self.progress_at)

    def _on_rest_timeout(self, progress_at: float) -> None:
        if self.is_closing or self.response_due or not self.in_message or self.progress_at != progress_at:
            return
        if self.has_unread_input and not self.read_paused:
            # After a stall of this process timers come before sockets: the rest may be here.
            self.server.loop.call_later(LOOP_TURN_S, self._on_rest_timeout, progress_at)
        else:
            self.on_request_timeout()

    # the connection's end
    def close(self) -> None:
        """Close behind what has been written.

        Where the client may still be sending only this side ends at first: closing on unread bytes resets
        the connection, which can take the response with it.
        """
        transport = self.transport
        if transport is None or self.is_closing:
            return
        self.is_closing = True
        self.pending_requests.clear()
        self.server.set_state(self, self.server.closing)
        if not self.discarding_input:
            transport.close()
            return
        if self.read_paused:
            transport.resume_reading()
        transport.write_eof()

    @property
    def has_unread_input(self) -> bool:
        """Tell whether something lies in its socket: the next request perhaps, complete."""
        return self.transport is not None and not self.transport.is_closing() and has_input(self.transport)

    def close_unless_unread(self) -> None:
        """Close between two requests.

        What has come meanwhile is read first: it may be taken, and is owed a response then.
        """
        if not self.has_unread_input:
            self.close()

    def on_request_timeout(self) -> None:
        """No complete request has come in time: half of one gets a response that says so."""
        if self.read_paused and self.early_request is not None:
            self.server.set_state(self, self.state_table)  # who takes it is slow, not who sends it
        elif self.raw_bytes or self.in_message:
            self._reject_input(BadRequestError(408, "the request did not end"))
            self._dispatch_next()
        else:
            self.close_unless_unread()

    @property
    def unsent_bytes(self) -> int:
        """Count the bytes of responses that the client has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def on_linger_timeout(self) -> None:
        """It has had its last response for so long: abort it, unless the client takes it slowly."""
        unsent = self.unsent_bytes
        if unsent and unsent != self.last_unsent_bytes:
            self.last_unsent_bytes = unsent
            self.server.set_state(self, self.server.closing)
        else:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()
