"""Composition root: creates the parts of a proxy, and starts, reloads, drains and stops the proxy.

This is the only module that depends on every part. `python -m service_proxy` creates one proxy; a sidecar
creates one proxy for each tier that its application calls. A part that is off is not imported, so each part
is imported in the function that creates it.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from service_proxy.net.config import ProxyConfig
from service_proxy.net.dispatcher import RequestDispatcher
from service_proxy.net.downstream import HttpServer
from service_proxy.net.endpoint_list import Address, EndpointList
from service_proxy.net.executed_requests import MAX_REQUESTS_PER_MB
from service_proxy.net.limits import MAX_MESSAGE_BYTES
from service_proxy.net.repeated_requests import RepeatedRequestFilter

if TYPE_CHECKING:
    from service_proxy.admin.service import AdminService
    from service_proxy.deadlines.propagation import BudgetPropagation
    from service_proxy.ephemeral_nodes.registrar import Registrar
    from service_proxy.fleet.service import FleetService
    from service_proxy.net.endpoint_sources import Subsystem
    from service_proxy.net.request_filters import RequestFilter
    from service_proxy.operator_file import Budgets as BudgetSettings
    from service_proxy.operator_file import Fleet as FleetSettings
    from service_proxy.operator_file import Membership, Registration, WebSocket
    from service_proxy.operator_file import Recovery as RecoverySettings
    from service_proxy.policy.settings_types import RequestClass
    from service_proxy.recovery.service import Recovery
    from service_proxy.websocket.listener import WebSocketListener

log = logging.getLogger("service_proxy")

DRAIN_POLL_INTERVAL_S = 0.01  # interval between checks whether all requests are answered
# Time in which clients can read the last responses. It is shorter than __main__.KILL_MARGIN_S, so the proxy
# ends before the SIGKILL even if the process stalls for the operators' 0.15 s.
LAST_BYTES_GRACE_S = 0.2
# Objects allocated before a collection of the youngest generation, then collections of each generation before
# one collection of the next. Collections are rare, because long-lived objects are frozen.
GC_THRESHOLDS = (50_000, 20, 50)

ListOverlay = Callable[[EndpointList], EndpointList]


class Proxy:
    """Proxy of one tier in this process, which accepts requests and balances them over the tier's endpoints.

    The proxy owns the dispatcher, the listener and the parts that are on:

    - `dispatcher`: the policy, the endpoint list in force, the upstream connection pools, discovery.
    - `server`: the listener and the downstream connections.
    - `admin`: the admin server, maintenance, metrics; None if the platform names no address for it.
    - `recovery`: the records that outlive the process, and the phase of a recovery.
    - `fleet`: this process's member of the fleet.
    - `websocket`: WebSocket sessions and tunnels.
    - `repeats`: the filter that recognises repeats of requests that may have been executed.
    - `subsystems`: all parts that the operator's file enables, in the order in which they start.

    Args:
        config: the platform's configuration of the process.
        membership: settings of ephemeral nodes as a source of endpoints; None: off.
        budgets: the deadline propagation that the listeners of a process share; None: off.
        tier_name: the name of the tier, if budgets are on and the name is known.
        websocket: settings of WebSocket sessions; None: off.
        fleet: settings of the fleet's membership; None: off.
        fleet_keys: keys that authenticate the fleet's datagrams.
        recovery: settings of the recovery; None: off.

    Raises:
        ConfigError: the initial endpoint list can't be used, or a part can't be created with these settings.
        OSError: the admin service can't write to $TMPDIR.
    """

    def __init__(
        self,
        config: ProxyConfig,
        membership: Membership | None,
        budgets: BudgetPropagation | None = None,
        tier_name: str = "",
        websocket: WebSocket | None = None,
        fleet: FleetSettings | None = None,
        fleet_keys: Sequence[bytes] = (),
        recovery: RecoverySettings | None = None,
    ) -> None:
        """Create all parts without starting them."""
        self.config = config
        process_config = config
        if websocket is not None:
            config = reserve_for_websocket(config, websocket)
        self.admin = create_admin_service(config)
        self.recovery = create_recovery(recovery, config) if recovery is not None else None
        self.repeats = RepeatedRequestFilter(config.settings, int(config.memory_mb * MAX_REQUESTS_PER_MB))
        if self.admin is not None:
            self.repeats.shared = self.admin.executions
        filters = (self.repeats, *outer_filters(budgets, tier_name, config, self.recovery))
        self.dispatcher = RequestDispatcher(config, filters, chain_overlays(self._list_overlays()))
        self.subsystems: list[Subsystem] = []
        if membership is not None:
            self.subsystems.append(create_endpoint_source(membership, self.dispatcher, config))
        if budgets is not None:
            self.subsystems.append(budgets)
        self.server = self._create_listener(config)
        self.fleet = create_fleet(fleet, config, self.dispatcher, fleet_keys) if fleet is not None else None
        if self.fleet is not None:
            self.subsystems.append(self.fleet)
        if self.recovery is not None:
            self._attach_recovery(self.recovery)
        self.websocket: WebSocketListener | None = None
        if websocket is not None:
            self.websocket = create_websocket_listener(
                websocket, process_config, self.dispatcher, self.server
            )
            self.subsystems.append(self.websocket)

    def _list_overlays(self) -> list[ListOverlay]:
        """Return the overlays on endpoint lists in their order: recovery from an outage, then maintenance."""
        overlays: list[ListOverlay] = []
        if self.recovery is not None:
            overlays.append(self.recovery.override_list)
        if self.admin is not None:
            overlays.append(self.admin.maintenance.apply)
        if self.recovery is not None and self.admin is not None:
            self.admin.maintenance.restore(self.recovery.in_maintenance)
            # From now on staff end an endpoint's maintenance through the admin service.
            self.recovery.endpoint_override.in_maintenance = frozenset()
        return overlays

    def _create_listener(self, config: ProxyConfig) -> HttpServer:
        admin = self.admin
        server = HttpServer(
            self.dispatcher.idempotency_by_class,
            self.dispatcher,
            config.max_descriptors,
            config.memory_mb,
            self.dispatcher.local_responses(),
            consumed_headers=self.dispatcher.consumed_headers,
            request_counter=admin.metrics if admin is not None else None,
            reserved_descriptors=admin.file_descriptors if admin is not None else 0,
            max_body_bytes=MAX_MESSAGE_BYTES,
        )
        server.may_have_run = self.repeats.may_have_run
        return server

    def _attach_recovery(self, recovery: Recovery) -> None:
        admin = self.admin
        dispatcher = self.dispatcher
        fleet = self.fleet  # source of the membership view, the datagram channel and the member's metadata

        def apply_list(listing: EndpointList) -> None:
            dispatcher.apply_overridden_list(
                admin.maintenance.apply(listing) if admin is not None else listing
            )

        recovery.attach(dispatcher, apply_list, fleet, fleet, fleet)
        if admin is not None:
            recovery.current_maintenance = lambda: admin.maintenance.in_maintenance
            admin.store_maintenance = recovery.store_maintenance
        dispatcher.on_attempt_outcome = recovery.on_attempt_end
        dispatcher.adjust_retry_after = recovery.retry_after
        self.subsystems.append(recovery)

    async def start(self) -> None:
        """Start all parts, the listener last.

        Raises:
            OSError: the proxy can't listen at an address.
        """
        self.dispatcher.start()
        for subsystem in self.subsystems:
            subsystem.start()
        if self.admin is not None:
            await self.admin.start(self.dispatcher, self.server)
        await self.server.listen(*self.config.listen, reuse_port=self.admin is not None)

    def change_discovery_address(self, discovery: Address) -> None:
        """Change the address of discovery from now on."""
        log.info("discovery_address_changed address=%s:%d", *discovery)
        self.dispatcher.discovery.change_address(discovery)

    def reload_subsystems(self, operator_file: str) -> None:
        """Apply the keys of the operator's file that can change while the proxy runs.

        A subsystem whose table can't be used keeps its settings.
        """
        for subsystem in self.subsystems:
            try:
                subsystem.reload(operator_file)
            except ValueError as error:
                log.error("subsystem_reload_rejected error=%s", " | ".join(str(error).splitlines()))

    def start_drain(self, end_by: float) -> None:
        """Start draining: all requests and sessions end by `end_by` (monotonic, s)."""
        self.dispatcher.set_shutdown_deadline(end_by)
        if self.websocket is not None:
            self.websocket.drain(end_by)
        if self.fleet is not None:
            self.fleet.drain()

    async def wait_until_drained(self) -> None:
        """Close each connection with its next response, and return when all requests are answered."""
        await drain_server(self.server, self._has_unanswered, self.dispatcher.shutdown_deadline)

    def _has_unanswered(self) -> bool:
        if self.dispatcher.open_requests or self.server.requests_in_flight > 0:
            return True
        return self.websocket is not None and self.websocket.has_pending_closes

    def stop(self) -> None:
        """Stop all parts and close their sockets."""
        if self.admin is not None:
            self.admin.stop()
        for subsystem in self.subsystems:
            subsystem.stop()
        self.dispatcher.stop()


def _log_at_info(package: str) -> None:
    """Enable a package's INFO log lines, which are few or are bounded by the package itself."""
    logging.getLogger(package).setLevel(logging.INFO)


