"""WebSocket listener: admission of upgrades, all sessions and tunnels, liveness checks, drains and shutdown.

The settings are the operator's table [websocket]. A route is the first part of a path, as for HTTP requests.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from dataclasses import replace
from urllib.parse import parse_qs, urlsplit

from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.dispatcher import RequestDispatcher
from service_proxy.net.downstream import (
    BASE_MEMORY_MB,
    BadRequestError,
    DownstreamConnection,
    HttpServer,
    UpgradeRequest,
    parse_request,
)
from service_proxy.net.limits import MIN_DESCRIPTORS
from service_proxy.net.request_body import RequestBody
from service_proxy.net.upstream import ConnectionPool
from service_proxy.operator_file import OperatorError, Problem, WebSocket, load
from service_proxy.policy.settings_types import Idempotency
from service_proxy.websocket.connection import ConnectionOwner, WebSocketConnection
from service_proxy.websocket.frame_codec import FrameCodec
from service_proxy.websocket.message_memory import MessageMemory, pending_bytes
from service_proxy.websocket.message_session import MessageConnection, MessageSessions
from service_proxy.websocket.opening_handshake import (
    HANDSHAKE_FIELDS,
    HandshakeRejectedError,
    OpeningRequest,
    check_origin,
    choose_subprotocol,
    encode_response,
    parse_opening,
)
from service_proxy.websocket.permessage_deflate import PerMessageDeflate, negotiate
from service_proxy.websocket.reconnect_spread import ReconnectSpread, close_reason
from service_proxy.websocket.session_limits import SessionLimits
from service_proxy.websocket.session_registry import SessionRegistry
from service_proxy.websocket.tunnel import Tunnel

log = logging.getLogger(__name__)

# Bytes per read, and therefore the most received bytes that one side buffers unprocessed.
READ_BUFFER_BYTES = 16 * 1024
MAX_NUMBER_DIGITS = 15  # Digits of an outcome's number in the query.
SWEEP_INTERVAL_S = 0.25  # Time between two checks of all sessions.
MAX_STALL_S = 5.0  # Time after which a client that reads none of its unsent bytes is closed with 1008.
# Time over which the sessions of a draining endpoint are closed. Rule 3 (R203) allows 2 s for the whole
# drain.
DRAIN_SPAN_S = 0.8
MAX_CLOSES_PER_TURN = 64  # Sessions closed in one turn of the event loop.
DRAIN_STEP_S = 0.02  # Longest time between two turns that close sessions.
SESSION_MEMORY_MB = 0.024  # Memory of one idle session, including both sides of a tunnel.
# Share of the memory above BASE_MEMORY_MB that may buffer data that clients have not read.
UNREAD_MEMORY_SHARE = 0.25
# Share of the same memory for messages that are arriving or have no outcome yet.
MESSAGE_MEMORY_SHARE = 0.15
OUTCOME_SHARE = 0.25  # Share of the unread memory that may hold stored outcomes.
MIN_HTTP_MEMORY_MB = 8  # Memory that has to remain for HTTP requests.


def reserve_resources(config: ProxyConfig, settings: WebSocket) -> ProxyConfig:
    """Return the configuration with the descriptors and memory that remain after those of the sessions.

    Raises:
        ConfigError: Too few descriptors or too little memory would remain.
    """
    descriptors_per_session = 2 if settings.tunnels else 1
    sockets = config.max_descriptors - descriptors_per_session * settings.sessions
    pool_mb = unread_limit(config) / 1e6
    memory_mb = config.memory_mb - settings.sessions * SESSION_MEMORY_MB - pool_mb
    if sockets < MIN_DESCRIPTORS or memory_mb < BASE_MEMORY_MB + MIN_HTTP_MEMORY_MB:
        max_by_sockets = (config.max_descriptors - MIN_DESCRIPTORS) // descriptors_per_session
        max_by_memory = int(
            (config.memory_mb - pool_mb - BASE_MEMORY_MB - MIN_HTTP_MEMORY_MB) / SESSION_MEMORY_MB
        )
        raise ConfigError(
            f"[websocket] sessions = {settings.sessions} does not fit into "
            f"{config.max_descriptors} descriptors and "
            f"{config.memory_mb:g} MB: write sessions = {max(0, min(max_by_sockets, max_by_memory))} or less"
        )
    memory_mb = max(BASE_MEMORY_MB + MIN_HTTP_MEMORY_MB, memory_mb - message_limit(config, settings) / 1e6)
    return replace(config, max_descriptors=sockets, memory_mb=memory_mb)


def unread_limit(config: ProxyConfig) -> int:
    """Return how many bytes all clients together may leave unread. `config` is that of the whole process."""
    return int((config.memory_mb - BASE_MEMORY_MB) * UNREAD_MEMORY_SHARE * 1e6)


def message_limit(config: ProxyConfig, settings: WebSocket) -> int:
    """Return how many bytes the messages of all clients may take; there is room for the longest message."""
    share = int((config.memory_mb - BASE_MEMORY_MB) * MESSAGE_MEMORY_SHARE * 1e6)
    return max(share, 2 * pending_bytes(settings.message_bytes))


class WebSocketListener:
    """Listener of all WebSocket connections, which implements UpgradeHandler, SessionHost and Subsystem.

    The protocols are net.downstream.UpgradeHandler, session_host.SessionHost, net.endpoint_sources.Subsystem.

    Attributes:
        connections: The clients' sides of all sessions, and the endpoints' sides of tunnels.
        tunnels: Tunnels by the endpoint's connection pool.
        unread_by_connection: Bytes that each peer has not read.
        unread_bytes: Bytes that all peers together have not read.
        drain_deadline: Monotonic time at which the drain of this proxy ends, s.
    """

    def __init__(
        self, settings: WebSocket, config: ProxyConfig, dispatcher: RequestDispatcher, server: HttpServer
    ) -> None:
        """Register the listener at the HTTP server and the dispatcher. `config` is that of the whole process.

        Raises:
            ConfigError: The class of a tunnel is unknown or not idempotent.
        """
        self.settings = settings
        self.dispatcher = dispatcher
        self.server = server
        for cls in settings.tunnels:
            if dispatcher.idempotency_by_class.get(cls) is not Idempotency.IDEMPOTENT:
                raise ConfigError(
                    f"[websocket] tunnels: {cls} is unknown or not an idempotent class of the settings"
                )
        self.loop = asyncio.get_running_loop()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.read_turns = server.read_turns
        self.max_unread_bytes = unread_limit(config)
        self.registry = SessionRegistry(int(self.max_unread_bytes * OUTCOME_SHARE))
        self.message_memory = MessageMemory(message_limit(config, settings))
        self.message_sessions = MessageSessions(self)
        self.limits = SessionLimits()
        self.spread = ReconnectSpread(config.seed, settings.reconnect_spread)
        self.connections: dict[WebSocketConnection, None] = {}
        self.tunnels: dict[ConnectionPool, dict[Tunnel, None]] = {}
        self.unread_by_connection: dict[WebSocketConnection, int] = {}
        self.unread_bytes = 0
        self.is_draining = False
        self.drain_deadline = 0.0
        self.sweep_timer: asyncio.TimerHandle | None = None
        dispatcher.upgraded_connection_allowance = settings.sessions if settings.tunnels else 0
        self.dispatcher.set_resource_share(1.0)
        server.upgrade_handler = self
        dispatcher.cluster.on_endpoint_leaving = self.on_endpoint_leaving

    # net.endpoint_sources.Subsystem

    def start(self) -> None:
        """Start the periodic checks."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """End all connections."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for peer in list(self.connections):
            peer.abort()

    def reload(self, file: str) -> None:
        """Apply new limits and times, on SIGHUP.

        Raises:
            OperatorError: A setting that needs a restart has changed; no setting is applied then.
        """
        new = load(file).websocket
        fixed_settings = ("messages", "tunnels", "sessions")
        changed_settings = [
            name
            for name in fixed_settings
            if new is None or getattr(new, name) != getattr(self.settings, name)
        ]
        if new is None or changed_settings:
            text = f"[websocket] {', '.join(changed_settings)} can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        self.settings = new
        self.spread.span = new.reconnect_spread

    @staticmethod
    def log_failure(message: str) -> None:
        """Log the exception that is being handled."""
        log.exception('websocket_request_failed reason="%s"', message)

    # net.downstream.UpgradeHandler

    def start_upgrade(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        """Answer the upgrade, take over the connection, or return the request that decides on the upgrade."""
        try:
            return self._open_session(connection, upgrade)
        except HandshakeRejectedError as rejection:
            connection.respond(rejection.status_code, rejection.headers, f"{rejection}\n".encode())
        except BadRequestError as error:
            connection.respond(error.status_code, (), f"{error}\n".encode())
        return None

    def _open_session(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        settings = self.settings
        headers = upgrade.headers
        opening = parse_opening(upgrade.method, upgrade.version, headers, upgrade.has_body)
        check_origin(opening, settings.origins)
        path = urlsplit(upgrade.target.decode("latin-1"))
        route = path.path[1:].split("/", 1)[0]
        if route not in settings.messages and route not in settings.tunnels:
            raise HandshakeRejectedError(404, "no WebSocket here")
        if upgrade.has_surplus:
            raise HandshakeRejectedError(400, "frames before the 101")
        if self.is_draining:
            raise HandshakeRejectedError(503, "this proxy is stopping", self._retry_after())
        tenant = next((value.decode("latin-1") for name, value in headers if name == b"x-caller"), "")
        client = str((connection.peername or ("",))[0])
        self._check_limits(client, tenant)
        if route in settings.messages:
            self._open_message_session(connection, opening, parse_qs(path.query), client, tenant)
            return None
        return self._open_tunnel(connection, upgrade, opening, route, client, tenant)

    def _retry_after(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"retry-after", b"%.3f" % max(0.1, self.spread.next_delay())),)

    def _check_limits(self, client: str, tenant: str) -> None:
        settings = self.settings
        max_sessions = settings.sessions
        exceeded_scope = self.limits.exceeded_scope(
            client,
            tenant,
            max_sessions,
            settings.sessions_per_client or max_sessions,
            settings.sessions_per_tenant or max_sessions,
        )
        if exceeded_scope is not None:
            code = 503 if exceeded_scope == "proxy" else 429
            message = f"too many sessions of this {exceeded_scope}"
            raise HandshakeRejectedError(code, message, self._retry_after())

    def accept_connection(
        self,
        connection: DownstreamConnection,
        opening: OpeningRequest,
        protocol: bytes,
        owner: ConnectionOwner,
    ) -> WebSocketConnection:
        """Send the 101 response to the client and return the client's WebSocket connection."""
        extension = b""
        extensions = []
        settings = self.settings
        if settings.deflate:
            parameters = negotiate(opening.extensions, settings.deflate_window_bits)
            if parameters is not None:
                extension = parameters.response_value()
                extensions = [PerMessageDeflate(parameters, settings.message_bytes, settings.deflate_ratio)]
        transport = connection.detach(encode_response(opening, protocol, extension))
        codec = FrameCodec(False, settings.message_bytes, extensions)
        accepted = WebSocketConnection(
            transport, codec, owner, self.read_buffer, self.read_turns, is_server=True
        )
        self.connections[accepted] = None
        return accepted

    def _open_message_session(
        self,
        connection: DownstreamConnection,
        opening: OpeningRequest,
        query: dict[str, list[str]],
        client: str,
        tenant: str,
    ) -> None:
        token = query.get("session", [""])[0]
        last_seen = query.get("seen", ["0"])[0]
        if not last_seen.isascii() or not last_seen.isdecimal() or len(last_seen) > MAX_NUMBER_DIGITS:
            raise HandshakeRejectedError(400, "seen must be the number of an outcome")
        registry = self.registry
        now = time.monotonic()
        protocol = choose_subprotocol(opening, self.settings.subprotocols)
        resumed = registry.resume(token, tenant, None) if token else None
        if resumed is None:
            max_sessions = 2 * self.settings.sessions
            while len(registry.sessions) >= max_sessions and self.message_sessions.evict_detached():
                pass  # The number of detached sessions is limited as well.
            session = registry.create(secrets.token_urlsafe(16), tenant, None)
            previous = None
        else:
            session, previous = resumed
        self.limits.add(client, tenant)
        current = MessageConnection(self.message_sessions, session, client, now)
        session.connection = current
        if isinstance(previous, MessageConnection) and previous.connection is not None:
            previous.connection.close(1008, "its session is on another connection")
            previous.connection.abort()
        current.connection = self.accept_connection(connection, opening, protocol, current)
        self.message_sessions.start(current, resumed is not None, int(last_seen))

    def _open_tunnel(
        self,
        connection: DownstreamConnection,
        upgrade: UpgradeRequest,
        opening: OpeningRequest,
        cls: str,
        client: str,
        tenant: str,
    ) -> object | None:
        headers = [pair for pair in upgrade.headers if pair[0] not in HANDSHAKE_FIELDS]
        names = {name for name, _ in headers}
        if b"x-call-id" not in names:  # Browsers send no X-Call-Id.
            headers.append((b"x-call-id", b"ws-" + secrets.token_hex(8).encode()))
        if b"x-budget" not in names:
            headers.append((b"x-budget", b"%dm" % int(self.dispatcher.deadline_by_class[cls] * 1e3)))
        request = parse_request(
            b"GET",
            upgrade.target,
            headers,
            RequestBody.of(b""),
            time.monotonic(),
            self.dispatcher.idempotency_by_class,
            self.dispatcher.consumed_headers,
        )
        self.limits.add(client, tenant)
        tunnel = Tunnel(self, connection, opening, client, tenant)
        request.upgrade = tunnel
        return self.dispatcher.start_request(request, tunnel)

    def add_tunnel(self, tunnel: Tunnel) -> None:
        """Register a tunnel that is now open."""
        upstream = tunnel.upstream
        upstream_connection = tunnel.endpoint_side.connection
        assert upstream is not None
        assert upstream_connection is not None
        self.connections[upstream_connection] = None
        self.tunnels.setdefault(upstream, {})[tunnel] = None
        if not upstream.is_serving:  # The endpoint started to drain, or was removed, during the handshake.
            self.on_endpoint_leaving(upstream)

    def remove_tunnel(self, tunnel: Tunnel, upstream: ConnectionPool) -> None:
        """Unregister a tunnel whose connection to the endpoint has ended."""
        tunnels_of_pool = self.tunnels.get(upstream)
        if tunnels_of_pool is not None:
            tunnels_of_pool.pop(tunnel, None)
            if not tunnels_of_pool:
                del self.tunnels[upstream]

    def remove_session(self, client: str, tenant: str) -> None:
        """Release the place of a session whose connection has ended or whose handshake was rejected."""
        self.limits.remove(client, tenant)

    # Unread bytes.

    def on_write(self, peer: WebSocketConnection) -> None:
        """Update the unread bytes after a write, and close the connections with the most above the limit."""
        self._update_unread(peer)
        while self.unread_bytes > self.max_unread_bytes and self.unread_by_connection:
            largest = max(self.unread_by_connection, key=self.unread_by_connection.__getitem__)
            largest.fail(1008, "what it was sent is not read, and there is no room for more")
            largest.abort()
            self._remove_unread(largest)

    def _update_unread(self, peer: WebSocketConnection) -> None:
        unread_bytes = peer.buffered_bytes
        self.unread_bytes += unread_bytes - self.unread_by_connection.get(peer, 0)
        if unread_bytes:
            self.unread_by_connection[peer] = unread_bytes
        else:
            self.unread_by_connection.pop(peer, None)

    def _remove_unread(self, peer: WebSocketConnection) -> None:
        self.unread_bytes -= self.unread_by_connection.pop(peer, 0)

    # Regular checks.

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        settings = self.settings
        now = time.monotonic()
        for peer in list(self.connections):
            if peer.transport is None:
                del self.connections[peer]
                self._remove_unread(peer)
                continue
            peer.check_liveness(now, settings.ping_every, settings.ping_timeout)
            if peer.stalled_for(now) > MAX_STALL_S and peer.is_server:
                # The peer has at least 2 s to read the close frame before the connection is aborted.
                peer.fail(1008, "what it was sent is not read")
        for peer in list(self.unread_by_connection):
            self._update_unread(peer)
        self.message_sessions.sweep(now)

    # Draining.

    def on_endpoint_leaving(self, upstream: ConnectionPool) -> None:
        """Close the tunnels of an endpoint that drains, is gone or was replaced, spread over DRAIN_SPAN_S."""
        tunnels = list(self.tunnels.get(upstream, ()))
        if not tunnels:
            return
        log.info("tunnels_closing tunnels=%d endpoint=%s:%d", len(tunnels), *upstream.address)
        for number, tunnel in enumerate(tunnels):
            self.loop.call_later(DRAIN_SPAN_S * number / len(tunnels), tunnel.close_for_drain, 1012)

    def drain(self, deadline: float) -> None:
        """Drain this proxy: close tunnels over the time left, message sessions after their last outcome."""
        if self.is_draining:
            return
        self.is_draining = True
        self.drain_deadline = deadline
        span = max(0.0, min(DRAIN_SPAN_S, deadline - time.monotonic() - 2 * DRAIN_STEP_S))
        tunnels = [tunnel for endpoint_tunnels in self.tunnels.values() for tunnel in endpoint_tunnels]
        for number, tunnel in enumerate(tunnels):
            self.loop.call_later(span * number / len(tunnels), tunnel.close_for_drain, 1001)
        self._close_idle_sessions()

    def _close_idle_sessions(self) -> None:
        """Close sessions without pending messages, a limited number per turn, until all are closed."""
        is_last_turn = time.monotonic() > self.drain_deadline - 2 * DRAIN_STEP_S
        closes = 0
        has_open_sessions = False
        for session in list(self.registry.sessions.values()):
            current = session.connection
            if current is None or current.connection is None:
                continue
            if is_last_turn or (not session.pending and closes < MAX_CLOSES_PER_TURN):
                closes += 1
                current.connection.close(1001, close_reason(self.spread.next_delay()))
            else:
                has_open_sessions = True
        if has_open_sessions:
            self.loop.call_later(DRAIN_STEP_S, self._close_idle_sessions)

    @property
    def has_pending_closes(self) -> bool:
        """Whether a session still waits for an outcome or its close before the drain's deadline."""
        return time.monotonic() < self.drain_deadline and any(
            peer.transport is not None for peer in self.connections
        )
