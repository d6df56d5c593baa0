"""The fleet's socket: datagrams and timers to the core, and what it decides back out; log lines; the seam to
the driver. The only file of the package that does I/O in a proxy.
"""

from __future__ import annotations

import asyncio
import errno
import ipaddress
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol, cast

from service_proxy.clock import Clock
from service_proxy.fleet.authentication import MessageAuthenticator
from service_proxy.fleet.member_table import MembershipChange
from service_proxy.fleet.members import (
    MAX_LABEL_BYTES,
    MAX_METADATA_BYTES,
    MAX_NAME_BYTES,
    Address,
    MemberKey,
    MemberRecord,
    ServicePhase,
)
from service_proxy.fleet.protocol import MembershipProtocol
from service_proxy.fleet.proxy_count import effective_proxy_count
from service_proxy.fleet.timing import ProtocolTiming
from service_proxy.fleet.wire import LIST_VERSION_MODULUS, MAX_DATAGRAM_BYTES, LoadSummary, MessageType
from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.endpoint_list import parse_address as address_of
from service_proxy.net.fleet_protocols import FleetMember
from service_proxy.operator_file import Fleet as Settings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger("service_proxy.fleet")

MAX_DATAGRAMS_PER_S = 4000  # datagrams that are looked at; those over it are dropped unread
MAX_DATAGRAMS_PER_SOURCE_PER_S = 1000  # of these from one address
MAX_TRACKED_SOURCES = 4096  # addresses that are counted within a second
MAX_LOG_LINES = 1000  # of the log in LOG_SPAN: after a partition of 40 members each says some 200
LOG_WINDOW_S = 10.0  # s
REBIND_INTERVAL_S = 0.1  # s between tries for a socket that an earlier process of this name still holds
RECEIVE_BUFFER_BYTES = (
    1 << 20
)  # bytes that are asked of the kernel for datagrams that wait; it may grant less
USER_PORTS = range(1, 256)  # of the parts that stand on the fleet


class ProxyStatus(Protocol):
    """What the fleet wants of the driver."""

    @property
    def load(self) -> float: ...

    @property
    def list_version(self) -> int: ...

    @property
    def is_ready(self) -> bool: ...

    def set_proxy_count(self, count: int) -> None: ...


def peer_address(number: int) -> Address:
    """What members call the proxy of this number in `peers`: each sees it at an address of its own, so none
    of these means anything to others. Of 0.0.0.0/8, where nobody is (RFC 1122, 3.2.1.3)."""
    return f"0.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 1


class NetworkAddresses:
    """Where a member is on the network, where others may be, and what they are called among members."""

    def __init__(
        self,
        listen: Address,
        address: Address,
        peers: Sequence[Address],
        members: Sequence[Address],
        networks: Sequence[str],
        broadcast_address: Address | None = None,
    ) -> None:
        self.broadcast_address = broadcast_address
        self.listen = listen
        self.address = address
        self.address_of_peer = {peer_address(number): peer for number, peer in enumerate(peers)}
        self.peer_at_address = {peer: called for called, peer in self.address_of_peer.items()}
        self.seeds = tuple(dict.fromkeys((*self.address_of_peer, *members)))
        self.networks = [ipaddress.IPv4Network(network) for network in networks]
        self.admitted_hosts: dict[str, bool] = {}

    def is_admitted(self, source: Address) -> bool:
        """Where the platform names peers, these alone, else who is in the networks."""
        if self.address_of_peer:
            return source in self.peer_at_address or source in self.seeds
        admitted = self.admitted_hosts.get(source[0])
        if admitted is None:
            host = ipaddress.IPv4Address(source[0])
            if len(self.admitted_hosts) >= MAX_TRACKED_SOURCES:
                self.admitted_hosts.clear()
            admitted = self.admitted_hosts[source[0]] = any(host in network for network in self.networks)
        return admitted


def resolve_addresses(settings: Settings, config: ProxyConfig) -> NetworkAddresses:
    """From the operator's file and the platform's configuration. Raises ConfigError."""
    try:
        peers = config.peers
    except ValueError as fault:
        raise ConfigError(f"bad configuration: {fault}") from None
    own = settings.own_network
    listen = address_of(settings.listen) if settings.listen else None if own else peers.listen
    if listen is None:
        raise ConfigError("[fleet] has no `listen`, and the platform names no peer_listen")
    address = address_of(settings.address) if settings.address else listen
    named = () if own else peers.members
    if config.settings.proxy_index < len(named) and not settings.address:
        address = peer_address(config.settings.proxy_index)
    members = [address_of(text) for text in settings.members]
    return NetworkAddresses(
        listen, address, named, members, settings.networks, None if own else peers.broadcast
    )


