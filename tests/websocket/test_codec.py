"""Tests of the frame codec without a socket: limits, violations, deflate, and seeded fuzzing."""

from __future__ import annotations

import struct
import tracemalloc
import zlib
from itertools import product

import pytest
from wsproto.frame_protocol import FrameProtocol, Opcode

from benchmarks.websocket_fuzz import fuzz_frames
from harness.websocket_frames import frame
from service_proxy.websocket.closing_handshake import TRANSITIONS, ClosingAction, ClosingEvent, ClosingState
from service_proxy.websocket.frame_codec import (
    MAX_FRAGMENTS,
    CloseFrame,
    FrameCodec,
    MessageFragment,
    PingFrame,
    PongFrame,
    ProtocolViolationError,
)
from service_proxy.websocket.permessage_deflate import (
    MIN_ALLOWED_BYTES,
    DeflateParameters,
    PerMessageDeflate,
    negotiate,
)


def close_code_of(data: bytes, max_message_bytes: int = 1000) -> int:
    codec = FrameCodec(False, max_message_bytes)
    codec.receive(data)
    with pytest.raises(ProtocolViolationError) as error:
        list(codec.events())
    return error.value.close_code


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (frame(1, b"x", mask=False), 1002),
        (frame(1, b"x", rsv=4), 1002),
        (frame(1, b"x", rsv=1), 1002),
        (frame(3), 1002),
        (frame(0xB), 1002),
        (frame(9, b"x", fin=False), 1002),
        (frame(9, b"x" * 126), 1002),
        (frame(0, b"x"), 1002),
        (frame(1, b"x", fin=False) + frame(1, b"y"), 1002),
        (frame(1, b"\xc3\x28"), 1007),
        (frame(1, b"\xc3", fin=False) + frame(0, b"\x28"), 1007),
        (frame(1, b"\xc3"), 1007),
        (frame(8, b"x"), 1002),
        (frame(8, struct.pack("!H", 1005)), 1002),
        (frame(8, struct.pack("!H", 999)), 1002),
        (frame(8, struct.pack("!H", 1000) + b"\xff"), 1007),
        (frame(1, length=b"\x7e\x00\x05"), 1002),  # A payload of 5 bytes must not use the extended length.
        (frame(1, length=b"\x7f" + struct.pack("!Q", 500)), 1002),
        (frame(1, length=b"\x7f" + struct.pack("!Q", 1 << 63)), 1002),
        # The header alone announces a message that is too long.
        (frame(2, length=b"\x7f" + struct.pack("!Q", 1 << 62)), 1009),
        (frame(2, b"x" * 600, fin=False) + frame(0, b"x" * 401), 1009),
        (frame(2, fin=False) + frame(0, fin=False) * MAX_FRAGMENTS, 1008),
    ],
)
def test_protocol_violations_and_exceeded_limits_have_their_close_code(data: bytes, code: int) -> None:
    assert close_code_of(data) == code


def test_messages_and_fragments_up_to_the_limits_are_received() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(2, b"x" * 600, fin=False) + frame(0, b"x" * 400) + frame(2, b"y" * 1000))
    codec.receive(frame(2, fin=False) + frame(0, fin=False) * (MAX_FRAGMENTS - 2) + frame(0))
    fragments = [event for event in codec.events() if isinstance(event, MessageFragment)]
    assert sum(len(fragment.data) for fragment in fragments) == 2000
    assert sum(fragment.is_last for fragment in fragments) == 3


def test_fragments_may_split_a_character_and_have_pings_between_them() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(1, b"a\xc3", fin=False) + frame(9, b"p") + frame(0, b"\xb1") + frame(10, b"q"))
    events = list(codec.events())
    text = "".join(str(event.data) for event in events if isinstance(event, MessageFragment))
    assert text == "añ"
    assert PingFrame(b"p") in events
    assert PongFrame(b"q") in events


def test_unconsumed_events_are_returned_by_the_next_call() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(1, b"a") * 5)
    assert [event for event, _ in zip(codec.events(), range(2), strict=False)] == [
        MessageFragment("a", True)
    ] * 2
    assert len(list(codec.events())) >= 2


def test_frames_received_byte_by_byte_decode_the_same() -> None:
    data = (
        frame(1, b"hola", fin=False)
        + frame(9)
        + frame(0, b" mundo")
        + frame(8, struct.pack("!H", 1001) + b"x")
    )
    codec = FrameCodec(False, 1000)
    events = []
    for n in range(len(data)):
        codec.receive(data[n : n + 1])
        events += list(codec.events())
    assert "".join(str(e.data) for e in events if isinstance(e, MessageFragment)) == "hola mundo"
    assert events[-1] == CloseFrame(1001, "x")


def test_encoded_frames_are_decoded_by_the_peer() -> None:
    server = FrameCodec(False, 100_000)
    client = FrameCodec(True, 100_000)
    for sender, receiver in ((server, client), (client, server)):
        for data in ("", "ñ" * 10, b"\x00" * 70_000):
            receiver.receive(sender.encode_fragment(data))
            events = [event for event in receiver.events() if isinstance(event, MessageFragment)]
            joined: str | bytes = "" if isinstance(data, str) else b""
            for event in events:
                joined += event.data  # type: ignore[operator]
            assert joined == data
        receiver.receive(
            sender.encode_fragment("a", False) + sender.encode_ping(b"p") + sender.encode_fragment("b")
        )
        assert [type(event) for event in receiver.events()] == [MessageFragment, PingFrame, MessageFragment]
        receiver.receive(sender.encode_close(1012, "reconnect in 1.00 s"))
        assert list(receiver.events()) == [CloseFrame(1012, "reconnect in 1.00 s")]


