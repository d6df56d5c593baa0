"""Tests of the table of session states: each pair of state and event, and closing in every state."""

from __future__ import annotations

from itertools import product

import pytest

from service_proxy.ephemeral_nodes.errors import InvalidTransitionError
from service_proxy.ephemeral_nodes.session_states import (
    ENDED_STATES,
    RECOVERABLE_STATES,
    TRANSITIONS,
    USABLE_STATES,
    SessionEvent,
    SessionState,
    next_state,
)

EVENTS_BY_LIMITED_STATE = {  # Events by state, for the states that accept few events.
    SessionState.CLOSED: {SessionEvent.OPEN, SessionEvent.CLOSE},
    SessionState.EXPIRED: {SessionEvent.OPEN, SessionEvent.CLOSE},
    SessionState.AUTH_FAILED: {SessionEvent.DISCONNECTED, SessionEvent.CLOSE},
}
IMPOSSIBLE_STATES_BY_EVENT = {  # The session is already connected or started in these states.
    SessionEvent.OPEN: set(SessionState) - {SessionState.CLOSED, SessionState.EXPIRED},
    SessionEvent.CONNECTED: set(USABLE_STATES),
    SessionEvent.CONNECTED_READ_ONLY: set(USABLE_STATES),
    SessionEvent.TIMED_OUT: set(USABLE_STATES),
}


def is_impossible(state: SessionState, event: SessionEvent) -> bool:
    return event not in EVENTS_BY_LIMITED_STATE.get(
        state, set(SessionEvent)
    ) or state in IMPOSSIBLE_STATES_BY_EVENT.get(event, set())


@pytest.mark.parametrize(("state", "event"), list(product(SessionState, SessionEvent)))
def test_every_pair_is_in_the_table_or_is_impossible(state: SessionState, event: SessionEvent) -> None:
    if is_impossible(state, event):
        with pytest.raises(InvalidTransitionError):
            next_state(state, event)
    else:
        assert next_state(state, event) is TRANSITIONS[state, event]


def test_closing_ends_every_state() -> None:
    assert all(next_state(state, SessionEvent.CLOSE) is SessionState.CLOSED for state in SessionState)


def test_a_lost_connection_is_suspended_then_lost_and_expired_only_by_the_service() -> None:
    assert next_state(SessionState.CONNECTED, SessionEvent.DISCONNECTED) is SessionState.SUSPENDED
    assert next_state(SessionState.SUSPENDED, SessionEvent.TIMED_OUT) is SessionState.LOST
    assert {event for (_, event), to in TRANSITIONS.items() if to is SessionState.EXPIRED} == {
        SessionEvent.SESSION_EXPIRED
    }
    assert next_state(SessionState.LOST, SessionEvent.CONNECTED) is SessionState.CONNECTED


def test_the_kinds_of_state_do_not_overlap() -> None:
    assert (
        not USABLE_STATES & ENDED_STATES
        and not USABLE_STATES & RECOVERABLE_STATES
        and not ENDED_STATES & RECOVERABLE_STATES
    )


def test_every_state_is_the_target_of_a_transition() -> None:
    reached = {to for (state, _), to in TRANSITIONS.items() if to is not state}
    assert reached == set(SessionState)
