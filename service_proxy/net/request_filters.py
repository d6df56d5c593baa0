"""Protocols of request filters, which act on a request before the policy: deadline propagation and others.

A filter sees each request once as it comes: it rejects it in the policy's place, or keeps a state of it until
its end. Filters act in the order in which the composition root names them. With none, a request costs one
`if`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from service_proxy.net.downstream.request import Request
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus
from service_proxy.policy.settings_types import Settings

HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Rejection:
    """A rejection before any work: the request was not executed, which only a 503 says."""

    body: bytes
    status_code: int = 503
    headers: HeaderFields = ()


class RequestFilterState(Protocol):
    """What a filter knows of one request, until its end. Instants are monotonic, s."""

    deadline: float  # by which the request has to end
    max_attempts: int  # at the most; 0: as many as its class has
    weight_share: float  # of its class's priority weight
    cancels_on_disconnect: bool  # an attempt ends where its client leaves

    def on_attempt_start(self, timeout: float) -> bytes | None:
        """Return header lines for an attempt that starts now; None: it must not."""

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Take note of an attempt's end."""

    def response_headers(self) -> HeaderFields:
        """Return header fields of the response."""

    def on_request_end(self, was_answered: bool) -> None:
        """Take note of the request's end, once: it was answered, or nobody waits for that any more."""


class RequestFilter(Protocol):
    """Acts on requests before the policy."""

    consumed_headers: frozenset[bytes]  # fields of requests and responses, in lower case, that end here

    def on_settings_update(self, settings: Settings) -> None:
        """Take other settings, which are in force from now on."""

    def on_request(
        self, request: Request, abandon: Callable[[], None]
    ) -> RequestFilterState | Rejection | None:
        """Return a state of the request, or its rejection; None: it is of no concern here.

        `abandon` ends the request at once, for want of anybody who waits for it.
        """


def headers_consumed_by(filters: Iterable[RequestFilter]) -> frozenset[bytes]:
    """Return the header fields that end at these filters."""
    return frozenset(name for request_filter in filters for name in request_filter.consumed_headers)


def apply_filters(
    filters: Iterable[RequestFilter], request: Request, abandon: Callable[[], None]
) -> list[RequestFilterState] | Rejection:
    """Return the states of all, in their order; where one rejects the request, those before it have ended."""
    states: list[RequestFilterState] = []
    for request_filter in filters:
        state = request_filter.on_request(request, abandon)
        if isinstance(state, Rejection):
            for earlier in states:
                earlier.on_request_end(True)
            return state
        if state is not None:
            states.append(state)
    return states
