"""Keeps a store from an event loop: what is said comes to the disk soon, by a thread of its own, and no call
ever waits for it. Does.

What waits is held by kind and key, the latest alone, so its bound is that of the facts themselves. Each
batch is written and synced at once, at most one in `FLUSH`. Where the disk fails, all goes on in memory, and
a new generation is tried each `RETRY`.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from service_proxy.clock import Clock
from service_proxy.recovery.persisted_records import Fact, State, drop, put
from service_proxy.recovery.record_format import Record
from service_proxy.recovery.store import Found, Health, Owner, Refused, Store, read_store
from service_proxy.recovery.store_directory import Folder

log = logging.getLogger("service_proxy.recovery")

FLUSH = 0.05  # s between two batches: what a power loss takes at the most, beside one sync
RETRY = 5.0  # s between two tries of a disk that fails, or of a store that another process has
LAST = 2.0  # s that the end of a process waits for the last batch
MOST_WAITING = 100_000  # facts that a failing disk keeps in memory; the sum of the kinds' bounds is less


class Keeper:
    """`found` is what the folder held; `health` may be read at any time."""

    def __init__(
        self, folder: Folder, owner: Owner, clock: Clock, make: Callable[[Folder, Owner], Store] = Store
    ) -> None:
        """Reads, and takes the lock where it is free. Never raises for what is wrong with the folder."""
        self.folder = folder
        self.owner = owner
        self.clock = clock
        self.make = make
        self.health = Health.FAILING
        self.why = ""
        self.found = Found()
        self.waiting: dict[tuple[str, str], Record] = {}
        self.changed = threading.Condition()
        self.stopping = False
        # records
        self.said = 0
        self.safe = 0
        self.slowest = 0.0  # s of a batch
        self.store: Store | None = None
        self.replaced = False  # read anew: the process before this one had gone on writing until then
        self._look()
        self.thread = threading.Thread(target=self._run, name="recovery store", daemon=True)

    def start(self) -> None:
        if self.health is not Health.REFUSED:
            self.thread.start()

    # what a proxy says
    def put(self, key: str, fact: Fact) -> None:
        self._say([((fact.KIND, key), put(key, fact))])

    def drop(self, kind: str, key: str) -> None:
        self._say([((kind, key), drop(kind, key))])

    def _say(self, records: Iterable[tuple[tuple[str, str], Record]]) -> None:
        if self.health is Health.REFUSED:
            return
        with self.changed:
            for place, record in records:
                self.waiting.pop(place, None)
                self.waiting[place] = record
                self.said += 1
            while len(self.waiting) > MOST_WAITING:
                del self.waiting[next(iter(self.waiting))]
            self.changed.notify()

    def settle(self, timeout: float) -> bool:
        """Waits until all that was said is safe; whether it is. For tests and the end of a process."""
        with self.changed:
            return self.changed.wait_for(
                lambda: (self.health is Health.OPEN and not self.waiting and self.safe == self.said), timeout
            )

    def stop(self) -> None:
        """The last batch is written, where that takes no more than `LAST`."""
        with self.changed:
            self.stopping = True
            self.changed.notify()
        if self.thread.is_alive():
            self.thread.join(LAST)
        self.folder.unlock()

    # the folder
    def _look(self) -> None:
        """What it holds now, and whether it is this process's to write."""
        try:
            self.folder.make()
        except OSError as fault:
            self._go(Health.FAILING, f"{self.folder.path}: {fault.strerror}")
            return
        writable = True
        try:
            if self.folder.held < 0 and not self.folder.lock():
                writable = False
                self._go(Health.BUSY, f"another process holds {self.folder.path}")
        except OSError as fault:
            writable = False
            self._go(Health.READ_ONLY, f"{self.folder.path}: {fault.strerror}")
        known = self.found.damaged
        try:
            self.found = read_store(self.folder, self.owner)
        except Refused as fault:
            self.found = Found()
            self.folder.unlock()
            self._go(Health.REFUSED, str(fault))
            return
        except OSError as fault:
            self._go(Health.FAILING, f"{self.folder.path}: {fault.strerror}")
            return
        for what in self.found.damaged if self.found.damaged != known else ():
            log.error("store: %s", what)
        if self.found.torn:
            log.info("store: %d bytes of a record that was being written were left out", self.found.torn)
        if writable:
            self._go(Health.OPEN, "")

    def _go(self, health: Health, why: str) -> None:
        if (health, why) != (self.health, self.why):
            self.health = health
            self.why = why
            level = logging.INFO if health in (Health.OPEN, Health.CLOSED) else logging.ERROR
            log.log(level, "store: %s%s", health.value, f": {why}" if why else "")

    # the thread
    def _run(self) -> None:
        self._flush({})  # its generation
        while not self.stopping:
            with self.changed:
                self.changed.wait_for(lambda: self.stopping or self._due(), RETRY)
            with self.changed:  # what comes within a moment goes with it
                self.changed.wait_for(lambda: self.stopping, FLUSH)
                batch = self.waiting
                self.waiting = {}
            if batch or self.health is not Health.OPEN:
                self._flush(batch)
        if self.store is not None:
            self.store.close()
            self._go(Health.CLOSED, "")

    def _due(self) -> bool:
        return bool(self.waiting) and self.health is Health.OPEN

    def _flush(self, batch: dict[tuple[str, str], Record]) -> None:
        begun = self.clock.monotonic()
        try:
            if self._begun():
                assert self.store is not None
                self.store.append(batch.values(), self.clock.wall_time())
                for fault in self.store.turned_away:
                    log.error("store: not kept: %s", fault)
                self.store.turned_away.clear()
                self._go(Health.OPEN, "")
                with self.changed:
                    self.safe = self.said - len(self.waiting)
                    self.changed.notify_all()
                self.slowest = max(self.slowest, self.clock.monotonic() - begun)
                return
        except OSError as fault:
            self._go(Health.FAILING, f"{self.folder.path}: {fault.strerror}")
            if self.store is not None:  # it has them in its state, and writes them with the next generation
                return
        with self.changed:  # said before, so what came meanwhile counts
            self.waiting = {**batch, **self.waiting}

    def _begun(self) -> bool:
        """Whether there is a store to write to, now."""
        if self.store is not None:
            return True
        if self.folder.held < 0:
            self._look()
            if self.folder.held < 0:
                return False
            self.replaced = True
        store = self.make(self.folder, self.owner)
        self.store = store
        store.begin(replace(self.found, state=self.found.state.copy()), self.clock.wall_time())
        return True

    @property
    def state(self) -> State:
        """As it was found."""
        return self.found.state
