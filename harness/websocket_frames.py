"""Builder of client WebSocket frames, valid and invalid, and of seeded random sequences of frames."""

from __future__ import annotations

import struct
from random import Random

MASK = b"\x01\x02\x03\x04"


def frame(
    opcode: int, data: bytes = b"", fin: bool = True, rsv: int = 0, mask: bool = True, length: bytes = b""
) -> bytes:
    """Return one frame; `length` replaces the bytes of its length field."""
    if not length:
        size = len(data)
        length = bytes([size]) if size < 126 else b"\x7e" + struct.pack("!H", size)
        if size > 65535:
            length = b"\x7f" + struct.pack("!Q", size)
    head = bytes([(0x80 if fin else 0) | rsv << 4 | opcode])
    if not mask:
        return head + length + data
    masked = bytes(byte ^ MASK[n % 4] for n, byte in enumerate(data))
    return head + bytes([length[0] | 0x80]) + length[1:] + MASK + masked


def random_frames(random: Random) -> bytes:
    """Return one to five random frames, most of them valid."""
    return b"".join(
        frame(
            random.choice((1, 2, 2, 9, 10)) if random.random() < 0.9 else random.randrange(16),
            random.randbytes(random.choice((0, 1, 2, 5, 130))) if random.random() < 0.1 else b"texto",
            random.random() < 0.95,
            0 if random.random() < 0.97 else random.randrange(8),
            random.random() < 0.98,
            b"" if random.random() < 0.98 else bytes([random.randrange(128)]) + random.randbytes(8),
        )
        for _ in range(random.randrange(1, 6))
    )
