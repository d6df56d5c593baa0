"""What a member has to pass on, and how often still. Pure.

Each change is sent so many times, those first that were sent least lately; a newer one about the same member
takes the place of the older. Suspicions of several accusers travel side by side, for they shorten the
suspicion.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from service_proxy.fleet.members import Claim, MemberKey
from service_proxy.fleet.wire import DatagramWriter, MemberUpdate

MAX_PENDING_UPDATES = (
    1024  # changes; beyond it those that were sent last are dropped: anti-entropy finds them
)
MIN_UPDATE_BYTES = 24  # bytes that any change takes
QueueKey = tuple[MemberKey, MemberKey]  # member and accuser


class DisseminationQueue:
    def __init__(self) -> None:
        self.pending: OrderedDict[QueueKey, tuple[MemberUpdate, int]] = (
            OrderedDict()
        )  # the next to be sent comes first
        self.accusers: dict[MemberKey, set[MemberKey]] = {}

    def __bool__(self) -> bool:
        return bool(self.pending)

    def enqueue(self, update: MemberUpdate, transmissions: int) -> None:
        accuser = update.accuser if update.claim is Claim.SUSPECT else b""
        for other in list(self.accusers.get(update.key, ())):
            queued = self.pending[update.key, other][0]
            if (queued.incarnation, queued.claim) < (update.incarnation, update.claim):
                if queued.record is not None and update.record is None:
                    update = replace(update, record=queued.record)  # not all have been told yet who it is
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
        """As many as there is room for."""
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
