"""Addresses of a member: where it listens, whom it admits.

And by which addresses members name one another.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence

from service_proxy.fleet.members import MAX_LABEL_BYTES, MAX_NAME_BYTES, Address, MemberRecord
from service_proxy.net.config import ConfigError, ProxyConfig
from service_proxy.net.endpoint_list import parse_address
from service_proxy.operator_file import Fleet as FleetSettings

MAX_CACHED_HOSTS = 4096  # hosts whose admission is cached


def peer_address(number: int) -> Address:
    """Return the address by which members name the proxy of this number in `peers`.

    Each member reaches it at an address of its own, which means nothing to others. These are of 0.0.0.0/8,
    where no host is (RFC 1122, 3.2.1.3).
    """
    return f"0.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 1


class NetworkAddresses:
    """Where a member is on the network, where others may be, and by which addresses members name one another.

    Attributes:
        listen: where this member's socket is bound.
        address: by which others name this member.
        address_of_peer: where the peer of a name (see `peer_address`) is reached from here.
        peer_at_address: the reverse.
        seeds: addresses at which others may be.
        broadcast_address: reaches all of the tier, where there is one.
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
        self.address_of_peer = {peer_address(number): peer for number, peer in enumerate(peers)}
        self.peer_at_address = {peer: called for called, peer in self.address_of_peer.items()}
        self.seeds = tuple(dict.fromkeys((*self.address_of_peer, *members)))
        self.networks = [ipaddress.IPv4Network(network) for network in networks]
        self.admitted_hosts: dict[str, bool] = {}

    def is_admitted(self, source: Address) -> bool:
        """Return whether datagrams from there are read.

        Where the platform names peers, from these alone; else from all that are in the configured networks.
        """
        if self.address_of_peer:
            return source in self.peer_at_address or source in self.seeds
        admitted = self.admitted_hosts.get(source[0])
        if admitted is None:
            host = ipaddress.IPv4Address(source[0])
            if len(self.admitted_hosts) >= MAX_CACHED_HOSTS:
                self.admitted_hosts.clear()
            admitted = any(host in network for network in self.networks)
            self.admitted_hosts[source[0]] = admitted
        return admitted


def resolve_addresses(settings: FleetSettings, config: ProxyConfig) -> NetworkAddresses:
    """Return the addresses by the operator's file and the platform's configuration.

    Raises:
        ConfigError: the peers are malformed, or no address to listen at is configured.
    """
    try:
        peers = config.peers
    except ValueError as error:
        raise ConfigError(f"bad configuration: {error}") from None
    is_own_network = settings.own_network
    listen = parse_address(settings.listen) if settings.listen else None if is_own_network else peers.listen
    if listen is None:
        raise ConfigError("[fleet] has no `listen`, and the platform names no peer_listen")
    address = parse_address(settings.address) if settings.address else listen
    peer_addresses = () if is_own_network else peers.members
    if config.settings.proxy_index < len(peer_addresses) and not settings.address:
        address = peer_address(config.settings.proxy_index)
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
    """Return this process's member record.

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
            raise ConfigError(f"[fleet] takes names of up to {max_bytes} bytes, and {text!r} is longer")
    return MemberRecord(name, address, tier, config.settings.zone)
