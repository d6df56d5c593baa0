"""permessage-deflate (RFC 7692) with bounded memory and expansion, and without state between messages.

Both sides discard their compression context after each message, so that an idle session keeps no window.
The ratio of a decompressed message to its received bytes is limited.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, FrameDecoder, FrameProtocol, Opcode, RsvBits

from service_proxy.websocket.frame_codec import NegotiatedExtension

EXTENSION = "permessage-deflate"
# Shortest message that is compressed; compressing a shorter message costs more than it saves.
MIN_COMPRESSED_BYTES = 256
MIN_ALLOWED_BYTES = 16 * 1024  # Decompressed bytes allowed for any message, regardless of the ratio.
# Last bytes of a compressed message, which the sender omits (RFC 7692, 7.2.1).
EMPTY_BLOCK_TAIL = b"\x00\x00\xff\xff"
CHUNK_BYTES = 16 * 1024  # Decompressed bytes per step.
MIN_OFFERED_BITS = 8  # Smallest window that a client may offer (RFC 7692, 7.1.2).
MIN_WINDOW_BITS = 9  # Smallest raw window of zlib, which has none of 8 bits.
MAX_WINDOW_BITS = 15
# Highest memory level of zlib's compressor that is used; a smaller window needs a lower level.
MAX_MEMORY_LEVEL = 8
WINDOW_BITS_MINUS_MEMORY_LEVEL = 6  # Difference between the window's bits and the memory level.
PARAMETERS = frozenset(
    (
        b"server_no_context_takeover",
        b"client_no_context_takeover",
        b"server_max_window_bits",
        b"client_max_window_bits",
    )
)


@dataclass(frozen=True, slots=True)
class DeflateParameters:
    """Parameters on which both sides have agreed."""

    client_window_bits: int
    server_window_bits: int

    def response_value(self) -> bytes:
        """Return the value of Sec-WebSocket-Extensions in the response."""
        text = f"{EXTENSION}; server_no_context_takeover; client_no_context_takeover"
        if self.server_window_bits < MAX_WINDOW_BITS:
            text += f"; server_max_window_bits={self.server_window_bits}"
        if self.client_window_bits < MAX_WINDOW_BITS:
            text += f"; client_max_window_bits={self.client_window_bits}"
        return text.encode()


def negotiate(offers: bytes, max_window_bits: int) -> DeflateParameters | None:
    """Return the parameters of a client's first acceptable offer (RFC 7692, 7.1), or None if none is."""
    for offer in offers.split(b","):
        name, *parts = [part.strip() for part in offer.split(b";")]
        if name != EXTENSION.encode():
            continue
        parameters = _parse_parameters(parts)
        agreed = _accept_offer(parameters, max_window_bits) if parameters is not None else None
        if agreed is not None:
            return agreed
    return None


def _parse_parameters(parts: list[bytes]) -> dict[bytes, bytes] | None:
    """Return an offer's parameters, or None if one is unknown or repeated."""
    parameters: dict[bytes, bytes] = {}
    for part in parts:
        name, _, value = part.partition(b"=")
        name = name.strip()
        if name in parameters or name not in PARAMETERS:
            return None
        parameters[name] = value.strip().strip(b'"')
    return parameters


def _accept_offer(parameters: dict[bytes, bytes], max_window_bits: int) -> DeflateParameters | None:
    server = _window_bits(parameters.get(b"server_max_window_bits", b"15"))
    client = _window_bits(parameters.get(b"client_max_window_bits", b"") or b"15")
    if server is None or client is None or server < MIN_WINDOW_BITS:
        return None
    if b"client_max_window_bits" not in parameters and max_window_bits < MAX_WINDOW_BITS:
        # This offer does not let the server limit the client's window, and this side keeps no larger window.
        return None
    client = max(MIN_WINDOW_BITS, min(client, max_window_bits))
    return DeflateParameters(client, min(server, max_window_bits))


def _window_bits(text: bytes) -> int | None:
    is_short_number = text.isdigit() and len(text) <= len(str(MAX_WINDOW_BITS))
    if not is_short_number or not MIN_OFFERED_BITS <= int(text) <= MAX_WINDOW_BITS:
        return None
    return int(text)


