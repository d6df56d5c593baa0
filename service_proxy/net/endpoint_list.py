"""Endpoint lists of the discovery service: data types and parsing.

The parser reads no clock; the caller passes the clock offset.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from service_proxy.net.errors import NetError
from service_proxy.policy.events import EndpointEntry, EndpointState

Address = tuple[str, int]  # Numeric host and port.

MAX_PORT = 65535
# Minimum start time of a process whose start is known; 0 means that the start is unknown.
MIN_STARTED_AT_S = 1e-3
ENDPOINT_ID_BYTES = 6

STATE_BY_STATUS = {  # Endpoint state by the `status` field of the list.
    "Ready": EndpointState.SERVING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class InvalidAddressError(NetError, ValueError):
    """A value is not a valid address.

    Attributes:
        value: The invalid value.
    """

    def __init__(self, value: object) -> None:
        super().__init__(f"not an address of the form host:port: {value!r}")
        self.value = value


class InvalidEndpointListError(NetError, ValueError):
    """An endpoint list is invalid."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint of a list: its address, its name, and the entry passed to the policy.

    Attributes:
        started_after: Time after which its process certainly started (monotonic, s), if the start time of the
            entry is an estimate; 0: unknown. None: the start time of the entry is exact.
    """

    address: Address
    entry: EndpointEntry
    name: str
    started_after: float | None = None


@dataclass(slots=True)
class EndpointList:
    """Endpoints at one version of the list.

    Attributes:
        is_snapshot: True if the list is complete, so that endpoints missing from it are removed; False if it
            contains only changes.
    """

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_address(text: object) -> Address:
    """Parse `host:port` with a numeric host; host names are not resolved.

    Raises:
        InvalidAddressError: The text is not a valid address.
    """
    if not isinstance(text, str):
        raise InvalidAddressError(text)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise InvalidAddressError(text)
    return host.strip("[]"), int(port)


def endpoint_id_of(name: str) -> int:
    """Return the endpoint id, a hash of the name.

    The id is equal at every proxy, because the hash rings of the proxies must agree.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_endpoint_list(raw: object, wall_clock_offset: float) -> EndpointList:
    """Parse a list from its JSON object.

    Args:
        raw: The decoded JSON object.
        wall_clock_offset: Difference between wall clock and monotonic clock (s).

    Raises:
        InvalidEndpointListError: The list or one of its endpoints is invalid.
    """
    try:
        if not isinstance(raw, Mapping):
            raise InvalidEndpointListError("the endpoint list is not a JSON object")
        endpoints = [parse_endpoint(item, wall_clock_offset) for item in raw["endpoints"]]
        return EndpointList(int(raw["index"]), bool(raw["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidEndpointListError(f"malformed endpoint list: {error!r}") from None


def parse_endpoint(item: Mapping[str, Any], wall_clock_offset: float) -> Endpoint:
    """Parse one endpoint of a list.

    Raises:
        ValueError, KeyError, TypeError, AttributeError, OverflowError: The endpoint is invalid.
    """
    since_ms = float(item.get("since_ms") or 0)
    started_at = max(since_ms / 1000 - wall_clock_offset, MIN_STARTED_AT_S) if since_ms > 0 else 0.0
    name = str(item["name"])
    entry = EndpointEntry(
        endpoint_id=endpoint_id_of(name),
        zone=str(item.get("zone", "")),
        endpoint_type=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATE_BY_STATUS[item["status"]],
        weight=float(item.get("weight", 1.0)),
        started_at=started_at,
    )
    if not (entry.weight - entry.weight == 0.0 and started_at - started_at == 0.0):
        raise InvalidEndpointListError("weight or since_ms of an endpoint is not finite")
    return Endpoint(parse_address(item["address"]), entry, name)
