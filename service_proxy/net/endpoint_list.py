"""Lists of backends: their shape, and how one is read. Pure: who reads brings the clock's offset."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from service_proxy.policy.events import EndpointEntry, EndpointState

Address = tuple[str, int]

STATE_BY_STATUS = {
    "Ready": EndpointState.SERVING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


@dataclass(slots=True)
class Endpoint:
    """A backend as a list names it."""

    address: Address
    entry: EndpointEntry
    name: str


@dataclass(slots=True)
class EndpointList:
    """`whole`: what is not in it is gone. Else only what changed."""

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_address(text: object) -> Address:
    """`host:port` with a numeric host; there is no DNS."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def endpoint_id_of(name: str) -> int:
    """The module's number of a backend: the same at every proxy, whose rings of backends must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def parse_endpoint_list(raw: object, wall_clock_offset: float) -> EndpointList:
    """`wall_offset`: wall less monotonic time, s. Raises ValueError where the list can't be used."""
    try:
        if not isinstance(raw, Mapping):
            raise ValueError("not an object")
        endpoints = [parse_endpoint(item, wall_clock_offset) for item in raw["endpoints"]]
        return EndpointList(int(raw["index"]), bool(raw["snapshot"]), endpoints)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None


def parse_endpoint(item: Mapping[str, Any], wall_clock_offset: float) -> Endpoint:
    """One backend; raises ValueError, KeyError, TypeError, AttributeError or OverflowError."""
    since_ms = float(item.get("since_ms") or 0)
    started_at = max(since_ms / 1000 - wall_clock_offset, 1e-3) if since_ms > 0 else 0.0
    name = str(item["name"])
    entry = EndpointEntry(
        endpoint_id=endpoint_id_of(name),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATE_BY_STATUS[item["status"]],
        weight=float(item.get("weight", 1.0)),
        started_at=started_at,
    )
    if not (entry.weight - entry.weight == 0.0 and started_at - started_at == 0.0):
        raise ValueError("a figure of the list is not finite")
    return Endpoint(parse_address(item["address"]), entry, name)
