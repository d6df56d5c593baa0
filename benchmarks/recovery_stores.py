"""Comparison of this program's store with SQLite: their costs, and what they read from corrupted files."""

from __future__ import annotations

import contextlib
import json
import resource
import sqlite3
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import median
from typing import NamedTuple

from benchmarks.report import BenchmarkReport
from service_proxy.recovery.persisted_records import (
    EndpointRecord,
    KeyedRequestRecord,
    PersistedRecord,
    PersistedState,
    put_operation,
)
from service_proxy.recovery.store import Store, StoreContents, StoreOwner, StoreRejectedError, read_store
from service_proxy.recovery.store_directory import StoreDirectory

OWNER = StoreOwner("p0", "m0")
BATCH = 20  # Number of records that become durable together.
LOADING_BATCH = 500  # Records per batch while a store is filled.
MAX_READ_S = 2.0  # Longest accepted time to read a whole store.

KeyedRecord = tuple[str, PersistedRecord]


def sample_records(count: int) -> list[KeyedRecord]:
    """Return `count` endpoint records and `count` keyed-request records."""
    records: list[KeyedRecord] = []
    for number in range(count):
        address = f"10.0.{number >> 8}.{number & 255}:8081"
        records.append((f"n{number}", EndpointRecord(address, "abc"[number % 3], "m2", recorded_at=1.0)))
    request = KeyedRequestRecord("canje", "all", 1.0, 9.0)
    return records + [(f"{number:032x}", request) for number in range(count)]


class StoredRecords(NamedTuple):
    """Records as text, and whether the store reports that its content is complete."""

    records: dict[str, str]
    is_complete: bool


class CountingDirectory(StoreDirectory):
    """Store directory that counts syncs and written bytes."""

    def __init__(self, path: Path) -> None:
        super().__init__(path)
        self.sync_count = 0
        self.byte_count = 0

    def fsync(self, file: int) -> None:
        """Count the sync and execute it."""
        self.sync_count += 1
        super().fsync(file)

    def write(self, file: int, data: bytes) -> None:
        """Count the bytes and write them."""
        self.byte_count += len(data)
        super().write(file, data)

    def fsync_directory(self) -> None:
        """Count the sync and execute it."""
        self.sync_count += 1
        super().fsync_directory()


class WillowwingStore:
    """Store of this program."""

    name = "ours"

    def __init__(self, path: Path) -> None:
        self.directory = CountingDirectory(path)
        self.directory.create_directory()
        self.store = Store(self.directory, OWNER)
        self.store.start_generation(StoreContents(), 0.0)

    @property
    def sync_count(self) -> int:
        """Return the number of syncs so far."""
        return self.directory.sync_count

    def append(self, batch: list[KeyedRecord]) -> None:
        """Write a batch durably."""
        self.store.append([put_operation(key, record) for key, record in batch], 0.0)

    def close(self) -> None:
        """Close the store."""
        self.store.close()

    @staticmethod
    def load(path: Path) -> StoreContents:
        """Read the records and check their types."""
        return read_store(StoreDirectory(path), OWNER)

    @staticmethod
    def read(path: Path) -> StoredRecords:
        """Read the records as text."""
        contents = WillowwingStore.load(path)
        records = {
            f"{kind} {key}": json.dumps(put_operation(key, record))
            for kind, table in contents.state.tables.items()
            for key, record in table.items()
        }
        return StoredRecords(records, not contents.damage)


class SqliteStore:
    """SQLite store as its documentation recommends for durability: a write-ahead log, synced per commit."""

    name = "sqlite"

    def __init__(self, path: Path) -> None:
        path.mkdir(exist_ok=True)
        self.database = sqlite3.connect(path / "facts.db", isolation_level=None)
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=FULL")
        self.database.execute("CREATE TABLE facts (place TEXT PRIMARY KEY, said TEXT) WITHOUT ROWID")
        # Syncs of the write-ahead log, one per commit. A checkpoint syncs twice more, which is not visible
        # here.
        self.sync_count = 0

    def append(self, batch: list[KeyedRecord]) -> None:
        """Write a batch durably."""
        self.database.execute("BEGIN IMMEDIATE")
        self.database.executemany(
            "INSERT OR REPLACE INTO facts VALUES (?, ?)",
            [(f"{record.KIND} {key}", json.dumps(put_operation(key, record))) for key, record in batch],
        )
        self.database.execute("COMMIT")
        self.sync_count += 1

    def close(self) -> None:
        """Close the database."""
        self.database.close()

    @staticmethod
    def load(path: Path) -> PersistedState:
        """Read the records and check their types, as the other store does."""
        database = sqlite3.connect(path / "facts.db")
        state = PersistedState()
        for (text,) in database.execute("SELECT said FROM facts"):
            state.apply(json.loads(text))
        database.close()
        return state

    @staticmethod
    def read(path: Path) -> StoredRecords:
        """Read the records as text."""
        database = sqlite3.connect(path / "facts.db")
        try:
            is_complete = database.execute("PRAGMA integrity_check").fetchone() == ("ok",)
            return StoredRecords(dict(database.execute("SELECT place, said FROM facts")), is_complete)
        except sqlite3.DatabaseError:
            return StoredRecords({}, False)
        finally:
            database.close()


