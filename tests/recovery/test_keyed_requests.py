"""Tests of the records of keyed requests, from the first attempt until no client can retry the request."""

from __future__ import annotations

import time

import pytest

from service_proxy.clock import Clock
from service_proxy.policy.events import AttemptStatus
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, RequestClass, Settings
from service_proxy.recovery.keyed_requests import KeyedRequestLog, KeyedRequestTracker
from service_proxy.recovery.persisted_records import KeyedRequestRecord, PersistedRecord, PersistedState
from service_proxy.recovery.validity_rules import (
    OutageScope,
    RestartContext,
    RetryPermission,
    retry_permission,
)


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
        zone="a",
    )


def request_log(writer: RecordingWriter) -> KeyedRequestLog:
    return KeyedRequestLog(writer, Clock(), PersistedState(), settings())


def test_expired_requests_are_dropped_and_others_stay() -> None:
    writer = RecordingWriter()
    requests = request_log(writer)
    for key, class_name in (("k3", "short"), ("k4", "local"), ("k2", "long")):
        requests.record(key, class_name)
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
        requests.record(class_name, class_name)
    requests.record("of a class that the settings don't have", "other")
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
    request_log(writer).record("k1", "cell")
    record = writer.records["k1"]
    assert isinstance(record, KeyedRequestRecord)
    context = RestartContext(record.recorded_at + 1.0, outage)
    assert retry_permission(record, context) is RetryPermission.NEVER


def test_settings_update_applies_to_the_next_request() -> None:
    writer = RecordingWriter()
    requests = request_log(writer)
    requests.update_settings(Settings([request_class("new", 9.0)], zone="b"))
    requests.record("k1", "new")
    requests.record("k2", "short")
    assert list(writer.records) == ["k1"]


def test_request_is_recorded_once_and_its_record_removed_only_if_it_never_ran() -> None:
    writer = RecordingWriter()
    tracker = KeyedRequestTracker(request_log(writer), "k1", "short")
    attempt = object()
    assert tracker.on_attempt_start(1.0) == b""
    assert tracker.on_attempt_start(1.0) == b""
    assert list(writer.records) == ["k1"]
    tracker.on_attempt_end(attempt, AttemptStatus.CONNECT_FAILED)  # type: ignore[arg-type]
    assert writer.dropped == ["k1"]
    tracker.on_attempt_start(1.0)
    tracker.on_attempt_end(attempt, AttemptStatus.RESET)  # type: ignore[arg-type]
    tracker.on_attempt_end(attempt, AttemptStatus.CONNECT_FAILED)  # type: ignore[arg-type]
    assert list(writer.records) == ["k1"]
    assert writer.dropped == ["k1"]
