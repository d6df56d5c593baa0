"""Endpoints that share an address: only the one that started last can be there.

A process that dies leaves its entry in the list for a while. A new process may start at its address under
another name, and is listed beside it. This module contains no socket code and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from service_proxy.net.endpoint_list import Address, Endpoint, EndpointList
from service_proxy.policy.events import EndpointState


class AddressOwners:
    """Listed endpoints by address. An endpoint whose address belongs to a later process counts as removed.

    It counts as removed until its own entry has another address or a later start.
    """

    def __init__(self) -> None:
        self._listed: dict[int, Endpoint] = {}
        self._ids_by_address: dict[Address, set[int]] = {}
        self._superseded: set[int] = set()

    def resolve(self, endpoint_list: EndpointList) -> EndpointList:
        """Record a list, and return it with the endpoints removed whose address has a later owner."""
        changed = {endpoint.entry.endpoint_id: endpoint for endpoint in endpoint_list.endpoints}
        if endpoint_list.is_snapshot:
            for endpoint_id in [i for i in self._listed if i not in changed]:
                self._forget(endpoint_id)
        for endpoint in endpoint_list.endpoints:
            self._record(endpoint)
        self._supersede(endpoint.address for endpoint in endpoint_list.endpoints)
        shared = self._ids_at(endpoint.address for endpoint in endpoint_list.endpoints)
        superseded = self._superseded & (shared | changed.keys())
        if not superseded:
            return endpoint_list
        changed |= {endpoint_id: _removed(self._listed[endpoint_id]) for endpoint_id in superseded}
        return EndpointList(endpoint_list.version, endpoint_list.is_snapshot, list(changed.values()))

    def _record(self, endpoint: Endpoint) -> None:
        entry = endpoint.entry
        earlier = self._listed.get(entry.endpoint_id)
        if entry.state is EndpointState.REMOVED:
            self._forget(entry.endpoint_id)
            return
        is_same_process = (
            earlier is not None
            and earlier.address == endpoint.address
            and earlier.entry.started_at >= entry.started_at
        )
        if not is_same_process:
            self._forget(entry.endpoint_id)
        self._listed[entry.endpoint_id] = endpoint
        self._ids_by_address.setdefault(endpoint.address, set()).add(entry.endpoint_id)

    def _forget(self, endpoint_id: int) -> None:
        endpoint = self._listed.pop(endpoint_id, None)
        self._superseded.discard(endpoint_id)
        if endpoint is not None:
            ids = self._ids_by_address[endpoint.address]
            ids.discard(endpoint_id)
            if not ids:
                del self._ids_by_address[endpoint.address]

    def _ids_at(self, addresses: Iterable[Address]) -> set[int]:
        ids: set[int] = set()
        for address in addresses:
            at_address = self._ids_by_address.get(address, ())
            if len(at_address) > 1:
                ids.update(at_address)
        return ids

    def _supersede(self, addresses: Iterable[Address]) -> None:
        """Mark the endpoints at these addresses that a later process has replaced."""
        for address in addresses:
            ids = self._ids_by_address.get(address, ())
            latest = max((self._listed[endpoint_id].entry.started_at for endpoint_id in ids), default=0.0)
            self._superseded |= {i for i in ids if self._listed[i].entry.started_at < latest}


def _removed(endpoint: Endpoint) -> Endpoint:
    return replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.REMOVED))
