"""All listed endpoints, and the pool of them that this proxy uses."""

from __future__ import annotations

from random import Random

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.events import EndpointEntry, EndpointListUpdate, EndpointState, ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

MAX_POOL_LOCAL = 10  # endpoints of the own zone that a proxy uses
MAX_POOL = 16  # endpoints that a proxy uses in all
GOLDEN_RATIO_FRACTION = 0.6180339887498949  # multiples of it, modulo 1, spread evenly however many there are


class EndpointPool(SettingsUser):
    """The endpoint list as it is known, and the bounded pool that requests go to.

    The pool is bounded so that health checks and connections don't grow as proxies times endpoints.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        super().__init__(settings)
        self.random = random
        self.known: dict[int, TrackedEndpoint] = {}
        self.members: list[TrackedEndpoint] = []

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Take over an endpoint list, or the part of it that changed."""
        listed = set()
        for entry in update.entries:
            listed.add(entry.endpoint_id)
            self._apply_entry(entry)
        if update.scope is not ListScope.INCREMENTAL:
            for endpoint in self.known.values():
                if endpoint.endpoint_id not in listed:
                    endpoint.state = EndpointState.REMOVED
        removed = [e for e in self.known.values() if e.state is EndpointState.REMOVED and not e.in_flight]
        for endpoint in removed:
            del self.known[endpoint.endpoint_id]
        self.rebuild()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.known.get(entry.endpoint_id)
        if endpoint is None:
            if entry.state is not EndpointState.REMOVED:
                self.known[entry.endpoint_id] = TrackedEndpoint(entry, self.random.random())
            return
        has_restarted = entry.started_at > endpoint.started_at
        slow_start_at = endpoint.slow_start_at
        awaited = endpoint.awaits_first_request
        endpoint.apply_entry(entry)
        endpoint.awaits_first_request |= awaited and endpoint.state is EndpointState.SERVING
        if has_restarted:
            endpoint.forget_process()
            endpoint.slow_start_tokens = 1.0 if endpoint.awaits_first_request else self.random.random()
            endpoint.ejected_until = 0.0
            endpoint.on_trial = False
        else:
            endpoint.slow_start_at = max(slow_start_at, entry.started_at)

    def rebuild(self) -> None:
        """Choose the pool anew.

        Each zone's endpoints form a ring; the proxies start at places spread evenly by their index. Ejected
        endpoints come last in their ring.
        """
        pool: list[TrackedEndpoint] = []
        remote: list[list[TrackedEndpoint]] = []
        for zone, ring in self._rings():
            if zone == self.settings.zone:
                pool = ring[:MAX_POOL_LOCAL]
            else:
                remote.append(ring)
        position = 0
        while len(pool) < MAX_POOL and any(len(ring) > position for ring in remote):
            for ring in remote:
                if len(ring) > position and len(pool) < MAX_POOL:
                    pool.append(ring[position])
            position += 1
        self.members = pool

    def _rings(self) -> list[tuple[str, list[TrackedEndpoint]]]:
        """Return the serving endpoints of each zone in the order in which this proxy uses them."""
        zones: dict[str, list[TrackedEndpoint]] = {}
        for endpoint_id in sorted(self.known):
            endpoint = self.known[endpoint_id]
            if endpoint.state is EndpointState.SERVING:
                zones.setdefault(endpoint.zone, []).append(endpoint)
        position = self.settings.proxy_index * GOLDEN_RATIO_FRACTION % 1.0
        rings = []
        for zone in sorted(zones):
            ring = zones[zone]
            start = int(position * len(ring))
            ring = ring[start:] + ring[:start]
            rings.append(
                (zone, [e for e in ring if not e.ejected_until] + [e for e in ring if e.ejected_until])
            )
        return rings

    @property
    def mean_weight(self) -> float:
        """Mean listed weight of the pool, which must not be empty."""
        return sum(endpoint.weight for endpoint in self.members) / len(self.members)

    @property
    def avoided(self) -> list[int]:
        """Ids of endpoints that are listed as serving and get no requests because they are ejected."""
        return [
            endpoint.endpoint_id
            for endpoint in self.known.values()
            if endpoint.ejected_until and endpoint.state is EndpointState.SERVING
        ]
