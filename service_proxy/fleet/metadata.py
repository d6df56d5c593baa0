"""Member metadata: a few bytes of each subsystem that uses the fleet, packed into one byte string.

Performs no I/O and reads no clock.
"""

from __future__ import annotations


def pack_metadata(values: dict[int, bytes]) -> bytes:
    """Return the values in wire format: port, length and bytes of each value, in ascending order of ports."""
    return b"".join(bytes((port, len(data))) + data for port, data in sorted(values.items()))


def unpack_metadata(metadata: bytes) -> dict[int, bytes]:
    """Return the values by port; a truncated value and all bytes after it are ignored."""
    values = {}
    at = 0
    while at + 2 <= len(metadata):
        port = metadata[at]
        size = metadata[at + 1]
        if at + 2 + size > len(metadata):
            break
        values[port] = metadata[at + 2 : at + 2 + size]
        at += 2 + size
    return values
