"""The filters: what a request brings, whose call is whose, what goes on the wire and what comes back of
it."""

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
from service_proxy.policy.events import AttemptStatus, Idempotency, IdempotencyScope, RequestClass
from service_proxy.policy.events import Settings as ProxySettings

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
EFFECTS = {name: cls.idempotency for name, cls in CLASSES.items()}
KEY = "k1 " + "ab" * 16 + "\n"
KEYS = {b"k1": bytes.fromhex("ab" * 16)}


def nothing() -> None:
    """A call that needs no end."""


class Process:
    """The budgets of one sidecar: `inner` before its application, `outer` towards the tier that it calls."""

    def __init__(self, folder: Path, mark: str = "portal", called: str = "nucleo", **changes: Any) -> None:
        self.file = folder / f"keys-{mark}"
        self.file.touch(0o600)
        self.file.write_text(KEY)
        self.budgets = BudgetPropagation(Settings(str(self.file), **changes), mark)
        self.inner = InboundFilter(self.budgets, CLASSES)
        self.outer = OutboundFilter(self.budgets, called, CLASSES, 3)

    def request(self, value: bytes | None, **more: Any) -> InboundRequestState:
        """A request that brings this, handed to the application."""
        ticket = self.inner.on_request(request(value=value, **more), nothing)
        assert isinstance(ticket, InboundRequestState), ticket
        return ticket

    def reference(self, ticket: InboundRequestState) -> bytes:
        return ticket.on_attempt_start(1.0).removeprefix(b"tier-budget: ").removesuffix(b"\r\n")

    def call(
        self, value: bytes | None, give_up: Callable[[], None] = nothing, **more: Any
    ) -> OutboundCallState:
        ticket = self.outer.on_request(request(value=value, **more), give_up)
        assert isinstance(ticket, OutboundCallState), ticket
        return ticket


def request(
    id: bytes = b"9b1f03aa5c7e2d41",
    cls: str = "canje",
    budget: float = 5.0,
    key: bytes = b"",
    value: bytes | None = None,
    values: tuple[bytes, ...] = (),
) -> Request:
    """As the listener reads it, with these fields Tier-Budget."""
    headers = [(b"host", b"x"), (b"x-call-id", id), (b"x-budget", b"%dm" % (budget * 1000))]
    if cls == "reserva":
        headers.append((b"idempotency-key", key or id))
    headers += [(header.FIELD_NAME, one) for one in values or (() if value is None else (value,))]
    method = b"GET" if cls == "stock" else b"POST"
    made = parse_request(
        method,
        b"/" + cls.encode(),
        headers,
        RequestBody.of(b""),
        time.monotonic(),
        EFFECTS,
        InboundFilter.consumed_headers,
    )
    assert header.FIELD_NAME not in made.head
    return made


def brought(
    id: bytes = b"9b1f03aa5c7e2d41",
    time_left: float = 2.0,
    aim: float = 1.0,
    attempts: int = 6,
    worth: float = 1.0,
    path: tuple[str, ...] = ("edge",),
) -> bytes:
    return header.encode_budget(
        BudgetHeader(time_left, aim, attempts, worth, "canje", path, "f" * 16), id, KEYS
    )


def sent(ticket: OutboundCallState, timeout: float = 5.0, id: bytes = b"9b1f03aa5c7e2d41") -> BudgetHeader:
    """What the next attempt has on the wire."""
    lines = ticket.on_attempt_start(timeout)
    assert lines is not None
    return header.decode_budget(lines.removeprefix(b"tier-budget: ").removesuffix(b"\r\n"), id, KEYS)


class Ended:
    """An exchange that came to this."""

    def __init__(self, code: int = 200, value: bytes | None = None, elapsed: float = 0.1) -> None:
        self.status_code = code
        self.elapsed = elapsed
        self.response_headers = [] if value is None else [(header.FIELD_NAME, value)]


def returned(ticket: OutboundCallState, ended: Ended, status: AttemptStatus = AttemptStatus.OK) -> None:
    ticket.on_attempt_end(cast(UpstreamAttempt, ended), status)


# what a request brings
def test_received_budget_sets_deadline_weight_and_path(tmp_path: Path) -> None:
    process = Process(tmp_path)
    ticket = process.request(brought(time_left=2.0, worth=3.0))
    assert 1.9 < ticket.deadline - time.monotonic() <= 2.0
    assert (
        ticket.weight_share == 3.0
        and ticket.budget.path == ("edge", "portal")
        and ticket.budget.allowance == 6
    )


def test_requests_own_deadline_may_be_shorter_than_its_budgets(tmp_path: Path) -> None:
    ticket = Process(tmp_path).request(brought(time_left=60.0), budget=0.5)
    assert ticket.deadline - time.monotonic() <= 0.5


