"""Small builders shared by the tests."""

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
    idempotency_scope="zone",
    idempotency_window=0.5,
)
KEYED = RequestClass(
    "keyed",
    priority_weight=1,
    latency_objective=1.0,
    deadline=2.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    idempotency_scope="all",
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


def entries(*servers: int, zone: str = "a", **changes: Any) -> list[EndpointEntry]:
    return [EndpointEntry(server, zone=zone, cell=server % 2, **changes) for server in servers]


class BalancerDriver:
    """Feeds a Balancer and keeps what it said; a step of the clock delivers the timers that are due."""

    def __init__(self, setup: Settings, seed: int = 1, servers: list[EndpointEntry] | None = None) -> None:
        self.balancer = Balancer(setup, seed)
        self.now = 100.0
        self.timers: list[tuple[float, int]] = []
        self.actions: list[Action] = []
        listed = entries(1, 2, 3, 4) if servers is None else servers
        self.feed(EndpointListUpdate(ListScope.CACHED, listed))

    def feed(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.actions += actions
        return actions

    def advance(self, span: float) -> list[Action]:
        end = self.now + span
        actions: list[Action] = []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions += self.feed(TimerFired(timer[1]))
        self.now = end
        return actions

    def arrive(self, call: int, cls: str = "safe", budget: float = 2.0, **fields: Any) -> list[Action]:
        return self.feed(RequestArrived(call, cls, budget, **fields))

    def end_attempt(
        self,
        send: StartAttempt,
        status: AttemptStatus,
        attempt: int = 0,
        elapsed: float = 0.05,
        final: bool | None = None,
    ) -> list[Action]:
        ended = status is AttemptStatus.OK if final is None else final
        return self.feed(AttemptEnded(send.request_id, attempt, send.endpoint_id, status, elapsed, ended))


def attempts(actions: list[Action], call: int | None = None) -> list[StartAttempt]:
    return [a for a in actions if isinstance(a, StartAttempt) and call in (None, a.request_id)]


def only_attempt(actions: list[Action]) -> StartAttempt:
    (send,) = attempts(actions)
    return send


def state_change(server: int, state: EndpointState) -> EndpointListUpdate:
    return EndpointListUpdate(ListScope.INCREMENTAL, entries(server, state=state))
