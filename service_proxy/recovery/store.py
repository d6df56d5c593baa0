"""Files of a store. After a crash at any byte the store holds the state before or after the write.

The two files of the newest generation N hold the complete state: `snapshot-N` is a whole state, and
`log-N` has the operations since that state. The files reach the disk in this order, and each step is
durable before the next one begins:

    1  Write the whole snapshot as `snapshot-N.part`, and sync it.
    2  Rename it to `snapshot-N`, and sync the directory. Generation N is valid from this step on.
    3  Create `log-N` with its header, sync it, and sync the directory.
    4  Remove older generations.

A process never appends to a file of an earlier process. It starts a new generation when it opens the
store, so a torn write needs no repair. A file is abandoned after a failed write or fsync, because a second
fsync after a failed one proves nothing. The next attempt is a new generation with the complete state.
Requests never wait for this module, because `async_store_writer` runs it in a separate thread.
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

MAX_FILE_BYTES = 64 << 20  # Longest part that is read. A larger file was not written by this program.
MIN_LOG_BYTES = 256 << 10  # Size that a log must exceed before it is compacted into a snapshot.
LOG_TO_SNAPSHOT_RATIO = 2.0  # Size, as a multiple of the snapshot's, that a log must also exceed.
WRITE_CHUNK_BYTES = 64 << 10  # Size of the chunks in which a snapshot is written.
FILE_NAME = re.compile(r"(snapshot|log)-(\d{8})(\.part)?")
SNAPSHOT = "snapshot"
LOG = "log"
PART_SUFFIX = ".part"
# Records of a snapshot that are not operations: the header, and the end record with the number of operations.
FRAMING_RECORDS = 2
# Migration of a record to the next format, by the version of the older format. None as the result drops the
# record.
MIGRATIONS: dict[int, Callable[[RawRecord], RawRecord | None]] = {}


class Directory(Protocol):
    """Directory of a store. All methods raise OSError."""

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return up to `max_bytes` from the beginning of a file."""

    def create(self, name: str) -> Any:
        """Create or truncate a file; return a handle for `write`, `fsync` and `close`."""

    def write(self, file: Any, data: bytes) -> None:
        """Write all data, or raise OSError after any part of the data was written."""

    def fsync(self, file: Any) -> None:
        """Make the content of a file durable."""

    def close(self, file: Any) -> None:
        """Close a file."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, and replace an existing file that has the new name."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def fsync_directory(self) -> None:
        """Make the creation, renaming and removal of files durable."""


class StoreRejectedError(RecoveryError):
    """Error of a store that this process can't use. No file of the store was changed.

    Attributes:
        file_name: file whose header shows the reason.
    """

    def __init__(self, file_name: str, problem: str) -> None:
        super().__init__(f"{file_name} {problem}")
        self.file_name = file_name


class StoreHealth(Enum):
    """State of a store, which determines whether records become durable."""

    OPEN = "open"
    READ_ONLY = "read only"  # The records of the store are used, and no record is added.
    BUSY = "locked by another process"
    REJECTED = "another owner or an unreadable format"
    FAILING = "can't be written at the moment"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StoreOwner:
    """Owner of a store: the proxy's name, and its machine's identifier, "" for a machine without one."""

    name: str
    machine_id: str = ""


@dataclass(slots=True)
class StoreContents:
    """Contents of a store's directory.

    Attributes:
        state: all records.
        owner: owner that the newest snapshot names.
        generation: newest generation; 0: the directory holds no store.
        started_at: wall time at which the newest file was started, s.
        torn_bytes: size of the records that were being written at the crash.
        damage: descriptions, for the operator, of content that was durable and can't be read any more.
        snapshot_bytes, log_bytes: sizes of the readable parts of the two files.
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
    """Return the kinds of files of each generation, without partial snapshots that were never renamed."""
    found: dict[int, set[str]] = {}
    for name in names:
        match = FILE_NAME.fullmatch(name)
        if match and not match[3]:
            found.setdefault(int(match[2]), set()).add(match[1])
    return found


def read_store(directory: Directory, owner: StoreOwner | None) -> StoreContents:
    """Read a store without changing it.

    Args:
        directory: directory of the store.
        owner: owner that the store must have; None: any.

    Raises:
        StoreRejectedError: the store has another owner or a format that can't be read.
        OSError: a file can't be read.
    """
    return _StoreReader(directory, owner).read()


