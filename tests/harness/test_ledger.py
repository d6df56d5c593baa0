"""The audit finds each planted breach of a rule, and nothing in a clean run."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from harness.ledger import Answer, Effect, Ledger, Rules, Start, Taken, Told

EFFECTS = {"stock": Effect("repeatable"), "reserva": Effect("by_key", 6.0), "canje": Effect("once")}


def clean(cls: str = "canje") -> Ledger:
    ledger = Ledger()
    ledger.taken.append(Taken("c1", cls, 1.0, 3.0, "k"))
    attempt = ledger.attempt("c1", "s-1", "a", 1.01, key="k", work=0.1)
    attempt.whole = 1.02
    attempt.ran = True
    attempt.ran_at = 1.02
    attempt.ended = 1.2
    ledger.answers.append(Answer("c1", 1.3, 200))
    ledger.told.append(Told("s-1", 0.0, "ready"))
    return ledger


def again(ledger: Ledger, at: float, server: str = "s-2", group: str = "a", ran: bool = True) -> None:
    attempt = ledger.attempt("c1", server, group, at, key="k", work=0.1)
    attempt.whole = at + 0.01
    attempt.ran = ran
    attempt.ended = at + 0.1


def no_answer(ledger: Ledger) -> None:
    ledger.answers.clear()


def two_answers(ledger: Ledger) -> None:
    ledger.answers.append(Answer("c1", 1.4, 200))


def late(ledger: Ledger) -> None:
    ledger.answers[0].at = 3.2


def cut(ledger: Ledger) -> None:
    ledger.answers[0].code = 0


def waited_in_vain(ledger: Ledger) -> None:
    ledger.answers[0] = Answer("c1", 3.0, 0, left=True)


def nobodys(ledger: Ledger) -> None:
    ledger.answers.append(Answer("c9", 1.4, 200))


def twice(ledger: Ledger) -> None:
    again(ledger, 1.25)


def overlap(ledger: Ledger) -> None:
    ledger.taken[0].cls = "stock"
    again(ledger, 1.05)


def may_have_run(ledger: Ledger) -> None:
    ledger.attempts[0].ran = False
    again(ledger, 1.25)


def refused_after_it_ran(ledger: Ledger) -> None:
    ledger.answers[0].code = 503


def other_group(ledger: Ledger) -> None:
    ledger.taken[0].cls = "reserva"
    again(ledger, 1.25, group="b")


def forgotten(ledger: Ledger) -> None:
    ledger.taken[0].cls = "reserva"
    ledger.taken[0].due = 9.0
    ledger.answers[0].at = 8.0
    again(ledger, 7.2)


def drained(ledger: Ledger) -> None:
    ledger.told += [Told("s-1", -2.0, "draining"), Told("s-1", -1.5, "gone")]
    del ledger.told[0]


def drained_for_one_proxy(ledger: Ledger) -> None:
    ledger.attempts[0].proxy = "n1"
    ledger.told += [Told("s-1", -2.0, "draining", proxy="n1"), Told("s-1", 0.9, "ready", proxy="n2")]


def pushed(ledger: Ledger) -> None:
    ledger.starts.append(Start("s-1", 1.0, 1.0))
    ledger.attempts[0].work = 1.6


BREACHES: list[tuple[int, Callable[[Ledger], None]]] = [
    (1, no_answer),
    (1, two_answers),
    (1, late),
    (1, cut),
    (1, waited_in_vain),
    (1, nobodys),
    (2, twice),
    (2, overlap),
    (2, may_have_run),
    (2, refused_after_it_ran),
    (2, other_group),
    (2, forgotten),
    (3, drained),
    (3, drained_for_one_proxy),
    (4, pushed),
]


@pytest.mark.parametrize(("rule", "plant"), BREACHES, ids=[plant.__name__ for _, plant in BREACHES])
def test_a_planted_breach_is_found(rule: int, plant: Callable[[Ledger], None]) -> None:
    ledger = clean()
    plant(ledger)
    assert {violation.rule for violation in ledger.audit(EFFECTS)} == {rule}


def test_a_clean_run_has_none() -> None:
    for cls in EFFECTS:
        assert clean(cls).audit(EFFECTS) == []


def test_what_is_allowed_is_no_breach() -> None:
    ledger = clean("reserva")
    again(ledger, 1.25, group="a")  # within group and window
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.attempts[0].ran = False
    ledger.attempts[0].refused = True
    again(ledger, 1.25)  # the first was turned away unseen
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.told.append(Told("s-1", -9.0, "gone", proxy="another"))
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.told += [Told("s-1", 0.5, "draining"), Told("s-1", 0.6, "ready")]
    assert ledger.audit(EFFECTS, Rules(drain_grace=0.1)) == []
    ledger = clean()
    ledger.answers[0] = Answer("c1", 1.2, 0, left=True)  # its caller left long before its time was up
    assert ledger.audit(EFFECTS) == []
    ledger = clean()
    ledger.starts.append(Start("s-1", 1.0, 1.0))
    ledger.attempts[0].work = 1.4  # under 3 x 0.16 x 3 s
    assert ledger.audit(EFFECTS) == []


def test_several_processes_make_one_ledger(tmp_path: Path) -> None:
    one = clean()
    two = Ledger()
    again(two, 1.25)
    one.write(tmp_path / "one")
    two.write(tmp_path / "two")
    both = Ledger.read([tmp_path / "one", tmp_path / "two"])
    assert {violation.rule for violation in both.audit(EFFECTS)} == {2}
    assert Ledger.read([tmp_path / "one"]) == one


def test_a_torn_line_is_told_with_file_and_line(tmp_path: Path) -> None:
    clean().write(tmp_path / "one")
    text = (tmp_path / "one").read_text()
    (tmp_path / "one").write_text(text[:-9])
    with pytest.raises(ValueError, match="one:4: no ledger line"):
        Ledger.read([tmp_path / "one"])
