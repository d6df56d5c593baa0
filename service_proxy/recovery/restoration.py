"""State that a proxy restores from its store at the start, and conversion between endpoints and records.

`validity_rules` decides which records are used.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S
from service_proxy.net.endpoint_list import MIN_STARTED_AT_S, Endpoint, endpoint_id_of, parse_address
from service_proxy.policy.events import EndpointEntry, EndpointState
from service_proxy.recovery.peer_survey import KnownMember
from service_proxy.recovery.persisted_records import (
    EndpointRecord,
    MaintenanceRecord,
    MemberRecord,
    PersistedState,
)
from service_proxy.recovery.validity_rules import RestartContext, Validity, assess

log = logging.getLogger("service_proxy.recovery")


@dataclass(frozen=True, slots=True)
class RestoredState:
    """Records of a store that are still usable.

    Attributes:
        members: other proxies.
        endpoints: endpoints whose addresses are checked until a source lists them.
        endpoint_records: usable endpoint records by name, also those whose address is invalid.
        in_maintenance: start of each endpoint's maintenance (wall time, s), by the endpoint's name.
    """

    members: list[KnownMember] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    endpoint_records: dict[str, EndpointRecord] = field(default_factory=dict)
    in_maintenance: dict[str, float] = field(default_factory=dict)


def restore_state(state: PersistedState, context: RestartContext) -> RestoredState:
    """Return the usable records of a store, assessed before the scope of the outage is known."""
    restored = RestoredState()
    for name, record in state.tables[MemberRecord.KIND].items():
        if isinstance(record, MemberRecord) and _is_usable(record, context):
            restored.members.append(KnownMember(name, record.zone))
    for name, record in state.tables[EndpointRecord.KIND].items():
        if isinstance(record, EndpointRecord) and _is_usable(record, context):
            restored.endpoint_records[name] = record
            try:
                restored.endpoints.append(endpoint_of_record(name, record))
            except ValueError:
                log.error('stored_address_invalid endpoint=%s address="%.60s"', name, record.address)
    for name, record in state.tables[MaintenanceRecord.KIND].items():
        if isinstance(record, MaintenanceRecord) and not record.is_returning:
            restored.in_maintenance[name] = record.recorded_at
    return restored


def _is_usable(record: MemberRecord | EndpointRecord, context: RestartContext) -> bool:
    return assess(record, context).validity is not Validity.IGNORED


def endpoint_of_record(name: str, record: EndpointRecord) -> Endpoint:
    """Return the endpoint of a record.

    Raises:
        ValueError: the record's address can't be parsed.
    """
    started_at = max(MIN_STARTED_AT_S, record.started_at - WALL_CLOCK_OFFSET_S) if record.started_at else 0.0
    entry = EndpointEntry(
        endpoint_id=endpoint_id_of(name),
        zone=record.zone,
        endpoint_type=record.kind,
        cell=record.cell,
        state=EndpointState.DRAINING if record.is_draining else EndpointState.SERVING,
        weight=record.weight,
        started_at=started_at,
    )
    return Endpoint(parse_address(record.address), entry, name)


def record_of_endpoint(endpoint: Endpoint, now: float) -> EndpointRecord:
    """Return the record of an endpoint. `now` is wall time, s."""
    entry = endpoint.entry
    host, port = endpoint.address
    started_at = entry.started_at + WALL_CLOCK_OFFSET_S if entry.started_at else 0.0
    return EndpointRecord(
        address=f"{host}:{port}",
        zone=entry.zone,
        kind=entry.endpoint_type,
        cell=entry.cell,
        weight=entry.weight,
        is_draining=entry.state is EndpointState.DRAINING,
        started_at=round(started_at, 3),
        recorded_at=now,
    )
