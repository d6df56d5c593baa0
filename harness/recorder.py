"""The recorder that all harnesses share, and the audit of the four rules over what it recorded.

It sees the proxy from outside alone: clients record what they sent and what came back, endpoints what
reached them and what they executed, sources what they notified. It has no sockets and no clock: who records
brings the time (seconds, one monotonic clock for all of a run). A run of several processes writes a file each
and reads all of them.
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

REJECTION_CODES = (429, 503)  # by these the proxy says that a retry is harmless
SOCKET_SLACK_S = 0.05  # that each limit is longer on sockets: scheduling of two processes on a busy machine
STILL_OPEN = float("inf")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures that the rules name. Times in seconds."""

    drain_grace: float = 2.0
    slow_start_initial_share: float = 0.16  # of its capacity that an endpoint has at its start
    slow_start_window: float = 24.0
    overload_multiple: float = 3.0
    overload_window: float = 3.0
    slack: float = SOCKET_SLACK_S


@dataclass(frozen=True, slots=True)
class Idempotency:
    """What may be executed again in a class, by the settings' words for it."""

    kind: str  # `repeatable`, `by_key` (by one group, within the window) or `once`
    window: float = 0.0  # s
    all_endpoints: bool = False  # by_key: all know the key, so a rejection is harmless (WIRE, rule 2)


@dataclass(slots=True)
class SentRequest:
    """A request whose last byte was written to the proxy."""

    request_id: str
    class_name: str
    sent_at: float
    deadline: float  # when its client gives up
    key: str = ""
    proxy: str = ""


@dataclass(slots=True)
class ReceivedAnswer:
    """What a client got for a request."""

    request_id: str
    received_at: float
    status_code: int  # 0: the connection ended without an answer
    client_gave_up: bool = False


@dataclass(slots=True)
class RecordedAttempt:
    """A request as an endpoint saw it."""

    request_id: str
    endpoint: str
    group: str
    first_byte_at: float
    ended_at: float = STILL_OPEN  # when the endpoint answered, or its connection closed
    last_byte_at: float = STILL_OPEN
    executed: bool = False
    executed_at: float = STILL_OPEN
    rejected: bool = False  # the endpoint said that it did not execute it
    key: str = ""
    work: float = 0.0  # core seconds
    proxy: str = ""  # that sent it; a notification binds the proxy that had it


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
    """An endpoint that started cold, with its full capacity in core seconds each second."""

    endpoint: str
    started_at: float
    capacity: float


