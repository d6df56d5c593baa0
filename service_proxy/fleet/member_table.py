"""One member's view: who lives, who is suspected, who is remembered as dead or left; and what changed. Pure.

Claims come in with who told them; each makes one step of `states.TABLE`. What lives is in `entries` (also
who is suspected), and the digest is that of what lives: two views are equal where their digests are.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from service_proxy.fleet.member_states import (
    TRANSITIONS,
    ClaimEvent,
    MemberState,
    MergeAction,
    classify_claim,
)
from service_proxy.fleet.members import Claim, MemberEntry, MemberKey, make_entry
from service_proxy.fleet.timing import CONFIRMATIONS, ProtocolTiming
from service_proxy.fleet.wire import MemberUpdate

MAX_MEMBERS = 20_000  # living ones; more are not taken
MAX_TOMBSTONES = 20_000  # remembered as dead or left; the one that went first is let go
KEY_NIBBLES = 12  # of a key


@dataclass(slots=True)
class Suspicion:
    started_at: float
    deadline: float
    accusers: set[MemberKey] = field(default_factory=set)
    confirmed: bool = False
    timer_id: int = 0  # of its timer, no two alike in a view; an earlier one is void
    last_contact_at: float = float("-inf")  # when it was heard since, by itself or through others


@dataclass(frozen=True, slots=True)
class Tombstone:
    entry: MemberEntry
    state: MemberState  # DEAD or LEFT
    departed_at: float


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """`stamp`: grows by one with each change of this view."""

    revision: int
    at: float
    entry: MemberEntry
    before: MemberState
    after: MemberState
    reason: str
    source: MemberKey


class MemberTable:
    def __init__(self, timing: ProtocolTiming) -> None:
        self.timing = timing
        self.entries: dict[MemberKey, MemberEntry] = {}
        self.sorted_keys: list[MemberKey] = []  # of what lives, sorted
        self.tombstones: dict[MemberKey, Tombstone] = {}
        self.dead_count = 0  # of these
        self.suspicions: dict[MemberKey, Suspicion] = {}
        self.digest = 0
        self.revision = 0
        self.last_timer_id = 0  # of suspicions' timers
        self.changed_at = float("-inf")
        self.changes: list[MembershipChange] = []
        self.rejected = 0  # for want of room, or a key that two names share

    def __len__(self) -> int:
        return len(self.entries)

    def state(self, key: MemberKey) -> MemberState:
        if key in self.suspicions:
            return MemberState.SUSPECT
        if key in self.entries:
            return MemberState.ALIVE
        tombstone = self.tombstones.get(key)
        return tombstone.state if tombstone is not None else MemberState.UNKNOWN

    def find(self, key: MemberKey) -> MemberEntry | None:
        """Also of who is dead or left."""
        live = self.entries.get(key)
        if live is None and key in self.tombstones:
            return self.tombstones[key].entry
        return live

    def merge_update(
        self, now: float, update: MemberUpdate, source: MemberKey, reason: str = ""
    ) -> MergeAction:
        """Takes a claim; what is to be done about it beside. Claims without a record about a process that is
        not known teach nothing."""
        known = self.find(update.key)
        before = self.state(update.key)
        if known is None and (update.record is None or update.confirmed):
            return MergeAction.NOTHING  # the dead of others are no news to who never knew them
        if (
            known is not None
            and update.record is None
            and known.incarnation.process != update.incarnation.process
        ):
            if update.incarnation < known.incarnation:  # of an earlier process
                return TRANSITIONS[before, ClaimEvent.OLDER][1]
            return MergeAction.NOTHING
        record = update.record or (known.record if known is not None else None)
        assert record is not None
        if known is not None and known.record.name != record.name:
            self.rejected += 1
            return MergeAction.NOTHING
        if known is None and len(self.entries) >= MAX_MEMBERS:
            self.rejected += 1
            return MergeAction.NOTHING
        event = classify_claim(
            known.incarnation if known is not None else None, (update.incarnation, update.claim)
        )
        after, action = TRANSITIONS[before, event]
        if action in (MergeAction.NOTHING, MergeAction.SEND_CORRECTION):
            return action
        if action is MergeAction.CONFIRM_SUSPICION:
            return self._confirm_suspicion(now, update)
        new = make_entry(update.key, update.incarnation, update.claim, record, update.phase, update.metadata)
        if action is MergeAction.START_SUSPICION:
            self._insert_live(new)
            self._start_suspicion(now, update)
        elif action is MergeAction.ACCEPT:
            self.suspicions.pop(update.key, None)
            self._insert_live(new)
        else:  # PART
            self._bury(now, new, MemberState.LEFT)
        self._record_change(now, new, before, after, reason or DEFAULT_REASONS[action], source)
        return action

    def _start_suspicion(self, now: float, update: MemberUpdate) -> None:
        suspicion = Suspicion(now, 0.0, {update.accuser} if update.accuser else set(), update.confirmed)
        self.suspicions[update.key] = suspicion
        self._set_deadline(suspicion)

    def _confirm_suspicion(self, now: float, update: MemberUpdate) -> MergeAction:
        suspicion = self.suspicions[update.key]
        if update.confirmed and not suspicion.confirmed:
            suspicion.confirmed = True
        elif update.accuser and update.accuser not in suspicion.accusers:
            if len(suspicion.accusers) > CONFIRMATIONS:
                return MergeAction.NOTHING
            suspicion.accusers.add(update.accuser)
        else:
            return MergeAction.NOTHING
        self._set_deadline(suspicion)
        return MergeAction.CONFIRM_SUSPICION

    def _set_deadline(self, suspicion: Suspicion) -> None:
        living = len(self.entries)
        count = CONFIRMATIONS if suspicion.confirmed else max(0, len(suspicion.accusers) - 1)
        suspicion.deadline = suspicion.started_at + self.timing.suspicion_timeout(living, count)
        self.renew_timer(suspicion)

    def renew_timer(self, suspicion: Suspicion) -> None:
        """Timers that were set for it before are void."""
        self.last_timer_id += 1
        suspicion.timer_id = self.last_timer_id

    def declare_dead(self, now: float, key: MemberKey, reason: str, source: MemberKey) -> None:
        """Its suspicion has run out."""
        old = self.entries[key]
        after, _ = TRANSITIONS[self.state(key), ClaimEvent.SUSPICION_EXPIRED]
        self._bury(now, old, after)
        self._record_change(now, old, MemberState.SUSPECT, after, reason, source)

    def shift_times(self, delay: float) -> None:
        """So many seconds passed that this process had no part in: nothing ages by them."""
        for suspicion in self.suspicions.values():
            suspicion.started_at += delay
            suspicion.deadline += delay
            suspicion.last_contact_at += delay
        for key, tombstone in self.tombstones.items():
            self.tombstones[key] = Tombstone(tombstone.entry, tombstone.state, tombstone.departed_at + delay)

    def expire_tombstones(self, now: float) -> None:
        """Who went longer ago than the memory lasts."""
        expiry = now - self.timing.tombstone_ttl
        for key, tombstone in list(self.tombstones.items()):  # in the order in which they went
            if tombstone.departed_at > expiry:
                break
            self._remove_tombstone(key)

    def set_local_entry(self, now: float, new: MemberEntry, reason: str) -> None:
        """What this process says of itself; nobody else's word counts for that."""
        before = self.state(new.key)
        self.suspicions.pop(new.key, None)
        if new.claim is Claim.LEFT:
            self._bury(now, new, MemberState.LEFT)
        else:
            self._insert_live(new)
        self._record_change(now, new, before, self.state(new.key), reason, new.key)

    def _insert_live(self, new: MemberEntry) -> None:
        old = self.entries.get(new.key)
        if old is None:
            self._remove_tombstone(new.key)
            insort(self.sorted_keys, new.key)
        else:
            self.digest ^= old.digest
        self.entries[new.key] = new
        self.digest ^= new.digest

    def _bury(self, now: float, last: MemberEntry, state: MemberState) -> None:
        self.suspicions.pop(last.key, None)
        old = self.entries.pop(last.key, None)
        if old is not None:
            self.digest ^= old.digest
            del self.sorted_keys[bisect_left(self.sorted_keys, last.key)]
        self._remove_tombstone(last.key)
        self.tombstones[last.key] = Tombstone(last, state, now)
        self.dead_count += state is MemberState.DEAD
        if len(self.tombstones) > MAX_TOMBSTONES:
            self._remove_tombstone(next(iter(self.tombstones)))

    def _remove_tombstone(self, key: MemberKey) -> None:
        tombstone = self.tombstones.pop(key, None)
        if tombstone is not None:
            self.dead_count -= tombstone.state is MemberState.DEAD

    def _record_change(
        self,
        now: float,
        new: MemberEntry,
        before: MemberState,
        after: MemberState,
        reason: str,
        source: MemberKey,
    ) -> None:
        self.revision += 1
        self.changed_at = now
        self.changes.append(MembershipChange(self.revision, now, new, before, after, reason, source))

    # for who compares views
    def entries_below(self, depth: int, path: int) -> Iterator[MemberEntry]:
        """What lives whose key begins with these `depth` half bytes."""
        low = (path << 4 * (KEY_NIBBLES - depth)).to_bytes(KEY_NIBBLES // 2, "big")
        place = bisect_left(self.sorted_keys, low)
        last = (path + 1) << 4 * (KEY_NIBBLES - depth)
        while place < len(self.sorted_keys) and int.from_bytes(self.sorted_keys[place], "big") < last:
            yield self.entries[self.sorted_keys[place]]
            place += 1

    def child_digests(self, depth: int, path: int) -> list[int]:
        """Digests of the 16 parts of what lives below a prefix."""
        found = [0] * 16
        shift = 4 * (KEY_NIBBLES - depth - 1)
        for item in self.entries_below(depth, path):
            found[int.from_bytes(item.key, "big") >> shift & 15] ^= item.digest
        return found

    def successor(self, key: MemberKey) -> MemberKey | None:
        """The next that lives, by key, in a ring."""
        place = bisect_left(self.sorted_keys, key)
        if place < len(self.sorted_keys) and self.sorted_keys[place] == key:
            place += 1
        if not self.sorted_keys:
            return None
        found = self.sorted_keys[place % len(self.sorted_keys)]
        return found if found != key else None


DEFAULT_REASONS = {
    MergeAction.ACCEPT: "said so itself",
    MergeAction.START_SUSPICION: "does not answer",
    MergeAction.RECORD_LEAVE: "left",
}
