"""Filter before the application, which reads the budget of an incoming request.

The filter gives the application a reference to the request, so that calls made for that request can be
assigned to it.
"""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Mapping

from service_proxy.deadlines import header
from service_proxy.deadlines.correlation import CorrelatedRequest
from service_proxy.deadlines.propagation import (
    CONSUMED_HEADERS,
    IDENTIFIER_BYTES,
    NO_HEADERS,
    BudgetPropagation,
    ClassLatencies,
    budget_value,
)
from service_proxy.deadlines.request_budget import RequestBudget
from service_proxy.net.downstream import Request
from service_proxy.net.request_filters import HeaderFields, Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus, EarlierExecution
from service_proxy.policy.settings_types import RequestClass

log = logging.getLogger(__name__)


class InboundFilter(ClassLatencies):
    """Filter (net.request_filters.RequestFilter) before the application."""

    consumed_headers = CONSUMED_HEADERS

    def __init__(self, propagation: BudgetPropagation, classes: Mapping[str, RequestClass]) -> None:
        super().__init__(classes)
        self.propagation = propagation

    def on_request(
        self,
        request: Request,
        _abandon: Callable[[], None],
    ) -> InboundRequestState | Rejection:
        """Read or create the budget of a request; reject loops and requests whose deadline is too short."""
        propagation = self.propagation
        request_class = self.classes[request.class_name]
        now = time.monotonic()
        deadline = request.received_at + min(request.time_budget, request_class.deadline)
        received = self._received_budget(request)
        if received is None:
            budget = propagation.new_root(request_class, deadline, now)
        else:
            hop_id = propagation.hop_id
            if header.exceeds_hop_limit(received.path, hop_id, propagation.settings.passes):
                return propagation.reject_loop(received.path, hop_id)
            budget = RequestBudget(
                received.attempts,
                min(deadline, request.received_at + received.remaining_time),
                request.received_at + received.remaining_objective,
                received.priority_weight,
                received.request_class,
                (*received.path, hop_id),
                received.tree_id,
            )
        remaining_time = budget.deadline - now
        if propagation.settings.refuse_below_usual and not self.latencies[request_class.name].is_sufficient(
            remaining_time
        ):
            return Rejection(b"its budget can't cover the work\n")
        return InboundRequestState(self, request, budget, request_class, received is not None)

    def _received_budget(self, request: Request) -> header.BudgetHeader | None:
        """Return the budget in the request's header, or None if there is no valid budget header."""
        try:
            value = budget_value(request)
            if value is not None:
                return header.decode_budget(value, request.id, self.propagation.keys)
        except header.MalformedBudgetError as error:
            log.warning('budget_header_ignored reason="%s"', error)
        return None


class InboundRequestState:
    """State (net.request_filters.RequestFilterState) of a request to the application."""

    max_attempts = 0
    earlier_execution: EarlierExecution | None = None
    cancels_on_disconnect = True

    def __init__(
        self,
        filter: InboundFilter,
        request: Request,
        budget: RequestBudget,
        request_class: RequestClass,
        has_budget_header: bool,
    ) -> None:
        self.filter = filter
        self.request = request
        self.budget = budget
        self.request_class = request_class
        self.has_budget_header = has_budget_header
        self.deadline = budget.deadline
        self.weight_share = filter.weight_share(budget, request_class)
        self.correlated: CorrelatedRequest | None = None

    def on_attempt_start(self, _timeout: float, _endpoint_id: int) -> bytes:
        """Return the header line that names the request to the application."""
        reference = secrets.token_hex(IDENTIFIER_BYTES)
        self.correlated = self.filter.propagation.correlation.add(
            reference, self.request.id, self.request.idempotency_key, self.request_class.name, self.budget
        )
        return header.FIELD_NAME + b": " + header.encode_reference(reference) + b"\r\n"

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Record the latency of the class after a successful response."""
        if status is AttemptStatus.OK:
            self.filter.latencies[self.request_class.name].record(attempt.elapsed)

    def response_headers(self) -> HeaderFields:
        """Return the header with the attempts and the time that were used."""
        if not self.has_budget_header:
            return NO_HEADERS
        used = self.budget.spent + self.budget.reserved
        service_time = time.monotonic() - self.request.received_at
        return ((header.FIELD_NAME, header.encode_usage(used, service_time)),)

    def on_request_end(self, was_answered: bool) -> None:
        """Close the budget, and cancel open calls of the request if no client waits for the request."""
        propagation = self.filter.propagation
        now = time.monotonic()
        # After a response in time, open calls are the application's own; otherwise no client waits for their
        # results.
        is_abandoned = not was_answered or now >= self.budget.deadline
        propagation.close(self.budget, is_abandoned)
        if self.correlated is not None:
            self.correlated.is_abandoned = is_abandoned
            propagation.correlation.end(self.correlated, now)
