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
from service_proxy.fleet.core import Core
from service_proxy.fleet.entries import MOST_LABEL, MOST_NAME, MOST_WORD, Address, Key, Phase, Record
from service_proxy.fleet.guard import Seals
from service_proxy.fleet.share import instances
from service_proxy.fleet.table import Change
from service_proxy.fleet.timing import Timing
from service_proxy.fleet.wire import MOST_DATAGRAM, MOST_LIST, Figures, Kind
from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.endpoint_list import parse_address as address_of
from service_proxy.net.fleet_protocols import FleetMember
from service_proxy.operator_file import Fleet as Settings
from service_proxy.operator_file import OperatorError, Problem, load

log = logging.getLogger("service_proxy.fleet")

MOST_PER_S = 4000  # datagrams that are looked at; those over it are dropped unread
MOST_PER_SOURCE = 1000  # of these from one address
MOST_SOURCES = 4096  # addresses that are counted within a second
MOST_LINES = 1000  # of the log in LOG_SPAN: after a partition of 40 members each says some 200
LOG_SPAN = 10.0  # s
REBIND = 0.1  # s between tries for a socket that an earlier process of this name still holds
BUFFER = 1 << 20  # bytes that are asked of the kernel for datagrams that wait; it may grant less
PORTS = range(1, 256)  # of the parts that stand on the fleet


class Proxied(Protocol):
    """What the fleet wants of the driver."""

    @property
    def load(self) -> float: ...

    @property
    def list_version(self) -> int: ...

    @property
    def is_ready(self) -> bool: ...

    def set_proxy_count(self, count: int) -> None: ...


def numbered(number: int) -> Address:
    """What members call the proxy of this number in `peers`: each sees it at an address of its own, so none
    of these means anything to others. Of 0.0.0.0/8, where nobody is (RFC 1122, 3.2.1.3)."""
    return f"0.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 1


class Place:
    """Where a member is on the network, where others may be, and what they are called among members."""

    def __init__(
        self,
        listen: Address,
        address: Address,
        peers: Sequence[Address],
        members: Sequence[Address],
        networks: Sequence[str],
        everyone: Address | None = None,
    ) -> None:
        self.everyone = everyone
        self.listen = listen
        self.address = address
        self.to = {numbered(number): peer for number, peer in enumerate(peers)}
        self.of = {peer: called for called, peer in self.to.items()}
        self.seeds = tuple(dict.fromkeys((*self.to, *members)))
        self.networks = [ipaddress.IPv4Network(network) for network in networks]
        self.known: dict[str, bool] = {}

    def admits(self, source: Address) -> bool:
        """Where the platform names peers, these alone, else who is in the networks."""
        if self.to:
            return source in self.of or source in self.seeds
        admitted = self.known.get(source[0])
        if admitted is None:
            host = ipaddress.IPv4Address(source[0])
            if len(self.known) >= MOST_SOURCES:
                self.known.clear()
            admitted = self.known[source[0]] = any(host in network for network in self.networks)
        return admitted


def place_of(settings: Settings, config: ProxyConfig) -> Place:
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
        address = numbered(config.settings.proxy_index)
    members = [address_of(text) for text in settings.members]
    return Place(listen, address, named, members, settings.networks, None if own else peers.broadcast)


def record_of(config: ProxyConfig, address: Address) -> Record:
    """Raises ConfigError where the name is too long for a datagram."""
    name = config.name or f"{config.listen[0]}:{config.listen[1]}"
    tier = config.tier_name
    for text, most in ((name, MOST_NAME), (tier, MOST_LABEL), (config.settings.zone, MOST_LABEL)):
        if len(text.encode()) > most:
            raise ConfigError(f"[fleet] takes names of up to {most} bytes, and {text!r} is longer")
    return Record(name, address, tier, config.settings.zone)


