"""The store: cut, torn, damaged, another's, full, locked; by itself and in processes that are killed."""

from __future__ import annotations

import asyncio
import errno
import sys
import threading
import time
from pathlib import Path
from random import Random

import pytest

from harness.program import ROOT
from harness.recovery.crash_disk import Tape
from harness.recovery.crash_points import OWNER, recorded, same, wrong
from harness.recovery.planted_bugs import FAULTY, PLANTED
from service_proxy.clock import Clock
from service_proxy.recovery import record_format, store
from service_proxy.recovery.async_store_writer import Keeper
from service_proxy.recovery.persisted_records import Keyed, Maintenance, Server, State, put
from service_proxy.recovery.record_format import FORMAT, encode, scan
from service_proxy.recovery.store import Found, Health, Owner, Refused, Store, read_store
from service_proxy.recovery.store_directory import Folder


def test_a_cut_at_any_point_leaves_the_state_before_or_the_one_after() -> None:
    for seed in (1, 2):
        found = list(wrong(*recorded(Store, seed, 20)))
        assert len(found) > 300 and not [what for what in found if what]


@pytest.mark.parametrize("name", PLANTED)
def test_each_planted_bug_of_order_is_found(name: str) -> None:
    assert [what for what in wrong(*recorded(PLANTED[name], 1, 20)) if what]


def test_a_cut_of_what_a_cut_left_is_no_worse() -> None:
    tape, states = recorded(Store, 3, 12)
    again, more = recorded(Store, 4, 12, {name: tape.read(name, 1 << 20) for name in tape.names()})
    assert same(more[0], states[-1]) and not [what for what in wrong(again, more) if what]


@pytest.mark.parametrize("faults", [1, 3])
def test_a_disk_that_fails_anywhere_loses_nothing_that_was_safe(faults: int) -> None:
    for at in range(0, 44, 4):
        tape, states = recorded(Store, 1, 12, fault_at=at, faults=faults)
        assert tape.safe == tape.said and not [what for what in wrong(tape, states) if what]
    [broken] = FAULTY.values()
    assert any(any(wrong(*recorded(broken, 1, 12, fault_at=at, faults=faults))) for at in range(0, 40, 4))


def test_torn_at_each_border_and_at_random_bytes_a_log_gives_what_stands_before() -> None:
    tape, states = recorded(Store, 5, 12, least_log=1 << 20)
    name = next(name for name in tape.names() if name.startswith("log"))
    image = {item: tape.read(item, 1 << 20) for item in tape.names()}
    whole = image[name]
    borders = [at + 1 for at, byte in enumerate(whole) if byte == 10]
    places = {*borders, *Random(5).choices(range(len(whole)), k=200)}
    for at in sorted(places):
        found = read_store(Tape({**image, name: whole[:at]}), OWNER)
        kept = sum(border <= at for border in borders)
        expected = states[len(states) - len(borders) + max(0, kept - 1)]
        assert same(found.state, expected) and not found.damaged
        assert found.torn == at - max([0, *(border for border in borders if border <= at)])


def test_what_was_safe_and_can_not_be_read_is_said() -> None:
    tape, _ = recorded(Store, 5, 12, least_log=1 << 20)
    log, snapshot = sorted(tape.names())
    image = {name: tape.read(name, 1 << 20) for name in tape.names()}
    spoilt = bytearray(image[log])
    spoilt[spoilt.index(b"\n") + 30] ^= 4
    found = read_store(Tape({**image, log: bytes(spoilt)}), OWNER)
    assert "whole records behind a broken one" in found.damaged[0]
    assert len(found.state) > 3  # and these count
    found = read_store(Tape({**image, snapshot: image[snapshot][:-4]}), OWNER)
    assert found.damaged == [f"{snapshot} is not whole"]
    assert same(found.state, read_store(Tape(image), OWNER).state)  # its end was lost, no fact was
    # The next generation stands above both.
    again = Tape({**image, snapshot: image[snapshot][:-4]})
    new = Store(again, OWNER)
    new.begin(read_store(again, OWNER), 1.0)
    new.append([put("n1", Maintenance(1.0))], 1.0)
    assert read_store(again, OWNER).state.tables["maintenance"]["n1"] == Maintenance(1.0)
    assert sorted(again.names()) == ["log-00000002", "snapshot-00000002"]


