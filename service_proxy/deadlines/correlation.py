"""Find the request for which an application makes a call. Pure; bounded.

The header that the application copied decides; else the ids and keys of the two, in a fixed order:

1. `Tier-Budget: ref;...` names the request.
2. The call's X-Call-Id is the request's, or begins with it and one of `.-:/`.
3. The call has the Idempotency-Key of exactly one open request of its class.

Requests stay known for a while after their end, so that calls for one that is over are rejected and not taken
for unknown ones. What is evicted from the table is unknown: its calls have their class's deadline, as without
budgets.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from service_proxy.deadlines.request_budget import RequestBudget

MAX_REQUESTS = 4096  # open and ended; the one that ended first is evicted, then the oldest open one
BYTES_PER_REQUEST = 900  # about, in all tables with its budget: benchmarks/budgets.py measures it
RETENTION_S = 10.0  # after its end for which a request is known: longer than its calls are of use
MAX_ID_BYTES = 128  # of an id or key that is looked up; a longer one correlates with nothing
ID_SEPARATORS = b".-:/"


@dataclass(slots=True, eq=False)
class CorrelatedRequest:
    """A request that the application has, or had.

    Attributes:
        reference: that this process gave to the application for it.
        request_id: its X-Call-Id.
        ended_at: monotonic, s; None while it is open.
        is_abandoned: it ended because nobody waits for it; else it was answered.
    """

    reference: str
    request_id: bytes
    idempotency_key: bytes
    request_class: str
    budget: RequestBudget
    ended_at: float | None = None
    is_abandoned: bool = False


class CorrelationTable:
    """The requests of one process by reference, id and key.

    Attributes:
        evicted_count: requests that were evicted for want of room.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self.max_requests = max_requests
        self.by_reference: dict[str, CorrelatedRequest] = {}
        self.by_request_id: dict[bytes, CorrelatedRequest] = {}
        self.by_key: dict[tuple[str, bytes], list[CorrelatedRequest]] = {}
        # References, oldest first.
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
        """Add a request that the application is about to get."""
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
        """Note that a request was answered or that nobody waits for it any more."""
        is_known = self.by_reference.get(request.reference) is request
        if request.ended_at is None and is_known:
            request.ended_at = now
            del self.open[request.reference]
            self.ended[request.reference] = None
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove what ended more than RETENTION_S ago."""
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
        same_key = self.by_key.get(class_and_key)
        if same_key is not None and request in same_key:
            same_key.remove(request)
            if not same_key:
                del self.by_key[class_and_key]

    def find(
        self, reference: str | None, request_id: bytes, idempotency_key: bytes, request_class: str
    ) -> CorrelatedRequest | None:
        """Return the request that a call is made for; None where that is unknown."""
        if reference is not None:
            return self.by_reference.get(reference)
        request = self._find_by_id(request_id)
        if request is None and idempotency_key:
            same_key = self.by_key.get((request_class, idempotency_key), ())
            still_open = [request for request in same_key if request.ended_at is None]
            if len(still_open) == 1:
                request = still_open[0]
        return request

    def _find_by_id(self, request_id: bytes) -> CorrelatedRequest | None:
        """Return the request of this id, or of its longest prefix that ends before a separator."""
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
