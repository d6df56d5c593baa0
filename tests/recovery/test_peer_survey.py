"""The outage that a survey of the peers finds, and the status that travels."""

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


def found(
    peers: list[Peer], stayed_up: bool | None = None, elapsed: float = 1.0, known: bool = True
) -> OutageFinding:
    """What p0 of 24, in zone a, finds."""
    return determine_outage("a", stayed_up, peers, ALL_MEMBERS if known else [], 24, elapsed)


def scope_and_zones(finding: OutageFinding) -> tuple[OutageScope, frozenset[str] | None]:
    return finding.scope, finding.affected_zones


def test_outages_of_one_process_a_zone_and_the_fleet_are_told_apart() -> None:
    steady = [peer(number, STEADY) for number in range(1, 24)]
    assert found(steady) == OutageFinding(OutageScope.PROCESS, frozenset(), "p1 was up throughout the outage")
    assert found(steady, stayed_up=False).scope is OutageScope.MACHINE
    zone = [peer(number, RECOVERING if number % 3 == 0 else STEADY) for number in range(1, 24)]
    for known in (True, False):
        assert scope_and_zones(found(zone, known=known)) == (OutageScope.ZONE, frozenset("a"))
    # What the view has of its zone is from before, as long as no member of it has answered.
    unanswered = [peer(number, None if number % 3 == 0 else STEADY) for number in range(1, 24)]
    assert found(unanswered).scope is OutageScope.UNKNOWN
    assert found(unanswered, elapsed=MAX_SURVEY_S).scope is OutageScope.ZONE
    assert found(unanswered, stayed_up=True).scope is OutageScope.PROCESS
    dead = [peer(number, STEADY, is_alive=number % 3 != 0) for number in range(1, 24)]
    assert found(dead).scope is OutageScope.ZONE  # the first of its zone to be back
    other = [peer(number, RECOVERING if number % 3 == 1 else STEADY) for number in range(1, 24)]
    assert scope_and_zones(found(other)) == (OutageScope.PROCESS, frozenset("b"))
    everybody = [peer(number, RECOVERING) for number in range(1, 24)]
    assert scope_and_zones(found(everybody)) == (OutageScope.FLEET, None)
    # All proxies ended, and no machine did; one that can't tell is enough to assume the worst.
    stayed_up = [peer(number, RECOVERING, stayed_up=True) for number in range(1, 24)]
    assert (
        found(stayed_up, stayed_up=True).scope is OutageScope.PROCESS
        and found(stayed_up).scope is OutageScope.FLEET
    )


def test_half_or_fewer_answers_prove_nothing_until_the_survey_times_out() -> None:
    half = [peer(number, RECOVERING) for number in range(1, 12)]
    for peers in (half, []):
        assert found(peers).scope is OutageScope.UNKNOWN
        assert found(peers, elapsed=MAX_SURVEY_S).scope is OutageScope.FLEET
    assert found([], stayed_up=True, elapsed=MAX_SURVEY_S).scope is OutageScope.PROCESS
    assert found([*half, peer(12, RECOVERING)]).scope is OutageScope.FLEET
    # In a rolling restart some proxy is steady at each moment.
    for restarting in range(1, 23):
        rolling = [peer(number, RECOVERING if number == restarting else STEADY) for number in range(1, 24)]
        assert found(rolling).scope is OutageScope.PROCESS and not found(rolling).affected_zones
    # Members of an older version never answer: they are neither survivors nor lost.
    older = [peer(number, None) for number in range(1, 24)]
    assert (
        found(older).scope is OutageScope.UNKNOWN
        and zones_without_survivors(older, ALL_MEMBERS) == frozenset()
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
