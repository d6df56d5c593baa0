"""Protocols of request filters, which act on a request before the policy, such as deadline propagation.

A filter receives each request once, at its arrival. The filter rejects the request in place of the policy, or
keeps a state of the request until its end. Filters act in the order set by the composition root. Without
filters, the cost per request is one `if`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from service_proxy.net.downstream.request import Request
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus, EarlierExecution
from service_proxy.policy.settings_types import Settings

HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Rejection:
    """Rejection before any work; only a 503 status states that the request was not executed."""

    body: bytes
    status_code: int = 503
    headers: HeaderFields = ()


class RequestFilterState(Protocol):
    """State that a filter keeps of one request until its end. Times are monotonic, in s."""

    deadline: float  # Time by which the request has to end.
    max_attempts: int  # Maximum number of attempts; 0: the limit of the request class applies.
    weight_share: float  # Share of the request class's priority weight.
    cancels_on_disconnect: bool  # True if an attempt is cancelled when its client disconnects.
    # Execution of the request that may have taken place before its arrival; None: there is none.
    earlier_execution: EarlierExecution | None

    def on_attempt_start(self, timeout: float, endpoint_id: int) -> bytes | None:
        """Return header lines for an attempt that starts now; None if the attempt must not start."""

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Record the end of an attempt."""

    def response_headers(self) -> HeaderFields:
        """Return header fields of the response."""

    def on_request_end(self, was_answered: bool) -> None:
        """Record the end of the request, once: answered, or abandoned because no client waits for it."""


class RequestFilter(Protocol):
    """Filter that acts on requests before the policy."""

    consumed_headers: frozenset[bytes]  # Request and response fields, in lower case, that the filter removes.

    def on_settings_update(self, settings: Settings) -> None:
        """Apply new settings."""

    def on_request(
        self, request: Request, abandon: Callable[[], None]
    ) -> RequestFilterState | Rejection | None:
        """Return the filter's state of the request, or a rejection; None if the filter ignores the request.

        `abandon` ends the request at once, because no client waits for its response.
        """


def headers_consumed_by(filters: Iterable[RequestFilter]) -> frozenset[bytes]:
    """Return the header fields that these filters remove."""
    return frozenset(name for request_filter in filters for name in request_filter.consumed_headers)


def apply_filters(
    filters: Iterable[RequestFilter], request: Request, abandon: Callable[[], None]
) -> list[RequestFilterState] | Rejection:
    """Return the states of all filters in order, or the first rejection, which ends the earlier states."""
    states: list[RequestFilterState] = []
    for request_filter in filters:
        state = request_filter.on_request(request, abandon)
        if isinstance(state, Rejection):
            for earlier_state in states:
                earlier_state.on_request_end(True)
            return state
        if state is not None:
            states.append(state)
    return states
