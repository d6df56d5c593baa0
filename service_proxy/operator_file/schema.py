"""The tables of the operator's file: one frozen dataclass for each subsystem, and what contradicts what.

A table that is left out is None, and its subsystem is not imported. Times are in seconds.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import Any

from service_proxy.operator_file.positions import Path
from service_proxy.operator_file.reader import OperatorError, TableReader, between, key, read_text

MAX_SERVERS = 9  # of an ensemble
MIN_MASS_LOSS_SHARE = 0.05  # share; below it a single node's end would be held for a mass loss


def _path(value: str) -> str | None:
    parts = value.split("/")
    if not value.startswith("/") or (value != "/" and any(part in ("", ".", "..") for part in parts[1:])):
        return "must be a path such as /zones/front, without an empty part"
    if any(ord(letter) < 0x20 or 0x7F <= ord(letter) <= 0x9F for letter in value):
        return "must hold no control characters"
    return None


def _chroot(value: str) -> str | None:
    return None if value == "" else _path(value)


def find_address_problem(value: str) -> str | None:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= 65535:
        return f"must hold host:port, not {value!r:.60}"
    return None


def _servers(value: tuple[str, ...]) -> str | None:
    if not 1 <= len(value) <= MAX_SERVERS:
        return f"must name 1 to {MAX_SERVERS} servers"
    if len(set(value)) != len(value):
        return "names a server twice"
    return next((fault for fault in map(find_address_problem, value) if fault), None)


def _watch(value: str) -> str | None:
    return None if value in ("auto", "persistent", "one-shot") else "must be auto, persistent or one-shot"


def _mark(value: str) -> str | None:
    return None if re.fullmatch(r"|[a-z][a-z0-9_-]{0,62}", value) else "must be a tier's name"


def _name(value: str) -> str | None:
    if not value or "/" in value or value in (".", "..") or any(ord(letter) < 0x20 for letter in value):
        return "must be a node's name, without / and control characters"
    return None


@dataclass(frozen=True, slots=True)
class Membership:
    """[membership]: ephemeral nodes of a coordination service as a source of servers."""

    servers: tuple[str, ...] = key(tuple, '["127.0.0.1:2181"]', check=_servers)
    path: str = key(str, '"/zones/front"', check=_path)
    chroot: str = key(str, '"/prod"', "", _chroot)
    session_timeout: float = key(float, "6.0", 6.0, between(0.2, 120))
    connect_timeout: float = key(float, "1.0", 1.0, between(0.05, 30))
    auth_file: str = key(str, '"auth" (a file that holds user:password)', "")
    read_only: bool = key(bool, "true", False)
    watch: str = key(str, '"auto"', "auto", _watch)
    reread_jitter: float = key(float, "0.5", 0.5, between(0, 60))
    reads_per_s: float = key(float, "200.0", 200.0, between(1, 10_000))
    mass_loss_share: float = key(float, "0.34", 0.34, between(MIN_MASS_LOSS_SHARE, 1))
    mass_loss_within: float = key(float, "10.0", 10.0, between(0.5, 600))
    snapshot: str = key(str, '"/var/lib/willowwing/nodes"', "")


@dataclass(frozen=True, slots=True)
class Registration:
    """[registration]: the node that the sidecar of this machine registers and keeps registered."""

    name: str = key(str, '"s-5be2a07c"', check=_name)
    address: str = key(str, '"10.1.0.18:8081"', check=find_address_problem)
    zone: str = key(str, '"a"', "")
    type: str = key(str, '"m2"', "")
    group: int = key(int, "3", 0, between(0, 1 << 31))
    weight: float = key(float, "1.0", 1.0, between(0, 1e6))
    drain: float = key(float, "2.0", 2.0, between(0, 600))


@dataclass(frozen=True, slots=True)
class Budgets:
    """[budgets]: time, attempts and worth that are passed down the chain of calls."""

    keys_file: str = key(str, '"/etc/willowwing/budget-keys" (a file with a line "ID HEX")')
    mark: str = key(str, '"front" (this tier; "edge" before the first)', "", _mark)
    edge: bool = key(bool, "true (callers are outside: what they say of budgets is stripped)", False)
    attempts: int = key(int, "12", 12, between(1, 9999))
    calls_per_request: int = key(int, "2", 2, between(1, 64))
    passes: int = key(int, "1", 1, between(1, 4))
    refuse_below_usual: bool = key(bool, "true", True)


def _routes(value: tuple[str, ...]) -> str | None:
    if any(not re.fullmatch(r"[A-Za-z0-9_-]{1,64}", name) for name in value):
        return "must hold first parts of paths: letters, digits, - and _"
    return "names one twice" if len(set(value)) != len(value) else None


def _origins(value: tuple[str, ...]) -> str | None:
    if any(not re.fullmatch(r"null|[a-z][a-z0-9+.-]*://[^/\s]{1,253}", name) for name in value):
        return "must hold origins such as https://kiosk.example, in small letters, without a path"
    return None


def _protocols(value: tuple[str, ...]) -> str | None:
    if any(not re.fullmatch(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}", name) for name in value):
        return "must hold tokens of 1 to 64 characters"
    return None


@dataclass(frozen=True, slots=True)
class WebSocket:
    """[websocket]: sessions of callers, as messages that are calls or as tunnels to a node."""

    messages: tuple[str, ...] = key(tuple, '["pantalla"] (first part of the path)', (), _routes)
    tunnels: tuple[str, ...] = key(tuple, '["vigia"] (a class that is safe to repeat)', (), _routes)
    origins: tuple[str, ...] = key(tuple, '["https://kiosk.example"]', (), _origins)
    subprotocols: tuple[str, ...] = key(tuple, '["calls.v1"]', (), _protocols)
    sessions: int = key(int, "256", 256, between(1, 100_000))
    sessions_per_client: int = key(int, "64 (of one address; 0: no such bound)", 0, between(0, 100_000))
    sessions_per_tenant: int = key(int, "64 (0: no such bound)", 0, between(0, 100_000))
    message_bytes: int = key(int, "65536", 64 * 1024, between(125, 64 * 1024))
    messages_per_s: float = key(float, "20.0", 20.0, between(0.01, 10_000))
    burst: float = key(float, "40.0", 40.0, between(1, 10_000))
    open_messages: int = key(int, "16", 16, between(1, 1024))
    unread_bytes: int = key(int, "262144", 256 * 1024, between(1024, 16 << 20))
    ping_every: float = key(float, "10.0", 10.0, between(0.2, 3600))
    ping_timeout: float = key(float, "5.0", 5.0, between(0.2, 600))
    resume_within: float = key(float, "10.0", 10.0, between(0.0, 300))
    reconnect_spread: float = key(float, "5.0", 5.0, between(0.1, 600))
    deflate: bool = key(bool, "true (permessage-deflate, from clients)", False)
    deflate_window_bits: int = key(int, "11", 11, between(9, 15))
    deflate_ratio: float = key(float, "50.0 (bytes unpacked for each that came)", 50.0, between(1, 1032))


def _address(value: str) -> str | None:
    return find_address_problem(value) if value else None


def _members(value: tuple[str, ...]) -> str | None:
    if len(set(value)) != len(value):
        return "names an address twice"
    return next((fault for fault in map(find_address_problem, value) if fault), None)


def _networks(value: tuple[str, ...]) -> str | None:
    for network in value:
        try:
            ipaddress.IPv4Network(network)
        except ValueError as fault:
            return f"must hold IPv4 networks such as 10.1.0.0/16: {fault}"
    return None


def _fleet_name(value: str) -> str | None:
    if not 1 <= len(value.encode()) <= 64 or not value.isprintable():
        return "must have 1 to 64 printable characters"
    return None


PRIVATE_NETWORKS = ("127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16")  # RFC 1918, RFC 1122


@dataclass(frozen=True, slots=True)
class Fleet:
    """[fleet]: a view of the fleet that its members keep themselves."""

    name: str = key(
        str, '"front-east" (the same at all its members, and no other fleet\'s)', check=_fleet_name
    )
    listen: str = key(str, '"10.0.0.4:7946" (else `peer_listen` of the platform)', "", _address)
    address: str = key(str, '"10.0.0.4:7946" (where others reach it, if elsewhere)', "", _address)
    members: tuple[str, ...] = key(tuple, '["10.0.0.4:7946", "10.0.0.5:7946"]', (), _members)
    networks: tuple[str, ...] = key(
        tuple, '["10.0.0.0/8"] (where members may be)', PRIVATE_NETWORKS, _networks
    )
    own_network: bool = key(bool, "true (no platform here whose word on peers counts)", False)
    period: float = key(float, "1.0", 1.0, between(0.05, 60))
    suspicion: float = key(float, "3.0 (periods, of a fleet of up to 9)", 3.0, between(0.1, 60))
    memory: float = key(float, "600.0", 600.0, between(1, 86_400))
    counts: bool = key(bool, "true (who lives counts in place of the settings' number)", True)


def _folder(value: str) -> str | None:
    return None if not value or value.startswith("/") else "must be a path from the root"


@dataclass(frozen=True, slots=True)
class Recovery:
    """[recovery]: what is kept over this process's end, and how service returns after a power loss."""

    store: str = key(str, '"/var/lib/willowwing/p0" (a folder of this proxy\'s own)', "", _folder)
    machine_mark: str = key(str, '"/etc/machine-id" (the same for one machine)', "/etc/machine-id", _folder)
    boot_mark: str = key(
        str,
        '"/proc/sys/kernel/random/boot_id" (another after each boot)',
        "/proc/sys/kernel/random/boot_id",
        _folder,
    )