def test_the_closing_table_has_every_state_and_event() -> None:
    assert set(TRANSITIONS) == set(product(ClosingState, ClosingEvent))
    for (state, _), (after, action) in TRANSITIONS.items():
        states = list(ClosingState)
        assert states.index(after) >= states.index(state)  # No transition returns to an earlier state.
        sends = action in (ClosingAction.SEND_CLOSE, ClosingAction.ECHO_CLOSE, ClosingAction.SEND_ERROR)
        assert not sends or state is ClosingState.OPEN  # At most one close frame is sent.
        assert action is not ClosingAction.SEND_CLOSE or after is ClosingState.CLOSING
    for state, events in product(ClosingState, product(ClosingEvent, repeat=4)):
        sent = 0
        for event in events:
            state, action = TRANSITIONS[state, event]
            sent += action in (ClosingAction.SEND_CLOSE, ClosingAction.ECHO_CLOSE, ClosingAction.SEND_ERROR)
        assert sent <= 1


# Tests of permessage-deflate.
@pytest.mark.parametrize(
    ("offer", "bits", "agreed"),
    [
        (b"permessage-deflate", 15, DeflateParameters(15, 15)),
        (b"permessage-deflate", 11, None),  # The client's offer does not allow a smaller window.
        (b"permessage-deflate; client_max_window_bits", 11, DeflateParameters(11, 11)),
        (
            b"permessage-deflate; client_max_window_bits=9; server_max_window_bits=10",
            11,
            DeflateParameters(9, 10),
        ),
        (b"permessage-deflate; server_max_window_bits=8; client_max_window_bits", 11, None),
        (b"permessage-deflate; nonsense", 15, None),
        (b"permessage-deflate; client_max_window_bits=16", 15, None),
        (b"permessage-deflate; server_no_context_takeover; server_no_context_takeover", 15, None),
        (
            b"x-other, permessage-deflate; nonsense, permessage-deflate; client_max_window_bits",
            12,
            DeflateParameters(12, 12),
        ),
        (b"", 15, None),
    ],
)
def test_deflate_is_negotiated_with_a_bounded_window(
    offer: bytes, bits: int, agreed: DeflateParameters | None
) -> None:
    assert negotiate(offer, bits) == agreed


def compress(data: bytes, bits: int = 11) -> bytes:
    compressor = zlib.compressobj(wbits=-bits)
    return (compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)).removesuffix(b"\x00\x00\xff\xff")


def deflate_codec(max_bytes: int = 1 << 20, ratio: float = 50.0) -> FrameCodec:
    return FrameCodec(False, 64 * 1024, [PerMessageDeflate(DeflateParameters(11, 11), max_bytes, ratio)])


def test_compressed_messages_are_decoded_and_encoded() -> None:
    codec = deflate_codec()
    text = "reserva " * 200
    codec.receive(frame(1, compress(text.encode()), rsv=4) + frame(9) + frame(1, b"plain"))
    text_received = "".join(str(event.data) for event in codec.events() if isinstance(event, MessageFragment))
    assert text_received == text + "plain"
    data = compress(text.encode())
    codec.receive(frame(1, data[:10], fin=False, rsv=4) + frame(9) + frame(0, data[10:]))
    assert "".join(str(event.data) for event in codec.events() if isinstance(event, MessageFragment)) == text
    sent = codec.encode_fragment(text)
    assert sent[0] & 0x40
    assert len(sent) < len(text) / 4
    decompressed = zlib.decompressobj(-11).decompress(sent[2:] + b"\x00\x00\xff\xff")
    assert decompressed == text.encode()
    assert not codec.encode_fragment("short")[0] & 0x40


@pytest.mark.parametrize(
    ("data", "code"),
    [
        # The message expands to more than 50 times its received bytes.
        (frame(2, compress(b"\0" * 60_000), rsv=4), 1009),
        (frame(0, b"", rsv=4), 1002),
        (frame(9, b"", rsv=4), 1002),
        (frame(2, b"\xff\xff\xff", rsv=4), 1007),
    ],
)
def test_decompression_bombs_and_misuse_of_deflate_end_the_connection(data: bytes, code: int) -> None:
    codec = deflate_codec()
    codec.receive(data)
    with pytest.raises(ProtocolViolationError) as error:
        list(codec.events())
    assert error.value.close_code == code


def test_a_decompression_bomb_never_exceeds_the_memory_limit() -> None:
    data = compress(b"\0" * (40 << 20))  # 40 MB compressed to 40 kB.
    codec = deflate_codec(ratio=1032.0, max_bytes=256 * 1024)
    tracemalloc.start()
    try:
        codec.receive(frame(2, data, rsv=4))
        with pytest.raises(ProtocolViolationError):
            list(codec.events())
        assert tracemalloc.get_traced_memory()[1] < 2 << 20
    finally:
        tracemalloc.stop()
    small = deflate_codec(ratio=1.0)
    # Short messages may expand without a limit.
    small.receive(frame(2, compress(b"\0" * MIN_ALLOWED_BYTES), rsv=4))
    assert len(list(small.events())) >= 1


def test_fuzzed_frames_end_in_events_or_protocol_violations_alone() -> None:
    result = fuzz_frames(1, 2000)
    assert 200 < result.violations < 1800
    assert result.events > 2000
    assert not result.wrong


def test_masking_keys_of_a_client_differ() -> None:
    codec = FrameCodec(True, 1000)
    assert len({codec.encode_fragment("x") for _ in range(20)}) > 10
    other = FrameProtocol(client=False, extensions=[])
    other.receive_bytes(codec.encode_ping(b"x"))
    assert next(iter(other.received_frames())).opcode is Opcode.PING
