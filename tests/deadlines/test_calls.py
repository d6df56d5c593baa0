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
from service_proxy.deadlines.calls import Budgets, InnerFilter, InnerTicket, OuterFilter, OuterTicket
from service_proxy.deadlines.header import Budget
from service_proxy.deadlines.usual import LEAST_SAMPLES
from service_proxy.net.downstream import Request, parse_request
from service_proxy.net.request_body import RequestBody
from service_proxy.net.request_filters import Rejection
from service_proxy.net.upstream import UpstreamAttempt
from service_proxy.operator_file import Budgets as Settings
from service_proxy.operator_file import OperatorError
from service_proxy.policy.events import AttemptStatus, Idempotency, RequestClass
from service_proxy.policy.events import Settings as ProxySettings

CLASSES = {
    "stock": RequestClass("stock", 12.0, 0.5, 1.2, idempotency=Idempotency.IDEMPOTENT),
    "reserva": RequestClass(
        "reserva",
        1.0,
        1.5,
        4.0,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        idempotency_scope="zone",
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
        self.budgets = Budgets(Settings(str(self.file), **changes), mark)
        self.inner = InnerFilter(self.budgets, CLASSES)
        self.outer = OuterFilter(self.budgets, called, CLASSES, 3)

    def request(self, value: bytes | None, **more: Any) -> InnerTicket:
        """A request that brings this, handed to the application."""
        ticket = self.inner.on_request(request(value=value, **more), nothing)
        assert isinstance(ticket, InnerTicket), ticket
        return ticket

    def reference(self, ticket: InnerTicket) -> bytes:
        return ticket.on_attempt_start(1.0).removeprefix(b"tier-budget: ").removesuffix(b"\r\n")

    def call(self, value: bytes | None, give_up: Callable[[], None] = nothing, **more: Any) -> OuterTicket:
        ticket = self.outer.on_request(request(value=value, **more), give_up)
        assert isinstance(ticket, OuterTicket), ticket
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
    headers += [(header.FIELD, one) for one in values or (() if value is None else (value,))]
    method = b"GET" if cls == "stock" else b"POST"
    made = parse_request(
        method,
        b"/" + cls.encode(),
        headers,
        RequestBody.of(b""),
        time.monotonic(),
        EFFECTS,
        InnerFilter.consumed_headers,
    )
    assert header.FIELD not in made.head
    return made


def brought(
    id: bytes = b"9b1f03aa5c7e2d41",
    time_left: float = 2.0,
    aim: float = 1.0,
    attempts: int = 6,
    worth: float = 1.0,
    path: tuple[str, ...] = ("edge",),
) -> bytes:
    return header.write(Budget(time_left, aim, attempts, worth, "canje", path, "f" * 16), id, KEYS)


def sent(ticket: OuterTicket, timeout: float = 5.0, id: bytes = b"9b1f03aa5c7e2d41") -> Budget:
    """What the next attempt has on the wire."""
    lines = ticket.on_attempt_start(timeout)
    assert lines is not None
    return header.read(lines.removeprefix(b"tier-budget: ").removesuffix(b"\r\n"), id, KEYS)


class Ended:
    """An exchange that came to this."""

    def __init__(self, code: int = 200, value: bytes | None = None, elapsed: float = 0.1) -> None:
        self.status_code = code
        self.elapsed = elapsed
        self.response_headers = [] if value is None else [(header.FIELD, value)]


def returned(ticket: OuterTicket, ended: Ended, status: AttemptStatus = AttemptStatus.OK) -> None:
    ticket.on_attempt_end(cast(UpstreamAttempt, ended), status)


# what a request brings
def test_a_budget_narrows_the_time_and_gives_worth_and_path(tmp_path: Path) -> None:
    process = Process(tmp_path)
    ticket = process.request(brought(time_left=2.0, worth=3.0))
    assert 1.9 < ticket.deadline - time.monotonic() <= 2.0
    assert (
        ticket.weight_share == 3.0
        and ticket.account.path == ("edge", "portal")
        and ticket.account.granted == 6
    )


def test_the_request_itself_may_leave_less_time_than_its_budget(tmp_path: Path) -> None:
    ticket = Process(tmp_path).request(brought(time_left=60.0), budget=0.5)
    assert ticket.deadline - time.monotonic() <= 0.5


@pytest.mark.parametrize(
    "kind", ["none", "forged", "another call's", "negative", "huge", "doubled", "garbage"]
)
def test_what_is_no_budget_counts_as_none_and_grants_nothing(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    good = brought(worth=1e6, time_left=3600.0, attempts=9999)
    unsigned = good.rpartition(b";m=")[0]
    bad: dict[str, tuple[bytes, ...]] = {
        "none": (),
        "forged": (
            header.write(
                Budget(3600.0, 3600.0, 9999, 1e6, "canje", ("edge",), "f" * 16),
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
    assert isinstance(ticket, InnerTicket)
    assert ticket.weight_share == 1.0 and ticket.account.granted == 5 and ticket.account.path == ("portal",)
    assert ticket.deadline - time.monotonic() <= 5.0 and ticket.response_headers() == ()
    assert ("left out of account" in caplog.text) is (kind != "none")


@pytest.mark.parametrize(
    ("path", "loop"),
    [
        (("edge", "portal"), "edge > portal > portal"),
        (("edge", "portal", "nucleo"), "edge > portal > nucleo > portal"),
        (("portal", "nucleo", "almacen"), "portal > nucleo > almacen > portal"),
    ],
)
def test_a_loop_is_refused_as_never_ran_and_its_path_is_told(
    tmp_path: Path, path: tuple[str, ...], loop: str, caplog: pytest.LogCaptureFixture
) -> None:
    process = Process(tmp_path)
    with caplog.at_level(logging.WARNING):
        turned = process.inner.on_request(request(value=brought(path=path)), nothing)
    assert isinstance(turned, Rejection) and loop.encode() in turned.body
    assert f"loop: {loop}: refused, never ran" in caplog.text and process.budgets.refused_loops == 1


def test_a_tier_that_two_branches_call_is_no_loop(tmp_path: Path) -> None:
    common = Process(tmp_path, "common")
    for way in (("edge", "portal"), ("edge", "portal", "nucleo")):
        common.request(brought(path=way))


def test_a_loop_that_the_sidecar_itself_would_close_is_not_sent(tmp_path: Path) -> None:
    process = Process(tmp_path, "nucleo", called="portal")
    reference = process.reference(process.request(brought(path=("edge", "portal"))))
    turned = process.outer.on_request(request(b"child", value=reference), nothing)
    assert isinstance(turned, Rejection) and b"edge > portal > nucleo > portal" in turned.body


def test_a_budget_that_cant_cover_the_work_is_refused_before_any(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for _ in range(LEAST_SAMPLES):
        process.inner.usual["canje"].learn(0.4)
    turned = process.inner.on_request(request(value=brought(time_left=0.3)), nothing)
    assert isinstance(turned, Rejection) and b"can't cover" in turned.body
    process.request(brought(time_left=0.5))
    off = Process(tmp_path, "other", refuse_below_usual=False)
    for _ in range(LEAST_SAMPLES):
        off.inner.usual["canje"].learn(0.4)
    off.request(brought(time_left=0.3))


# whose call is whose
def test_the_edge_strips_what_callers_say_and_begins_a_tree(tmp_path: Path) -> None:
    edge = Process(tmp_path, "edge", called="portal", edge=True, attempts=7)
    for value in (brought(worth=1e6, attempts=9999), b"ref;" + b"0" * 16, None):
        ticket = edge.call(value)
        assert ticket.max_attempts == 7 and ticket.weight_share == 1.0
        budget = sent(ticket)
        assert (budget.worth, budget.path, budget.cls) == (1.0, ("edge",), "canje")
        assert 4.9 < budget.time < 5.0 and 2.3 < budget.aim < 2.5


@pytest.mark.parametrize("how", ["field", "id", "key"])
def test_a_call_has_what_its_request_lends_it(tmp_path: Path, how: str) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(b"abc", time_left=1.0, worth=5.0), id=b"abc", cls="reserva", key=b"K")
    reference = process.reference(inner)
    if how == "field":
        ticket = process.call(reference, id=b"x", cls="stock")
    elif how == "id":
        ticket = process.call(None, id=b"abc.1", cls="stock")
    else:
        ticket = process.call(None, id=b"x", cls="reserva", key=b"K")
    assert (
        ticket.account.parent is inner.account and ticket.max_attempts == 3
    )  # of 6, for the first of 2 calls
    assert ticket.deadline == inner.deadline and ticket.weight_share == pytest.approx(
        5.0 / CLASSES[ticket.cls.name].priority_weight
    )


@pytest.mark.parametrize("value", [None, b"ref;" + b"0" * 16, brought(b"child"), b"nonsense"])
def test_a_call_whose_request_is_unknown_has_its_classs_time_as_without_budgets(
    tmp_path: Path, value: bytes | None
) -> None:
    process = Process(tmp_path)
    process.reference(process.request(brought(time_left=0.5)))
    ticket = process.call(value, id=b"child", cls="stock", budget=9.0)
    assert ticket.account.parent is None and 1.1 < ticket.deadline - time.monotonic() <= 1.2
    assert ticket.max_attempts == 12 and ticket.weight_share == 1.0


def test_a_call_for_a_request_that_is_over_is_refused_and_one_that_was_answered_is_its_own(
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
    assert process.call(references[1], id=b"y").account.parent is None


def test_the_first_of_two_calls_that_eats_its_part_leaves_the_second_its_own(tmp_path: Path) -> None:
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


def test_an_outer_retry_is_a_new_request_with_the_same_key_and_a_budget_of_its_own(tmp_path: Path) -> None:
    process = Process(tmp_path)
    one = process.request(brought(b"one"), id=b"one", cls="reserva", key=b"K")
    two = process.request(brought(b"two", time_left=0.7), id=b"two", cls="reserva", key=b"K")
    references = process.reference(one), process.reference(two)
    assert process.call(None, id=b"x", cls="reserva", key=b"K").account.parent is None  # of which? unknown
    assert process.call(references[1], id=b"y", cls="reserva", key=b"K").account.parent is two.account
    one.on_request_end(False)
    assert process.call(None, id=b"z", cls="reserva", key=b"K").account.parent is two.account


# what goes down and comes back
def test_less_goes_down_than_is_left_by_the_way_there(tmp_path: Path) -> None:
    edge = Process(tmp_path, "edge", edge=True)
    for _ in range(200):
        ticket = edge.call(None)
        sent(ticket)
        returned(ticket, Ended(200, header.write_spent(1, 0.060), 0.100))  # 20 ms each way
    budget = sent(edge.call(None), 1.0)
    assert 0.96 < budget.time < 0.98


@pytest.mark.parametrize(
    ("ended", "status", "free"),
    [
        (Ended(200, header.write_spent(1, 0.05)), AttemptStatus.OK, 10),
        (Ended(503, header.write_spent(0, 0.0)), AttemptStatus.REJECTED, 11),
        (Ended(500, header.write_spent(6, 0.05)), AttemptStatus.ERROR, 5),
        (Ended(200), AttemptStatus.OK, 11),  # an older receiver, which knows of no budgets
        (Ended(200, b"1;s=7;q=1"), AttemptStatus.OK, 11),  # more than it was lent: no word at all
        (Ended(0), AttemptStatus.RESET, 5),
        (Ended(0), AttemptStatus.TIMEOUT, 5),
        (Ended(0), AttemptStatus.CANCELLED, 5),
        (Ended(0), AttemptStatus.CONNECT_FAILED, 11),
        (Ended(0), AttemptStatus.NOT_SENT, 11),
    ],
)
def test_what_is_free_after_an_attempt(
    tmp_path: Path, ended: Ended, status: AttemptStatus, free: int
) -> None:
    edge = Process(tmp_path, "edge", edge=True)
    ticket = edge.call(None)
    assert sent(ticket).attempts == 6
    returned(ticket, ended, status)
    assert ticket.account.free == free


def test_the_receiver_says_what_it_spent(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(attempts=6))
    ticket = process.call(process.reference(inner), id=b"x")
    sent(ticket, id=b"x")
    returned(ticket, Ended(200, header.write_spent(1, 0.01)))
    ticket.on_request_end(True)
    ((name, value),) = inner.response_headers()
    found = header.read_spent(value, 6)
    assert name == header.FIELD and found is not None and found[0] == 2 and found[1] < 1.0


def test_when_its_caller_leaves_what_is_under_way_for_a_request_ends(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought())
    reference = process.reference(inner)
    given_up: list[str] = []
    out = process.call(reference, lambda: given_up.append("out"), id=b"1")
    done = process.call(reference, lambda: given_up.append("done"), id=b"2")
    done.on_request_end(True)
    inner.on_request_end(False)
    assert given_up == ["out"] and out.on_attempt_start(1.0) is None and not process.budgets.open


def test_when_a_request_is_answered_what_is_under_way_for_it_may_go_on(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought())
    given_up: list[str] = []
    out = process.call(process.reference(inner), lambda: given_up.append("out"), id=b"1")
    inner.on_request_end(True)
    assert given_up == [] and out.on_attempt_start(1.0) is None  # but begins nothing more


def test_the_worth_of_a_call_falls_when_the_outer_aim_has_passed(tmp_path: Path) -> None:
    process = Process(tmp_path)
    inner = process.request(brought(aim=0.0, worth=4.0))
    assert inner.weight_share == pytest.approx(0.2)  # a twentieth of 4
    assert process.call(process.reference(inner), id=b"x").weight_share == pytest.approx(0.2)


def test_the_second_of_two_calls_is_worth_twice_the_first(tmp_path: Path) -> None:
    process = Process(tmp_path)
    reference = process.reference(process.request(brought(attempts=12)))
    shares = []
    for number in range(3):
        ticket = process.call(reference, id=b"%d" % number)
        shares.append(ticket.weight_share)
        ticket.on_request_end(True)
    assert shares == [1.0, 2.0, 2.0]


def test_the_worth_counts_at_the_soonest_that_the_call_usually_ends(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for _ in range(LEAST_SAMPLES):
        process.inner.usual["canje"].learn(0.4)
        process.outer.usual["canje"].learn(0.2)
    soon = process.request(brought(aim=0.3))
    later = process.request(brought(b"b", aim=0.6), id=b"b")
    assert soon.weight_share == pytest.approx(0.05) and later.weight_share == 1.0
    assert process.call(process.reference(soon), id=b"x").weight_share == 1.0
    late = process.request(brought(b"c", aim=0.1), id=b"c")
    assert process.call(process.reference(late), id=b"y").weight_share == pytest.approx(0.05)


# keys
def test_keys_are_rotated_under_traffic_without_a_refusal(tmp_path: Path) -> None:
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
        assert two.request(value, id=id).told, place


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
def test_a_key_file_that_is_none_changes_nothing_and_shows_no_key(
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


def test_a_key_file_that_everybody_may_read_is_refused(tmp_path: Path) -> None:
    process = Process(tmp_path)
    process.file.chmod(0o644)
    with pytest.raises(OperatorError, match="may be read by everybody"):
        process.budgets.reread_keys()


def test_the_tables_are_empty_when_all_is_over(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for number in range(50):
        id = b"call-%d" % number
        inner = process.request(brought(id), id=id)
        ticket = process.call(process.reference(inner), id=id + b".1")
        sent(ticket, id=id + b".1")
        returned(ticket, Ended())
        ticket.on_request_end(True)
        inner.on_request_end(number % 2 == 0)
    assert not process.budgets.open and not process.budgets.correlation.open
    process.budgets.correlation.forget(time.monotonic() + 3600)
    assert len(process.budgets.correlation) == 0


def test_nothing_of_it_reads_the_wall_clock() -> None:
    """A clock step of an hour can't matter to what is never looked at."""
    for file in (Path(__file__).parent.parent.parent / "service_proxy" / "budgets").glob("*.py"):
        text = file.read_text()
        assert "time.time" not in text and "datetime" not in text, file


def test_a_class_that_new_settings_bring_is_known_and_one_under_way_ends_though_its_class_is_gone(
    tmp_path: Path,
) -> None:
    made = Process(tmp_path)
    ticket = made.call(None)
    express = RequestClass("express", 1.0, 0.5, 1.0)
    made.outer.on_settings_update(ProxySettings([CLASSES["stock"], express], max_attempts=2))
    returned(ticket, Ended())
    ticket.on_request_end(True)
    assert made.outer.most == 2 and set(made.outer.classes) == {"stock", "express"}
    assert made.outer.usual.keys() >= {"stock", "express", "canje"}
