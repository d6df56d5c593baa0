"""Tests of the children cache: reads and watch events in any order."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from service_proxy.ephemeral_nodes import children_cache as children_cache_module
from service_proxy.ephemeral_nodes.children_cache import ChildrenCache
from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, find_name_problem, parse_node
from service_proxy.ephemeral_nodes.records import Stat


def node(name: str, **changes: object) -> EndpointNode:
    return replace(EndpointNode(name, "127.0.0.1:8081", "a", "m", 1, 1.0, 1000), **changes)  # type: ignore[arg-type]


def stat(czxid: int = 5, mzxid: int = 5, owner: int = 9) -> Stat:
    return Stat(czxid, mzxid, 0, 0, 0, 0, 0, owner, 0, 0, czxid)


def cache_with(*names: str) -> ChildrenCache:
    cache = ChildrenCache()
    cache.on_names(names)
    for name in names:
        assert cache.next_read() == name
        assert cache.on_data(name, node(name).encode(), stat()).present == [node(name)]
    assert cache.is_complete
    return cache


def test_new_names_are_read_once_and_absent_ones_lost() -> None:
    cache = cache_with("s-1", "s-2")
    changes = cache.on_names(["s-2", "s-3"])
    assert changes.lost == ["s-1"] and list(cache.pending_reads) == ["s-3"]
    assert not cache.on_names(["s-2", "s-3"]) and list(cache.pending_reads) == ["s-3"]


def test_a_thousand_changes_of_one_node_need_one_read() -> None:
    cache = cache_with("s-1")
    for _ in range(1000):
        cache.on_watch_event(EventType.DATA_CHANGED, "s-1")
    assert list(cache.pending_reads) == ["s-1"]


def test_a_recreation_between_two_reads_is_detected_by_its_data() -> None:
    """The names stay the same, so only a read of the data reveals the new start time."""
    cache = cache_with("s-1")
    assert not cache.on_names(["s-1"])
    cache.invalidate_all()
    assert cache.next_read() == "s-1"
    changes = cache.on_data("s-1", node("s-1", since_ms=9000).encode(), stat(8, 8))
    assert [entry.since_ms for entry in changes.present] == [9000] and not changes.lost


def test_an_older_read_changes_nothing() -> None:
    cache = cache_with("s-1")
    cache.on_data("s-1", node("s-1", status="Terminating").encode(), stat(5, 9))
    assert not cache.on_data("s-1", node("s-1").encode(), stat(5, 7))
    assert cache.nodes()[0].status == "Terminating"


def test_deleted_then_created_then_changed_in_order() -> None:
    cache = cache_with("s-1")
    assert cache.on_watch_event(EventType.DELETED, "s-1").lost == ["s-1"]
    assert not cache.on_watch_event(EventType.CREATED, "s-1") and list(cache.pending_reads) == ["s-1"]
    # The node was not read since its creation, so no loss is reported.
    assert not cache.on_watch_event(EventType.DELETED, "s-1").lost
    assert not cache.pending_reads


INVALID_DATA = {
    "no JSON": b"{",
    "no object": b"[]",
    "deep": b"[" * 100_000,
    "no name": b"{}",
    "another's name": node("s-9").encode(),
    "no address": json.dumps({"name": "s-1"}).encode(),
    "address without a port": node("s-1", address="127.0.0.1").encode(),
    "port 0": node("s-1", address="127.0.0.1:0").encode(),
    "zone of a number": json.dumps({"name": "s-1", "address": "1:1", "zone": 3}).encode(),
    "group of a fraction": json.dumps({"name": "s-1", "address": "1:1", "group": 1.5}).encode(),
    "group of true": json.dumps({"name": "s-1", "address": "1:1", "group": True}).encode(),
    "weight of nan": json.dumps({"name": "s-1", "address": "1:1", "weight": float("nan")}).encode(),
    "weight below zero": node("s-1", weight=-1.0).encode(),
    "status gone": node("s-1", status="Gone").encode(),
    "too large": node("s-1", zone="a" * 5000).encode(),
    "no UTF-8": b'{"name":"s-1\xff"}',
}


@pytest.mark.parametrize("data", INVALID_DATA.values(), ids=INVALID_DATA)
def test_bad_data_hides_that_node_only_and_is_reported_once(data: bytes) -> None:
    cache = ChildrenCache()
    cache.on_names(["s-1", "s-2"])
    first = cache.on_data("s-1", data, stat())
    assert [name for name, _ in first.hidden] == ["s-1"] and not first.present and not first.lost
    assert not cache.on_data("s-1", data, stat(5, 6)).hidden
    assert cache.on_data("s-2", node("s-2").encode(), stat()).present
    assert [entry.name for entry in cache.nodes()] == ["s-2"]
    assert cache.on_data("s-1", node("s-1").encode(), stat(5, 7)).present  # The data is valid again.
    # Bad data is not an end.
    assert cache.on_data("s-1", data, stat(5, 8)).hidden and len(cache.nodes()) == 2


def test_a_new_registration_with_bad_data_ends_the_old_one() -> None:
    cache = cache_with("s-1")
    changes = cache.on_data("s-1", b"{", stat(8, 8))
    assert changes.lost == ["s-1"] and changes.hidden


def test_a_node_that_is_not_ephemeral_is_hidden() -> None:
    cache = ChildrenCache()
    cache.on_names(["s-1"])
    assert "not ephemeral" in cache.on_data("s-1", node("s-1").encode(), stat(owner=0)).hidden[0][1]


NAMES = ["", "a/b", "a\x00b", "a\x1f", "a\u202eb", "n\u0303", "x" * 256, "\ud800"]


@pytest.mark.parametrize("name", NAMES, ids=ascii)
def test_names_that_no_endpoint_can_have_are_hidden(name: str) -> None:
    assert find_name_problem(name)
    cache = ChildrenCache()
    changes = cache.on_names(["s-1", name])
    assert [hidden for hidden, _ in changes.hidden] == [name] and list(cache.pending_reads) == ["s-1"]
    assert not cache.on_names(["s-1", name]).hidden  # The problem is reported only once.
    cache.on_watch_event(EventType.CREATED, name)
    assert list(cache.pending_reads) == ["s-1"]


def test_names_that_differ_in_case_or_are_unicode_are_endpoints() -> None:
    for name in ("S-1", "s-1", "sala ñ", "日本"):
        assert find_name_problem(name) is None
        assert parse_node(name, node(name).encode()) == node(name)
    assert len(cache_with("S-1", "s-1").nodes()) == 2


def test_beyond_the_bound_new_names_are_hidden(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(children_cache_module, "MAX_CHILDREN", 2)
    cache = cache_with("s-1", "s-2")
    assert [name for name, _ in cache.on_watch_event(EventType.CREATED, "s-3").hidden] == ["s-3"]
    assert [name for name, _ in cache.on_names(["s-1", "s-2", "s-4"]).hidden] == ["s-4"]
    assert len(cache.children_by_name) == 2


def test_snapshot_nodes_stay_until_a_read_replaces_or_removes_them() -> None:
    cache = ChildrenCache()
    cache.preload([node("s-1"), node("s-2")])
    assert len(cache.nodes()) == 2 and not cache.is_complete
    assert cache.on_names(["s-2"]).lost == ["s-1"]
    cache.invalidate_all()
    assert not cache.on_data("s-2", node("s-2").encode(), stat())  # The data equals the snapshot's.


NAME = st.sampled_from(["s-1", "s-2", "s-3"])
STEP = st.one_of(
    st.tuples(st.just("create"), NAME),
    st.tuples(st.just("delete"), NAME),
    st.tuples(st.just("change"), NAME),
    st.tuples(st.just("unseen"), NAME),
    st.tuples(st.just("read"), NAME),
    st.tuples(st.just("names"), NAME),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_after_any_changes_the_cache_equals_the_service(steps: list[tuple[str, str]]) -> None:
    """Compare the cache with a model of the service, with missed watch events and reads at any time.

    After a final read of the names and of all pending children, both must be equal, and each loss must be of
    a name that was present.
    """
    service: dict[str, tuple[EndpointNode, Stat]] = {}
    zxid = 10
    cache = ChildrenCache()
    present: set[str] = set()

    def apply_changes(changes: children_cache_module.ChildChanges) -> None:
        for lost in changes.lost:
            assert lost in present
            present.discard(lost)
        present.update(entry.name for entry in changes.present)

    def read_pending() -> None:
        while (name := cache.next_read()) is not None:
            if name in service:
                found, known_stat = service[name]
                apply_changes(cache.on_data(name, found.encode(), known_stat))
            else:
                apply_changes(cache.on_absent(name))

    for action, name in steps:
        zxid += 1
        if action == "create" and name not in service:
            service[name] = node(name, since_ms=zxid), stat(zxid, zxid)
            apply_changes(cache.on_watch_event(EventType.CREATED, name))
        elif action == "delete" and name in service:
            del service[name]
            apply_changes(cache.on_watch_event(EventType.DELETED, name))
        elif action == "change" and name in service:
            found, known_stat = service[name]
            service[name] = replace(found, weight=float(zxid)), replace(known_stat, mzxid=zxid)
            apply_changes(cache.on_watch_event(EventType.DATA_CHANGED, name))
        elif action == "unseen":
            if name in service:
                del service[name]
            else:
                service[name] = node(name, since_ms=zxid), stat(zxid, zxid)
        elif action == "read":
            read_pending()
        elif action == "names":
            apply_changes(cache.on_names(sorted(service)))
    apply_changes(cache.on_names(sorted(service)))
    cache.invalidate_all()
    read_pending()
    assert {entry.name: entry for entry in cache.nodes()} == {
        name: found for name, (found, _) in service.items()
    }
    assert present == set(service)
