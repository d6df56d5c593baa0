"""Whose call is whose: by reference, by id, by key, in this order; and what is forgotten, and when."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.accounts import root
from service_proxy.deadlines.correlation import KEPT, MOST_ID, Correlation, Entry


def known(table: Correlation, reference: str, call: bytes, key: bytes = b"", cls: str = "stock") -> Entry:
    return table.add(reference, call, key, cls, root(3, 9.0, 9.0, 1.0, cls, "0" * 16))


def test_the_field_goes_before_the_ids_and_these_before_the_key() -> None:
    table = Correlation()
    one, two, three = (known(table, f"r{n}", b"call-%d" % n, b"key", "reserva") for n in range(3))
    assert table.find("r2", b"call-1", b"key", "reserva") is three
    assert table.find(None, b"call-1", b"key", "reserva") is two
    assert table.find(None, b"call-0.1", b"", "canje") is one


@pytest.mark.parametrize("call", [b"ab", b"ab.1", b"ab-x", b"ab/2/3", b"ab:7.1"])
def test_a_calls_id_may_be_or_begin_with_its_requests(call: bytes) -> None:
    table = Correlation()
    entry = known(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is entry


@pytest.mark.parametrize("call", [b"abc", b"a", b"abc.1", b".ab", b"", b"xab"])
def test_ids_that_only_look_alike_are_unknown(call: bytes) -> None:
    table = Correlation()
    known(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is None


def test_the_longest_id_that_fits_wins() -> None:
    table = Correlation()
    known(table, "short", b"ab")
    longer = known(table, "long", b"ab.1")
    assert table.find(None, b"ab.1.2", b"", "stock") is longer


def test_a_key_counts_while_exactly_one_open_request_of_the_class_has_it() -> None:
    table = Correlation()
    one = known(table, "r1", b"a", b"key", "reserva")
    assert table.find(None, b"zz", b"key", "reserva") is one
    assert table.find(None, b"zz", b"key", "otro") is None
    two = known(table, "r2", b"b", b"key", "reserva")  # an outer retry: a new id with the same key
    assert table.find(None, b"zz", b"key", "reserva") is None
    table.end(one, 1.0)
    assert table.find(None, b"zz", b"key", "reserva") is two


def test_a_reference_that_nobody_gave_is_unknown_whatever_else_fits() -> None:
    table = Correlation()
    known(table, "r", b"ab")
    assert table.find("forged", b"ab", b"", "stock") is None


def test_a_request_that_ended_is_known_for_a_while_and_then_forgotten() -> None:
    table = Correlation()
    entry = known(table, "r", b"ab")
    table.end(entry, 1.0)
    table.end(entry, 5.0)
    table.forget(1.0 + KEPT - 0.001)
    assert table.find("r", b"", b"", "stock") is entry
    table.forget(1.0 + KEPT)
    assert table.find("r", b"ab", b"", "stock") is None and len(table) == 0
    assert not table.by_call and not table.by_key and not table.ended and not table.open


def test_a_full_table_forgets_first_what_ended_first_then_the_oldest() -> None:
    table = Correlation(most=3)
    one, two, three = (known(table, f"r{n}", b"call%d" % n, b"k%d" % n) for n in range(3))
    table.end(two, 1.0)
    known(table, "r3", b"call3")
    assert table.find("r1", b"", b"", "stock") is None and table.find("r0", b"", b"", "stock") is one
    known(table, "r4", b"call4")
    assert table.find("r0", b"", b"", "stock") is None and table.find("r2", b"", b"", "stock") is three
    assert (len(table), table.evicted) == (3, 2)
    table.end(one, 2.0)  # it was pushed out: nothing to end
    assert len(table) == 3 and len(table.by_call) == 3


def test_ids_of_no_sensible_length_are_not_kept() -> None:
    table = Correlation()
    known(table, "r", b"a" * (MOST_ID + 1), b"k" * (MOST_ID + 1))
    assert not table.by_call and not table.by_key
    assert table.find(None, b"a" * (MOST_ID + 1), b"", "stock") is None


def test_one_id_of_two_requests_is_the_later_ones_and_the_first_end_takes_nothing_from_it() -> None:
    table = Correlation(most=2)
    known(table, "r1", b"ab")
    later = known(table, "r2", b"ab")
    known(table, "r3", b"cd")  # pushes r1 out
    assert table.find(None, b"ab", b"", "stock") is later
