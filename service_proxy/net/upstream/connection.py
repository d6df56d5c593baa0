"""One connection to an endpoint: writes the request of one attempt at a time and reads its response.

A response is buffered until it is complete, or, where it is long and its attempt allows that, streamed to a
sink that says when it has had enough. A request's body is written complete, or as it comes.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import Any, Protocol, cast

import httptools

from service_proxy.net.header_fields import closes_connection, parse_field
from service_proxy.net.http_status import CONTINUE, OK, SWITCHING_PROTOCOLS
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S, MAX_MESSAGE_BYTES
from service_proxy.net.protocols import ResponseSink
from service_proxy.net.request_body import RequestBody, encode_chunk
from service_proxy.net.socket_polling import has_input
from service_proxy.net.upstream.attempt import AttemptCluster, AttemptPool, UpgradeAttempt, UpstreamAttempt
from service_proxy.net.upstream.response_framing import MAX_HEAD_BYTES, InvalidResponseError, response_framing
from service_proxy.policy.events import AttemptStatus

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # of a response that is buffered until it is complete
BUFFERING_TIMEOUT_S = 0.05  # from its head, for which a response of unknown length is awaited complete
STALL_TIMEOUT_S = 15.0  # for which a message that is streamed may stand still, on either side
MAX_RAW_RESPONSE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES  # as they come, chunk by chunk
MAX_LOGGED_ERROR_CHARS = 200


class ConnectionCluster(AttemptCluster, Protocol):
    """What a connection uses of the upstream cluster."""

    established_connections: int
    read_buffer: memoryview
    streaming_connections: set[UpstreamConnection]


class ConnectionPool(AttemptPool, Protocol):
    """What a connection uses of its endpoint's pool."""

    @property
    def cluster(self) -> ConnectionCluster:
        """The cluster of the endpoint."""

    @property
    def is_serving(self) -> bool:
        """Tell whether new attempts may go to the endpoint."""

    def release(self, connection: UpstreamConnection) -> None:
        """Take back a connection that can be used again."""

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Forget a connection that can't be used again."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an endpoint; carries one attempt at a time.

    Attributes:
        parser: one for each attempt: nothing of the last response can reach the next.
        raw_bytes: of this response as they came; `body_bytes`: of its body.
        complete_response: not delivered yet: its status code, and whether the connection can be kept.
        response_length: of this response, where it tells.
        request_body: what is left of the request to write.
        write_blocked: the endpoint does not take what is written.
        sink: the response is streamed to it.
        read_paused: the sink has had enough.
        last_progress_at: when a message that is streamed moved last (monotonic, s).
        surplus: bytes that came right behind a 101.
    """

    __slots__ = (
        "attempt",
        "body_bytes",
        "body_parts",
        "buffering_timer",
        "closes_after_response",
        "complete_response",
        "ends_at_close",
        "head_done",
        "headers",
        "idle_since",
        "last_progress_at",
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
        self.body_parts: list[bytes] = []
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
        self.last_progress_at = 0.0
        self.buffering_timer: asyncio.TimerHandle | None = None
        self.surplus = b""

    # asyncio.BufferedProtocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection as established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.pool.cluster.established_connections += 1

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - why does not matter
        """End what was under way on the connection."""
        # the parser holds this object: a cycle that would wait for gc
        self.transport = None
        self.parser = None
        self._release_attempt()
        self.pool.connection_closed(self)
        if self.sink is not None:
            self._end_streaming().fail()
        if self.attempt is not None:
            attempt = self.attempt
            self.attempt = None
            # Once its last byte has left this process the endpoint may have executed it: never a resend.
            attempt.end(AttemptStatus.RESET if attempt.sent else AttemptStatus.CONNECT_FAILED)

    def eof_received(self) -> None:
        """Complete a response that ends with its connection."""
        if self.ends_at_close and (self.attempt is not None or self.sink is not None):
            self.complete_response = self.parser.get_status_code(), False
            self._deliver_response()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - one buffer serves all connections
        """Return the cluster's read buffer."""
        return self.pool.cluster.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has come, and act on a response that is complete, invalid or to be streamed."""
        data = self.pool.cluster.read_buffer[:nbytes]
        self.pool.last_received_at = time.monotonic()
        if self.attempt is None and self.sink is None:
            self.abort()  # nothing was asked: a response to nobody
            return
        self.raw_bytes += nbytes
        is_invalid = False
        try:
            self.parser.feed_data(data)
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.complete_response is None and self.raw_bytes > (
                MAX_RAW_RESPONSE_BYTES + 8 * self.body_bytes if self.head_done else MAX_HEAD_BYTES
            ):
                raise InvalidResponseError("the answer does not end")  # noqa: TRY301 - one way out for all
        except httptools.HttpParserUpgrade as upgrade:
            self.surplus = bytes(data[upgrade.args[0] :])
        except Exception as error:  # noqa: BLE001 - garbage, whatever it is; it may still have run
            cause = error.__context__ or error
            reason = str(cause)[:MAX_LOGGED_ERROR_CHARS]
            log.warning("upstream_response_invalid endpoint=%s:%d reason=%s", *self.pool.address, reason)
            is_invalid = True
        if self.complete_response is not None:
            if is_invalid:  # it is complete and valid, but more came than belongs to it
                self.complete_response = self.complete_response[0], False
            self._deliver_response()
        elif is_invalid:
            self.fail_response()
        elif self.sink is not None:
            self.last_progress_at = self.pool.last_received_at
        elif self.body_bytes and self.response_length is None and self.buffering_timer is None:
            self._limit_buffering()

    def _deliver_response(self) -> None:
        """Hand the complete response to the attempt or the sink, and the connection back to its pool."""
        assert self.complete_response is not None
        (status_code, keep_alive), self.complete_response = self.complete_response, None
        headers = self.headers
        self.headers = []
        body = b"".join(self.body_parts)
        self.body_parts = []
        attempt = self.attempt
        self.attempt = None
        self.parser = None
        sink = self._end_streaming() if self.sink is not None else None
        # else the rest of the request would be read as another
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

    # net.protocols.ResponseSource: a response that is streamed
    def _limit_buffering(self) -> None:
        """Wait only so long for the end of a response of unknown length before it is streamed."""
        attempt = self.attempt
        if attempt is not None and attempt.serves_request and self.parser.get_status_code() == OK:
            deadline = self.pool.last_received_at + BUFFERING_TIMEOUT_S
            self.buffering_timer = self.pool.cluster.loop.call_later(
                BUFFERING_TIMEOUT_S, self._on_buffering_timeout, deadline
            )

    def _on_buffering_timeout(self, deadline: float) -> None:
        if time.monotonic() > deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: its end, or a reset that makes it an
            # attempt that failed, may have come meanwhile.
            self.buffering_timer = self.pool.cluster.loop.call_later(LOOP_TURN_S, self._start_streaming)
        else:
            self._start_streaming()

    def _start_streaming(self) -> None:
        """Pass on what has come, and the rest as it comes."""
        self._cancel_buffering_timer()
        attempt = self.attempt
        if attempt is None or self.complete_response is not None:
            return
        if self.transport is None or self.transport.is_closing():
            return  # its connection is lost, and about to say so
        self.attempt = None
        headers = self.headers
        self.headers = []
        body_parts = self.body_parts
        self.body_parts = []
        self.last_progress_at = time.monotonic()
        attempt.on_response_streaming(self.parser.get_status_code(), headers, self, self.response_length)
        if self.sink is None:
            self.abort()  # nobody waits for it any more
            return
        for part in body_parts:
            if self.sink is not None:
                self.sink.write(part)

    def stream_to(self, sink: ResponseSink) -> None:
        """Write the body to this sink from now on."""
        self.sink = sink
        self.pool.cluster.streaming_connections.add(self)

    def _end_streaming(self) -> ResponseSink:
        sink = self.sink
        self.sink = None
        assert sink is not None
        self.pool.cluster.streaming_connections.discard(self)
        return sink

    def pause(self) -> None:
        """Read no more: the sink has had enough for now."""
        if not self.read_paused and self.transport is not None:
            self.read_paused = True
            self.last_progress_at = time.monotonic()
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.read_paused and self.transport is not None:
            self.read_paused = False
            self.last_progress_at = time.monotonic()
            self.transport.resume_reading()

    def discard(self) -> None:
        """Give up the response: nobody takes the rest."""
        if self.sink is not None:
            self._end_streaming()
        self.abort()

    def _cancel_buffering_timer(self) -> None:
        """A timer that outlived its response would stream the next one, unread, as a 200."""
        if self.buffering_timer is not None:
            self.buffering_timer.cancel()
            self.buffering_timer = None

    def _release_attempt(self) -> None:
        """Let go of what belonged to the attempt that is over."""
        self._cancel_buffering_timer()
        if self.request_body is not None:
            self.request_body.reader = None
            self.request_body = None
        if self.read_paused:
            self.resume()

    # net.request_body.BodyReader: a request's body
    def pause_writing(self) -> None:
        """Note that the endpoint takes no more for now."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Write on."""
        self.write_blocked = False
        if self.request_body is not None:
            self.on_body_progress()

    def on_body_progress(self) -> None:
        """Write what there is of the request's body, as far as the endpoint takes it."""
        body = self.request_body
        transport = self.transport
        attempt = self.attempt
        if body is None or transport is None or self.write_blocked:
            return
        if not body.is_replayable and body.parts:
            parts = body.take_parts()
            if body.length is None:
                parts = [piece for part in parts for piece in encode_chunk(part)]
            transport.writelines(parts)
            if attempt is not None:
                attempt.extend_deadline(time.monotonic() + STALL_TIMEOUT_S)
        if body.is_complete and not body.parts and body.length is None and not body.is_replayable:
            body.length = body.received_bytes
            transport.write(b"0\r\n\r\n")
        if self.write_blocked:  # not all has left, and the endpoint can't have it complete
            return
        if body.is_complete and (body.is_replayable or not body.parts):
            body.reader = None
            self.request_body = None
            if attempt is not None:
                attempt.on_request_sent()

    # httptools callbacks
    def on_message_begin(self) -> None:
        """Refuse a second response to one request."""
        if self.complete_response is not None:
            raise InvalidResponseError("more than one answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; a trailer is none."""
        if not self.head_done:
            self.headers.append(parse_field(name, value))

    def on_headers_complete(self) -> None:
        """Decide where the body ends, and whether the response can be buffered."""
        status_code = self.parser.get_status_code()
        if CONTINUE <= status_code < OK:
            return
        self.head_done = True
        self.closes_after_response = closes_connection(self.headers)
        self.response_length, self.ends_at_close = response_framing(status_code, self.headers)
        if self.response_length is not None and self.response_length > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def _on_body_beyond_buffer(self) -> None:
        """Stream a response that is too long to be buffered until it is complete."""
        if self.attempt is None:
            return  # nobody waits for it any more
        if not self.attempt.serves_request:
            raise InvalidResponseError("body too large")
        status_code = self.parser.get_status_code()
        if status_code == OK:
            self._start_streaming()
        else:  # what it says is of no use, and how it ended is known
            self.complete_response = status_code, False

    def on_body(self, chunk: bytes) -> None:
        """Buffer or stream a piece of the body."""
        self.body_bytes += len(chunk)
        if self.body_bytes > MAX_MESSAGE_BYTES:
            raise InvalidResponseError("the answer does not end")
        if self.sink is not None:
            self.sink.write(chunk)
            return
        if self.complete_response is not None or self.attempt is None:
            return  # settled by its head, or nobody waits for it any more
        self.body_parts.append(chunk)
        if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._on_body_beyond_buffer()

    def on_message_complete(self) -> None:
        """Note that the response is complete; interim ones are dropped."""
        status_code = self.parser.get_status_code()
        if CONTINUE <= status_code < OK and status_code != SWITCHING_PROTOCOLS:
            self.headers = []
        elif self.complete_response is None:
            keep_alive = (
                status_code != SWITCHING_PROTOCOLS
                and not self.closes_after_response
                and self.parser.should_keep_alive()
            )
            self.complete_response = status_code, keep_alive  # known only here

    # net.upstream.attempt.AttemptConnection
    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt's request, or as much of it as has come."""
        assert self.transport is not None
        self.attempt = attempt
        self.parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.body_parts = []
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
        self.transport.set_write_buffer_limits(high=0)  # so that it tells when all has left
        self.request_body = body
        body.reader = self
        self.transport.writelines(
            [attempt.request_head, *body.parts] if body.is_replayable else [attempt.request_head]
        )
        self.on_body_progress()

    def release(self) -> None:
        """Give the connection back to its pool."""
        self.pool.release(self)

    def has_unread_input(self) -> bool:
        """Tell whether bytes nobody asked for, or the connection's end, lie in its socket by now."""
        return self.transport is None or self.transport.is_closing() or has_input(self.transport)

    def abort(self) -> None:
        """Close the connection at once; its attempt is told nothing."""
        self.attempt = None
        self._release_attempt()
        self.pool.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def fail_response(self) -> None:
        """End the attempt as an error that may have been executed: the endpoint sent something of no use.

        Unlike a reset it says nothing of whether the endpoint is up.
        """
        attempt = self.attempt
        sink = self._end_streaming() if self.sink is not None else None
        self.abort()
        if sink is not None:
            sink.fail()
        if attempt is not None:
            attempt.connection = None
            attempt.end(AttemptStatus.ERROR)