@dataclass(frozen=True, slots=True)
class Operator:
    """The whole file. `file` is where it came from."""

    file: str
    membership: Membership | None = None
    registration: Registration | None = None
    budgets: Budgets | None = None
    websocket: WebSocket | None = None
    fleet: Fleet | None = None
    recovery: Recovery | None = None


TABLES: dict[str, type] = {
    "membership": Membership,
    "registration": Registration,
    "budgets": Budgets,
    "websocket": WebSocket,
    "fleet": Fleet,
    "recovery": Recovery,
}


def load(file: str) -> Operator:
    """Raises OperatorError, with all problems of the file."""
    text, raw = read_text(file)
    reader = TableReader(file, text)
    tables: dict[str, Any] = {}
    for name, value in raw.items():
        cls = TABLES.get(name)
        if cls is None:
            known = ", ".join(f"[{table}]" for table in TABLES)
            reader.add_problem(
                (name,), "S102", f"unknown table or key {name}", f"leave it out; known are {known}"
            )
        else:
            tables[name] = reader.read_table(cls, value, (name,))
    membership = tables.get("membership")
    check_membership(reader, membership, ("membership",))
    if tables.get("registration") is not None and (membership is not None or "membership" not in raw):
        check_registration(reader, membership, ("membership",), ("registration",))
    check_websocket(reader, tables.get("websocket"), ("websocket",))
    check_fleet(reader, tables.get("fleet"), ("fleet",))
    if reader.problems:
        raise OperatorError(reader.problems)
    return Operator(file, **tables)


