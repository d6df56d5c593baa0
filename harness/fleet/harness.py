"""A fleet of real processes of the program on loopback: proxies, the servers before which they stand, lists
and callers, with the fault relay between all of them, and an observer that sees every view.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from harness.clients import IDEMPOTENCY_BY_CLASS, ClientPool
from harness.clock_skew import OFFSETS
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.fleet.fault_relay import DatagramRelay, TcpRelay, loopback_address
from harness.fleet.network import Network
from harness.proxy_process import ROOT, ProxyProcess, configuration, free_port, settings, start_process
from harness.recorder import Recorder, Violation
from harness.stub_endpoint import StubEndpoint
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.errors import MalformedDatagramError
from service_proxy.fleet.view_query import ViewPage, ViewRow, decode_view_page, encode_view_request
from service_proxy.net.endpoint_list import parse_address as address_of

POLL_INTERVAL_S = 0.1  # s between two looks of the observer at each view
READY_POLL_INTERVAL_S = 0.1  # s between two questions whether a process is ready
READY_TIMEOUT_S = 90.0  # s for all processes to be up on a busy machine
CHANGE_LINE = re.compile(
    r"service_proxy\.fleet: member_state_changed revision=(\d+) at_s=([\d.]+) member=(\S+) "
    r"before=(\w+) after=(\w+) incarnation=(\S+) source=(\S+) reason=(.*)"
)
FLEET_KEY = "0123456789abcdef" * 4  # of fleets whose datagrams are sealed
KEPT_LINES = ("service_proxy.fleet", "service_proxy.recovery", "ERROR", "Traceback")  # lines that are kept
FLOOD_DATAGRAM_BYTES = 64  # bytes of a datagram of a storm


@dataclass(frozen=True, slots=True)
class FleetOptions:
    members: int = 12
    endpoints: int = 4
    rate: float = 2.0  # calls a second at each proxy; 0: none
    period: float = 0.5
    suspicion: float = 3.0
    seed: int = 1
    fleet: str = "portal"
    keys: bool = False
    counts: bool = True
    fleet_enabled: bool = True  # the fleet is on
    start_all: bool = True  # all at once; else the script starts them
    recovery: bool = False  # [recovery], with a store for each and marks of a machine of its own
    warm_up_s: float = 24.0  # s for which a server is cold
    root: Path = ROOT
    next_version_members: frozenset[int] = frozenset()  # members of the next version
    foreign_members: frozenset[int] = frozenset()  # members of another fleet, with these addresses by mistake


@dataclass(slots=True)
class LoggedChange:
    """A line of a member's log that says a change."""

    observer: str
    revision: int
    at: float
    name: str
    before: str
    after: str
    incarnation: str
    source: str
    reason: str


@dataclass(slots=True)
class Slot:
    """One proxy's place: its name, its process, and those before it."""

    number: int
    name: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    program: ProxyProcess | None = None
    suspended: bool = False
    starts: int = 0
    log_position: int = 0  # bytes of its log that were looked at
    downtimes: list[list[float]] = field(
        default_factory=list
    )  # from, until: when it was not there for its calls
    relays: list[TcpRelay] = field(default_factory=list)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None


