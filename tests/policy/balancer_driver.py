"""Builders for policy tests, and a driver that feeds events to a Balancer."""

from __future__ import annotations

from typing import Any

from service_proxy import (
    Action,
    AttemptEnded,
    AttemptStatus,
    Balancer,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    Event,
    Idempotency,
    IdempotencyScope,
    ListScope,
    RequestArrived,
    RequestClass,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)

SAFE = RequestClass("safe", priority_weight=10, latency_objective=1.0, deadline=2.0)
ONCE = RequestClass(
    "once", priority_weight=1, latency_objective=1.0, deadline=2.0, idempotency=Idempotency.NOT_IDEMPOTENT
)
ZONED = RequestClass(
    "zoned",
    priority_weight=1,
    latency_objective=1.0,
    deadline=2.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    idempotency_scope=IdempotencyScope.ZONE,
    idempotency_window=0.5,
)
KEYED = RequestClass(
    "keyed",
    priority_weight=1,
    latency_objective=1.0,
    deadline=2.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    idempotency_scope=IdempotencyScope.ALL,
    idempotency_window=0.5,
)
CLASSES = [SAFE, ONCE, ZONED, KEYED]


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "zone": "a",
        "max_attempts": 3,
        "price_probe": 0.01,
        "slow_start_initial_share": 0.3,
        "slow_start_window": 10.0,
        "overload_multiple": 3.0,
        "overload_window": 1.5,
        "deadline_slack": 0.02,
    }
    return Settings(**{**values, **changes})


def entries(*endpoint_ids: int, zone: str = "a", **changes: Any) -> list[EndpointEntry]:
    """Build entries of an endpoint list, in two cells of one zone."""
    return [
        EndpointEntry(endpoint_id, zone=zone, cell=endpoint_id % 2, **changes) for endpoint_id in endpoint_ids
    ]


class BalancerDriver:
    """Driver that feeds a Balancer and records its actions; `advance` delivers the timers that are due."""

    def __init__(self, setup: Settings, seed: int = 1, endpoints: list[EndpointEntry] | None = None) -> None:
        self.balancer = Balancer(setup, seed)
        self.now = 100.0
        self.timers: list[tuple[float, int]] = []
        self.actions: list[Action] = []
        listed = entries(1, 2, 3, 4) if endpoints is None else endpoints
        self.feed(EndpointListUpdate(ListScope.CACHED, listed))

    def feed(self, *events: Event) -> list[Action]:
        """Deliver events in one batch at the present time."""
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.actions += actions
        return actions

    def advance(self, span: float) -> list[Action]:
        """Advance the clock by `span` seconds."""
        end = self.now + span
        actions: list[Action] = []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions += self.feed(TimerFired(timer[1]))
        self.now = end
        return actions

    def arrive(
        self, request_id: int, class_name: str = "safe", budget: float = 2.0, **fields: Any
    ) -> list[Action]:
        """Deliver a request."""
        return self.feed(RequestArrived(request_id, class_name, budget, **fields))

    def end_attempt(
        self,
        attempt: StartAttempt,
        status: AttemptStatus,
        number: int = 0,
        elapsed: float = 0.05,
        final: bool | None = None,
    ) -> list[Action]:
        """Deliver the end of an attempt; by default, only a successful attempt is final."""
        is_final = status is AttemptStatus.OK if final is None else final
        return self.feed(
            AttemptEnded(attempt.request_id, number, attempt.endpoint_id, status, elapsed, is_final)
        )


def attempts(actions: list[Action], request_id: int | None = None) -> list[StartAttempt]:
    """Return the attempts among actions, of one request or of all requests."""
    return [a for a in actions if isinstance(a, StartAttempt) and request_id in (None, a.request_id)]


def only_attempt(actions: list[Action]) -> StartAttempt:
    """Return the only attempt among actions."""
    (attempt,) = attempts(actions)
    return attempt


def state_change(endpoint_id: int, state: EndpointState) -> EndpointListUpdate:
    """Build a list update that gives an endpoint another state."""
    return EndpointListUpdate(ListScope.INCREMENTAL, entries(endpoint_id, state=state))
