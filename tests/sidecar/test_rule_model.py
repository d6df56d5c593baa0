"""Model of the four rules: the breaches that it finds, its counterexamples, and the accepted settings."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from service_proxy.sidecar.model import ClassDescription, Route, Tier
from service_proxy.sidecar.rule_model import MAX_DRAIN_S, rule_four, rule_one, rule_three, rule_two

CANJE = ClassDescription("once", 2.5, 6.0)
RESERVA = ClassDescription("by-key", 1.5, 4.0, 1.0, "zone", 6.0)
STOCK = ClassDescription("repeatable", 0.5, 1.2)
KEYED = Route("by-key", "zone", 6.0)
TIER = Tier(("a", "b"), ("canje",), 16, stop_after=7.0)


def test_the_shortest_example_of_a_canje_that_is_retried() -> None:
    example = rule_two("canje", CANJE, Route("always"))
    assert example is not None
    assert example.rule == 2
    assert example.events == (
        "canje is sent to a1 at 0 s",
        "its connection to a1 breaks before the answer",
        "canje is sent again to a1 at 0 s: it may run twice",
    )


def test_a_keyed_retry_outside_its_zone_its_cell_or_its_window_breaks_rule_2() -> None:
    anywhere = rule_two("reserva", RESERVA, replace(KEYED, retry_within="all"))
    assert anywhere is not None
    assert "outside the zone" in anywhere.events[-1]
    assert "b1" in anywhere.events[-1]
    cells = rule_two("reserva", replace(RESERVA, group="cell"), KEYED)
    assert cells is not None
    assert "outside the cell" in cells.events[-1]
    assert "a3" in cells.events[-1]
    expired = rule_two("reserva", replace(RESERVA, window=2.0), KEYED)
    assert expired is not None
    assert "its key has expired" in expired.events[-1]
    assert expired.events[2] == "2.001 s have passed since the first attempt"


def test_a_deadline_before_the_end_of_the_window_is_safe() -> None:
    assert rule_two("reserva", replace(RESERVA, window=4.0), replace(KEYED, retry_for=60.0)) is None
    assert rule_two("reserva", replace(RESERVA, window=3.9), replace(KEYED, retry_for=60.0)) is not None
    assert rule_two("reserva", replace(RESERVA, window=3.9), replace(KEYED, retry_for=3.0)) is None


@pytest.mark.parametrize("cls", [CANJE, RESERVA, STOCK], ids=["canje", "reserva", "stock"])
def test_two_attempts_in_flight_break_the_rule_for_every_class(cls: ClassDescription) -> None:
    example = rule_two("x", cls, Route("never", hedge=True))
    assert example is not None
    assert example.events[-1].endswith("a second attempt while one is in flight")
    assert rule_two("x", cls, Route("never", hedge=True, attempts=1)) is None


def test_all_combinations_agree_with_the_rule_as_written() -> None:
    """Compare the search with the second rule, written as one expression.

    A class that is not idempotent is retried only if nothing may have run, and a class that is idempotent
    with a key only within its group and window. At most one attempt is in flight at a time.
    """
    scope = {"cell": 0, "zone": 1, "all": 2}
    count = 0
    for effect, group, window, retry, retry_within, retry_for, attempts, hedge in product(
        ("repeatable", "by-key", "once"),
        ("cell", "zone", "all"),
        (1.0, 3.0, 9.0),
        ("never", "never-ran", "by-key", "always"),
        ("cell", "zone", "all"),
        (0.5, 2.0, 60.0),
        (1, 2, 5),
        (False, True),
    ):
        cls = ClassDescription(effect, 1.0, 4.0, 1.0, group, window if effect == "by-key" else 0.0)
        route = Route(retry, retry_within, retry_for, attempts, hedge)
        is_retried = attempts > 1 and retry in ("by-key", "always")
        if hedge and attempts > 1:
            is_breach = True
        elif effect == "repeatable" or not is_retried:
            is_breach = False
        elif effect == "once":
            is_breach = True
        elif retry == "always":
            is_breach = group != "all" or window < 4.0
        else:
            is_breach = scope[retry_within] > scope[group] or window < min(retry_for, 4.0)
        example = rule_two("x", cls, route)
        assert (example is not None) == is_breach, (cls, route, example)
        count += 1
    assert count == 5832


def test_rules_1_3_and_4() -> None:
    assert rule_one("canje", CANJE, TIER) is None
    killed = rule_one("canje", CANJE, replace(TIER, stop_after=5.0))
    assert killed is not None
    assert "the host sends SIGKILL 5 s later" in killed.events[-1]
    assert rule_three("portal", TIER) is None
    assert rule_three("portal", replace(TIER, drain=MAX_DRAIN_S)) is None
    assert rule_three("portal", replace(TIER, drain=2.5)) is not None
    assert rule_four("portal", TIER) is None
    assert rule_four("portal", replace(TIER, push=3.0)) is not None
    assert rule_four("portal", replace(TIER, push=9.0, cold_from=1.0)) is None
