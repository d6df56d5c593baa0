"""Records of requests that must not take effect twice, kept across a restart of the proxy."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

from service_proxy.clock import Clock
from service_proxy.net.request_filters import HeaderFields
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import NEVER_EXECUTED, AttemptStatus, EarlierExecution
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, RequestClass, Settings
from service_proxy.recovery.persisted_records import (
    ALL_ENDPOINTS,
    KeyedRequestRecord,
    PersistedRecord,
    PersistedState,
)

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
        active: records of this process by key, each with the time of its expiry (monotonic, s).
        zone_of_endpoint: function that returns the zone of an endpoint id; None: the id is unknown.
    """

    def __init__(self, writer: RecordWriter, clock: Clock, state: PersistedState, settings: Settings) -> None:
        """Start from a store's state and the settings in force."""
        self.writer = writer
        self.clock = clock
        self.restored = state.tables[KeyedRequestRecord.KIND]
        self.active: dict[str, KeyedRequestRecord] = {}
        # Expiry (monotonic, s), key and record, in the order of recording.
        self.expiries: deque[tuple[float, str, KeyedRequestRecord]] = deque()
        self.zone_of_endpoint: Callable[[int], str | None] = lambda _endpoint_id: None
        self.classes: dict[str, RequestClass] = {}
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self.classes = {request_class.name: request_class for request_class in settings.classes}

    def find(self, key: str) -> KeyedRequestRecord | None:
        """Return the record of an earlier request with this key."""
        if key in self.active:
            return self.active[key]
        record = self.restored.get(key)
        if isinstance(record, KeyedRequestRecord) and record.expires_at >= self.clock.wall_time():
            return record
        return None

    def is_recorded(self, key: str) -> bool:
        """Return whether this proxy has sent a request with this key, in this process or before."""
        return key in self.active or key in self.restored

    def record(self, key: str, class_name: str, endpoint_id: int) -> KeyedRequestRecord | None:
        """Record that a request may be executed by an endpoint from now on, and return the record.

        The record of an earlier request with the same key keeps its scope and its begin, because the
        endpoints count their memory from the first execution.
        """
        request_class = self.classes.get(class_name)
        if request_class is None:
            return None
        now = self.clock.wall_time()
        lifetime = request_class.deadline + request_class.idempotency_window
        zone = self.zone_of_endpoint(endpoint_id) or NO_SCOPE
        scope = self._deduplication_scope(request_class, zone)
        recorded_at = now
        earlier = self.find(key)
        if earlier is not None:
            recorded_at = earlier.recorded_at
            scope = scope if scope == earlier.deduplication_scope else NO_SCOPE
            zone = earlier.endpoint_zone
        record = KeyedRequestRecord(class_name, scope, recorded_at, now + lifetime, zone)
        self._put(key, record, time.monotonic() + lifetime)
        return record

    def _put(self, key: str, record: KeyedRequestRecord, expires_at: float) -> None:
        self.active.pop(key, None)
        self.active[key] = record
        self.writer.put(key, record)
        self.expiries.append((expires_at, key, record))
        if len(self.active) > KeyedRequestRecord.MAX_COUNT:  # The store evicts the oldest record, too.
            del self.active[next(iter(self.active))]

    @staticmethod
    def _deduplication_scope(request_class: RequestClass, zone: str) -> str:
        """Return which endpoints drop a duplicate of a request that an endpoint of this zone executes.

        The form is that of the record's field. A cell has no such form, so it is NO_SCOPE.
        """
        if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return NO_SCOPE
        if request_class.idempotency_scope is IdempotencyScope.ALL:
            return ALL_ENDPOINTS
        return zone if request_class.idempotency_scope is IdempotencyScope.ZONE else NO_SCOPE

    def withdraw(self, key: str, record: KeyedRequestRecord, earlier: KeyedRequestRecord | None) -> None:
        """Take back the record of a request that was never executed, unless a later one has replaced it.

        Args:
            key: key of the record.
            record: the record that `record` returned.
            earlier: the record that it had replaced.
        """
        if self.active.get(key) is not record:
            return
        if earlier is None:
            self._drop(key)
            return
        self.active[key] = earlier
        self.writer.put(key, earlier)
        wait = max(0.0, earlier.expires_at - self.clock.wall_time())
        self.expiries.append((time.monotonic() + wait, key, earlier))

    def _drop(self, key: str) -> None:
        del self.active[key]
        self.writer.drop(KeyedRequestRecord.KIND, key)

    def drop_expired(self, now: float) -> None:
        """Remove the records of requests that no client can retry any more. `now` is monotonic, s."""
        while self.expiries and self.expiries[0][0] < now:
            _, key, record = self.expiries.popleft()
            if self.active.get(key) is record:
                self._drop(key)

    def time_remembered(self, record: KeyedRequestRecord) -> float:
        """Return for how many seconds the endpoints of the record's scope still drop a duplicate."""
        request_class = self.classes.get(record.request_class)
        if request_class is None:
            return 0.0
        return record.recorded_at + request_class.idempotency_window - self.clock.wall_time()


class KeyedRequestTracker:
    """Filter state of one keyed request; implements net.request_filters.RequestFilterState.

    Args:
        request_log: log of the keyed requests.
        key: key of the request's record.
        class_name: class of the request.
        earlier_execution: execution that may have taken place before this process started.
    """

    __slots__ = ("class_name", "earlier", "earlier_execution", "key", "may_have_run", "record", "request_log")
    deadline = math.inf
    max_attempts = 0
    weight_share = 1.0
    cancels_on_disconnect = False

    def __init__(
        self,
        request_log: KeyedRequestLog,
        key: str,
        class_name: str,
        earlier_execution: EarlierExecution | None = None,
    ) -> None:
        self.request_log = request_log
        self.key = key
        self.class_name = class_name
        self.earlier_execution = earlier_execution
        self.may_have_run = False
        self.earlier: KeyedRequestRecord | None = None  # Record of an earlier request with this key.
        self.record: KeyedRequestRecord | None = None

    def on_attempt_start(self, _timeout: float, endpoint_id: int) -> bytes | None:
        """Record the request before its first attempt."""
        if self.record is None and not self.may_have_run:
            self.earlier = self.request_log.find(self.key)
            self.record = self.request_log.record(self.key, self.class_name, endpoint_id)
        return b""

    def on_attempt_end(self, _attempt: UpstreamAttempt, status: AttemptStatus) -> None:
        """Take back the record of a request that was not executed, unless another attempt may have run."""
        if status not in NEVER_EXECUTED:
            self.may_have_run = True
        elif self.record is not None and not self.may_have_run:
            self.request_log.withdraw(self.key, self.record, self.earlier)
            self.record = None

    def response_headers(self) -> HeaderFields:
        """Return no header fields."""
        return ()

    def on_request_end(self, answered: bool) -> None:
        """Do nothing."""
