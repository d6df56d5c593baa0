"""Start of an attempt: the final check before its first byte is sent, and the time limit of the attempt."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import service_proxy as api
from service_proxy.net.limits import STALL_TIMEOUT_S
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.upstream import EndpointConnectionPool, UpgradeAttempt, UpstreamAttempt

# Longest request body that is copied into one buffer with its head; a longer body is sent separately.
MAX_JOINED_BODY_BYTES = 8 * 1024


class AttemptOwner(Protocol):
    """Operations of the dispatcher that the start of an attempt uses."""

    def enqueue_event(self, event: api.Event) -> None:
        """Queue an event for the policy."""

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """End a request whose client has disconnected."""

    def abandon(self, open_request: OpenRequest) -> None:
        """Answer a request whose client may have disconnected unseen."""


class AttemptStart:
    """Callable check that decides, right before the first byte is sent, whether an attempt may begin.

    The conditions may have changed since the policy decided on the attempt: establishing a connection takes
    time, and after a stall of this process the event loop runs expired timers before it reads the sockets.

    Args:
        owner: The dispatcher of the open requests.
        open_request: The request that the attempt belongs to.
        attempt_number: Number of the attempt among the attempts of the request.
        pool: Connection pool of the endpoint that receives the attempt.
        action: The policy's action that starts the attempt.

    Attributes:
        send_by: Latest time of the first byte (monotonic, s); the policy's window for the attempt ends then.
        decided_at: Time of the policy's decision (monotonic, s).
        timeout: Time limit of the attempt (s): the policy's value, at most the time left to the request.
        ends_at: Time at which the time limit expires (monotonic, s).
        is_streamed: True if the request body is incomplete; the request's time budget then starts with
            the last byte of the body.
    """

    __slots__ = (
        "attempt_number",
        "decided_at",
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
        self.decided_at = now
        self.ends_at = now + self.timeout
        self.is_streamed = not open_request.request.body.is_complete

    def __call__(self) -> bool:
        """Return True if the first byte may be sent now."""
        open_request = self.open_request
        if not (open_request.is_open and self.pool.is_serving) or self._was_decided_for_another_process():
            return False
        if self.time_left() <= 0 or time.monotonic() >= self.send_by:
            return False
        if open_request.writer.has_client_left():
            self.owner.client_disconnected(open_request)
            return False
        if open_request.writer.hides_disconnect():
            self.owner.abandon(open_request)
            return False
        # The parts of a streamed body are discarded after they are sent, so a second attempt is not possible.
        if not open_request.request.body.is_replayable:
            self.owner.enqueue_event(
                api.StreamStarted(open_request.request_id, self.attempt_number, self.endpoint_id)
            )
        return True

    def _was_decided_for_another_process(self) -> bool:
        """Return whether the attempt must be decided anew, because the endpoint's process is another one."""
        return self.pool.continuity.replaced_at > self.decided_at

    def time_left(self) -> float:
        """Return the time (s) that remains for the endpoint's response."""
        now = time.monotonic()
        return min(self.timeout, self.open_request.deadline - now) if self.is_streamed else self.ends_at - now


def attempt_headers(open_request: OpenRequest, timeout: float, endpoint_id: int) -> bytes | None:
    """Return the header lines that filters and the upgrade add to an attempt.

    Return None if a filter forbids the attempt.
    """
    extra_headers = b""
    for state in open_request.filter_states:
        header_lines = state.on_attempt_start(timeout, endpoint_id)
        if header_lines is None:
            return None
        extra_headers += header_lines
    upgrade = open_request.request.upgrade
    if upgrade is not None:
        extra_headers += upgrade.request_headers()
    return extra_headers


def create_attempt(
    start: AttemptStart, extra_headers: bytes, on_end: Callable[[UpstreamAttempt], None]
) -> UpstreamAttempt:
    """Return an attempt whose request head is the head of the client's request plus `extra_headers`."""
    request = start.open_request.request
    body = request.body
    head = request.head + extra_headers
    # While the body is incomplete, only the time without progress is limited. The time budget starts with the
    # last byte of the body.
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
        buffers_response=start.open_request.writer.needs_complete_response,
    )
