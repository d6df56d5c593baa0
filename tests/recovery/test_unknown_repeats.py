"""Repeats of keyed requests after a power loss, through a proxy that has no record of them."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import cast

import pytest
from test_keyed_requests import ENDPOINT_IN_A, RecordingWriter, request_log, settings

from service_proxy.net.downstream import Request
from service_proxy.net.http_status import GATEWAY_TIMEOUT
from service_proxy.net.request_filters import Rejection
from service_proxy.recovery.admission import RecoveryFilter
from service_proxy.recovery.endpoint_override import EndpointListOverride
from service_proxy.recovery.keyed_requests import KeyedRequestLog, record_key
from service_proxy.recovery.phases import RecoveryPhase
from service_proxy.recovery.retry_after import RetryAfterSchedule
from service_proxy.recovery.unknown_repeats import MAX_FIRST_SEEN_KEYS, UnknownRepeats
from service_proxy.recovery.validity_rules import OutageScope, RestartContext


def request(class_name: str = "local", key: bytes = b"k1", is_retry: bool = True) -> Request:
    return cast(Request, SimpleNamespace(class_name=class_name, idempotency_key=key, is_retry=is_retry))


def recovery_filter(outage: OutageScope, phase: RecoveryPhase, log: KeyedRequestLog) -> RecoveryFilter:
    tested = RecoveryFilter(
        settings(),
        1,
        EndpointListOverride("p0", 1.0, 0.0),
        cast(RetryAfterSchedule, None),
        log,
        lambda: RestartContext(time.time(), outage),
    )
    tested.phase = phase
    return tested


def is_failed_at_once(tested: RecoveryFilter, sent: Request) -> bool:
    """Return whether a request is answered as one that may have run."""
    outcome = tested.on_request(sent, lambda: None)
    return isinstance(outcome, Rejection) and outcome.status_code == GATEWAY_TIMEOUT


@pytest.mark.parametrize("outage", OutageScope)
def test_a_repeat_without_a_record_fails_at_once_after_a_power_loss_of_more_than_one_proxy(
    outage: OutageScope,
) -> None:
    """Guards against a key that runs again, as its repeat reaches a proxy that has no record of it."""
    tested = recovery_filter(outage, RecoveryPhase.STEADY, request_log(RecordingWriter()))
    is_wide = outage in (OutageScope.ZONE, OutageScope.FLEET)
    assert is_failed_at_once(tested, request()) == is_wide
    assert not is_failed_at_once(tested, request(key=b""))
    assert not is_failed_at_once(tested, request("long"))
    assert not is_failed_at_once(tested, request(key=b"k2", is_retry=False))
    assert not is_failed_at_once(tested, request(key=b"k2"))  # First seen after the power loss.


def test_a_repeat_is_not_rejected_as_harmless_while_the_outage_is_undetermined() -> None:
    """Guards against a promise that nothing ran, for a request that may have run through another proxy."""
    tested = recovery_filter(OutageScope.UNKNOWN, RecoveryPhase.SURVEYING, request_log(RecordingWriter()))
    assert is_failed_at_once(tested, request())


def test_a_repeat_with_a_record_is_decided_by_its_record() -> None:
    """Guards against repeats of this proxy's own requests that fail, though its record says more."""
    log = request_log(RecordingWriter())
    log.record(record_key("local", b"k1"), "local", ENDPOINT_IN_A)
    tested = recovery_filter(OutageScope.FLEET, RecoveryPhase.STEADY, log)
    assert not is_failed_at_once(tested, request())


def test_repeats_are_unknown_for_as_long_as_clients_may_send_them() -> None:
    """Guards against repeats that fail long after the power loss, and against a table without a bound."""
    repeats = UnknownRepeats(100.0)
    assert repeats.may_have_run("k", True, 5.0, 104.9)
    assert not repeats.may_have_run("k", True, 5.0, 105.0)
    for number in range(MAX_FIRST_SEEN_KEYS + 1):
        assert not repeats.may_have_run(f"k{number}", False, 5.0, 101.0)
    assert repeats.may_have_run("k0", True, 5.0, 102.0)  # Evicted, so the stricter reading applies.
    assert not repeats.may_have_run("k1", True, 5.0, 102.0)
