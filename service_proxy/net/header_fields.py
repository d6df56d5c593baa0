"""Header fields as both sides read them (RFC 9110, 9112): names, white space, what ends at a hop."""

from __future__ import annotations

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)


def parse_field(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Return a field without the white space behind its value, which is no part of it (RFC 9110, 5.5).

    The parser reads a coding with a tab behind it as none at all, so there a tab stays, and the message is
    refused.
    """
    name = name.lower()
    return name, value.strip(b" " if name == b"transfer-encoding" else b" \t")


def closes_connection(headers: list[tuple[bytes, bytes]]) -> bool:
    """Tell whether Connection says that this message is the last; the parser wants no white space there."""
    return any(
        name == b"connection" and b"close" in (option.strip(b" \t").lower() for option in value.split(b","))
        for name, value in headers
    )
