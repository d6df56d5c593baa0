"""Tests of the store.

They cover crashes, torn writes, damage, another owner, a full disk and a held lock, in this process and in
processes that are killed.
"""

from __future__ import annotations

import asyncio
import errno
import sys
import threading
import time
from pathlib import Path
from random import Random

import pytest

from harness.proxy_process import ROOT
from harness.recovery.crash_disk import RecordingDirectory
from harness.recovery.crash_points import OWNER, crash_faults, record_store_run, same_state
from harness.recovery.planted_bugs import BUGS_SEEN_ON_FAULTY_DISK, ORDERING_BUGS
from service_proxy.clock import Clock
from service_proxy.recovery import record_format, store
from service_proxy.recovery.async_store_writer import AsyncStoreWriter
from service_proxy.recovery.persisted_records import (
    EndpointRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    PersistedState,
    drop_operation,
    put_operation,
)
from service_proxy.recovery.record_format import FORMAT_VERSION, encode_line, scan_lines
from service_proxy.recovery.store import (
    Store,
    StoreContents,
    StoreHealth,
    StoreOwner,
    StoreRejectedError,
    read_store,
)
from service_proxy.recovery.store_directory import StoreDirectory


def test_crash_at_any_point_leaves_the_state_before_or_after_the_write() -> None:
    for seed in (1, 2):
        faults = list(crash_faults(*record_store_run(Store, seed, 20)))
        assert len(faults) > 300 and not any(faults)


@pytest.mark.parametrize("name", ORDERING_BUGS)
def test_each_planted_ordering_bug_is_found(name: str) -> None:
    assert any(crash_faults(*record_store_run(ORDERING_BUGS[name], 1, 20)))


def test_second_crash_leaves_the_state_before_or_after_the_write() -> None:
    recording, states = record_store_run(Store, 3, 12)
    second_recording, later_states = record_store_run(Store, 4, 12, recording.image())
    assert same_state(later_states[0], states[-1]) and not any(crash_faults(second_recording, later_states))


@pytest.mark.parametrize("faults", [1, 3])
def test_disk_that_fails_at_any_operation_loses_no_durable_record(faults: int) -> None:
    for at in range(0, 44, 4):
        recording, states = record_store_run(Store, 1, 12, fault_at=at, fault_count=faults)
        assert recording.durable_count == recording.submitted_count and not any(
            crash_faults(recording, states)
        )
    [broken] = BUGS_SEEN_ON_FAULTY_DISK.values()
    assert any(
        any(crash_faults(*record_store_run(broken, 1, 12, fault_at=at, fault_count=faults)))
        for at in range(0, 40, 4)
    )


def test_torn_log_gives_the_records_before_the_tear() -> None:
    recording, states = record_store_run(Store, 5, 12, min_log_bytes=1 << 20)
    name = next(name for name in recording.file_names() if name.startswith("log"))
    image = recording.image()
    log = image[name]
    line_ends = [at + 1 for at, byte in enumerate(log) if byte == 10]
    cut_positions = {*line_ends, *Random(5).choices(range(len(log)), k=200)}
    for at in sorted(cut_positions):
        contents = read_store(RecordingDirectory({**image, name: log[:at]}), OWNER)
        valid_lines = sum(line_end <= at for line_end in line_ends)
        expected = states[len(states) - len(line_ends) + max(0, valid_lines - 1)]
        assert same_state(contents.state, expected) and not contents.damage
        assert contents.torn_bytes == at - max([0, *(line_end for line_end in line_ends if line_end <= at)])


def test_damage_to_durable_records_is_reported_and_other_records_are_used() -> None:
    recording, _ = record_store_run(Store, 5, 12, min_log_bytes=1 << 20)
    log, snapshot = sorted(recording.file_names())
    image = recording.image()
    corrupted = bytearray(image[log])
    corrupted[corrupted.index(b"\n") + 30] ^= 4
    contents = read_store(RecordingDirectory({**image, log: bytes(corrupted)}), OWNER)
    assert "valid records after a damaged one" in contents.damage[0]
    assert len(contents.state) > 3  # The other records are used.
    contents = read_store(RecordingDirectory({**image, snapshot: image[snapshot][:-4]}), OWNER)
    assert contents.damage == [f"{snapshot} is not whole"]
    undamaged = read_store(RecordingDirectory(image), OWNER)
    assert same_state(contents.state, undamaged.state)  # Only the end of the file was lost, and no record.
    # The next generation replaces both files.
    second_recording = RecordingDirectory({**image, snapshot: image[snapshot][:-4]})
    new = Store(second_recording, OWNER)
    new.start_generation(read_store(second_recording, OWNER), 1.0)
    new.append([put_operation("n1", MaintenanceRecord(1.0))], 1.0)
    assert read_store(second_recording, OWNER).state.tables["maintenance"]["n1"] == MaintenanceRecord(1.0)
    assert sorted(second_recording.file_names()) == ["log-00000002", "snapshot-00000002"]


