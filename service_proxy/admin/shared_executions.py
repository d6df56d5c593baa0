"""Fingerprints of requests that a proxy's processes may have sent, in memory-mapped files in $TMPDIR.

Each process writes a table of its own and reads the tables of the other processes, so no lock is needed. An
open table outlives its process: the successor recognises the repeats of requests that its predecessor sent.
"""

from __future__ import annotations

import contextlib
import mmap
import os
import struct
from pathlib import Path

FINGERPRINT = struct.Struct("=Q")
EMPTY = 0  # A slot without a fingerprint.
BUCKETS = 2048
BUCKET_SLOTS = 4
BUCKET_BYTES = BUCKET_SLOTS * FINGERPRINT.size
TABLE_BYTES = BUCKETS * BUCKET_BYTES
# Lower numbers whose tables are read; the processes between two that run have ended at their start.
EARLIER_PROCESSES = 3
FILE_MODE = 0o600


class FingerprintTable:
    """Table of fingerprints with a fixed size; a full bucket forgets its oldest fingerprint."""

    def __init__(self, memory: mmap.mmap) -> None:
        self._memory = memory

    @classmethod
    def create(cls, path: Path) -> FingerprintTable:
        """Create an empty table in a new file, or raise OSError."""
        path.unlink(missing_ok=True)
        descriptor = os.open(path, os.O_CREAT | os.O_EXCL | os.O_RDWR, FILE_MODE)
        try:
            os.ftruncate(descriptor, TABLE_BYTES)
            return cls(mmap.mmap(descriptor, TABLE_BYTES))
        finally:
            os.close(descriptor)

    @classmethod
    def open(cls, path: Path) -> FingerprintTable:
        """Open the table of another process for reading, or raise OSError or ValueError if there is none."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            return cls(mmap.mmap(descriptor, TABLE_BYTES, access=mmap.ACCESS_READ))
        finally:
            os.close(descriptor)

    def _bucket(self, fingerprint: int) -> list[int]:
        start = fingerprint % BUCKETS * BUCKET_BYTES
        bucket = self._memory[start : start + BUCKET_BYTES]
        return [value for (value,) in FINGERPRINT.iter_unpack(bucket)]

    def _write_bucket(self, fingerprint: int, values: list[int]) -> None:
        start = fingerprint % BUCKETS * BUCKET_BYTES
        padded = values + [EMPTY] * (BUCKET_SLOTS - len(values))
        self._memory[start : start + BUCKET_BYTES] = b"".join(map(FINGERPRINT.pack, padded))

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether the table has a fingerprint."""
        return fingerprint in self._bucket(fingerprint)

    def add(self, fingerprint: int) -> None:
        """Add a fingerprint, the newest of its bucket first."""
        others = [value for value in self._bucket(fingerprint) if value not in (fingerprint, EMPTY)]
        self._write_bucket(fingerprint, [fingerprint, *others][:BUCKET_SLOTS])

    def remove(self, fingerprint: int) -> None:
        """Remove a fingerprint."""
        others = [value for value in self._bucket(fingerprint) if value not in (fingerprint, EMPTY)]
        self._write_bucket(fingerprint, others)


class SharedExecutionRecord:
    """Record of the requests that this process may have sent; implements `SharedExecutions`.

    Args:
        path_stem: path of the files without their numbers.
        number: number of this process among the processes of its proxy.

    Raises:
        OSError: the file of this process can't be created.
    """

    def __init__(self, path_stem: Path, number: int) -> None:
        self.path_stem = path_stem
        self.number = number
        self._own = FingerprintTable.create(self._path(number))
        self._others: dict[int, FingerprintTable] = {}
        self._remove_old_files()
        self.open_tables_of_others()

    def _path(self, number: int) -> Path:
        return self.path_stem.with_name(f"{self.path_stem.name}.{number}")

    def _remove_old_files(self) -> None:
        for path in self.path_stem.parent.glob(f"{self.path_stem.name}.*"):
            number = path.name.rpartition(".")[2]
            if number.isdecimal() and int(number) < self.number - EARLIER_PROCESSES:
                path.unlink(missing_ok=True)

    def open_tables_of_others(self) -> None:
        """Open the tables of earlier processes, and of the process that is to replace this one."""
        for number in range(max(1, self.number - EARLIER_PROCESSES), self.number + 2):
            if number != self.number and number not in self._others:
                with contextlib.suppress(OSError, ValueError):
                    self._others[number] = FingerprintTable.open(self._path(number))

    def release(self) -> None:
        """Remove the file of this process; processes that have opened the table keep it."""
        self._path(self.number).unlink(missing_ok=True)

    def add(self, fingerprint: int) -> None:
        """Record that an attempt of this process's request starts."""
        self._own.add(fingerprint)

    def withdraw(self, fingerprint: int) -> None:
        """Take back the record of a request of this process that was never executed."""
        self._own.remove(fingerprint)

    def is_of_other_process(self, fingerprint: int) -> bool:
        """Return whether another process of the proxy has recorded the request."""
        return any(fingerprint in table for table in self._others.values())
