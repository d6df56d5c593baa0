"""Validation of a request's head by RFC 9110, RFC 9112 and the platform's protocol; builds the `Request`."""

from __future__ import annotations

import re
from collections.abc import Mapping

from service_proxy.net.downstream.request import BadRequestError, Request
from service_proxy.net.header_fields import HOP_BY_HOP
from service_proxy.net.limits import MAX_LENGTH_DIGITS
from service_proxy.net.request_body import RequestBody
from service_proxy.policy.settings_types import Idempotency

# Size of a request body up to which the body is always buffered until it is complete.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Control characters that are rejected in a header's value.
CONTROL_BYTES = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Request target without a fragment (RFC 9112, 3.2.1).
TARGET_PATTERN = re.compile(rb"/[A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]*")
# Host value: uri-host [ ":" port ] (RFC 9110, 7.2).
HOST_PATTERN = re.compile(rb"[A-Za-z0-9\-._~%!$&'()*+,;=:\[\]]*")
TIME_BUDGET_PATTERN = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")  # X-Budget value in ms (m) or us (u).
REMOVED_REQUEST_HEADERS = HOP_BY_HOP | {b"x-budget", b"expect", b"x-load-report"}
# Headers that Connection must not remove, because they identify the request.
PROTECTED_HEADERS = frozenset(
    b"host x-call-id x-budget x-caller cookie x-again x-call-cost idempotency-key".split()
)
NO_HEADER_NAMES: frozenset[bytes] = frozenset()

Headers = list[tuple[bytes, bytes]]


def _single_value(headers: Headers, name: bytes) -> bytes:
    """Return the value of a field that may occur at most once, or b"" if the field is missing."""
    found: bytes | None = None
    for key, value in headers:
        if key == name:
            if found is not None:
                raise BadRequestError(400, f"more than one {name.decode()}")
            found = value
    return found or b""


def validate_head(version: str, headers: Headers, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES) -> None:
    """Raise BadRequestError if RFC 9112 (2.3, 3.2, 6.1 to 6.3) requires a rejection before a body is read.

    Args:
        version: the HTTP version that the parser reports.
        headers: headers with names in lower case.
        max_body_bytes: limit of Content-Length.

    Raises:
        BadRequestError: the head is invalid; the error contains the status code and the reason.
    """
    hosts = [value for name, value in headers if name == b"host"]
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if version != "1.1":
        _validate_other_version(version, codings)
    elif not hosts:
        raise BadRequestError(400, "Host is missing")
    if len(hosts) > 1 or (hosts and not HOST_PATTERN.fullmatch(hosts[0])):
        raise BadRequestError(400, "Host is given twice, or malformed")
    # A body whose end can be determined in two ways would allow request smuggling: an endpoint could read a
    # second request inside the first one's body.
    if len(lengths) + len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
        raise BadRequestError(400, "no one way to tell the length")
    if lengths:
        if not lengths[0].isdigit():
            raise BadRequestError(400, "Content-Length is malformed")
        if len(lengths[0]) > MAX_LENGTH_DIGITS or int(lengths[0]) > max_body_bytes:
            raise BadRequestError(413, "body too large")


