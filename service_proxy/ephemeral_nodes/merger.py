"""Makes one list of what several sources say of the servers, by written rules. Pure: time comes with each
call.

The rules, in their order; docs/design/ephemeral.md weighs them:

1. Incarnation. Of opinions on one name, those whose start is older than the newest by more than SAME_START
   are outdated and count for nothing. A start of 0 is unknown, and as good as any.
2. Ends. Among the rest, an end (draining, gone, session lost) beats "ready", whoever told it and however old,
   until the same source says "ready" again or a newer incarnation is told. Absence from a source that never
   listed the name is no opinion.
3. Gone. A name is removed once no source says "ready" or "draining" of it; a session's loss counts as
   draining for WINDOW and as gone after it.
4. Mass loss. More than `share` of a source's servers lost within `within` s is held to be the source's fault:
   the loss that would pass that share is held, and the last word before it goes on to count. It ends for a
   name when the source lists it again, when another source tells its end, or after HOLD, once the source is
   fresh and so few are held that they would be no mass loss. A source's last server is always held.
5. Fields. Address, kind and weight come from the first of ORDER that is fresh, else from the first that is
   stale, then unreachable, then never heard.
6. Groups. Where two opinions give other zones or groups, which of them drops repeats is not known: the
   server is used, but in a group of its own, so that no keyed call is resent from or to it.
7. One address, one server. Of several ready names at one address, the first by rule 5's order, then by start
   (the newest), then by name is used, and the others are hidden. Where names differ in case only, an end of
   either is an end of both.
8. A source's health (stale, unreachable) removes nobody.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from service_proxy.net.endpoint_list import Address, Endpoint, EndpointList, endpoint_id_of
from service_proxy.net.endpoint_sources import SourceHealth
from service_proxy.policy.events import EndpointEntry, EndpointState

START_TOLERANCE_S = 2.0  # s by which two sources' starts of one process may differ
LOSS_WINDOW_S = 2.0  # s from a session's loss until its server is gone, the drain window of the rules
END_MEMORY_S = (
    60.0  # s for which an end is remembered that nobody contradicts: discovery lists late, up to 44 s
)
MAX_REMEMBERED_ENDS = 20_000  # names whose end is remembered
WITHHOLD_S = 600.0  # s after which a held loss may be believed
MEMBERSHIP = "membership"
DISCOVERY = "discovery"
SOURCE_ORDER = (MEMBERSHIP, DISCOVERY)  # who is believed first where none is fresher
HEALTH_ORDER = (SourceHealth.FRESH, SourceHealth.STALE, SourceHealth.UNREACHABLE, SourceHealth.NEVER_RECEIVED)


class ReportedStatus(Enum):
    """What a source says of a server."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # its session ended: draining for WINDOW, then gone
    GONE = "gone"


END_STATUSES = frozenset((ReportedStatus.DRAINING, ReportedStatus.LOST, ReportedStatus.GONE))


@dataclass(slots=True)
class SourceReport:
    """A source's word on one server."""

    endpoint: Endpoint
    status: ReportedStatus
    since: float  # when this word was told
    is_loss_withheld: bool = False  # a loss was told and is held to be the source's fault
    withheld_since: float = 0.0


@dataclass(slots=True)
class Decision:
    """What is in force for one server, and why."""

    endpoint: Endpoint
    source: str  # whose word decided
    reason: str


@dataclass(slots=True)
class SourceView:
    name: str
    mass_loss_share: float  # of its servers, above which a loss is held to be its own fault
    mass_loss_window_s: float  # s
    health: SourceHealth = SourceHealth.NEVER_RECEIVED
    reports: dict[str, SourceReport] = field(default_factory=dict)
    loss_times: deque[float] = field(default_factory=deque)  # when each loss that counted was told
    withheld_count: int = 0
    ready_count: int = 0  # opinions whose word is READY, those held among them

    def count_allowed_losses(self, now: float) -> int:
        """How many more losses count now. The base is what was ready before those of the last `within` s."""
        while self.loss_times and self.loss_times[0] <= now - self.mass_loss_window_s:
            self.loss_times.popleft()
        base = self.ready_count + len(self.loss_times)
        most = max(1, int(self.mass_loss_share * base)) - len(self.loss_times)
        return max(0, min(most, self.ready_count - 1))


