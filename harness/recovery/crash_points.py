"""Recorded runs of a store, with a crash at each point; the recovered state has to be a submitted one."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator
from random import Random

from harness.recovery.crash_disk import Action, Image, RecordingDirectory, crash_images
from service_proxy.recovery.persisted_records import (
    BootRecord,
    EndpointRecord,
    KeyedRequestRecord,
    MaintenanceRecord,
    PerformanceRecord,
    PersistedRecord,
    PersistedState,
    drop_operation,
    put_operation,
)
from service_proxy.recovery.record_format import RawRecord
from service_proxy.recovery.store import Store, StoreContents, StoreOwner, StoreRejectedError, read_store

OWNER = StoreOwner("p0", "m0")
MIN_LOG_BYTES = 600  # small, so that a short run has several generations
KEY_COUNT = 6
DROP_SHARE = 0.2
MAX_BATCH = 4  # records


def random_operations(random: Random, count: int) -> Iterator[RawRecord]:
    """Yield random operations on records of several kinds, which add, replace and drop records."""
    for number in range(count):
        key = f"n{random.randrange(KEY_COUNT)}"
        records: list[PersistedRecord] = [
            EndpointRecord(f"10.0.0.{number % 250}:80", "a", recorded_at=float(number)),
            MaintenanceRecord(float(number), "new fan"),
            PerformanceRecord(0.01 * number, 4.0, float(number)),
            KeyedRequestRecord("canje", "all", float(number), number + 5.0),
            BootRecord(number, float(number), "m0"),
        ]
        record = random.choice(records)
        if random.random() < DROP_SHARE:
            yield drop_operation(record.KIND, key)
        else:
            yield put_operation("" if isinstance(record, BootRecord) else key, record)


class FaultPlan:
    """Plan of a disk's faults: `fault_count` failures after `fault_at` operations; removals never fail."""

    def __init__(self, recording: RecordingDirectory, fault_at: int, fault_count: int) -> None:
        """Create a plan in which the disk fails after `fault_at` operations; never if negative."""
        self.recording = recording
        self.fault_at = fault_at
        self.remaining = fault_count

    def __call__(self, action: Action, _name: str) -> int:
        """Return the errno of an action, or 0."""
        is_due = 0 <= self.fault_at <= len(self.recording.operations)
        if not self.remaining or not is_due or action is Action.REMOVE:
            return 0
        self.remaining -= 1
        return errno.ENOSPC if action in (Action.CREATE, Action.WRITE) else errno.EIO


def record_store_run(
    store_class: type[Store],
    seed: int,
    batches: int,
    image: Image | None = None,
    fault_at: int = -1,
    fault_count: int = 0,
    min_log_bytes: int = MIN_LOG_BYTES,
) -> tuple[RecordingDirectory, list[PersistedState]]:
    """Record the disk operations of a store.

    Args:
        store_class: the store, or one with a planted bug.
        seed: seed of the records.
        batches: number of batches to append.
        image: files on the disk at the start.
        fault_at: number of operations after which the disk fails.
        fault_count: number of failures.
        min_log_bytes: size of a log before it is compacted.

    Returns:
        The recording, and the state after each submitted record.
    """
    random = Random(f"store {seed}")
    recording = RecordingDirectory(image)
    recording.fault_for = FaultPlan(recording, fault_at, fault_count)
    store = store_class(recording, OWNER, min_log_bytes)
    contents = read_store(recording, OWNER) if image else StoreContents()
    states = [contents.state.copy()]
    with contextlib.suppress(OSError):
        store.start_generation(contents, 0.0)
    for _ in range(batches):
        batch = list(random_operations(random, random.randint(1, MAX_BATCH)))
        for record in batch:
            next_state = states[-1].copy()
            next_state.apply(record)
            states.append(next_state)
        recording.submitted_count += len(batch)
        try:
            store.append(batch, float(recording.submitted_count))
        except OSError:
            continue  # the next successful batch makes these records durable
        recording.durable_count = recording.submitted_count
    return recording, states


def crash_faults(recording: RecordingDirectory, states: list[PersistedState]) -> Iterator[str]:
    """Yield a description for each crash that leaves an invalid state, and "" for each other crash."""
    for image, progress in crash_images(recording):
        try:
            contents = read_store(RecordingDirectory(image), OWNER)
        except StoreRejectedError as error:
            yield f"rejected: {error}"
            continue
        is_expected = any(
            same_state(contents.state, states[number])
            for number in range(progress.durable, progress.submitted + 1)
        )
        if not is_expected:
            counts = f"{progress.durable} records were durable, {progress.submitted} were submitted"
            yield f"{counts}, and the recovered state is neither of these nor between them"
        elif contents.damage:
            yield f"a crash is reported as damage: {contents.damage}"
        else:
            yield ""


def same_state(one: PersistedState, other: PersistedState) -> bool:
    """Return whether two states have the same records and evictions."""
    return one.tables == other.tables and one.evicted_until == other.evicted_until
