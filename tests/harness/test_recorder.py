"""The audit reports each planted violation of a rule, and none in a valid run."""

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

IDEMPOTENCY = {
    "stock": Idempotency("repeatable"),
    "reserva": Idempotency("by_key", 6.0),
    "canje": Idempotency("once"),
}


def valid_run(cls: str = "canje") -> Recorder:
    recorder = Recorder()
    recorder.requests.append(SentRequest("c1", cls, 1.0, 3.0, "k"))
    attempt = recorder.attempt("c1", "s-1", "a", 1.01, key="k", work=0.1)
    attempt.last_byte_at = 1.02
    attempt.executed = True
    attempt.executed_at = 1.02
    attempt.ended_at = 1.2
    recorder.answers.append(ReceivedAnswer("c1", 1.3, 200))
    recorder.notifications.append(Notification("s-1", 0.0, "ready"))
    return recorder


def add_attempt(
    recorder: Recorder, at: float, server: str = "s-2", group: str = "a", executed: bool = True
) -> None:
    attempt = recorder.attempt("c1", server, group, at, key="k", work=0.1)
    attempt.last_byte_at = at + 0.01
    attempt.executed = executed
    attempt.ended_at = at + 0.1


def no_answer(recorder: Recorder) -> None:
    recorder.answers.clear()


def two_answers(recorder: Recorder) -> None:
    recorder.answers.append(ReceivedAnswer("c1", 1.4, 200))


def answered_late(recorder: Recorder) -> None:
    recorder.answers[0].received_at = 3.2


def no_response(recorder: Recorder) -> None:
    recorder.answers[0].status_code = 0


def timed_out_at_client(recorder: Recorder) -> None:
    recorder.answers[0] = ReceivedAnswer("c1", 3.0, 0, client_gave_up=True)


def unrequested_answer(recorder: Recorder) -> None:
    recorder.answers.append(ReceivedAnswer("c9", 1.4, 200))


def executed_twice(recorder: Recorder) -> None:
    add_attempt(recorder, 1.25)


def overlap(recorder: Recorder) -> None:
    recorder.requests[0].class_name = "stock"
    add_attempt(recorder, 1.05)  # 0.15 s before the end of the first attempt


def overlap_beyond_a_stall_of_the_recorder(recorder: Recorder) -> None:
    overlap(recorder)
    recorder.add_stall(1.11, 1.2)  # covers 0.09 s of the overlap; the slack is 0.05 s


def overlap_after_a_stall_of_the_recorder(recorder: Recorder) -> None:
    overlap(recorder)
    recorder.add_stall(0.9, 1.05)
    recorder.add_stall(1.2, 1.5)


def retried_after_lost_answer(recorder: Recorder) -> None:
    recorder.attempts[0].executed = False
    add_attempt(recorder, 1.25)


def rejected_after_execution(recorder: Recorder) -> None:
    recorder.answers[0].status_code = 503


def other_group(recorder: Recorder) -> None:
    recorder.requests[0].class_name = "reserva"
    add_attempt(recorder, 1.25, group="b")


def retried_after_key_expiry(recorder: Recorder) -> None:
    recorder.requests[0].class_name = "reserva"
    recorder.requests[0].deadline = 9.0
    recorder.answers[0].received_at = 8.0
    add_attempt(recorder, 7.2)


def sent_after_draining(recorder: Recorder) -> None:
    recorder.notifications += [Notification("s-1", -2.0, "draining"), Notification("s-1", -1.5, "gone")]
    del recorder.notifications[0]


def sent_after_draining_for_one_proxy(recorder: Recorder) -> None:
    recorder.attempts[0].proxy = "n1"
    recorder.notifications += [
        Notification("s-1", -2.0, "draining", proxy="n1"),
        Notification("s-1", 0.9, "ready", proxy="n2"),
    ]


def overloaded_during_slow_start(recorder: Recorder) -> None:
    recorder.starts.append(EndpointStart("s-1", 1.0, 1.0))
    recorder.attempts[0].work = 1.6


