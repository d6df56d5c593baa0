"""The WebSocket listener: who may upgrade, all sessions and tunnels, liveness, drains, and the end.

Its settings are the operator's table [websocket]; routes are the first part of a path, as everywhere.
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

READ_BUFFER_BYTES = 16 * 1024  # bytes that are read at once, and so the most that one side holds unread
MAX_NUMBER_DIGITS = 15  # of an outcome's number in the query
SWEEP_INTERVAL_S = 0.25  # s between looks at all sessions
MAX_STALL_S = 5.0  # s in which who takes nothing of what waits for it is closed with 1008
DRAIN_SPAN_S = 0.8  # s over which the sessions of a draining endpoint are closed; rule 3 has 2 s for all
MAX_CLOSES_PER_TURN = 64  # sessions that are closed in one turn
DRAIN_STEP_S = 0.02  # s between such turns, at the most
SESSION_MEMORY_MB = 0.024  # MB that a session may cost at rest, both sides of a tunnel
UNREAD_MEMORY_SHARE = 0.25  # of the memory beyond the program's own, for what clients have not taken yet
OUTCOME_SHARE = 0.25  # of that pool, for outcomes that are kept
MIN_HTTP_MEMORY_MB = 8  # MB that callers over HTTP have left


def reserve_resources(config: ProxyConfig, settings: WebSocket) -> ProxyConfig:
    """Return the configuration with the descriptors and memory that the sessions leave.

    Raises:
        ConfigError: they leave too little.
    """
    each = 2 if settings.tunnels else 1
    sockets = config.max_descriptors - each * settings.sessions
    pool_mb = unread_limit(config) / 1e6
    memory_mb = config.memory_mb - settings.sessions * SESSION_MEMORY_MB - pool_mb
    if sockets < MIN_DESCRIPTORS or memory_mb < BASE_MEMORY_MB + MIN_HTTP_MEMORY_MB:
        by_sockets = (config.max_descriptors - MIN_DESCRIPTORS) // each
        by_memory = int(
            (config.memory_mb - pool_mb - BASE_MEMORY_MB - MIN_HTTP_MEMORY_MB) / SESSION_MEMORY_MB
        )
        raise ConfigError(
            f"[websocket] sessions = {settings.sessions} does not go into "
            f"{config.max_descriptors} descriptors and "
            f"{config.memory_mb:g} MB: write sessions = {max(0, min(by_sockets, by_memory))} or less"
        )
    return replace(config, max_descriptors=sockets, memory_mb=memory_mb)


def unread_limit(config: ProxyConfig) -> int:
    """Return the bytes that all clients together may leave unread. `config`: of the whole process."""
    return int((config.memory_mb - BASE_MEMORY_MB) * UNREAD_MEMORY_SHARE * 1e6)


class WebSocketListener:
    """net.downstream.UpgradeHandler, session_host.SessionHost and net.endpoint_sources.Subsystem.

    Attributes:
        connections: the clients' sides, and the endpoints' sides of tunnels.
        tunnels: by the endpoint's connection pool.
        unread_by_connection: bytes that peers have not read; unread_bytes: of all together.
        drain_deadline: monotonic, s, while this proxy drains.
    """

    def __init__(
        self, settings: WebSocket, config: ProxyConfig, dispatcher: RequestDispatcher, server: HttpServer
    ) -> None:
        """`config`: of the whole process.

        Raises:
            ConfigError: a tunnel's class is not idempotent or unknown.
        """
        self.settings = settings
        self.dispatcher = dispatcher
        self.server = server
        for cls in settings.tunnels:
            if dispatcher.idempotency_by_class.get(cls) is not Idempotency.IDEMPOTENT:
                raise ConfigError(f"[websocket] tunnels: {cls} is no repeatable class of the settings")
        self.loop = asyncio.get_running_loop()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.max_unread_bytes = unread_limit(config)
        self.registry = SessionRegistry(int(self.max_unread_bytes * OUTCOME_SHARE))
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
        """Start the regular checks."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """End all connections."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for peer in list(self.connections):
            peer.abort()

    def reload(self, file: str) -> None:
        """Take in new limits and times, on SIGHUP.

        Raises:
            OperatorError: what can't change has changed; nothing is taken in then.
        """
        new = load(file).websocket
        fixed = ("messages", "tunnels", "sessions")
        late = [name for name in fixed if new is None or getattr(new, name) != getattr(self.settings, name)]
        if new is None or late:
            text = f"[websocket] {', '.join(late)} can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        self.settings = new
        self.spread.span = new.reconnect_spread

    @staticmethod
    def log_failure(message: str) -> None:
        """Log the exception that is being handled."""
        log.exception('websocket_request_failed reason="%s"', message)

    # net.downstream.UpgradeHandler

    def start_upgrade(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        """Answer, or take the connection over, or return the request that decides on it."""
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
        """Send the client's 101; return its connection."""
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
        accepted = WebSocketConnection(transport, codec, owner, self.read_buffer, is_server=True)
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
                pass  # detached sessions are bounded, too
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
        if b"x-call-id" not in names:  # a browser sends none
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
        """Note a tunnel that is open from now on."""
        upstream = tunnel.upstream
        upstream_connection = tunnel.endpoint_side.connection
        assert upstream is not None
        assert upstream_connection is not None
        self.connections[upstream_connection] = None
        self.tunnels.setdefault(upstream, {})[tunnel] = None
        if not upstream.is_serving:  # it was told to drain while the handshake went on
            self.on_endpoint_leaving(upstream)

    def remove_tunnel(self, tunnel: Tunnel, upstream: ConnectionPool) -> None:
        """Note that a tunnel's endpoint side is closed."""
        here = self.tunnels.get(upstream)
        if here is not None:
            here.pop(tunnel, None)
            if not here:
                del self.tunnels[upstream]

    def remove_session(self, client: str, tenant: str) -> None:
        """Note that a client's connection is closed, or was rejected after all."""
        self.limits.remove(client, tenant)

    # Unread bytes.

    def on_write(self, peer: WebSocketConnection) -> None:
        """Note a write; over the limit on unread bytes of all, the connection with the most is closed."""
        self._update_unread(peer)
        while self.unread_bytes > self.max_unread_bytes and self.unread_by_connection:
            largest = max(self.unread_by_connection, key=self.unread_by_connection.__getitem__)
            largest.fail(1008, "what it was sent is not read, and there is no room for more")
            largest.abort()
            self._forget_unread(largest)

    def _update_unread(self, peer: WebSocketConnection) -> None:
        unread_bytes = peer.buffered_bytes
        self.unread_bytes += unread_bytes - self.unread_by_connection.get(peer, 0)
        if unread_bytes:
            self.unread_by_connection[peer] = unread_bytes
        else:
            self.unread_by_connection.pop(peer, None)

    def _forget_unread(self, peer: WebSocketConnection) -> None:
        self.unread_bytes -= self.unread_by_connection.pop(peer, 0)

    # Regular checks.

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        settings = self.settings
        now = time.monotonic()
        for peer in list(self.connections):
            if peer.transport is None:
                del self.connections[peer]
                self._forget_unread(peer)
                continue
            peer.check_liveness(now, settings.ping_every, settings.ping_timeout)
            if peer.stalled_for(now) > MAX_STALL_S and peer.is_server:
                peer.fail(1008, "what it was sent is not read")  # it has 2 s to read that, at least
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
        """Stop: close tunnels over the time that there is, and a message session once it has all outcomes."""
        if self.is_draining:
            return
        self.is_draining = True
        self.drain_deadline = deadline
        span = max(0.0, min(DRAIN_SPAN_S, deadline - time.monotonic() - 2 * DRAIN_STEP_S))
        tunnels = [tunnel for of_endpoint in self.tunnels.values() for tunnel in of_endpoint]
        for number, tunnel in enumerate(tunnels):
            self.loop.call_later(span * number / len(tunnels), tunnel.close_for_drain, 1001)
        self._close_idle_sessions()

    def _close_idle_sessions(self) -> None:
        """Close sessions without pending messages, some at a time, until all are closed."""
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
        """Whether some session still waits for an outcome or its close, and there is time for it."""
        return time.monotonic() < self.drain_deadline and any(
            peer.transport is not None for peer in self.connections
        )
