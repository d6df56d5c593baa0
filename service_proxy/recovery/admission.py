"""Admission of requests during a recovery. After the recovery this filter only tracks keyed requests."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Protocol

from service_proxy.net.downstream import Request
from service_proxy.net.http_status import GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE
from service_proxy.net.request_filters import Rejection, RequestFilterState
from service_proxy.policy.events import EarlierExecution
from service_proxy.policy.settings_types import Idempotency, Settings
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.keyed_requests import KeyedRequestLog, KeyedRequestTracker, record_key
from service_proxy.recovery.persisted_records import KeyedRequestRecord
from service_proxy.recovery.phases import ADMISSION_BY_PHASE, WIDE_OUTAGES, AdmissionMode, RecoveryPhase
from service_proxy.recovery.retry_after import RetryAfterSchedule
from service_proxy.recovery.staggered_start import IMMEDIATE_STARTS
from service_proxy.recovery.unknown_repeats import UnknownRepeats
from service_proxy.recovery.validity_rules import (
    OutageScope,
    RestartContext,
    RetryPermission,
    retry_permission,
)

MAY_HAVE_BEEN_EXECUTED = b"it may have run before the power was lost; ask what became of it\n"
NO_ENDPOINT_ANSWERS = b"no server answers yet\n"
RETRY_NOT_ADMITTED = b"service returns: first tries come first\n"
OVER_INITIAL_CAPACITY = b"service returns: more than cold servers bear\n"


class OpenRequestCounter(Protocol):
    """Source of the number of open requests; the dispatcher implements it."""

    @property
    def open_request_count(self) -> int:
        """Number of open requests, which the filter treats as the requests in flight."""


class RecoveryFilter:
    """Request filter of recovery; implements net.request_filters.RequestFilter.

    Attributes:
        phase: phase of the recovery, set by the recovery service.
        settings: settings in force.
        keyed_requests: log of the keyed requests; None without a store.
        restart_context: function that returns the context for assessing restored requests.
        dispatcher: source of the number of open requests; must be set before the first request.
    """

    consumed_headers: frozenset[bytes] = frozenset()

    def __init__(
        self,
        settings: Settings,
        seed: int,
        override: EndpointListOverride,
        schedule: RetryAfterSchedule,
        keyed_requests: KeyedRequestLog | None,
        restart_context: Callable[[], RestartContext],
    ) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.override = override
        self.schedule = schedule
        self.keyed_requests = keyed_requests
        self.restart_context = restart_context
        self.unknown_repeats = UnknownRepeats(time.monotonic())
        self.phase = RecoveryPhase.UNAVAILABLE
        self.dispatcher: OpenRequestCounter | None = None

    def on_settings_update(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self.settings = settings
        if self.keyed_requests is not None:
            self.keyed_requests.update_settings(settings)

    def on_request(
        self, request: Request, _abandon: Callable[[], None]
    ) -> RequestFilterState | Rejection | None:
        """Reject a request that can't be served or must not be repeated, or track a keyed request."""
        if request.idempotency_key and self._may_have_run_through_others(request):
            return Rejection(MAY_HAVE_BEEN_EXECUTED, GATEWAY_TIMEOUT)
        if self.phase is not RecoveryPhase.STEADY:
            rejection = self._rejection(request)
            if rejection is not None:
                return rejection
        keyed_requests = self.keyed_requests
        if keyed_requests is None or not request.idempotency_key:
            return None
        key = record_key(request.class_name, request.idempotency_key)
        record = keyed_requests.restored.get(key)
        earlier = None
        if isinstance(record, KeyedRequestRecord):
            permission = retry_permission(record, self.restart_context())
            remembered_for = keyed_requests.time_remembered(record)
            if permission is RetryPermission.WITHIN_SCOPE and remembered_for > 0:
                earlier = EarlierExecution(record.confining_zone, remembered_for)
            elif permission is not RetryPermission.EXPIRED:
                return Rejection(MAY_HAVE_BEEN_EXECUTED, GATEWAY_TIMEOUT)
        return KeyedRequestTracker(keyed_requests, key, request.class_name, earlier)

    def _may_have_run_through_others(self, request: Request) -> bool:
        """Return whether another proxy may have sent a client's keyed request before a wide power loss."""
        keyed_requests = self.keyed_requests
        outage = self.restart_context().outage
        is_undetermined = outage is OutageScope.UNKNOWN and self.phase is not RecoveryPhase.STEADY
        if keyed_requests is None or not (outage in WIDE_OUTAGES or is_undetermined):
            return False
        request_class = keyed_requests.classes.get(request.class_name)
        if request_class is None or request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return False
        key = record_key(request.class_name, request.idempotency_key)
        if keyed_requests.is_recorded(key):
            return False
        longest_memory = request_class.deadline + request_class.idempotency_window
        return self.unknown_repeats.may_have_run(key, request.is_retry, longest_memory, time.monotonic())

    def _rejection(self, request: Request) -> Rejection | None:
        mode = ADMISSION_BY_PHASE[self.phase]
        if mode is AdmissionMode.NONE and not self.settings.can_check_health:
            # Without health checks only a request can show that an endpoint answers.
            mode = AdmissionMode.INITIAL_SHARE
        if mode is AdmissionMode.NONE:
            return self._reject(NO_ENDPOINT_ANSWERS)
        if mode is AdmissionMode.INITIAL_SHARE:
            if request.is_retry:
                return self._reject(RETRY_NOT_ADMITTED)
            if self._in_flight() >= self._initial_capacity():
                return self._reject(OVER_INITIAL_CAPACITY)
        elif request.is_retry and self.random.random() > self._warm_share():
            return self._reject(RETRY_NOT_ADMITTED)
        return None

    def _in_flight(self) -> int:
        assert self.dispatcher is not None
        return self.dispatcher.open_request_count

    def _initial_capacity(self) -> float:
        """Return the number of requests that may be in flight while every endpoint may still be warming up.

        Each answering endpoint can take IMMEDIATE_STARTS requests. This capacity is divided by the number of
        proxies in the settings or the number of live proxies, whichever is larger.
        """
        proxies = max(self.settings.proxy_count, len(self.override.proxies))
        return max(1.0, IMMEDIATE_STARTS * len(self.override.first_answers) / proxies)

    def _warm_share(self) -> float:
        """Return the warmed-up capacity as a share of the capacity of all known endpoints."""
        known = max(1, len(self.override.known))
        return self.schedule.capacity(time.monotonic(), self.override.first_answers.values()) / known

    def retry_after(self, wait: float) -> float:
        """Return the Retry-After (s) of a rejection: the policy's, or a longer one during the recovery."""
        if self.phase is RecoveryPhase.STEADY:
            return wait
        return max(wait, self.schedule.reserve(time.monotonic(), self.override.first_answers.values()))

    def _reject(self, text: bytes) -> Rejection:
        wait = self.retry_after(0.0)
        return Rejection(text, SERVICE_UNAVAILABLE, ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ())
