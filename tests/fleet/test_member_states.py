"""Claims and their table: one order, no way back, and the exhaustive model with its planted faults."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.fleet import state_model
from service_proxy.fleet.member_states import (
    LIVE_STATES,
    TRANSITIONS,
    ClaimEvent,
    MemberState,
    VersionedClaim,
    classify_claim,
    merge,
)
from service_proxy.fleet.members import MAX_GENERATION, MAX_VERSION, Claim, Incarnation
from service_proxy.fleet.proxy_count import MAX_TOTAL_SHARE, effective_proxy_count

INCARNATIONS = st.builds(
    Incarnation, st.integers(1, MAX_GENERATION), st.integers(0, 65535), st.integers(0, MAX_VERSION)
)
SAID = st.tuples(INCARNATIONS, st.sampled_from(Claim))


@given(SAID, SAID, SAID)
def test_merging_is_commutative_associative_and_idempotent(
    one: VersionedClaim, two: VersionedClaim, three: VersionedClaim
) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one


@given(st.lists(SAID, min_size=1, max_size=6), st.randoms())
def test_views_end_alike_in_whatever_order_claims_come(said: list[VersionedClaim], random: Random) -> None:
    def after(order: list[VersionedClaim]) -> tuple[Incarnation | None, MemberState]:
        held: state_model.KnownState = state_model.KnownState(MemberState.UNKNOWN, None)
        for incarnation, claim in order:
            held = state_model.merge_claim(state_model.CORRECT_RULES, held, incarnation, claim)
        return held.incarnation, held.state

    mixed = list(said)
    random.shuffle(mixed)
    greatest = max(said)
    named = {Claim.ALIVE: MemberState.ALIVE, Claim.SUSPECT: MemberState.SUSPECT, Claim.LEFT: MemberState.LEFT}
    assert after(said) == after(mixed) == (greatest[0], named[greatest[1]])


def test_the_table_has_every_happening_that_a_state_can_meet() -> None:
    claims = [
        what
        for what in ClaimEvent
        if what not in (ClaimEvent.SUSPICION_EXPIRED, ClaimEvent.TOMBSTONE_EXPIRED)
    ]
    for state in MemberState:
        for what in claims:
            if state is MemberState.UNKNOWN and "newer" not in what.value:
                continue
            assert (state, what) in TRANSITIONS
    assert (MemberState.SUSPECT, ClaimEvent.SUSPICION_EXPIRED) in TRANSITIONS
    assert {state for state, what in TRANSITIONS if what is ClaimEvent.TOMBSTONE_EXPIRED} == {
        MemberState.DEAD,
        MemberState.LEFT,
    }


@given(INCARNATIONS, SAID)
def test_nothing_but_a_newer_incarnation_brings_the_dead_back(
    held: Incarnation, said: VersionedClaim
) -> None:
    after, _ = TRANSITIONS[MemberState.DEAD, classify_claim(held, said)]
    assert (after in LIVE_STATES) == (said[0] > held and said[1] is not Claim.LEFT)


def test_the_model_holds_and_every_planted_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """One message at a time; the benchmark has the larger bounds."""
    monkeypatch.setattr(state_model, "MAX_MESSAGES", 1)
    assert state_model.explore() > 1000
    for name, rules in state_model.MUTATIONS.items():
        with pytest.raises(state_model.InvariantViolationError):
            state_model.explore(rules)
            pytest.fail(f"not found: {name}")


@given(st.integers(1, 300), st.data())
def test_all_shares_together_stay_under_the_bound(by_settings: int, data: st.DataObject) -> None:
    """Parted into any groups that see only themselves; each by its rule."""
    left = by_settings
    total = 0.0
    while left:
        group = data.draw(st.integers(1, left))
        left -= group
        minority = 2 * group < by_settings
        total += group / effective_proxy_count(by_settings, group, True, minority, by_settings)
    assert total < MAX_TOTAL_SHARE + 1e-9


def test_while_the_view_changes_the_count_does_not_fall() -> None:
    assert effective_proxy_count(40, 30, False, False, 40) == 40
    assert effective_proxy_count(40, 30, True, False, 40) == 30
    assert effective_proxy_count(40, 50, False, False, 40) == 50
    assert (
        effective_proxy_count(40, 20, True, False, 40) == 40
        and effective_proxy_count(40, 30, True, True, 40) == 40
    )