class FleetHarness:
    """harness.fleet.fault_script.Ground, on real processes."""

    def __init__(self, setup: FleetOptions, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.options = setup
        self.folder = folder
        self.network = Network(setup.seed, base_delay_range=(0.0, 0.0))
        self.port, self.http = free_port(), free_port()
        self.relay = DatagramRelay(setup.members, self.port, self.network)
        self.ledger = Recorder()
        self.slots = [Slot(number, f"p{number}", folder / f"p{number}") for number in range(setup.members)]
        self.endpoints = [
            StubEndpoint(self.ledger, f"n{number}", "abc"[number % 3], capacity=4.0)
            for number in range(setup.endpoints)
        ]
        self.registries: list[EndpointRegistry] = []
        self.clients: list[ClientPool] = []
        self.relays: list[TcpRelay] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.random = Random(setup.seed)
        self.observer = FleetObserver(self)
        self.starting = 0

    @property
    def names(self) -> list[str]:
        return [seat.name for seat in self.slots]

    @property
    def living(self) -> list[Slot]:
        return [seat for seat in self.slots if seat.alive and not seat.suspended]

    # making it
    async def start_all(self) -> None:
        await self.relay.start()
        for nodo in self.endpoints:
            await nodo.start()
        for seat in self.slots:
            await self._prepare_slot(seat)
        if self.options.start_all:
            for seat in self.slots:
                self.start(seat.number)
            await until(
                lambda: all(seat.program is not None for seat in self.slots), "all up", READY_TIMEOUT_S
            )
        self.observer.start()
        if self.options.rate:
            for callers in self.clients:
                self.create_task(callers.run(3600.0, self.options.rate, wait_and_close=False))

    async def _prepare_slot(self, seat: Slot) -> None:
        """Its list, its ways to the servers, and its callers."""
        seat.folder.mkdir()
        (seat.folder / "machine").write_text(f"machine {seat.name}\n")
        self.renew_boot_id(seat.number)
        (seat.folder / "clock").write_bytes(OFFSETS.pack(0.0, 0.0))
        registry = EndpointRegistry(self.ledger, self.options.seed + seat.number, proxy=seat.name)
        at = await registry.start()
        self.registries.append(registry)
        for number, nodo in enumerate(self.endpoints):
            pipe = TcpRelay(lambda nodo=nodo: address_of(nodo.address))  # type: ignore[misc]
            address = await pipe.start(f"127.79.{number}.{seat.number + 1}", self.http)
            seat.relays.append(pipe)
            registry.put(entry(nodo.name, address, zone=nodo.zone))
        pipe = TcpRelay(lambda: address_of(at))
        await pipe.start(f"127.79.250.{seat.number + 1}", self.http)
        seat.relays.append(pipe)
        self.relays += seat.relays
        self.clients.append(
            ClientPool(
                self.ledger, (loopback_address(77, seat.number), self.http), seat.name, self.options.seed
            )
        )

    def _config(self, seat: Slot) -> dict[str, Any]:
        number = seat.number
        peers = self.relay.addresses()
        known = [item for item in self.registries[number].entries.values() if item["status"] == "Ready"]
        limits: dict[str, Any] = {
            "send_cap": 5,
            "may_duplicate": False,
            "may_cancel": True,
            "probes": True,
            "conn_idle": 30.0,
            "connect_timeout": 0.15,
            "most_held": 20000,
            "retry_after": True,
            "max_retry_after": 2.0,
            "peers": True,
        }
        more = {
            "seed": f"{Random(f'{self.options.seed} {number} {seat.starts}').getrandbits(62):x}",
            "peer_listen": f"{loopback_address(77, number)}:{self.port}",
            "peers": peers,
        }
        contract = {**settings()["contract"], "cold": self.options.warm_up_s}
        return configuration(
            seat.name,
            f"{loopback_address(77, number)}:{self.http}",
            f"127.79.250.{number + 1}:{self.http}",
            known,
            more,
            balancers=self.options.members,
            me=number,
            zone="abc"[number % 3],
            policy_limits=limits,
            contract=contract,
        )

    def _operator(self, seat: Slot) -> str:
        setup = self.options
        fleet = setup.fleet + (" (another)" if seat.number in setup.foreign_members else "")
        if not setup.fleet_enabled:
            return ""
        text = (
            f'[fleet]\nname = "{fleet}"\nperiod = {setup.period}\nsuspicion = {setup.suspicion}\n'
            f"counts = {'true' if setup.counts else 'false'}\n"
        )
        if setup.recovery:
            marks = "".join(f'{kind}_mark = "{seat.folder}/{kind}"\n' for kind in ("machine", "boot"))
            text += f'[recovery]\nstore = "{seat.folder}/store"\n{marks}'
        if setup.keys:
            text += '[budgets]\nkeys_file = "{folder}/keys"\n'
        return text

    async def _launch(self, seat: Slot) -> None:
        self.starting += 1
        try:
            if self.options.keys:
                keys = seat.folder / "keys"
                keys.write_text(f"k1 {FLEET_KEY}\n")
                keys.chmod(0o600)
            through: tuple[str, ...] = ("harness.clock_skew", "--steer", str(seat.folder / "clock"))
            if seat.number in self.options.next_version_members:
                through += ("harness.fleet.next_version",)
            process = await start_process(
                seat.folder, self._config(seat), self._operator(seat), self.options.root, through
            )
            seat.process = process
            address = (loopback_address(77, seat.number), self.http)
            program = ProxyProcess(process, address, seat.folder / "log")
            await self._wait_for(program, process)
            if process.returncode is None:
                seat.program = program
                self._mark_up(seat)
        finally:
            self.starting -= 1

    async def _wait_for(self, program: ProxyProcess, process: asyncio.subprocess.Process) -> None:
        """Until it says that it is ready, or has ended."""
        due = self.loop.time() + READY_TIMEOUT_S
        while process.returncode is None and self.loop.time() < due:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*program.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _mark_down(self, seat: Slot) -> None:
        if not seat.downtimes or seat.downtimes[-1][1] < float("inf"):
            seat.downtimes.append([time.monotonic(), float("inf")])

    def _mark_up(self, seat: Slot) -> None:
        if seat.downtimes:
            seat.downtimes[-1][1] = time.monotonic()

    def create_task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # script.Ground
    def schedule(self, wait: float, what: Callable[[], None]) -> None:
        self.loop.call_later(wait, what)

    def start(self, number: int, name: str = "") -> None:
        seat = self.slots[number]
        if seat.alive:
            return
        seat.name = name or seat.name
        seat.starts += 1
        seat.program = None
        seat.suspended = False
        self.create_task(self._launch(seat))

    def kill(self, number: int) -> None:
        seat = self.slots[number]
        if seat.alive and seat.process is not None:
            self._mark_down(seat)
            seat.process.kill()
            seat.process = None  # it is reaped by the loop
            self.observer.forget(seat)

    def terminate(self, number: int) -> None:
        seat = self.slots[number]
        if seat.alive and seat.process is not None:
            self._mark_down(seat)
            seat.process.send_signal(signal.SIGTERM)
            self.observer.forget(seat)

    def suspend(self, number: int) -> None:
        seat = self.slots[number]
        if seat.alive and seat.process is not None:
            self._mark_down(seat)
            seat.suspended = True
            os.kill(seat.process.pid, signal.SIGSTOP)

    def resume(self, number: int) -> None:
        seat = self.slots[number]
        if seat.suspended and seat.process is not None and seat.process.returncode is None:
            os.kill(seat.process.pid, signal.SIGCONT)
            self._mark_up(seat)
        seat.suspended = False

    def adjust_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        file = self.slots[number].folder / "clock"
        before = OFFSETS.unpack(file.read_bytes())
        with file.open("r+b") as sink:
            sink.write(OFFSETS.pack(before[0] + wall, before[1] + monotonic))

    def flood(self, number: int, rate: float, lasts: float) -> None:
        self.create_task(self._send_flood(number, rate, lasts))

    async def _send_flood(self, number: int, rate: float, lasts: float) -> None:
        due = begun = self.loop.time()
        foreign = bytes((1, 5)) + b"OTHR" + bytes((32,))
        while due < begun + lasts:
            for _ in range(max(1, int(rate / 100))):
                data = self.random.randbytes(FLOOD_DATAGRAM_BYTES)
                self.relay.inject(number, data if self.random.random() < 0.5 else foreign + data)
            due += 0.01
            await asyncio.sleep(max(0.0, due - self.loop.time()))

    def reset_connections(self, number: int) -> None:
        for pipe in self.slots[number].relays:
            pipe.reset()

    def set_silent(self, number: int, on: bool) -> None:
        for pipe in self.slots[number].relays:
            pipe.set_silent(on)

    # a power loss
    def renew_boot_id(self, number: int) -> None:
        """Its machine has another mark from now on."""
        mark = f"boot {self.random.getrandbits(64):016x}\n"
        (self.slots[number].folder / "boot").write_text(mark)

    def power_off(self, zones: str = "abc") -> None:
        """Proxies and nodos of these salas end in one moment, and their machines will have booted anew."""
        for seat in self.slots:
            if "abc"[seat.number % 3] in zones:
                self.kill(seat.number)
                self.renew_boot_id(seat.number)
        for nodo in self.endpoints:
            if nodo.zone in zones:
                nodo.stop()

    async def restart_endpoint(self, number: int) -> None:
        """It is back, cold, and its list does not say so yet."""
        await self.endpoints[number].start(warming_up=True)

    def set_draining(self, server: str, on: bool) -> None:
        for registry in self.registries:
            item = dict(registry.entries[server], status="Terminating" if on else "Ready")
            registry.put(item)

    # the end
    async def finish_requests(self) -> None:
        """No further calls; what is owed is waited for."""
        for task in list(self.tasks):
            task.cancel()
        for callers in self.clients:
            await callers.run(0.0, 1.0)

    def audit(self) -> list[Violation]:
        """Calls of a proxy that was killed, stopped or ending meanwhile can't be answered by it."""
        down = {seat.name: seat.downtimes for seat in self.slots}
        for taken in self.ledger.requests:
            for begun, ended in down.get(taken.proxy, ()):
                if taken.sent_at <= ended and taken.deadline + 1.0 >= begun:
                    self.ledger.excused_requests.add(taken.request_id)
        return self.ledger.audit(IDEMPOTENCY_BY_CLASS)

    async def stop_all(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self.observer.stop()
        for seat in self.slots:
            if seat.process is not None and seat.process.returncode is None:
                if seat.suspended:
                    os.kill(seat.process.pid, signal.SIGCONT)
                seat.process.kill()
                await seat.process.wait()
        for callers in self.clients:
            for connection in list(callers.live_connections):
                connection.close()
        for pipe in self.relays:
            pipe.stop()
        for registry in self.registries:
            registry.stop()
        for nodo in self.endpoints:
            nodo.stop()
        self.relay.stop()


class _ViewSocket(asyncio.DatagramProtocol):
    def __init__(self, observer: FleetObserver) -> None:
        self.observer = observer

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.observer.on_answer(str(addr[0]), data)

    def error_received(self, exc: Exception) -> None:
        pass


class FleetObserver:
    """Collects every member's view: what it answers staff, and each change that its log tells."""

    def __init__(self, harness: FleetHarness) -> None:
        self.harness = harness
        self.authenticator = MessageAuthenticator([bytes.fromhex(FLEET_KEY)] if harness.options.keys else ())
        self.transport: asyncio.DatagramTransport | None = None
        self.last_request_id = 0
        self.pages: dict[str, tuple[float, ViewPage]] = {}
        self.changes: list[LoggedChange] = []
        self.lines: dict[str, list[str]] = {}  # of the fleet's, by seat's name, that tell no change
        self.on_event: Callable[[str], None] | None = None
        self.reported_events: set[str] = set()
        self.pending_requests: dict[int, asyncio.Future[ViewPage]] = {}

    def start(self) -> None:
        self.harness.create_task(self._poll_views())

    async def _poll_views(self) -> None:
        loop = self.harness.loop
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ViewSocket(self), local_addr=("127.0.0.1", 0)
        )
        self.transport = transport
        while True:
            for seat in self.harness.living:
                if seat.program is not None:
                    self._request_view(seat, 0)
            self.read_logs()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _request_view(self, seat: Slot, first: int) -> int:
        self.last_request_id = self.last_request_id % 65535 + 1
        at = loopback_address(77, seat.number)
        if self.transport is not None:
            life = os.getpid() % 65535 + 1
            data = encode_view_request(first, self.last_request_id, 1, life, self.authenticator)
            self.transport.sendto(data, (at, self.harness.port))
        return self.last_request_id

    def on_answer(self, at: str, data: bytes) -> None:
        try:
            page = decode_view_page(data, self.authenticator)
        except MalformedDatagramError:
            return
        wanted = self.pending_requests.pop(page.request_id, None)
        if wanted is None:
            seat = self.harness.slots[self.harness.relay.number_of[at]]
            self.pages[seat.name] = time.monotonic(), page
        elif not wanted.done():
            wanted.set_result(page)

    async def fetch_view(self, seat: Slot) -> tuple[ViewPage, list[ViewRow]]:
        """All of one member's view."""
        rows: list[ViewRow] = []
        while True:
            number = self._request_view(seat, len(rows))
            self.pending_requests[number] = asyncio.get_running_loop().create_future()
            page = await asyncio.wait_for(self.pending_requests[number], 2.0)
            rows += page.rows
            if len(rows) >= page.row_count or not page.rows:
                return page, rows

    def read_logs(self) -> None:
        for seat in self.harness.slots:
            log = seat.folder / "log"
            if not log.exists():
                continue
            with log.open("rb") as source:
                source.seek(seat.log_position)
                data = source.read()
            end = data.rfind(b"\n") + 1
            seat.log_position += end
            for line in data[:end].decode(errors="replace").splitlines():
                self._read_line(seat, line)

    def _read_line(self, seat: Slot, line: str) -> None:
        found = CHANGE_LINE.search(line)
        if found is None:
            if any(word in line for word in KEPT_LINES):
                self.lines.setdefault(seat.name, []).append(line)
            return
        stamp, at, name, before, after, incarnation, teller, reason = found.groups()
        seen = LoggedChange(
            seat.name, int(stamp), float(at), name, before, after, incarnation, teller, reason
        )
        self.changes.append(seen)
        event = f"{name} is {after}"
        if self.on_event is not None and event not in self.reported_events:
            self.reported_events.add(event)
            self.on_event(event)

    def forget(self, seat: Slot) -> None:
        self.pages.pop(seat.name, None)

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    # what it judges
    def views_agree(self, since: float = 0.0, settled: bool = False) -> bool:
        """Whether all the living see the same, and that is the living; by answers after `since`."""
        seats = self.harness.living
        pages = [self.pages.get(seat.name) for seat in seats]
        if any(page is None or page[0] < since for page in pages):
            return False
        found = [page[1] for page in pages if page is not None]
        return (
            len({page.digest for page in found}) <= 1
            and all(page.alive_count == len(seats) for page in found)
            and (not settled or all(page.settled for page in found))
        )

    async def wait_until_settled(self, timeout: float, settled: bool = False) -> float:
        """s until all views of the living are equal and right. Raises TimeoutError."""
        begun = time.monotonic()
        await until(
            lambda: not self.harness.starting and self.views_agree(begun, settled), "equal views", timeout
        )
        return time.monotonic() - begun

    def deaths(self) -> list[LoggedChange]:
        return [change for change in self.changes if change.after == "dead"]

    def false_deaths(self) -> list[LoggedChange]:
        """Of members whose process of that incarnation was there, and not stopped, when it was declared."""
        down = {seat.name: seat.downtimes for seat in self.harness.slots}
        return [
            death
            for death in self.deaths()
            if not any(begun <= death.at <= ended for begun, ended in down.get(death.name, ()))
        ]

    def resurrections(self) -> list[LoggedChange]:
        """Changes that bring an incarnation back that the same view had buried."""
        buried: dict[tuple[str, str], set[str]] = {}
        stamps: dict[str, int] = {}
        found = []
        for change in self.changes:
            if change.revision < stamps.get(change.observer, 0):  # a new process, with a view of its own
                for pair in [pair for pair in buried if pair[0] == change.observer]:
                    del buried[pair]
            stamps[change.observer] = change.revision
            dead = buried.setdefault((change.observer, change.name), set())
            if change.after == "dead":
                dead.add(change.incarnation)
            elif change.after in ("alive", "suspect") and change.incarnation in dead:
                found.append(change)
        return found


@contextlib.asynccontextmanager
async def running_fleet(options: FleetOptions) -> AsyncIterator[FleetHarness]:
    with tempfile.TemporaryDirectory() as text:
        made = FleetHarness(options, Path(text))
        try:
            await made.start_all()
            yield made
        finally:
            await made.stop_all()