def check_membership(reader: TableReader, membership: object, path: Path) -> None:
    """What a table [membership] at this path holds that can't all be so."""
    if not isinstance(membership, Membership):
        return
    if membership.connect_timeout >= membership.session_timeout:
        reader.add_problem(
            (*path, "connect_timeout"),
            "S107",
            "connect_timeout is not below session_timeout: sessions end before a second server is tried",
            f"write a connect_timeout of at most {membership.session_timeout / 3:g}",
        )
    if membership.reread_jitter > 1.5:
        reader.add_problem(
            (*path, "reread_jitter"),
            "S107",
            "reread_jitter takes the 2 s in which a lost node must get its last call",
            "write reread_jitter = 1.5 or less",
        )


def check_registration(reader: TableReader, membership: object, of: Path, path: Path) -> None:
    """What a table [registration] at this path and the [membership] at `of` can't both say."""
    if membership is None:
        reader.add_problem(
            path,
            "S107",
            f"[{'.'.join(path)}] without [{'.'.join(of)}]: there is no service to register with",
            f"write a table [{'.'.join(of)}] with servers and path",
        )
    elif isinstance(membership, Membership) and membership.read_only:
        reader.add_problem(
            (*of, "read_only"),
            "S107",
            f"read_only = true with [{'.'.join(path)}]: a read-only server takes no registration",
            "write read_only = false",
        )


