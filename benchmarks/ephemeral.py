"""Proof of ephemeral nodes: sessions lost, partitions and an empty service under traffic, audited.

    python -m benchmarks.ephemeral [--short] [--seed N] [--json FILE]

Two proxies read the stand-in's ephemeral nodes beside the registry; a third, in the same run, has the
registry alone. Half of the lost sessions are of endpoints that go on answering (the registry says
Terminating, 0.7 to 4.3 s late), half of endpoints that fell silent (it says Gone, 5.5 to 11 s late). Each
comes back cold after a while. Between them the ensemble is cut off and once is empty after a restore.

What is told to whom is logged by the stand-in when it writes it; the rules are audited from outside.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import logging
import re
import sys
import time
from dataclasses import dataclass, field
from random import Random
from statistics import median

from benchmarks.report import BenchmarkReport, run_benchmark
from harness.clients import IDEMPOTENCY_BY_CLASS, ClientPool
from harness.coordination import CoordinationService
from harness.coordination_connection import ServiceConnection, SessionRecord
from harness.endpoint_registry import EndpointRegistry, entry
from harness.event_loop import until
from harness.proxy_process import ProxyProcess, running_proxy
from harness.recorder import Notification, Recorder
from harness.stub_endpoint import StubEndpoint
from service_proxy.ephemeral_nodes.children_cache import ChildrenCache
from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.merger import EndpointListMerger
from service_proxy.ephemeral_nodes.records import OPEN_ACL
from service_proxy.ephemeral_nodes.registrar import Registrar
from service_proxy.ephemeral_nodes.source_reports import MEMBERSHIP, ReportedStatus
from service_proxy.operator_file import Membership

PARENT = "/salas/portal"
SHARE = 0.34  # of a mass loss
LEAVING_LATE = (0.7, 4.3)  # s by which the registry tells late that a nodo leaves
SILENT_LATE = (5.5, 11.0)  # s by which it tells late that one is gone without a word
RECENT = 3.0  # s within which a proxy must have sent to a nodo that is in use
GRACE = 2.0  # s of the drain window
SLACK = 0.1  # s for three processes on a busy machine
LISTED = 10_000  # nodes, for memory
CHANGES = 1000  # for CPU


@dataclass(frozen=True)
class Size:
    nodes: int
    rate: float  # calls a second, over the three proxies
    expiries: int
    partitions: tuple[float, ...]  # s
    away: float  # s until a lost nodo comes back
    spacing: float  # s between two expiries


FULL = Size(87, 400.0, 40, (60.0, 8.0, 8.0, 4.0, 4.0), 14.0, 2.5)
SHORT = Size(24, 90.0, 6, (3.0, 2.0), 3.5, 1.0)


@dataclass
class Loss:
    """One session that was lost, and when each proxy last sent to its nodo before it came back."""

    name: str
    silent: bool
    at: float
    last: dict[str, float] = field(default_factory=dict)


class Fleet:
    """The nodos, their sidecars' registrations, the service and the registry."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size, self.random = size, Random(seed)
        self.ledger = Recorder()
        self.registry = EndpointRegistry(self.ledger, seed, LEAVING_LATE)
        self.service = CoordinationService(3)
        self.nodes: dict[str, StubEndpoint] = {}
        self.registrars: dict[str, Registrar] = {}
        self.losses: list[Loss] = []
        self.away: set[str] = set()
        self.lost_at: dict[str, float] = {}  # of names whose nodes are gone
        self.told: set[tuple[str, str]] = set()  # proxy and name, of the present loss
        self.settings: Membership | None = None

    async def start(self) -> None:
        at = await self.service.start()
        await self.registry.start()
        self.settings = Membership(
            tuple("{}:{}".format(*server) for server in at), PARENT, session_timeout=1.5, connect_timeout=0.4
        )
        self.service.on_sent = self.sent
        for number in range(self.size.nodes):
            name = f"s-{number:02d}"
            backend = StubEndpoint(self.ledger, name, "abc"[number % 3], 0.005 + 0.02 * self.random.random())
            await backend.start()
            self.nodes[name] = backend
            self.registry.put(self.entry(name), delay_range=(0.0, 0.0))
            self.register(name)
        for registrar in self.registrars.values():
            await asyncio.wait_for(registrar.registered.wait(), 20)

    def entry(self, name: str, status: str = "Ready") -> dict[str, object]:
        backend = self.nodes[name]
        return entry(name, backend.address, zone=backend.zone, status=status, since_ms=backend.since_ms)

    def register(self, name: str) -> None:
        backend = self.nodes[name]
        node = EndpointNode(name, backend.address, backend.zone, "m", 1, 1.0, backend.since_ms)
        assert self.settings is not None
        registrar = Registrar(self.settings, node, Random(self.random.random()))
        registrar.start()
        self.registrars[name] = registrar

    def sent(self, connection: ServiceConnection, event: int, names: list[str]) -> None:
        """The stand-in has written a deletion, or (event 0) all names, to this connection."""
        via = next(iter(user.partition(":")[0] for user in connection.users), "")
        if not via:
            return  # a sidecar's
        now = time.monotonic()
        if event == EventType.DELETED:
            gone = names
        else:
            there = set(names)
            gone = [name for name in self.lost_at if name not in there]
            for name in there:
                if (via, name) in self.told:
                    self.ready(via, name, now)
        for name in gone:
            if (via, name) not in self.told:
                self.told.add((via, name))
                self.ledger.notifications.append(Notification(name, now, "gone", MEMBERSHIP, via))
        if event == EventType.CREATED:
            for name in names:
                self.ready(via, name, now)

    def ready(self, via: str, name: str, now: float) -> None:
        self.told.discard((via, name))
        self.ledger.notifications.append(Notification(name, now, "ready", MEMBERSHIP, via))

    async def lose(self, name: str, silent: bool) -> None:
        """A nodo's session ends; it comes back after a while, cold and under its name."""
        backend = self.nodes[name]
        self.away.add(name)
        loss = Loss(name, silent, 0.0)
        if silent:
            backend.silent = True
        number = self.registrars[name].session.session_id
        self.registrars[name].crash()
        self.service.expire(number)
        loss.at = self.lost_at[name] = time.monotonic()
        self.registry.put(
            self.entry(name, "Gone" if silent else "Terminating"),
            delay_range=SILENT_LATE if silent else LEAVING_LATE,
        )
        self.losses.append(loss)
        await asyncio.sleep(self.size.away)
        loss.last = dict(backend.last_request_by_proxy)
        backend.stop()
        backend.silent = False
        del self.lost_at[name]
        await backend.start(warming_up=True)
        self.registry.put(self.entry(name), delay_range=LEAVING_LATE)
        self.register(name)
        self.away.discard(name)

    def in_use(self, names: list[str]) -> list[str]:
        """Of these, those that the most proxies have sent to lately: whose loss matters."""
        since = time.monotonic() - RECENT
        users = {
            name: sum(at > since for at in self.nodes[name].last_request_by_proxy.values()) for name in names
        }
        return [name for name in names if users[name] == max(users.values())]

    def stop(self) -> None:
        for registrar in self.registrars.values():
            registrar.crash()
        for backend in self.nodes.values():
            backend.stop()
        self.registry.stop()


