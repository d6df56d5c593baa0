"""Small builders shared by the tests."""

from __future__ import annotations

from typing import Any

from service_proxy import (
    Action,
    Arrival,
    Balancer,
    Effect,
    Event,
    ListKind,
    Outcome,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    Timer,
)

SAFE = RequestClass("safe", worth=10, aim=1.0, deadline=2.0)
ONCE = RequestClass("once", worth=1, aim=1.0, deadline=2.0, effect=Effect.ONCE)
ZONED = RequestClass("zoned", worth=1, aim=1.0, deadline=2.0, effect=Effect.BY_KEY, group="zone", window=0.5)
KEYED = RequestClass("keyed", worth=1, aim=1.0, deadline=2.0, effect=Effect.BY_KEY, group="all", window=0.5)
CLASSES = [SAFE, ONCE, ZONED, KEYED]


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "zone": "a",
        "max_attempts": 3,
        "price_probe": 0.01,
        "cold_from": 0.3,
        "cold_for": 10.0,
        "fall_multiple": 3.0,
        "fall_within": 1.5,
        "answer_slack": 0.02,
    }
    return Settings(**{**values, **changes})


def entries(*servers: int, zone: str = "a", **changes: Any) -> list[ServerEntry]:
    return [ServerEntry(server, zone=zone, cell=server % 2, **changes) for server in servers]


class Driver:
    """Feeds a Balancer and keeps what it said; a step of the clock delivers the timers that are due."""

    def __init__(self, setup: Settings, seed: int = 1, servers: list[ServerEntry] | None = None) -> None:
        self.balancer = Balancer(setup, seed)
        self.now = 100.0
        self.timers: list[tuple[float, int]] = []
        self.said: list[Action] = []
        listed = entries(1, 2, 3, 4) if servers is None else servers
        self.feed(ServerList(ListKind.SAVED, listed))

    def feed(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.said += actions
        return actions

    def wait(self, span: float) -> list[Action]:
        end = self.now + span
        actions: list[Action] = []
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            actions += self.feed(Timer(timer[1]))
        self.now = end
        return actions

    def arrive(self, call: int, cls: str = "safe", budget: float = 2.0, **fields: Any) -> list[Action]:
        return self.feed(Arrival(call, cls, budget, **fields))

    def settle(
        self, send: Send, status: Status, attempt: int = 0, elapsed: float = 0.05, final: bool | None = None
    ) -> list[Action]:
        ended = status is Status.OK if final is None else final
        return self.feed(Outcome(send.call, attempt, send.server, status, elapsed, ended))


def sends(actions: list[Action], call: int | None = None) -> list[Send]:
    return [a for a in actions if isinstance(a, Send) and call in (None, a.call)]


def only_send(actions: list[Action]) -> Send:
    (send,) = sends(actions)
    return send


def drained(server: int, state: ServerState) -> ServerList:
    return ServerList(ListKind.INCREMENTAL, entries(server, state=state))
