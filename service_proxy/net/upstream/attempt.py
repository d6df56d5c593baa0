"""One attempt: one request to one endpoint, from the decision to send until its one end.

An attempt owns its timeout and its outcome; the bytes are its connection's.
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
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S
from service_proxy.net.protocols import ResponseSource, UpgradeNegotiation
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.events import AttemptStatus

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

REJECTING_STATUS_CODES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)  # with `X-Rejected: 1`: the request never ran


class AttemptCluster(Protocol):
    """What an attempt uses of the upstream cluster."""

    loop: asyncio.AbstractEventLoop
    attempts_sent: int


class AttemptPool(Protocol):
    """What an attempt uses of its endpoint's connection pool."""

    address: Address
    last_received_at: float

    @property
    def cluster(self) -> AttemptCluster:
        """The cluster of the endpoint."""

    def close_idle(self, unused_since: float = math.inf) -> None:
        """Close idle connections that were last used at that time or before."""


class AttemptConnection(Protocol):
    """What an attempt uses of the connection that it runs on."""

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write the request of an attempt; the connection is its own until its end."""

    def release(self) -> None:
        """Give the connection back unused."""

    def abort(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """One request to one endpoint, of a client's request or a health check.

    Args:
        pool: of the endpoint.
        request_head: all that is written first: the head, and a short body; where the endpoint is told its
            time, the head but for the line that says so, without the empty line.
        timeout: s until the attempt ends as timed out.
        can_start: asked right before the first byte goes out, also after a slow connect: meanwhile the
            request may have ended or the endpoint begun to drain.
        on_end: called once, with `status` set.
        serves_request: it is an attempt of a client's request, not a health check; its response may be
            streamed: then `response_source` is set with OK, and whoever is called gives it a sink.
        request_body: the body behind `request_head`, where it is not part of that.
        time_left: returns the time (s) that the endpoint is told; None: it is told none.
        short_body: what follows the line that tells the time.

    Attributes:
        sent: the last byte of the request has left for the endpoint, so the request may be executed;
            before that it can't.
        response_length: of the response that `response_source` brings; None: it ends when it ends.
    """

    __slots__ = (
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
    ) -> None:
        self.pool = pool
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
        """End the attempt, unless it has ended.

        Any end but a complete response gives up the connection, so that a late response reaches nobody.
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
        except Exception:  # one request's fault must not end the callbacks of a connection
            log.exception("attempt_end_failed endpoint=%s:%d", *self.pool.address)

    def cancel(self) -> None:
        """End the attempt because nobody wants its response any more."""
        self.end(AttemptStatus.CANCELLED if self.sent else AttemptStatus.NOT_SENT)

    def extend_deadline(self, deadline: float) -> None:
        """Let it take until then (monotonic, s)."""
        self.deadline = deadline

    def _on_timeout(self) -> None:
        if time.monotonic() < self.deadline < math.inf:
            self.timeout_timer = self.loop.call_later(self.deadline - time.monotonic(), self._on_timeout)
            return
        if time.monotonic() > self.deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: the response may be here already.
            self.deadline = math.inf
            self.timeout_timer = self.loop.call_later(LOOP_TURN_S, self._on_timeout)
            return
        if self.sent and self.pool.last_received_at < self.started_at:
            # The endpoint sent nothing to anyone meanwhile. A machine that vanished leaves its connections
            # open and silent; when it is back, each would cost one more request or health check to find out.
            self.pool.close_idle(self.started_at)
        self.end(AttemptStatus.TIMEOUT if self.sent else AttemptStatus.NOT_SENT)

    def run_on(self, connection: AttemptConnection) -> None:
        """Write the request on a connection, unless it has ended or must not start any more."""
        if self.status is not None or not self.can_start():
            connection.release()
            self.end(AttemptStatus.NOT_SENT)
            return
        if self.time_left is not None:
            # Of this moment: a connect may have taken more than a second of it.
            left = max(1, int(self.time_left() * 1e6))
            self.request_head = b"".join(
                (self.request_head, b"x-budget: %du\r\n\r\n" % left, *self.short_body)
            )
        self.connection = connection
        connection.start_attempt(self)

    def on_request_sent(self) -> None:
        """Note that the last byte of the request has left."""
        self.sent = True
        self.pool.cluster.attempts_sent += self.serves_request

    def on_response_streaming(
        self, status_code: int, headers: Headers, source: ResponseSource, response_length: int | None
    ) -> None:
        """Take a response whose body goes on as it comes."""
        self.connection = None
        self.status_code = status_code
        self.response_headers = headers
        self.response_source = source
        self.response_length = response_length
        self.end(AttemptStatus.OK)

    def on_response(self, status_code: int, headers: Headers, body: bytes) -> None:
        """Take a complete response."""
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
    """An attempt to leave HTTP with an endpoint: a verified 101 is its success, anything else an error.

    Attributes:
        upgraded_connection: with OK: the connection, which speaks no HTTP any more.
        surplus: bytes that came right behind the 101.
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
        """Take a 101, which counts only where the negotiation finds it in order."""
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
        """Take a refusal of the upgrade; a 200 is one, too."""
        super().on_response(BAD_GATEWAY if status_code == OK else status_code, headers, body)

    def on_response_streaming(
        self,
        status_code: int,  # noqa: ARG002 - none of it is used
        headers: Headers,  # noqa: ARG002
        source: ResponseSource,  # noqa: ARG002
        response_length: int | None,  # noqa: ARG002
    ) -> None:
        """Refuse a response that is streamed: nobody relays it, so its connection ends."""
        self.connection = None
        self.end(AttemptStatus.ERROR)
