"""All listed endpoints, and the pool of endpoints that this proxy uses."""

from __future__ import annotations

from bisect import bisect_left, insort
from random import Random

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.events import EndpointEntry, EndpointListUpdate, EndpointState, ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

MAX_POOL_LOCAL = 10  # Upper bound of the local-zone endpoints among the first MAX_POOL members.
MAX_POOL = 16  # Upper bound of the members of a pool that is not enlarged.
MAX_LARGE_POOL = 48  # Upper bound of the members of an enlarged pool, for many small endpoints.
# Upper bound of an enlarged pool, as a multiple of one proxy's even share of the endpoints (serving endpoints
# divided by proxies). The multiple exceeds 1 because some proxies get several times the mean traffic.
FAIR_SHARES = 3.0
# Serving endpoints per member of an enlarged pool, so a pool is enlarged above 800 serving endpoints.
ENDPOINTS_PER_MEMBER = 50
# Longest time after which the endpoint list tells of a change (operators' page).
LIST_DELAY_S = 6.0
# Multiples of this number modulo 1 are evenly spread, whatever their count.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class EndpointPool(SettingsUser):
    """Endpoint list as last received, and the bounded pool that requests are sent to.

    The bound keeps health checks and connections from growing with the product of proxies and
    endpoints. Only a complete list causes a loop over all known endpoints: the serving endpoints are
    kept in order, and the ejected and the removed endpoints are kept separately.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        super().__init__(settings)
        self.random = random
        self.known: dict[int, TrackedEndpoint] = {}
        self.members: list[TrackedEndpoint] = []
        self._listed_count = 0  # Number of endpoints that were ever listed.
        self._rings: dict[str, list[int]] = {}  # Ids of the serving endpoints in ascending order, by zone.
        self._ejected: dict[int, TrackedEndpoint] = {}
        # Removed endpoints; discarded at the first update of the list at which no attempt to them is in
        # flight.
        self._removed: dict[int, TrackedEndpoint] = {}

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Apply a complete endpoint list or the changed entries of a list."""
        for entry in update.entries:
            self._apply_entry(entry)
        if update.scope is not ListScope.INCREMENTAL:
            listed = {entry.endpoint_id for entry in update.entries}
            for endpoint in self.known.values():
                if endpoint.endpoint_id not in listed:
                    self._leave_ring(endpoint)
                    endpoint.state = EndpointState.REMOVED
                    self._removed[endpoint.endpoint_id] = endpoint
        for endpoint in [e for e in self._removed.values() if not e.in_flight]:
            del self._removed[endpoint.endpoint_id]
            del self.known[endpoint.endpoint_id]
            self._ejected.pop(endpoint.endpoint_id, None)
        self.rebuild()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.known.get(entry.endpoint_id)
        if endpoint is None:
            if entry.state is not EndpointState.REMOVED:
                self._listed_count += 1
                endpoint = TrackedEndpoint(entry, self.random.random(), self._listed_count)
                self.known[entry.endpoint_id] = endpoint
                self._enter_ring(endpoint)
            return
        has_restarted = entry.started_at > endpoint.started_at
        slow_start_at = endpoint.slow_start_at
        was_awaiting_first_request = endpoint.awaits_first_request
        self._leave_ring(endpoint)
        endpoint.apply_entry(entry)
        self._enter_ring(endpoint)
        endpoint.awaits_first_request |= (
            was_awaiting_first_request and endpoint.state is EndpointState.SERVING
        )
        if has_restarted:
            endpoint.reset_process_state()
            endpoint.unverified_until = 0.0
            endpoint.slow_start_tokens = 1.0 if endpoint.awaits_first_request else self.random.random()
            self.set_ejection(endpoint, 0.0)
            endpoint.on_trial = False
        else:
            endpoint.slow_start_at = max(slow_start_at, entry.started_at)

    def on_process_replaced(self, endpoint_id: int, now: float) -> None:
        """Record that another process, which is cold and may be of another group, runs at an address."""
        endpoint = self.known.get(endpoint_id)
        if endpoint is None:
            return
        endpoint.unverified_until = now + LIST_DELAY_S
        endpoint.reset_process_state()
        endpoint.slow_start_at = now
        endpoint.slow_start_tokens = self.random.random()

    def _enter_ring(self, endpoint: TrackedEndpoint) -> None:
        """Add an endpoint to the ring of its zone if it serves, or to the removed endpoints."""
        if endpoint.state is EndpointState.SERVING:
            insort(self._rings.setdefault(endpoint.zone, []), endpoint.endpoint_id)
        elif endpoint.state is EndpointState.REMOVED:
            self._removed[endpoint.endpoint_id] = endpoint

    def _leave_ring(self, endpoint: TrackedEndpoint) -> None:
        """Remove an endpoint from its ring or from the removed endpoints, before its entry changes."""
        if endpoint.state is EndpointState.SERVING:
            ring = self._rings[endpoint.zone]
            del ring[bisect_left(ring, endpoint.endpoint_id)]
            if not ring:
                del self._rings[endpoint.zone]
        else:
            self._removed.pop(endpoint.endpoint_id, None)

    def set_ejection(self, endpoint: TrackedEndpoint, until: float) -> None:
        """Eject an endpoint until the given time, or end its ejection if the time is 0."""
        endpoint.ejected_until = until
        if until:
            self._ejected[endpoint.endpoint_id] = endpoint
        else:
            self._ejected.pop(endpoint.endpoint_id, None)

    @property
    def ejected(self) -> list[TrackedEndpoint]:
        """All ejected endpoints that are listed as serving, in the order of their first listing."""
        serving = [e for e in self._ejected.values() if e.state is EndpointState.SERVING]
        return sorted(serving, key=lambda endpoint: endpoint.sequence)

    def rebuild(self) -> None:
        """Choose the members of the pool.

        The endpoints of each zone form a ring, in the order of their ids. Each proxy uses consecutive
        endpoints of a ring. The start positions of the proxies are spread evenly by proxy index, so that the
        endpoints are used by similar numbers of proxies. Ejected endpoints are chosen last.
        """
        size = self._size()
        local: list[TrackedEndpoint] = []
        remote: list[list[TrackedEndpoint]] = []
        for zone in sorted(self._rings):
            if zone == self.settings.zone:
                local = self._first_of_ring(zone, size * MAX_POOL_LOCAL // MAX_POOL)
            else:
                remote.append(self._first_of_ring(zone, size))
        pool = local[:MAX_POOL_LOCAL]
        others = [ring[position] for position in range(size) for ring in remote if position < len(ring)]
        # The first MAX_POOL members are the same as in a pool that is not enlarged.
        first_others = MAX_POOL - len(pool)
        pool += others[:first_others]
        pool += local[MAX_POOL_LOCAL:]
        self.members = pool + others[first_others : first_others + size - len(pool)]

    def _size(self) -> int:
        """Return the largest number of endpoints that this proxy uses.

        If more endpoints share the same work, each endpoint does less, and MAX_POOL endpoints may be too
        few for one proxy. With a fixed size, proxies with several times the mean traffic would reject
        requests while other endpoints are idle. Cost: more connections and health checks.
        """
        serving = sum(map(len, self._rings.values()))
        fair_size = FAIR_SHARES * serving / self.settings.proxy_count
        size = min(fair_size, serving / ENDPOINTS_PER_MEMBER, MAX_LARGE_POOL)
        return max(MAX_POOL, int(size))

    def _first_of_ring(self, zone: str, count: int) -> list[TrackedEndpoint]:
        """Return at most `count` serving endpoints of a zone, in the order in which this proxy uses them."""
        ring = self._rings[zone]
        position = self.settings.proxy_index * GOLDEN_RATIO_FRACTION % 1.0
        start = int(position * len(ring))
        first: list[TrackedEndpoint] = []
        ejected: list[TrackedEndpoint] = []
        for index in range(start - len(ring), start):  # Negative indices wrap around the ring.
            endpoint = self.known[ring[index]]
            if endpoint.ejected_until:
                ejected.append(endpoint)
                continue
            first.append(endpoint)
            if len(first) == count:
                return first
        return (first + ejected)[:count]

    @property
    def mean_weight(self) -> float:
        """Mean listed weight of the members; the pool must not be empty."""
        return sum(endpoint.weight for endpoint in self.members) / len(self.members)

    @property
    def ejected_endpoint_ids(self) -> list[int]:
        """Ids of endpoints that are listed as serving and get no requests because they are ejected."""
        return [endpoint.endpoint_id for endpoint in self.ejected]
