"""Tests of the opening handshake as server and as client, without a socket."""

from __future__ import annotations

import base64

import pytest

from service_proxy.websocket.opening_handshake import (
    ClientHandshake,
    HandshakeRejectedError,
    OpeningRequest,
    accept_key,
    check_origin,
    choose_subprotocol,
    encode_response,
    parse_opening,
)

KEY = b"dGhlIHNhbXBsZSBub25jZQ=="  # Example key of RFC 6455, 1.3.
VALID_HEADERS = (
    (b"host", b"x"),
    (b"upgrade", b"websocket"),
    (b"connection", b"Upgrade"),
    (b"sec-websocket-key", KEY),
    (b"sec-websocket-version", b"13"),
)


def headers_with(**fields: bytes | None) -> list[tuple[bytes, bytes]]:
    """Return VALID_HEADERS with these fields replaced; None removes a field."""
    names = {name.replace("_", "-").encode(): value for name, value in fields.items()}
    unchanged = [pair for pair in VALID_HEADERS if pair[0] not in names]
    return unchanged + [(name, value) for name, value in names.items() if value is not None]


def test_the_accept_key_is_that_of_the_rfc() -> None:
    assert accept_key(KEY) == b"s3pPLMBiTxaQ9kYGzzhZRbK+xOo="


def test_a_valid_opening_request_is_parsed() -> None:
    headers = headers_with(
        connection=b"keep-alive, UPGRADE",
        upgrade=b"WebSocket",
        origin=b"https://k",
        sec_websocket_protocol=b"a, b",
    )
    opening = parse_opening(b"GET", "1.1", headers, False)
    assert opening == OpeningRequest(KEY, b"https://k", (b"a", b"b"), b"")


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"upgrade": b"h2c"}, 400),
        ({"upgrade": b"websocket, h2c"}, 400),
        ({"upgrade": None}, 400),
        ({"connection": b"keep-alive"}, 400),
        ({"connection": None}, 400),
        ({"sec_websocket_version": b"8"}, 426),
        ({"sec_websocket_version": None}, 426),
        ({"sec_websocket_key": None}, 400),
        ({"sec_websocket_key": b"short"}, 400),
        ({"sec_websocket_key": base64.b64encode(b"x" * 15)}, 400),
        ({"sec_websocket_key": KEY + b"\xff"}, 400),
        ({"transfer_encoding": b"chunked"}, 400),
        ({"sec_websocket_protocol": b"a, a"}, 400),
        ({"sec_websocket_protocol": b"a b"}, 400),
        ({"sec_websocket_protocol": b",".join(b"p%d" % n for n in range(17))}, 400),
    ],
)
def test_an_opening_request_that_the_rfc_forbids_is_rejected(
    fields: dict[str, bytes | None], code: int
) -> None:
    with pytest.raises(HandshakeRejectedError) as rejected:
        parse_opening(b"GET", "1.1", headers_with(**fields), False)
    assert rejected.value.status_code == code
    if code == 426:
        assert rejected.value.headers == ((b"sec-websocket-version", b"13"),)


def test_repeated_fields_a_body_other_methods_and_versions_are_rejected() -> None:
    for headers in (
        [*VALID_HEADERS, (b"sec-websocket-key", KEY)],
        [*VALID_HEADERS, (b"sec-websocket-version", b"13")],
        [*VALID_HEADERS, (b"upgrade", b"websocket")],
        [*VALID_HEADERS, (b"origin", b"a"), (b"origin", b"b")],
    ):
        with pytest.raises(HandshakeRejectedError):
            parse_opening(b"GET", "1.1", headers, False)
    for method, version, body in ((b"POST", "1.1", False), (b"GET", "1.0", False), (b"GET", "1.1", True)):
        with pytest.raises(HandshakeRejectedError):
            parse_opening(method, version, VALID_HEADERS, body)


def test_the_origin_is_checked_where_a_browser_sends_one() -> None:
    opening = parse_opening(b"GET", "1.1", headers_with(origin=b"https://Kiosk.example"), False)
    check_origin(opening, ["https://kiosk.example"])
    check_origin(opening, [])
    with pytest.raises(HandshakeRejectedError) as rejected:
        check_origin(opening, ["https://other.example"])
    assert rejected.value.status_code == 403
    check_origin(parse_opening(b"GET", "1.1", VALID_HEADERS, False), ["https://other.example"])


def test_the_subprotocol_is_the_clients_first_that_is_configured() -> None:
    opening = parse_opening(b"GET", "1.1", headers_with(sec_websocket_protocol=b"a, b, c"), False)
    assert choose_subprotocol(opening, ["c", "b"]) == b"b"
    assert choose_subprotocol(opening, ["z"]) == b""
    assert b"\r\nsec-websocket-protocol: b\r\n" in encode_response(opening, b"b")
    assert b"protocol" not in encode_response(opening, b"")
    assert b"extensions" not in encode_response(opening, b"")


def response_headers(handshake: ClientHandshake, **fields: bytes) -> list[tuple[bytes, bytes]]:
    headers = {
        b"upgrade": b"websocket",
        b"connection": b"upgrade",
        b"sec-websocket-accept": accept_key(handshake.key),
    }
    headers |= {name.replace("_", "-").encode(): value for name, value in fields.items()}
    return list(headers.items())


def test_an_endpoints_101_must_match_the_sent_key() -> None:
    handshake = ClientHandshake((b"a",))
    lines = handshake.request_headers(b"n" * 16)
    assert b"sec-websocket-key: " + base64.b64encode(b"n" * 16) + b"\r\n" in lines
    assert b"sec-websocket-protocol: a\r\n" in lines
    assert b"extensions" not in lines
    assert handshake.verify_response(response_headers(handshake)) is None
    assert handshake.verify_response(response_headers(handshake, sec_websocket_protocol=b"a")) is None
    for wrong in (
        {"sec_websocket_accept": accept_key(KEY)},
        {"upgrade": b"h2c"},
        {"connection": b"close"},
        {"sec_websocket_extensions": b"permessage-deflate"},
        {"sec_websocket_protocol": b"b"},
        {"sec_websocket_protocol": b"a, a"},
    ):
        assert handshake.verify_response(response_headers(handshake, **wrong)), wrong
    previous = response_headers(handshake)
    handshake.request_headers(b"m" * 16)  # The next attempt has its own key.
    assert handshake.verify_response(previous)
