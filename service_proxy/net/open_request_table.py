"""Table of the open requests, with their deadlines and the single response to each.

A request leaves the table when its response is written, so a second response is impossible.
"""

from __future__ import annotations

import math
import time
from asyncio import get_running_loop
from collections.abc import Callable, Mapping
from typing import Any

import service_proxy as api
from service_proxy.net.http_status import GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE
from service_proxy.net.limits import LOOP_ITERATION_S, LOOP_STALL_S
from service_proxy.net.open_request import OpenRequest
from service_proxy.net.protocols import ResponseSource
from service_proxy.net.streamed_response import StreamedResponse
from service_proxy.net.upstream import UpstreamAttempt

MIN_DEADLINE_MARGIN_S = 0.02  # Minimum margin between the response and the client's deadline.


class OpenRequestTable:
    """Table of all open requests.

    Args:
        enqueue_event: Enqueues events for the policy.

    Attributes:
        requests: Open requests by the request id of the policy.
        streamed_responses: Responses that are being streamed; their requests are not open any more.
        attempts_in_flight: Attempts by the request id of the policy, including attempts whose client has
            disconnected.
        ids_in_use: X-Call-Ids of open requests and of attempts still in flight.
        deadline_by_class: Longest time (s) that a client waits, by request class.
        shutdown_deadline: Time of the shutdown (monotonic, s); every request is answered by then.
    """

    def __init__(self, enqueue_event: Callable[[api.Event], None]) -> None:
        self.loop = get_running_loop()
        self.enqueue_event = enqueue_event
        self.requests: dict[int, OpenRequest] = {}
        self.streamed_responses: set[StreamedResponse] = set()
        self.attempts_in_flight: dict[int, UpstreamAttempt] = {}
        self.ids_in_use: set[bytes] = set()
        self.deadline_by_class: Mapping[str, float] = {}
        self.shutdown_deadline = math.inf

    def add(self, open_request: OpenRequest) -> None:
        """Add a request, and start its deadline timer."""
        self.requests[open_request.request_id] = open_request
        self.ids_in_use.add(open_request.request.id)
        self.start_deadline_timer(open_request)

    def set_shutdown_deadline(self, shutdown_deadline: float) -> None:
        """Limit every open request and streamed response to the shutdown deadline (monotonic, s)."""
        self.shutdown_deadline = shutdown_deadline
        for response in self.streamed_responses:
            response.limit_end(shutdown_deadline)
        for open_request in self.requests.values():
            open_request.deadline = min(open_request.deadline, shutdown_deadline)
            self.start_deadline_timer(open_request)

    def start_deadline_timer(self, open_request: OpenRequest) -> None:
        """Start the timer that answers the request at its deadline; an earlier timer is replaced."""
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()
        if open_request.deadline < math.inf:
            wait = max(0.0, open_request.deadline - time.monotonic())
            open_request.deadline_timer = self.loop.call_later(wait, self._on_deadline, open_request)

    def on_body_complete(self, open_request: OpenRequest) -> None:
        """Start the time budget of a streamed request, because the last byte of its body was received."""
        self.on_rest_sent(open_request, open_request.request.received_at)
        if open_request.is_open and open_request.attempt is not None:
            open_request.attempt.extend_deadline(open_request.deadline)

    def on_rest_sent(self, open_request: OpenRequest, sent_at: float | None) -> None:
        """Start the time budget of a streamed request whose last byte may have been sent (monotonic, s).

        None: the client still sends, so the time budget has not started.
        """
        request = open_request.request
        deadline = min(open_request.end_by, self.shutdown_deadline)
        if sent_at is not None:
            budget = min(
                request.time_budget, self.deadline_by_class.get(request.class_name, request.time_budget)
            )
            deadline = min(deadline, sent_at + budget - MIN_DEADLINE_MARGIN_S)
        if deadline == open_request.deadline:
            return
        open_request.deadline = deadline
        if open_request.streamed_response is not None:
            open_request.streamed_response.set_deadline(deadline)
        elif open_request.is_open:
            self.start_deadline_timer(open_request)

    def abandon(self, open_request: OpenRequest) -> None:
        """End a request and its attempt, because no client waits for the result any more."""
        if open_request.is_open:
            self._expire(open_request, b"its caller has gone\n", api.AttemptStatus.CANCELLED)

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """End a request whose client has disconnected; the attempt continues unless its result is useless."""
        if open_request.is_open:
            attempt = open_request.attempt
            self.finish(open_request, False)
            self.enqueue_event(api.RequestAbandoned(open_request.request_id))
            request = open_request.request
            if request.upgrade is not None:
                request.upgrade.client_disconnected()
            cancels = any(state.cancels_on_disconnect for state in open_request.filter_states)
            if attempt is not None and (cancels or not request.body.is_complete or request.upgrade):
                # The attempt is useless in three cases: the endpoint reads time budgets and stops the work
                # after a cancellation, the rest of the body will never arrive, or no client is left to use a
                # 101 response.
                attempt.cancel()
            elif attempt is not None and attempt.sent:
                request.body.drop()  # No attempt sends the body again.

    def _on_deadline(self, open_request: OpenRequest, after_stall: bool = False) -> None:
        """Answer a request with a failure, because the policy decided nothing in time.

        The response is a rejection if no attempt can have been executed.
        """
        if not open_request.is_open:
            return
        if not after_stall and time.monotonic() > open_request.deadline + LOOP_STALL_S:
            # This process was stalled, and expired timers run before sockets are read: the response may have
            # arrived.
            open_request.deadline_timer = self.loop.call_later(
                LOOP_ITERATION_S, self._on_deadline, open_request, True
            )
            return
        self._expire(open_request, b"out of time\n", api.AttemptStatus.TIMEOUT)

    def _expire(self, open_request: OpenRequest, text: bytes, status: api.AttemptStatus) -> None:
        """Answer a request that is expired or abandoned, and end its attempt with this status.

        An attempt that was not sent ends with the status NOT_SENT.
        """
        never_executed = not open_request.maybe_executed and (
            open_request.attempt is None or not open_request.attempt.sent
        )
        attempt = open_request.attempt
        status_code = SERVICE_UNAVAILABLE if never_executed else GATEWAY_TIMEOUT
        self.respond(open_request, status_code, (), text)
        self.enqueue_event(api.RequestAbandoned(open_request.request_id))
        if attempt is not None:
            attempt.end(status if attempt.sent else api.AttemptStatus.NOT_SENT)

    def refuse(self, open_request: OpenRequest, headers: Any, text: bytes) -> None:
        """Answer a request that was never added: with a rejection, unless an earlier one may have run."""
        for state in open_request.filter_states:
            state.on_request_end(True)
        status_code = GATEWAY_TIMEOUT if open_request.maybe_executed else SERVICE_UNAVAILABLE
        open_request.writer.respond(status_code, headers, text)

    def respond(self, open_request: OpenRequest, status_code: int, headers: Any, body: bytes) -> None:
        """Write the final response after removing the request, so that a second response is impossible."""
        self.finish(open_request, True)
        open_request.writer.respond(status_code, headers, body)

    def stream(
        self, open_request: OpenRequest, headers: Any, length: int | None, source: ResponseSource
    ) -> None:
        """Stream the final response after removing the request.

        The request's deadline applies to the end of a response that its writer needs complete.
        """
        needs_complete = open_request.writer.needs_complete_response
        response = StreamedResponse(
            open_request.request.id,
            source,
            open_request.deadline,
            open_request.deadline if needs_complete else self.shutdown_deadline,
            self.streamed_responses.discard,
        )
        self.streamed_responses.add(response)
        open_request.streamed_response = response
        self.finish(open_request, True)
        open_request.writer.stream(headers, length, response)

    def finish(self, open_request: OpenRequest, was_answered: bool) -> None:
        """Remove a request from the table."""
        open_request.is_open = False
        for state in open_request.filter_states:
            state.on_request_end(was_answered)
        self.requests.pop(open_request.request_id, None)
        if open_request.attempt is None:
            self.ids_in_use.discard(open_request.request.id)
        if open_request.deadline_timer is not None:
            open_request.deadline_timer.cancel()

    def fail(self, request_id: int) -> None:
        """Answer a request with an internal error, because the policy or one of its actions failed."""
        open_request = self.requests.get(request_id)
        if open_request is not None:
            self.respond(open_request, 502, (), b"internal error\n")
            self.enqueue_event(api.RequestAbandoned(request_id))
