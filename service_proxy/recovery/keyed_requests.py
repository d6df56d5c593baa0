"""Records of requests that must not take effect twice, kept across a restart of the proxy."""

from __future__ import annotations

import math
import time
from collections import deque
from hashlib import blake2b
from typing import Protocol

from service_proxy.clock import Clock
from service_proxy.net.request_filters import HeaderFields
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, RequestClass, Settings
from service_proxy.recovery.persisted_records import KeyedRequestRecord, PersistedRecord, PersistedState
from service_proxy.recovery.validity_rules import ALL_ENDPOINTS

DIGEST_BYTES = 16
NO_SCOPE = ""  # Deduplication scope without any endpoint that is known to drop a duplicate.


class RecordWriter(Protocol):
    """Destination of records; the asynchronous store writer implements it."""

    def put(self, key: str, record: PersistedRecord) -> None:
        """Add or replace a record."""

    def drop(self, kind: str, key: str) -> None:
        """Remove a record."""


def record_key(request_class: str, idempotency_key: bytes) -> str:
    """Return the key of a request's record. The idempotency key may consist of any bytes."""
    text = request_class.encode() + b"\0" + idempotency_key
    return blake2b(text, digest_size=DIGEST_BYTES, person=b"keyed").hexdigest()


class KeyedRequestLog:
    """Log of keyed requests, each from its first attempt until a client can no longer retry it.

    Attributes:
        restored: records that were read from the store, by key.
    """

    def __init__(self, writer: RecordWriter, clock: Clock, state: PersistedState, settings: Settings) -> None:
        """Start from a store's state and the settings in force."""
        self.writer = writer
        self.clock = clock
        self.restored = state.tables[KeyedRequestRecord.KIND]
        # Expiry (monotonic, s) and key, in the order of recording.
        self.expiries: deque[tuple[float, str]] = deque()
        self.classes: dict[str, RequestClass] = {}
        self.zone = ""
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.zone = settings.zone

    def record(self, key: str, class_name: str) -> None:
        """Record that a request may be executed from now on."""
        request_class = self.classes.get(class_name)
        if request_class is None:
            return
        now = self.clock.wall_time()
        lifetime = request_class.deadline + request_class.idempotency_window
        scope = self._deduplication_scope(request_class)
        self.writer.put(key, KeyedRequestRecord(class_name, scope, now, now + lifetime))
        self.expiries.append((time.monotonic() + lifetime, key))

    def _deduplication_scope(self, request_class: RequestClass) -> str:
        """Return which endpoints drop a duplicate, in the form of the record's field.

        A request is recorded before its first attempt, when the cell that the attempt will reach is unknown.
        If only the endpoints of one cell drop a duplicate, the result is therefore NO_SCOPE.
        """
        if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return NO_SCOPE
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return ALL_ENDPOINTS
        return self.zone if request_class.idempotency_scope is IdempotencyScope.ZONE else NO_SCOPE

    def remove(self, key: str) -> None:
        """Remove the record of a request that was never executed."""
        self.writer.drop(KeyedRequestRecord.KIND, key)

    def drop_expired(self, now: float) -> None:
        """Remove the records of requests that no client can retry any more. `now` is monotonic, s."""
        while self.expiries and self.expiries[0][0] < now:
            self.remove(self.expiries.popleft()[1])


class KeyedRequestTracker:
    """Filter state of one keyed or unsafe request; implements net.request_filters.RequestFilterState."""

    __slots__ = ("class_name", "is_recorded", "key", "request_log")
    deadline = math.inf
    max_attempts = 0
    weight_share = 1.0
    cancels_on_disconnect = False

    def __init__(self, request_log: KeyedRequestLog, key: str, class_name: str) -> None:
        self.request_log = request_log
        self.key = key
        self.class_name = class_name
        self.is_recorded = False

    def on_attempt_start(self, _timeout: float) -> bytes | None:
        """Record the request before its first attempt."""
        if not self.is_recorded:
            self.is_recorded = True
            if self.key:
                self.request_log.record(self.key, self.class_name)
        return b""

    def on_attempt_end(self, _attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Remove the record of a request that was not executed, unless another attempt may have run."""
        if status not in NEVER_EXECUTED:
            self.key = ""
        elif self.key:
            self.is_recorded = False
            self.request_log.remove(self.key)

    def response_headers(self) -> HeaderFields:
        """Return no header fields."""
        return ()

    def on_request_end(self, answered: bool) -> None:
        """Do nothing."""
