"""Small model of the four rules: finds a sequence of events that breaks a rule under given settings. Pure.

The model has no list of known mistakes. The events of a request are those that the settings *allow* the
sidecar (send, retry, reject) and those of the environment (an attempt never ran or may have run, time passes,
a server drains, the host stops). Each state is checked against the actual properties of the class and the
servers. A breadth-first search ends with the shortest sequence that breaks a rule, which is reported as the
counterexample.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from service_proxy.sidecar.model import ClassDescription, Route, Tier

MAX_EVENTS = 8  # maximum length of a sequence; every breach under these settings has fewer events
AFTER_LIMIT_S = 0.001  # delay of an event that happens just after a limit
MAX_DRAIN_S = 2.0  # longest time that the third rule allows for new requests to a draining server
# A breach always consists of an attempt that may have run or is in flight, and the next attempt.
MAX_ATTEMPTS = 2

# Servers of the model by name, as (zone, cell): two in one cell, one in another cell of the same zone, one in
# another zone.
SERVERS = {"a1": ("a", 1), "a2": ("a", 1), "a3": ("a", 2), "b1": ("b", 1)}


@dataclass(frozen=True, slots=True)
class CounterExample:
    """Breach of a rule, with the events that lead to it."""

    rule: int
    events: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(f"{number}. {event}" for number, event in enumerate(self.events, 1))


@dataclass(frozen=True, slots=True)
class ModelAttempt:
    """Attempt of a request in the model."""

    server: str
    sent_at: float
    state: str  # "out" (in flight), "never-ran" or "may-have-run"


@dataclass(frozen=True, slots=True)
class ModelState:
    """State of the model: the time, and the attempts so far."""

    now: float = 0.0
    attempts: tuple[ModelAttempt, ...] = ()


def is_same_group(group: str, server: str, other_server: str) -> bool:
    """Return whether two servers share the deduplication of keys within the group."""
    zone, cell = SERVERS[server]
    other_zone, other_cell = SERVERS[other_server]
    if group == "all":
        return True
    return zone == other_zone and (group == "zone" or cell == other_cell)


def can_send(route: Route, deadline: float, state: ModelState, server: str) -> bool:
    """Return whether the settings allow the sidecar to send an attempt; after the deadline they never do."""
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
    return is_within and state.now <= first.sent_at + route.retry_for


def find_breach(cls: ClassDescription, state: ModelState, server: str) -> str | None:
    """Return the reason if an attempt at this server now breaks the second rule, or None."""
    if any(attempt.state == "out" for attempt in state.attempts):
        return "a second attempt while one is in flight"
    maybe_executed = [attempt for attempt in state.attempts if attempt.state == "may-have-run"]
    if not maybe_executed or cls.effect == "repeatable":
        return None
    if cls.effect == "once":
        return "it may run twice"
    if not is_same_group(cls.group, maybe_executed[0].server, server):
        return f"a server outside the {cls.group} has no record of its key, so it may run twice"
    if state.now > maybe_executed[0].sent_at + cls.window:
        return "its key has expired, so it may run twice"
    return None


def rule_two(name: str, cls: ClassDescription, route: Route) -> CounterExample | None:
    """Find the shortest sequence of events that breaks rule 2.

    Rule 2 is broken if a request has its effect twice, or if two of its attempts are in flight.
    """
    times = sorted({cls.window + AFTER_LIMIT_S, route.retry_for, cls.deadline - AFTER_LIMIT_S})
    queue: deque[tuple[ModelState, tuple[str, ...]]] = deque([(ModelState(), ())])
    visited = {ModelState()}
    while queue:
        state, events = queue.popleft()
        if len(events) >= MAX_EVENTS:
            continue
        next_states: list[tuple[ModelState, str]] = []
        for server in SERVERS:
            if not can_send(route, cls.deadline, state, server):
                continue
            reason = find_breach(cls, state, server)
            adverb = "again " if state.attempts else ""
            text = f"{name} is sent {adverb}to {server} at {state.now:g} s"
            if reason is not None:
                return CounterExample(2, (*events, f"{text}: {reason}"))
            attempt = ModelAttempt(server, state.now, "out")
            next_states.append((replace(state, attempts=(*state.attempts, attempt)), text))
        next_states += _states_after_attempt_ends(state)
        if state.attempts:
            next_states += _states_at_later_times(state, times, cls.deadline)
        for next_state, text in next_states:
            if next_state not in visited:
                visited.add(next_state)
                queue.append((next_state, (*events, text)))
    return None


def _states_after_attempt_ends(state: ModelState) -> Iterator[tuple[ModelState, str]]:
    """Yield the states after the end of each attempt in flight, one for each possible outcome."""
    for index, attempt in enumerate(state.attempts):
        if attempt.state != "out":
            continue
        for ended, text in (
            ("may-have-run", f"its connection to {attempt.server} breaks before the answer"),
            ("never-ran", f"{attempt.server} rejects it before executing it"),
        ):
            attempts = list(state.attempts)
            attempts[index] = replace(attempt, state=ended)
            yield replace(state, attempts=tuple(attempts)), text


def _states_at_later_times(
    state: ModelState, times: list[float], deadline: float
) -> Iterator[tuple[ModelState, str]]:
    """Yield the states at the later times at which something changes."""
    for at in times:
        if state.now < at < deadline:
            yield replace(state, now=at), f"{at:g} s have passed since the first attempt"


def rule_one(cls_name: str, cls: ClassDescription, tier: Tier) -> CounterExample | None:
    """Find a sequence in which the host kills its sidecar before a response is sent.

    The host sends SIGKILL `stop_after` seconds after SIGTERM.
    """
    if tier.stop_after >= cls.deadline:
        return None
    return CounterExample(
        1,
        (
            f"a {cls_name} request is accepted, with a deadline after {cls.deadline:g} s",
            "the host sends SIGTERM at once",
            f"the host sends SIGKILL {tier.stop_after:g} s later: the request has no answer",
        ),
    )


def rule_three(tier_name: str, tier: Tier) -> CounterExample | None:
    """Find a sequence in which a new request is sent to a draining endpoint after the allowed time."""
    if tier.drain <= MAX_DRAIN_S:
        return None
    return CounterExample(
        3,
        (
            f"a server of {tier_name} begins to drain at 0 s",
            f"a request is sent to it at {tier.drain:g} s, which `drain` allows, "
            f"but the limit is {MAX_DRAIN_S:g} s",
        ),
    )


def rule_four(tier_name: str, tier: Tier) -> CounterExample | None:
    """Find a sequence in which all sidecars together overload an endpoint that is warming up.

    All sidecars together may send `push` times its capacity. The endpoint survives less than `survives` times
    its capacity.
    """
    if tier.push < tier.survives or tier.cold_from == 1.0 or tier.cold_for == 0.0:
        return None
    return CounterExample(
        4,
        (
            f"a server of {tier_name} starts with {tier.cold_from:g} of its capacity",
            f"all sidecars together send it {tier.push:g} times its capacity",
            f"it survives less than {tier.survives:g} times its capacity, and fails",
        ),
    )
