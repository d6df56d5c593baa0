"""Phases of a recovery as a transition table: what each phase admits, and what ends it. Pure.

    UNAVAILABLE ──▶ SURVEYING ──▶ PROVISIONAL ──▶ RAMP ──▶ STEADY
      ▲               │  local outage: process or machine     ▲
      │               └───────────────────────────────────────┤
      └── no endpoint answers, from any phase                 └── the time limit, from any phase

A proxy that restarts alone in a steady fleet passes through UNAVAILABLE and SURVEYING within the time that
it takes to receive one survivor's answer. The requests that are admitted while the outage is unknown would
be harmless even if all endpoints were warming up. So the wait for a certain finding reduces service only
where the outage may have ended all service.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

from service_proxy.recovery.validity_rules import OutageScope

MAX_SURVEY_S = 10.0  # Longest survey of the peers about the outage.
MAX_LIST_WAIT_S = 10.0  # Longest wait, after the survey, for a current list and a settled membership view.
MAX_RAMP_WINDOWS = 2.0  # Longest ramp in slow-start windows, without RAMP_MARGIN_S.
RAMP_MARGIN_S = 15.0  # Added to the longest ramp. After this time only the policy limits admission.
MIN_STABLE_S = 2.0  # Time without a failing endpoint before an interrupted ramp resumes.


class RecoveryPhase(IntEnum):
    """Phase of a recovery; member metadata contains its number."""

    UNAVAILABLE = 0  # No endpoint answers, so no request can succeed.
    SURVEYING = 1  # Endpoints answer, and peers are queried about the outage.
    # The outage is wide or can't be determined, and the list or the view is not reliable yet.
    PROVISIONAL = 2
    RAMP = 3  # Admission rises with the share of the capacity that has warmed up.
    STEADY = 4  # The recovery has finished and changes nothing.


class AdmissionMode(Enum):
    """Rule that decides which requests are admitted."""

    NONE = "none"  # Requests are rejected at once, because none can succeed.
    INITIAL_SHARE = "first attempts, up to the capacity of endpoints that are warming up"
    WARM_SHARE = "by the share of the capacity that has warmed up; first attempts before retries"
    ALL = "all"


ADMISSION_BY_PHASE = {
    RecoveryPhase.UNAVAILABLE: AdmissionMode.NONE,
    RecoveryPhase.SURVEYING: AdmissionMode.INITIAL_SHARE,
    RecoveryPhase.PROVISIONAL: AdmissionMode.INITIAL_SHARE,
    RecoveryPhase.RAMP: AdmissionMode.WARM_SHARE,
    RecoveryPhase.STEADY: AdmissionMode.ALL,
}


@dataclass(frozen=True, slots=True)
class Observation:
    """Input of the transition table at one moment.

    Attributes:
        responding_endpoints: number of endpoints that answer.
        outage: scope of the outage.
        is_view_settled: the membership view has settled.
        is_list_current: the list in force was received from a source and not restored from the store.
        is_warm: all endpoints that answer have been up for a slow-start window.
        has_recent_failures: endpoints that had answered have failed within MIN_STABLE_S.
        elapsed: time since this process started, s.
        slow_start_window: slow-start window of an endpoint, s.
    """

    responding_endpoints: int = 0
    outage: OutageScope = OutageScope.UNKNOWN
    is_view_settled: bool = False
    is_list_current: bool = False
    is_warm: bool = False
    has_recent_failures: bool = False
    elapsed: float = 0.0
    slow_start_window: float = 0.0

    @property
    def max_duration(self) -> float:
        """Longest duration of a recovery, s. After this time the recovery ends in any phase."""
        return MAX_SURVEY_S + MAX_LIST_WAIT_S + MAX_RAMP_WINDOWS * self.slow_start_window + RAMP_MARGIN_S


class TransitionGuard(Enum):
    """Condition of a transition; its value is the text for the log."""

    TIME_LIMIT = "the time limit is reached"
    NO_ENDPOINTS = "no endpoint answers"
    ENDPOINT_RESPONDS = "an endpoint answers"
    LOCAL_OUTAGE = "only this process or machine ended"
    WIDE_OUTAGE = "a zone or the fleet lost power"
    SURVEY_TIMEOUT = "the survey reached its time limit"
    VIEW_AND_LIST_READY = "the view has settled and the list is current"
    LIST_TIMEOUT = "the wait for the view and the list reached its time limit"
    ENDPOINTS_FAILED = "endpoints that had answered failed again"
    ENDPOINTS_WARM = "the endpoints that answer have warmed up"


LOCAL_OUTAGES = (OutageScope.PROCESS, OutageScope.MACHINE)
WIDE_OUTAGES = (OutageScope.ZONE, OutageScope.FLEET)

_CONDITIONS: dict[TransitionGuard, Callable[[Observation], bool]] = {
    TransitionGuard.TIME_LIMIT: lambda observation: observation.elapsed >= observation.max_duration,
    TransitionGuard.NO_ENDPOINTS: lambda observation: not observation.responding_endpoints,
    TransitionGuard.ENDPOINT_RESPONDS: lambda observation: observation.responding_endpoints > 0,
    TransitionGuard.LOCAL_OUTAGE: lambda observation: observation.outage in LOCAL_OUTAGES,
    TransitionGuard.WIDE_OUTAGE: lambda observation: observation.outage in WIDE_OUTAGES,
    TransitionGuard.SURVEY_TIMEOUT: lambda observation: observation.elapsed >= MAX_SURVEY_S,
    TransitionGuard.VIEW_AND_LIST_READY: lambda observation: (
        observation.is_view_settled
        and observation.is_list_current
        and observation.outage is not OutageScope.UNKNOWN
    ),
    TransitionGuard.LIST_TIMEOUT: lambda observation: observation.elapsed >= MAX_SURVEY_S + MAX_LIST_WAIT_S,
    TransitionGuard.ENDPOINTS_FAILED: lambda observation: observation.has_recent_failures,
    TransitionGuard.ENDPOINTS_WARM: lambda observation: observation.is_warm,
}


def guard_holds(guard: TransitionGuard, observation: Observation) -> bool:
    """Return whether the condition of a guard is met."""
    return _CONDITIONS[guard](observation)


# Transitions by phase. The first guard whose condition is met decides.
TRANSITIONS: dict[RecoveryPhase, tuple[tuple[TransitionGuard, RecoveryPhase], ...]] = {
    RecoveryPhase.UNAVAILABLE: (
        (TransitionGuard.TIME_LIMIT, RecoveryPhase.STEADY),
        (TransitionGuard.ENDPOINT_RESPONDS, RecoveryPhase.SURVEYING),
    ),
    RecoveryPhase.SURVEYING: (
        (TransitionGuard.TIME_LIMIT, RecoveryPhase.STEADY),
        (TransitionGuard.NO_ENDPOINTS, RecoveryPhase.UNAVAILABLE),
        (TransitionGuard.LOCAL_OUTAGE, RecoveryPhase.STEADY),
        (TransitionGuard.WIDE_OUTAGE, RecoveryPhase.PROVISIONAL),
        (TransitionGuard.SURVEY_TIMEOUT, RecoveryPhase.PROVISIONAL),
    ),
    RecoveryPhase.PROVISIONAL: (
        (TransitionGuard.TIME_LIMIT, RecoveryPhase.STEADY),
        (TransitionGuard.NO_ENDPOINTS, RecoveryPhase.UNAVAILABLE),
        (TransitionGuard.LOCAL_OUTAGE, RecoveryPhase.STEADY),
        (TransitionGuard.ENDPOINTS_FAILED, RecoveryPhase.PROVISIONAL),
        (TransitionGuard.VIEW_AND_LIST_READY, RecoveryPhase.RAMP),
        (TransitionGuard.LIST_TIMEOUT, RecoveryPhase.RAMP),
    ),
    RecoveryPhase.RAMP: (
        (TransitionGuard.TIME_LIMIT, RecoveryPhase.STEADY),
        (TransitionGuard.NO_ENDPOINTS, RecoveryPhase.UNAVAILABLE),
        (TransitionGuard.LOCAL_OUTAGE, RecoveryPhase.STEADY),
        (TransitionGuard.ENDPOINTS_FAILED, RecoveryPhase.PROVISIONAL),
        (TransitionGuard.ENDPOINTS_WARM, RecoveryPhase.STEADY),
    ),
    RecoveryPhase.STEADY: (),
}


def next_phase(
    phase: RecoveryPhase, observation: Observation
) -> tuple[RecoveryPhase, TransitionGuard | None]:
    """Return the next phase and the guard that caused the change; the guard is None if the phase stays."""
    for guard, target_phase in TRANSITIONS[phase]:
        if guard_holds(guard, observation):
            return target_phase, guard if target_phase is not phase else None
    return phase, None
