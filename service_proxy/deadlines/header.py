"""Header field that carries a budget between sidecars, byte by byte, with its MAC. Does no I/O.

    Tier-Budget: 1;t=1200000;o=500000;a=4;w=12000;c=read;p=edge.front;i=9b1f03aa5c7e2d41;k=k1;m=<32 hex>

    value   = "1;t=" number ";o=" number ";a=" number ";w=" number ";c=" name ";p=" mark *7( "." mark )
              ";i=" id ";k=" key ";m=" mac
    number  = "0" / ( %x31-39 *14DIGIT )             ; no sign, no leading zero
    name    = LOWER *62( LOWER / DIGIT / "-" / "_" )
    mark    = name                                   ; hop identifier: one tier that the request has passed
    id      = 16HEXLOW                               ; of the whole tree of calls
    key     = 1*16( LOWER / DIGIT )
    mac     = 32HEXLOW

- `t`: time that the receiver may take, in microseconds, counted from the receipt of the head. A duration
  instead of an instant does not require synchronized clocks.
- `o`: time until the latency objective of the outermost request, in microseconds, counted like `t`. After
  the objective, the priority weight of the outermost request is lower.
- `a`: attempts that the receiver and all tiers below the receiver may make.
- `w`: priority weight in thousandths.
- `c`: class of the outermost request.
- `m`: first 16 bytes of HMAC-SHA256 (RFC 2104, RFC 6234) over the value up to `;m=`, LF, and the request's
  X-Call-Id. The X-Call-Id makes a copied value invalid on another request.

The response carries `Tier-Budget: 1;s=3;q=81000`: the attempts that were used of `a`, and the microseconds
from the receipt of the whole request to the response.

An application receives `Tier-Budget: ref;<16 hex>` and copies the field to the calls that it makes for that
request. Only the application's own sidecar can resolve the reference.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

FIELD_NAME = b"tier-budget"
MAX_VALUE_BYTES = 512
MAX_HOPS = 8  # Hop identifiers in a path.
MAX_TIME_S = 3600.0  # Upper bound of a request's remaining time.
MAX_ATTEMPTS = 9999  # Attempts of a tree of calls.
MAX_PRIORITY_WEIGHT = 1e6  # Largest priority weight that the settings of a class may have.
MAC_BYTES = 16
MICROSECONDS = 1e6  # Microseconds per second.
MAX_TIME_US = int(MAX_TIME_S * MICROSECONDS)
THOUSANDTHS = 1e3  # Thousandths per unit.
MAX_WEIGHT_THOUSANDTHS = int(MAX_PRIORITY_WEIGHT * THOUSANDTHS)
MAC_PREFIX = b";m="
NUMBER = rb"(0|[1-9][0-9]{0,14})"
NAME = rb"[a-z][a-z0-9_-]{0,62}"
PATH = rb"(" + NAME + rb"(?:\." + NAME + rb"){0,%d})" % (MAX_HOPS - 1)
VALUE = re.compile(
    rb"1;t=%b;o=%b;a=%b;w=%b;c=(%b);p=%b;i=([0-9a-f]{16});k=([a-z0-9]{1,16});m=([0-9a-f]{32})"
    % (NUMBER, NUMBER, NUMBER, NUMBER, NAME, PATH)
)
MAC_GROUP = 9  # Number of the MAC's group in VALUE.
USAGE = re.compile(rb"1;s=" + NUMBER + rb";q=" + NUMBER)
REFERENCE = re.compile(rb"ref;([0-9a-f]{16})")

Keys = Mapping[bytes, bytes]  # Keys by id; the first key signs, and all keys are accepted.


class DeadlinePropagationError(Exception):
    """Base class of the errors of budget headers."""


class MalformedBudgetError(DeadlinePropagationError, ValueError):
    """Error raised if a header value is no valid budget of this request; the message has the reason."""


@dataclass(frozen=True, slots=True)
class BudgetHeader:
    """Remaining budget of a request, as sent in the header.

    Attributes:
        remaining_time: Time that the receiver may take, s.
        remaining_objective: Time until the latency objective of the outermost request, s.
        attempts: Attempts that the receiver and all tiers below the receiver may make.
        priority_weight: Priority weight of the outermost request.
        request_class: Class of the outermost request.
        path: Hop identifiers that the request has passed.
        tree_id: Id of all calls that the outermost request causes.
    """

    remaining_time: float
    remaining_objective: float
    attempts: int
    priority_weight: float
    request_class: str
    path: tuple[str, ...]
    tree_id: str


class Usage(NamedTuple):
    """Attempts that a receiver used, and the time from the whole request to the response, s."""

    attempts: int
    service_time: float


def sign_value(unsigned: bytes, request_id: bytes, key: bytes) -> bytes:
    """Return the MAC of a value in hexadecimal digits."""
    return hmac.digest(key, unsigned + b"\n" + request_id, "sha256")[:MAC_BYTES].hex().encode()


def encode_budget(budget: BudgetHeader, request_id: bytes, keys: Keys) -> bytes:
    """Return the value for the request with this X-Call-Id; numbers are limited to the allowed range."""
    key_id = next(iter(keys))
    unsigned = b"1;t=%d;o=%d;a=%d;w=%d;c=%s;p=%s;i=%s;k=%s" % (
        max(0, min(int(budget.remaining_time * MICROSECONDS), MAX_TIME_US)),
        max(0, min(int(budget.remaining_objective * MICROSECONDS), MAX_TIME_US)),
        max(0, min(budget.attempts, MAX_ATTEMPTS)),
        max(0, min(int(budget.priority_weight * THOUSANDTHS), MAX_WEIGHT_THOUSANDTHS)),
        budget.request_class.encode(),
        ".".join(budget.path).encode(),
        budget.tree_id.encode(),
        key_id,
    )
    return unsigned + MAC_PREFIX + sign_value(unsigned, request_id, keys[key_id])


def decode_budget(value: bytes, request_id: bytes, keys: Keys) -> BudgetHeader:
    """Return the budget of a value that arrived with the request with this X-Call-Id.

    Raises:
        MalformedBudgetError: The value is malformed, or its MAC matches no known key and this request.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise MalformedBudgetError(f"the value is longer than {MAX_VALUE_BYTES} bytes")
    match = VALUE.fullmatch(value)
    if match is None:
        raise MalformedBudgetError(
            "the value is not of the form 1;t=..;o=..;a=..;w=..;c=..;p=..;i=..;k=..;m=.."
        )
    time, objective, attempts, weight, request_class, path, tree_id, key_id, mac = match.groups()
    key = keys.get(key_id)
    if key is None:
        raise MalformedBudgetError(f"key {key_id.decode()} is not known, add it to the key file")
    unsigned = value[: match.start(MAC_GROUP) - len(MAC_PREFIX)]
    if not hmac.compare_digest(sign_value(unsigned, request_id, key), mac):
        raise MalformedBudgetError("the MAC does not match this request")
    if (
        max(int(time), int(objective)) > MAX_TIME_US
        or int(attempts) > MAX_ATTEMPTS
        or int(weight) > MAX_WEIGHT_THOUSANDTHS
    ):
        raise MalformedBudgetError("a number exceeds the limit of its field")
    return BudgetHeader(
        remaining_time=int(time) / MICROSECONDS,
        remaining_objective=int(objective) / MICROSECONDS,
        attempts=int(attempts),
        priority_weight=int(weight) / THOUSANDTHS,
        request_class=request_class.decode(),
        path=tuple(path.decode().split(".")),
        tree_id=tree_id.decode(),
    )