async def script(fleet: Fleet, size: Size, windows: list[tuple[str, float, float]]) -> None:
    """Expiries one after another, with the partitions and the empty ensemble between them."""
    pending: list[asyncio.Task[None]] = []
    stops = {
        (place + 1) * size.expiries // (len(size.partitions) + 2): length
        for place, length in enumerate(size.partitions)
    }
    for number in range(size.expiries):
        if number in stops:
            await settle(fleet, pending)
            length = stops[number]
            begun = time.monotonic()
            fleet.service.run_step({"do": "partition", "mode": "silent" if number % 2 else "reset"})
            await asyncio.sleep(length)
            windows.append((f"partition of {length:g} s", begun, time.monotonic()))
            # Cut off, sidecars could not keep their sessions either: without a leader none ran out.
            fleet.service.run_step({"do": "heal"})
            await back(fleet)
        free = [name for name in fleet.nodes if name not in fleet.away]
        name = fleet.random.choice(fleet.in_use(free))
        pending.append(asyncio.ensure_future(fleet.lose(name, bool(number % 2))))
        await asyncio.sleep(size.spacing * (0.5 + fleet.random.random()))
    await settle(fleet, pending)
    begun = time.monotonic()
    for registrar in fleet.registrars.values():
        registrar.crash()  # none is back before the proxies have read the empty list
    fleet.service.run_step({"do": "empty"})
    await asyncio.sleep(3.0)
    for name in fleet.nodes:
        fleet.register(name)
    windows.append(("empty ensemble", begun, time.monotonic()))
    await back(fleet)


async def settle(fleet: Fleet, pending: list[asyncio.Task[None]]) -> None:
    """All that are away are back, at the service and at the registry."""
    if pending:
        await asyncio.gather(*pending)
        pending.clear()
    await back(fleet)
    await asyncio.sleep(fleet.size.spacing)


