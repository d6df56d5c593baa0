"""Record of what clients, endpoints and the registry saw, and the rules that it is checked against.

Times are monotonic, in s, and of one process. What happens during a stall of this process is recorded late,
so each limit is extended by the longest stall.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from harness.soak.plan import Behavior, Plan

MAX_LATENESS_S = 0.5  # Time after its budget from which a request without an answer is lost.
MAX_START_AFTER_LEAVE_S = 0.1  # Latest start of an attempt after its client's close.
MAX_STALL_S = 3.5  # Time after the last byte within which the end of a response that stops is seen.
BUDGET_SLACK_S = 0.15  # Slack of the time that an attempt tells its endpoint.
LAST_CUT_S = 0.6  # Time before the kill within which a streamed response may be cut.
DRAIN_SLACK_S = 0.2  # Time for which a proxy may be held up, and the tolerance of each limit.
OK = 200
REJECTED = (429, 503)


class Effect(Enum):
    """What a request class allows to a repeat."""

    SAFE = "repeatable"
    KEYED = "by_key"
    UNSAFE = "once"


class End(StrEnum):
    """How a client's request ended."""

    ANSWERED = "answered"  # A whole response of any status.
    CUT = "cut"  # The response began, and did not end.
    CLOSED = "closed"  # The connection ended before a response.
    TIMED_OUT = "timed out"  # The client saw nothing for longer than any limit.
    LEFT = "left"  # The client left on purpose.


@dataclass(slots=True)
class ClientRequest:
    """Request of a client that is held to the rules.

    Attributes:
        sent_at: when the last byte was written.
        generation: process of the proxy that accepted the connection.
        is_body_right: the body is the one that the endpoint made for this request.
        repeated_at: when the client, which had left, sent the request again.
    """

    request_id: str
    effect: Effect
    plan: Plan
    budget: float
    sent_at: float
    generation: int
    end: End | None = None
    status: int = 0
    begun_at: float = 0.0
    ended_at: float = 0.0
    is_body_right: bool = True
    repeated_at: float = math.inf


@dataclass(slots=True)
class Attempt:
    """Request that an endpoint received.

    Attributes:
        begun_at: when its first byte came.
        ran_at: when its last byte came; 0: never.
        told_s: time that the proxy told the endpoint.
    """

    request_id: str
    endpoint: str
    group: str
    begun_at: float
    told_s: float
    ran_at: float = 0.0
    is_rejected: bool = False
    last_byte_at: float = 0.0  # Last byte of the response that was written.


