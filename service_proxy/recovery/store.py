"""The files of a store, in an order of writes that survives a crash at any byte: the state before or after.

Two files of the newest generation N hold everything: `snapshot-N`, a whole state, and `log-N`, the
operations since. They reach the disk in this order, each step durable before the next begins:

    1  the whole snapshot as `snapshot-N.part`, synced
    2  its rename to `snapshot-N`, the directory synced: from here on generation N is valid
    3  `log-N` with its header, synced, the directory synced
    4  older generations are removed

A file of an earlier process is never appended to: who opens a store starts a generation, so a torn write
needs no repair. A write or fsync that failed poisons its file (after a failed fsync a second one proves
nothing), and the next attempt is a new generation with all that is known. Requests never wait for this
module: `async_store_writer` runs it in a thread of its own.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from typing import Any, Protocol

from service_proxy.recovery.persisted_records import MalformedRecordError, PersistedState
from service_proxy.recovery.record_format import (
    FORMAT_VERSION,
    RawRecord,
    RecordTooLongError,
    RecoveryError,
    ScanResult,
    encode_line,
    scan_lines,
)

MAX_FILE_BYTES = 64 << 20  # of a file that is read; a larger one was not written by this program
MIN_LOG_BYTES = 256 << 10  # of a log before it is compacted into a snapshot ...
LOG_TO_SNAPSHOT_RATIO = 2.0  # ... and in proportion to the snapshot
WRITE_CHUNK_BYTES = 64 << 10  # of a snapshot that are written at once
FILE_NAME = re.compile(r"(snapshot|log)-(\d{8})(\.part)?")
SNAPSHOT = "snapshot"
LOG = "log"
PART_SUFFIX = ".part"
FRAMING_RECORDS = 2  # of a snapshot: its header, and the end record with the number of operations between
# From each older format to the next; None drops a record.
MIGRATIONS: dict[int, Callable[[RawRecord], RawRecord | None]] = {}


class Directory(Protocol):
    """The directory of a store. All methods raise OSError."""

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the beginning of a file."""

    def create(self, name: str) -> Any:
        """Create or truncate a file; return a handle for `write`, `fsync` and `close`."""

    def write(self, file: Any, data: bytes) -> None:
        """Write all data, or raise OSError with any part of it written."""

    def fsync(self, file: Any) -> None:
        """Make the content of a file durable."""

    def close(self, file: Any) -> None:
        """Close a file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing one of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def fsync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""


class StoreRejectedError(RecoveryError):
    """The store is not for this process; nothing in it was changed.

    Attributes:
        file_name: the file that says so.
    """

    def __init__(self, file_name: str, problem: str) -> None:
        super().__init__(f"{file_name} {problem}")
        self.file_name = file_name


class StoreHealth(Enum):
    """Whether what is recorded becomes durable."""

    OPEN = "open"
    READ_ONLY = "read only"  # what is in it counts, and nothing is added
    BUSY = "another process has it"
    REJECTED = "not for this process"
    FAILING = "can't be written at the moment"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StoreOwner:
    """Whose store it is: the proxy's name and its machine's identifier, "" where it has none."""

    name: str
    machine_id: str = ""


@dataclass(slots=True)
class StoreContents:
    """What a store's directory holds.

    Attributes:
        state: all records.
        owner: as the newest snapshot names it.
        generation: the newest; 0: there was none.
        started_at: wall time at which the newest file was started, s.
        torn_bytes: of a record that was being written.
        damage: what was durable once and can't be read, for the operator.
        snapshot_bytes, log_bytes: as far as they could be read.
    """

    state: PersistedState = field(default_factory=PersistedState)
    owner: StoreOwner = field(default_factory=lambda: StoreOwner(""))
    generation: int = 0
    started_at: float = 0.0
    torn_bytes: int = 0
    damage: list[str] = field(default_factory=list)
    snapshot_bytes: int = 0
    log_bytes: int = 0


def snapshot_name(generation: int) -> str:
    """Return the name of a generation's snapshot file."""
    return f"{SNAPSHOT}-{generation:08d}"


def log_name(generation: int) -> str:
    """Return the name of a generation's log file."""
    return f"{LOG}-{generation:08d}"


def files_by_generation(names: Iterable[str]) -> dict[int, set[str]]:
    """Return which files each generation has; partial snapshots that were never renamed don't count."""
    found: dict[int, set[str]] = {}
    for name in names:
        match = FILE_NAME.fullmatch(name)
        if match and not match[3]:
            found.setdefault(int(match[2]), set()).add(match[1])
    return found


def read_store(directory: Directory, owner: StoreOwner | None) -> StoreContents:
    """Read a store without changing it.

    Args:
        directory: of the store.
        owner: whose it must be; None: anybody's.

    Raises:
        StoreRejectedError: it has another owner or a format that can't be read.
        OSError: a file can't be read.
    """
    return _StoreReader(directory, owner).read()


