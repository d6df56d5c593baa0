"""Run a module that sends datagrams like the next version of the protocol.

Each datagram has version 2 at its head, two additional bytes in its header, and a section of an unknown type.

    python -m harness.fleet.next_version MODULE [ARGUMENT...]
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from service_proxy.fleet import wire

UNKNOWN_SECTION = bytes((199, 3)) + b"n+1"


def install_next_version() -> None:
    """Replace this process's datagram encoder by one that encodes the next version."""
    encode = wire.encode_datagram

    def encode_next_version(*arguments: Any) -> bytes:
        data = encode(*arguments)
        end = wire.HEADER_LAYOUT.size + data[6]
        unknown_section = (
            UNKNOWN_SECTION
            if len(data) + 2 + len(UNKNOWN_SECTION) + wire.AUTH_TAG_BYTES <= wire.MAX_DATAGRAM_BYTES
            else b""
        )
        extended = (
            bytes((2,))
            + data[1:6]
            + bytes((data[6] + 2,))
            + data[7:end]
            + b"\0\0"
            + data[end:]
            + unknown_section
        )
        return (
            extended if len(extended) + wire.AUTH_TAG_BYTES <= wire.MAX_DATAGRAM_BYTES else b"\x02" + data[1:]
        )

    wire.encode_datagram = encode_next_version  # type: ignore[assignment]


def main(argv: list[str]) -> None:
    """Run the module that the command line names."""
    install_next_version()
    sys.argv = argv
    runpy.run_module(argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
