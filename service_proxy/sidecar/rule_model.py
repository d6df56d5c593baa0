"""A small model of the four rules: does some run of events break one under these settings? Pure.

It knows no list of known mistakes. A request's run is a sequence of moves: those that the settings *allow*
the sidecar (send, send again, refuse), and those of the world (an attempt never ran, or may have run; time
passes; a server is told to drain; the host stops). Each state is judged by what the class and the servers
*are*. A search over runs, the shortest first, ends with the first that breaks a rule: it is the example
that is shown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from service_proxy.sidecar.model import Class, Route, Tier

MAX_EVENTS = 8  # of a run; every breach that these settings can make has fewer
MOMENT = 0.001  # s by which an event comes after a limit
GRACE = 2.0  # s of the third rule
# That the model plays: a breach is always between one that may have run, or is out, and the next one.
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
    over: bool = False


def same_group(group: str, one: str, other: str) -> bool:
    """Tell whether two endpoints drop one another's repetitions of a key."""
    (zone, cell), (other_zone, other_cell) = SERVERS[one], SERVERS[other]
    if group == "all":
        return True
    return zone == other_zone and (group == "zone" or cell == other_cell)


def can_send(route: Route, deadline: float, state: ModelState, server: str) -> bool:
    """Tell whether the settings allow the sidecar to send; never after the deadline."""
    if state.over or state.now >= deadline or len(state.attempts) >= min(route.attempts, MAX_ATTEMPTS):
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
    within = same_group(route.retry_within, first.server, server)
    return within and state.now <= first.at + route.retry_for


def find_breach(cls: Class, state: ModelState, server: str) -> str | None:
    """Why sending to this server now breaks the second rule, by what the class is."""
    if any(attempt.state == "out" for attempt in state.attempts):
        return "a second attempt while one is out"
    ran = [attempt for attempt in state.attempts if attempt.state == "may-have-run"]
    if not ran or cls.effect == "repeatable":
        return None
    if cls.effect == "once":
        return "it may run twice"
    if not same_group(cls.group, ran[0].server, server):
        return f"a server outside the {cls.group} does not know its key, so it may run twice"
    if state.now > ran[0].at + cls.window:
        return "its key is forgotten by now, so it may run twice"
    return None


def rule_two(name: str, cls: Class, route: Route) -> CounterExample | None:
    """Find the shortest run in which a request has its effect twice, or two attempts are in flight."""
    times = sorted({cls.window + MOMENT, route.retry_for, cls.deadline - MOMENT})
    queue: deque[tuple[ModelState, tuple[str, ...]]] = deque([(ModelState(), ())])
    seen = {ModelState()}
    while queue:
        state, events = queue.popleft()
        if len(events) >= MAX_EVENTS:
            continue
        following: list[tuple[ModelState, str]] = []
        for server in SERVERS:
            if not can_send(route, cls.deadline, state, server):
                continue
            why = find_breach(cls, state, server)
            again = "again " if state.attempts else ""
            text = f"{name} is sent {again}to {server} at {state.now:g} s"
            if why is not None:
                return CounterExample(2, (*events, f"{text}: {why}"))
            attempt = ModelAttempt(server, state.now, "out")
            following.append((replace(state, attempts=(*state.attempts, attempt)), text))
        following += _ends_of_attempts(state)
        if state.attempts:
            following += _passing_of_time(state, times, cls.deadline)
        for after, text in following:
            if after not in seen:
                seen.add(after)
                queue.append((after, (*events, text)))
    return None


def _ends_of_attempts(state: ModelState) -> Iterator[tuple[ModelState, str]]:
    """Yield the states after the end of each attempt in flight, in each of its ways."""
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
    """A host stops its sidecar `stop_after` s after SIGTERM: what it has taken must be answered by then."""
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
    """Find a run in which something new goes to a draining endpoint after the grace."""
    if tier.drain <= GRACE:
        return None
    return CounterExample(
        3,
        (
            f"a server of {tier_name} is told to drain at 0 s",
            f"a call is sent to it at {tier.drain:g} s, which `drain` allows, and {GRACE:g} s is the limit",
        ),
    )


def rule_four(tier_name: str, tier: Tier) -> CounterExample | None:
    """Find a run in which all sidecars together overload an endpoint that warms up.

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
