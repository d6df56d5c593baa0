"""One member's view: who lives, who is suspected, who is remembered as dead or left, and what changed. Pure.

Updates come in with who sent them; each makes one step of `member_states.TRANSITIONS`. Who lives, suspects
among them, is in `entries`, and the digest is theirs: two views are equal where their digests are.
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
    """A suspicion that is under way.

    Attributes:
        deadline: when it runs out, unless it is denied.
        confirmed: somebody holds the member for dead, which needs no further accuser.
        timer_id: of its timer, no two alike in a view; an earlier one is void.
        last_contact_at: when the member was heard since, by this one or through others.
    """

    started_at: float
    deadline: float
    accusers: set[MemberKey] = field(default_factory=set)
    confirmed: bool = False
    timer_id: int = 0  # of its timer, no two alike in a view; an earlier one is void
    last_contact_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Tombstone:
    """A member that is remembered as DEAD or LEFT."""

    entry: MemberEntry
    state: MemberState  # DEAD or LEFT
    departed_at: float


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of this view.

    Attributes:
        revision: grows by one with each change of the view.
        at: on the member's clock, s.
        source: who told it.
    """

    revision: int
    at: float
    entry: MemberEntry
    before: MemberState
    after: MemberState
    reason: str
    source: MemberKey


class MemberTable:
    """A view.

    Attributes:
        entries: the living, by key.
        sorted_keys: of these.
        tombstones: of the dead and those that left, in the order in which they went.
        dead_count: tombstones of the dead.
        digest: XOR of the digests of all entries.
        revision: number of changes.
        changes: that were not taken yet.
        rejected: updates that were dropped for want of room, or since two names share a key.
    """

    def __init__(self, timing: ProtocolTiming) -> None:
        self.timing = timing
        self.entries: dict[MemberKey, MemberEntry] = {}
        self.sorted_keys: list[MemberKey] = []
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
        """Return the state of a member; UNKNOWN if it is not in the view."""
        if key in self.suspicions:
            return MemberState.SUSPECT
        if key in self.entries:
            return MemberState.ALIVE
        tombstone = self.tombstones.get(key)
        return tombstone.state if tombstone is not None else MemberState.UNKNOWN

    def find(self, key: MemberKey) -> MemberEntry | None:
        """Return a member's entry, also where it is dead or has left."""
        live = self.entries.get(key)
        if live is None and key in self.tombstones:
            return self.tombstones[key].entry
        return live

    def merge_update(
        self, now: float, update: MemberUpdate, source: MemberKey, reason: str = ""
    ) -> MergeAction:
        """Take in an update; return what is to be done about it beside.

        An update without a record about a process that is not known teaches nothing.
        """
        known = self.find(update.key)
        before = self.state(update.key)
        early = self._check_update(known, before, update)
        if early is not None:
            return early
        record = update.record or (known.record if known is not None else None)
        assert record is not None
        event = classify_claim(
            known.incarnation if known is not None else None, (update.incarnation, update.claim)
        )
        after, action = TRANSITIONS[before, event]
        if action in (MergeAction.NOTHING, MergeAction.SEND_CORRECTION):
            return action
        if action is MergeAction.CONFIRM_SUSPICION:
            return self._confirm_suspicion(update)
        new = make_entry(update.key, update.incarnation, update.claim, record, update.phase, update.metadata)
        if action is MergeAction.START_SUSPICION:
            self._insert_live(new)
            self._start_suspicion(now, update)
        elif action is MergeAction.ACCEPT:
            self.suspicions.pop(update.key, None)
            self._insert_live(new)
        else:  # RECORD_LEAVE
            self._bury(now, new, MemberState.LEFT)
        self._record_change(now, new, before, after, reason or DEFAULT_REASONS[action], source)
        return action

    def _check_update(
        self, known: MemberEntry | None, before: MemberState, update: MemberUpdate
    ) -> MergeAction | None:
        """Return the action of an update that changes nothing; None: it is to be merged."""
        if known is None:
            if update.record is None or update.confirmed:
                return MergeAction.NOTHING  # the dead of others are no news to who never knew them
            is_rejected = len(self.entries) >= MAX_MEMBERS
        elif update.record is None:
            if known.incarnation.process == update.incarnation.process:
                return None
            is_earlier_process = update.incarnation < known.incarnation
            return TRANSITIONS[before, ClaimEvent.OLDER][1] if is_earlier_process else MergeAction.NOTHING
        else:
            is_rejected = known.record.name != update.record.name  # two names share a key
        self.rejected += is_rejected
        return MergeAction.NOTHING if is_rejected else None

    def _start_suspicion(self, now: float, update: MemberUpdate) -> None:
        suspicion = Suspicion(now, 0.0, {update.accuser} if update.accuser else set(), update.confirmed)
        self.suspicions[update.key] = suspicion
        self._set_deadline(suspicion)

    def _confirm_suspicion(self, update: MemberUpdate) -> MergeAction:
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
        """Give a suspicion a new timer; those that were set for it before are void."""
        self.last_timer_id += 1
        suspicion.timer_id = self.last_timer_id

    def declare_dead(self, now: float, key: MemberKey, reason: str, source: MemberKey) -> None:
        """Move a member whose suspicion has run out to the dead."""
        old = self.entries[key]
        after, _ = TRANSITIONS[self.state(key), ClaimEvent.SUSPICION_EXPIRED]
        self._bury(now, old, after)
        self._record_change(now, old, MemberState.SUSPECT, after, reason, source)

    def shift_times(self, delay: float) -> None:
        """Move all times by what this process had no part in: nothing ages by that."""
        for suspicion in self.suspicions.values():
            suspicion.started_at += delay
            suspicion.deadline += delay
            suspicion.last_contact_at += delay
        for key, tombstone in self.tombstones.items():
            self.tombstones[key] = Tombstone(tombstone.entry, tombstone.state, tombstone.departed_at + delay)

    def expire_tombstones(self, now: float) -> None:
        """Forget who went longer ago than tombstones are kept."""
        expiry = now - self.timing.tombstone_ttl
        for key, tombstone in list(self.tombstones.items()):  # in the order in which they went
            if tombstone.departed_at > expiry:
                break
            self._remove_tombstone(key)

    def set_local_entry(self, now: float, new: MemberEntry, reason: str) -> None:
        """Take this process's own entry; no other member's claim counts for that."""
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
        """Yield the living whose key begins with these `depth` half bytes."""
        low = (path << 4 * (KEY_NIBBLES - depth)).to_bytes(KEY_NIBBLES // 2, "big")
        place = bisect_left(self.sorted_keys, low)
        last = (path + 1) << 4 * (KEY_NIBBLES - depth)
        while place < len(self.sorted_keys) and int.from_bytes(self.sorted_keys[place], "big") < last:
            yield self.entries[self.sorted_keys[place]]
            place += 1

    def child_digests(self, depth: int, path: int) -> list[int]:
        """Return the digests of the 16 parts of the living below a prefix."""
        digests = [0] * 16
        shift = 4 * (KEY_NIBBLES - depth - 1)
        for item in self.entries_below(depth, path):
            digests[int.from_bytes(item.key, "big") >> shift & 15] ^= item.digest
        return digests

    def successor(self, key: MemberKey) -> MemberKey | None:
        """Return the next living member by key, in a ring; None where there is no other."""
        place = bisect_left(self.sorted_keys, key)
        if place < len(self.sorted_keys) and self.sorted_keys[place] == key:
            place += 1
        if not self.sorted_keys:
            return None
        successor = self.sorted_keys[place % len(self.sorted_keys)]
        return successor if successor != key else None


DEFAULT_REASONS = {
    MergeAction.ACCEPT: "said so itself",
    MergeAction.START_SUSPICION: "does not answer",
    MergeAction.RECORD_LEAVE: "left",
}
