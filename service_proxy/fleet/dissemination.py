"""Queue of updates that a member disseminates, with the transmissions left of each (SWIM, 4.1: piggybacking).

Updates that were sent least recently are sent first. A newer update about a member replaces older updates
about that member. Suspicions of the same incarnation by different accusers stay in the queue side by side,
because each accuser shortens the suspicion. Performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from service_proxy.fleet.members import Claim, MemberKey
from service_proxy.fleet.wire import DatagramWriter, MemberUpdate

# Updates in the queue; beyond this number the update at the end of the queue is dropped, and anti-entropy
# repairs the difference.
MAX_PENDING_UPDATES = 1024
MIN_UPDATE_BYTES = 24  # Lower bound of the bytes of any update in a datagram.
QueueKey = tuple[MemberKey, MemberKey]  # The member that the update is about, and the accuser.


class DisseminationQueue:
    """Updates that wait to be piggybacked or gossiped.

    Attributes:
        pending: updates and their transmissions left, by member and accuser; the next one to send is first.
        accusers: accusers of the pending suspicions, by suspected member.
    """

    def __init__(self) -> None:
        self.pending: OrderedDict[QueueKey, tuple[MemberUpdate, int]] = OrderedDict()
        self.accusers: dict[MemberKey, set[MemberKey]] = {}

    def __bool__(self) -> bool:
        return bool(self.pending)

    def enqueue(self, update: MemberUpdate, transmissions: int) -> None:
        """Add an update to send `transmissions` times, in place of older updates about the same member."""
        accuser = update.accuser if update.claim is Claim.SUSPECT else b""
        for queued_accuser in list(self.accusers.get(update.key, ())):
            queued = self.pending[update.key, queued_accuser][0]
            if (queued.incarnation, queued.claim) < (update.incarnation, update.claim):
                if queued.record is not None and update.record is None:
                    # Some members have not received the record of the replaced update yet.
                    update = replace(update, record=queued.record)
                self._remove((update.key, queued_accuser))
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
        """Add pending updates to a datagram until the next one does not fit."""
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
