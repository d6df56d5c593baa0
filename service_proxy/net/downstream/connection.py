"""A client connection: its life cycle, and exactly one response to each request that is read from it."""

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
from service_proxy.net.downstream.response_head import encode_response_head
from service_proxy.net.downstream.turn_reader import TurnReader, TurnReaderServer
from service_proxy.net.http_status import BAD_GATEWAY, BODILESS, GATEWAY_TIMEOUT, OK
from service_proxy.net.limits import LOOP_ITERATION_S
from service_proxy.net.protocols import ResponseSource, StreamFailure
from service_proxy.net.request_body import RequestBody, encode_chunk
from service_proxy.net.socket_polling import (
    has_ended,
    is_receive_window_closed,
    reset_on_close,
    unacknowledged_bytes,
)

log = logging.getLogger(__name__)

HeaderFields = tuple[tuple[bytes, bytes], ...]
NO_HEADERS: HeaderFields = ()


class ConnectionServer(TurnReaderServer, Protocol):
    """Interface of the HTTP server that a client connection uses."""

    loop: asyncio.AbstractEventLoop
    handler: RequestHandler
    request_counter: RequestCounter | None
    request_timeout: float
    is_draining: bool
    connections: set[DownstreamConnection]
    closing: dict[DownstreamConnection, None]

    def refusal(self, request: Request | UpgradeRequest) -> tuple[int, HeaderFields, bytes]:
        """Return the response to a request for whose connection there is no room."""

    def add(self, connection: DownstreamConnection) -> None:
        """Register a newly accepted connection, or abort it if the connection limit is reached."""


