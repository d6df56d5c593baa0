"""Stores with one ordering bug each, which has no effect until the power fails; never in the product."""

from __future__ import annotations

from typing import Any

from service_proxy.recovery.store import PART_SUFFIX, Store, snapshot_name


def _do_not_sync(file: Any) -> None:
    """Do not sync the file."""


class UnsyncedSnapshotStore(Store):
    """Store that renames the snapshot before its content is durable."""

    def _write_snapshot_lines(self, file: Any, now: float) -> None:
        fsync = self.directory.fsync
        self.directory.fsync = _do_not_sync  # type: ignore[method-assign]
        try:
            super()._write_snapshot_lines(file, now)
        finally:
            self.directory.fsync = fsync  # type: ignore[method-assign]


class UnsyncedDirectoryStore(Store):
    """Store that removes the old generation before the name of the new one is durable."""

    def _publish_snapshot(self) -> None:
        name = snapshot_name(self.generation)
        self.directory.rename(name + PART_SUFFIX, name)

    def _start_log(self, now: float) -> None:
        fsync_directory = self.directory.fsync_directory
        self.directory.fsync_directory = lambda: None  # type: ignore[method-assign]
        try:
            super()._start_log(now)
        finally:
            self.directory.fsync_directory = fsync_directory  # type: ignore[method-assign]


class RemovesOldGenerationFirstStore(Store):
    """Store that removes the old generation before the new one is written."""

    def _write_snapshot(self, now: float) -> None:
        self._remove_old_generations()
        super()._write_snapshot(now)


class AcknowledgesBeforeSyncStore(Store):
    """Store that acknowledges a batch as durable after the write, before the sync."""

    def _append_and_sync(self, log: Any, data: bytes) -> None:
        self.directory.write(log, data)


class AppendsAfterFaultStore(Store):
    """Store that continues to append to a log after a failed write."""

    def _append_and_sync(self, log: Any, data: bytes) -> None:
        try:
            super()._append_and_sync(log, data)
        except OSError:
            self.log = log
            raise


# Bugs that only a failing disk reveals.
BUGS_SEEN_ON_FAULTY_DISK = {"a log is appended to after a failed write": AppendsAfterFaultStore}
ORDERING_BUGS: dict[str, type[Store]] = {
    "the rename comes before the content is durable": UnsyncedSnapshotStore,
    "the old generation is removed before the new name is durable": UnsyncedDirectoryStore,
    "the old generation is removed before the new one is written": RemovesOldGenerationFirstStore,
    "a batch is acknowledged before it is synced": AcknowledgesBeforeSyncStore,
}
