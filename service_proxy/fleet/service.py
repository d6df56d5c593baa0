"""Fleet member of a proxy: its socket and timers, and the interfaces for other subsystems.

This is the only module of the package that performs I/O in a proxy. It passes datagrams and the time to the
protocol and carries out the effects that the protocol returns.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol, cast

from service_proxy.clock import Clock
from service_proxy.fleet import log_lines
from service_proxy.fleet.addressing import make_record, resolve_addresses
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.log_lines import LogLine
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.members import MAX_METADATA_BYTES, MemberKey, ServicePhase
from service_proxy.fleet.metadata import pack_metadata, unpack_metadata
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.proxy_count import effective_proxy_count
from service_proxy.fleet.rate_limits import LOG_WINDOW_S, DatagramRateLimit, LogLineLimit
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.wire import LIST_VERSION_MODULUS, MAX_DATAGRAM_BYTES, LoadSummary, MessageType
from service_proxy.net.config import ProxyConfig
from service_proxy.net.fleet_protocols import FleetMember
from service_proxy.operator_file import Fleet as FleetSettings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger("service_proxy.fleet")

# Seconds between two attempts to bind, while an earlier process with this name still uses the socket.
REBIND_INTERVAL_S = 0.1
# Receive buffer requested from the kernel for waiting datagrams; the kernel may grant less.
RECEIVE_BUFFER_BYTES = 1 << 20
USER_PORTS = range(1, 256)  # Ports of the subsystems that use the fleet's datagrams and metadata.
RESTART_SETTINGS = ("name", "listen", "address", "members", "networks", "own_network")
MAX_LOAD_TENTHS = 10


class ProxyStatus(Protocol):
    """Interface of the request dispatcher to the fleet."""

    @property
    def load(self) -> float:
        """Requests in flight, as a share of the limit."""

    @property
    def list_version(self) -> int:
        """Version of the endpoint list that is in force."""

    @property
    def is_ready(self) -> bool:
        """Whether the proxy serves requests."""

    def set_proxy_count(self, count: int) -> None:
        """Set the number of proxies that share the endpoints."""


class FleetService(asyncio.DatagramProtocol):
    """A member of the fleet, as a net.endpoint_sources.Subsystem with the protocols of net.fleet_protocols.

    Attributes:
        protocol: the member's state and decisions.
        watchers: callbacks that are called after each change of the view.
        receivers: callbacks for other subsystems' datagrams, by port.
        metadata: published bytes of other subsystems, by port.
        reported_count: number of proxies that the policy uses.
    """

    def __init__(
        self,
        settings: FleetSettings,
        config: ProxyConfig,
        proxy: ProxyStatus,
        clock: Clock,
        keys: Sequence[bytes] = (),
    ) -> None:
        """Create the member without a socket, or raise ConfigError if its settings or name are invalid."""
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.proxy = proxy
        self.clock = clock
        self.configured_count = config.settings.proxy_count
        self.addresses = resolve_addresses(settings, config)
        self.protocol = MembershipProtocol(
            settings.name,
            make_record(config, self.addresses.address),
            self.addresses.seeds,
            make_timing(settings),
            config.seed,
            clock.monotonic(),
            clock.wall_time(),
            MessageAuthenticator(keys),
            self.addresses.broadcast_address,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_deadline = float("inf")
        self.watchers: list[Callable[[MembershipChange], None]] = []
        self.receivers: dict[int, Callable[[MemberKey, bytes], None]] = {}
        self.metadata: dict[int, bytes] = {}
        self.reported_count = self.configured_count
        self.was_settled = False
        self.datagram_limit = DatagramRateLimit()
        self.log_limit = LogLineLimit()
        self.stopped = False
        self.draining = False

    # Methods of net.endpoint_sources.Subsystem.
    def start(self) -> None:
        """Bind the socket and start to join; if the address is in use, retry until it is free.

        Raises:
            OSError: the socket can't be bound for another reason, such as an address of another machine.
        """
        self._bind(is_first_attempt=True)

    def stop(self) -> None:
        """Leave the fleet and close the socket."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.protocol.leave(self.clock.monotonic())
            self._apply_effects()
            self.transport.close()

    def reload(self, file: str) -> None:
        """Apply the times and `counts` of the changed operator's file.

        Raises:
            OperatorError: the file is invalid, or changes a setting that requires a restart.
        """
        settings = load(file).fleet
        if settings is None:
            raise OperatorError(
                [Problem(file, 1, "S109", "[fleet] is gone", "restart the proxy to turn the fleet off")]
            )
        for name in RESTART_SETTINGS:
            if getattr(settings, name) != getattr(self.settings, name):
                text = f"{name} of [fleet] can't change while the proxy runs"
                raise OperatorError([Problem(file, 1, "S109", text, "restart the proxy")])
        self.settings = settings
        timing = make_timing(settings)
        self.protocol.timing = timing
        self.protocol.table.timing = timing

    def drain(self) -> None:
        """Announce that this proxy is draining and will end."""
        self.draining = True
        self._refresh_status()

    # Properties and methods of net.fleet_protocols.MembershipView.
    @property
    def revision(self) -> int:
        """Number of changes of this view."""
        return self.protocol.table.revision

    @property
    def is_settled(self) -> bool:
        """Whether the view was stable for a while and all recently received digests equal its own."""
        return self.protocol.is_settled()

    @property
    def is_minority(self) -> bool:
        """Whether less than half of the known members that did not leave are live."""
        return self.protocol.is_minority

    @property
    def own_key(self) -> MemberKey:
        """Key of this member."""
        return self.protocol.key

    def members(self) -> list[FleetMember]:
        """Return all members of this view, including recorded dead and departed members."""
        table = self.protocol.table
        entries = [*table.entries.values(), *(tombstone.entry for tombstone in table.tombstones.values())]
        return [
            FleetMember(
                entry.key,
                entry.name,
                entry.record.tier,
                entry.record.zone,
                tuple(entry.incarnation),
                table.state(entry.key).value,
                entry.phase.name.lower(),
                unpack_metadata(entry.metadata),
            )
            for entry in entries
        ]

    def watch(self, callback: Callable[[MembershipChange], None]) -> None:
        """Register a callback that is called after each change of the view."""
        self.watchers.append(callback)

    # Methods of net.fleet_protocols.DatagramChannel.
    def send(self, port: int, data: bytes, to: MemberKey | None = None) -> bool:
        """Send a datagram to one member or to all; return whether the data fits and there is a recipient."""
        sent = self.protocol.send_user_data(self.clock.monotonic(), to, port, data)
        self._apply_effects()
        return sent

    def receive(self, port: int, callback: Callable[[MemberKey, bytes], None]) -> None:
        """Register a callback for datagrams to this port; it receives the sender's key and the data."""
        self.receivers[port] = callback

    # Methods of net.fleet_protocols.MetadataPublisher.
    def publish(self, port: int, data: bytes) -> None:
        """Publish this subsystem's bytes with this member's entry; empty bytes remove them.

        Raises:
            ValueError: the port is out of range, or the values of all ports together are too long.
        """
        values = {**self.metadata, port: data}
        if not data:
            del values[port]
        packed = pack_metadata(values)
        if port not in USER_PORTS or len(packed) > MAX_METADATA_BYTES:
            raise ValueError(
                f"metadata allows ports 1 to 255 and {MAX_METADATA_BYTES} bytes in all, not {len(packed)}"
            )
        self.metadata = values
        self.protocol.announce(self.clock.monotonic(), metadata=packed)
        self._apply_effects()

    # The socket.
    def _bind(self, is_first_attempt: bool = False) -> None:
        if self.stopped:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(self.addresses.listen)
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            if is_first_attempt:
                log.warning(
                    "listen_address_in_use address=%s:%d retry_s=%.1f",
                    *self.addresses.listen,
                    REBIND_INTERVAL_S,
                )
            self.loop.call_later(REBIND_INTERVAL_S, self._bind)
            return
        self.open_task = self.loop.create_task(self._open(sock))

    async def _open(self, sock: socket.socket) -> None:
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the protocol after the socket has been bound."""
        if self.stopped:
            transport.close()
            return
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._refresh_status()
        self._on_timer()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Stop sending, because the socket has been closed."""
        self.transport = None

    def error_received(self, exc: Exception) -> None:
        """Ignore that no process listens at a member's address, because the probes detect that, too."""

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram to the protocol, unless a rate limit or its source address forbids that."""
        now = self.clock.monotonic()
        rejection = self._reject(data, addr, now)
        if rejection:
            self.protocol.counters.count_rejected(rejection)
            return
        source = (addr[0], addr[1])
        self.protocol.receive_datagram(now, self.addresses.placeholder_by_address.get(source, source), data)
        self._apply_effects()

    def _reject(self, data: bytes, addr: tuple[str | Any, int], now: float) -> str:
        """Return the reason for dropping a datagram unread; empty if the datagram is read."""
        host = addr[0]
        if not self.datagram_limit.count(now):
            return "too many per second"
        if len(data) > MAX_DATAGRAM_BYTES:
            return "malformed"
        if not self.datagram_limit.count_source(host):
            return "too many per second from one address"
        is_local_query = len(data) > 1 and data[1] == MessageType.VIEW_REQUEST and self._is_local(host)
        if not is_local_query and not self.addresses.is_admitted((host, addr[1])):
            return "from an address that is not admitted"
        return ""

    def _is_local(self, host: str) -> bool:
        """Return whether a host is the member's own machine, from which its view may be requested."""
        return host.startswith("127.") or host == self.addresses.listen[0]

    def _on_timer(self) -> None:
        self.timer = None
        self.timer_deadline = float("inf")
        if self.transport is None:
            return
        self.protocol.tick(self.clock.monotonic())
        self._apply_effects()

    # Effects of the protocol.
    def _apply_effects(self) -> None:
        effects = self.protocol.take_effects()
        if self.transport is not None:
            for address, data in effects.datagrams:
                self.transport.sendto(data, self.addresses.address_by_placeholder.get(address, address))
        for change in effects.changes:
            self._log_limited(describe_change(change, self.protocol))
            for callback in self.watchers:
                callback(change)
        for line in effects.log_lines:
            self._log_limited(line)
        for sender, port, data in effects.deliveries:
            receiver = self.receivers.get(port)
            if receiver is not None:
                receiver(sender, data)
        if effects.changes:
            self._update_proxy_count()
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        deadline = self.protocol.next_timer_at
        if self.transport is None or self.stopped or deadline >= self.timer_deadline:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_deadline = deadline
        self.timer = self.loop.call_later(max(0.0, deadline - self.clock.monotonic()), self._on_timer)

    def _refresh_status(self) -> None:
        """Announce the proxy's phase and load, and update its number of proxies; repeats once per period."""
        if self.stopped or self.transport is None:
            return
        self.protocol.load = LoadSummary(
            min(MAX_LOAD_TENTHS, int(self.proxy.load * MAX_LOAD_TENTHS)),
            self.proxy.list_version % LIST_VERSION_MODULUS,
        )
        self.protocol.announce(self.clock.monotonic(), phase=self._service_phase())
        self._apply_effects()
        self._update_proxy_count()
        if not self.draining:
            self.loop.call_later(self.settings.period, self._refresh_status)

    def _service_phase(self) -> ServicePhase:
        if self.draining:
            return ServicePhase.DRAINING
        return ServicePhase.SERVING if self.proxy.is_ready else ServicePhase.STARTING

    def _update_proxy_count(self) -> None:
        settled = self.protocol.is_settled()
        if settled and not self.was_settled:
            table = self.protocol.table
            self._log_limited(log_lines.view_settled(len(table), table.digest, table.revision))
        self.was_settled = settled
        if not self.settings.counts:
            return
        live_count = self.protocol.serving_member_count()
        count = effective_proxy_count(
            self.configured_count, live_count, settled, self.protocol.is_minority, self.reported_count
        )
        if count != self.reported_count:
            self._log_limited(log_lines.proxy_count_changed(self.reported_count, count))
            self.reported_count = count
            self.proxy.set_proxy_count(count)

    def _log_limited(self, line: LogLine) -> None:
        dropped = self.log_limit.start_window(self.clock.monotonic())
        if dropped:
            log.warning("log_lines_dropped count=%d window_s=%.0f", dropped, LOG_WINDOW_S)
        if self.log_limit.count():
            # Each line is its own template, so that the log's limit per template does not drop the line.
            log.log(line.level, line.text)


def make_timing(settings: FleetSettings) -> ProtocolTiming:
    """Return the protocol's times from the operator's file."""
    return ProtocolTiming(settings.period, settings.suspicion, settings.memory)


def describe_change(change: MembershipChange, protocol: MembershipProtocol) -> LogLine:
    """Return the log line of a change: the member, the sender of the update, and the reason."""
    entry = change.entry
    source_entry = protocol.table.find(change.source)
    if change.source == protocol.key:
        source = protocol.record.name
    else:
        source = source_entry.name if source_entry is not None else change.source.hex()
    return log_lines.member_state_changed(
        change.revision,
        change.at,
        entry.name,
        change.before.value,
        change.after.value,
        str(entry.incarnation),
        source,
        change.reason,
    )
