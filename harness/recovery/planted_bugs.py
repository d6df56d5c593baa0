"""Stores with one ordering bug each, of the kind that works until the power fails. Never in the product."""

from __future__ import annotations

from typing import Any

from service_proxy.recovery.store import Store


class UnsyncedSnapshot(Store):
    """The rename comes before the data is safe."""

    def _write_whole(self, file: Any, now: float) -> None:
        sync = self.disk.sync
        self.disk.sync = lambda file: None  # type: ignore[method-assign]
        try:
            super()._write_whole(file, now)
        finally:
            self.disk.sync = sync  # type: ignore[method-assign]


class UnsyncedFolder(Store):
    """The old generation goes before the new one's name is safe."""

    def _install(self) -> None:
        name = f"snapshot-{self.generation:08d}"
        self.disk.rename(name + ".part", name)

    def _begin_log(self, now: float) -> None:
        sync = self.disk.sync_folder
        self.disk.sync_folder = lambda: None  # type: ignore[method-assign]
        try:
            super()._begin_log(now)
        finally:
            self.disk.sync_folder = sync  # type: ignore[method-assign]


class ClearsFirst(Store):
    """The old generation goes before the new one is written."""

    def _snapshot(self, now: float) -> None:
        self._clear()
        super()._snapshot(now)


class SaysTooSoon(Store):
    """What is said counts as safe once it is written."""

    def _add(self, log: Any, data: bytes) -> None:
        self.disk.write(log, data)


class AppendsAfterFault(Store):
    """A log that a write failed on is written on."""

    def _add(self, log: Any, data: bytes) -> None:
        try:
            super()._add(log, data)
        except OSError:
            self.log = log
            raise


FAULTY = {"a log is written on after a fault": AppendsAfterFault}  # found where the disk fails
PLANTED: dict[str, type[Store]] = {
    "the rename comes before the data is safe": UnsyncedSnapshot,
    "the old generation goes before the new name is safe": UnsyncedFolder,
    "the old generation goes before the new one is written": ClearsFirst,
    "safe once written": SaysTooSoon,
}
