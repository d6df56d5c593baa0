"""The recorder that all harnesses share, and the audit of the four rules over its records.

It observes the proxy from outside only: clients record the requests they sent and the answers they received,
endpoints record the requests they received and executed, and sources record their notifications. The recorder
has no sockets and no clock: each caller passes the time (seconds on one monotonic clock for the whole run).
In a run of several processes, each process writes a file, and the audit reads all files.
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

# with these codes the proxy states that a retry cannot execute the request twice
REJECTION_CODES = (429, 503)
# Tolerance that is added to each limit, because two processes on a busy machine are scheduled with a delay.
SOCKET_SLACK_S = 0.05
STILL_OPEN = float("inf")


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits that the four rules use. Times are in seconds."""

    drain_grace: float = 2.0
    slow_start_initial_share: float = 0.16  # share of its capacity that an endpoint has at its start
    slow_start_window: float = 24.0
    overload_multiple: float = 3.0
    overload_window: float = 3.0
    slack: float = SOCKET_SLACK_S


@dataclass(frozen=True, slots=True)
class Idempotency:
    """Idempotency of a request class, in the terms of the settings."""

    kind: str  # `repeatable`, `by_key` (repeatable within one group and the window) or `once`
    window: float = 0.0  # s
    # by_key: all endpoints share the keys, so a rejected request can be repeated without harm (WIRE, rule 2)
    all_endpoints: bool = False


@dataclass(slots=True)
class SentRequest:
    """A request whose last byte was written to the proxy."""

    request_id: str
    class_name: str
    sent_at: float
    deadline: float  # time at which its client abandons it
    key: str = ""
    proxy: str = ""


@dataclass(slots=True)
class ReceivedAnswer:
    """The outcome of a request at its client."""

    request_id: str
    received_at: float
    status_code: int  # 0: the connection ended without an answer
    client_gave_up: bool = False


@dataclass(slots=True)
class RecordedAttempt:
    """An attempt as its endpoint observed it."""

    request_id: str
    endpoint: str
    group: str
    first_byte_at: float
    ended_at: float = STILL_OPEN  # time at which the endpoint answered or the connection closed
    last_byte_at: float = STILL_OPEN
    executed: bool = False
    executed_at: float = STILL_OPEN
    rejected: bool = False  # the endpoint answered that it did not execute the request
    key: str = ""
    work: float = 0.0  # core seconds
    # sender of the attempt; rule 3 applies to a proxy only after this proxy itself was notified
    proxy: str = ""


@dataclass(slots=True)
class Notification:
    """A source notified the proxy that an endpoint is `ready`, `draining` or `gone`."""

    endpoint: str
    notified_at: float
    state: str
    source: str = ""
    proxy: str = ""


@dataclass(slots=True)
class EndpointStart:
    """Start of an endpoint that has to warm up; its full capacity is in core seconds per second."""

    endpoint: str
    started_at: float
    capacity: float