VIOLATIONS: list[tuple[int, Callable[[Recorder], None]]] = [
    (1, no_answer),
    (1, two_answers),
    (1, answered_late),
    (1, no_response),
    (1, timed_out_at_client),
    (1, unrequested_answer),
    (2, executed_twice),
    (2, overlap),
    (2, overlap_beyond_a_stall_of_the_recorder),
    (2, overlap_after_a_stall_of_the_recorder),
    (2, retried_after_lost_answer),
    (2, rejected_after_execution),
    (2, other_group),
    (2, retried_after_key_expiry),
    (3, sent_after_draining),
    (3, sent_after_draining_for_one_proxy),
    (4, overloaded_during_slow_start),
]


@pytest.mark.parametrize(("rule", "plant"), VIOLATIONS, ids=[plant.__name__ for _, plant in VIOLATIONS])
def test_a_planted_violation_is_reported(rule: int, plant: Callable[[Recorder], None]) -> None:
    recorder = valid_run()
    plant(recorder)
    assert {violation.rule for violation in recorder.audit(IDEMPOTENCY)} == {rule}


def test_a_valid_run_has_no_violations() -> None:
    for cls in IDEMPOTENCY:
        assert valid_run(cls).audit(IDEMPOTENCY) == []


def test_an_end_recorded_late_after_a_stall_is_not_an_overlap() -> None:
    """During a stall, the next attempt can be recorded before the end of the earlier connection."""
    recorder = valid_run("stock")
    add_attempt(recorder, 1.05)
    recorder.add_stall(1.08, 1.19)
    assert recorder.audit(IDEMPOTENCY) == []


def test_a_stall_of_the_loop_is_recorded() -> None:
    async def test() -> Recorder:
        recorder = Recorder()
        monitor = StallMonitor(recorder.add_stall)
        monitor.start()
        await asyncio.sleep(0)
        began_at = time.monotonic()
        time.sleep(0.2)  # stalls the event loop
        ended_at = time.monotonic()
        await until(lambda: recorder.stalls)
        monitor.stop()
        assert recorder.stalled_time(began_at, ended_at) >= 0.15
        return recorder

    recorder = asyncio.run(test())
    assert recorder.stalled_time(0.0, recorder.stalls[0].began_at) == 0.0


def test_allowed_behavior_is_not_a_violation() -> None:
    recorder = valid_run("reserva")
    add_attempt(recorder, 1.25, group="a")  # within the group and the window
    assert recorder.audit(IDEMPOTENCY) == []
    recorder = valid_run()
    recorder.attempts[0].executed = False
    recorder.attempts[0].rejected = True
    add_attempt(recorder, 1.25)  # the first attempt was rejected without execution
    assert recorder.audit(IDEMPOTENCY) == []
    recorder = valid_run()
    recorder.notifications.append(Notification("s-1", -9.0, "gone", proxy="another"))
    assert recorder.audit(IDEMPOTENCY) == []
    recorder = valid_run()
    recorder.notifications += [Notification("s-1", 0.5, "draining"), Notification("s-1", 0.6, "ready")]
    assert recorder.audit(IDEMPOTENCY, Rules(drain_grace=0.1)) == []
    recorder = valid_run()
    # The client disconnected long before its deadline.
    recorder.answers[0] = ReceivedAnswer("c1", 1.2, 0, client_gave_up=True)
    assert recorder.audit(IDEMPOTENCY) == []
    recorder = valid_run()
    recorder.starts.append(EndpointStart("s-1", 1.0, 1.0))
    recorder.attempts[0].work = 1.4  # below 3 x 0.16 x 3 s
    assert recorder.audit(IDEMPOTENCY) == []


def test_the_files_of_several_processes_are_audited_together(tmp_path: Path) -> None:
    one = valid_run()
    two = Recorder()
    add_attempt(two, 1.25)
    one.write(tmp_path / "one")
    two.write(tmp_path / "two")
    both = Recorder.read([tmp_path / "one", tmp_path / "two"])
    assert {violation.rule for violation in both.audit(IDEMPOTENCY)} == {2}
    assert Recorder.read([tmp_path / "one"]) == one


def test_a_truncated_record_is_reported_with_file_and_line(tmp_path: Path) -> None:
    valid_run().write(tmp_path / "one")
    text = (tmp_path / "one").read_text()
    (tmp_path / "one").write_text(text[:-9])
    with pytest.raises(ValueError, match="one:4: unreadable record"):
        Recorder.read([tmp_path / "one"])
