"""Write a store from an event loop: records become durable soon, by a thread, and no request waits for it.

Pending operations are kept by kind and key, the latest alone, so their bound is that of the records
themselves. Each batch is written and synced at once, at most one in FLUSH_INTERVAL_S. Where the disk fails,
all goes on in memory, and a new generation is tried each RETRY_INTERVAL_S.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from service_proxy.clock import Clock
from service_proxy.recovery.persisted_records import (
    PersistedRecord,
    PersistedState,
    drop_operation,
    put_operation,
)
from service_proxy.recovery.record_format import RawRecord
from service_proxy.recovery.store import (
    Store,
    StoreContents,
    StoreHealth,
    StoreOwner,
    StoreRejectedError,
    read_store,
)
from service_proxy.recovery.store_directory import StoreDirectory

log = logging.getLogger("service_proxy.recovery")

FLUSH_INTERVAL_S = 0.05  # between two batches: what a power loss takes at most, beside one fsync
RETRY_INTERVAL_S = 5.0  # between two attempts at a disk that fails or a store that another process has
SHUTDOWN_TIMEOUT_S = 2.0  # for which the end of a process waits for the last batch
MAX_PENDING_RECORDS = 100_000  # that a failing disk leaves in memory; the sum of the kinds' bounds is less


class RecordId(NamedTuple):
    """What identifies a record in a store."""

    kind: str
    key: str


class AsyncStoreWriter:
    """Reads a store, takes its lock and writes it from a thread.

    Attributes:
        contents: what the store held when it was read.
        health: may be read at any time.
        health_detail: why it is not open, for the operator.
        submitted_count: operations so far.
        durable_count: of these, on the disk.
    """

    def __init__(
        self,
        directory: StoreDirectory,
        owner: StoreOwner,
        clock: Clock,
        store_class: Callable[[StoreDirectory, StoreOwner], Store] = Store,
    ) -> None:
        """Read the store, and take the lock where it is free. What is wrong with either shows in `health`."""
        self.directory = directory
        self.owner = owner
        self.clock = clock
        self.store_class = store_class
        self.health = StoreHealth.FAILING
        self.health_detail = ""
        self.contents = StoreContents()
        self.pending: dict[RecordId, RawRecord] = {}
        self.changed = threading.Condition()
        self.is_stopping = False
        self.submitted_count = 0
        self.durable_count = 0
        self.store: Store | None = None
        self._read_directory()
        self.thread = threading.Thread(target=self._run, name="recovery store", daemon=True)

    @property
    def state(self) -> PersistedState:
        """All records, as they were read."""
        return self.contents.state

    def start(self) -> None:
        """Start the thread, unless the store is not for this process."""
        if self.health is not StoreHealth.REJECTED:
            self.thread.start()

    def put(self, key: str, record: PersistedRecord) -> None:
        """Add or replace a record."""
        self._submit(RecordId(record.KIND, key), put_operation(key, record))

    def drop(self, kind: str, key: str) -> None:
        """Remove a record."""
        self._submit(RecordId(kind, key), drop_operation(kind, key))

    def _submit(self, record_id: RecordId, operation: RawRecord) -> None:
        if self.health is StoreHealth.REJECTED:
            return
        with self.changed:
            self.pending.pop(record_id, None)
            self.pending[record_id] = operation
            self.submitted_count += 1
            while len(self.pending) > MAX_PENDING_RECORDS:
                del self.pending[next(iter(self.pending))]
            self.changed.notify()

    def wait_until_durable(self, timeout: float) -> bool:
        """Wait until all that was submitted is durable; return whether it is. For tests."""
        with self.changed:
            return self.changed.wait_for(self._is_all_durable, timeout)

    def _is_all_durable(self) -> bool:
        is_written = not self.pending and self.durable_count == self.submitted_count
        return self.health is StoreHealth.OPEN and is_written

    def stop(self) -> None:
        """Write the last batch, where that takes no more than SHUTDOWN_TIMEOUT_S, and release the lock."""
        with self.changed:
            self.is_stopping = True
            self.changed.notify()
        if self.thread.is_alive():
            self.thread.join(SHUTDOWN_TIMEOUT_S)
        self.directory.unlock()

    def _read_directory(self) -> None:
        """Read the store and find out whether it is this process's to write."""
        try:
            self.directory.create_directory()
        except OSError as error:
            self._set_failing(error)
            return
        is_writable = self._acquire_lock()
        known_damage = self.contents.damage
        try:
            self.contents = read_store(self.directory, self.owner)
        except StoreRejectedError as error:
            self.contents = StoreContents()
            self.directory.unlock()
            self._set_health(StoreHealth.REJECTED, str(error))
            return
        except OSError as error:
            self._set_failing(error)
            return
        self._log_damage(known_damage)
        if is_writable:
            self._set_health(StoreHealth.OPEN, "")

    def _acquire_lock(self) -> bool:
        """Return whether this process holds the lock now."""
        if self.directory.is_locked:
            return True
        try:
            if self.directory.lock():
                return True
        except OSError as error:
            self._set_health(StoreHealth.READ_ONLY, f"{self.directory.path}: {error.strerror}")
        else:
            self._set_health(StoreHealth.BUSY, f"another process holds {self.directory.path}")
        return False

    def _log_damage(self, known_damage: list[str]) -> None:
        if self.contents.damage != known_damage:
            for detail in self.contents.damage:
                log.error('store_damaged path=%s detail="%s"', self.directory.path, detail)
        if self.contents.torn_bytes:
            size_bytes = self.contents.torn_bytes
            log.info("store_torn_write_discarded path=%s size_bytes=%d", self.directory.path, size_bytes)

    def _set_failing(self, error: OSError) -> None:
        self._set_health(StoreHealth.FAILING, f"{self.directory.path}: {error.strerror}")

    def _set_health(self, health: StoreHealth, detail: str) -> None:
        if (health, detail) == (self.health, self.health_detail):
            return
        self.health = health
        self.health_detail = detail
        level = logging.INFO if health in (StoreHealth.OPEN, StoreHealth.CLOSED) else logging.ERROR
        log.log(level, 'store_health_changed health=%s detail="%s"', health.name.lower(), detail)

    # In the thread.

    def _run(self) -> None:
        self._flush({})  # starts a generation
        while not self.is_stopping:
            with self.changed:
                self.changed.wait_for(
                    lambda: self.is_stopping or self._has_writable_batch(), RETRY_INTERVAL_S
                )
            with self.changed:  # what is submitted within the interval goes into the same batch
                self.changed.wait_for(lambda: self.is_stopping, FLUSH_INTERVAL_S)
                batch = self.pending
                self.pending = {}
            if batch or self.health is not StoreHealth.OPEN:
                self._flush(batch)
        if self.store is not None:
            self.store.close()
            self._set_health(StoreHealth.CLOSED, "")

    def _has_writable_batch(self) -> bool:
        return bool(self.pending) and self.health is StoreHealth.OPEN

    def _flush(self, batch: dict[RecordId, RawRecord]) -> None:
        try:
            store = self._ensure_store()
            if store is not None:
                self._append(store, batch)
                return
        except OSError as error:
            self._set_failing(error)
            if self.store is not None:  # it has the batch in its state: the next generation writes it
                return
        with self.changed:  # what was submitted meanwhile is later, and counts
            self.pending = {**batch, **self.pending}

    def _append(self, store: Store, batch: dict[RecordId, RawRecord]) -> None:
        store.append(batch.values(), self.clock.wall_time())
        for reason in store.rejected:
            log.error('store_record_rejected reason="%s"', reason)
        store.rejected.clear()
        self._set_health(StoreHealth.OPEN, "")
        with self.changed:
            self.durable_count = self.submitted_count - len(self.pending)
            self.changed.notify_all()

    def _ensure_store(self) -> Store | None:
        """Return the store to write to; None while another process holds it."""
        if self.store is not None:
            return self.store
        if not self.directory.is_locked:
            self._read_directory()
            if not self.directory.is_locked:
                return None
        self.store = self.store_class(self.directory, self.owner)
        contents = replace(self.contents, state=self.contents.state.copy())
        self.store.start_generation(contents, self.clock.wall_time())
        return self.store
