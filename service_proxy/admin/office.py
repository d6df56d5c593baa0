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

from service_proxy.admin import steering
from service_proxy.admin.console import MOST_CONSOLE, Console, Word
from service_proxy.admin.figures import Figures
from service_proxy.admin.generations import Generations
from service_proxy.admin.maintenance import Maintenance, Unknown
from service_proxy.admin.retune import SETTLING, meanwhile, read_file
from service_proxy.admin.store import Store
from service_proxy.net.config import UNREADABLE, Config, config_error, read_config, read_text
from service_proxy.net.discovery import WALL_OFFSET
from service_proxy.net.driver import Driver
from service_proxy.net.listing import Address, Listing
from service_proxy.net.server import Server

log = logging.getLogger(__name__)

SHARE_OF_TWO = 0.5  # of the limits, while a second process runs
MOST_WAIT = 3.0  # s for which a second process waits for its list before it listens
QUEUED = 0.25  # s for which connections that were dealt to a listener before may still come up
LOOK = 0.1  # s between looks at the record: a call at another process of this proxy holds here too
YES = Word(200, "ok\n")
NO_SUCH = Word(404, "no such backend\n")
NOT_READY = Word(503, "not ready\n")
NOT_KEPT = Word(503, "the record could not be written\n")


def own_path(config: Config, what: str) -> Path:
    """Of this proxy alone, where several share a $TMPDIR."""
    mark = hashlib.blake2b(f"{config.name} {config.listen}".encode(), digest_size=8).hexdigest()
    return Path(tempfile.gettempdir()) / f"granitepoint-{mark}.{what}"


class Operations:
    """Of one proxy: its overlay on lists, its tally, and the console's office."""

    descriptors = MOST_CONSOLE + 1  # of the console

    def __init__(self, config: Config) -> None:
        """Raises OSError where $TMPDIR can't be written."""
        self.config = config
        self.running = config.raw
        self.maintenance = Maintenance(WALL_OFFSET, config.settings.slow_start_window)
        self.figures = Figures()
        for cls in config.settings.classes:
            self.figures.known(cls.name)
        self.store = Store(own_path(config, "maintenance"))
        self.generations = Generations(own_path(config, "process"))
        self.beside = False  # another process of this proxy runs
        self.console = Console(self)
        self.driver: Driver | None = None
        self.server: Server | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.retuning: asyncio.TimerHandle | None = None
        self._news()

    async def start(self, driver: Driver, server: Server) -> None:
        """Raises OSError where the console can't listen."""
        self.driver = driver
        self.server = server
        assert self.config.console is not None
        await self.console.listen(self.config.console)
        self._look()
        if self.beside:
            # What is dealt to this process is served from its first moment, or the one before had better.
            due = time.monotonic() + MOST_WAIT
            while not driver.upstreams.ready and time.monotonic() < due:
                await asyncio.sleep(LOOK)

    @property
    def followed(self) -> bool:
        """Whether the process that is to take this one's place runs."""
        return self.generations.successor()

    async def hand_over(self) -> None:
        """The listener's end, where another process listens at its address: nothing that was dealt to this
        one is left unread, and callers come back to the other."""
        assert self.server is not None
        self.server.draining = True
        steering.to_the_second(self.server.fileno)
        await asyncio.sleep(QUEUED)
        self.server.stop_listening()

    def stop(self) -> None:
        self.generations.leave()
        self.console.stop()
        for timer in (self.looking, self.retuning):
            if timer is not None:
                timer.cancel()

    # lists
    def _look(self) -> None:
        self.looking = asyncio.get_running_loop().call_later(LOOK, self._look)
        self._news()
        beside = self.generations.predecessor() or self.generations.successor()
        if beside != self.beside:
            self.beside = beside
            self._share(SHARE_OF_TWO if beside else 1.0)

    def _share(self, share: float) -> None:
        """The limits hold for both processes together."""
        assert self.driver is not None
        assert self.server is not None
        log.info("%s", "another process of this proxy runs beside" if self.beside else "it runs alone")
        self.server.set_bounds(share)
        self.driver.set_bounds(share)
        if not self.beside and self.server.listener is not None:
            steering.by_hash(self.server.fileno)  # the program of the process before outlives it

    def _news(self) -> None:
        """What another process of this proxy was told."""
        try:
            text = self.store.news()
            if text is not None:
                self._changed(self.maintenance.taken(text))
        except (OSError, ValueError) as fault:
            log.error("the record of maintenance can't be used: %s", fault)

    def _changed(self, listing: Listing) -> None:
        if self.driver is not None and listing.backends:
            self.driver.in_force(listing)

    # console.Office
    def health(self) -> Word:
        server = self.server
        driver = self.driver
        if server is None or driver is None or server.listener is None or server.draining:
            return NOT_READY
        return YES if driver.upstreams.ready else NOT_READY

    def stats(self) -> Word:
        server = self.server
        driver = self.driver
        assert server is not None
        assert driver is not None
        gauges = {
            "inflight": server.inflight,
            "hosts_listed": len(self.maintenance.listed),
            "hosts_down": self.maintenance.down(set(driver.balancer.avoided)),
        }
        return Word(200, self.figures.lines(gauges, {"backend_calls": driver.upstreams.written}))

    def take_out(self, name: str) -> Word:
        return self._by_hand(name, False)

    def put_back(self, name: str) -> Word:
        return self._by_hand(name, True)

    def _by_hand(self, name: str, back: bool) -> Word:
        """The record is written before the yes, so that the word holds whatever becomes of this process."""
        self._news()  # or what another process wrote a moment ago would be undone
        now = time.time()
        maintenance = self.maintenance
        try:
            changed = maintenance.put_back(name, now) if back else maintenance.take_out(name, now)
        except Unknown:
            return NO_SUCH
        self._changed(changed)
        try:
            self.store.write(maintenance.written(now))
        except OSError as fault:
            log.error("the record of maintenance could not be written: %s", fault)
            return NOT_KEPT
        return YES

    # SIGHUP
    def reread(self, environ: Mapping[str, str]) -> Address:
        """Takes the new settings; where discovery is by the file. Raises ConfigError, and then nothing has
        changed."""
        assert self.driver is not None
        try:
            raw = read_file(read_text(environ), self.running)
            new = read_config(raw, {})
        except UNREADABLE as fault:
            self.figures.reconfig_failed += 1
            raise config_error(fault) from None
        self.figures.reconfig_ok += 1
        self.running = raw
        if self.retuning is not None:
            self.retuning.cancel()
        if new.settings != self.driver.settings or new.forms != self.config.forms:
            for cls in new.settings.classes:
                self.figures.known(cls.name)
            self.driver.retune(meanwhile(self.driver.settings, new.settings), new.forms)
            loop = asyncio.get_running_loop()
            self.retuning = loop.call_later(SETTLING, self.driver.retune, new.settings, new.forms)
        return new.discovery
