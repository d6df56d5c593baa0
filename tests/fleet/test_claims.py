"""Claims and their table: one order, no way back, and the exhaustive model with its planted faults."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.fleet import model
from service_proxy.fleet.entries import MOST_BEAT, MOST_RUN, Claim, Incarnation
from service_proxy.fleet.share import MOST_OVER, instances
from service_proxy.fleet.states import LIVING, TABLE, Happening, Said, State, happening, merge

INCARNATIONS = st.builds(
    Incarnation, st.integers(1, MOST_RUN), st.integers(0, 65535), st.integers(0, MOST_BEAT)
)
SAID = st.tuples(INCARNATIONS, st.sampled_from(Claim))


@given(SAID, SAID, SAID)
def test_merging_is_commutative_associative_and_idempotent(one: Said, two: Said, three: Said) -> None:
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(one, one) == one


@given(st.lists(SAID, min_size=1, max_size=6), st.randoms())
def test_views_end_alike_in_whatever_order_claims_come(said: list[Said], random: Random) -> None:
    def after(order: list[Said]) -> tuple[Incarnation | None, State]:
        held: model.Held = model.Held(State.UNKNOWN, None)
        for incarnation, claim in order:
            held = model.hear(model.RIGHT, held, incarnation, claim)
        return held.incarnation, held.state

    mixed = list(said)
    random.shuffle(mixed)
    greatest = max(said)
    named = {Claim.ALIVE: State.ALIVE, Claim.SUSPECT: State.SUSPECT, Claim.LEFT: State.LEFT}
    assert after(said) == after(mixed) == (greatest[0], named[greatest[1]])


def test_the_table_has_every_happening_that_a_state_can_meet() -> None:
    claims = [what for what in Happening if what not in (Happening.SUSPICION_OVER, Happening.MEMORY_OVER)]
    for state in State:
        for what in claims:
            if state is State.UNKNOWN and "newer" not in what.value:
                continue
            assert (state, what) in TABLE
    assert (State.SUSPECT, Happening.SUSPICION_OVER) in TABLE
    assert {state for state, what in TABLE if what is Happening.MEMORY_OVER} == {State.DEAD, State.LEFT}


@given(INCARNATIONS, SAID)
def test_nothing_but_a_newer_incarnation_brings_the_dead_back(held: Incarnation, said: Said) -> None:
    after, _ = TABLE[State.DEAD, happening(held, said)]
    assert (after in LIVING) == (said[0] > held and said[1] is not Claim.LEFT)


def test_the_model_holds_and_every_planted_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """One message at a time; the benchmark has the larger bounds."""
    monkeypatch.setattr(model, "MOST_MESSAGES", 1)
    assert model.explore() > 1000
    for name, rules in model.MUTATIONS.items():
        with pytest.raises(model.Broken):
            model.explore(rules)
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
        total += group / instances(by_settings, group, True, minority, by_settings)
    assert total < MOST_OVER + 1e-9


def test_while_the_view_changes_the_count_does_not_fall() -> None:
    assert instances(40, 30, False, False, 40) == 40
    assert instances(40, 30, True, False, 40) == 30
    assert instances(40, 50, False, False, 40) == 50
    assert instances(40, 20, True, False, 40) == 40 and instances(40, 30, True, True, 40) == 40
