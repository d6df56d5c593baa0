"""The audit finds each planted breach of a rule, and nothing in a clean run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from harness.event_loop import StallMonitor, until
from harness.recorder import (
    EndpointStart,
    Idempotency,
    Notification,
    ReceivedAnswer,
    Recorder,
    Rules,
    SentRequest,
)

EFFECTS = {
    "stock": Idempotency("repeatable"),
    "reserva": Idempotency("by_key", 6.0),
    "canje": Idempotency("once"),
}


def clean(cls: str = "canje") -> Recorder:
    ledger = Recorder()
    ledger.requests.append(SentRequest("c1", cls, 1.0, 3.0, "k"))
    attempt = ledger.attempt("c1", "s-1", "a", 1.01, key="k", work=0.1)
    attempt.last_byte_at = 1.02
    attempt.executed = True
    attempt.executed_at = 1.02
    attempt.ended_at = 1.2
    ledger.answers.append(ReceivedAnswer("c1", 1.3, 200))
    ledger.notifications.append(Notification("s-1", 0.0, "ready"))
    return ledger


def again(ledger: Recorder, at: float, server: str = "s-2", group: str = "a", ran: bool = True) -> None:
    attempt = ledger.attempt("c1", server, group, at, key="k", work=0.1)
    attempt.last_byte_at = at + 0.01
    attempt.executed = ran
    attempt.ended_at = at + 0.1


def no_answer(ledger: Recorder) -> None:
    ledger.answers.clear()


def two_answers(ledger: Recorder) -> None:
    ledger.answers.append(ReceivedAnswer("c1", 1.4, 200))


def late(ledger: Recorder) -> None:
    ledger.answers[0].received_at = 3.2


def cut(ledger: Recorder) -> None:
    ledger.answers[0].status_code = 0


def waited_in_vain(ledger: Recorder) -> None:
    ledger.answers[0] = ReceivedAnswer("c1", 3.0, 0, client_gave_up=True)


def nobodys(ledger: Recorder) -> None:
    ledger.answers.append(ReceivedAnswer("c9", 1.4, 200))


def twice(ledger: Recorder) -> None:
    again(ledger, 1.25)


def overlap(ledger: Recorder) -> None:
    ledger.requests[0].class_name = "stock"
    again(ledger, 1.05)  # 0.15 s before the end of the first


def overlap_beyond_a_stall_of_the_recorder(ledger: Recorder) -> None:
    overlap(ledger)
    ledger.add_stall(1.11, 1.2)  # explains 0.09 s of it; the slack is 0.05 s


def overlap_after_a_stall_of_the_recorder(ledger: Recorder) -> None:
    overlap(ledger)
    ledger.add_stall(0.9, 1.05)
    ledger.add_stall(1.2, 1.5)


def may_have_run(ledger: Recorder) -> None:
    ledger.attempts[0].executed = False
    again(ledger, 1.25)


def refused_after_it_ran(ledger: Recorder) -> None:
    ledger.answers[0].status_code = 503


def other_group(ledger: Recorder) -> None:
    ledger.requests[0].class_name = "reserva"
    again(ledger, 1.25, group="b")


def forgotten(ledger: Recorder) -> None:
    ledger.requests[0].class_name = "reserva"
    ledger.requests[0].deadline = 9.0
    ledger.answers[0].received_at = 8.0
    again(ledger, 7.2)


def drained(ledger: Recorder) -> None:
    ledger.notifications += [Notification("s-1", -2.0, "draining"), Notification("s-1", -1.5, "gone")]
    del ledger.notifications[0]


def drained_for_one_proxy(ledger: Recorder) -> None:
    ledger.attempts[0].proxy = "n1"
    ledger.notifications += [
        Notification("s-1", -2.0, "draining", proxy="n1"),
        Notification("s-1", 0.9, "ready", proxy="n2"),
    ]


def pushed(ledger: Recorder) -> None:
    ledger.starts.append(EndpointStart("s-1", 1.0, 1.0))
    ledger.attempts[0].work = 1.6


BREACHES: list[tuple[int, Callable[[Recorder], None]]] = [
    (1, no_answer),
    (1, two_answers),
    (1, late),
    (1, cut),
    (1, waited_in_vain),
    (1, nobodys),
    (2, twice),
    (2, overlap),
    (2, overlap_beyond_a_stall_of_the_recorder),
    (2, overlap_after_a_stall_of_the_recorder),
    (2, may_have_run),
    (2, refused_after_it_ran),
    (2, other_group),
    (2, forgotten),
    (3, drained),
    (3, drained_for_one_proxy),
    (4, pushed),
]


@pytest.mark.parametrize(("rule", "plant"), BREACHES, ids=[plant.__name__ for _, plant in BREACHES])
def test_a_planted_breach_is_found(rule: int, plant: Callable[[Recorder], None]) -> None:
    ledger = clean()
    plant(ledger)
    assert {violation.rule for violation in ledger.audit(EFFECTS)} == {rule}


def test_a_clean_run_has_none() -> None:
    for cls in EFFECTS:
        assert clean(cls).audit(EFFECTS) == []


def test_an_end_that_a_stall_of_the_recorder_hid_is_no_overlap() -> None:
    """Found in CI: the end of a connection reached a harness that stood still after the next attempt did."""
    ledger = clean("stock")
    again(ledger, 1.05)
    ledger.add_stall(1.08, 1.19)
    assert ledger.audit(EFFECTS) == []


def test_a_stall_of_the_loop_is_recorded() -> None:
    async def test() -> Recorder:
        ledger = Recorder()
        monitor = StallMonitor(ledger.add_stall)
        monitor.start()
        await asyncio.sleep(0)
        began_at = time.monotonic()
        time.sleep(0.2)  # the stall itself
        ended_at = time.monotonic()
        await until(lambda: ledger.stalls)
        monitor.stop()
        assert ledger.stalled_time(began_at, ended_at) >= 0.15
        return ledger

    ledger = asyncio.run(test())
    assert ledger.stalled_time(0.0, ledger.stalls[0].began_at) == 0.0


def test_what_is_allowed_is_no_breach() -> None:
    ledger = clean("reserva")
    again(ledger, 1.25, group="a")  # within group and window
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.attempts[0].executed = False
    ledger.attempts[0].rejected = True
    again(ledger, 1.25)  # the first was turned away unseen
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.notifications.append(Notification("s-1", -9.0, "gone", proxy="another"))
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.notifications += [Notification("s-1", 0.5, "draining"), Notification("s-1", 0.6, "ready")]
    assert ledger.audit(EFFECTS, Rules(drain_grace=0.1)) == []
    ledger = clean()
    ledger.answers[0] = ReceivedAnswer(
        "c1", 1.2, 0, client_gave_up=True
    )  # its caller left long before its time was up
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.starts.append(EndpointStart("s-1", 1.0, 1.0))
    ledger.attempts[0].work = 1.4  # under 3 x 0.16 x 3 s
    assert ledger.audit(EFFECTS) == []


def test_several_processes_make_one_ledger(tmp_path: Path) -> None:
    one = clean()
    two = Recorder()
    again(two, 1.25)
    one.write(tmp_path / "one")
    two.write(tmp_path / "two")
    both = Recorder.read([tmp_path / "one", tmp_path / "two"])
    assert {violation.rule for violation in both.audit(EFFECTS)} == {2}
    assert Recorder.read([tmp_path / "one"]) == one


def test_a_torn_line_is_told_with_file_and_line(tmp_path: Path) -> None:
    clean().write(tmp_path / "one")
    text = (tmp_path / "one").read_text()
    (tmp_path / "one").write_text(text[:-9])
    with pytest.raises(ValueError, match="one:4: unreadable record"):
        Recorder.read([tmp_path / "one"])
