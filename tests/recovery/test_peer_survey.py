"""Tests of the outage that a survey of the peers determines, and of the encoding of the status."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from service_proxy.recovery.peer_survey import (
    KnownMember,
    OutageFinding,
    Peer,
    RecoveryStatus,
    decode_status,
    determine_outage,
    encode_status,
    zones_without_survivors,
)
from service_proxy.recovery.phases import MAX_SURVEY_S, RecoveryPhase
from service_proxy.recovery.validity_rules import OutageScope

RECOVERING = RecoveryPhase.SURVEYING
STEADY = RecoveryPhase.STEADY
ALL_MEMBERS = [KnownMember(f"p{number}", "abc"[number % 3]) for number in range(1, 24)]


def peer(
    number: int, phase: RecoveryPhase | None, is_alive: bool = True, stayed_up: bool | None = None
) -> Peer:
    status = RecoveryStatus(phase, stayed_up) if phase is not None else None
    return Peer(f"p{number}", "abc"[number % 3], is_alive, status)


def finding_of_p0(
    peers: list[Peer], stayed_up: bool | None = None, elapsed: float = 1.0, known: bool = True
) -> OutageFinding:
    """Return the finding of p0, which is one of 24 proxies and in zone a."""
    return determine_outage("a", stayed_up, peers, ALL_MEMBERS if known else [], 24, elapsed)


def scope_and_zones(finding: OutageFinding) -> tuple[OutageScope, frozenset[str] | None]:
    return finding.scope, finding.affected_zones


def test_outages_of_one_process_a_zone_and_the_fleet_are_distinguished() -> None:
    steady = [peer(number, STEADY) for number in range(1, 24)]
    assert finding_of_p0(steady) == OutageFinding(
        OutageScope.PROCESS, frozenset(), "p1 was up throughout the outage"
    )
    assert finding_of_p0(steady, stayed_up=False).scope is OutageScope.MACHINE
    zone_a_recovering = [peer(number, RECOVERING if number % 3 == 0 else STEADY) for number in range(1, 24)]
    for known in (True, False):
        assert scope_and_zones(finding_of_p0(zone_a_recovering, known=known)) == (
            OutageScope.ZONE,
            frozenset("a"),
        )
    # While no member of this zone has answered, the view's data on this zone may be older than the outage.
    unanswered = [peer(number, None if number % 3 == 0 else STEADY) for number in range(1, 24)]
    assert finding_of_p0(unanswered).scope is OutageScope.UNKNOWN
    assert finding_of_p0(unanswered, elapsed=MAX_SURVEY_S).scope is OutageScope.ZONE
    assert finding_of_p0(unanswered, stayed_up=True).scope is OutageScope.PROCESS
    zone_a_dead = [peer(number, STEADY, is_alive=number % 3 != 0) for number in range(1, 24)]
    # This proxy is the first of its zone to restart.
    assert finding_of_p0(zone_a_dead).scope is OutageScope.ZONE
    zone_b_recovering = [peer(number, RECOVERING if number % 3 == 1 else STEADY) for number in range(1, 24)]
    assert scope_and_zones(finding_of_p0(zone_b_recovering)) == (OutageScope.PROCESS, frozenset("b"))
    all_recovering = [peer(number, RECOVERING) for number in range(1, 24)]
    assert scope_and_zones(finding_of_p0(all_recovering)) == (OutageScope.FLEET, None)
    # All proxies ended, and all machines kept power. If one proxy has no information on its machine, the
    # widest outage is assumed.
    stayed_up = [peer(number, RECOVERING, stayed_up=True) for number in range(1, 24)]
    assert (
        finding_of_p0(stayed_up, stayed_up=True).scope is OutageScope.PROCESS
        and finding_of_p0(stayed_up).scope is OutageScope.FLEET
    )


def test_outage_is_unknown_until_the_survey_times_out_if_half_or_fewer_answer() -> None:
    half = [peer(number, RECOVERING) for number in range(1, 12)]
    for peers in (half, []):
        assert finding_of_p0(peers).scope is OutageScope.UNKNOWN
        assert finding_of_p0(peers, elapsed=MAX_SURVEY_S).scope is OutageScope.FLEET
    assert finding_of_p0([], stayed_up=True, elapsed=MAX_SURVEY_S).scope is OutageScope.PROCESS
    assert finding_of_p0([*half, peer(12, RECOVERING)]).scope is OutageScope.FLEET
    # During a rolling restart some proxy is steady at any time.
    for restarting in range(1, 23):
        rolling = [peer(number, RECOVERING if number == restarting else STEADY) for number in range(1, 24)]
        assert (
            finding_of_p0(rolling).scope is OutageScope.PROCESS and not finding_of_p0(rolling).affected_zones
        )
    # Members of an older version never answer. They count neither as survivors nor as lost.
    old_version_members = [peer(number, None) for number in range(1, 24)]
    assert (
        finding_of_p0(old_version_members).scope is OutageScope.UNKNOWN
        and zones_without_survivors(old_version_members, ALL_MEMBERS) == frozenset()
    )


@given(
    st.sampled_from(RecoveryPhase),
    st.sampled_from([None, True, False]),
    st.integers(0, 2**32 - 1),
    st.binary(),
)
def test_status_is_decoded_as_it_was_encoded(
    phase: RecoveryPhase, stayed_up: bool | None, outage_at: int, noise: bytes
) -> None:
    status = RecoveryStatus(phase, stayed_up, outage_at)
    assert decode_status(encode_status(status) + b"of a newer version") == status
    decode_status(noise)
    assert decode_status(None) is None and decode_status(b"\xf0" + encode_status(status)[1:]) is None