@pytest.mark.parametrize(
    "kind", ["none", "forged", "another call's", "negative", "huge", "doubled", "garbage"]
)
def test_invalid_budget_header_is_ignored_and_grants_nothing(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    good = brought(worth=1e6, time_left=3600.0, attempts=9999)
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
        "another call's": (brought(id=b"another", worth=1e6),),
        "negative": (good.replace(b"t=3600000000", b"t=-1"),),
        "huge": (unsigned.replace(b"a=9999", b"a=" + b"9" * 400) + b";m=" + b"0" * 32,),
        "doubled": (good, good),
        "garbage": (b"\xff;;==",),
    }
    process = Process(tmp_path, attempts=5)
    with caplog.at_level(logging.WARNING):
        ticket = process.inner.on_request(request(values=bad[kind]), nothing)
    assert isinstance(ticket, InboundRequestState)
    assert ticket.weight_share == 1.0 and ticket.budget.allowance == 5 and ticket.budget.path == ("portal",)
    assert ticket.deadline - time.monotonic() <= 5.0 and ticket.response_headers() == ()
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
    process = Process(tmp_path)
    with caplog.at_level(logging.WARNING):
        turned = process.inner.on_request(request(value=brought(path=path)), nothing)
    assert isinstance(turned, Rejection) and loop.encode() in turned.body
    assert f'loop_rejected path="{loop}"' in caplog.text and process.budgets.rejected_loops == 1


def test_tier_called_by_two_branches_is_no_loop(tmp_path: Path) -> None:
    common = Process(tmp_path, "common")
    for way in (("edge", "portal"), ("edge", "portal", "nucleo")):
        common.request(brought(path=way))


def test_loop_that_the_call_would_close_is_rejected_before_it_is_sent(tmp_path: Path) -> None:
    process = Process(tmp_path, "nucleo", called="portal")
    reference = process.reference(process.request(brought(path=("edge", "portal"))))
    turned = process.outer.on_request(request(b"child", value=reference), nothing)
    assert isinstance(turned, Rejection) and b"edge > portal > nucleo > portal" in turned.body


def test_insufficient_budget_is_rejected_before_any_work(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for _ in range(MIN_SAMPLES):
        process.inner.latencies["canje"].record(0.4)
    turned = process.inner.on_request(request(value=brought(time_left=0.3)), nothing)
    assert isinstance(turned, Rejection) and b"can't cover" in turned.body
    process.request(brought(time_left=0.5))
    off = Process(tmp_path, "other", refuse_below_usual=False)
    for _ in range(MIN_SAMPLES):
        off.inner.latencies["canje"].record(0.4)
    off.request(brought(time_left=0.3))


# whose call is whose
def test_edge_ignores_received_headers_and_starts_a_tree(tmp_path: Path) -> None:
    edge = Process(tmp_path, "edge", called="portal", edge=True, attempts=7)
    for value in (brought(worth=1e6, attempts=9999), b"ref;" + b"0" * 16, None):
        ticket = edge.call(value)
        assert ticket.max_attempts == 7 and ticket.weight_share == 1.0
        budget = sent(ticket)
        assert (budget.priority_weight, budget.path, budget.request_class) == (1.0, ("edge",), "canje")
        assert 4.9 < budget.remaining_time < 5.0 and 2.3 < budget.remaining_objective < 2.5


@pytest.mark.parametrize("how", ["field", "id", "key"])
def test_call_gets_an_allowance_of_its_requests_budget(tmp_path: Path, how: str) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(b"abc", time_left=1.0, worth=5.0), id=b"abc", cls="reserva", key=b"K")
    reference = process.reference(inner)
    if how == "field":
        ticket = process.call(reference, id=b"x", cls="stock")
    elif how == "id":
        ticket = process.call(None, id=b"abc.1", cls="stock")
    else:
        ticket = process.call(None, id=b"x", cls="reserva", key=b"K")
    assert ticket.budget.parent is inner.budget and ticket.max_attempts == 3  # of 6, for the first of 2 calls
    assert ticket.deadline == inner.deadline and ticket.weight_share == pytest.approx(
        5.0 / CLASSES[ticket.request_class.name].priority_weight
    )


@pytest.mark.parametrize("value", [None, b"ref;" + b"0" * 16, brought(b"child"), b"nonsense"])
def test_call_of_an_unknown_request_has_its_classs_deadline(tmp_path: Path, value: bytes | None) -> None:
    process = Process(tmp_path)
    process.reference(process.request(brought(time_left=0.5)))
    ticket = process.call(value, id=b"child", cls="stock", budget=9.0)
    assert ticket.budget.parent is None and 1.1 < ticket.deadline - time.monotonic() <= 1.2
    assert ticket.max_attempts == 12 and ticket.weight_share == 1.0


