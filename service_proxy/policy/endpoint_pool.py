"""All listed endpoints, and the pool of them that this proxy uses."""

from __future__ import annotations

from bisect import bisect_left, insort
from random import Random

from service_proxy.policy.endpoint import TrackedEndpoint
from service_proxy.policy.events import EndpointEntry, EndpointListUpdate, EndpointState, ListScope
from service_proxy.policy.settings_types import Settings
from service_proxy.policy.settings_user import SettingsUser

MAX_POOL_LOCAL = 10  # endpoints of the own zone that a proxy uses
MAX_POOL = 16  # endpoints that a proxy uses in all
MAX_LARGE_POOL = 48  # the same where endpoints are many and small
FAIR_SHARES = 3.0  # of the endpoints among the proxies, that a pool holds: some get several times the mean
ENDPOINTS_PER_MEMBER = 50  # serving, for each endpoint of the pool, before it grows: up to 800 it does not
GOLDEN_RATIO_FRACTION = 0.6180339887498949  # multiples of it, modulo 1, spread evenly however many there are


class EndpointPool(SettingsUser):
    """The endpoint list as it is known, and the bounded pool that requests go to.

    The pool is bounded so that health checks and connections don't grow as proxies times endpoints. Nothing
    here looks at all known endpoints but a whole list: the serving ones are kept in order, and the ejected
    and removed ones apart.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        super().__init__(settings)
        self.random = random
        self.known: dict[int, TrackedEndpoint] = {}
        self.members: list[TrackedEndpoint] = []
        self._listed_count = 0  # endpoints ever listed
        self._rings: dict[str, list[int]] = {}  # by zone: the ids of its serving endpoints, ascending
        self._ejected: dict[int, TrackedEndpoint] = {}
        self._removed: dict[int, TrackedEndpoint] = {}  # still known for their attempts in flight

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Take over an endpoint list, or the part of it that changed."""
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
        awaited = endpoint.awaits_first_request
        self._leave_ring(endpoint)
        endpoint.apply_entry(entry)
        self._enter_ring(endpoint)
        endpoint.awaits_first_request |= awaited and endpoint.state is EndpointState.SERVING
        if has_restarted:
            endpoint.forget_process()
            endpoint.slow_start_tokens = 1.0 if endpoint.awaits_first_request else self.random.random()
            self.set_ejection(endpoint, 0.0)
            endpoint.on_trial = False
        else:
            endpoint.slow_start_at = max(slow_start_at, entry.started_at)

    def _enter_ring(self, endpoint: TrackedEndpoint) -> None:
        """Note an endpoint's zone and state, as they are from now on."""
        if endpoint.state is EndpointState.SERVING:
            insort(self._rings.setdefault(endpoint.zone, []), endpoint.endpoint_id)
        elif endpoint.state is EndpointState.REMOVED:
            self._removed[endpoint.endpoint_id] = endpoint

    def _leave_ring(self, endpoint: TrackedEndpoint) -> None:
        """Forget an endpoint's zone and state, which are about to change."""
        if endpoint.state is EndpointState.SERVING:
            ring = self._rings[endpoint.zone]
            del ring[bisect_left(ring, endpoint.endpoint_id)]
            if not ring:
                del self._rings[endpoint.zone]
        else:
            self._removed.pop(endpoint.endpoint_id, None)

    def set_ejection(self, endpoint: TrackedEndpoint, until: float) -> None:
        """Eject an endpoint until that time; 0: it is not ejected."""
        endpoint.ejected_until = until
        if until:
            self._ejected[endpoint.endpoint_id] = endpoint
        else:
            self._ejected.pop(endpoint.endpoint_id, None)

    @property
    def ejected(self) -> list[TrackedEndpoint]:
        """All ejected endpoints that are listed as serving, in the order in which they were listed first."""
        serving = [e for e in self._ejected.values() if e.state is EndpointState.SERVING]
        return sorted(serving, key=lambda endpoint: endpoint.sequence)

    def rebuild(self) -> None:
        """Choose the pool anew.

        Each zone's endpoints form a ring; the proxies start at places spread evenly by their index. Ejected
        endpoints come last in their ring.
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
        # The first MAX_POOL members are those of a pool of the usual size.
        first_others = MAX_POOL - len(pool)
        pool += others[:first_others]
        pool += local[MAX_POOL_LOCAL:]
        self.members = pool + others[first_others : first_others + size - len(pool)]

    def _size(self) -> int:
        """Return how many endpoints this proxy uses at most.

        Where more endpoints share the same work, each does less of it, and sixteen of them may be less than
        one proxy needs. Guards against proxies with several times the mean traffic that reject requests
        before idle endpoints. Cost: more connections and health checks.
        """
        serving = sum(map(len, self._rings.values()))
        fair = FAIR_SHARES * serving / self.settings.proxy_count
        size = min(fair, serving / ENDPOINTS_PER_MEMBER, MAX_LARGE_POOL)
        return max(MAX_POOL, int(size))

    def _first_of_ring(self, zone: str, count: int) -> list[TrackedEndpoint]:
        """Return the serving endpoints of a zone that this proxy uses first, at most `count`."""
        ring = self._rings[zone]
        position = self.settings.proxy_index * GOLDEN_RATIO_FRACTION % 1.0
        start = int(position * len(ring))
        first: list[TrackedEndpoint] = []
        ejected: list[TrackedEndpoint] = []
        for index in range(start - len(ring), start):  # from `start` on, and round to it
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
        """Mean listed weight of the pool, which must not be empty."""
        return sum(endpoint.weight for endpoint in self.members) / len(self.members)

    @property
    def avoided(self) -> list[int]:
        """Ids of endpoints that are listed as serving and get no requests because they are ejected."""
        return [endpoint.endpoint_id for endpoint in self.ejected]
