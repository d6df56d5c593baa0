"""Puts a proxy together: driver, listener and what the operator's file turns on; and takes it apart again.

The one place that knows every part; `python -m service_proxy` makes one, a sidecar one for each tier that it
calls. A part that is off is not imported.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from service_proxy.net.config import Config
from service_proxy.net.driver import Driver
from service_proxy.net.limits import MOST_LENGTH
from service_proxy.net.listing import Address, Listing
from service_proxy.net.server import Server

if TYPE_CHECKING:
    from service_proxy.admin.service import AdminService
    from service_proxy.deadlines.calls import Budgets
    from service_proxy.ephemeral_nodes.register import Registrar
    from service_proxy.fleet.transport import Fleet
    from service_proxy.net.filters import Filter
    from service_proxy.net.sources import Subsystem
    from service_proxy.operator_file import Budgets as BudgetSettings
    from service_proxy.operator_file import Fleet as FleetSettings
    from service_proxy.operator_file import Membership, Operator, Registration, WebSocket
    from service_proxy.operator_file import Recovery as RecoverySettings
    from service_proxy.policy.events import RequestClass
    from service_proxy.recovery.service import Recovery
    from service_proxy.websocket.front import Front

log = logging.getLogger("service_proxy")

DRAIN_POLL_INTERVAL_S = 0.01  # s between looks whether all is answered
LAST_BYTES_GRACE_S = (
    0.3  # s for the last answers to be taken; with __main__.KILL_MARGIN_S it stays ahead of the SIGKILL
)
MAX_LOG_RECORDS = 20  # of one kind
LOG_WINDOW_S = 10.0  # s for which no more are written


class LogRateLimit(logging.Filter):
    """A flood of bad input must not become a flood of lines."""

    def __init__(self) -> None:
        super().__init__()
        self.until = 0.0
        self.lines: Counter[object] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now >= self.until:
            self.until = now + LOG_WINDOW_S
            self.lines.clear()
        self.lines[record.msg] += 1  # the template, not the text
        return self.lines[record.msg] <= MAX_LOG_RECORDS


class Proxy:
    """One tier's proxy in this process: it takes calls at its listener and balances them over the tier."""

    def __init__(
        self,
        config: Config,
        membership: Membership | None,
        budgets: Budgets | None = None,
        called: str = "",
        websocket: WebSocket | None = None,
        fleet: FleetSettings | None = None,
        fleet_keys: Sequence[bytes] = (),
        recovery: RecoverySettings | None = None,
    ) -> None:
        """`called`: the tier's name, where budgets are on and it is known. Raises ConfigError where the
        list that it is to begin with can't be used, or where the fleet can't be met as the settings are."""
        self.config = config
        whole = config
        if websocket is not None:
            from service_proxy.websocket.front import Front, sized

            config = sized(config, websocket)
        self.admin = create_admin_service(config)
        self.recovery = create_recovery(recovery, config) if recovery is not None else None
        overlays = []
        if self.recovery is not None:
            overlays.append(self.recovery.override_list)
        if self.admin is not None:
            overlays.append(self.admin.maintenance.apply)
            if self.recovery is not None:
                self.admin.maintenance.restore(self.recovery.in_maintenance)
                # From here on staff put an endpoint back into service by the admin service.
                self.recovery.endpoint_override.in_maintenance = frozenset()
        self.driver = Driver(
            config, outer_filters(budgets, called, config, self.recovery), chain_overlays(overlays)
        )
        self.subsystems: list[Subsystem] = []
        if membership is not None:
            from service_proxy.ephemeral_nodes.source import Membership as Source

            # Its lines are few, and say which source decided: docs/operators/ephemeral.md.
            logging.getLogger("service_proxy.ephemeral_nodes").setLevel(logging.INFO)
            self.subsystems.append(Source(membership, self.driver, config))
        if budgets is not None:
            self.subsystems.append(budgets)
        self.server = Server(
            self.driver.effects,
            self.driver,
            config.sockets,
            config.memory_mb,
            self.driver.pages(),
            takes=self.driver.takes,
            tally=self.admin.metrics if self.admin is not None else None,
            reserved=self.admin.file_descriptors if self.admin is not None else 0,
            most_body=MOST_LENGTH,
        )
        self.fleet = create_fleet(fleet, config, self.driver, fleet_keys) if fleet is not None else None
        if self.fleet is not None:
            self.subsystems.append(self.fleet)
        if self.recovery is not None:
            self._attach(self.recovery)
        self.websocket: Front | None = None
        if websocket is not None:
            self.websocket = Front(websocket, whole, self.driver, self.server)
            self.subsystems.append(self.websocket)

    def _attach(self, recovery: Recovery) -> None:
        operations = self.admin
        driver = self.driver
        after = operations.maintenance.apply if operations is not None else lambda listing: listing
        fleet = self.fleet  # view, channel and word
        recovery.attach(driver, lambda listing: driver.in_force(after(listing)), fleet, fleet, fleet)
        if operations is not None:
            recovery.current_maintenance = lambda: operations.maintenance.in_maintenance
        driver.witness = recovery.on_attempt_end
        driver.advise = recovery.retry_after
        self.subsystems.append(recovery)

    async def start(self) -> None:
        """Raises OSError where it can't listen."""
        self.driver.start()
        for subsystem in self.subsystems:
            subsystem.start()
        if self.admin is not None:
            await self.admin.start(self.driver, self.server)
        await self.server.listen(*self.config.listen, beside=self.admin is not None)

    def move_discovery(self, discovery: Address) -> None:
        log.info("reload: discovery is at %s:%d", *discovery)
        self.driver.discovery.move(discovery)

    def reload_subsystems(self, operator_file: str) -> None:
        """What may change of the operator's file. A part whose table can't be used stays as it was."""
        for subsystem in self.subsystems:
            try:
                subsystem.reread(operator_file)
            except ValueError as fault:  # an OperatorError, too
                log.error("reload: %s; this part stays as it was", " | ".join(str(fault).splitlines()))

    def end_all_by(self, end_by: float) -> None:
        """All that is open is to be over by then; sessions begin to end now."""
        self.driver.end_all_by(end_by)
        if self.websocket is not None:
            self.websocket.drain(end_by)
        if self.fleet is not None:
            self.fleet.drain()

    async def wait_until_drained(self) -> None:
        """Each answer from now on is the last on its connection; returns when nothing is owed any more."""
        front = self.websocket
        await drain_server(
            self.server,
            lambda: bool(self.driver.calls) or self.server.inflight > 0 or (front is not None and front.owes),
            self.driver.end_by,
        )

    def stop(self) -> None:
        if self.admin is not None:
            self.admin.stop()
        for subsystem in self.subsystems:
            subsystem.stop()
        self.driver.stop()