def test_line_of_another_file_or_position_is_not_read() -> None:
    lines = [encode_line(7, number, number, {"put": "source", "key": str(number)}) for number in range(3)]
    assert len(scan_lines(b"".join(lines), 7).records) == 3
    assert scan_lines(b"".join(lines), 8).records == []
    missing = scan_lines(lines[0] + lines[2], 7)
    # No line proves that the second record ever existed.
    assert (len(missing.records), missing.records_after_damage) == (1, [])
    broken = scan_lines(lines[0] + b"1" + lines[1][1:] + lines[2], 7)
    assert (len(broken.records), len(broken.records_after_damage)) == (1, 1)
    same_batch = [encode_line(7, number, 1, {"put": "source", "key": str(number)}) for number in (1, 2)]
    torn_batch = scan_lines(lines[0] + b"1" + same_batch[0][1:] + same_batch[1], 7)
    # Both records were still being written.
    assert (len(torn_batch.records), torn_batch.records_after_damage) == (1, [])
    with pytest.raises(record_format.RecordTooLongError):
        encode_line(1, 0, 0, {"put": "x" * record_format.MAX_LINE_BYTES})


def test_another_proxys_store_is_rejected_and_unchanged() -> None:
    recording, _ = record_store_run(Store, 1, 2)
    before = recording.image()
    for owner, text in (
        (StoreOwner("p1", "m0"), "written by p0, and this is p1"),
        (StoreOwner("p0", "m1"), "machine"),
    ):
        with pytest.raises(StoreRejectedError, match=text):
            read_store(recording, owner)
    # A machine without an identifier can't be compared.
    assert read_store(recording, StoreOwner("p0", "")).generation
    assert before == recording.image()


def test_newer_format_is_rejected_and_an_older_one_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    recording, states = record_store_run(Store, 1, 4)
    image = recording.image()
    monkeypatch.setattr(store, "FORMAT_VERSION", FORMAT_VERSION + 1)
    with pytest.raises(StoreRejectedError, match="older than this program reads"):
        read_store(RecordingDirectory(image), OWNER)
    monkeypatch.setitem(
        store.MIGRATIONS, FORMAT_VERSION, lambda record: None if record.get("put") == "learned" else record
    )
    contents = read_store(RecordingDirectory(image), OWNER)
    assert (
        contents.state.tables["server"] == states[-1].tables["server"]
        and not contents.state.tables["learned"]
    )
    newer = RecordingDirectory(image)
    Store(newer, OWNER).start_generation(contents, 1.0)
    monkeypatch.setattr(store, "FORMAT_VERSION", FORMAT_VERSION)
    with pytest.raises(
        StoreRejectedError,
        match=f"format {FORMAT_VERSION + 1}, and this program reads up to {FORMAT_VERSION}",
    ):
        read_store(newer, OWNER)


def test_kinds_are_bounded_and_eviction_of_protective_records_is_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(KeyedRequestRecord, "MAX_COUNT", 3)
    state = PersistedState()
    for number in range(5):
        state.apply(put_operation(f"k{number}", KeyedRequestRecord("canje", "all", 1.0, 100.0 - number)))
    assert list(state.tables["keyed"]) == ["k2", "k3", "k4"] and state.evicted_until == {"keyed": 100.0}
    state.apply(put_operation("n", EndpointRecord("10.0.0.1:80")))
    state.apply({"put": "of a newer version", "key": "x"})
    assert state.unknown_records == 1
    copy = PersistedState()
    for record in state.operations():
        copy.apply(record)
    assert same_state(copy, state)
    for key in ("k3", "k4"):
        state.apply(drop_operation("keyed", key))
    assert list(state.tables["keyed"]) == ["k2"] and state.evicted_until == {"keyed": 100.0}
    server = {"put": "server", "key": "n"}
    for malformed in (server, {**server, "address": 5}, {"put": "server"}):
        with pytest.raises(ValueError):
            state.apply(malformed)


def open_writer(path: Path, name: str = "p0") -> AsyncStoreWriter:
    return AsyncStoreWriter(StoreDirectory(path), StoreOwner(name, "m"), Clock())


