"""Admission for the application: the table of state transitions, the queue and the concurrency limit."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from service_proxy.sidecar.admission import (
    ACCEPTING_STATES,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    TRANSITIONS,
    AdmissionDecision,
    ApplicationAdmission,
    ApplicationSignal,
    ApplicationState,
)


def admission_of_running_application(
    slots: int = 4, max_queued: int = 2, initial_share: float = 0.25, slow_start_window: float = 10.0
) -> ApplicationAdmission[str]:
    """Return the admission of an application that was running before the sidecar and is not warming up."""
    admission: ApplicationAdmission[str] = ApplicationAdmission(
        slots, max_queued, initial_share, slow_start_window, True
    )
    admission.on_signal(ApplicationSignal.HEALTHY, 0.0)
    return admission


def test_the_table_has_every_state_and_signal() -> None:
    assert set(TRANSITIONS) == set(ApplicationState)
    assert all(set(row) == set(ApplicationSignal) for row in TRANSITIONS.values())


def test_only_a_healthy_probe_makes_an_application_accept_requests() -> None:
    for state, signal in product(ApplicationState, ApplicationSignal):
        if TRANSITIONS[state][signal] in ACCEPTING_STATES and state not in ACCEPTING_STATES:
            assert signal is ApplicationSignal.HEALTHY, (state, signal)
    assert all(
        TRANSITIONS[state][ApplicationSignal.REFUSED] not in ACCEPTING_STATES for state in ApplicationState
    )


@pytest.mark.parametrize(
    ("signals", "state"),
    [
        ([ApplicationSignal.SILENT], ApplicationState.SUSPECT),
        ([ApplicationSignal.SILENT, ApplicationSignal.SILENT], ApplicationState.SLOW),
        (
            [ApplicationSignal.SILENT, ApplicationSignal.HEALTHY, ApplicationSignal.SILENT],
            ApplicationState.SUSPECT,
        ),
        ([ApplicationSignal.BROKEN, ApplicationSignal.BROKEN], ApplicationState.SUSPECT),
        ([ApplicationSignal.BROKEN, ApplicationSignal.REFUSED], ApplicationState.DOWN),
        ([ApplicationSignal.UNHEALTHY], ApplicationState.UNREADY),
        ([ApplicationSignal.UNHEALTHY, ApplicationSignal.HEALTHY], ApplicationState.UP),
        (
            [
                ApplicationSignal.SILENT,
                ApplicationSignal.SILENT,
                ApplicationSignal.REFUSED,
                ApplicationSignal.UNHEALTHY,
            ],
            ApplicationState.DOWN,
        ),
    ],
)
def test_a_series_of_signals_leads_to_a_state(
    signals: list[ApplicationSignal], state: ApplicationState
) -> None:
    admission = admission_of_running_application()
    for signal in signals:
        admission.on_signal(signal, 1.0)
    assert admission.state is state


def test_requests_start_up_to_the_slots_then_queue_then_are_rejected() -> None:
    admission = admission_of_running_application(slots=2, max_queued=1)
    decisions = [admission.offer(name, 1.0, 9.0, 0.0)[0] for name in "abcd"]
    assert decisions == [
        AdmissionDecision.START,
        AdmissionDecision.START,
        AdmissionDecision.QUEUE,
        AdmissionDecision.REJECT,
    ]
    assert admission.next_request(0.1) is None
    admission.on_request_end(0.2)
    assert admission.next_request(0.2) == "c"
    assert admission.next_request(0.2) is None
    assert admission.in_flight == 2


def test_a_new_request_never_overtakes_a_queued_one() -> None:
    admission = admission_of_running_application(slots=1, max_queued=2)
    admission.offer("a", 1.0, 9.0, 0.0)
    admission.offer("b", 1.0, 9.0, 0.0)
    admission.on_request_end(0.1)
    assert admission.offer("c", 1.0, 9.0, 0.1)[0] is AdmissionDecision.QUEUE
    assert [admission.next_request(0.1)] == ["b"]


def test_the_lowest_priority_is_displaced_and_only_by_a_higher_one() -> None:
    admission = admission_of_running_application(slots=1, max_queued=2)
    for name, weight in (("in flight", 1.0), ("canje", 1.0), ("stock", 12.0)):
        admission.offer(name, weight, 9.0, 0.0)
    assert admission.offer("canje-2", 1.0, 9.0, 0.0) == (AdmissionDecision.REJECT, None)
    assert admission.offer("stock-2", 12.0, 9.0, 0.0) == (AdmissionDecision.QUEUE, "canje")
    assert admission.offer("stock-3", 12.0, 9.0, 0.0) == (AdmissionDecision.REJECT, None)
    assert [queued.request for queued in admission.queue] == ["stock", "stock-2"]


def test_a_request_past_its_deadline_is_not_started() -> None:
    admission = admission_of_running_application(slots=1, max_queued=2)
    for name, deadline in (("a", 9.0), ("expired", 1.0), ("in time", 9.0)):
        admission.offer(name, 1.0, deadline, 0.0)
    admission.on_request_end(1.0)
    assert admission.next_request(1.0) == "in time"


def test_a_request_whose_client_left_the_queue_is_not_started() -> None:
    admission = admission_of_running_application(slots=1, max_queued=2)
    for name in ("a", "removed", "queued"):
        admission.offer(name, 1.0, 9.0, 0.0)
    assert admission.remove_queued("removed")
    assert not admission.remove_queued("a")
    assert not admission.remove_queued("removed")
    admission.on_request_end(1.0)
    assert admission.next_request(1.0) == "queued"


@pytest.mark.parametrize(
    "signals",
    [
        [ApplicationSignal.REFUSED],
        [ApplicationSignal.SILENT, ApplicationSignal.SILENT],
        [ApplicationSignal.UNHEALTHY],
    ],
)
def test_an_application_that_cannot_work_gets_no_request_and_its_queue_is_rejected(
    signals: list[ApplicationSignal],
) -> None:
    admission = admission_of_running_application(slots=1, max_queued=2)
    for name in ("in flight", "queued"):
        admission.offer(name, 1.0, 9.0, 0.0)
    for signal in signals:
        admission.on_signal(signal, 1.0)
    assert admission.take_rejected() == ["queued"]
    assert admission.take_rejected() == []
    assert admission.offer("new", 1.0, 9.0, 1.0)[0] is AdmissionDecision.REJECT
    admission.on_request_end(None)
    assert admission.next_request(1.0) is None
    assert admission.retry_after(1.0) == MAX_RETRY_AFTER_S


def test_a_suspect_application_still_gets_requests() -> None:
    admission = admission_of_running_application(slots=1, max_queued=1)
    admission.on_signal(ApplicationSignal.SILENT, 1.0)
    assert admission.take_rejected() == []
    assert admission.offer("a", 1.0, 9.0, 1.0)[0] is AdmissionDecision.START


def test_after_a_restart_the_limit_grows_from_the_initial_share_to_all_slots() -> None:
    admission = admission_of_running_application(slots=8, initial_share=0.25, slow_start_window=10.0)
    assert admission.concurrency_limit(0.0) == 8
    admission.on_signal(ApplicationSignal.REFUSED, 100.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 101.0)
    limits = [admission.concurrency_limit(101.0 + seconds) for seconds in (0, 2.5, 5, 10, 60)]
    assert limits == [2, 3, 5, 8, 8]


def test_the_limit_is_one_request_at_least() -> None:
    admission = admission_of_running_application(slots=4, initial_share=0.01)
    admission.on_signal(ApplicationSignal.REFUSED, 1.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 2.0)
    assert admission.concurrency_limit(2.0) == 1


@pytest.mark.parametrize(
    ("signals", "is_warming_up"),
    [
        # The application was running before the sidecar, for an unknown time.
        ([ApplicationSignal.HEALTHY], False),
        # The application started after the sidecar.
        ([ApplicationSignal.REFUSED, ApplicationSignal.HEALTHY], True),
        (
            [ApplicationSignal.HEALTHY, ApplicationSignal.UNHEALTHY, ApplicationSignal.HEALTHY],
            False,
        ),  # the application was not restarted
        (
            [
                ApplicationSignal.HEALTHY,
                ApplicationSignal.SILENT,
                ApplicationSignal.SILENT,
                ApplicationSignal.HEALTHY,
            ],
            False,
        ),
        (
            [
                ApplicationSignal.HEALTHY,
                ApplicationSignal.SILENT,
                ApplicationSignal.REFUSED,
                ApplicationSignal.HEALTHY,
            ],
            True,
        ),
    ],
)
def test_which_signals_indicate_a_restart(signals: list[ApplicationSignal], is_warming_up: bool) -> None:
    admission: ApplicationAdmission[str] = ApplicationAdmission(8, 0, 0.25, 10.0, True)
    for signal in signals:
        admission.on_signal(signal, 50.0)
    assert (admission.concurrency_limit(50.0) < 8) is is_warming_up


@pytest.mark.parametrize(("survivors", "is_warming_up"), [(0, True), (1, False)])
def test_a_restart_between_two_probes_is_detected_by_all_connections_breaking(
    survivors: int, is_warming_up: bool
) -> None:
    admission = admission_of_running_application(slots=8)
    admission.on_connection_broken(2, 5.0)
    admission.on_connection_broken(survivors, 5.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 5.1)
    assert (admission.concurrency_limit(5.1) < 8) is is_warming_up


def test_a_restart_begins_one_slow_start_only() -> None:
    admission = admission_of_running_application(slots=8, slow_start_window=1.0)
    admission.on_connection_broken(0, 5.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 5.1)
    admission.on_signal(ApplicationSignal.UNHEALTHY, 9.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 9.5)
    assert admission.concurrency_limit(9.5) == 8


def test_warm_up_can_be_off() -> None:
    admission: ApplicationAdmission[str] = ApplicationAdmission(8, 0, 0.25, 10.0, False)
    admission.on_signal(ApplicationSignal.REFUSED, 0.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 1.0)
    assert admission.concurrency_limit(1.0) == 8


def test_retry_after_follows_the_queue_within_bounds() -> None:
    admission = admission_of_running_application(slots=2, max_queued=50)
    assert admission.retry_after(0.0) == MIN_RETRY_AFTER_S
    for name in range(40):
        admission.offer(str(name), 1.0, 99.0, 0.0)
    for _ in range(200):
        admission.in_flight += 1
        admission.on_request_end(0.03)
    assert admission.retry_after(0.0) == pytest.approx(0.03 * 39 / 2, rel=0.05)
    for _ in range(200):
        admission.in_flight += 1
        admission.on_request_end(2.0)
    assert admission.retry_after(0.0) == MAX_RETRY_AFTER_S


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("offer"), st.floats(0, 20), st.floats(0.0, 5.0)),
            st.tuples(st.just("end"), st.just(0.0), st.just(0.0)),
            st.tuples(st.just("leave"), st.just(0.0), st.floats(0, 1)),
            st.tuples(st.just("signal"), st.just(0.0), st.floats(0, 0.999)),
        ),
        max_size=60,
    )
)
def test_each_request_has_one_outcome_and_the_bounds_hold(
    steps: list[tuple[str, float, float]],
) -> None:
    """Guards against requests without exactly one outcome and exceeded bounds, in any order of events.

    The outcomes are: started, rejected, displaced, expired, removed after a disconnect, or still queued.
    """
    admission = admission_of_running_application(slots=3, max_queued=2)
    started: list[str] = []
    ended: list[str] = []
    now = 0.0
    for number, (kind, weight, value) in enumerate(steps):
        now += 0.1
        if kind == "offer":
            request = f"c{number}"
            decision, displaced = admission.offer(request, weight, now + value, now)
            if decision is AdmissionDecision.START:
                started.append(request)
            elif decision is AdmissionDecision.REJECT:
                ended.append(request)
            if displaced is not None:
                assert decision is AdmissionDecision.QUEUE
                ended.append(displaced)
        elif kind == "end" and started:
            ended.append(started.pop(0))
            admission.on_request_end(0.1)
        elif kind == "leave" and admission.queue:
            request = admission.queue[int(value * (len(admission.queue) - 1))].request
            assert admission.remove_queued(request)
            ended.append(request)
        elif kind == "signal":
            admission.on_signal(list(ApplicationSignal)[int(value * len(ApplicationSignal))], now)
            ended += admission.take_rejected()
        queued_before = [queued.request for queued in admission.queue]
        while (next_request := admission.next_request(now)) is not None:
            started.append(next_request)
        still_queued = [queued.request for queued in admission.queue]
        # The remaining requests were past their deadlines.
        ended += [name for name in queued_before if name not in started and name not in still_queued]
        assert admission.in_flight == len(started) <= 3
        assert len(admission.queue) <= 2
        outcomes = [*started, *ended, *still_queued]
        assert len(outcomes) == len(set(outcomes))