def _validate_other_version(version: str, codings: list[bytes]) -> None:
    if version == "2.0":
        raise BadRequestError(505, "HTTP/2.0 is not spoken on a connection that begins with HTTP/1")
    if version != "1.0":  # httptools reports a line without a version as 0.9, which has no headers.
        raise BadRequestError(400, "the request line has no HTTP version that has headers")
    if codings:
        raise BadRequestError(400, "HTTP/1.0 has no Transfer-Encoding")


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the field names listed in Connection; these fields must not be forwarded (RFC 9110, 7.6.1)."""
    names: set[bytes] = set()
    for name, value in headers:
        if name == b"connection" and value not in (b"keep-alive", b"close"):
            names.update(option.strip().lower() for option in value.split(b","))
    return frozenset(names)


def parse_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: RequestBody,
    received_at: float,
    idempotency_by_class: Mapping[str, Idempotency],
    consumed_headers: frozenset[bytes] = NO_HEADER_NAMES,
) -> Request:
    """Build a `Request` from a request's head by the platform's protocol; header names are in lower case.

    `body` may be incomplete; `received_at` (monotonic, s) is when the last byte so far was received.
    This proxy's filters consume `consumed_headers`, which are not forwarded. Raises BadRequestError.
    """
    _validate_bytes(target, headers)
    class_name = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    idempotency = idempotency_by_class.get(class_name)
    if idempotency is None:
        raise BadRequestError(404, "no such class")
    request_id = _single_value(headers, b"x-call-id")
    idempotency_key = _single_value(headers, b"idempotency-key")
    if not request_id:
        raise BadRequestError(400, "X-Call-Id is missing")
    time_budget = _time_budget(headers)
    _validate_class_rules(method, idempotency, idempotency_key, body)
    expected_work = _expected_work(headers)
    return Request(
        id=request_id,
        class_name=class_name,
        time_budget=time_budget,
        head=_forwarded_head(method, target, headers, body, consumed_headers),
        affinity_key=_affinity_key(headers),
        tenant=_single_value(headers, b"x-caller").decode("latin-1"),
        expected_work=expected_work,
        is_retry=_single_value(headers, b"x-again") == b"1",
        body=body,
        received_at=received_at,
        idempotency_key=idempotency_key,
        consumed=tuple(pair for pair in headers if pair[0] in consumed_headers) if consumed_headers else (),
    )


def _validate_bytes(target: bytes, headers: Headers) -> None:
    """Raise BadRequestError for characters that an endpoint might interpret differently."""
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequestError(400, "the target is not a path")
    if any(CONTROL_BYTES.search(value) for _, value in headers):
        raise BadRequestError(400, "a header holds what a backend might not read")


def _time_budget(headers: Headers) -> float:
    """Return X-Budget (`480m` or `480000u`) in s."""
    time_budget = TIME_BUDGET_PATTERN.fullmatch(_single_value(headers, b"x-budget"))
    if time_budget is None:
        raise BadRequestError(400, "X-Budget is missing or malformed")
    return float(time_budget[1]) / (1e3 if time_budget[2] == b"m" else 1e6)


def _validate_class_rules(
    method: bytes, idempotency: Idempotency, idempotency_key: bytes, body: RequestBody
) -> None:
    """Raise BadRequestError if the method, idempotency key or body doesn't fit the request class."""
    if method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError(400, "wrong method for the class")
    if (idempotency is Idempotency.IDEMPOTENT_WITH_KEY) != bool(idempotency_key):
        raise BadRequestError(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body.received_bytes and method == b"GET":
        raise BadRequestError(400, "a GET has no body")


def _expected_work(headers: Headers) -> float:
    """Return X-Call-Cost (us) in s, or 0 if the value is not finite.

    The difference of a number and itself is 0 only if the number is finite.
    """
    try:
        expected_work = max(0.0, float(_single_value(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequestError(400, "X-Call-Cost is malformed") from None
    return expected_work if expected_work - expected_work == 0.0 else 0.0


def _forwarded_head(
    method: bytes, target: bytes, headers: Headers, body: RequestBody, consumed_headers: frozenset[bytes]
) -> bytes:
    """Build the forwarded head, without hop-by-hop and consumed headers and without the final empty line.

    Headers such as X-Budget are added for each attempt.
    """
    listed_in_connection = connection_options(headers)
    if listed_in_connection & PROTECTED_HEADERS:
        raise BadRequestError(400, "Connection names a header that belongs to the call")
    lines = [method + b" " + target + b" HTTP/1.1"]
    removed = REMOVED_REQUEST_HEADERS | consumed_headers if consumed_headers else REMOVED_REQUEST_HEADERS
    lines += [
        name + b": " + value
        for name, value in headers
        if name not in removed and name not in listed_in_connection
    ]
    if method == b"POST":
        chunked = body.length is None
        lines.append(b"transfer-encoding: chunked" if chunked else b"content-length: %d" % (body.length or 0))
    return b"\r\n".join(lines) + b"\r\n"


def _affinity_key(headers: Headers) -> str:
    """Return the session identifier from the cookie, which names the subject of the request."""
    affinity_key = ""
    for part in _single_value(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            affinity_key = value.decode("latin-1")
    return affinity_key
