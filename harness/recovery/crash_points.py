"""A recorded run of a store, cut at each point, and judged: the state before or the one after."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Iterator
from random import Random

from harness.recovery.crash_disk import Image, Tape, cuts
from service_proxy.recovery.persisted_records import (
    Boot,
    Fact,
    Keyed,
    Learned,
    Maintenance,
    Server,
    State,
    drop,
    put,
)
from service_proxy.recovery.record_format import Record
from service_proxy.recovery.store import Found, Owner, Refused, Store, read_store

OWNER = Owner("p0", "m0")
LEAST_LOG = 600  # bytes, so that a short run has several generations


def said(random: Random, count: int) -> Iterator[Record]:
    """Facts of all kinds, put, changed and dropped."""
    for number in range(count):
        key = f"n{random.randrange(6)}"
        facts: list[Fact] = [
            Server(f"10.0.0.{number % 250}:80", "a", at=float(number)),
            Maintenance(float(number), "new fan"),
            Learned(0.01 * number, 4.0, float(number)),
            Keyed("canje", "all", float(number), number + 5.0),
            Boot(number, float(number), "m0"),
        ]
        fact = random.choice(facts)
        if random.random() < 0.2:
            yield drop(fact.KIND, key)
        else:
            yield put("" if isinstance(fact, Boot) else key, fact)


def recorded(
    make: type[Store],
    seed: int,
    batches: int,
    image: Image | None = None,
    fault_at: int = -1,
    faults: int = 0,
    least_log: int = LEAST_LOG,
) -> tuple[Tape, list[State]]:
    """What a store did on its disk, and the state after each record that it was handed. From its step
    `fault_at` on, the disk fails so many times."""
    random = Random(f"store {seed}")
    tape = Tape(image)
    left = faults

    def fails(do: str, name: str) -> int:
        nonlocal left
        if left and 0 <= fault_at <= len(tape.steps) and do != "remove":
            left -= 1
            return errno.ENOSPC if do in ("create", "write") else errno.EIO
        return 0

    tape.fails = fails
    store = make(tape, OWNER, least_log)
    found = read_store(tape, OWNER) if image else Found()
    states = [found.state.copy()]
    with contextlib.suppress(OSError):
        store.begin(found, 0.0)
    for _ in range(batches):
        batch = list(said(random, random.randint(1, 4)))
        for record in batch:
            after = states[-1].copy()
            after.apply(record)
            states.append(after)
        tape.said += len(batch)
        try:
            store.append(batch, float(tape.said))
        except OSError:
            continue  # safe with the next that succeeds
        tape.safe = tape.said
    return tape, states


def wrong(tape: Tape, states: list[State]) -> Iterator[str]:
    """A sentence for each cut that leaves neither; "" for each that is right."""
    for image, (begun, safe) in cuts(tape):
        try:
            found = read_store(Tape(image), OWNER)
        except Refused as fault:
            yield f"refused: {fault}"
            continue
        may = [number for number in range(safe, begun + 1) if same(found.state, states[number])]
        if not may:
            yield f"{safe} records were safe, {begun} were said, and the state found is that of neither"
        elif found.damaged:
            yield f"a cut is held for damage: {found.damaged}"
        else:
            yield ""


def same(one: State, other: State) -> bool:
    return one.tables == other.tables and one.blind == other.blind
