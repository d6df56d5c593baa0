"""What the proxy sees of WebSocket: who may upgrade, the sessions there are, time, drains, and the end.

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
from service_proxy.policy.events import Idempotency
from service_proxy.websocket.codec import Codec
from service_proxy.websocket.deflate import Deflate, negotiate
from service_proxy.websocket.handshake import (
    OWN_FIELDS,
    Declined,
    Opening,
    check_origin,
    choose,
    read_opening,
    response,
)
from service_proxy.websocket.limits import Doors
from service_proxy.websocket.messages import Talk, Talks
from service_proxy.websocket.peer import Owner, Peer
from service_proxy.websocket.sessions import Book
from service_proxy.websocket.spread import Spread, reason
from service_proxy.websocket.tunnel import Tunnel

log = logging.getLogger(__name__)

SCRATCH = 16 * 1024  # bytes that are read at once, and so the most that one side holds unread
SWEEP = 0.25  # s between looks at all sessions
STUCK = 5.0  # s in which who takes nothing of what waits for it is closed with 1008
DRAIN_SPAN = 0.8  # s over which the sessions of a node that drains are closed; rule 3 has 2 s for all
AT_ONCE = 64  # sessions that are closed in one turn
STEP = 0.02  # s between such turns, at the most
SESSION_MEMORY = 0.024  # MB that a session may cost at rest, both sides of a tunnel
POOL_SHARE = 0.25  # of the memory beyond the program's own, for what clients have not taken yet
OUTCOME_SHARE = 0.25  # of that pool, for outcomes that are kept
LEAST_CALLERS = 8  # MB that callers over HTTP have left


def sized(config: ProxyConfig, settings: WebSocket) -> ProxyConfig:
    """What the sessions leave of the process's descriptors and memory. Raises ConfigError."""
    each = 2 if settings.tunnels else 1
    sockets = config.max_descriptors - each * settings.sessions
    pool_mb = pool_of(config) / 1e6
    memory_mb = config.memory_mb - settings.sessions * SESSION_MEMORY - pool_mb
    if sockets < MIN_DESCRIPTORS or memory_mb < BASE_MEMORY_MB + LEAST_CALLERS:
        by_sockets = (config.max_descriptors - MIN_DESCRIPTORS) // each
        by_memory = int((config.memory_mb - pool_mb - BASE_MEMORY_MB - LEAST_CALLERS) / SESSION_MEMORY)
        raise ConfigError(
            f"[websocket] sessions = {settings.sessions} does not go into "
            f"{config.max_descriptors} descriptors and "
            f"{config.memory_mb:g} MB: write sessions = {max(0, min(by_sockets, by_memory))} or less"
        )
    return replace(config, max_descriptors=sockets, memory_mb=memory_mb)


def pool_of(config: ProxyConfig) -> int:
    """Bytes that clients may leave untaken, all together. `config`: of the whole process."""
    return int((config.memory_mb - BASE_MEMORY_MB) * POOL_SHARE * 1e6)


