"""Tests of the recovery phases: transitions and admission."""

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


def test_each_path_of_transitions_ends_and_admits_no_more_than_the_finding_allows() -> None:
    """Combines all phases with all possible observations: 4,000 combinations."""
    max_duration = Observation(slow_start_window=SLOW_START_WINDOW_S).max_duration
    spans = (0.0, MAX_SURVEY_S, 2 * MAX_SURVEY_S, max_duration - 1.0, max_duration)
    bits = (False, True)
    for phase, endpoints, outage, settled, current, warm, failures, elapsed in product(
        RecoveryPhase, (0, 5), OutageScope, bits, bits, bits, bits, spans
    ):
        observation = Observation(
            endpoints, outage, settled, current, warm, failures, elapsed, SLOW_START_WINDOW_S
        )
        target_phase, guard = next_phase(phase, observation)
        assert (guard is None) == (target_phase is phase)
        if elapsed >= max_duration or phase is RecoveryPhase.STEADY:
            # The recovery ends at its time limit, and a finished recovery doesn't start again.
            assert target_phase is RecoveryPhase.STEADY
            continue
        admission = ADMISSION_BY_PHASE[target_phase]
        if not endpoints:
            assert admission is AdmissionMode.NONE  # A request that can't succeed is rejected at once.
        is_early = elapsed < MAX_SURVEY_S and phase in (RecoveryPhase.UNAVAILABLE, RecoveryPhase.SURVEYING)
        if outage is OutageScope.UNKNOWN and is_early:
            assert admission in (AdmissionMode.NONE, AdmissionMode.INITIAL_SHARE)
        if target_phase is RecoveryPhase.RAMP and phase is not RecoveryPhase.RAMP:
            assert (settled and current) or elapsed >= 2 * MAX_SURVEY_S
        if failures and endpoints and outage not in (OutageScope.PROCESS, OutageScope.MACHINE):
            assert admission is not AdmissionMode.WARM_SHARE  # The ramp is interrupted after failures.
    assert {guard for rows in TRANSITIONS.values() for guard, _ in rows} == set(TransitionGuard)


def test_lone_restart_becomes_steady_with_the_first_survivors_answer() -> None:
    phase = RecoveryPhase.UNAVAILABLE
    for _ in range(2):
        phase, _ = next_phase(
            phase, Observation(5, OutageScope.PROCESS, elapsed=0.2, slow_start_window=SLOW_START_WINDOW_S)
        )
    assert phase is RecoveryPhase.STEADY
    assert guard_holds(
        TransitionGuard.TIME_LIMIT, Observation(elapsed=1e9, slow_start_window=SLOW_START_WINDOW_S)
    )
