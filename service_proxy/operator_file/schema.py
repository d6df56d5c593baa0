"""Tables of the operator's file: one frozen dataclass per subsystem.

The fields have the names of the file's keys. A table that is left out is None, and its subsystem is not
imported. Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from service_proxy.operator_file.reader import between, key
from service_proxy.operator_file.value_checks import (
    find_address_problem,
    find_chroot_problem,
    find_fleet_name_problem,
    find_folder_problem,
    find_mark_problem,
    find_members_problem,
    find_name_problem,
    find_networks_problem,
    find_optional_address_problem,
    find_origins_problem,
    find_path_problem,
    find_protocols_problem,
    find_routes_problem,
    find_servers_problem,
    find_watch_problem,
)

MIN_MASS_LOSS_SHARE = 0.05  # with a smaller share the loss of a single node would count as a mass loss


@dataclass(frozen=True, slots=True)
class Membership:
    """[membership]: ephemeral nodes of a coordination service as a source of endpoints."""

    servers: tuple[str, ...] = key(tuple, '["127.0.0.1:2181"]', check=find_servers_problem)
    path: str = key(str, '"/zones/front"', check=find_path_problem)
    chroot: str = key(str, '"/prod"', "", find_chroot_problem)
    session_timeout: float = key(float, "6.0", 6.0, between(0.2, 120))
    connect_timeout: float = key(float, "1.0", 1.0, between(0.05, 30))
    auth_file: str = key(str, '"auth" (a file that holds user:password)', "")
    read_only: bool = key(bool, "true", False)
    watch: str = key(str, '"auto"', "auto", find_watch_problem)
    reread_jitter: float = key(float, "0.5", 0.5, between(0, 60))
    reads_per_s: float = key(float, "200.0", 200.0, between(1, 10_000))
    mass_loss_share: float = key(float, "0.34", 0.34, between(MIN_MASS_LOSS_SHARE, 1))
    mass_loss_within: float = key(float, "10.0", 10.0, between(0.5, 600))
    snapshot: str = key(str, '"/var/lib/willowwing/nodes"', "")


@dataclass(frozen=True, slots=True)
class Registration:
    """[registration]: the node that the sidecar of this machine registers and keeps registered."""

    name: str = key(str, '"s-5be2a07c"', check=find_name_problem)
    address: str = key(str, '"10.1.0.18:8081"', check=find_address_problem)
    zone: str = key(str, '"a"', "")
    type: str = key(str, '"m2"', "")
    group: int = key(int, "3", 0, between(0, 1 << 31))
    weight: float = key(float, "1.0", 1.0, between(0, 1e6))
    drain: float = key(float, "2.0", 2.0, between(0, 600))


@dataclass(frozen=True, slots=True)
class Budgets:
    """[budgets]: deadline and retry-budget propagation."""

    keys_file: str = key(str, '"/etc/willowwing/budget-keys" (a file with a line "ID HEX")')
    mark: str = key(str, '"front" (this tier; "edge" before the first)', "", find_mark_problem)
    edge: bool = key(bool, "true (clients are external: their budget headers are removed)", False)
    attempts: int = key(int, "12", 12, between(1, 9999))
    calls_per_request: int = key(int, "2", 2, between(1, 64))
    passes: int = key(int, "1", 1, between(1, 4))
    refuse_below_usual: bool = key(bool, "true", True)


@dataclass(frozen=True, slots=True)
class WebSocket:
    """[websocket]: client sessions, either as messages that are requests or as tunnels to an endpoint."""

    messages: tuple[str, ...] = key(tuple, '["pantalla"] (first part of the path)', (), find_routes_problem)
    tunnels: tuple[str, ...] = key(
        tuple, '["vigia"] (a class that is safe to repeat)', (), find_routes_problem
    )
    origins: tuple[str, ...] = key(tuple, '["https://kiosk.example"]', (), find_origins_problem)
    subprotocols: tuple[str, ...] = key(tuple, '["calls.v1"]', (), find_protocols_problem)
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
    deflate_ratio: float = key(float, "50.0 (decompressed bytes per received byte)", 50.0, between(1, 1032))


PRIVATE_NETWORKS = ("127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16")  # RFC 1918, RFC 1122


@dataclass(frozen=True, slots=True)
class Fleet:
    """[fleet]: the membership view that the fleet's members maintain themselves."""

    name: str = key(
        str,
        '"front-east" (the same at all members, and unique to this fleet)',
        check=find_fleet_name_problem,
    )
    listen: str = key(
        str, '"10.0.0.4:7946" (default: `peer_listen` of the platform)', "", find_optional_address_problem
    )
    address: str = key(
        str, '"10.0.0.4:7946" (if others use another address than listen)', "", find_optional_address_problem
    )
    members: tuple[str, ...] = key(tuple, '["10.0.0.4:7946", "10.0.0.5:7946"]', (), find_members_problem)
    networks: tuple[str, ...] = key(
        tuple, '["10.0.0.0/8"] (networks that members may be in)', PRIVATE_NETWORKS, find_networks_problem
    )
    own_network: bool = key(bool, "true (there is no platform that sets policy_limits.peers)", False)
    period: float = key(float, "1.0", 1.0, between(0.05, 60))
    suspicion: float = key(float, "3.0 (periods, of a fleet of up to 9)", 3.0, between(0.1, 60))
    memory: float = key(float, "600.0", 600.0, between(1, 86_400))
    counts: bool = key(bool, "true (live members replace the settings' number of proxies)", True)


@dataclass(frozen=True, slots=True)
class Recovery:
    """[recovery]: the state that survives this process, for the recovery after a power loss."""

    store: str = key(str, '"/var/lib/willowwing/p0" (a folder of this proxy only)', "", find_folder_problem)
    machine_mark: str = key(
        str, '"/etc/machine-id" (the same for one machine)', "/etc/machine-id", find_folder_problem
    )
    boot_mark: str = key(
        str,
        '"/proc/sys/kernel/random/boot_id" (changes with each boot)',
        "/proc/sys/kernel/random/boot_id",
        find_folder_problem,
    )


@dataclass(frozen=True, slots=True)
class Operator:
    """All tables of an operator's file; `file` is the file's path."""

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
