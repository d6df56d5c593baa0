"""A small model of the four rules: does a sequence of events break one under these settings? Pure.

It has no list of known mistakes. The events of a request are those that the settings *allow* the sidecar
(send, retry, reject) and those of the environment (an attempt never ran, or may have run; time passes; a
server drains; the host stops). Each state is checked against what the class and the servers *are*. A
breadth-first search ends with the shortest sequence that breaks a rule: the counterexample that is shown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from service_proxy.sidecar.model import Class, Route, Tier

MAX_EVENTS = 8  # of a sequence; every breach of these settings has fewer
SHORTLY_S = 0.001  # s by which an event comes after a limit
MAX_DRAIN_S = 2.0  # s of the third rule
# A breach is always between an attempt that may have run, or is in flight, and the next one.
MAX_ATTEMPTS = 2

# The servers of the model: two in one cell, one in another cell of the zone, one in another zone.
SERVERS = {"a1": ("a", 1), "a2": ("a", 1), "a3": ("a", 2), "b1": ("b", 1)}


@dataclass(frozen=True, slots=True)
class CounterExample:
    """A breach: the rule, and the events that lead to it."""

    rule: int
    events: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(f"{number}. {event}" for number, event in enumerate(self.events, 1))


@dataclass(frozen=True, slots=True)
class ModelAttempt:
    """An attempt in the model."""

    server: str
    at: float
    state: str  # "out", "never-ran", "may-have-run"


@dataclass(frozen=True, slots=True)
class ModelState:
    """A state of the model: the time, and the attempts so far."""

    now: float = 0.0
    attempts: tuple[ModelAttempt, ...] = ()


def is_same_group(group: str, server: str, other_server: str) -> bool:
    """Tell whether two endpoints drop one another's repetitions of a key."""
    zone, cell = SERVERS[server]
    other_zone, other_cell = SERVERS[other_server]
    if group == "all":
        return True
    return zone == other_zone and (group == "zone" or cell == other_cell)


def can_send(route: Route, deadline: float, state: ModelState, server: str) -> bool:
    """Tell whether the settings allow the sidecar to send; never after the deadline."""
    if state.now >= deadline or len(state.attempts) >= min(route.attempts, MAX_ATTEMPTS):
        return False
    if any(attempt.state == "out" for attempt in state.attempts):
        return route.hedge
    return not state.attempts or _can_retry(route, state, server)


def _can_retry(route: Route, state: ModelState, server: str) -> bool:
    maybe_executed = [attempt for attempt in state.attempts if attempt.state == "may-have-run"]
    if route.retry == "never":
        return False
    if not maybe_executed or route.retry == "always":
        return True
    if route.retry != "by-key":
        return False
    first = maybe_executed[0]
    is_within = is_same_group(route.retry_within, first.server, server)
    return is_within and state.now <= first.at + route.retry_for


def find_breach(cls: Class, state: ModelState, server: str) -> str | None:
    """Return why sending to this server now breaks the second rule, or None."""
    if any(attempt.state == "out" for attempt in state.attempts):
        return "a second attempt while one is out"
    maybe_executed = [attempt for attempt in state.attempts if attempt.state == "may-have-run"]
    if not maybe_executed or cls.effect == "repeatable":
        return None
    if cls.effect == "once":
        return "it may run twice"
    if not is_same_group(cls.group, maybe_executed[0].server, server):
        return f"a server outside the {cls.group} does not know its key, so it may run twice"
    if state.now > maybe_executed[0].at + cls.window:
        return "its key is forgotten by now, so it may run twice"
    return None


def rule_two(name: str, cls: Class, route: Route) -> CounterExample | None:
    """Find the shortest sequence in which a request has its effect twice, or two attempts are in flight."""
    times = sorted({cls.window + SHORTLY_S, route.retry_for, cls.deadline - SHORTLY_S})
    queue: deque[tuple[ModelState, tuple[str, ...]]] = deque([(ModelState(), ())])
    visited = {ModelState()}
    while queue:
        state, events = queue.popleft()
        if len(events) >= MAX_EVENTS:
            continue
        following: list[tuple[ModelState, str]] = []
        for server in SERVERS:
            if not can_send(route, cls.deadline, state, server):
                continue
            reason = find_breach(cls, state, server)
            adverb = "again " if state.attempts else ""
            text = f"{name} is sent {adverb}to {server} at {state.now:g} s"
            if reason is not None:
                return CounterExample(2, (*events, f"{text}: {reason}"))
            attempt = ModelAttempt(server, state.now, "out")
            following.append((replace(state, attempts=(*state.attempts, attempt)), text))
        following += _ends_of_attempts(state)
        if state.attempts:
            following += _passing_of_time(state, times, cls.deadline)
        for after, text in following:
            if after not in visited:
                visited.add(after)
                queue.append((after, (*events, text)))
    return None


def _ends_of_attempts(state: ModelState) -> Iterator[tuple[ModelState, str]]:
    """Yield the states after the end of each attempt in flight, by each possible outcome."""
    for place, attempt in enumerate(state.attempts):
        if attempt.state != "out":
            continue
        for ended, text in (
            ("may-have-run", f"its connection to {attempt.server} breaks before the answer"),
            ("never-ran", f"{attempt.server} turns it away unseen"),
        ):
            attempts = list(state.attempts)
            attempts[place] = replace(attempt, state=ended)
            yield replace(state, attempts=tuple(attempts)), text


def _passing_of_time(
    state: ModelState, times: list[float], deadline: float
) -> Iterator[tuple[ModelState, str]]:
    """Yield the states at the next times at which something changes."""
    for at in times:
        if state.now < at < deadline:
            yield replace(state, now=at), f"{at:g} s have passed since the first try"


def rule_one(cls_name: str, cls: Class, tier: Tier) -> CounterExample | None:
    """Find a sequence in which a host kills its sidecar (`stop_after` s after SIGTERM) before a response."""
    if tier.stop_after >= cls.deadline:
        return None
    return CounterExample(
        1,
        (
            f"a {cls_name} is taken, due within {cls.deadline:g} s",
            "SIGTERM comes at once",
            f"SIGKILL comes {tier.stop_after:g} s later: it has no answer",
        ),
    )


def rule_three(tier_name: str, tier: Tier) -> CounterExample | None:
    """Find a sequence in which something new goes to a draining endpoint after the grace."""
    if tier.drain <= MAX_DRAIN_S:
        return None
    return CounterExample(
        3,
        (
            f"a server of {tier_name} is told to drain at 0 s",
            f"a call is sent to it at {tier.drain:g} s, which `drain` allows, "
            f"and {MAX_DRAIN_S:g} s is the limit",
        ),
    )


def rule_four(tier_name: str, tier: Tier) -> CounterExample | None:
    """Find a sequence in which all sidecars together overload an endpoint that warms up.

    They may send it `push` times what it can do; it survives `survives` times.
    """
    if tier.push < tier.survives or tier.cold_from == 1.0 or tier.cold_for == 0.0:
        return None
    return CounterExample(
        4,
        (
            f"a server of {tier_name} starts with {tier.cold_from:g} of its capacity",
            f"all sidecars together send it {tier.push:g} times what it can do",
            f"it survives less than {tier.survives:g} times, and falls over",
        ),
    )
