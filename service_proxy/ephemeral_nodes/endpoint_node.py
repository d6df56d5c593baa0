"""The data of one endpoint's znode, as JSON: read strictly, written the same way each time. Pure.

    {"name":"s-5be2a07c","address":"10.1.0.18:8081","zone":"a","type":"m2","group":3,"weight":1.0,
     "since_ms":1764583200000,"status":"Ready"}

The keys and their meanings are those of discovery's endpoint list, and the znode's name is its `name`. Keys
that are not known are ignored, so that a newer sidecar can say more. docs/operators/ephemeral.md describes it
for operators.
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

MAX_DATA_BYTES = 4096  # of a znode; what is larger is no endpoint's
MAX_NAME_LENGTH = 255  # characters
MAX_GROUP = 1 << 31
MAX_SINCE_MS = 1 << 53  # what a JSON number holds exactly
MAX_WEIGHT = 1_000_000
READY = "Ready"
TERMINATING = "Terminating"
# Control, format, surrogate, private use, line and paragraph separator.
FORBIDDEN_CATEGORIES = ("Cc", "Cf", "Cs", "Co", "Zl", "Zp")


@dataclass(frozen=True, slots=True)
class EndpointNode:
    """What an endpoint registers.

    `since_ms`: when its process started, in ms of Unix time; 0: unknown.
    """

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: int = 0
    status: str = READY

    def encode(self) -> bytes:
        """Return the znode's data."""
        return json.dumps(asdict(self), separators=(",", ":"), ensure_ascii=False).encode()

    def draining(self) -> EndpointNode:
        """Return the same endpoint, about to end."""
        return replace(self, status=TERMINATING)


def find_name_problem(name: str) -> str | None:
    """Return why a znode's name can't be an endpoint's, or None for a valid one."""
    if not name or len(name) > MAX_NAME_LENGTH:
        return f"a name has 1 to {MAX_NAME_LENGTH} letters"
    if "/" in name:
        return "a name holds no /"
    for character in name:
        if unicodedata.category(character) in FORBIDDEN_CATEGORIES:
            return f"a name does not hold U+{ord(character):04X}"
    if unicodedata.normalize("NFC", name) != name:
        return "a name is in the normal form NFC, so that it looks like no other"
    return None


def parse_node(name: str, data: bytes) -> EndpointNode:
    """Parse the data of the znode `name`.

    Raises:
        ValueError: it is no endpoint's; the message says what is wrong and what would be right.
    """
    problem = find_name_problem(name)
    if problem:
        raise InvalidNodeError(problem)
    if len(data) > MAX_DATA_BYTES:
        raise InvalidNodeError(f"{len(data)} bytes; a registration has {MAX_DATA_BYTES} at most")
    raw = _parse_object(data)
    if raw.get("name") != name:
        raise InvalidNodeError(f"its name says {raw.get('name')!r:.60}; it must be the node's own")
    node = EndpointNode(
        name=name,
        address=_read_text(raw, "address", None),
        zone=_read_text(raw, "zone", ""),
        type=_read_text(raw, "type", ""),
        group=_read_integer(raw, "group", 0, MAX_GROUP),
        weight=_read_number(raw, "weight", 1.0, MAX_WEIGHT),
        since_ms=_read_integer(raw, "since_ms", 0, MAX_SINCE_MS),
        status=_read_text(raw, "status", READY),
    )
    if parse_address(node.address)[1] == 0:
        raise InvalidNodeError("its address has no port")
    if node.status not in (READY, TERMINATING):
        raise InvalidNodeError(f"its status is {node.status!r:.30}; it must be {READY} or {TERMINATING}")
    return node


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidNodeError(f"no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidNodeError("the JSON is no object")
    return raw


def _read_text(raw: Mapping[str, Any], key: str, default: str | None) -> str:
    value = raw.get(key, default)
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise InvalidNodeError(f"its {key} must be a string of at most {MAX_NAME_LENGTH} letters")
    return value


def _read_integer(raw: Mapping[str, Any], key: str, default: int, maximum: int) -> int:
    value = raw.get(key, default)
    if type(value) is not int or not 0 <= value <= maximum:
        raise InvalidNodeError(f"its {key} must be a whole number from 0 to {maximum}")
    return value


def _read_number(raw: Mapping[str, Any], key: str, default: float, maximum: int) -> float:
    value = raw.get(key, default)
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= maximum:
        raise InvalidNodeError(f"its {key} must be a number from 0 to {maximum}")
    return float(value)


def to_endpoint(node: EndpointNode, wall_offset: float) -> Endpoint:
    """Return the endpoint as a list names it. `wall_offset`: wall less monotonic time, s."""
    return parse_endpoint(asdict(node), wall_offset)
