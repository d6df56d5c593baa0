"""permessage-deflate (RFC 7692) with its memory and its growth bounded: no state outlives a message.

Both sides' context is given up after each message, so that an idle session holds no window; what is unpacked
may be so many times as long as what came, and no more.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, FrameDecoder, FrameProtocol, Opcode, RsvBits

from service_proxy.websocket.frame_codec import NegotiatedExtension

MIN_COMPRESSED_BYTES = 256  # bytes of a message below which packing costs more than it saves
MIN_ALLOWED_BYTES = 16 * 1024  # bytes that any message may unpack to, whatever its ratio
EMPTY_BLOCK_TAIL = b"\x00\x00\xff\xff"  # what a sender leaves off (RFC 7692, 7.2.1)
CHUNK_BYTES = 16 * 1024  # bytes that are unpacked at once
# zlib has no raw window of 8
MIN_WINDOW_BITS = 9
MAX_WINDOW_BITS = 15


@dataclass(frozen=True, slots=True)
class DeflateParameters:
    """What both sides agreed on. Windows in bits."""

    client_window_bits: int
    server_window_bits: int

    def response_value(self) -> bytes:
        text = "permessage-deflate; server_no_context_takeover; client_no_context_takeover"
        if self.server_window_bits < MAX_WINDOW_BITS:
            text += f"; server_max_window_bits={self.server_window_bits}"
        if self.client_window_bits < MAX_WINDOW_BITS:
            text += f"; client_max_window_bits={self.client_window_bits}"
        return text.encode()


def negotiate(offers: bytes, max_window_bits: int) -> DeflateParameters | None:
    """The first of the client's offers that can be taken with windows of at most `bits` (RFC 7692, 7.1);
    None: none."""
    for offer in offers.split(b","):
        name, *params = [part.strip() for part in offer.split(b";")]
        if name != b"permessage-deflate":
            continue
        given: dict[bytes, bytes] = {}
        good = True
        for param in params:
            key, _, value = param.partition(b"=")
            key = key.strip()
            value = value.strip().strip(b'"')
            if key in given:
                good = False
            given[key] = value
        known = {
            b"server_no_context_takeover",
            b"client_no_context_takeover",
            b"server_max_window_bits",
            b"client_max_window_bits",
        }
        if not good or not given.keys() <= known:
            continue
        server = _bits(given.get(b"server_max_window_bits", b"15"))
        client = _bits(given.get(b"client_max_window_bits", b"") or b"15")
        if server is None or client is None or server < MIN_WINDOW_BITS:
            continue
        if b"client_max_window_bits" not in given and max_window_bits < MAX_WINDOW_BITS:
            continue  # it can't be told to use a smaller window, and one larger than agreed is not held
        return DeflateParameters(
            max(MIN_WINDOW_BITS, min(client, max_window_bits)), min(server, max_window_bits)
        )
    return None


def _bits(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) <= 2 and 8 <= int(text) <= MAX_WINDOW_BITS else None


class PerMessageDeflate(NegotiatedExtension):
    """For one connection, on the server's side. wsproto calls it for each frame."""

    name = "permessage-deflate"

    def __init__(self, parameters: DeflateParameters, max_message_bytes: int, max_ratio: float) -> None:
        """`most`: bytes of a message, unpacked; `ratio`: unpacked bytes for each that came."""
        self.agreed = parameters
        self.most = max_message_bytes
        self.ratio = max_ratio
        self.unpacker: zlib._Decompress | None = None  # while a packed message comes
        # bytes of it
        self.came = 0
        self.made = 0
        self.control = False  # the frame that comes now is a control frame

    def frame_inbound_header(
        self, proto: FrameDecoder | FrameProtocol, opcode: Opcode, rsv: RsvBits, payload_length: int
    ) -> CloseReason | RsvBits:
        self.control = opcode.iscontrol()
        if rsv.rsv1 and (self.control or opcode is Opcode.CONTINUATION):
            return CloseReason.PROTOCOL_ERROR  # RFC 7692, 6.1: only on a message's first frame
        if rsv.rsv1:
            self.unpacker = zlib.decompressobj(-self.agreed.client_window_bits)
            self.came = 0
            self.made = 0
        return RsvBits(rsv.rsv1, False, False)

    def frame_inbound_payload_data(
        self, proto: FrameDecoder | FrameProtocol, data: bytes
    ) -> bytes | CloseReason:
        if self.unpacker is None or self.control:
            return data
        self.came += len(data)
        return self._unpacked(data)

    def _unpacked(self, data: bytes) -> bytes | CloseReason:
        assert self.unpacker is not None
        parts = []
        allowed = min(self.most, max(MIN_ALLOWED_BYTES, int(self.came * self.ratio)))
        try:
            while data:
                part = self.unpacker.decompress(data, CHUNK_BYTES)
                self.made += len(part)
                if self.made > allowed:
                    return CloseReason.MESSAGE_TOO_BIG
                parts.append(part)
                data = self.unpacker.unconsumed_tail
        except zlib.error:
            return CloseReason.INVALID_FRAME_PAYLOAD_DATA
        return b"".join(parts)

    def frame_inbound_complete(
        self, proto: FrameDecoder | FrameProtocol, fin: bool
    ) -> bytes | CloseReason | None:
        if self.unpacker is None or self.control or not fin:
            return None
        last = self._unpacked(EMPTY_BLOCK_TAIL)
        self.unpacker = None
        return last

    def frame_outbound(
        self, proto: FrameDecoder | FrameProtocol, opcode: Opcode, rsv: RsvBits, data: bytes, fin: bool
    ) -> tuple[RsvBits, bytes]:
        whole = fin and opcode in (Opcode.TEXT, Opcode.BINARY)
        if not whole or len(data) < MIN_COMPRESSED_BYTES:
            return rsv, data
        bits = self.agreed.server_window_bits
        packer = zlib.compressobj(wbits=-bits, memLevel=min(8, bits - 6))
        packed = packer.compress(data) + packer.flush(zlib.Z_SYNC_FLUSH)
        return RsvBits(True, rsv.rsv2, rsv.rsv3), packed.removesuffix(EMPTY_BLOCK_TAIL)