class DownstreamConnection(TurnReader):
    """Client connection that reads requests one after another and writes exactly one response to each.

    Attributes:
        open_request: the handler's object for the request that awaits its response.
        response_source: source of the streamed response; `response_chunked`: chunked coding is used.
        response_ends_at_close: the end of the connection ends the streamed response.
        is_last_response: the connection closes after the current response.
        state_since: when `state_table` last changed or the timeout restarted (monotonic, s).
        last_unsent_bytes: response bytes that the client had not read at the previous timeout.
    """

    __slots__ = (
        "is_last_response",
        "keep_alive",
        "last_unsent_bytes",
        "open_request",
        "response_chunked",
        "response_ends_at_close",
        "response_source",
        "server",
        "state_since",
    )

    server: ConnectionServer

    def __init__(self, server: ConnectionServer) -> None:
        super().__init__()
        self.server = server
        self.response_source: ResponseSource | None = None
        self.response_chunked = False
        self.response_ends_at_close = False
        self.is_last_response = False
        self.last_unsent_bytes = 0
        self.open_request: object | None = None
        self.keep_alive = True
        self.state_since = 0.0

    # asyncio.BufferedProtocol callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the parser and register the connection with the server."""
        # uvloop's transport class isn't a subclass of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the cause is not used
        """Release the connection's resources, and abandon the open request and the streamed response."""
        # The parser refers to this object; this reference cycle would stay until a garbage collection.
        self.transport = None
        self.parser = None
        self.is_closing = True
        self.input.clear()
        self._drop_pending_requests()
        self._drop_body()
        if self.current_request is not None:
            self._release_pool(self.current_request.body)
            self.current_request.body.remove_callbacks()
        self.server.set_state(self, None)
        self.server.connections.discard(self)
        source = self.response_source
        self.response_source = None
        if source is not None:
            source.discard()
        self._abandon_open_request()

    def pause_writing(self) -> None:
        """Pause the streamed response and the reading of requests while the client reads nothing."""
        self.write_blocked = True
        if self.response_source is not None:
            self.response_source.pause()
        self._update_flow_control()

    def resume_writing(self) -> None:
        """Resume the streamed response and the reading of requests after the client reads again."""
        self.write_blocked = False
        if self.response_source is not None:
            self.response_source.resume()
        if self._can_parse:
            self._wait_for_turn()
        self._update_flow_control()

    def _start_upgrade(self, has_surplus: bool) -> None:
        """Dispatch an upgrade request; `has_surplus`: further bytes directly follow the request."""
        request, _ = self.pending_requests.pop()
        if isinstance(request, UpgradeRequest):
            request = request._replace(has_surplus=has_surplus)
        self.pending_requests.append((request, False))
        self.discarding_input = has_surplus  # Bytes after the upgrade request are not parsed as HTTP.
        self._dispatch_next()

    def _reject_early_frames(self) -> None:
        """Reject an upgrade whose client sent further bytes before the 101 response."""
        self.discarding_input = True
        self._abandon_open_request()
        if self.response_due:
            self.respond(400, NO_HEADERS, b"frames before the 101\n")

    def detach(self, head: bytes) -> asyncio.Transport:
        """Write the 101 response `head`, and return the transport to its new owner.

        The server no longer counts this connection.
        """
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
        """Return the client's address as the socket reports it, or None once the connection is lost."""
        return self.transport.get_extra_info("peername") if self.transport is not None else None

    def _reject_input(self, error: BadRequestError) -> None:
        """Respond with `error` to a request that can't be read any further, and discard further input."""
        self.discarding_input = True
        self.input.clear()
        if not self._is_streaming_body:
            if self.in_message:
                self._drop_body()
            self.pending_requests.append((error.response(), False))
        elif self.early_request is not self.current_request:  # The request is still queued.
            self._drop_body()
            self.pending_requests[-1] = error.response(), False
        elif self.response_due and self.response_source is None:
            # The handler has the request but can't receive the rest of its body, so nothing was executed.
            self._abandon_open_request()
            response = error.response()
            self.respond(response.status_code, NO_HEADERS, response.body)
        elif self.response_source is not None:
            # No deadline applies to a streamed response whose request never ends.
            self.response_source.discard()
            self.fail(StreamFailure.ENDPOINT_FAILED)

    def _abandon_open_request(self) -> None:
        """Notify the handler that the client no longer waits for the open request."""
        open_request = self.open_request
        self.open_request = None
        if open_request is not None:
            self.server.handler.client_disconnected(open_request)

    # Dispatch of requests, one at a time
    def _dispatch_next(self) -> None:
        """Dispatch the next queued requests until one awaits its response."""
        while self.pending_requests and not self.response_due and not self.is_closing:
            request, self.keep_alive = self.pending_requests.popleft()
            self.response_due = True
            self.current_request = request if isinstance(request, Request) else None
            body_incomplete = self.current_request is not None and not self.current_request.body.is_complete
            self.server.set_state(self, self.server.awaiting_request if body_incomplete else None)
            if isinstance(request, LocalResponse):
                self.respond(request.status_code, NO_HEADERS, request.body)
            elif self.over_limit:
                # Nothing was executed, because the request is rejected before it is forwarded. The connection
                # stays open until each request that was read has received its response.
                self.keep_alive = self.keep_alive and (bool(self.pending_requests) or self.has_unread_input)
                self.respond(*self.server.refusal(request))
            else:
                self._start_request(request)

    def _start_request(self, request: Request | UpgradeRequest) -> None:
        """Pass a request to its handler, which may respond immediately."""
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

    # net.downstream.request.ResponseWriter methods
    @property
    def needs_complete_response(self) -> bool:
        """Return False: a response is forwarded as it arrives."""
        return False

    def respond(self, status_code: int, headers: Any, body: bytes) -> None:
        """Write the one response to the open request.

        Raises:
            RuntimeError: the request already has a response. No byte of a second response is written.
        """
        if not self.response_due:
            raise RuntimeError("the request already has a response")
        self.open_request = None
        self.upgrade_pending = False
        transport = self.transport
        if transport is None:
            self.response_due = False
            return
        self._decide_last_response()
        if self.server.is_draining and not self._has_more_input():
            self.is_last_response = True
        length = None if status_code in BODILESS else len(body)
        transport.write(
            encode_response_head(status_code, headers, length, False, self.is_last_response) + body
        )
        self._response_ended(status_code)

    def has_client_left(self) -> bool:
        """Return whether the client has closed the connection or its sending side."""
        transport = self.transport
        return transport is None or transport.is_closing() or has_ended(transport)

    def hides_disconnect(self) -> bool:
        """Return whether the client may have closed its side unseen, behind much that is unread.

        What is unread belongs to later requests, unless the body of the present one is incomplete.
        """
        transport = self.transport
        if not self.read_paused or self._is_streaming_body or transport is None or transport.is_closing():
            return False
        return is_receive_window_closed(transport)

    def _decide_last_response(self) -> None:
        """Set `is_last_response` from the current request.

        While the server is draining, `respond` also closes the connection, unless further input was read or
        lies unread in the socket, because a further request needs its own response. A streamed response
        doesn't close the connection while the server is draining, because a further request may arrive during
        the response. Such a connection is closed once it is idle.
        """
        if self.current_request is not None and not self.current_request.body.is_complete:
            self.keep_alive = False  # The rest of the body would be parsed as the next request.
            self.discarding_input = True
        self.is_last_response = not self.keep_alive

    def _has_more_input(self) -> bool:
        """Return whether input follows the open request, including input that lies unread in the socket."""
        return bool(self.pending_requests) or self.in_message or self.has_unread_input

    def stream(self, headers: Any, length: int | None, source: ResponseSource) -> None:
        """Write the head of a 200 response whose body comes from `source`.

        Raises:
            RuntimeError: the request already has a response.
        """
        if not self.response_due:
            raise RuntimeError("the request already has a response")
        self.open_request = None
        transport = self.transport
        if transport is None:
            return
        # HTTP/1.0 has no chunked transfer coding.
        self.response_ends_at_close = length is None and self.parser.get_http_version() == "1.0"
        if self.response_ends_at_close:
            self.keep_alive = False
        self._decide_last_response()
        self.response_chunked = length is None and not self.response_ends_at_close
        self.response_source = source
        source.stream_to(self)
        if self.write_blocked:
            source.pause()
        transport.write(
            encode_response_head(OK, headers, length, self.response_chunked, self.is_last_response)
        )

    # net.protocols.ResponseSink methods
    def write(self, data: bytes) -> None:
        """Write the next piece of the streamed response."""
        if self.transport is None or not data:
            return
        if self.response_chunked:
            self.transport.writelines(encode_chunk(data))
        else:
            self.transport.write(data)

    def finish(self) -> None:
        """End the streamed response."""
        self.response_source = None
        if self.transport is None:
            return
        if self.response_chunked:
            self.transport.write(b"0\r\n\r\n")
        self._response_ended(OK)

    def fail(self, reason: StreamFailure) -> None:
        """Abort the connection, so that the client detects that a streamed response is incomplete."""
        self.response_source = None
        is_broken = reason is StreamFailure.ENDPOINT_FAILED
        self._end_request(BAD_GATEWAY if is_broken else GATEWAY_TIMEOUT)
        self._abort(is_response_cut=True)

    def _end_request(self, status_code: int) -> None:
        """Clear the open request, release its memory, and count the request."""
        request = self.current_request
        self.current_request = None
        self.response_due = False
        if request is None:
            return
        self._release_pool(request.body)
        request.body.remove_callbacks()
        if request is self.early_request:  # The connection refers to it until its next request begins.
            request.body.drop()
        if self.body is request.body:
            self.body = RequestBody()
        if self.server.request_counter is not None:
            self.server.request_counter.request_ended(request.class_name, status_code)

    def _response_ended(self, status_code: int) -> None:
        self._end_request(status_code)
        if self.is_last_response:
            self.close()
        elif self.pending_requests or self.input.size:
            self.server.set_state(self, self.server.awaiting_request)
            self.input_waited = True
            if not (self.is_parsing or self.write_blocked):
                self._wait_for_turn()
        elif self.in_message:
            self.server.set_state(self, self.server.awaiting_request)
            self._schedule_partial_request_timeout()
        else:
            self.server.set_state(self, self.server.idle)

    def _schedule_partial_request_timeout(self) -> None:
        """Schedule the timeout of a request that began to arrive while the previous request was open.

        The timeout counts from the arriving request's own last progress.
        """
        wait = self.progress_at + self.server.request_timeout - time.monotonic()
        self.server.loop.call_later(max(0.0, wait), self._on_partial_request_timeout, self.progress_at)

    def _on_partial_request_timeout(self, progress_at: float) -> None:
        if self.is_closing or self.response_due or not self.in_message or self.progress_at != progress_at:
            return
        if self.has_unread_input and not self.read_paused:
            # After a stall, timers run before sockets are read, so the rest of the request may be unread.
            self.server.loop.call_later(LOOP_ITERATION_S, self._on_partial_request_timeout, progress_at)
        else:
            self.on_request_timeout()

    # End of the connection
    def close(self) -> None:
        """Close the connection after all written bytes are sent.

        While the client may still be sending, only the proxy's side is closed at first. A close with unread
        bytes in the socket would reset the connection, and the client could lose the response.
        """
        transport = self.transport
        if transport is None or self.is_closing:
            return
        self.is_closing = True
        self.input.clear()
        self._drop_pending_requests()
        self.server.set_state(self, self.server.closing)
        if not self.discarding_input:
            transport.close()
            return
        if self.read_paused:
            transport.resume_reading()
        transport.write_eof()

    def close_unless_unread(self) -> None:
        """Close the connection between two requests, unless input is unread.

        The unread input may hold a request that the proxy accepts and has to respond to.
        """
        if not self.has_unread_input:
            self.close()

    def on_idle_timeout(self) -> None:
        """Close an idle connection, also if input is unread because the client reads no responses."""
        if self.write_blocked:
            self._on_blocked_timeout()
        else:
            self.close_unless_unread()

    def _on_blocked_timeout(self) -> None:
        """Close a connection whose client reads no responses, or restart the timeout if it reads."""
        if self.has_accepted_data():
            self.server.set_state(self, self.state_table)
        else:
            self.close()

    def has_accepted_data(self) -> bool:
        """Return whether the client has accepted a part of the responses since the previous call.

        The kernel takes further bytes in large steps, so its own buffer is looked at, too.
        """
        transport = self.transport
        unsent = self.unsent_bytes + (unacknowledged_bytes(transport) if transport is not None else 0)
        has_read = unsent != self.last_unsent_bytes
        self.last_unsent_bytes = unsent
        return has_read

    def on_request_timeout(self) -> None:
        """Respond with 408 if a request is partial at its timeout; close the connection if none has begun."""
        if self.read_paused and self._is_streaming_body:
            # The receiver of the body is slow, not the client, so the timeout restarts.
            self.server.set_state(self, self.state_table)
        elif self.awaits_turn:  # The proxy delays the request, not the client.
            self.server.set_state(self, self.server.awaiting_request)
        elif self.write_blocked:
            self._on_blocked_timeout()
        elif self.raw_bytes or self.in_message:
            self._reject_input(BadRequestError(408, "the request did not end"))
            self._dispatch_next()
        else:
            self.close_unless_unread()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that the client has not read."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def on_linger_timeout(self) -> None:
        """Abort the connection, or restart the linger timeout if the client has read part of the response."""
        if self.unsent_bytes and self.has_accepted_data():
            self.server.set_state(self, self.server.closing)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._abort(is_response_cut=self.response_source is not None or self.unsent_bytes > 0)

    def _abort(self, is_response_cut: bool) -> None:
        """Close the connection; reset it if it would otherwise make a cut response look complete."""
        self.is_closing = True
        transport = self.transport
        if transport is None:
            return
        if is_response_cut and self.response_ends_at_close:
            reset_on_close(transport)
        transport.abort()