@dataclass
class Record:
    """Everything that was seen in one run.

    Attributes:
        left_at: when a client closed its connection during a request, by id.
        drained_at: when the proxy was told that an endpoint drains, by endpoint.
        died_at: when an endpoint was killed, by endpoint.
        ended_at: when a process of the proxy was due to end after its SIGTERM, by its number.
        longest_stall: longest stall of this process.
    """

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    left_at: dict[str, float] = field(default_factory=dict)
    drained_at: dict[str, float] = field(default_factory=dict)
    died_at: dict[str, float] = field(default_factory=dict)
    ended_at: dict[int, float] = field(default_factory=dict)
    longest_stall: float = 0.0

    def on_stall(self, began_at: float, ended_at: float) -> None:
        """Record a stall of this process."""
        self.longest_stall = max(self.longest_stall, ended_at - began_at)

    def violations(self, drain_grace: float) -> list[str]:
        """Return a line for each broken rule."""
        found: list[str] = []
        for request in self.requests:
            found += self._answer_violations(request)
            found += self._effect_violations(request)
            found += self._attempt_violations(request, drain_grace)
        return found

    def _answer_violations(self, request: ClientRequest) -> list[str]:
        """Check rule 1: one final answer in time, and no sound response cut."""
        name = f"{request.request_id} {request.plan}"
        due_at = request.sent_at + request.budget + MAX_LATENESS_S + self.longest_stall
        attempts = self.attempts[request.request_id]
        sent_by_endpoint = max((attempt.last_byte_at for attempt in attempts), default=0.0)
        problem = ""
        if request.end is End.ANSWERED and not request.is_body_right:
            problem = "was answered with another body"
        elif request.end is End.ANSWERED and request.ended_at > due_at:
            is_sound_stream = request.plan.is_streamed and request.status == OK
            problem = "" if is_sound_stream else f"was answered {request.ended_at - due_at:.2f} s late"
        elif request.end is End.CLOSED and any(attempt.ran_at for attempt in attempts):
            problem = "was forwarded, and its connection closed without an answer"
        elif request.end is End.CUT:
            return self._cut_violations(request, name, sent_by_endpoint, due_at)
        elif request.end in (None, End.TIMED_OUT):
            problem = "has no answer"
        return [f"lost: {name} {problem}"] if problem else []

    def _cut_violations(
        self, request: ClientRequest, name: str, last_byte_at: float, due_at: float
    ) -> list[str]:
        if request.plan.behavior is not Behavior.STOP:
            return [] if self._is_cut_allowed(request) else [f"lost: {name} was cut though it was sound"]
        limit = max(due_at, last_byte_at + MAX_STALL_S + self.longest_stall)
        late_s = request.ended_at - limit
        return [f"lost: the end of {name} was seen {late_s:.2f} s late"] if late_s > 0 else []

    def _is_cut_allowed(self, request: ClientRequest) -> bool:
        """Return whether the endpoint had died, or the proxy's process was about to be killed."""
        if request.ended_at > self.ended_at.get(request.generation, math.inf) - LAST_CUT_S:
            return True
        deaths = (self.died_at.get(attempt.endpoint) for attempt in self.attempts[request.request_id])
        return any(died_at is not None and died_at <= request.ended_at for died_at in deaths)

    def _effect_violations(self, request: ClientRequest) -> list[str]:
        """Check rule 2: no effect twice, and no promise of none after one."""
        name = f"{request.request_id} {request.plan}"
        ran = [a for a in self.attempts[request.request_id] if a.ran_at and not a.is_rejected]
        if request.effect is Effect.SAFE:
            return []
        if request.effect is Effect.UNSAFE and len(ran) > 1:
            return [f"duplicate: unsafe {name} ran {len(ran)} times, {ran}"]
        groups = {attempt.group for attempt in ran}
        if len(groups) > 1:
            return [f"duplicate: keyed {name} ran in {sorted(groups)}"]
        if request.end is End.ANSWERED and request.status in REJECTED:
            before = [attempt for attempt in ran if attempt.ran_at < request.ended_at]
            if before:
                return [f"duplicate: {name} ran and was answered {request.status}, {before}"]
        return []

    def _attempt_violations(self, request: ClientRequest, drain_grace: float) -> list[str]:
        """Check that no attempt begins after a close or at a draining endpoint, or is told too much time."""
        found = []
        left_at = self.left_at.get(request.request_id)
        for attempt in self.attempts[request.request_id]:
            begun_at = attempt.begun_at - self.longest_stall
            if not request.sent_at <= attempt.begun_at < request.repeated_at and not request.plan.read_rate:
                continue  # The attempt belongs to another copy of the request.
            if left_at is not None and begun_at > left_at + MAX_START_AFTER_LEAVE_S:
                found.append(f"lost: an attempt began {begun_at - left_at:.2f} s after {request} had left")
            drained_at = self.drained_at.get(attempt.endpoint)
            if drained_at is not None and begun_at > drained_at + drain_grace + DRAIN_SLACK_S:
                found.append(f"drain: {attempt} began {begun_at - drained_at:.2f} s after the drain was told")
            left_s = request.sent_at + request.budget - begun_at
            if not request.plan.read_rate and attempt.told_s > left_s + BUDGET_SLACK_S + self.longest_stall:
                found.append(f"deadline: {attempt} was told {attempt.told_s:.2f} s of {left_s:.2f} s")
        return found
