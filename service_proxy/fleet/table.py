"""One member's view: who lives, who is suspected, who is remembered as dead or left; and what changed. Pure.

Claims come in with who told them; each makes one step of `states.TABLE`. What lives is in `entries` (also
who is suspected), and the digest is that of what lives: two views are equal where their digests are.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from service_proxy.fleet.entries import Claim, Entry, Key, entry
from service_proxy.fleet.states import TABLE, Happening, State, Step, happening
from service_proxy.fleet.timing import CONFIRMATIONS, Timing
from service_proxy.fleet.wire import Said

MOST_MEMBERS = 20_000  # living ones; more are not taken
MOST_GONE = 20_000  # remembered as dead or left; the one that went first is let go
NIBBLES = 12  # of a key


@dataclass(slots=True)
class Suspicion:
    began: float
    due: float
    accusers: set[Key] = field(default_factory=set)
    sure: bool = False
    turn: int = 0  # of its timer, no two alike in a view; an earlier one is void
    heard: float = float("-inf")  # when it was heard since, by itself or through others


@dataclass(frozen=True, slots=True)
class Gone:
    entry: Entry
    state: State  # DEAD or LEFT
    at: float


@dataclass(frozen=True, slots=True)
class Change:
    """`stamp`: grows by one with each change of this view."""

    stamp: int
    at: float
    entry: Entry
    before: State
    after: State
    reason: str
    teller: Key


class Table:
    def __init__(self, timing: Timing) -> None:
        self.timing = timing
        self.entries: dict[Key, Entry] = {}
        self.order: list[Key] = []  # of what lives, sorted
        self.gone: dict[Key, Gone] = {}
        self.dead = 0  # of these
        self.suspicions: dict[Key, Suspicion] = {}
        self.digest = 0
        self.stamp = 0
        self.turns = 0  # of suspicions' timers
        self.changed_at = float("-inf")
        self.changes: list[Change] = []
        self.refused = 0  # for want of room, or a key that two names share

    def __len__(self) -> int:
        return len(self.entries)

    def state(self, key: Key) -> State:
        if key in self.suspicions:
            return State.SUSPECT
        if key in self.entries:
            return State.ALIVE
        gone = self.gone.get(key)
        return gone.state if gone is not None else State.UNKNOWN

    def held(self, key: Key) -> Entry | None:
        """Also of who is dead or left."""
        found = self.entries.get(key)
        if found is None and key in self.gone:
            return self.gone[key].entry
        return found

    def hear(self, now: float, said: Said, teller: Key, reason: str = "") -> Step:
        """Takes a claim; what is to be done about it beside. Claims without a record about a process that is
        not known teach nothing."""
        old = self.held(said.key)
        before = self.state(said.key)
        if old is None and (said.record is None or said.sure):
            return Step.NOTHING  # the dead of others are no news to who never knew them
        if old is not None and said.record is None and old.incarnation.process != said.incarnation.process:
            if said.incarnation < old.incarnation:  # of an earlier process
                return TABLE[before, Happening.OLDER][1]
            return Step.NOTHING
        record = said.record or (old.record if old is not None else None)
        assert record is not None
        if old is not None and old.record.name != record.name:
            self.refused += 1
            return Step.NOTHING
        if old is None and len(self.entries) >= MOST_MEMBERS:
            self.refused += 1
            return Step.NOTHING
        what = happening(old.incarnation if old is not None else None, (said.incarnation, said.claim))
        after, step = TABLE[before, what]
        if step in (Step.NOTHING, Step.CORRECT):
            return step
        if step is Step.CONFIRM:
            return self._confirm(now, said)
        new = entry(said.key, said.incarnation, said.claim, record, said.phase, said.word)
        if step is Step.SUSPICION:
            self._live(new)
            self._suspect(now, said)
        elif step is Step.TAKE:
            self.suspicions.pop(said.key, None)
            self._live(new)
        else:  # PART
            self._go(now, new, State.LEFT)
        self._changed(now, new, before, after, reason or REASONS[step], teller)
        return step

    def _suspect(self, now: float, said: Said) -> None:
        suspicion = Suspicion(now, 0.0, {said.accuser} if said.accuser else set(), said.sure)
        self.suspicions[said.key] = suspicion
        self._time(suspicion)

    def _confirm(self, now: float, said: Said) -> Step:
        suspicion = self.suspicions[said.key]
        if said.sure and not suspicion.sure:
            suspicion.sure = True
        elif said.accuser and said.accuser not in suspicion.accusers:
            if len(suspicion.accusers) > CONFIRMATIONS:
                return Step.NOTHING
            suspicion.accusers.add(said.accuser)
        else:
            return Step.NOTHING
        self._time(suspicion)
        return Step.CONFIRM

    def _time(self, suspicion: Suspicion) -> None:
        living = len(self.entries)
        count = CONFIRMATIONS if suspicion.sure else max(0, len(suspicion.accusers) - 1)
        suspicion.due = suspicion.began + self.timing.suspect_for(living, count)
        self.turn(suspicion)

    def turn(self, suspicion: Suspicion) -> None:
        """Timers that were set for it before are void."""
        self.turns += 1
        suspicion.turn = self.turns

    def bury(self, now: float, key: Key, reason: str, teller: Key) -> None:
        """Its suspicion has run out."""
        old = self.entries[key]
        after, _ = TABLE[self.state(key), Happening.SUSPICION_OVER]
        self._go(now, old, after)
        self._changed(now, old, State.SUSPECT, after, reason, teller)

    def shift(self, late: float) -> None:
        """So many seconds passed that this process had no part in: nothing ages by them."""
        for suspicion in self.suspicions.values():
            suspicion.began += late
            suspicion.due += late
            suspicion.heard += late
        for key, gone in self.gone.items():
            self.gone[key] = Gone(gone.entry, gone.state, gone.at + late)

    def forget(self, now: float) -> None:
        """Who went longer ago than the memory lasts."""
        until = now - self.timing.memory
        for key, gone in list(self.gone.items()):  # in the order in which they went
            if gone.at > until:
                break
            self._drop(key)

    def own(self, now: float, new: Entry, reason: str) -> None:
        """What this process says of itself; nobody else's word counts for that."""
        before = self.state(new.key)
        self.suspicions.pop(new.key, None)
        if new.claim is Claim.LEFT:
            self._go(now, new, State.LEFT)
        else:
            self._live(new)
        self._changed(now, new, before, self.state(new.key), reason, new.key)

    def _live(self, new: Entry) -> None:
        old = self.entries.get(new.key)
        if old is None:
            self._drop(new.key)
            insort(self.order, new.key)
        else:
            self.digest ^= old.tag
        self.entries[new.key] = new
        self.digest ^= new.tag

    def _go(self, now: float, last: Entry, state: State) -> None:
        self.suspicions.pop(last.key, None)
        old = self.entries.pop(last.key, None)
        if old is not None:
            self.digest ^= old.tag
            del self.order[bisect_left(self.order, last.key)]
        self._drop(last.key)
        self.gone[last.key] = Gone(last, state, now)
        self.dead += state is State.DEAD
        if len(self.gone) > MOST_GONE:
            self._drop(next(iter(self.gone)))

    def _drop(self, key: Key) -> None:
        gone = self.gone.pop(key, None)
        if gone is not None:
            self.dead -= gone.state is State.DEAD

    def _changed(self, now: float, new: Entry, before: State, after: State, reason: str, teller: Key) -> None:
        self.stamp += 1
        self.changed_at = now
        self.changes.append(Change(self.stamp, now, new, before, after, reason, teller))

    # for who compares views
    def below(self, depth: int, path: int) -> Iterator[Entry]:
        """What lives whose key begins with these `depth` half bytes."""
        low = (path << 4 * (NIBBLES - depth)).to_bytes(NIBBLES // 2, "big")
        place = bisect_left(self.order, low)
        last = (path + 1) << 4 * (NIBBLES - depth)
        while place < len(self.order) and int.from_bytes(self.order[place], "big") < last:
            yield self.entries[self.order[place]]
            place += 1

    def branches(self, depth: int, path: int) -> list[int]:
        """Digests of the 16 parts of what lives below a prefix."""
        found = [0] * 16
        shift = 4 * (NIBBLES - depth - 1)
        for item in self.below(depth, path):
            found[int.from_bytes(item.key, "big") >> shift & 15] ^= item.tag
        return found

    def successor(self, key: Key) -> Key | None:
        """The next that lives, by key, in a ring."""
        place = bisect_left(self.order, key)
        if place < len(self.order) and self.order[place] == key:
            place += 1
        if not self.order:
            return None
        found = self.order[place % len(self.order)]
        return found if found != key else None


REASONS = {Step.TAKE: "said so itself", Step.SUSPICION: "does not answer", Step.PART: "left"}
