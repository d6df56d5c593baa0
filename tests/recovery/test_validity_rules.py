"""The table of trust, and the command that shows it."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from service_proxy.recovery.__main__ import main
from service_proxy.recovery.persisted_records import (
    KINDS,
    Boot,
    Fact,
    Keyed,
    Learned,
    Maintenance,
    Member,
    Server,
    Source,
    put,
)
from service_proxy.recovery.store import Found, Owner, Store
from service_proxy.recovery.store_directory import Folder
from service_proxy.recovery.validity_rules import TABLE, Loss, Repeat, Situation, Trust, cold, judge, repeat

NOW = 1_800_000_000.0
A = frozenset("a")


def all_facts(at: float) -> list[Fact]:
    return [
        Boot(3, at),
        Source(41, at),
        Server("10.0.0.1:80", "a", at=at),
        Maintenance(at, "fan"),
        Member("portal", "a", 1, 1, at),
        Learned(0.2, 8.0, at),
        Keyed("canje", "all", at, at + 30.0),
    ]


def test_each_kind_has_a_row_and_a_reason() -> None:
    assert set(TABLE) == set(KINDS)
    assert all(row.why for row in TABLE.values())


@pytest.mark.parametrize("loss", Loss)
@pytest.mark.parametrize("age", [-86_400.0, 0.0, 7 * 86_400.0])
def test_what_must_never_be_believed_and_what_must_always_hold(loss: Loss, age: float) -> None:
    """Whatever happened, however old, whatever the clock says."""
    order = [Trust.IGNORED, Trust.HINT, Trust.TRUSTED]
    for seen in (0.0, NOW, NOW + 3600):
        for stale in (False, True):
            situation = Situation(NOW, loss, A, seen, stale=stale)
            for fact in all_facts(NOW - age):
                trust = judge(fact, situation).trust
                if isinstance(fact, Maintenance | Keyed):
                    assert trust is Trust.TRUSTED
                if isinstance(fact, Learned) and (loss is not Loss.PROCESS or age or seen > NOW or stale):
                    assert trust is Trust.IGNORED
                if isinstance(fact, Member):
                    assert trust is not Trust.TRUSTED  # nobody lives by a store's word
                if age < 0 and not isinstance(fact, Maintenance | Keyed | Boot):
                    assert trust is not Trust.TRUSTED  # a fact from the future
                if isinstance(fact, Server) and (stale or age or loss is not Loss.PROCESS):
                    assert trust is Trust.HINT  # an address, to be probed
                # What can't be told is held for the worst.
                unknown = judge(fact, Situation(NOW, Loss.UNKNOWN, A, seen, stale=stale)).trust
                assert order.index(unknown) <= order.index(trust) or trust is unknown


def test_a_request_that_may_have_run_is_sent_again_only_where_its_key_is_remembered() -> None:
    fact = Keyed("reserva", "a", NOW - 1, NOW + 5)
    cases = {
        Loss.PROCESS: Repeat.IN_GROUP,
        Loss.MACHINE: Repeat.IN_GROUP,
        Loss.ZONE: Repeat.NEVER,
        Loss.FLEET: Repeat.NEVER,
        Loss.UNKNOWN: Repeat.NEVER,
    }
    for loss, expected in cases.items():
        lost = A if loss is Loss.ZONE else frozenset()
        assert repeat(fact, Situation(NOW, loss, lost)) is expected
        assert repeat(fact, Situation(NOW + 6, loss, lost)) is Repeat.FORGOTTEN
        # A clock that can't be believed ends nothing.
        assert repeat(fact, Situation(NOW + 6, loss, lost, NOW + 3600)) is Repeat.NEVER
        assert repeat(fact, Situation(0.0, loss, lost)) is Repeat.NEVER
    assert repeat(fact, Situation(NOW, Loss.ZONE, frozenset("b"))) is Repeat.IN_GROUP
    shared = Keyed("reserva", "all", NOW - 1, NOW + 5)
    assert repeat(shared, Situation(NOW, Loss.PROCESS, frozenset("b"))) is Repeat.NEVER
    assert repeat(Keyed("canje", "", NOW, NOW + 5), Situation(NOW, Loss.PROCESS)) is Repeat.NEVER


def test_after_a_loss_servers_are_cold_whatever_a_list_says() -> None:
    told = {loss: tuple(cold(zone, Situation(NOW, loss, A)) for zone in "ab") for loss in Loss}
    assert told == {
        Loss.PROCESS: (True, False),
        Loss.MACHINE: (True, False),
        Loss.ZONE: (True, False),
        Loss.FLEET: (True, True),
        Loss.UNKNOWN: (True, True),
    }
    assert not cold("a", Situation(NOW, Loss.PROCESS))


def test_the_command_shows_verifies_and_forgets(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = Folder(tmp_path / "p0")
    folder.make()
    store = Store(folder, Owner("p0", "m"))
    store.begin(Found(), NOW - 60)
    store.append([put("x", fact) for fact in all_facts(NOW - 60)], NOW - 60)
    store.close()
    where = str(folder.path)
    assert main(["show", where, "--loss", "fleet"], NOW) == 0
    text = capsys.readouterr().out
    assert "everybody did" in text and "maintenance x                   trusted" in text
    assert "learned     x                   ignored" in text
    assert main(["show", where, "--json"], 0.0) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["clock_went_back"]
    assert {row["repeat"] for row in shown["facts"] if row["kind"] == "keyed"} == {"never"}
    assert main(["verify", where]) == 0 and "7 facts" in capsys.readouterr().out

    held = Folder(folder.path)
    assert held.lock()
    assert main(["forget", where, "maintenance", "x"], NOW) == 1
    assert "a running process has" in capsys.readouterr().err
    held.unlock()
    assert main(["forget", where, "maintenance", "x"], NOW) == 0
    assert main(["forget", where, "maintenance", "x"], NOW) == 1
    assert main(["forget", where, "wish", "x"], NOW) == 1
    assert main(["show", str(tmp_path / "nowhere")]) == 1 and main(["verify", str(tmp_path)]) == 1
    assert capsys.readouterr().err.count("\n") == 4
    snapshot = next(folder.path.glob("snapshot-*"))
    snapshot.write_bytes(snapshot.read_bytes()[:-9])
    assert main(["verify", where]) == 3 and "is not whole" in capsys.readouterr().out
