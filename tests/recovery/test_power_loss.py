"""Tests of power losses with several proxy processes: the outage that each determines, and the recovery."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Coroutine
from typing import Any

from harness.event_loop import until
from harness.fleet.harness import FleetHarness, running_fleet
from harness.fleet.slots import FleetOptions, Slot
from service_proxy.recovery.persisted_records import MaintenanceRecord, put_operation
from service_proxy.recovery.store import Store, StoreOwner, read_store
from service_proxy.recovery.store_directory import StoreDirectory

SLOW_START_WINDOW_S = 2.0
PHASE_CHANGE = re.compile(r"recovery_phase_changed before=(\w+) after=(\w+) duration_s=[\d.]+ reason=")
OUTAGE_FINDING = re.compile(r"outage_determined scope=(\w+) reason=")


class RecoveryLogs:
    """Lines that the processes have logged since a position in each log."""

    def __init__(self, fleet: FleetHarness) -> None:
        self.fleet = fleet
        self.positions = {slot.name: 0 for slot in fleet.slots}

    def skip_to_end(self) -> None:
        self.fleet.observer.read_logs()
        self.positions = {name: len(self.fleet.observer.lines.get(name, [])) for name in self.positions}

    def lines(self, slot: Slot) -> str:
        self.fleet.observer.read_logs()
        return "\n".join(self.fleet.observer.lines.get(slot.name, [])[self.positions[slot.name] :])

    def outage_findings(self, slot: Slot) -> list[str]:
        return OUTAGE_FINDING.findall(self.lines(slot))

    def phases(self, slot: Slot) -> list[str]:
        found = PHASE_CHANGE.findall(self.lines(slot))
        return [found[0][0], *(phase for _, phase in found)] if found else []

    async def wait_until_steady(self, *slots: Slot) -> None:
        """Wait until the given slots, or all slots, are in phase steady."""
        expected = slots or tuple(self.fleet.slots)
        await until(
            lambda: not self.fleet.starting
            and all(self.phases(slot)[-1:] == ["steady"] for slot in expected),
            "steady",
            60,
        )


def run_scenario(scenario: Callable[[FleetHarness, RecoveryLogs], Coroutine[Any, Any, None]]) -> None:
    async def test() -> None:
        options = FleetOptions(
            members=6, endpoints=6, rate=10.0, period=0.25, recovery=True, warm_up_s=SLOW_START_WINDOW_S
        )
        async with running_fleet(options) as fleet:
            logs = RecoveryLogs(fleet)
            await logs.wait_until_steady()
            await fleet.observer.wait_until_settled(30, True)
            logs.skip_to_end()
            await scenario(fleet, logs)
            await fleet.finish_requests()
            assert not fleet.audit()
            for slot in fleet.slots:
                assert "Traceback" not in logs.lines(slot)

    asyncio.run(test())


def test_fleet_recovers_from_a_power_loss_when_proxies_start_before_endpoints() -> None:
    """The proxies start before the endpoints, one endpoint never starts, and one was in maintenance."""

    async def scenario(fleet: FleetHarness, logs: RecoveryLogs) -> None:
        fleet.power_off()
        await until(lambda: not fleet.living, "dark", 10)
        directory = StoreDirectory(fleet.slots[0].folder / "store")
        contents = read_store(directory, None)
        assert set(contents.state.tables["server"]) == {f"n{number}" for number in range(6)}
        assert len(contents.state.tables["member"]) == 5
        store = Store(directory, StoreOwner("p0", "machine p0"))
        store.start_generation(contents, 1.0)
        store.append([put_operation("n1", MaintenanceRecord(1.0, "fan"))], 1.0)
        store.close()
        fleet.endpoints[1].last_request_by_proxy.clear()
        for slot in fleet.slots:
            fleet.start(slot.number)
        await until(
            lambda: all("fleet" in logs.outage_findings(slot) for slot in fleet.living), "outage finding", 30
        )
        # The phase stays unavailable because no endpoint answers.
        assert all(logs.phases(slot) == [] for slot in fleet.slots)
        served = sum(client.status_codes[200] for client in fleet.clients)
        rejected = sum(client.status_codes[503] for client in fleet.clients)
        await until(
            lambda: sum(client.status_codes[503] for client in fleet.clients) > rejected, "rejections", 10
        )
        for number in (3, 0, 4, 1, 2):
            await fleet.restart_endpoint(number)
            await asyncio.sleep(0.3)
        await logs.wait_until_steady()
        for slot in fleet.living:
            assert logs.phases(slot)[0] == "unavailable" and "ramp" in logs.phases(slot)
            assert logs.outage_findings(slot) == ["fleet"]
        await until(
            lambda: sum(client.status_codes[200] for client in fleet.clients) > served + 50, "service", 20
        )
        # Only p0 has the record of the maintenance of n1, so only p0 sends no request to n1. At this rate a
        # proxy may prefer other endpoints for a long time, so the others are drained.
        for name in ("n0", "n2", "n3", "n4"):
            fleet.set_draining(name, True)
        senders = fleet.endpoints[1].last_request_by_proxy
        await until(lambda: len(senders) >= len(fleet.slots) - 1, "requests of all other proxies at n1", 20)
        assert set(senders) == {f"p{number}" for number in range(1, 6)}

    run_scenario(scenario)


def test_single_and_rolling_restarts_start_no_recovery() -> None:
    async def scenario(fleet: FleetHarness, logs: RecoveryLogs) -> None:
        for slot in fleet.slots:
            fleet.kill(slot.number)
            fleet.start(slot.number)
            await logs.wait_until_steady(slot)
        for slot in fleet.slots:
            assert set(logs.outage_findings(slot)) <= {"process"}
            assert "ramp" not in logs.phases(slot) and "provisional" not in logs.phases(slot)

    run_scenario(scenario)


def test_power_loss_of_one_zone_starts_a_recovery_in_that_zone_only() -> None:
    """Other zones' proxies continue. Restarted proxies mark only endpoints of their zone as warming up."""

    async def scenario(fleet: FleetHarness, logs: RecoveryLogs) -> None:
        fleet.power_off("a")
        await until(lambda: len(fleet.living) == 4, "two processes have ended", 10)
        for number in (0, 3):
            await fleet.restart_endpoint(number)
            fleet.start(number)
        await logs.wait_until_steady(fleet.slots[0], fleet.slots[3])
        for slot in fleet.slots:
            is_affected = slot.number % 3 == 0
            assert logs.outage_findings(slot) == (["zone"] if is_affected else [])
            assert ("ramp" in logs.phases(slot)) is is_affected

    run_scenario(scenario)


def test_restart_of_all_proxies_starts_no_ramp_if_machines_kept_power() -> None:
    """Service returns without a ramp, because endpoints and machines had power throughout."""

    async def scenario(fleet: FleetHarness, logs: RecoveryLogs) -> None:
        for slot in fleet.slots:
            fleet.kill(slot.number)
        for slot in fleet.slots:
            fleet.start(slot.number)
        await logs.wait_until_steady()
        for slot in fleet.slots:
            assert logs.outage_findings(slot) == ["process"]
            assert "ramp" not in logs.phases(slot)

    run_scenario(scenario)
