"""Message authentication and replay protection of datagrams. Performs no I/O and reads no clock.

With keys, the tag is HMAC-SHA256 (RFC 2104) cut to 8 bytes, under a key derived from the fleet's key for this
purpose only. RFC 2104, 5 recommends at least half of the hash for long-lived data. 8 bytes suffice here,
because a datagram is useful for seconds only and a forger has one guess per datagram. Without keys, the tag
is a checksum, which detects corruption in the network but not forgery.

Replay protection is a sliding window over the sequence numbers of each sender's process, as in RFC 4303,
3.4.3 and appendix A2. Each receiver keeps the windows in memory only, so a receiver that has just started
accepts a replayed datagram once. Such a replay is harmless: the order of incarnations already ranks its
claims below those that are in force.
"""

from __future__ import annotations

import hmac
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from hashlib import sha256

from service_proxy.fleet.members import MemberKey
from service_proxy.fleet.wire import AUTH_TAG_BYTES

REPLAY_WINDOW = 256  # Sequence numbers per sender's process within which a datagram may arrive out of order.
# Sender processes with a replay window; beyond this number the window of the process that sent longest ago is
# discarded.
MAX_SENDERS = 20_000
# Domain separation of the MAC's key. The text contains the package's former name and must not change, because
# members of the former version and of this one must accept each other's datagrams.
PURPOSE = b"granitepoint fleet datagram 1"


class MessageAuthenticator:
    """Appends tags to datagrams and verifies them.

    `keys`: the first key signs and all keys are accepted, so that keys can be rotated. Without keys, the tags
    are checksums.
    """

    def __init__(self, keys: Iterable[bytes] = ()) -> None:
        self.keys = [hmac.digest(key, PURPOSE, "sha256") for key in keys]
        # Both pads of HMAC are hashed once per key, so that each datagram costs only two short hashes.
        self.keyed_hashes = [hmac.new(key, digestmod=sha256) for key in self.keys]

    def _mac(self, keyed_hash: hmac.HMAC, data: bytes) -> bytes:
        mac = keyed_hash.copy()
        mac.update(data)
        return mac.digest()[:AUTH_TAG_BYTES]

    def seal(self, data: bytes) -> bytes:
        """Return the datagram with its tag appended."""
        if not self.keyed_hashes:
            return data + zlib.crc32(data).to_bytes(4, "big") + bytes(4)
        return data + self._mac(self.keyed_hashes[0], data)

    def verify(self, data: bytes) -> bool:
        """Return whether the datagram's tag is valid under any key, or as a checksum without keys."""
        message = data[:-AUTH_TAG_BYTES]
        tag = data[-AUTH_TAG_BYTES:]
        if not self.keyed_hashes:
            return tag == zlib.crc32(message).to_bytes(4, "big") + bytes(4)
        return any(
            hmac.compare_digest(tag, self._mac(keyed_hash, message)) for keyed_hash in self.keyed_hashes
        )


class ReplayWindow:
    """Sliding windows over the sequence numbers received from each sender's process."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self.max_senders = max_senders
        self.windows: OrderedDict[tuple[MemberKey, int, int], tuple[int, int]] = OrderedDict()

    def accept(self, sender: MemberKey, process: tuple[int, int], sequence_number: int) -> bool:
        """Record a sequence number; return whether it is new and in the window of the sender's process."""
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