class Front:
    """net.downstream.UpgradeHandler, and a Subsystem."""

    def __init__(
        self, settings: WebSocket, config: ProxyConfig, driver: RequestDispatcher, server: HttpServer
    ) -> None:
        """`config`: of the whole process. Raises ConfigError where a tunnel's class can't be one."""
        self.settings = settings
        self.driver = driver
        self.server = server
        for cls in settings.tunnels:
            if driver.idempotency_by_class.get(cls) is not Idempotency.IDEMPOTENT:
                raise ConfigError(f"[websocket] tunnels: {cls} is no repeatable class of the settings")
        self.loop = asyncio.get_running_loop()
        self.scratch = memoryview(bytearray(SCRATCH))
        self.pool = pool_of(config)
        self.book = Book(int(self.pool * OUTCOME_SHARE))
        self.talks = Talks(self)
        self.doors = Doors()
        self.spread = Spread(config.seed, settings.reconnect_spread)
        self.peers: dict[Peer, None] = {}  # the clients' sides, and the nodes' sides of tunnels
        self.tunnels: dict[ConnectionPool, dict[Tunnel, None]] = {}  # by node
        self.loads: dict[Peer, int] = {}  # bytes that some have not taken
        self.load = 0  # of them together
        self.draining = False
        self.end_by = 0.0
        self.sweeping: asyncio.TimerHandle | None = None
        driver.upgraded_connection_allowance = settings.sessions if settings.tunnels else 0
        driver.set_resource_share(1.0)
        server.upgrade_handler = self
        driver.cluster.on_endpoint_leaving = self.leaving

    # Subsystem
    def start(self) -> None:
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)

    def stop(self) -> None:
        if self.sweeping is not None:
            self.sweeping.cancel()
        for peer in list(self.peers):
            peer.abort()

    def reload(self, file: str) -> None:
        """On SIGHUP: limits and times. Raises OperatorError, and then nothing has changed."""
        new = load(file).websocket
        fixed = ("messages", "tunnels", "sessions")
        late = [name for name in fixed if new is None or getattr(new, name) != getattr(self.settings, name)]
        if new is None or late:
            text = f"[websocket] {', '.join(late)} can't change while the proxy runs"
            raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])
        self.settings = new
        self.spread.span = new.reconnect_spread

    @staticmethod
    def failed(what: str) -> None:
        log.exception(what)

    # net.downstream.UpgradeHandler
    def start_upgrade(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        """Answers, or takes the connection over, or returns the call that decides on it."""
        try:
            return self._asked(connection, upgrade)
        except Declined as no:
            connection.respond(no.code, no.headers, f"{no}\n".encode())
        except BadRequestError as bad:
            connection.respond(bad.status_code, (), f"{bad}\n".encode())
        return None

    def _asked(self, connection: DownstreamConnection, upgrade: UpgradeRequest) -> object | None:
        settings = self.settings
        headers = upgrade.headers
        opening = read_opening(upgrade.method, upgrade.version, headers, upgrade.has_body)
        check_origin(opening, settings.origins)
        path = urlsplit(upgrade.target.decode("latin-1"))
        route = path.path[1:].split("/", 1)[0]
        if route not in settings.messages and route not in settings.tunnels:
            raise Declined(404, "no WebSocket here")
        if upgrade.has_surplus:
            raise Declined(400, "frames before the 101")
        if self.draining:
            raise Declined(503, "this proxy is stopping", self._advice())
        tenant = next((value.decode("latin-1") for name, value in headers if name == b"x-caller"), "")
        client = str((connection.peername or ("",))[0])
        self._door(client, tenant)
        if route in settings.messages:
            self._begin_talk(connection, opening, parse_qs(path.query), client, tenant)
            return None
        return self._begin_tunnel(connection, upgrade, opening, route, client, tenant)

    def _advice(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"retry-after", b"%.3f" % max(0.1, self.spread.next())),)

    def _door(self, client: str, tenant: str) -> None:
        settings = self.settings
        most = settings.sessions
        whose = self.doors.full(
            client, tenant, most, settings.sessions_per_client or most, settings.sessions_per_tenant or most
        )
        if whose is not None:
            code = 503 if whose == "proxy" else 429
            raise Declined(code, f"too many sessions of this {whose}", self._advice())

    def hand_over(
        self, connection: DownstreamConnection, opening: Opening, protocol: bytes, owner: Owner
    ) -> Peer:
        """The client's 101, and its connection as frames."""
        extension = b""
        extensions = []
        settings = self.settings
        if settings.deflate:
            agreed = negotiate(opening.extensions, settings.deflate_window_bits)
            if agreed is not None:
                extension = agreed.header()
                extensions = [Deflate(agreed, settings.message_bytes, settings.deflate_ratio)]
        transport = connection.detach(response(opening, protocol, extension))
        codec = Codec(False, settings.message_bytes, extensions)
        peer = Peer(transport, codec, owner, self.scratch, server=True)
        self.peers[peer] = None
        return peer

    def _begin_talk(
        self,
        connection: DownstreamConnection,
        opening: Opening,
        query: dict[str, list[str]],
        client: str,
        tenant: str,
    ) -> None:
        token = query.get("session", [""])[0]
        seen = query.get("seen", ["0"])[0]
        if not seen.isascii() or not seen.isdecimal() or len(seen) > 15:
            raise Declined(400, "seen must be the number of an outcome")
        book = self.book
        now = time.monotonic()
        protocol = choose(opening, self.settings.subprotocols)
        found = book.resume(token, tenant, None) if token else None
        if found is None:
            while len(book.sessions) >= 2 * self.settings.sessions and self.talks.make_room():
                pass  # those that wait for their client are bounded, too
            session = book.begin(secrets.token_urlsafe(16), tenant, None)
            before = None
        else:
            session, before = found
        self.doors.enter(client, tenant)
        talk = Talk(self.talks, session, client, now)
        session.peer = talk
        if isinstance(before, Talk) and before.peer is not None:
            before.peer.close(1008, "its session is on another connection")
            before.peer.abort()
        talk.peer = self.hand_over(connection, opening, protocol, talk)
        self.talks.begin(talk, found is not None, int(seen))

    def _begin_tunnel(
        self,
        connection: DownstreamConnection,
        upgrade: UpgradeRequest,
        opening: Opening,
        cls: str,
        client: str,
        tenant: str,
    ) -> object | None:
        headers = [pair for pair in upgrade.headers if pair[0] not in OWN_FIELDS]
        names = {name for name, _ in headers}
        if b"x-call-id" not in names:  # a browser sends none
            headers.append((b"x-call-id", b"ws-" + secrets.token_hex(8).encode()))
        if b"x-budget" not in names:
            headers.append((b"x-budget", b"%dm" % int(self.driver.deadline_by_class[cls] * 1e3)))
        driver = self.driver
        request = parse_request(
            b"GET",
            upgrade.target,
            headers,
            RequestBody.of(b""),
            time.monotonic(),
            driver.idempotency_by_class,
            driver.consumed_headers,
        )
        self.doors.enter(client, tenant)
        tunnel = Tunnel(self, connection, opening, client, tenant)
        request.upgrade = tunnel
        return driver.start_request(request, tunnel)

    def open_tunnel(self, tunnel: Tunnel) -> None:
        upstream = tunnel.upstream
        node = tunnel.node.peer
        assert upstream is not None
        assert node is not None
        self.peers[node] = None
        self.tunnels.setdefault(upstream, {})[tunnel] = None
        if not upstream.is_serving:  # it was told to drain while the handshake went on
            self.leaving(upstream)

    def closed_tunnel(self, tunnel: Tunnel, upstream: ConnectionPool) -> None:
        here = self.tunnels.get(upstream)
        if here is not None:
            here.pop(tunnel, None)
            if not here:
                del self.tunnels[upstream]

    def left(self, client: str, tenant: str) -> None:
        """A client's connection is gone, or was turned away after all."""
        self.doors.leave(client, tenant)

    # what clients have not taken
    def wrote(self, peer: Peer) -> None:
        """After each write. Where all together hold too much, who holds the most is closed."""
        self._count(peer)
        while self.load > self.pool and self.loads:
            heaviest = max(self.loads, key=self.loads.__getitem__)
            heaviest.fail(1008, "what it was sent is not read, and there is no room for more")
            heaviest.abort()
            self._forget(heaviest)

    def _count(self, peer: Peer) -> None:
        now = peer.load
        self.load += now - self.loads.get(peer, 0)
        if now:
            self.loads[peer] = now
        else:
            self.loads.pop(peer, None)

    def _forget(self, peer: Peer) -> None:
        self.load -= self.loads.pop(peer, 0)

    # time
    def _sweep(self) -> None:
        self.sweeping = self.loop.call_later(SWEEP, self._sweep)
        settings = self.settings
        now = time.monotonic()
        for peer in list(self.peers):
            if peer.transport is None:
                del self.peers[peer]
                self._forget(peer)
                continue
            peer.look_after(now, settings.ping_every, settings.ping_timeout)
            if peer.stuck(now) > STUCK and peer.server:
                peer.fail(1008, "what it was sent is not read")  # it has 2 s to read that, at least
        for peer in list(self.loads):
            self._count(peer)
        self.talks.sweep(now)

    # drains
    def leaving(self, upstream: ConnectionPool) -> None:
        """A node drains, is gone, or is another one by now: its tunnels leave it, one after another."""
        here = list(self.tunnels.get(upstream, ()))
        if not here:
            return
        log.info("%d tunnels leave %s:%d", len(here), *upstream.address)
        for number, tunnel in enumerate(here):
            self.loop.call_later(DRAIN_SPAN * number / len(here), tunnel.leave_node, 1012)

    def drain(self, end_by: float) -> None:
        """This proxy stops. Tunnels end over the time that there is; a session of messages once it is owed
        nothing."""
        if self.draining:
            return
        self.draining = True
        self.end_by = end_by
        span = max(0.0, min(DRAIN_SPAN, end_by - time.monotonic() - 2 * STEP))
        tunnels = [tunnel for here in self.tunnels.values() for tunnel in here]
        for number, tunnel in enumerate(tunnels):
            self.loop.call_later(span * number / len(tunnels), tunnel.leave_node, 1001)
        self._close_idle_talks()

    def _close_idle_talks(self) -> None:
        """Again and again, some at a time, until all are closed."""
        last = time.monotonic() > self.end_by - 2 * STEP
        left = AT_ONCE
        waiting = False
        for session in list(self.book.sessions.values()):
            talk = session.peer
            if talk is None or talk.peer is None:
                continue
            if session.open and not last:
                waiting = True
            elif left or last:
                left -= 1
                talk.peer.close(1001, reason(self.spread.next()))
            else:
                waiting = True
        if waiting:
            self.loop.call_later(STEP, self._close_idle_talks)

    @property
    def owes(self) -> bool:
        """Whether some session is still owed an outcome or its close, and there is time for it."""
        return time.monotonic() < self.end_by and any(peer.transport is not None for peer in self.peers)
