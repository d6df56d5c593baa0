"""Whose call is whose: by reference, by id, by key, in this order; and what is forgotten, and when."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.correlation import MAX_ID_BYTES, RETENTION_S, CorrelatedRequest, CorrelationTable
from service_proxy.deadlines.request_budget import root_budget


def known(
    table: CorrelationTable, reference: str, call: bytes, key: bytes = b"", cls: str = "stock"
) -> CorrelatedRequest:
    return table.add(reference, call, key, cls, root_budget(3, 9.0, 9.0, 1.0, cls, "0" * 16))


def test_reference_takes_precedence_over_ids_and_these_over_the_key() -> None:
    table = CorrelationTable()
    one, two, three = (known(table, f"r{n}", b"call-%d" % n, b"key", "reserva") for n in range(3))
    assert table.find("r2", b"call-1", b"key", "reserva") is three
    assert table.find(None, b"call-1", b"key", "reserva") is two
    assert table.find(None, b"call-0.1", b"", "canje") is one


@pytest.mark.parametrize("call", [b"ab", b"ab.1", b"ab-x", b"ab/2/3", b"ab:7.1"])
def test_calls_id_may_be_or_begin_with_its_requests(call: bytes) -> None:
    table = CorrelationTable()
    entry = known(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is entry


@pytest.mark.parametrize("call", [b"abc", b"a", b"abc.1", b".ab", b"", b"xab"])
def test_similar_ids_are_unknown(call: bytes) -> None:
    table = CorrelationTable()
    known(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is None


def test_longest_matching_id_wins() -> None:
    table = CorrelationTable()
    known(table, "short", b"ab")
    longer = known(table, "long", b"ab.1")
    assert table.find(None, b"ab.1.2", b"", "stock") is longer


def test_key_counts_while_exactly_one_open_request_of_the_class_has_it() -> None:
    table = CorrelationTable()
    one = known(table, "r1", b"a", b"key", "reserva")
    assert table.find(None, b"zz", b"key", "reserva") is one
    assert table.find(None, b"zz", b"key", "otro") is None
    two = known(table, "r2", b"b", b"key", "reserva")  # an outer retry: a new id with the same key
    assert table.find(None, b"zz", b"key", "reserva") is None
    table.end(one, 1.0)
    assert table.find(None, b"zz", b"key", "reserva") is two


def test_forged_reference_is_unknown_whatever_else_matches() -> None:
    table = CorrelationTable()
    known(table, "r", b"ab")
    assert table.find("forged", b"ab", b"", "stock") is None


def test_ended_request_is_known_until_its_retention_is_over() -> None:
    table = CorrelationTable()
    entry = known(table, "r", b"ab")
    table.end(entry, 1.0)
    table.end(entry, 5.0)
    table.expire(1.0 + RETENTION_S - 0.001)
    assert table.find("r", b"", b"", "stock") is entry
    table.expire(1.0 + RETENTION_S)
    assert table.find("r", b"ab", b"", "stock") is None and len(table) == 0
    assert not table.by_request_id and not table.by_key and not table.ended and not table.open


def test_full_table_evicts_first_what_ended_first_then_the_oldest() -> None:
    table = CorrelationTable(max_requests=3)
    one, two, three = (known(table, f"r{n}", b"call%d" % n, b"k%d" % n) for n in range(3))
    table.end(two, 1.0)
    known(table, "r3", b"call3")
    assert table.find("r1", b"", b"", "stock") is None and table.find("r0", b"", b"", "stock") is one
    known(table, "r4", b"call4")
    assert table.find("r0", b"", b"", "stock") is None and table.find("r2", b"", b"", "stock") is three
    assert (len(table), table.evicted_count) == (3, 2)
    table.end(one, 2.0)  # it was pushed out: nothing to end
    assert len(table) == 3 and len(table.by_request_id) == 3


def test_too_long_ids_are_not_stored() -> None:
    table = CorrelationTable()
    known(table, "r", b"a" * (MAX_ID_BYTES + 1), b"k" * (MAX_ID_BYTES + 1))
    assert not table.by_request_id and not table.by_key
    assert table.find(None, b"a" * (MAX_ID_BYTES + 1), b"", "stock") is None


def test_shared_id_belongs_to_the_later_request_and_survives_the_first_ones_end() -> None:
    table = CorrelationTable(max_requests=2)
    known(table, "r1", b"ab")
    later = known(table, "r2", b"ab")
    known(table, "r3", b"cd")  # pushes r1 out
    assert table.find(None, b"ab", b"", "stock") is later
