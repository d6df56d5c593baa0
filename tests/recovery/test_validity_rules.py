"""Tests of the validity rules, and of the command that applies them to a store."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from service_proxy.recovery.__main__ import main
from service_proxy.recovery.persisted_records import (
    RECORD_TYPES,
    BootRecord,
    EndpointRecord,
    EndpointSourceRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    MemberRecord,
    PerformanceRecord,
    PersistedRecord,
    put_operation,
)
from service_proxy.recovery.store import Store, StoreContents, StoreOwner
from service_proxy.recovery.store_directory import StoreDirectory
from service_proxy.recovery.validity_rules import (
    VALIDITY_RULES,
    OutageScope,
    RestartContext,
    RetryPermission,
    Validity,
    assess,
    retry_permission,
)

NOW = 1_800_000_000.0
ZONE_A = frozenset("a")


def all_records(at: float) -> list[PersistedRecord]:
    return [
        BootRecord(3, at),
        EndpointSourceRecord(41, at),
        EndpointRecord("10.0.0.1:80", "a", recorded_at=at),
        MaintenanceRecord(at, "fan"),
        MemberRecord("portal", "a", 1, 1, at),
        PerformanceRecord(0.2, 8.0, at),
        KeyedRequestRecord("canje", "all", at, at + 30.0),
    ]


def test_each_kind_has_a_rule_and_a_reason() -> None:
    assert set(VALIDITY_RULES) == set(RECORD_TYPES)
    assert all(row.reason for row in VALIDITY_RULES.values())


@pytest.mark.parametrize("outage", OutageScope)
@pytest.mark.parametrize("age", [-86_400.0, 0.0, 7 * 86_400.0])
def test_records_are_never_or_always_trusted_where_their_kind_requires_it(
    outage: OutageScope, age: float
) -> None:
    """Checks each kind of record after any outage, at any age and with any clock."""
    degrees = [Validity.IGNORED, Validity.HINT, Validity.TRUSTED]
    for latest_known_time in (0.0, NOW, NOW + 3600):
        for is_old_copy in (False, True):
            context = RestartContext(NOW, outage, ZONE_A, latest_known_time, is_old_copy=is_old_copy)
            for record in all_records(NOW - age):
                validity = assess(record, context).validity
                if isinstance(record, MaintenanceRecord | KeyedRequestRecord):
                    assert validity is Validity.TRUSTED
                if isinstance(record, PerformanceRecord) and (
                    outage is not OutageScope.PROCESS or age or latest_known_time > NOW or is_old_copy
                ):
                    assert validity is Validity.IGNORED
                if isinstance(record, MemberRecord):
                    assert validity is not Validity.TRUSTED  # A store never shows that a member is alive.
                if age < 0 and not isinstance(record, MaintenanceRecord | KeyedRequestRecord | BootRecord):
                    assert validity is not Validity.TRUSTED  # The record is ahead of the clock.
                if isinstance(record, EndpointRecord) and (
                    is_old_copy or age or outage is not OutageScope.PROCESS
                ):
                    assert validity is Validity.HINT  # The address must be checked.
                # While the outage is unknown, the widest outage is assumed.
                unknown = assess(
                    record,
                    RestartContext(
                        NOW, OutageScope.UNKNOWN, ZONE_A, latest_known_time, is_old_copy=is_old_copy
                    ),
                ).validity
                assert degrees.index(unknown) <= degrees.index(validity) or validity is unknown


def test_request_that_may_have_run_is_retried_only_where_a_duplicate_is_dropped() -> None:
    record = KeyedRequestRecord("reserva", "a", NOW - 1, NOW + 5, "a")
    cases = {
        OutageScope.PROCESS: RetryPermission.WITHIN_SCOPE,
        OutageScope.MACHINE: RetryPermission.WITHIN_SCOPE,
        OutageScope.ZONE: RetryPermission.NEVER,
        OutageScope.FLEET: RetryPermission.NEVER,
        OutageScope.UNKNOWN: RetryPermission.NEVER,
    }
    for outage, expected in cases.items():
        affected_zones = ZONE_A if outage is OutageScope.ZONE else frozenset()
        assert retry_permission(record, RestartContext(NOW, outage, affected_zones)) is expected
        assert (
            retry_permission(record, RestartContext(NOW + 6, outage, affected_zones))
            is RetryPermission.EXPIRED
        )
        # No record expires while the clock can't be trusted.
        assert (
            retry_permission(record, RestartContext(NOW + 6, outage, affected_zones, NOW + 3600))
            is RetryPermission.NEVER
        )
        assert retry_permission(record, RestartContext(0.0, outage, affected_zones)) is RetryPermission.NEVER
    assert (
        retry_permission(record, RestartContext(NOW, OutageScope.ZONE, frozenset("b")))
        is RetryPermission.WITHIN_SCOPE
    )
    all_endpoints_record = KeyedRequestRecord("reserva", "all", NOW - 1, NOW + 5)
    assert (
        retry_permission(all_endpoints_record, RestartContext(NOW, OutageScope.PROCESS, frozenset("b")))
        is RetryPermission.NEVER
    )
    assert (
        retry_permission(
            KeyedRequestRecord("canje", "", NOW, NOW + 5), RestartContext(NOW, OutageScope.PROCESS)
        )
        is RetryPermission.NEVER
    )


def test_command_shows_and_verifies_a_store_and_removes_a_record(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    directory = StoreDirectory(tmp_path / "p0")
    directory.create_directory()
    store = Store(directory, StoreOwner("p0", "m"))
    store.start_generation(StoreContents(), NOW - 60)
    store.append([put_operation("x", record) for record in all_records(NOW - 60)], NOW - 60)
    store.close()
    store_path = str(directory.path)
    assert main(["show", store_path, "--loss", "fleet"], NOW) == 0
    text = capsys.readouterr().out
    assert "everybody did" in text and "maintenance x                   trusted" in text
    assert "learned     x                   ignored" in text
    assert main(["show", store_path, "--json"], 0.0) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["clock_went_back"]
    assert {row["repeat"] for row in shown["facts"] if row["kind"] == "keyed"} == {"never"}
    assert main(["verify", store_path]) == 0 and "7 facts" in capsys.readouterr().out

    other = StoreDirectory(directory.path)
    assert other.lock()
    assert main(["forget", store_path, "maintenance", "x"], NOW) == 1
    assert "a running process has" in capsys.readouterr().err
    other.unlock()
    assert main(["forget", store_path, "maintenance", "x"], NOW) == 0
    assert main(["forget", store_path, "maintenance", "x"], NOW) == 1
    assert main(["forget", store_path, "wish", "x"], NOW) == 1
    assert main(["show", str(tmp_path / "nowhere")]) == 1 and main(["verify", str(tmp_path)]) == 1
    assert capsys.readouterr().err.count("\n") == 4
    snapshot = next(directory.path.glob("snapshot-*"))
    snapshot.write_bytes(snapshot.read_bytes()[:-9])
    assert main(["verify", store_path]) == 3 and "is not whole" in capsys.readouterr().out
