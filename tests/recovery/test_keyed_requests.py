"""Tests of the records of keyed requests, from the first attempt until no client can retry the request."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from itertools import combinations
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from service_proxy.clock import Clock
from service_proxy.net.downstream import Request
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.policy.events import AttemptStatus, EarlierExecution
from service_proxy.policy.retry_guard import WINDOW_MARGIN_S
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, RequestClass, Settings
from service_proxy.recovery.admission import RecoveryFilter
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.keyed_requests import KeyedRequestLog, KeyedRequestTracker
from service_proxy.recovery.persisted_records import KeyedRequestRecord, PersistedRecord, PersistedState
from service_proxy.recovery.phases import RecoveryPhase
from service_proxy.recovery.retry_after import RetryAfterSchedule
from service_proxy.recovery.validity_rules import (
    OutageScope,
    RestartContext,
    RetryPermission,
    retry_permission,
)

ENDPOINT_IN_A = 1
ENDPOINT_IN_B = 2


class RecordingWriter:
    def __init__(self) -> None:
        self.records: dict[str, PersistedRecord] = {}
        self.dropped: list[str] = []

    def put(self, key: str, record: PersistedRecord) -> None:
        self.records[key] = record

    def drop(self, kind: str, key: str) -> None:
        assert kind == KeyedRequestRecord.KIND
        del self.records[key]
        self.dropped.append(key)


def request_class(name: str, deadline: float, **fields: object) -> RequestClass:
    return RequestClass(name, 1.0, 0.1, deadline, **fields)  # type: ignore[arg-type]


def settings() -> Settings:
    by_key = Idempotency.IDEMPOTENT_WITH_KEY
    return Settings(
        [
            request_class("long", 100.0, idempotency=Idempotency.NOT_IDEMPOTENT),
            request_class("short", 3.0, idempotency=by_key, idempotency_window=1.0),
            request_class(
                "local",
                3.0,
                idempotency=by_key,
                idempotency_scope=IdempotencyScope.ZONE,
                idempotency_window=2.0,
            ),
            request_class(
                "cell",
                3.0,
                idempotency=by_key,
                idempotency_scope=IdempotencyScope.CELL,
                idempotency_window=4.0,
            ),
        ],
        zone="b",
    )


def request_log(writer: RecordingWriter) -> KeyedRequestLog:
    requests = KeyedRequestLog(writer, Clock(), PersistedState(), settings())
    requests.zone_of_endpoint = {ENDPOINT_IN_A: "a", ENDPOINT_IN_B: "b"}.get
    return requests


def test_expired_requests_are_dropped_and_others_stay() -> None:
    writer = RecordingWriter()
    requests = request_log(writer)
    for key, class_name in (("k3", "short"), ("k4", "local"), ("k2", "long")):
        requests.record(key, class_name, ENDPOINT_IN_A)
    now = time.monotonic()
    requests.drop_expired(now)
    assert writer.dropped == []
    requests.drop_expired(now + 50.0)
    assert writer.dropped == ["k3", "k4"]
    assert list(writer.records) == ["k2"]


def test_record_has_the_scope_and_lifetime_of_its_class() -> None:
    writer = RecordingWriter()
    requests = request_log(writer)
    expected = {"long": ("", 100.0), "short": ("all", 4.0), "local": ("a", 5.0), "cell": ("", 7.0)}
    for class_name in expected:
        requests.record(class_name, class_name, ENDPOINT_IN_A)
    requests.record("of a class that the settings don't have", "other", ENDPOINT_IN_A)
    found = {}
    for key, record in writer.records.items():
        assert isinstance(record, KeyedRequestRecord)
        assert record.request_class == key
        found[key] = record.deduplication_scope, round(record.expires_at - record.recorded_at, 6)
    assert found == expected


@pytest.mark.parametrize("outage", OutageScope)
def test_request_deduplicated_only_by_one_cell_is_not_retried_after_a_restart(outage: OutageScope) -> None:
    """The record is written before the first attempt, so the cell that drops duplicates is not known."""
    writer = RecordingWriter()
    request_log(writer).record("k1", "cell", ENDPOINT_IN_A)
    record = writer.records["k1"]
    assert isinstance(record, KeyedRequestRecord)
    context = RestartContext(record.recorded_at + 1.0, outage)
    assert retry_permission(record, context) is RetryPermission.NEVER


def test_settings_update_applies_to_the_next_request() -> None:
    writer = RecordingWriter()
    requests = request_log(writer)
    requests.update_settings(Settings([request_class("new", 9.0)], zone="b"))
    requests.record("k1", "new", ENDPOINT_IN_A)
    requests.record("k2", "short", ENDPOINT_IN_A)
    assert list(writer.records) == ["k1"]


def test_request_is_recorded_once_and_its_record_removed_only_if_it_never_ran() -> None:
    writer = RecordingWriter()
    tracker = KeyedRequestTracker(request_log(writer), "k1", "short")
    attempt = object()
    assert tracker.on_attempt_start(1.0, 1) == b""
    assert tracker.on_attempt_start(1.0, 1) == b""
    assert list(writer.records) == ["k1"]
    tracker.on_attempt_end(attempt, AttemptStatus.CONNECT_FAILED)  # type: ignore[arg-type]
    assert writer.dropped == ["k1"]
    tracker.on_attempt_start(1.0, 1)
    tracker.on_attempt_end(attempt, AttemptStatus.RESET)  # type: ignore[arg-type]
    tracker.on_attempt_end(attempt, AttemptStatus.CONNECT_FAILED)  # type: ignore[arg-type]
    assert list(writer.records) == ["k1"]
    assert writer.dropped == ["k1"]


ATTEMPT = cast(UpstreamAttempt, object())


def test_a_later_request_that_was_not_executed_leaves_the_record_of_an_earlier_one() -> None:
    """Guards against a key that counts as new after a restart, because its last request was not executed."""
    writer = RecordingWriter()
    requests = request_log(writer)
    first = KeyedRequestTracker(requests, "k1", "local")
    first.on_attempt_start(1.0, ENDPOINT_IN_A)
    first.on_attempt_end(ATTEMPT, AttemptStatus.TIMEOUT)
    before = writer.records["k1"]
    later = KeyedRequestTracker(requests, "k1", "local")
    later.on_attempt_start(1.0, ENDPOINT_IN_A)
    later.on_attempt_end(ATTEMPT, AttemptStatus.CONNECT_FAILED)
    assert writer.records["k1"] == before and writer.dropped == []


def test_an_older_expiry_leaves_the_newer_record_of_the_same_key() -> None:
    """Guards against a record that is removed by the time limit of an earlier request with its key."""
    writer = RecordingWriter()
    requests = request_log(writer)
    requests.record("k1", "local", ENDPOINT_IN_A)
    first_expiry = requests.expiries[0][0]
    requests.record("k1", "local", ENDPOINT_IN_A)
    requests.drop_expired(first_expiry + 1e-6)
    assert list(writer.records) == ["k1"]
    requests.drop_expired(first_expiry + 10.0)
    assert not writer.records and not requests.active


def test_a_record_has_the_zone_of_the_endpoint_and_keeps_its_begin() -> None:
    """Guards against a group that is the proxy's, and a memory that counts from a repeat."""
    writer = RecordingWriter()
    requests = request_log(writer)
    first = requests.record("k1", "local", ENDPOINT_IN_A)
    assert first is not None and (first.deduplication_scope, first.endpoint_zone) == ("a", "a")
    again = requests.record("k1", "local", ENDPOINT_IN_A)
    assert again is not None and again.recorded_at == first.recorded_at
    assert again.deduplication_scope == "a" and again.expires_at >= first.expires_at
    elsewhere = requests.record("k1", "local", ENDPOINT_IN_B)
    assert elsewhere is not None and elsewhere.deduplication_scope == ""
    unknown = requests.record("k2", "local", 99)
    assert unknown is not None and unknown.deduplication_scope == ""