StoreType = type[WillowwingStore] | type[SqliteStore]
STORE_TYPES: tuple[StoreType, ...] = (WillowwingStore, SqliteStore)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def store_costs(store_type: StoreType, count: int, batches: int) -> dict[str, float]:
    """Return the costs of a store. Each call needs a new process, because memory is measured."""
    records = sample_records(count)
    random = Random(1)
    with tempfile.TemporaryDirectory() as text:
        path = Path(text) / "store"
        memory = resident_bytes()
        store = store_type(path)
        for start in range(0, len(records), LOADING_BATCH):
            store.append(records[start : start + LOADING_BATCH])
        syncs = store.sync_count
        durations = []
        cpu_time = time.process_time()
        for _ in range(batches):
            started_at = time.monotonic()
            store.append(random.sample(records, BATCH))
            durations.append(time.monotonic() - started_at)
        cpu_time = time.process_time() - cpu_time
        memory = resident_bytes() - memory
        store.close()
        started_at = time.monotonic()
        store.load(path)
        reading = time.monotonic() - started_at
        stored = store.read(path)
        assert stored.is_complete
        assert len(stored.records) == len(records)
        size = sum(file.stat().st_size for file in path.iterdir())
    return {
        "cpu_us": cpu_time / batches / BATCH * 1e6,
        "batch_ms": median(durations) * 1e3,
        "worst_ms": max(durations) * 1e3,
        "memory_mb": memory / 1e6,
        "read_s": reading,
        "syncs": (store.sync_count - syncs) / batches,
        "size_mb": size / 1e6,
    }


def measure_store_costs(report: BenchmarkReport, pool: ProcessPoolExecutor) -> None:
    """Compare the costs of both stores."""
    count, batches = (1000, 100) if report.short else (10_000, 1000)
    costs = {kind.name: pool.submit(store_costs, kind, count, batches).result() for kind in STORE_TYPES}
    report.record("store_facts", count, f"endpoints and as many keyed requests, {batches} batches of {BATCH}")
    units = {
        "cpu_us": "us of CPU per record",
        "batch_ms": "ms per batch, median",
        "worst_ms": "ms per batch, worst",
        "memory_mb": "MB of added memory",
        "read_s": "s to read the whole store",
        "syncs": "syncs per batch",
        "size_mb": "MB on disk",
    }
    for name, unit in units.items():
        ours = costs[WillowwingStore.name][name]
        sqlite = costs[SqliteStore.name][name]
        report.record(f"store_{name}", f"{ours:.3g} ours, {sqlite:.3g} SQLite", unit)
    report.check(
        costs[WillowwingStore.name]["read_s"] < MAX_READ_S, "reading the whole store takes 2 s or more"
    )


@dataclass
class CorruptionResult:
    """Results of reading corrupted files.

    Attributes:
        share_after_cut, share_after_bit_flip: shares of the records that were found, one per corrupted file.
        undetected: number of bit flips that lost records without being reported.
        invented: number of records that were read but never written.
    """

    share_after_cut: list[float] = field(default_factory=list)
    share_after_bit_flip: list[float] = field(default_factory=list)
    undetected: int = 0
    invented: int = 0


def cut_at_random(data: bytearray, random: Random) -> None:
    """Remove the end of a file from a random position."""
    del data[random.randrange(len(data)) :]


def flip_random_bit(data: bytearray, random: Random) -> None:
    """Flip one random bit of a file."""
    data[random.randrange(len(data))] ^= 1 << random.randrange(8)


def corrupt_files(
    files: dict[str, bytes], path: Path, corrupt: Callable[[bytearray, Random], None], random: Random
) -> None:
    """Write files into a new directory and corrupt one of the files."""
    name = random.choice(sorted(files))
    data = bytearray(files[name])
    corrupt(data, random)
    path.mkdir()
    for item, content in files.items():
        (path / item).write_bytes(bytes(data) if item == name else content)


def read_corrupted(store_type: StoreType, tries: int, random: Random) -> CorruptionResult:
    """Corrupt the files of a store by cuts and by bit flips, `tries` times each, and read them."""
    records = sample_records(100)
    result = CorruptionResult()
    with tempfile.TemporaryDirectory() as text:
        path = Path(text) / "store"
        store = store_type(path)
        for start in range(0, len(records), 4):
            store.append(records[start : start + 4])
        files = {file.name: file.read_bytes() for file in path.iterdir() if file.stat().st_size}
        store.close()
        written = store_type.read(path).records
        for number in range(2 * tries):
            is_cut = bool(number % 2)
            corrupted = Path(text) / f"{number}"
            corrupt_files(files, corrupted, cut_at_random if is_cut else flip_random_bit, random)
            found = StoredRecords({}, False)
            with contextlib.suppress(sqlite3.DatabaseError, StoreRejectedError):
                found = store_type.read(corrupted)
            right = sum(written.get(place) == text for place, text in found.records.items())
            shares = result.share_after_cut if is_cut else result.share_after_bit_flip
            shares.append(right / len(written))
            result.invented += len(found.records) - right
            result.undetected += found.is_complete and right < len(written) and not is_cut
    return result


def measure_corruption(report: BenchmarkReport) -> None:
    """Measure the share of durable records found in corrupted files, and whether a loss is reported."""
    tries = 20 if report.short else 200
    random = Random(report.seed)
    for store_type in STORE_TYPES:
        result = read_corrupted(store_type, tries, random)
        name = f"torn_{store_type.name}"
        report.record(
            f"{name}_cut", sum(result.share_after_cut) / tries, "of the records found after a cut, mean"
        )
        share = sum(result.share_after_bit_flip) / tries
        report.record(f"{name}_turned", share, "of the records found after a bit flip, mean")
        report.record(
            f"{name}_silent", result.undetected, f"of {tries} bit flips lost records without a report"
        )
        report.record(f"{name}_false", result.invented, "records read that were never written")
        if store_type is WillowwingStore:
            report.check(not result.invented, f"{result.invented} records were read that were never written")
