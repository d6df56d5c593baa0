"""Kinds of records in a store, and the state that a sequence of operations builds. Pure.

Times are wall times in s since 1970, because a record outlives its process. The number of records of each
kind is bounded, and the oldest excess records are evicted. If an evicted record protected against a
duplicate execution, the state keeps the time until which any record of this kind may be missing
(`evicted_until`).

The names of kinds and of fields in the files are part of the stored format and stay as the first version
wrote them. An attribute whose field has another name in the files declares that name by `stored_as`. Only
this module translates the names.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, ClassVar

from service_proxy.recovery.record_format import RawRecord, RecoveryError

MAX_KEY_BYTES = 256
MAX_MAGNITUDE = 1e18  # Limit of the absolute value of a number in a file. No time, rate or weight reaches it.
STORED_NAME = "stored name"  # Key of the stored name in a field's metadata.


class MalformedRecordError(RecoveryError, ValueError):
    """Error of a record in a file that lacks a field or has one of the wrong type; the message names it."""


def stored_as(name: str) -> dict[str, str]:
    """Return the metadata of a field whose name in the file differs from its attribute."""
    return {STORED_NAME: name}


@dataclass(frozen=True, slots=True)
class BootRecord:
    """Last start of a process of this name.

    Attributes:
        start_count: number of starts so far, with this one.
        recorded_at: wall time, s.
        machine_id: identifier of the machine, "" for a machine without one.
        boot_id: identifier of the machine's boot, "" for a machine without one.
        ended_at: wall time of an orderly end, s; 0: no orderly end was recorded.
    """

    KIND: ClassVar[str] = "boot"
    MAX_COUNT: ClassVar[int] = 1
    start_count: int = field(metadata=stored_as("count"))
    recorded_at: float = field(metadata=stored_as("at"))
    machine_id: str = field(default="", metadata=stored_as("machine"))
    boot_id: str = field(default="", metadata=stored_as("boot"))
    ended_at: float = field(default=0.0, metadata=stored_as("ended"))


@dataclass(frozen=True, slots=True)
class EndpointSourceRecord:
    """Latest version of a source's endpoint list that was in force."""

    KIND: ClassVar[str] = "source"
    MAX_COUNT: ClassVar[int] = 16
    version: int
    recorded_at: float = field(metadata=stored_as("at"))


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Endpoint of the list in force.

    Attributes:
        started_at: wall time at which the endpoint started according to the list, s; 0: long ago.
    """

    KIND: ClassVar[str] = "server"
    MAX_COUNT: ClassVar[int] = 20_000
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = field(default=0, metadata=stored_as("group"))
    weight: float = 1.0
    is_draining: bool = field(default=False, metadata=stored_as("draining"))
    started_at: float = field(default=0.0, metadata=stored_as("since"))
    recorded_at: float = field(default=0.0, metadata=stored_as("at"))


@dataclass(frozen=True, slots=True)
class MaintenanceRecord:
    """Endpoint that an operator or a rolling operation has taken out of service.

    Attributes:
        is_returning: the endpoint is in service again and warming up.
    """

    KIND: ClassVar[str] = "maintenance"
    MAX_COUNT: ClassVar[int] = 4096
    recorded_at: float = field(metadata=stored_as("at"))
    reason: str = field(default="", metadata=stored_as("why"))
    is_returning: bool = field(default=False, metadata=stored_as("back"))


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Another proxy, as the membership view last showed it."""

    KIND: ClassVar[str] = "member"
    MAX_COUNT: ClassVar[int] = 20_000
    tier: str
    zone: str
    process_run: int = field(metadata=stored_as("run"))
    incarnation: int = field(metadata=stored_as("life"))
    recorded_at: float = field(metadata=stored_as("at"))


@dataclass(frozen=True, slots=True)
class PerformanceRecord:
    """Performance of an endpoint that the policy measured from its answers.

    Attributes:
        typical_latency: typical latency, s.
        concurrency_limit: limit of requests in flight.
    """

    KIND: ClassVar[str] = "learned"
    MAX_COUNT: ClassVar[int] = 20_000
    typical_latency: float = field(metadata=stored_as("pace"))
    concurrency_limit: float = field(metadata=stored_as("window"))
    recorded_at: float = field(metadata=stored_as("at"))


