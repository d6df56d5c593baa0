"""Records that a later process of this name needs: members, endpoints, maintenance and boots."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from service_proxy.net.fleet_protocols import MembershipView
from service_proxy.recovery.async_store_writer import AsyncStoreWriter
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.persisted_records import (
    BootRecord,
    EndpointRecord,
    EndpointSourceRecord,
    MaintenanceRecord,
    MemberRecord,
)
from service_proxy.recovery.restoration import RestoredState, record_of_endpoint

DISCOVERY_SOURCE = "discovery"  # Key of the source record.
MAINTENANCE_REASON = "by hand"
INITIAL_VIEW_REVISION = -1  # Revision before any view was recorded.


class StateRecorder:
    """Writes the changes since its previous write to the store. `now` is wall time, s, in all methods."""

    def __init__(self, writer: AsyncStoreWriter, boot_id: str, restored: RestoredState) -> None:
        """Start from the restored records of the store."""
        self.writer = writer
        self.boot_id = boot_id
        last_boot = writer.state.boot
        self.start_count = last_boot.start_count + 1 if last_boot is not None else 1
        self.member_incarnations: dict[str, tuple[int, int]] = {}
        self.view_revision = INITIAL_VIEW_REVISION
        self.endpoint_records: dict[str, EndpointRecord] = dict(restored.endpoint_records)
        self.in_maintenance: dict[str, float] = dict(restored.in_maintenance)

    def start(self, now: float) -> None:
        """Start the writer, and record the start of this process."""
        self.writer.start()
        self.writer.put("", BootRecord(self.start_count, now, "", self.boot_id))

    def stop(self, now: float) -> None:
        """Record that this process ended in order, and close the store."""
        self.writer.put("", BootRecord(self.start_count, now, "", self.boot_id, now))
        self.writer.stop()

    def record_members(self, view: MembershipView, now: float) -> None:
        """Record the live members whose incarnation is not recorded yet."""
        if view.revision == self.view_revision:
            return
        self.view_revision = view.revision
        for member in view.members():
            process_run, incarnation = member.incarnation[:2]
            is_known = self.member_incarnations.get(member.name) == (process_run, incarnation)
            if member.state == "alive" and member.key != view.own_key and not is_known:
                self.member_incarnations[member.name] = process_run, incarnation
                record = MemberRecord(member.tier, member.zone, process_run, incarnation, now)
                self.writer.put(member.name, record)

    def record_endpoints(self, override: EndpointListOverride, list_version: int, now: float) -> None:
        """Record the endpoints in force that the sources list."""
        is_changed = False
        for name, endpoint in override.listed.items():
            record = record_of_endpoint(endpoint, now)
            previous = self.endpoint_records.get(name)
            if previous is None or record != replace(previous, recorded_at=record.recorded_at):
                self.endpoint_records[name] = record
                self.writer.put(name, record)
                is_changed = True
        for name in [name for name in self.endpoint_records if name not in override.listed]:
            if override.is_finished or name not in override.known:
                del self.endpoint_records[name]
                self.writer.drop(EndpointRecord.KIND, name)
                is_changed = True
        if is_changed:
            self.writer.put(DISCOVERY_SOURCE, EndpointSourceRecord(list_version, now))

    def record_maintenance(self, current: Mapping[str, float]) -> None:
        """Record which endpoints are in maintenance, and since when."""
        for name, since in current.items():
            if name not in self.in_maintenance:
                self.writer.put(name, MaintenanceRecord(since, MAINTENANCE_REASON))
        for name in self.in_maintenance.keys() - current.keys():
            self.writer.drop(MaintenanceRecord.KIND, name)
        self.in_maintenance = dict(current)
