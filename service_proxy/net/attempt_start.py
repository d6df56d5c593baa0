"""The last look before an attempt's first byte: whether it may still begin."""

from __future__ import annotations

import time
from collections.abc import Callable

import service_proxy as api
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.upstream import EndpointConnectionPool


class AttemptStart:
    """Tells whether an attempt may begin, asked right before its first byte goes out.

    What was so when it was decided may have changed: a connect takes its time, and after a stall of this
    process timers come before sockets.

    Args:
        open_request: that it is an attempt of.
        attempt_number: of its attempts.
        endpoint_id: of the endpoint that it goes to, with its `pool`.
        send_by: no later than then (monotonic, s).
        enqueue_event: takes events for the policy.
        on_client_left: called where the client has closed.
    """

    __slots__ = (
        "attempt_number",
        "endpoint_id",
        "enqueue_event",
        "on_client_left",
        "open_request",
        "pool",
        "send_by",
    )

    def __init__(
        self,
        open_request: OpenRequest,
        attempt_number: int,
        endpoint_id: int,
        pool: EndpointConnectionPool,
        send_by: float,
        enqueue_event: Callable[[api.Event], None],
        on_client_left: Callable[[OpenRequest], None],
    ) -> None:
        self.open_request = open_request
        self.attempt_number = attempt_number
        self.endpoint_id = endpoint_id
        self.pool = pool
        self.send_by = send_by
        self.enqueue_event = enqueue_event
        self.on_client_left = on_client_left

    def __call__(self) -> bool:
        """Tell whether the first byte may go out now."""
        open_request = self.open_request
        if not (open_request.is_open and self.pool.is_serving) or time.monotonic() >= self.send_by:
            return False
        if open_request.writer.has_client_left():
            self.on_client_left(open_request)
            return False
        if not open_request.request.body.is_replayable:  # what is sent of it is gone: no second attempt
            self.enqueue_event(
                api.StreamStarted(open_request.request_id, self.attempt_number, self.endpoint_id)
            )
        return True