def make_record(config: ProxyConfig, address: Address) -> MemberRecord:
    """Raises ConfigError where the name is too long for a datagram."""
    name = config.name or f"{config.listen[0]}:{config.listen[1]}"
    tier = config.tier_name
    for text, max_bytes in (
        (name, MAX_NAME_BYTES),
        (tier, MAX_LABEL_BYTES),
        (config.settings.zone, MAX_LABEL_BYTES),
    ):
        if len(text.encode()) > max_bytes:
            raise ConfigError(f"[fleet] takes names of up to {max_bytes} bytes, and {text!r} is longer")
    return MemberRecord(name, address, tier, config.settings.zone)


class FleetService(asyncio.DatagramProtocol):
    """net.endpoint_sources.Subsystem, and what net.fleet_protocols names, for the parts that stand on it."""

    def __init__(
        self,
        settings: Settings,
        config: ProxyConfig,
        proxy: ProxyStatus,
        clock: Clock,
        keys: Sequence[bytes] = (),
    ) -> None:
        """Raises ConfigError."""
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
        self.rate_window_start = 0.0  # of the counts below
        self.datagrams_in_window = 0
        self.datagrams_by_source: dict[str, int] = {}
        self.log_lines_in_window = 0
        self.log_window_start = 0.0
        self.stopped = False
        self.draining = False

    # net.endpoint_sources.Subsystem
    def start(self) -> None:
        """Raises OSError where the address is none of this machine's."""
        self._bind(True)

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.protocol.leave(self.clock.monotonic())
            self._apply_effects()
            self.transport.close()

    def reload(self, file: str) -> None:
        """Times and `counts` may change; the rest wants a restart."""
        settings = load(file).fleet
        if settings is None:
            raise OperatorError(
                [Problem(file, 1, "S109", "[fleet] is gone", "start the proxy anew to turn it off")]
            )
        for name in ("name", "listen", "address", "members", "networks", "own_network"):
            if getattr(settings, name) != getattr(self.settings, name):
                text = f"{name} of [fleet] can't change while the proxy runs"
                raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])
        self.settings = settings
        self.protocol.timing = self.protocol.table.timing = make_timing(settings)

    def drain(self) -> None:
        """It takes no new calls soon, and ends."""
        self.draining = True
        self._refresh_status()

    # net.fleet_protocols.MembershipView
    @property
    def revision(self) -> int:
        return self.protocol.table.revision

    @property
    def is_settled(self) -> bool:
        return self.protocol.is_settled()

    @property
    def is_minority(self) -> bool:
        return self.protocol.is_minority

    @property
    def own_key(self) -> MemberKey:
        return self.protocol.key

    def members(self) -> list[FleetMember]:
        table = self.protocol.table
        entries = [*table.entries.values(), *(gone.entry for gone in table.tombstones.values())]
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
        self.watchers.append(callback)

    # net.fleet_protocols.DatagramChannel
    def send(self, port: int, data: bytes, to: MemberKey | None = None) -> bool:
        sent = self.protocol.send_user_data(self.clock.monotonic(), to, port, data)
        self._apply_effects()
        return sent

    def receive(self, port: int, callback: Callable[[MemberKey, bytes], None]) -> None:
        self.receivers[port] = callback

    # net.fleet_protocols.MetadataPublisher
    def publish(self, port: int, data: bytes) -> None:
        words = {**self.metadata, port: data}
        if not data:
            del words[port]
        word = pack_metadata(words)
        if port not in USER_PORTS or len(word) > MAX_METADATA_BYTES:
            raise ValueError(
                f"a member's word has {MAX_METADATA_BYTES} bytes in all, and this makes {len(word)}"
            )
        self.metadata = words
        self.protocol.announce(self.clock.monotonic(), metadata=word)
        self._apply_effects()

    # the socket
    def _bind(self, first: bool = False) -> None:
        if self.stopped:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(self.addresses.listen)
        except OSError as fault:
            sock.close()
            if fault.errno != errno.EADDRINUSE:
                raise
            if first:
                log.warning("%s:%d is in use: joins once it is free", *self.addresses.listen)
            self.loop.call_later(REBIND_INTERVAL_S, self._bind)
            return
        self.opening = self.loop.create_task(self._open(sock))

    async def _open(self, sock: socket.socket) -> None:
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self.stopped:
            transport.close()
            return
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._refresh_status()
        self._tick()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def error_received(self, exc: Exception) -> None:
        """A member's machine says that nobody listens there: its probes tell that as well."""

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now = self.clock.monotonic()
        counts = self.protocol.counters
        if not 0 <= now - self.rate_window_start < 1.0:
            self.rate_window_start = now
            self.datagrams_in_window = 0
            self.datagrams_by_source.clear()
        self.datagrams_in_window += 1
        if self.datagrams_in_window > MAX_DATAGRAMS_PER_S:
            counts.count_rejected("too many in a second")
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            counts.count_rejected("malformed")
            return
        host = addr[0]
        source = (addr[0], addr[1])
        if len(self.datagrams_by_source) < MAX_TRACKED_SOURCES or host in self.datagrams_by_source:
            mine = self.datagrams_by_source[host] = self.datagrams_by_source.get(host, 0) + 1
            if mine > MAX_DATAGRAMS_PER_SOURCE_PER_S:
                counts.count_rejected("too many in a second from one address")
                return
        staff = len(data) > 1 and data[1] == MessageType.VIEW_REQUEST and self._is_local_query(host)
        if not staff and not self.addresses.is_admitted(source):
            counts.count_rejected("from an address that is no member's")
            return
        self.protocol.receive_datagram(now, self.addresses.peer_at_address.get(source, source), data)
        self._apply_effects()

    def _is_local_query(self, host: str) -> bool:
        """Staff ask from the member's own machine; from a member's they are let in as it is."""
        return host.startswith("127.") or host == self.addresses.listen[0]

    def _tick(self) -> None:
        self.timer, self.timer_deadline = None, float("inf")
        if self.transport is None:
            return
        self.protocol.tick(self.clock.monotonic())
        self._apply_effects()

    def _apply_effects(self) -> None:
        """Carries out what the core has decided."""
        effects = self.protocol.take_effects()
        if self.transport is not None:
            for address, data in effects.datagrams:
                self.transport.sendto(data, self.addresses.address_of_peer.get(address, address))
        for change in effects.changes:
            self._log_limited(describe_change(change, self.protocol))
            for callback in self.watchers:
                callback(change)
        for note in effects.log_lines:
            self._log_limited(note)
        for sender, port, data in effects.deliveries:
            receiver = self.receivers.get(port)
            if receiver is not None:
                receiver(sender, data)
        if effects.changes:
            self._update_proxy_count()
        deadline = self.protocol.next_timer_at
        if self.transport is not None and not self.stopped and deadline < self.timer_deadline:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_deadline = deadline
            self.timer = self.loop.call_later(max(0.0, deadline - self.clock.monotonic()), self._tick)

    def _refresh_status(self) -> None:
        """Once a period: what the proxy has to say of itself, and what the module is owed."""
        if self.stopped or self.transport is None:
            return
        phase = (
            ServicePhase.DRAINING
            if self.draining
            else ServicePhase.SERVING
            if self.proxy.is_ready
            else ServicePhase.STARTING
        )
        self.protocol.load = LoadSummary(
            min(10, int(self.proxy.load * 10)), self.proxy.list_version % LIST_VERSION_MODULUS
        )
        self.protocol.announce(self.clock.monotonic(), phase=phase)
        self._apply_effects()
        self._update_proxy_count()
        if not self.draining:
            self.loop.call_later(self.settings.period, self._refresh_status)

    def _update_proxy_count(self) -> None:
        settled = self.protocol.is_settled()
        if settled and not self.was_settled:
            table = self.protocol.table
            self._log_limited(
                f"settled: {len(table)} live, view {table.digest:016x}, change {table.revision}"
            )
        self.was_settled = settled
        if not self.settings.counts:
            return
        living = self.protocol.serving_member_count()
        count = effective_proxy_count(
            self.configured_count, living, settled, self.protocol.is_minority, self.reported_count
        )
        if count != self.reported_count:
            self._log_limited(
                f"the module goes by {count} proxies before these servers, {self.reported_count} before"
            )
            self.reported_count = count
            self.proxy.set_proxy_count(count)

    def _log_limited(self, line: str) -> None:
        now = self.clock.monotonic()
        if not 0 <= now - self.log_window_start < LOG_WINDOW_S:
            if self.log_lines_in_window > MAX_LOG_LINES:
                log.warning("%d lines were left out", self.log_lines_in_window - MAX_LOG_LINES)
            self.log_window_start = now
            self.log_lines_in_window = 0
        self.log_lines_in_window += 1
        if self.log_lines_in_window <= MAX_LOG_LINES:
            log.info(line)  # each is a template of its own, so that the log's bound on repeats passes it


def make_timing(settings: Settings) -> ProtocolTiming:
    return ProtocolTiming(settings.period, settings.suspicion, settings.memory)


def describe_change(change: MembershipChange, core: MembershipProtocol) -> str:
    """One line: what, of whom, by whose word, why."""
    entry = change.entry
    held = core.table.find(change.source)
    teller = core.record.name if change.source == core.key else held.name if held else change.source.hex()
    return (
        f"change {change.revision} at {change.at:.3f}: {entry.name} {change.before.value} -> "
        f"{change.after.value}, {entry.incarnation}, told by {teller}: {change.reason}"
    )


def pack_metadata(values: dict[int, bytes]) -> bytes:
    return b"".join(bytes((port, len(data))) + data for port, data in sorted(values.items()))


def unpack_metadata(metadata: bytes) -> dict[int, bytes]:
    """What parts said, by port; what can't be read is nothing."""
    values = {}
    at = 0
    while at + 2 <= len(metadata):
        port = metadata[at]
        size = metadata[at + 1]
        if at + 2 + size > len(metadata):
            break
        values[port] = metadata[at + 2 : at + 2 + size]
        at += 2 + size
    return values
