"""Endpoint lists as discovery has them: their shape, and how one is read.

Pure: who reads a list brings the clock's offset.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from service_proxy.net.errors import NetError
from service_proxy.policy.events import EndpointEntry, EndpointState

Address = tuple[str, int]  # host, as a number, and port

MAX_PORT = 65535
MIN_STARTED_AT_S = 1e-3  # of a process whose start is known; 0 says that it is not
ENDPOINT_ID_BYTES = 6

STATE_BY_STATUS = {  # by the list's `status`
    "Ready": EndpointState.SERVING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


class InvalidAddressError(NetError, ValueError):
    """A text is no address.

    Attributes:
        value: what stands in its place.
    """

    def __init__(self, value: object) -> None:
        super().__init__(f"not an address: {value!r}")
        self.value = value


class InvalidEndpointListError(NetError, ValueError):
    """An endpoint list can't be used."""


@dataclass(slots=True)
class Endpoint:
    """An endpoint as a list names it: where it is, and what the policy takes of it."""

    address: Address
    entry: EndpointEntry
    name: str


@dataclass(slots=True)
class EndpointList:
    """Endpoints at one version.

    Attributes:
        is_snapshot: what is not in it is removed; else it holds only what changed.
    """

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_address(text: object) -> Address:
    """Read `host:port` with a numeric host; there is no DNS.

    Raises:
        InvalidAddressError: it is none.
    """
    if not isinstance(text, str):
        raise InvalidAddressError(text)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise InvalidAddressError(text)
    return host.strip("[]"), int(port)


def endpoint_id_of(name: str) -> int:
    """Return the policy's number of an endpoint: the same at every proxy, whose hash rings must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_endpoint_list(raw: object, wall_clock_offset: float) -> EndpointList:
    """Read a list from its JSON object.

    Args:
        raw: the object.
        wall_clock_offset: wall less monotonic time, s.

    Raises:
        InvalidEndpointListError: it can't be used, or an endpoint in it.
    """
    try:
        if not isinstance(raw, Mapping):
            raise InvalidEndpointListError("not an object")
        endpoints = [parse_endpoint(item, wall_clock_offset) for item in raw["endpoints"]]
        return EndpointList(int(raw["index"]), bool(raw["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidEndpointListError(f"malformed list: {error!r}") from None


def parse_endpoint(item: Mapping[str, Any], wall_clock_offset: float) -> Endpoint:
    """Read one endpoint of a list.

    Raises:
        ValueError, KeyError, TypeError, AttributeError, OverflowError: it can't be used.
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
        raise InvalidEndpointListError("a figure of the list is not finite")
    return Endpoint(parse_address(item["address"]), entry, name)
