"""The recorder that every rig shares, and the audit of the four rules over what it recorded.

It sees the proxy from outside alone: callers say what they sent and what came back, backends what reached
them and what they ran, sources what they told. No sockets and no clock here: who records brings the time
(seconds, one monotonic clock for all of a run). A run of several processes writes a file each and reads all
of them.
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

REFUSED = (429, 503)  # trying again is harmless, says the proxy with these
SLACK = 0.05  # s that each limit is longer on sockets: scheduling of two processes on a busy machine
OPEN = float("inf")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures that the rules name. Times in seconds."""

    drain_grace: float = 2.0
    cold_from: float = 0.16  # share of its capacity that a server has at its start
    cold_for: float = 24.0
    fall_multiple: float = 3.0
    fall_within: float = 3.0
    slack: float = SLACK


@dataclass(frozen=True, slots=True)
class Effect:
    """What may be done again in a class: `repeatable`, `by_key` (by one group, within window s) or `once`."""

    kind: str
    window: float = 0.0
    everywhere: bool = False  # by_key: all servers know the key, so a refusal is harmless (WIRE, rule 2)


@dataclass(slots=True)
class Taken:
    """A request whose last byte was written to the proxy."""

    call: str
    cls: str
    at: float
    due: float  # when its caller gives up
    key: str = ""
    proxy: str = ""


@dataclass(slots=True)
class Answer:
    call: str
    at: float
    code: int  # 0: the connection ended without an answer
    left: bool = False  # the caller gave up first


@dataclass(slots=True)
class Attempt:
    """A request as a backend saw it. `ended` is when the backend answered or its connection closed."""

    call: str
    server: str
    group: str
    begun: float  # its first byte
    ended: float = OPEN
    whole: float = OPEN  # its last byte
    ran: bool = False  # its effect took place
    ran_at: float = OPEN
    refused: bool = False  # told the proxy that it was turned away unseen
    key: str = ""
    work: float = 0.0  # core seconds
    proxy: str = ""  # that sent it; what one proxy was told binds that one


@dataclass(slots=True)
class Told:
    """A source told the proxy of a server: `ready`, `draining` or `gone`."""

    server: str
    at: float
    state: str
    source: str = ""
    proxy: str = ""


@dataclass(slots=True)
class Start:
    """A server that began cold, with its full capacity in core seconds each second."""

    server: str
    at: float
    capacity: float


@dataclass(frozen=True, slots=True)
class Violation:
    rule: int  # 1 to 4
    what: str
    at: float

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.at:.3f} s: {self.what}"


