"""Writer of a store from an event loop. A thread makes the records durable, and no request waits for it.

Only the latest pending operation of each kind and key is kept, so the bounds of the records also bound the
pending operations. Each batch is written and synced at once, at most one per FLUSH_INTERVAL_S. If the disk
fails, records stay in memory, and a new generation is tried every RETRY_INTERVAL_S.
"""

from __future__ import annotations

import asyncio
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

# Interval between two batches. A power loss loses at most the records of this interval and of one fsync.
FLUSH_INTERVAL_S = 0.05
# Interval between two attempts to write to a failing disk or to lock a store that another process has locked.
RETRY_INTERVAL_S = 5.0
DURABILITY_POLL_S = 0.01  # Interval at which an event loop looks whether the thread has written its records.
SHUTDOWN_TIMEOUT_S = 2.0  # Longest wait for the last batch when the process ends.
# Records that stay in memory while the disk fails. The sum of the bounds of all kinds is lower.
MAX_PENDING_RECORDS = 100_000


class RecordId(NamedTuple):
    """Identity of a record in a store."""

    kind: str
    key: str


class AsyncStoreWriter:
    """Reads a store, takes its lock and writes it from a thread.

    Attributes:
        contents: contents of the store when it was read.
        health: state of the store; may be read at any time.
        health_detail: reason, for the operator, for which the store is not open.
        submitted_count: number of operations submitted so far.
        durable_count: number of these operations that are on the disk.
    """

    def __init__(
        self,
        directory: StoreDirectory,
        owner: StoreOwner,
        clock: Clock,
        store_class: Callable[[StoreDirectory, StoreOwner], Store] = Store,
    ) -> None:
        """Read the store, and take its lock if the lock is free. Any problem sets `health`."""
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
        """All records that were read from the store."""
        return self.contents.state

    def start(self) -> None:
        """Start the thread, unless the store was rejected."""
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
        """Wait until all submitted operations are durable; return whether they are. For tests."""
        with self.changed:
            return self.changed.wait_for(self._is_all_durable, timeout)

    async def flush(self, timeout: float) -> bool:
        """Wait, for `timeout` s at most, and return whether the operations submitted so far are durable."""
        loop = asyncio.get_running_loop()
        submitted_count = self.submitted_count
        give_up_at = loop.time() + timeout
        while self.durable_count < submitted_count and loop.time() < give_up_at:
            await asyncio.sleep(DURABILITY_POLL_S)
        # A rejected store takes no operations.
        return self.durable_count >= submitted_count and self.health is not StoreHealth.REJECTED

    def _is_all_durable(self) -> bool:
        is_written = not self.pending and self.durable_count == self.submitted_count
        return self.health is StoreHealth.OPEN and is_written

    def stop(self) -> None:
        """Write the last batch, within at most SHUTDOWN_TIMEOUT_S, and release the lock."""
        with self.changed:
            self.is_stopping = True
            self.changed.notify()
        if self.thread.is_alive():
            self.thread.join(SHUTDOWN_TIMEOUT_S)
        self.directory.unlock()

    def _read_directory(self) -> None:
        """Read the store, and determine whether this process may write it."""
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
        """Take the lock if it is free; return whether this process holds the lock now."""
        if self.directory.is_locked:
            return True
        try:
            if self.directory.lock():
                return True
        except OSError as error:
            self._set_health(StoreHealth.READ_ONLY, f"{self.directory.path}: {error.strerror}")
        else:
            self._set_health(StoreHealth.BUSY, f"another process has {self.directory.path} locked")
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

    # Methods that run in the thread.

    def _run(self) -> None:
        self._flush({})  # Starts a generation.
        while not self.is_stopping:
            with self.changed:
                self.changed.wait_for(
                    lambda: self.is_stopping or self._has_writable_batch(), RETRY_INTERVAL_S
                )
            with self.changed:  # Operations that are submitted within the interval join the same batch.
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
            if self.store is not None:  # The store's state has the batch, so the next generation writes it.
                return
        # Operations that were submitted meanwhile are later and replace those of the batch.
        with self.changed:
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
        """Return the store to write to; None while another process holds its lock."""
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
