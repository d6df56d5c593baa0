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

SAME_START = 2.0  # s by which two sources' starts of one process may differ
WINDOW = 2.0  # s from a session's loss until its server is gone, the drain window of the rules
MEMORY = 60.0  # s for which an end is remembered that nobody contradicts: the padron lists late, up to 44 s
MOST_ENDED = 20_000  # names whose end is remembered
HOLD = 600.0  # s after which a held loss may be believed
MEMBERSHIP = "membership"
PADRON = "padron"
ORDER = (MEMBERSHIP, PADRON)  # who is believed first where none is fresher
HEALTHS = (SourceHealth.FRESH, SourceHealth.STALE, SourceHealth.UNREACHABLE, SourceHealth.NEVER_RECEIVED)


class Word(Enum):
    """What a source says of a server."""

    READY = "ready"
    DRAINING = "draining"
    LOST = "lost"  # its session ended: draining for WINDOW, then gone
    GONE = "gone"


ENDS = frozenset((Word.DRAINING, Word.LOST, Word.GONE))


@dataclass(slots=True)
class Opinion:
    """A source's word on one server."""

    listed: Endpoint
    word: Word
    since: float  # when this word was told
    held: bool = False  # a loss was told and is held to be the source's fault
    held_since: float = 0.0


@dataclass(slots=True)
class Decision:
    """What is in force for one server, and why."""

    listed: Endpoint
    source: str  # whose word decided
    why: str


@dataclass(slots=True)
class Source:
    name: str
    share: float  # of its servers, above which a loss is held to be its own fault
    within: float  # s
    health: SourceHealth = SourceHealth.NEVER_RECEIVED
    opinions: dict[str, Opinion] = field(default_factory=dict)
    losses: deque[float] = field(default_factory=deque)  # when each loss that counted was told
    held: int = 0
    ready: int = 0  # opinions whose word is READY, those held among them

    def allowed(self, now: float) -> int:
        """How many more losses count now. The base is what was ready before those of the last `within` s."""
        while self.losses and self.losses[0] <= now - self.within:
            self.losses.popleft()
        base = self.ready + len(self.losses)
        most = max(1, int(self.share * base)) - len(self.losses)
        return max(0, min(most, self.ready - 1))


