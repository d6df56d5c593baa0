"""Frames in and out, without a socket: bounds, faults, deflate, and a seeded fuzz."""

from __future__ import annotations

import struct
import tracemalloc
import zlib
from itertools import product

import pytest
from wsproto.frame_protocol import FrameProtocol, Opcode

from benchmarks.websocket import fuzz_frames
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


def fault_of(data: bytes, most: int = 1000) -> int:
    codec = FrameCodec(False, most)
    codec.receive(data)
    with pytest.raises(ProtocolViolationError) as fault:
        list(codec.events())
    return fault.value.close_code


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
        (frame(1, length=b"\x7e\x00\x05"), 1002),  # 5 bytes do without the longer form
        (frame(1, length=b"\x7f" + struct.pack("!Q", 500)), 1002),
        (frame(1, length=b"\x7f" + struct.pack("!Q", 1 << 63)), 1002),
        (frame(2, length=b"\x7f" + struct.pack("!Q", 1 << 62)), 1009),  # told by its head alone
        (frame(2, b"x" * 600, fin=False) + frame(0, b"x" * 401), 1009),
        (frame(2, fin=False) + frame(0, fin=False) * MAX_FRAGMENTS, 1008),
    ],
)
def test_what_breaks_the_protocol_or_a_bound_ends_with_its_code(data: bytes, code: int) -> None:
    assert fault_of(data) == code


def test_the_bounds_are_where_they_say() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(2, b"x" * 600, fin=False) + frame(0, b"x" * 400) + frame(2, b"y" * 1000))
    codec.receive(frame(2, fin=False) + frame(0, fin=False) * (MAX_FRAGMENTS - 2) + frame(0))
    pieces = [event for event in codec.events() if isinstance(event, MessageFragment)]
    assert sum(len(piece.data) for piece in pieces) == 2000 and sum(piece.is_last for piece in pieces) == 3


def test_a_character_may_lie_across_fragments_and_pings_between_them() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(1, b"a\xc3", fin=False) + frame(9, b"p") + frame(0, b"\xb1") + frame(10, b"q"))
    found = list(codec.events())
    text = "".join(str(event.data) for event in found if isinstance(event, MessageFragment))
    assert text == "añ" and PingFrame(b"p") in found and PongFrame(b"q") in found


def test_who_stops_early_finds_the_rest_later() -> None:
    codec = FrameCodec(False, 1000)
    codec.receive(frame(1, b"a") * 5)
    assert [event for event, _ in zip(codec.events(), range(2), strict=False)] == [
        MessageFragment("a", True)
    ] * 2
    assert len(list(codec.events())) >= 2


def test_one_byte_at_a_time_reads_the_same() -> None:
    data = (
        frame(1, b"hola", fin=False)
        + frame(9)
        + frame(0, b" mundo")
        + frame(8, struct.pack("!H", 1001) + b"x")
    )
    codec = FrameCodec(False, 1000)
    found = []
    for n in range(len(data)):
        codec.receive(data[n : n + 1])
        found += list(codec.events())
    assert "".join(str(e.data) for e in found if isinstance(e, MessageFragment)) == "hola mundo"
    assert found[-1] == CloseFrame(1001, "x")


def test_what_this_side_sends_the_other_reads() -> None:
    server = FrameCodec(False, 100_000)
    client = FrameCodec(True, 100_000)
    for one, two in ((server, client), (client, server)):
        for data in ("", "ñ" * 10, b"\x00" * 70_000):
            two.receive(one.encode_fragment(data))
            events = [event for event in two.events() if isinstance(event, MessageFragment)]
            joined: str | bytes = "" if isinstance(data, str) else b""
            for event in events:
                joined += event.data  # type: ignore[operator]
            assert joined == data
        two.receive(one.encode_fragment("a", False) + one.encode_ping(b"p") + one.encode_fragment("b"))
        assert [type(event) for event in two.events()] == [MessageFragment, PingFrame, MessageFragment]
        two.receive(one.encode_close(1012, "reconnect in 1.00 s"))
        assert list(two.events()) == [CloseFrame(1012, "reconnect in 1.00 s")]


