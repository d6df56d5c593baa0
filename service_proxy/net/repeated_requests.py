"""Filter that recognises a request whose earlier copy may have been executed, by its X-Call-Id.

A client that leaves before its response may send the same request again, on another connection or to the
other process of a hot restart. The repeat fails, or goes only to endpoints that drop a duplicate of its key.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable

from service_proxy.net.downstream.request import Request
from service_proxy.net.executed_requests import (
    ExecutedRequests,
    Execution,
    SharedExecutions,
    earlier_execution,
    request_fingerprint,
)
from service_proxy.net.http_status import CONFLICT
from service_proxy.net.request_filters import HeaderFields, Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, EarlierExecution
from service_proxy.policy.settings_types import Idempotency, Settings

log = logging.getLogger(__name__)

MAY_HAVE_RUN = Rejection(b"an earlier request with this X-Call-Id may have been executed\n", CONFLICT)


class ExecutionTracker:
    """State of one request that must not take effect twice; implements `RequestFilterState`.

    Args:
        owner: the filter that created this state.
        fingerprint: fingerprint of the request.
        earlier: execution of an earlier copy of the request.
    """

    __slots__ = ("earlier_execution", "fingerprint", "is_shared", "may_have_run", "owner")
    deadline = math.inf
    max_attempts = 0
    weight_share = 1.0
    cancels_on_disconnect = False

    def __init__(
        self, owner: RepeatedRequestFilter, fingerprint: int, earlier: EarlierExecution | None
    ) -> None:
        self.owner = owner
        self.fingerprint = fingerprint
        self.earlier_execution = earlier
        self.may_have_run = earlier is not None
        self.is_shared = False

    def on_attempt_start(self, _timeout: float, _endpoint_id: int) -> bytes | None:
        """Record the request for the other processes of the proxy before its first byte is sent."""
        shared = self.owner.shared
        if shared is not None and not self.is_shared:
            shared.add(self.fingerprint)
            self.is_shared = True
        return b""

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Remember the request if the attempt may have been executed."""
        if status not in NEVER_EXECUTED:
            self.may_have_run = True
            pool = attempt.pool
            execution = Execution(attempt.started_at, pool.zone, pool.cell)
            self.owner.executed.add(self.fingerprint, execution)
        elif self.is_shared and not self.may_have_run and self.owner.shared is not None:
            self.owner.shared.withdraw(self.fingerprint)
            self.is_shared = False

    def response_headers(self) -> HeaderFields:
        """Return no header fields."""
        return ()

    def on_request_end(self, was_answered: bool) -> None:
        """Do nothing: an attempt may outlive its request."""


class RepeatedRequestFilter:
    """Filter of repeats of requests that may have been executed; implements `RequestFilter`.

    Args:
        settings: the platform's settings.
        max_requests: number of requests that are remembered.

    Attributes:
        shared: record that this process shares with the other process of a hot restart; None: there is none.
    """

    consumed_headers: frozenset[bytes] = frozenset()

    def __init__(self, settings: Settings, max_requests: int) -> None:
        self.executed = ExecutedRequests(max_requests)
        self.shared: SharedExecutions | None = None
        self.on_settings_update(settings)

    def on_settings_update(self, settings: Settings) -> None:
        """Apply new settings."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}

    def on_request(
        self, request: Request, _abandon: Callable[[], None]
    ) -> ExecutionTracker | Rejection | None:
        """Return the state of a request that must not take effect twice, or reject its repeat."""
        request_class = self.classes.get(request.class_name)
        if request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        fingerprint = request_fingerprint(request)
        execution = self.executed.find(fingerprint)
        if execution is None:
            if self.shared is not None and self.shared.is_of_other_process(fingerprint):
                return self._reject(request)
            return ExecutionTracker(self, fingerprint, None)
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return self._reject(request)
        earlier = earlier_execution(execution, request_class, time.monotonic())
        return ExecutionTracker(self, fingerprint, earlier)

    def may_have_run(self, request: Request) -> bool:
        """Return whether an earlier copy of a request that must not run twice may have been executed."""
        request_class = self.classes.get(request.class_name)
        if request_class is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        fingerprint = request_fingerprint(request)
        is_shared = self.shared is not None and self.shared.is_of_other_process(fingerprint)
        return is_shared or self.executed.find(fingerprint) is not None

    @staticmethod
    def _reject(request: Request) -> Rejection:
        log.warning("repeat_failed id=%s class=%s", request.id.decode("latin-1"), request.class_name)
        return MAY_HAVE_RUN
