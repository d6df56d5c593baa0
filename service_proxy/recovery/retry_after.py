"""When a refused caller had better come back: its returns are spread over the capacity that is coming. Pure.

Each caller that is sent away is booked into the next free place of what the servers will bear: that grows
with each one's warm-up, which is known from its first answer and the cold share of the settings. How many
calls a second a warm server takes is learned from this recovery alone, never from before it. A booking beyond
the longest advice that the settings allow is told a time drawn from its later half: callers that must come
too early at least don't come together.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

FIRST_RATE = 2.0  # calls a second that a warm server is taken to answer for this proxy, before any did
LEAST = 0.1  # s of any advice
SMOOTH = 0.2  # weight of the newest look at the rate
SPREAD = 0.2  # of an advice by which it is drawn about its place


def bears(age: float, cold_from: float, cold_for: float) -> float:
    """Share of its capacity that a server surely has this long after its first answer."""
    if age >= cold_for:
        return 1.0
    return cold_from + (1.0 - cold_from) * max(0.0, age) / cold_for


class Bookings:
    def __init__(self, seed: int, cold_from: float, cold_for: float, longest: float) -> None:
        """`longest`: s of an advice, by the settings; 0: none may be given."""
        self.random = Random(seed)
        self.cold_from = cold_from
        self.cold_for = cold_for
        self.longest = longest
        self.rate = FIRST_RATE  # calls a second of a warm server, for this proxy
        self.next = 0.0  # the first moment that is not booked
        self.answered = 0
        self.looked = 0.0

    def capacity(self, now: float, begun: Collection[float]) -> float:
        """Servers, counted as warm ones. `begun`: when each that answers did so first."""
        return sum(bears(now - at, self.cold_from, self.cold_for) for at in begun)

    def look(self, now: float, answered: int, begun: Collection[float]) -> None:
        """`answered`: calls so far that were served. What is served bounds the rate from below alone, for
        who is refused might have been served, so it falls slowly and rises at once."""
        span = now - self.looked
        capacity = self.capacity(now, begun)
        if span > 0 and capacity > 0:
            seen = (answered - self.answered) / span / capacity
            self.rate = max(seen, self.rate + SMOOTH * (seen - self.rate), FIRST_RATE / 4)
        self.looked = now
        self.answered = answered

    def advise(self, now: float, begun: Collection[float]) -> float:
        """s, 0: nothing may be said."""
        if not self.longest:
            return 0.0
        self.next = max(self.next, now + LEAST)
        capacity = self.capacity(self.next, begun)
        if capacity > 0:
            self.next += 1.0 / (self.rate * capacity)
        wait = self.next - now
        if not capacity or wait > self.longest:
            self.next = min(self.next, now + self.longest)
            return self.random.uniform(self.longest / 2, self.longest)
        return min(self.longest, wait * self.random.uniform(1 - SPREAD, 1 + SPREAD))
