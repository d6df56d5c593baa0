"""What travels between sidecars: one header field, read and written byte by byte, with its MAC. Pure.

    Tier-Budget: 1;t=1200000;o=500000;a=4;w=12000;c=read;p=edge.front;i=9b1f03aa5c7e2d41;k=k1;m=<32 hex>

    value   = "1;t=" number ";o=" number ";a=" number ";w=" number ";c=" name ";p=" mark *7( "." mark )
              ";i=" id ";k=" key ";m=" mac
    number  = "0" / ( %x31-39 *14DIGIT )             ; no sign, no leading zero
    name    = LOWER *62( LOWER / DIGIT / "-" / "_" )
    mark    = name                                   ; one tier that the request has passed
    id      = 16HEXLOW                               ; of the whole tree of calls
    key     = 1*16( LOWER / DIGIT )
    mac     = 32HEXLOW

`t`: microseconds that the receiver may take, counted from when it has the head: time left, not an instant, so
no two clocks have to agree. `o`: the same until the outer aim, after which the answer is worth less; `a`:
attempts that it and all below it may make. `w`: worth in thousandths. `c`:
the class of the outermost request. `m`: the first 16 bytes of HMAC-SHA256 (RFC 2104, RFC 6234) over the value
up to `;m=`, LF, and the request's X-Call-Id, so that a value is of no use on another call.

Back with an answer: `Tier-Budget: 1;s=3;q=81000`: attempts that were spent of `a`, and microseconds from the
whole request to the answer.

To an application, and from it with the calls that it makes for that request: `Tier-Budget: ref;<16 hex>`, a
name that only its own sidecar knows.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Mapping
from dataclasses import dataclass

FIELD = b"tier-budget"
MOST_BYTES = 512  # of a value
MOST_HOPS = 8  # marks in a path
MOST_TIME = 3600.0  # s; more is no call's time
MOST_ATTEMPTS = 9999  # of a tree
MOST_WORTH = 1e6  # as a description's class may have
MAC_BYTES = 16
NUMBER = rb"(0|[1-9][0-9]{0,14})"
NAME = rb"[a-z][a-z0-9_-]{0,62}"
VALUE = re.compile(
    rb"1;t="
    + NUMBER
    + rb";o="
    + NUMBER
    + rb";a="
    + NUMBER
    + rb";w="
    + NUMBER
    + rb";c=("
    + NAME
    + rb");p=("
    + NAME
    + rb"(?:\."
    + NAME
    + rb"){0,%d});i=([0-9a-f]{16});k=([a-z0-9]{1,16});m=([0-9a-f]{32})" % (MOST_HOPS - 1)
)
SPENT = re.compile(rb"1;s=" + NUMBER + rb";q=" + NUMBER)
REFERENCE = re.compile(rb"ref;([0-9a-f]{16})")
Keys = Mapping[bytes, bytes]  # by id; the first signs, all are accepted


class Malformed(ValueError):
    """A value that is none; the message says why."""


@dataclass(frozen=True, slots=True)
class Budget:
    """What a request has left. Times in seconds."""

    time: float
    aim: float
    attempts: int
    worth: float
    cls: str
    path: tuple[str, ...]
    tree: str


def sign(unsigned: bytes, call: bytes, key: bytes) -> bytes:
    return hmac.digest(key, unsigned + b"\n" + call, "sha256")[:MAC_BYTES].hex().encode()


def write(budget: Budget, call: bytes, keys: Keys) -> bytes:
    """The field's value for the call of this X-Call-Id. What is too large is written as the most there is."""
    name = next(iter(keys))
    unsigned = b"1;t=%d;o=%d;a=%d;w=%d;c=%s;p=%s;i=%s;k=%s" % (
        max(0, min(int(budget.time * 1e6), int(MOST_TIME * 1e6))),
        max(0, min(int(budget.aim * 1e6), int(MOST_TIME * 1e6))),
        max(0, min(budget.attempts, MOST_ATTEMPTS)),
        max(0, min(int(budget.worth * 1e3), int(MOST_WORTH * 1e3))),
        budget.cls.encode(),
        ".".join(budget.path).encode(),
        budget.tree.encode(),
        name,
    )
    return unsigned + b";m=" + sign(unsigned, call, keys[name])


def read(value: bytes, call: bytes, keys: Keys) -> Budget:
    """Raises Malformed: also where the MAC is not that of a known key, or of this call."""
    if len(value) > MOST_BYTES:
        raise Malformed(f"longer than {MOST_BYTES} bytes")
    found = VALUE.fullmatch(value)
    if found is None:
        raise Malformed("not of the form 1;t=..;a=..;w=..;c=..;p=..;i=..;k=..;m=..")
    time, aim, attempts, worth, cls, path, tree, name, mac = found.groups()
    key = keys.get(name)
    if key is None:
        raise Malformed(f"key {name.decode()} is not known")
    if not hmac.compare_digest(sign(value[: found.start(9) - 3], call, key), mac):
        raise Malformed("its MAC is not that of this call")
    if (
        max(int(time), int(aim)) > MOST_TIME * 1e6
        or int(attempts) > MOST_ATTEMPTS
        or int(worth) > MOST_WORTH * 1e3
    ):
        raise Malformed("a number is larger than any budget")
    marks = tuple(path.decode().split("."))
    return Budget(
        int(time) / 1e6, int(aim) / 1e6, int(attempts), int(worth) / 1e3, cls.decode(), marks, tree.decode()
    )


def write_spent(spent: int, took: float) -> bytes:
    return b"1;s=%d;q=%d" % (max(0, spent), max(0, int(took * 1e6)))


def read_spent(value: bytes, lent: int) -> tuple[int, float] | None:
    """Attempts spent of those lent, and s that the receiver took; None where it says nothing usable."""
    found = SPENT.fullmatch(value) if len(value) <= MOST_BYTES else None
    if found is None or int(found[1]) > lent:
        return None
    return int(found[1]), int(found[2]) / 1e6


def write_reference(name: str) -> bytes:
    return b"ref;" + name.encode()


def read_reference(value: bytes) -> str | None:
    found = REFERENCE.fullmatch(value) if len(value) <= MOST_BYTES else None
    return found[1].decode() if found is not None else None


def looped(path: tuple[str, ...], tier: str, passes: int) -> bool:
    """Whether a request that has come this way may not pass the tier again. The path holds ancestors alone,
    so
    a tier that two branches call (a diamond) stands on each of them once."""
    return len(path) >= MOST_HOPS or path.count(tier) >= passes
