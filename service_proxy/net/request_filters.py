"""The seam for what acts on a call before the module: budgets, and what comes after them.

A filter looks at each call once as it comes: it answers in the module's place, or holds on to the call with a
ticket until its end. Filters act in the order in which the assembly names them. With none, a call costs one
`if`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from service_proxy.net.downstream import Request
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus, Settings

HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Rejection:
    """A refusal before any work: it never ran. With another code than 503 that is not said."""

    body: bytes
    status_code: int = 503
    headers: HeaderFields = ()


class RequestFilterState(Protocol):
    """A filter's hold on one call. Instants are monotonic, s."""

    deadline: float  # when it has to be over
    max_attempts: int  # at the most; 0: as many as its class has
    weight_share: float  # of its class's worth
    cancels_on_disconnect: bool  # an attempt ends where its caller leaves

    def on_attempt_start(self, timeout: float) -> bytes | None:
        """Header lines for an attempt that goes out now; None: it must not."""

    def on_attempt_end(self, attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """The attempt's end."""

    def response_headers(self) -> HeaderFields:
        """What the answer says to who asked."""

    def on_request_end(self, was_answered: bool) -> None:
        """The call's end, once: it was answered by who worked on it, or nobody waits for that any more."""


class RequestFilter(Protocol):
    consumed_headers: frozenset[bytes]  # fields of requests and answers, in small letters, that end here

    def on_settings_update(self, settings: Settings) -> None:
        """Other settings are in force from now on."""

    def on_request(
        self, request: Request, abandon: Callable[[], None]
    ) -> RequestFilterState | Rejection | None:
        """`give_up` ends the call at once, for want of anybody who waits for it. None: no hold on it."""


def headers_consumed_by(filters: Iterable[RequestFilter]) -> frozenset[bytes]:
    """The fields that end at these filters."""
    return frozenset(name for request_filter in filters for name in request_filter.consumed_headers)


def apply_filters(
    filters: Iterable[RequestFilter], request: Request, abandon: Callable[[], None]
) -> list[RequestFilterState] | Rejection:
    """The tickets of all, in their order; where one turns the call away, those before it have ended."""
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