def test_a_line_of_another_file_or_place_is_no_record() -> None:
    lines = [encode(7, number, number, {"put": "source", "key": str(number)}) for number in range(3)]
    assert len(scan(b"".join(lines), 7).records) == 3
    assert scan(b"".join(lines), 8).records == []
    missing = scan(lines[0] + lines[2], 7)
    assert (len(missing.records), missing.behind) == (1, [])  # nothing says that the second was ever there
    broken = scan(lines[0] + b"1" + lines[1][1:] + lines[2], 7)
    assert (len(broken.records), len(broken.behind)) == (1, 1)
    together = [encode(7, number, 1, {"put": "source", "key": str(number)}) for number in (1, 2)]
    holed = scan(lines[0] + b"1" + together[0][1:] + together[1], 7)
    assert (len(holed.records), holed.behind) == (1, [])  # they were being written
    with pytest.raises(record_format.TooLong):
        encode(1, 0, 0, {"put": "x" * record_format.MOST_LINE})


def test_another_proxys_store_is_refused_and_stays_as_it_was() -> None:
    tape, _ = recorded(Store, 1, 2)
    before = {name: tape.read(name, 1 << 20) for name in tape.names()}
    for owner, text in ((Owner("p1", "m0"), "written by p0, and this is p1"), (Owner("p0", "m1"), "machine")):
        with pytest.raises(Refused, match=text):
            read_store(tape, owner)
    assert read_store(tape, Owner("p0", "")).generation  # a machine without a mark can't tell
    assert before == {name: tape.read(name, 1 << 20) for name in tape.names()}


def test_a_newer_format_is_refused_and_an_older_one_migrated(monkeypatch: pytest.MonkeyPatch) -> None:
    tape, states = recorded(Store, 1, 4)
    image = {name: tape.read(name, 1 << 20) for name in tape.names()}
    monkeypatch.setattr(store, "FORMAT", FORMAT + 1)
    with pytest.raises(Refused, match="older than this program reads"):
        read_store(Tape(image), OWNER)
    monkeypatch.setitem(
        store.MIGRATIONS, FORMAT, lambda record: None if record.get("put") == "learned" else record
    )
    found = read_store(Tape(image), OWNER)
    assert found.state.tables["server"] == states[-1].tables["server"] and not found.state.tables["learned"]
    newer = Tape(image)
    Store(newer, OWNER).begin(found, 1.0)
    monkeypatch.setattr(store, "FORMAT", FORMAT)
    with pytest.raises(Refused, match=f"format {FORMAT + 1}, and this program reads up to {FORMAT}"):
        read_store(newer, OWNER)


def test_kinds_are_bounded_and_what_kept_harm_away_leaves_its_mark(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Keyed, "MOST", 3)
    state = State()
    for number in range(5):
        state.apply(put(f"k{number}", Keyed("canje", "all", 1.0, 100.0 - number)))
    assert list(state.tables["keyed"]) == ["k2", "k3", "k4"] and state.blind == {"keyed": 100.0}
    state.apply(put("n", Server("10.0.0.1:80")))
    state.apply({"put": "of a newer version", "key": "x"})
    assert state.skipped == 1
    copy = State()
    for record in state.records():
        copy.apply(record)
    assert same(copy, state)
    assert [record["key"] for record in state.forget(98.0)] == ["k3", "k4"]
    server = {"put": "server", "key": "n"}
    for bad in (server, {**server, "address": 5}, {"put": "server"}):
        with pytest.raises(ValueError):
            state.apply(bad)


def keeper(path: Path, name: str = "p0") -> Keeper:
    return Keeper(Folder(path), Owner(name, "m"), Clock())


