"""The tree of accounts: nothing is created, nothing goes below zero, each attempt is debited once."""

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


def outer(attempts: int, due: float = 10.0, aim: float = 5.0, worth: float = 12.0) -> RequestBudget:
    return root_budget(attempts, due, aim, worth, "stock", "0" * 16)


def begun(account: RequestBudget, expected: int = 1) -> AttemptGrant:
    lent = account.grant_attempt(expected)
    assert lent is not None
    return lent


def test_attempt_is_debited_once_and_granted_half_of_the_rest() -> None:
    account = outer(12)
    lent = begun(account, 3)
    assert (account.spent, lent.attempts, account.available) == (1, 6, 5)
    lent.settle(1, False)
    assert (account.spent, account.reserved, account.available) == (2, 0, 10)
    lent.settle(3, False)  # a second word of the same attempt counts for nothing
    assert account.available == 10


@pytest.mark.parametrize(
    ("spent", "loose", "free"),
    [
        (0, False, 11),
        (2, False, 9),
        (None, False, 11),  # answered without a word of it: knows of no budgets
        (None, True, 5),  # no answer, may have run: work may go on below
        (2, True, 9),
    ],
)
def test_available_attempts_after_a_grant_is_settled(spent: int | None, loose: bool, free: int) -> None:
    account = outer(12)
    begun(account, 3).settle(spent, loose)
    assert account.available == free


def test_first_of_two_calls_can_spend_only_its_own_allowance() -> None:
    account = outer(4)
    first = account.allocate_child(2, 0.0)
    assert first is not None and first.allowance == 2
    for _ in range(2):
        begun(first).settle(None, False)
    assert first.grant_attempt(1) is None
    first.close()
    second = account.allocate_child(2, 1.0)
    assert second is not None and second.allowance == 2 and account.available == 0
    begun(second)
    second.close()
    assert (account.spent, account.available) == (4, 0)  # what is out at its end is held for spent


@pytest.mark.parametrize(
    ("attempts", "tiers", "calls", "reach"),
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
def test_attempts_that_cover_a_call_tree(attempts: int, tiers: int, calls: int, reach: bool) -> None:
    assert covers_call_tree(attempts, tiers, calls, 3) is reach


def test_last_attempt_or_call_gets_the_rest() -> None:
    assert [downstream_allowance(12, left) for left in (3, 2, 1)] == [6, 6, 11]
    assert [child_allowance(5, left) for left in (3, 2, 1, 0, -4)] == [2, 3, 5, 5, 5]


def test_calls_made_before_raise_the_completion_factor() -> None:
    assert [completion_factor(2, before) for before in (0, 1, 2, 9)] == [1.0, 2.0, 2.0, 2.0]
    assert [completion_factor(1, before) for before in (0, 1)] == [1.0, 1.0]


def test_call_beyond_the_available_attempts_gets_no_budget() -> None:
    account = outer(1)
    assert account.allocate_child(2, 0.0) is not None and account.allocate_child(2, 0.0) is None


def test_no_child_budget_after_the_deadline() -> None:
    account = outer(9, due=10.0)
    assert account.allocate_child(2, 9.999) is not None and account.allocate_child(2, 10.0) is None


def test_little_weight_is_left_after_the_latency_objective() -> None:
    account = outer(9, aim=5.0)
    child = account.allocate_child(1, 0.0)
    assert child is not None
    assert [child.priority_weight_at(at) for at in (4.999, 5.0)] == [12.0, pytest.approx(0.6)]


def test_closing_a_budget_closes_all_below_it() -> None:
    account = outer(12)
    child = account.allocate_child(1, 0.0)
    assert child is not None
    grandchild = child.allocate_child(2, 0.0)
    assert grandchild is not None
    lent = begun(grandchild, 2)
    assert account.close() == [child, grandchild]
    assert not child.is_open and not grandchild.is_open and grandchild.grant_attempt(1) is None
    assert child.allocate_child(1, 0.0) is None
    spent = account.spent
    lent.settle(0, False)
    assert account.spent == spent == grandchild.spent == 1 + lent.attempts  # what was out is held for spent


def test_closing_twice_returns_nothing_twice() -> None:
    account = outer(6)
    child = account.allocate_child(1, 0.0)
    assert child is not None and child.allowance == 6
    begun(child)
    child.close()
    child.close()
    assert (account.available, account.spent, account.reserved) == (0, 6, 0)


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_no_history_creates_or_loses_an_attempt(seed: int) -> None:
    history = play_history(seed)
    assert isinstance(history, BudgetHistory) and history.violations == []
    assert history.sent_attempts <= history.allowance
