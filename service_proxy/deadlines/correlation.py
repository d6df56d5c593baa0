"""Whose call is whose: finds the request for which an application makes a call. Pure; bounded.

By the field that the application copied; else by the ids and keys of the two calls, in a fixed order:

1. `Tier-Budget: ref;...` names the request.
2. the call's X-Call-Id is the request's, or begins with it and one of `.-:/`.
3. the call has the Idempotency-Key of exactly one open request of its class.

Requests stay known for a while after their end, so that calls for one that is over are refused and not
taken for
unknown. What is pushed out of the table is unknown: its calls have their class's deadline, as without
budgets.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from service_proxy.deadlines.accounts import Account

MOST_REQUESTS = (
    4096  # known at a time, open and ended; the one that ended first is pushed out, then the oldest
)
BYTES_EACH = 900  # of memory, about, of a request in all tables with its account: measured, see the proof
KEPT = 10.0  # s after its end for which a request is known: longer than its calls would be worth
MOST_ID = 128  # bytes of an id or key that is looked up; a longer one correlates with nothing
BREAKS = b".-:/"


@dataclass(slots=True, eq=False)
class Entry:
    reference: str
    call: bytes
    key: bytes
    cls: str
    account: Account
    ended: float | None = None
    gone: bool = False  # nobody waits for it; else it was answered


class Correlation:
    def __init__(self, most: int = MOST_REQUESTS) -> None:
        self.most = most
        self.by_reference: dict[str, Entry] = {}
        self.by_call: dict[bytes, Entry] = {}
        self.by_key: dict[tuple[str, bytes], list[Entry]] = {}
        self.open: OrderedDict[str, None] = OrderedDict()
        self.ended: OrderedDict[str, None] = OrderedDict()
        self.evicted = 0

    def __len__(self) -> int:
        return len(self.by_reference)

    def add(self, reference: str, call: bytes, key: bytes, cls: str, account: Account) -> Entry:
        """A request that the application is about to get."""
        while len(self.by_reference) >= self.most:
            self._drop(next(iter(self.ended or self.open)))
            self.evicted += 1
        entry = Entry(reference, call, key, cls, account)
        self.by_reference[reference] = entry
        self.open[reference] = None
        if len(call) <= MOST_ID:
            self.by_call[call] = entry
        if key and len(key) <= MOST_ID:
            self.by_key.setdefault((cls, key), []).append(entry)
        return entry

    def end(self, entry: Entry, now: float) -> None:
        """The request has its answer, or nobody waits for it."""
        if entry.ended is None and self.by_reference.get(entry.reference) is entry:
            entry.ended = now
            del self.open[entry.reference]
            self.ended[entry.reference] = None
        self.forget(now)

    def forget(self, now: float) -> None:
        """What ended long ago."""
        while self.ended:
            reference = next(iter(self.ended))
            ended = self.by_reference[reference].ended
            if ended is None or ended > now - KEPT:
                return
            self._drop(reference)

    def _drop(self, reference: str) -> None:
        entry = self.by_reference.pop(reference)
        self.open.pop(reference, None)
        self.ended.pop(reference, None)
        if self.by_call.get(entry.call) is entry:
            del self.by_call[entry.call]
        same = self.by_key.get((entry.cls, entry.key))
        if same is not None and entry in same:
            same.remove(entry)
            if not same:
                del self.by_key[entry.cls, entry.key]

    def find(self, reference: str | None, call: bytes, key: bytes, cls: str) -> Entry | None:
        """The request that the call is made for; None where that is unknown."""
        if reference is not None:
            return self.by_reference.get(reference)
        if len(call) <= MOST_ID:
            entry = self.by_call.get(call)
            if entry is not None:
                return entry
            for place in range(len(call) - 1, 0, -1):
                if call[place] in BREAKS:
                    entry = self.by_call.get(call[:place])
                    if entry is not None:
                        return entry
        if key:
            same = [entry for entry in self.by_key.get((cls, key), ()) if entry.ended is None]
            if len(same) == 1:
                return same[0]
        return None
