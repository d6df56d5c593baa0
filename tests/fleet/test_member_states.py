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
CLAIMS = st.tuples(INCARNATIONS, st.sampled_from(Claim))


@given(CLAIMS, CLAIMS, CLAIMS)
def test_merging_is_commutative_associative_and_idempotent(
    one: VersionedClaim, two: VersionedClaim, three: VersionedClaim
) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one


@given(st.lists(CLAIMS, min_size=1, max_size=6), st.randoms())
def test_views_converge_in_whatever_order_claims_arrive(claims: list[VersionedClaim], random: Random) -> None:
    def after(order: list[VersionedClaim]) -> tuple[Incarnation | None, MemberState]:
        known: state_model.KnownState = state_model.KnownState(MemberState.UNKNOWN, None)
        for incarnation, claim in order:
            known = state_model.merge_claim(state_model.CORRECT_RULES, known, incarnation, claim)
        return known.incarnation, known.state

    mixed = list(claims)
    random.shuffle(mixed)
    greatest = max(claims)
    named = {Claim.ALIVE: MemberState.ALIVE, Claim.SUSPECT: MemberState.SUSPECT, Claim.LEFT: MemberState.LEFT}
    assert after(claims) == after(mixed) == (greatest[0], named[greatest[1]])


def test_the_transitions_cover_every_event_that_a_state_can_meet() -> None:
    claim_events = [
        what
        for what in ClaimEvent
        if what not in (ClaimEvent.SUSPICION_EXPIRED, ClaimEvent.TOMBSTONE_EXPIRED)
    ]
    for state in MemberState:
        for what in claim_events:
            if state is MemberState.UNKNOWN and "newer" not in what.value:
                continue
            assert (state, what) in TRANSITIONS
    assert (MemberState.SUSPECT, ClaimEvent.SUSPICION_EXPIRED) in TRANSITIONS
    assert {state for state, what in TRANSITIONS if what is ClaimEvent.TOMBSTONE_EXPIRED} == {
        MemberState.DEAD,
        MemberState.LEFT,
    }


@given(INCARNATIONS, CLAIMS)
def test_only_a_newer_incarnation_brings_the_dead_back(known: Incarnation, claimed: VersionedClaim) -> None:
    after, _ = TRANSITIONS[MemberState.DEAD, classify_claim(known, claimed)]
    assert (after in LIVE_STATES) == (claimed[0] > known and claimed[1] is not Claim.LEFT)


def test_the_exhaustive_model_holds_and_finds_every_planted_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """One message at a time; the benchmark has the larger bounds."""
    monkeypatch.setattr(state_model, "MAX_MESSAGES", 1)
    assert state_model.explore() > 1000
    for name, rules in state_model.MUTATIONS.items():
        with pytest.raises(state_model.InvariantViolationError):
            state_model.explore(rules)
            pytest.fail(f"not found: {name}")


@given(st.integers(1, 300), st.data())
def test_the_shares_of_all_proxies_stay_under_the_bound(by_settings: int, data: st.DataObject) -> None:
    """Parted into any groups that see only themselves; each by its rule."""
    left = by_settings
    total = 0.0
    while left:
        group = data.draw(st.integers(1, left))
        left -= group
        minority = 2 * group < by_settings
        total += group / effective_proxy_count(by_settings, group, True, minority, by_settings)
    assert total < MAX_TOTAL_SHARE + 1e-9


def test_the_proxy_count_does_not_fall_while_the_view_changes() -> None:
    assert effective_proxy_count(40, 30, False, False, 40) == 40
    assert effective_proxy_count(40, 30, True, False, 40) == 30
    assert effective_proxy_count(40, 50, False, False, 40) == 50
    assert (
        effective_proxy_count(40, 20, True, False, 40) == 40
        and effective_proxy_count(40, 30, True, True, 40) == 40
    )
