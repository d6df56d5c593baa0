"""Encoding of the head of a response to a client (RFC 9112, 4 and 6)."""

from __future__ import annotations

from collections.abc import Iterable

from service_proxy.net.http_status import REASON_PHRASES


def encode_response_head(
    status_code: int,
    headers: Iterable[tuple[bytes, bytes]],
    length: int | None,
    is_chunked: bool,
    closes_connection: bool,
) -> bytes:
    """Return the encoded head of a response, with its final empty line.

    Args:
        status_code: Status code.
        headers: Headers other than those of the framing.
        length: Length of the body in bytes; None: the head states no length.
        is_chunked: True if the body has chunked transfer coding; `length` is None then.
        closes_connection: True if the connection closes after the response.
    """
    lines = [b"HTTP/1.1 %d %s" % (status_code, REASON_PHRASES.get(status_code, b"Status"))]
    lines += [name + b": " + value for name, value in headers]
    if length is not None:
        lines.append(b"content-length: %d" % length)
    elif is_chunked:
        lines.append(b"transfer-encoding: chunked")
    if closes_connection:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
