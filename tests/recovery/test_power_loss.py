"""Power losses on several processes of the program: what each says happened, and how service returns."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Coroutine
from typing import Any

from harness.event_loop import until
from harness.fleet.harness import FleetHarness, FleetOptions, Slot, running_fleet
from service_proxy.recovery.persisted_records import MaintenanceRecord, put_operation
from service_proxy.recovery.store import Store, StoreOwner, read_store
from service_proxy.recovery.store_directory import StoreDirectory

COLD = 2.0  # s
PHASE = re.compile(r"recovery_phase_changed before=(\w+) after=(\w+) duration_s=[\d.]+ reason=")
OUTAGE = re.compile(r"outage_determined scope=(\w+) reason=")


class Power:
    """What the logs say since the last look."""

    def __init__(self, of: FleetHarness) -> None:
        self.world = of
        self.at = {seat.name: 0 for seat in of.slots}

    def mark(self) -> None:
        self.world.observer.read_logs()
        self.at = {name: len(self.world.observer.lines.get(name, [])) for name in self.at}

    def lines(self, seat: Slot) -> str:
        self.world.observer.read_logs()
        return "\n".join(self.world.observer.lines.get(seat.name, [])[self.at[seat.name] :])

    def happened(self, seat: Slot) -> list[str]:
        return OUTAGE.findall(self.lines(seat))

    def path(self, seat: Slot) -> list[str]:
        found = PHASE.findall(self.lines(seat))
        return [found[0][0], *(after for _, after in found)] if found else []

    async def steady(self, *seats: Slot) -> None:
        """These, or all."""
        wanted = seats or tuple(self.world.slots)
        await until(
            lambda: not self.world.starting and all(self.path(seat)[-1:] == ["steady"] for seat in wanted),
            "steady",
            60,
        )


def played(work: Callable[[FleetHarness, Power], Coroutine[Any, Any, None]]) -> None:
    async def test() -> None:
        setup = FleetOptions(members=6, endpoints=6, rate=10.0, period=0.25, recovery=True, warm_up_s=COLD)
        async with running_fleet(setup) as made:
            power = Power(made)
            await power.steady()
            await made.observer.wait_until_settled(30, True)
            power.mark()
            await work(made, power)
            await made.finish_requests()
            assert not made.audit()
            for seat in made.slots:
                assert "Traceback" not in power.lines(seat)

    asyncio.run(test())


def test_everybody_lost_power_and_comes_back_in_the_worst_order() -> None:
    """First tier first, nodos late, one of them never; a machine was out for maintenance."""

    async def work(made: FleetHarness, power: Power) -> None:
        made.power_off()
        await until(lambda: not made.living, "dark", 10)
        folder = StoreDirectory(made.slots[0].folder / "store")
        found = read_store(folder, None)
        assert set(found.state.tables["server"]) == {f"n{number}" for number in range(6)}
        assert len(found.state.tables["member"]) == 5
        store = Store(folder, StoreOwner("p0", "machine p0"))
        store.start_generation(found, 1.0)
        store.append([put_operation("n1", MaintenanceRecord(1.0, "fan"))], 1.0)
        store.close()
        made.endpoints[1].last_request_by_proxy.clear()
        for seat in made.slots:
            made.start(seat.number)
        await until(lambda: all("fleet" in power.happened(seat) for seat in made.living), "verdict", 30)
        assert all(power.path(seat) == [] for seat in made.slots)  # dark: no server answers
        served = sum(callers.status_codes[200] for callers in made.clients)
        refused = sum(callers.status_codes[503] for callers in made.clients)
        await until(
            lambda: sum(callers.status_codes[503] for callers in made.clients) > refused, "refusals", 10
        )
        for number in (3, 0, 4, 1, 2):
            await made.restart_endpoint(number)
            await asyncio.sleep(0.3)
        await power.steady()
        for seat in made.living:
            assert power.path(seat)[0] == "unavailable" and "ramp" in power.path(seat)
            assert power.happened(seat) == ["fleet"]
        await until(
            lambda: sum(callers.status_codes[200] for callers in made.clients) > served + 50, "service", 20
        )
        # What was out stays out, where it was known: p0 alone had that word.
        await until(lambda: len(made.endpoints[1].last_request_by_proxy) >= 1, "others at n1", 20)
        assert "p0" not in made.endpoints[1].last_request_by_proxy

    played(work)


def test_who_restarts_alone_or_in_turn_starts_no_recovery() -> None:
    async def work(made: FleetHarness, power: Power) -> None:
        for seat in made.slots:
            made.kill(seat.number)
            made.start(seat.number)
            await power.steady(seat)
        for seat in made.slots:
            assert set(power.happened(seat)) <= {"process"}
            assert "ramp" not in power.path(seat) and "provisional" not in power.path(seat)

    played(work)


def test_one_sala_lost_power() -> None:
    """The others go on; those that come back hold their sala's nodos for cold, and nobody else's."""

    async def work(made: FleetHarness, power: Power) -> None:
        made.power_off("a")
        await until(lambda: len(made.living) == 4, "two down", 10)
        for number in (0, 3):
            await made.restart_endpoint(number)
            made.start(number)
        await power.steady(made.slots[0], made.slots[3])
        for seat in made.slots:
            lost = seat.number % 3 == 0
            assert power.happened(seat) == (["zone"] if lost else [])
            assert ("ramp" in power.path(seat)) is lost

    played(work)


def test_all_proxies_and_no_machine() -> None:
    """They are warm again at once: nodos and machines had power all the while."""

    async def work(made: FleetHarness, power: Power) -> None:
        for seat in made.slots:
            made.kill(seat.number)
        for seat in made.slots:
            made.start(seat.number)
        await power.steady()
        for seat in made.slots:
            assert power.happened(seat) == ["process"]
            assert "ramp" not in power.path(seat)

    played(work)