def create_admin_service(config: ProxyConfig) -> AdminService | None:
    """Return the admin service, or None if the platform names no address for it."""
    if config.admin_address is None:
        return None
    from service_proxy.admin.service import AdminService

    return AdminService(config)


def create_endpoint_source(
    settings: Membership, dispatcher: RequestDispatcher, config: ProxyConfig
) -> Subsystem:
    """Return the source of endpoints that reads ephemeral nodes and updates the dispatcher."""
    from service_proxy.ephemeral_nodes.source import EphemeralNodeSource

    # The INFO lines report which source decided: docs/operators/ephemeral.md.
    _log_at_info("service_proxy.ephemeral_nodes")
    return EphemeralNodeSource(settings, dispatcher, config)


def create_registrar(membership: Membership, registration: Registration, since_ms: int) -> Registrar:
    """Return a registrar, not yet started, which keeps this machine's endpoint registered."""
    from service_proxy.ephemeral_nodes.registrar import create_registrar

    return create_registrar(membership, registration, since_ms)


def create_deadline_propagation(settings: BudgetSettings, hop: str) -> BudgetPropagation:
    """Return the deadline propagation of a process, shared by all its listeners.

    `hop` is the hop identifier if the settings name none. Raises OperatorError if the key file can't be used.
    """
    from service_proxy.deadlines.propagation import BudgetPropagation

    _log_at_info("service_proxy.deadlines")
    return BudgetPropagation(settings, hop)