class _StoreReader:
    """Reads one store: the newest generation whose snapshot is whole, or what can be read of the newest."""

    def __init__(self, directory: Directory, owner: StoreOwner | None) -> None:
        self.directory = directory
        self.owner = owner
        self.contents = StoreContents()

    def read(self) -> StoreContents:
        contents = self.contents
        generations = files_by_generation(self.directory.file_names())
        for generation in sorted(generations, reverse=True):
            contents.generation = max(contents.generation, generation)
            has_log = LOG in generations[generation]
            if SNAPSHOT in generations[generation]:
                if self._read_generation(generation, has_log):
                    break
            elif has_log:
                contents.damage.append(f"{log_name(generation)} has no snapshot")
        return contents

    def _read_generation(self, generation: int, has_log: bool) -> bool:
        """Read a snapshot and its log; return whether the snapshot is whole."""
        contents = self.contents
        name = snapshot_name(generation)
        data = self.directory.read(name, MAX_FILE_BYTES)
        scan = scan_lines(data, generation)
        header = _check_header(scan, name, SNAPSHOT, self.owner)
        record_count = len(scan.records) - FRAMING_RECORDS
        is_complete = header is not None and scan.records[-1].get("end") == record_count
        if header is not None and is_complete:
            contents.state = PersistedState()
            contents.owner = StoreOwner(str(header.get("name", "")), str(header.get("machine", "")))
            contents.snapshot_bytes = len(data)
            contents.started_at = max(contents.started_at, float(header.get("at", 0.0)))
            self._apply_records(scan.records[1:-1], header, name)
        else:
            contents.damage.append(f"{name} is not whole")
            if contents.snapshot_bytes:
                return False
            # What can be read of the newest snapshot, in case that no other is whole.
            contents.snapshot_bytes = scan.valid_bytes
            self._apply_records(scan.records[1:] if header is not None else [], header or {}, name)
        if has_log:
            self._replay_log(generation)
        return is_complete

    def _replay_log(self, generation: int) -> None:
        contents = self.contents
        name = log_name(generation)
        data = self.directory.read(name, MAX_FILE_BYTES)
        scan = scan_lines(data, generation)
        header = _check_header(scan, name, LOG, self.owner)
        contents.torn_bytes = scan.torn_bytes if not scan.records_after_damage else 0
        if scan.records_after_damage:
            count = len(scan.records_after_damage)
            contents.damage.append(f"{name} has {count} whole records behind a broken one")
        if header is None:  # torn in its header: nothing had been recorded yet
            return
        contents.log_bytes = scan.valid_bytes
        contents.started_at = max(contents.started_at, float(header.get("at", 0.0)))
        # A record behind the damage is the latest on its key all the same.
        self._apply_records(scan.records[1:] + scan.records_after_damage, header, name)

    def _apply_records(self, records: list[RawRecord], header: RawRecord, name: str) -> None:
        version = int(header.get("format", FORMAT_VERSION))
        for record in records:
            migrated = _migrate(record, version)
            if migrated is None:
                continue
            try:
                self.contents.state.apply(migrated)
            except MalformedRecordError as error:  # its checksum holds, so a program wrote it so
                self.contents.damage.append(f"{name}: {error}")


def _migrate(record: RawRecord, version: int) -> RawRecord | None:
    migrated: RawRecord | None = record
    for step in range(version, FORMAT_VERSION):
        migrated = MIGRATIONS[step](migrated) if migrated is not None else None
    return migrated


def _check_header(scan: ScanResult, name: str, kind: str, owner: StoreOwner | None) -> RawRecord | None:
    """Return the header record of a file; None if it is not of this kind of file.

    Raises:
        StoreRejectedError: another owner or a format that can't be read.
    """
    header = scan.records[0] if scan.records else {}
    version = header.get("format")
    if type(version) is not int or header.get("what") != kind:
        return None
    if version > FORMAT_VERSION:
        raise StoreRejectedError(
            name,
            f"has format {version}, and this program reads up to {FORMAT_VERSION}: start the newer program, "
            "or move the folder away to begin without it",
        )
    if any(step not in MIGRATIONS for step in range(version, FORMAT_VERSION)):
        raise StoreRejectedError(
            name,
            f"has format {version}, older than this program reads: start the version before this one "
            "first, or move the folder away to begin without it",
        )
    if owner is not None:
        _check_owner(header, name, owner)
    return header


def _check_owner(header: RawRecord, name: str, owner: StoreOwner) -> None:
    if header.get("name") != owner.name:
        raise StoreRejectedError(
            name,
            f"was written by {header.get('name')}, and this is {owner.name}: give each proxy a folder "
            "of its own, or move this one to where it belongs",
        )
    machine_id = str(header.get("machine", ""))
    if machine_id and owner.machine_id and machine_id != owner.machine_id:
        raise StoreRejectedError(
            name,
            f"was written on another machine ({machine_id:.8}, this one is {owner.machine_id:.8}): what it "
            "says is of there; move the folder away to begin without it",
        )


