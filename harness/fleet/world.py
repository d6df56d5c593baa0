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

from harness.backend import Backend
from harness.callers import EFFECTS, Callers
from harness.fleet.network import Network
from harness.fleet.relay import Datagrams, Pipe, host
from harness.kit import until
from harness.ledger import Ledger, Violation
from harness.padron import Padron, entry
from harness.program import ROOT, Program, configuration, free_port, launch, settings
from harness.skew import STEER
from service_proxy.fleet.guard import Seals
from service_proxy.fleet.pages import Page, Row, question, read_page
from service_proxy.fleet.wire import Malformed
from service_proxy.net.endpoint_list import parse_address as address_of

LOOK = 0.1  # s between two looks of the observer at each view
READY_STEP = 0.1  # s between two questions whether a process is ready
READY = 90.0  # s for all processes to be up on a busy machine
CHANGE = re.compile(
    r"service_proxy\.fleet: change (\d+) at ([\d.]+): (\S+) (\w+) -> (\w+), (\S+), told by (\S+): (.*)"
)
KEY = "0123456789abcdef" * 4  # of fleets whose datagrams are sealed
TOLD = ("service_proxy.fleet", "service_proxy.recovery", "ERROR", "Traceback")  # lines that are kept
GARBAGE = 64  # bytes of a datagram of a storm


@dataclass(frozen=True, slots=True)
class Setup:
    members: int = 12
    nodos: int = 4
    rate: float = 2.0  # calls a second at each proxy; 0: none
    period: float = 0.5
    suspicion: float = 3.0
    seed: int = 1
    fleet: str = "portal"
    keys: bool = False
    counts: bool = True
    view: bool = True  # the fleet is on
    start: bool = True  # all at once; else the script starts them
    recovery: bool = False  # [recovery], with a store for each and marks of a machine of its own
    cold: float = 24.0  # s for which a server is cold
    root: Path = ROOT
    newer: frozenset[int] = frozenset()  # members of the next version
    strangers: frozenset[int] = frozenset()  # members of another fleet, with these addresses by mistake


@dataclass(slots=True)
class Seen:
    """A line of a member's log that says a change."""

    by: str
    stamp: int
    at: float
    name: str
    before: str
    after: str
    incarnation: str
    teller: str
    reason: str


@dataclass(slots=True)
class Seat:
    """One proxy's place: its name, its process, and those before it."""

    number: int
    name: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    program: Program | None = None
    stopped: bool = False
    lives: int = 0
    read: int = 0  # bytes of its log that were looked at
    down: list[list[float]] = field(default_factory=list)  # from, until: when it was not there for its calls
    pipes: list[Pipe] = field(default_factory=list)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None


