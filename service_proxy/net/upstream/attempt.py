"""Attempts: one request to one endpoint each, from the decision to send until the single outcome.

An attempt manages its timeout and its outcome; its connection transfers the bytes.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from service_proxy.net.endpoint_list import Address
from service_proxy.net.http_status import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    OK,
    SERVICE_UNAVAILABLE,
    SWITCHING_PROTOCOLS,
)
from service_proxy.net.limits import LOOP_ITERATION_S, LOOP_STALL_S
from service_proxy.net.protocols import ResponseSource, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.events import AttemptStatus

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

# Status codes that mean, together with `X-Rejected: 1`, that the request was never executed.
REJECTING_STATUS_CODES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)


class AttemptCluster(Protocol):
    """Interface of the upstream cluster that an attempt requires."""

    loop: asyncio.AbstractEventLoop
    attempts_sent: int


class AttemptPool(Protocol):
    """Interface of an endpoint's connection pool that an attempt requires."""

    address: Address
    zone: str
    cell: int
    last_received_at: float

    @property
    def cluster(self) -> AttemptCluster:
        """Return the cluster of the endpoint."""

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Close idle connections that were last used at `unused_since` or earlier (monotonic, s)."""


class AttemptConnection(Protocol):
    """Interface of a connection that an attempt requires."""

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt; the connection carries no other attempt until this one ends."""

    def release(self) -> None:
        """Return the unused connection to its pool."""

    def abort(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """One request to one endpoint, for a client's request or for a health check.

    Args:
        pool: Connection pool of the endpoint.
        request_head: First bytes to write: the request's head, and a short body if there is one. If
            `time_left` is set, the head without the X-Budget line, the empty line and the short body.
        timeout: Time until the attempt ends as timed out (s).
        can_start: Called right before the first byte is written, also after a slow connect, because the
            request may have ended or the endpoint may have started draining in the meantime.
        on_end: Called once, after `status` is set.
        serves_request: Whether the attempt serves a client's request and is not a health check. Its
            response may be streamed: `response_source` is then set together with the status OK, and
            `on_end` has to attach a sink.
        request_body: Body that is written after `request_head`, unless `request_head` includes the body.
        time_left: Returns the time left that is sent to the endpoint (s); None if no time is sent.
        short_body: Parts of a short body, which are written after the X-Budget line.
        buffers_response: Whether the response is buffered for as long as its size allows. Otherwise a
            response of unknown length is streamed after a short time.

    Attributes:
        sent: Whether the last byte of the request was sent to the endpoint. The request may have been
            executed only if this is true.
        response_length: Length of the response from `response_source` in bytes; None if the length is
            unknown until the response ends.
    """

    __slots__ = (
        "buffers_response",
        "can_start",
        "connection",
        "deadline",
        "elapsed",
        "loop",
        "on_end",
        "pool",
        "request_body",
        "request_head",
        "response_body",
        "response_headers",
        "response_length",
        "response_source",
        "sent",
        "serves_request",
        "short_body",
        "started_at",
        "status",
        "status_code",
        "time_left",
        "timeout_timer",
    )

    def __init__(
        self,
        pool: AttemptPool,
        request_head: bytes,
        timeout: float,
        can_start: Callable[[], bool],
        on_end: Callable[[UpstreamAttempt], None],
        serves_request: bool = False,
        request_body: RequestBody | None = None,
        time_left: Callable[[], float] | None = None,
        short_body: Sequence[bytes] = (),
        buffers_response: bool = False,
    ) -> None:
        self.pool = pool
        self.buffers_response = buffers_response
        self.request_head = request_head
        self.serves_request = serves_request
        self.request_body = request_body
        self.time_left = time_left
        self.short_body = short_body
        self.response_source: ResponseSource | None = None
        self.response_length: int | None = None
        self.can_start = can_start
        self.on_end = on_end
        self.loop = pool.cluster.loop
        self.started_at = time.monotonic()
        self.status: AttemptStatus | None = None
        self.elapsed = 0.0
        self.sent = False
        self.connection: AttemptConnection | None = None
        self.status_code = 0
        self.response_headers: Headers = []
        self.response_body = b""
        self.deadline = self.started_at + timeout
        self.timeout_timer = self.loop.call_later(timeout, self._on_timeout)

    def end(self, status: AttemptStatus) -> None:
        """End the attempt with a status, unless the attempt has already ended.

        Every outcome except a complete response closes the connection, so that a late response cannot be
        delivered to another request.
        """
        if self.status is not None:
            return
        self.status = status
        self.elapsed = time.monotonic() - self.started_at
        self.timeout_timer.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abort()
        try:
            self.on_end(self)
        # An error in the handling of one request must not stop the other callbacks of a connection.
        except Exception:
            log.exception("attempt_end_failed endpoint=%s:%d", *self.pool.address)

    def cancel(self) -> None:
        """End the attempt because its response is no longer needed."""
        self.end(AttemptStatus.CANCELLED if self.sent else AttemptStatus.NOT_SENT)

    def extend_deadline(self, deadline: float) -> None:
        """Set a later deadline for the attempt (monotonic, s)."""
        self.deadline = deadline

    def _on_timeout(self) -> None:
        if time.monotonic() < self.deadline < math.inf:
            self.timeout_timer = self.loop.call_later(self.deadline - time.monotonic(), self._on_timeout)
            return
        if time.monotonic() > self.deadline + LOOP_STALL_S:
            # The event loop stalled, and timers run before sockets are read: the response may have arrived.
            self.deadline = math.inf
            self.timeout_timer = self.loop.call_later(LOOP_ITERATION_S, self._on_timeout)
            return
        if self.sent and self.pool.last_received_at < self.started_at:
            # The endpoint has sent nothing on any connection since the attempt started. A machine that
            # becomes unreachable leaves its connections open and silent. After its recovery, each of these
            # connections would cost one more request or health check before the failure is detected.
            self.pool.close_idle(self.started_at)
        self.end(AttemptStatus.TIMEOUT if self.sent else AttemptStatus.NOT_SENT)

    def run_on(self, connection: AttemptConnection) -> None:
        """Write the request on a connection, unless the attempt has ended or must not start any more."""
        if self.status is not None or not self.can_start():
            connection.release()
            self.end(AttemptStatus.NOT_SENT)
            return
        if self.time_left is not None:
            # The time left is computed here, because a connect may have taken more than a second.
            time_left_us = max(1, int(self.time_left() * 1e6))
            self.request_head = b"".join(
                (self.request_head, b"x-budget: %du\r\n\r\n" % time_left_us, *self.short_body)
            )
        self.connection = connection
        connection.start_attempt(self)

    def on_request_sent(self) -> None:
        """Record that the last byte of the request was sent."""
        self.sent = True
        self.pool.cluster.attempts_sent += self.serves_request

    def on_response_streaming(
        self, status_code: int, headers: Headers, source: ResponseSource, response_length: int | None
    ) -> None:
        """Accept a response whose body is streamed as it arrives."""
        self.connection = None
        self.status_code = status_code
        self.response_headers = headers
        self.response_source = source
        self.response_length = response_length
        self.end(AttemptStatus.OK)

    def on_response(self, status_code: int, headers: Headers, body: bytes) -> None:
        """Accept a complete response, and end the attempt with the status that the response implies."""
        self.connection = None
        self.status_code = status_code
        self.response_headers = headers
        self.response_body = body
        if status_code == OK:
            self.end(AttemptStatus.OK)
        elif status_code in REJECTING_STATUS_CODES and any(
            name == b"x-rejected" and value == b"1" for name, value in headers
        ):
            self.end(AttemptStatus.REJECTED)
        else:
            self.end(AttemptStatus.ERROR)


class UpgradeAttempt(UpstreamAttempt):
    """Attempt to upgrade a connection to another protocol; any response but a verified 101 is an error.

    Attributes:
        upgraded_connection: Connection that no longer uses HTTP; set together with the status OK.
        surplus: Bytes received directly after the 101 response.
    """

    __slots__ = ("negotiation", "surplus", "upgraded_connection")

    def __init__(
        self,
        pool: AttemptPool,
        request_head: bytes,
        timeout: float,
        can_start: Callable[[], bool],
        on_end: Callable[[UpstreamAttempt], None],
        negotiation: UpgradeNegotiation,
        time_left: Callable[[], float],
    ) -> None:
        super().__init__(
            pool, request_head, timeout, can_start, on_end, serves_request=True, time_left=time_left
        )
        self.negotiation = negotiation
        self.upgraded_connection: AttemptConnection | None = None
        self.surplus = b""

    def on_upgrade_response(self, headers: Headers, connection: AttemptConnection, surplus: bytes) -> None:
        """Accept a 101 response if the negotiation verifies it; otherwise end the attempt as an error."""
        self.connection = None
        self.status_code = SWITCHING_PROTOCOLS
        self.response_headers = headers
        problem = self.negotiation.verify_response(headers)
        if problem is None:
            self.upgraded_connection = connection
            self.surplus = surplus
            self.end(AttemptStatus.OK)
            return
        log.warning("upgrade_response_invalid endpoint=%s:%d reason=%s", *self.pool.address, problem)
        connection.abort()
        self.end(AttemptStatus.ERROR)

    def on_response(self, status_code: int, headers: Headers, body: bytes) -> None:
        """Handle a response that refuses the upgrade; a 200 is a refusal, too, and is treated as a 502."""
        super().on_response(BAD_GATEWAY if status_code == OK else status_code, headers, body)

    def on_response_streaming(
        self,
        status_code: int,  # noqa: ARG002 - not used here
        headers: Headers,  # noqa: ARG002
        source: ResponseSource,  # noqa: ARG002
        response_length: int | None,  # noqa: ARG002
    ) -> None:
        """End the attempt as an error, because no sink takes the response; its connection is then closed."""
        self.connection = None
        self.end(AttemptStatus.ERROR)