def test_a_record_of_an_earlier_version_allows_no_retry() -> None:
    """Guards against the zone of the proxy, which earlier versions wrote in the place of the endpoint's."""
    context = RestartContext(1001.0, OutageScope.PROCESS)
    record = KeyedRequestRecord("local", "a", 1000.0, 1005.0)
    assert retry_permission(record, context) is RetryPermission.NEVER
    assert retry_permission(replace(record, endpoint_zone="a"), context) is RetryPermission.WITHIN_SCOPE


class ModelClock(Clock):
    """Clock that the test moves."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall_time(self) -> float:
        return self.now


@dataclass
class ModelRequest:
    """Request with one attempt in the model."""

    key: str
    tracker: KeyedRequestTracker


@dataclass(frozen=True)
class Execution:
    """Execution of a key by an endpoint."""

    key: str
    zone: str
    process: int
    at: float


class KeyedRequestModel:
    """Model of a proxy that is killed and restarted with its store, and of the memory of two zones.

    Within one process a key is sent to the zone that it ran in, as clients that repeat a key in the same
    process are confined by nothing but their own repeats.
    """

    WINDOW_S = 2.0

    def __init__(self) -> None:
        self.clock = ModelClock()
        self.store = RecordingWriter()
        self.executions: list[Execution] = []
        self.process = 0
        self.zone_in_process: dict[str, str] = {}
        self.open: list[ModelRequest] = []
        self.restart()

    def restart(self) -> None:
        """Kill the process and start it again; the endpoints go on with the attempts in flight."""
        for request in self.open:
            self._execute(request.key)
        self.process += 1
        state = PersistedState()
        state.tables[KeyedRequestRecord.KIND] = dict(self.store.records)
        self.log = KeyedRequestLog(self.store, self.clock, state, settings())
        self.log.zone_of_endpoint = {ENDPOINT_IN_A: "a", ENDPOINT_IN_B: "b"}.get
        self.filter = RecoveryFilter(
            settings(),
            1,
            EndpointListOverride("p0", 1.0, 0.0),
            cast(RetryAfterSchedule, None),
            self.log,
            lambda: RestartContext(self.clock.now, OutageScope.PROCESS),
        )
        self.filter.phase = RecoveryPhase.STEADY
        self.zone_in_process.clear()
        self.open.clear()

    def start(self, key: str, zone: str) -> None:
        """Let a client send a request, and start its attempt in the zone if nothing forbids it."""
        request = cast(Request, SimpleNamespace(class_name="local", idempotency_key=key.encode()))
        tracker = self.filter.on_request(request, lambda: None)
        if not isinstance(tracker, KeyedRequestTracker):
            return
        earlier = tracker.earlier_execution
        zone = self.zone_in_process.get(key, zone)
        if earlier is not None and not self._is_allowed(earlier, zone):
            return
        tracker.on_attempt_start(1.0, ENDPOINT_IN_A if zone == "a" else ENDPOINT_IN_B)
        self.zone_in_process[key] = zone
        self.open.append(ModelRequest(key, tracker))

    @staticmethod
    def _is_allowed(earlier: EarlierExecution, zone: str) -> bool:
        """Return the decision of the policy's retry guard."""
        return earlier.remembered_for > WINDOW_MARGIN_S and earlier.zone in (None, zone)

    def end(self, executed: bool) -> None:
        """End the oldest attempt."""
        if not self.open:
            return
        ended = self.open.pop(0)
        if executed:
            self._execute(ended.key)
        status = AttemptStatus.RESET if executed else AttemptStatus.CONNECT_FAILED
        ended.tracker.on_attempt_end(ATTEMPT, status)

    def _execute(self, key: str) -> None:
        self.executions.append(Execution(key, self.zone_in_process[key], self.process, self.clock.now))

    def violations(self) -> list[tuple[Execution, Execution]]:
        """Return the executions by a later process that the endpoints of the first one do not drop."""
        return [
            (first, later)
            for first, later in combinations(self.executions, 2)
            if first.key == later.key
            and first.process != later.process
            and (first.zone != later.zone or later.at > first.at + self.WINDOW_S)
        ]


OPERATIONS = st.one_of(
    st.tuples(st.just("start"), st.sampled_from(["k1", "k2"]), st.sampled_from(["a", "b"])),
    st.tuples(st.just("end"), st.booleans()),
    st.tuples(st.just("restart")),
    st.tuples(st.just("wait"), st.sampled_from([0.1, 0.5, 1.0])),
)


@given(operations=st.lists(OPERATIONS, max_size=40))
def test_no_key_runs_in_two_zones_whatever_the_order_of_requests_kills_and_expiries(
    operations: list[tuple[Any, ...]],
) -> None:
    """Guards against a record that is lost, replaced or widened while its key may have run."""
    model = KeyedRequestModel()
    lifetime = 3.0 + KeyedRequestModel.WINDOW_S  # After it no client can repeat a key.
    begun_at = model.clock.now
    for name, *arguments in operations:
        if name == "wait":
            model.clock.now = min(model.clock.now + arguments[0], begun_at + lifetime)
        else:
            getattr(model, name)(*arguments)
    assert not model.violations()