def test_call_for_an_abandoned_request_is_rejected_and_for_an_answered_one_is_independent(
    tmp_path: Path,
) -> None:
    process = Process(tmp_path)
    gone = process.request(brought(b"a"), id=b"a")
    answered = process.request(brought(b"b"), id=b"b")
    references = process.reference(gone), process.reference(answered)
    gone.on_request_end(False)
    answered.on_request_end(True)
    turned = process.outer.on_request(request(b"x", value=references[0]), nothing)
    assert isinstance(turned, Rejection) and b"nobody waits" in turned.body
    assert process.call(references[1], id=b"y").budget.parent is None


def test_first_call_that_uses_its_allowance_leaves_the_second_its_own(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(attempts=4))
    reference = process.reference(inner)
    first = process.call(reference, id=b"1")
    sent(first, id=b"1")
    returned(first, Ended(0), AttemptStatus.RESET)  # with what it had been lent
    assert first.max_attempts == 2 and first.on_attempt_start(1.0) is None
    first.on_request_end(True)
    second = process.call(reference, id=b"2")
    assert second.max_attempts == 2
    assert isinstance(process.outer.on_request(request(b"3", value=reference), nothing), Rejection)


def test_client_retry_is_a_new_request_with_the_same_key_and_its_own_budget(tmp_path: Path) -> None:
    process = Process(tmp_path)
    one = process.request(brought(b"one"), id=b"one", cls="reserva", key=b"K")
    two = process.request(brought(b"two", time_left=0.7), id=b"two", cls="reserva", key=b"K")
    references = process.reference(one), process.reference(two)
    assert process.call(None, id=b"x", cls="reserva", key=b"K").budget.parent is None  # of which? unknown
    assert process.call(references[1], id=b"y", cls="reserva", key=b"K").budget.parent is two.budget
    one.on_request_end(False)
    assert process.call(None, id=b"z", cls="reserva", key=b"K").budget.parent is two.budget


# what goes down and comes back
def test_remaining_time_on_the_wire_is_reduced_by_the_transit_time(tmp_path: Path) -> None:
    edge = Process(tmp_path, "edge", edge=True)
    for _ in range(200):
        ticket = edge.call(None)
        sent(ticket)
        returned(ticket, Ended(200, header.encode_usage(1, 0.060), 0.100))  # 20 ms each way
    budget = sent(edge.call(None), 1.0)
    assert 0.96 < budget.remaining_time < 0.98


@pytest.mark.parametrize(
    ("ended", "status", "free"),
    [
        (Ended(200, header.encode_usage(1, 0.05)), AttemptStatus.OK, 10),
        (Ended(503, header.encode_usage(0, 0.0)), AttemptStatus.REJECTED, 11),
        (Ended(500, header.encode_usage(6, 0.05)), AttemptStatus.ERROR, 5),
        (Ended(200), AttemptStatus.OK, 11),  # an older receiver, which knows of no budgets
        (Ended(200, b"1;s=7;q=1"), AttemptStatus.OK, 11),  # more than it was lent: no word at all
        (Ended(0), AttemptStatus.RESET, 5),
        (Ended(0), AttemptStatus.TIMEOUT, 5),
        (Ended(0), AttemptStatus.CANCELLED, 5),
        (Ended(0), AttemptStatus.CONNECT_FAILED, 11),
        (Ended(0), AttemptStatus.NOT_SENT, 11),
    ],
)
def test_available_attempts_after_an_attempt(
    tmp_path: Path, ended: Ended, status: AttemptStatus, free: int
) -> None:
    edge = Process(tmp_path, "edge", edge=True)
    ticket = edge.call(None)
    assert sent(ticket).attempts == 6
    returned(ticket, ended, status)
    assert ticket.budget.available == free


def test_answer_reports_the_attempts_used(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(attempts=6))
    ticket = process.call(process.reference(inner), id=b"x")
    sent(ticket, id=b"x")
    returned(ticket, Ended(200, header.encode_usage(1, 0.01)))
    ticket.on_request_end(True)
    ((name, value),) = inner.response_headers()
    found = header.decode_usage(value, 6)
    assert name == header.FIELD_NAME and found is not None and found[0] == 2 and found[1] < 1.0


def test_calls_in_flight_end_when_the_client_leaves(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought())
    reference = process.reference(inner)
    given_up: list[str] = []
    out = process.call(reference, lambda: given_up.append("out"), id=b"1")
    done = process.call(reference, lambda: given_up.append("done"), id=b"2")
    done.on_request_end(True)
    inner.on_request_end(False)
    assert given_up == ["out"] and out.on_attempt_start(1.0) is None and not process.budgets.open_calls


