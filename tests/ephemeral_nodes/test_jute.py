"""Tests of the wire format against a stock client library's serialization and the published bytes."""

from __future__ import annotations

import kazoo.protocol.serialization as kazoo
import pytest
from kazoo.security import ACL, Id

from service_proxy.ephemeral_nodes import codes, errors, jute, paths, records
from service_proxy.ephemeral_nodes.codes import AddWatchMode, CreateMode, OpCode, ReservedXid
from service_proxy.ephemeral_nodes.jute import RecordReader, RecordWriter
from service_proxy.ephemeral_nodes.records import MultiOperation, Stat

OPEN = [ACL(31, Id("world", "anyone"))]
STAT = Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)


def framed(xid: int, op: int, record: bytes) -> bytes:
    """Return the request as the client library sends it: length, xid, type and record."""
    data = kazoo.int_struct.pack(xid) + kazoo.int_struct.pack(op) + record
    whole: bytes = kazoo.int_struct.pack(len(data)) + data
    return whole


REQUESTS = {
    "create": (
        kazoo.Create("/a/b", b"x", OPEN, 1),
        OpCode.CREATE,
        records.encode_create("/a/b", b"x", records.OPEN_ACL, CreateMode.EPHEMERAL),
    ),
    "delete": (kazoo.Delete("/a", 3), OpCode.DELETE, records.encode_delete("/a", 3)),
    "exists": (kazoo.Exists("/a", True), OpCode.EXISTS, records.encode_read("/a", True)),
    "getData": (kazoo.GetData("/ñ", None), OpCode.GET_DATA, records.encode_read("/ñ", False)),
    "setData": (kazoo.SetData("/a", b"", -1), OpCode.SET_DATA, records.encode_set_data("/a", b"")),
    "getChildren2": (kazoo.GetChildren2("/a", True), OpCode.GET_CHILDREN2, records.encode_read("/a", True)),
    "sync": (kazoo.Sync("/a"), OpCode.SYNC, records.encode_path("/a")),
    "check": (kazoo.CheckVersion("/a", 4), OpCode.CHECK, records.encode_check("/a", 4)),
    "auth": (kazoo.Auth(0, "digest", "u:p"), OpCode.AUTH, records.encode_auth("digest", b"u:p")),
    "multi": (
        kazoo.Transaction(
            [
                kazoo.Create("/a", b"x", OPEN, 0),
                kazoo.Delete("/b", -1),
                kazoo.SetData("/c", b"y", 2),
                kazoo.CheckVersion("/d", 1),
            ]
        ),
        OpCode.MULTI,
        records.encode_multi(
            [
                MultiOperation(
                    OpCode.CREATE, records.encode_create("/a", b"x", records.OPEN_ACL, CreateMode.PERSISTENT)
                ),
                MultiOperation(OpCode.DELETE, records.encode_delete("/b")),
                MultiOperation(OpCode.SET_DATA, records.encode_set_data("/c", b"y", 2)),
                MultiOperation(OpCode.CHECK, records.encode_check("/d", 1)),
            ]
        ),
    ),
}


@pytest.mark.parametrize(("stock", "op", "ours"), REQUESTS.values(), ids=REQUESTS)
def test_requests_have_the_bytes_of_a_stock_client(stock: object, op: OpCode, ours: bytes) -> None:
    assert stock.type == op  # type: ignore[attr-defined]
    assert records.encode_request(7, op, ours) == framed(7, op, bytes(stock.serialize()))  # type: ignore[attr-defined]


def test_the_first_frame_has_the_bytes_of_a_stock_client() -> None:
    stock = bytes(kazoo.Connect(0, 5, 6000, 77, b"p" * 16, True).serialize())
    ours = records.ConnectRequest(5, 6000, 77, b"p" * 16, True)
    assert ours.frame() == kazoo.int_struct.pack(len(stock)) + stock
    assert records.parse_connect_request(ours.frame()[4:]) == ours


def test_the_first_frame_has_the_published_bytes() -> None:
    """Guard the first frame of a new session of 10 s, as in the programmer's guide.

    The record has 44 bytes, and 45 with the read-only flag.
    """
    frame = records.ConnectRequest(0, 10_000, 0, bytes(16)).frame()
    published = (
        "0000002d" "00000000" "0000000000000000" "00002710" "0000000000000000" "00000010" + "00" * 16 + "00"
    )
    assert frame.hex() == published


