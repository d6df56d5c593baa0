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
from service_proxy.ephemeral_nodes.children_cache import ChildChanges, ChildrenCache
from service_proxy.ephemeral_nodes.endpoint_node import EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.jute import ErrorCode, EventType, ServiceError
from service_proxy.ephemeral_nodes.merger import DISCOVERY, MEMBERSHIP, EndpointListMerger, ReportedStatus
from service_proxy.ephemeral_nodes.session import ConnectionLostError, Session, TooManyRequestsError
from service_proxy.ephemeral_nodes.session_states import USABLE_STATES, SessionState
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.endpoint_list import Endpoint, EndpointList, parse_address
from service_proxy.net.endpoint_sources import EndpointListListener, SourceHealth
from service_proxy.operator_file import Membership as Settings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger(__name__)

LOSS_BATCH_S = 0.1  # s in which losses are gathered, so that a burst is judged as one; of the 2 s of a drain
TICK_INTERVAL_S = 0.25  # s between looks at windows and holds
MAX_READS_IN_FLIGHT = 64  # reads of nodes without an answer
READ_BURST_S = 0.05  # s of the bounded rate that may be made up for at once
READ_RETRY_S = 1.0  # s after a reading that failed on a connection that stands
SNAPSHOT_INTERVAL_S = 5.0  # s between two writings of the file
DISCOVERY_TIMEOUT_S = (
    15.0  # s without an answer after which discovery is unreachable: its silences last 5.5 to 11
)


class EndpointListConsumer(EndpointListListener, Protocol):
    """What it needs of the driver."""

    discovery: DiscoveryClient
    initial_list: EndpointList


