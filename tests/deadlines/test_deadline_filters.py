"""Tests of the inbound and outbound filters: received and sent budgets, correlation, reported usage."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from service_proxy.deadlines import header
from service_proxy.deadlines.header import BudgetHeader
from service_proxy.deadlines.inbound import InboundFilter, InboundRequestState
from service_proxy.deadlines.latency_estimate import MIN_SAMPLES
from service_proxy.deadlines.outbound import OutboundCallState, OutboundFilter
from service_proxy.deadlines.propagation import BudgetPropagation
from service_proxy.net.downstream import Request, parse_request
from service_proxy.net.request_body import RequestBody
from service_proxy.net.request_filters import Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.operator_file import Budgets as Settings
from service_proxy.operator_file import OperatorError
from service_proxy.policy.events import AttemptStatus
from service_proxy.policy.settings_types import Idempotency, IdempotencyScope, RequestClass
from service_proxy.policy.settings_types import Settings as ProxySettings

CLASSES = {
    "stock": RequestClass("stock", 12.0, 0.5, 1.2, idempotency=Idempotency.IDEMPOTENT),
    "reserva": RequestClass(
        "reserva",
        1.0,
        1.5,
        4.0,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window=6.0,
    ),
    "canje": RequestClass("canje", 1.0, 2.5, 6.0, idempotency=Idempotency.NOT_IDEMPOTENT),
}
IDEMPOTENCY = {name: cls.idempotency for name, cls in CLASSES.items()}
KEY = "k1 " + "ab" * 16 + "\n"
KEYS = {b"k1": bytes.fromhex("ab" * 16)}


def do_nothing() -> None:
    """Abandon a call without effect."""


class SidecarFilters:
    """Filters of one sidecar: `inbound` before its application, `outbound` towards the tier that it calls."""

    def __init__(
        self, folder: Path, hop_id: str = "portal", upstream_hop_id: str = "nucleo", **changes: Any
    ) -> None:
        self.file = folder / f"keys-{hop_id}"
        self.file.touch(0o600)
        self.file.write_text(KEY)
        self.propagation = BudgetPropagation(Settings(str(self.file), **changes), hop_id)
        self.inbound = InboundFilter(self.propagation, CLASSES)
        self.outbound = OutboundFilter(self.propagation, upstream_hop_id, CLASSES, 3)

    def request(self, value: bytes | None, **more: Any) -> InboundRequestState:
        """Return the state of an incoming request with this header value."""
        state = self.inbound.on_request(request(value=value, **more), do_nothing)
        assert isinstance(state, InboundRequestState), state
        return state

    def reference(self, state: InboundRequestState) -> bytes:
        return state.on_attempt_start(1.0, 1).removeprefix(b"tier-budget: ").removesuffix(b"\r\n")

    def call(
        self, value: bytes | None, abandon: Callable[[], None] = do_nothing, **more: Any
    ) -> OutboundCallState:
        state = self.outbound.on_request(request(value=value, **more), abandon)
        assert isinstance(state, OutboundCallState), state
        return state


def request(
    id: bytes = b"9b1f03aa5c7e2d41",
    cls: str = "canje",
    budget: float = 5.0,
    key: bytes = b"",
    value: bytes | None = None,
    values: tuple[bytes, ...] = (),
) -> Request:
    """Return a request as the listener parses it, with these values of Tier-Budget."""
    headers = [(b"host", b"x"), (b"x-call-id", id), (b"x-budget", b"%dm" % (budget * 1000))]
    if cls == "reserva":
        headers.append((b"idempotency-key", key or id))
    headers += [(header.FIELD_NAME, one) for one in values or (() if value is None else (value,))]
    method = b"GET" if cls == "stock" else b"POST"
    parsed = parse_request(
        method,
        b"/" + cls.encode(),
        headers,
        RequestBody.of(b""),
        time.monotonic(),
        IDEMPOTENCY,
        InboundFilter.consumed_headers,
    )
    assert header.FIELD_NAME not in parsed.head
    return parsed


def received_value(
    id: bytes = b"9b1f03aa5c7e2d41",
    time_left: float = 2.0,
    remaining_objective: float = 1.0,
    attempts: int = 6,
    priority_weight: float = 1.0,
    path: tuple[str, ...] = ("edge",),
) -> bytes:
    return header.encode_budget(
        BudgetHeader(time_left, remaining_objective, attempts, priority_weight, "canje", path, "f" * 16),
        id,
        KEYS,
    )


def start_attempt(
    state: OutboundCallState, timeout: float = 5.0, id: bytes = b"9b1f03aa5c7e2d41"
) -> BudgetHeader:
    """Start the next attempt; return the budget in the attempt's header."""
    lines = state.on_attempt_start(timeout, 1)
    assert lines is not None
    return header.decode_budget(lines.removeprefix(b"tier-budget: ").removesuffix(b"\r\n"), id, KEYS)


