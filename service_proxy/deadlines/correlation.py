"""Bounded table that finds the request for which an application makes a call. Does no I/O.

If the application copied the header, the header decides. Otherwise the ids and keys of call and request
decide, in a fixed order:

1. `Tier-Budget: ref;...` names the request.
2. The call's X-Call-Id equals the request's, or begins with the request's id and one of `.-:/`.
3. The call has the Idempotency-Key of exactly one open request of its class.

Requests stay in the table for a while after their end, so that calls for an ended request are rejected and
not treated as calls for an unknown request. An evicted request is unknown: its calls have the deadline of
their class, as without budgets.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from service_proxy.deadlines.request_budget import RequestBudget

# Open and ended requests in the table; the request that ended first is evicted, then the oldest open one.
MAX_REQUESTS = 4096
# Approximate memory of a request with its budget in all tables, measured by benchmarks/budgets.py.
BYTES_PER_REQUEST = 900
# Time for which a request stays in the table after its end; longer than its calls are of use.
RETENTION_S = 10.0
MAX_ID_BYTES = 128  # Length of an id or key that is looked up; a longer one correlates with no request.
ID_SEPARATORS = b".-:/"


@dataclass(slots=True, eq=False)
class CorrelatedRequest:
    """Request that the application is processing or has processed.

    Attributes:
        reference: Reference that this process gave to the application for the request.
        request_id: X-Call-Id of the request.
        ended_at: Monotonic time of the end, s; None while the request is open.
        is_abandoned: Whether the request ended because no client waits for it; otherwise it was answered.
    """

    reference: str
    request_id: bytes
    idempotency_key: bytes
    request_class: str
    budget: RequestBudget
    ended_at: float | None = None
    is_abandoned: bool = False


class CorrelationTable:
    """Requests of one process by reference, id and key.

    Attributes:
        evicted_count: Requests that were evicted because the table was full.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self.max_requests = max_requests
        self.by_reference: dict[str, CorrelatedRequest] = {}
        self.by_request_id: dict[bytes, CorrelatedRequest] = {}
        self.by_key: dict[tuple[str, bytes], list[CorrelatedRequest]] = {}
        # References in order, oldest first.
        self.open: OrderedDict[str, None] = OrderedDict()
        self.ended: OrderedDict[str, None] = OrderedDict()
        self.evicted_count = 0

    def __len__(self) -> int:
        return len(self.by_reference)

    def add(
        self,
        reference: str,
        request_id: bytes,
        idempotency_key: bytes,
        request_class: str,
        budget: RequestBudget,
    ) -> CorrelatedRequest:
        """Add a request before it is sent to the application."""
        while len(self.by_reference) >= self.max_requests:
            self._remove(next(iter(self.ended or self.open)))
            self.evicted_count += 1
        request = CorrelatedRequest(reference, request_id, idempotency_key, request_class, budget)
        self.by_reference[reference] = request
        self.open[reference] = None
        if len(request_id) <= MAX_ID_BYTES:
            self.by_request_id[request_id] = request
        if idempotency_key and len(idempotency_key) <= MAX_ID_BYTES:
            self.by_key.setdefault((request_class, idempotency_key), []).append(request)
        return request

    def end(self, request: CorrelatedRequest, now: float) -> None:
        """Record that a request was answered or that no client waits for it."""
        is_known = self.by_reference.get(request.reference) is request
        if request.ended_at is None and is_known:
            request.ended_at = now
            del self.open[request.reference]
            self.ended[request.reference] = None
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove the requests that ended more than RETENTION_S ago."""
        while self.ended:
            reference = next(iter(self.ended))
            ended_at = self.by_reference[reference].ended_at
            if ended_at is None or ended_at > now - RETENTION_S:
                return
            self._remove(reference)

    def _remove(self, reference: str) -> None:
        request = self.by_reference.pop(reference)
        self.open.pop(reference, None)
        self.ended.pop(reference, None)
        if self.by_request_id.get(request.request_id) is request:
            del self.by_request_id[request.request_id]
        class_and_key = (request.request_class, request.idempotency_key)
        requests_with_key = self.by_key.get(class_and_key)
        if requests_with_key is not None and request in requests_with_key:
            requests_with_key.remove(request)
            if not requests_with_key:
                del self.by_key[class_and_key]

    def find(
        self, reference: str | None, request_id: bytes, idempotency_key: bytes, request_class: str
    ) -> CorrelatedRequest | None:
        """Return the request for which a call is made, or None if that request is unknown."""
        if reference is not None:
            return self.by_reference.get(reference)
        request = self._find_by_id(request_id)
        if request is None and idempotency_key:
            requests_with_key = self.by_key.get((request_class, idempotency_key), ())
            open_requests = [request for request in requests_with_key if request.ended_at is None]
            if len(open_requests) == 1:
                request = open_requests[0]
        return request

    def _find_by_id(self, request_id: bytes) -> CorrelatedRequest | None:
        """Return the request with this id, or with the id's longest prefix that ends before a separator."""
        if len(request_id) > MAX_ID_BYTES:
            return None
        request = self.by_request_id.get(request_id)
        if request is not None:
            return request
        for end in range(len(request_id) - 1, 0, -1):
            if request_id[end] in ID_SEPARATORS:
                request = self.by_request_id.get(request_id[:end])
                if request is not None:
                    return request
        return None
