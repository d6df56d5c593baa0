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
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
LATENCY_SMOOTHING = 0.1  # weight of the newest call's time in the mean


class ApplicationState(Enum):
    """What is known of the application."""

    STARTING = "starting"  # has not said yet that it can work
    UP = "up"
    SUSPECT = "suspect"  # something broke, or a probe had no answer: the next probe tells
    SLOW = "slow"  # takes connections and answers no probe
    UNREADY = "unready"  # answers that it can't work
    DOWN = "down"  # nobody listens


class ApplicationSignal(Enum):
    """What a probe or a call showed."""

    HEALTHY = "healthy"  # a probe was answered with 2xx
    UNHEALTHY = "unhealthy"  # a probe was answered with anything else
    SILENT = "silent"  # a probe had no answer in time
    REFUSED = "refused"  # no connection came up
    BROKEN = "broken"  # a connection ended under a call or a probe


S = ApplicationState
H = ApplicationSignal
TRANSITIONS: dict[ApplicationState, dict[ApplicationSignal, ApplicationState]] = {
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
ACCEPTING_STATES = frozenset(
    (ApplicationState.UP, ApplicationState.SUSPECT)
)  # in which the application is given calls


class AdmissionDecision(Enum):
    """What becomes of a new request."""

    START = "begin"  # give it to the application now
    QUEUE = "wait"
    REJECT = "refuse"


T = TypeVar("T")


@dataclass(slots=True)
class QueuedRequest(Generic[T]):
    """A request that waits for a slot."""

    request: T
    priority_weight: float
    deadline: float


class ApplicationAdmission(Generic[T]):
    """Admission for one application; each request is started, rejected or removed once."""

    def __init__(
        self,
        slots: int,
        max_queued: int,
        slow_start_initial_share: float,
        slow_start_window: float,
        warm_up: bool,
    ) -> None:
        self.slots = slots
        self.max_queued = max_queued
        self.slow_start_initial_share = slow_start_initial_share
        self.slow_start_window = slow_start_window if warm_up else 0.0
        self.state = ApplicationState.STARTING
        self.draining = False
        self.in_flight = 0  # calls that the application has
        self.queue: list[QueuedRequest[T]] = []  # the longest waiting first
        self.mean_latency = MIN_RETRY_AFTER_S  # s that a call takes lately
        self.warming_up_since = float("-inf")  # when it last began anew
        self.was_down_while_starting = False  # while it was starting: then it is younger than this sidecar
        self.all_connections_broke = False  # all its connections broke at once: it may have begun anew unseen

    # the application
    def on_signal(self, signal: ApplicationSignal, now: float) -> ApplicationState:
        """Take in what a health check or a request showed; return the state after it.

        A restart of the application begins its slow start.
        """
        before = self.state
        self.state = TRANSITIONS[before][signal]
        if before is ApplicationState.STARTING and signal is ApplicationSignal.REFUSED:
            self.was_down_while_starting = True
        if self.state is ApplicationState.UP and before is not ApplicationState.UP:
            anew = (
                before is ApplicationState.DOWN
                or self.all_connections_broke
                or (before is ApplicationState.STARTING and self.was_down_while_starting)
            )
            if anew:
                self.warming_up_since = now
            self.all_connections_broke = False
        return self.state

    def on_connection_broken(self, survivors: int, now: float) -> ApplicationState:
        """Take in that a connection ended under a request, while `survivors` others stand.

        Where none does, a process may have ended and another begun between two health checks.
        """
        if not survivors:
            self.all_connections_broke = True
        return self.on_signal(ApplicationSignal.BROKEN, now)

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are welcome."""
        return self.state in ACCEPTING_STATES and not self.draining

    def concurrency_limit(self, now: float) -> int:
        """Return the requests that it may have at a time: one at least, to show that it is well."""
        if self.slow_start_window <= 0.0:
            return self.slots
        warm = min(1.0, max(0.0, (now - self.warming_up_since) / self.slow_start_window))
        return max(
            1,
            int(self.slots * (self.slow_start_initial_share + (1.0 - self.slow_start_initial_share) * warm)),
        )

    # calls
    def offer(
        self, request: T, priority_weight: float, deadline: float, now: float
    ) -> tuple[AdmissionDecision, T | None]:
        """Decide on a new request; return another that gives up its place in the queue to it, if any.

        That one was never started, so rejecting it is harmless.
        """
        if self.state not in ACCEPTING_STATES:
            return AdmissionDecision.REJECT, None
        if not self.queue and self.in_flight < self.concurrency_limit(now):
            self.in_flight += 1
            return AdmissionDecision.START, None
        displaced = None
        if len(self.queue) >= self.max_queued:
            lowest = min(self.queue, key=lambda waiting: waiting.priority_weight, default=None)
            if lowest is None or lowest.priority_weight >= priority_weight:
                return AdmissionDecision.REJECT, None
            self.queue.remove(lowest)
            displaced = lowest.request
        self.queue.append(QueuedRequest(request, priority_weight, deadline))
        return AdmissionDecision.QUEUE, displaced

    def on_request_end(self, latency: float | None) -> None:
        """Release a slot; `latency` is None where the application never had the request."""
        self.in_flight -= 1
        if latency is not None:
            self.mean_latency += LATENCY_SMOOTHING * (latency - self.mean_latency)

    def next_request(self, now: float) -> T | None:
        """Return the next request to start, if there is a slot for one.

        One whose time is up is not started: its deadline timer rejects it.
        """
        if self.state not in ACCEPTING_STATES:
            return None
        while self.queue and self.in_flight < self.concurrency_limit(now):
            waiting = self.queue.pop(0)
            if waiting.deadline > now:
                self.in_flight += 1
                return waiting.request
        return None

    def remove_queued(self, request: T) -> bool:
        """Remove a request that waits no longer; return whether it was queued."""
        for place, waiting in enumerate(self.queue):
            if waiting.request is request:
                del self.queue[place]
                return True
        return False

    def take_rejected(self) -> list[T]:
        """Empty the queue of an application that accepts nothing any more: all of it is rejected at once."""
        if self.state in ACCEPTING_STATES:
            return []
        calls = [waiting.request for waiting in self.queue]
        self.queue.clear()
        return calls

    def retry_after(self, now: float) -> float:
        """Return the seconds after which to retry: when the queue is served, or it may be up again."""
        if self.state not in ACCEPTING_STATES:
            return MAX_RETRY_AFTER_S
        wait = self.mean_latency * (len(self.queue) + 1) / self.concurrency_limit(now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
