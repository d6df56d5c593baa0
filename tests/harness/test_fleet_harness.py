"""The fleet harness: scripts and their errors; delivery plans depend on seed, link and number only."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from harness.fleet.__main__ import main
from harness.fleet.fault_script import member_numbers, parse_script
from harness.fleet.network import LinkFaults, Network
from harness.fleet.virtual_fleet import VirtualFleet
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.operator_file import OperatorError

FAULT = '[[fault]]\nat = 1.0\ndo = "kill"\nwho = ["p1"]\n'
INVALID_SCRIPTS = {
    "unknown action": ('members = 3\n[[fault]]\nat = 1.0\ndo = "kil"\nwho = ["p1"]\n', 4, "must be one of"),
    "neither at nor when": ('[[fault]]\ndo = "kill"\nwho = ["p1"]\n', 1, "either `at` or `when`"),
    "no who": ('[[fault]]\nat = 1\ndo = "kill"\n', 1, "kill has no `who`"),
    "no lasts": ('[[fault]]\nat = 1\ndo = "loss"\nwho = ["all"]\n', 1, "loss has no `lasts`"),
    "no such member": ("members = 1\n" + FAULT, 5, "the members are 0 to 0"),
    "no event": ('[[fault]]\nwhen = "p1 is ill"\ndo = "kill"\nwho = ["p1"]\n', 2, 'must be "settled"'),
    "one group": ('[[fault]]\nat = 1\ndo = "partition"\ngroups = ["p1"]\nlasts = 1.0\n', 1, "two groups"),
    "unknown key": (FAULT + "sahre = 0.1\n", 5, "write share"),
}


@pytest.mark.parametrize("name", INVALID_SCRIPTS)
def test_an_invalid_script_is_reported_with_its_line(name: str) -> None:
    text, line, message = INVALID_SCRIPTS[name]
    with pytest.raises(OperatorError) as raised:
        parse_script(text)
    assert any(p.line == line and message in f"{p.text} {p.remedy}" for p in raised.value.problems)


def test_members_are_named_one_by_one_in_ranges_or_all() -> None:
    assert member_numbers(["p1", "p3-p5"], 6) == [1, 3, 4, 5] and member_numbers(["all"], 3) == [0, 1, 2]


def test_delivery_plans_depend_on_seed_link_and_number_alone() -> None:
    def plans_by_link(order: list[tuple[int, int]]) -> dict[tuple[int, int], list[object]]:
        network = Network(5, default_faults=LinkFaults(loss=0.3, jitter=0.1, duplicate=0.2, corrupt=0.2))
        found: dict[tuple[int, int], list[object]] = {}
        for link in order:
            found.setdefault(link, []).append(network.carry(*link, b"x" * 50, 0.0))
        return found

    links = [(0, 1), (1, 0), (2, 0)] * 40
    assert plans_by_link(links) == plans_by_link(sorted(links))
    assert len({str(plan) for plan in plans_by_link(links)[0, 1]}) > 20


def test_cuts_are_one_way_and_add_up() -> None:
    network = Network(1)
    network.cut([0], [1])
    network.cut([0], [1, 2])
    assert not network.is_open(0, 1) and network.is_open(1, 0) and not network.is_open(0, 2)
    network.cut([0], [1], -1)
    assert not network.is_open(0, 1)
    network.cut([0], [1, 2], -1)
    assert network.is_open(0, 1) and network.is_open(0, 2)


def test_a_suspended_member_queues_datagrams_and_answers_when_it_resumes() -> None:
    fleet = VirtualFleet(3, ProtocolTiming(), 1)
    for number in range(3):
        fleet.start(number)
    fleet.run(5.0)
    fleet.suspend(1)
    fleet.run(6.5)
    assert fleet.members[1].inbox
    fleet.resume(1)
    assert not fleet.members[1].inbox


def test_a_transcript_records_each_delivery_and_replays_to_the_datagram(tmp_path: Path) -> None:
    """The replayed script has no faults, but the replay loses the same datagrams."""
    script = tmp_path / "script.toml"
    script.write_text(
        'members = 5\n[[fault]]\nat = 1.0\ndo = "loss"\nwho = ["all"]\nshare = 0.2\nlasts = 4.0\n'
    )
    no_faults = tmp_path / "calm.toml"
    no_faults.write_text("members = 5\n")
    first = tmp_path / "first"
    replayed = tmp_path / "again"
    assert main(["play", str(script), "--transcript", str(first)]) == 0
    lost = [line for line in first.read_text().splitlines() if json.loads(line)[5] == []]
    assert lost
    assert main(["play", str(no_faults), "--replay", str(first), "--transcript", str(replayed)]) == 0
    count = len(replayed.read_text().splitlines())
    assert replayed.read_text().splitlines() == first.read_text().splitlines()[:count] and count > 100
    first.write_text("[1, 2]\n")
    assert main(["play", str(no_faults), "--replay", str(first)]) == 2


def test_an_event_triggers_a_fault_and_the_schema_names_all_keys(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    script = tmp_path / "script.toml"
    script.write_text(
        'members = 5\n[[fault]]\nat = 1.0\ndo = "kill"\nwho = ["p1"]\n'
        '[[fault]]\nwhen = "p1 is dead"\nafter = 0.5\ndo = "start"\nwho = ["p1"]\n'
    )
    assert main(["play", str(script)]) == 0
    assert [line.split(" s ")[1] for line in capsys.readouterr().out.splitlines()[:2]] == [
        "kill p1",
        "start p1",
    ]
    assert main(["schema"]) == 0
    assert set(json.loads(capsys.readouterr().out)["properties"]["fault"]["items"]["properties"]) >= {
        "do",
        "when",
    }