def test_the_service_side_has_the_bytes_that_a_stock_client_reads() -> None:
    granted = records.ConnectResponse(6000, 0x1234, b"q" * 16, True)
    stock, _ = kazoo.Connect.deserialize(granted.frame(), 4)
    assert (stock.time_out, stock.session_id, stock.passwd, stock.read_only) == (6000, 0x1234, b"q" * 16, 1)
    header, at = kazoo.ReplyHeader.deserialize(records.encode_reply(3, 99, -101), 4)
    assert (header.xid, header.zxid, header.err, at) == (3, 99, -101, 20)
    notified = records.WatcherEvent(codes.EventType.DELETED, 3, "/a/b").frame()
    header, at = kazoo.ReplyHeader.deserialize(notified, 4)
    assert header.xid == ReservedXid.NOTIFICATION
    watch, _ = kazoo.Watch.deserialize(notified, at)
    assert (watch.type, watch.state, watch.path) == (2, 3, "/a/b")
    body = STAT.write(RecordWriter().buffer(b"data")).to_bytes()
    data, stat = kazoo.GetData.deserialize(body, 0)
    assert data == b"data" and tuple(stat) == (1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
    assert kazoo.GetChildren.deserialize(RecordWriter().strings(["a", "ñ"]).to_bytes(), 0) == ["a", "ñ"]


def test_results_of_a_multi_are_read_one_by_one() -> None:
    body = RecordWriter().int32(OpCode.CREATE).boolean(False).int32(0).string("/a")
    STAT.write(body.int32(OpCode.SET_DATA).boolean(False).int32(0))
    body.int32(OpCode.DELETE).boolean(False).int32(0).int32(-1).boolean(True).int32(-1)
    results = records.read_multi(RecordReader(body.to_bytes()))
    assert [(result.op, result.path, result.stat) for result in results] == [
        (OpCode.CREATE, "/a", None),
        (OpCode.SET_DATA, "", STAT),
        (OpCode.DELETE, "", None),
    ]


def test_add_watch_has_the_published_bytes() -> None:
    """Guard the layout of AddWatchRequest: the path, then the mode; mode 1 is persistent and recursive."""
    frame = records.encode_request(
        2, OpCode.ADD_WATCH, records.encode_add_watch("/a", AddWatchMode.PERSISTENT_RECURSIVE)
    )
    assert frame.hex() == "00000012" "00000002" "0000006a" "00000002" "2f61" "00000001"


def test_set_watches_are_of_the_published_form() -> None:
    body = records.encode_set_watches2(9, ["/d"], [], ["/c"], [], ["/r"])
    source = RecordReader(body)
    assert source.int64() == 9
    assert [source.vector(source.string) for _ in range(5)] == [["/d"], [], ["/c"], [], ["/r"]]
    assert not source.remaining
    assert body.startswith(records.encode_set_watches(9, ["/d"], [], ["/c"]))


@pytest.mark.parametrize("cut", range(1, 40))
def test_a_record_that_ends_early_is_malformed(cut: int) -> None:
    whole = records.ConnectResponse(6000, 1, b"q" * 16).frame()[4:-1]
    with pytest.raises(errors.MalformedRecordError):
        records.parse_connect_response(whole[: len(whole) - min(cut, len(whole))])


@pytest.mark.parametrize("length", [b"\xff\xff\xff\xff", b"\x7f\xff\xff\xff", b"GET "])
def test_a_frame_of_an_impossible_length_is_malformed(length: bytes) -> None:
    with pytest.raises(errors.MalformedRecordError):
        jute.split_frames(bytearray(length + b"rest"))


def test_frames_are_complete_if_bytes_arrive_one_by_one() -> None:
    data = records.encode_request(1, OpCode.PING) + records.encode_request(
        2, OpCode.SYNC, records.encode_path("/a")
    )
    buffer = bytearray()
    found = []
    for byte in data:
        buffer.append(byte)
        found += jute.split_frames(buffer)
    assert [RecordReader(frame).int32() for frame in found] == [1, 2] and not buffer


def test_invalid_utf8_strings_and_oversized_vectors_are_malformed() -> None:
    with pytest.raises(errors.MalformedRecordError):
        RecordReader(RecordWriter().buffer(b"\xff").to_bytes()).string()
    source = RecordReader(RecordWriter().int32(1 << 30).to_bytes())
    with pytest.raises(errors.MalformedRecordError):
        source.vector(source.int32)


def test_errors_are_named_by_their_numbers() -> None:
    assert str(errors.ServiceError(-101, "/a")) == "NO_NODE (-101) at /a"
    assert "unknown error code" in str(errors.ServiceError(-999))


@pytest.mark.parametrize(
    "path", ["a", "/a/", "//a", "/a/../b", "/a/.", "/a\x00", "/a\x1f", "/\x85", "/\uf000"]
)
def test_paths_that_the_service_refuses(path: str) -> None:
    assert paths.find_path_problem(path)


def test_paths_that_the_service_accepts() -> None:
    assert not any(map(paths.find_path_problem, ["/", "/a", "/a/b-c_d.e", "/sala ñ/日本", "/a..b"]))
