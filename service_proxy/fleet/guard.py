"""Whether a datagram is one of this fleet: its tag, and that it was not seen before. Pure.

With keys the tag is HMAC-SHA256 (RFC 2104) under a key made from the fleet's for this one use, cut to 8 bytes
(RFC 2104, 5: no less than half of the hash is usual for long-lived data; these are of use for seconds, and a
forger has one guess a datagram). Without keys it is a checksum, for what the network spoils.

Replays: a window over the numbers of each sender's process, as in RFC 4303, 3.4.3 and appendix A2. It is kept
by receivers in memory: what is replayed to one that has just started is taken once, and says nothing that the
order of incarnations does not already put below what holds.
"""

from __future__ import annotations

import hmac
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import sha256

from service_proxy.fleet.entries import Key
from service_proxy.fleet.wire import TAG_BYTES

WINDOW = 256  # numbers that may come out of order
MOST_SENDERS = 20_000  # processes whose numbers are remembered; the one heard of longest ago is let go
PURPOSE = b"granitepoint fleet datagram 1"


class Seals:
    """Puts tags on and checks them. `keys`: the first signs, all are accepted; none: checksums."""

    def __init__(self, keys: Iterable[bytes] = ()) -> None:
        self.keys = [hmac.digest(key, PURPOSE, "sha256") for key in keys]
        # Both pads of HMAC are hashed once: a datagram costs two short hashes.
        self.made = [hmac.new(key, digestmod=sha256) for key in self.keys]

    def _mac(self, made: hmac.HMAC, data: bytes) -> bytes:
        mac = made.copy()
        mac.update(data)
        return mac.digest()[:TAG_BYTES]

    def seal(self, data: bytes) -> bytes:
        if not self.made:
            return data + zlib.crc32(data).to_bytes(4, "big") + bytes(4)
        return data + self._mac(self.made[0], data)

    def holds(self, data: bytes) -> bool:
        said = data[:-TAG_BYTES]
        tag = data[-TAG_BYTES:]
        if not self.made:
            return tag == zlib.crc32(said).to_bytes(4, "big") + bytes(4)
        return any(hmac.compare_digest(tag, self._mac(made, said)) for made in self.made)


class Numbers:
    """The numbers that came from each sender's process."""

    def __init__(self, most: int = MOST_SENDERS) -> None:
        self.most = most
        self.seen: OrderedDict[tuple[Key, int, int], tuple[int, int]] = OrderedDict()

    def fresh(self, sender: Key, process: tuple[int, int], number: int) -> bool:
        """Whether it comes for the first time and not too late; then it counts as come."""
        who = (sender, *process)
        highest, bits = self.seen.get(who, (0, 0))
        if number > highest:
            bits = (bits << (number - highest) | 1) & ((1 << WINDOW) - 1) if number - highest < WINDOW else 1
            highest = number
        else:
            behind = highest - number
            if behind >= WINDOW or bits >> behind & 1:
                return False
            bits |= 1 << behind
        self.seen[who] = highest, bits
        self.seen.move_to_end(who)
        if len(self.seen) > self.most:
            self.seen.popitem(last=False)
        return True
