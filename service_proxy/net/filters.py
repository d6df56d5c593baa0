"""The seam for what acts on a call before the module: budgets, and what comes after them.

A filter looks at each call once as it comes: it answers in the module's place, or holds on to the call with a
ticket until its end. Filters act in the order in which the assembly names them. With none, a call costs one
`if`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from service_proxy.net.server import Request
from service_proxy.net.upstream import Exchange
from service_proxy.policy.events import AttemptStatus, Settings

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Turned:
    """A refusal before any work: it never ran. With another code than 503 that is not said."""

    text: bytes
    code: int = 503
    headers: Headers = ()


class Ticket(Protocol):
    """A filter's hold on one call. Instants are monotonic, s."""

    due: float  # when it has to be over
    attempts: int  # at the most; 0: as many as its class has
    share: float  # of its class's worth
    stops: bool  # an attempt ends where its caller leaves

    def sending(self, timeout: float) -> bytes | None:
        """Header lines for an attempt that goes out now; None: it must not."""

    def returned(self, exchange: Exchange, status: AttemptStatus) -> None:
        """The attempt's end."""

    def answering(self) -> Headers:
        """What the answer says to who asked."""

    def ended(self, answered: bool) -> None:
        """The call's end, once: it was answered by who worked on it, or nobody waits for that any more."""


class Filter(Protocol):
    takes: frozenset[bytes]  # fields of requests and answers, in small letters, that end here

    def retuned(self, settings: Settings) -> None:
        """Other settings are in force from now on."""

    def arrival(self, request: Request, give_up: Callable[[], None]) -> Ticket | Turned | None:
        """`give_up` ends the call at once, for want of anybody who waits for it. None: no hold on it."""


def taken_by(filters: Iterable[Filter]) -> frozenset[bytes]:
    """The fields that end at these filters."""
    return frozenset(name for filter in filters for name in filter.takes)


def ask(filters: Iterable[Filter], request: Request, give_up: Callable[[], None]) -> list[Ticket] | Turned:
    """The tickets of all, in their order; where one turns the call away, those before it have ended."""
    tickets: list[Ticket] = []
    for filter in filters:
        found = filter.arrival(request, give_up)
        if isinstance(found, Turned):
            for ticket in tickets:
                ticket.ended(True)
            return found
        if found is not None:
            tickets.append(found)
    return tickets