def create_admin_service(config: Config) -> AdminService | None:
    """Where the platform names a second address."""
    if config.console is None:
        return None
    from service_proxy.admin.service import AdminService

    return AdminService(config)


def create_deadline_propagation(settings: BudgetSettings, mark: str) -> Budgets:
    """One for all listeners of a process. Raises OperatorError where the key file can't be used."""
    from service_proxy.deadlines.calls import Budgets

    logging.getLogger("service_proxy.deadlines").setLevel(logging.INFO)
    return Budgets(settings, mark)


def create_fleet(
    settings: FleetSettings, config: Config, driver: Driver, keys: Sequence[bytes]
) -> Fleet | None:
    """None where the platform's settings allow no talk between proxies: there nothing of it is imported."""
    if not (config.settings.can_message_peers or settings.own_network):
        log.error(
            "[fleet] is off: the platform's settings (policy_limits.peers) allow no talk between proxies; "
            "on an installation of its own write own_network = true"
        )
        return None
    from service_proxy.clock import Clock
    from service_proxy.fleet.transport import Fleet

    # Each change is a line of its own, and their number has a bound of its own.
    logging.getLogger("service_proxy.fleet").setLevel(logging.INFO)
    return Fleet(settings, config, driver, Clock(), keys)


def create_recovery(settings: RecoverySettings, config: Config) -> Recovery:
    from service_proxy.clock import Clock
    from service_proxy.recovery.service import Recovery

    # A line for each phase, and for what is wrong with the store.
    logging.getLogger("service_proxy.recovery").setLevel(logging.INFO)
    return Recovery(settings, config, Clock())


def chain_overlays(overlays: Sequence[Callable[[Listing], Listing]]) -> Callable[[Listing], Listing] | None:
    """What acts on lists, in this order: what is known of a loss, then the staff's word."""
    if len(overlays) < 2:
        return overlays[0] if overlays else None

    def overlay(listing: Listing) -> Listing:
        for each in overlays:
            listing = each(listing)
        return listing

    return overlay


def read_fleet_keys(operator: Operator) -> list[bytes]:
    """The fleet's datagrams are sealed where there is a key file, the budgets'. Raises OperatorError."""
    if operator.fleet is None or operator.budgets is None:
        return []
    from service_proxy.deadlines.keys import read_keys

    return list(read_keys(operator.budgets.keys_file).values())


def outer_filters(
    budgets: Budgets | None, called: str, config: Config, recovery: Recovery | None = None
) -> tuple[Filter, ...]:
    """What acts on a call before the module, in this order."""
    first: tuple[Filter, ...] = () if recovery is None else (recovery.filter,)
    if budgets is None:
        return first
    from service_proxy.deadlines.calls import OuterFilter

    classes = {cls.name: cls for cls in config.settings.classes}
    return (
        *first,
        OuterFilter(budgets, called, classes, config.settings.max_attempts),
    )


def inner_filters(budgets: Budgets | None, classes: dict[str, RequestClass]) -> tuple[Filter, ...]:
    """The same before an application."""
    if budgets is None:
        return ()
    from service_proxy.deadlines.calls import InnerFilter

    return (InnerFilter(budgets, classes),)


async def drain_server(server: Server, owes: Callable[[], bool], ends: float = 0.0) -> None:
    """Answer what a listener owes, and give the last bytes time to leave.

    `ends`: the moment (monotonic, s) by which all that is decided here has been answered. A response that
    still comes on LAST_BYTES_GRACE_S later is broken off, and its client can tell; 0: there is no such time.
    """
    server.draining = True
    server.close_idle()
    last = ends + LAST_BYTES_GRACE_S if ends else math.inf
    while owes() and time.monotonic() < last:
        server.close_idle(partial=True)
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    # The last bytes may still be on their way to a slow peer, or a request to us.
    last = min(last, max(ends, time.monotonic()) + LAST_BYTES_GRACE_S)
    while server.connections and time.monotonic() < last:
        server.close_idle(partial=True)
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    server.abort_leaving()


def create_registrar(membership: Membership, registration: Registration, since_ms: int) -> Registrar:
    """Keeps this machine's server registered; not started yet."""
    from service_proxy.ephemeral_nodes.register import registrar_of

    return registrar_of(membership, registration, since_ms)


def freeze_long_lived_objects() -> None:
    """What is alive now stays alive: it need not be looked at again and again in pauses that calls wait
    for."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
