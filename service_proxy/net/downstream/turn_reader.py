"""Reading side of a client connection: input is buffered, and parsed in turns with the other connections.

A connection parses one request as soon as it arrives. What arrives behind this request, or behind an open
request, stays in the buffer as bytes and waits for a turn, so that clients which send many requests at once
delay no other client.
"""

from __future__ import annotations

import time
from typing import Any, Protocol

import httptools

from service_proxy.net.arrival_times import ArrivalTimes
from service_proxy.net.downstream.body_arrival import BodyArrival
from service_proxy.net.downstream.input_buffer import ReceivedBytes
from service_proxy.net.downstream.read_turns import ReadTurns
from service_proxy.net.downstream.request import BadRequestError, Request
from service_proxy.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from service_proxy.net.downstream.request_reader import MAX_POOLED_BODY_BYTES, ReaderServer, RequestReader
from service_proxy.net.request_body import STREAM_WINDOW_BYTES
from service_proxy.net.socket_polling import has_input, unread_bytes

REQUEST_READ_BYTES = 16 * 1024  # Bytes of one read, unless more content of a body is expected.
MIN_READ_BYTES = 4 * 1024  # Minimum of the bytes that one read may take.
REJECTED_READ_BYTES = 4 * 1024  # The same for a connection whose requests are rejected.
MAX_REQUESTS_PER_TURN = 8
MAX_PARSED_PER_TURN_BYTES = 16 * 1024  # Input, other than content of a body of known length.
MAX_PARSED_ON_ARRIVAL_BYTES = 8 * 1024  # Such input that is parsed as it arrives.
# Content of a body of known length that is read before the connection waits for its turn. Such bytes are only
# copied.
MAX_CONTENT_PER_TURN_BYTES = 256 * 1024


class TurnReaderServer(ReaderServer, Protocol):
    """Interface of the HTTP server that the reading side of a connection uses."""

    read_turns: ReadTurns
    awaiting_request: dict[Any, None]
    idle: dict[Any, None]