class PerMessageDeflate(NegotiatedExtension):
    """permessage-deflate on one connection, on the server's side; wsproto calls its methods for each frame.

    Attributes:
        decompressor: Decompressor while a compressed message is being received.
        received_bytes: Compressed bytes of that message so far.
        decompressed_bytes: Decompressed bytes of that message so far.
        is_control_frame: Whether the current frame is a control frame.
    """

    name = EXTENSION

    def __init__(self, parameters: DeflateParameters, max_message_bytes: int, max_ratio: float) -> None:
        """Create the extension.

        Args:
            parameters: Negotiated parameters.
            max_message_bytes: Limit of a decompressed message.
            max_ratio: Limit of the ratio of decompressed to received bytes.
        """
        self.parameters = parameters
        self.max_message_bytes = max_message_bytes
        self.max_ratio = max_ratio
        self.decompressor: zlib._Decompress | None = None
        self.received_bytes = 0
        self.decompressed_bytes = 0
        self.is_control_frame = False

    def frame_inbound_header(
        self,
        _proto: FrameDecoder | FrameProtocol,
        opcode: Opcode,
        rsv: RsvBits,
        _payload_length: int,
    ) -> CloseReason | RsvBits:
        """Prepare for a compressed message at the header of the message's first frame."""
        self.is_control_frame = opcode.iscontrol()
        if rsv.rsv1 and (self.is_control_frame or opcode is Opcode.CONTINUATION):
            return CloseReason.PROTOCOL_ERROR  # RFC 7692, 6.1 allows the bit only on a message's first frame.
        if rsv.rsv1:
            self.decompressor = zlib.decompressobj(-self.parameters.client_window_bits)
            self.received_bytes = 0
            self.decompressed_bytes = 0
        return RsvBits(rsv.rsv1, False, False)

    def frame_inbound_payload_data(
        self, _proto: FrameDecoder | FrameProtocol, data: bytes
    ) -> bytes | CloseReason:
        """Decompress a part of a frame."""
        if self.decompressor is None or self.is_control_frame:
            return data
        self.received_bytes += len(data)
        return self._decompress(self.decompressor, data)

    def _decompress(self, decompressor: zlib._Decompress, data: bytes) -> bytes | CloseReason:
        parts = []
        allowed = max(MIN_ALLOWED_BYTES, int(self.received_bytes * self.max_ratio))
        allowed = min(self.max_message_bytes, allowed)
        try:
            while data:
                part = decompressor.decompress(data, CHUNK_BYTES)
                self.decompressed_bytes += len(part)
                if self.decompressed_bytes > allowed:
                    return CloseReason.MESSAGE_TOO_BIG
                parts.append(part)
                data = decompressor.unconsumed_tail
        except zlib.error:
            return CloseReason.INVALID_FRAME_PAYLOAD_DATA
        return b"".join(parts)

    def frame_inbound_complete(
        self, _proto: FrameDecoder | FrameProtocol, fin: bool
    ) -> bytes | CloseReason | None:
        """Decompress the end of a message."""
        if self.decompressor is None or self.is_control_frame or not fin:
            return None
        last_part = self._decompress(self.decompressor, EMPTY_BLOCK_TAIL)
        self.decompressor = None
        return last_part

    def frame_outbound(
        self, _proto: FrameDecoder | FrameProtocol, opcode: Opcode, rsv: RsvBits, data: bytes, fin: bool
    ) -> tuple[RsvBits, bytes]:
        """Compress a message that is sent in one frame and has at least MIN_COMPRESSED_BYTES."""
        is_unfragmented = fin and opcode in (Opcode.TEXT, Opcode.BINARY)
        if not is_unfragmented or len(data) < MIN_COMPRESSED_BYTES:
            return rsv, data
        bits = self.parameters.server_window_bits
        level = min(MAX_MEMORY_LEVEL, bits - WINDOW_BITS_MINUS_MEMORY_LEVEL)
        compressor = zlib.compressobj(wbits=-bits, memLevel=level)
        compressed = compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)
        return RsvBits(True, rsv.rsv2, rsv.rsv3), compressed.removesuffix(EMPTY_BLOCK_TAIL)
