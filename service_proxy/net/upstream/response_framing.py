"""Where a response's body ends, by its head (RFC 9112, 6.3), and what makes a response invalid."""

from __future__ import annotations

from service_proxy.net.errors import NetError
from service_proxy.net.header_fields import closes_connection
from service_proxy.net.http_status import BODILESS
from service_proxy.net.limits import MAX_LENGTH_DIGITS, MAX_MESSAGE_BYTES

MAX_HEAD_BYTES = 32 * 1024  # of a response's headers, with all 1xx responses ahead of it


class InvalidResponseError(NetError, ValueError):
    """An endpoint's response breaks HTTP/1.1 or a bound; the attempt may still have been executed."""


def response_framing(status_code: int, headers: list[tuple[bytes, bytes]]) -> tuple[int | None, bool]:
    """Return the body's length, where the head tells, and whether it ends with the connection.

    Raises:
        InvalidResponseError: there is no one way to tell, or the response is too large.
    """
    if sum(len(name) + len(value) for name, value in headers) > MAX_HEAD_BYTES:
        raise InvalidResponseError("headers too large")
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise InvalidResponseError("no one way to tell its length")
        return None, False
    if lengths:
        return _content_length(lengths), False
    if status_code in BODILESS:
        return None, False
    # It ends with the connection, if the endpoint says that it will: else there is no end to wait for.
    if not closes_connection(headers):
        raise InvalidResponseError("no length")
    return None, True


def _content_length(values: list[bytes]) -> int:
    value = values[0]
    if len(values) > 1 or not value.isdigit():
        raise InvalidResponseError("a length that can't be read")
    if len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_MESSAGE_BYTES:
        raise InvalidResponseError("body too large")
    return int(value)
