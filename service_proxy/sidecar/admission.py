"""Which calls the application beside this sidecar gets, which wait, and which are refused. Pure.

Two matters: what is known of the application (one table of states), and how much it is given: so many calls
at a time, fewer while it is cold after a restart, since callers can't know that it began anew. Time is
handed in, in seconds; whoever holds an Admission does what it says.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

# s of Retry-After: for an application that is down, that is busy
SLOWEST_ADVICE = 1.0
QUICKEST_ADVICE = 0.05
EASE = 0.1  # weight of the newest call's time in the mean
SILENCES = 2  # probes one after another without an answer that make an application slow


class State(Enum):
    """What is known of the application."""

    STARTING = "starting"  # has not said yet that it can work
    UP = "up"
    SUSPECT = "suspect"  # something broke, or a probe had no answer: the next probe tells
    SLOW = "slow"  # takes connections and answers no probe
    UNREADY = "unready"  # answers that it can't work
    DOWN = "down"  # nobody listens


class Heard(Enum):
    """What a probe or a call showed."""

    HEALTHY = "healthy"  # a probe was answered with 2xx
    UNHEALTHY = "unhealthy"  # a probe was answered with anything else
    SILENT = "silent"  # a probe had no answer in time
    REFUSED = "refused"  # no connection came up
    BROKEN = "broken"  # a connection ended under a call or a probe


S = State
H = Heard
TABLE: dict[State, dict[Heard, State]] = {
    S.STARTING: {
        H.HEALTHY: S.UP,
        H.UNHEALTHY: S.STARTING,
        H.SILENT: S.STARTING,
        H.REFUSED: S.STARTING,
        H.BROKEN: S.STARTING,
    },
    S.UP: {
        H.HEALTHY: S.UP,
        H.UNHEALTHY: S.UNREADY,
        H.SILENT: S.SUSPECT,
        H.REFUSED: S.DOWN,
        H.BROKEN: S.SUSPECT,
    },
    S.SUSPECT: {
        H.HEALTHY: S.UP,
        H.UNHEALTHY: S.UNREADY,
        H.SILENT: S.SLOW,
        H.REFUSED: S.DOWN,
        H.BROKEN: S.SUSPECT,
    },
    S.SLOW: {H.HEALTHY: S.UP, H.UNHEALTHY: S.UNREADY, H.SILENT: S.SLOW, H.REFUSED: S.DOWN, H.BROKEN: S.SLOW},
    S.UNREADY: {
        H.HEALTHY: S.UP,
        H.UNHEALTHY: S.UNREADY,
        H.SILENT: S.SLOW,
        H.REFUSED: S.DOWN,
        H.BROKEN: S.UNREADY,
    },
    S.DOWN: {H.HEALTHY: S.UP, H.UNHEALTHY: S.DOWN, H.SILENT: S.DOWN, H.REFUSED: S.DOWN, H.BROKEN: S.DOWN},
}
TAKING = frozenset((State.UP, State.SUSPECT))  # in which the application is given calls


class Verdict(Enum):
    BEGIN = "begin"  # give it to the application now
    WAIT = "wait"
    REFUSE = "refuse"


T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    call: T
    worth: float
    due: float


class Admission(Generic[T]):
    """For one application. `T`: a call, as its holder names it; each is begun, refused or left once."""

    def __init__(self, slots: int, waiting: int, cold_from: float, cold_for: float, warm_up: bool) -> None:
        self.slots = slots
        self.most_waiting = waiting
        self.cold_from = cold_from
        self.cold_for = cold_for if warm_up else 0.0
        self.state = State.STARTING
        self.draining = False
        self.out = 0  # calls that the application has
        self.queue: list[Waiting[T]] = []  # the longest waiting first
        self.mean = QUICKEST_ADVICE  # s that a call takes lately
        self.warm_from = float("-inf")  # when it last began anew
        self.seen_down = False  # while it was starting: then it is younger than this sidecar
        self.unexplained = False  # all its connections broke at once: it may have begun anew unseen

    # the application
    def heard(self, what: Heard, now: float) -> State:
        """The state after it. A restart begins a warm-up."""
        before = self.state
        self.state = TABLE[before][what]
        if before is State.STARTING and what is Heard.REFUSED:
            self.seen_down = True
        if self.state is State.UP and before is not State.UP:
            anew = before is State.DOWN or self.unexplained or (before is State.STARTING and self.seen_down)
            if anew:
                self.warm_from = now
            self.unexplained = False
        return self.state

    def broke(self, survivors: int, now: float) -> State:
        """A connection to it ended under a call, and so many others stand. Where none does, a process may
        have ended and another begun between two probes."""
        if not survivors:
            self.unexplained = True
        return self.heard(Heard.BROKEN, now)

    @property
    def taking(self) -> bool:
        return self.state in TAKING and not self.draining

    def room(self, now: float) -> int:
        """Calls that it may have at a time now: at least one, or it never showed that it is well."""
        if self.cold_for <= 0.0:
            return self.slots
        warm = min(1.0, max(0.0, (now - self.warm_from) / self.cold_for))
        return max(1, int(self.slots * (self.cold_from + (1.0 - self.cold_from) * warm)))

    # calls
    def offer(self, call: T, worth: float, due: float, now: float) -> tuple[Verdict, T | None]:
        """What becomes of a new call, and of another that gives up its place in the queue to it, if any:
        that one was never begun, so refusing it is harmless."""
        if self.state not in TAKING:
            return Verdict.REFUSE, None
        if not self.queue and self.out < self.room(now):
            self.out += 1
            return Verdict.BEGIN, None
        yields = None
        if len(self.queue) >= self.most_waiting:
            least = min(self.queue, key=lambda waiting: waiting.worth, default=None)
            if least is None or least.worth >= worth:
                return Verdict.REFUSE, None
            self.queue.remove(least)
            yields = least.call
        self.queue.append(Waiting(call, worth, due))
        return Verdict.WAIT, yields

    def ended(self, took: float | None, now: float) -> None:
        """The application no longer has a call; it took so long, or never got it (None)."""
        self.out -= 1
        if took is not None:
            self.mean += EASE * (took - self.mean)

    def following(self, now: float) -> T | None:
        """The next call to begin, if there is room for one. Whose time is up is not begun: its holder's
        timer refuses it."""
        if self.state not in TAKING:
            return None
        while self.queue and self.out < self.room(now):
            waiting = self.queue.pop(0)
            if waiting.due > now:
                self.out += 1
                return waiting.call
        return None

    def left(self, call: T) -> bool:
        """A call that waits no longer; whether it did."""
        for place, waiting in enumerate(self.queue):
            if waiting.call is call:
                del self.queue[place]
                return True
        return False

    def dismissed(self) -> list[T]:
        """All that wait for an application that takes nothing any more: to be refused at once."""
        if self.state in TAKING:
            return []
        calls = [waiting.call for waiting in self.queue]
        self.queue.clear()
        return calls

    def advice(self, now: float) -> float:
        """s after which to come again: when what waits has been served, or when it may be up again."""
        if self.state not in TAKING:
            return SLOWEST_ADVICE
        wait = self.mean * (len(self.queue) + 1) / self.room(now)
        return min(SLOWEST_ADVICE, max(QUICKEST_ADVICE, wait))