@dataclass(slots=True)
class RecorderStall:
    """A time in which the process that records stood still: what came meanwhile is recorded at its end."""

    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken."""

    rule: int  # 1 to 4
    description: str
    happened_at: float

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.happened_at:.3f} s: {self.description}"


@dataclass(slots=True)
class Recorder:
    """All that was recorded in a run."""

    requests: list[SentRequest] = field(default_factory=list)
    answers: list[ReceivedAnswer] = field(default_factory=list)
    attempts: list[RecordedAttempt] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    starts: list[EndpointStart] = field(default_factory=list)
    stalls: list[RecorderStall] = field(default_factory=list)
    excused_requests: set[str] = field(default_factory=set)  # whose proxy was killed or stopped under them

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
        """Record an attempt that begins now; the endpoint fills in the rest."""
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
        """Record that this process stood still."""
        self.stalls.append(RecorderStall(began_at, ended_at))

    def stalled_time(self, since: float, until: float) -> float:
        """Return for how long of this span the process that recorded stood still."""
        return sum(max(0.0, min(stall.ended_at, until) - max(stall.began_at, since)) for stall in self.stalls)

    def write(self, path: Path) -> None:
        """Write one JSON object a line: its kind and its fields."""
        with path.open("w", encoding="utf-8") as sink:
            for name in ENTRY_TYPES:
                for entry in getattr(self, name):
                    sink.write(json.dumps({"kind": name, **asdict(entry)}) + "\n")

    @classmethod
    def read(cls, paths: Iterable[Path]) -> Recorder:
        """Read what several processes wrote. Raises ValueError with file and line of what can't be read."""
        recorder = cls()
        for path in paths:
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                try:
                    fields = json.loads(line)
                    name = fields.pop("kind")
                    getattr(recorder, name).append(ENTRY_TYPES[name](**fields))
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    text = f"{path}:{number}: no ledger line: {error}; record the run again"
                    raise ValueError(text) from None
        return recorder

    def audit(self, classes: Mapping[str, Idempotency], rules: Rules | None = None) -> list[Violation]:
        """Find what was broken, the earliest first."""
        rules = rules or Rules()
        violations = [
            *self._check_one_answer(rules),
            *self._check_no_effect_twice(classes, rules),
            *self._check_drains(rules),
            *self._check_slow_start(rules),
        ]
        return sorted(violations, key=lambda violation: violation.happened_at)

    def _check_one_answer(self, rules: Rules) -> Iterable[Violation]:
        """Rule 1: each request has exactly one answer, in time."""
        answers_by_request = defaultdict(list)
        for answer in self.answers:
            answers_by_request[answer.request_id].append(answer)
        for request in self.requests:
            answers = answers_by_request.pop(request.request_id, [])
            if request.request_id in self.excused_requests and len(answers) <= 1:
                continue
            yield from self._check_answers_of(request, answers, rules)
        for request_id, answers in answers_by_request.items():
            yield Violation(1, f"an answer to call {request_id}, which nobody sent", answers[0].received_at)

    @staticmethod
    def _check_answers_of(
        request: SentRequest, answers: list[ReceivedAnswer], rules: Rules
    ) -> Iterable[Violation]:
        name = f"call {request.request_id}"
        if any(answer.client_gave_up for answer in answers):
            early = request.deadline - rules.slack
            if not any(answer.client_gave_up and answer.received_at < early for answer in answers):
                # Its client waited for all of its time and had nothing.
                yield Violation(1, f"{name} had no answer in time", request.deadline)
            return
        if len(answers) != 1:
            yield Violation(1, f"{name} had {len(answers)} answers", request.sent_at)
        for answer in answers:
            late_by = answer.received_at - request.deadline
            if not answer.status_code:
                yield Violation(1, f"{name} lost its connection without an answer", answer.received_at)
            elif late_by > rules.slack:
                yield Violation(1, f"{name} answered {late_by:.3f} s late", answer.received_at)

    def _check_no_effect_twice(self, classes: Mapping[str, Idempotency], rules: Rules) -> Iterable[Violation]:
        """Rule 2: nothing is executed again that must not be, and never two attempts at once."""
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
            # The end of a connection passes more turns of the recorder's loop than a request on another one.
            stalled = self.stalled_time(later.first_byte_at, earlier.ended_at)
            if later.first_byte_at + stalled + rules.slack < earlier.ended_at:
                text = f"call {request.request_id}: a second attempt while one is out"
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
            text = f"call {request.request_id} ran and was refused as harmless to repeat"
            yield Violation(2, text, answer.received_at)

    @staticmethod
    def _check_executed_once(request: SentRequest, attempts: list[RecordedAttempt]) -> Iterable[Violation]:
        executed = [attempt for attempt in attempts if attempt.executed]
        if len(executed) > 1:
            text = f"call {request.request_id} ran {len(executed)} times"
            yield Violation(2, text, executed[1].first_byte_at)
        for earlier, later in pairwise(attempts):
            if earlier.last_byte_at < STILL_OPEN and not earlier.rejected:
                text = f"call {request.request_id} sent again though it may have run"
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
        forgotten_at = first.first_byte_at + idempotency.window + rules.slack
        for later in attempts[attempts.index(first) + 1 :]:
            if later.group != first.group:
                text = f"call {request.request_id} left the group that knows its key"
                yield Violation(2, text, later.first_byte_at)
            elif forgotten_at < later.last_byte_at < STILL_OPEN:
                text = f"call {request.request_id} came again after its key was forgotten"
                yield Violation(2, text, later.last_byte_at)

    def _check_drains(self, rules: Rules) -> Iterable[Violation]:
        """Rule 3: nothing new after the grace to an endpoint that was announced as draining or gone."""
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
                text = f"{attempt.endpoint} got call {attempt.request_id} {late:.3f} s after its end was told"
                yield Violation(3, text, attempt.first_byte_at)

    def _check_slow_start(self, rules: Rules) -> Iterable[Violation]:
        """Rule 4: no endpoint is overloaded while it warms up.

        Counted as the platform does: the work sent within any overload window stays under the overload
        multiple of what the endpoint can do at that moment, for the length of the window.
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
            warm = min(1.0, (attempt.first_byte_at - start.started_at) / rules.slow_start_window)
            share = rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * warm
            if work_in_window > rules.overload_multiple * start.capacity * share * rules.overload_window:
                sent = f"{work_in_window:.2f} core s in {rules.overload_window:g} s"
                yield Violation(4, f"{start.endpoint} was sent {sent}", attempt.first_byte_at)
                break


ENTRY_TYPES: dict[str, Callable[..., Any]] = {
    "requests": SentRequest,
    "answers": ReceivedAnswer,
    "attempts": RecordedAttempt,
    "notifications": Notification,
    "starts": EndpointStart,
    "stalls": RecorderStall,
}
