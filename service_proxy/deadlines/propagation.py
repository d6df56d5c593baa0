"""The state of deadline propagation that all listeners of one process share."""

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

MAX_WEIGHT_SHARE = 1000.0  # of its class's priority weight that a call can be given
IDENTIFIER_BYTES = 8  # of a reference or tree id
CONSUMED_HEADERS = frozenset((header.FIELD_NAME,))
NO_HEADERS: HeaderFields = ()


class OpenCall(Protocol):
    """A call that is under way for a request of this process."""

    def give_up(self) -> None:
        """End it at once."""


class BudgetPropagation:
    """Budgets of one process: net.endpoint_sources.Subsystem.

    Attributes:
        hop_id: of this tier, in paths.
        keys: that sign and verify the header.
        correlation: requests that the application has or had.
        open_calls: calls towards other tiers, by the identity of their budget.
        rejected_loops: requests that were rejected at the hop limit.
    """

    def __init__(self, settings: Settings, hop_id: str) -> None:
        """`hop_id`: of this tier, where the settings name none.

        Raises:
            OperatorError: the key file can't be used.
        """
        self.settings = settings
        self.hop_id = settings.mark or hop_id
        self.keys = read_keys(settings.keys_file)
        self.correlation = CorrelationTable()
        self.open_calls: dict[int, OpenCall] = {}
        self.rejected_loops = 0

    # net.endpoint_sources.Subsystem

    def start(self) -> None:
        """Nothing runs by itself."""

    def stop(self) -> None:
        """Nothing runs by itself."""

    def reload(self, file: str) -> None:
        """Read the keys again, on SIGHUP; anything else needs a start.

        Raises:
            OperatorError: the file says something else, or the keys can't be used; nothing has changed then.
        """
        if load(file).budgets != self.settings:
            text = "[budgets] has changed, and only its keys can while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        self.reread_keys()

    def reread_keys(self) -> None:
        """Read the keys again.

        Raises:
            OperatorError: they can't be used; the old ones stay.
        """
        self.keys = read_keys(self.settings.keys_file)

    def new_root(self, request_class: RequestClass, deadline: float, now: float) -> RequestBudget:
        """Return the budget of a request that brings none: a new tree of calls."""
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
        """Close a budget; where nobody waits any more, also end what is under way below it."""
        for closed in budget.close():
            call = self.open_calls.pop(id(closed), None)
            if call is not None and is_abandoned:
                call.give_up()

    def reject_loop(self, path: tuple[str, ...], hop_id: str) -> Rejection:
        """Count and log a request at the hop limit; return its rejection."""
        self.rejected_loops += 1
        full_path = " > ".join((*path, hop_id))
        remedy = "take the way back out of the configuration"
        log.warning('loop_rejected path="%s" remedy="%s"', full_path, remedy)
        return Rejection(b"loop: " + full_path.encode() + b"\n")


class ClassLatencies:
    """The classes that a filter knows, with the latency estimate of each."""

    def __init__(self, classes: Mapping[str, RequestClass]) -> None:
        self.classes = dict(classes)
        self.latencies = {name: LatencyEstimate() for name in classes}

    def on_settings_update(self, settings: ProxySettings) -> None:
        """Use these settings. Requests under way may be of a class that is gone, so its estimate stays."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        for name in self.classes:
            self.latencies.setdefault(name, LatencyEstimate())

    def weight_share(self, budget: RequestBudget, request_class: RequestClass) -> float:
        """Return a request's share of its class's priority weight.

        It is what the outermost request's answer is worth at the earliest instant at which this one usually
        ends.
        """
        if request_class.priority_weight <= 0:
            return 1.0
        expected_end = time.monotonic() + self.latencies[request_class.name].lower_quartile
        return min(MAX_WEIGHT_SHARE, budget.priority_weight_at(expected_end) / request_class.priority_weight)


def budget_value(request: Request) -> bytes | None:
    """Return the value of the request's header; None where there is none.

    Raises:
        header.MalformedBudgetError: there are several.
    """
    if len(request.consumed) > 1:
        raise header.MalformedBudgetError("given twice")
    return request.consumed[0][1] if request.consumed else None