ALL_ENDPOINTS = "all"  # Deduplication scope of all endpoints.
ENDPOINT_ZONE_FIELD = "ran_in"  # Stored name of `KeyedRequestRecord.endpoint_zone`.


@dataclass(frozen=True, slots=True)
class KeyedRequestRecord:
    """Request that must not take effect twice and that may have been executed.

    Attributes:
        deduplication_scope: endpoints that drop a duplicate: the name of a zone, or "all"; "": no endpoint is
            known to drop one. The value is also "" if only the endpoints of one cell drop duplicates. Earlier
            versions wrote "all" in that case.
        recorded_at: wall time right before the first attempt, s. The endpoints drop duplicates for the
            idempotency window of the class from then on.
        expires_at: wall time until which a client may retry the request, s.
        endpoint_zone: zone of the endpoint that the first attempt was sent to; "": unknown, as in records of
            earlier versions, whose `deduplication_scope` is the zone of the proxy.
    """

    KIND: ClassVar[str] = "keyed"
    MAX_COUNT: ClassVar[int] = 20_000
    request_class: str = field(metadata=stored_as("cls"))
    deduplication_scope: str = field(metadata=stored_as("group"))
    recorded_at: float = field(metadata=stored_as("at"))
    expires_at: float = field(metadata=stored_as("until"))
    endpoint_zone: str = field(default="", metadata=stored_as(ENDPOINT_ZONE_FIELD))

    @property
    def confining_zone(self) -> str | None:
        """Return the zone whose endpoints drop a duplicate; None: all endpoints drop one."""
        return None if self.deduplication_scope == ALL_ENDPOINTS else self.deduplication_scope

    @property
    def has_known_scope(self) -> bool:
        """Return whether it is known which endpoints drop a duplicate."""
        return self.deduplication_scope == ALL_ENDPOINTS or bool(
            self.deduplication_scope and self.deduplication_scope == self.endpoint_zone
        )


PersistedRecord = (
    BootRecord
    | EndpointSourceRecord
    | EndpointRecord
    | MaintenanceRecord
    | MemberRecord
    | PerformanceRecord
    | KeyedRequestRecord
)
RECORD_TYPES: dict[str, type[Any]] = {
    cls.KIND: cls
    for cls in (
        BootRecord,
        EndpointSourceRecord,
        EndpointRecord,
        MaintenanceRecord,
        MemberRecord,
        PerformanceRecord,
        KeyedRequestRecord,
    )
}


def _stored_name(item: Field[Any]) -> str:
    return str(item.metadata.get(STORED_NAME, item.name))


# Attributes, types and required fields by kind and by stored field name, in the order in which the fields are
# written.
ATTRIBUTES = {
    kind: {_stored_name(item): item.name for item in fields(cls)} for kind, cls in RECORD_TYPES.items()
}
FIELD_TYPES = {
    kind: {_stored_name(item): item.type for item in fields(cls)} for kind, cls in RECORD_TYPES.items()
}
REQUIRED_FIELDS = {
    kind: {_stored_name(item) for item in fields(cls) if item.default is MISSING}
    for kind, cls in RECORD_TYPES.items()
}
JSON_TYPES: dict[Any, tuple[type, ...]] = {
    "int": (int,),
    "float": (int, float),
    "str": (str,),
    "bool": (bool,),
}

# Keys of operations in the files.
PUT = "put"  # The value is the record's kind.
DROP = "drop"
# The value is a kind of which records were evicted; "until" is the latest expiry of these records.
EVICTED = "blind"
KEY = "key"
UNTIL = "until"


def stored_fields(record: PersistedRecord) -> dict[str, Any]:
    """Return the fields of a record by their stored names."""
    operation = put_operation("", record)
    return {name: operation[name] for name in ATTRIBUTES[record.KIND] if name in operation}


def put_operation(key: str, record: PersistedRecord) -> RawRecord:
    """Return the operation that adds or replaces a record."""
    operation: RawRecord = {PUT: record.KIND, KEY: key}
    # This code runs for each keyed request, and dataclasses.asdict takes five times as long.
    for name, attribute in ATTRIBUTES[record.KIND].items():
        operation[name] = getattr(record, attribute)
    if isinstance(record, KeyedRequestRecord) and not record.endpoint_zone:
        del operation[ENDPOINT_ZONE_FIELD]  # A record that lacks it is written as by earlier versions.
    return operation


