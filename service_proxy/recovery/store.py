"""The files of a store, and the order of writes that makes a cut at any byte leave the state before or after.

Two files of the newest generation N hold everything: `snapshot-N`, a whole state, and `log-N`, what was said
since. What is written comes to the disk in this order, each step safe before the next begins:

    1  the whole snapshot as `snapshot-N.part`, synced
    2  its rename to `snapshot-N`, the folder synced: from here on generation N holds
    3  `log-N` with its head, synced, the folder synced
    4  older generations are removed

A file that was begun by an earlier process is never appended to: who opens a store begins a generation, so a
torn tail needs no mending. A write or sync that failed poisons its file (after a failed fsync a second one
proves nothing), and the next try is a new generation with all that is known. Nothing here waits for, or is
waited for by, a call: `keeper.py` runs it in a thread of its own.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from typing import Any, Protocol

from service_proxy.recovery.persisted_records import Malformed, State
from service_proxy.recovery.record_format import FORMAT, Record, Scan, TooLong, encode, scan

MOST_FILE = 64 << 20  # bytes of a file that is read; a larger one is not this program's
LEAST_LOG = 256 << 10  # bytes of a log before it is taken up in a snapshot ...
LOG_SHARE = 2.0  # ... and of the snapshot's own size
PIECE = 64 << 10  # bytes of a snapshot that are written at once
NAME = re.compile(r"(snapshot|log)-(\d{8})(\.part)?")
MIGRATIONS: dict[int, Callable[[Record], Record | None]] = {}  # from each older format to the next


class Disk(Protocol):
    """One folder. All calls raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str, most: int) -> bytes: ...

    def create(self, name: str) -> Any:
        """A new and empty file, or an old one made empty, for `write`, `sync` and `close`."""

    def write(self, file: Any, data: bytes) -> None:
        """All of it, or OSError with any part of it written."""

    def sync(self, file: Any) -> None: ...

    def close(self, file: Any) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...


class Refused(Exception):
    """The store is not for this process; the message says why and what to do. Nothing in it was touched."""


class Health(Enum):
    """What can be said of a store."""

    OPEN = "open"
    READ_ONLY = "read only"  # what is in it counts, and nothing is added
    BUSY = "another process has it"
    REFUSED = "not for this process"
    FAILING = "can't be written at the moment"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class Owner:
    """Whose store it is: the proxy's name, and its machine's mark, "" where it has none."""

    name: str
    machine: str = ""


@dataclass(slots=True)
class Found:
    """What a folder holds."""

    state: State = field(default_factory=State)
    owner: Owner = field(default_factory=lambda: Owner(""))
    generation: int = 0  # 0: nothing was there
    at: float = 0.0  # wall time of the newest file's beginning
    torn: int = 0  # bytes of a record that was being written
    damaged: list[str] = field(default_factory=list)  # what was safe once and can't be read, in words
    snapshot_bytes: int = 0
    log_bytes: int = 0


def generations(names: Iterable[str]) -> dict[int, set[str]]:
    """What files there are of each; parts that were never renamed are no file."""
    found: dict[int, set[str]] = {}
    for name in names:
        match = NAME.fullmatch(name)
        if match and not match[3]:
            found.setdefault(int(match[2]), set()).add(match[1])
    return found


def read_store(disk: Disk, owner: Owner | None) -> Found:
    """`owner`: None takes anybody's. Raises Refused and OSError; writes nothing."""
    found = Found()
    there = generations(disk.names())
    whole = False
    for generation in sorted(there, reverse=True):
        found.generation = max(found.generation, generation)
        if "snapshot" not in there[generation]:
            if "log" in there[generation] and not whole:
                found.damaged.append(f"log-{generation:08d} has no snapshot")
            continue
        name = f"snapshot-{generation:08d}"
        data = disk.read(name, MOST_FILE)
        read = scan(data, generation)
        head = _head(read, name, "snapshot", owner)
        if head is None or not read.records[-1:] or read.records[-1].get("end") != len(read.records) - 2:
            found.damaged.append(f"{name} is not whole")
            if not found.snapshot_bytes:  # what can be read of the newest, in case nothing else is whole
                found.snapshot_bytes = read.good
                _replay(found, read.records[1:] if head is not None else [], head or {}, name)
                if "log" in there[generation]:
                    _follow(disk, found, generation, owner)
            continue
        whole = True
        found.state = State()
        found.owner = Owner(str(head.get("name", "")), str(head.get("machine", "")))
        found.snapshot_bytes = len(data)
        found.at = max(found.at, float(head.get("at", 0.0)))
        _replay(found, read.records[1:-1], head, name)
        if "log" in there[generation]:
            _follow(disk, found, generation, owner)
        break
    return found


def _follow(disk: Disk, found: Found, generation: int, owner: Owner | None) -> None:
    """What was said since the snapshot."""
    name = f"log-{generation:08d}"
    data = disk.read(name, MOST_FILE)
    read = scan(data, generation)
    head = _head(read, name, "log", owner)
    found.torn = read.torn if not read.behind else 0
    if read.behind:
        found.damaged.append(f"{name} has {len(read.behind)} whole records behind a broken one")
    if head is None:  # cut in its head: nothing had been said yet
        return
    found.log_bytes = read.good
    found.at = max(found.at, float(head.get("at", 0.0)))
    # A fact that was said behind the damage is the latest word on its key all the same.
    _replay(found, read.records[1:] + read.behind, head, name)


