"""Power losses on several processes of the program: what each says happened, and how service returns."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable, Coroutine
from typing import Any

from granitepoint.recovery.facts import Maintenance, put
from granitepoint.recovery.folder import Folder
from granitepoint.recovery.service import name_of
from granitepoint.recovery.store import Owner, Store, read_store
from rigs.callers import MIX, Class
from rigs.fleet.world import Seat, Setup, World, world
from rigs.kit import until

COLD = 2.0  # s
PHASE = re.compile(r"recovery: (\w+) -> (\w+) after")
HAPPENED = re.compile(r"what happened: ([^:]+): ")


class Power:
    """What the logs say since the last look."""

    def __init__(self, of: World) -> None:
        self.world = of
        self.at = {seat.name: 0 for seat in of.seats}

    def mark(self) -> None:
        self.world.observer.read_logs()
        self.at = {name: len(self.world.observer.lines.get(name, [])) for name in self.at}

    def lines(self, seat: Seat) -> str:
        self.world.observer.read_logs()
        return "\n".join(self.world.observer.lines.get(seat.name, [])[self.at[seat.name] :])

    def happened(self, seat: Seat) -> list[str]:
        return HAPPENED.findall(self.lines(seat))

    def path(self, seat: Seat) -> list[str]:
        found = PHASE.findall(self.lines(seat))
        return [found[0][0], *(after for _, after in found)] if found else []

    async def steady(self, *seats: Seat) -> None:
        """These, or all."""
        wanted = seats or tuple(self.world.seats)
        await until(
            lambda: not self.world.starting and all(self.path(seat)[-1:] == ["steady"] for seat in wanted),
            "steady", 60,
        )  # fmt: skip


def played(work: Callable[[World, Power], Coroutine[Any, Any, None]]) -> None:
    async def test() -> None:
        setup = Setup(members=6, nodos=6, rate=10.0, period=0.25, recovery=True, cold=COLD)
        async with world(setup) as made:
            power = Power(made)
            await power.steady()
            await made.observer.settle(30, True)
            power.mark()
            await work(made, power)
            await made.quiet()
            assert not made.audit()
            for seat in made.seats:
                assert "Traceback" not in power.lines(seat)

    asyncio.run(test())


def test_everybody_lost_power_and_comes_back_in_the_worst_order() -> None:
    """First tier first, nodos late, one of them never; a machine was out for maintenance."""

    async def work(made: World, power: Power) -> None:
        made.power_off()
        await until(lambda: not made.living, "dark", 10)
        folder = Folder(made.seats[0].folder / "store")
        found = read_store(folder, None)
        assert set(found.state.tables["server"]) == {f"n{number}" for number in range(6)}
        assert len(found.state.tables["member"]) == 5
        store = Store(folder, Owner("p0", "machine p0"))
        store.begin(found, 1.0)
        store.append([put("n1", Maintenance(1.0, "fan"))], 1.0)
        store.close()
        made.nodos[1].last_by.clear()
        for seat in made.seats:
            made.start(seat.number)
        await until(lambda: all("everybody did" in power.lines(seat) for seat in made.living), "verdict", 30)
        assert all(power.path(seat) == [] for seat in made.seats)  # dark: no server answers
        served = sum(callers.codes[200] for callers in made.callers)
        refused = sum(callers.codes[503] for callers in made.callers)
        await until(lambda: sum(callers.codes[503] for callers in made.callers) > refused, "refusals", 10)
        for number in (3, 0, 4, 1, 2):
            await made.nodo_on(number)
            await asyncio.sleep(0.3)
        await power.steady()
        for seat in made.living:
            assert power.path(seat)[0] == "dark" and "ramp" in power.path(seat)
            assert power.happened(seat) == ["everybody did"]
        await until(lambda: sum(callers.codes[200] for callers in made.callers) > served + 50, "service", 20)
        # What was out stays out, where it was known: p0 alone had that word.
        await until(lambda: len(made.nodos[1].last_by) >= 1, "others at n1", 20)
        assert "p0" not in made.nodos[1].last_by

    played(work)


def test_who_restarts_alone_or_in_turn_starts_no_recovery() -> None:
    async def work(made: World, power: Power) -> None:
        for seat in made.seats:
            made.kill(seat.number)
            made.start(seat.number)
            await power.steady(seat)
        for seat in made.seats:
            assert set(power.happened(seat)) <= {"this process alone ended"}
            assert "ramp" not in power.path(seat) and "provisional" not in power.path(seat)

    played(work)


def test_one_sala_lost_power() -> None:
    """The others go on; those that come back hold their sala's nodos for cold, and nobody else's."""

    async def work(made: World, power: Power) -> None:
        made.power_off("a")
        await until(lambda: len(made.living) == 4, "two down", 10)
        for number in (0, 3):
            await made.nodo_on(number)
            made.start(number)
        await power.steady(made.seats[0], made.seats[3])
        for seat in made.seats:
            lost = seat.number % 3 == 0
            assert power.happened(seat) == (["the zone lost power"] if lost else [])
            assert ("ramp" in power.path(seat)) is lost

    played(work)


def test_all_proxies_and_no_machine() -> None:
    """They are warm again at once: nodos and machines had power all the while."""

    async def work(made: World, power: Power) -> None:
        for seat in made.seats:
            made.kill(seat.number)
        for seat in made.seats:
            made.start(seat.number)
        await power.steady()
        for seat in made.seats:
            assert power.happened(seat) == ["this process alone ended"]
            assert "ramp" not in power.path(seat)

    played(work)


async def everybody_back(made: World) -> None:
    for seat in made.seats:
        made.start(seat.number)
    for number in range(len(made.nodos)):
        await made.nodo_on(number)


def test_power_is_lost_again_in_the_middle_of_the_ramp() -> None:
    async def work(made: World, power: Power) -> None:
        for _ in range(2):
            power.mark()
            made.power_off()
            await everybody_back(made)
            await until(lambda: all("ramp" in power.path(seat) for seat in made.seats), "the ramp", 60)
        await power.steady()
        for seat in made.seats:
            assert power.happened(seat) == ["everybody did"] and power.path(seat)[0] == "dark"

    played(work)


def test_stores_that_were_swapped_and_clocks_that_jumped_keep_nobody_from_recovery() -> None:
    """p0 and p1 have each other's store, p2's clock went a week ahead, p3's back to 1970, p4's a day."""

    async def work(made: World, power: Power) -> None:
        made.power_off()
        await until(lambda: not made.living, "dark", 10)
        one, other = (made.seats[number].folder / "store" for number in (0, 1))
        spare = one.with_name("spare")
        one.rename(spare)
        other.rename(one)
        spare.rename(other)
        for number, jump in ((2, 7 * 86_400.0), (3, -time.time()), (4, 86_400.0)):
            made.turn_clock(number, wall=jump)
        await everybody_back(made)
        await power.steady()
        for seat in made.seats:
            assert power.happened(seat) == ["everybody did"]
            assert ("store: not for this process" in power.lines(seat)) is (seat.number < 2)
        served = sum(callers.codes[200] for callers in made.callers)
        await until(lambda: sum(callers.codes[200] for callers in made.callers) > served + 50, "service", 20)

    played(work)


def test_a_keyed_request_that_was_out_at_the_loss_is_not_sent_again_for_its_caller() -> None:
    """Nor where the clock says that its time is long over: it went a day ahead in the dark."""

    async def work(made: World, power: Power) -> None:
        for nodo in made.nodos:
            nodo.service = 2.0
        reserva = next(cls for cls in MIX if cls.name == "reserva")
        keys = [f"key-{number}" for number in range(4)]
        for key in keys:
            made.callers[0].send(reserva, key)
        await until(lambda: {a.key for a in made.ledger.attempts}.issuperset(keys), "out", 10)
        store = Folder(made.seats[0].folder / "store")
        known = {name_of("reserva", key.encode()) for key in keys}
        await until(lambda: known <= set(read_store(store, None).state.tables["keyed"]), "noted", 10)
        made.power_off()
        for nodo in made.nodos:
            nodo.service = 0.01
        made.turn_clock(0, wall=86_400.0)
        await everybody_back(made)
        codes = []
        for key in keys:
            codes.append(await until_taken(made, reserva, key))
        assert codes == [504] * len(keys)
        assert [sum(a.key == key for a in made.ledger.attempts) for key in keys] == [1] * len(keys)
        await power.steady()

    played(work)


async def until_taken(made: World, cls: Class, key: str) -> int:
    """The code of a call to the first proxy, once it is there."""
    while (code := await made.callers[0].call(cls, key)) in (-1, 0, 503):
        await asyncio.sleep(0.1)
    return code


def test_a_proxy_that_crashes_in_a_loop_is_no_power_loss() -> None:
    async def work(made: World, power: Power) -> None:
        for _ in range(5):
            made.kill(0)
            made.start(0)
            await until(lambda: "recovery:" in power.lines(made.seats[0]), "it looks round", 30)
            power.mark()
        await power.steady(made.seats[0])
        assert "ramp" not in power.path(made.seats[0])
        assert all(power.happened(seat) == [] for seat in made.seats[1:])

    played(work)


def test_an_empty_list_after_the_loss_is_not_believed() -> None:
    async def work(made: World, power: Power) -> None:
        made.power_off()
        whole = [dict(padron.entries) for padron in made.padrons]
        for padron in made.padrons:
            padron.index, padron.entries, padron.changed = 0, {}, {}  # it counts anew
        await everybody_back(made)
        marks = [callers.codes[200] for callers in made.callers]
        await until(
            lambda: all(
                callers.codes[200] > mark + 5 for callers, mark in zip(made.callers, marks, strict=True)
            ),
            "service by each proxy", 40,
        )  # fmt: skip
        assert all("a list of 0 servers is not believed" in power.lines(seat) for seat in made.seats)
        for padron, entries in zip(made.padrons, whole, strict=True):
            for item in entries.values():
                padron.put(item)
        await power.steady()

    played(work)


def test_two_halves_that_can_not_hear_each_other() -> None:
    """Neither hears more than half: each holds it for the worst once it has asked for long enough."""

    async def work(made: World, power: Power) -> None:
        made.network.parts.append([frozenset((0, 2, 4)), frozenset((1, 3, 5))])
        made.power_off()
        await everybody_back(made)
        await power.steady()
        for seat in made.seats:
            assert power.happened(seat) == ["everybody did"]
            assert "held for the worst" in power.lines(seat)
        made.network.parts.clear()

    played(work)
