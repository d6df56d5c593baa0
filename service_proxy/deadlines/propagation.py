"""State of deadline propagation that all listeners of one process share."""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Mapping
from typing import Protocol

from service_proxy.deadlines import header
from service_proxy.deadlines.correlation import CorrelationTable
from service_proxy.deadlines.latency_estimate import LatencyEstimate
from service_proxy.deadlines.request_budget import RequestBudget, root_budget
from service_proxy.net.downstream import Request
from service_proxy.net.request_filters import HeaderFields, Rejection
from service_proxy.operator_file import Budgets as Settings
from service_proxy.operator_file import OperatorError, Problem, load
from service_proxy.operator_file.key_file import read_keys
from service_proxy.policy.settings_types import RequestClass
from service_proxy.policy.settings_types import Settings as ProxySettings

log = logging.getLogger(__name__)

MAX_WEIGHT_SHARE = 1000.0  # Upper bound of a call's weight, relative to its class's priority weight.
IDENTIFIER_BYTES = 8  # Length of a reference or tree id.
CONSUMED_HEADERS = frozenset((header.FIELD_NAME,))
NO_HEADERS: HeaderFields = ()


class OpenCall(Protocol):
    """Open call for a request of this process."""

    def abandon(self) -> None:
        """Cancel the call at once."""


class BudgetPropagation:
    """Budgets of one process (net.endpoint_sources.Subsystem).

    Attributes:
        hop_id: Hop identifier of this tier in paths.
        keys: Keys that sign and verify the header.
        correlation: Requests that the application is processing or has processed.
        open_calls: Open calls towards other tiers, by the identity of their budget.
        rejected_loops: Number of requests that were rejected at the hop limit.
    """

    def __init__(self, settings: Settings, hop_id: str) -> None:
        """Read the keys. `hop_id` is this tier's hop identifier, unless the settings name one.

        Raises:
            OperatorError: The key file is invalid or not readable.
        """
        self.settings = settings
        self.hop_id = settings.mark or hop_id
        self.keys = read_keys(settings.keys_file)
        self.correlation = CorrelationTable()
        self.open_calls: dict[int, OpenCall] = {}
        self.rejected_loops = 0

    # net.endpoint_sources.Subsystem

    def start(self) -> None:
        """Start nothing, because there are no background tasks."""

    def stop(self) -> None:
        """Stop nothing, because there are no background tasks."""

    def reload(self, file: str) -> None:
        """Read the keys again, on SIGHUP; any other change needs a restart.

        Raises:
            OperatorError: Another setting has changed, or the keys are invalid; no change is applied.
        """
        if load(file).budgets != self.settings:
            text = "[budgets] has changed, but only its keys can change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        self.reread_keys()

    def reread_keys(self) -> None:
        """Read the keys again.

        Raises:
            OperatorError: The new keys are invalid; the old keys stay in use.
        """
        self.keys = read_keys(self.settings.keys_file)

    def new_root(self, request_class: RequestClass, deadline: float, now: float) -> RequestBudget:
        """Return the budget of a request that arrived without one, as the root of a new tree of calls."""
        return root_budget(
            self.settings.attempts,
            deadline,
            now + min(request_class.latency_objective, deadline - now),
            request_class.priority_weight,
            request_class.name,
            secrets.token_hex(IDENTIFIER_BYTES),
            (self.hop_id,),
        )

    def close(self, budget: RequestBudget, is_abandoned: bool) -> None:
        """Close a budget; if no client waits for the request, also cancel the open calls below the budget."""
        for closed in budget.close():
            call = self.open_calls.pop(id(closed), None)
            if call is not None and is_abandoned:
                call.abandon()

    def reject_loop(self, path: tuple[str, ...], hop_id: str) -> Rejection:
        """Count and log a request at the hop limit; return the rejection of the request."""
        self.rejected_loops += 1
        full_path = " > ".join((*path, hop_id))
        remedy = "remove the route back to a tier already on the path from the configuration"
        log.warning('loop_rejected path="%s" remedy="%s"', full_path, remedy)
        return Rejection(b"loop: " + full_path.encode() + b"\n")


class ClassLatencies:
    """Request classes of a filter, with the latency estimate of each class."""

    def __init__(self, classes: Mapping[str, RequestClass]) -> None:
        self.classes = dict(classes)
        self.latencies = {name: LatencyEstimate() for name in classes}

    def on_settings_update(self, settings: ProxySettings) -> None:
        """Apply new settings; estimates of removed classes stay, because open requests may use them."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        for name in self.classes:
            self.latencies.setdefault(name, LatencyEstimate())

    def weight_share(self, budget: RequestBudget, request_class: RequestClass) -> float:
        """Return the request's weight as a multiple of its class's priority weight.

        The request's weight is the priority weight of the outermost request's answer at the earliest time
        at which this request usually ends.
        """
        if request_class.priority_weight <= 0:
            return 1.0
        expected_end = time.monotonic() + self.latencies[request_class.name].lower_quartile
        return min(MAX_WEIGHT_SHARE, budget.priority_weight_at(expected_end) / request_class.priority_weight)


def budget_value(request: Request) -> bytes | None:
    """Return the value of the request's budget header, or None if there is none.

    Raises:
        header.MalformedBudgetError: The request has several budget headers.
    """
    if len(request.consumed) > 1:
        raise header.MalformedBudgetError("the request has more than one budget header")
    return request.consumed[0][1] if request.consumed else None
