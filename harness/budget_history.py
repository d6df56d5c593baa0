"""Random histories of request budgets over a tree of three processes, checked at each step.

Each attempt's receiver has a budget of its own, of what was granted to it, and reports what it used, if it
reports anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from random import Random
from typing import NamedTuple

from service_proxy.deadlines.request_budget import AttemptGrant, RequestBudget, root_budget

DEADLINE = 100.0
OBJECTIVE_AT = 50.0
MAX_ALLOWANCE = 20  # attempts
MAX_STEPS = 60
MAX_EXPECTED = 4  # calls or attempts
REPEATED_REPORT_SHARE = 0.2


class Step(IntEnum):
    """What happens next; an attempt is started and ended twice as often as the rest."""

    ALLOCATE_CHILD = 0
    START_ATTEMPT = 1
    START_ANOTHER_ATTEMPT = 2
    END_ATTEMPT = 3
    END_ANOTHER_ATTEMPT = 4
    CLOSE = 5


class AttemptEnd(IntEnum):
    """How an attempt ends."""

    ANSWERED = 0
    LOST = 1  # it may have run, and its receiver goes on spending
    NEVER_RAN = 2
    LOST_AND_CLOSED = 3  # its receiver's own process notices it


class OpenAttempt(NamedTuple):
    """An attempt under way, and its receiver's budget."""

    grant: AttemptGrant
    received: RequestBudget


@dataclass(slots=True)
class BudgetHistory:
    """What a random history did, and what it broke.

    Attributes:
        allowance: attempts of the outermost request.
        sent_attempts: of all budgets.
        violations: of the budgets' invariants, as text.
    """

    allowance: int
    sent_attempts: int = 0
    violations: list[str] = field(default_factory=list)


def play_history(seed: int) -> BudgetHistory:
    """Play random calls, attempts, answers, losses and ends."""
    return _HistoryPlayer(Random(seed)).play()


class _HistoryPlayer:
    def __init__(self, random: Random) -> None:
        self.random = random
        allowance = random.randint(0, MAX_ALLOWANCE)
        self.outermost = root_budget(allowance, DEADLINE, OBJECTIVE_AT, 1.0, "stock", "0" * 16)
        self.history = BudgetHistory(allowance)
        self.budgets = [self.outermost]
        self.open_attempts: list[OpenAttempt] = []

    def play(self) -> BudgetHistory:
        for number in range(self.random.randint(1, MAX_STEPS)):
            self._take(Step(self.random.randrange(len(Step))), float(number))
            self._check()
        self.outermost.close()
        self._check()
        history = self.history
        if history.sent_attempts > history.allowance:
            history.violations.append(f"{history.sent_attempts} attempts of {history.allowance}")
        return history

    def _take(self, step: Step, now: float) -> None:
        budget = self.random.choice(self.budgets)
        if step is Step.ALLOCATE_CHILD:
            child = budget.allocate_child(self.random.randint(1, MAX_EXPECTED), now)
            if child is not None:
                self.budgets.append(child)
        elif step in (Step.START_ATTEMPT, Step.START_ANOTHER_ATTEMPT):
            self._start_attempt(budget)
        elif step is Step.CLOSE:
            budget.close()
        elif self.open_attempts:
            self._end_attempt(self.open_attempts.pop(self.random.randrange(len(self.open_attempts))))

    def _start_attempt(self, budget: RequestBudget) -> None:
        spent = budget.spent
        grant = budget.grant_attempt(self.random.randint(1, MAX_EXPECTED))
        if grant is None:
            return
        self.history.sent_attempts += 1
        if budget.spent != spent + 1:
            self.history.violations.append("not debited once")
        received = root_budget(grant.attempts, DEADLINE, OBJECTIVE_AT, 1.0, "stock", "")
        self.budgets.append(received)
        self.open_attempts.append(OpenAttempt(grant, received))

    def _end_attempt(self, attempt: OpenAttempt) -> None:
        grant, received = attempt
        end = AttemptEnd(self.random.randrange(len(AttemptEnd)))
        used = received.spent + received.reserved
        if end is AttemptEnd.LOST:
            grant.settle(None, may_have_run=True)
        else:
            received.close()
            if end is AttemptEnd.ANSWERED:
                grant.settle(used, may_have_run=False)
            elif end is AttemptEnd.NEVER_RAN and used == 0:
                grant.settle(None, may_have_run=False)
            else:
                grant.settle(None, may_have_run=True)
        if self.random.random() < REPEATED_REPORT_SHARE:
            grant.settle(0, may_have_run=False)

    def _check(self) -> None:
        for budget in self.budgets:
            parts = (budget.available, budget.reserved, budget.spent)
            if min(parts) < 0:
                self.history.violations.append(f"negative: {parts}")
            if sum(parts) != budget.allowance:
                self.history.violations.append("attempts created or lost")
