"""Tests of the correlation table: precedence of reference, id and key; retention and eviction."""

from __future__ import annotations

import pytest

from service_proxy.deadlines.correlation import MAX_ID_BYTES, RETENTION_S, CorrelatedRequest, CorrelationTable
from service_proxy.deadlines.request_budget import root_budget


def add_request(
    table: CorrelationTable, reference: str, request_id: bytes, key: bytes = b"", cls: str = "stock"
) -> CorrelatedRequest:
    return table.add(reference, request_id, key, cls, root_budget(3, 9.0, 9.0, 1.0, cls, "0" * 16))


def test_reference_takes_precedence_over_ids_and_these_over_the_key() -> None:
    table = CorrelationTable()
    one, two, three = (add_request(table, f"r{n}", b"call-%d" % n, b"key", "reserva") for n in range(3))
    assert table.find("r2", b"call-1", b"key", "reserva") is three
    assert table.find(None, b"call-1", b"key", "reserva") is two
    assert table.find(None, b"call-0.1", b"", "canje") is one


@pytest.mark.parametrize("call", [b"ab", b"ab.1", b"ab-x", b"ab/2/3", b"ab:7.1"])
def test_calls_id_may_be_or_begin_with_its_requests(call: bytes) -> None:
    table = CorrelationTable()
    request = add_request(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is request


@pytest.mark.parametrize("call", [b"abc", b"a", b"abc.1", b".ab", b"", b"xab"])
def test_similar_ids_are_unknown(call: bytes) -> None:
    table = CorrelationTable()
    add_request(table, "r", b"ab")
    assert table.find(None, call, b"", "stock") is None


def test_longest_matching_id_is_found() -> None:
    table = CorrelationTable()
    add_request(table, "short", b"ab")
    longer = add_request(table, "long", b"ab.1")
    assert table.find(None, b"ab.1.2", b"", "stock") is longer


def test_key_finds_the_only_open_request_of_the_class_with_it() -> None:
    table = CorrelationTable()
    one = add_request(table, "r1", b"a", b"key", "reserva")
    assert table.find(None, b"zz", b"key", "reserva") is one
    assert table.find(None, b"zz", b"key", "otro") is None
    two = add_request(table, "r2", b"b", b"key", "reserva")  # A client's retry has a new id and the same key.
    assert table.find(None, b"zz", b"key", "reserva") is None
    table.end(one, 1.0)
    assert table.find(None, b"zz", b"key", "reserva") is two


def test_forged_reference_is_unknown_whatever_else_matches() -> None:
    table = CorrelationTable()
    add_request(table, "r", b"ab")
    assert table.find("forged", b"ab", b"", "stock") is None


def test_ended_request_is_known_until_its_retention_is_over() -> None:
    table = CorrelationTable()
    request = add_request(table, "r", b"ab")
    table.end(request, 1.0)
    table.end(request, 5.0)
    table.expire(1.0 + RETENTION_S - 0.001)
    assert table.find("r", b"", b"", "stock") is request
    table.expire(1.0 + RETENTION_S)
    assert table.find("r", b"ab", b"", "stock") is None and len(table) == 0
    assert not table.by_request_id and not table.by_key and not table.ended and not table.open


def test_full_table_evicts_the_first_ended_request_then_the_oldest_open_one() -> None:
    table = CorrelationTable(max_requests=3)
    one, two, three = (add_request(table, f"r{n}", b"call%d" % n, b"k%d" % n) for n in range(3))
    table.end(two, 1.0)
    add_request(table, "r3", b"call3")
    assert table.find("r1", b"", b"", "stock") is None and table.find("r0", b"", b"", "stock") is one
    add_request(table, "r4", b"call4")
    assert table.find("r0", b"", b"", "stock") is None and table.find("r2", b"", b"", "stock") is three
    assert (len(table), table.evicted_count) == (3, 2)
    table.end(one, 2.0)  # The request was evicted, so there is nothing to end.
    assert len(table) == 3 and len(table.by_request_id) == 3


def test_too_long_ids_are_not_stored() -> None:
    table = CorrelationTable()
    add_request(table, "r", b"a" * (MAX_ID_BYTES + 1), b"k" * (MAX_ID_BYTES + 1))
    assert not table.by_request_id and not table.by_key
    assert table.find(None, b"a" * (MAX_ID_BYTES + 1), b"", "stock") is None


def test_shared_id_finds_the_later_request_after_the_first_is_evicted() -> None:
    table = CorrelationTable(max_requests=2)
    add_request(table, "r1", b"ab")
    later = add_request(table, "r2", b"ab")
    add_request(table, "r3", b"cd")  # This request evicts r1.
    assert table.find(None, b"ab", b"", "stock") is later
