"""Tests that a store of the former package name is read, and is written again byte for byte.

The fixture was written by version 603f59b (package `granitepoint`). Its generation 7 has a snapshot with one
record of each kind and an eviction, and a log with two batches that add, replace and drop records.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

from harness.recovery.crash_disk import RecordingDirectory
from harness.recovery.crash_points import same_state
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
    PersistedState,
    drop_operation,
    put_operation,
)
from service_proxy.recovery.store import Store, StoreContents, StoreOwner, read_store
from service_proxy.recovery.store_directory import StoreDirectory
from service_proxy.recovery.validity_rules import VALIDITY_RULES

FIXTURE = Path(__file__).parent / "store_format_1"
OWNER = StoreOwner("p0", "0123456789abcdef0123456789abcdef")
GENERATION = 7
WRITTEN_AT = 1764000010.0
EVICTED_UNTIL = 1764000123.5

SNAPSHOT_RECORDS: list[tuple[str, PersistedRecord]] = [
    ("", BootRecord(3, 1764000000.25, "machine-a", "boot-1")),
    ("discovery", EndpointSourceRecord(41, 1764000001.5)),
    (
        "n1",
        EndpointRecord(
            "10.0.0.1:8081",
            zone="a",
            kind="m2",
            cell=2,
            weight=0.5,
            is_draining=True,
            started_at=1763990000.125,
            recorded_at=1764000002.0,
        ),
    ),
    ("n2", MaintenanceRecord(1763999999.0, "fan", is_returning=True)),
    ("p1", MemberRecord("portal", "b", process_run=7, incarnation=2, recorded_at=1764000003.0)),
    ("n1", PerformanceRecord(typical_latency=0.25, concurrency_limit=8.0, recorded_at=1764000004.0)),
    ("5f3c9a01", KeyedRequestRecord("canje", "all", recorded_at=1764000005.0, expires_at=1764000035.0)),
]
FIRST_BATCH: list[tuple[str, PersistedRecord]] = [
    ("", BootRecord(4, 1764000011.0, "machine-a", "boot-2", ended_at=1764000099.0)),
    ("n3", EndpointRecord("10.0.0.3:8081")),
]
SECOND_BATCH: list[tuple[str, PersistedRecord]] = [
    ("discovery", EndpointSourceRecord(42, 1764000012.0)),
    ("n4", MaintenanceRecord(1764000012.0, "fan é")),
    ("p2", MemberRecord("portal", "", process_run=9, incarnation=1, recorded_at=1764000012.5)),
    ("n3", PerformanceRecord(typical_latency=0.5, concurrency_limit=2.0, recorded_at=1764000013.0)),
    ("5f3c9a02", KeyedRequestRecord("reserva", "", recorded_at=1764000014.0, expires_at=1764000044.0)),
]
DROPPED = ("maintenance", "n2")


def expected_state() -> PersistedState:
    state = PersistedState(evicted_until={"keyed": EVICTED_UNTIL})
    for key, record in (*SNAPSHOT_RECORDS, *FIRST_BATCH, *SECOND_BATCH):
        state.tables[record.KIND][key] = record
    kind, key = DROPPED
    del state.tables[kind][key]
    return state


def test_store_of_the_former_version_is_read_record_by_record() -> None:
    contents = read_store(StoreDirectory(FIXTURE), OWNER)
    assert not contents.damage
    assert not contents.torn_bytes
    assert contents.owner == OWNER
    assert (contents.generation, contents.started_at) == (GENERATION, WRITTEN_AT)
    assert {kind for kind, table in contents.state.tables.items() if table} == set(RECORD_TYPES)
    assert contents.state.tables == expected_state().tables
    assert contents.state.evicted_until == {"keyed": EVICTED_UNTIL}
    assert contents.state.unknown_records == 0
    assert contents.state.latest_time == 1764000099.0


def test_same_content_is_written_byte_for_byte() -> None:
    state = PersistedState()
    state.apply({"blind": "keyed", "key": "", "until": EVICTED_UNTIL})
    for key, record in SNAPSHOT_RECORDS:
        state.apply(put_operation(key, record))
    directory = RecordingDirectory()
    store = Store(directory, OWNER)
    store.start_generation(StoreContents(state=state, generation=GENERATION - 1), WRITTEN_AT)
    store.append([put_operation(key, record) for key, record in FIRST_BATCH], WRITTEN_AT)
    second_batch = [put_operation(key, record) for key, record in SECOND_BATCH]
    store.append([*second_batch, drop_operation(*DROPPED)], WRITTEN_AT)
    store.close()
    assert directory.image() == {file.name: file.read_bytes() for file in FIXTURE.iterdir()}


def test_next_generation_of_the_former_versions_store_has_the_same_state(tmp_path: Path) -> None:
    directory = StoreDirectory(Path(shutil.copytree(FIXTURE, tmp_path / "p0")))
    store = Store(directory, OWNER)
    store.start_generation(read_store(directory, OWNER), 1764000200.0)
    store.close()
    assert sorted(directory.file_names()) == ["log-00000008", "snapshot-00000008"]
    assert same_state(read_store(directory, OWNER).state, expected_state())


def test_command_shows_the_former_versions_store_under_the_former_field_names(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["verify", str(FIXTURE)]) == 0
    assert capsys.readouterr().out == (
        "format 1, generation 7, 1097 + 1032 bytes\n"
        "11 facts: 1 boot, 1 source, 2 server, 1 maintenance, 2 member, 2 learned, 2 keyed\n"
    )
    assert main(["show", str(FIXTURE), "--json"], WRITTEN_AT) == 0
    report = json.loads(capsys.readouterr().out)
    facts = report.pop("facts")
    assert report == {
        "generation": GENERATION,
        "written": WRITTEN_AT,
        "torn_bytes": 0,
        "damaged": [],
        "loss": "not known yet",
        "clock_went_back": True,
        "blind_until": {"keyed": EVICTED_UNTIL},
    }
    fields = ["kind", "name"], ["trust", "why"]
    assert [list(fact) for fact in facts] == [
        [*fields[0], "count", "at", "machine", "boot", "ended", *fields[1]],
        [*fields[0], "version", "at", *fields[1]],
        *[
            [
                *fields[0],
                "address",
                "zone",
                "server_kind",
                "group",
                "weight",
                "draining",
                "since",
                "at",
                *fields[1],
            ]
        ]
        * 2,
        [*fields[0], "at", "reason", "back", *fields[1]],
        *[[*fields[0], "tier", "zone", "run", "life", "at", *fields[1]]] * 2,
        *[[*fields[0], "pace", "window", "at", *fields[1]]] * 2,
        *[[*fields[0], "cls", "group", "at", "until", *fields[1], "repeat"]] * 2,
    ]
    assert [(fact["kind"], fact["name"]) for fact in facts] == [
        (kind, name) for kind, table in expected_state().tables.items() for name in table
    ]
    assert [fact["server_kind"] for fact in facts if fact["kind"] == "server"] == ["m2", ""]


def test_command_shows_the_reason_of_a_maintenance_and_the_reason_of_its_validity(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["show", str(FIXTURE), "--json"], WRITTEN_AT) == 0
    facts = json.loads(capsys.readouterr().out)["facts"]
    (fact,) = (fact for fact in facts if fact["kind"] == "maintenance")
    assert fact["reason"] == "fan é"
    assert fact["why"] == VALIDITY_RULES["maintenance"].reason
    assert main(["show", str(FIXTURE)], WRITTEN_AT) == 0
    text = capsys.readouterr().out
    assert "reason=fan é" in text and "server_kind=m2" in text
