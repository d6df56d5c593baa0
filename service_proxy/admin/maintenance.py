"""Maintenance of endpoints, as an overlay on the endpoint lists. Pure: the caller passes the time.

An endpoint in maintenance drains, whatever state a source lists. A reinstated endpoint counts as started at
the moment of its reinstatement, because it was most likely restarted during maintenance and the endpoint list
reports the restart late. Both therefore follow the policy's own rules on draining and on slow start.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from service_proxy.admin.errors import InvalidRecordError, MaintenanceLimitError, UnknownEndpointError
from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.policy.events import EndpointState

MAX_ENDPOINTS_IN_MAINTENANCE = 4096  # a site has hundreds of endpoints at most
RECORD_VERSION = 1


class MaintenanceOverlay:
    """Endpoints in maintenance and recently reinstated endpoints, applied to the endpoint lists.

    Times are wall times in s, because they outlive the process. `wall_offset` is wall time minus monotonic
    time, in s. `slow_start_window_s` is the time for which a reinstated endpoint counts as warming up.
    """

    def __init__(self, wall_offset: float, slow_start_window_s: float) -> None:
        self.wall_offset = wall_offset
        self.slow_start_window_s = slow_start_window_s
        self.in_maintenance: dict[str, float] = {}  # start of the maintenance, by endpoint name
        self.reinstated_at: dict[str, float] = {}  # time of the reinstatement, by endpoint name
        self.endpoints: dict[str, Endpoint] = {}  # endpoints by name, as the sources list them now
        # reinstated endpoints that no source lists as serving yet
        self.awaiting_reinstatement: set[str] = set()

    # Requests of the staff
    def start_maintenance(self, name: str, now: float) -> EndpointList:
        """Drain an endpoint, and return the list entries that change; a repeated request changes nothing.

        Raises:
            UnknownEndpointError: no endpoint has this name.
            MaintenanceLimitError: MAX_ENDPOINTS_IN_MAINTENANCE are in maintenance.
        """
        self._check_known(name)
        if name not in self.in_maintenance:
            if len(self.in_maintenance) >= MAX_ENDPOINTS_IN_MAINTENANCE:
                raise MaintenanceLimitError(name, MAX_ENDPOINTS_IN_MAINTENANCE)
            self.in_maintenance[name] = now
            self.reinstated_at.pop(name, None)
            self.awaiting_reinstatement.discard(name)
        return self._update([name])

    def end_maintenance(self, name: str, now: float) -> EndpointList:
        """Reinstate an endpoint and return the list entries that change; one call ends repeated requests.

        Raises:
            UnknownEndpointError: no endpoint has this name.
        """
        self._check_known(name)
        if self.in_maintenance.pop(name, None) is None:
            return self._update([])
        return self._reinstate({name: now})

    def _check_known(self, name: str) -> None:
        if name not in self.endpoints and name not in self.in_maintenance:
            raise UnknownEndpointError(name)

    # Endpoint lists
    def apply(self, listing: EndpointList) -> EndpointList:
        """Record the endpoints that a source lists, and return the list with maintenance applied."""
        if listing.is_snapshot:
            self.endpoints = {}
        for endpoint in listing.endpoints:
            if endpoint.entry.state is EndpointState.REMOVED:
                self.endpoints.pop(endpoint.name, None)
            else:
                self.endpoints[endpoint.name] = endpoint
        if not self.in_maintenance and not self.reinstated_at:
            return listing
        overridden = [self._override_endpoint(endpoint) for endpoint in listing.endpoints]
        return EndpointList(listing.version, listing.is_snapshot, overridden)

    def _reinstate(self, reinstated_at: Mapping[str, float]) -> EndpointList:
        self.reinstated_at |= reinstated_at
        self.awaiting_reinstatement.update(reinstated_at)
        return self._update(reinstated_at)

    def _override_endpoint(self, endpoint: Endpoint) -> Endpoint:
        entry = endpoint.entry
        if endpoint.name in self.in_maintenance:
            if entry.state is not EndpointState.SERVING:
                return endpoint
            return replace(endpoint, entry=replace(entry, state=EndpointState.DRAINING))
        reinstated_at = self.reinstated_at.get(endpoint.name)
        if reinstated_at is None:
            return endpoint
        started_at = max(entry.started_at, reinstated_at - self.wall_offset)
        reinstated = entry.state is EndpointState.SERVING and endpoint.name in self.awaiting_reinstatement
        if reinstated:
            self.awaiting_reinstatement.discard(endpoint.name)
        return replace(endpoint, entry=replace(entry, started_at=started_at, reinstated=reinstated))

    def _update(self, names: Iterable[str]) -> EndpointList:
        """Return an update with only the endpoints of these names."""
        listed = [self.endpoints[name] for name in names if name in self.endpoints]
        return EndpointList(0, False, [self._override_endpoint(endpoint) for endpoint in listed])

    def count_unavailable(self, ejected_endpoint_ids: set[int]) -> int:
        """Count the listed endpoints that get no requests.

        An endpoint gets no requests if it is in maintenance, or if the policy has ejected the endpoint
        (`ejected_endpoint_ids`).
        """
        return sum(
            name in self.in_maintenance or endpoint.entry.endpoint_id in ejected_endpoint_ids
            for name, endpoint in self.endpoints.items()
        )

    # Transfer to the next process
    def restore(self, in_maintenance: Mapping[str, float]) -> None:
        """Restore maintenance from a record that outlives the machine; known state takes precedence."""
        for name, since in in_maintenance.items():
            if name not in self.reinstated_at and len(self.in_maintenance) < MAX_ENDPOINTS_IN_MAINTENANCE:
                self.in_maintenance.setdefault(name, since)

    def encode_record(self, now: float) -> str:
        """Return the record that `apply_record` reads, in this process or in the next one."""
        self.reinstated_at = {
            name: at for name, at in self.reinstated_at.items() if now - at < self.slow_start_window_s
        }
        record = {"version": RECORD_VERSION, "out": self.in_maintenance, "back": self.reinstated_at}
        return json.dumps(record)

    def apply_record(self, text: str) -> EndpointList:
        """Apply a record that this or another process encoded, and return the list entries that change.

        Raises:
            ValueError: the text is not a valid record; nothing has changed.
        """
        raw = json.loads(text)
        if not isinstance(raw, Mapping) or raw.get("version") != RECORD_VERSION:
            raise InvalidRecordError("not a valid maintenance record")
        in_maintenance = _read_times(raw.get("out"))
        reinstated_at = _read_times(raw.get("back"))
        out_of_service = [name for name in in_maintenance if name not in self.in_maintenance]
        reinstated = [name for name, at in reinstated_at.items() if self.reinstated_at.get(name) != at]
        self.in_maintenance = in_maintenance
        self.reinstated_at = reinstated_at
        self.awaiting_reinstatement -= in_maintenance.keys()
        self.awaiting_reinstatement.update(reinstated)
        return self._update([*out_of_service, *reinstated])


def _read_times(raw: Any) -> dict[str, float]:
    """Return times by endpoint name; raise InvalidRecordError if they exceed the maintenance limit."""
    if not isinstance(raw, Mapping) or len(raw) > MAX_ENDPOINTS_IN_MAINTENANCE:
        raise InvalidRecordError("not a valid maintenance record")
    try:
        return {str(name): float(at) for name, at in raw.items()}
    except (TypeError, OverflowError) as error:
        raise InvalidRecordError(f"not a valid maintenance record: {error}") from None