class Merger:
    """`told`, `ended`, `whole` and `health_is` take what sources say; `changes` gives what is new in
    force.
    """

    def __init__(self, share: float, within: float, order: tuple[str, ...] = ORDER) -> None:
        self.order = order
        self.sources = {name: Source(name, share, within) for name in order}
        self.decided: dict[str, Decision] = {}  # by name: what was last given out
        self.dirty: dict[str, None] = {}
        self.version = 0
        self.usable = 0  # servers that are given out as serving
        self.by_address: dict[Address, dict[str, None]] = {}  # names that any source puts there
        self.by_case: dict[str, dict[str, None]] = {}  # names by their small letters
        self.windows: deque[tuple[float, str]] = deque()  # when a loss's window ends
        self.tombs: dict[str, float] = {}  # names that are gone, and until when their ends are remembered
        self.notes: list[str] = []  # for the log, taken by `take_notes`
        self.noted: dict[str, str] = {}  # by name: the last disagreement that was noted

    # what sources say
    def health_is(self, source: str, health: SourceHealth) -> None:
        mine = self.sources[source]
        if mine.health is not health:
            self.notes.append(f"source {source} is {health.value} (was {mine.health.value})")
            mine.health = health
            self._touch(mine.opinions)

    def told(self, source: str, entries: Iterable[Endpoint], now: float) -> None:
        """Servers that the source lists, ready or draining; a state GONE is an end like an absence."""
        gone = []
        for listed in entries:
            if listed.entry.state is EndpointState.REMOVED:
                gone.append(listed.name)
                continue
            word = Word.READY if listed.entry.state is EndpointState.SERVING else Word.DRAINING
            self._set(self.sources[source], listed, word, now)
        if gone:
            self.ended(source, gone, now, Word.GONE)

    def whole(self, source: str, entries: Iterable[Endpoint], now: float, word: Word = Word.GONE) -> None:
        """The source's whole list: what it listed before and does not now has ended."""
        listed = list(entries)
        names = {entry.name for entry in listed}
        self.told(source, listed, now)
        absent = [name for name in self.sources[source].opinions if name not in names]
        self.ended(source, absent, now, word)

    def ended(self, source: str, names: Iterable[str], now: float, word: Word = Word.LOST) -> None:
        """Servers that the source says are gone (GONE) or whose sessions are lost (LOST), told at once."""
        mine = self.sources[source]
        losing: list[str] = []
        for name in names:
            opinion = mine.opinions.get(name)
            if opinion is None or opinion.word in (Word.LOST, Word.GONE):
                continue
            if opinion.word is Word.DRAINING:  # an end that was announced is no loss
                self._end(mine, name, word, now)
            elif not opinion.held:
                losing.append(name)
        if not losing:
            return
        if len(losing) > mine.allowed(now) and self._holds(mine, losing):
            for name in losing:
                mine.opinions[name].held = True
                mine.opinions[name].held_since = now
            mine.held += len(losing)
            self.notes.append(
                f"source {source} lost {len(losing)} of {mine.ready} servers within {mine.within:g} s: "
                "held to be its own fault, and they stay in use"
            )
            self._touch(losing)
            return
        for name in losing:
            mine.losses.append(now)
            self._end(mine, name, word, now)

    def _holds(self, source: Source, names: list[str]) -> bool:
        """The padron's word ends a server by the platform's rules: it is doubted only against another's."""
        if source.name != PADRON:
            return True
        others = [other for other in self.sources.values() if other is not source]
        backed = sum(
            1
            for name in names
            if any(o.health is SourceHealth.FRESH and self._ready_by(o, name) for o in others)
        )
        return backed * 2 > len(names)

    @staticmethod
    def _ready_by(source: Source, name: str) -> bool:
        opinion = source.opinions.get(name)
        return opinion is not None and opinion.word is Word.READY and not opinion.held

    def tick(self, now: float) -> None:
        """Windows that are over, and holds that are long enough. Call it at least each second."""
        while self.windows and self.windows[0][0] <= now:
            self.dirty[self.windows.popleft()[1]] = None
        while self.tombs:
            name, until = next(iter(self.tombs.items()))
            if until > now and len(self.tombs) <= MOST_ENDED:
                break
            del self.tombs[name]
            self._forget(name)
        for source in self.sources.values():
            if source.held and source.health is SourceHealth.FRESH:
                due = [n for n, o in source.opinions.items() if o.held and o.held_since <= now - HOLD]
                if due and len(due) == source.held and len(due) <= source.allowed(now):
                    for name in due:
                        source.losses.append(now)
                        self._end(source, name, Word.LOST, now)
                    self.notes.append(f"source {source.name} is back without {len(due)} servers: believed")

    def _set(self, source: Source, listed: Endpoint, word: Word, now: float) -> None:
        name = listed.name
        opinion = source.opinions.get(name)
        if opinion is not None:
            if opinion.held:
                source.held -= 1
                opinion.held = False
            elif opinion.word is word and opinion.listed == listed:
                return
            self._unplace(opinion.listed)
            opinion.listed = listed
            if opinion.word is not word:
                source.ready += (word is Word.READY) - (opinion.word is Word.READY)
                opinion.word = word
                opinion.since = now
        else:
            source.opinions[name] = Opinion(listed, word, now)
            source.ready += word is Word.READY
        self.by_address.setdefault(listed.address, {})[name] = None
        self.by_case.setdefault(name.casefold(), {})[name] = None
        self._touch((name,))

    def _end(self, source: Source, name: str, word: Word, now: float) -> None:
        opinion = source.opinions[name]
        if opinion.held:
            source.held -= 1
            opinion.held = False
        source.ready -= opinion.word is Word.READY
        opinion.word = word
        opinion.since = now
        if word is Word.LOST:
            self.windows.append((now + WINDOW, name))
        self._touch((name,))

    def _unplace(self, listed: Endpoint) -> None:
        names = self.by_address.get(listed.address)
        if names is not None and not any(
            opinion.listed.address == listed.address
            for source in self.sources.values()
            if (opinion := source.opinions.get(listed.name)) is not None and opinion.listed is not listed
        ):
            names.pop(listed.name, None)
            self._touch(names)
            if not names:
                del self.by_address[listed.address]

    def _touch(self, names: Iterable[str]) -> None:
        """These, and those whose decision rests on them (rules 7)."""
        for name in list(names):
            self.dirty[name] = None
            for twin in self.by_case.get(name.casefold(), ()):
                self.dirty[twin] = None
            for source in self.sources.values():
                opinion = source.opinions.get(name)
                if opinion is not None:
                    for neighbour in self.by_address.get(opinion.listed.address, ()):
                        self.dirty[neighbour] = None

    # what is in force
    def changes(self, now: float) -> EndpointList | None:
        """What has changed since the last call, as an incremental list; None where nothing has."""
        self.tick(now)
        found = []
        dirty = self.dirty
        self.dirty = {}
        for name in dirty:
            before = self.decided.get(name)
            after = self._decide(name, now)
            if after is None:
                if before is not None:
                    del self.decided[name]
                    self.usable -= is_serving(before)
                    self.noted.pop(name, None)
                    gone = replace(before.listed.entry, state=EndpointState.REMOVED)
                    found.append(Endpoint(before.listed.address, gone, name))
                    self._note(name, "removed", before)
                continue
            if before is not None:
                after.listed.entry.started_at = self._start(before.listed.entry, after.listed.entry)
            self.decided[name] = after
            self.usable += is_serving(after) - is_serving(before)
            if before is None or before.listed != after.listed:
                found.append(after.listed)
            if before is None or (before.source, before.why) != (after.source, after.why):
                self._note(name, after.listed.entry.state.value, after)
        if not found:
            return None
        self.version += 1
        return EndpointList(self.version, False, found)

    def everything(self) -> list[Endpoint]:
        """All that is in force, by name."""
        return [self.decided[name].listed for name in sorted(self.decided)]

    def take_notes(self) -> list[str]:
        notes = self.notes
        self.notes = []
        return notes

    def _note(self, name: str, state: str, decision: Decision) -> None:
        """One line for each decision that a disagreement, a loss or a hold made; agreement is silent."""
        text = f"server {name}: {state}, decided by {decision.source}: {decision.why}"
        if decision.why != AGREED and self.noted.get(name) != text:
            self.noted[name] = text
            self.notes.append(text)

    @staticmethod
    def _start(before: EndpointEntry, after: EndpointEntry) -> float:
        """The start given out stays for one incarnation: another figure would look like a restart."""
        same = abs(after.started_at - before.started_at) <= SAME_START or after.started_at == 0.0
        return before.started_at if same else after.started_at

    def _opinions(self, name: str) -> list[tuple[Source, Opinion]]:
        """Rule 1: those that speak of the newest incarnation, in the order of rule 5."""
        found = [
            (source, opinion)
            for health in HEALTHS
            for source in self.sources.values()
            if source.health is health and (opinion := source.opinions.get(name)) is not None
        ]
        newest = max((opinion.listed.entry.started_at for _, opinion in found), default=0.0)
        return [
            (source, opinion)
            for source, opinion in found
            if opinion.listed.entry.started_at == 0.0
            or opinion.listed.entry.started_at >= newest - SAME_START
        ]

    def _word(self, opinion: Opinion, now: float) -> Word:
        """Rule 3: a loss is draining, then gone."""
        if opinion.word is Word.LOST and now < opinion.since + WINDOW:
            return Word.DRAINING
        return Word.GONE if opinion.word is Word.LOST else opinion.word

    def _decide(self, name: str, now: float) -> Decision | None:
        opinions = self._opinions(name)
        words = [self._word(opinion, now) for _, opinion in opinions]
        if all(word is Word.GONE for word in words):
            self.tombs.setdefault(name, now + MEMORY)
            return None
        self.tombs.pop(name, None)
        source, opinion = opinions[0]
        entry = replace(opinion.listed.entry)
        speaker = source.name
        why = AGREED
        ends = [(s, o) for (s, o), word in zip(opinions, words, strict=True) if word in ENDS]
        if ends:
            entry.state = EndpointState.DRAINING
            speaker = ends[0][0].name
            why = f"{ends[0][1].word.value}, which beats ready (rule 2)"
            if len(ends) == len(opinions):
                why = "its session is lost" if ends[0][1].word is Word.LOST else AGREED
        else:
            entry.state = EndpointState.SERVING
            if any(o.held for _, o in opinions):
                why = "its loss is held to be the source's fault (rule 4)"
        entry.started_at = max(o.listed.entry.started_at for _, o in opinions)
        if not ends and len({o.listed.address for _, o in opinions}) > 1:
            why = "the sources give other addresses (rule 5)"
        places = {(o.listed.entry.zone, o.listed.entry.cell) for _, o in opinions if o.listed.entry.zone}
        if len(places) > 1:
            entry.zone, entry.cell = f"?{name}", -(endpoint_id_of(name) % (1 << 31)) - 1
            why = why if ends else "the sources give other zones or groups (rule 6)"
        if entry.state is EndpointState.SERVING:
            hider = self._twin_end(name, opinion) or self._hider(name, opinion, entry)
            if hider is not None:
                entry.state = EndpointState.DRAINING
                why = f"{hider} stands for this address (rule 7)"
        return Decision(Endpoint(opinion.listed.address, entry, name), speaker, why)

    def _twin_end(self, name: str, opinion: Opinion) -> str | None:
        """A name that differs in case only, at the same address, and has ended."""
        for twin in self.by_case.get(name.casefold(), ()):
            if twin == name:
                continue
            for source in self.sources.values():
                other = source.opinions.get(twin)
                if (
                    other is not None
                    and other.word in ENDS
                    and other.listed.address == opinion.listed.address
                    and other.listed.entry.started_at >= opinion.listed.entry.started_at - SAME_START
                ):
                    return twin
        return None

    def _hider(self, name: str, opinion: Opinion, entry: EndpointEntry) -> str | None:
        """The name that is used in place of this one."""
        best = (self._rank(name), -entry.started_at, name)
        for other in self.by_address.get(opinion.listed.address, ()):
            if other == name:
                continue
            theirs = self._opinions(other)
            if not theirs or theirs[0][1].listed.address != opinion.listed.address:
                continue
            if any(o.word in ENDS for _, o in theirs):
                continue
            start = max(o.listed.entry.started_at for _, o in theirs)
            if (self._rank(other), -start, other) < best:
                return other
        return None

    def _rank(self, name: str) -> int:
        opinions = self._opinions(name)
        return self.order.index(opinions[0][0].name) if opinions else len(self.order)

    def _forget(self, name: str) -> None:
        """All words on it were of its end, and none was contradicted for MEMORY."""
        for source in self.sources.values():
            opinion = source.opinions.get(name)
            if opinion is not None:
                del source.opinions[name]
                source.ready -= opinion.word is Word.READY
                self._unplace(opinion.listed)
        names = self.by_case.get(name.casefold())
        if names is not None:
            names.pop(name, None)
            if not names:
                del self.by_case[name.casefold()]


def is_serving(decision: Decision | None) -> bool:
    return decision is not None and decision.listed.entry.state is EndpointState.SERVING


AGREED = "no source contradicts"
