"""Lists of backends: their shape, and how one is read. Pure: who reads brings the clock's offset."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from service_proxy.policy.events import EndpointEntry, EndpointState

Address = tuple[str, int]

STATES = {
    "Ready": EndpointState.SERVING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}


@dataclass(slots=True)
class Listed:
    """A backend as a list names it."""

    address: Address
    entry: EndpointEntry
    name: str


@dataclass(slots=True)
class Listing:
    """`whole`: what is not in it is gone. Else only what changed."""

    version: int
    whole: bool
    backends: list[Listed]


def address(text: object) -> Address:
    """`host:port` with a numeric host; there is no DNS."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def server_id(name: str) -> int:
    """The module's number of a backend: the same at every proxy, whose rings of backends must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_listing(raw: object, wall_offset: float) -> Listing:
    """`wall_offset`: wall less monotonic time, s. Raises ValueError where the list can't be used."""
    try:
        if not isinstance(raw, Mapping):
            raise ValueError("not an object")
        backends = [read_entry(item, wall_offset) for item in raw["endpoints"]]
        return Listing(int(raw["index"]), bool(raw["snapshot"]), backends)
    except (KeyError, TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"malformed list: {fault!r}") from None


def read_entry(item: Mapping[str, Any], wall_offset: float) -> Listed:
    """One backend; raises ValueError, KeyError, TypeError, AttributeError or OverflowError."""
    since_ms = float(item.get("since_ms") or 0)
    started = max(since_ms / 1000 - wall_offset, 1e-3) if since_ms > 0 else 0.0
    name = str(item["name"])
    entry = EndpointEntry(
        endpoint_id=server_id(name),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATES[item["status"]],
        weight=float(item.get("weight", 1.0)),
        started_at=started,
    )
    if not (entry.weight - entry.weight == 0.0 and started - started == 0.0):
        raise ValueError("a figure of the list is not finite")
    return Listed(address(item["address"]), entry, name)
