"""Data of one endpoint's znode as JSON, parsed strictly and encoded deterministically. Pure.

    {"name":"s-5be2a07c","address":"10.1.0.18:8081","zone":"a","type":"m2","group":3,"weight":1.0,
     "since_ms":1764583200000,"status":"Ready"}

An optional key `since_after_ms` says that `since_ms` is an estimate. The other keys have the same meanings as
in discovery's endpoint list, and `name` is the name of the znode. Unknown keys are ignored, so that a newer
sidecar can add keys. docs/operators/ephemeral.md describes the format for operators.
"""

from __future__ import annotations

import json
import math
import unicodedata
from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

from service_proxy.ephemeral_nodes.errors import InvalidNodeError
from service_proxy.net.endpoint_list import Endpoint, parse_address, parse_endpoint

MAX_DATA_BYTES = 4096  # Upper bound of a znode's data; larger data is not an endpoint's.
MAX_NAME_LENGTH = 255  # Upper bound of a name or text, in characters.
MAX_GROUP = 1 << 31
MAX_SINCE_MS = 1 << 53  # Largest integer range that a JSON number represents exactly.
MAX_WEIGHT = 1_000_000
MS_PER_S = 1000
READY = "Ready"
TERMINATING = "Terminating"
# Unicode categories: control, format, surrogate, private use, line separator and paragraph separator.
FORBIDDEN_CATEGORIES = ("Cc", "Cf", "Cs", "Co", "Zl", "Zp")


@dataclass(frozen=True, slots=True)
class EndpointNode:
    """Registration data of one endpoint.

    Attributes:
        since_ms: start time of the endpoint's process in ms of Unix time; 0: unknown.
        since_after_ms: time after which the process certainly started, if `since_ms` is an estimate; 0:
            unknown. None: `since_ms` is exact.
    """

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: int = 0
    status: str = READY
    since_after_ms: int | None = None

    def encode(self) -> bytes:
        """Return the JSON data of the znode."""
        data = asdict(self)
        if self.since_after_ms is None:
            del data["since_after_ms"]
        return json.dumps(data, separators=(",", ":"), ensure_ascii=False).encode()

    def draining(self) -> EndpointNode:
        """Return a copy with the status Terminating."""
        return replace(self, status=TERMINATING)

    def restarted(self, since_ms: int, since_after_ms: int) -> EndpointNode:
        """Return a copy for a process that started at `since_ms`, about, and after `since_after_ms`."""
        return replace(self, since_ms=since_ms, since_after_ms=since_after_ms)


def find_name_problem(name: str) -> str | None:
    """Return the reason why a znode's name can't be an endpoint's name, or None for a valid name."""
    if not name or len(name) > MAX_NAME_LENGTH:
        return f"the name must have 1 to {MAX_NAME_LENGTH} characters"
    if "/" in name:
        return "the name must not contain /"
    for character in name:
        if unicodedata.category(character) in FORBIDDEN_CATEGORIES:
            return f"the name must not contain U+{ord(character):04X}"
    if unicodedata.normalize("NFC", name) != name:
        return "the name must be in the Unicode normal form NFC, because two forms of one name look the same"
    return None


def parse_node(name: str, data: bytes) -> EndpointNode:
    """Parse the data of the znode `name`.

    Raises:
        ValueError: the data is not an endpoint's; the message names the fault and the valid values.
    """
    problem = find_name_problem(name)
    if problem:
        raise InvalidNodeError(problem)
    if len(data) > MAX_DATA_BYTES:
        raise InvalidNodeError(f"the data has {len(data)} bytes; the limit is {MAX_DATA_BYTES}")
    raw = _parse_object(data)
    if raw.get("name") != name:
        raise InvalidNodeError(f"the name is {raw.get('name')!r:.60}; it must be the znode's name")
    node = EndpointNode(
        name=name,
        address=_read_text(raw, "address", None),
        zone=_read_text(raw, "zone", ""),
        type=_read_text(raw, "type", ""),
        group=_read_integer(raw, "group", 0, MAX_GROUP),
        weight=_read_number(raw, "weight", 1.0, MAX_WEIGHT),
        since_ms=_read_integer(raw, "since_ms", 0, MAX_SINCE_MS),
        status=_read_text(raw, "status", READY),
        since_after_ms=(
            _read_integer(raw, "since_after_ms", 0, MAX_SINCE_MS) if "since_after_ms" in raw else None
        ),
    )
    if parse_address(node.address)[1] == 0:
        raise InvalidNodeError("the address has no port")
    if node.status not in (READY, TERMINATING):
        raise InvalidNodeError(f"the status is {node.status!r:.30}; it must be {READY} or {TERMINATING}")
    return node


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidNodeError(f"the data is not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidNodeError("the JSON is not an object")
    return raw


def _read_text(raw: Mapping[str, Any], key: str, default: str | None) -> str:
    value = raw.get(key, default)
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise InvalidNodeError(f"{key} must be a string of at most {MAX_NAME_LENGTH} characters")
    return value


def _read_integer(raw: Mapping[str, Any], key: str, default: int, maximum: int) -> int:
    value = raw.get(key, default)
    if type(value) is not int or not 0 <= value <= maximum:
        raise InvalidNodeError(f"{key} must be a whole number from 0 to {maximum}")
    return value


def _read_number(raw: Mapping[str, Any], key: str, default: float, maximum: int) -> float:
    value = raw.get(key, default)
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= maximum:
        raise InvalidNodeError(f"{key} must be a number from 0 to {maximum}")
    return float(value)


def to_endpoint(node: EndpointNode, wall_offset: float) -> Endpoint:
    """Return the node as an entry of an endpoint list.

    `wall_offset`: wall clock time minus monotonic time, in s.
    """
    endpoint = parse_endpoint(asdict(node), wall_offset)
    if node.since_after_ms is not None:
        endpoint.started_after = max(0.0, node.since_after_ms / MS_PER_S - wall_offset)
    return endpoint
