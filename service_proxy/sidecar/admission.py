"""Admission of requests for the application beside this sidecar: start, queue or reject. Pure.

One table has the states of the application. The concurrency limit is its slots, or a part of them during the
slow start after a restart, which clients can't know of. Time is passed in, in seconds; the caller acts on the
decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

# Of Retry-After: the first for an application that is down, the second for one that is busy.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
LATENCY_SMOOTHING = 0.1  # weight of the newest latency in the mean


class ApplicationState(Enum):
    """The states of the application, as far as the sidecar knows."""

    STARTING = "starting"  # has not been healthy yet
    UP = "up"
    SUSPECT = "suspect"  # a connection broke or a probe timed out: the next probe decides
    SLOW = "slow"  # accepts connections, and probes time out
    UNREADY = "unready"  # answers probes with an error
    DOWN = "down"  # refuses connections


class ApplicationSignal(Enum):
    """What a probe or a request showed."""

    HEALTHY = "healthy"  # a probe was answered with 2xx
    UNHEALTHY = "unhealthy"  # a probe was answered with anything else
    SILENT = "silent"  # a probe had no answer in time
    REFUSED = "refused"  # no connection came up
    BROKEN = "broken"  # a connection ended during a request or a probe


STATE = ApplicationState
SIGNAL = ApplicationSignal
TRANSITIONS: dict[ApplicationState, dict[ApplicationSignal, ApplicationState]] = {
    STATE.STARTING: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.STARTING,
        SIGNAL.SILENT: STATE.STARTING,
        SIGNAL.REFUSED: STATE.STARTING,
        SIGNAL.BROKEN: STATE.STARTING,
    },
    STATE.UP: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.UNREADY,
        SIGNAL.SILENT: STATE.SUSPECT,
        SIGNAL.REFUSED: STATE.DOWN,
        SIGNAL.BROKEN: STATE.SUSPECT,
    },
    STATE.SUSPECT: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.UNREADY,
        SIGNAL.SILENT: STATE.SLOW,
        SIGNAL.REFUSED: STATE.DOWN,
        SIGNAL.BROKEN: STATE.SUSPECT,
    },
    STATE.SLOW: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.UNREADY,
        SIGNAL.SILENT: STATE.SLOW,
        SIGNAL.REFUSED: STATE.DOWN,
        SIGNAL.BROKEN: STATE.SLOW,
    },
    STATE.UNREADY: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.UNREADY,
        SIGNAL.SILENT: STATE.SLOW,
        SIGNAL.REFUSED: STATE.DOWN,
        SIGNAL.BROKEN: STATE.UNREADY,
    },
    STATE.DOWN: {
        SIGNAL.HEALTHY: STATE.UP,
        SIGNAL.UNHEALTHY: STATE.DOWN,
        SIGNAL.SILENT: STATE.DOWN,
        SIGNAL.REFUSED: STATE.DOWN,
        SIGNAL.BROKEN: STATE.DOWN,
    },
}
# In which the application gets requests.
ACCEPTING_STATES = frozenset((ApplicationState.UP, ApplicationState.SUSPECT))


class AdmissionDecision(Enum):
    """The decision on a new request."""

    START = "start"  # send it to the application now
    QUEUE = "queue"
    REJECT = "reject"


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
        self.in_flight = 0  # requests that the application has
        self.queue: list[QueuedRequest[T]] = []  # in the order of arrival
        self.mean_latency = MIN_RETRY_AFTER_S  # s, smoothed
        self.warming_up_since = float("-inf")  # the start of the last slow start
        self.was_down_while_starting = False  # then it started after this sidecar
        self.all_connections_broke = False  # then it may have restarted between two probes

    def on_signal(self, signal: ApplicationSignal, now: float) -> ApplicationState:
        """Apply what a health check or a request showed; return the new state.

        A restart of the application begins its slow start.
        """
        before = self.state
        self.state = TRANSITIONS[before][signal]
        if before is ApplicationState.STARTING and signal is ApplicationSignal.REFUSED:
            self.was_down_while_starting = True
        if self.state is ApplicationState.UP and before is not ApplicationState.UP:
            has_restarted = (
                before is ApplicationState.DOWN
                or self.all_connections_broke
                or (before is ApplicationState.STARTING and self.was_down_while_starting)
            )
            if has_restarted:
                self.warming_up_since = now
            self.all_connections_broke = False
        return self.state

    def on_connection_broken(self, survivors: int, now: float) -> ApplicationState:
        """Apply that a connection ended during a request, while `survivors` others are open.

        Without survivors the application may have restarted between two health checks.
        """
        if not survivors:
            self.all_connections_broke = True
        return self.on_signal(ApplicationSignal.BROKEN, now)

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are welcome."""
        return self.state in ACCEPTING_STATES and not self.draining

    def concurrency_limit(self, now: float) -> int:
        """Return the requests that it may have at a time: one at least, to show that it is healthy."""
        if self.slow_start_window <= 0.0:
            return self.slots
        progress = min(1.0, max(0.0, (now - self.warming_up_since) / self.slow_start_window))
        return max(
            1,
            int(
                self.slots
                * (self.slow_start_initial_share + (1.0 - self.slow_start_initial_share) * progress)
            ),
        )

    def offer(
        self, request: T, priority_weight: float, deadline: float, now: float
    ) -> tuple[AdmissionDecision, T | None]:
        """Decide on a new request; return the queued request that it displaces, if any.

        The displaced one was never started, so it can be rejected.
        """
        if self.state not in ACCEPTING_STATES:
            return AdmissionDecision.REJECT, None
        if not self.queue and self.in_flight < self.concurrency_limit(now):
            self.in_flight += 1
            return AdmissionDecision.START, None
        displaced = None
        if len(self.queue) >= self.max_queued:
            lowest = min(self.queue, key=lambda queued: queued.priority_weight, default=None)
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

        One past its deadline is not started: its deadline timer rejects it.
        """
        if self.state not in ACCEPTING_STATES:
            return None
        while self.queue and self.in_flight < self.concurrency_limit(now):
            queued = self.queue.pop(0)
            if queued.deadline > now:
                self.in_flight += 1
                return queued.request
        return None

    def remove_queued(self, request: T) -> bool:
        """Remove a request that waits no longer; return whether it was queued."""
        for index, queued in enumerate(self.queue):
            if queued.request is request:
                del self.queue[index]
                return True
        return False

    def take_rejected(self) -> list[T]:
        """Empty the queue of an application that accepts no requests; return what to reject."""
        if self.state in ACCEPTING_STATES:
            return []
        rejected = [queued.request for queued in self.queue]
        self.queue.clear()
        return rejected

    def retry_after(self, now: float) -> float:
        """Return the seconds after which to retry: when the queue is served, or it may be up again."""
        if self.state not in ACCEPTING_STATES:
            return MAX_RETRY_AFTER_S
        wait = self.mean_latency * (len(self.queue) + 1) / self.concurrency_limit(now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