def test_the_closing_table_has_every_state_and_event() -> None:
    assert set(TRANSITIONS) == set(product(ClosingState, ClosingEvent))
    for (state, _), (after, step) in TRANSITIONS.items():
        order = list(ClosingState)
        assert order.index(after) >= order.index(state)  # nothing opens again
        sends = step in (ClosingAction.SEND_CLOSE, ClosingAction.ECHO_CLOSE, ClosingAction.SEND_ERROR)
        assert not sends or state is ClosingState.OPEN  # one close frame, ever
        assert step is not ClosingAction.SEND_CLOSE or after is ClosingState.CLOSING
    for state, events in product(ClosingState, product(ClosingEvent, repeat=4)):
        sent = 0
        for event in events:
            state, step = TRANSITIONS[state, event]
            sent += step in (ClosingAction.SEND_CLOSE, ClosingAction.ECHO_CLOSE, ClosingAction.SEND_ERROR)
        assert sent <= 1


# deflate
@pytest.mark.parametrize(
    ("offer", "bits", "agreed"),
    [
        (b"permessage-deflate", 15, DeflateParameters(15, 15)),
        (b"permessage-deflate", 11, None),  # it may not be told a smaller window
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
def test_deflate_is_agreed_on_with_a_bounded_window(
    offer: bytes, bits: int, agreed: DeflateParameters | None
) -> None:
    assert negotiate(offer, bits) == agreed


def packed(data: bytes, bits: int = 11) -> bytes:
    packer = zlib.compressobj(wbits=-bits)
    return (packer.compress(data) + packer.flush(zlib.Z_SYNC_FLUSH)).removesuffix(b"\x00\x00\xff\xff")


def deflating(most: int = 1 << 20, ratio: float = 50.0) -> FrameCodec:
    return FrameCodec(False, 64 * 1024, [PerMessageDeflate(DeflateParameters(11, 11), most, ratio)])


def test_packed_messages_are_read_and_written() -> None:
    codec = deflating()
    text = "reserva " * 200
    codec.receive(frame(1, packed(text.encode()), rsv=4) + frame(9) + frame(1, b"plain"))
    found = "".join(str(event.data) for event in codec.events() if isinstance(event, MessageFragment))
    assert found == text + "plain"
    data = packed(text.encode())
    codec.receive(frame(1, data[:10], fin=False, rsv=4) + frame(9) + frame(0, data[10:]))
    assert "".join(str(event.data) for event in codec.events() if isinstance(event, MessageFragment)) == text
    sent = codec.encode_fragment(text)
    assert sent[0] & 0x40 and len(sent) < len(text) / 4
    unpacked = zlib.decompressobj(-11).decompress(sent[2:] + b"\x00\x00\xff\xff")
    assert unpacked == text.encode()
    assert not codec.encode_fragment("short")[0] & 0x40


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (frame(2, packed(b"\0" * 60_000), rsv=4), 1009),  # over 50 times what came
        (frame(0, b"", rsv=4), 1002),
        (frame(9, b"", rsv=4), 1002),
        (frame(2, b"\xff\xff\xff", rsv=4), 1007),
    ],
)
def test_bombs_and_misuse_of_deflate_end_the_connection(data: bytes, code: int) -> None:
    codec = deflating()
    codec.receive(data)
    with pytest.raises(ProtocolViolationError) as fault:
        list(codec.events())
    assert fault.value.close_code == code


def test_a_bomb_never_unpacks_beyond_its_bound() -> None:
    data = packed(b"\0" * (40 << 20))  # 40 MB in 40 kB
    codec = deflating(ratio=1032.0, most=256 * 1024)
    tracemalloc.start()
    try:
        codec.receive(frame(2, data, rsv=4))
        with pytest.raises(ProtocolViolationError):
            list(codec.events())
        assert tracemalloc.get_traced_memory()[1] < 2 << 20
    finally:
        tracemalloc.stop()
    small = deflating(ratio=1.0)
    small.receive(frame(2, packed(b"\0" * MIN_ALLOWED_BYTES), rsv=4))  # short ones may grow as they like
    assert len(list(small.events())) >= 1


def test_a_fuzz_of_frames_ends_in_events_or_faults_and_nothing_else() -> None:
    found = fuzz_frames(1, 2000)
    assert 200 < found.faults < 1800 and found.events > 2000 and not found.wrong


def test_the_masks_of_this_side_differ() -> None:
    codec = FrameCodec(True, 1000)
    assert len({codec.encode_fragment("x") for _ in range(20)}) > 10
    other = FrameProtocol(client=False, extensions=[])
    other.receive_bytes(codec.encode_ping(b"x"))
    assert next(iter(other.received_frames())).opcode is Opcode.PING
