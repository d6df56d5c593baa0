"""The phases of a recovery: transitions and admission."""

from __future__ import annotations

from itertools import product

from service_proxy.recovery.phases import (
    ADMISSION_BY_PHASE,
    MAX_SURVEY_S,
    TRANSITIONS,
    AdmissionMode,
    Observation,
    RecoveryPhase,
    TransitionGuard,
    guard_holds,
    next_phase,
)
from service_proxy.recovery.validity_rules import OutageScope

SLOW_START_WINDOW_S = 24.0


def test_every_path_through_the_transitions_ends_and_admits_no_more_than_is_known() -> None:
    """All phases with all that may be observed: 2,560 combinations."""
    max_duration = Observation(slow_start_window=SLOW_START_WINDOW_S).max_duration
    spans = (0.0, MAX_SURVEY_S, 2 * MAX_SURVEY_S, max_duration - 1.0, max_duration)
    bits = (False, True)
    for phase, endpoints, outage, settled, current, warm, failures, elapsed in product(
        RecoveryPhase, (0, 5), OutageScope, bits, bits, bits, bits, spans
    ):
        seen = Observation(endpoints, outage, settled, current, warm, failures, elapsed, SLOW_START_WINDOW_S)
        target_phase, guard = next_phase(phase, seen)
        assert (guard is None) == (target_phase is phase)
        if elapsed >= max_duration or phase is RecoveryPhase.STEADY:
            assert target_phase is RecoveryPhase.STEADY  # it ends, and what is over does not start again
            continue
        admission = ADMISSION_BY_PHASE[target_phase]
        if not endpoints:
            assert admission is AdmissionMode.NONE  # no wait that can't succeed
        is_early = elapsed < MAX_SURVEY_S and phase in (RecoveryPhase.UNAVAILABLE, RecoveryPhase.SURVEYING)
        if outage is OutageScope.UNKNOWN and is_early:
            assert admission in (AdmissionMode.NONE, AdmissionMode.INITIAL_SHARE)
        if target_phase is RecoveryPhase.RAMP and phase is not RecoveryPhase.RAMP:
            assert (settled and current) or elapsed >= 2 * MAX_SURVEY_S
        if failures and endpoints and outage not in (OutageScope.PROCESS, OutageScope.MACHINE):
            assert admission is not AdmissionMode.WARM_SHARE  # it steps back
    assert {guard for rows in TRANSITIONS.values() for guard, _ in rows} == set(TransitionGuard)


def test_lone_restart_is_steady_with_the_first_survivors_answer() -> None:
    phase = RecoveryPhase.UNAVAILABLE
    for _ in range(2):
        phase, _ = next_phase(
            phase, Observation(5, OutageScope.PROCESS, elapsed=0.2, slow_start_window=SLOW_START_WINDOW_S)
        )
    assert phase is RecoveryPhase.STEADY
    assert guard_holds(
        TransitionGuard.TIME_LIMIT, Observation(elapsed=1e9, slow_start_window=SLOW_START_WINDOW_S)
    )
