"""Admin service of one proxy, which handles the admin server's requests, SIGHUP and hot restarts.

The service connects the parts of this package to the proxy's dispatcher and listener. It makes no decisions;
`maintenance.py` and `settings_update.py` do.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from pathlib import Path

from service_proxy.admin import reuse_port
from service_proxy.admin.errors import AdminError
from service_proxy.admin.maintenance import MaintenanceOverlay
from service_proxy.admin.metrics import Metrics
from service_proxy.admin.process_generations import ProcessGenerations
from service_proxy.admin.routes import UNKNOWN_ENDPOINT, AdminReply, AdminResponse
from service_proxy.admin.server import MAX_CONNECTIONS, AdminServer
from service_proxy.admin.settings_update import TRANSITION_S, parse_update, transitional_settings
from service_proxy.admin.shared_executions import SharedExecutionRecord
from service_proxy.admin.shared_record import SharedRecord
from service_proxy.net.config import (
    CONFIG_READ_ERRORS,
    ProxyConfig,
    config_error,
    parse_config,
    read_config_text,
)
from service_proxy.net.discovery import WALL_CLOCK_OFFSET_S
from service_proxy.net.dispatcher import RequestDispatcher
from service_proxy.net.downstream import HttpServer
from service_proxy.net.endpoint_list import Address, EndpointList

log = logging.getLogger(__name__)

# share of the limits that this process uses while a second process of this proxy runs
LIMIT_SHARE_OF_TWO = 0.5
READY_TIMEOUT_S = 3.0  # longest wait of a second process for its endpoint list before it listens
# time in which connections that are already queued at a closing listener are still accepted
ACCEPT_QUEUE_DRAIN_S = 0.25
# Interval at which the maintenance record is read and other processes are looked up, so that maintenance
# requested from another process of this proxy takes effect here too.
POLL_INTERVAL_S = 0.1
PATH_DIGEST_BYTES = 8
OK = AdminResponse(HTTPStatus.OK, "ok\n")
NOT_READY = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
# The maintenance is in effect, but a crash of the machine may end it.
NOT_STORED = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "the store could not be written, ask again\n")
RECORD_NOT_WRITTEN = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "the record could not be written\n")


def shared_file_path(config: ProxyConfig, suffix: str) -> Path:
    """Return the path of a file in $TMPDIR that only the processes of this proxy share.

    The file name contains the package's former name, because during a hot restart from an earlier version the
    old and the new process find each other and the maintenance record by this file name.
    """
    identity = f"{config.name} {config.listen}".encode()
    digest = hashlib.blake2b(identity, digest_size=PATH_DIGEST_BYTES).hexdigest()
    return Path(tempfile.gettempdir()) / f"granitepoint-{digest}.{suffix}"


class AdminService:
    """Daily operation of one proxy, and the `routes.AdminHandler` of its admin server.

    The service owns the admin server, the maintenance overlay with its shared record, the metrics, and this
    process's generation. Raises OSError if $TMPDIR can't be written.

    Attributes:
        store_maintenance: stores which endpoints are in maintenance, and returns whether the store has done
            so within a bounded time; None: there is no store.
    """

    file_descriptors = MAX_CONNECTIONS + 1  # descriptors of the admin server

    def __init__(self, config: ProxyConfig) -> None:
        self.config = config
        self.running_settings = config.raw
        self.maintenance = MaintenanceOverlay(WALL_CLOCK_OFFSET_S, config.settings.slow_start_window)
        self.metrics = Metrics()
        for cls in config.settings.classes:
            self.metrics.add_request_class(cls.name)
        self.maintenance_record = SharedRecord(shared_file_path(config, "maintenance"))
        self.generations = ProcessGenerations(shared_file_path(config, "process"))
        self.executions = SharedExecutionRecord(
            shared_file_path(config, "executions"), self.generations.number
        )
        self.store_maintenance: Callable[[], Awaitable[bool]] | None = None
        self.other_process_runs = False  # whether another process of this proxy runs
        self.server = AdminServer(self)
        self.dispatcher: RequestDispatcher | None = None
        self.downstream: HttpServer | None = None
        self.poll_timer: asyncio.TimerHandle | None = None
        self.settings_timer: asyncio.TimerHandle | None = None
        self._read_maintenance_record()

    async def start(self, dispatcher: RequestDispatcher, downstream: HttpServer) -> None:
        """Start the admin server; if another process runs, wait until this process can serve requests.

        Raises:
            OSError: the admin server can't listen.
        """
        self.dispatcher = dispatcher
        self.downstream = downstream
        assert self.config.admin_address is not None
        await self.server.listen(self.config.admin_address)
        self._poll()
        if self.other_process_runs:
            # This process must serve its connections from the first one on; until then, connections should
            # go to the previous process.
            deadline = time.monotonic() + READY_TIMEOUT_S
            while not dispatcher.cluster.is_ready and time.monotonic() < deadline:
                await asyncio.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Release this process's generation, and close the admin server."""
        self.generations.release()
        self.executions.release()
        self.server.stop()
        for timer in (self.poll_timer, self.settings_timer):
            if timer is not None:
                timer.cancel()

    # Hot restart
    @property
    def has_successor(self) -> bool:
        """Whether the process that is to replace this one runs."""
        return self.generations.has_successor()

    async def hand_over_listener(self) -> None:
        """Close the listener while another process listens at the same address.

        Connections that are queued at this listener are still accepted, and clients reconnect to the other
        process.
        """
        assert self.downstream is not None
        self.downstream.is_draining = True
        reuse_port.prefer_second_listener(self.downstream.fileno)
        await asyncio.sleep(ACCEPT_QUEUE_DRAIN_S)
        self.downstream.stop_listening()

    def _poll(self) -> None:
        self.poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        self.executions.open_tables_of_others()
        self._read_maintenance_record()
        other_process_runs = self.generations.has_predecessor() or self.generations.has_successor()
        if other_process_runs != self.other_process_runs:
            self.other_process_runs = other_process_runs
            self._set_limits(LIMIT_SHARE_OF_TWO if other_process_runs else 1.0)

    def _set_limits(self, share: float) -> None:
        """Apply this share of the limits, because the limits cover both processes together."""
        assert self.dispatcher is not None
        assert self.downstream is not None
        log.info("limit_share_changed share=%.2f other_process_runs=%s", share, self.other_process_runs)
        self.downstream.set_resource_share(share)
        self.dispatcher.set_resource_share(share)
        if not self.other_process_runs and self.downstream.listener is not None:
            # The program that the previous process attached outlives that process.
            reuse_port.balance_by_hash(self.downstream.fileno)

    # routes.AdminHandler
    def health(self) -> AdminResponse:
        """Return OK while this process listens, does not drain, and has endpoints to send requests to."""
        downstream = self.downstream
        dispatcher = self.dispatcher
        if downstream is None or dispatcher is None or downstream.listener is None or downstream.is_draining:
            return NOT_READY
        return OK if dispatcher.cluster.is_ready else NOT_READY

    def stats(self) -> AdminResponse:
        """Return the metrics of this process."""
        downstream = self.downstream
        dispatcher = self.dispatcher
        assert downstream is not None
        assert dispatcher is not None
        gauges = {
            "inflight": downstream.requests_in_flight,
            "hosts_listed": len(self.maintenance.endpoints),
            "hosts_down": self.maintenance.count_unavailable(set(dispatcher.balancer.ejected_endpoint_ids)),
        }
        counters = {"backend_calls": dispatcher.cluster.attempts_sent}
        return AdminResponse(HTTPStatus.OK, self.metrics.render(gauges, counters))

    def start_maintenance(self, name: str) -> AdminReply:
        """Drain an endpoint, in this process and in the processes that share the record."""
        return self._change_maintenance(name, ends=False)

    def end_maintenance(self, name: str) -> AdminReply:
        """Reinstate an endpoint, in this process and in the processes that share the record."""
        return self._change_maintenance(name, ends=True)

    def _change_maintenance(self, name: str, ends: bool) -> AdminReply:
        """Change maintenance; what is written before the response makes the change outlive this process."""
        # Without this read, a change that another process wrote a moment ago would be undone.
        self._read_maintenance_record()
        now = time.time()
        change = self.maintenance.end_maintenance if ends else self.maintenance.start_maintenance
        try:
            listing = change(name, now)
        except AdminError:
            return UNKNOWN_ENDPOINT
        self._apply_listing(listing)
        try:
            self.maintenance_record.write(self.maintenance.encode_record(now))
        except OSError as error:
            log.error("maintenance_record_write_failed endpoint=%s error=%s", name, error)
            return RECORD_NOT_WRITTEN
        return OK if self.store_maintenance is None else self._confirm_stored(name, self.store_maintenance)

    @staticmethod
    async def _confirm_stored(name: str, store_maintenance: Callable[[], Awaitable[bool]]) -> AdminResponse:
        """Return OK once the maintenance is stored, or an error if the store can't be written."""
        if await store_maintenance():
            return OK
        log.error("maintenance_not_stored endpoint=%s", name)
        return NOT_STORED

    def _read_maintenance_record(self) -> None:
        """Apply the maintenance that was requested from another process of this proxy."""
        try:
            text = self.maintenance_record.read_if_changed()
            if text is not None:
                self._apply_listing(self.maintenance.apply_record(text))
        except (OSError, ValueError) as error:
            log.error("maintenance_record_rejected error=%s", error)

    def _apply_listing(self, listing: EndpointList) -> None:
        if self.dispatcher is not None and listing.endpoints:
            self.dispatcher.apply_overridden_list(listing)

    # SIGHUP
    def reload(self, environ: Mapping[str, str]) -> Address:
        """Apply the new settings, and return the discovery address that the file names.

        New request classes take effect at once, all other settings TRANSITION_S later.

        Raises:
            ConfigError: the file can't be used; nothing has changed.
        """
        assert self.dispatcher is not None
        try:
            raw = parse_update(read_config_text(environ), self.running_settings)
            new = parse_config(raw, {})
        except CONFIG_READ_ERRORS as error:
            self.metrics.reloads_failed += 1
            raise config_error(error) from None
        self.metrics.reloads_succeeded += 1
        self.running_settings = raw
        if self.settings_timer is not None:
            self.settings_timer.cancel()
        if (
            new.settings != self.dispatcher.settings
            or new.request_idempotency != self.config.request_idempotency
        ):
            self._update_settings(self.dispatcher, new)
        return new.discovery

    def _update_settings(self, dispatcher: RequestDispatcher, new: ProxyConfig) -> None:
        for cls in new.settings.classes:
            self.metrics.add_request_class(cls.name)
        dispatcher.update_settings(
            transitional_settings(dispatcher.settings, new.settings), new.request_idempotency
        )
        loop = asyncio.get_running_loop()
        self.settings_timer = loop.call_later(
            TRANSITION_S, dispatcher.update_settings, new.settings, new.request_idempotency
        )
