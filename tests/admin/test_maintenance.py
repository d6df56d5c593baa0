"""Tests of the maintenance overlay on endpoint lists, its record, and the file that two processes share."""

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

WALL_OFFSET = 1000.0  # wall time minus monotonic time, s
SERVING = EndpointState.SERVING
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED


def endpoint(name: str, state: EndpointState = SERVING, started_at: float = 0.0) -> Endpoint:
    return Endpoint(
        ("127.0.0.1", 1), EndpointEntry(endpoint_id_of(name), state=state, started_at=started_at), name
    )


def endpoint_list(*endpoints: Endpoint, is_snapshot: bool = True) -> EndpointList:
    return EndpointList(1, is_snapshot, list(endpoints))


def overlay_of(*names: str) -> MaintenanceOverlay:
    overlay = MaintenanceOverlay(WALL_OFFSET, slow_start_window_s=20.0)
    overlay.apply(endpoint_list(*(endpoint(name) for name in names)))
    return overlay


def state_by_name(listing: EndpointList) -> dict[str, EndpointState]:
    return {listed.name: listed.entry.state for listed in listing.endpoints}


def test_an_endpoint_in_maintenance_drains_whatever_is_listed_until_it_is_reinstated() -> None:
    overlay = overlay_of("a", "b")
    assert state_by_name(overlay.start_maintenance("a", 2000.0)) == {"a": DRAINING}
    assert state_by_name(overlay.apply(endpoint_list(endpoint("a"), endpoint("b")))) == {
        "a": DRAINING,
        "b": SERVING,
    }
    assert state_by_name(overlay.apply(endpoint_list(endpoint("a", REMOVED), is_snapshot=False))) == {
        "a": REMOVED
    }
    assert state_by_name(
        overlay.apply(endpoint_list(endpoint("a", started_at=990.0), is_snapshot=False))
    ) == {"a": DRAINING}
    assert state_by_name(overlay.end_maintenance("a", 2005.0)) == {"a": SERVING}
    assert state_by_name(overlay.apply(endpoint_list(endpoint("a"), endpoint("b")))) == {
        "a": SERVING,
        "b": SERVING,
    }


def test_a_second_start_changes_nothing_and_one_end_undoes_both() -> None:
    overlay = overlay_of("a")
    overlay.start_maintenance("a", 2000.0)
    overlay.start_maintenance("a", 2001.0)
    assert overlay.in_maintenance == {"a": 2000.0}
    overlay.end_maintenance("a", 2002.0)
    assert not overlay.in_maintenance
    # already in use: slow start does not begin again
    assert overlay.end_maintenance("a", 2003.0).endpoints == []
    assert overlay.reinstated_at == {"a": 2002.0}


def test_a_reinstated_endpoint_warms_up_from_its_reinstatement_and_is_flagged_once() -> None:
    overlay = overlay_of("a")
    overlay.start_maintenance("a", 2000.0)
    (reinstated_endpoint,) = overlay.end_maintenance("a", 2010.0).endpoints
    assert (
        reinstated_endpoint.entry.started_at == 2010.0 - WALL_OFFSET and reinstated_endpoint.entry.reinstated
    )
    # the list reports its restart late
    (relisted,) = overlay.apply(endpoint_list(endpoint("a", started_at=1005.0))).endpoints
    assert relisted.entry.started_at == 2010.0 - WALL_OFFSET and not relisted.entry.reinstated
    (later,) = overlay.apply(endpoint_list(endpoint("a", started_at=1500.0))).endpoints
    assert later.entry.started_at == 1500.0  # a later restart, unrelated to the maintenance


def test_an_endpoint_relisted_after_its_reinstatement_is_still_flagged_as_reinstated() -> None:
    overlay = overlay_of("a")
    overlay.start_maintenance("a", 2000.0)
    overlay.apply(endpoint_list(endpoint("a", REMOVED), is_snapshot=False))
    assert overlay.end_maintenance("a", 2003.0).endpoints == []
    (reinstated_endpoint,) = overlay.apply(endpoint_list(endpoint("a"), is_snapshot=False)).endpoints
    assert reinstated_endpoint.entry.reinstated and reinstated_endpoint.entry.state is SERVING


