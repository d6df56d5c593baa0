"""The validity rules, and the command that shows what they say of a store."""

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
A = frozenset("a")


def all_facts(at: float) -> list[PersistedRecord]:
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


@pytest.mark.parametrize("loss", OutageScope)
@pytest.mark.parametrize("age", [-86_400.0, 0.0, 7 * 86_400.0])
def test_what_must_never_be_trusted_and_what_must_always_hold(loss: OutageScope, age: float) -> None:
    """Whatever happened, however old, whatever the clock says."""
    order = [Validity.IGNORED, Validity.HINT, Validity.TRUSTED]
    for seen in (0.0, NOW, NOW + 3600):
        for stale in (False, True):
            situation = RestartContext(NOW, loss, A, seen, is_old_copy=stale)
            for fact in all_facts(NOW - age):
                trust = assess(fact, situation).validity
                if isinstance(fact, MaintenanceRecord | KeyedRequestRecord):
                    assert trust is Validity.TRUSTED
                if isinstance(fact, PerformanceRecord) and (
                    loss is not OutageScope.PROCESS or age or seen > NOW or stale
                ):
                    assert trust is Validity.IGNORED
                if isinstance(fact, MemberRecord):
                    assert trust is not Validity.TRUSTED  # nobody lives by a store's word
                if age < 0 and not isinstance(fact, MaintenanceRecord | KeyedRequestRecord | BootRecord):
                    assert trust is not Validity.TRUSTED  # a fact from the future
                if isinstance(fact, EndpointRecord) and (stale or age or loss is not OutageScope.PROCESS):
                    assert trust is Validity.HINT  # an address, to be probed
                # What can't be told is held for the worst.
                unknown = assess(
                    fact, RestartContext(NOW, OutageScope.UNKNOWN, A, seen, is_old_copy=stale)
                ).validity
                assert order.index(unknown) <= order.index(trust) or trust is unknown


def test_request_that_may_have_run_is_retried_only_where_its_key_is_remembered() -> None:
    fact = KeyedRequestRecord("reserva", "a", NOW - 1, NOW + 5)
    cases = {
        OutageScope.PROCESS: RetryPermission.WITHIN_SCOPE,
        OutageScope.MACHINE: RetryPermission.WITHIN_SCOPE,
        OutageScope.ZONE: RetryPermission.NEVER,
        OutageScope.FLEET: RetryPermission.NEVER,
        OutageScope.UNKNOWN: RetryPermission.NEVER,
    }
    for loss, expected in cases.items():
        lost = A if loss is OutageScope.ZONE else frozenset()
        assert retry_permission(fact, RestartContext(NOW, loss, lost)) is expected
        assert retry_permission(fact, RestartContext(NOW + 6, loss, lost)) is RetryPermission.EXPIRED
        # A clock that can't be believed ends nothing.
        assert (
            retry_permission(fact, RestartContext(NOW + 6, loss, lost, NOW + 3600)) is RetryPermission.NEVER
        )
        assert retry_permission(fact, RestartContext(0.0, loss, lost)) is RetryPermission.NEVER
    assert (
        retry_permission(fact, RestartContext(NOW, OutageScope.ZONE, frozenset("b")))
        is RetryPermission.WITHIN_SCOPE
    )
    shared = KeyedRequestRecord("reserva", "all", NOW - 1, NOW + 5)
    assert (
        retry_permission(shared, RestartContext(NOW, OutageScope.PROCESS, frozenset("b")))
        is RetryPermission.NEVER
    )
    assert (
        retry_permission(
            KeyedRequestRecord("canje", "", NOW, NOW + 5), RestartContext(NOW, OutageScope.PROCESS)
        )
        is RetryPermission.NEVER
    )


def test_command_shows_verifies_and_forgets(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = StoreDirectory(tmp_path / "p0")
    folder.create_directory()
    store = Store(folder, StoreOwner("p0", "m"))
    store.start_generation(StoreContents(), NOW - 60)
    store.append([put_operation("x", fact) for fact in all_facts(NOW - 60)], NOW - 60)
    store.close()
    where = str(folder.path)
    assert main(["show", where, "--loss", "fleet"], NOW) == 0
    text = capsys.readouterr().out
    assert "everybody did" in text and "maintenance x                   trusted" in text
    assert "learned     x                   ignored" in text
    assert main(["show", where, "--json"], 0.0) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["clock_went_back"]
    assert {row["repeat"] for row in shown["facts"] if row["kind"] == "keyed"} == {"never"}
    assert main(["verify", where]) == 0 and "7 facts" in capsys.readouterr().out

    held = StoreDirectory(folder.path)
    assert held.lock()
    assert main(["forget", where, "maintenance", "x"], NOW) == 1
    assert "a running process has" in capsys.readouterr().err
    held.unlock()
    assert main(["forget", where, "maintenance", "x"], NOW) == 0
    assert main(["forget", where, "maintenance", "x"], NOW) == 1
    assert main(["forget", where, "wish", "x"], NOW) == 1
    assert main(["show", str(tmp_path / "nowhere")]) == 1 and main(["verify", str(tmp_path)]) == 1
    assert capsys.readouterr().err.count("\n") == 4
    snapshot = next(folder.path.glob("snapshot-*"))
    snapshot.write_bytes(snapshot.read_bytes()[:-9])
    assert main(["verify", where]) == 3 and "is not whole" in capsys.readouterr().out