@dataclass(slots=True)
class Ledger:
    """All that was recorded in a run."""

    taken: list[Taken] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    excused: set[str] = field(default_factory=set)  # calls whose proxy was killed or stopped under them

    def attempt(self, call: str, server: str, group: str, at: float, **more: Any) -> Attempt:
        """Records one that begins now; `more` are further fields. The backend fills in the rest."""
        entry = Attempt(call, server, group, at, **more)
        self.attempts.append(entry)
        return entry

    # several processes
    def write(self, path: Path) -> None:
        """One JSON object a line: its kind and its fields."""
        with path.open("w", encoding="utf-8") as sink:
            for name in KINDS:
                for entry in getattr(self, name):
                    sink.write(json.dumps({"kind": name, **asdict(entry)}) + "\n")

    @classmethod
    def read(cls, paths: Iterable[Path]) -> Ledger:
        """Raises ValueError with file and line where a line can't be read."""
        ledger = cls()
        for path in paths:
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                try:
                    fields = json.loads(line)
                    name = fields.pop("kind")
                    getattr(ledger, name).append(KINDS[name](**fields))
                except (ValueError, KeyError, TypeError, AttributeError) as fault:
                    text = f"{path}:{number}: no ledger line: {fault}; record the run again"
                    raise ValueError(text) from None
        return ledger

    def audit(self, effects: Mapping[str, Effect], rules: Rules | None = None) -> list[Violation]:
        """What was broken, the earliest first. `effects` by class."""
        rules = rules or Rules()
        found = [
            *self._one_answer(rules),
            *self._no_effect_twice(effects, rules),
            *self._drains_kept(rules),
            *self._cold_not_pushed_over(rules),
        ]
        return sorted(found, key=lambda violation: violation.at)

    # rule 1
    def _one_answer(self, rules: Rules) -> Iterable[Violation]:
        answers = defaultdict(list)
        for answer in self.answers:
            answers[answer.call].append(answer)
        for taken in self.taken:
            mine = answers.pop(taken.call, [])
            if taken.call in self.excused and len(mine) <= 1:
                continue
            if any(answer.left for answer in mine):
                late = [answer for answer in mine if answer.left and answer.at < taken.due - rules.slack]
                if not late:  # it waited for the whole of its time, and had nothing
                    yield Violation(1, f"call {taken.call} had no answer in time", taken.due)
                continue
            if len(mine) != 1:
                yield Violation(1, f"call {taken.call} had {len(mine)} answers", taken.at)
            for answer in mine:
                if not answer.code:
                    yield Violation(1, f"call {taken.call} lost its connection without an answer", answer.at)
                elif answer.at > taken.due + rules.slack:
                    late_by = answer.at - taken.due
                    yield Violation(1, f"call {taken.call} answered {late_by:.3f} s late", answer.at)
        for call, mine in answers.items():
            yield Violation(1, f"an answer to call {call}, which nobody sent", mine[0].at)

    # rule 2
    def _no_effect_twice(self, effects: Mapping[str, Effect], rules: Rules) -> Iterable[Violation]:
        attempts = defaultdict(list)
        for attempt in self.attempts:
            attempts[attempt.call].append(attempt)
        answers = {answer.call: answer for answer in self.answers}
        for taken in self.taken:
            mine = sorted(attempts.get(taken.call, ()), key=lambda attempt: attempt.begun)
            effect = effects[taken.cls]
            for one, two in pairwise(mine):
                if two.begun + rules.slack < one.ended:
                    yield Violation(2, f"call {taken.call}: a second attempt while one is out", two.begun)
            if effect.kind == "repeatable":
                continue
            ran = [attempt for attempt in mine if attempt.ran]
            answer = answers.get(taken.call)
            if ran and answer is not None and answer.code in REFUSED and not effect.everywhere:
                yield Violation(2, f"call {taken.call} ran and was refused as harmless to repeat", answer.at)
            if effect.kind == "once":
                if len(ran) > 1:
                    yield Violation(2, f"call {taken.call} ran {len(ran)} times", ran[1].begun)
                for earlier, later in pairwise(mine):
                    if earlier.whole < OPEN and not earlier.refused:
                        what = f"call {taken.call} sent again though it may have run"
                        yield Violation(2, what, later.begun)
                        break
            else:
                yield from self._keyed(taken, mine, effect, rules)

    @staticmethod
    def _keyed(taken: Taken, mine: list[Attempt], effect: Effect, rules: Rules) -> Iterable[Violation]:
        first = next((attempt for attempt in mine if attempt.whole < OPEN and not attempt.refused), None)
        if first is None:
            return
        for later in mine[mine.index(first) + 1 :]:
            if later.group != first.group:
                yield Violation(2, f"call {taken.call} left the group that knows its key", later.begun)
            elif later.whole > first.begun + effect.window + rules.slack and later.whole < OPEN:
                yield Violation(2, f"call {taken.call} came again after its key was forgotten", later.whole)

    # rule 3
    def _drains_kept(self, rules: Rules) -> Iterable[Violation]:
        told = defaultdict(list)
        for entry in sorted(self.told, key=lambda entry: entry.at):
            told[entry.proxy, entry.server].append(entry)
        for attempt in self.attempts:
            history = told.get((attempt.proxy, attempt.server), [])
            place = bisect_left(history, attempt.begun, key=lambda entry: entry.at)
            since = OPEN
            for entry in reversed(history[:place]):
                if entry.state == "ready":
                    break
                since = entry.at
            late = attempt.begun - since
            if late > rules.drain_grace + rules.slack:
                what = f"{attempt.server} got call {attempt.call} {late:.3f} s after its end was told"
                yield Violation(3, what, attempt.begun)

    # rule 4
    def _cold_not_pushed_over(self, rules: Rules) -> Iterable[Violation]:
        """A budget, as the platform counts it: the work sent within any `fall_within` s stays under
        fall_multiple x what the server can do at that moment x that time."""
        work = defaultdict(list)
        for attempt in self.attempts:
            work[attempt.server].append(attempt)
        for start in self.starts:
            mine = sorted(work.get(start.server, ()), key=lambda attempt: attempt.begun)
            mine = [a for a in mine if start.at <= a.begun <= start.at + rules.cold_for]
            total = 0.0
            tail = 0
            for attempt in mine:
                total += attempt.work
                while mine[tail].begun < attempt.begun - rules.fall_within:
                    total -= mine[tail].work
                    tail += 1
                warm = min(1.0, (attempt.begun - start.at) / rules.cold_for)
                present = start.capacity * (rules.cold_from + (1 - rules.cold_from) * warm)
                if total > rules.fall_multiple * present * rules.fall_within:
                    what = f"{start.server} was sent {total:.2f} core s in {rules.fall_within:g} s"
                    yield Violation(4, what, attempt.begun)
                    break


KINDS: dict[str, Callable[..., object]] = {
    "taken": Taken,
    "answers": Answer,
    "attempts": Attempt,
    "told": Told,
    "starts": Start,
}
