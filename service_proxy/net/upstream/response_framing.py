"""Body length of a response as stated by its head (RFC 9112, 6.3), and errors of invalid responses."""

from __future__ import annotations

from service_proxy.net.errors import NetError
from service_proxy.net.header_fields import closes_connection
from service_proxy.net.http_status import BODILESS
from service_proxy.net.limits import MAX_LENGTH_DIGITS, MAX_MESSAGE_BYTES

STATUS_LINE_BYTES = 12  # Bytes of a response up to its status code.
MAX_HEAD_BYTES = 32 * 1024  # Bound on the headers of a response, including all preceding 1xx responses.


class InvalidResponseError(NetError, ValueError):
    """Response that violates HTTP/1.1 or a size limit; the request may still have been executed."""


def is_unrequested_response(first_bytes: bytes) -> bool:
    """Return whether bytes on an idle connection begin a response that answers no request.

    A 408 is none: a server may send it before it closes an idle connection (RFC 9110, 15.5.9).
    """
    return first_bytes.startswith(b"HTTP/1.") and not first_bytes.endswith(b" 408")


def response_framing(status_code: int, headers: list[tuple[bytes, bytes]]) -> tuple[int | None, bool]:
    """Return the body length if the head states one, and whether the body ends with the connection.

    Raises:
        InvalidResponseError: The body length is missing or ambiguous, or the response is too large.
    """
    if sum(len(name) + len(value) for name, value in headers) > MAX_HEAD_BYTES:
        raise InvalidResponseError("response headers too large")
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise InvalidResponseError(
                "Transfer-Encoding is not a single 'chunked', or Content-Length is present as well"
            )
        return None, False
    if lengths:
        return _content_length(lengths), False
    if status_code in BODILESS:
        return None, False
    # A body without a stated length ends with the connection, if the endpoint announces the close. Otherwise
    # the end of the body could not be detected.
    if not closes_connection(headers):
        raise InvalidResponseError("neither a body length nor 'Connection: close' is given")
    return None, True


def _content_length(values: list[bytes]) -> int:
    value = values[0]
    if len(values) > 1 or not value.isdigit():
        raise InvalidResponseError("Content-Length is repeated or not a number")
    if len(value) > MAX_LENGTH_DIGITS or int(value) > MAX_MESSAGE_BYTES:
        raise InvalidResponseError("Content-Length exceeds the size limit")
    return int(value)