class World:
    """harness.fleet.script.Ground, on real processes."""

    def __init__(self, setup: Setup, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.setup = setup
        self.folder = folder
        self.network = Network(setup.seed, usual=(0.0, 0.0))
        self.port, self.http = free_port(), free_port()
        self.relay = Datagrams(setup.members, self.port, self.network)
        self.ledger = Ledger()
        self.seats = [Seat(number, f"p{number}", folder / f"p{number}") for number in range(setup.members)]
        self.nodos = [
            Backend(self.ledger, f"n{number}", "abc"[number % 3], capacity=4.0)
            for number in range(setup.nodos)
        ]
        self.padrons: list[Padron] = []
        self.callers: list[Callers] = []
        self.pipes: list[Pipe] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.random = Random(setup.seed)
        self.observer = Observer(self)
        self.starting = 0

    @property
    def names(self) -> list[str]:
        return [seat.name for seat in self.seats]

    @property
    def living(self) -> list[Seat]:
        return [seat for seat in self.seats if seat.alive and not seat.stopped]

    # making it
    async def begin(self) -> None:
        await self.relay.start()
        for nodo in self.nodos:
            await nodo.start()
        for seat in self.seats:
            await self._surround(seat)
        if self.setup.start:
            for seat in self.seats:
                self.start(seat.number)
            await until(lambda: all(seat.program is not None for seat in self.seats), "all up", READY)
        self.observer.begin()
        if self.setup.rate:
            for callers in self.callers:
                self._task(callers.run(3600.0, self.setup.rate, wait=False))

    async def _surround(self, seat: Seat) -> None:
        """Its list, its ways to the servers, and its callers."""
        seat.folder.mkdir()
        (seat.folder / "machine").write_text(f"machine {seat.name}\n")
        self.boot(seat.number)
        (seat.folder / "clock").write_bytes(STEER.pack(0.0, 0.0))
        padron = Padron(self.ledger, self.setup.seed + seat.number, proxy=seat.name)
        at = await padron.start()
        self.padrons.append(padron)
        for number, nodo in enumerate(self.nodos):
            pipe = Pipe(lambda nodo=nodo: address_of(nodo.address))  # type: ignore[misc]
            address = await pipe.start(f"127.79.{number}.{seat.number + 1}", self.http)
            seat.pipes.append(pipe)
            padron.put(entry(nodo.name, address, zone=nodo.zone))
        pipe = Pipe(lambda: address_of(at))
        await pipe.start(f"127.79.250.{seat.number + 1}", self.http)
        seat.pipes.append(pipe)
        self.pipes += seat.pipes
        self.callers.append(
            Callers(self.ledger, (host(77, seat.number), self.http), seat.name, self.setup.seed)
        )

    def _config(self, seat: Seat) -> dict[str, Any]:
        number = seat.number
        peers = self.relay.addresses()
        known = [item for item in self.padrons[number].entries.values() if item["status"] == "Ready"]
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
            "seed": f"{Random(f'{self.setup.seed} {number} {seat.lives}').getrandbits(62):x}",
            "peer_listen": f"{host(77, number)}:{self.port}",
            "peers": peers,
        }
        contract = {**settings()["contract"], "cold": self.setup.cold}
        return configuration(
            seat.name,
            f"{host(77, number)}:{self.http}",
            f"127.79.250.{number + 1}:{self.http}",
            known,
            more,
            balancers=self.setup.members,
            me=number,
            zone="abc"[number % 3],
            policy_limits=limits,
            contract=contract,
        )

    def _operator(self, seat: Seat) -> str:
        setup = self.setup
        fleet = setup.fleet + (" (another)" if seat.number in setup.strangers else "")
        if not setup.view:
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

    async def _launch(self, seat: Seat) -> None:
        self.starting += 1
        try:
            if self.setup.keys:
                keys = seat.folder / "keys"
                keys.write_text(f"k1 {KEY}\n")
                keys.chmod(0o600)
            through: tuple[str, ...] = ("harness.skew", "--steer", str(seat.folder / "clock"))
            if seat.number in self.setup.newer:
                through += ("harness.fleet.newer",)
            process = await launch(
                seat.folder, self._config(seat), self._operator(seat), self.setup.root, through
            )
            seat.process = process
            address = (host(77, seat.number), self.http)
            program = Program(process, address, seat.folder / "log")
            await self._wait_for(program, process)
            if process.returncode is None:
                seat.program = program
                self._up(seat)
        finally:
            self.starting -= 1

    async def _wait_for(self, program: Program, process: asyncio.subprocess.Process) -> None:
        """Until it says that it is ready, or has ended."""
        due = self.loop.time() + READY
        while process.returncode is None and self.loop.time() < due:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*program.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"HTTP/1.1 200"):
                    return
            await asyncio.sleep(READY_STEP)

    def _down(self, seat: Seat) -> None:
        if not seat.down or seat.down[-1][1] < float("inf"):
            seat.down.append([time.monotonic(), float("inf")])

    def _up(self, seat: Seat) -> None:
        if seat.down:
            seat.down[-1][1] = time.monotonic()

    def _task(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # script.Ground
    def later(self, wait: float, what: Callable[[], None]) -> None:
        self.loop.call_later(wait, what)

    def start(self, number: int, name: str = "") -> None:
        seat = self.seats[number]
        if seat.alive:
            return
        seat.name = name or seat.name
        seat.lives += 1
        seat.program = None
        seat.stopped = False
        self._task(self._launch(seat))

    def kill(self, number: int) -> None:
        seat = self.seats[number]
        if seat.alive and seat.process is not None:
            self._down(seat)
            seat.process.kill()
            seat.process = None  # it is reaped by the loop
            self.observer.forget(seat)

    def term(self, number: int) -> None:
        seat = self.seats[number]
        if seat.alive and seat.process is not None:
            self._down(seat)
            seat.process.send_signal(signal.SIGTERM)
            self.observer.forget(seat)

    def stop(self, number: int) -> None:
        seat = self.seats[number]
        if seat.alive and seat.process is not None:
            self._down(seat)
            seat.stopped = True
            os.kill(seat.process.pid, signal.SIGSTOP)

    def go_on(self, number: int) -> None:
        seat = self.seats[number]
        if seat.stopped and seat.process is not None and seat.process.returncode is None:
            os.kill(seat.process.pid, signal.SIGCONT)
            self._up(seat)
        seat.stopped = False

    def turn_clock(self, number: int, monotonic: float = 0.0, wall: float = 0.0) -> None:
        file = self.seats[number].folder / "clock"
        before = STEER.unpack(file.read_bytes())
        with file.open("r+b") as sink:
            sink.write(STEER.pack(before[0] + wall, before[1] + monotonic))

    def storm(self, number: int, rate: float, lasts: float) -> None:
        self._task(self._storm(number, rate, lasts))

    async def _storm(self, number: int, rate: float, lasts: float) -> None:
        due = begun = self.loop.time()
        foreign = bytes((1, 5)) + b"OTHR" + bytes((32,))
        while due < begun + lasts:
            for _ in range(max(1, int(rate / 100))):
                data = self.random.randbytes(GARBAGE)
                self.relay.pour(number, data if self.random.random() < 0.5 else foreign + data)
            due += 0.01
            await asyncio.sleep(max(0.0, due - self.loop.time()))

    def reset(self, number: int) -> None:
        for pipe in self.seats[number].pipes:
            pipe.reset()

    def silence(self, number: int, on: bool) -> None:
        for pipe in self.seats[number].pipes:
            pipe.be_silent(on)

    # a power loss
    def boot(self, number: int) -> None:
        """Its machine has another mark from now on."""
        mark = f"boot {self.random.getrandbits(64):016x}\n"
        (self.seats[number].folder / "boot").write_text(mark)

    def power_off(self, zones: str = "abc") -> None:
        """Proxies and nodos of these salas end in one moment, and their machines will have booted anew."""
        for seat in self.seats:
            if "abc"[seat.number % 3] in zones:
                self.kill(seat.number)
                self.boot(seat.number)
        for nodo in self.nodos:
            if nodo.zone in zones:
                nodo.stop()

    async def nodo_on(self, number: int) -> None:
        """It is back, cold, and its list does not say so yet."""
        await self.nodos[number].start(cold=True)

    def drain(self, server: str, on: bool) -> None:
        for padron in self.padrons:
            item = dict(padron.entries[server], status="Terminating" if on else "Ready")
            padron.put(item)

    # the end
    async def quiet(self) -> None:
        """No further calls; what is owed is waited for."""
        for task in list(self.tasks):
            task.cancel()
        for callers in self.callers:
            await callers.run(0.0, 1.0)

    def audit(self) -> list[Violation]:
        """Calls of a proxy that was killed, stopped or ending meanwhile can't be answered by it."""
        down = {seat.name: seat.down for seat in self.seats}
        for taken in self.ledger.taken:
            for begun, ended in down.get(taken.proxy, ()):
                if taken.at <= ended and taken.due + 1.0 >= begun:
                    self.ledger.excused.add(taken.call)
        return self.ledger.audit(EFFECTS)

    async def end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self.observer.stop()
        for seat in self.seats:
            if seat.process is not None and seat.process.returncode is None:
                if seat.stopped:
                    os.kill(seat.process.pid, signal.SIGCONT)
                seat.process.kill()
                await seat.process.wait()
        for callers in self.callers:
            for connection in list(callers.pool):
                connection.close()
        for pipe in self.pipes:
            pipe.stop()
        for padron in self.padrons:
            padron.stop()
        for nodo in self.nodos:
            nodo.stop()
        self.relay.stop()


class _Eye(asyncio.DatagramProtocol):
    def __init__(self, observer: Observer) -> None:
        self.observer = observer

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.observer.answered(str(addr[0]), data)

    def error_received(self, exc: Exception) -> None:
        pass


class Observer:
    """Collects every member's view: what it answers staff, and each change that its log tells."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.seals = Seals([bytes.fromhex(KEY)] if world.setup.keys else ())
        self.transport: asyncio.DatagramTransport | None = None
        self.number = 0
        self.pages: dict[str, tuple[float, Page]] = {}
        self.changes: list[Seen] = []
        self.lines: dict[str, list[str]] = {}  # of the fleet's, by seat's name, that tell no change
        self.on_event: Callable[[str], None] | None = None
        self.happened: set[str] = set()
        self.wanted: dict[int, asyncio.Future[Page]] = {}

    def begin(self) -> None:
        self.world._task(self._watch())

    async def _watch(self) -> None:
        loop = self.world.loop
        transport, _ = await loop.create_datagram_endpoint(lambda: _Eye(self), local_addr=("127.0.0.1", 0))
        self.transport = transport
        while True:
            for seat in self.world.living:
                if seat.program is not None:
                    self._ask(seat, 0)
            self.read_logs()
            await asyncio.sleep(LOOK)

    def _ask(self, seat: Seat, first: int) -> int:
        self.number = self.number % 65535 + 1
        at = host(77, seat.number)
        if self.transport is not None:
            life = os.getpid() % 65535 + 1
            data = question(first, self.number, 1, life, self.seals)
            self.transport.sendto(data, (at, self.world.port))
        return self.number

    def answered(self, at: str, data: bytes) -> None:
        try:
            page = read_page(data, self.seals)
        except Malformed:
            return
        wanted = self.wanted.pop(page.number, None)
        if wanted is None:
            seat = self.world.seats[self.world.relay.number_of[at]]
            self.pages[seat.name] = time.monotonic(), page
        elif not wanted.done():
            wanted.set_result(page)

    async def rows(self, seat: Seat) -> tuple[Page, list[Row]]:
        """All of one member's view."""
        rows: list[Row] = []
        while True:
            number = self._ask(seat, len(rows))
            self.wanted[number] = asyncio.get_running_loop().create_future()
            page = await asyncio.wait_for(self.wanted[number], 2.0)
            rows += page.members
            if len(rows) >= page.rows or not page.members:
                return page, rows

    def read_logs(self) -> None:
        for seat in self.world.seats:
            log = seat.folder / "log"
            if not log.exists():
                continue
            with log.open("rb") as source:
                source.seek(seat.read)
                data = source.read()
            end = data.rfind(b"\n") + 1
            seat.read += end
            for line in data[:end].decode(errors="replace").splitlines():
                self._line(seat, line)

    def _line(self, seat: Seat, line: str) -> None:
        found = CHANGE.search(line)
        if found is None:
            if any(word in line for word in TOLD):
                self.lines.setdefault(seat.name, []).append(line)
            return
        stamp, at, name, before, after, incarnation, teller, reason = found.groups()
        seen = Seen(seat.name, int(stamp), float(at), name, before, after, incarnation, teller, reason)
        self.changes.append(seen)
        event = f"{name} is {after}"
        if self.on_event is not None and event not in self.happened:
            self.happened.add(event)
            self.on_event(event)

    def forget(self, seat: Seat) -> None:
        self.pages.pop(seat.name, None)

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    # what it judges
    def equal(self, since: float = 0.0, settled: bool = False) -> bool:
        """Whether all the living see the same, and that is the living; by answers after `since`."""
        seats = self.world.living
        pages = [self.pages.get(seat.name) for seat in seats]
        if any(page is None or page[0] < since for page in pages):
            return False
        found = [page[1] for page in pages if page is not None]
        return (
            len({page.digest for page in found}) <= 1
            and all(page.living == len(seats) for page in found)
            and (not settled or all(page.settled for page in found))
        )

    async def settle(self, patience: float, settled: bool = False) -> float:
        """s until all views of the living are equal and right. Raises TimeoutError."""
        begun = time.monotonic()
        await until(lambda: not self.world.starting and self.equal(begun, settled), "equal views", patience)
        return time.monotonic() - begun

    def deaths(self) -> list[Seen]:
        return [change for change in self.changes if change.after == "dead"]

    def false_deaths(self) -> list[Seen]:
        """Of members whose process of that incarnation was there, and not stopped, when it was declared."""
        down = {seat.name: seat.down for seat in self.world.seats}
        return [
            death
            for death in self.deaths()
            if not any(begun <= death.at <= ended for begun, ended in down.get(death.name, ()))
        ]

    def resurrections(self) -> list[Seen]:
        """Changes that bring an incarnation back that the same view had buried."""
        buried: dict[tuple[str, str], set[str]] = {}
        stamps: dict[str, int] = {}
        found = []
        for change in self.changes:
            if change.stamp < stamps.get(change.by, 0):  # a new process, with a view of its own
                for pair in [pair for pair in buried if pair[0] == change.by]:
                    del buried[pair]
            stamps[change.by] = change.stamp
            dead = buried.setdefault((change.by, change.name), set())
            if change.after == "dead":
                dead.add(change.incarnation)
            elif change.after in ("alive", "suspect") and change.incarnation in dead:
                found.append(change)
        return found


@contextlib.asynccontextmanager
async def world(setup: Setup) -> AsyncIterator[World]:
    with tempfile.TemporaryDirectory() as text:
        made = World(setup, Path(text))
        try:
            await made.begin()
            yield made
        finally:
            await made.end()