def drop_operation(kind: str, key: str) -> RawRecord:
    """Return the operation that removes a record."""
    return {DROP: kind, KEY: key}


def parse_record(kind: str, raw: Mapping[str, Any]) -> PersistedRecord:
    """Build a record of a known kind from an operation. Fields of newer versions are ignored.

    Raises:
        MalformedRecordError: a field is missing or has the wrong type.
    """
    attributes = ATTRIBUTES[kind]
    field_types = FIELD_TYPES[kind]
    values = {}
    for name, value in raw.items():
        if name not in attributes:
            continue
        is_out_of_range = type(value) is float and not abs(value) < MAX_MAGNITUDE  # Also true for NaN.
        if type(value) not in JSON_TYPES[field_types[name]] or is_out_of_range:
            raise MalformedRecordError(f"field {name} of a {kind} record has the invalid value {value!r:.40}")
        values[attributes[name]] = value
    missing = REQUIRED_FIELDS[kind] - raw.keys()
    if missing:
        raise MalformedRecordError(f"a {kind} record lacks {', '.join(sorted(missing))}")
    record: PersistedRecord = RECORD_TYPES[kind](**values)
    return record


@dataclass
class PersistedState:
    """All records by kind and key, in the order in which they were last written.

    Attributes:
        tables: records by key, for each kind.
        evicted_until: latest expiry of the evicted protective records, by kind.
        unknown_records: number of operations on kinds that only a newer version defines.
    """

    tables: dict[str, dict[str, PersistedRecord]] = field(
        default_factory=lambda: {kind: {} for kind in RECORD_TYPES}
    )
    evicted_until: dict[str, float] = field(default_factory=dict)
    unknown_records: int = 0

    def apply(self, operation: RawRecord) -> None:
        """Apply one operation.

        Raises:
            MalformedRecordError: the operation can't be applied; the state is unchanged.
        """
        key = operation.get(KEY)
        if not isinstance(key, str) or len(key.encode()) > MAX_KEY_BYTES:
            raise MalformedRecordError("an operation without a valid key")
        kind = operation.get(PUT) or operation.get(DROP) or operation.get(EVICTED)
        if kind not in RECORD_TYPES:
            self.unknown_records += 1
            return
        if PUT in operation:
            record = parse_record(kind, operation)
            table = self.tables[kind]
            table.pop(key, None)
            table[key] = record
            self._evict_excess(kind)
        elif DROP in operation:
            self.tables[kind].pop(key, None)
        else:
            until = operation.get(UNTIL)
            if not isinstance(until, int | float):
                raise MalformedRecordError("an eviction without an expiry time")
            self._record_eviction(kind, float(until))

    def _evict_excess(self, kind: str) -> None:
        table = self.tables[kind]
        while len(table) > RECORD_TYPES[kind].MAX_COUNT:
            evicted = table.pop(next(iter(table)))
            if isinstance(evicted, KeyedRequestRecord):
                self._record_eviction(kind, evicted.expires_at)

    def _record_eviction(self, kind: str, until: float) -> None:
        self.evicted_until[kind] = max(self.evicted_until.get(kind, 0.0), until)

    def operations(self) -> Iterator[RawRecord]:
        """Yield the shortest sequence of operations that builds this state."""
        for kind, until in self.evicted_until.items():
            yield {EVICTED: kind, KEY: "", UNTIL: until}
        for table in self.tables.values():
            for key, record in table.items():
                yield put_operation(key, record)

    def copy(self) -> PersistedState:
        """Return a copy that can be changed independently. Records are immutable and shared."""
        tables = {kind: dict(table) for kind, table in self.tables.items()}
        return PersistedState(tables, dict(self.evicted_until))

    def __len__(self) -> int:
        return sum(map(len, self.tables.values()))

    @property
    def boot(self) -> BootRecord | None:
        """Last recorded start of a process of this name, if any."""
        record = self.tables[BootRecord.KIND].get("")
        return record if isinstance(record, BootRecord) else None

    @property
    def latest_time(self) -> float:
        """Latest wall time in any record, s; 0 without records."""
        latest = 0.0
        for table in self.tables.values():
            for record in table.values():
                latest = max(latest, record.recorded_at)
                if isinstance(record, BootRecord):
                    latest = max(latest, record.ended_at)
        return latest
