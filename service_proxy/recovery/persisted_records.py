"""The kinds of facts that are kept, and the state that a sequence of records makes of them. Pure.

Times are wall times in s since 1970, for a fact outlives its process. Each kind has a bound; what is over it
makes room by its own rule, and where that loses something that was to keep harm away, the state says until
when everything counts as lost (`blind`).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from typing import Any, ClassVar

from service_proxy.recovery.record_format import Record

MOST_NAME = 256  # bytes of a name


class Malformed(ValueError):
    """A record that says nothing this program can use; the message says why."""


@dataclass(frozen=True, slots=True)
class Boot:
    """One start of a process of this name. `machine` and `boot` are the machine's own marks, "" if it has
    none."""

    KIND: ClassVar[str] = "boot"
    MOST: ClassVar[int] = 1
    count: int  # of starts, this one among them
    at: float
    machine: str = ""
    boot: str = ""
    ended: float = 0.0  # when it ended in order; 0: not yet, or it never came to that


@dataclass(frozen=True, slots=True)
class Source:
    """How far a source of servers had come."""

    KIND: ClassVar[str] = "source"
    MOST: ClassVar[int] = 16
    version: int
    at: float


@dataclass(frozen=True, slots=True)
class Server:
    """As the list in force had it."""

    KIND: ClassVar[str] = "server"
    MOST: ClassVar[int] = 20_000
    address: str
    zone: str = ""
    kind: str = ""
    group: int = 0
    weight: float = 1.0
    draining: bool = False
    since: float = 0.0  # when it started, by the list; 0: long ago
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class Maintenance:
    """A server that staff, or the agreed order of works, took out; or that came back, until it is warm."""

    KIND: ClassVar[str] = "maintenance"
    MOST: ClassVar[int] = 4096
    at: float
    why: str = ""
    back: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """Another proxy, as this one's view had it last."""

    KIND: ClassVar[str] = "member"
    MOST: ClassVar[int] = 20_000
    tier: str
    zone: str
    run: int
    life: int
    at: float


@dataclass(frozen=True, slots=True)
class Learned:
    """What the module found out of a server by its answers."""

    KIND: ClassVar[str] = "learned"
    MOST: ClassVar[int] = 20_000
    pace: float  # s of a usual answer
    window: float  # calls at once
    at: float


@dataclass(frozen=True, slots=True)
class Keyed:
    """A request that must not take effect twice, and that may have run."""

    KIND: ClassVar[str] = "keyed"
    MOST: ClassVar[int] = 20_000
    cls: str
    group: str  # which servers drop a repeat: a zone's or cell's name, or "all"; "": none does
    at: float
    until: float  # up to which a caller may still come again with it


Fact = Boot | Source | Server | Maintenance | Member | Learned | Keyed
KINDS: dict[str, type[Any]] = {
    cls.KIND: cls for cls in (Boot, Source, Server, Maintenance, Member, Learned, Keyed)
}
FIELDS = {name: {item.name: item.type for item in fields(cls)} for name, cls in KINDS.items()}
REQUIRED = {
    name: {item.name for item in fields(cls) if item.default is MISSING} for name, cls in KINDS.items()
}
TYPES: dict[Any, tuple[type, ...]] = {"int": (int,), "float": (int, float), "str": (str,), "bool": (bool,)}
BLIND = "blind"  # of kinds, until when; not a kind of its own


def put(key: str, fact: Fact) -> Record:
    """The record that says it."""
    record: Record = {"put": fact.KIND, "key": key}
    for name in FIELDS[fact.KIND]:  # asdict takes five times as long
        record[name] = getattr(fact, name)
    return record


def drop(kind: str, key: str) -> Record:
    return {"drop": kind, "key": key}


def read_fact(kind: str, raw: Mapping[str, Any]) -> Fact:
    """Raises Malformed."""
    cls = KINDS[kind]
    wanted = FIELDS[kind]
    values = {name: value for name, value in raw.items() if name in wanted}
    for name, value in values.items():
        types = TYPES[wanted[name]]
        if type(value) not in types or (type(value) is float and not abs(value) < 1e18):
            raise Malformed(f"{name} of a {kind} is {value!r:.40}")
    missing = REQUIRED[kind] - values.keys()
    if missing:
        raise Malformed(f"a {kind} without {', '.join(sorted(missing))}")
    found: Fact = cls(**values)
    return found


@dataclass
class State:
    """All facts, by kind and key, in the order in which they were last said."""

    tables: dict[str, dict[str, Fact]] = field(default_factory=lambda: {name: {} for name in KINDS})
    blind: dict[str, float] = field(default_factory=dict)  # kinds of which something was let go, until when
    skipped: int = 0  # records of kinds that a newer version knows

    def apply(self, record: Record) -> None:
        """Raises Malformed, and then nothing has changed."""
        key = record.get("key")
        if not isinstance(key, str) or len(key.encode()) > MOST_NAME:
            raise Malformed("a record without a key")
        kind = record.get("put") or record.get("drop") or record.get(BLIND)
        if kind not in KINDS:
            self.skipped += 1
            return
        table = self.tables[kind]
        if "put" in record:
            fact = read_fact(kind, record)
            table.pop(key, None)
            table[key] = fact
            self._bound(kind)
        elif "drop" in record:
            table.pop(key, None)
        else:
            until = record.get("until")
            if not isinstance(until, int | float):
                raise Malformed("a time of blindness that is none")
            self.blind[kind] = max(self.blind.get(kind, 0.0), float(until))

    def _bound(self, kind: str) -> None:
        """Who was said longest ago makes room. What kept harm away leaves its mark behind."""
        table = self.tables[kind]
        while len(table) > KINDS[kind].MOST:
            gone = table.pop(next(iter(table)))
            if isinstance(gone, Keyed):
                self.blind[kind] = max(self.blind.get(kind, 0.0), gone.until)

    def forget(self, now: float) -> list[Record]:
        """What has run its time; the records that say so."""
        over = [
            key
            for key, fact in self.tables[Keyed.KIND].items()
            if isinstance(fact, Keyed) and fact.until < now
        ]
        records = [drop(Keyed.KIND, key) for key in over]
        for record in records:
            self.apply(record)
        return records

    def records(self) -> Iterator[Record]:
        """The least that makes this state anew."""
        for kind, until in self.blind.items():
            yield {BLIND: kind, "key": "", "until": until}
        for table in self.tables.values():
            for key, fact in table.items():
                yield put(key, fact)

    def copy(self) -> State:
        """Facts are immutable and shared."""
        return State({kind: dict(table) for kind, table in self.tables.items()}, dict(self.blind))

    def __len__(self) -> int:
        return sum(map(len, self.tables.values()))

    @property
    def boot(self) -> Boot | None:
        found = self.tables[Boot.KIND].get("")
        return found if isinstance(found, Boot) else None

    @property
    def newest(self) -> float:
        """The latest time that any fact has; 0 where there is none."""
        latest = 0.0
        for table in self.tables.values():
            for fact in table.values():
                latest = max(latest, fact.at)
                if isinstance(fact, Boot):
                    latest = max(latest, fact.ended)
        return latest