class TurnReader(RequestReader):
    """Reading side of a client connection.

    Attributes:
        arrival_times: bounds of when bytes have arrived that are read later.
        body_arrival: when the rest of the last streamed body may have been sent; None: none was streamed.
        awaits_turn: the connection waits for its turn in `ReadTurns`.
        content_since_turn: bytes of content that were read since the last turn.
        current_request: the request that awaits its response, if it is well-formed and no upgrade request.
        discarding_input: further input is read and discarded, so that the client receives the response.
        is_closing: the last response has been written, or the connection is aborted, detached or lost.
        input_waited: the buffered input arrived before the last response.
        is_parsing: buffered input is being parsed.
        read_bytes_limit: number of bytes that the next read may take.
        read_paused: the proxy has paused reading from the client.
        upgrade_pending: an upgrade request awaits its response.
        write_blocked: the write buffer is full because the client does not read.
    """

    __slots__ = (
        "arrival_times",
        "awaits_turn",
        "body_arrival",
        "content_since_turn",
        "current_request",
        "discarding_input",
        "input_waited",
        "is_closing",
        "is_parsing",
        "read_bytes_limit",
        "read_paused",
        "upgrade_pending",
        "write_blocked",
    )

    server: TurnReaderServer

    def __init__(self) -> None:
        super().__init__()
        self.arrival_times = ArrivalTimes()
        self.awaits_turn = False
        self.body_arrival: BodyArrival | None = None
        self.content_since_turn = 0
        self.current_request: Request | None = None
        self.discarding_input = False
        self.input_waited = False
        self.is_closing = False
        self.is_parsing = False
        self.read_bytes_limit = REQUEST_READ_BYTES
        self.read_paused = False
        self.upgrade_pending = False
        self.write_blocked = False

    # asyncio.BufferedProtocol callbacks
    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - one buffer serves all connections
        """Return the part of the server's read buffer that this connection may fill at once."""
        read_buffer = self.server.read_buffer
        self.read_bytes_limit = REJECTED_READ_BYTES if self.over_limit else REQUEST_READ_BYTES
        if self.head_done and not self.over_limit:
            limit = max(self.read_bytes_limit, self._expected_content_bytes)
            self.read_bytes_limit = min(len(read_buffer), limit, self._body_room_bytes)
        return read_buffer[: self.read_bytes_limit]

    @property
    def _expected_content_bytes(self) -> int:
        """Return how many bytes of the arriving body to expect next."""
        body = self.body
        # A chunked body is expected to grow by as much as has been received.
        return body.received_bytes if body.length is None else body.length - body.received_bytes

    @property
    def _body_room_bytes(self) -> int:
        """Return the number of bytes that the buffer of the arriving body should grow by at most.

        A body with a share of the server's pool may grow by any number, because the pool counts its bytes.
        """
        body = self.body
        if body.pooled_bytes and body.is_replayable:
            return MAX_POOLED_BODY_BYTES
        max_bytes = MAX_BUFFERED_BODY_BYTES if body.is_replayable else STREAM_WINDOW_BYTES
        return max(MIN_READ_BYTES, max_bytes - body.content.size)

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer the bytes that were read, and parse the first request in them unless it has to wait."""
        if self.is_closing or self.discarding_input:
            return
        if self.upgrade_pending:
            self._reject_early_frames()
            return
        transport = self.transport
        assert transport is not None
        now = time.monotonic()
        has_filled_buffer = nbytes >= self.read_bytes_limit
        left = unread_bytes(transport) if has_filled_buffer else 0
        arrived_at = self.arrival_times.on_read(nbytes, left, now)
        self.input.append(ReceivedBytes(bytes(self.server.read_buffer[:nbytes]), now, arrived_at))
        if self.awaits_turn:
            self._update_flow_control()
            return
        is_limit_reached = self._parse_buffered(1, MAX_PARSED_ON_ARRIVAL_BYTES)
        if is_limit_reached or (has_filled_buffer and not self._expects_content(nbytes)):
            self._wait_for_turn()
        self._update_flow_control()
        if self.state_table is self.server.idle and (self.raw_bytes or self.input.size):
            self.server.set_state(self, self.server.awaiting_request)  # A further request has begun.

    def _expects_content(self, nbytes: int) -> bool:
        """Count bytes that were read, and return whether more content may be read before the next turn."""
        if not self._content_left or self.is_pipelined or self.over_limit:
            return False
        self.content_since_turn += nbytes
        return self.content_since_turn <= MAX_CONTENT_PER_TURN_BYTES

    # Turns
    def _wait_for_turn(self) -> None:
        """Wait for the connection's turn to parse its buffered input and to read on."""
        if not self.awaits_turn:
            self.awaits_turn = True
            self.server.read_turns.wait(self, is_backlog=self.is_pipelined or not self.in_message)

    def on_read_turn(self) -> None:
        """Parse buffered input, and read from a client that filled the read buffer."""
        self.awaits_turn = False
        if self.is_closing:
            return
        self.content_since_turn = 0
        self.parses_backlog = True
        if self._parse_buffered(MAX_REQUESTS_PER_TURN, MAX_PARSED_PER_TURN_BYTES):
            self._wait_for_turn()
        self._update_flow_control()
        self.parses_backlog = False
        if self.input_waited and not self.input.size:
            self.input_waited = False
            if self.in_message and not (self.response_due or self.is_closing):
                self._schedule_partial_request_timeout()

    @property
    def _can_parse(self) -> bool:
        """Return whether buffered input may be parsed now: no request is open that is complete."""
        if not self.input.size or self.is_closing or self.discarding_input or self.write_blocked:
            return False
        if self.pending_requests:
            return False
        request = self.current_request
        return not self.response_due or (request is not None and not request.body.is_complete)

    def _parse_buffered(self, max_requests: int, max_bytes: int) -> bool:
        """Parse buffered input and dispatch its requests; return whether a limit was reached.

        Args:
            max_requests: number of requests that may be completed.
            max_bytes: number of bytes, other than content of a body of known length, that may be parsed.
        """
        self.is_parsing = True
        last_request = self.requests_read + max_requests
        parsed_bytes = 0
        while is_limited := self._can_parse:
            if self.requests_read >= last_request or parsed_bytes >= max_bytes:
                break
            content_bytes = self._content_left
            size = self._parse_slice(content_bytes)
            parsed_bytes += 0 if content_bytes else size
            self._dispatch_next()
        self.is_parsing = False
        return is_limited

    def _parse_slice(self, content_bytes: int) -> int:
        """Parse the next slice, and return its length."""
        data = self.input.take_slice(content_bytes)
        try:
            error = self._parse_input(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._start_upgrade(len(data) > upgrade.args[0] or self.input.size > 0)
            return len(data)
        if error is not None:
            self._reject_input(error)
        return len(data)

    # Flow control
    def _update_flow_control(self) -> None:
        """Pause reading while the client does not read, input waits for its turn or a buffer is full."""
        transport = self.transport
        if transport is None or self.is_closing:
            return
        has_buffers_full = self.body.is_full or self.input.is_full
        pause = self.write_blocked or self.awaits_turn or has_buffers_full
        if self.body_arrival is not None:
            self.body_arrival.set_paused(self.body.is_full, time.monotonic())
        if pause and not self.read_paused:
            self.arrival_times.observe(unread_bytes(transport), time.monotonic())
            transport.pause_reading()
        elif self.read_paused and not pause:
            if not has_input(transport):
                self.arrival_times.clear()
            transport.resume_reading()
            if self._is_streaming_body and self.state_table is not None:
                # The client could not send while reading was paused, so the request timeout restarts.
                self.server.set_state(self, self.state_table)
        self.read_paused = pause

    def _dispatch_early(self) -> None:
        """Dispatch a request whose body is too long to be buffered; the rest of the body is streamed."""
        super()._dispatch_early()
        self.body_arrival = BodyArrival(self.arrival_times.read_bytes, self.input.arrived_at)

    @property
    def _body_sent_at(self) -> float:
        """Return when the last byte of a streamed body may have been sent at the earliest (monotonic, s)."""
        sent_at = self.body_arrival.sent_at if self.body_arrival is not None else None
        arrived_at = self.input.arrived_at
        return arrived_at if sent_at is None else min(arrived_at, sent_at)

    def observe_body_arrival(self) -> None:
        """Notify the receiver of a streamed body of when its last byte may have been sent."""
        transport = self.transport
        arrival = self.body_arrival
        body = self.body
        if transport is None or arrival is None or body.on_rest_sent is None or not self._is_streaming_body:
            return
        unread = unread_bytes(transport)
        missing = None if body.length is None else self._content_left - self.input.size - unread
        body.on_rest_sent(arrival.observe(self.arrival_times.read_bytes + unread, missing, time.monotonic()))

    @property
    def has_unread_input(self) -> bool:
        """Return whether input is not parsed yet, in the buffer or in the socket."""
        if self.input.size:
            return True
        transport = self.transport
        return transport is not None and not transport.is_closing() and has_input(transport)

    # Methods of the connection
    def _dispatch_next(self) -> None:
        """Dispatch the next parsed request."""
        raise NotImplementedError

    def _start_upgrade(self, has_surplus: bool) -> None:
        """Dispatch an upgrade request; `has_surplus`: further bytes directly follow the request."""
        raise NotImplementedError

    def _reject_early_frames(self) -> None:
        """Reject an upgrade whose client sent further bytes before the 101 response."""
        raise NotImplementedError

    def _reject_input(self, error: BadRequestError) -> None:
        """Respond with `error` to a request that can't be read any further, and discard further input."""
        raise NotImplementedError

    def _schedule_partial_request_timeout(self) -> None:
        """Schedule the timeout of a request that began to arrive while the previous request was open."""
        raise NotImplementedError