class EndedAttempt:
    """Upstream attempt that has ended with this response."""

    def __init__(self, code: int = 200, value: bytes | None = None, elapsed: float = 0.1) -> None:
        self.status_code = code
        self.elapsed = elapsed
        self.response_headers = [] if value is None else [(header.FIELD_NAME, value)]


def end_attempt(
    state: OutboundCallState, ended: EndedAttempt, status: AttemptStatus = AttemptStatus.OK
) -> None:
    state.on_attempt_end(cast(UpstreamAttempt, ended), status)


# Received budgets.
def test_received_budget_sets_deadline_weight_and_path(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    state = sidecar.request(received_value(time_left=2.0, priority_weight=3.0))
    assert 1.9 < state.deadline - time.monotonic() <= 2.0
    assert (
        state.weight_share == 3.0 and state.budget.path == ("edge", "portal") and state.budget.allowance == 6
    )


def test_requests_own_deadline_may_be_shorter_than_its_budgets(tmp_path: Path) -> None:
    state = SidecarFilters(tmp_path).request(received_value(time_left=60.0), budget=0.5)
    assert state.deadline - time.monotonic() <= 0.5


@pytest.mark.parametrize(
    "kind", ["none", "forged", "another call's", "negative", "huge", "doubled", "garbage"]
)
def test_invalid_budget_header_is_ignored_and_grants_nothing(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    good = received_value(priority_weight=1e6, time_left=3600.0, attempts=9999)
    unsigned = good.rpartition(b";m=")[0]
    bad: dict[str, tuple[bytes, ...]] = {
        "none": (),
        "forged": (
            header.encode_budget(
                BudgetHeader(3600.0, 3600.0, 9999, 1e6, "canje", ("edge",), "f" * 16),
                b"9b1f03aa5c7e2d41",
                {b"k1": b"guess" * 4},
            ),
        ),
        "another call's": (received_value(id=b"another", priority_weight=1e6),),
        "negative": (good.replace(b"t=3600000000", b"t=-1"),),
        "huge": (unsigned.replace(b"a=9999", b"a=" + b"9" * 400) + b";m=" + b"0" * 32,),
        "doubled": (good, good),
        "garbage": (b"\xff;;==",),
    }
    sidecar = SidecarFilters(tmp_path, attempts=5)
    with caplog.at_level(logging.WARNING):
        state = sidecar.inbound.on_request(request(values=bad[kind]), do_nothing)
    assert isinstance(state, InboundRequestState)
    assert state.weight_share == 1.0 and state.budget.allowance == 5 and state.budget.path == ("portal",)
    assert state.deadline - time.monotonic() <= 5.0 and state.response_headers() == ()
    assert ("budget_header_ignored" in caplog.text) is (kind != "none")


@pytest.mark.parametrize(
    ("path", "loop"),
    [
        (("edge", "portal"), "edge > portal > portal"),
        (("edge", "portal", "nucleo"), "edge > portal > nucleo > portal"),
        (("portal", "nucleo", "almacen"), "portal > nucleo > almacen > portal"),
    ],
)
def test_loop_is_rejected_before_execution_with_its_path(
    tmp_path: Path, path: tuple[str, ...], loop: str, caplog: pytest.LogCaptureFixture
) -> None:
    sidecar = SidecarFilters(tmp_path)
    with caplog.at_level(logging.WARNING):
        rejection = sidecar.inbound.on_request(request(value=received_value(path=path)), do_nothing)
    assert isinstance(rejection, Rejection) and loop.encode() in rejection.body
    assert f'loop_rejected path="{loop}"' in caplog.text and sidecar.propagation.rejected_loops == 1


def test_tier_called_by_two_branches_is_no_loop(tmp_path: Path) -> None:
    common = SidecarFilters(tmp_path, "common")
    for way in (("edge", "portal"), ("edge", "portal", "nucleo")):
        common.request(received_value(path=way))


def test_loop_that_the_call_would_close_is_rejected_before_it_is_sent(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path, "nucleo", upstream_hop_id="portal")
    reference = sidecar.reference(sidecar.request(received_value(path=("edge", "portal"))))
    rejection = sidecar.outbound.on_request(request(b"child", value=reference), do_nothing)
    assert isinstance(rejection, Rejection) and b"edge > portal > nucleo > portal" in rejection.body


def test_insufficient_budget_is_rejected_before_any_work(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    for _ in range(MIN_SAMPLES):
        sidecar.inbound.latencies["canje"].record(0.4)
    rejection = sidecar.inbound.on_request(request(value=received_value(time_left=0.3)), do_nothing)
    assert isinstance(rejection, Rejection) and b"can't cover" in rejection.body
    sidecar.request(received_value(time_left=0.5))
    off = SidecarFilters(tmp_path, "other", refuse_below_usual=False)
    for _ in range(MIN_SAMPLES):
        off.inbound.latencies["canje"].record(0.4)
    off.request(received_value(time_left=0.3))


# Correlation.
def test_edge_ignores_received_headers_and_starts_a_tree(tmp_path: Path) -> None:
    edge = SidecarFilters(tmp_path, "edge", upstream_hop_id="portal", edge=True, attempts=7)
    for value in (received_value(priority_weight=1e6, attempts=9999), b"ref;" + b"0" * 16, None):
        state = edge.call(value)
        assert state.max_attempts == 7 and state.weight_share == 1.0
        budget = start_attempt(state)
        assert (budget.priority_weight, budget.path, budget.request_class) == (1.0, ("edge",), "canje")
        assert 4.9 < budget.remaining_time < 5.0 and 2.3 < budget.remaining_objective < 2.5


@pytest.mark.parametrize("how", ["field", "id", "key"])
def test_call_gets_an_allowance_of_its_requests_budget(tmp_path: Path, how: str) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(
        received_value(b"abc", time_left=1.0, priority_weight=5.0), id=b"abc", cls="reserva", key=b"K"
    )
    reference = sidecar.reference(inner)
    if how == "field":
        state = sidecar.call(reference, id=b"x", cls="stock")
    elif how == "id":
        state = sidecar.call(None, id=b"abc.1", cls="stock")
    else:
        state = sidecar.call(None, id=b"x", cls="reserva", key=b"K")
    # Half of 6 attempts, because the call is the first of 2.
    assert state.budget.parent is inner.budget and state.max_attempts == 3
    assert state.deadline == inner.deadline and state.weight_share == pytest.approx(
        5.0 / CLASSES[state.request_class.name].priority_weight
    )


@pytest.mark.parametrize("value", [None, b"ref;" + b"0" * 16, received_value(b"child"), b"nonsense"])
def test_call_of_an_unknown_request_has_its_classs_deadline(tmp_path: Path, value: bytes | None) -> None:
    sidecar = SidecarFilters(tmp_path)
    sidecar.reference(sidecar.request(received_value(time_left=0.5)))
    state = sidecar.call(value, id=b"child", cls="stock", budget=9.0)
    assert state.budget.parent is None and 1.1 < state.deadline - time.monotonic() <= 1.2
    assert state.max_attempts == 12 and state.weight_share == 1.0


def test_call_for_an_abandoned_request_is_rejected_and_for_an_answered_one_is_independent(
    tmp_path: Path,
) -> None:
    sidecar = SidecarFilters(tmp_path)
    left = sidecar.request(received_value(b"a"), id=b"a")
    answered = sidecar.request(received_value(b"b"), id=b"b")
    references = sidecar.reference(left), sidecar.reference(answered)
    left.on_request_end(False)
    answered.on_request_end(True)
    rejection = sidecar.outbound.on_request(request(b"x", value=references[0]), do_nothing)
    assert isinstance(rejection, Rejection) and b"nobody waits" in rejection.body
    assert sidecar.call(references[1], id=b"y").budget.parent is None


def test_first_call_that_uses_its_allowance_leaves_the_second_its_own(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(received_value(attempts=4))
    reference = sidecar.reference(inner)
    first = sidecar.call(reference, id=b"1")
    start_attempt(first, id=b"1")
    end_attempt(first, EndedAttempt(0), AttemptStatus.RESET)  # The attempt used its whole grant.
    assert first.max_attempts == 2 and first.on_attempt_start(1.0, 1) is None
    first.on_request_end(True)
    second = sidecar.call(reference, id=b"2")
    assert second.max_attempts == 2
    assert isinstance(sidecar.outbound.on_request(request(b"3", value=reference), do_nothing), Rejection)


def test_client_retry_is_a_new_request_with_the_same_key_and_its_own_budget(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    one = sidecar.request(received_value(b"one"), id=b"one", cls="reserva", key=b"K")
    two = sidecar.request(received_value(b"two", time_left=0.7), id=b"two", cls="reserva", key=b"K")
    references = sidecar.reference(one), sidecar.reference(two)
    # Two open requests have the key, so the call's request is unknown.
    assert sidecar.call(None, id=b"x", cls="reserva", key=b"K").budget.parent is None
    assert sidecar.call(references[1], id=b"y", cls="reserva", key=b"K").budget.parent is two.budget
    one.on_request_end(False)
    assert sidecar.call(None, id=b"z", cls="reserva", key=b"K").budget.parent is two.budget


# Sent budgets and reported usage.
def test_remaining_time_on_the_wire_is_reduced_by_the_transit_time(tmp_path: Path) -> None:
    edge = SidecarFilters(tmp_path, "edge", edge=True)
    for _ in range(200):
        state = edge.call(None)
        start_attempt(state)
        # The transit takes 20 ms each way.
        end_attempt(state, EndedAttempt(200, header.encode_usage(1, 0.060), 0.100))
    budget = start_attempt(edge.call(None), 1.0)
    assert 0.96 < budget.remaining_time < 0.98


@pytest.mark.parametrize(
    ("ended", "status", "free"),
    [
        (EndedAttempt(200, header.encode_usage(1, 0.05)), AttemptStatus.OK, 10),
        (EndedAttempt(503, header.encode_usage(0, 0.0)), AttemptStatus.REJECTED, 11),
        (EndedAttempt(500, header.encode_usage(6, 0.05)), AttemptStatus.ERROR, 5),
        (EndedAttempt(200), AttemptStatus.OK, 11),  # The receiver has a version without budgets.
        # A report of more attempts than were granted is ignored.
        (EndedAttempt(200, b"1;s=7;q=1"), AttemptStatus.OK, 11),
        (EndedAttempt(0), AttemptStatus.RESET, 5),
        (EndedAttempt(0), AttemptStatus.TIMEOUT, 5),
        (EndedAttempt(0), AttemptStatus.CANCELLED, 5),
        (EndedAttempt(0), AttemptStatus.CONNECT_FAILED, 11),
        (EndedAttempt(0), AttemptStatus.NOT_SENT, 11),
    ],
)
def test_available_attempts_after_an_attempt(
    tmp_path: Path, ended: EndedAttempt, status: AttemptStatus, free: int
) -> None:
    edge = SidecarFilters(tmp_path, "edge", edge=True)
    state = edge.call(None)
    assert start_attempt(state).attempts == 6
    end_attempt(state, ended, status)
    assert state.budget.available == free


def test_answer_reports_the_attempts_used(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(received_value(attempts=6))
    state = sidecar.call(sidecar.reference(inner), id=b"x")
    start_attempt(state, id=b"x")
    end_attempt(state, EndedAttempt(200, header.encode_usage(1, 0.01)))
    state.on_request_end(True)
    ((name, value),) = inner.response_headers()
    found = header.decode_usage(value, 6)
    assert name == header.FIELD_NAME and found is not None and found[0] == 2 and found[1] < 1.0


def test_calls_in_flight_end_when_the_client_leaves(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(received_value())
    reference = sidecar.reference(inner)
    abandoned: list[str] = []
    out = sidecar.call(reference, lambda: abandoned.append("out"), id=b"1")
    done = sidecar.call(reference, lambda: abandoned.append("done"), id=b"2")
    done.on_request_end(True)
    inner.on_request_end(False)
    assert (
        abandoned == ["out"] and out.on_attempt_start(1.0, 1) is None and not sidecar.propagation.open_calls
    )


def test_calls_in_flight_may_go_on_when_the_request_is_answered(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(received_value())
    abandoned: list[str] = []
    out = sidecar.call(sidecar.reference(inner), lambda: abandoned.append("out"), id=b"1")
    inner.on_request_end(True)
    assert abandoned == [] and out.on_attempt_start(1.0, 1) is None  # A further attempt is not started.


def test_weight_falls_after_the_outermost_latency_objective(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    inner = sidecar.request(received_value(remaining_objective=0.0, priority_weight=4.0))
    assert inner.weight_share == pytest.approx(0.2)  # One twentieth of 4.
    assert sidecar.call(sidecar.reference(inner), id=b"x").weight_share == pytest.approx(0.2)


def test_second_of_two_calls_has_twice_the_weight_of_the_first(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    reference = sidecar.reference(sidecar.request(received_value(attempts=12)))
    shares = []
    for number in range(3):
        state = sidecar.call(reference, id=b"%d" % number)
        shares.append(state.weight_share)
        state.on_request_end(True)
    assert shares == [1.0, 2.0, 2.0]


def test_weight_is_taken_at_the_earliest_usual_end(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    for _ in range(MIN_SAMPLES):
        sidecar.inbound.latencies["canje"].record(0.4)
        sidecar.outbound.latencies["canje"].record(0.2)
    soon = sidecar.request(received_value(remaining_objective=0.3))
    later = sidecar.request(received_value(b"b", remaining_objective=0.6), id=b"b")
    assert soon.weight_share == pytest.approx(0.05) and later.weight_share == 1.0
    assert sidecar.call(sidecar.reference(soon), id=b"x").weight_share == 1.0
    late = sidecar.request(received_value(b"c", remaining_objective=0.1), id=b"c")
    assert sidecar.call(sidecar.reference(late), id=b"y").weight_share == pytest.approx(0.05)


# Key files.
def test_keys_are_rotated_under_traffic_without_a_rejection(tmp_path: Path) -> None:
    one = SidecarFilters(tmp_path, "edge", edge=True)
    two = SidecarFilters(tmp_path, "portal")
    new = "k2 " + "cd" * 16 + "\n"
    steps = [(one, KEY + new), (two, KEY + new), (one, new + KEY), (two, new + KEY), (one, new), (two, new)]
    for place, (sidecar, text) in enumerate([(one, KEY), *steps]):
        sidecar.file.write_text(text)
        sidecar.propagation.reread_keys()
        id = b"call-%d" % place
        lines = one.call(None, id=id).on_attempt_start(1.0, 1)
        assert lines is not None
        value = lines.removeprefix(b"tier-budget: ").removesuffix(b"\r\n")
        assert two.request(value, id=id).has_budget_header, place


@pytest.mark.parametrize(
    ("text", "line", "says"),
    [
        ("", 1, "holds 0 keys"),
        ("k1 abcd\n", 1, "is no key"),
        ("k1 " + "ab" * 65 + "\n", 1, "is no key"),
        ("# one\n" + KEY + "K2 " + "cd" * 16, 3, "is no key"),
        (KEY + KEY, 2, "is given twice"),
        (KEY + "k2 " + "ab" * 16 + "\n", 2, "is given twice"),
        (KEY + "k2 " + "cd" * 16 + "\nk3 " + "ef" * 16 + "\n", 1, "holds 3 keys"),
        ("#" * 1025, 1, "larger than"),
    ],
)
def test_invalid_key_file_changes_nothing_and_shows_no_key(
    tmp_path: Path, text: str, line: int, says: str
) -> None:
    sidecar = SidecarFilters(tmp_path)
    before = sidecar.propagation.keys
    sidecar.file.write_text(text)
    with pytest.raises(OperatorError) as error:
        sidecar.propagation.reread_keys()
    (problem,) = error.value.problems
    assert problem.line == line and says in problem.text and "ab" * 16 not in str(problem)
    assert sidecar.propagation.keys is before


def test_world_readable_key_file_is_rejected(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    sidecar.file.chmod(0o644)
    with pytest.raises(OperatorError, match="may be read by everybody"):
        sidecar.propagation.reread_keys()


def test_tables_are_empty_when_all_requests_have_ended(tmp_path: Path) -> None:
    sidecar = SidecarFilters(tmp_path)
    for number in range(50):
        id = b"call-%d" % number
        inner = sidecar.request(received_value(id), id=id)
        state = sidecar.call(sidecar.reference(inner), id=id + b".1")
        start_attempt(state, id=id + b".1")
        end_attempt(state, EndedAttempt())
        state.on_request_end(True)
        inner.on_request_end(number % 2 == 0)
    assert not sidecar.propagation.open_calls and not sidecar.propagation.correlation.open
    sidecar.propagation.correlation.expire(time.monotonic() + 3600)
    assert len(sidecar.propagation.correlation) == 0


def test_package_never_reads_the_wall_clock() -> None:
    """Deadlines must not depend on the wall clock, because it can step by an hour."""
    files = list((Path(__file__).parent.parent.parent / "service_proxy" / "deadlines").glob("*.py"))
    assert {"propagation.py", "inbound.py", "outbound.py"} <= {file.name for file in files}
    for file in files:
        text = file.read_text()
        assert "time.time" not in text and "datetime" not in text, file


def test_settings_update_adds_classes_and_calls_in_flight_of_removed_ones_end(
    tmp_path: Path,
) -> None:
    sidecar = SidecarFilters(tmp_path)
    state = sidecar.call(None)
    express = RequestClass("express", 1.0, 0.5, 1.0)
    sidecar.outbound.on_settings_update(ProxySettings([CLASSES["stock"], express], max_attempts=2))
    end_attempt(state, EndedAttempt())
    state.on_request_end(True)
    assert sidecar.outbound.max_attempts == 2 and set(sidecar.outbound.classes) == {"stock", "express"}
    assert sidecar.outbound.latencies.keys() >= {"stock", "express", "canje"}