async def back(fleet: Fleet) -> None:
    """All registrations stand."""

    def all_there() -> bool:
        found = fleet.service.tree.nodes.get(PARENT)
        return found is not None and len(found.children) == len(fleet.nodes) - len(fleet.away)

    await until(all_there, "the registrations", 60)


def least_in_use(log: str, nodes: int) -> int:
    """The fewest servers that the proxy's list had in use, by its own lines."""
    found = re.findall(r"endpoints_in_use_decreased count=(\d+) before=(\d+)", log)
    return min((int(now) for now, _ in found), default=nodes)


async def measure(proof: BenchmarkReport, wanted: argparse.Namespace) -> None:
    size = SHORT if proof.short else FULL
    proof.record("nodes", size.nodes, "nodos")
    proof.record("rate", size.rate, "calls a second, over three proxies")
    fleet = Fleet(size, proof.seed)
    await fleet.start()
    assert fleet.settings is not None
    servers = ", ".join(f'"{server}"' for server in fleet.settings.servers)
    windows: list[tuple[str, float, float]] = []
    async with contextlib.AsyncExitStack() as stack:
        proxies: dict[str, ProxyProcess] = {}
        known = [fleet.entry(name) for name in fleet.nodes]
        for name in ("m0", "m1", "p0"):
            operator = (
                f'[membership]\nservers = [{servers}]\npath = "{PARENT}"\nsession_timeout = 2.0\n'
                f'connect_timeout = 0.4\nauth_file = "{{folder}}/auth"\nmass_loss_share = {SHARE}\n'
                'snapshot = "{folder}/nodes"\n'
            )
            proxies[name] = await stack.enter_async_context(
                running_proxy(
                    name,
                    fleet.registry.address,
                    known,
                    operator if name[0] == "m" else "",
                    {"auth": f"{name}:secret"},
                    balancers=3,
                    me=len(proxies),
                )
            )
        await asyncio.sleep(2.0)
        begun = time.monotonic()
        callers = {
            name: ClientPool(fleet.ledger, node.address, name, proof.seed) for name, node in proxies.items()
        }
        played = asyncio.ensure_future(script(fleet, size, windows))
        driving = [
            asyncio.ensure_future(drive(caller, played, size.rate / len(callers)))
            for caller in callers.values()
        ]
        await played
        await asyncio.gather(*driving)
        ended = time.monotonic()
        logs = {name: node.log_file.read_text() for name, node in proxies.items()}
        for name, node in proxies.items():
            proof.record(f"{name}_memory", node.resident_mb(), "MB")
    fleet.stop()
    await fleet.service.stop()
    judge(proof, fleet, size, windows, begun, ended, logs, callers)
    await of_many(proof)


async def drive(callers: ClientPool, until_done: asyncio.Future[None], rate: float) -> None:
    """Calls at the rate until the script has been played, then what is owed is waited for."""
    while not until_done.done():
        await callers.run(1.0, rate, wait_and_close=False)
    await callers.run(0.0, rate)


