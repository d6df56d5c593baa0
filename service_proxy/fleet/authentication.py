"""Message authentication and replay protection of datagrams. Pure.

With keys the tag is HMAC-SHA256 (RFC 2104) under a key derived from the fleet's for this one use, cut to 8
bytes (RFC 2104, 5: no less than half of the hash is usual for long-lived data; these are of use for seconds,
and a forger has one guess a datagram). Without keys it is a checksum, against what the network spoils.

Replays: a window over the sequence numbers of each sender's process, as in RFC 4303, 3.4.3 and appendix A2.
It is kept by receivers in memory: what is replayed to one that has just started is accepted once, and says
nothing that the order of incarnations does not already put below what holds.
"""

from __future__ import annotations

import hmac
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import sha256

from service_proxy.fleet.members import MemberKey
from service_proxy.fleet.wire import AUTH_TAG_BYTES

REPLAY_WINDOW = 256  # numbers that may come out of order
MAX_SENDERS = 20_000  # processes whose numbers are remembered; the one that sent longest ago is forgotten
# Domain separation of the MAC's key. It carries the package's former name, and stays as it is: members of the
# former version must accept what this one signs, and the other way round.
PURPOSE = b"granitepoint fleet datagram 1"


class MessageAuthenticator:
    """Appends tags to datagrams and verifies them.

    `keys`: the first signs, all are accepted, so that keys can be rotated; without any: checksums.
    """

    def __init__(self, keys: Iterable[bytes] = ()) -> None:
        self.keys = [hmac.digest(key, PURPOSE, "sha256") for key in keys]
        # Both pads of HMAC are hashed once: a datagram costs two short hashes.
        self.keyed_hashes = [hmac.new(key, digestmod=sha256) for key in self.keys]

    def _mac(self, keyed_hash: hmac.HMAC, data: bytes) -> bytes:
        mac = keyed_hash.copy()
        mac.update(data)
        return mac.digest()[:AUTH_TAG_BYTES]

    def seal(self, data: bytes) -> bytes:
        """Return the datagram with its tag."""
        if not self.keyed_hashes:
            return data + zlib.crc32(data).to_bytes(4, "big") + bytes(4)
        return data + self._mac(self.keyed_hashes[0], data)

    def verify(self, data: bytes) -> bool:
        """Return whether the datagram's tag is right under any of the keys."""
        message = data[:-AUTH_TAG_BYTES]
        tag = data[-AUTH_TAG_BYTES:]
        if not self.keyed_hashes:
            return tag == zlib.crc32(message).to_bytes(4, "big") + bytes(4)
        return any(
            hmac.compare_digest(tag, self._mac(keyed_hash, message)) for keyed_hash in self.keyed_hashes
        )


class ReplayWindow:
    """The sequence numbers that arrived from each sender's process, in a sliding window for each."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self.max_senders = max_senders
        self.windows: OrderedDict[tuple[MemberKey, int, int], tuple[int, int]] = OrderedDict()

    def accept(self, sender: MemberKey, process: tuple[int, int], sequence_number: int) -> bool:
        """Return whether a number arrives for the first time and not too late, and remember it."""
        process_key = (sender, *process)
        highest, bitmap = self.windows.get(process_key, (0, 0))
        if sequence_number > highest:
            bitmap = (
                (bitmap << (sequence_number - highest) | 1) & ((1 << REPLAY_WINDOW) - 1)
                if sequence_number - highest < REPLAY_WINDOW
                else 1
            )
            highest = sequence_number
        else:
            lag = highest - sequence_number
            if lag >= REPLAY_WINDOW or bitmap >> lag & 1:
                return False
            bitmap |= 1 << lag
        self.windows[process_key] = highest, bitmap
        self.windows.move_to_end(process_key)
        if len(self.windows) > self.max_senders:
            self.windows.popitem(last=False)
        return True