def _head(read: Scan, name: str, what: str, owner: Owner | None) -> Record | None:
    """The first record, where it is this kind of file's and this process's. Raises Refused."""
    head = read.records[0] if read.records else {}
    version = head.get("format")
    if type(version) is not int or head.get("what") != what:
        return None
    if version > FORMAT:
        raise Refused(
            f"{name} has format {version}, and this program reads up to {FORMAT}: start the newer program, "
            "or move the folder away to begin without it"
        )
    missing = [step for step in range(version, FORMAT) if step not in MIGRATIONS]
    if missing:
        raise Refused(
            f"{name} has format {version}, older than this program reads: start the version before this one "
            "first, or move the folder away to begin without it"
        )
    if owner is None:
        return head
    if head.get("name") != owner.name:
        raise Refused(
            f"{name} was written by {head.get('name')}, and this is {owner.name}: give each proxy a folder "
            "of its own, or move this one to where it belongs"
        )
    machine = str(head.get("machine", ""))
    if machine and owner.machine and machine != owner.machine:
        raise Refused(
            f"{name} was written on another machine ({machine:.8}, this one is {owner.machine:.8}): what it "
            "says is of there; move the folder away to begin without it"
        )
    return head


def _replay(found: Found, records: list[Record], head: Record, name: str) -> None:
    for record in records:
        said: Record | None = record
        for step in range(int(head.get("format", FORMAT)), FORMAT):
            said = MIGRATIONS[step](said) if said is not None else None
        if said is None:
            continue
        try:
            found.state.apply(said)
        except Malformed as fault:  # its checksum holds, so a program wrote it so
            found.damaged.append(f"{name}: {fault}")


class Store:
    """Writes. One thread's; all calls raise OSError, and after one nothing more is appended to the log."""

    def __init__(self, disk: Disk, owner: Owner, least_log: int = LEAST_LOG) -> None:
        self.disk = disk
        self.owner = owner
        self.least_log = least_log
        self.turned_away: list[str] = []
        self.state = State()
        self.generation = 0
        self.log: Any = None
        self.count = 0  # records in the log
        self.log_bytes = 0
        self.snapshot_bytes = 0

    def begin(self, found: Found, now: float) -> None:
        """Goes on from what was found, in a generation of its own."""
        self.state = found.state
        self.generation = found.generation
        self.compact(now)

    def append(self, records: Iterable[Record], now: float) -> None:
        """Returns once they are safe. What can't be kept (too long, malformed) is in `turned_away`."""
        lines: list[bytes] = []
        for record in records:
            try:
                line = encode(self.generation, self.count + len(lines), self.count, record)
                self.state.apply(record)
            except (TooLong, Malformed) as fault:
                self.turned_away.append(str(fault))
            else:
                lines.append(line)
        if self.log is None:
            self.compact(now)
            return
        data = b"".join(lines)
        # until it is known to be safe
        log = self.log
        self.log = None
        try:
            self._add(log, data)
        except OSError:
            self.disk.close(log)
            raise
        self.log = log
        self.count += len(lines)
        self.log_bytes += len(data)
        if self.log_bytes > max(self.least_log, LOG_SHARE * self.snapshot_bytes):
            self.compact(now)

    def _add(self, log: Any, data: bytes) -> None:
        self.disk.write(log, data)
        self.disk.sync(log)

    def compact(self, now: float) -> None:
        """Begins a generation with all that is known."""
        if self.log is not None:
            log = self.log
            self.log = None
            self.disk.close(log)
        self.generation += 1
        self._snapshot(now)
        self._install()
        self._begin_log(now)
        self._clear()

    def _snapshot(self, now: float) -> None:
        """Step 1."""
        name = f"snapshot-{self.generation:08d}.part"
        file = self.disk.create(name)
        try:
            self._write_whole(file, now)
        except OSError:
            self.disk.close(file)
            with contextlib.suppress(OSError):
                self.disk.remove(name)  # on a full disk the next try wants its room
            raise
        self.disk.close(file)

    def _write_whole(self, file: Any, now: float) -> None:
        whole = chain([self._header("snapshot", now)], self.state.records(), [{"end": len_of(self.state)}])
        self.snapshot_bytes, piece = 0, bytearray()
        for number, record in enumerate(whole):
            piece += encode(self.generation, number, 0, record)
            if len(piece) >= PIECE:
                self.disk.write(file, bytes(piece))
                self.snapshot_bytes += len(piece)
                piece.clear()
        self.disk.write(file, bytes(piece))
        self.snapshot_bytes += len(piece)
        self.disk.sync(file)

    def _install(self) -> None:
        """Step 2."""
        name = f"snapshot-{self.generation:08d}"
        self.disk.rename(name + ".part", name)
        self.disk.sync_folder()

    def _begin_log(self, now: float) -> None:
        """Step 3."""
        log = self.disk.create(f"log-{self.generation:08d}")
        head = encode(self.generation, 0, 0, self._header("log", now))
        try:
            self._add(log, head)
            self.disk.sync_folder()
        except OSError:
            self.disk.close(log)
            raise
        self.log, self.count, self.log_bytes = log, 1, len(head)

    def _clear(self) -> None:
        """Step 4. Logs go last: one without its snapshot is seen to be old, the other way round it is not."""
        old = [
            match
            for name in self.disk.names()
            if (match := NAME.fullmatch(name)) and (int(match[2]) < self.generation or match[3])
        ]
        for match in sorted(old, key=lambda match: (match[1] == "log", match[2])):
            self.disk.remove(match[0])

    def _header(self, what: str, now: float) -> Record:
        return {
            "format": FORMAT,
            "what": what,
            "name": self.owner.name,
            "machine": self.owner.machine,
            "at": now,
        }

    def close(self) -> None:
        if self.log is not None:
            log = self.log
            self.log = None
            self.disk.close(log)


def len_of(state: State) -> int:
    """Records that make the state anew."""
    return len(state) + len(state.blind)
