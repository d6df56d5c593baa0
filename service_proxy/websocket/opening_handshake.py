"""Opening handshake of both sides (RFC 6455, 4.1 and 4.2), without I/O."""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from service_proxy.websocket.errors import WebSocketError

# Suffix of the key that is hashed for Sec-WebSocket-Accept (RFC 6455, 1.3).
GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
VERSION = b"13"
KEY_BYTES = 16
MAX_SUBPROTOCOLS = 16  # Subprotocols that one request may offer.
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")
# Header fields that concern the handshake with one side only, and that are not forwarded to the other side.
HANDSHAKE_FIELDS = frozenset(
    b"sec-websocket-key sec-websocket-version sec-websocket-extensions sec-websocket-protocol "
    b"sec-websocket-accept".split()
)

Headers = Sequence[tuple[bytes, bytes]]


class HandshakeRejectedError(WebSocketError):
    """Error that rejects a handshake with this status code and headers; the connection stays HTTP."""

    def __init__(self, code: int, text: str, headers: Headers = ()) -> None:
        super().__init__(text)
        self.status_code = code
        self.headers = headers


@dataclass(frozen=True, slots=True)
class OpeningRequest:
    """Well-formed request for a WebSocket."""

    key: bytes
    origin: bytes  # Empty if the client is a program other than a browser.
    protocols: tuple[bytes, ...]  # Offered subprotocols in the client's order of preference.
    extensions: bytes  # Received values of Sec-WebSocket-Extensions, joined by commas.


def accept_key(key: bytes) -> bytes:
    """Return the proof that the server has read the key as a WebSocket key (RFC 6455, 4.2.2, step 5.4)."""
    return base64.b64encode(hashlib.sha1(key + GUID, usedforsecurity=False).digest())


def field_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header field."""
    return [value for key, value in headers if key == name]


def field_elements(headers: Headers, name: bytes) -> list[bytes]:
    """Return the elements of a list field (RFC 9110, 5.6.1) without the empty ones."""
    found = [part.strip(b" \t") for value in field_values(headers, name) for part in value.split(b",")]
    return [part for part in found if part]


def _single_value(headers: Headers, name: bytes) -> bytes:
    found = field_values(headers, name)
    if len(found) > 1:
        raise HandshakeRejectedError(400, f"more than one {name.decode()}")
    return found[0] if found else b""


def parse_opening(method: bytes, version: str, headers: Headers, has_body: bool) -> OpeningRequest:
    """Check a request for a WebSocket, whose header names are in lower case, and return its handshake fields.

    Raises:
        HandshakeRejectedError: The request is not well formed.
    """
    if method != b"GET" or version != "1.1":
        raise HandshakeRejectedError(400, "a WebSocket is asked for with GET and HTTP/1.1")
    if has_body or field_values(headers, b"transfer-encoding"):
        raise HandshakeRejectedError(400, "a request for a WebSocket has no body")
    if [option.lower() for option in field_elements(headers, b"upgrade")] != [b"websocket"]:
        raise HandshakeRejectedError(400, "no upgrades but to websocket")
    if b"upgrade" not in (option.lower() for option in field_elements(headers, b"connection")):
        raise HandshakeRejectedError(400, "Connection does not name Upgrade")
    if _single_value(headers, b"sec-websocket-version") != VERSION:
        raise HandshakeRejectedError(
            426, "Sec-WebSocket-Version is not 13", ((b"sec-websocket-version", VERSION),)
        )
    key = _single_value(headers, b"sec-websocket-key")
    try:
        nonce = base64.b64decode(key, validate=True)
    except binascii.Error:
        nonce = b""
    if len(nonce) != KEY_BYTES:
        raise HandshakeRejectedError(400, "Sec-WebSocket-Key is missing, or no base64 of 16 bytes")
    protocols = field_elements(headers, b"sec-websocket-protocol")
    if len(protocols) > MAX_SUBPROTOCOLS or len(set(protocols)) != len(protocols):
        raise HandshakeRejectedError(400, "Sec-WebSocket-Protocol offers too many, or one twice")
    if any(not TOKEN.fullmatch(protocol) for protocol in protocols):
        raise HandshakeRejectedError(400, "Sec-WebSocket-Protocol holds what is no token")
    origin = _single_value(headers, b"origin")
    return OpeningRequest(
        key, origin, tuple(protocols), b", ".join(field_values(headers, b"sec-websocket-extensions"))
    )


def check_origin(opening: OpeningRequest, allowed: Iterable[str]) -> None:
    """Check the origin of the page, which a browser does not let a page forge (RFC 6455, 10.2).

    An empty list allows every origin.

    Raises:
        HandshakeRejectedError: The origin is not allowed.
    """
    names = [name.encode() for name in allowed]
    if names and opening.origin and opening.origin.lower() not in names:
        raise HandshakeRejectedError(403, "this Origin may not")


def choose_subprotocol(opening: OpeningRequest, served: Iterable[str]) -> bytes:
    """Return the first offered subprotocol that is served, or b"" if none is. A client may reject b""."""
    names = {name.encode() for name in served}
    return next((protocol for protocol in opening.protocols if protocol in names), b"")


def encode_response(opening: OpeningRequest, protocol: bytes, extension: bytes = b"") -> bytes:
    """Return the head of the 101 response."""
    lines = [
        b"HTTP/1.1 101 Switching Protocols",
        b"upgrade: websocket",
        b"connection: Upgrade",
        b"sec-websocket-accept: " + accept_key(opening.key),
    ]
    if protocol:
        lines.append(b"sec-websocket-protocol: " + protocol)
    if extension:
        lines.append(b"sec-websocket-extensions: " + extension)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class ClientHandshake:
    """Client side of a handshake with an endpoint, for one attempt at a time.

    Attributes:
        protocols: Subprotocols from which the endpoint may choose.
        key: Sec-WebSocket-Key of the latest attempt.
    """

    __slots__ = ("key", "protocols")

    def __init__(self, protocols: tuple[bytes, ...]) -> None:
        self.protocols = protocols
        self.key = b""

    def request_headers(self, nonce: bytes) -> bytes:
        """Return the header lines of the next attempt; `nonce` is 16 random bytes, new for each attempt."""
        self.key = base64.b64encode(nonce)
        protocol_line = b""
        if self.protocols:
            protocol_line = b"sec-websocket-protocol: " + b", ".join(self.protocols) + b"\r\n"
        return (
            b"connection: Upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
            b"sec-websocket-key: " + self.key + b"\r\n" + protocol_line
        )

    def verify_response(self, headers: Headers) -> str | None:
        """Return the fault in the headers of a 101 response (RFC 6455, 4.1, steps 2 to 6), or None."""
        if [option.lower() for option in field_elements(headers, b"upgrade")] != [b"websocket"]:
            return "Upgrade is not websocket"
        if b"upgrade" not in (option.lower() for option in field_elements(headers, b"connection")):
            return "Connection does not name Upgrade"
        if field_values(headers, b"sec-websocket-accept") != [accept_key(self.key)]:
            return "Sec-WebSocket-Accept does not match the sent key"
        if field_elements(headers, b"sec-websocket-extensions"):
            return "the response has an extension that was not offered"
        chosen = field_elements(headers, b"sec-websocket-protocol")
        if len(chosen) > 1 or any(protocol not in self.protocols for protocol in chosen):
            return "the response has a subprotocol that was not offered"
        return None
