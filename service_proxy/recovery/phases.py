"""The phases of a recovery as a transition table: what each admits, and what ends it. Pure.

    UNAVAILABLE ──▶ SURVEYING ──▶ PROVISIONAL ──▶ RAMP ──▶ STEADY
      ▲               │  local outage: only this one ended    ▲
      │               └───────────────────────────────────────┤
      └── no endpoint answers, from any phase                 └── the time limit, from any phase

A proxy that restarts alone in a steady fleet passes through UNAVAILABLE and SURVEYING in the time that it
takes to receive one survivor's answer. What is admitted while the outage is unknown would be harmless if all
endpoints were warming up, so waiting for certainty costs service only where there may be none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

from service_proxy.recovery.validity_rules import OutageScope

MAX_SURVEY_S = 10.0  # for which peers are asked what happened
MAX_LIST_WAIT_S = 10.0  # more, for which a current list and a settled view are waited for
MAX_RAMP_WINDOWS = 2.0  # slow-start windows that a ramp may take ...
RAMP_MARGIN_S = 15.0  # ... and this beyond: after that admission is the policy's alone
MIN_STABLE_S = 2.0  # without a failing endpoint before a ramp that stepped back goes on


class RecoveryPhase(IntEnum):
    """Where a recovery stands; the numbers travel in member metadata."""

    UNAVAILABLE = 0  # no endpoint answers: no request can succeed
    SURVEYING = 1  # endpoints answer; peers are being asked what happened
    PROVISIONAL = 2  # there was a wide outage, or it can't be told; list or view are not reliable yet
    RAMP = 3  # admission rises with what has warmed up
    STEADY = 4  # recovery takes no part in anything


class AdmissionMode(Enum):
    """Which requests are admitted."""

    NONE = "none"  # rejected at once: no request can succeed
    INITIAL_SHARE = "first attempts, as many as endpoints that warm up can take"
    WARM_SHARE = "by the share that has warmed up; first attempts before retries"
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
    """What is known at one moment.

    Attributes:
        responding_endpoints: endpoints that answer.
        outage: what happened.
        is_view_settled: the membership view has settled.
        is_list_current: the list in force comes from a source, not from the store.
        is_warm: all endpoints that answer have been up for a slow-start window.
        has_recent_failures: endpoints that had answered failed within MIN_STABLE_S.
        elapsed: since this process started, s.
        slow_start_window: of an endpoint, s.
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
        """Time after which a recovery ends however it stands, s."""
        return MAX_SURVEY_S + MAX_LIST_WAIT_S + MAX_RAMP_WINDOWS * self.slow_start_window + RAMP_MARGIN_S


class TransitionGuard(Enum):
    """Conditions of transitions, with their text for the log."""

    TIME_LIMIT = "the time limit is reached"
    NO_ENDPOINTS = "no endpoint answers"
    ENDPOINT_RESPONDS = "an endpoint answers"
    LOCAL_OUTAGE = "only this process or machine ended"
    WIDE_OUTAGE = "a zone or the fleet lost power"
    SURVEY_TIMEOUT = "the survey took its longest time"
    VIEW_AND_LIST_READY = "the view has settled and the list is current"
    LIST_TIMEOUT = "view and list were waited for long enough"
    ENDPOINTS_FAILED = "endpoints failed again"
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
    """Return whether a condition is met."""
    return _CONDITIONS[guard](observation)


# The first guard that holds decides.
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
    """Return the phase after this one and the guard that led there; None: the phase stays."""
    for guard, following in TRANSITIONS[phase]:
        if guard_holds(guard, observation):
            return following, guard if following is not phase else None
    return phase, None