def check_websocket(reader: TableReader, table: object, path: Path) -> None:
    """What a table [websocket] at this path holds that can't all be so."""
    if not isinstance(table, WebSocket):
        return
    if not table.messages and not table.tunnels:
        reader.add_problem(
            path,
            "S107",
            "[websocket] with neither messages nor tunnels serves nobody",
            'write messages = ["pantalla"], or leave the table out',
        )
    for name in sorted(set(table.messages) & set(table.tunnels)):
        reader.add_problem(
            (*path, "tunnels"),
            "S107",
            f"{name} is a route of messages and of tunnels",
            "give each route one mode",
        )
    if table.burst < table.messages_per_s / 10:
        reader.add_problem(
            (*path, "burst"),
            "S107",
            "burst holds less than 0.1 s of messages_per_s",
            f"write burst = {table.messages_per_s / 10:g} or more",
        )
    for name in ("sessions_per_client", "sessions_per_tenant"):
        if getattr(table, name) > table.sessions:
            reader.add_problem(
                (*path, name),
                "S107",
                f"{name} is over sessions = {table.sessions}",
                f"write {name} = {table.sessions} or less",
            )
    if table.unread_bytes < table.message_bytes:
        reader.add_problem(
            (*path, "unread_bytes"),
            "S107",
            "unread_bytes is under message_bytes: one long outcome would close its session",
            f"write unread_bytes = {table.message_bytes} or more",
        )
    if table.ping_timeout > table.ping_every:
        reader.add_problem(
            (*path, "ping_every"),
            "S107",
            "ping_timeout is over ping_every: a silent peer would be awaited past its next ping",
            f"write ping_every = {table.ping_timeout:g} or more, or less ping_timeout",
        )


MIN_SUSPICION_PERIODS = 1.0  # periods: a probe with its helpers takes nearly one


def check_fleet(reader: TableReader, table: object, path: Path) -> None:
    """What a table [fleet] at this path holds that can't all be so."""
    if not isinstance(table, Fleet):
        return
    if table.suspicion < MIN_SUSPICION_PERIODS:
        reader.add_problem(
            (*path, "suspicion"),
            "S107",
            "suspicion is shorter than a probe round: who is slow once is dead before it is asked " "again",
            "write suspicion = 3.0, or at least 1.0",
        )
    if table.memory < 10 * table.suspicion * table.period:
        reader.add_problem(
            (*path, "memory"),
            "S107",
            "memory is shorter than ten suspicions: the dead would be forgotten while some still "
            "hold them for alive, and come back",
            f"write memory = {10 * table.suspicion * table.period:g} or more",
        )
    own = table.address or table.listen
    if table.members and not [at for at in table.members if at != own]:
        reader.add_problem(
            (*path, "members"),
            "S107",
            "a fleet with one member, itself, has nobody to see",
            "name the others, or leave the table out",
        )
    if table.own_network and not (table.listen and table.members):
        missing = "listen" if not table.listen else "members"
        reader.add_problem(
            (*path, "own_network"),
            "S107",
            f"own_network = true without {missing}: the platform is not asked, and nobody else says " "it",
            'write listen = "HOST:PORT" and members = [...]',
        )
    networks = [ipaddress.IPv4Network(network) for network in table.networks]
    for at in (table.listen, table.address, *table.members):
        host = at.rpartition(":")[0]
        if not at:
            continue
        try:
            number = ipaddress.IPv4Address(host)
        except ValueError:
            reader.add_problem(path, "S105", f"{host} is no IPv4 address", "write numbers; there is no DNS")
            continue
        if not number.is_unspecified and not any(number in network for network in networks):
            reader.add_problem(
                (*path, "networks"),
                "S107",
                f"{host} lies in none of the networks, so its datagrams would be dropped",
                f'add "{host}/32", or the network that it is in',
            )
