"""An attempt up to its first byte: the last look whether it may begin, and the time that it is told."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import service_proxy as api
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.upstream import EndpointConnectionPool, UpgradeAttempt, UpstreamAttempt
from service_proxy.net.upstream.connection import STALL_TIMEOUT_S

MAX_JOINED_BODY_BYTES = 64 * 1024  # of a body that is joined to its head; a longer one is not copied


class AttemptOwner(Protocol):
    """What the start of an attempt uses of the dispatcher."""

    def enqueue_event(self, event: api.Event) -> None:
        """Queue an event for the policy."""

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """End a request whose client has left."""


class AttemptStart:
    """Tells whether an attempt may begin, asked right before its first byte goes out.

    What was so when it was decided may have changed: a connect takes its time, and after a stall of this
    process timers come before sockets.

    Args:
        owner: of all open requests.
        open_request: that it is an attempt of.
        attempt_number: of its attempts.
        pool: of the endpoint that it goes to.
        action: of the policy, that decided on it.

    Attributes:
        send_by: no later than then (monotonic, s): the policy's window for it ends.
        timeout: s that the policy gives it, as far as the request has time.
        ends_at: when that is over (monotonic, s).
        is_streamed: the request's time begins with the last byte of its body, which has not come yet.
    """

    __slots__ = (
        "attempt_number",
        "endpoint_id",
        "ends_at",
        "is_streamed",
        "open_request",
        "owner",
        "pool",
        "send_by",
        "timeout",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        open_request: OpenRequest,
        attempt_number: int,
        action: api.StartAttempt,
        pool: EndpointConnectionPool,
    ) -> None:
        now = time.monotonic()
        self.owner = owner
        self.open_request = open_request
        self.attempt_number = attempt_number
        self.endpoint_id = action.endpoint_id
        self.pool = pool
        self.send_by = action.send_by
        self.timeout = min(action.timeout, open_request.deadline - now)
        self.ends_at = now + self.timeout
        self.is_streamed = not open_request.request.body.is_complete

    def __call__(self) -> bool:
        """Tell whether the first byte may go out now."""
        open_request = self.open_request
        if not (open_request.is_open and self.pool.is_serving):
            return False
        if self.time_left() <= 0 or time.monotonic() >= self.send_by:
            return False
        if open_request.writer.has_client_left():
            self.owner.client_disconnected(open_request)
            return False
        if not open_request.request.body.is_replayable:  # what is sent of it is gone: no second attempt
            self.owner.enqueue_event(
                api.StreamStarted(open_request.request_id, self.attempt_number, self.endpoint_id)
            )
        return True

    def time_left(self) -> float:
        """Return the time (s) that the endpoint has from now on."""
        now = time.monotonic()
        return min(self.timeout, self.open_request.deadline - now) if self.is_streamed else self.ends_at - now


def create_attempt(
    start: AttemptStart, extra_headers: bytes, on_end: Callable[[UpstreamAttempt], None]
) -> UpstreamAttempt:
    """Return the attempt, with these header lines beside the request's own."""
    request = start.open_request.request
    body = request.body
    head = request.head + extra_headers
    # A body that still comes has this long without a step forward; its own time begins later.
    timeout = STALL_TIMEOUT_S if start.is_streamed else max(0.0, start.timeout)
    if request.upgrade is not None:
        return UpgradeAttempt(start.pool, head, timeout, start, on_end, request.upgrade, start.time_left)
    is_joined = body.received_bytes <= MAX_JOINED_BODY_BYTES and body.is_complete and body.is_replayable
    return UpstreamAttempt(
        start.pool,
        head,
        timeout,
        start,
        on_end,
        serves_request=True,
        request_body=None if is_joined else body,
        time_left=start.time_left,
        short_body=body.parts if is_joined else (),
    )
