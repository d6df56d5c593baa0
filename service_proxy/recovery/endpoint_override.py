"""Changes that recovery makes to endpoint lists. Pure: the caller passes the time.

The override marks the endpoints that are warming up and sets the earliest time at which this proxy may send
to each of them. It drains endpoints that were in maintenance before the restart, and it rejects a list that
names too few endpoints. It processes the sources' lists before any other override, and returns the changes
that follow from a new finding about the outage. Without an outage and without maintenance it changes
nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.policy.events import EndpointState
from service_proxy.recovery.staggered_start import start_delay, start_rank

# Smallest share of the known endpoints that a complete list must name to be accepted as complete.
MIN_LISTED_SHARE = 0.5
# Consecutive connection failures after which an endpoint that had answered is marked as failed.
MAX_CONNECTION_FAILURES = 3


class EndpointListOverride:
    """State of the endpoints during a recovery. Times are monotonic, s.

    Attributes:
        listed: endpoints that the sources list, by name, whether or not their list was accepted.
        known: endpoints that the sources list and, during the recovery, those of the store, by name.
        names_by_id: names of endpoints by endpoint id.
        first_answers: time of the first answer of each endpoint that answers, by name.
        connection_failures: number of consecutive connection failures of each endpoint, by name.
        in_maintenance: names of the endpoints that were in maintenance before the restart.
        affected_zones: zones whose endpoints are warming up; None: all zones.
        proxies: names of the live proxies of the tier, sorted.
        is_finished: the recovery has finished.
        last_failure_at: time of the last failure of an endpoint that had answered.
        rejected_lists: number of lists that were not accepted as complete.
    """

    def __init__(self, own_name: str, slow_start_window: float, started_at: float) -> None:
        """Initialise with this proxy's name, the slow-start window (s) and the start time of this process."""
        self.own_name = own_name
        self.slow_start_window = slow_start_window
        self.started_at = started_at
        self.listed: dict[str, Endpoint] = {}
        self.known: dict[str, Endpoint] = {}
        self.names_by_id: dict[int, str] = {}
        self.first_answers: dict[str, float] = {}
        self.connection_failures: dict[str, int] = {}
        self.in_maintenance: frozenset[str] = frozenset()
        self.affected_zones: frozenset[str] | None = frozenset()
        self.proxies: tuple[str, ...] = (own_name,)
        self.is_finished = False
        self.last_failure_at = float("-inf")
        self.rejected_lists = 0

    def add_restored(self, endpoints: Iterable[Endpoint]) -> None:
        """Add endpoints of the store; their addresses are checked until a source lists them."""
        for endpoint in endpoints:
            self.known.setdefault(endpoint.name, endpoint)
            self.names_by_id[endpoint.entry.endpoint_id] = endpoint.name

    def zone_of(self, endpoint_id: int) -> str | None:
        """Return the zone of a known endpoint, or None."""
        endpoint = self.known.get(self.names_by_id.get(endpoint_id, ""))
        return endpoint.entry.zone if endpoint is not None else None

    def apply(self, listing: EndpointList) -> EndpointList:
        """Update the known endpoints from a source's list; return the list that comes into force."""
        if listing.is_snapshot:
            # Also a rejected list is what the source lists: it comes into force when the recovery ends.
            self.listed = {}
        if listing.is_snapshot and not self.is_finished and self._is_implausible(listing):
            self.rejected_lists += 1
            listing = EndpointList(listing.version, False, listing.endpoints)
        if listing.is_snapshot:
            self._remove_unlisted(listing)
        for endpoint in listing.endpoints:
            if endpoint.entry.state is EndpointState.REMOVED:
                self.listed.pop(endpoint.name, None)
                self._remove_known(endpoint.name)
            else:
                self.listed[endpoint.name] = endpoint
                self.known[endpoint.name] = endpoint
                self.names_by_id[endpoint.entry.endpoint_id] = endpoint.name
        effective = [self.effective_endpoint(endpoint) for endpoint in listing.endpoints]
        return EndpointList(listing.version, listing.is_snapshot, effective)

    def _is_implausible(self, listing: EndpointList) -> bool:
        """Return whether a complete list names too few endpoints.

        A source that has just started may name few endpoints or none. Such a list must not remove endpoints
        that answer.
        """
        listed_count = sum(
            endpoint.entry.state is not EndpointState.REMOVED for endpoint in listing.endpoints
        )
        answering_count = sum(name in self.first_answers for name in self.known)
        return listed_count < MIN_LISTED_SHARE * len(self.known) and (answering_count > 0 or not listed_count)

    def _remove_unlisted(self, listing: EndpointList) -> None:
        names = {endpoint.name for endpoint in listing.endpoints}
        for name in [name for name in self.known if name not in names]:
            self._remove_known(name)

    def _remove_known(self, name: str) -> None:
        self.known.pop(name, None)
        self.first_answers.pop(name, None)
        self.connection_failures.pop(name, None)

    def effective_endpoint(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it is in force: draining, or warming up since its first answer."""
        entry = endpoint.entry
        if endpoint.name in self.in_maintenance and entry.state is EndpointState.SERVING:
            entry = replace(entry, state=EndpointState.DRAINING)
        if not self.is_finished and self.is_warming_up(entry.zone):
            first_answer = self.first_answers.get(endpoint.name, self.started_at)
            rank = start_rank(endpoint.name, self.own_name, self.proxies)
            delay = start_delay(rank, len(self.proxies), self.slow_start_window)
            entry = replace(
                entry,
                started_at=max(entry.started_at, first_answer),
                not_before=first_answer + delay,
            )
        return endpoint if entry is endpoint.entry else replace(endpoint, entry=entry)

    def is_warming_up(self, zone: str) -> bool:
        """Return whether the endpoints of a zone lost power, whatever start time a list gives for them."""
        return self.affected_zones is None or zone in self.affected_zones

    def effective_list(self) -> EndpointList:
        """Return all known endpoints as they are in force, for use after the outage finding has changed."""
        return EndpointList(0, False, [self.effective_endpoint(endpoint) for endpoint in self.known.values()])

    def update_outage(self, affected_zones: frozenset[str] | None, proxies: Collection[str]) -> bool:
        """Set the affected zones and the live proxies; return whether this changes endpoint lists."""
        sorted_proxies = tuple(sorted({self.own_name, *proxies}))
        is_changed = (affected_zones, sorted_proxies) != (self.affected_zones, self.proxies)
        was_affected = self.affected_zones is None or bool(self.affected_zones)
        is_affected = affected_zones is None or bool(affected_zones)
        self.affected_zones = affected_zones
        self.proxies = sorted_proxies
        return is_changed and (is_affected or was_affected)

    def finish(self) -> EndpointList:
        """End the recovery, and return the removal of all endpoints that no source lists.

        From now on, complete lists are always accepted.
        """
        self.is_finished = True
        unlisted = [endpoint for name, endpoint in self.known.items() if name not in self.listed]
        for endpoint in unlisted:
            self._remove_known(endpoint.name)
        removed = [
            replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.REMOVED))
            for endpoint in unlisted
        ]
        return EndpointList(0, False, removed)

    def record_answer(self, endpoint_id: int, now: float) -> EndpointList | None:
        """Record an answer of an endpoint; return the list change that its first answer causes, if any."""
        name = self.names_by_id.get(endpoint_id)
        if name is None or name not in self.known:
            return None
        self.connection_failures.pop(name, None)
        if name in self.first_answers:
            return None
        self.first_answers[name] = now
        endpoint = self.known[name]
        if self.is_finished or not self.is_warming_up(endpoint.entry.zone):
            return None
        return EndpointList(0, False, [self.effective_endpoint(endpoint)])

    def record_failure(self, endpoint_id: int, now: float) -> bool:
        """Record a refused or broken connection; return whether it marks the endpoint as failed."""
        name = self.names_by_id.get(endpoint_id)
        if name is None or name not in self.first_answers:
            return False
        self.connection_failures[name] = self.connection_failures.get(name, 0) + 1
        if self.connection_failures[name] < MAX_CONNECTION_FAILURES:
            return False
        del self.first_answers[name]
        self.last_failure_at = now
        return True

    def all_warm(self, now: float) -> bool:
        """Return whether each answering endpoint lost no power or has answered for a slow-start window."""
        return all(
            now - at >= self.slow_start_window
            for name, at in self.first_answers.items()
            if self.is_warming_up(self.known[name].entry.zone)
        )
