"""Retry guard: checks every attempt before it is sent, and allows one final answer to each request.

The guard enforces four rules regardless of the heuristics of the other modules. Each request gets
one final answer. A request that is not idempotent is never repeated after it may have been executed,
unless its idempotency key prevents a second execution. No attempt is sent to a draining endpoint. No
attempt is sent after the client's deadline.
"""

from __future__ import annotations

import math

from service_proxy.policy.actions import Action, CancelAttempt, Fail, Reject, StartAttempt
from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.events import NEVER_EXECUTED, EndpointState
from service_proxy.policy.request import STATUS_IN_FLIGHT, AttemptState, RequestState
from service_proxy.policy.request_class import RequestClassState
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, Settings
from service_proxy.policy.settings_user import SettingsUser
from service_proxy.policy.timing import CONTROL_INTERVAL_S

# Upper bound of the stored ids of finished requests. An arrival with a stored id is ignored, so that no
# finished request is executed again.
MAX_FINISHED_REQUESTS = 1000
# Lower bound of an attempt's timeout; timers can't measure shorter times.
MIN_ATTEMPT_TIMEOUT_S = CONTROL_INTERVAL_S / 10
# Margin before the end of an idempotency window. The operators' page allows the proxy a delay of 0.15 s
# between reading the clock and writing, and each limit has a tolerance of 0.05 s. The margin covers the
# remaining 0.10 s of the delay, and 0.02 s for the transmission.
WINDOW_MARGIN_S = 0.12