def create_fleet(
    settings: FleetSettings, config: ProxyConfig, dispatcher: RequestDispatcher, keys: Sequence[bytes]
) -> FleetService | None:
    """Return the fleet's member, or None if the platform allows no messages between proxies.

    Without a member nothing of the fleet package is imported.
    """
    if not (config.settings.can_message_peers or settings.own_network):
        log.error(
            "fleet_disabled reason=the platform's settings (policy_limits.peers) allow no messages between "
            "proxies; without such a platform, write own_network = true in [fleet]"
        )
        return None
    from service_proxy.clock import Clock
    from service_proxy.fleet.service import FleetService

    _log_at_info("service_proxy.fleet")
    return FleetService(settings, config, dispatcher, Clock(), keys)


def create_recovery(settings: RecoverySettings, config: ProxyConfig) -> Recovery:
    """Create the recovery and read its store."""
    from service_proxy.clock import Clock
    from service_proxy.recovery.service import Recovery

    _log_at_info("service_proxy.recovery")
    return Recovery(settings, config, Clock())


def reserve_for_websocket(config: ProxyConfig, settings: WebSocket) -> ProxyConfig:
    """Return the configuration minus the descriptors and memory reserved for WebSocket sessions.

    Raises:
        ConfigError: the remaining descriptors or memory are too few.
    """
    from service_proxy.websocket.listener import reserve_resources

    return reserve_resources(config, settings)


def create_websocket_listener(
    settings: WebSocket, config: ProxyConfig, dispatcher: RequestDispatcher, server: HttpServer
) -> WebSocketListener:
    """Return the WebSocket listener, attached to the HTTP listener.

    `config` is the configuration of the whole process.

    Raises:
        ConfigError: a request class that is listed as a tunnel can't be served as a tunnel.
    """
    from service_proxy.websocket.listener import WebSocketListener

    return WebSocketListener(settings, config, dispatcher, server)


def chain_overlays(overlays: Sequence[ListOverlay]) -> ListOverlay | None:
    """Return one overlay that applies `overlays` in turn, or None if there are none."""
    if not overlays:
        return None
    if len(overlays) == 1:
        return overlays[0]

    def apply_all(listing: EndpointList) -> EndpointList:
        for overlay in overlays:
            listing = overlay(listing)
        return listing

    return apply_all


def outer_filters(
    budgets: BudgetPropagation | None, tier_name: str, config: ProxyConfig, recovery: Recovery | None = None
) -> tuple[RequestFilter, ...]:
    """Return the filters that apply to a request before the policy, in their order."""
    filters: tuple[RequestFilter, ...] = () if recovery is None else (recovery.filter,)
    if budgets is None:
        return filters
    from service_proxy.deadlines.outbound import OutboundFilter

    classes = {cls.name: cls for cls in config.settings.classes}
    return (*filters, OutboundFilter(budgets, tier_name, classes, config.settings.max_attempts))


def inner_filters(
    budgets: BudgetPropagation | None, classes: dict[str, RequestClass]
) -> tuple[RequestFilter, ...]:
    """Return the filters that apply to a request before a sidecar forwards it to the application."""
    if budgets is None:
        return ()
    from service_proxy.deadlines.inbound import InboundFilter

    return (InboundFilter(budgets, classes),)


async def drain_server(server: HttpServer, has_unanswered: Callable[[], bool], end_by: float = 0.0) -> None:
    """Answer the requests that a listener has accepted, then wait until their last bytes are sent.

    `end_by` (monotonic, s) is the time by which every request that this process decides on is answered; 0: no
    such time. A response that is still being sent LAST_BYTES_GRACE_S later is aborted, and its client can
    detect the truncation.
    """
    server.is_draining = True
    server.close_idle()
    abort_at = end_by + LAST_BYTES_GRACE_S if end_by else math.inf
    while has_unanswered() and time.monotonic() < abort_at:
        server.close_idle(include_partial=True)
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    # The last bytes may still be in transit to a slow client, or a new request in transit to this process.
    abort_at = min(abort_at, max(end_by, time.monotonic()) + LAST_BYTES_GRACE_S)
    while server.connections and time.monotonic() < abort_at:
        server.close_idle(include_partial=True)
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    server.abort_closing()


def freeze_long_lived_objects() -> None:
    """Exempt all objects alive now from garbage collection, so that it pauses requests only briefly."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