def judge(
    proof: BenchmarkReport,
    fleet: Fleet,
    size: Size,
    windows: list[tuple[str, float, float]],
    begun: float,
    ended: float,
    logs: dict[str, str],
    callers: dict[str, ClientPool],
) -> None:
    ledger = fleet.ledger
    proof.record("span", ended - begun, "s")
    proof.record("calls", len(ledger.requests), "calls")
    proof.record("expiries", len(fleet.losses), "sessions lost")
    proof.check(len(fleet.losses) == size.expiries, "not all expiries were played")
    proof.check(
        not any(c.unsent_count for c in callers.values()), "callers could not send all of their calls"
    )
    ours: list[float] = []
    theirs: list[float] = []
    for loss in fleet.losses:
        for name, last in loss.last.items():
            (ours if name[0] == "m" else theirs).append(max(0.0, last - loss.at))
    proof.check(ours, "no nodo that was lost had been sent to before")
    ours = ours or [0.0]
    theirs = theirs or [0.0]
    proof.record("last_send_by_session", median(ours), "s after the loss, median")
    proof.record("last_send_by_session_worst", max(ours), "s after the loss")
    proof.record("last_send_by_padron", median(theirs), "s after the loss, median")
    proof.record("last_send_by_padron_worst", max(theirs), "s after the loss")
    late = [
        f"{loss.name} by {name} {last - loss.at:.2f} s"
        for loss in fleet.losses
        for name, last in loss.last.items()
        if name[0] == "m" and last - loss.at > GRACE + SLACK
    ]
    proof.check(not late, f"new sends later than {GRACE:g} s after a session's loss: {late[:5]}")
    told = sum(item.source == MEMBERSHIP and item.state == "gone" for item in ledger.notifications)
    proof.record("told", told, "ends written to proxies by the service")
    proof.check(told >= 2 * size.expiries, "not every loss was told to both proxies")
    for what, since, until_ in windows:
        for name in ("m0", "m1"):
            taken = {item.request_id for item in ledger.requests if item.proxy == name}
            mine = [a for a in ledger.answers if since <= a.received_at <= until_ and a.request_id in taken]
            served = sum(a.status_code == 200 for a in mine)
            label = what.replace(" ", "_")
            proof.record(f"{label}_{name}", f"{served}/{len(mine)}", "calls served")
            proof.check(mine and served >= 0.99 * len(mine), f"{what}: {name} served {served} of {len(mine)}")
    for name in ("m0", "m1"):
        least = least_in_use(logs[name], size.nodes)
        proof.record(f"{name}_least_in_use", least, f"of {size.nodes} servers")
        fewest = size.nodes - int(SHARE * size.nodes)
        proof.check(least >= fewest, f"{name} had {least} servers in use, {fewest} is the share's bound")
        held = logs[name].count("mass_loss_withheld")
        proof.record(f"{name}_held", held, "mass losses held")
        proof.check(held >= 1, f"{name} did not hold the empty ensemble's loss")
    for name, caller in callers.items():
        total = sum(caller.status_codes.values())
        proof.record(f"{name}_served", caller.status_codes[200] / max(1, total), "of its calls")
    broken = ledger.audit(IDEMPOTENCY_BY_CLASS)
    proof.record("rules_broken", len(broken), "of the four, over all proxies")
    proof.check(not broken, "; ".join(map(str, broken[:5])))


async def of_many(proof: BenchmarkReport) -> None:
    """A proxy with 10,000 listed nodes beside one with a single one, and 1,000 changes of its list."""
    sizes = {}
    for count in (1, LISTED):
        service = CoordinationService(1)
        at = await service.start()
        service.tree.create("/many", b"", list(OPEN_ACL), 0, 0)
        service.sessions[1] = SessionRecord(1, b"", 1e9, time.monotonic())
        for number in range(count):
            node = many(number)
            service.tree.create(f"/many/{node.name}", node.encode(), list(OPEN_ACL), 1, 1)
        operator = '[membership]\nservers = ["{}:{}"]\npath = "/many"\nreads_per_s = 10000.0\n'.format(*at[0])
        registry = EndpointRegistry(Recorder())
        await registry.start()
        async with running_proxy("many", registry.address, [], operator, ready=False) as program:
            await until(functools.partial(says_fresh, program), "all read", 60)
            await asyncio.sleep(0.5)
            sizes[count] = program.resident_mb()
        registry.stop()
        await service.stop()
    proof.record("memory_of_10000_nodes", sizes[LISTED] - sizes[1], "MB more than with one")
    proof.record("memory_with_10000_nodes", sizes[LISTED], "MB in all")
    tree = ChildrenCache()
    merger = EndpointListMerger(SHARE, 10.0)
    nodes = [many(number) for number in range(LISTED)]
    tree.preload(nodes)
    merger.update(MEMBERSHIP, [to_endpoint(node, 0.0) for node in nodes], 0.0)
    merger.take_changes(0.0)
    begun = time.process_time()
    for number in range(CHANGES):
        node = nodes[number * 7 % LISTED]
        if number % 2:
            merger.report_ended(MEMBERSHIP, [node.name], number * 0.001, ReportedStatus.LOST)
        else:
            merger.update(MEMBERSHIP, [to_endpoint(node.draining(), 0.0)], number * 0.001)
        merger.take_changes(number * 0.001)
    proof.record("cpu_of_1000_changes", time.process_time() - begun, "s, each given out alone")


def says_fresh(program: ProxyProcess) -> bool:
    return "source=membership health=fresh" in program.log_file.read_text()


def many(number: int) -> EndpointNode:
    return EndpointNode(
        f"s-{number:05d}", f"127.0.{number >> 8}.{number & 255}:8081", "abc"[number % 3], "m", 1
    )


if __name__ == "__main__":
    # Sidecars that lose their sessions say so. Not in measure(): a test that runs it keeps its log.
    logging.getLogger("service_proxy").setLevel(logging.CRITICAL)
    sys.exit(run_benchmark("ephemeral", measure))
