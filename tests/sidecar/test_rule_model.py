"""The model of the four rules: what it finds, that its examples are real, and that what it passes is safe."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from service_proxy.sidecar.model import Class, Route, Tier
from service_proxy.sidecar.rule_model import GRACE, rule_four, rule_one, rule_three, rule_two

CANJE = Class("once", 2.5, 6.0)
RESERVA = Class("by-key", 1.5, 4.0, 1.0, "zone", 6.0)
STOCK = Class("repeatable", 0.5, 1.2)
KEYED = Route("by-key", "zone", 6.0)
TIER = Tier(("a", "b"), ("canje",), 16, stop_after=7.0)


def test_the_shortest_example_of_a_canje_that_is_retried() -> None:
    example = rule_two("canje", CANJE, Route("always"))
    assert example is not None and example.rule == 2
    assert example.events == (
        "canje is sent to a1 at 0 s",
        "its connection to a1 breaks before the answer",
        "canje is sent again to a1 at 0 s: it may run twice",
    )


def test_a_key_is_left_by_zone_by_cell_and_by_time() -> None:
    anywhere = rule_two("reserva", RESERVA, replace(KEYED, retry_within="all"))
    assert anywhere is not None and "outside the zone" in anywhere.events[-1] and "b1" in anywhere.events[-1]
    cells = rule_two("reserva", replace(RESERVA, group="cell"), KEYED)
    assert cells is not None and "outside the cell" in cells.events[-1] and "a3" in cells.events[-1]
    late = rule_two("reserva", replace(RESERVA, window=2.0), KEYED)
    assert late is not None and "forgotten" in late.events[-1]
    assert late.events[2] == "2.001 s have passed since the first try"


def test_what_the_deadline_ends_before_the_key_is_forgotten_is_safe() -> None:
    assert rule_two("reserva", replace(RESERVA, window=4.0), replace(KEYED, retry_for=60.0)) is None
    assert rule_two("reserva", replace(RESERVA, window=3.9), replace(KEYED, retry_for=60.0)) is not None
    assert rule_two("reserva", replace(RESERVA, window=3.9), replace(KEYED, retry_for=3.0)) is None


@pytest.mark.parametrize("cls", [CANJE, RESERVA, STOCK], ids=["canje", "reserva", "stock"])
def test_two_attempts_out_at_once_break_the_rule_for_every_class(cls: Class) -> None:
    example = rule_two("x", cls, Route("never", hedge=True))
    assert example is not None and example.events[-1].endswith("a second attempt while one is out")
    assert rule_two("x", cls, Route("never", hedge=True, attempts=1)) is None


def test_all_combinations_agree_with_the_rule_as_it_is_written() -> None:
    """The search against the rule in one sentence: unsafe only where nothing may have run; keyed only
    within its group and window; one attempt out at a time."""
    rank = {"cell": 0, "zone": 1, "all": 2}
    count = 0
    for effect, group, window, retry, within, times, attempts, hedge in product(
        ("repeatable", "by-key", "once"),
        ("cell", "zone", "all"),
        (1.0, 3.0, 9.0),
        ("never", "never-ran", "by-key", "always"),
        ("cell", "zone", "all"),
        (0.5, 2.0, 60.0),
        (1, 2, 5),
        (False, True),
    ):
        cls = Class(effect, 1.0, 4.0, 1.0, group, window if effect == "by-key" else 0.0)
        route = Route(retry, within, times, attempts, hedge)
        resent = attempts > 1 and retry in ("by-key", "always")
        if hedge and attempts > 1:
            broken = True
        elif effect == "repeatable" or not resent:
            broken = False
        elif effect == "once":
            broken = True
        elif retry == "always":
            broken = group != "all" or window < 4.0
        else:
            broken = rank[within] > rank[group] or window < min(times, 4.0)
        found = rule_two("x", cls, route)
        assert (found is not None) == broken, (cls, route, found)
        count += 1
    assert count == 5832


def test_the_other_rules() -> None:
    assert rule_one("canje", CANJE, TIER) is None
    early = rule_one("canje", CANJE, replace(TIER, stop_after=5.0))
    assert early is not None and "SIGKILL comes 5 s later" in early.events[-1]
    assert rule_three("portal", TIER) is None and rule_three("portal", replace(TIER, drain=GRACE)) is None
    assert rule_three("portal", replace(TIER, drain=2.5)) is not None
    assert rule_four("portal", TIER) is None and rule_four("portal", replace(TIER, push=3.0)) is not None
    assert rule_four("portal", replace(TIER, push=9.0, cold_from=1.0)) is None