def test_calls_in_flight_may_go_on_when_the_request_is_answered(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought())
    given_up: list[str] = []
    out = process.call(process.reference(inner), lambda: given_up.append("out"), id=b"1")
    inner.on_request_end(True)
    assert given_up == [] and out.on_attempt_start(1.0) is None  # but begins nothing more


def test_weight_falls_after_the_outermost_latency_objective(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(aim=0.0, worth=4.0))
    assert inner.weight_share == pytest.approx(0.2)  # a twentieth of 4
    assert process.call(process.reference(inner), id=b"x").weight_share == pytest.approx(0.2)


def test_second_of_two_calls_has_twice_the_weight_of_the_first(tmp_path: Path) -> None:
    process = Process(tmp_path)
    reference = process.reference(process.request(brought(attempts=12)))
    shares = []
    for number in range(3):
        ticket = process.call(reference, id=b"%d" % number)
        shares.append(ticket.weight_share)
        ticket.on_request_end(True)
    assert shares == [1.0, 2.0, 2.0]


def test_weight_counts_at_the_earliest_usual_end(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for _ in range(MIN_SAMPLES):
        process.inner.latencies["canje"].record(0.4)
        process.outer.latencies["canje"].record(0.2)
    soon = process.request(brought(aim=0.3))
    later = process.request(brought(b"b", aim=0.6), id=b"b")
    assert soon.weight_share == pytest.approx(0.05) and later.weight_share == 1.0
    assert process.call(process.reference(soon), id=b"x").weight_share == 1.0
    late = process.request(brought(b"c", aim=0.1), id=b"c")
    assert process.call(process.reference(late), id=b"y").weight_share == pytest.approx(0.05)


# keys
def test_keys_are_rotated_under_traffic_without_a_rejection(tmp_path: Path) -> None:
    one = Process(tmp_path, "edge", edge=True)
    two = Process(tmp_path, "portal")
    new = "k2 " + "cd" * 16 + "\n"
    steps = [(one, KEY + new), (two, KEY + new), (one, new + KEY), (two, new + KEY), (one, new), (two, new)]
    for place, (process, text) in enumerate([(one, KEY), *steps]):
        process.file.write_text(text)
        process.budgets.reread_keys()
        id = b"call-%d" % place
        lines = one.call(None, id=id).on_attempt_start(1.0)
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
    process = Process(tmp_path)
    before = process.budgets.keys
    process.file.write_text(text)
    with pytest.raises(OperatorError) as fault:
        process.budgets.reread_keys()
    (problem,) = fault.value.problems
    assert problem.line == line and says in problem.text and "ab" * 16 not in str(problem)
    assert process.budgets.keys is before


def test_world_readable_key_file_is_rejected(tmp_path: Path) -> None:
    process = Process(tmp_path)
    process.file.chmod(0o644)
    with pytest.raises(OperatorError, match="may be read by everybody"):
        process.budgets.reread_keys()


def test_tables_are_empty_when_all_requests_have_ended(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for number in range(50):
        id = b"call-%d" % number
        inner = process.request(brought(id), id=id)
        ticket = process.call(process.reference(inner), id=id + b".1")
        sent(ticket, id=id + b".1")
        returned(ticket, Ended())
        ticket.on_request_end(True)
        inner.on_request_end(number % 2 == 0)
    assert not process.budgets.open_calls and not process.budgets.correlation.open
    process.budgets.correlation.expire(time.monotonic() + 3600)
    assert len(process.budgets.correlation) == 0


def test_package_never_reads_the_wall_clock() -> None:
    """A clock step of an hour can't matter to what is never looked at."""
    files = list((Path(__file__).parent.parent.parent / "service_proxy" / "deadlines").glob("*.py"))
    assert {"propagation.py", "inbound.py", "outbound.py"} <= {file.name for file in files}
    for file in files:
        text = file.read_text()
        assert "time.time" not in text and "datetime" not in text, file


def test_settings_update_adds_classes_and_calls_in_flight_of_removed_ones_end(
    tmp_path: Path,
) -> None:
    made = Process(tmp_path)
    ticket = made.call(None)
    express = RequestClass("express", 1.0, 0.5, 1.0)
    made.outer.on_settings_update(ProxySettings([CLASSES["stock"], express], max_attempts=2))
    returned(ticket, Ended())
    ticket.on_request_end(True)
    assert made.outer.max_attempts == 2 and set(made.outer.classes) == {"stock", "express"}
    assert made.outer.latencies.keys() >= {"stock", "express", "canje"}