@dataclass(slots=True)
class RecorderStall:
    """A period in which the recording process was stalled; events within it are recorded at its end."""

    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of one of the four rules."""

    rule: int  # 1 to 4
    description: str
    happened_at: float

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.happened_at:.3f} s: {self.description}"


@dataclass(slots=True)
class Recorder:
    """All records of a run."""

    requests: list[SentRequest] = field(default_factory=list)
    answers: list[ReceivedAnswer] = field(default_factory=list)
    attempts: list[RecordedAttempt] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    starts: list[EndpointStart] = field(default_factory=list)
    stalls: list[RecorderStall] = field(default_factory=list)
    # requests whose proxy was killed or stopped while they were open
    excused_requests: set[str] = field(default_factory=set)

    def attempt(
        self,
        request_id: str,
        endpoint: str,
        group: str,
        first_byte_at: float,
        *,
        last_byte_at: float = STILL_OPEN,
        key: str = "",
        work: float = 0.0,
        proxy: str = "",
    ) -> RecordedAttempt:
        """Record an attempt; the endpoint fills in the remaining fields."""
        entry = RecordedAttempt(
            request_id,
            endpoint,
            group,
            first_byte_at,
            last_byte_at=last_byte_at,
            key=key,
            work=work,
            proxy=proxy,
        )
        self.attempts.append(entry)
        return entry

    def add_stall(self, began_at: float, ended_at: float) -> None:
        """Record a stall of this process."""
        self.stalls.append(RecorderStall(began_at, ended_at))

    def stalled_time(self, since: float, until: float) -> float:
        """Return how many seconds of a period the recording process was stalled."""
        return sum(max(0.0, min(stall.ended_at, until) - max(stall.began_at, since)) for stall in self.stalls)

    def write(self, path: Path) -> None:
        """Write the records as one JSON object per line, with the kind of the record and its fields."""
        with path.open("w", encoding="utf-8") as sink:
            for name in ENTRY_TYPES:
                for entry in getattr(self, name):
                    sink.write(json.dumps({"kind": name, **asdict(entry)}) + "\n")

    @classmethod
    def read(cls, paths: Iterable[Path]) -> Recorder:
        """Read the files of several processes. Raises ValueError with file and line of a bad record."""
        recorder = cls()
        for path in paths:
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                try:
                    fields = json.loads(line)
                    name = fields.pop("kind")
                    getattr(recorder, name).append(ENTRY_TYPES[name](**fields))
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    text = f"{path}:{number}: unreadable record: {error}; record the run again"
                    raise ValueError(text) from None
        return recorder

    def audit(self, classes: Mapping[str, Idempotency], rules: Rules | None = None) -> list[Violation]:
        """Return the violations of all rules, the earliest first."""
        rules = rules or Rules()
        violations = [
            *self._check_one_answer(rules),
            *self._check_no_unsafe_retry(classes, rules),
            *self._check_drains(rules),
            *self._check_slow_start(rules),
        ]
        return sorted(violations, key=lambda violation: violation.happened_at)

    def _check_one_answer(self, rules: Rules) -> Iterable[Violation]:
        """Yield violations of rule 1: each request has exactly one answer, within its deadline."""
        answers_by_request = defaultdict(list)
        for answer in self.answers:
            answers_by_request[answer.request_id].append(answer)
        for request in self.requests:
            answers = answers_by_request.pop(request.request_id, [])
            if request.request_id in self.excused_requests and len(answers) <= 1:
                continue
            yield from self._check_answers_of(request, answers, rules)
        for request_id, answers in answers_by_request.items():
            yield Violation(
                1, f"an answer to call {request_id}, which no client sent", answers[0].received_at
            )

    @staticmethod
    def _check_answers_of(
        request: SentRequest, answers: list[ReceivedAnswer], rules: Rules
    ) -> Iterable[Violation]:
        name = f"call {request.request_id}"
        if any(answer.client_gave_up for answer in answers):
            early = request.deadline - rules.slack
            if not any(answer.client_gave_up and answer.received_at < early for answer in answers):
                # The client waited until its deadline without an answer.
                yield Violation(1, f"{name} had no answer before its deadline", request.deadline)
            return
        if len(answers) != 1:
            yield Violation(1, f"{name} had {len(answers)} answers", request.sent_at)
        for answer in answers:
            late_by = answer.received_at - request.deadline
            if not answer.status_code:
                yield Violation(1, f"{name} lost its connection without an answer", answer.received_at)
            elif late_by > rules.slack:
                yield Violation(1, f"{name} answered {late_by:.3f} s after its deadline", answer.received_at)

    def _check_no_unsafe_retry(self, classes: Mapping[str, Idempotency], rules: Rules) -> Iterable[Violation]:
        """Yield violations of rule 2: no unsafe second execution, and no two attempts at the same time."""
        attempts_by_request = defaultdict(list)
        for attempt in self.attempts:
            attempts_by_request[attempt.request_id].append(attempt)
        answers = {answer.request_id: answer for answer in self.answers}
        for request in self.requests:
            attempts = sorted(
                attempts_by_request.get(request.request_id, ()), key=lambda attempt: attempt.first_byte_at
            )
            idempotency = classes[request.class_name]
            yield from self._check_no_overlap(request, attempts, rules)
            if idempotency.kind == "repeatable":
                continue
            answer = answers.get(request.request_id)
            yield from self._check_rejection(request, attempts, answer, idempotency)
            if idempotency.kind == "once":
                yield from self._check_executed_once(request, attempts)
            else:
                yield from self._check_idempotency_key(request, attempts, idempotency, rules)

    def _check_no_overlap(
        self, request: SentRequest, attempts: list[RecordedAttempt], rules: Rules
    ) -> Iterable[Violation]:
        for earlier, later in pairwise(attempts):
            # In the recorder's event loop, the end of a connection takes more iterations to be noticed than a
            # request on another connection.
            stalled = self.stalled_time(later.first_byte_at, earlier.ended_at)
            if later.first_byte_at + stalled + rules.slack < earlier.ended_at:
                text = f"call {request.request_id}: a second attempt while another is in flight"
                yield Violation(2, text, later.first_byte_at)

    @staticmethod
    def _check_rejection(
        request: SentRequest,
        attempts: list[RecordedAttempt],
        answer: ReceivedAnswer | None,
        idempotency: Idempotency,
    ) -> Iterable[Violation]:
        executed = any(attempt.executed for attempt in attempts)
        rejected = answer is not None and answer.status_code in REJECTION_CODES
        if answer is not None and executed and rejected and not idempotency.all_endpoints:
            text = f"call {request.request_id} was executed and then rejected as safe to retry"
            yield Violation(2, text, answer.received_at)

    @staticmethod
    def _check_executed_once(request: SentRequest, attempts: list[RecordedAttempt]) -> Iterable[Violation]:
        executed = [attempt for attempt in attempts if attempt.executed]
        if len(executed) > 1:
            text = f"call {request.request_id} was executed {len(executed)} times"
            yield Violation(2, text, executed[1].first_byte_at)
        for earlier, later in pairwise(attempts):
            if earlier.last_byte_at < STILL_OPEN and not earlier.rejected:
                text = f"call {request.request_id} retried although an earlier attempt may have been executed"
                yield Violation(2, text, later.first_byte_at)
                break

    @staticmethod
    def _check_idempotency_key(
        request: SentRequest, attempts: list[RecordedAttempt], idempotency: Idempotency, rules: Rules
    ) -> Iterable[Violation]:
        may_have_run = [a for a in attempts if a.last_byte_at < STILL_OPEN and not a.rejected]
        if not may_have_run:
            return
        first = may_have_run[0]
        key_expires_at = first.first_byte_at + idempotency.window + rules.slack
        for later in attempts[attempts.index(first) + 1 :]:
            if later.group != first.group:
                text = (
                    f"call {request.request_id} was retried outside the group that stores its idempotency key"
                )
                yield Violation(2, text, later.first_byte_at)
            elif key_expires_at < later.last_byte_at < STILL_OPEN:
                text = f"call {request.request_id} was retried after its idempotency key expired"
                yield Violation(2, text, later.last_byte_at)

    def _check_drains(self, rules: Rules) -> Iterable[Violation]:
        """Yield violations of rule 3: no new attempt to a draining or gone endpoint after the grace."""
        notifications = defaultdict(list)
        for entry in sorted(self.notifications, key=lambda entry: entry.notified_at):
            notifications[entry.proxy, entry.endpoint].append(entry)
        for attempt in self.attempts:
            history = notifications.get((attempt.proxy, attempt.endpoint), [])
            place = bisect_left(history, attempt.first_byte_at, key=lambda entry: entry.notified_at)
            draining_since = STILL_OPEN
            for entry in reversed(history[:place]):
                if entry.state == "ready":
                    break
                draining_since = entry.notified_at
            late = attempt.first_byte_at - draining_since
            if late > rules.drain_grace + rules.slack:
                text = (
                    f"{attempt.endpoint} got call {attempt.request_id} {late:.3f} s after its draining began"
                )
                yield Violation(3, text, attempt.first_byte_at)

    def _check_slow_start(self, rules: Rules) -> Iterable[Violation]:
        """Yield violations of rule 4: no endpoint is overloaded while it warms up.

        The calculation is the platform's: the work that is sent within any overload window has to stay below
        the overload multiple of the work that the endpoint's present capacity allows in a window.
        """
        attempts_by_endpoint = defaultdict(list)
        for attempt in self.attempts:
            attempts_by_endpoint[attempt.endpoint].append(attempt)
        for start in self.starts:
            attempts = sorted(
                attempts_by_endpoint.get(start.endpoint, ()), key=lambda attempt: attempt.first_byte_at
            )
            warm_at = start.started_at + rules.slow_start_window
            yield from self._check_start(
                start, [a for a in attempts if start.started_at <= a.first_byte_at <= warm_at], rules
            )

    @staticmethod
    def _check_start(
        start: EndpointStart, attempts: list[RecordedAttempt], rules: Rules
    ) -> Iterable[Violation]:
        work_in_window = 0.0
        oldest = 0
        for attempt in attempts:
            work_in_window += attempt.work
            while attempts[oldest].first_byte_at < attempt.first_byte_at - rules.overload_window:
                work_in_window -= attempts[oldest].work
                oldest += 1
            window_progress = min(1.0, (attempt.first_byte_at - start.started_at) / rules.slow_start_window)
            share = rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * window_progress
            if work_in_window > rules.overload_multiple * start.capacity * share * rules.overload_window:
                sent = f"{work_in_window:.2f} core s in {rules.overload_window:g} s"
                yield Violation(
                    4, f"{start.endpoint} was overloaded while warming up: {sent}", attempt.first_byte_at
                )
                break


ENTRY_TYPES: dict[str, Callable[..., Any]] = {
    "requests": SentRequest,
    "answers": ReceivedAnswer,
    "attempts": RecordedAttempt,
    "notifications": Notification,
    "starts": EndpointStart,
    "stalls": RecorderStall,
}