def test_second_process_reads_the_store_and_writes_once_the_lock_is_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("service_proxy.recovery.async_store_writer.RETRY_INTERVAL_S", 0.05)
    first = open_writer(tmp_path)
    first.start()
    first.put("n1", MaintenanceRecord(1.0, "fan"))
    assert first.wait_until_durable(5)
    second = open_writer(tmp_path)
    second.start()
    assert second.health is StoreHealth.BUSY and "n1" in second.state.tables["maintenance"]
    second.put("n2", MaintenanceRecord(2.0))
    first.put("n3", MaintenanceRecord(3.0))
    assert not second.wait_until_durable(0.2)
    first.stop()
    assert second.wait_until_durable(5)
    # The store was read again under the lock before the first write.
    assert set(second.state.tables["maintenance"]) == {"n1", "n3"}
    second.stop()
    assert set(read_store(StoreDirectory(tmp_path), None).state.tables["maintenance"]) == {"n1", "n2", "n3"}


def test_slow_or_full_disk_does_not_block_callers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("service_proxy.recovery.async_store_writer.RETRY_INTERVAL_S", 0.05)
    allow_fsync = threading.Event()
    synced = threading.Event()
    is_full = [False]

    class SlowDirectory(StoreDirectory):
        def fsync(self, file: int) -> None:
            synced.set()
            allow_fsync.wait(10)
            super().fsync(file)

        def write(self, file: int, data: bytes) -> None:
            if is_full[0]:
                raise OSError(errno.ENOSPC, "No space left on device")
            super().write(file, data)

    store_writer = AsyncStoreWriter(SlowDirectory(tmp_path), OWNER, Clock())
    store_writer.start()
    assert synced.wait(5)
    started_at = time.monotonic()
    for number in range(2000):
        store_writer.put(f"n{number % 50}", MaintenanceRecord(float(number)))
    assert (
        time.monotonic() - started_at < 1.0
        and len(store_writer.pending) <= 50
        and not store_writer.wait_until_durable(0)
    )
    allow_fsync.set()
    assert store_writer.wait_until_durable(5)
    is_full[0] = True
    store_writer.put("n1", MaintenanceRecord(9.0))
    deadline = time.monotonic() + 5
    while store_writer.health is not StoreHealth.FAILING and time.monotonic() < deadline:
        store_writer.wait_until_durable(0.01)
    assert "No space left" in store_writer.health_detail
    is_full[0] = False
    assert store_writer.wait_until_durable(5) and store_writer.health is StoreHealth.OPEN
    store_writer.stop()
    contents = read_store(StoreDirectory(tmp_path), OWNER)
    assert len(contents.state.tables["maintenance"]) == 50
    assert contents.state.tables["maintenance"]["n1"] == MaintenanceRecord(9.0)


def test_unusable_directory_does_not_stop_the_process(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    store_writer = open_writer(tmp_path / "file" / "store")
    assert store_writer.health is StoreHealth.FAILING
    other = open_writer(tmp_path / "p0")
    other.start()
    other.put("n1", MaintenanceRecord(1.0))
    assert other.wait_until_durable(5)
    other.stop()
    rejected = open_writer(tmp_path / "p0", "p9")
    assert rejected.health is StoreHealth.REJECTED
    assert "give each proxy a folder of its own" in rejected.health_detail
    rejected.start()
    rejected.put("n2", MaintenanceRecord(2.0))
    rejected.stop()
    assert set(read_store(StoreDirectory(tmp_path / "p0"), None).state.tables["maintenance"]) == {"n1"}


def test_processes_killed_while_writing_lose_no_durable_record(tmp_path: Path) -> None:
    """Several processes run at once, each with a store of its own."""

    async def run_and_kill(number: int, duration: float) -> tuple[int, int]:
        """Return the count that the process reported as durable, and the count in the store."""
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harness.recovery.store_writer",
            str(tmp_path / f"p{number}"),
            f"p{number}",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        assert program.stdout is not None
        durable = 0
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration
        while loop.time() < ends_at or not durable:
            line = (await program.stdout.readline()).split()
            assert line
            durable = int(line[1])
        program.kill()
        rest = (await program.stdout.read()).decode().splitlines()
        await program.wait()
        for text in rest:
            if text.count(" ") == 1 and text.split()[1].isdigit():
                durable = max(durable, int(text.split()[1]))
        contents = read_store(StoreDirectory(tmp_path / f"p{number}"), None)
        assert not contents.damage
        return durable, int(contents.state.tables["source"]["count"].version)  # type: ignore[union-attr]

    async def test() -> None:
        random = Random(1)
        for _ in range(3):
            runs = (run_and_kill(number, random.uniform(0.05, 0.4)) for number in range(4))
            for durable, stored in await asyncio.gather(*runs):
                assert stored >= durable > 0

    asyncio.run(test())


def test_generation_continues_from_the_contents_that_were_read() -> None:
    recording = RecordingDirectory()
    opened = Store(recording, OWNER)
    opened.start_generation(StoreContents(generation=41), 5.0)
    assert read_store(recording, OWNER).generation == 42
