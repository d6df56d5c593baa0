"""Tests of the tree of budgets: no attempt is created or negative, and each attempt is debited once."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.budget_history import BudgetHistory, play_history
from service_proxy.deadlines.request_budget import (
    AttemptGrant,
    RequestBudget,
    child_allowance,
    completion_factor,
    covers_call_tree,
    downstream_allowance,
    root_budget,
)


def outermost(
    attempts: int, deadline: float = 10.0, objective_at: float = 5.0, priority_weight: float = 12.0
) -> RequestBudget:
    return root_budget(attempts, deadline, objective_at, priority_weight, "stock", "0" * 16)


def start_attempt(budget: RequestBudget, expected: int = 1) -> AttemptGrant:
    grant = budget.grant_attempt(expected)
    assert grant is not None
    return grant


def test_attempt_is_debited_once_and_granted_half_of_the_rest() -> None:
    budget = outermost(12)
    grant = start_attempt(budget, 3)
    assert (budget.spent, grant.attempts, budget.available) == (1, 6, 5)
    grant.settle(1, False)
    assert (budget.spent, budget.reserved, budget.available) == (2, 0, 10)
    grant.settle(3, False)  # A second report of the same attempt is ignored.
    assert budget.available == 10


@pytest.mark.parametrize(
    ("spent", "may_have_run", "available"),
    [
        (0, False, 11),
        (2, False, 9),
        (None, False, 11),  # Answer without a report: the receiver does not support budgets.
        (None, True, 5),  # No answer, but the attempt may have run: work may continue below.
        (2, True, 9),
    ],
)
def test_available_attempts_after_a_grant_is_settled(
    spent: int | None, may_have_run: bool, available: int
) -> None:
    budget = outermost(12)
    start_attempt(budget, 3).settle(spent, may_have_run)
    assert budget.available == available


def test_first_of_two_calls_can_spend_only_its_own_allowance() -> None:
    budget = outermost(4)
    first = budget.allocate_child(2, 0.0)
    assert first is not None and first.allowance == 2
    for _ in range(2):
        start_attempt(first).settle(None, False)
    assert first.grant_attempt(1) is None
    first.close()
    second = budget.allocate_child(2, 1.0)
    assert second is not None and second.allowance == 2 and budget.available == 0
    start_attempt(second)
    second.close()
    assert (budget.spent, budget.available) == (4, 0)  # Attempts still granted at the end count as spent.


@pytest.mark.parametrize(
    ("attempts", "tiers", "calls", "is_covered"),
    [
        (1, 1, 2, True),
        (3, 2, 2, False),
        (4, 2, 2, True),
        (3, 3, 1, False),
        (4, 3, 1, True),
        (13, 3, 2, False),
        (14, 3, 2, True),
    ],
)
def test_attempts_that_cover_a_call_tree(attempts: int, tiers: int, calls: int, is_covered: bool) -> None:
    assert covers_call_tree(attempts, tiers, calls, 3) is is_covered


def test_last_attempt_or_call_gets_the_rest() -> None:
    assert [downstream_allowance(12, left) for left in (3, 2, 1)] == [6, 6, 11]
    assert [child_allowance(5, left) for left in (3, 2, 1, 0, -4)] == [2, 3, 5, 5, 5]


def test_calls_made_before_raise_the_completion_factor() -> None:
    assert [completion_factor(2, before) for before in (0, 1, 2, 9)] == [1.0, 2.0, 2.0, 2.0]
    assert [completion_factor(1, before) for before in (0, 1)] == [1.0, 1.0]


def test_call_beyond_the_available_attempts_gets_no_budget() -> None:
    budget = outermost(1)
    assert budget.allocate_child(2, 0.0) is not None and budget.allocate_child(2, 0.0) is None


def test_no_child_budget_after_the_deadline() -> None:
    budget = outermost(9, deadline=10.0)
    assert budget.allocate_child(2, 9.999) is not None and budget.allocate_child(2, 10.0) is None


def test_late_weight_share_applies_after_the_latency_objective() -> None:
    budget = outermost(9, objective_at=5.0)
    child = budget.allocate_child(1, 0.0)
    assert child is not None
    assert [child.priority_weight_at(at) for at in (4.999, 5.0)] == [12.0, pytest.approx(0.6)]


def test_closing_a_budget_closes_all_below_it() -> None:
    budget = outermost(12)
    child = budget.allocate_child(1, 0.0)
    assert child is not None
    grandchild = child.allocate_child(2, 0.0)
    assert grandchild is not None
    grant = start_attempt(grandchild, 2)
    assert budget.close() == [child, grandchild]
    assert not child.is_open and not grandchild.is_open and grandchild.grant_attempt(1) is None
    assert child.allocate_child(1, 0.0) is None
    spent = budget.spent
    grant.settle(0, False)
    assert budget.spent == spent == grandchild.spent == 1 + grant.attempts  # Granted attempts count as spent.


def test_closing_twice_returns_the_attempts_once() -> None:
    budget = outermost(6)
    child = budget.allocate_child(1, 0.0)
    assert child is not None and child.allowance == 6
    start_attempt(child)
    child.close()
    child.close()
    assert (budget.available, budget.spent, budget.reserved) == (0, 6, 0)


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_no_history_creates_or_loses_an_attempt(seed: int) -> None:
    history = play_history(seed)
    assert isinstance(history, BudgetHistory) and history.violations == []
    assert history.sent_attempts <= history.allowance