def test_a_second_process_reads_waits_for_the_lock_and_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("service_proxy.recovery.async_store_writer.RETRY", 0.05)
    first = keeper(tmp_path)
    first.start()
    first.put("n1", Maintenance(1.0, "fan"))
    assert first.settle(5)
    second = keeper(tmp_path)
    second.start()
    assert second.health is Health.BUSY and "n1" in second.state.tables["maintenance"]
    second.put("n2", Maintenance(2.0))
    first.put("n3", Maintenance(3.0))
    assert not second.settle(0.2)
    first.stop()
    assert second.settle(5) and second.replaced
    second.stop()
    assert set(read_store(Folder(tmp_path), None).state.tables["maintenance"]) == {"n1", "n2", "n3"}


def test_a_slow_or_full_disk_is_waited_for_by_nobody(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("service_proxy.recovery.async_store_writer.RETRY", 0.05)
    gate = threading.Event()
    synced = threading.Event()
    full = [False]

    class Slow(Folder):
        def sync(self, file: int) -> None:
            synced.set()
            gate.wait(10)
            super().sync(file)

        def write(self, file: int, data: bytes) -> None:
            if full[0]:
                raise OSError(errno.ENOSPC, "No space left on device")
            super().write(file, data)

    kept = Keeper(Slow(tmp_path), OWNER, Clock())
    kept.start()
    assert synced.wait(5)
    begun = time.monotonic()
    for number in range(2000):
        kept.put(f"n{number % 50}", Maintenance(float(number)))
    assert time.monotonic() - begun < 1.0 and len(kept.waiting) <= 50 and not kept.settle(0)
    gate.set()
    assert kept.settle(5)
    full[0] = True
    kept.put("n1", Maintenance(9.0))
    deadline = time.monotonic() + 5
    while kept.health is not Health.FAILING and time.monotonic() < deadline:
        kept.settle(0.01)
    assert "No space left" in kept.why
    full[0] = False
    assert kept.settle(5) and kept.health is Health.OPEN
    kept.stop()
    found = read_store(Folder(tmp_path), OWNER)
    assert len(found.state.tables["maintenance"]) == 50
    assert found.state.tables["maintenance"]["n1"] == Maintenance(9.0)


def test_a_folder_that_can_not_be_used_stops_nobody(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    kept = keeper(tmp_path / "file" / "store")
    assert kept.health is Health.FAILING
    other = keeper(tmp_path / "p0")
    other.start()
    other.put("n1", Maintenance(1.0))
    assert other.settle(5)
    other.stop()
    refused = keeper(tmp_path / "p0", "p9")
    assert refused.health is Health.REFUSED and "give each proxy a folder of its own" in refused.why
    refused.start()
    refused.put("n2", Maintenance(2.0))
    refused.stop()
    assert set(read_store(Folder(tmp_path / "p0"), None).state.tables["maintenance"]) == {"n1"}


def test_processes_that_are_killed_in_the_middle_of_writing_lose_nothing_safe(tmp_path: Path) -> None:
    """Several at once, each on a store of its own, and one more that wants the first one's."""

    async def life(number: int, wait: float) -> tuple[int, int]:
        """What it said was safe, and what the store holds."""
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "harness.recovery.store_writer",
            str(tmp_path / f"p{number}"),
            f"p{number}",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        assert program.stdout is not None
        safe = 0
        loop = asyncio.get_running_loop()
        due = loop.time() + wait
        while loop.time() < due or not safe:
            line = (await program.stdout.readline()).split()
            assert line
            safe = int(line[1])
        program.kill()
        rest = (await program.stdout.read()).decode().splitlines()
        await program.wait()
        for text in rest:
            if text.count(" ") == 1 and text.split()[1].isdigit():
                safe = max(safe, int(text.split()[1]))
        found = read_store(Folder(tmp_path / f"p{number}"), None)
        assert not found.damaged
        return safe, int(found.state.tables["source"]["count"].version)  # type: ignore[union-attr]

    async def test() -> None:
        random = Random(1)
        for _ in range(3):
            for safe, held in await asyncio.gather(*(life(n, random.uniform(0.05, 0.4)) for n in range(4))):
                assert held >= safe > 0

    asyncio.run(test())


def test_found_is_what_begin_goes_on_from() -> None:
    tape = Tape()
    made = Store(tape, OWNER)
    made.begin(Found(generation=41), 5.0)
    assert read_store(tape, OWNER).generation == 42