class RetryGuard(SettingsUser):
    """Guard that tracks open requests and decides which attempts and answers are allowed."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        super().__init__(settings)
        self.actions = actions
        self.requests: dict[int, RequestState] = {}
        self.finished: dict[int, None] = {}  # Ids of finished requests in the order of their end.

    def is_known(self, request_id: int) -> bool:
        """Return whether a request with this id is open or has finished recently."""
        return request_id in self.requests or request_id in self.finished

    @staticmethod
    def first_possible_execution(request: RequestState) -> AttemptState | None:
        """Return the earliest attempt that was executed, may have been executed or may still be executed."""
        for attempt in request.attempts:
            if attempt.status not in NEVER_EXECUTED:
                return attempt
        return None

    def can_send(self, request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether an attempt of the request may be sent to the endpoint now."""
        is_open = not request.has_ended and not request.is_streaming and now < request.deadline
        if not is_open or endpoint.state is not EndpointState.SERVING:
            return False
        if request.earlier_execution is not None and not self._can_repeat_earlier(request, endpoint, now):
            return False
        return self._can_add_attempt(request, endpoint, now)

    def _can_add_attempt(self, request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the request's own attempts allow another one at the endpoint now."""
        if not request.attempts:
            return True
        if len(request.attempts) >= request.max_attempts:
            return False
        if request.in_flight and not self.settings.can_hedge:
            return False
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return self._can_repeat_at(request, endpoint, now)

    @staticmethod
    def _can_repeat_earlier(request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
        """Return whether the endpoint drops a duplicate of an execution before the request's arrival."""
        earlier = request.earlier_execution
        idempotency = request.request_class.idempotency
        if earlier is None or idempotency is Idempotency.IDEMPOTENT:
            return True
        is_in_scope = earlier.zone is None or (
            now >= endpoint.unverified_until
            and endpoint.zone == earlier.zone
            and earlier.cell in (None, endpoint.cell)
        )
        is_remembered = now < request.earlier_forgotten_at - WINDOW_MARGIN_S
        return idempotency is Idempotency.IDEMPOTENT_WITH_KEY and is_in_scope and is_remembered

    def _can_repeat_at(self, request: RequestState, endpoint: TrackedEndpoint, now: float) -> bool:
        first = self.first_possible_execution(request)
        if first is None:
            return True
        if request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        same_scope = self._same_scope(request.request_class, first, endpoint, now)
        return same_scope and now < self._send_by(request)

    def _send_by(self, request: RequestState) -> float:
        """Return the time by which a further attempt must be sent, because endpoints discard the key later.

        The time is infinite if the class is not idempotent with a key, or if no earlier attempt can have been
        executed.
        """
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return math.inf
        forgotten_at = request.earlier_forgotten_at
        first = self.first_possible_execution(request)
        if first is not None:
            forgotten_at = min(forgotten_at, first.sent_at + request_class.idempotency_window)
        return forgotten_at - WINDOW_MARGIN_S

    @staticmethod
    def _same_scope(
        request_class: RequestClassState, first: AttemptState, other: TrackedEndpoint, now: float
    ) -> bool:
        """Return whether `other` would recognise the idempotency key of a request that `first` executed."""
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return True
        if not first.is_scope_known or now < other.unverified_until or first.endpoint.zone != other.zone:
            return False
        return request_class.idempotency_scope is IdempotencyScope.ZONE or first.endpoint.cell == other.cell

    def can_reject(self, request: RequestState) -> bool:
        """Return whether the request may be rejected, which requires that a repeat by the client is safe."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request.earlier_execution is not None:
            return False
        has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        if has_key and request_class.idempotency_scope is IdempotencyScope.ALL:
            return True
        return self.first_possible_execution(request) is None

    def can_retry(self, request: RequestState) -> bool:
        """Return whether a further attempt may still become possible, now or later, at any endpoint."""
        if request.has_ended or request.is_streaming or len(request.attempts) >= request.max_attempts:
            return False
        if request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT:
            return True
        return self.first_possible_execution(request) is None

    def start_attempt(
        self, request: RequestState, endpoint: TrackedEndpoint, now: float, timeout: float, load: float
    ) -> AttemptState | None:
        """Send an attempt and return it, or return None if the rules forbid the attempt."""
        if not self.can_send(request, endpoint, now):
            return None
        send_by = self._send_by(request)
        attempt = AttemptState(request, len(request.attempts), endpoint, now, load)
        request.attempts.append(attempt)
        request.in_flight += 1
        attempt_timeout = max(MIN_ATTEMPT_TIMEOUT_S, min(timeout, request.deadline - now))
        self.actions.append(StartAttempt(request.request_id, endpoint.endpoint_id, attempt_timeout, send_by))
        return attempt

    def answer(self, request: RequestState, retry_after: float = 0.0) -> None:
        """Send the final answer: a rejection if the client can safely repeat the request, else a failure."""
        if request.has_ended:
            return
        if self.can_reject(request):
            self.actions.append(Reject(request.request_id, retry_after))
        else:
            self.actions.append(Fail(request.request_id))
        self.end(request)

    def cancel_attempts(self, request: RequestState) -> None:
        """Cancel the attempts in flight of a request that no longer needs an answer, if that is allowed."""
        if request.in_flight and self.settings.can_cancel and not request.is_streaming:
            for attempt in request.attempts:
                if attempt.status == STATUS_IN_FLIGHT:
                    self.actions.append(CancelAttempt(request.request_id, attempt.number))

    def reject_invalid(self, request_id: int) -> None:
        """Reject a request whose class is unknown or whose time budget has run out, and store its id.

        A second arrival with the same id is ignored, so the request is rejected only once.
        """
        self.actions.append(Reject(request_id))
        self._record_finished(request_id)

    def end(self, request: RequestState) -> None:
        """Mark a request as ended, so that the client gets no further answer."""
        request.has_ended = True
        self._discard_if_finished(request)

    def end_attempt(self, attempt: AttemptState, status: int, is_final: bool) -> None:
        """Record the end of an attempt; `is_final` means that its response went to the client."""
        request = attempt.request
        if attempt.status == STATUS_IN_FLIGHT:
            request.in_flight -= 1
        attempt.status = status
        if is_final:
            request.has_ended = True
        self._discard_if_finished(request)

    def _discard_if_finished(self, request: RequestState) -> None:
        if request.has_ended and not request.in_flight:
            # A request and its attempts refer to each other, and would stay until a garbage collection.
            request.attempts.clear()
            self.requests.pop(request.request_id, None)
            self._record_finished(request.request_id)

    def _record_finished(self, request_id: int) -> None:
        self.finished[request_id] = None
        if len(self.finished) > MAX_FINISHED_REQUESTS:
            del self.finished[next(iter(self.finished))]
