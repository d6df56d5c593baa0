"""Open request: an accepted request that has no response yet, as stored in the dispatcher's table."""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple

from service_proxy.net.downstream.request import Request, ResponseWriter
from service_proxy.net.request_filters import RequestFilterState
from service_proxy.net.streamed_response import StreamedResponse
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import EarlierExecution

NO_FILTER_STATES: list[RequestFilterState] = []  # Shared list for requests without filter states.


class FilterLimits(NamedTuple):
    """Limits that the filters set for the attempts and the priority weight of a request."""

    max_attempts: int = 0  # 0: the limit of the request class applies.
    weight_share: float = 1.0
    earlier_execution: EarlierExecution | None = None  # Confines all attempts.


NO_FILTER_LIMITS = FilterLimits()


class OpenRequest:
    """Accepted request that has no response yet.

    Attributes:
        request_id: Request id of the policy; `request.id` is the id sent by the client.
        deadline: Time by which the request is answered, whatever the policy decides (monotonic, s).
        end_by: Latest deadline that the filters allow (monotonic, s).
        maybe_executed: True if an endpoint may have executed an attempt, or an earlier request that this one
            repeats.
        attempt: The attempt in flight.
        streamed_response: The response, if it is streamed; the request is not open any more.
    """

    __slots__ = (
        "attempt",
        "attempts_started",
        "deadline",
        "deadline_timer",
        "end_by",
        "filter_states",
        "is_open",
        "maybe_executed",
        "request",
        "request_id",
        "streamed_response",
        "writer",
    )

    def __init__(self, request_id: int, request: Request, writer: ResponseWriter, deadline: float) -> None:
        self.request_id = request_id
        self.request = request
        self.writer = writer
        self.deadline = deadline
        self.end_by = math.inf
        self.is_open = True
        self.attempts_started = 0
        self.maybe_executed = False
        self.attempt: UpstreamAttempt | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.streamed_response: StreamedResponse | None = None
        self.filter_states: list[RequestFilterState] = NO_FILTER_STATES

    def limit_by_filters(self, filter_states: list[RequestFilterState]) -> FilterLimits:
        """Store the filters' states, and return the resulting limits of attempts and priority weight."""
        self.filter_states = filter_states
        self.end_by = min((state.deadline for state in filter_states), default=math.inf)
        self.deadline = min(self.deadline, self.end_by)
        attempts = [state.max_attempts for state in filter_states if state.max_attempts]
        weight_share = math.prod(state.weight_share for state in filter_states)
        executions = (state.earlier_execution for state in filter_states)
        earlier = next((execution for execution in executions if execution is not None), None)
        self.maybe_executed = earlier is not None
        return FilterLimits(min(attempts, default=0), weight_share, earlier)
