"""Addresses of a member: its listen address, the admitted sources and the addresses of other members."""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence

from service_proxy.fleet.members import MAX_LABEL_BYTES, MAX_NAME_BYTES, Address, MemberRecord
from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file import Fleet as FleetSettings

MAX_CACHED_HOSTS = 4096  # Hosts in the cache of admission results.


def peer_placeholder(number: int) -> Address:
    """Return the placeholder address that datagrams carry for the proxy with this number in `peers`.

    Each member reaches that proxy at a different real address, which is meaningless to other members. These
    placeholder addresses are in 0.0.0.0/8, where no host can be (RFC 1122, 3.2.1.3).
    """
    return f"0.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 1


class NetworkAddresses:
    """Listen address of a member, addresses of other members, and placeholder addresses of peers.

    Attributes:
        listen: the address to which this member's socket is bound.
        address: the address that other members use for this member.
        address_by_placeholder: the real address at which this member reaches a peer, by the peer's
            placeholder address (see `peer_placeholder`).
        placeholder_by_address: the placeholder address of a peer, by its real address.
        seeds: addresses at which other members may be reached when this member joins.
        broadcast_address: the address that reaches all proxies of the tier; None if there is none.
    """

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
        self.address_by_placeholder = {peer_placeholder(number): peer for number, peer in enumerate(peers)}
        self.placeholder_by_address = {
            peer: placeholder for placeholder, peer in self.address_by_placeholder.items()
        }
        self.seeds = tuple(dict.fromkeys((*self.address_by_placeholder, *members)))
        self.networks = [ipaddress.IPv4Network(network) for network in networks]
        self.admitted_hosts: dict[str, bool] = {}

    def is_admitted(self, source: Address) -> bool:
        """Return whether datagrams from this address are read.

        If the platform configures peers, only datagrams from these peers and from seeds are read; otherwise
        datagrams from any host in the configured networks are read.
        """
        if self.address_by_placeholder:
            return source in self.placeholder_by_address or source in self.seeds
        admitted = self.admitted_hosts.get(source[0])
        if admitted is None:
            host = ipaddress.IPv4Address(source[0])
            if len(self.admitted_hosts) >= MAX_CACHED_HOSTS:
                self.admitted_hosts.clear()
            admitted = any(host in network for network in self.networks)
            self.admitted_hosts[source[0]] = admitted
        return admitted


def resolve_addresses(settings: FleetSettings, config: ProxyConfig) -> NetworkAddresses:
    """Return the addresses from the operator's file and the platform's configuration.

    Raises:
        ConfigError: the peers are malformed, or no listen address is configured.
    """
    try:
        peers = config.peers
    except ValueError as error:
        raise ConfigError(f"bad configuration: {error}") from None
    is_own_network = settings.own_network
    listen = parse_address(settings.listen) if settings.listen else None if is_own_network else peers.listen
    if listen is None:
        raise ConfigError("[fleet] has no `listen`, and the platform names no peer_listen; write `listen`")
    address = parse_address(settings.address) if settings.address else listen
    peer_addresses = () if is_own_network else peers.members
    if config.settings.proxy_index < len(peer_addresses) and not settings.address:
        address = peer_placeholder(config.settings.proxy_index)
    members = [parse_address(text) for text in settings.members]
    return NetworkAddresses(
        listen,
        address,
        peer_addresses,
        members,
        settings.networks,
        None if is_own_network else peers.broadcast,
    )


def make_record(config: ProxyConfig, address: Address) -> MemberRecord:
    """Return the member record of this process.

    Raises:
        ConfigError: the name of the member, its tier or its zone is too long for a datagram.
    """
    name = config.name or f"{config.listen[0]}:{config.listen[1]}"
    tier = config.tier_name
    for text, max_bytes in (
        (name, MAX_NAME_BYTES),
        (tier, MAX_LABEL_BYTES),
        (config.settings.zone, MAX_LABEL_BYTES),
    ):
        if len(text.encode()) > max_bytes:
            raise ConfigError(f"[fleet] allows names of up to {max_bytes} bytes, and {text!r} is longer")
    return MemberRecord(name, address, tier, config.settings.zone)