def encode_usage(attempts: int, service_time: float) -> bytes:
    """Return the value that a response carries."""
    return b"1;s=%d;q=%d" % (max(0, attempts), max(0, int(service_time * MICROSECONDS)))


def decode_usage(value: bytes, granted_attempts: int) -> Usage | None:
    """Return the usage that a receiver reports, or None if the value is malformed or exceeds the grant."""
    match = USAGE.fullmatch(value) if len(value) <= MAX_VALUE_BYTES else None
    if match is None or int(match[1]) > granted_attempts:
        return None
    return Usage(int(match[1]), int(match[2]) / MICROSECONDS)


def encode_reference(reference: str) -> bytes:
    """Return the value that names a request to the application."""
    return b"ref;" + reference.encode()


def decode_reference(value: bytes) -> str | None:
    """Return the reference that an application copied, or None if the value is no reference."""
    match = REFERENCE.fullmatch(value) if len(value) <= MAX_VALUE_BYTES else None
    return match[1].decode() if match is not None else None


def exceeds_hop_limit(path: tuple[str, ...], hop_id: str, max_passes: int) -> bool:
    """Return whether a request that has passed these hops must not pass `hop_id` again.

    The path has only ancestors, so a tier that two branches call (a diamond) appears once in each path.
    """
    return len(path) >= MAX_HOPS or path.count(hop_id) >= max_passes
