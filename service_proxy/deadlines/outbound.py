"""Filter towards a tier, which finds the request of a call and sends the request's budget with the call."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from service_proxy.deadlines import header
from service_proxy.deadlines.correlation import CorrelatedRequest
from service_proxy.deadlines.latency_estimate import TransitEstimate
from service_proxy.deadlines.propagation import (
    CONSUMED_HEADERS,
    MAX_WEIGHT_SHARE,
    NO_HEADERS,
    BudgetPropagation,
    ClassLatencies,
    budget_value,
)
from service_proxy.deadlines.request_budget import AttemptGrant, RequestBudget, completion_factor
from service_proxy.net.downstream import Request
from service_proxy.net.request_filters import HeaderFields, Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, EarlierExecution
from service_proxy.policy.settings_types import RequestClass
from service_proxy.policy.settings_types import Settings as ProxySettings

# Difference between the time left and the time sent in the header, which covers one turn of each event loop.
DEADLINE_MARGIN_S = 0.002


class OutboundFilter(ClassLatencies):
    """Filter (net.request_filters.RequestFilter) towards one tier.

    Attributes:
        upstream_hop_id: Hop identifier of the tier; "" if unknown.
        max_attempts: Upper bound of the attempts of any call.
        transit: Estimate of the transit time to the tier.
    """

    consumed_headers = CONSUMED_HEADERS

    def __init__(
        self,
        propagation: BudgetPropagation,
        upstream_hop_id: str,
        classes: Mapping[str, RequestClass],
        max_attempts: int,
    ) -> None:
        super().__init__(classes)
        self.propagation = propagation
        self.upstream_hop_id = upstream_hop_id
        self.max_attempts = max_attempts
        self.transit = TransitEstimate()

    def on_settings_update(self, settings: ProxySettings) -> None:
        """Apply new settings."""
        super().on_settings_update(settings)
        self.max_attempts = settings.max_attempts

    def on_request(self, request: Request, abandon: Callable[[], None]) -> OutboundCallState | Rejection:
        """Allocate a budget to a call, if possible from its request's budget, or reject the call."""
        request_class = self.classes[request.class_name]
        now = time.monotonic()
        parent = self._find_parent(request)
        if parent is None:
            deadline = request.received_at + min(request.time_budget, request_class.deadline)
            allocated: RequestBudget | Rejection = self.propagation.new_root(request_class, deadline, now)
        else:
            allocated = self._allocate(parent, request_class, now)
        if isinstance(allocated, Rejection):
            return allocated
        call = OutboundCallState(self, request, allocated, request_class, abandon)
        self.propagation.open_calls[id(allocated)] = call
        return call

    def _find_parent(self, request: Request) -> CorrelatedRequest | None:
        """Return the request for which a call is made, or None if the request is unknown or was answered.

        A call that starts after its request was answered has a budget of its own.
        """
        if self.propagation.settings.edge:
            return None
        try:
            value = budget_value(request)
        except header.MalformedBudgetError:
            return None
        reference = header.decode_reference(value) if value is not None else None
        if value is not None and reference is None:
            return None  # This process did not write the value, because the value is no reference.
        parent = self.propagation.correlation.find(
            reference, request.id, request.idempotency_key, request.class_name
        )
        if parent is not None and parent.ended_at is not None and not parent.is_abandoned:
            return None
        return parent

    def _allocate(
        self, parent: CorrelatedRequest, request_class: RequestClass, now: float
    ) -> RequestBudget | Rejection:
        if parent.is_abandoned:
            return Rejection(b"nobody waits for its request any more\n")
        budget = parent.budget
        settings = self.propagation.settings
        hop_id = self.upstream_hop_id
        if hop_id and header.exceeds_hop_limit(budget.path, hop_id, settings.passes):
            return self.propagation.reject_loop(budget.path, hop_id)
        remaining_time = budget.deadline - now
        if settings.refuse_below_usual and not self.latencies[request_class.name].is_sufficient(
            remaining_time
        ):
            return Rejection(b"its budget can't cover the work\n")
        child = budget.allocate_child(settings.calls_per_request, now)
        if child is None:
            return Rejection(b"its request has no attempts or no time left\n")
        return child


class OutboundCallState:
    """State (net.request_filters.RequestFilterState) of a call towards a tier, with the call's budget."""

    cancels_on_disconnect = True
    earlier_execution: EarlierExecution | None = None

    def __init__(
        self,
        filter: OutboundFilter,
        request: Request,
        budget: RequestBudget,
        request_class: RequestClass,
        abandon: Callable[[], None],
    ) -> None:
        self.filter = filter
        self.request = request
        self.budget = budget
        self.request_class = request_class
        self.abandon = abandon
        self.deadline = budget.deadline
        self.weight_share = filter.weight_share(budget, request_class)
        if budget.parent is not None:
            calls_expected = filter.propagation.settings.calls_per_request
            factor = completion_factor(calls_expected, budget.parent.child_count - 1)
            self.weight_share = min(MAX_WEIGHT_SHARE, self.weight_share * factor)
        self.max_attempts = budget.allowance
        self.started_attempts = 0
        self.grant: AttemptGrant | None = None

    def on_attempt_start(self, timeout: float, _endpoint_id: int) -> bytes | None:
        """Return the header line for an attempt that is sent now, or None if no attempt is left."""
        now = time.monotonic()
        budget = self.budget
        filter = self.filter
        max_attempts = min(self.request_class.max_attempts or filter.max_attempts, filter.max_attempts)
        grant = budget.grant_attempt(max(1, min(max_attempts - self.started_attempts, budget.available)))
        if grant is None:
            return None
        self.started_attempts += 1
        self.grant = grant
        margin = filter.transit.mean + DEADLINE_MARGIN_S
        sent_budget = header.BudgetHeader(
            min(timeout, budget.deadline - now) - margin,
            budget.objective_at - now - margin,
            grant.attempts,
            budget.priority_weight,
            budget.request_class,
            budget.path,
            budget.tree_id,
        )
        value = header.encode_budget(sent_budget, self.request.id, filter.propagation.keys)
        return header.FIELD_NAME + b": " + value + b"\r\n"

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Settle the attempt's grant with the reported usage, and record the latency."""
        grant = self.grant
        self.grant = None
        if grant is None:
            return
        usage = _reported_usage(attempt, grant.attempts)
        if usage is not None:
            self.filter.transit.record(attempt.elapsed, usage.service_time)
        if status is AttemptStatus.OK:
            self.filter.latencies[self.request_class.name].record(attempt.elapsed)
        may_have_run = not attempt.status_code and status not in NEVER_EXECUTED
        grant.settle(usage.attempts if usage is not None else None, may_have_run)

    def response_headers(self) -> HeaderFields:
        """Return no headers."""
        return NO_HEADERS

    def on_request_end(self, was_answered: bool) -> None:
        """Close the budget, and cancel open calls below it if no client waits for this call."""
        propagation = self.filter.propagation
        propagation.open_calls.pop(id(self.budget), None)
        propagation.close(self.budget, not was_answered)


def _reported_usage(attempt: UpstreamAttempt, granted_attempts: int) -> header.Usage | None:
    """Return the usage that the response of an attempt reports, or None if there is no valid report."""
    if not attempt.status_code:
        return None
    values = [value for name, value in attempt.response_headers if name == header.FIELD_NAME]
    return header.decode_usage(values[0], granted_attempts) if len(values) == 1 else None
