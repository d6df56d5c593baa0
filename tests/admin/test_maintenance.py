"""The maintenance overlay on endpoint lists, its record, and the file that two processes share."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from service_proxy.admin.errors import UnknownEndpointError
from service_proxy.admin.maintenance import MaintenanceOverlay
from service_proxy.admin.shared_record import SharedRecord
from service_proxy.net.endpoint_list import Endpoint, EndpointList, endpoint_id_of
from service_proxy.policy.events import EndpointEntry, EndpointState

WALL_OFFSET = 1000.0  # wall less monotonic, s
SERVING = EndpointState.SERVING
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED


def endpoint(name: str, state: EndpointState = SERVING, started_at: float = 0.0) -> Endpoint:
    return Endpoint(
        ("127.0.0.1", 1), EndpointEntry(endpoint_id_of(name), state=state, started_at=started_at), name
    )


def endpoint_list(*backends: Endpoint, is_snapshot: bool = True) -> EndpointList:
    return EndpointList(1, is_snapshot, list(backends))


def overlay_of(*names: str) -> MaintenanceOverlay:
    made = MaintenanceOverlay(WALL_OFFSET, slow_start_window_s=20.0)
    made.apply(endpoint_list(*(endpoint(name) for name in names)))
    return made


def state_by_name(of: EndpointList) -> dict[str, EndpointState]:
    return {backend.name: backend.entry.state for backend in of.endpoints}


def test_an_endpoint_in_maintenance_drains_whatever_is_listed_until_it_is_put_back() -> None:
    made = overlay_of("a", "b")
    assert state_by_name(made.start_maintenance("a", 2000.0)) == {"a": DRAINING}
    assert state_by_name(made.apply(endpoint_list(endpoint("a"), endpoint("b")))) == {
        "a": DRAINING,
        "b": SERVING,
    }
    assert state_by_name(made.apply(endpoint_list(endpoint("a", REMOVED), is_snapshot=False))) == {
        "a": REMOVED
    }
    assert state_by_name(made.apply(endpoint_list(endpoint("a", started_at=990.0), is_snapshot=False))) == {
        "a": DRAINING
    }
    assert state_by_name(made.end_maintenance("a", 2005.0)) == {"a": SERVING}
    assert state_by_name(made.apply(endpoint_list(endpoint("a"), endpoint("b")))) == {
        "a": SERVING,
        "b": SERVING,
    }


def test_a_second_start_changes_nothing_and_one_end_undoes_both() -> None:
    made = overlay_of("a")
    made.start_maintenance("a", 2000.0)
    made.start_maintenance("a", 2001.0)
    assert made.in_maintenance == {"a": 2000.0}
    made.end_maintenance("a", 2002.0)
    assert not made.in_maintenance
    assert made.end_maintenance("a", 2003.0).endpoints == []  # in use already: nothing starts anew
    assert made.reinstated_at == {"a": 2002.0}


def test_an_endpoint_that_came_back_warms_up_from_that_moment_and_is_reinstated_once() -> None:
    made = overlay_of("a")
    made.start_maintenance("a", 2000.0)
    (back,) = made.end_maintenance("a", 2010.0).endpoints
    assert back.entry.started_at == 2010.0 - WALL_OFFSET and back.entry.reinstated
    (again,) = made.apply(endpoint_list(endpoint("a", started_at=1005.0))).endpoints  # its restart, told late
    assert again.entry.started_at == 2010.0 - WALL_OFFSET and not again.entry.reinstated
    (later,) = made.apply(endpoint_list(endpoint("a", started_at=1500.0))).endpoints
    assert later.entry.started_at == 1500.0  # a later restart of its own


def test_an_endpoint_listed_again_after_it_was_put_back_is_still_reinstated() -> None:
    made = overlay_of("a")
    made.start_maintenance("a", 2000.0)
    made.apply(endpoint_list(endpoint("a", REMOVED), is_snapshot=False))
    assert made.end_maintenance("a", 2003.0).endpoints == []
    (back,) = made.apply(endpoint_list(endpoint("a"), is_snapshot=False)).endpoints
    assert back.entry.reinstated and back.entry.state is SERVING


def test_an_unknown_name_is_refused_and_one_in_maintenance_is_known_though_unlisted() -> None:
    made = overlay_of("a")
    with pytest.raises(UnknownEndpointError):
        made.start_maintenance("b", 2000.0)
    with pytest.raises(UnknownEndpointError):
        made.end_maintenance("b", 2000.0)
    made.start_maintenance("a", 2000.0)
    made.apply(endpoint_list())
    made.start_maintenance("a", 2001.0)
    made.end_maintenance("a", 2002.0)
    with pytest.raises(UnknownEndpointError):
        made.start_maintenance("a", 2003.0)


def test_the_next_process_takes_over_maintenance_and_reinstatements() -> None:
    old = overlay_of("a", "b")
    new = overlay_of("a", "b")
    old.start_maintenance("a", 2000.0)
    assert state_by_name(new.apply_record(old.encode_record(2000.0))) == {"a": DRAINING}
    old.end_maintenance("a", 2004.0)
    (back,) = new.apply_record(old.encode_record(2004.0)).endpoints
    assert (
        back.entry.state is SERVING
        and back.entry.reinstated
        and back.entry.started_at == 2004.0 - WALL_OFFSET
    )
    assert new.apply_record(old.encode_record(2004.0)).endpoints == []  # unchanged
    first = MaintenanceOverlay(WALL_OFFSET, 20.0)
    first.apply_record(old.encode_record(2004.0))  # before it has any list
    assert first.apply(endpoint_list(endpoint("a"))).endpoints[0].entry.started_at == 2004.0 - WALL_OFFSET
    assert json.loads(old.encode_record(2024.1))["back"] == {}  # warm by now


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{}",
        "[]",
        '{"version":1}',
        '{"version":1,"out":{"a":"x"},"back":{}}',
        '{"version":1,"out":{"b":null},"back":{}}',
        '{"version":1,"out":{},"back":{"a":null}}',
        '{"version":1,"out":{"b":[2000.0]},"back":{}}',
        pytest.param('{"version":1,"out":{"b":1' + "0" * 400 + '},"back":{}}', id="too large for a float"),
    ],
)
def test_an_invalid_record_changes_nothing(text: str) -> None:
    made = overlay_of("a")
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
def test_an_endpoint_in_maintenance_never_serves_whatever_is_requested_and_listed(
    steps: list[tuple[str, object]],
) -> None:
    """Also over any number of hot restarts: the last request on each name decides."""
    made = overlay_of(*"abc")
    expected_in_use = dict.fromkeys("abc", True)
    now = 2000.0
    last_states: dict[str, EndpointState] = {}
    for action, subject in steps:
        now += 1
        try:
            if action == "out":
                last_states |= state_by_name(made.start_maintenance(str(subject), now))
                expected_in_use[str(subject)] = False
            elif action == "back":
                last_states |= state_by_name(made.end_maintenance(str(subject), now))
                expected_in_use[str(subject)] = True
            elif action == "list":
                assert isinstance(subject, set)
                last_states = state_by_name(made.apply(endpoint_list(*map(endpoint, sorted(subject)))))
            else:
                following = overlay_of(*made.endpoints)
                following.apply_record(made.encode_record(now))
                following.apply(endpoint_list(*made.endpoints.values()))
                made = following
        except UnknownEndpointError:
            assert subject not in made.endpoints and subject not in made.in_maintenance
        assert set(made.in_maintenance) == {name for name, serves in expected_in_use.items() if not serves}
        assert all(expected_in_use[name] == (state is SERVING) for name, state in last_states.items())


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
