"""What recovery has to say on lists: which servers are cold and from when, whose turn comes when, who is out
since before, and that a list is not believed which names hardly anybody. Pure: who asks brings the time.

It acts on lists as they come, before any other overlay, and says what changes when what is known of the loss
does. With no loss and nothing out it changes nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from service_proxy.net.listing import Listed, Listing
from service_proxy.policy.events import EndpointState
from service_proxy.recovery.staggered_start import place, wait

BELIEVED = 0.5  # share of those that were known, below which a whole list is not taken at its word
BROKEN = 3  # failures in a row, of connections, after which a server that answered has fallen


class Overlay:
    """Times are monotonic, s. `now` never goes back."""

    def __init__(self, me: str, cold_for: float, began: float) -> None:
        self.me = me
        self.cold_for = cold_for
        self.began = began
        self.listed: dict[str, Listed] = {}  # by the sources
        self.known: dict[str, Listed] = {}  # by the sources or from before, while recovery lasts
        self.numbers: dict[int, str] = {}
        self.answers: dict[str, float] = {}  # since when
        self.broken: dict[str, int] = {}
        self.out: frozenset[str] = frozenset()  # for maintenance since before
        self.lost: frozenset[str] | None = frozenset()  # zones; None: all
        self.proxies: tuple[str, ...] = (me,)
        self.over = False
        self.fell_at = float("-inf")
        self.doubted = 0  # lists that were not believed

    def before(self, listed: Iterable[Listed]) -> None:
        """Servers that a store names; addresses to try until a source says more."""
        for item in listed:
            self.known.setdefault(item.name, item)
            self.numbers[item.entry.endpoint_id] = item.name

    # lists
    def overlay(self, listing: Listing) -> Listing:
        """The list as it is in force."""
        if listing.whole and not self.over and self._doubts(listing):
            self.doubted += 1
            listing = Listing(listing.version, False, listing.backends)
        if listing.whole:
            self.listed = {}
            named = {item.name for item in listing.backends}
            for name in [name for name in self.known if name not in named]:
                self._forget(name)
        for item in listing.backends:
            if item.entry.state is EndpointState.REMOVED:
                self.listed.pop(item.name, None)
                self._forget(item.name)
            else:
                self.listed[item.name] = self.known[item.name] = item
                self.numbers[item.entry.endpoint_id] = item.name
        return Listing(listing.version, listing.whole, [self.in_force(item) for item in listing.backends])

    def _doubts(self, listing: Listing) -> bool:
        """A source that has just come up may name few or nobody: those that answer are not gone by that."""
        named = sum(item.entry.state is not EndpointState.REMOVED for item in listing.backends)
        answering = sum(name in self.answers for name in self.known)
        return named < BELIEVED * len(self.known) and (answering > 0 or not named)

    def _forget(self, name: str) -> None:
        self.known.pop(name, None)
        self.answers.pop(name, None)
        self.broken.pop(name, None)

    def in_force(self, item: Listed) -> Listed:
        entry = item.entry
        if item.name in self.out and entry.state is EndpointState.SERVING:
            entry = replace(entry, state=EndpointState.DRAINING)
        if not self.over and self.cold(entry.zone):
            since = self.answers.get(item.name, self.began)
            turn = place(item.name, self.me, self.proxies)
            entry = replace(
                entry,
                started_at=max(entry.started_at, since),
                not_before=since + wait(turn, len(self.proxies), self.cold_for),
            )
        return item if entry is item.entry else replace(item, entry=entry)

    def cold(self, zone: str) -> bool:
        return self.lost is None or zone in self.lost

    def all_in_force(self) -> Listing:
        """Everything anew, where what is known of the loss has changed."""
        whole = list(self.known.values())
        return Listing(0, False, [self.in_force(item) for item in whole])

    # what is known
    def happened(self, lost: frozenset[str] | None, proxies: Collection[str]) -> bool:
        """Which zones lost power, and which proxies of the tier live; whether lists change by it."""
        order = tuple(sorted({self.me, *proxies}))
        changed = (lost, order) != (self.lost, self.proxies)
        relevant = changed and (bool(lost) or lost is None or bool(self.lost) or self.lost is None)
        self.lost = lost
        self.proxies = order
        return relevant

    def end(self) -> Listing:
        """Recovery is over: lists are taken at their word again. Who was kept against one goes now."""
        self.over = True
        kept = [item for name, item in self.known.items() if name not in self.listed]
        for item in kept:
            self._forget(item.name)
        gone = [replace(item, entry=replace(item.entry, state=EndpointState.REMOVED)) for item in kept]
        return Listing(0, False, gone)

    # servers, by what the wire proved
    def answered(self, server: int, now: float) -> Listing | None:
        """Any answer of a process there; what changes where it is the first."""
        name = self.numbers.get(server)
        if name is None or name not in self.known:
            return None
        self.broken.pop(name, None)
        if name in self.answers:
            return None
        self.answers[name] = now
        item = self.known[name]
        if self.over or not self.cold(item.entry.zone):
            return None
        return Listing(0, False, [self.in_force(item)])

    def failed(self, server: int, now: float) -> bool:
        """A connection that was refused or broke; whether the server has fallen by it."""
        name = self.numbers.get(server)
        if name is None or name not in self.answers:
            return False
        self.broken[name] = self.broken.get(name, 0) + 1
        if self.broken[name] < BROKEN:
            return False
        del self.answers[name]
        self.fell_at = now
        return True

    def warm(self, now: float) -> bool:
        """Whether all that answer have done so for their cold time, or lost nothing."""
        return all(
            now - at >= self.cold_for
            for name, at in self.answers.items()
            if self.cold(self.known[name].entry.zone)
        )
