"""Requests that an endpoint may have executed, by fingerprint, so that a repeat is recognised.

This module contains no socket code and reads no clock.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, Protocol

from service_proxy.net.downstream.request import Request
from service_proxy.policy.events import EarlierExecution
from service_proxy.policy.settings_types import IdempotencyScope, RequestClass

FINGERPRINT_BYTES = 8
MAX_REQUESTS_PER_MB = 64  # Remembered requests per MB of the memory limit; each takes about 200 bytes.


def request_fingerprint(request: Request) -> int:
    """Return a number that is equal for a request and its repeat, and in all processes of a proxy.

    Method and target count, because an application may use the id of its own request for several calls.
    """
    request_line = request.head.partition(b"\r\n")[0]
    text = b"\0".join((request_line, request.id, request.idempotency_key))
    return int.from_bytes(blake2b(text, digest_size=FINGERPRINT_BYTES).digest(), "big")


class Execution(NamedTuple):
    """First attempt of a request that may have been executed.

    Attributes:
        sent_at: when the attempt started (monotonic, s).
        zone: zone of its endpoint.
        cell: cell of its endpoint.
    """

    sent_at: float
    zone: str
    cell: int


class SharedExecutions(Protocol):
    """Record of requests that all processes of one proxy share."""

    def add(self, fingerprint: int) -> None:
        """Record that an attempt of this process's request starts."""

    def withdraw(self, fingerprint: int) -> None:
        """Take back the record of a request of this process that was never executed."""

    def is_of_other_process(self, fingerprint: int) -> bool:
        """Return whether another process of the proxy has recorded the request."""


class ExecutedRequests:
    """Requests that may have been executed, up to a fixed number; the oldest is forgotten first."""

    def __init__(self, max_requests: int) -> None:
        self.max_requests = max_requests
        self._executions: dict[int, Execution] = {}

    def add(self, fingerprint: int, execution: Execution) -> None:
        """Remember the first execution of a request."""
        self._executions.setdefault(fingerprint, execution)
        if len(self._executions) > self.max_requests:
            del self._executions[next(iter(self._executions))]

    def find(self, fingerprint: int) -> Execution | None:
        """Return the first execution of a request, or None if none is remembered."""
        return self._executions.get(fingerprint)


def earlier_execution(execution: Execution, request_class: RequestClass, now: float) -> EarlierExecution:
    """Return what an execution allows to a repeat of its keyed request at the time `now` (monotonic, s)."""
    scope = request_class.idempotency_scope
    return EarlierExecution(
        zone=None if scope is IdempotencyScope.ALL else execution.zone,
        remembered_for=execution.sent_at + request_class.idempotency_window - now,
        cell=execution.cell if scope is IdempotencyScope.CELL else None,
    )