class EndpointListMerger:
    """`told`, `ended`, `whole` and `health_is` take what sources say; `changes` gives what is new in
    force.
    """

    def __init__(self, share: float, within: float, order: tuple[str, ...] = SOURCE_ORDER) -> None:
        self.order = order
        self.sources = {name: SourceView(name, share, within) for name in order}
        self.decisions: dict[str, Decision] = {}  # by name: what was last given out
        self.dirty: dict[str, None] = {}
        self.version = 0
        self.serving_count = 0  # servers that are given out as serving
        self.names_by_address: dict[Address, dict[str, None]] = {}  # names that any source puts there
        self.names_by_casefold: dict[str, dict[str, None]] = {}  # names by their small letters
        self.loss_windows: deque[tuple[float, str]] = deque()  # when a loss's window ends
        self.tombstones: dict[
            str, float
        ] = {}  # names that are gone, and until when their ends are remembered
        self.notes: list[str] = []  # for the log, taken by `take_notes`
        self.last_notes: dict[str, str] = {}  # by name: the last disagreement that was noted

    # what sources say
    def set_health(self, source: str, health: SourceHealth) -> None:
        mine = self.sources[source]
        if mine.health is not health:
            self.notes.append(f"source {source} is {health.value} (was {mine.health.value})")
            mine.health = health
            self._touch(mine.reports)

    def update(self, source: str, entries: Iterable[Endpoint], now: float) -> None:
        """Servers that the source lists, ready or draining; a state GONE is an end like an absence."""
        gone = []
        for listed in entries:
            if listed.entry.state is EndpointState.REMOVED:
                gone.append(listed.name)
                continue
            word = (
                ReportedStatus.READY
                if listed.entry.state is EndpointState.SERVING
                else ReportedStatus.DRAINING
            )
            self._set(self.sources[source], listed, word, now)
        if gone:
            self.report_ended(source, gone, now, ReportedStatus.GONE)

    def replace_all(
        self, source: str, entries: Iterable[Endpoint], now: float, word: ReportedStatus = ReportedStatus.GONE
    ) -> None:
        """The source's whole list: what it listed before and does not now has ended."""
        listed = list(entries)
        names = {entry.name for entry in listed}
        self.update(source, listed, now)
        absent = [name for name in self.sources[source].reports if name not in names]
        self.report_ended(source, absent, now, word)

    def report_ended(
        self, source: str, names: Iterable[str], now: float, word: ReportedStatus = ReportedStatus.LOST
    ) -> None:
        """Servers that the source says are gone (GONE) or whose sessions are lost (LOST), told at once."""
        mine = self.sources[source]
        losing: list[str] = []
        for name in names:
            opinion = mine.reports.get(name)
            if opinion is None or opinion.status in (ReportedStatus.LOST, ReportedStatus.GONE):
                continue
            if opinion.status is ReportedStatus.DRAINING:  # an end that was announced is no loss
                self._end(mine, name, word, now)
            elif not opinion.is_loss_withheld:
                losing.append(name)
        if not losing:
            return
        if len(losing) > mine.count_allowed_losses(now) and self._holds(mine, losing):
            for name in losing:
                mine.reports[name].is_loss_withheld = True
                mine.reports[name].withheld_since = now
            mine.withheld_count += len(losing)
            self.notes.append(
                f"source {source} lost {len(losing)} of {mine.ready_count} servers "
                f"within {mine.mass_loss_window_s:g} s: held to be its own fault, and they stay in use"
            )
            self._touch(losing)
            return
        for name in losing:
            mine.loss_times.append(now)
            self._end(mine, name, word, now)

    def _holds(self, source: SourceView, names: list[str]) -> bool:
        """Discovery's word ends a server by the platform's rules: it is doubted only against another's."""
        if source.name != DISCOVERY:
            return True
        others = [other for other in self.sources.values() if other is not source]
        backed = sum(
            1
            for name in names
            if any(o.health is SourceHealth.FRESH and self._ready_by(o, name) for o in others)
        )
        return backed * 2 > len(names)

    @staticmethod
    def _ready_by(source: SourceView, name: str) -> bool:
        opinion = source.reports.get(name)
        return opinion is not None and opinion.status is ReportedStatus.READY and not opinion.is_loss_withheld

    def tick(self, now: float) -> None:
        """Windows that are over, and holds that are long enough. Call it at least each second."""
        while self.loss_windows and self.loss_windows[0][0] <= now:
            self.dirty[self.loss_windows.popleft()[1]] = None
        while self.tombstones:
            name, until = next(iter(self.tombstones.items()))
            if until > now and len(self.tombstones) <= MAX_REMEMBERED_ENDS:
                break
            del self.tombstones[name]
            self._forget(name)
        for source in self.sources.values():
            if source.withheld_count and source.health is SourceHealth.FRESH:
                due = [
                    n
                    for n, o in source.reports.items()
                    if o.is_loss_withheld and o.withheld_since <= now - WITHHOLD_S
                ]
                if due and len(due) == source.withheld_count and len(due) <= source.count_allowed_losses(now):
                    for name in due:
                        source.loss_times.append(now)
                        self._end(source, name, ReportedStatus.LOST, now)
                    self.notes.append(f"source {source.name} is back without {len(due)} servers: believed")

    def _set(self, source: SourceView, listed: Endpoint, word: ReportedStatus, now: float) -> None:
        name = listed.name
        opinion = source.reports.get(name)
        if opinion is not None:
            if opinion.is_loss_withheld:
                source.withheld_count -= 1
                opinion.is_loss_withheld = False
            elif opinion.status is word and opinion.endpoint == listed:
                return
            self._unplace(opinion.endpoint)
            opinion.endpoint = listed
            if opinion.status is not word:
                source.ready_count += (word is ReportedStatus.READY) - (
                    opinion.status is ReportedStatus.READY
                )
                opinion.status = word
                opinion.since = now
        else:
            source.reports[name] = SourceReport(listed, word, now)
            source.ready_count += word is ReportedStatus.READY
        self.names_by_address.setdefault(listed.address, {})[name] = None
        self.names_by_casefold.setdefault(name.casefold(), {})[name] = None
        self._touch((name,))

    def _end(self, source: SourceView, name: str, word: ReportedStatus, now: float) -> None:
        opinion = source.reports[name]
        if opinion.is_loss_withheld:
            source.withheld_count -= 1
            opinion.is_loss_withheld = False
        source.ready_count -= opinion.status is ReportedStatus.READY
        opinion.status = word
        opinion.since = now
        if word is ReportedStatus.LOST:
            self.loss_windows.append((now + LOSS_WINDOW_S, name))
        self._touch((name,))

    def _unplace(self, listed: Endpoint) -> None:
        names = self.names_by_address.get(listed.address)
        if names is not None and not any(
            opinion.endpoint.address == listed.address
            for source in self.sources.values()
            if (opinion := source.reports.get(listed.name)) is not None and opinion.endpoint is not listed
        ):
            names.pop(listed.name, None)
            self._touch(names)
            if not names:
                del self.names_by_address[listed.address]

    def _touch(self, names: Iterable[str]) -> None:
        """These, and those whose decision rests on them (rules 7)."""
        for name in list(names):
            self.dirty[name] = None
            for twin in self.names_by_casefold.get(name.casefold(), ()):
                self.dirty[twin] = None
            for source in self.sources.values():
                opinion = source.reports.get(name)
                if opinion is not None:
                    for neighbour in self.names_by_address.get(opinion.endpoint.address, ()):
                        self.dirty[neighbour] = None

    # what is in force
    def take_changes(self, now: float) -> EndpointList | None:
        """What has changed since the last call, as an incremental list; None where nothing has."""
        self.tick(now)
        found = []
        dirty = self.dirty
        self.dirty = {}
        for name in dirty:
            before = self.decisions.get(name)
            after = self._decide(name, now)
            if after is None:
                if before is not None:
                    del self.decisions[name]
                    self.serving_count -= is_serving(before)
                    self.last_notes.pop(name, None)
                    gone = replace(before.endpoint.entry, state=EndpointState.REMOVED)
                    found.append(Endpoint(before.endpoint.address, gone, name))
                    self._note(name, "removed", before)
                continue
            if before is not None:
                after.endpoint.entry.started_at = self._start(before.endpoint.entry, after.endpoint.entry)
            self.decisions[name] = after
            self.serving_count += is_serving(after) - is_serving(before)
            if before is None or before.endpoint != after.endpoint:
                found.append(after.endpoint)
            if before is None or (before.source, before.reason) != (after.source, after.reason):
                self._note(name, after.endpoint.entry.state.value, after)
        if not found:
            return None
        self.version += 1
        return EndpointList(self.version, False, found)

    def endpoints_in_force(self) -> list[Endpoint]:
        """All that is in force, by name."""
        return [self.decisions[name].endpoint for name in sorted(self.decisions)]

    def take_notes(self) -> list[str]:
        notes = self.notes
        self.notes = []
        return notes

    def _note(self, name: str, state: str, decision: Decision) -> None:
        """One line for each decision that a disagreement, a loss or a hold made; agreement is silent."""
        text = f"server {name}: {state}, decided by {decision.source}: {decision.reason}"
        if decision.reason != NO_DISAGREEMENT and self.last_notes.get(name) != text:
            self.last_notes[name] = text
            self.notes.append(text)

    @staticmethod
    def _start(before: EndpointEntry, after: EndpointEntry) -> float:
        """The start given out stays for one incarnation: another figure would look like a restart."""
        same = abs(after.started_at - before.started_at) <= START_TOLERANCE_S or after.started_at == 0.0
        return before.started_at if same else after.started_at

    def _opinions(self, name: str) -> list[tuple[SourceView, SourceReport]]:
        """Rule 1: those that speak of the newest incarnation, in the order of rule 5."""
        found = [
            (source, opinion)
            for health in HEALTH_ORDER
            for source in self.sources.values()
            if source.health is health and (opinion := source.reports.get(name)) is not None
        ]
        newest = max((opinion.endpoint.entry.started_at for _, opinion in found), default=0.0)
        return [
            (source, opinion)
            for source, opinion in found
            if opinion.endpoint.entry.started_at == 0.0
            or opinion.endpoint.entry.started_at >= newest - START_TOLERANCE_S
        ]

    def _word(self, opinion: SourceReport, now: float) -> ReportedStatus:
        """Rule 3: a loss is draining, then gone."""
        if opinion.status is ReportedStatus.LOST and now < opinion.since + LOSS_WINDOW_S:
            return ReportedStatus.DRAINING
        return ReportedStatus.GONE if opinion.status is ReportedStatus.LOST else opinion.status

    def _decide(self, name: str, now: float) -> Decision | None:
        opinions = self._opinions(name)
        words = [self._word(opinion, now) for _, opinion in opinions]
        if all(word is ReportedStatus.GONE for word in words):
            self.tombstones.setdefault(name, now + END_MEMORY_S)
            return None
        self.tombstones.pop(name, None)
        source, opinion = opinions[0]
        entry = replace(opinion.endpoint.entry)
        speaker = source.name
        why = NO_DISAGREEMENT
        ends = [(s, o) for (s, o), word in zip(opinions, words, strict=True) if word in END_STATUSES]
        if ends:
            entry.state = EndpointState.DRAINING
            speaker = ends[0][0].name
            why = f"{ends[0][1].status.value}, which beats ready (rule 2)"
            if len(ends) == len(opinions):
                why = "its session is lost" if ends[0][1].status is ReportedStatus.LOST else NO_DISAGREEMENT
        else:
            entry.state = EndpointState.SERVING
            if any(o.is_loss_withheld for _, o in opinions):
                why = "its loss is held to be the source's fault (rule 4)"
        entry.started_at = max(o.endpoint.entry.started_at for _, o in opinions)
        if not ends and len({o.endpoint.address for _, o in opinions}) > 1:
            why = "the sources give other addresses (rule 5)"
        places = {
            (o.endpoint.entry.zone, o.endpoint.entry.cell) for _, o in opinions if o.endpoint.entry.zone
        }
        if len(places) > 1:
            entry.zone, entry.cell = f"?{name}", -(endpoint_id_of(name) % (1 << 31)) - 1
            why = why if ends else "the sources give other zones or groups (rule 6)"
        if entry.state is EndpointState.SERVING:
            hider = self._twin_end(name, opinion) or self._hider(name, opinion, entry)
            if hider is not None:
                entry.state = EndpointState.DRAINING
                why = f"{hider} stands for this address (rule 7)"
        return Decision(Endpoint(opinion.endpoint.address, entry, name), speaker, why)

    def _twin_end(self, name: str, opinion: SourceReport) -> str | None:
        """A name that differs in case only, at the same address, and has ended."""
        for twin in self.names_by_casefold.get(name.casefold(), ()):
            if twin == name:
                continue
            for source in self.sources.values():
                other = source.reports.get(twin)
                if (
                    other is not None
                    and other.status in END_STATUSES
                    and other.endpoint.address == opinion.endpoint.address
                    and other.endpoint.entry.started_at
                    >= opinion.endpoint.entry.started_at - START_TOLERANCE_S
                ):
                    return twin
        return None

    def _hider(self, name: str, opinion: SourceReport, entry: EndpointEntry) -> str | None:
        """The name that is used in place of this one."""
        best = (self._rank(name), -entry.started_at, name)
        for other in self.names_by_address.get(opinion.endpoint.address, ()):
            if other == name:
                continue
            theirs = self._opinions(other)
            if not theirs or theirs[0][1].endpoint.address != opinion.endpoint.address:
                continue
            if any(o.status in END_STATUSES for _, o in theirs):
                continue
            start = max(o.endpoint.entry.started_at for _, o in theirs)
            if (self._rank(other), -start, other) < best:
                return other
        return None

    def _rank(self, name: str) -> int:
        opinions = self._opinions(name)
        return self.order.index(opinions[0][0].name) if opinions else len(self.order)

    def _forget(self, name: str) -> None:
        """All words on it were of its end, and none was contradicted for MEMORY."""
        for source in self.sources.values():
            opinion = source.reports.get(name)
            if opinion is not None:
                del source.reports[name]
                source.ready_count -= opinion.status is ReportedStatus.READY
                self._unplace(opinion.endpoint)
        names = self.names_by_casefold.get(name.casefold())
        if names is not None:
            names.pop(name, None)
            if not names:
                del self.names_by_casefold[name.casefold()]


def is_serving(decision: Decision | None) -> bool:
    return decision is not None and decision.endpoint.entry.state is EndpointState.SERVING


NO_DISAGREEMENT = "no source contradicts"
