"""A fleet of real proxy processes on loopback, with the fault relay between all of them.

Each proxy has its endpoints, its endpoint registry and its clients. An observer polls every member's view.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from random import Random
from typing import Any

from harness.clients import IDEMPOTENCY_BY_CLASS, ClientPool
from harness.clock_skew import OFFSETS
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import StallMonitor, until
from harness.fleet.fault_relay import DatagramRelay, TcpRelay, loopback_address
from harness.fleet.network import Network
from harness.fleet.observer import FLEET_KEY, FleetObserver
from harness.fleet.proxy_files import operator_file, proxy_configuration
from harness.fleet.slots import ZONES, FleetOptions, Slot, zone_of
from harness.proxy_process import ProxyProcess, free_port, start_process
from harness.recorder import Recorder, Violation
from harness.stub_endpoint import StubEndpoint
from service_proxy.net.endpoint_list import parse_address

READY_POLL_INTERVAL_S = 0.1  # interval between two readiness checks of a process
READY_TIMEOUT_S = 90.0  # longest wait until all processes are ready on a busy machine
FLOOD_DATAGRAM_BYTES = 64
FLOODS_PER_S = 100
GARBAGE_SHARE = 0.5  # share of garbage in a flood; the rest are another fleet's datagrams
DOWNTIME_MARGIN_S = 1.0  # time before a downtime within which a deadline is excused as well
REQUEST_DURATION_S = 3600.0  # time for which clients send requests; the harness ends earlier
FOREIGN_HEADER = bytes((1, 5)) + b"OTHR" + bytes((32,))  # header of another fleet's datagram


class FleetHarness:
    """Fleet of real processes, the target of a fault script.

    Attributes:
        slots: slots of the proxies.
        endpoints: endpoints of all proxies.
        registries: endpoint registries, one per proxy.
        clients: client pools, one per proxy.
        recorder: recorder of all requests, whose audit checks the rules.
        network: delays and faults of the datagrams in the relay.
        starting: number of processes that are being started.
    """

    def __init__(self, options: FleetOptions, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.options = options
        self.folder = folder
        self.network = Network(options.seed, base_delay_range=(0.0, 0.0))
        self.port = free_port()
        self.http = free_port()
        self.relay = DatagramRelay(options.members, self.port, self.network)
        self.recorder = Recorder()
        self.slots = [Slot(number, f"p{number}", folder / f"p{number}") for number in range(options.members)]
        self.endpoints = [
            StubEndpoint(self.recorder, f"n{number}", zone_of(number), capacity=4.0)
            for number in range(options.endpoints)
        ]
        self.registries: list[EndpointRegistry] = []
        self.clients: list[ClientPool] = []
        self.relays: list[TcpRelay] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.random = Random(options.seed)
        self.observer = FleetObserver(self)
        self.stall_monitor = StallMonitor(self.recorder.add_stall)
        self.starting = 0

    @property
    def names(self) -> list[str]:
        """Current names of the members."""
        return [slot.name for slot in self.slots]

    @property
    def living(self) -> list[Slot]:
        """Slots whose process runs and is not suspended."""
        return [slot for slot in self.slots if slot.alive and not slot.suspended]

    # Start
    async def start_all(self) -> None:
        """Start relay, endpoints, observer and clients, and all proxies unless a script starts them."""
        self.stall_monitor.start()
        await self.relay.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        for slot in self.slots:
            await self._prepare_slot(slot)
        if self.options.start_all:
            for slot in self.slots:
                self.start(slot.number)
            await until(
                lambda: all(slot.program is not None for slot in self.slots), "all up", READY_TIMEOUT_S
            )
        self.observer.start()
        if self.options.rate:
            for pool in self.clients:
                self.create_task(pool.run(REQUEST_DURATION_S, self.options.rate, wait_and_close=False))

    async def _prepare_slot(self, slot: Slot) -> None:
        """Create a slot's folder, endpoint registry, relays to the endpoints, and clients."""
        slot.folder.mkdir()
        (slot.folder / "machine").write_text(f"machine {slot.name}\n")
        self.renew_boot_id(slot.number)
        (slot.folder / "clock").write_bytes(OFFSETS.pack(0.0, 0.0))
        registry = EndpointRegistry(self.recorder, self.options.seed + slot.number, proxy=slot.name)
        at = await registry.start()
        self.registries.append(registry)
        for number, endpoint in enumerate(self.endpoints):
            relay = TcpRelay(lambda endpoint=endpoint: parse_address(endpoint.address))  # type: ignore[misc]
            address = await relay.start(f"127.79.{number}.{slot.number + 1}", self.http)
            slot.relays.append(relay)
            registry.put(entry(endpoint.name, address, zone=endpoint.zone))
        relay = TcpRelay(lambda: parse_address(at))
        await relay.start(f"127.79.250.{slot.number + 1}", self.http)
        slot.relays.append(relay)
        self.relays += slot.relays
        self.clients.append(
            ClientPool(
                self.recorder, (loopback_address(77, slot.number), self.http), slot.name, self.options.seed
            )
        )

    def _configuration(self, slot: Slot) -> dict[str, Any]:
        entries = self.registries[slot.number].entries.values()
        ready = [item for item in entries if item["status"] == "Ready"]
        return proxy_configuration(self.options, slot, self.port, self.http, self.relay.addresses(), ready)

    async def _launch(self, slot: Slot) -> None:
        self.starting += 1
        try:
            if self.options.keys:
                keys = slot.folder / "keys"
                keys.write_text(f"k1 {FLEET_KEY}\n")
                keys.chmod(0o600)
            runner: tuple[str, ...] = ("harness.clock_skew", "--steer", str(slot.folder / "clock"))
            if slot.number in self.options.next_version_members:
                runner += ("harness.fleet.next_version",)
            process = await start_process(
                slot.folder,
                self._configuration(slot),
                operator_file(self.options, slot),
                self.options.root,
                runner,
            )
            slot.process = process
            address = (loopback_address(77, slot.number), self.http)
            program = ProxyProcess(process, address, slot.folder / "log")
            await self._wait_for(program, process)
            if process.returncode is None:
                slot.program = program
                self._mark_up(slot)
        finally:
            self.starting -= 1

    async def _wait_for(self, program: ProxyProcess, process: asyncio.subprocess.Process) -> None:
        """Wait until a process is ready or has ended, for READY_TIMEOUT_S at most."""
        due_at = self.loop.time() + READY_TIMEOUT_S
        while process.returncode is None and self.loop.time() < due_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*program.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _mark_down(self, slot: Slot) -> None:
        if not slot.downtimes or slot.downtimes[-1][1] < float("inf"):
            slot.downtimes.append([time.monotonic(), float("inf")])

    def _mark_up(self, slot: Slot) -> None:
        if slot.downtimes:
            slot.downtimes[-1][1] = time.monotonic()

    def create_task(self, work: Any) -> None:
        """Run a coroutine until the harness ends."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # fault_script.FaultTarget
    def schedule(self, wait: float, callback: Callable[[], None]) -> None:
        """Call a function after `wait` seconds."""
        self.loop.call_later(wait, callback)

    def start(self, number: int, name: str = "") -> None:
        """Start a process in a free slot, with another name if one is given."""
        slot = self.slots[number]
        if slot.alive:
            return
        slot.name = name or slot.name
        slot.starts += 1
        slot.program = None
        slot.suspended = False
        self.create_task(self._launch(slot))

    def kill(self, number: int) -> None:
        """Send SIGKILL."""
        slot = self.slots[number]
        if slot.alive and slot.process is not None:
            self._mark_down(slot)
            slot.process.kill()
            slot.process = None  # the event loop reaps the process
            self.observer.discard_view(slot)

    def terminate(self, number: int) -> None:
        """Send SIGTERM."""
        slot = self.slots[number]
        if slot.alive and slot.process is not None:
            self._mark_down(slot)
            slot.process.send_signal(signal.SIGTERM)
            self.observer.discard_view(slot)

    def suspend(self, number: int) -> None:
        """Send SIGSTOP."""
        slot = self.slots[number]
        if slot.alive and slot.process is not None:
            self._mark_down(slot)
            slot.suspended = True
            os.kill(slot.process.pid, signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Send SIGCONT."""
        slot = self.slots[number]
        if slot.suspended and slot.process is not None and slot.process.returncode is None:
            os.kill(slot.process.pid, signal.SIGCONT)
            self._mark_up(slot)
        slot.suspended = False

    def adjust_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        """Move the clocks that the process reads by some seconds."""
        file = self.slots[number].folder / "clock"
        before = OFFSETS.unpack(file.read_bytes())
        with file.open("r+b") as sink:
            sink.write(OFFSETS.pack(before[0] + wall, before[1] + monotonic))

    def flood(self, number: int, rate: float, lasts: float) -> None:
        """Send garbage and another fleet's datagrams to a member, `rate` per second for `lasts` seconds."""
        self.create_task(self._send_flood(number, rate, lasts))

    async def _send_flood(self, number: int, rate: float, lasts: float) -> None:
        started_at = self.loop.time()
        due_at = started_at
        while due_at < started_at + lasts:
            for _ in range(max(1, int(rate / FLOODS_PER_S))):
                data = self.random.randbytes(FLOOD_DATAGRAM_BYTES)
                self.relay.inject(
                    number, data if self.random.random() < GARBAGE_SHARE else FOREIGN_HEADER + data
                )
            due_at += 1 / FLOODS_PER_S
            await asyncio.sleep(max(0.0, due_at - self.loop.time()))

    def reset_connections(self, number: int) -> None:
        """Reset all TCP connections of a proxy to its endpoints and its registry."""
        for relay in self.slots[number].relays:
            relay.reset()

    def set_silent(self, number: int, on: bool) -> None:
        """Stop or resume all traffic on a proxy's TCP connections to its endpoints and its registry."""
        for relay in self.slots[number].relays:
            relay.set_silent(on)

    # Power loss
    def renew_boot_id(self, number: int) -> None:
        """Change the boot id of a slot's machine, as after a power loss."""
        boot_id = f"boot {self.random.getrandbits(64):016x}\n"
        (self.slots[number].folder / "boot").write_text(boot_id)

    def power_off(self, zones: str = ZONES) -> None:
        """Kill proxies and endpoints of these zones at once, and change the boot ids of their machines."""
        for slot in self.slots:
            if zone_of(slot.number) in zones:
                self.kill(slot.number)
                self.renew_boot_id(slot.number)
        for endpoint in self.endpoints:
            if endpoint.zone in zones:
                endpoint.stop()

    async def restart_endpoint(self, number: int) -> None:
        """Start an endpoint again, warming up; its registry entry does not state the new start yet."""
        await self.endpoints[number].start(warming_up=True)

    def set_draining(self, server: str, on: bool) -> None:
        """List an endpoint as draining or as ready in all registries."""
        for registry in self.registries:
            item = dict(registry.entries[server], status="Terminating" if on else "Ready")
            registry.put(item)

    # Shutdown
    async def finish_requests(self) -> None:
        """Send no further requests, and wait for those in flight."""
        for task in list(self.tasks):
            task.cancel()
        for pool in self.clients:
            await pool.run(0.0, 1.0)

    def audit(self) -> list[Violation]:
        """Return the violations of the request rules.

        A proxy that is killed, suspended or terminated before a request's deadline can't answer this request,
        so the request is excused.
        """
        downtimes = {slot.name: slot.downtimes for slot in self.slots}
        for request in self.recorder.requests:
            for down_from, down_until in downtimes.get(request.proxy, ()):
                if request.sent_at <= down_until and request.deadline + DOWNTIME_MARGIN_S >= down_from:
                    self.recorder.excused_requests.add(request.request_id)
        return self.recorder.audit(IDEMPOTENCY_BY_CLASS)

    async def stop_all(self) -> None:
        """End all processes and close all sockets."""
        for task in list(self.tasks):
            task.cancel()
        self.observer.stop()
        self.stall_monitor.stop()
        for slot in self.slots:
            if slot.process is not None and slot.process.returncode is None:
                if slot.suspended:
                    os.kill(slot.process.pid, signal.SIGCONT)
                slot.process.kill()
                await slot.process.wait()
        for pool in self.clients:
            for connection in list(pool.live_connections):
                connection.close()
        for relay in self.relays:
            relay.stop()
        for registry in self.registries:
            registry.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        self.relay.stop()


@contextlib.asynccontextmanager
async def running_fleet(options: FleetOptions) -> AsyncIterator[FleetHarness]:
    """Run a fleet in a temporary folder; stop it at the end of the context."""
    with tempfile.TemporaryDirectory() as text:
        fleet = FleetHarness(options, Path(text))
        try:
            await fleet.start_all()
            yield fleet
        finally:
            await fleet.stop_all()
