"""The subsystem round the driver: the session, the tree, the merger and the snapshot, and when each is asked.

It decides nothing of its own: which source counts is merger.py's, what must be read is tree.py's. What it
adds is time: jitter before reading, the bound on reads, the span in which losses are gathered, the
snapshot's pace.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any, Protocol

from service_proxy.ephemeral_nodes import snapshot
from service_proxy.ephemeral_nodes.jute import Err, Event, ServiceError
from service_proxy.ephemeral_nodes.merger import MEMBERSHIP, PADRON, Merger, Word
from service_proxy.ephemeral_nodes.nodes import Node, listed
from service_proxy.ephemeral_nodes.session import Busy, ConnectionLost, Session
from service_proxy.ephemeral_nodes.states import USABLE, State
from service_proxy.ephemeral_nodes.tree import Changes, Tree
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.endpoint_list import Endpoint, EndpointList, parse_address
from service_proxy.net.endpoint_sources import EndpointListListener, SourceHealth
from service_proxy.operator_file import Membership as Settings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger(__name__)

GATHER = 0.1  # s in which losses are gathered, so that a burst is judged as one; of the 2 s of a drain
TICK = 0.25  # s between looks at windows and holds
READS_OUT = 64  # reads of nodes without an answer
BURST = 0.05  # s of the bounded rate that may be made up for at once
RETRY = 1.0  # s after a reading that failed on a connection that stands
SNAPSHOT_SPACING = 5.0  # s between two writings of the file
PADRON_PATIENCE = (
    15.0  # s without an answer after which the padron is unreachable: its silences last 5.5 to 11
)


class Seat(EndpointListListener, Protocol):
    """What it needs of the driver."""

    discovery: DiscoveryClient
    initial_list: EndpointList


class Membership:
    """net.endpoint_sources.Subsystem for [membership]."""

    def __init__(self, settings: Settings, seat: Seat, config: ProxyConfig) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.seat = seat
        # Each proxy draws its own: thousands that read at one moment would be the storm they wait out.
        self.random = Random(f"{config.name} {config.seed}")
        self.merger = Merger(settings.mass_loss_share, settings.mass_loss_within)
        self.tree = Tree()
        self.session = self._session(settings, auth(settings))
        self.plain = False  # the service has no persistent watches
        self.unseen = True  # data may have changed while nothing was watched
        self.losses: dict[str, None] = {}  # gathered, to be judged at once
        self.judged_from = 0.0  # when; what else is due sooner does not judge the first ones alone
        self.reads_done = 0
        self.children_read = 0  # times that all names were read
        self.flush_at: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.reader: asyncio.Task[None] | None = None
        self.more = asyncio.Event()  # something is wanted
        self.names_due = False
        self.written_at = 0.0
        self.write_due = False
        self.padron_failed_at: float | None = None

    def _session(self, settings: Settings, credentials: bytes | None) -> Session:
        return Session(
            [parse_address(server) for server in settings.servers],
            settings.session_timeout,
            settings.connect_timeout,
            self._on_state,
            self._on_event,
            self.random,
            settings.chroot,
            credentials,
            settings.read_only,
        )

    # life
    def start(self) -> None:
        now = time.monotonic()
        self.merger.told(PADRON, self.seat.initial_list.endpoints, now)
        if self.settings.snapshot:
            self._preload(Path(self.settings.snapshot), now)
        discovery = self.seat.discovery
        discovery.on_list = self._padron_list
        discovery.on_failed = self._padron_failed
        self._give(now)
        self.session.start()
        self._spawn(self._ticking())

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.flush_at is not None:
            self.flush_at.cancel()
        self.session.stop()
        if self.write_due and self.settings.snapshot:
            self._write_now(Path(self.settings.snapshot), self.tree.nodes())

    def reload(self, file: str) -> None:
        """SIGHUP: the ensemble, the credentials and the pace may change; path, chroot and snapshot need a
        restart. Whatever the session's state, what is known stays in use. It also says that a restore of the
        service from a backup was wanted."""
        operator = load(file)
        new = operator.membership
        if new is None:
            instead = "leave the table in; to turn it off, start the proxy anew"
            raise OperatorError([Problem(file, 1, "S109", "[membership] is gone", instead)])
        fixed = [k for k in ("path", "chroot", "snapshot") if getattr(new, k) != getattr(self.settings, k)]
        if fixed:
            text = f"{', '.join(fixed)} can't change while the proxy runs"
            problem = Problem(file, 1, "S109", text, "start it anew")
            raise OperatorError([problem])
        credentials = auth(new)
        servers = [parse_address(server) for server in new.servers]
        self.settings = new
        for source in self.merger.sources.values():
            source.share = new.mass_loss_share
            source.within = new.mass_loss_within
        self.session.wanted_timeout = new.session_timeout
        self.session.connect_timeout = new.connect_timeout
        self.session.read_only = new.read_only
        changed = credentials != self.session.auth
        self.session.auth = credentials
        if self.session.state is State.AUTH_FAILED and changed:
            self.session.stop()
            self.session = self._session(new, credentials)
            self.session.start()
        if self.session.move(servers):
            self.tree.forget_versions()
            log.info(
                "reload: another ensemble, %s; the list stays until it has spoken", ",".join(new.servers)
            )
        else:
            self.session.forget_zxid()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("membership: a task failed", exc_info=task.exception())

    # the padron, as one source
    def _padron_list(self, listing: EndpointList) -> None:
        now = time.monotonic()
        self.padron_failed_at = None
        self.merger.health_is(PADRON, SourceHealth.FRESH)
        if listing.is_snapshot:
            self.merger.whole(PADRON, listing.endpoints, now)
        else:
            self.merger.told(PADRON, listing.endpoints, now)
        if not self._give(now):
            self.seat.apply_endpoint_list(
                EndpointList(self.merger.version, False, [])
            )  # the module waits for an answer

    def _padron_failed(self) -> None:
        if self.padron_failed_at is None:
            self.padron_failed_at = time.monotonic()
            self.merger.health_is(PADRON, SourceHealth.STALE)
        self.seat.endpoint_list_failed()

    # the session
    def _on_state(self, state: State) -> None:
        if self.reader is not None:
            self.reader.cancel()
            self.reader = None
        if state in USABLE:
            self.names_due = True
            # One-shot watches are set again from the last zxid, and fire for what changed; others don't.
            self.unseen = self.unseen or not self.session.data_watches
            self.more.set()
            self.reader = self._spawn(self._reading(self.session))
        elif state in (State.LOST, State.EXPIRED, State.AUTH_FAILED):
            self.merger.health_is(MEMBERSHIP, SourceHealth.UNREACHABLE)
        elif state is State.SUSPENDED:
            self.merger.health_is(MEMBERSHIP, SourceHealth.STALE)
        self._notes()

    def _on_event(self, event: int, path: str) -> None:
        parent = self.settings.path
        if path == parent:
            if event == Event.DELETED:
                log.warning("the path %s was deleted; what is known is kept", parent)
            if event in (Event.CHILDREN_CHANGED, Event.CREATED):
                self.names_due = True
                self.more.set()
            return
        prefix = parent.rstrip("/") + "/"
        name = path.removeprefix(prefix)
        if not path.startswith(prefix) or "/" in name:
            return
        if event == Event.CHILDREN_CHANGED:
            return
        self._take(self.tree.fired(event, name))
        self.more.set()

    # reading
    async def _reading(self, session: Session) -> None:
        """One connection's reading: after a jitter all names, then what is wanted, at the bounded rate."""
        while True:
            try:
                if self.names_due or not self.tree.heard:
                    await asyncio.sleep(self.random.random() * self.settings.reread_jitter)
                    await self._read_names(session)
                await self._read_wanted(session)
                if self.tree.complete and not self.names_due:
                    self.merger.health_is(MEMBERSHIP, SourceHealth.FRESH)
                    self._soon()
                    self.more.clear()
                    await self.more.wait()
            except ConnectionLost:
                return
            except (ServiceError, Busy, ValueError) as fault:
                self.names_due = True
                log.warning("membership: reading %s: %s; tried again", self.settings.path, fault)
                await asyncio.sleep(RETRY * (0.5 + self.random.random()))

    async def _read_names(self, session: Session) -> None:
        """One getChildren, however many changes have been announced since the last."""
        path = self.settings.path
        if self.settings.watch != "one-shot" and not session.recursive and not self.plain:
            self.plain = not await session.watch_recursive(path)
            if self.plain and self.settings.watch == "persistent":
                log.warning("the service has no persistent watches; one-shot watches are used")
        self.names_due = False
        try:
            names, _ = await session.get_children2(path, watch=not session.recursive)
        except ServiceError as fault:
            if fault.code != Err.NO_NODE:
                raise
            await session.exists(path, watch=True)
            log.warning("the path %s is not there; its servers are held to be lost at once", path)
            names = []
        self.children_read += 1
        self._take(self.tree.children(names))
        if self.unseen:
            # A persistent watch tells nothing of what happened while the connection was down.
            self.unseen = False
            self.tree.doubt_all()

    async def _read_wanted(self, session: Session) -> None:
        out: set[asyncio.Task[None]] = set()
        span = 1 / self.settings.reads_per_s
        due = self.loop.time()
        try:
            while not self.names_due:
                name = self.tree.next_wanted()
                if name is None:
                    if not out:
                        return
                    _, out = await asyncio.wait(out, return_when=asyncio.FIRST_COMPLETED)
                    continue
                out.add(self.loop.create_task(self._read_one(session, name)))
                due = max(due, self.loop.time() - BURST) + span
                wait = due - self.loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if len(out) >= READS_OUT:
                    _, out = await asyncio.wait(out, return_when=asyncio.FIRST_COMPLETED)
                out = {task for task in out if not task.done()}
        finally:
            for task in out:
                task.cancel()

    async def _read_one(self, session: Session, name: str) -> None:
        path = f"{self.settings.path.rstrip('/')}/{name}"
        try:
            data, stat = await session.get_data(path, watch=not session.recursive)
        except ServiceError as fault:
            if fault.code == Err.NO_NODE:
                self._take(self.tree.absent(name))
            else:
                log.warning("membership: reading %s: %s", path, fault)
        except (ConnectionLost, Busy, asyncio.CancelledError):
            self.tree.wanted.setdefault(name)
            raise
        else:
            self.reads_done += 1
            self._take(self.tree.read(name, data, stat))

    # what came of it
    def _take(self, changes: Changes) -> None:
        for name, fault in changes.hidden:
            log.warning("node %.80r is hidden: %s", name, fault)
        if changes.present:
            entries = []
            for node in changes.present:
                self.losses.pop(node.name, None)  # back before its loss was judged
                entries.append(listed(node, WALL_CLOCK_OFFSET_S))
            self.merger.told(MEMBERSHIP, entries, time.monotonic())
            self._soon(0.0)
        if changes.lost:
            if not self.losses:
                self.judged_from = time.monotonic() + GATHER
            self.losses.update(dict.fromkeys(changes.lost))
            self._soon(GATHER)
        if changes.present or changes.lost:
            self.write_due = True

    def _soon(self, delay: float = 0.0) -> None:
        if self.flush_at is None:
            self.flush_at = self.loop.call_later(delay, self._flush)

    def _flush(self) -> None:
        self.flush_at = None
        now = time.monotonic()
        if self.losses and now < self.judged_from:
            self._soon(self.judged_from - now)
        elif self.losses:
            losses = self.losses
            self.losses = {}
            self.merger.ended(MEMBERSHIP, losses, now, Word.LOST)
        self._give(now)

    def _give(self, now: float) -> bool:
        before = self.merger.usable
        listing = self.merger.changes(now)
        if listing is not None:
            self.seat.apply_endpoint_list(listing)
        if self.merger.usable < before:
            log.info("in use: %d servers, %d before", self.merger.usable, before)
        self._notes()
        return listing is not None

    def _notes(self) -> None:
        for note in self.merger.take_notes():
            log.info("merger: %s", note)

    async def _ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            now = time.monotonic()
            failed = self.padron_failed_at
            if failed is not None and now >= failed + PADRON_PATIENCE:
                self.merger.health_is(PADRON, SourceHealth.UNREACHABLE)
            self._give(now)
            if self.write_due and self.settings.snapshot and now >= self.written_at + SNAPSHOT_SPACING:
                self.written_at = now
                self.write_due = False
                # In a thread: the disk may take its time, and calls do not wait for it.
                path = Path(self.settings.snapshot)
                nodes = self._to_keep()
                await self.loop.run_in_executor(None, self._write_now, path, nodes)

    # the snapshot
    def _to_keep(self) -> list[Node]:
        """What is in use by this source: also what is held, since a loss that is not believed must not be
        believed by the next start either."""
        held = self.merger.sources[MEMBERSHIP].opinions
        kept = {node.name: node for node in self.tree.nodes()}
        for name, opinion in held.items():
            if opinion.held and name not in kept:
                kept[name] = as_node(opinion.listed)
        return [kept[name] for name in sorted(kept)]

    def _preload(self, path: Path, now: float) -> None:
        try:
            nodes = snapshot.read(path)
        except FileNotFoundError:
            log.info("snapshot %s: none yet", path)
            return
        except (OSError, snapshot.BadSnapshot) as fault:
            log.error("snapshot %s: %s; started without it", path, fault)
            return
        log.info("snapshot %s: %d nodes, used until the service has spoken", path, len(nodes))
        self.tree.preload(nodes)
        self.merger.told(MEMBERSHIP, [listed(node, WALL_CLOCK_OFFSET_S) for node in nodes], now)

    def _write_now(self, path: Path, nodes: list[Node]) -> None:
        try:
            snapshot.write(path, nodes)
        except OSError as fault:
            log.error("snapshot %s: not written: %s", path, fault)


def as_node(entry: Endpoint) -> Node:
    """A list's entry as a node again, for the snapshot."""
    started = entry.entry.started_at
    host, port = entry.address
    return Node(
        name=entry.name,
        address=f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        zone=entry.entry.zone,
        type=entry.entry.kind,
        group=entry.entry.cell,
        weight=entry.entry.weight,
        since_ms=round((started + WALL_CLOCK_OFFSET_S) * 1000) if started > 0 else 0,
    )


def auth(settings: Settings) -> bytes | None:
    """`user:password` of the file that the operator names. Raises OperatorError."""
    if not settings.auth_file:
        return None
    file = settings.auth_file
    try:
        with contextlib.closing(open(file, "rb")) as source:
            text = source.read(4096).strip()
    except OSError as fault:
        instead = "name a file that holds user:password"
        raise OperatorError([Problem(file, 1, "C001", f"can't be read: {fault.strerror}", instead)]) from None
    user, colon, password = text.partition(b":")
    if not user or not colon or not password or b"\n" in text:
        problem = Problem(file, 1, "S105", "holds no credentials", "write one line user:password")
        raise OperatorError([problem])
    return text