class Fleet(asyncio.DatagramProtocol):
    """net.endpoint_sources.Subsystem, and what net.fleet_protocols names, for the parts that stand on it."""

    def __init__(
        self,
        settings: Settings,
        config: ProxyConfig,
        driver: Proxied,
        clock: Clock,
        keys: Sequence[bytes] = (),
    ) -> None:
        """Raises ConfigError."""
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.driver = driver
        self.clock = clock
        self.by_settings = config.settings.proxy_count
        self.place = place_of(settings, config)
        self.core = Core(
            settings.name,
            record_of(config, self.place.address),
            self.place.seeds,
            timing_of(settings),
            config.seed,
            clock.monotonic(),
            clock.wall_time(),
            Seals(keys),
            self.place.everyone,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timed = float("inf")
        self.watchers: list[Callable[[Change], None]] = []
        self.receivers: dict[int, Callable[[Key, bytes], None]] = {}
        self.words: dict[int, bytes] = {}
        self.told = self.by_settings
        self.was_settled = False
        self.since = 0.0  # of the counts below
        self.looked_at = 0
        self.sources: dict[str, int] = {}
        self.lines = 0
        self.lines_since = 0.0
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
            self.core.leave(self.clock.monotonic())
            self._after()
            self.transport.close()

    def reload(self, file: str) -> None:
        """Times and `counts` may change; the rest wants a restart."""
        found = load(file).fleet
        if found is None:
            raise OperatorError(
                [Problem(file, 1, "S109", "[fleet] is gone", "start the proxy anew to turn it off")]
            )
        for name in ("name", "listen", "address", "members", "networks", "own_network"):
            if getattr(found, name) != getattr(self.settings, name):
                text = f"{name} of [fleet] can't change while the proxy runs"
                raise OperatorError([Problem(file, 1, "S109", text, "start the proxy anew")])
        self.settings = found
        self.core.timing = self.core.table.timing = timing_of(found)

    def drain(self) -> None:
        """It takes no new calls soon, and ends."""
        self.draining = True
        self._look()

    # net.fleet_protocols.MembershipView
    @property
    def revision(self) -> int:
        return self.core.table.stamp

    @property
    def is_settled(self) -> bool:
        return self.core.settled()

    @property
    def is_minority(self) -> bool:
        return self.core.minority

    @property
    def own_key(self) -> Key:
        return self.core.key

    def members(self) -> list[FleetMember]:
        table = self.core.table
        held = [*table.entries.values(), *(gone.entry for gone in table.gone.values())]
        return [
            FleetMember(
                entry.key,
                entry.name,
                entry.record.tier,
                entry.record.zone,
                tuple(entry.incarnation),
                table.state(entry.key).value,
                entry.phase.name.lower(),
                unpack_words(entry.word),
            )
            for entry in held
        ]

    def watch(self, callback: Callable[[Change], None]) -> None:
        self.watchers.append(callback)

    # net.fleet_protocols.DatagramChannel
    def send(self, port: int, data: bytes, to: Key | None = None) -> bool:
        sent = self.core.send(self.clock.monotonic(), to, port, data)
        self._after()
        return sent

    def receive(self, port: int, callback: Callable[[Key, bytes], None]) -> None:
        self.receivers[port] = callback

    # net.fleet_protocols.MetadataPublisher
    def publish(self, port: int, data: bytes) -> None:
        words = {**self.words, port: data}
        if not data:
            del words[port]
        word = pack_words(words)
        if port not in PORTS or len(word) > MOST_WORD:
            raise ValueError(f"a member's word has {MOST_WORD} bytes in all, and this makes {len(word)}")
        self.words = words
        self.core.say(self.clock.monotonic(), word=word)
        self._after()

    # the socket
    def _bind(self, first: bool = False) -> None:
        if self.stopped:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(self.place.listen)
        except OSError as fault:
            sock.close()
            if fault.errno != errno.EADDRINUSE:
                raise
            if first:
                log.warning("%s:%d is in use: joins once it is free", *self.place.listen)
            self.loop.call_later(REBIND, self._bind)
            return
        self.opening = self.loop.create_task(self._open(sock))

    async def _open(self, sock: socket.socket) -> None:
        await self.loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self.stopped:
            transport.close()
            return
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._look()
        self._tick()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def error_received(self, exc: Exception) -> None:
        """A member's machine says that nobody listens there: its probes tell that as well."""

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        now = self.clock.monotonic()
        counts = self.core.counts
        if not 0 <= now - self.since < 1.0:
            self.since = now
            self.looked_at = 0
            self.sources.clear()
        self.looked_at += 1
        if self.looked_at > MOST_PER_S:
            counts.refuse("too many in a second")
            return
        if len(data) > MOST_DATAGRAM:
            counts.refuse("malformed")
            return
        host = addr[0]
        source = (addr[0], addr[1])
        if len(self.sources) < MOST_SOURCES or host in self.sources:
            mine = self.sources[host] = self.sources.get(host, 0) + 1
            if mine > MOST_PER_SOURCE:
                counts.refuse("too many in a second from one address")
                return
        staff = len(data) > 1 and data[1] == Kind.VIEW and self._near(host)
        if not staff and not self.place.admits(source):
            counts.refuse("from an address that is no member's")
            return
        self.core.datagram(now, self.place.of.get(source, source), data)
        self._after()

    def _near(self, host: str) -> bool:
        """Staff ask from the member's own machine; from a member's they are let in as it is."""
        return host.startswith("127.") or host == self.place.listen[0]

    def _tick(self) -> None:
        self.timer, self.timed = None, float("inf")
        if self.transport is None:
            return
        self.core.tick(self.clock.monotonic())
        self._after()

    def _after(self) -> None:
        """Carries out what the core has decided."""
        taken = self.core.take()
        if self.transport is not None:
            for address, data in taken.out:
                self.transport.sendto(data, self.place.to.get(address, address))
        for change in taken.changes:
            self._log(described(change, self.core))
            for callback in self.watchers:
                callback(change)
        for note in taken.notes:
            self._log(note)
        for sender, port, data in taken.deliveries:
            receiver = self.receivers.get(port)
            if receiver is not None:
                receiver(sender, data)
        if taken.changes:
            self._count()
        due = self.core.due
        if self.transport is not None and not self.stopped and due < self.timed:
            if self.timer is not None:
                self.timer.cancel()
            self.timed = due
            self.timer = self.loop.call_later(max(0.0, due - self.clock.monotonic()), self._tick)

    def _look(self) -> None:
        """Once a period: what the proxy has to say of itself, and what the module is owed."""
        if self.stopped or self.transport is None:
            return
        phase = Phase.DRAINING if self.draining else Phase.SERVING if self.driver.is_ready else Phase.STARTING
        self.core.figures = Figures(min(10, int(self.driver.load * 10)), self.driver.list_version % MOST_LIST)
        self.core.say(self.clock.monotonic(), phase=phase)
        self._after()
        self._count()
        if not self.draining:
            self.loop.call_later(self.settings.period, self._look)

    def _count(self) -> None:
        settled = self.core.settled()
        if settled and not self.was_settled:
            table = self.core.table
            self._log(f"settled: {len(table)} live, view {table.digest:016x}, change {table.stamp}")
        self.was_settled = settled
        if not self.settings.counts:
            return
        living = self.core.instances()
        count = instances(self.by_settings, living, settled, self.core.minority, self.told)
        if count != self.told:
            self._log(f"the module goes by {count} proxies before these servers, {self.told} before")
            self.told = count
            self.driver.set_proxy_count(count)

    def _log(self, line: str) -> None:
        now = self.clock.monotonic()
        if not 0 <= now - self.lines_since < LOG_SPAN:
            if self.lines > MOST_LINES:
                log.warning("%d lines were left out", self.lines - MOST_LINES)
            self.lines_since = now
            self.lines = 0
        self.lines += 1
        if self.lines <= MOST_LINES:
            log.info(line)  # each is a template of its own, so that the log's bound on repeats passes it


def timing_of(settings: Settings) -> Timing:
    return Timing(settings.period, settings.suspicion, settings.memory)


def described(change: Change, core: Core) -> str:
    """One line: what, of whom, by whose word, why."""
    entry = change.entry
    held = core.table.held(change.teller)
    teller = core.record.name if change.teller == core.key else held.name if held else change.teller.hex()
    return (
        f"change {change.stamp} at {change.at:.3f}: {entry.name} {change.before.value} -> "
        f"{change.after.value}, {entry.incarnation}, told by {teller}: {change.reason}"
    )


def pack_words(words: dict[int, bytes]) -> bytes:
    return b"".join(bytes((port, len(data))) + data for port, data in sorted(words.items()))


def unpack_words(word: bytes) -> dict[int, bytes]:
    """What parts said, by port; what can't be read is nothing."""
    found = {}
    at = 0
    while at + 2 <= len(word):
        port = word[at]
        size = word[at + 1]
        if at + 2 + size > len(word):
            break
        found[port] = word[at + 2 : at + 2 + size]
        at += 2 + size
    return found
