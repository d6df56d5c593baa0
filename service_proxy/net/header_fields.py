"""Header field rules shared by both sides (RFC 9110, 9112): names, white space and hop-by-hop fields."""

from __future__ import annotations

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)


def parse_field(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Return a field with a lower-case name and without the white space around its value (RFC 9110, 5.5).

    Tabs around a Transfer-Encoding value are kept. The parser doesn't recognize a coding that is followed by
    a tab, so a message with such a coding has to be refused.
    """
    name = name.lower()
    return name, value.strip(b" " if name == b"transfer-encoding" else b" \t")


def closes_connection(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return True if Connection contains close; the parser doesn't accept white space around that option."""
    return any(
        name == b"connection" and b"close" in (option.strip(b" \t").lower() for option in value.split(b","))
        for name, value in headers
    )
