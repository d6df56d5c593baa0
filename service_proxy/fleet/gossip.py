"""What a member has to pass on, and how often still. Pure.

Each change is sent so many times, those first that were sent least lately; a newer one about the same member
takes the place of the older. Suspicions of several accusers travel side by side, for they shorten the
suspicion.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from service_proxy.fleet.entries import Claim, Key
from service_proxy.fleet.wire import Said, Writer

MOST_WAITING = 1024  # changes; beyond it those that were sent last are dropped: anti-entropy finds them
LEAST_ROOM = 24  # bytes that any change takes
Place = tuple[Key, Key]  # member and accuser


class Gossip:
    def __init__(self) -> None:
        self.waiting: OrderedDict[Place, tuple[Said, int]] = OrderedDict()  # the next to be sent comes first
        self.accusers: dict[Key, set[Key]] = {}

    def __bool__(self) -> bool:
        return bool(self.waiting)

    def add(self, said: Said, times: int) -> None:
        accuser = said.accuser if said.claim is Claim.SUSPECT else b""
        for other in list(self.accusers.get(said.key, ())):
            old = self.waiting[said.key, other][0]
            if (old.incarnation, old.claim) < (said.incarnation, said.claim):
                if old.record is not None and said.record is None:
                    said = replace(said, record=old.record)  # not all have been told yet who it is
                self._drop((said.key, other))
        self.waiting[said.key, accuser] = said, times
        self.waiting.move_to_end((said.key, accuser), last=False)
        self.accusers.setdefault(said.key, set()).add(accuser)
        if len(self.waiting) > MOST_WAITING:
            self._drop(next(reversed(self.waiting)))

    def _drop(self, place: Place) -> None:
        del self.waiting[place]
        accusers = self.accusers[place[0]]
        accusers.discard(place[1])
        if not accusers:
            del self.accusers[place[0]]

    def fill(self, writer: Writer) -> None:
        """As many as there is room for."""
        for _ in range(len(self.waiting)):
            if writer.room < LEAST_ROOM:
                return
            place = next(iter(self.waiting))
            said, left = self.waiting[place]
            if not writer.said(said):
                return
            if left > 1:
                self.waiting[place] = said, left - 1
                self.waiting.move_to_end(place)
            else:
                self._drop(place)
