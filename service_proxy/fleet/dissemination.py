"""The updates that a member has to pass on, and how often still (SWIM, 4.1: piggybacking). Pure.

Each update is sent so many times, those first that were sent least recently; a newer one about the same
member replaces the older. Suspicions of several accusers travel side by side, for they shorten the suspicion.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from service_proxy.fleet.members import Claim, MemberKey
from service_proxy.fleet.wire import DatagramWriter, MemberUpdate

# Changes; beyond it those that were sent last are dropped: anti-entropy finds them.
MAX_PENDING_UPDATES = 1024
MIN_UPDATE_BYTES = 24  # bytes that any change takes
QueueKey = tuple[MemberKey, MemberKey]  # member and accuser


class DisseminationQueue:
    """Updates that wait to be piggybacked or gossiped.

    Attributes:
        pending: updates and their transmissions left, by member and accuser; the next to be sent comes first.
        accusers: of the pending suspicions of each member.
    """

    def __init__(self) -> None:
        self.pending: OrderedDict[QueueKey, tuple[MemberUpdate, int]] = (
            OrderedDict()
        )  # the next to be sent comes first
        self.accusers: dict[MemberKey, set[MemberKey]] = {}

    def __bool__(self) -> bool:
        return bool(self.pending)

    def enqueue(self, update: MemberUpdate, transmissions: int) -> None:
        """Add an update that is to be sent so many times, in place of older ones."""
        accuser = update.accuser if update.claim is Claim.SUSPECT else b""
        for other in list(self.accusers.get(update.key, ())):
            queued = self.pending[update.key, other][0]
            if (queued.incarnation, queued.claim) < (update.incarnation, update.claim):
                if queued.record is not None and update.record is None:
                    update = replace(update, record=queued.record)  # not all have its record yet
                self._remove((update.key, other))
        self.pending[update.key, accuser] = update, transmissions
        self.pending.move_to_end((update.key, accuser), last=False)
        self.accusers.setdefault(update.key, set()).add(accuser)
        if len(self.pending) > MAX_PENDING_UPDATES:
            self._remove(next(reversed(self.pending)))

    def _remove(self, queue_key: QueueKey) -> None:
        del self.pending[queue_key]
        accusers = self.accusers[queue_key[0]]
        accusers.discard(queue_key[1])
        if not accusers:
            del self.accusers[queue_key[0]]

    def piggyback(self, writer: DatagramWriter) -> None:
        """Add as many pending updates to a datagram as fit."""
        for _ in range(len(self.pending)):
            if writer.remaining_bytes < MIN_UPDATE_BYTES:
                return
            queue_key = next(iter(self.pending))
            update, transmissions_left = self.pending[queue_key]
            if not writer.add_update(update):
                return
            if transmissions_left > 1:
                self.pending[queue_key] = update, transmissions_left - 1
                self.pending.move_to_end(queue_key)
            else:
                self._remove(queue_key)
