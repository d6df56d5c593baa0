"""The tree of accounts: nothing is created, nothing goes below zero, each attempt is debited once."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.budgets import History, play
from service_proxy.deadlines.accounts import Account, Lent, attempt_part, call_part, finishing, reaches, root


def outer(attempts: int, due: float = 10.0, aim: float = 5.0, worth: float = 12.0) -> Account:
    return root(attempts, due, aim, worth, "stock", "0" * 16)


def begun(account: Account, expected: int = 1) -> Lent:
    lent = account.begin(expected)
    assert lent is not None
    return lent


def test_an_attempt_is_debited_once_and_lends_half_of_the_rest() -> None:
    account = outer(12)
    lent = begun(account, 3)
    assert (account.spent, lent.attempts, account.free) == (1, 6, 5)
    lent.end(1, False)
    assert (account.spent, account.lent, account.free) == (2, 0, 10)
    lent.end(3, False)  # a second word of the same attempt counts for nothing
    assert account.free == 10


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
def test_what_comes_back_of_an_attempt(spent: int | None, loose: bool, free: int) -> None:
    account = outer(12)
    begun(account, 3).end(spent, loose)
    assert account.free == free


def test_the_first_of_two_calls_can_spend_its_own_part_alone() -> None:
    account = outer(4)
    first = account.lend(2, 0.0)
    assert first is not None and first.granted == 2
    for _ in range(2):
        begun(first).end(None, False)
    assert first.begin(1) is None
    first.close()
    second = account.lend(2, 1.0)
    assert second is not None and second.granted == 2 and account.free == 0
    begun(second)
    second.close()
    assert (account.spent, account.free) == (4, 0)  # what is out at its end is held for spent


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
def test_how_far_attempts_reach(attempts: int, tiers: int, calls: int, reach: bool) -> None:
    assert reaches(attempts, tiers, calls, 3) is reach


def test_the_last_of_all_has_the_rest() -> None:
    assert [attempt_part(12, left) for left in (3, 2, 1)] == [6, 6, 11]
    assert [call_part(5, left) for left in (3, 2, 1, 0, -4)] == [2, 3, 5, 5, 5]


def test_a_call_is_worth_more_for_those_before_it() -> None:
    assert [finishing(2, before) for before in (0, 1, 2, 9)] == [1.0, 2.0, 2.0, 2.0]
    assert [finishing(1, before) for before in (0, 1)] == [1.0, 1.0]


def test_a_call_beyond_what_is_free_has_nothing() -> None:
    account = outer(1)
    assert account.lend(2, 0.0) is not None and account.lend(2, 0.0) is None


def test_when_time_is_up_nothing_is_lent() -> None:
    account = outer(9, due=10.0)
    assert account.lend(2, 9.999) is not None and account.lend(2, 10.0) is None


def test_little_of_the_worth_is_left_when_the_outer_aim_has_passed() -> None:
    account = outer(9, aim=5.0)
    child = account.lend(1, 0.0)
    assert child is not None
    assert [child.worth_at(at) for at in (4.999, 5.0)] == [12.0, pytest.approx(0.6)]


def test_the_end_of_a_request_is_the_end_of_all_below_it() -> None:
    account = outer(12)
    child = account.lend(1, 0.0)
    assert child is not None
    grandchild = child.lend(2, 0.0)
    assert grandchild is not None
    lent = begun(grandchild, 2)
    assert account.close() == [child, grandchild]
    assert not child.open and not grandchild.open and grandchild.begin(1) is None
    assert child.lend(1, 0.0) is None
    spent = account.spent
    lent.end(0, False)
    assert account.spent == spent == grandchild.spent == 1 + lent.attempts  # what was out is held for spent


def test_closing_twice_gives_nothing_back_twice() -> None:
    account = outer(6)
    child = account.lend(1, 0.0)
    assert child is not None and child.granted == 6
    begun(child)
    child.close()
    child.close()
    assert (account.free, account.spent, account.lent) == (0, 6, 0)


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_no_history_makes_or_loses_an_attempt(seed: int) -> None:
    history = play(seed)
    assert isinstance(history, History) and history.faults == []
    assert history.sends <= history.granted