class Store:
    """Writes a store, from one thread.

    All methods raise OSError; after one nothing more is appended to the log of this generation.

    Attributes:
        rejected: texts of records that could not be written (too long or malformed), for the caller to take.
        state: all records, durable or about to be.
        log_records: lines in the log, its header among them.
    """

    def __init__(self, directory: Directory, owner: StoreOwner, min_log_bytes: int = MIN_LOG_BYTES) -> None:
        self.directory = directory
        self.owner = owner
        self.min_log_bytes = min_log_bytes
        self.rejected: list[str] = []
        self.state = PersistedState()
        self.generation = 0
        self.log: Any = None
        self.log_records = 0
        self.log_bytes = 0
        self.snapshot_bytes = 0

    def start_generation(self, contents: StoreContents, now: float) -> None:
        """Continue from what was read, in a new generation."""
        self.state = contents.state
        self.generation = contents.generation
        self.compact(now)

    def append(self, records: Iterable[RawRecord], now: float) -> None:
        """Apply a batch of operations and return once it is durable."""
        lines = self._apply_and_encode(records)
        if self.log is None:
            self.compact(now)
            return
        data = b"".join(lines)
        # Without its log until the batch is known to be durable: a failed write or fsync poisons the file.
        log = self._detach_log()
        try:
            self._append_and_sync(log, data)
        except OSError:
            self.directory.close(log)
            raise
        self.log = log
        self.log_records += len(lines)
        self.log_bytes += len(data)
        if self.log_bytes > max(self.min_log_bytes, LOG_TO_SNAPSHOT_RATIO * self.snapshot_bytes):
            self.compact(now)

    def _apply_and_encode(self, records: Iterable[RawRecord]) -> list[bytes]:
        lines: list[bytes] = []
        for record in records:
            try:
                line = encode_line(self.generation, self.log_records + len(lines), self.log_records, record)
                self.state.apply(record)
            except (RecordTooLongError, MalformedRecordError) as error:
                self.rejected.append(str(error))
            else:
                lines.append(line)
        return lines

    def _append_and_sync(self, log: Any, data: bytes) -> None:
        self.directory.write(log, data)
        self.directory.fsync(log)

    def compact(self, now: float) -> None:
        """Start a generation whose snapshot has all that is known."""
        self.close()
        self.generation += 1
        self._write_snapshot(now)
        self._publish_snapshot()
        self._start_log(now)
        self._remove_old_generations()

    def _write_snapshot(self, now: float) -> None:
        """Step 1: write and sync the snapshot under its partial name."""
        name = snapshot_name(self.generation) + PART_SUFFIX
        file = self.directory.create(name)
        try:
            self._write_snapshot_lines(file, now)
        except OSError:
            self.directory.close(file)
            with contextlib.suppress(OSError):
                self.directory.remove(name)  # on a full disk the next attempt needs its space
            raise
        self.directory.close(file)

    def _write_snapshot_lines(self, file: Any, now: float) -> None:
        end = {"end": operation_count(self.state)}
        records = chain([self._header(SNAPSHOT, now)], self.state.operations(), [end])
        self.snapshot_bytes = 0
        chunk = bytearray()
        for number, record in enumerate(records):
            chunk += encode_line(self.generation, number, 0, record)
            if len(chunk) >= WRITE_CHUNK_BYTES:
                self._write_chunk(file, chunk)
        self._write_chunk(file, chunk)
        self.directory.fsync(file)

    def _write_chunk(self, file: Any, chunk: bytearray) -> None:
        self.directory.write(file, bytes(chunk))
        self.snapshot_bytes += len(chunk)
        chunk.clear()

    def _publish_snapshot(self) -> None:
        """Step 2: give the snapshot its name."""
        name = snapshot_name(self.generation)
        self.directory.rename(name + PART_SUFFIX, name)
        self.directory.fsync_directory()

    def _start_log(self, now: float) -> None:
        """Step 3: create the log with its header."""
        log = self.directory.create(log_name(self.generation))
        header = encode_line(self.generation, 0, 0, self._header(LOG, now))
        try:
            self._append_and_sync(log, header)
            self.directory.fsync_directory()
        except OSError:
            self.directory.close(log)
            raise
        self.log = log
        self.log_records = 1
        self.log_bytes = len(header)

    def _remove_old_generations(self) -> None:
        """Step 4: remove older files and partial snapshots.

        Logs go last: one without its snapshot is recognised as old, a snapshot without its log is not.
        """
        matches = (FILE_NAME.fullmatch(name) for name in self.directory.file_names())
        old = [match for match in matches if match and (int(match[2]) < self.generation or match[3])]
        for match in sorted(old, key=lambda match: (match[1] == LOG, match[2])):
            self.directory.remove(match[0])

    def _header(self, kind: str, now: float) -> RawRecord:
        return {
            "format": FORMAT_VERSION,
            "what": kind,
            "name": self.owner.name,
            "machine": self.owner.machine_id,
            "at": now,
        }

    def _detach_log(self) -> Any:
        log = self.log
        self.log = None
        return log

    def close(self) -> None:
        """Close the log; nothing more can be appended to this generation."""
        if self.log is not None:
            self.directory.close(self._detach_log())


def operation_count(state: PersistedState) -> int:
    """Return how many operations build this state."""
    return len(state) + len(state.evicted_until)
