"""Connection to an endpoint; writes the request of one attempt at a time and parses the response.

A response is buffered until it is complete. A long response is streamed to a sink if its attempt allows
streaming; the sink can pause and resume the stream. A request's body is written complete, or in parts as
the parts arrive.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, cast

import httptools

from service_proxy.net.block_buffer import BlockBuffer
from service_proxy.net.header_fields import closes_connection, parse_field
from service_proxy.net.http_status import CONTINUE, OK, SWITCHING_PROTOCOLS
from service_proxy.net.limits import (
    LOOP_ITERATION_S,
    LOOP_STALL_S,
    MAX_HEADER_FIELDS,
    MAX_MESSAGE_BYTES,
    STALL_TIMEOUT_S,
)
from service_proxy.net.protocols import ResponseSink, StreamFailure
from service_proxy.net.request_body import RequestBody
from service_proxy.net.socket_polling import has_input
from service_proxy.net.upstream.attempt import UpgradeAttempt, UpstreamAttempt
from service_proxy.net.upstream.pool_protocols import ConnectionPool
from service_proxy.net.upstream.response_framing import (
    MAX_HEAD_BYTES,
    STATUS_LINE_BYTES,
    InvalidResponseError,
    is_unrequested_response,
    response_framing,
)
from service_proxy.policy.events import AttemptStatus

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # Longest response body that is buffered until it is complete.
# Longest buffering of a response of unknown length, counted from its first body bytes.
BUFFERING_TIMEOUT_S = 0.05
# Bound on the received bytes of one response with its chunk framing; each body byte raises the bound by 8.
MAX_RAW_RESPONSE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
MAX_LOGGED_ERROR_CHARS = 200


class UpstreamConnection(asyncio.BufferedProtocol):
    """Connection to an endpoint that carries one attempt at a time.

    Attributes:
        parser: One parser per attempt, so that data of the previous response cannot reach the next response.
        raw_bytes: Number of received bytes of the current response, including headers and chunk framing.
        body: Received part of the current response's body that is not yet delivered.
        body_bytes: Number of received bytes of the current response's body.
        complete_response: Status code of a complete response that is not yet delivered, and whether the
            connection can be kept.
        response_length: Body length of the current response in bytes; None if the head does not state it.
        request_body: Body of the current request until it is written completely.
        write_blocked: Whether the endpoint does not accept more data at present.
        sink: Receiver of the streamed response; None if the response is not streamed.
        read_paused: Whether the sink has paused the stream.
        surplus: Bytes received directly after a 101 response.
    """

    __slots__ = (
        "attempt",
        "body",
        "body_bytes",
        "buffering_timer",
        "closes_after_response",
        "complete_response",
        "ends_at_close",
        "head_done",
        "headers",
        "idle_since",
        "parser",
        "pool",
        "raw_bytes",
        "read_paused",
        "request_body",
        "response_length",
        "sink",
        "surplus",
        "transport",
        "write_blocked",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: UpstreamAttempt | None = None
        self.parser: Any = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = BlockBuffer()
        self.raw_bytes = 0
        self.body_bytes = 0
        self.head_done = False
        self.ends_at_close = False
        self.closes_after_response = False
        self.complete_response: tuple[int, bool] | None = None
        self.idle_since = 0.0
        self.response_length: int | None = None
        self.request_body: RequestBody | None = None
        self.write_blocked = False
        self.sink: ResponseSink | None = None
        self.read_paused = False
        self.buffering_timer: asyncio.TimerHandle | None = None
        self.surplus = b""

    # asyncio.BufferedProtocol callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection as established."""
        # uvloop transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self.pool.cluster.established_connections += 1

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the cause is not used
        """End the attempt or the streamed response that was in progress on the connection."""
        # The parser references this object. The reference cycle would last until the cycle collector runs.
        self.transport = None
        self.parser = None
        self._release_attempt()
        self.pool.connection_closed(self)
        if self.sink is not None:
            self._end_streaming().fail(StreamFailure.ENDPOINT_FAILED)
        if self.attempt is not None:
            attempt = self.attempt
            self.attempt = None
            # After the last byte of the request was sent, the endpoint may have executed the request. RESET,
            # unlike CONNECT_FAILED, marks the request as possibly executed, so that it is sent again only if
            # a repeat is safe.
            attempt.end(AttemptStatus.RESET if attempt.sent else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> None:
        """Complete a response whose body ends with the connection."""
        if self.ends_at_close and (self.attempt is not None or self.sink is not None):
            self.complete_response = self.parser.get_status_code(), False
            self._deliver_response()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - all connections share one buffer
        """Return the cluster's read buffer."""
        return self.pool.cluster.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, and act on a response that is complete, invalid or to be streamed."""
        data = self.pool.cluster.read_buffer[:nbytes]
        self.pool.last_received_at = time.monotonic()
        if self.attempt is None and self.sink is None:
            self._on_unrequested_bytes(bytes(data[:STATUS_LINE_BYTES]))
            return
        self.raw_bytes += nbytes
        is_invalid = False
        try:
            self.parser.feed_data(data)
            # httptools buffers an endless header without a callback or an error, so the received bytes are
            # counted here.
            if self.complete_response is None and self.raw_bytes > (
                MAX_RAW_RESPONSE_BYTES + 8 * self.body_bytes if self.head_done else MAX_HEAD_BYTES
            ):
                raise InvalidResponseError("response head or chunk framing too large")  # noqa: TRY301 - handled below
        except httptools.HttpParserUpgrade as upgrade:
            self.surplus = bytes(data[upgrade.args[0] :])
        except Exception as error:  # noqa: BLE001 - any malformed response; the request may have run
            cause = error.__context__ or error
            reason = str(cause)[:MAX_LOGGED_ERROR_CHARS]
            log.warning("upstream_response_invalid endpoint=%s:%d reason=%s", *self.pool.address, reason)
            is_invalid = True
        if self.complete_response is not None:
            # The response is complete and valid, but excess bytes follow, so the connection is not kept.
            if is_invalid:
                self.complete_response = self.complete_response[0], False
            self._deliver_response()
        elif is_invalid:
            self.fail_response()
        elif self.sink is not None:
            self._forward_body()
        elif self.body_bytes and self.response_length is None and self.buffering_timer is None:
            self._start_buffering_timer()

    def _on_unrequested_bytes(self, first_bytes: bytes) -> None:
        """Close the connection: no request is in flight, so the bytes cannot be the response to one."""
        self.abort()
        if is_unrequested_response(first_bytes):
            self.pool.on_unrequested_response()

    def _deliver_response(self) -> None:
        """Release or close the connection, and deliver the complete response to the attempt or the sink."""
        assert self.complete_response is not None
        (status_code, keep_alive), self.complete_response = self.complete_response, None
        headers = self.headers
        self.headers = []
        self._forward_body()
        body = b"".join(self.body.take())
        attempt = self.attempt
        self.attempt = None
        self.parser = None
        sink = self._end_streaming() if self.sink is not None else None
        # A connection with a partly written request is closed: the rest would be read as another request.
        keep_alive = keep_alive and self.request_body is None
        self._release_attempt()
        if status_code == SWITCHING_PROTOCOLS and isinstance(attempt, UpgradeAttempt):
            surplus = self.surplus
            self.surplus = b""
            attempt.on_upgrade_response(headers, self, surplus)
            return
        if keep_alive:
            self.pool.release(self)
        else:
            self.abort()
        if sink is not None:
            sink.finish()
        elif attempt is not None:
            attempt.on_response(status_code, headers, body)

    # net.protocols.ResponseSource methods, which control a streamed response
    def _start_buffering_timer(self) -> None:
        """Start the timer that ends the buffering of a 200 response of unknown length."""
        attempt = self.attempt
        if attempt is None or attempt.buffers_response or not attempt.serves_request:
            return
        if self.parser.get_status_code() == OK:
            deadline = self.pool.last_received_at + BUFFERING_TIMEOUT_S
            self.buffering_timer = self.pool.cluster.loop.call_later(
                BUFFERING_TIMEOUT_S, self._on_buffering_timeout, deadline
            )

    def _on_buffering_timeout(self, deadline: float) -> None:
        if time.monotonic() > deadline + LOOP_STALL_S:
            # The event loop stalled, and timers run before sockets are read, so the end of the response or a
            # reset may be unread in the socket. The sockets are read before streaming starts, because a reset
            # at this point makes the attempt a failed one.
            self.buffering_timer = self.pool.cluster.loop.call_later(LOOP_ITERATION_S, self._start_streaming)
        else:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """Deliver the buffered part of the response, and stream the rest as it arrives."""
        self._cancel_buffering_timer()
        attempt = self.attempt
        if attempt is None or self.complete_response is not None:
            return
        if self.transport is None or self.transport.is_closing():
            return  # The connection is lost; connection_lost() ends the attempt.
        self.attempt = None
        headers = self.headers
        self.headers = []
        attempt.on_response_streaming(self.parser.get_status_code(), headers, self, self.response_length)
        if self.sink is None:
            self.abort()  # The attempt attached no sink, because the request no longer needs the response.
            return
        self._forward_body()

    def _forward_body(self) -> None:
        """Write the buffered part of a streamed response to the sink."""
        if self.sink is None:
            return
        for block in self.body.take():
            if self.sink is not None:  # The sink may discard the rest of the response.
                self.sink.write(block)

    def stream_to(self, sink: ResponseSink) -> None:
        """Stream the body to a sink from now on."""
        self.sink = sink

    def _end_streaming(self) -> ResponseSink:
        sink = self.sink
        self.sink = None
        assert sink is not None
        return sink

    def pause(self) -> None:
        """Pause reading because the sink cannot accept more data at present."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after a pause."""
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.transport.resume_reading()

    def discard(self) -> None:
        """Discard the rest of the streamed response and close the connection."""
        if self.sink is not None:
            self._end_streaming()
        self.abort()

    def _cancel_buffering_timer(self) -> None:
        """Cancel the buffering timer, if one is set.

        A timer that outlives its response would make the next attempt on this connection a streamed 200
        before the next response is read.
        """
        if self.buffering_timer is not None:
            self.buffering_timer.cancel()
            self.buffering_timer = None

    def _release_attempt(self) -> None:
        """Release the timer, the request body and the read pause of an attempt that has ended."""
        self._cancel_buffering_timer()
        if self.request_body is not None:
            self.request_body.reader = None
            self.request_body = None
        if self.read_paused:
            self.resume()

    # net.request_body.BodyReader methods and flow control callbacks, which write a request's body
    def pause_writing(self) -> None:
        """Record that the endpoint accepts no more data at present."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Continue writing the request's body."""
        self.write_blocked = False
        if self.request_body is not None:
            self.on_body_progress()

    def on_body_progress(self) -> None:
        """Write the available parts of the request's body, unless writing is blocked."""
        body = self.request_body
        transport = self.transport
        attempt = self.attempt
        if body is None or transport is None or self.write_blocked:
            return
        if not body.is_replayable and body.parts:
            while body.parts and not self.write_blocked:
                transport.writelines(body.take_encoded_parts())
            if attempt is not None:
                attempt.extend_deadline(time.monotonic() + STALL_TIMEOUT_S)
        if body.is_complete and not body.parts and body.length is None and not body.is_replayable:
            body.length = body.received_bytes
            transport.write(b"0\r\n\r\n")
        # Part of the request is still in the write buffer, so the endpoint cannot have received the complete
        # request.
        if self.write_blocked:
            return
        if body.is_complete and (body.is_replayable or not body.parts):
            body.reader = None
            self.request_body = None
            if attempt is not None:
                attempt.on_request_sent()

    # httptools callbacks
    def on_message_begin(self) -> None:
        """Raise InvalidResponseError for a second response to one request."""
        if self.complete_response is not None:
            raise InvalidResponseError("second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field of the response; trailer fields are ignored.

        Raises:
            InvalidResponseError: the response has more than MAX_HEADER_FIELDS fields.
        """
        if self.head_done:
            return
        if len(self.headers) == MAX_HEADER_FIELDS:
            raise InvalidResponseError("too many header fields")
        self.headers.append(parse_field(name, value))

    def on_headers_complete(self) -> None:
        """Determine where the body ends, and whether the response can be buffered."""
        status_code = self.parser.get_status_code()
        if CONTINUE <= status_code < OK:
            return
        self.head_done = True
        self.closes_after_response = closes_connection(self.headers)
        self.response_length, self.ends_at_close = response_framing(status_code, self.headers)
        if self.response_length is not None and self.response_length > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def _on_body_beyond_buffer(self) -> None:
        """Stream a response whose body is too long to be buffered until it is complete.

        Raise InvalidResponseError if the response belongs to a health check.
        """
        if self.attempt is None:
            return  # The attempt has ended, so the response is not needed.
        if not self.attempt.serves_request:
            raise InvalidResponseError("health check response too large to be buffered")
        status_code = self.parser.get_status_code()
        if status_code == OK:
            self._start_streaming()
        else:
            # A response other than 200 is complete without its body, because only the status code determines
            # the outcome. The connection is closed, so the body need not be read.
            self.complete_response = status_code, False

    def on_body(self, chunk: bytes) -> None:
        """Buffer or stream a piece of the body."""
        self.body_bytes += len(chunk)
        if self.body_bytes > MAX_MESSAGE_BYTES:
            raise InvalidResponseError("response body too large")
        if self.sink is None and (self.complete_response is not None or self.attempt is None):
            return  # The status code has determined the outcome, or the attempt has ended.
        self.body.append(chunk)
        if self.sink is None and self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def on_message_complete(self) -> None:
        """Record that the response is complete; discard an interim (1xx) response."""
        status_code = self.parser.get_status_code()
        if CONTINUE <= status_code < OK and status_code != SWITCHING_PROTOCOLS:
            self.headers = []
        elif self.complete_response is None:
            keep_alive = (
                status_code != SWITCHING_PROTOCOLS
                and not self.closes_after_response
                and self.parser.should_keep_alive()
            )
            # Whether the connection can be kept is known only at the end of the response.
            self.complete_response = status_code, keep_alive

    # net.upstream.attempt.AttemptConnection methods
    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt's request, or the part of the request that has been received so far."""
        assert self.transport is not None
        self.attempt = attempt
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.body = BlockBuffer()
        self.raw_bytes = 0
        self.body_bytes = 0
        self.head_done = False
        self.ends_at_close = False
        self.response_length = None
        body = attempt.request_body
        if body is None:
            self.transport.write(attempt.request_head)
            attempt.on_request_sent()
            return
        # With a limit of 0 the transport calls resume_writing() after its write buffer is empty.
        self.transport.set_write_buffer_limits(high=0)
        self.request_body = body
        body.reader = self
        self.transport.writelines(
            [attempt.request_head, *body.parts] if body.is_replayable else [attempt.request_head]
        )
        self.on_body_progress()

    def release(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self)

    def has_unread_input(self) -> bool:
        """Return whether unsolicited bytes or the end of the connection are pending in the socket."""
        return self.transport is None or self.transport.is_closing() or has_input(self.transport)

    def abort(self) -> None:
        """Close the connection at once without notifying its attempt."""
        self.attempt = None
        self._release_attempt()
        self.pool.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def fail_response(self) -> None:
        """End the attempt with the status ERROR, because the response is unusable; the request may have run.

        An unusable response, unlike a reset, does not indicate that the endpoint is down.
        """
        attempt = self.attempt
        sink = self._end_streaming() if self.sink is not None else None
        self.abort()
        if sink is not None:
            sink.fail(StreamFailure.ENDPOINT_FAILED)
        if attempt is not None:
            attempt.connection = None
            attempt.end(AttemptStatus.ERROR)
