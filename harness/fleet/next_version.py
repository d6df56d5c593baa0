"""Run a module as the next version of the program would speak.

Version 2 at each datagram's head, two bytes more in its header, and a section that is not known yet.

    python -m harness.fleet.next_version MODULE [ARGUMENT...]
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from service_proxy.fleet import wire

UNKNOWN = bytes((199, 3)) + b"n+1"


def speak_next_version() -> None:
    """From now on have this process write so."""
    write = wire.encode_datagram

    def newer(*arguments: Any) -> bytes:
        data = write(*arguments)
        end = wire.HEADER_LAYOUT.size + data[6]
        more = (
            UNKNOWN if len(data) + 2 + len(UNKNOWN) + wire.AUTH_TAG_BYTES <= wire.MAX_DATAGRAM_BYTES else b""
        )
        grown = bytes((2,)) + data[1:6] + bytes((data[6] + 2,)) + data[7:end] + b"\0\0" + data[end:] + more
        return grown if len(grown) + wire.AUTH_TAG_BYTES <= wire.MAX_DATAGRAM_BYTES else b"\x02" + data[1:]

    wire.encode_datagram = newer  # type: ignore[assignment]


def main(argv: list[str]) -> None:
    """Run the module that the command line names."""
    speak_next_version()
    sys.argv = argv
    runpy.run_module(argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
