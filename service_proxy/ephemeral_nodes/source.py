"""Endpoint source that reads ephemeral znodes and merges them with discovery for the dispatcher.

The module connects the session, the children cache and its reader, the merger and the snapshot, and leaves
their decisions to them. It adds the timing: the window in which losses are collected, and the interval of
snapshot writes.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any, Protocol

from service_proxy.ephemeral_nodes import snapshot
from service_proxy.ephemeral_nodes.children_cache import ChildChanges, ChildrenCache
from service_proxy.ephemeral_nodes.children_reader import ChildrenReader
from service_proxy.ephemeral_nodes.codes import EventType
from service_proxy.ephemeral_nodes.credentials import read_credentials
from service_proxy.ephemeral_nodes.endpoint_node import MS_PER_S, EndpointNode, to_endpoint
from service_proxy.ephemeral_nodes.errors import InvalidSnapshotError
from service_proxy.ephemeral_nodes.merger import EndpointListMerger
from service_proxy.ephemeral_nodes.session import Session
from service_proxy.ephemeral_nodes.session_states import USABLE_STATES, SessionState
from service_proxy.ephemeral_nodes.source_reports import DISCOVERY, MEMBERSHIP, ReportedStatus
from service_proxy.net.config import ProxyConfig
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S, DiscoveryClient
from service_proxy.net.endpoint_list import Endpoint, EndpointList, parse_address
from service_proxy.net.endpoint_sources import EndpointListListener, SourceHealth
from service_proxy.operator_file import Membership as MembershipSettings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger(__name__)

# Time in which losses are collected, so that a burst is judged as one; part of the 2 s drain window.
LOSS_BATCH_S = 0.1
TICK_INTERVAL_S = 0.25  # Interval between checks of loss windows, withheld losses and the snapshot.
SNAPSHOT_INTERVAL_S = 5.0  # Minimum time between two writes of the snapshot file.
# Time from a failed poll without a response until discovery counts as unreachable. Usual gaps between
# responses last 5.5 to 11 s.
DISCOVERY_TIMEOUT_S = 15.0
RESTART_ONLY_SETTINGS = ("path", "chroot", "snapshot")
# States in which the service has been unreachable for longer than the session timeout, or rejects the
# session.
UNREACHABLE_STATES = (SessionState.LOST, SessionState.EXPIRED, SessionState.AUTH_FAILED)


class EndpointListConsumer(EndpointListListener, Protocol):
    """Interface of the dispatcher that the source uses."""

    discovery: DiscoveryClient
    initial_list: EndpointList


class EphemeralNodeSource:
    """Endpoint source for [membership], an implementation of `net.endpoint_sources.Subsystem`.

    Raises OperatorError if the credentials can't be read.
    """

    def __init__(
        self, settings: MembershipSettings, consumer: EndpointListConsumer, config: ProxyConfig
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.consumer = consumer
        # Each proxy has its own seed, because thousands of proxies with the same jitter would read at the
        # same moment and overload the service.
        self.random = Random(f"{config.name} {config.seed}")
        self.merger = EndpointListMerger(settings.mass_loss_share, settings.mass_loss_within)
        self.children = ChildrenCache()
        self.reader = ChildrenReader(
            settings, self.children, self.random, self._apply_changes, self._on_read_complete
        )
        self.session = self._create_session(settings, read_credentials(settings))
        # Names of collected losses, reported together at `losses_due_at`.
        self.pending_losses: dict[str, None] = {}
        # Monotonic time to report the collected losses; an earlier flush leaves the losses pending.
        self.losses_due_at = 0.0
        self.flush_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_task: asyncio.Task[None] | None = None
        self.snapshot_written_at = 0.0
        self.is_snapshot_due = False
        self.discovery_failed_at: float | None = None

    def _create_session(self, settings: MembershipSettings, credentials: bytes | None) -> Session:
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

    # net.endpoint_sources.Subsystem
    def start(self) -> None:
        """Load the snapshot, if there is one, and start to connect."""
        now = time.monotonic()
        self.merger.update(DISCOVERY, self.consumer.initial_list.endpoints, now)
        if self.settings.snapshot:
            self._preload(Path(self.settings.snapshot), now)
        discovery = self.consumer.discovery
        discovery.on_list = self._on_discovery_list
        discovery.on_failed = self._on_discovery_failed
        self._publish_changes(now)
        self.session.start()
        self._start_task(self._run_periodic_checks())

    def stop(self) -> None:
        """Close the session's connection, and write the snapshot if a write is due."""
        for task in list(self.tasks):
            task.cancel()
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        self.session.stop()
        if self.is_snapshot_due and self.settings.snapshot:
            _write_snapshot(Path(self.settings.snapshot), self.children.nodes())

    def reload(self, file: str) -> None:
        """Reload the operator's file (SIGHUP): the ensemble, the credentials and the read rate may change.

        The known endpoints stay in use in every session state. A reload also confirms that a restore of the
        service from a backup was intended.

        Raises:
            OperatorError: the file is invalid, or changes a setting that needs a restart; nothing has
                changed.
        """
        new = self._read_settings(file)
        credentials = read_credentials(new)
        servers = [parse_address(server) for server in new.servers]
        self.settings = new
        self.reader.settings = new
        for source in self.merger.sources.values():
            source.mass_loss_share = new.mass_loss_share
            source.mass_loss_window_s = new.mass_loss_within
        self._update_session(new, credentials)
        if self.session.set_servers(servers):
            self.children.reset_versions()
            log.info(
                "ensemble_changed servers=%s (the endpoint list stays in use until the new ensemble replies)",
                ",".join(new.servers),
            )
        else:
            self.session.reset_zxid()

    def _read_settings(self, file: str) -> MembershipSettings:
        new = load(file).membership
        if new is None:
            remedy = "keep the table; to turn it off, restart the proxy without it"
            raise OperatorError([Problem(file, 1, "S109", "[membership] was removed", remedy)])
        changed = [key for key in RESTART_ONLY_SETTINGS if getattr(new, key) != getattr(self.settings, key)]
        if changed:
            text = f"{', '.join(changed)} can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        return new

    def _update_session(self, settings: MembershipSettings, credentials: bytes | None) -> None:
        self.session.requested_timeout = settings.session_timeout
        self.session.connect_timeout = settings.connect_timeout
        self.session.read_only = settings.read_only
        has_changed = credentials != self.session.auth
        self.session.auth = credentials
        if self.session.state is SessionState.AUTH_FAILED and has_changed:
            self.session.stop()
            self.session = self._create_session(settings, credentials)
            self.session.start()

    def _start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("endpoint_source_task_failed", exc_info=task.exception())

    # Discovery
    def _on_discovery_list(self, endpoint_list: EndpointList) -> None:
        now = time.monotonic()
        self.discovery_failed_at = None
        self.merger.set_health(DISCOVERY, SourceHealth.UP_TO_DATE)
        if endpoint_list.is_snapshot:
            self.merger.replace_all(DISCOVERY, endpoint_list.endpoints, now)
        else:
            self.merger.update(DISCOVERY, endpoint_list.endpoints, now)
        if not self._publish_changes(now):
            # The policy waits for a response to its poll, even if nothing has changed.
            self.consumer.apply_endpoint_list(EndpointList(self.merger.version, False, []))

    def _on_discovery_failed(self) -> None:
        if self.discovery_failed_at is None:
            self.discovery_failed_at = time.monotonic()
            self.merger.set_health(DISCOVERY, SourceHealth.STALE)
        self.consumer.endpoint_list_failed()

    # Session
    def _on_state(self, state: SessionState) -> None:
        if self.read_task is not None:
            self.read_task.cancel()
            self.read_task = None
        if state in USABLE_STATES:
            self.reader.on_connected(self.session)
            self.read_task = self._start_task(self.reader.run(self.session))
        elif state in UNREACHABLE_STATES:
            self.merger.set_health(MEMBERSHIP, SourceHealth.UNREACHABLE)
        elif state is SessionState.SUSPENDED:
            self.merger.set_health(MEMBERSHIP, SourceHealth.STALE)
        self._log_notes()

    def _on_event(self, event: int, path: str) -> None:
        parent = self.settings.path
        if path == parent:
            self._on_parent_event(event)
            return
        prefix = parent.rstrip("/") + "/"
        name = path.removeprefix(prefix)
        if not path.startswith(prefix) or "/" in name or event == EventType.CHILDREN_CHANGED:
            return
        self._apply_changes(self.children.on_watch_event(event, name))
        self.reader.read_pending()

    def _on_parent_event(self, event: int) -> None:
        if event == EventType.DELETED:
            log.warning("path_deleted path=%s (the known endpoints stay in use)", self.settings.path)
        if event in (EventType.CHILDREN_CHANGED, EventType.CREATED):
            self.reader.read_names()

    # Changes of endpoints
    def _on_read_complete(self) -> None:
        self.merger.set_health(MEMBERSHIP, SourceHealth.UP_TO_DATE)
        self._schedule_flush()

    def _apply_changes(self, changes: ChildChanges) -> None:
        for name, problem in changes.hidden:
            log.warning("node_hidden name=%.80r reason=%s", name, problem)
        if changes.present:
            endpoints = []
            for node in changes.present:
                # The endpoint registered again before its loss was reported.
                self.pending_losses.pop(node.name, None)
                endpoints.append(to_endpoint(node, WALL_CLOCK_OFFSET_S))
            self.merger.update(MEMBERSHIP, endpoints, time.monotonic())
            self._schedule_flush()
        if changes.lost:
            if not self.pending_losses:
                self.losses_due_at = time.monotonic() + LOSS_BATCH_S
            self.pending_losses.update(dict.fromkeys(changes.lost))
            self._schedule_flush(LOSS_BATCH_S)
        if changes.present or changes.lost:
            self.is_snapshot_due = True

    def _schedule_flush(self, delay: float = 0.0) -> None:
        if self.flush_timer is None:
            self.flush_timer = self.loop.call_later(delay, self._flush)

    def _flush(self) -> None:
        self.flush_timer = None
        now = time.monotonic()
        if self.pending_losses and now < self.losses_due_at:
            self._schedule_flush(self.losses_due_at - now)
        elif self.pending_losses:
            losses = self.pending_losses
            self.pending_losses = {}
            self.merger.report_ended(MEMBERSHIP, losses, now, ReportedStatus.LOST)
        self._publish_changes(now)

    def _publish_changes(self, now: float) -> bool:
        """Publish the merged changes to the dispatcher; return whether there were any."""
        before = self.merger.serving_count
        endpoint_list = self.merger.collect_changes(now)
        if endpoint_list is not None:
            self.consumer.apply_endpoint_list(endpoint_list)
        if self.merger.serving_count < before:
            log.info("endpoints_in_use_decreased count=%d before=%d", self.merger.serving_count, before)
        self._log_notes()
        return endpoint_list is not None

    def _log_notes(self) -> None:
        for note in self.merger.take_notes():
            log.info("%s", note)

    async def _run_periodic_checks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            failed_at = self.discovery_failed_at
            if failed_at is not None and now >= failed_at + DISCOVERY_TIMEOUT_S:
                self.merger.set_health(DISCOVERY, SourceHealth.UNREACHABLE)
            self._publish_changes(now)
            if self.is_snapshot_due and now >= self.snapshot_written_at + SNAPSHOT_INTERVAL_S:
                await self._write_due_snapshot(now)

    # Snapshot
    async def _write_due_snapshot(self, now: float) -> None:
        if not self.settings.snapshot:
            return
        self.snapshot_written_at = now
        self.is_snapshot_due = False
        # A write may block on the disk, so it runs in a thread and does not delay requests.
        path = Path(self.settings.snapshot)
        await self.loop.run_in_executor(None, _write_snapshot, path, self._snapshot_nodes())

    def _snapshot_nodes(self) -> list[EndpointNode]:
        """Return the nodes that this source keeps in use, sorted by name.

        Endpoints with a withheld loss are included, because otherwise the next start would treat them as
        lost.
        """
        nodes = {node.name: node for node in self.children.nodes()}
        for name, report in self.merger.sources[MEMBERSHIP].reports.items():
            if report.is_loss_withheld and name not in nodes:
                nodes[name] = to_node(report.endpoint)
        return [nodes[name] for name in sorted(nodes)]

    def _preload(self, path: Path, now: float) -> None:
        try:
            nodes = snapshot.read(path)
        except FileNotFoundError:
            log.info("snapshot_missing file=%s", path)
            return
        except (OSError, InvalidSnapshotError) as error:
            log.error("snapshot_rejected file=%s error=%s", path, error)
            return
        log.info("snapshot_loaded file=%s nodes=%d", path, len(nodes))
        self.children.preload(nodes)
        self.merger.update(MEMBERSHIP, [to_endpoint(node, WALL_CLOCK_OFFSET_S) for node in nodes], now)


def _write_snapshot(path: Path, nodes: list[EndpointNode]) -> None:
    try:
        snapshot.write(path, nodes)
    except OSError as error:
        log.error("snapshot_write_failed file=%s error=%s", path, error)


def to_node(endpoint: Endpoint) -> EndpointNode:
    """Return a list's endpoint converted back to a node, for the snapshot."""
    started_at = endpoint.entry.started_at
    started_after = endpoint.started_after
    host, port = endpoint.address
    return EndpointNode(
        name=endpoint.name,
        address=f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        zone=endpoint.entry.zone,
        type=endpoint.entry.endpoint_type,
        group=endpoint.entry.cell,
        weight=endpoint.entry.weight,
        since_ms=_to_unix_ms(started_at),
        since_after_ms=None if started_after is None else _to_unix_ms(started_after),
    )


def _to_unix_ms(monotonic_time: float) -> int:
    """Return a monotonic time (s) in ms of Unix time; 0 stays 0: unknown."""
    return round((monotonic_time + WALL_CLOCK_OFFSET_S) * MS_PER_S) if monotonic_time > 0 else 0
