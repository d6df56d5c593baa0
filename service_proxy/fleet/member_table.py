"""One member's view: the live, suspected, dead and departed members, and the changes to report.

Each update, with the key of its sender, makes one step of `member_states.TRANSITIONS`. `entries` holds the
live members, including suspects, and `digest` covers exactly these entries: two views with equal digests are
equal. Performs no I/O and reads no clock.
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

MAX_MEMBERS = 20_000  # Live members per view; updates that would add more are rejected.
# Dead and departed members that a view records; beyond this number the oldest tombstone is discarded.
MAX_TOMBSTONES = 20_000
KEY_NIBBLES = 12  # Half bytes of a member key.


@dataclass(slots=True)
class Suspicion:
    """A suspicion that has not been refuted and has not expired.

    Attributes:
        started_at: time at which this view began the suspicion, s.
        deadline: time at which the suspicion expires unless it is refuted, s.
        accusers: members whose probes of the suspect failed.
        confirmed: a member has declared the suspect dead, so no further accuser is needed.
        timer_id: id of the suspicion's current timer, unique within a view; earlier timers are obsolete.
        last_contact_at: time of the last contact since the suspicion began, directly or through other
            members, s; -inf if there was none.
    """

    started_at: float
    deadline: float
    accusers: set[MemberKey] = field(default_factory=set)
    confirmed: bool = False
    timer_id: int = 0
    last_contact_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Tombstone:
    """A member that is recorded as DEAD or LEFT.

    Attributes:
        state: DEAD or LEFT.
        departed_at: time at which this view recorded the state, s.
    """

    entry: MemberEntry
    state: MemberState
    departed_at: float


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of this view.

    Attributes:
        revision: number of the change; it grows by one with each change of the view.
        at: time of the change on this member's clock, s.
        source: key of the member that sent the update.
    """

    revision: int
    at: float
    entry: MemberEntry
    before: MemberState
    after: MemberState
    reason: str
    source: MemberKey


