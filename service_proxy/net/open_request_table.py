"""The table of open requests: their deadlines, and the one response to each.

A request leaves the table with its response, so there is no second one.
"""

from __future__ import annotations

import math
import time
from asyncio import get_running_loop
from collections.abc import Callable, Mapping
from typing import Any

import service_proxy as api
from service_proxy.net.limits import LOOP_STALL_S, LOOP_TURN_S
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.upstream import UpstreamAttempt

MIN_DEADLINE_MARGIN_S = 0.02  # before a client's deadline, at which its response leaves at the latest


class OpenRequestTable:
    """All open requests.

    Args:
        enqueue_event: takes events for the policy.

    Attributes:
        requests: by the policy's number of a request.
        attempts_in_flight: by the same; also of requests whose client has left.
        ids_in_use: X-Call-Ids of open requests, and of attempts that are still in flight.
        deadline_by_class: s that a client of each class waits at most.
        shutdown_deadline: when the process is to end (monotonic, s): all is answered by then.
    """

    def __init__(self, enqueue_event: Callable[[api.Event], None]) -> None:
        self.loop = get_running_loop()
        self.enqueue_event = enqueue_event
        self.requests: dict[int, OpenRequest] = {}
        self.attempts_in_flight: dict[int, UpstreamAttempt] = {}
        self.ids_in_use: set[bytes] = set()
        self.deadline_by_class: Mapping[str, float] = {}
        self.shutdown_deadline = math.inf

    def add(self, open_request: OpenRequest) -> None:
        """Take a request in, and begin its time."""
        self.requests[open_request.request_id] = open_request
        self.ids_in_use.add(open_request.request.id)
        self.start_deadline_timer(open_request)

    def set_shutdown_deadline(self, shutdown_deadline: float) -> None:
        """Answer all that is open by then (monotonic, s), too, whatever its client would wait."""
        self.shutdown_deadline = shutdown_deadline
        for open_request in self.requests.values():
            open_request.deadline = min(open_request.deadline, shutdown_deadline)
            self.start_deadline_timer(open_request)

    def start_deadline_timer(self, open_request: OpenRequest) -> None:
        """Answer the request by its deadline; begun anew where that changes."""
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()
        if open_request.deadline < math.inf:
            wait = max(0.0, open_request.deadline - time.monotonic())
            open_request.deadline_timer = self.loop.call_later(wait, self._on_deadline, open_request)

    def on_body_complete(self, open_request: OpenRequest) -> None:
        """Begin the time of a request that was handed on early: its last byte has come."""
        if not open_request.is_open:
            return
        request = open_request.request
        budget = min(request.time_budget, self.deadline_by_class.get(request.class_name, request.time_budget))
        open_request.deadline = min(
            open_request.deadline, request.received_at + budget - MIN_DEADLINE_MARGIN_S
        )
        self.start_deadline_timer(open_request)
        if open_request.attempt is not None:
            open_request.attempt.extend_deadline(open_request.deadline)

    def abandon(self, open_request: OpenRequest) -> None:
        """End a request and its attempt: nobody waits for what it is part of."""
        if open_request.is_open:
            self._expire(open_request, b"its caller has gone\n", api.AttemptStatus.CANCELLED)

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """End a request whose client has left; its attempt goes on, unless it is of no use to anyone."""
        if open_request.is_open:
            attempt = open_request.attempt
            self.finish(open_request, False)
            self.enqueue_event(api.RequestAbandoned(open_request.request_id))
            request = open_request.request
            if request.upgrade is not None:
                request.upgrade.client_disconnected()
            cancels = any(state.cancels_on_disconnect for state in open_request.filter_states)
            if attempt is not None and (cancels or not request.body.is_complete or request.upgrade):
                # An endpoint that reads budgets stops working for it; a body's rest never comes; nobody takes
                # a 101.
                attempt.cancel()

    def _on_deadline(self, open_request: OpenRequest, after_stall: bool = False) -> None:
        """The policy has decided nothing in time: a failure, unless a rejection is provably harmless."""
        if not open_request.is_open:
            return
        if not after_stall and time.monotonic() > open_request.deadline + LOOP_STALL_S:
            # This process stood still, and timers come before sockets: the response may be here already.
            open_request.deadline_timer = self.loop.call_later(
                LOOP_TURN_S, self._on_deadline, open_request, True
            )
            return
        self._expire(open_request, b"out of time\n", api.AttemptStatus.TIMEOUT)

    def _expire(self, open_request: OpenRequest, text: bytes, status: api.AttemptStatus) -> None:
        """Answer a request that is out of time, and end its attempt with this status."""
        harmless = not open_request.maybe_executed and (
            open_request.attempt is None or not open_request.attempt.sent
        )
        attempt = open_request.attempt
        self.respond(open_request, 503 if harmless else 504, (), text)
        self.enqueue_event(api.RequestAbandoned(open_request.request_id))
        if attempt is not None:
            attempt.end(status if attempt.sent else api.AttemptStatus.NOT_SENT)

    def respond(self, open_request: OpenRequest, status_code: int, headers: Any, body: bytes) -> None:
        """Write the final response. The request has left the table then: there is no second one."""
        self.finish(open_request, True)
        open_request.writer.respond(status_code, headers, body)

    def finish(self, open_request: OpenRequest, was_answered: bool) -> None:
        """Take a request out of the table."""
        open_request.is_open = False
        for state in open_request.filter_states:
            state.on_request_end(was_answered)
        self.requests.pop(open_request.request_id, None)
        if open_request.attempt is None:
            self.ids_in_use.discard(open_request.request.id)
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()

    def fail(self, request_id: int) -> None:
        """Answer a request that the policy or one of its actions failed on."""
        open_request = self.requests.get(request_id)
        if open_request is not None:
            self.respond(open_request, 502, (), b"internal error\n")
            self.enqueue_event(api.RequestAbandoned(request_id))
