"""The overlay of maintenance on lists, and its record. Pure; the record's file with two writers."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from service_proxy.admin.maintenance import MaintenanceOverlay, UnknownEndpointError
from service_proxy.admin.shared_record import SharedRecord
from service_proxy.net.listing import Listed, Listing, server_id
from service_proxy.policy.events import EndpointEntry, EndpointState

OFFSET = 1000.0  # wall less monotonic, s
SERVING = EndpointState.SERVING
DRAINING = EndpointState.DRAINING
GONE = EndpointState.REMOVED


def listed(name: str, state: EndpointState = SERVING, started_at: float = 0.0) -> Listed:
    return Listed(("127.0.0.1", 1), EndpointEntry(server_id(name), state=state, started_at=started_at), name)


def listing(*backends: Listed, whole: bool = True) -> Listing:
    return Listing(1, whole, list(backends))


def maintenance(*names: str) -> MaintenanceOverlay:
    made = MaintenanceOverlay(OFFSET, slow_start_window_s=20.0)
    made.apply(listing(*(listed(name) for name in names)))
    return made


def states(of: Listing) -> dict[str, EndpointState]:
    return {backend.name: backend.entry.state for backend in of.backends}


def test_what_is_out_drains_whatever_is_listed_until_it_is_put_back() -> None:
    made = maintenance("a", "b")
    assert states(made.start_maintenance("a", 2000.0)) == {"a": DRAINING}
    assert states(made.apply(listing(listed("a"), listed("b")))) == {"a": DRAINING, "b": SERVING}
    assert states(made.apply(listing(listed("a", GONE), whole=False))) == {"a": GONE}
    assert states(made.apply(listing(listed("a", started_at=990.0), whole=False))) == {"a": DRAINING}
    assert states(made.end_maintenance("a", 2005.0)) == {"a": SERVING}
    assert states(made.apply(listing(listed("a"), listed("b")))) == {"a": SERVING, "b": SERVING}


def test_a_second_call_out_changes_nothing_and_one_call_back_undoes_both() -> None:
    made = maintenance("a")
    made.start_maintenance("a", 2000.0)
    made.start_maintenance("a", 2001.0)
    assert made.in_maintenance == {"a": 2000.0}
    made.end_maintenance("a", 2002.0)
    assert not made.in_maintenance
    assert made.end_maintenance("a", 2003.0).backends == []  # in use already: nothing starts anew
    assert made.reinstated_at == {"a": 2002.0}


def test_what_came_back_is_cold_from_that_moment_and_owed_one_call() -> None:
    made = maintenance("a")
    made.start_maintenance("a", 2000.0)
    (back,) = made.end_maintenance("a", 2010.0).backends
    assert back.entry.started_at == 2010.0 - OFFSET and back.entry.reinstated
    (again,) = made.apply(listing(listed("a", started_at=1005.0))).backends  # its restart, told late
    assert again.entry.started_at == 2010.0 - OFFSET and not again.entry.reinstated
    (later,) = made.apply(listing(listed("a", started_at=1500.0))).backends
    assert later.entry.started_at == 1500.0  # a later restart of its own


def test_a_backend_that_comes_back_to_the_list_after_it_was_put_back_is_still_owed_its_call() -> None:
    made = maintenance("a")
    made.start_maintenance("a", 2000.0)
    made.apply(listing(listed("a", GONE), whole=False))
    assert made.end_maintenance("a", 2003.0).backends == []
    (back,) = made.apply(listing(listed("a"), whole=False)).backends
    assert back.entry.reinstated and back.entry.state is SERVING


def test_an_unknown_name_is_told_so_and_one_that_is_out_is_known_though_it_is_gone() -> None:
    made = maintenance("a")
    with pytest.raises(UnknownEndpointError):
        made.start_maintenance("b", 2000.0)
    with pytest.raises(UnknownEndpointError):
        made.end_maintenance("b", 2000.0)
    made.start_maintenance("a", 2000.0)
    made.apply(listing())
    made.start_maintenance("a", 2001.0)
    made.end_maintenance("a", 2002.0)
    with pytest.raises(UnknownEndpointError):
        made.start_maintenance("a", 2003.0)


def test_the_next_process_takes_over_what_is_out_and_what_came_back() -> None:
    old = maintenance("a", "b")
    new = maintenance("a", "b")
    old.start_maintenance("a", 2000.0)
    assert states(new.apply_record(old.encode_record(2000.0))) == {"a": DRAINING}
    old.end_maintenance("a", 2004.0)
    (back,) = new.apply_record(old.encode_record(2004.0)).backends
    assert back.entry.state is SERVING and back.entry.reinstated and back.entry.started_at == 2004.0 - OFFSET
    assert new.apply_record(old.encode_record(2004.0)).backends == []  # no news
    first = MaintenanceOverlay(OFFSET, 20.0)
    first.apply_record(old.encode_record(2004.0))  # before it has any list
    assert first.apply(listing(listed("a"))).backends[0].entry.started_at == 2004.0 - OFFSET
    assert json.loads(old.encode_record(2024.1))["back"] == {}  # warm by now


@pytest.mark.parametrize("text", ["", "{}", "[]", '{"version":1}', '{"version":1,"out":{"a":"x"},"back":{}}'])
def test_a_record_that_cannot_be_used_changes_nothing(text: str) -> None:
    made = maintenance("a")
    made.start_maintenance("a", 2000.0)
    with pytest.raises(ValueError):
        made.apply_record(text)
    assert set(made.in_maintenance) == {"a"}


NAMES = st.sampled_from("abc")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("out"), NAMES),
        st.tuples(st.just("back"), NAMES),
        st.tuples(st.just("list"), st.sets(NAMES)),
        st.tuples(st.just("next"), st.none()),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_whatever_is_called_and_listed_what_is_out_never_serves(steps: list[tuple[str, object]]) -> None:
    """Also over any number of upgrades: the last word on each name is the staff's."""
    made = maintenance(*"abc")
    word = dict.fromkeys("abc", True)
    now = 2000.0
    shown: dict[str, EndpointState] = {}
    for what, of in steps:
        now += 1
        try:
            if what == "out":
                shown |= states(made.start_maintenance(str(of), now))
                word[str(of)] = False
            elif what == "back":
                shown |= states(made.end_maintenance(str(of), now))
                word[str(of)] = True
            elif what == "list":
                assert isinstance(of, set)
                shown = states(made.apply(listing(*map(listed, sorted(of)))))
            else:
                following = maintenance(*made.endpoints)
                following.apply_record(made.encode_record(now))
                following.apply(listing(*made.endpoints.values()))
                made = following
        except UnknownEndpointError:
            assert of not in made.endpoints and of not in made.in_maintenance
        assert set(made.in_maintenance) == {name for name, serves in word.items() if not serves}
        assert all(word[name] == (state is SERVING) for name, state in shown.items())


def test_two_processes_share_one_record(tmp_path: Path) -> None:
    one = SharedRecord(tmp_path / "x.record")
    two = SharedRecord(tmp_path / "x.record")
    assert one.read_if_changed() is None
    one.write("1")
    assert one.read_if_changed() is None  # its own
    assert two.read_if_changed() == "1" and two.read_if_changed() is None
    two.write("2")
    assert one.read_if_changed() == "2"
    assert [path.name for path in tmp_path.iterdir()] == ["x.record"]


def test_a_record_that_cannot_be_written_stays_as_it_was(tmp_path: Path) -> None:
    store = SharedRecord(tmp_path / "gone" / "x.record")
    with pytest.raises(OSError):
        store.write("1")
    assert store.read_if_changed() is None
