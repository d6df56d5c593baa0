"""What recovery changes in endpoint lists."""

from __future__ import annotations

from service_proxy.net.endpoint_list import Endpoint, EndpointList, endpoint_id_of
from service_proxy.policy.events import EndpointEntry
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.peer_survey import OutageFinding, Peer, RecoveryStatus, determine_outage
from service_proxy.recovery.phases import RecoveryPhase
from service_proxy.recovery.validity_rules import OutageScope

STARTED_AT = 1000.0  # of this process, monotonic, s
SLOW_START_WINDOW_S = 24.0
ZONES = ("a", "b")


def finding(
    own_zone: str, phases: dict[str, RecoveryPhase], machine_stayed_up: bool | None = None
) -> OutageFinding:
    """What a survey finds where all members of each zone are in one phase."""
    peers = [
        Peer(f"{zone}{number}", zone, True, RecoveryStatus(phase))
        for zone, phase in phases.items()
        for number in range(2)
    ]
    return determine_outage(own_zone, machine_stayed_up, peers, (), len(peers) + 1, 1.0)


def zones_warming_up(affected_zones: frozenset[str] | None) -> tuple[bool, ...]:
    """Whether the endpoint of each zone is warming up, though the list says that it started long ago."""
    override = EndpointListOverride("p0", SLOW_START_WINDOW_S, STARTED_AT)
    override.update_outage(affected_zones, ())
    listed = []
    for zone in ZONES:
        entry = EndpointEntry(endpoint_id_of(f"n-{zone}"), zone, started_at=0.0)
        listed.append(Endpoint(("10.0.0.1", 80), entry, f"n-{zone}"))
    effective = override.apply(EndpointList(1, True, listed)).endpoints
    started_late = tuple(endpoint.entry.started_at == STARTED_AT for endpoint in effective)
    assert started_late == tuple(override.is_warming_up(zone) for zone in ZONES)
    return started_late


def test_after_an_outage_endpoints_are_warming_up_whatever_a_list_says() -> None:
    steady = RecoveryPhase.STEADY
    surveying = RecoveryPhase.SURVEYING
    zone_a_recovers = {"a": surveying, "b": steady}
    findings = {
        OutageScope.PROCESS: finding("b", zone_a_recovers),
        OutageScope.MACHINE: finding("b", zone_a_recovers, machine_stayed_up=False),
        OutageScope.ZONE: finding("a", zone_a_recovers),
        OutageScope.FLEET: finding("a", {"a": surveying, "b": surveying}),
        OutageScope.UNKNOWN: finding("a", {}),
    }
    assert [found.scope for found in findings.values()] == list(findings) == list(OutageScope)
    assert {scope: zones_warming_up(found.affected_zones) for scope, found in findings.items()} == {
        OutageScope.PROCESS: (True, False),
        OutageScope.MACHINE: (True, False),
        OutageScope.ZONE: (True, False),
        OutageScope.FLEET: (True, True),
        OutageScope.UNKNOWN: (True, True),
    }
    alone = finding("b", {"a": steady, "b": steady})
    assert alone.scope is OutageScope.PROCESS
    assert zones_warming_up(alone.affected_zones) == (False, False)
