"""Member metadata: a few bytes for each subsystem that stands on the fleet, in one string of bytes. Pure."""

from __future__ import annotations


def pack_metadata(values: dict[int, bytes]) -> bytes:
    """Return the values as they travel: of each its port, its length and its bytes, in the order of ports."""
    return b"".join(bytes((port, len(data))) + data for port, data in sorted(values.items()))


def unpack_metadata(metadata: bytes) -> dict[int, bytes]:
    """Return the values by port; a value that is cut short, and what follows it, is left out."""
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
