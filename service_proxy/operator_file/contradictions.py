"""Checks for contradictions within a table or between two, run after each value is valid by itself."""

from __future__ import annotations

import ipaddress

from service_proxy.operator_file.positions import Path
from service_proxy.operator_file.reader import TableReader
from service_proxy.operator_file.schema import Fleet, Membership, WebSocket

MAX_REREAD_JITTER_S = 1.5  # upper bound, because a lost endpoint must get its last request within 2 s
MIN_SUSPICION_PERIODS = 1.0  # a probe with its indirect probes takes nearly one period
MIN_MEMORY_SUSPICIONS = 10  # suspicion times for which dead members are remembered, at least


def check_membership(reader: TableReader, membership: object, path: Path) -> None:
    """Report the contradictions in a table [membership] at this path."""
    if not isinstance(membership, Membership):
        return
    if membership.connect_timeout >= membership.session_timeout:
        reader.add_problem(
            (*path, "connect_timeout"),
            "S107",
            "connect_timeout is not below session_timeout: sessions end before a second server is tried",
            f"write a connect_timeout of at most {membership.session_timeout / 3:g}",
        )
    if membership.reread_jitter > MAX_REREAD_JITTER_S:
        reader.add_problem(
            (*path, "reread_jitter"),
            "S107",
            "reread_jitter leaves too little of the 2 s in which a lost node must get its last call",
            "write reread_jitter = 1.5 or less",
        )


def check_registration(reader: TableReader, membership: object, membership_path: Path, path: Path) -> None:
    """Report the contradictions of a table [registration] with a table [membership], at these paths."""
    if membership is None:
        reader.add_problem(
            path,
            "S107",
            f"[{'.'.join(path)}] without [{'.'.join(membership_path)}]: there is no service to register with",
            f"write a table [{'.'.join(membership_path)}] with servers and path",
        )
    elif isinstance(membership, Membership) and membership.read_only:
        reader.add_problem(
            (*membership_path, "read_only"),
            "S107",
            f"read_only = true with [{'.'.join(path)}]: a read-only server takes no registration",
            "write read_only = false",
        )


def check_websocket(reader: TableReader, table: object, path: Path) -> None:
    """Report the contradictions in a table [websocket] at this path."""
    if not isinstance(table, WebSocket):
        return
    if not table.messages and not table.tunnels:
        reader.add_problem(
            path,
            "S107",
            "[websocket] has neither messages nor tunnels, so it accepts no session",
            'write messages = ["pantalla"], or leave the table out',
        )
    for name in sorted(set(table.messages) & set(table.tunnels)):
        reader.add_problem(
            (*path, "tunnels"),
            "S107",
            f"{name} is listed both in messages and in tunnels",
            "give each route one mode",
        )
    if table.burst < table.messages_per_s / 10:
        reader.add_problem(
            (*path, "burst"),
            "S107",
            "burst is less than 0.1 s of messages_per_s",
            f"write burst = {table.messages_per_s / 10:g} or more",
        )
    _check_websocket_limits(reader, table, path)


def _check_websocket_limits(reader: TableReader, table: WebSocket, path: Path) -> None:
    for name in ("sessions_per_client", "sessions_per_tenant"):
        if getattr(table, name) > table.sessions:
            reader.add_problem(
                (*path, name),
                "S107",
                f"{name} is greater than sessions = {table.sessions}",
                f"write {name} = {table.sessions} or less",
            )
    if table.unread_bytes < table.message_bytes:
        reader.add_problem(
            (*path, "unread_bytes"),
            "S107",
            "unread_bytes is less than message_bytes: one long response would close its session",
            f"write unread_bytes = {table.message_bytes} or more",
        )
    if table.ping_timeout > table.ping_every:
        reader.add_problem(
            (*path, "ping_every"),
            "S107",
            "ping_timeout is longer than ping_every: the next ping would be due before the timeout",
            f"write ping_every = {table.ping_timeout:g} or more, or less ping_timeout",
        )


def check_fleet(reader: TableReader, table: object, path: Path) -> None:
    """Report the contradictions in a table [fleet] at this path."""
    if not isinstance(table, Fleet):
        return
    if table.suspicion < MIN_SUSPICION_PERIODS:
        reader.add_problem(
            (*path, "suspicion"),
            "S107",
            "suspicion is shorter than a probe round: a member that is slow once would be declared dead "
            "before its next probe",
            "write suspicion = 3.0, or at least 1.0",
        )
    if table.memory < MIN_MEMORY_SUSPICIONS * table.suspicion * table.period:
        reader.add_problem(
            (*path, "memory"),
            "S107",
            "memory is shorter than ten suspicions: a dead member would be discarded while other members "
            "still list it as alive, and would reappear",
            f"write memory = {10 * table.suspicion * table.period:g} or more",
        )
    _check_fleet_members(reader, table, path)
    _check_fleet_networks(reader, table, path)


def _check_fleet_members(reader: TableReader, table: Fleet, path: Path) -> None:
    own_address = table.address or table.listen
    if table.members and not [address for address in table.members if address != own_address]:
        reader.add_problem(
            (*path, "members"),
            "S107",
            "members lists only this proxy, so the fleet has no other member",
            "list the other members, or leave the table out",
        )
    if table.own_network and not (table.listen and table.members):
        missing = "listen" if not table.listen else "members"
        reader.add_problem(
            (*path, "own_network"),
            "S107",
            f"own_network = true without {missing}: the platform's value is not used and no other is given",
            'write listen = "HOST:PORT" and members = [...]',
        )


def _check_fleet_networks(reader: TableReader, table: Fleet, path: Path) -> None:
    networks = [ipaddress.IPv4Network(network) for network in table.networks]
    for address in (table.listen, table.address, *table.members):
        host = address.rpartition(":")[0]
        if not address:
            continue
        try:
            ip_address = ipaddress.IPv4Address(host)
        except ValueError:
            reader.add_problem(
                path,
                "S105",
                f"{host} is not an IPv4 address",
                "write a numeric address; names are not resolved",
            )
            continue
        if not ip_address.is_unspecified and not any(ip_address in network for network in networks):
            reader.add_problem(
                (*path, "networks"),
                "S107",
                f"{host} is in none of the networks, so its datagrams would be dropped",
                f'add "{host}/32", or the network that contains the address',
            )
