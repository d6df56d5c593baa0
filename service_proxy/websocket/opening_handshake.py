"""The opening handshake of both sides (RFC 6455, 4.1 and 4.2). Pure."""

from __future__ import annotations

import base64
import binascii
import hashlib
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from service_proxy.websocket.errors import WebSocketError

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"  # RFC 6455, 1.3
VERSION = b"13"
KEY_BYTES = 16
MAX_SUBPROTOCOLS = 16  # subprotocols that one request may offer
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")
HANDSHAKE_FIELDS = frozenset(  # of the handshake with one side; they say nothing to the other
    b"sec-websocket-key sec-websocket-version sec-websocket-extensions sec-websocket-protocol "
    b"sec-websocket-accept".split()
)

Headers = Sequence[tuple[bytes, bytes]]


class HandshakeRejectedError(WebSocketError):
    """The handshake is answered with this status code and these headers; the connection stays HTTP."""

    def __init__(self, code: int, text: str, headers: Headers = ()) -> None:
        super().__init__(text)
        self.status_code = code
        self.headers = headers


@dataclass(frozen=True, slots=True)
class OpeningRequest:
    """A well-formed request for a WebSocket."""

    key: bytes
    origin: bytes  # b"": a program that is no browser
    protocols: tuple[bytes, ...]  # offered, the client's favourite first
    extensions: bytes  # as they came, joined


def accept_key(key: bytes) -> bytes:
    """Return what proves that the key was read as a WebSocket's (RFC 6455, 4.2.2, step 5.4)."""
    return base64.b64encode(hashlib.sha1(key + GUID, usedforsecurity=False).digest())


def field_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header field."""
    return [value for key, value in headers if key == name]


def field_elements(headers: Headers, name: bytes) -> list[bytes]:
    """Return the elements of a list field (RFC 9110, 5.6.1), without the empty ones."""
    found = [part.strip(b" \t") for value in field_values(headers, name) for part in value.split(b",")]
    return [part for part in found if part]


def _one(headers: Headers, name: bytes) -> bytes:
    found = field_values(headers, name)
    if len(found) > 1:
        raise HandshakeRejectedError(400, f"more than one {name.decode()}")
    return found[0] if found else b""


def parse_opening(method: bytes, version: str, headers: Headers, has_body: bool) -> OpeningRequest:
    """Check a request for a WebSocket; its header names are in lower case.

    Raises:
        HandshakeRejectedError: it is not well formed.
    """
    if method != b"GET" or version != "1.1":
        raise HandshakeRejectedError(400, "a WebSocket is asked for with GET and HTTP/1.1")
    if has_body or field_values(headers, b"transfer-encoding"):
        raise HandshakeRejectedError(400, "a request for a WebSocket has no body")
    if [option.lower() for option in field_elements(headers, b"upgrade")] != [b"websocket"]:
        raise HandshakeRejectedError(400, "no upgrades but to websocket")
    if b"upgrade" not in (option.lower() for option in field_elements(headers, b"connection")):
        raise HandshakeRejectedError(400, "Connection does not name Upgrade")
    if _one(headers, b"sec-websocket-version") != VERSION:
        raise HandshakeRejectedError(
            426, "Sec-WebSocket-Version is not 13", ((b"sec-websocket-version", VERSION),)
        )
    key = _one(headers, b"sec-websocket-key")
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
    origin = _one(headers, b"origin")
    return OpeningRequest(
        key, origin, tuple(protocols), b", ".join(field_values(headers, b"sec-websocket-extensions"))
    )


def check_origin(opening: OpeningRequest, allowed: Iterable[str]) -> None:
    """Check the origin of the page, which a browser can't forge (RFC 6455, 10.2); no names: all are allowed.

    Raises:
        HandshakeRejectedError: the origin is not allowed.
    """
    names = [name.encode() for name in allowed]
    if names and opening.origin and opening.origin.lower() not in names:
        raise HandshakeRejectedError(403, "this Origin may not")


def choose_subprotocol(opening: OpeningRequest, served: Iterable[str]) -> bytes:
    """Return the first offered subprotocol that is served; b"": none, which a client may reject."""
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
    """The client's side of a handshake with an endpoint, for one attempt at a time.

    Attributes:
        protocols: from which the endpoint may choose.
    """

    __slots__ = ("key", "protocols")

    def __init__(self, protocols: tuple[bytes, ...]) -> None:
        self.protocols = protocols  # that the endpoint may choose from
        self.key = b""

    def request_headers(self, nonce: bytes) -> bytes:
        """Return the header lines of the next attempt. `nonce`: 16 random bytes, new for each."""
        self.key = base64.b64encode(nonce)
        more = b""
        if self.protocols:
            more = b"sec-websocket-protocol: " + b", ".join(self.protocols) + b"\r\n"
        return (
            b"connection: Upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
            b"sec-websocket-key: " + self.key + b"\r\n" + more
        )

    def verify_response(self, headers: Headers) -> str | None:
        """Return what is wrong with a 101's headers (RFC 6455, 4.1, steps 2 to 6), or None."""
        if [option.lower() for option in field_elements(headers, b"upgrade")] != [b"websocket"]:
            return "Upgrade is not websocket"
        if b"upgrade" not in (option.lower() for option in field_elements(headers, b"connection")):
            return "Connection does not name Upgrade"
        if field_values(headers, b"sec-websocket-accept") != [accept_key(self.key)]:
            return "Sec-WebSocket-Accept does not prove the key"
        if field_elements(headers, b"sec-websocket-extensions"):
            return "an extension that nobody offered"
        chosen = field_elements(headers, b"sec-websocket-protocol")
        if len(chosen) > 1 or any(protocol not in self.protocols for protocol in chosen):
            return "a subprotocol that nobody offered"
        return None
