"""The table of a session's states, row by row, and that no way leads out of it."""

from __future__ import annotations

from itertools import product

import pytest

from service_proxy.ephemeral_nodes.states import (
    HOPEFUL,
    OVER,
    TABLE,
    USABLE,
    Happening,
    Impossible,
    State,
    after,
)

ONLY = {  # states in which little can happen
    State.CLOSED: {Happening.OPEN, Happening.CLOSE},
    State.EXPIRED: {Happening.OPEN, Happening.CLOSE},
    State.AUTH_FAILED: {Happening.DOWN, Happening.CLOSE},
}
NEVER = {  # what can't come in states where the connection is up, or the session has begun
    Happening.OPEN: set(State) - {State.CLOSED, State.EXPIRED},
    Happening.UP: set(USABLE),
    Happening.UP_RO: set(USABLE),
    Happening.OVERDUE: set(USABLE),
}


def impossible(state: State, happening: Happening) -> bool:
    return happening not in ONLY.get(state, set(Happening)) or state in NEVER.get(happening, set())


@pytest.mark.parametrize(("state", "happening"), list(product(State, Happening)))
def test_every_pair_is_in_the_table_or_is_impossible(state: State, happening: Happening) -> None:
    if impossible(state, happening):
        with pytest.raises(Impossible):
            after(state, happening)
    else:
        assert after(state, happening) is TABLE[state, happening]


def test_closing_ends_every_state() -> None:
    assert all(after(state, Happening.CLOSE) is State.CLOSED for state in State)


def test_a_lost_connection_is_suspended_then_lost_and_only_the_service_says_expired() -> None:
    assert after(State.CONNECTED, Happening.DOWN) is State.SUSPENDED
    assert after(State.SUSPENDED, Happening.OVERDUE) is State.LOST
    assert {happening for (_, happening), to in TABLE.items() if to is State.EXPIRED} == {Happening.REFUSED}
    assert after(State.LOST, Happening.UP) is State.CONNECTED


def test_the_kinds_of_state_do_not_overlap() -> None:
    assert not USABLE & OVER and not USABLE & HOPEFUL and not OVER & HOPEFUL


def test_every_state_is_reached_and_all_but_two_lead_on() -> None:
    reached = {to for (state, _), to in TABLE.items() if to is not state}
    assert reached == set(State)