def test_an_unknown_name_is_rejected_but_an_unlisted_one_in_maintenance_is_known() -> None:
    overlay = overlay_of("a")
    with pytest.raises(UnknownEndpointError):
        overlay.start_maintenance("b", 2000.0)
    with pytest.raises(UnknownEndpointError):
        overlay.end_maintenance("b", 2000.0)
    overlay.start_maintenance("a", 2000.0)
    overlay.apply(endpoint_list())
    overlay.start_maintenance("a", 2001.0)
    overlay.end_maintenance("a", 2002.0)
    with pytest.raises(UnknownEndpointError):
        overlay.start_maintenance("a", 2003.0)


def test_the_next_process_takes_over_maintenance_and_reinstatements() -> None:
    old = overlay_of("a", "b")
    new = overlay_of("a", "b")
    old.start_maintenance("a", 2000.0)
    assert state_by_name(new.apply_record(old.encode_record(2000.0))) == {"a": DRAINING}
    old.end_maintenance("a", 2004.0)
    (reinstated_endpoint,) = new.apply_record(old.encode_record(2004.0)).endpoints
    assert (
        reinstated_endpoint.entry.state is SERVING
        and reinstated_endpoint.entry.reinstated
        and reinstated_endpoint.entry.started_at == 2004.0 - WALL_OFFSET
    )
    assert new.apply_record(old.encode_record(2004.0)).endpoints == []  # unchanged
    first = MaintenanceOverlay(WALL_OFFSET, 20.0)
    first.apply_record(old.encode_record(2004.0))  # before the process has an endpoint list
    assert first.apply(endpoint_list(endpoint("a"))).endpoints[0].entry.started_at == 2004.0 - WALL_OFFSET
    assert json.loads(old.encode_record(2024.1))["back"] == {}  # no longer warming up


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
    overlay = overlay_of("a")
    overlay.start_maintenance("a", 2000.0)
    with pytest.raises(ValueError):
        overlay.apply_record(text)
    assert set(overlay.in_maintenance) == {"a"}


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
    """The last request for each name decides, also after any number of hot restarts."""
    overlay = overlay_of(*"abc")
    expected_in_use = dict.fromkeys("abc", True)
    now = 2000.0
    last_states: dict[str, EndpointState] = {}
    for action, subject in steps:
        now += 1
        try:
            if action == "out":
                last_states |= state_by_name(overlay.start_maintenance(str(subject), now))
                expected_in_use[str(subject)] = False
            elif action == "back":
                last_states |= state_by_name(overlay.end_maintenance(str(subject), now))
                expected_in_use[str(subject)] = True
            elif action == "list":
                assert isinstance(subject, set)
                last_states = state_by_name(overlay.apply(endpoint_list(*map(endpoint, sorted(subject)))))
            else:
                next_overlay = overlay_of(*overlay.endpoints)
                next_overlay.apply_record(overlay.encode_record(now))
                next_overlay.apply(endpoint_list(*overlay.endpoints.values()))
                overlay = next_overlay
        except UnknownEndpointError:
            assert subject not in overlay.endpoints and subject not in overlay.in_maintenance
        assert set(overlay.in_maintenance) == {name for name, serves in expected_in_use.items() if not serves}
        assert all(expected_in_use[name] == (state is SERVING) for name, state in last_states.items())


def test_two_processes_share_one_record(tmp_path: Path) -> None:
    one = SharedRecord(tmp_path / "x.record")
    two = SharedRecord(tmp_path / "x.record")
    assert one.read_if_changed() is None
    one.write("1")
    assert one.read_if_changed() is None  # written by this process itself
    assert two.read_if_changed() == "1" and two.read_if_changed() is None
    two.write("2")
    assert one.read_if_changed() == "2"
    assert [path.name for path in tmp_path.iterdir()] == ["x.record"]


def test_a_record_that_cannot_be_written_stays_as_it_was(tmp_path: Path) -> None:
    store = SharedRecord(tmp_path / "gone" / "x.record")
    with pytest.raises(OSError):
        store.write("1")
    assert store.read_if_changed() is None
