"""The order of claims, the transition table, the exhaustive model with its mutations, and the proxy count."""

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
    def state_after(order: list[VersionedClaim]) -> tuple[Incarnation | None, MemberState]:
        known: state_model.KnownState = state_model.KnownState(MemberState.UNKNOWN, None)
        for incarnation, claim in order:
            known = state_model.merge_claim(state_model.CORRECT_RULES, known, incarnation, claim)
        return known.incarnation, known.state

    shuffled = list(claims)
    random.shuffle(shuffled)
    greatest = max(claims)
    state_of_claim = {
        Claim.ALIVE: MemberState.ALIVE,
        Claim.SUSPECT: MemberState.SUSPECT,
        Claim.LEFT: MemberState.LEFT,
    }
    assert state_after(claims) == state_after(shuffled) == (greatest[0], state_of_claim[greatest[1]])


def test_the_transitions_cover_every_possible_event_of_each_state() -> None:
    claim_events = [
        event
        for event in ClaimEvent
        if event not in (ClaimEvent.SUSPICION_EXPIRED, ClaimEvent.TOMBSTONE_EXPIRED)
    ]
    for state in MemberState:
        for event in claim_events:
            if state is MemberState.UNKNOWN and "newer" not in event.value:
                continue
            assert (state, event) in TRANSITIONS
    assert (MemberState.SUSPECT, ClaimEvent.SUSPICION_EXPIRED) in TRANSITIONS
    assert {state for state, event in TRANSITIONS if event is ClaimEvent.TOMBSTONE_EXPIRED} == {
        MemberState.DEAD,
        MemberState.LEFT,
    }


@given(INCARNATIONS, CLAIMS)
def test_only_a_newer_incarnation_makes_a_dead_member_live(
    known: Incarnation, claimed: VersionedClaim
) -> None:
    state_after, _ = TRANSITIONS[MemberState.DEAD, classify_claim(known, claimed)]
    assert (state_after in LIVE_STATES) == (claimed[0] > known and claimed[1] is not Claim.LEFT)


def test_the_exhaustive_model_violates_no_invariant_and_every_mutation_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At most one message is in flight; the benchmark explores larger bounds."""
    monkeypatch.setattr(state_model, "MAX_MESSAGES", 1)
    assert state_model.explore() > 1000
    for name, rules in state_model.MUTATIONS.items():
        with pytest.raises(state_model.InvariantViolationError):
            state_model.explore(rules)
            pytest.fail(f"mutation not detected: {name}")


@given(st.integers(1, 300), st.data())
def test_the_shares_of_all_proxies_stay_under_the_bound(configured: int, data: st.DataObject) -> None:
    """The proxies are split into arbitrary groups, each of which sees only its own members."""
    remaining = configured
    total = 0.0
    while remaining:
        group = data.draw(st.integers(1, remaining))
        remaining -= group
        minority = 2 * group < configured
        total += group / effective_proxy_count(configured, group, True, minority, configured)
    assert total < MAX_TOTAL_SHARE + 1e-9


def test_the_proxy_count_does_not_fall_while_the_view_changes() -> None:
    assert effective_proxy_count(40, 30, False, False, 40) == 40
    assert effective_proxy_count(40, 30, True, False, 40) == 30
    assert effective_proxy_count(40, 50, False, False, 40) == 50
    assert (
        effective_proxy_count(40, 20, True, False, 40) == 40
        and effective_proxy_count(40, 30, True, True, 40) == 40
    )
