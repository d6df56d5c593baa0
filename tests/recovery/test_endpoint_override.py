"""Tests of the changes that recovery makes to endpoint lists."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from service_proxy.net.endpoint_list import Endpoint, EndpointList, endpoint_id_of
from service_proxy.policy.events import EndpointEntry, EndpointState
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.peer_survey import OutageFinding, Peer, RecoveryStatus, determine_outage
from service_proxy.recovery.phases import RecoveryPhase
from service_proxy.recovery.validity_rules import OutageScope

STARTED_AT = 1000.0  # Monotonic start time of this process, s.
SLOW_START_WINDOW_S = 24.0
ZONES = ("a", "b")


def finding_of_survey(
    own_zone: str, phases: dict[str, RecoveryPhase], machine_stayed_up: bool | None = None
) -> OutageFinding:
    """Return the finding of a survey in which all members of a zone are in the same phase."""
    peers = [
        Peer(f"{zone}{number}", zone, True, RecoveryStatus(phase))
        for zone, phase in phases.items()
        for number in range(2)
    ]
    return determine_outage(own_zone, machine_stayed_up, peers, (), len(peers) + 1, 1.0)


def zones_warming_up(affected_zones: frozenset[str] | None) -> tuple[bool, ...]:
    """Return whether the endpoint of each zone is warming up, although the list gives an early start time."""
    override = EndpointListOverride("p0", SLOW_START_WINDOW_S, STARTED_AT)
    override.update_outage(affected_zones, ())
    listed = []
    for zone in ZONES:
        entry = EndpointEntry(endpoint_id_of(f"n-{zone}"), zone, started_at=0.0)
        listed.append(Endpoint(("10.0.0.1", 80), entry, f"n-{zone}"))
    effective = override.apply(EndpointList(1, True, listed)).endpoints
    has_new_start_time = tuple(endpoint.entry.started_at == STARTED_AT for endpoint in effective)
    assert has_new_start_time == tuple(override.is_warming_up(zone) for zone in ZONES)
    return has_new_start_time


def test_endpoints_of_affected_zones_are_warming_up_whatever_start_time_is_listed() -> None:
    steady = RecoveryPhase.STEADY
    surveying = RecoveryPhase.SURVEYING
    zone_a_recovers = {"a": surveying, "b": steady}
    findings = {
        OutageScope.PROCESS: finding_of_survey("b", zone_a_recovers),
        OutageScope.MACHINE: finding_of_survey("b", zone_a_recovers, machine_stayed_up=False),
        OutageScope.ZONE: finding_of_survey("a", zone_a_recovers),
        OutageScope.FLEET: finding_of_survey("a", {"a": surveying, "b": surveying}),
        OutageScope.UNKNOWN: finding_of_survey("a", {}),
    }
    assert [found.scope for found in findings.values()] == list(findings) == list(OutageScope)
    assert {scope: zones_warming_up(found.affected_zones) for scope, found in findings.items()} == {
        OutageScope.PROCESS: (True, False),
        OutageScope.MACHINE: (True, False),
        OutageScope.ZONE: (True, False),
        OutageScope.FLEET: (True, True),
        OutageScope.UNKNOWN: (True, True),
    }
    lone_restart = finding_of_survey("b", {"a": steady, "b": steady})
    assert lone_restart.scope is OutageScope.PROCESS
    assert zones_warming_up(lone_restart.affected_zones) == (False, False)


NAMES = tuple(f"n-{number}" for number in range(5))
NAME_SETS = st.sets(st.sampled_from(NAMES))
LIST_STEPS = st.one_of(
    st.tuples(st.just("whole"), NAME_SETS),
    st.tuples(st.just("add"), st.sampled_from(NAMES)),
    st.tuples(st.just("remove"), st.sampled_from(NAMES)),
    st.tuples(st.just("answer"), st.sampled_from(NAMES)),
)


def endpoint_named(name: str, state: EndpointState = EndpointState.SERVING) -> Endpoint:
    return Endpoint(("10.0.0.1", 80), EndpointEntry(endpoint_id_of(name), "a", state=state), name)


def apply_to(in_force: set[str], listing: EndpointList) -> None:
    """Apply a list to the names that are in force, as the connection pools do."""
    if listing.is_snapshot:
        in_force.clear()
    for endpoint in listing.endpoints:
        if endpoint.entry.state is EndpointState.REMOVED:
            in_force.discard(endpoint.name)
        else:
            in_force.add(endpoint.name)


@given(
    restored=NAME_SETS,
    before_end=st.lists(LIST_STEPS, min_size=1, max_size=12),
    after_end=st.lists(LIST_STEPS, max_size=6),
)
def test_after_the_recovery_the_last_list_is_in_force_whatever_came_before(
    restored: set[str], before_end: list[tuple[str, Any]], after_end: list[tuple[str, Any]]
) -> None:
    """Guards against endpoints that a rejected whole list does not name and that are used without end."""
    override = EndpointListOverride("p0", SLOW_START_WINDOW_S, STARTED_AT)
    override.update_outage(None, ())
    override.add_restored(endpoint_named(name) for name in restored)
    in_force = set(restored)
    expected: set[str] = set()  # What a proxy without a recovery has.
    version = 0
    for is_after_end, steps in ((False, before_end), (True, after_end)):
        if is_after_end:
            apply_to(in_force, override.finish())
            assert in_force == expected == set(override.known)
        for name, argument in steps:
            version += 1
            if name == "answer":
                override.record_answer(endpoint_id_of(argument), STARTED_AT + version)
                continue
            state = EndpointState.REMOVED if name == "remove" else EndpointState.SERVING
            names = argument if name == "whole" else {argument}
            endpoints = [endpoint_named(each, state) for each in sorted(names)]
            listing = EndpointList(version, name == "whole", endpoints)
            apply_to(expected, listing)
            apply_to(in_force, override.apply(listing))
    assert in_force == expected == set(override.known)