class MemberTable:
    """One member's view.

    Attributes:
        entries: live members, by key.
        sorted_keys: keys of the live members in ascending order.
        tombstones: dead and departed members by key, in the order of their departure.
        dead_count: number of tombstones of dead members.
        suspicions: suspicions in progress, by the suspect's key.
        digest: XOR of the digests of all entries.
        revision: number of changes of the view.
        last_timer_id: last id given to a suspicion's timer.
        changed_at: time of the last change, s.
        changes: changes that have not been reported yet.
        rejected: updates dropped because the view is full or because two names have the same key.
    """

    def __init__(self, timing: ProtocolTiming) -> None:
        self.timing = timing
        self.entries: dict[MemberKey, MemberEntry] = {}
        self.sorted_keys: list[MemberKey] = []
        self.tombstones: dict[MemberKey, Tombstone] = {}
        self.dead_count = 0
        self.suspicions: dict[MemberKey, Suspicion] = {}
        self.digest = 0
        self.revision = 0
        self.last_timer_id = 0
        self.changed_at = float("-inf")
        self.changes: list[MembershipChange] = []
        self.rejected = 0

    def __len__(self) -> int:
        return len(self.entries)

    def state(self, key: MemberKey) -> MemberState:
        """Return the state of a member; UNKNOWN if the member is not in the view."""
        if key in self.suspicions:
            return MemberState.SUSPECT
        if key in self.entries:
            return MemberState.ALIVE
        tombstone = self.tombstones.get(key)
        return tombstone.state if tombstone is not None else MemberState.UNKNOWN

    def find(self, key: MemberKey) -> MemberEntry | None:
        """Return a member's entry, including that of a dead or departed member; None if the view has none."""
        live = self.entries.get(key)
        if live is None and key in self.tombstones:
            return self.tombstones[key].entry
        return live

    def merge_update(
        self, now: float, update: MemberUpdate, source: MemberKey, reason: str = ""
    ) -> MergeAction:
        """Merge an update and return the action that the caller has to carry out.

        An update without a record is ignored if it concerns a process that is not in the view.
        """
        known = self.find(update.key)
        before = self.state(update.key)
        final_action = self._check_update(known, before, update)
        if final_action is not None:
            return final_action
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
        else:  # RECORD_LEAVE.
            self._add_tombstone(now, new, MemberState.LEFT)
        self._record_change(now, new, before, after, reason or DEFAULT_REASONS[action], source)
        return action

    def _check_update(
        self, known: MemberEntry | None, before: MemberState, update: MemberUpdate
    ) -> MergeAction | None:
        """Return the action of an update that must not be merged; None if the update can be merged."""
        if known is None:
            if update.record is None or update.confirmed:
                # The death of a member that was never in this view changes nothing.
                return MergeAction.NOTHING
            is_rejected = len(self.entries) >= MAX_MEMBERS
        elif update.record is None:
            if known.incarnation.process == update.incarnation.process:
                return None
            is_earlier_process = update.incarnation < known.incarnation
            return TRANSITIONS[before, ClaimEvent.OLDER][1] if is_earlier_process else MergeAction.NOTHING
        else:
            is_rejected = known.record.name != update.record.name  # Two names have the same key.
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
        live_count = len(self.entries)
        count = CONFIRMATIONS if suspicion.confirmed else max(0, len(suspicion.accusers) - 1)
        suspicion.deadline = suspicion.started_at + self.timing.suspicion_timeout(live_count, count)
        self.renew_timer(suspicion)

    def renew_timer(self, suspicion: Suspicion) -> None:
        """Assign a new timer id to a suspicion, which makes its earlier timers obsolete."""
        self.last_timer_id += 1
        suspicion.timer_id = self.last_timer_id

    def declare_dead(self, now: float, key: MemberKey, reason: str, source: MemberKey) -> None:
        """Record a member whose suspicion has expired as dead."""
        old = self.entries[key]
        after, _ = TRANSITIONS[self.state(key), ClaimEvent.SUSPICION_EXPIRED]
        self._add_tombstone(now, old, after)
        self._record_change(now, old, MemberState.SUSPECT, after, reason, source)

    def shift_times(self, delay: float) -> None:
        """Shift all times by the duration of a stall, so that the stall does not count as age."""
        for suspicion in self.suspicions.values():
            suspicion.started_at += delay
            suspicion.deadline += delay
            suspicion.last_contact_at += delay
        for key, tombstone in self.tombstones.items():
            self.tombstones[key] = Tombstone(tombstone.entry, tombstone.state, tombstone.departed_at + delay)

    def expire_tombstones(self, now: float) -> None:
        """Discard tombstones that are older than `tombstone_ttl`."""
        expiry = now - self.timing.tombstone_ttl
        for key, tombstone in list(self.tombstones.items()):  # Tombstones are in the order of departure.
            if tombstone.departed_at > expiry:
                break
            self._remove_tombstone(key)

    def set_local_entry(self, now: float, new: MemberEntry, reason: str) -> None:
        """Store this process's own entry; claims of other members about it are never merged directly."""
        before = self.state(new.key)
        self.suspicions.pop(new.key, None)
        if new.claim is Claim.LEFT:
            self._add_tombstone(now, new, MemberState.LEFT)
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

    def _add_tombstone(self, now: float, last: MemberEntry, state: MemberState) -> None:
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

    # Queries for the comparison of views.
    def entries_below(self, depth: int, path: int) -> Iterator[MemberEntry]:
        """Yield the live members whose key begins with the `depth` half bytes of `path`."""
        low = (path << 4 * (KEY_NIBBLES - depth)).to_bytes(KEY_NIBBLES // 2, "big")
        index = bisect_left(self.sorted_keys, low)
        last = (path + 1) << 4 * (KEY_NIBBLES - depth)
        while index < len(self.sorted_keys) and int.from_bytes(self.sorted_keys[index], "big") < last:
            yield self.entries[self.sorted_keys[index]]
            index += 1

    def child_digests(self, depth: int, path: int) -> list[int]:
        """Return the digests of the 16 children of a prefix, over the live members."""
        digests = [0] * 16
        shift = 4 * (KEY_NIBBLES - depth - 1)
        for item in self.entries_below(depth, path):
            digests[int.from_bytes(item.key, "big") >> shift & 15] ^= item.digest
        return digests

    def successor(self, key: MemberKey) -> MemberKey | None:
        """Return the next live member by key in a ring; None if there is no other member."""
        index = bisect_left(self.sorted_keys, key)
        if index < len(self.sorted_keys) and self.sorted_keys[index] == key:
            index += 1
        if not self.sorted_keys:
            return None
        successor = self.sorted_keys[index % len(self.sorted_keys)]
        return successor if successor != key else None


DEFAULT_REASONS = {
    MergeAction.ACCEPT: "announced by itself",
    MergeAction.START_SUSPICION: "does not answer",
    MergeAction.RECORD_LEAVE: "left",
}
