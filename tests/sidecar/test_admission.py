"""What is known of the application and how much it is given: the table whole, and each limit at its edge."""

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


def up(
    slots: int = 4, waiting: int = 2, cold_from: float = 0.25, cold_for: float = 10.0
) -> ApplicationAdmission[str]:
    """One whose application was there before it."""
    admission: ApplicationAdmission[str] = ApplicationAdmission(slots, waiting, cold_from, cold_for, True)
    admission.on_signal(ApplicationSignal.HEALTHY, 0.0)
    return admission


def test_the_table_has_every_state_and_everything_heard() -> None:
    assert set(TRANSITIONS) == set(ApplicationState)
    assert all(set(row) == set(ApplicationSignal) for row in TRANSITIONS.values())


def test_only_a_healthy_probe_makes_an_application_take_calls() -> None:
    for state, heard in product(ApplicationState, ApplicationSignal):
        if TRANSITIONS[state][heard] in ACCEPTING_STATES and state not in ACCEPTING_STATES:
            assert heard is ApplicationSignal.HEALTHY, (state, heard)
    assert all(
        TRANSITIONS[state][ApplicationSignal.REFUSED] not in ACCEPTING_STATES for state in ApplicationState
    )


@pytest.mark.parametrize(
    ("heard", "state"),
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
def test_what_is_heard_one_after_another(heard: list[ApplicationSignal], state: ApplicationState) -> None:
    admission = up()
    for what in heard:
        admission.on_signal(what, 1.0)
    assert admission.state is state


def test_calls_begin_up_to_the_slots_then_wait_then_are_refused() -> None:
    admission = up(slots=2, waiting=1)
    verdicts = [admission.offer(name, 1.0, 9.0, 0.0)[0] for name in "abcd"]
    assert verdicts == [
        AdmissionDecision.START,
        AdmissionDecision.START,
        AdmissionDecision.QUEUE,
        AdmissionDecision.REJECT,
    ]
    assert admission.next_request(0.1) is None
    admission.on_request_end(0.2)
    assert (
        admission.next_request(0.2) == "c"
        and admission.next_request(0.2) is None
        and admission.in_flight == 2
    )


def test_a_newcomer_never_overtakes_who_waits() -> None:
    admission = up(slots=1, waiting=2)
    admission.offer("a", 1.0, 9.0, 0.0)
    admission.offer("b", 1.0, 9.0, 0.0)
    admission.on_request_end(0.1)
    assert admission.offer("c", 1.0, 9.0, 0.1)[0] is AdmissionDecision.QUEUE
    assert [admission.next_request(0.1)] == ["b"]


def test_the_least_worth_yields_its_place_and_only_to_more() -> None:
    admission = up(slots=1, waiting=2)
    for name, worth in (("out", 1.0), ("canje", 1.0), ("stock", 12.0)):
        admission.offer(name, worth, 9.0, 0.0)
    assert admission.offer("canje-2", 1.0, 9.0, 0.0) == (AdmissionDecision.REJECT, None)
    assert admission.offer("stock-2", 12.0, 9.0, 0.0) == (AdmissionDecision.QUEUE, "canje")
    assert admission.offer("stock-3", 12.0, 9.0, 0.0) == (AdmissionDecision.REJECT, None)
    assert [waiting.request for waiting in admission.queue] == ["stock", "stock-2"]


def test_what_can_no_longer_be_in_time_is_not_begun() -> None:
    admission = up(slots=1, waiting=2)
    for name, due in (("a", 9.0), ("late", 1.0), ("good", 9.0)):
        admission.offer(name, 1.0, due, 0.0)
    admission.on_request_end(1.0)
    assert admission.next_request(1.0) == "good"


def test_who_left_while_waiting_is_not_begun() -> None:
    admission = up(slots=1, waiting=2)
    for name in ("a", "gone", "good"):
        admission.offer(name, 1.0, 9.0, 0.0)
    assert (
        admission.remove_queued("gone")
        and not admission.remove_queued("a")
        and not admission.remove_queued("gone")
    )
    admission.on_request_end(1.0)
    assert admission.next_request(1.0) == "good"


@pytest.mark.parametrize(
    "heard",
    [
        [ApplicationSignal.REFUSED],
        [ApplicationSignal.SILENT, ApplicationSignal.SILENT],
        [ApplicationSignal.UNHEALTHY],
    ],
)
def test_an_application_that_cant_work_gets_nothing_and_nobody_waits_for_it(
    heard: list[ApplicationSignal],
) -> None:
    admission = up(slots=1, waiting=2)
    for name in ("out", "waits"):
        admission.offer(name, 1.0, 9.0, 0.0)
    for what in heard:
        admission.on_signal(what, 1.0)
    assert admission.take_rejected() == ["waits"] and admission.take_rejected() == []
    assert admission.offer("new", 1.0, 9.0, 1.0)[0] is AdmissionDecision.REJECT
    admission.on_request_end(None)
    assert admission.next_request(1.0) is None and admission.retry_after(1.0) == MAX_RETRY_AFTER_S


def test_while_something_is_only_suspected_calls_go_on() -> None:
    admission = up(slots=1, waiting=1)
    admission.on_signal(ApplicationSignal.SILENT, 1.0)
    assert (
        admission.take_rejected() == [] and admission.offer("a", 1.0, 9.0, 1.0)[0] is AdmissionDecision.START
    )


def test_after_a_restart_room_grows_from_the_cold_share_to_all() -> None:
    admission = up(slots=8, cold_from=0.25, cold_for=10.0)
    assert admission.concurrency_limit(0.0) == 8
    admission.on_signal(ApplicationSignal.REFUSED, 100.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 101.0)
    rooms = [admission.concurrency_limit(101.0 + seconds) for seconds in (0, 2.5, 5, 10, 60)]
    assert rooms == [2, 3, 5, 8, 8]


def test_one_call_at_a_time_is_given_to_the_coldest() -> None:
    admission = up(slots=4, cold_from=0.01)
    admission.on_signal(ApplicationSignal.REFUSED, 1.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 2.0)
    assert admission.concurrency_limit(2.0) == 1


@pytest.mark.parametrize(
    ("heard", "cold"),
    [
        ([ApplicationSignal.HEALTHY], False),  # it was there first: who knows for how long
        ([ApplicationSignal.REFUSED, ApplicationSignal.HEALTHY], True),  # began after the sidecar
        (
            [ApplicationSignal.HEALTHY, ApplicationSignal.UNHEALTHY, ApplicationSignal.HEALTHY],
            False,
        ),  # the same process
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
def test_which_return_counts_as_a_restart(heard: list[ApplicationSignal], cold: bool) -> None:
    admission: ApplicationAdmission[str] = ApplicationAdmission(8, 0, 0.25, 10.0, True)
    for what in heard:
        admission.on_signal(what, 50.0)
    assert (admission.concurrency_limit(50.0) < 8) is cold


@pytest.mark.parametrize(("survivors", "cold"), [(0, True), (1, False)])
def test_a_restart_between_two_probes_shows_by_all_connections_breaking(survivors: int, cold: bool) -> None:
    admission = up(slots=8)
    admission.on_connection_broken(2, 5.0)
    admission.on_connection_broken(survivors, 5.0)
    admission.on_signal(ApplicationSignal.HEALTHY, 5.1)
    assert (admission.concurrency_limit(5.1) < 8) is cold


def test_a_restart_is_held_against_an_application_once() -> None:
    admission = up(slots=8, cold_for=1.0)
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


def test_the_wait_that_is_advised_follows_the_queue_and_has_bounds() -> None:
    admission = up(slots=2, waiting=50)
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
            st.tuples(st.just("hear"), st.just(0.0), st.floats(0, 0.999)),
        ),
        max_size=60,
    )
)
def test_each_call_has_one_fate_and_the_bounds_hold(
    steps: list[tuple[str, float, float]],
) -> None:
    """Whatever happens: never more out than slots, never more waiting than places, and each call that was
    offered is begun, refused, given up for another, dismissed, left or still waiting: one of them."""
    admission = up(slots=3, waiting=2)
    begun: list[str] = []
    over: list[str] = []
    now = 0.0
    for number, (kind, worth, spare) in enumerate(steps):
        now += 0.1
        if kind == "offer":
            call = f"c{number}"
            verdict, yields = admission.offer(call, worth, now + spare, now)
            if verdict is AdmissionDecision.START:
                begun.append(call)
            elif verdict is AdmissionDecision.REJECT:
                over.append(call)
            if yields is not None:
                assert verdict is AdmissionDecision.QUEUE
                over.append(yields)
        elif kind == "end" and begun:
            over.append(begun.pop(0))
            admission.on_request_end(0.1)
        elif kind == "leave" and admission.queue:
            call = admission.queue[int(spare * (len(admission.queue) - 1))].request
            assert admission.remove_queued(call)
            over.append(call)
        elif kind == "hear":
            admission.on_signal(list(ApplicationSignal)[int(spare * len(ApplicationSignal))], now)
            over += admission.take_rejected()
        waited = [waiting.request for waiting in admission.queue]
        while (call_ := admission.next_request(now)) is not None:
            begun.append(call_)
        dropped = [
            call for call in waited if call not in begun and all(w.request != call for w in admission.queue)
        ]
        over += dropped  # their time was up
        assert admission.in_flight == len(begun) <= 3 and len(admission.queue) <= 2
        fates = [*begun, *over, *(waiting.request for waiting in admission.queue)]
        assert len(fates) == len(set(fates))
