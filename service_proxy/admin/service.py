"""Puts daily operation round a proxy: what the console's calls and SIGHUP do, and the record on $TMPDIR.

It decides nothing of its own: maintenance.py and retune.py do.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path

from service_proxy.admin import reuse_port
from service_proxy.admin.maintenance import MaintenanceOverlay, UnknownEndpointError
from service_proxy.admin.metrics import Metrics
from service_proxy.admin.process_generations import ProcessGenerations
from service_proxy.admin.server import MAX_CONNECTIONS, AdminResponse, AdminServer
from service_proxy.admin.settings_update import TRANSITION_S, parse_update, transitional_settings
from service_proxy.admin.shared_record import SharedRecord
from service_proxy.net.config import UNREADABLE, Config, config_error, read_config, read_text
from service_proxy.net.discovery import WALL_OFFSET
from service_proxy.net.driver import Driver
from service_proxy.net.listing import Address, Listing
from service_proxy.net.server import Server

log = logging.getLogger(__name__)

LIMIT_SHARE_OF_TWO = 0.5  # of the limits, while a second process runs
READY_TIMEOUT_S = 3.0  # s for which a second process waits for its list before it listens
ACCEPT_QUEUE_DRAIN_S = 0.25  # s for which connections that were dealt to a listener before may still come up
POLL_INTERVAL_S = 0.1  # s between looks at the record: a call at another process of this proxy holds here too
OK = AdminResponse(200, "ok\n")
UNKNOWN_ENDPOINT = AdminResponse(404, "no such backend\n")
NOT_READY = AdminResponse(503, "not ready\n")
RECORD_NOT_WRITTEN = AdminResponse(503, "the record could not be written\n")


def shared_file_path(config: Config, what: str) -> Path:
    """Of this proxy alone, where several share a $TMPDIR."""
    mark = hashlib.blake2b(f"{config.name} {config.listen}".encode(), digest_size=8).hexdigest()
    return Path(tempfile.gettempdir()) / f"granitepoint-{mark}.{what}"


class AdminService:
    """Of one proxy: its overlay on lists, its tally, and the console's office."""

    file_descriptors = MAX_CONNECTIONS + 1  # of the console

    def __init__(self, config: Config) -> None:
        """Raises OSError where $TMPDIR can't be written."""
        self.config = config
        self.running_settings = config.raw
        self.maintenance = MaintenanceOverlay(WALL_OFFSET, config.settings.slow_start_window)
        self.metrics = Metrics()
        for cls in config.settings.classes:
            self.metrics.add_request_class(cls.name)
        self.maintenance_record = SharedRecord(shared_file_path(config, "maintenance"))
        self.generations = ProcessGenerations(shared_file_path(config, "process"))
        self.shares_host = False  # another process of this proxy runs
        self.server = AdminServer(self)
        self.dispatcher: Driver | None = None
        self.downstream: Server | None = None
        self.poll_timer: asyncio.TimerHandle | None = None
        self.settings_timer: asyncio.TimerHandle | None = None
        self._news()

    async def start(self, driver: Driver, server: Server) -> None:
        """Raises OSError where the console can't listen."""
        self.dispatcher = driver
        self.downstream = server
        assert self.config.console is not None
        await self.server.listen(self.config.console)
        self._look()
        if self.shares_host:
            # What is dealt to this process is served from its first moment, or the one before had better.
            due = time.monotonic() + READY_TIMEOUT_S
            while not driver.upstreams.ready and time.monotonic() < due:
                await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def has_successor(self) -> bool:
        """Whether the process that is to take this one's place runs."""
        return self.generations.has_successor()

    async def hand_over(self) -> None:
        """The listener's end, where another process listens at its address: nothing that was dealt to this
        one is left unread, and callers come back to the other."""
        assert self.downstream is not None
        self.downstream.draining = True
        reuse_port.prefer_second_listener(self.downstream.fileno)
        await asyncio.sleep(ACCEPT_QUEUE_DRAIN_S)
        self.downstream.stop_listening()

    def stop(self) -> None:
        self.generations.release()
        self.server.stop()
        for timer in (self.poll_timer, self.settings_timer):
            if timer is not None:
                timer.cancel()

    # lists
    def _look(self) -> None:
        self.poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._look)
        self._news()
        beside = self.generations.has_predecessor() or self.generations.has_successor()
        if beside != self.shares_host:
            self.shares_host = beside
            self._share(LIMIT_SHARE_OF_TWO if beside else 1.0)

    def _share(self, share: float) -> None:
        """The limits hold for both processes together."""
        assert self.dispatcher is not None
        assert self.downstream is not None
        log.info("%s", "another process of this proxy runs beside" if self.shares_host else "it runs alone")
        self.downstream.set_bounds(share)
        self.dispatcher.set_bounds(share)
        if not self.shares_host and self.downstream.listener is not None:
            reuse_port.balance_by_hash(
                self.downstream.fileno
            )  # the program of the process before outlives it

    def _news(self) -> None:
        """What another process of this proxy was told."""
        try:
            text = self.maintenance_record.read_if_changed()
            if text is not None:
                self._changed(self.maintenance.apply_record(text))
        except (OSError, ValueError) as fault:
            log.error("the record of maintenance can't be used: %s", fault)

    def _changed(self, listing: Listing) -> None:
        if self.dispatcher is not None and listing.backends:
            self.dispatcher.in_force(listing)

    # console.Office
    def health(self) -> AdminResponse:
        server = self.downstream
        driver = self.dispatcher
        if server is None or driver is None or server.listener is None or server.draining:
            return NOT_READY
        return OK if driver.upstreams.ready else NOT_READY

    def stats(self) -> AdminResponse:
        server = self.downstream
        driver = self.dispatcher
        assert server is not None
        assert driver is not None
        gauges = {
            "inflight": server.inflight,
            "hosts_listed": len(self.maintenance.endpoints),
            "hosts_down": self.maintenance.count_unavailable(set(driver.balancer.avoided)),
        }
        return AdminResponse(200, self.metrics.render(gauges, {"backend_calls": driver.upstreams.written}))

    def start_maintenance(self, name: str) -> AdminResponse:
        return self._by_hand(name, False)

    def end_maintenance(self, name: str) -> AdminResponse:
        return self._by_hand(name, True)

    def _by_hand(self, name: str, back: bool) -> AdminResponse:
        """The record is written before the yes, so that the word holds whatever becomes of this process."""
        self._news()  # or what another process wrote a moment ago would be undone
        now = time.time()
        maintenance = self.maintenance
        try:
            changed = (
                maintenance.end_maintenance(name, now) if back else maintenance.start_maintenance(name, now)
            )
        except UnknownEndpointError:
            return UNKNOWN_ENDPOINT
        self._changed(changed)
        try:
            self.maintenance_record.write(maintenance.encode_record(now))
        except OSError as fault:
            log.error("the record of maintenance could not be written: %s", fault)
            return RECORD_NOT_WRITTEN
        return OK

    # SIGHUP
    def reload(self, environ: Mapping[str, str]) -> Address:
        """Takes the new settings; where discovery is by the file. Raises ConfigError, and then nothing has
        changed."""
        assert self.dispatcher is not None
        try:
            raw = parse_update(read_text(environ), self.running_settings)
            new = read_config(raw, {})
        except UNREADABLE as fault:
            self.metrics.reloads_failed += 1
            raise config_error(fault) from None
        self.metrics.reloads_succeeded += 1
        self.running_settings = raw
        if self.settings_timer is not None:
            self.settings_timer.cancel()
        if new.settings != self.dispatcher.settings or new.forms != self.config.forms:
            for cls in new.settings.classes:
                self.metrics.add_request_class(cls.name)
            self.dispatcher.retune(transitional_settings(self.dispatcher.settings, new.settings), new.forms)
            loop = asyncio.get_running_loop()
            self.settings_timer = loop.call_later(
                TRANSITION_S, self.dispatcher.retune, new.settings, new.forms
            )
        return new.discovery
