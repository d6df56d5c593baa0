"""Admission of requests for the application beside the sidecar: start, queue or reject each request. Pure.

TRANSITIONS lists the states of the application and the effect of each signal. The concurrency limit is the
number of slots. During the slow start after a restart of the application it is a share of the slots, because
clients have no way to detect the restart. The caller passes the current time in seconds and acts on the
decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

# Bounds of Retry-After in seconds: the maximum applies to an application that is down, the minimum to one
# that is busy.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
LATENCY_SMOOTHING = 0.1  # weight of the newest latency in the smoothed mean


class ApplicationState(Enum):
    """State of the application, as derived from health checks and connections."""

    STARTING = "starting"  # no health check has succeeded yet
    UP = "up"
    SUSPECT = "suspect"  # a connection broke or a health check timed out; the next health check decides
    SLOW = "slow"  # accepts connections, but health checks time out
    UNREADY = "unready"  # answers health checks with an error
    DOWN = "down"  # refuses connections


class ApplicationSignal(Enum):
    """Result of a health check or a request that can change the state of the application."""

    HEALTHY = "healthy"  # a health check was answered with 2xx
    UNHEALTHY = "unhealthy"  # a health check was answered with any other status
    SILENT = "silent"  # a health check timed out
    REFUSED = "refused"  # no connection could be opened
    BROKEN = "broken"  # a connection ended during a request or a health check


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
# Signals that the application has answered.
ANSWERS = frozenset((ApplicationSignal.HEALTHY, ApplicationSignal.UNHEALTHY))
# States in which new requests are sent to the application.
ACCEPTING_STATES = frozenset((ApplicationState.UP, ApplicationState.SUSPECT))


class AdmissionDecision(Enum):
    """Decision on a new request."""

    START = "start"  # send the request to the application now
    QUEUE = "queue"
    REJECT = "reject"


T = TypeVar("T")


@dataclass(slots=True)
class QueuedRequest(Generic[T]):
    """Request that waits for a slot."""

    request: T
    priority_weight: float
    deadline: float


class ApplicationAdmission(Generic[T]):
    """Admission control of one application. Each request is started, rejected or removed exactly once."""

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
        self.in_flight = 0  # requests that occupy a slot
        self.queue: list[QueuedRequest[T]] = []  # in the order of arrival
        self.mean_latency = MIN_RETRY_AFTER_S  # smoothed, in seconds
        self.warming_up_since = float("-inf")  # time at which the last slow start began
        self.was_down_while_starting = False  # true if the application started after the sidecar
        self.restarts = 0  # starts of the application that were detected
        self.last_answer_at = float("-inf")  # time of the last answered health check
        # Time after which the application certainly started; minus infinity: unknown.
        self.started_after = float("-inf")
        # True if the application may have restarted between two health checks.
        self.all_connections_broke = False

    def on_signal(self, signal: ApplicationSignal, now: float) -> ApplicationState:
        """Apply the result of a health check or a request, and return the new state.

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
                self._record_restart(before, now)
            self.all_connections_broke = False
        if signal in ANSWERS:
            self.last_answer_at = now
        return self.state

    def _record_restart(self, before: ApplicationState, now: float) -> None:
        """Record that the application may have started again; `before` is its state before."""
        self.warming_up_since = now
        self.restarts += 1
        # Only refused connections prove that the process which answered before has ended.
        self.started_after = self.last_answer_at if before is ApplicationState.DOWN else float("-inf")

    def on_connection_broken(self, other_connections: int, now: float) -> ApplicationState:
        """Apply the end of a connection during a request, while `other_connections` are open.

        If no other connection is open, the application may have restarted between two health checks.
        """
        if not other_connections:
            self.all_connections_broke = True
        return self.on_signal(ApplicationSignal.BROKEN, now)

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are accepted."""
        return self.state in ACCEPTING_STATES and not self.draining

    def concurrency_limit(self, now: float) -> int:
        """Return the maximum number of requests in flight.

        The limit is at least 1, because a request in flight can show that the application is healthy.
        """
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
        """Decide on a new request, and return the queued request that it displaces, if any.

        The displaced request was never started, so it can be rejected.
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
        """Release a slot; `latency` is None if the application never received the request."""
        self.in_flight -= 1
        if latency is not None:
            self.mean_latency += LATENCY_SMOOTHING * (latency - self.mean_latency)

    def next_request(self, now: float) -> T | None:
        """Return the next queued request to start, or None if no slot is free.

        A request past its deadline is not started. Its deadline timer rejects it.
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
        """Remove a request that no longer waits, and return whether it was queued."""
        for index, queued in enumerate(self.queue):
            if queued.request is request:
                del self.queue[index]
                return True
        return False

    def take_rejected(self) -> list[T]:
        """Empty the queue if the application accepts no requests, and return the requests to reject."""
        if self.state in ACCEPTING_STATES:
            return []
        rejected = [queued.request for queued in self.queue]
        self.queue.clear()
        return rejected

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a client should retry.

        The value is the expected time until the queue is processed, or the maximum if the application is not
        accepting requests.
        """
        if self.state not in ACCEPTING_STATES:
            return MAX_RETRY_AFTER_S
        wait = self.mean_latency * (len(self.queue) + 1) / self.concurrency_limit(now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
