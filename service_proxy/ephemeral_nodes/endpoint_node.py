"""One node's JSON, as it stands under the path: read strictly, written the same way each time. Pure.

    {"name":"s-5be2a07c","address":"10.1.0.18:8081","zone":"a","type":"m2","group":3,"weight":1.0,
     "since_ms":1764583200000,"status":"Ready"}

The names and meanings are those of discovery's list, and the node's name is its `name`. Keys that are not
known are passed over, so that a newer sidecar can say more. docs/operators/ephemeral.md has it for operators.
"""

from __future__ import annotations

import json
import math
import unicodedata
from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

from service_proxy.net.endpoint_list import Endpoint, parse_address, parse_endpoint

MAX_DATA_BYTES = 4096  # bytes of a node; what is larger is no registration
MAX_NAME_LENGTH = 255  # letters
READY = "Ready"
TERMINATING = "Terminating"


@dataclass(frozen=True, slots=True)
class EndpointNode:
    """What a server registers. `since_ms`: when its process started, Unix time in ms; 0: unknown."""

    name: str
    address: str
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: int = 0
    status: str = READY

    def encode(self) -> bytes:
        return json.dumps(asdict(self), separators=(",", ":"), ensure_ascii=False).encode()

    def draining(self) -> EndpointNode:
        return replace(self, status=TERMINATING)


def find_name_problem(name: str) -> str | None:
    """Why a node's name can't be a server's; None for a good one."""
    if not name or len(name) > MAX_NAME_LENGTH:
        return f"a name has 1 to {MAX_NAME_LENGTH} letters"
    if "/" in name:
        return "a name holds no /"
    for letter in name:
        if unicodedata.category(letter) in ("Cc", "Cf", "Cs", "Co", "Zl", "Zp"):
            return f"a name does not hold U+{ord(letter):04X}"
    if unicodedata.normalize("NFC", name) != name:
        return "a name is in the normal form NFC, so that it looks like no other"
    return None


def parse_node(name: str, data: bytes) -> EndpointNode:
    """Raises ValueError with what is wrong and what would be right."""
    fault = find_name_problem(name)
    if fault:
        raise ValueError(fault)
    if len(data) > MAX_DATA_BYTES:
        raise ValueError(f"{len(data)} bytes; a registration has {MAX_DATA_BYTES} at most")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as problem:
        raise ValueError(f"no JSON: {problem}") from None
    if not isinstance(raw, dict):
        raise ValueError("the JSON is no object")
    if raw.get("name") != name:
        raise ValueError(f"its name says {raw.get('name')!r:.60}; it must be the node's own")
    node = EndpointNode(
        name=name,
        address=_text(raw, "address", None),
        zone=_text(raw, "zone", ""),
        type=_text(raw, "type", ""),
        group=_whole(raw, "group", 0, 1 << 31),
        weight=_figure(raw, "weight"),
        since_ms=_whole(raw, "since_ms", 0, 1 << 53),
        status=_text(raw, "status", READY),
    )
    if parse_address(node.address)[1] == 0:
        raise ValueError("its address has no port")
    if node.status not in (READY, TERMINATING):
        raise ValueError(f"its status is {node.status!r:.30}; it must be {READY} or {TERMINATING}")
    return node


def _text(raw: Mapping[str, Any], key: str, default: str | None) -> str:
    value = raw.get(key, default)
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        raise ValueError(f"its {key} must be a string of at most {MAX_NAME_LENGTH} letters")
    return value


def _whole(raw: Mapping[str, Any], key: str, default: int, most: int) -> int:
    value = raw.get(key, default)
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"its {key} must be a whole number from 0 to {most}")
    return value


def _figure(raw: Mapping[str, Any], key: str) -> float:
    value = raw.get(key, 1.0)
    if type(value) not in (int, float) or not math.isfinite(value) or not 0 <= value <= 1e6:
        raise ValueError(f"its {key} must be a number from 0 to 1000000")
    return float(value)


def to_endpoint(node: EndpointNode, wall_offset: float) -> Endpoint:
    """As a list's entry. `wall_offset`: wall less monotonic time, s."""
    return parse_endpoint(asdict(node), wall_offset)
