"""Random histories of request budgets over a tree of three processes, checked at each step.

The receiver of each attempt has its own budget, which holds the attempts that the sender granted. The
receiver either reports how many of them it used or reports nothing.
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
MAX_EXPECTED = 4  # requests or attempts
REPEATED_REPORT_SHARE = 0.2


class Step(IntEnum):
    """A random step; starts and ends of attempts have two members each, so they are twice as frequent."""

    ALLOCATE_CHILD = 0
    START_ATTEMPT = 1
    START_ANOTHER_ATTEMPT = 2
    END_ATTEMPT = 3
    END_ANOTHER_ATTEMPT = 4
    CLOSE = 5


class AttemptEnd(IntEnum):
    """The way an attempt ends."""

    ANSWERED = 0
    LOST = 1  # the request may have been executed, and its receiver continues to spend its budget
    NEVER_RAN = 2
    LOST_AND_CLOSED = 3  # the receiver's process notices the loss and closes its budget


class OpenAttempt(NamedTuple):
    """An attempt in flight, and its receiver's budget."""

    grant: AttemptGrant
    received: RequestBudget


@dataclass(slots=True)
class BudgetHistory:
    """Result of a random history.

    Attributes:
        allowance: attempts of the outermost request.
        sent_attempts: attempts of all budgets.
        violations: violated invariants of the budgets, as text.
    """

    allowance: int
    sent_attempts: int = 0
    violations: list[str] = field(default_factory=list)


def play_history(seed: int) -> BudgetHistory:
    """Run random child allocations, attempts, answers, losses and closes; return the result."""
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
            self._apply(Step(self.random.randrange(len(Step))), float(number))
            self._check()
        self.outermost.close()
        self._check()
        history = self.history
        if history.sent_attempts > history.allowance:
            history.violations.append(f"{history.sent_attempts} attempts sent, {history.allowance} allowed")
        return history

    def _apply(self, step: Step, now: float) -> None:
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
            self.history.violations.append("an attempt was not debited exactly once")
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
                self.history.violations.append(f"negative count among available, reserved and spent: {parts}")
            if sum(parts) != budget.allowance:
                self.history.violations.append("available, reserved and spent do not add up to the allowance")