class EphemeralNodeSource:
    """net.endpoint_sources.Subsystem for [membership]."""

    def __init__(self, settings: Settings, seat: EndpointListConsumer, config: ProxyConfig) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.consumer = seat
        # Each proxy draws its own: thousands that read at one moment would be the storm they wait out.
        self.random = Random(f"{config.name} {config.seed}")
        self.merger = EndpointListMerger(settings.mass_loss_share, settings.mass_loss_within)
        self.children = ChildrenCache()
        self.session = self._session(settings, read_credentials(settings))
        self.lacks_persistent_watches = False  # the service has no persistent watches
        self.may_have_missed_changes = True  # data may have changed while nothing was watched
        self.pending_losses: dict[str, None] = {}  # gathered, to be judged at once
        self.losses_due_at = 0.0  # when; what else is due sooner does not judge the first ones alone
        self.reads_done = 0
        self.children_read = 0  # times that all names were read
        self.flush_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_task: asyncio.Task[None] | None = None
        self.read_needed = asyncio.Event()  # something is wanted
        self.is_names_read_due = False
        self.snapshot_written_at = 0.0
        self.is_snapshot_due = False
        self.discovery_failed_at: float | None = None

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
        self.merger.update(DISCOVERY, self.consumer.initial_list.endpoints, now)
        if self.settings.snapshot:
            self._preload(Path(self.settings.snapshot), now)
        discovery = self.consumer.discovery
        discovery.on_list = self._on_discovery_list
        discovery.on_failed = self._on_discovery_failed
        self._give(now)
        self.session.start()
        self._spawn(self._ticking())

    def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        self.session.stop()
        if self.is_snapshot_due and self.settings.snapshot:
            self._write_now(Path(self.settings.snapshot), self.children.nodes())

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
        credentials = read_credentials(new)
        servers = [parse_address(server) for server in new.servers]
        self.settings = new
        for source in self.merger.sources.values():
            source.mass_loss_share = new.mass_loss_share
            source.mass_loss_window_s = new.mass_loss_within
        self.session.requested_timeout = new.session_timeout
        self.session.connect_timeout = new.connect_timeout
        self.session.read_only = new.read_only
        changed = credentials != self.session.auth
        self.session.auth = credentials
        if self.session.state is SessionState.AUTH_FAILED and changed:
            self.session.stop()
            self.session = self._session(new, credentials)
            self.session.start()
        if self.session.set_servers(servers):
            self.children.forget_versions()
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

    # discovery, as one source
    def _on_discovery_list(self, listing: EndpointList) -> None:
        now = time.monotonic()
        self.discovery_failed_at = None
        self.merger.set_health(DISCOVERY, SourceHealth.FRESH)
        if listing.is_snapshot:
            self.merger.replace_all(DISCOVERY, listing.endpoints, now)
        else:
            self.merger.update(DISCOVERY, listing.endpoints, now)
        if not self._give(now):
            self.consumer.apply_endpoint_list(
                EndpointList(self.merger.version, False, [])
            )  # the module waits for an answer

    def _on_discovery_failed(self) -> None:
        if self.discovery_failed_at is None:
            self.discovery_failed_at = time.monotonic()
            self.merger.set_health(DISCOVERY, SourceHealth.STALE)
        self.consumer.endpoint_list_failed()

    # the session
    def _on_state(self, state: SessionState) -> None:
        if self.read_task is not None:
            self.read_task.cancel()
            self.read_task = None
        if state in USABLE_STATES:
            self.is_names_read_due = True
            # One-shot watches are set again from the last zxid, and fire for what changed; others don't.
            self.may_have_missed_changes = self.may_have_missed_changes or not self.session.data_watches
            self.read_needed.set()
            self.read_task = self._spawn(self._reading(self.session))
        elif state in (SessionState.LOST, SessionState.EXPIRED, SessionState.AUTH_FAILED):
            self.merger.set_health(MEMBERSHIP, SourceHealth.UNREACHABLE)
        elif state is SessionState.SUSPENDED:
            self.merger.set_health(MEMBERSHIP, SourceHealth.STALE)
        self._notes()

    def _on_event(self, event: int, path: str) -> None:
        parent = self.settings.path
        if path == parent:
            if event == EventType.DELETED:
                log.warning("the path %s was deleted; what is known is kept", parent)
            if event in (EventType.CHILDREN_CHANGED, EventType.CREATED):
                self.is_names_read_due = True
                self.read_needed.set()
            return
        prefix = parent.rstrip("/") + "/"
        name = path.removeprefix(prefix)
        if not path.startswith(prefix) or "/" in name:
            return
        if event == EventType.CHILDREN_CHANGED:
            return
        self._take(self.children.on_watch_event(event, name))
        self.read_needed.set()

    # reading
    async def _reading(self, session: Session) -> None:
        """One connection's reading: after a jitter all names, then what is wanted, at the bounded rate."""
        while True:
            try:
                if self.is_names_read_due or not self.children.has_names:
                    await asyncio.sleep(self.random.random() * self.settings.reread_jitter)
                    await self._read_names(session)
                await self._read_wanted(session)
                if self.children.is_complete and not self.is_names_read_due:
                    self.merger.set_health(MEMBERSHIP, SourceHealth.FRESH)
                    self._soon()
                    self.read_needed.clear()
                    await self.read_needed.wait()
            except ConnectionLostError:
                return
            except (ServiceError, TooManyRequestsError, ValueError) as fault:
                self.is_names_read_due = True
                log.warning("membership: reading %s: %s; tried again", self.settings.path, fault)
                await asyncio.sleep(READ_RETRY_S * (0.5 + self.random.random()))

    async def _read_names(self, session: Session) -> None:
        """One getChildren, however many changes have been announced since the last."""
        path = self.settings.path
        if (
            self.settings.watch != "one-shot"
            and not session.recursive_watches
            and not self.lacks_persistent_watches
        ):
            self.lacks_persistent_watches = not await session.watch_recursive(path)
            if self.lacks_persistent_watches and self.settings.watch == "persistent":
                log.warning("the service has no persistent watches; one-shot watches are used")
        self.is_names_read_due = False
        try:
            names, _ = await session.get_children2(path, watch=not session.recursive_watches)
        except ServiceError as fault:
            if fault.code != ErrorCode.NO_NODE:
                raise
            await session.exists(path, watch=True)
            log.warning("the path %s is not there; its servers are held to be lost at once", path)
            names = []
        self.children_read += 1
        self._take(self.children.on_names(names))
        if self.may_have_missed_changes:
            # A persistent watch tells nothing of what happened while the connection was down.
            self.may_have_missed_changes = False
            self.children.invalidate_all()

    async def _read_wanted(self, session: Session) -> None:
        out: set[asyncio.Task[None]] = set()
        span = 1 / self.settings.reads_per_s
        due = self.loop.time()
        try:
            while not self.is_names_read_due:
                name = self.children.next_read()
                if name is None:
                    if not out:
                        return
                    _, out = await asyncio.wait(out, return_when=asyncio.FIRST_COMPLETED)
                    continue
                out.add(self.loop.create_task(self._read_one(session, name)))
                due = max(due, self.loop.time() - READ_BURST_S) + span
                wait = due - self.loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                if len(out) >= MAX_READS_IN_FLIGHT:
                    _, out = await asyncio.wait(out, return_when=asyncio.FIRST_COMPLETED)
                out = {task for task in out if not task.done()}
        finally:
            for task in out:
                task.cancel()

    async def _read_one(self, session: Session, name: str) -> None:
        path = f"{self.settings.path.rstrip('/')}/{name}"
        try:
            data, stat = await session.get_data(path, watch=not session.recursive_watches)
        except ServiceError as fault:
            if fault.code == ErrorCode.NO_NODE:
                self._take(self.children.on_absent(name))
            else:
                log.warning("membership: reading %s: %s", path, fault)
        except (ConnectionLostError, TooManyRequestsError, asyncio.CancelledError):
            self.children.pending_reads.setdefault(name)
            raise
        else:
            self.reads_done += 1
            self._take(self.children.on_data(name, data, stat))

    # what came of it
    def _take(self, changes: ChildChanges) -> None:
        for name, fault in changes.hidden:
            log.warning("node %.80r is hidden: %s", name, fault)
        if changes.present:
            entries = []
            for node in changes.present:
                self.pending_losses.pop(node.name, None)  # back before its loss was judged
                entries.append(to_endpoint(node, WALL_CLOCK_OFFSET_S))
            self.merger.update(MEMBERSHIP, entries, time.monotonic())
            self._soon(0.0)
        if changes.lost:
            if not self.pending_losses:
                self.losses_due_at = time.monotonic() + LOSS_BATCH_S
            self.pending_losses.update(dict.fromkeys(changes.lost))
            self._soon(LOSS_BATCH_S)
        if changes.present or changes.lost:
            self.is_snapshot_due = True

    def _soon(self, delay: float = 0.0) -> None:
        if self.flush_timer is None:
            self.flush_timer = self.loop.call_later(delay, self._flush)

    def _flush(self) -> None:
        self.flush_timer = None
        now = time.monotonic()
        if self.pending_losses and now < self.losses_due_at:
            self._soon(self.losses_due_at - now)
        elif self.pending_losses:
            losses = self.pending_losses
            self.pending_losses = {}
            self.merger.report_ended(MEMBERSHIP, losses, now, ReportedStatus.LOST)
        self._give(now)

    def _give(self, now: float) -> bool:
        before = self.merger.serving_count
        listing = self.merger.take_changes(now)
        if listing is not None:
            self.consumer.apply_endpoint_list(listing)
        if self.merger.serving_count < before:
            log.info("in use: %d servers, %d before", self.merger.serving_count, before)
        self._notes()
        return listing is not None

    def _notes(self) -> None:
        for note in self.merger.take_notes():
            log.info("merger: %s", note)

    async def _ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            failed = self.discovery_failed_at
            if failed is not None and now >= failed + DISCOVERY_TIMEOUT_S:
                self.merger.set_health(DISCOVERY, SourceHealth.UNREACHABLE)
            self._give(now)
            if (
                self.is_snapshot_due
                and self.settings.snapshot
                and now >= self.snapshot_written_at + SNAPSHOT_INTERVAL_S
            ):
                self.snapshot_written_at = now
                self.is_snapshot_due = False
                # In a thread: the disk may take its time, and calls do not wait for it.
                path = Path(self.settings.snapshot)
                nodes = self._to_keep()
                await self.loop.run_in_executor(None, self._write_now, path, nodes)

    # the snapshot
    def _to_keep(self) -> list[EndpointNode]:
        """What is in use by this source: also what is held, since a loss that is not believed must not be
        believed by the next start either."""
        held = self.merger.sources[MEMBERSHIP].reports
        kept = {node.name: node for node in self.children.nodes()}
        for name, opinion in held.items():
            if opinion.is_loss_withheld and name not in kept:
                kept[name] = to_node(opinion.endpoint)
        return [kept[name] for name in sorted(kept)]

    def _preload(self, path: Path, now: float) -> None:
        try:
            nodes = snapshot.read(path)
        except FileNotFoundError:
            log.info("snapshot %s: none yet", path)
            return
        except (OSError, snapshot.InvalidSnapshotError) as fault:
            log.error("snapshot %s: %s; started without it", path, fault)
            return
        log.info("snapshot %s: %d nodes, used until the service has spoken", path, len(nodes))
        self.children.preload(nodes)
        self.merger.update(MEMBERSHIP, [to_endpoint(node, WALL_CLOCK_OFFSET_S) for node in nodes], now)

    def _write_now(self, path: Path, nodes: list[EndpointNode]) -> None:
        try:
            snapshot.write(path, nodes)
        except OSError as fault:
            log.error("snapshot %s: not written: %s", path, fault)


def to_node(entry: Endpoint) -> EndpointNode:
    """A list's entry as a node again, for the snapshot."""
    started = entry.entry.started_at
    host, port = entry.address
    return EndpointNode(
        name=entry.name,
        address=f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        zone=entry.entry.zone,
        type=entry.entry.endpoint_type,
        group=entry.entry.cell,
        weight=entry.entry.weight,
        since_ms=round((started + WALL_CLOCK_OFFSET_S) * 1000) if started > 0 else 0,
    )


def read_credentials(settings: Settings) -> bytes | None:
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
