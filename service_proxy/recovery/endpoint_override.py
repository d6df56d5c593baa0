"""What recovery changes in endpoint lists. Pure: the caller brings the time.

It marks the endpoints that are warming up and says when this proxy may first send to each, drains those that
were in maintenance before, and rejects a list that names hardly any endpoint. It acts on lists as they come,
before any other override, and says what changes when more is known of the outage. With no outage and nothing
in maintenance it changes nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from service_proxy.net.endpoint_list import Endpoint, EndpointList
from service_proxy.policy.events import EndpointState
from service_proxy.recovery.staggered_start import start_delay, start_rank

MIN_LISTED_SHARE = 0.5  # of the known endpoints, below which a complete list is not believed
MAX_CONNECTION_FAILURES = 3  # in a row, after which an endpoint that had answered counts as failed


class EndpointListOverride:
    """Keeps what is known of the endpoints while service returns. Times are monotonic, s.

    Attributes:
        listed: endpoints by the sources.
        known: by the sources or from the store, while recovery lasts.
        names_by_id: names of endpoints by endpoint id.
        first_answers: when each endpoint that answers did so first.
        connection_failures: of each endpoint, in a row.
        in_maintenance: names of endpoints that were in maintenance before.
        affected_zones: whose endpoints are warming up; None: all.
        proxies: names of the proxies of the tier that are alive, sorted.
        is_finished: recovery is over.
        last_failure_at: when an endpoint that had answered failed last.
        rejected_lists: lists that were not believed.
    """

    def __init__(self, own_name: str, slow_start_window: float, started_at: float) -> None:
        """Take this proxy's name, the slow-start window (s) and when this process started."""
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
        """Add endpoints of the store: addresses to check until a source names them."""
        for endpoint in endpoints:
            self.known.setdefault(endpoint.name, endpoint)
            self.names_by_id[endpoint.entry.endpoint_id] = endpoint.name

    def apply(self, listing: EndpointList) -> EndpointList:
        """Take in a source's list; return it as it comes into force."""
        if listing.is_snapshot and not self.is_finished and self._is_implausible(listing):
            self.rejected_lists += 1
            listing = EndpointList(listing.version, False, listing.endpoints)
        if listing.is_snapshot:
            self._remove_unlisted(listing)
        for endpoint in listing.endpoints:
            if endpoint.entry.state is EndpointState.REMOVED:
                self.listed.pop(endpoint.name, None)
                self._forget(endpoint.name)
            else:
                self.listed[endpoint.name] = endpoint
                self.known[endpoint.name] = endpoint
                self.names_by_id[endpoint.entry.endpoint_id] = endpoint.name
        effective = [self.effective_endpoint(endpoint) for endpoint in listing.endpoints]
        return EndpointList(listing.version, listing.is_snapshot, effective)

    def _is_implausible(self, listing: EndpointList) -> bool:
        """Return whether a complete list names too few endpoints.

        A source that has just started may name few or none; that does not remove those that answer.
        """
        named = sum(endpoint.entry.state is not EndpointState.REMOVED for endpoint in listing.endpoints)
        answering = sum(name in self.first_answers for name in self.known)
        return named < MIN_LISTED_SHARE * len(self.known) and (answering > 0 or not named)

    def _remove_unlisted(self, listing: EndpointList) -> None:
        self.listed = {}
        names = {endpoint.name for endpoint in listing.endpoints}
        for name in [name for name in self.known if name not in names]:
            self._forget(name)

    def _forget(self, name: str) -> None:
        self.known.pop(name, None)
        self.first_answers.pop(name, None)
        self.connection_failures.pop(name, None)

    def effective_endpoint(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as it is in force: draining, or warming up from its first answer."""
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
        """Return whether endpoints of a zone lost power, whatever a list says of their start."""
        return self.affected_zones is None or zone in self.affected_zones

    def effective_list(self) -> EndpointList:
        """Return all known endpoints as they are in force, for when more is known of the outage."""
        return EndpointList(0, False, [self.effective_endpoint(endpoint) for endpoint in self.known.values()])

    def update_outage(self, affected_zones: frozenset[str] | None, proxies: Collection[str]) -> bool:
        """Take in which zones are affected and which proxies are alive; return whether lists change by it."""
        sorted_proxies = tuple(sorted({self.own_name, *proxies}))
        is_changed = (affected_zones, sorted_proxies) != (self.affected_zones, self.proxies)
        was_affected = self.affected_zones is None or bool(self.affected_zones)
        is_affected = affected_zones is None or bool(affected_zones)
        self.affected_zones = affected_zones
        self.proxies = sorted_proxies
        return is_changed and (is_affected or was_affected)

    def finish(self) -> EndpointList:
        """End the recovery: lists are believed again. Return the removal of what was kept against them."""
        self.is_finished = True
        unlisted = [endpoint for name, endpoint in self.known.items() if name not in self.listed]
        for endpoint in unlisted:
            self._forget(endpoint.name)
        removed = [
            replace(endpoint, entry=replace(endpoint.entry, state=EndpointState.REMOVED))
            for endpoint in unlisted
        ]
        return EndpointList(0, False, removed)

    def record_answer(self, endpoint_id: int, now: float) -> EndpointList | None:
        """Note that an endpoint's process answered; return what changes where it is the first time."""
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
        """Note a connection that was refused or broke; return whether the endpoint has failed by it."""
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
        """Return whether all that answer have done so for a slow-start window, or lost nothing."""
        return all(
            now - at >= self.slow_start_window
            for name, at in self.first_answers.items()
            if self.is_warming_up(self.known[name].entry.zone)
        )