class _StoreReader:
    """Reader of one store.

    It returns the newest generation whose snapshot is whole, or the readable part of the newest generation if
    no snapshot is whole.
    """

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
            # Keeps the readable part of the newest snapshot, in case no other snapshot is whole.
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
            contents.damage.append(f"{name} has {count} valid records after a damaged one")
        if header is None:  # The header itself is torn, so nothing had been recorded yet.
            return
        contents.log_bytes = scan.valid_bytes
        contents.started_at = max(contents.started_at, float(header.get("at", 0.0)))
        # A record after the damage is still the latest record of its key.
        self._apply_records(scan.records[1:] + scan.records_after_damage, header, name)

    def _apply_records(self, records: list[RawRecord], header: RawRecord, name: str) -> None:
        version = int(header.get("format", FORMAT_VERSION))
        for record in records:
            migrated = _migrate(record, version)
            if migrated is None:
                continue
            try:
                self.contents.state.apply(migrated)
            # The checksum is valid, so a program wrote this malformed record.
            except MalformedRecordError as error:
                self.contents.damage.append(f"{name}: {error}")


def _migrate(record: RawRecord, version: int) -> RawRecord | None:
    migrated: RawRecord | None = record
    for step in range(version, FORMAT_VERSION):
        migrated = MIGRATIONS[step](migrated) if migrated is not None else None
    return migrated


def _check_header(scan: ScanResult, name: str, kind: str, owner: StoreOwner | None) -> RawRecord | None:
    """Return the header record of a file; return None if the file is not of the given kind.

    Raises:
        StoreRejectedError: the file has another owner or a format that can't be read.
    """
    header = scan.records[0] if scan.records else {}
    version = header.get("format")
    if type(version) is not int or header.get("what") != kind:
        return None
    if version > FORMAT_VERSION:
        raise StoreRejectedError(
            name,
            f"has format {version}, and this program reads up to {FORMAT_VERSION}: start the newer program, "
            "or move the folder away to start with an empty store",
        )
    if any(step not in MIGRATIONS for step in range(version, FORMAT_VERSION)):
        raise StoreRejectedError(
            name,
            f"has format {version}, older than this program reads: start the previous version of the program "
            "first, or move the folder away to start with an empty store",
        )
    if owner is not None:
        _check_owner(header, name, owner)
    return header


def _check_owner(header: RawRecord, name: str, owner: StoreOwner) -> None:
    if header.get("name") != owner.name:
        raise StoreRejectedError(
            name,
            f"was written by {header.get('name')}, and this is {owner.name}: give each proxy a folder "
            "of its own, or move this folder to the proxy that wrote it",
        )
    machine_id = str(header.get("machine", ""))
    if machine_id and owner.machine_id and machine_id != owner.machine_id:
        raise StoreRejectedError(
            name,
            f"was written on another machine ({machine_id:.8}, this one is {owner.machine_id:.8}): its "
            "records describe that machine; move the folder away to start with an empty store",
        )


class Store:
    """Writer of a store, for use from one thread.

    All methods raise OSError. After an OSError nothing more is appended to the log of this generation.

    Attributes:
        rejected: errors of records that could not be written because they are too long or malformed; the
            caller logs and clears them.
        state: all records that are durable or will be written next.
        log_records: number of lines in the log, with its header.
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
        """Start a new generation from the contents that were read."""
        self.state = contents.state
        self.generation = contents.generation
        self.compact(now)

    def append(self, records: Iterable[RawRecord], now: float) -> None:
        """Apply a batch of operations, and return after the batch is durable."""
        lines = self._apply_and_encode(records)
        if self.log is None:
            self.compact(now)
            return
        data = b"".join(lines)
        # The log is detached until the batch is known to be durable, because a failed write or fsync makes
        # the file unusable.
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
        """Start a generation whose snapshot has the complete state."""
        self.close()
        self.generation += 1
        self._write_snapshot(now)
        self._publish_snapshot()
        self._start_log(now)
        self._remove_old_generations()

    def _write_snapshot(self, now: float) -> None:
        """Write and sync the snapshot under its partial name (step 1)."""
        name = snapshot_name(self.generation) + PART_SUFFIX
        file = self.directory.create(name)
        try:
            self._write_snapshot_lines(file, now)
        except OSError:
            self.directory.close(file)
            with contextlib.suppress(OSError):
                self.directory.remove(name)  # On a full disk the next attempt needs the space of this file.
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
        """Rename the snapshot to its final name (step 2)."""
        name = snapshot_name(self.generation)
        self.directory.rename(name + PART_SUFFIX, name)
        self.directory.fsync_directory()

    def _start_log(self, now: float) -> None:
        """Create the log with its header (step 3)."""
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
        """Remove older files and partial snapshots (step 4).

        Logs are removed last. A log without its snapshot is recognised as old, but a snapshot without its log
        is not.
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
        """Close the log. Nothing more can be appended to this generation."""
        if self.log is not None:
            self.directory.close(self._detach_log())


def operation_count(state: PersistedState) -> int:
    """Return the number of operations that build this state."""
    return len(state) + len(state.evicted_until)
